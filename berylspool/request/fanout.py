"""State machine of a request: fan-out over shards and merge of the results.

The fan-out pins one snapshot, sends one part to each shard of the pinned
partition map and merges only answers from that snapshot.  If an upstream no
longer serves the pinned snapshot, the fan-out restarts once on the newest one;
otherwise the shard is reported as missing in the coverage.

Two-level fan-out and coverage follow Dean and Barroso, "The Tail at Scale",
CACM 56(2), 2013.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

from berylspool.request.fanout_message import (
    CallerDisconnected,
    CancelPart,
    DeadlinePassed,
    EntryStopping,
    FanOutAction,
    FanOutEvent,
    Finish,
    KeyRevoked,
    PartsWithdrawn,
    SendPart,
    SoftDeadlinePassed,
    WithdrawParts,
)
from berylspool.request.query import (
    Answer,
    Concatenate,
    Coverage,
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Query,
    Reason,
    Refusal,
    SingleResponse,
    Snapshot,
    TopRecords,
    UpstreamResponse,
)

__all__ = [
    "CallerDisconnected",
    "CancelPart",
    "DeadlinePassed",
    "EntryStopping",
    "FanOut",
    "FanOutAction",
    "FanOutEvent",
    "Finish",
    "PinnedMap",
    "SendPart",
    "SoftDeadlinePassed",
    "start",
    "step",
]

MAX_SENDS_PER_SHARD = 3
RESEND_REASONS = frozenset({Reason.NO_OWNER, Reason.SHUTTING_DOWN})
MAX_RESTARTS = 1


@dataclass(frozen=True, slots=True)
class PinnedMap:
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


@dataclass(slots=True)
class FanOut:
    """State of one request's fan-out.

    Attributes:
        query: Query of the request.
        pinned: Partition map that the request is pinned to.
        newest_map: Partition map to restart on if the pinned snapshot is no
            longer served.
        pending_by_id: Parts without a result, by part id.
        answer_by_shard: Results of the answered shards, by shard index.
        last_shard: Index of the shard that answered last, or -1.
        missing_by_shard: Reason for each failed shard, by shard index.
        sends_by_shard: Number of sends for each shard, by shard index.
        attempts: Number of copies that owners sent to upstreams.
        may_have_run: Whether any upstream may have run a part.
        retry_after_s: Longest `retry_after_s` of all refused parts, in
            seconds.
        error_response: Latest error response of an upstream.
        restarts: Number of restarts on a newer snapshot.
        is_key_revoked: Whether the API key of the request is no longer valid.
        has_refused_copy: Whether an upstream has refused a copy of a part.
        is_finished: Whether the outcome was returned.
    """

    query: Query
    pinned: PinnedMap
    newest_map: PinnedMap
    pending_by_id: dict[str, Part] = field(default_factory=dict)
    answer_by_shard: dict[int, PartRows] = field(default_factory=dict)
    last_shard: int = -1
    missing_by_shard: dict[int, Reason] = field(default_factory=dict)
    sends_by_shard: dict[int, int] = field(default_factory=dict)
    attempts: int = 0
    may_have_run: bool = False
    retry_after_s: float = 0.0
    error_response: UpstreamResponse | None = None
    restarts: int = 0
    is_key_revoked: bool = False
    has_refused_copy: bool = False
    is_finished: bool = False


def start(
    query: Query, pinned: PinnedMap, now: float
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
        >>> pinned = PinnedMap(Snapshot("v1", 1), ("a", "b"))
        >>> state, actions = start(query, pinned, 0.0)
        >>> [action.part.service for action in actions]
        ['a', 'b']
    """
    state = FanOut(query, pinned, pinned)
    return state, _send_all_parts(state, now)


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
    if state.is_finished:
        return []
    match event:
        case PartRows() | PartRefused() | PartFailed():
            part = state.pending_by_id.pop(event.part_id, None)
            if part is None:
                return []
            actions = _record_result(state, part, event, now)
            if not state.pending_by_id:
                return [*actions, _finish(state)]
            if state.missing_by_shard and _is_min_coverage_unreachable(state):
                return actions + _cancel_pending(state, Reason.CANCELLED)
            soft_deadline = state.query.soft_deadline
            if soft_deadline is not None and now >= soft_deadline:
                return actions + step(state, SoftDeadlinePassed(), now)
            return actions
        case DeadlinePassed():
            return _cancel_pending(state, Reason.TIMEOUT)
        case SoftDeadlinePassed():
            if not _has_min_coverage(state) or not state.answer_by_shard:
                return []
            return _cancel_pending(state, Reason.TIMEOUT)
        case EntryStopping():
            return _cancel_pending(state, Reason.SHUTTING_DOWN)
        case CallerDisconnected():
            return _cancel_pending(state, Reason.CANCELLED, is_caller_gone=True)
        case KeyRevoked():
            state.is_key_revoked = True
            return _withdraw_pending(state)
        case PartsWithdrawn():
            return [_refuse_revoked(state)]


def _send_all_parts(state: FanOut, now: float) -> list[FanOutAction]:
    timeout_s = max(state.query.deadline - now, 0.0)
    return [
        _send_part(state, shard, timeout_s)
        for shard in range(len(state.pinned.services))
    ]


def _send_part(state: FanOut, shard: int, timeout_s: float) -> SendPart:
    query, pinned = state.query, state.pinned
    send_number = state.sends_by_shard.get(shard, 0) + 1
    state.sends_by_shard[shard] = send_number
    part = Part(
        id=f"{query.id}/{state.restarts}.{shard}.{send_number}",
        request_id=query.id,
        service=pinned.services[shard],
        shard=shard,
        snapshot=_part_snapshot(pinned, shard),
        body=query.body,
        timeout_s=timeout_s,
        fingerprint=query.fingerprint,
        idempotent=query.key is None,
        route=query.route,
        forward=query.forward,
    )
    state.pending_by_id[part.id] = part
    return SendPart(part)


def _part_snapshot(pinned: PinnedMap, shard: int) -> Snapshot:
    version = pinned.version_by_service.get(pinned.services[shard])
    if version is None:
        return pinned.snapshot
    return Snapshot(version, pinned.snapshot.partition)


def _record_result(
    state: FanOut, part: Part, result: PartResult, now: float
) -> list[FanOutAction]:
    match result:
        case PartRows():
            state.attempts += result.attempts
            state.may_have_run = True
            if result.snapshot != part.snapshot:
                return _handle_lost_snapshot(state, part, now)
            state.answer_by_shard[part.shard] = result
            state.last_shard = part.shard
        case PartFailed(reason=Reason.WRONG_SNAPSHOT):
            state.attempts += result.attempts
            state.may_have_run = True
            return _handle_lost_snapshot(state, part, now)
        case PartFailed(reason=reason):
            state.attempts += result.attempts
            state.may_have_run = True
            state.error_response = result.response or state.error_response
            if part.idempotent and reason in RESEND_REASONS:
                return _resend(state, part, reason, now)
            state.missing_by_shard[part.shard] = reason
        case PartRefused(reason=reason):
            state.has_refused_copy = state.has_refused_copy or result.sends > 0
            if reason is Reason.WRONG_SNAPSHOT:
                return _handle_lost_snapshot(state, part, now)
            if reason in RESEND_REASONS:
                return _resend(state, part, reason, now)
            state.retry_after_s = max(state.retry_after_s, result.retry_after_s)
            state.missing_by_shard[part.shard] = reason
            if state.is_key_revoked:
                # An earlier withdrawal failed if this part had ended by then.
                return _withdraw_pending(state)
    return []


def _resend(
    state: FanOut, part: Part, reason: Reason, now: float
) -> list[FanOutAction]:
    sends = state.sends_by_shard[part.shard]
    if sends >= MAX_SENDS_PER_SHARD or now >= state.query.deadline:
        state.missing_by_shard[part.shard] = reason
        return []
    resent = _send_part(state, part.shard, state.query.deadline - now)
    if state.is_key_revoked:
        return [resent, *_withdraw_pending(state)]
    return [resent]


def _withdraw_pending(state: FanOut) -> list[FanOutAction]:
    """Ask for the pending parts back, unless a copy of a part was sent."""
    was_sent = state.may_have_run or state.has_refused_copy
    if was_sent or not state.pending_by_id:
        return []
    return [WithdrawParts(tuple(state.pending_by_id))]


def _refuse_revoked(state: FanOut) -> Finish:
    """End a request whose parts are back, none of which was sent."""
    state.pending_by_id.clear()
    state.is_finished = True
    return Finish(Refusal(state.query.id, Reason.UNKNOWN_KEY, True, 0.0))


def _handle_lost_snapshot(
    state: FanOut, part: Part, now: float
) -> list[FanOutAction]:
    """Restart on the newest snapshot, or mark the shard as missing."""
    can_restart = (
        state.restarts < MAX_RESTARTS
        and state.newest_map.snapshot != state.pinned.snapshot
        and part.idempotent
        and now < state.query.deadline
    )
    if not can_restart:
        state.missing_by_shard[part.shard] = Reason.WRONG_SNAPSHOT
        return []
    cancels: list[FanOutAction] = [
        CancelPart(pending) for pending in state.pending_by_id.values()
    ]
    # A part that is still at its owner may be running at this moment.
    state.may_have_run = state.may_have_run or bool(state.pending_by_id)
    state.restarts += 1
    state.pinned = state.newest_map
    state.pending_by_id.clear()
    state.answer_by_shard.clear()
    state.missing_by_shard.clear()
    state.sends_by_shard.clear()
    return cancels + _send_all_parts(state, now)


def _is_min_coverage_unreachable(state: FanOut) -> bool:
    """Return whether the minimum coverage can no longer be reached."""
    total = len(state.pinned.services)
    reachable_shards = total - len(state.missing_by_shard)
    return reachable_shards < state.query.min_coverage * total


def _has_min_coverage(state: FanOut) -> bool:
    """Return whether the minimum coverage is reached."""
    min_answers = state.query.min_coverage * len(state.pinned.services)
    return len(state.answer_by_shard) >= min_answers


def _cancel_pending(
    state: FanOut, reason: Reason, is_caller_gone: bool = False
) -> list[FanOutAction]:
    actions: list[FanOutAction] = []
    for part in state.pending_by_id.values():
        actions.append(CancelPart(part, is_caller_gone))
        state.missing_by_shard[part.shard] = reason
    # A part that is still at its owner may be running at this moment.
    state.may_have_run = state.may_have_run or bool(state.pending_by_id)
    state.pending_by_id.clear()
    return [*actions, _finish(state)]


def _finish(state: FanOut) -> Finish:
    state.is_finished = True
    query, total = state.query, len(state.pinned.services)
    if not _has_min_coverage(state) or (
        not state.answer_by_shard and state.missing_by_shard
    ):
        reason = next(iter(state.missing_by_shard.values()))
        return Finish(
            Refusal(
                query.id,
                reason,
                not_run=not state.may_have_run,
                retry_after_s=state.retry_after_s,
                response=state.error_response,
            )
        )
    answers = [
        state.answer_by_shard[shard] for shard in sorted(state.answer_by_shard)
    ]
    return Finish(
        Answer(
            query.id,
            state.pinned.snapshot,
            _merge_rows(query, answers),
            Coverage(total, len(answers), dict(state.missing_by_shard)),
            state.attempts,
            tuple(answer.stamp for answer in answers if answer.stamp),
            last_shard=state.last_shard,
        )
    )


def _merge_rows(query: Query, answers: list[PartRows]) -> tuple[Any, ...]:
    rows = itertools.chain.from_iterable(answer.rows for answer in answers)
    match query.merge:
        case TopRecords(count=count):
            return tuple(heapq.nlargest(count, rows))
        case Concatenate() | SingleResponse():
            return tuple(rows)
