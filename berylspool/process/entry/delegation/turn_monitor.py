"""Monitor of the event loop, which tells whether the process was frozen."""

import asyncio
from collections.abc import Callable

__all__ = ["TurnMonitor"]

TICK_INTERVAL_S = 0.02
# With the interval it is 50 ms: a longer freeze is always noticed.
MAX_LATENESS_S = 0.03
# Time in which everything that arrived during a freeze has been read.
READING_S = 0.05


class TurnMonitor:
    """Notes when the event loop has not turned for a while.

    Monotonic time passes while a process is stopped, so that its next turn
    finds the timer of the monitor overdue.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._expected_at = float("inf")
        self._reads_old_until = float("-inf")

    async def run(self) -> None:
        """Watch the event loop until the task is cancelled."""
        while True:
            self._expected_at = self._clock() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self._note(self._clock())

    def was_frozen(self) -> bool:
        """Return whether a message that is read now may be from a freeze."""
        now = self._clock()
        self._note(now)
        return now < self._reads_old_until

    def _note(self, now: float) -> None:
        if now - self._expected_at > MAX_LATENESS_S:
            self._reads_old_until = now + READING_S
