"""Windows of time that usage is counted in, and an estimate of true time.

The wall clock of a VM may jump by seconds and back.  Windows follow the
monotonic clock plus an offset, which changes by a jump only if it lasts.
"""

import math
from dataclasses import dataclass

__all__ = [
    "WallClock",
    "observe_clocks",
    "wall_time",
    "window_at",
    "window_end",
]

# Far more than two readings differ that a busy process takes one after the
# other, and far less than a window.
MAX_SLEW_S = 0.25
# Share of the difference that one reading corrects; single readings are late
# by the time that the process waited between the two clocks.
SLEW_WEIGHT = 0.02
# A clock that is set right stays so, while a jump is corrected by the time
# service of the VM within a minute or two.
JUMP_PERSISTS_S = 120.0


@dataclass(slots=True)
class WallClock:
    """Estimate of the wall clock as an offset to the monotonic clock.

    Attributes:
        offset_s: Wall-clock time minus monotonic time, in seconds; None before
            the first reading.
        candidate_s: Offset since the latest jump, in seconds; None if the
            clock agrees with the estimate.
        candidate_since: Monotonic time of that jump, in seconds.
    """

    offset_s: float | None = None
    candidate_s: float | None = None
    candidate_since: float = 0.0


def observe_clocks(clock: WallClock, now: float, wall_now: float) -> float:
    """Apply a reading of both clocks to the estimate.

    Args:
        clock: Estimate to change in place.
        now: Monotonic time in seconds.
        wall_now: Seconds since the Unix epoch, by the wall clock.

    Returns:
        The jump in seconds that was adopted with this reading; 0 if none.

    Examples:
        >>> clock = WallClock()
        >>> observe_clocks(clock, 0.0, 1000.0)
        0.0
        >>> observe_clocks(clock, 1.0, 1003.0), wall_time(clock, 1.0)
        (0.0, 1001.0)
        >>> observe_clocks(clock, 1.0 + JUMP_PERSISTS_S, 1123.0)
        2.0
    """
    offset_s = wall_now - now
    if clock.offset_s is None:
        clock.offset_s = offset_s
        return 0.0
    difference_s = offset_s - clock.offset_s
    if abs(difference_s) <= MAX_SLEW_S:
        clock.offset_s += SLEW_WEIGHT * difference_s
        clock.candidate_s = None
        return 0.0
    candidate_s = clock.candidate_s
    if candidate_s is None or abs(offset_s - candidate_s) > MAX_SLEW_S:
        clock.candidate_s, clock.candidate_since = offset_s, now
        return 0.0
    if now - clock.candidate_since < JUMP_PERSISTS_S:
        return 0.0
    clock.offset_s, clock.candidate_s = offset_s, None
    return difference_s


def wall_time(clock: WallClock, at: float) -> float:
    """Return the estimated seconds since the epoch at a monotonic time.

    Args:
        clock: Estimate with at least one reading.
        at: Monotonic time in seconds.
    """
    assert clock.offset_s is not None
    return at + clock.offset_s


def window_at(time_s: float, window_s: float) -> int:
    """Return the number of the window that a time belongs to.

    Args:
        time_s: Seconds since the Unix epoch.
        window_s: Length of a window in seconds.

    Examples:
        >>> window_at(9.9, 5.0), window_at(10.0, 5.0)
        (1, 2)
    """
    return math.floor(time_s / window_s)


def window_end(window: int, window_s: float) -> float:
    """Return the time at which a window ends, in seconds since the epoch."""
    return (window + 1) * window_s
