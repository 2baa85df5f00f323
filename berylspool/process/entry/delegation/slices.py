"""Decisions on the slices of requests that other entries run for this one.

A helper accepts a slice at once.  One that does not is late: it is told to drop
the slice, and the parts run here.  A helper that has accepted is asked again
before half of the target latency is over; if it does not answer, the parts
without a result run here as extra copies.  Each part ends with one result.
"""

import heapq
from dataclasses import replace

from berylspool.common.request_event import HelperSuspended, SliceTakenBack
from berylspool.connection.message import (
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
    SliceResults,
)
from berylspool.process.entry.delegation.helper_health import (
    Cause,
    HelperHealth,
    may_use,
    on_answer,
    on_failure,
    on_linked,
)
from berylspool.process.entry.delegation.slice_codec import (
    decode_failure,
    decode_refusal,
    decode_rows,
    encode_slice,
)
from berylspool.process.entry.delegation.slice_message import (
    Deliver,
    HelperAnswered,
    HelperLinked,
    HelperLost,
    LogSlice,
    PartDropped,
    PartsAssigned,
    RequestEnded,
    RunHere,
    SendToHelper,
    SliceAction,
    SliceEvent,
    SlicesDue,
)
from berylspool.process.entry.delegation.slice_state import (
    Slice,
    Slices,
    next_due_at,
    set_due,
    target_s,
)
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    Reason,
)

__all__ = ["step"]

# A frame takes 0.2 ms within a zone, and a turn of a busy entry some 5 ms.
ACCEPT_TIMEOUT_S = 0.025
# Only a helper that is frozen or gone takes so long. One that is late may hedge
# parts that would then meet a third upstream, and answers them itself.
PROBE_TIMEOUT_S = 0.25
# A slice that is not accepted is dropped before its first hedge is due, as the
# report of a hedge may be lost like the acceptance.
DROP_SHARE_OF_HEDGE = 0.8
# A helper that runs has sent what it has by then. A part that starts here a
# little later may still answer in time.
ASK_SHARE = 0.5
# Helpers send what they have at 0.42 of the target, so that they need not be
# asked.
HEARD_SHARE = 0.4
# One upstream has got the part, or may have.
ATTEMPTS_LEFT = 1
# The helper lacks what the first entry has, such as a newer plan, or stops.
HELPER_REASONS = frozenset(
    {
        Reason.NO_UPSTREAM,
        Reason.NO_OWNER,
        Reason.LEASE_EXPIRED,
        Reason.SHUTTING_DOWN,
    }
)
# The request would send such a part again, whatever has run it.
RESENT_REASONS = frozenset({Reason.NO_OWNER, Reason.SHUTTING_DOWN})


def step(slices: Slices, event: SliceEvent, now: float) -> list[SliceAction]:
    """Apply one event.

    Args:
        slices: State to change in place.
        event: What happened.
        now: Monotonic time in seconds.

    Returns:
        Actions to perform, in order.
    """
    match event:
        case PartsAssigned(helper=helper, parts=parts):
            return _assign(slices, helper, parts, now)
        case HelperAnswered(helper=helper, message=message):
            return _on_message(slices, helper, message, now)
        case PartDropped(part_id=part_id, is_caller_gone=is_caller_gone):
            return _drop_part(slices, part_id, is_caller_gone)
        case RequestEnded(request_id=request_id):
            return [
                _drop_slice(slices, slices.slice_by_id[id], False)
                for id in sorted(slices.ids_by_request.get(request_id, ()))
            ]
        case HelperLinked(helper=helper):
            on_linked(_health(slices, helper))
            return []
        case HelperLost(helper=helper):
            lost = [
                s for s in slices.slice_by_id.values() if s.helper == helper
            ]
            return [
                action
                for slice in lost
                for action in _take_back(slices, slice, Cause.LINK_LOST, now)
            ]
        case SlicesDue():
            return _run_due(slices, now)


def _health(slices: Slices, helper: str) -> HelperHealth:
    return slices.health_by_helper.setdefault(helper, HelperHealth())


def _assign(
    slices: Slices, helper: str, parts: list[Part], now: float
) -> list[SliceAction]:
    request_id = parts[0].request_id
    if not may_use(_health(slices, helper), now):
        return [RunHere(request_id, parts, may_have_run=False)]
    slices.last_id += 1
    slice = Slice(
        slices.last_id, helper, request_id, dict(enumerate(parts)), now
    )
    slices.slice_by_id[slice.id] = slice
    slices.ids_by_request.setdefault(request_id, set()).add(slice.id)
    slices.place_by_part.update(
        {part.id: (slice, index) for index, part in enumerate(parts)}
    )
    set_due(slices, slice, now + _accept_timeout_s(parts[0]))
    return [SendToHelper(helper, encode_slice(slice.id, parts))]


def _accept_timeout_s(part: Part) -> float:
    forward = part.forward
    if forward is None or forward.hedge_after_s is None:
        return ACCEPT_TIMEOUT_S
    return min(ACCEPT_TIMEOUT_S, DROP_SHARE_OF_HEDGE * forward.hedge_after_s)


def _on_message(
    slices: Slices,
    helper: str,
    message: SliceAccepted | SliceRefused | SliceResults,
    now: float,
) -> list[SliceAction]:
    slice = slices.slice_by_id.get(message.id)
    if slice is None or slice.helper != helper:
        # An answer to a slice that has ended is late, but shows that the
        # helper runs again.
        on_answer(_health(slices, helper), in_time=False)
        return []
    on_answer(
        _health(slices, helper), in_time=not isinstance(message, SliceRefused)
    )
    match message:
        case SliceAccepted(hedged=hedged):
            slice.hedged.update(hedged)
            _accept(slices, slice, now)
            return []
        case SliceRefused():
            return _take_back(slices, slice, Cause.REFUSED, now)
        case SliceResults():
            _accept(slices, slice, now)
            is_late = now >= slice.sent_at + HEARD_SHARE * target_s(slice)
            actions = _on_results(slices, slice, message, now)
            if is_late and slice.pending_by_index:
                _ask_later(slices, slice, now)
            return actions


def _ask_later(slices: Slices, slice: Slice, now: float) -> None:
    """Ask the helper again if it sends nothing for a while."""
    slice.is_probed = False
    set_due(slices, slice, now + PROBE_TIMEOUT_S)


def _accept(slices: Slices, slice: Slice, now: float) -> None:
    """Note that the helper runs the slice, and when to ask it again."""
    if slice.is_probed:
        _ask_later(slices, slice, now)
    elif not slice.is_accepted:
        ask_after_s = target_s(slice) * ASK_SHARE
        set_due(slices, slice, slice.sent_at + ask_after_s)
    slice.is_accepted = True


def _on_results(
    slices: Slices, slice: Slice, message: SliceResults, now: float
) -> list[SliceAction]:
    results: list[PartResult] = []
    place_by_part, pending = slices.place_by_part, slice.pending_by_index
    if message.hedged:
        slice.hedged.update(message.hedged)
    for row in message.rows:
        part = pending.pop(row[0], None)
        if part is not None:
            del place_by_part[part.id]
            results.append(decode_rows(part, row))
    actions: list[SliceAction] = []
    for refused in message.refused:
        part = _end_part(slices, slice, refused[0])
        if part is not None:
            refusal = decode_refusal(part, refused)
            actions += _on_refusal(slice, part, refusal, results, now)
    for failed in message.failed:
        part = _end_part(slices, slice, failed[0])
        if part is not None:
            failure = decode_failure(part, failed, message)
            actions += _on_failure(slice, part, failure, results, now)
    if results:
        actions.append(Deliver(slice.request_id, results))
    if not pending:
        _end_slice(slices, slice)
    return actions


def _end_part(slices: Slices, slice: Slice, index: int) -> Part | None:
    part = slice.pending_by_index.pop(index, None)
    if part is not None:
        del slices.place_by_part[part.id]
    return part


def _on_refusal(
    slice: Slice,
    part: Part,
    refusal: PartRefused,
    results: list[PartResult],
    now: float,
) -> list[SliceAction]:
    if refusal.reason not in HELPER_REASONS:
        results.append(refusal)
        return []
    again = _part_here(slice, part, now, attempts=None, is_extra=False)
    return [RunHere(slice.request_id, [again], may_have_run=False)]


def _on_failure(
    slice: Slice,
    part: Part,
    failure: PartFailed,
    results: list[PartResult],
    now: float,
) -> list[SliceAction]:
    if failure.reason not in RESENT_REASONS:
        results.append(failure)
        return []
    attempts = part.forward.attempts if part.forward else 0
    if failure.attempts >= attempts:
        results.append(replace(failure, reason=Reason.CONNECTION_LOST))
        return []
    left = attempts - failure.attempts
    again = _part_here(slice, part, now, attempts=left, is_extra=True)
    return [RunHere(slice.request_id, [again], may_have_run=True)]


def _drop_part(
    slices: Slices, part_id: str, is_caller_gone: bool
) -> list[SliceAction]:
    """Drop a part; a request drops all that it has left."""
    place = slices.place_by_part.get(part_id)
    if place is None:
        return []
    slice, index = place
    _end_part(slices, slice, index)
    if slice.pending_by_index:
        return []
    return [_drop_slice(slices, slice, is_caller_gone)]


def _drop_slice(
    slices: Slices, slice: Slice, is_caller_gone: bool
) -> SliceAction:
    _end_slice(slices, slice)
    return SendToHelper(slice.helper, SliceDropped(slice.id, is_caller_gone))


def _end_slice(slices: Slices, slice: Slice) -> None:
    for part in slice.pending_by_index.values():
        del slices.place_by_part[part.id]
    del slices.slice_by_id[slice.id]
    ids = slices.ids_by_request[slice.request_id]
    ids.discard(slice.id)
    if not ids:
        del slices.ids_by_request[slice.request_id]


def _run_due(slices: Slices, now: float) -> list[SliceAction]:
    actions: list[SliceAction] = []
    while next_due_at(slices) <= now:
        _, id = heapq.heappop(slices.due)
        slice = slices.slice_by_id[id]
        if not slice.is_accepted:
            actions += _take_back(slices, slice, Cause.LATE, now)
        elif not slice.is_probed:
            slice.is_probed = True
            set_due(slices, slice, now + PROBE_TIMEOUT_S)
            actions.append(SendToHelper(slice.helper, SliceProbe(slice.id)))
        else:
            actions += _take_back(slices, slice, Cause.SILENT, now)
    return actions


def _take_back(
    slices: Slices, slice: Slice, cause: Cause, now: float
) -> list[SliceAction]:
    """Run the parts without a result at this entry.

    Parts that the helper has hedged fail: no further upstream may run them.
    """
    is_refused = cause is Cause.REFUSED and not slice.is_accepted
    attempts = None if is_refused else ATTEMPTS_LEFT
    parts, hedged = [], []
    for index, part in slice.pending_by_index.items():
        if index in slice.hedged:
            copies = part.forward.attempts if part.forward else 1
            hedged.append(PartFailed(part.id, Reason.CONNECTION_LOST, copies))
            continue
        parts.append(
            _part_here(slice, part, now, attempts, is_extra=slice.is_accepted)
        )
    _end_slice(slices, slice)
    actions: list[SliceAction] = []
    if hedged:
        actions.append(Deliver(slice.request_id, list(hedged)))
    if cause in (Cause.LATE, Cause.SILENT):
        actions.append(SendToHelper(slice.helper, SliceDropped(slice.id)))
    suspended_s = on_failure(_health(slices, slice.helper), cause, now)
    if suspended_s:
        event = HelperSuspended(slice.helper, cause, suspended_s)
        actions.append(LogSlice(event))
    taken_back = SliceTakenBack(
        slice.request_id, slice.helper, cause, len(parts), slice.is_accepted
    )
    actions.append(LogSlice(taken_back))
    if parts:
        actions.append(RunHere(slice.request_id, parts, not is_refused))
    return actions


def _part_here(
    slice: Slice, part: Part, now: float, attempts: int | None, is_extra: bool
) -> Part:
    """Return a part as this entry runs it in place of the helper."""
    forward = part.forward
    if forward is not None and attempts is not None:
        forward = replace(forward, attempts=attempts)
    timeout_s = max(part.timeout_s - (now - slice.sent_at), 0.0)
    return replace(
        part, forward=forward, timeout_s=timeout_s, is_extra=is_extra
    )
