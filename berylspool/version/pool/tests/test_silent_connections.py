"""A waiting part while connections to upstreams open, or never do."""

import pytest

from berylspool.version.configuration import Limits
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    ConnectionOpened,
    OpenConnection,
    PartArrived,
    PoolReconfigured,
    SendAttempt,
    Tick,
)
from berylspool.version.pool.state import Pool
from berylspool.version.pool.tests.test_shared_upstreams import (
    FAR,
    NEAR,
    TUNING,
    make_part,
)
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.upstream_view import (
    MIN_OPENING_PATIENCE_S,
    ConnectionView,
    UpstreamView,
    has_silent_opening,
    opening_is_silent_at,
    record_opening,
)

# With shares below one, connections are opened for waiting parts only.
LIMITS = Limits(slots=2, connections=2, cold_slots=2, ramp_s=0.0, share=0.9)


def make_pool():
    pool = Pool("s", "", TUNING)
    step(pool, PoolReconfigured((NEAR, FAR), LIMITS), 0.0)
    return pool


def opened(actions):
    return [a for a in actions if isinstance(a, OpenConnection)]


def sent(actions):
    return [a for a in actions if isinstance(a, SendAttempt)]


def test_part_waits_for_one_connection_while_it_may_still_open():
    pool = make_pool()
    [first] = opened(step(pool, PartArrived(make_part(1)), 10.0))
    assert first.upstream is NEAR
    assert not opened(step(pool, Tick(), 10.0 + MIN_OPENING_PATIENCE_S / 2))


def test_silent_upstream_is_left_for_another_without_an_event():
    pool = make_pool()
    step(pool, PartArrived(make_part(1)), 10.0)
    assert max_wait_s(pool, 10.0) == pytest.approx(MIN_OPENING_PATIENCE_S)
    now = 10.0 + MIN_OPENING_PATIENCE_S
    [second] = opened(step(pool, Tick(), now))
    assert second.upstream is FAR
    connected = ConnectionOpened(second.connection_id, FAR.id, FAR.id)
    [send] = sent(step(pool, connected, now + 0.008))
    assert send.connection_id == second.connection_id


def test_silent_upstream_is_reported_to_the_other_entries():
    pool = make_pool()
    step(pool, PartArrived(make_part(1)), 10.0)
    step(pool, Tick(), 10.0 + MIN_OPENING_PATIENCE_S)
    assert {observed.id for observed in pool.observed} == {NEAR.id}


def test_connection_that_opens_late_is_used_all_the_same():
    pool = make_pool()
    [first] = opened(step(pool, PartArrived(make_part(1)), 10.0))
    step(pool, Tick(), 10.0 + MIN_OPENING_PATIENCE_S)
    late = ConnectionOpened(first.connection_id, NEAR.id, NEAR.id)
    [send] = sent(step(pool, late, 10.03))
    assert send.connection_id == first.connection_id


def test_parts_that_wait_together_get_a_connection_each():
    pool = make_pool()
    step(pool, PartArrived(make_part(1)), 10.0)
    [second] = opened(step(pool, PartArrived(make_part(2)), 10.001))
    assert second.upstream in (NEAR, FAR)


def test_distant_upstreams_are_given_the_time_that_they_usually_take():
    """A round trip between regions takes longer than a handshake nearby."""
    near, distant = UpstreamView(NEAR, LIMITS), UpstreamView(FAR, LIMITS)
    for _ in range(8):
        record_opening(near, 0.006)
        record_opening(distant, 0.1)
    for view in (near, distant):
        connection = ConnectionView(1, view.upstream.id, idle_since=10.0)
        view.connection_by_id[1] = connection
    assert has_silent_opening(near, 10.03)
    assert not has_silent_opening(distant, 10.15)
    assert has_silent_opening(distant, 10.5)
    assert 10.15 < opening_is_silent_at(distant, 10.0) < 10.5
