"""Wide requests, hedges and times of return under overload."""

from dataclasses import replace

import pytest

from berylspool.common.metric import Metrics, render_exposition
from berylspool.process.entry.forwarding.request_accounting import count_event
from berylspool.request.query import (
    Reason,
)
from berylspool.version.overload.admission_check import turn_away
from berylspool.version.overload.retry_after import (
    MAX_RETURN_S,
    ReturnPlan,
    book_return,
)
from berylspool.version.overload.tests.played_load import Play, Stream
from berylspool.version.overload.tests.test_precedence import (
    ROWS,
    busy_driver,
    make_part,
)
from berylspool.version.pool.message import PartArrived, ReportedLoad, Tick
from berylspool.version.pool.tests.test_shared_upstreams import (
    FAR,
    NEAR,
    PoolDriver,
)

NOW = 0.05
DEADLINE_S = 0.1


def strained_pool(ranks):
    """Return a pool with parts of these ranks waiting, and a slow upstream."""
    driver = busy_driver()
    pool = driver.pool
    pool.mean_latency_s = 0.03
    pool.usual_latency_by_route["route"] = 0.03
    for number in range(40):
        rank = ranks[number % len(ranks)]
        driver.feed(PartArrived(make_part(100 + number, 5.0, rank=rank)), NOW)
    driver.feed(Tick(), NOW + 0.02)
    return pool


def wide_part(rank=1):
    part = make_part(1, DEADLINE_S, rank=rank)
    part.forward = replace(part.forward, is_part=True)
    return part


def strain(count, ranks=(1, 0), rank=1):
    return [(strained_pool(ranks), wide_part(rank)) for _ in range(count)]


@pytest.mark.parametrize(("refusing", "is_refused"), [(3, False), (4, True)])
def test_request_without_its_minimum_coverage_is_turned_away(
    refusing, is_refused
):
    """Guards against sending parts of a request that cannot be answered."""
    refusal = turn_away(strain(refusing), 20, 0.85, NOW + 0.03)
    assert (refusal is not None) == is_refused
    if refusal is not None:
        assert refusal.reason is Reason.OVERLOAD
        assert refusal.retry_after_s >= 0.05


def test_urgent_request_passes_the_queue_that_turns_others_away():
    """Guards against refusals by the length of a queue alone."""
    pools = strain(4, ranks=(3, 2, 3, 3), rank=0)
    assert turn_away(pools, 20, 0.85, NOW + 0.03) is None
    late = [(pool, wide_part(rank=3)) for pool, _ in pools]
    assert turn_away(late, 20, 0.85, NOW + 0.03) is not None


def test_pools_of_one_rank_turn_no_request_away():
    """Guards against a change for deployments with one rank."""
    assert turn_away(strain(20, ranks=(1,)), 20, 1.0, NOW + 0.03) is None


def test_queue_that_was_searched_long_ago_turns_no_request_away():
    """Guards against refusals by a queue that may have been sent since."""
    assert turn_away(strain(20), 20, 1.0, NOW + 0.5) is None


def slow_part_driver(waiting_there):
    """Return a pool whose part is due for a hedge, and what upstreams report.

    Args:
        waiting_there: Requests that wait at each upstream.
    """
    driver = PoolDriver((NEAR, FAR))
    driver.pool.budget.tokens = 5.0
    load = ReportedLoad(2, waiting_there, 2, 1.0, has_pace=True)
    for number, rank in enumerate((1, 0)):
        driver.feed(PartArrived(make_part(number, 5.0, rank=rank)), 0.0)
        driver.answer(driver.sent[number], ROWS, 0.01)
    part = make_part(5, 5.0, rank=0)
    part.forward = replace(part.forward, hedge_after_s=0.05)
    driver.feed(PartArrived(part), 0.02)
    for view in driver.pool.view_by_upstream.values():
        view.record_load(load, 0.06)
    return driver


def test_hedge_to_a_busy_upstream_is_not_sent():
    """Guards against copies that displace first copies and gain nothing."""
    driver = slow_part_driver(waiting_there=6)
    tokens = driver.pool.budget.tokens
    driver.feed(Tick(), 0.075)
    assert len(driver.sent) == 3
    assert driver.pool.budget.tokens == tokens
    # Once the other upstream has room, the part is hedged after all.
    for view in driver.pool.view_by_upstream.values():
        view.record_load(ReportedLoad(0, 0, 2, 1.0, has_pace=True), 0.11)
    driver.feed(Tick(), 0.13)
    assert [send.part.id for send in driver.sent[3:]] == ["p5"]


def test_hedge_to_an_idle_upstream_is_sent():
    """Guards against giving up hedges that gain what they cost."""
    driver = slow_part_driver(waiting_there=0)
    for view in driver.pool.view_by_upstream.values():
        view.record_load(ReportedLoad(1, 0, 2, 1.0, has_pace=True), 0.06)
    driver.feed(Tick(), 0.075)
    assert [send.part.id for send in driver.sent[3:]] == ["p5"]


def booked(rate_per_s, count=50, rank=1, plan=None):
    plan = plan or ReturnPlan()
    return [
        book_return(plan, rank, 20, rate_per_s, number % 7 / 7, 0.0)
        for number in range(count)
    ]


def test_returns_follow_the_rate_and_are_spread():
    """Guards against times by the latency of answers."""
    fast, slow = booked(1000.0), booked(100.0)
    assert slow[0] == pytest.approx(0.22, abs=0.01)
    assert sum(slow) >= 5 * sum(fast)
    assert len({round(delay, 4) for delay in slow}) == len(slow)
    assert max(slow) - min(slow) >= 49 / 100.0


def test_more_urgent_ranks_return_first():
    """Guards against the return of all ranks at the same time."""
    plan = ReturnPlan()
    less_urgent = booked(100.0, rank=4, plan=plan)
    urgent = booked(100.0, rank=0, plan=plan)
    next_less_urgent = booked(100.0, rank=4, plan=plan)
    assert sum(urgent) <= 1.1 * sum(less_urgent)
    assert min(next_less_urgent) > max(urgent) / 1.25


def test_times_of_return_are_bounded():
    """Guards against clients that are sent away for minutes."""
    assert max(booked(0.1)) <= 1.25 * MAX_RETURN_S


def test_waits_and_refusals_are_counted_by_rank():
    """Guards against an overload that the metrics do not show."""
    metrics = Metrics()
    streams = (
        Stream("urgent", 300.0, 0, 0.05, 0.5),
        Stream("bulk", 900.0, 3, 0.25, 1.0),
    )
    play = Play(streams).run(2.5)
    for event in play.logged:
        count_event(metrics, event)
    body = render_exposition(metrics)[0].decode()
    shed = 'berylspool_parts_shed_total{rank="3",reason="overload"} '
    refused = play.tally_by_stream["bulk"].refused
    assert int(body.partition(shed)[2].split()[0]) == refused > 0
    for name in ("part_waits", "part_wait_milliseconds"):
        for rank in "03":
            series = f'berylspool_{name}_total{{rank="{rank}"}} '
            assert int(body.partition(series)[2].split()[0]) > 0
    assert "berylspool_load_view_age_seconds 0." in body
