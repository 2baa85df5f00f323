"""State of the slices that other entries run for this one."""

import heapq
from dataclasses import dataclass, field

from berylspool.process.entry.delegation.helper_health import HelperHealth
from berylspool.request.query import Part

__all__ = ["Slice", "Slices", "next_due_at", "set_due", "target_s"]


@dataclass(slots=True)
class Slice:
    """Parts that a helper runs.

    Attributes:
        id: Number of the slice.
        helper: Name of the helper.
        request_id: Id of the request.
        pending_by_index: Parts without a result, by their position.
        sent_at: Time of sending, monotonic seconds.
        is_accepted: Whether the helper has accepted it.
        is_probed: Whether the helper was asked whether it still runs it.
        hedged: Positions of parts that the helper has sent to as many
            upstreams as may run them.
        due_at: Time at which an answer is overdue, or the helper is to be
            asked, monotonic seconds; infinite for none.
    """

    id: int
    helper: str
    request_id: str
    pending_by_index: dict[int, Part]
    sent_at: float
    is_accepted: bool = False
    is_probed: bool = False
    hedged: set[int] = field(default_factory=set)
    due_at: float = float("inf")


@dataclass(slots=True)
class Slices:
    """State of all slices that helpers run for this entry.

    Attributes:
        slice_by_id: Slices with a part without a result.
        place_by_part: Slice and position of each such part, by part id.
        ids_by_request: Slices of each request.
        health_by_helper: What was learnt of each helper.
        due: Heap of (time, slice id); entries that differ from `due_at` of
            the slice are stale.
        last_id: Number of the latest slice.
    """

    slice_by_id: dict[int, Slice] = field(default_factory=dict)
    place_by_part: dict[str, tuple[Slice, int]] = field(default_factory=dict)
    ids_by_request: dict[str, set[int]] = field(default_factory=dict)
    health_by_helper: dict[str, HelperHealth] = field(default_factory=dict)
    due: list[tuple[float, int]] = field(default_factory=list)
    last_id: int = 0


def next_due_at(slices: Slices) -> float:
    """Return when `SlicesDue` is needed next, in monotonic seconds."""
    while slices.due:
        due_at, id = slices.due[0]
        slice = slices.slice_by_id.get(id)
        if slice is not None and slice.due_at == due_at:
            return due_at
        heapq.heappop(slices.due)
    return float("inf")


def set_due(slices: Slices, slice: Slice, due_at: float) -> None:
    """Set the time at which the slice is due; infinite for never."""
    slice.due_at = due_at
    if due_at < float("inf"):
        heapq.heappush(slices.due, (due_at, slice.id))


def target_s(slice: Slice) -> float:
    """Return the target latency of the request, in seconds."""
    part = next(iter(slice.pending_by_index.values()))
    return part.forward.target_latency_s if part.forward else 0.0
