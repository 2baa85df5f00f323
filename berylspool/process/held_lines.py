"""Log lines that are held until the outcome of their request is known.

Most requests are answered completely and in time. Under full load, writing the
lines of their parts would cost as much processor time as the parts themselves
and delay the answers, so only the lines of other requests are written.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylspool.common.event import Event
from berylspool.common.part_event import PartChosen
from berylspool.common.request_event import RequestEnded

__all__ = [
    "HeldLine",
    "HeldLines",
    "hold_line",
    "leave_out_lines",
    "take_lines",
    "take_relevant_lines",
]

# About ten seconds of lines at the highest rate at which choices are logged.
MAX_HELD_LINES = 5_000


@dataclass(slots=True)
class HeldLine:
    """A log event that is held.

    Attributes:
        at: Time of the event, in seconds since the epoch.
        event: The event.
    """

    at: float
    event: Event


@dataclass(slots=True)
class HeldLines:
    """Held lines of requests that have not ended.

    Attributes:
        wall_clock: Returns the seconds since the epoch.
        lines_by_request: Lines by the id of their request, oldest first.
        count: Number of lines held.
        left_out: Lines left out since the start, as their requests were
            answered completely and in time.
        dropped: Lines dropped since the start, as too many were held.
    """

    wall_clock: Callable[[], float]
    lines_by_request: dict[str, list[HeldLine]] = field(default_factory=dict)
    count: int = 0
    left_out: int = 0
    dropped: int = 0


def hold_line(state: HeldLines, request: str, event: Event) -> None:
    """Hold a line; over the limit, drop those of the oldest requests."""
    lines = state.lines_by_request.setdefault(request, [])
    lines.append(HeldLine(state.wall_clock(), event))
    state.count += 1
    while state.count > MAX_HELD_LINES:
        oldest = next(iter(state.lines_by_request))
        state.dropped += len(take_lines(state, oldest))


def take_lines(state: HeldLines, request: str) -> list[HeldLine]:
    """Remove and return the lines of a request.

    Examples:
        >>> from berylspool.common.event import LinesDropped
        >>> state = HeldLines(lambda: 7.0)
        >>> hold_line(state, "r", LinesDropped(2))
        >>> take_lines(state, "r"), take_lines(state, "r")
        ([HeldLine(at=7.0, event=LinesDropped(count=2))], [])
    """
    lines = state.lines_by_request.pop(request, [])
    state.count -= len(lines)
    return lines


def take_relevant_lines(
    state: HeldLines, ended: RequestEnded
) -> list[HeldLine]:
    """Remove the lines of a request and return those that explain its end.

    If services are missing from an answer, or one answered last, the first
    copies of all other parts are left out.
    """
    lines = take_lines(state, ended.request)
    relevant_services = {*ended.missing, ended.last} - {""}
    if not relevant_services:
        return lines
    relevant = [
        line
        for line in lines
        if not isinstance(line.event, PartChosen)
        or line.event.copy > 1
        or line.event.service in relevant_services
    ]
    state.left_out += len(lines) - len(relevant)
    return relevant


def leave_out_lines(state: HeldLines, request: str) -> None:
    """Remove the lines of a request, and count them as left out."""
    state.left_out += len(take_lines(state, request))
