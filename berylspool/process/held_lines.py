"""Lines that are written only if their request turns out to be of interest.

It answers full load: most requests are answered whole and in time, and the
lines of their parts would cost as much processor time as the parts, while the
answers wait.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylspool.common.event import Event

__all__ = ["Held", "HeldLines", "drop", "hold", "release"]

# About ten seconds of choices at the most that are written.
MOST_HELD = 5_000


@dataclass(frozen=True, slots=True)
class Held:
    """A line and the moment that it tells of, in seconds since the epoch."""

    at: float
    event: Event


@dataclass(slots=True)
class HeldLines:
    """Lines of requests that have not ended.

    Attributes:
        wall: Seconds since the epoch.
        lines_by_request: The lines, by the id of their request, oldest first.
        count: Number of all lines.
        left_out: Lines of requests that were answered whole and in time.
        lost: Lines that there was no room for.
    """

    wall: Callable[[], float]
    lines_by_request: dict[str, list[Held]] = field(default_factory=dict)
    count: int = 0
    left_out: int = 0
    lost: int = 0


def hold(state: HeldLines, request: str, event: Event) -> None:
    """Keep a line until its request has ended."""
    lines = state.lines_by_request.setdefault(request, [])
    lines.append(Held(state.wall(), event))
    state.count += 1
    while state.count > MOST_HELD:
        oldest = next(iter(state.lines_by_request))
        state.lost += len(release(state, oldest))


def release(state: HeldLines, request: str) -> list[Held]:
    """Return the lines of a request that must be written.

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
    """Count the lines of a request that need not be written."""
    state.left_out += len(release(state, request))
