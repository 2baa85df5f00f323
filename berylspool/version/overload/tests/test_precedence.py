"""Order of waiting parts."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import Forward, Part, Reason, Snapshot
from berylspool.version.forwarding import ForwardRoute, Target, new_query
from berylspool.version.overload.precedence import (
    SENDS_PER_TURN,
    Claim,
    Precedence,
    is_mixed,
    order_key,
    record_send,
    select,
)
from berylspool.version.overload.waiting import waiting_jobs
from berylspool.version.pool.message import (
    ErrorReply,
    PartArrived,
    ReportedLoad,
    RowsReply,
    Tick,
)
from berylspool.version.pool.tests.test_shared_upstreams import (
    TUNING,
    PoolDriver,
)
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.balancing import QUEUE_MEMORY_S

ROWS = RowsReply(Snapshot("", 1), ())
NOW = 10.0
WORK_S = 0.01


def claim(rank=0, customer="", target_at=11.0, **values):
    values = {
        "is_hedge": False,
        "arrived_at": 9.9,
        "deadline": 12.0,
        "work_s": WORK_S,
        **values,
    }
    return Claim(rank, customer, target_at=target_at, **values)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(
            claim(5), claim(0, target_at=10.005), id="meets_target_first"
        ),
        pytest.param(claim(0), claim(1, target_at=10.02), id="then_rank"),
        pytest.param(
            claim(1), claim(1, target_at=10.02, is_hedge=True), id="then_copy"
        ),
        pytest.param(
            claim(0, is_hedge=True), claim(1), id="urgent_hedge_before_others"
        ),
        pytest.param(
            claim(1, target_at=10.02), claim(1), id="then_least_time_left"
        ),
        pytest.param(
            claim(1, is_returned=True), claim(1), id="returned_before_new"
        ),
        pytest.param(
            claim(1, target_at=9.0, deadline=11.0),
            claim(1, target_at=8.0, deadline=12.0),
            id="late_ones_by_deadline",
        ),
    ],
)
def test_order_of_two_parts(first, second):
    """Guards against a swap of two steps of the order."""
    state = Precedence()
    assert order_key(state, first, NOW) < order_key(state, second, NOW)


@given(
    st.lists(
        st.builds(
            claim,
            rank=st.integers(0, 3),
            customer=st.sampled_from("ab"),
            target_at=st.floats(9.0, 12.0),
            is_hedge=st.booleans(),
        ),
        min_size=1,
        max_size=20,
    )
)
def test_every_part_is_sent_within_bounded_turns(claims):
    """Guards against a part that is passed for ever by others like it."""
    state, waiting = Precedence(), list(claims)
    for _ in range(len(claims)):
        chosen = waiting.pop(select(state, waiting, NOW))
        record_send(state, chosen, NOW)
    assert not waiting


@given(st.integers(0, SENDS_PER_TURN - 1))
def test_least_urgent_rank_is_sent_once_in_ten(sends):
    """Guards against a share that depends on what else waits."""
    state = Precedence(sends=sends)
    chosen_ranks = []
    for _ in range(SENDS_PER_TURN):
        waiting = [claim(0), claim(0), claim(1), claim(7)]
        chosen = waiting[select(state, waiting, NOW)]
        chosen_ranks.append(chosen.rank)
        record_send(state, chosen, NOW)
    assert chosen_ranks.count(7) == 1 and chosen_ranks.count(0) == 9


def make_part(number, timeout_s, rank=0, customer="", grace_s=0.0):
    forward = Forward(
        "GET",
        "/",
        (),
        b"",
        attempts=2,
        hedge_after_s=5.0,
        rank=rank,
        grace_s=grace_s,
        customer=customer,
    )
    return Part(
        f"p{number}",
        "r",
        "s",
        0,
        Snapshot("", 1),
        "",
        timeout_s,
        f"f{number}",
        True,
        "route",
        forward,
    )


def busy_driver(tuning=TUNING):
    """Return a pool whose six slots are taken by parts of rank 1."""
    driver = PoolDriver(tuning=tuning)
    for number in range(6):
        driver.feed(PartArrived(make_part(number, 5.0, rank=1)), 0.0)
    assert len(driver.sent) == 6
    return driver


def test_one_rank_is_sent_by_deadline_whatever_its_targets():
    """Guards against another order where all requests are of one rank."""
    driver = busy_driver()
    waits = [(10, 0.9, 0.5), (11, 0.8, 0.0), (12, 0.7, 0.6)]
    for number, timeout_s, grace_s in waits:
        part = make_part(number, timeout_s, rank=1, grace_s=grace_s)
        driver.feed(PartArrived(part), 0.01)
    assert not is_mixed(driver.pool.precedence, 0.01)
    assert len(waiting_jobs(driver.pool)) == 3
    for send in driver.sent[:3]:
        driver.answer(send, ROWS, 0.02)
    assert [send.part.id for send in driver.sent[6:]] == ["p12", "p11", "p10"]


def test_urgent_part_passes_those_that_wait():
    """Guards against an order by deadline across ranks."""
    driver = busy_driver()
    driver.feed(PartArrived(make_part(10, 0.8, rank=1)), 0.01)
    driver.feed(PartArrived(make_part(11, 0.9, rank=0)), 0.01)
    driver.answer(driver.sent[0], ROWS, 0.02)
    assert driver.sent[-1].part.id == "p11"


def test_full_queue_refuses_the_least_urgent_part_that_waits():
    """Guards against refusing the newest part whatever its rank."""
    tuning = dataclasses.replace(TUNING, queue_limit=4)
    driver = busy_driver(tuning)
    for number in range(10, 14):
        driver.feed(PartArrived(make_part(number, 0.9, rank=2)), 0.01)
    driver.feed(PartArrived(make_part(20, 0.9, rank=0)), 0.01)
    [refused] = driver.results()
    assert refused.part_id == "p13" and refused.retry_after_s > 0.0
    assert "p20" in driver.pool.job_by_part


def test_part_that_may_have_run_is_not_refused_for_a_more_urgent_one():
    """Guards against a refusal that promises too much."""

    tuning = dataclasses.replace(TUNING, queue_limit=1, charges_refusals=False)
    driver = busy_driver(tuning)
    driver.pool.budget.tokens = 5.0
    driver.answer(driver.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.01)
    driver.feed(PartArrived(make_part(19, 0.9, rank=1)), 0.01)
    driver.feed(Tick(), 0.02)
    for number in range(20, 24):
        driver.feed(PartArrived(make_part(number, 0.9, rank=0)), 0.03)
    refused = {result.part_id for result in driver.results()}
    assert "p0" not in refused and refused


def hold_driver():
    """Return a pool whose upstreams report a queue; urgent parts are seen."""
    driver = PoolDriver()
    for number, rank in enumerate((1, 0)):
        driver.feed(PartArrived(make_part(number, 5.0, rank=rank)), 0.0)
    load = ReportedLoad(2, 9, 2, 1.0, has_pace=True)
    for send in list(driver.sent):
        driver.answer(send, ROWS, 0.01, load)
    for view in driver.pool.view_by_upstream.values():
        view.record_load(load, 0.01)
    return driver


def test_less_urgent_part_waits_here_while_upstreams_have_a_queue():
    """Guards against a queue at upstreams that urgent parts cannot pass."""
    driver = hold_driver()
    driver.feed(PartArrived(make_part(10, 5.0, rank=1)), 0.02)
    assert len(driver.sent) == 2
    driver.feed(PartArrived(make_part(11, 5.0, rank=0)), 0.03)
    assert [send.part.id for send in driver.sent[2:]] == ["p11"]


def test_held_part_is_sent_once_reports_stop():
    """Guards against holding work for a queue that is long gone."""
    driver = hold_driver()
    driver.feed(PartArrived(make_part(10, 5.0, rank=1)), 0.02)
    now = 0.02
    while len(driver.sent) == 2 and now < 0.01 + QUEUE_MEMORY_S:
        now += max(max_wait_s(driver.pool, now), 0.001)
        driver.feed(Tick(), now)
    assert [send.part.id for send in driver.sent[2:]] == ["p10"]


def test_target_of_a_request_ends_with_its_deadline():
    """Guards against a target that lies after the deadline of the client."""
    targets = (Target(("s",)),)
    route = ForwardRoute("r", "h", "/", True, 2.0, 0.25, 4, 2, targets)
    graces = []
    for deadline_s in (None, 1.0, 0.1):
        request = ForwardRequest(
            "i", "GET", "h", "/", "/", (), b"", deadline_s=deadline_s
        )
        query = new_query(request, route, 1, 0.5, 0.0, NOW)
        graces.append(round(query.forward.grace_s, 6))
    assert graces == [1.75, 0.75, 0.0]


def test_part_that_has_just_arrived_is_not_late():
    """Guards against urgent parts that count as late by what they wait for."""
    driver = busy_driver()
    driver.pool.usual_latency_by_route["route"] = 0.08
    driver.feed(PartArrived(make_part(10, 0.9, rank=1)), 0.01)
    urgent = make_part(11, 0.9, rank=0, grace_s=0.85)
    driver.feed(PartArrived(urgent), 0.01)
    driver.answer(driver.sent[0], ROWS, 0.02)
    assert driver.sent[-1].part.id == "p11"
