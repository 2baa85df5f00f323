"""Reports on the parts that waited in a pool."""

from berylspool.common.part_event import PartsWaited
from berylspool.version.overload.shedding import Waits
from berylspool.version.overload.waiting import MAX_AGE_S, refuse_hopeless
from berylspool.version.pool.message import Log
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.upstream.balancing import RandomChoice


def test_pool_that_has_lost_its_last_upstream_reports_its_waits():
    """The report ended the process."""
    pool = Pool("s", "", PoolTuning(RandomChoice()))
    pool.shedding.waits_by_rank[1] = Waits(count=2, total_s=0.1)
    [action] = refuse_hopeless(pool, 100.0)
    assert isinstance(action, Log)
    assert isinstance(action.event, PartsWaited)
    assert action.event.load_age_ms == MAX_AGE_S * 1000
