"""State machine of a request: fan-out over shards and merge of the results.

The fan-out pins one snapshot, sends one part to each shard of the pinned
partition map and merges only answers from that snapshot.  If an upstream no
longer serves the pinned snapshot, the fan-out restarts once on the newest one;
otherwise the shard is reported as missing in the coverage.

Two-level fan-out and coverage follow Dean and Barroso, "The Tail at Scale",
CACM 56(2), 2013.
"""

import heapq
from dataclasses import dataclass, field
from typing import Any

from berylspool.request.query import (
    Answer,
    Concatenate,
    Coverage,
    Outcome,
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Query,
    Reason,
    Refusal,
    Single,
    Snapshot,
    TopRecords,
    UpstreamResponse,
)

__all__ = [
    "CallerGone",
    "CancelPart",
    "DeadlinePassed",
    "FanOut",
    "FanOutAction",
    "FanOutEvent",
    "Finish",
    "Pinned",
    "SendPart",
    "TargetPassed",
    "start",
    "step",
]

MAX_SENDS_PER_SHARD = 3
RESEND_REASONS = frozenset({Reason.NO_OWNER, Reason.SHUTTING_DOWN})
RESTART_LIMIT = 1


@dataclass(frozen=True, slots=True)
class Pinned:
    """Partition map that a request is pinned to.

    Attributes:
        snapshot: Snapshot that the map belongs to.
        services: Name of the service of each shard, in shard order.
        version_by_service: Software version of a service's upstreams, where
            it differs from the version of the snapshot.
    """

    snapshot: Snapshot
    services: tuple[str, ...]
    version_by_service: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class TargetPassed:
    """The query's `answer_by` has passed: minimum coverage is now enough."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


FanOutEvent = PartResult | DeadlinePassed | TargetPassed | CallerGone


@dataclass(frozen=True, slots=True)
class SendPart:
    """Send a part to the owner of its service."""

    part: Part


@dataclass(frozen=True, slots=True)
class CancelPart:
    """Notify the owner that the result of a part is no longer needed.

    Attributes:
        part: Part to cancel.
        is_gone: Whether the caller has disconnected, so that work on the
            part must end.
    """

    part: Part
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the outcome to the caller; this is the last action."""

    outcome: Outcome


FanOutAction = SendPart | CancelPart | Finish


@dataclass(slots=True)
class FanOut:
    """State of one request's fan-out.

    Attributes:
        query: Query of the request.
        pinned: Partition map that the request is pinned to.
        newest: Partition map to restart on if the pinned snapshot is no
            longer served.
        pending: Parts without a result, by part id.
        answer_by_shard: Results of the answered shards, by shard index.
        last_shard: Index of the shard that answered last, or -1.
        missing: Reason for each failed shard, by shard index.
        sends: Number of sends for each shard, by shard index.
        attempts: Number of copies that owners sent to upstreams.
        may_have_run: Whether any upstream may have run a part.
        retry_after_s: Longest `retry_after_s` of all refused parts, in
            seconds.
        response: Latest error response of an upstream.
        restarts: Number of restarts on a newer snapshot.
        finished: Whether the outcome was returned.
    """

    query: Query
    pinned: Pinned
    newest: Pinned
    pending: dict[str, Part] = field(default_factory=dict)
    answer_by_shard: dict[int, PartRows] = field(default_factory=dict)
    last_shard: int = -1
    missing: dict[int, Reason] = field(default_factory=dict)
    sends: dict[int, int] = field(default_factory=dict)
    attempts: int = 0
    may_have_run: bool = False
    retry_after_s: float = 0.0
    response: UpstreamResponse | None = None
    restarts: int = 0
    finished: bool = False


def start(
    query: Query, pinned: Pinned, now: float
) -> tuple[FanOut, list[FanOutAction]]:
    """Pin a snapshot and send one part to each of its shards.

    Args:
        query: Validated query.
        pinned: Partition map to pin.
        now: Monotonic time in seconds.

    Returns:
        The new state, and a `SendPart` for each shard.

    Examples:
        >>> query = Query("r1", "permits", "{}", 1.0, "f")
        >>> pinned = Pinned(Snapshot("v1", 1), ("a", "b"))
        >>> state, actions = start(query, pinned, 0.0)
        >>> [action.part.service for action in actions]
        ['a', 'b']
    """
    state = FanOut(query, pinned, pinned)
    return state, _send_all(state, now)


def step(state: FanOut, event: FanOutEvent, now: float) -> list[FanOutAction]:
    """Apply one event to the fan-out.

    Args:
        state: State to change in place.
        event: Result of a part, or an event of the request itself.
        now: Monotonic time in seconds.

    Returns:
        Actions for the request task, in order.  A result of a part that is
        not pending (late, duplicate or from before a restart) gives none.
    """
    if state.finished:
        return []
    match event:
        case DeadlinePassed():
            return _abandon(state, Reason.TIMEOUT)
        case TargetPassed():
            if not _has_least(state) or not state.answer_by_shard:
                return []
            return _abandon(state, Reason.TIMEOUT)
        case CallerGone():
            return _abandon(state, Reason.CANCELLED, is_gone=True)
        case PartRows() | PartRefused() | PartFailed():
            part = state.pending.pop(event.part_id, None)
            if part is None:
                return []
            actions = _settle(state, part, event, now)
            if not state.pending:
                return [*actions, _finish(state)]
            if _is_hopeless(state):
                return actions + _abandon(state, Reason.CANCELLED)
            answer_by = state.query.answer_by
            if answer_by is not None and now >= answer_by:
                return actions + step(state, TargetPassed(), now)
            return actions


def _send_all(state: FanOut, now: float) -> list[FanOutAction]:
    return [
        _send(state, shard, now) for shard in range(len(state.pinned.services))
    ]


def _send(state: FanOut, shard: int, now: float) -> SendPart:
    query, pinned = state.query, state.pinned
    serial = state.sends.get(shard, 0) + 1
    state.sends[shard] = serial
    part = Part(
        id=f"{query.id}/{state.restarts}.{shard}.{serial}",
        request_id=query.id,
        service=pinned.services[shard],
        shard=shard,
        snapshot=_snapshot(pinned, shard),
        body=query.body,
        timeout_s=max(query.deadline - now, 0.0),
        fingerprint=query.fingerprint,
        idempotent=query.key is None,
        route=query.route,
        forward=query.forward,
    )
    state.pending[part.id] = part
    return SendPart(part)


def _snapshot(pinned: Pinned, shard: int) -> Snapshot:
    version = pinned.version_by_service.get(pinned.services[shard])
    if version is None:
        return pinned.snapshot
    return Snapshot(version, pinned.snapshot.partition)


def _settle(
    state: FanOut, part: Part, result: PartResult, now: float
) -> list[FanOutAction]:
    match result:
        case PartRows(snapshot=snapshot) if snapshot != part.snapshot:
            state.attempts += result.attempts
            state.may_have_run = True
            return _lose_snapshot(state, part, now)
        case PartRows():
            state.attempts += result.attempts
            state.may_have_run = True
            state.answer_by_shard[part.shard] = result
            state.last_shard = part.shard
        case PartFailed(reason=Reason.WRONG_SNAPSHOT):
            state.attempts += result.attempts
            return _lose_snapshot(state, part, now)
        case PartFailed(reason=reason):
            state.attempts += result.attempts
            state.may_have_run = True
            state.response = result.response or state.response
            if part.idempotent and reason in RESEND_REASONS:
                return _resend(state, part, reason, now)
            state.missing[part.shard] = reason
        case PartRefused(reason=reason):
            if reason in RESEND_REASONS:
                return _resend(state, part, reason, now)
            state.retry_after_s = max(state.retry_after_s, result.retry_after_s)
            state.missing[part.shard] = reason
    return []


def _resend(
    state: FanOut, part: Part, reason: Reason, now: float
) -> list[FanOutAction]:
    sent = state.sends[part.shard]
    if sent >= MAX_SENDS_PER_SHARD or now >= state.query.deadline:
        state.missing[part.shard] = reason
        return []
    return [_send(state, part.shard, now)]


def _lose_snapshot(state: FanOut, part: Part, now: float) -> list[FanOutAction]:
    """Restart on the newest snapshot, or mark the shard as missing."""
    can_restart = (
        state.restarts < RESTART_LIMIT
        and state.newest.snapshot != state.pinned.snapshot
        and part.idempotent
        and now < state.query.deadline
    )
    if not can_restart:
        state.missing[part.shard] = Reason.WRONG_SNAPSHOT
        return []
    cancels: list[FanOutAction] = [
        CancelPart(pending) for pending in state.pending.values()
    ]
    state.restarts += 1
    state.pinned = state.newest
    state.pending.clear()
    state.answer_by_shard.clear()
    state.missing.clear()
    state.sends.clear()
    return cancels + _send_all(state, now)


def _is_hopeless(state: FanOut) -> bool:
    """Return whether the minimum coverage can no longer be reached."""
    total = len(state.pinned.services)
    reachable = total - len(state.missing)
    return reachable < state.query.min_coverage * total


def _has_least(state: FanOut) -> bool:
    """Return whether the minimum coverage is reached."""
    least = state.query.min_coverage * len(state.pinned.services)
    return len(state.answer_by_shard) >= least


def _abandon(
    state: FanOut, reason: Reason, is_gone: bool = False
) -> list[FanOutAction]:
    actions: list[FanOutAction] = []
    for part in state.pending.values():
        actions.append(CancelPart(part, is_gone))
        state.missing[part.shard] = reason
    # A part that is still at its owner may be running at this moment.
    state.may_have_run = state.may_have_run or bool(state.pending)
    state.pending.clear()
    return [*actions, _finish(state)]


def _finish(state: FanOut) -> Finish:
    state.finished = True
    query, total = state.query, len(state.pinned.services)
    if not _has_least(state) or (not state.answer_by_shard and state.missing):
        reason = next(iter(state.missing.values()))
        return Finish(
            Refusal(
                query.id,
                reason,
                not_run=not state.may_have_run,
                retry_after_s=state.retry_after_s,
                response=state.response,
            )
        )
    answers = [
        state.answer_by_shard[shard] for shard in sorted(state.answer_by_shard)
    ]
    return Finish(
        Answer(
            query.id,
            state.pinned.snapshot,
            _merged(query, answers),
            Coverage(total, len(answers), dict(state.missing)),
            state.attempts,
            tuple(answer.stamp for answer in answers if answer.stamp),
            last_shard=state.last_shard,
        )
    )


def _merged(query: Query, answers: list[PartRows]) -> tuple[Any, ...]:
    rows = (row for answer in answers for row in answer.rows)
    match query.merge:
        case TopRecords(count=count):
            return tuple(heapq.nlargest(count, rows))
        case Concatenate() | Single():
            return tuple(rows)
