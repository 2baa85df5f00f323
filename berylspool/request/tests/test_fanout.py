"""Tests of the fan-out; its coverage is checked against an oracle."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.request.fanout import (
    CallerDisconnected,
    DeadlinePassed,
    Finish,
    PinnedMap,
    SendPart,
    start,
    step,
)
from berylspool.request.fanout_message import (
    KeyRevoked,
    PartsWithdrawn,
    WithdrawParts,
)
from berylspool.request.query import (
    Answer,
    PartFailed,
    PartRefused,
    PartRows,
    Query,
    Reason,
    Refusal,
    Snapshot,
)

V1 = Snapshot("v1", 1)
V2 = Snapshot("v2", 2)


def query(**changes):
    fields = {
        "id": "q",
        "route": "r",
        "body": "{}",
        "deadline": 1.0,
        "fingerprint": "f",
    }
    return Query(**{**fields, **changes})


def start_fan_out(shards, **changes):
    pinned = PinnedMap(V1, tuple(f"s{i}" for i in range(shards)))
    state, actions = start(query(**changes), pinned, 0.0)
    return state, [a.part for a in actions if isinstance(a, SendPart)]


def outcome_of(actions):
    outcomes = [a.outcome for a in actions if isinstance(a, Finish)]
    assert len(outcomes) <= 1
    return outcomes[0] if outcomes else None


RESULT_KINDS = st.sampled_from(
    ["rows", "mixed", "refused", "failed", "ignored"]
)


def result_of(kind, part):
    match kind:
        case "rows":
            return PartRows(part.id, part.snapshot, (part.shard,), 1)
        case "mixed":
            return PartRows(part.id, V2, (part.shard,), 1)
        case "refused":
            return PartRefused(part.id, Reason.OVERLOAD, 0.1)
        case "failed":
            return PartFailed(part.id, Reason.UPSTREAM_ERROR, 1)


@given(st.lists(RESULT_KINDS, min_size=1, max_size=12), st.randoms())
def test_coverage_counts_exactly_the_shards_with_rows(kinds, rng):
    state, parts = start_fan_out(len(kinds))
    events = [
        result_of(kind, part)
        for kind, part in zip(kinds, parts, strict=True)
        if kind != "ignored"
    ]
    events += events[: len(events) // 2]
    rng.shuffle(events)
    outcomes = [outcome_of(step(state, e, 0.1)) for e in events]
    outcomes.append(outcome_of(step(state, DeadlinePassed(), 1.0)))
    final_outcomes = [o for o in outcomes if o is not None]
    assert len(final_outcomes) == 1
    answered_shards = {i for i, kind in enumerate(kinds) if kind == "rows"}
    match final_outcomes[0]:
        case Answer(rows=rows, coverage=coverage):
            assert set(rows) == answered_shards and len(rows) == len(
                answered_shards
            )
            assert coverage.answered == len(answered_shards)
            assert coverage.total == len(kinds)
            assert (
                set(coverage.missing)
                == set(range(len(kinds))) - answered_shards
            )
        case Refusal(not_run=not_run):
            assert not answered_shards
            ran = {"mixed", "failed", "ignored"} & set(kinds)
            assert not_run == (not ran)


def test_rows_of_another_snapshot_are_never_merged():
    state, parts = start_fan_out(2)
    step(state, PartRows(parts[0].id, V1, ("a",), 1), 0.1)
    outcome = outcome_of(step(state, PartRows(parts[1].id, V2, ("b",), 1), 0.1))
    assert outcome.rows == ("a",)
    assert outcome.coverage.missing == {1: Reason.WRONG_SNAPSHOT}


def test_lost_snapshot_restarts_once_on_the_newest_one():
    state, parts = start_fan_out(2)
    state.newest_map = PinnedMap(V2, ("s0", "s1", "s2"))
    step(state, PartRows(parts[0].id, V1, ("old",), 1), 0.1)
    actions = step(
        state, PartFailed(parts[1].id, Reason.WRONG_SNAPSHOT, 1), 0.1
    )
    sent = [a.part for a in actions if isinstance(a, SendPart)]
    assert [part.snapshot for part in sent] == [V2, V2, V2]
    late = PartRows(parts[0].id, V1, ("old",), 1)
    assert step(state, late, 0.2) == []
    for part in sent:
        done = step(state, PartRows(part.id, V2, (part.shard,), 1), 0.2)
    answer = outcome_of(done)
    assert answer.snapshot == V2 and answer.rows == (0, 1, 2)


@pytest.mark.parametrize(
    ("lost", "is_pending", "not_run"),
    [
        (PartRefused("", Reason.WRONG_SNAPSHOT, 0.1, 1), False, True),
        (PartRefused("", Reason.WRONG_SNAPSHOT, 0.1, 1), True, False),
        (PartFailed("", Reason.WRONG_SNAPSHOT, 2), False, False),
    ],
)
def test_restart_does_not_forget_that_a_part_may_have_run(
    lost, is_pending, not_run
):
    """Guards against "not run" for a query that a restart has cancelled."""
    state, parts = start_fan_out(1 + is_pending)
    state.newest_map = PinnedMap(V2, ("s0",))
    actions = step(state, replace(lost, part_id=parts[0].id), 0.1)
    [again] = [a.part for a in actions if isinstance(a, SendPart)]
    refused = PartRefused(again.id, Reason.OVERLOAD, 0.1)
    outcome = outcome_of(step(state, refused, 0.2))
    assert outcome.not_run == not_run


def test_command_is_not_resent_after_it_may_have_run():
    state, parts = start_fan_out(1, key="k")
    actions = step(state, PartFailed(parts[0].id, Reason.SHUTTING_DOWN, 1), 0.1)
    assert not any(isinstance(a, SendPart) for a in actions)
    assert outcome_of(actions).not_run is False


def test_unreachable_min_coverage_ends_early_and_cancels_the_rest():
    state, parts = start_fan_out(4, min_coverage=1.0)
    refused = PartRefused(parts[2].id, Reason.OVERLOAD, 0.1)
    actions = step(state, refused, 0.1)
    assert outcome_of(actions).reason is Reason.OVERLOAD
    assert len(actions) == 4


def test_disconnected_caller_cancels_every_pending_part():
    state, parts = start_fan_out(3)
    actions = step(state, CallerDisconnected(), 0.1)
    assert len(actions) == 4
    assert step(state, DeadlinePassed(), 1.0) == []


def test_revoked_request_is_refused_once_its_parts_are_back():
    state, parts = start_fan_out(2)
    assert step(state, KeyRevoked(), 0.1) == [
        WithdrawParts((parts[0].id, parts[1].id))
    ]
    outcome = outcome_of(step(state, PartsWithdrawn(), 0.1))
    assert outcome == Refusal("q", Reason.UNKNOWN_KEY, True, 0.0)
    assert not step(state, PartRows(parts[0].id, V1, (), 1), 0.2)


def test_revoked_request_that_runs_goes_on():
    """Its answer would be lost, or a refusal would say that it did not run."""
    state, parts = start_fan_out(2)
    step(state, PartRows(parts[0].id, V1, ("x",), 1), 0.1)
    assert step(state, KeyRevoked(), 0.1) == []
    actions = step(state, PartRows(parts[1].id, V1, ("y",), 1), 0.2)
    assert outcome_of(actions).rows == ("x", "y")


def test_revoked_request_asks_again_after_a_part_was_refused():
    """The first question came too late for a part that had just ended."""
    state, parts = start_fan_out(3)
    step(state, KeyRevoked(), 0.1)
    refused = PartRefused(parts[0].id, Reason.OVERLOAD, 0.1)
    assert step(state, refused, 0.1) == [
        WithdrawParts((parts[1].id, parts[2].id))
    ]
    moved = PartRefused(parts[1].id, Reason.NO_OWNER, 0.1)
    [resent, withdrawal] = step(state, moved, 0.1)
    assert withdrawal == WithdrawParts((parts[2].id, resent.part.id))


def test_revoked_request_whose_copy_was_refused_goes_on():
    """A refusal as unknown says that nothing has reached an upstream."""
    state, parts = start_fan_out(2)
    step(state, PartRefused(parts[0].id, Reason.OVERLOAD, 0.1, 1), 0.1)
    assert step(state, KeyRevoked(), 0.1) == []
