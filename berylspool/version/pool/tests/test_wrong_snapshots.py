"""Copies that an upstream refuses because it has another index version."""

from berylspool.request.query import PartFailed, PartRefused, Reason
from berylspool.version.pool.message import (
    ConnectionClosed,
    NotRunReply,
    PartArrived,
    Tick,
)
from berylspool.version.pool.tests.test_shared_upstreams import (
    PoolDriver,
    make_part,
)

REFUSAL = NotRunReply(Reason.WRONG_SNAPSHOT)


def test_part_that_only_met_another_version_is_refused():
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.answer(driver.sent[0], REFUSAL, 0.01)
    [result] = driver.results()
    assert isinstance(result, PartRefused)
    assert result.reason is Reason.WRONG_SNAPSHOT


def test_part_whose_first_copy_may_have_run_is_not_refused():
    """Guards against "not run" for a query whose first copy was lost."""
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1)), 0.0)
    [first] = driver.sent
    upstream_id = driver.pool.attempt_by_id[first.attempt_id].upstream_id
    driver.feed(ConnectionClosed(first.connection_id, upstream_id), 0.01)
    driver.feed(Tick(), 0.1)
    driver.answer(driver.sent[1], REFUSAL, 0.2)
    [result] = driver.results()
    assert isinstance(result, PartFailed)
    assert result.reason is Reason.WRONG_SNAPSHOT
