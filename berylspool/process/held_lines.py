"""Log lines that are held until the outcome of their request is known.

Most requests are answered completely and in time. Under full load, writing the
lines of their parts would cost as much processor time as the parts themselves
and delay the answers, so only the lines of other requests are written.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylspool.common.event import Event

__all__ = ["Held", "HeldLines", "drop", "hold", "release"]

# About ten seconds of lines at the highest rate at which choices are logged.
MOST_HELD = 5_000


@dataclass(frozen=True, slots=True)
class Held:
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
        wall: Returns the seconds since the epoch.
        lines_by_request: Lines by the id of their request, oldest first.
        count: Number of lines held.
        left_out: Lines left out since the start, as their requests were
            answered completely and in time.
        lost: Lines dropped since the start, as too many were held.
    """

    wall: Callable[[], float]
    lines_by_request: dict[str, list[Held]] = field(default_factory=dict)
    count: int = 0
    left_out: int = 0
    lost: int = 0


def hold(state: HeldLines, request: str, event: Event) -> None:
    """Hold a line; over the limit, drop those of the oldest requests."""
    lines = state.lines_by_request.setdefault(request, [])
    lines.append(Held(state.wall(), event))
    state.count += 1
    while state.count > MOST_HELD:
        oldest = next(iter(state.lines_by_request))
        state.lost += len(release(state, oldest))


def release(state: HeldLines, request: str) -> list[Held]:
    """Remove and return the lines of a request.

    Examples:
        >>> state = HeldLines(lambda: 7.0)
        >>> hold(state, "r", Event())
        >>> release(state, "r"), release(state, "r")
        ([Held(at=7.0, event=Event())], [])
    """
    lines = state.lines_by_request.pop(request, [])
    state.count -= len(lines)
    return lines


def drop(state: HeldLines, request: str) -> None:
    """Remove the lines of a request, and count them as left out."""
    state.left_out += len(release(state, request))
