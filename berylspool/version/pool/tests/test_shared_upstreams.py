"""Pools that share upstreams: budgets, copies, load and connections."""

import random
from dataclasses import replace

import pytest

from berylspool.common.part_event import (
    HedgeDenied,
    PartAbandoned,
    PartChosen,
)
from berylspool.connection.control_message import ExtraCopies
from berylspool.process.control.copy_lending import CopyLending, lend_copies
from berylspool.process.settings import RoutingSettings
from berylspool.request.query import Forward, Part, Reason, Snapshot
from berylspool.version.configuration import (
    Configuration,
    Limits,
    Upstream,
    UpstreamState,
)
from berylspool.version.forwarding import ForwardPlan, ForwardService
from berylspool.version.listing import (
    ListedUpstream,
    Listing,
    SharedLimits,
    apply_difference,
    build_pool_configuration,
    entry_cold_rate,
    listing_difference,
)
from berylspool.version.pool.admission import step
from berylspool.version.pool.attempt import UNKNOWN_AGE_MS
from berylspool.version.pool.extra_copies import (
    BORROW_PAUSE_S,
    BORROW_TIMEOUT_S,
)
from berylspool.version.pool.message import (
    AttemptAnswered,
    BorrowCopies,
    CancelAttempt,
    ConnectionClosed,
    ConnectionOpened,
    CopiesLent,
    ErrorReply,
    Log,
    NotRunReply,
    OpenConnection,
    PartArrived,
    PartCancelled,
    PoolReconfigured,
    ReportedLoad,
    RowsReply,
    SendAttempt,
    SendResult,
    Tick,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.balancing import (
    LeastLoaded,
)

SNAPSHOT = Snapshot("", 1)
NEAR = Upstream("near", "10.0.0.1", 1, "z0", "")
FAR = Upstream("far", "10.0.0.2", 1, "z1", "")
TUNING = PoolTuning(
    LeastLoaded("z0", 0.9),
    extra_ratio=0.18,
    silent_s=None,
    opens_on_demand=True,
    isolates_suspects=False,
    charges_refusals=True,
    initial_tokens=1.0,
)
BORROWING_TUNING = replace(TUNING, borrows_copies=True)
WINDOW_S = 10.0


def make_part(number, attempts=2, hedge_after_s=0.05, idempotent=True):
    forward = Forward(
        "GET", "/", (), b"", True, attempts, hedge_after_s=hedge_after_s
    )
    return Part(
        f"p{number}",
        f"r{number}",
        "s",
        0,
        SNAPSHOT,
        "",
        1.0,
        f"f{number}",
        idempotent,
        "route",
        forward,
    )


class PoolDriver:
    """Runs a pool, opens its connections at once and collects its actions."""

    def __init__(
        self,
        upstreams=(NEAR, FAR),
        connections=8,
        extra=5.0,
        tuning=TUNING,
        lending=None,
    ):
        self.pool = Pool("s", "", tuning)
        self.sent = []
        self.other_actions = []
        self.lending = lending
        limits = Limits(
            slots=3,
            connections=connections,
            cold_slots=3,
            ramp_s=0.0,
            extra_copies=extra,
        )
        self.feed(PoolReconfigured(upstreams, limits), 0.0)

    def feed(self, event, now):
        for action in step(self.pool, event, now):
            match action:
                case OpenConnection(connection_id=id, upstream=upstream):
                    opened = ConnectionOpened(id, upstream.id, upstream.id)
                    self.feed(opened, now)
                case SendAttempt():
                    self.sent.append(action)
                case BorrowCopies(copies=copies) if self.lending is not None:
                    wanted = [ExtraCopies("s", "", copies)]
                    [lent] = lend_copies(self.lending, wanted, now)
                    self.feed(CopiesLent(lent.copies), now)
                case _:
                    self.other_actions.append(action)

    def answer(self, send, reply, now, load=None):
        upstream_id = self.pool.attempt_by_id[send.attempt_id].upstream_id
        event = AttemptAnswered(
            send.connection_id, send.attempt_id, upstream_id, reply, load
        )
        self.feed(event, now)

    def results(self):
        return [
            a.result for a in self.other_actions if isinstance(a, SendResult)
        ]


def logged_events(driver, event_class):
    events = [a.event for a in driver.other_actions if isinstance(a, Log)]
    return [event for event in events if isinstance(event, event_class)]


def test_copies_of_all_entries_stay_within_the_shared_slack():
    extra = 0
    for _ in range(6):
        driver = PoolDriver(extra=50.0 / 6)
        for number in range(100):
            now = number * 0.001
            driver.feed(PartArrived(make_part(number)), now)
            for send in driver.sent[-2:]:
                if send.attempt_id in driver.pool.attempt_by_id:
                    driver.answer(send, ErrorReply(Reason.UPSTREAM_ERROR), now)
            driver.feed(Tick(), now + 0.0005)
        extra += len(driver.sent) - 100
    assert 0 < extra <= 0.2 * 600 + 50


def held_limits(entries, slack, service="s"):
    """Return the limits that each of several entries has on its own."""
    plan = ForwardPlan(1, {}, {service: ForwardService(service, 61)})
    listing = Listing(1, 1, {"a": listed("a"), "b": listed("b")})
    configuration = build_pool_configuration(
        1, plan, listing, Configuration(), SharedLimits(entries, slack)
    )
    return configuration.service_by_name[service].limits


def make_sharing_drivers(entries, slack, count):
    """Return pools of some of the entries, with one leader that lends."""
    routing = RoutingSettings(extra_slack=slack, extra_window_s=WINDOW_S)
    lending = CopyLending(routing, leads_since=-WINDOW_S)
    limits = held_limits(entries, slack)
    drivers = []
    for number in range(count):
        tuning = replace(BORROWING_TUNING, entry=f"e{number}")
        driver = PoolDriver(tuning=tuning, lending=lending)
        driver.feed(PoolReconfigured((NEAR, FAR), limits), 0.0)
        drivers.append(driver)
    return drivers


def most_in_a_window(times):
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )


def fail_first_copies(drivers, arrivals):
    """Fail each first copy; return the times of the second copies.

    Args:
        drivers: Pools of the entries.
        arrivals: Time and driver number of each part, by time.
    """
    copies = []
    for number, (now, driver_number) in enumerate(arrivals):
        driver = drivers[driver_number]
        driver.feed(PartArrived(make_part(number)), now)
        first_count = len(driver.sent)
        driver.answer(driver.sent[-1], ErrorReply(Reason.UPSTREAM_ERROR), now)
        driver.feed(Tick(), now)
        if len(driver.sent) > first_count:
            copies.append(now)
            driver.answer(driver.sent[-1], RowsReply(SNAPSHOT, ()), now)
    return copies


def test_busy_entries_hedge_while_other_entries_leave_their_copies_unused():
    """Four of 62 entries have all callers; each part needs a second copy."""
    arrivals = [(0.05 * n, n % 4) for n in range(200)]
    drivers = make_sharing_drivers(62, 131.0, 4)
    for number, (now, driver_number) in enumerate(arrivals):
        driver = drivers[driver_number]
        driver.feed(PartArrived(make_part(number, hedge_after_s=0.02)), now)
        sent_before_hedge = len(driver.sent)
        driver.feed(Tick(), now + 0.03)
        for send in driver.sent[sent_before_hedge - 1 :]:
            if send.attempt_id in driver.pool.attempt_by_id:
                reply = RowsReply(SNAPSHOT, (), "x")
                driver.answer(send, reply, now + 0.04)
    hedges = sum(len(driver.sent) for driver in drivers) - len(arrivals)
    # What requests earn and what control lends, less the fraction of a copy
    # that each entry has left.
    earned = TUNING.extra_ratio * len(arrivals)
    assert hedges >= earned + 131.0 / 2 - len(drivers)


@pytest.mark.parametrize("seed", range(5))
def test_copies_of_all_entries_stay_within_the_slack_wherever_callers_are(seed):
    """Covers 78 entries; callers concentrate on a few and move on."""
    pick, arrivals = random.Random(seed), []
    for window in range(4):
        callers_at = pick.sample(range(78), 6)
        arrivals += [
            (10.0 * window + 0.02 * n, pick.choice(callers_at))
            for n in range(500)
        ]
    drivers = make_sharing_drivers(78, 160.0, 78)
    copies = fail_first_copies(drivers, arrivals)
    earned = TUNING.extra_ratio * 500
    assert most_in_a_window(copies) <= earned + 160.0
    assert len(copies) >= 4 * (earned + 160.0 / 4)


def test_entries_with_few_requests_use_no_more_than_the_shared_slack():
    """Covers 78 entries of which half have callers; each first copy fails."""
    drivers = make_sharing_drivers(78, 160.0, 39)
    arrivals = [(n + e / 39, e) for n in range(30) for e in range(39)]
    copies = fail_first_copies(drivers, arrivals)
    earned = TUNING.extra_ratio * 39 * WINDOW_S
    assert most_in_a_window(copies) <= earned + 160.0
    # Without the slack, requests earn this much in 30 s, and each entry starts
    # with one token.
    assert len(copies) > 3 * earned + 39


@pytest.mark.parametrize(
    ("entries", "slack"), [(62, 131), (78, 156), (93, 156), (400, 156)]
)
def test_budget_of_one_of_many_entries_pays_for_a_hedge(entries, slack):
    [driver] = make_sharing_drivers(entries, slack, 1)
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    driver.feed(Tick(), 0.06)
    assert len(driver.sent) == 2


@pytest.mark.parametrize(("entries", "slack"), [(78, 156.0), (400, 156.0)])
def test_entries_hold_no_more_than_half_of_the_slack(entries, slack):
    # Shares below one copy are rounded by hash, so the sum is near the half.
    drivers = make_sharing_drivers(entries, slack, entries)
    held = sum(driver.pool.budget.max_tokens for driver in drivers)
    assert held == pytest.approx(slack / 2, rel=0.15)
    assert all(
        d.pool.budget.tokens <= d.pool.budget.max_tokens for d in drivers
    )


def fail_one_part(lent):
    """Fail the first copy of a part whose pool has to borrow a copy."""
    driver = PoolDriver(extra=0.0, tuning=BORROWING_TUNING)
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.answer(driver.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.01)
    assert BorrowCopies(1) in driver.other_actions and not driver.results()
    if lent is not None:
        driver.feed(CopiesLent(lent), 0.012)
    return driver


def test_failed_part_is_sent_again_with_a_lent_copy():
    driver = fail_one_part(lent=1)
    assert len(driver.sent) == 2
    driver.answer(driver.sent[1], RowsReply(SNAPSHOT, (), "x"), 0.02)
    assert [type(r).__name__ for r in driver.results()] == ["PartRows"]
    driver.feed(Tick(), 1.0)
    assert len(driver.results()) == 1


def test_failed_part_fails_at_once_if_control_lends_nothing():
    driver = fail_one_part(lent=0)
    assert [type(r).__name__ for r in driver.results()] == ["PartFailed"]


def test_failed_part_fails_soon_if_control_does_not_answer():
    driver = fail_one_part(lent=None)
    driver.feed(Tick(), 0.01 + BORROW_TIMEOUT_S)
    assert [type(r).__name__ for r in driver.results()] == ["PartFailed"]


def test_pool_pauses_before_it_asks_again_after_control_lent_nothing():
    driver = fail_one_part(lent=0)
    driver.other_actions.clear()
    for number in range(2, 12):
        now = 0.012 + number * BORROW_PAUSE_S / 4
        driver.feed(PartArrived(make_part(number)), now)
        driver.answer(driver.sent[-1], ErrorReply(Reason.UPSTREAM_ERROR), now)
        if BorrowCopies(1) in driver.other_actions[-2:]:
            driver.feed(CopiesLent(0), now + 0.001)
    assert 1 <= driver.other_actions.count(BorrowCopies(1)) <= 3
    results = [type(result).__name__ for result in driver.results()]
    assert results == ["PartFailed"] * 10


def test_lent_copy_that_is_no_longer_needed_is_not_kept():
    driver = PoolDriver(extra=1.0, tuning=BORROWING_TUNING)
    driver.pool.budget.tokens = 0.5
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    driver.feed(Tick(), 0.06)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, (), "x"), 0.07)
    driver.feed(CopiesLent(3), 0.08)
    assert driver.pool.budget.tokens == 1.0


def test_denied_loan_is_logged_for_the_part_that_needed_it():
    driver = PoolDriver(extra=0.0, tuning=BORROWING_TUNING)
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    driver.feed(Tick(), 0.06)
    driver.feed(CopiesLent(0), 0.07)
    assert [e.part for e in logged_events(driver, HedgeDenied)] == ["p1"]


def test_send_after_refusal_is_paid_from_the_budget():
    driver = PoolDriver(extra=1.0)
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.answer(driver.sent[0], NotRunReply(Reason.OVERLOAD), 0.01)
    assert len(driver.sent) == 2
    driver.answer(driver.sent[1], NotRunReply(Reason.OVERLOAD), 0.02)
    [result] = driver.results()
    assert type(result).__name__ == "PartRefused" and len(driver.sent) == 2


def test_part_is_sent_to_no_more_upstreams_than_its_route_allows():
    driver = PoolDriver(extra=5.0)
    driver.pool.budget.tokens = 5.0
    driver.feed(PartArrived(make_part(1, attempts=1)), 0.0)
    driver.feed(Tick(), 0.2)
    assert len(driver.sent) == 1
    driver.answer(driver.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.3)
    assert len(driver.sent) == 1
    [result] = driver.results()
    assert type(result).__name__ == "PartFailed"


def test_slow_copy_is_hedged_on_the_other_upstream():
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.feed(Tick(), 0.04)
    assert len(driver.sent) == 1
    driver.feed(Tick(), 0.06)
    tried = driver.pool.job_by_part["p1"].tried_upstreams
    assert len(driver.sent) == 2 and tried == {"near", "far"}


def test_part_that_is_not_idempotent_is_not_sent_again_after_a_loss():
    driver = PoolDriver()
    part = make_part(1, idempotent=False)
    driver.feed(PartArrived(part), 0.0)
    driver.feed(Tick(), 0.5)
    sent = driver.sent[0]
    closed = ConnectionClosed(sent.connection_id, "near")
    driver.feed(closed, 0.6)
    assert len(driver.sent) == 1
    assert type(driver.results()[0]).__name__ == "PartFailed"


def test_work_is_stopped_for_a_gone_caller_but_not_for_an_outrun_copy():
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.feed(Tick(), 0.06)
    driver.answer(driver.sent[1], RowsReply(SNAPSHOT, (), "x"), 0.08)
    driver.feed(PartArrived(make_part(2)), 0.1)
    driver.feed(PartCancelled("p2", is_caller_gone=True), 0.11)
    cancels = [a for a in driver.other_actions if isinstance(a, CancelAttempt)]
    assert [cancel.is_caller_gone for cancel in cancels] == [False, True]


def test_reported_load_of_other_entries_outweighs_the_own_zone():
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1)), 0.0)
    load = ReportedLoad(running=3, waiting=6, slots=3)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, (), "x"), 0.01, load)
    driver.feed(PartArrived(make_part(2)), 0.011)
    assert driver.pool.job_by_part["p2"].tried_upstreams == {"far"}
    driver.feed(PartArrived(make_part(3)), 1.0)
    assert driver.pool.job_by_part["p3"].tried_upstreams == {"near"}


def test_connections_are_opened_for_waiting_parts_up_to_the_limit():
    driver = PoolDriver(connections=2)
    assert len(driver.pool.view_by_upstream["near"].connection_by_id) == 1
    for number in range(6):
        driver.feed(PartArrived(make_part(number)), 0.0)
    counts = [
        len(view.connection_by_id)
        for view in driver.pool.view_by_upstream.values()
    ]
    assert counts == [2, 2]


def listed(id, state=UpstreamState.SERVING, version="v1"):
    upstream = Upstream(id, "10.0.0.1", 1, "z0", version, state)
    return ListedUpstream("s", upstream, 3)


def test_leaving_upstream_is_in_no_pool():
    plan = ForwardPlan(1, {}, {"s": ForwardService("s", 30)})
    listing = Listing(
        1,
        1,
        {
            "a": listed("a"),
            "b": listed("b", UpstreamState.LEAVING),
        },
    )
    configuration = build_pool_configuration(
        1, plan, listing, Configuration(), SharedLimits(6, 30.0)
    )
    service = configuration.service_by_name["s"]
    assert service.upstream_by_id.keys() == {"a"}
    assert service.limits.connections == 5
    assert service.limits.extra_copies == 2.5


def test_listing_difference_restores_the_new_listing():
    before = {"a": listed("a"), "b": listed("b")}
    after = {"b": listed("b", UpstreamState.LEAVING), "c": listed("c")}
    changed, gone = listing_difference(before, after)
    base = Listing(1, 1, before)
    assert apply_difference(base, 1, 2, changed, gone) == Listing(1, 2, after)


def send_at_constant_rate(
    driver, seconds, latency_by_upstream, interval_s=0.02
):
    """Send parts at a constant rate; return the upstream of each copy."""
    now, chosen, due = 10.0, [], []
    for number in range(100, 100 + int(seconds / interval_s)):
        now += interval_s
        ready = [item for item in due if item[0] <= now]
        due = [item for item in due if item[0] > now]
        for _, send in ready:
            driver.answer(send, RowsReply(SNAPSHOT, (), "x"), now)
        driver.feed(PartArrived(make_part(number)), now)
        for send in driver.sent[len(chosen) :]:
            upstream_id = driver.pool.attempt_by_id[send.attempt_id].upstream_id
            chosen.append(upstream_id)
            due.append((now + latency_by_upstream[upstream_id], send))
    for at, send in due:
        driver.answer(send, RowsReply(SNAPSHOT, (), "x"), at)
    return chosen


def test_upstream_that_became_slow_gets_few_parts_and_is_tried_again():
    driver = PoolDriver()
    chosen = send_at_constant_rate(driver, 6.0, {"near": 0.3, "far": 0.02})
    assert 0 < chosen.count("near") < 0.2 * len(chosen)
    assert "near" in chosen[len(chosen) // 2 :]


def answer_one_part(driver, number, now, latency_by_upstream):
    """Send a part and answer it before the next; return its upstream."""
    driver.feed(PartArrived(make_part(number, attempts=1)), now)
    send = driver.sent[-1]
    upstream_id = driver.pool.attempt_by_id[send.attempt_id].upstream_id
    reply = RowsReply(SNAPSHOT, (), "x")
    driver.answer(send, reply, now + latency_by_upstream[upstream_id])
    return upstream_id


@pytest.mark.parametrize("interval_s", [0.5, 1.0, 2.0, 3.0])
def test_entry_with_few_requests_avoids_an_upstream_that_became_slow(
    interval_s,
):
    driver, latencies = PoolDriver(), {"near": 0.02, "far": 0.02}
    chosen = [
        answer_one_part(driver, number, 10.0 + interval_s * number, latencies)
        for number in range(5)
    ]
    assert set(chosen) == {"near"}
    latencies["near"] = 0.2
    chosen = [
        answer_one_part(driver, number, 30.0 + interval_s * number, latencies)
        for number in range(100, 100 + int(8.0 / interval_s))
    ]
    assert 1 <= chosen.count("near") <= 3 and len(chosen) > 1
    assert "far" in chosen


def count_copies(driver, number, now, refusing):
    """Send a part that some upstreams refuse; return the copies it took."""
    count = len(driver.sent)
    driver.feed(PartArrived(make_part(number)), now)
    while driver.pool.attempt_by_id:
        now += 0.01
        send = driver.sent[-1]
        attempt = driver.pool.attempt_by_id[send.attempt_id]
        reply = RowsReply(SNAPSHOT, (), "x")
        if attempt.upstream_id in refusing:
            reply = NotRunReply(Reason.OVERLOAD)
        driver.answer(send, reply, now)
    return len(driver.sent) - count


@pytest.mark.parametrize("interval_s", [0.3, 1.0, 2.0])
def test_upstream_that_refuses_is_avoided_for_some_seconds(interval_s):
    driver = PoolDriver(extra=10.0)
    driver.pool.budget.tokens = 10.0
    copies = [
        count_copies(driver, number, 100.0 + interval_s * number, {"near"})
        for number in range(int(4.0 / interval_s) + 1)
    ]
    assert copies[0] == 2 and set(copies[1:]) == {1}


def test_upstream_with_an_overdue_answer_is_avoided():
    driver = PoolDriver()
    send_at_constant_rate(driver, 1.0, {"near": 0.02, "far": 0.02})
    driver.feed(PartArrived(make_part(1, attempts=1)), 20.0)
    assert driver.pool.job_by_part["p1"].tried_upstreams == {"near"}
    driver.feed(PartArrived(make_part(2, attempts=1)), 20.1)
    assert driver.pool.job_by_part["p2"].tried_upstreams == {"far"}


def send_times_to_cold_upstream(entries, per_s, seconds=3.0, step_s=0.01):
    """Return the times at which several entries send to a cold upstream."""
    shared_limits = SharedLimits(entries, 0.0, cold_factor=1.35, cold_slack=5.0)
    limits = Limits(
        slots=50,
        connections=60,
        cold_slots=50,
        ramp_s=0.0,
        extra_copies=0.0,
        cold_s=seconds,
        cold_per_s=entry_cold_rate(per_s, shared_limits),
    )
    cold = Upstream("cold", "10.0.0.3", 1, "z0", "", is_cold=True)
    send_times = []
    for _ in range(entries):
        driver = PoolDriver(upstreams=())
        driver.feed(PoolReconfigured((cold,), limits), 0.0)
        for number in range(int(seconds / step_s)):
            now = number * step_s
            count = len(driver.sent)
            driver.feed(PartArrived(make_part(number)), now)
            send_times += [now] * (len(driver.sent) - count)
            for send in driver.sent[count:]:
                if send.attempt_id in driver.pool.attempt_by_id:
                    reply = RowsReply(SNAPSHOT, (), "x")
                    driver.answer(send, reply, now)
    return sorted(send_times)


@pytest.mark.parametrize(("entries", "per_s"), [(1, 8.0), (6, 8.0), (30, 40.0)])
def test_entries_together_respect_the_rate_of_a_cold_upstream(entries, per_s):
    send_times = send_times_to_cold_upstream(entries, per_s)
    max_rate = max(
        sum(start <= moment < start + 1.0 for moment in send_times)
        for start in send_times
    )
    assert 0 < max_rate <= per_s * 1.5 + 5


def test_idle_pool_sleeps_and_drops_timers_of_ended_parts():
    driver = PoolDriver()
    for number in range(500):
        now = number * 0.01
        driver.feed(PartArrived(make_part(number)), now)
        driver.answer(driver.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.002)
        assert max_wait_s(driver.pool, now + 0.002) > 1.0
    assert len(driver.pool.timers) == 0


def test_pool_wakes_for_a_hedge_and_for_a_reconnection():
    driver = PoolDriver()
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    assert max_wait_s(driver.pool, 0.0) == pytest.approx(0.05)
    driver = PoolDriver()
    view = driver.pool.view_by_upstream[NEAR.id]
    [connection] = view.connection_by_id.values()
    driver.feed(ConnectionClosed(connection.id, NEAR.id), 0.0)
    assert max_wait_s(driver.pool, 0.0) == pytest.approx(view.reconnect_delay_s)


def test_denied_hedge_is_logged_once_with_the_balance():
    driver = PoolDriver(extra=0.5)
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    for moment in (0.06, 0.12, 0.18):
        driver.feed(Tick(), moment)
    denials = logged_events(driver, HedgeDenied)
    assert [event.part for event in denials] == ["p1"]
    assert denials[0].tokens < 1.0


def test_part_without_an_answer_logs_its_copies_when_its_request_ends():
    driver = PoolDriver(extra=5.0)
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 0.0)
    driver.feed(Tick(), 0.06)
    driver.feed(PartCancelled("p1"), 0.08)
    (event,) = logged_events(driver, PartAbandoned)
    assert (event.copies, event.queued) == (2, 0)
    assert event.unanswered_ms == {"near": 80, "far": 20}
    assert not event.is_hedge_denied


def test_choice_is_logged_with_its_factors_and_their_ages():
    driver = PoolDriver((NEAR,))
    driver.feed(PartArrived(make_part(1)), 0.0)
    load = ReportedLoad(2, 1, 3)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 0.02, load)
    driver.feed(PartArrived(make_part(2)), 0.05)
    first, second = logged_events(driver, PartChosen)
    assert first.load_age_ms == UNKNOWN_AGE_MS
    assert second.load_age_ms == 30
    assert second.others == 3
    assert second.answer_age_ms == 30
