"""Tests of moves: deadline, traffic shares, blocked versions and verdicts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.exception import CommandError
from berylspool.process.entry.reply_statistics import (
    ReplyStatistics,
    record_reply,
    take_tallies,
    update_moves,
)
from berylspool.request.query import Part, Reason, Snapshot
from berylspool.version import move as moves
from berylspool.version.canary_analysis import (
    RouteObservations,
    add_tally,
    compare_versions,
    new_latency_histogram,
    start_stage,
)
from berylspool.version.configuration import (
    Configuration,
    Route,
    Service,
    Version,
    pin_version,
)
from berylspool.version.move import (
    CanaryVerdict,
    Evaluation,
    Move,
    MoveState,
    step,
    traffic_share,
)
from berylspool.version.operation import (
    ClearVersion,
    FinishMove,
    PauseMove,
    ReplaceMove,
    ResumeMove,
    StartMove,
    TakeBackMove,
)
from berylspool.version.pool.message import (
    ErrorReply,
    ObservedReply,
    OutrunReply,
    RowsReply,
)
from berylspool.version.revision import apply_operations

VERSION_BY_NAME = {
    "v1": Version("v1", 1, ("a",)),
    "v2": Version("v2", 2, ("a", "b")),
}
CONFIGURATION = Configuration(
    revision=1,
    service_by_name={n: Service(n) for n in "ab"},
    route_by_name={"r": Route("r", "v1", VERSION_BY_NAME)},
)
START = StartMove("r", "v2", 60.0)


def run_move(verdicts, deadline_at=60.0, step_s=0.5, tail=CanaryVerdict.OPEN):
    """Step a move by one verdict per tick, then repeat `tail` until it ends."""
    move = Move("r", "v1", "v2", 0.0, deadline_at)
    now, history = 0.0, [move]
    for verdict in verdicts:
        now += step_s
        move = step(move, Evaluation(verdict, "evidence"), now)
        history.append(move)
    while move.state not in moves.ENDED_STATES and now < deadline_at * 3:
        now += step_s
        move = step(move, Evaluation(tail, "evidence"), now)
        history.append(move)
    return history, now


@given(
    st.lists(st.sampled_from(CanaryVerdict), max_size=150),
    st.sampled_from(CanaryVerdict),
)
def test_every_move_ends_by_its_deadline(verdicts, tail):
    history, now = run_move(verdicts, tail=tail)
    assert history[-1].state in moves.ENDED_STATES
    assert now <= 60.0 + moves.TAKE_BACK_DRAIN_S + 1.0 or len(verdicts) > 120


@given(
    st.lists(
        st.sampled_from([CanaryVerdict.OPEN, CanaryVerdict.GOOD]), max_size=100
    )
)
def test_traffic_share_skips_no_stage_and_waits_for_the_verdict(verdicts):
    history, _ = run_move(verdicts)
    shares = [traffic_share(move) for move in history]
    steps = (0.0, moves.CANARY_SHARE, *moves.RAMP_SHARES)
    for before, after in zip(shares, shares[1:], strict=False):
        if after > before:
            assert steps.index(after) == steps.index(before) + 1
    if CanaryVerdict.GOOD not in verdicts:
        assert max(shares) <= moves.CANARY_SHARE


@given(st.lists(st.just(CanaryVerdict.GOOD), max_size=60))
def test_bad_verdict_stops_new_requests_immediately(verdicts):
    history, _ = run_move(verdicts)
    live = (
        history[-1]
        if history[-1].state not in moves.ENDED_STATES
        else history[0]
    )
    after = step(live, Evaluation(CanaryVerdict.BAD, "evidence"), 1.0)
    assert after.state is MoveState.TAKING_BACK
    assert traffic_share(after) == 0.0
    assert after.cause == "evidence"


def test_move_with_good_verdicts_is_done_by_its_deadline():
    history, now = run_move([CanaryVerdict.GOOD] * 120)
    assert history[-1].state is MoveState.DONE and now <= 60.0


def test_move_that_cannot_meet_its_deadline_is_marked_as_late():
    history, _ = run_move([])
    late = next(move for move in history if move.is_late)
    assert late.state is MoveState.CANARY and late.cause


def configuration_with_move():
    return apply_operations(CONFIGURATION, (START,), 0.0)


def test_version_that_was_taken_back_stays_blocked_until_cleared():
    moving = configuration_with_move()
    taking_back = apply_operations(moving, (TakeBackMove("r"),), 1.0)
    move = taking_back.move_by_route["r"]
    taken_back = step(
        move, Evaluation(CanaryVerdict.GOOD), 1.0 + moves.TAKE_BACK_DRAIN_S
    )
    ended = apply_operations(
        taking_back, (ReplaceMove(move, taken_back),), 10.0
    )
    assert ended.move_by_route["r"].state is MoveState.TAKEN_BACK
    with pytest.raises(CommandError):
        apply_operations(ended, (START,), 11.0)
    cleared = apply_operations(ended, (ClearVersion("r", "v2"), START), 12.0)
    assert cleared.move_by_route["r"].state is MoveState.PREPARED


def test_paused_move_keeps_its_share_and_resumes():
    moving = configuration_with_move()
    move = moving.move_by_route["r"]
    canary = step(move, Evaluation(CanaryVerdict.OPEN), 1.0)
    moving = apply_operations(moving, (ReplaceMove(move, canary),), 1.0)
    paused = apply_operations(moving, (PauseMove("r"),), 2.0)
    share = traffic_share(paused.move_by_route["r"])
    assert share == moves.CANARY_SHARE
    resumed = apply_operations(paused, (ResumeMove("r"),), 3.0)
    assert resumed.move_by_route["r"].state is MoveState.CANARY


def test_finished_move_changes_the_stable_version():
    finished = apply_operations(
        configuration_with_move(), (FinishMove("r"),), 1.0
    )
    move = finished.move_by_route["r"]
    assert traffic_share(move) == 1.0
    done = step(move, Evaluation(CanaryVerdict.GOOD), 30.0)
    ended = apply_operations(finished, (ReplaceMove(move, done),), 30.0)
    assert ended.route_by_name["r"].stable == "v2"


def test_stale_replacement_by_a_former_leader_is_rejected():
    moving = configuration_with_move()
    move = moving.move_by_route["r"]
    paused = apply_operations(moving, (PauseMove("r"),), 1.0)
    after = step(move, Evaluation(CanaryVerdict.OPEN), 2.0)
    with pytest.raises(CommandError):
        apply_operations(paused, (ReplaceMove(move, after),), 2.0)


def test_pin_applies_the_canary_share_and_the_local_block():
    move = Move("r", "v1", "v2", 0.0, 60.0, MoveState.CANARY)
    moving = Configuration(
        service_by_name=CONFIGURATION.service_by_name,
        route_by_name=CONFIGURATION.route_by_name,
        move_by_route={"r": move},
    )
    pins = [
        pin_version(moving, "r", hash_value) for hash_value in range(10_000)
    ]
    new = [p for p in pins if p.snapshot == Snapshot("v2", 2)]
    assert len(new) == 10_000 * moves.CANARY_SHARE and new[0].services == (
        "a",
        "b",
    )
    blocked = {("r", "v2")}
    assert pin_version(moving, "r", 0, blocked).snapshot == Snapshot("v1", 1)


def observe_version(
    observations, rng, version, count, failure_rate, slow_factor=1.0
):
    latency = new_latency_histogram()
    failed = 0
    for _ in range(count):
        if rng.random() < failure_rate:
            failed += 1
            continue
        usual_us = rng.lognormvariate(0, 0.35) * 5000
        latency_us = 60_000 if rng.random() < 0.02 else usual_us
        latency.record_value(int(latency_us * slow_factor))
    encoded = latency.encode()
    add_tally(observations, version, count - failed, failed, encoded)


def verdict_of(seed, failure_rate=0.001, slow_factor=1.0, old_rate=0.001):
    """Evaluate in steps, as control does, and return the first verdict."""
    rng = random.Random(seed)
    observations = RouteObservations()
    for _ in range(100):
        observe_version(observations, rng, "v1", 950, old_rate)
        observe_version(observations, rng, "v2", 50, failure_rate, slow_factor)
        verdict, cause = compare_versions(observations, "v1", "v2")
        if verdict is not CanaryVerdict.OPEN:
            return verdict, cause
    return CanaryVerdict.OPEN, ""


@pytest.mark.parametrize(
    ("failure_rate", "slow_factor", "expected"),
    [
        (0.001, 1.0, CanaryVerdict.GOOD),
        (0.3, 1.0, CanaryVerdict.BAD),
        (0.05, 1.0, CanaryVerdict.BAD),
        (0.001, 3.0, CanaryVerdict.BAD),
        (0.001, 1.8, CanaryVerdict.BAD),
    ],
)
def test_verdict_on_failures_and_latency(failure_rate, slow_factor, expected):
    verdicts = [
        verdict_of(seed, failure_rate, slow_factor) for seed in range(10)
    ]
    assert {verdict for verdict, _ in verdicts} == {expected}
    assert all(bool(c) == (expected is CanaryVerdict.BAD) for _, c in verdicts)


def test_last_stage_is_compared_with_the_old_version_in_the_previous_one():
    rng = random.Random(1)
    observations = RouteObservations()
    observe_version(observations, rng, "v1", 950, 0.001)
    observe_version(observations, rng, "v2", 50, 0.001)
    start_stage(observations)
    observe_version(observations, rng, "v2", 1000, 0.001)
    assert compare_versions(observations, "v1", "v2")[0] is CanaryVerdict.GOOD
    observe_version(observations, rng, "v2", 1000, 0.2)
    assert compare_versions(observations, "v1", "v2")[0] is CanaryVerdict.BAD


def test_version_that_is_as_bad_as_the_old_one_is_not_taken_back():
    verdicts = {verdict_of(s, 0.05, old_rate=0.05)[0] for s in range(10)}
    assert verdicts == {CanaryVerdict.GOOD}


def part_of(version):
    snapshot = Snapshot(version, 1)
    return Part("p", "q", "a", 0, snapshot, "{}", 1.0, "f", True, "r")


def test_entry_blocks_a_new_version_when_most_answers_are_failures():
    statistics = ReplyStatistics()
    move = Move("r", "v1", "v2", 0.0, 60.0, MoveState.CANARY)
    update_moves(statistics, {"r": move})
    bad = ObservedReply(
        part_of("v2"), ErrorReply(Reason.UPSTREAM_ERROR), 0.1, True
    )
    good = ObservedReply(
        part_of("v1"), RowsReply(part_of("v1").snapshot, ()), 0.1, True
    )
    for _ in range(8):
        record_reply(statistics, good)
        record_reply(statistics, bad)
    assert statistics.blocked_versions == {("r", "v2")}
    tally_by_version = {
        tally.version: tally for tally in take_tallies(statistics)
    }
    assert (tally_by_version["v1"].answered, tally_by_version["v2"].failed) == (
        8,
        8,
    )
    assert take_tallies(statistics) == ()
    update_moves(statistics, {})
    assert not statistics.blocked_versions


def test_routes_without_a_move_are_not_counted():
    statistics = ReplyStatistics()
    reply = ObservedReply(
        part_of("v1"), RowsReply(part_of("v1").snapshot, ()), 0.1, True
    )
    record_reply(statistics, reply)
    assert take_tallies(statistics) == ()


def test_slower_copy_of_a_hedge_counts_with_its_time():
    statistics = ReplyStatistics()
    update_moves(
        statistics, {"r": Move("r", "v1", "v2", 0.0, 60.0, MoveState.CANARY)}
    )
    record_reply(
        statistics, ObservedReply(part_of("v1"), OutrunReply(), 0.1, True)
    )
    [tally] = take_tallies(statistics)
    assert (tally.answered, tally.failed) == (0, 0)
    observations = RouteObservations()
    add_tally(observations, "v1", 0, 0, tally.latency)
    assert observations.current_by_version["v1"].latency.total_count == 1
