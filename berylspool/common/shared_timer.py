"""Many timeouts on one timer of the event loop."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["SharedTimer", "Timeout"]


@dataclass(slots=True, eq=False)
class Timeout:
    """A call at a time.

    Attributes:
        callback: Called at that time; None once it has run or is cancelled.
        due_at: The time, in monotonic seconds.
        queued_at: Time of its latest entry in the queue of the timer, which may
            be earlier.
    """

    callback: Callable[[], None] | None
    due_at: float
    queued_at: float

    def cancel(self) -> None:
        """Prevent the call."""
        self.callback = None


class SharedTimer:
    """Runs callbacks at their times.

    Nearly all timeouts are cancelled, and to set and cancel a timer of the
    event loop costs more than to parse an answer. Here both are cheap: the
    timer of the loop is set again only for an earlier time.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_serial = 0
        self._timeouts: list[tuple[float, int, Timeout]] = []
        self._wake_at = float("inf")
        self._handle: asyncio.TimerHandle | None = None

    def call_after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Timeout:
        """Call a function after a delay in seconds, unless it is cancelled."""
        due_at = self._clock() + delay_s
        timeout = Timeout(callback, due_at, due_at)
        self._queue(timeout)
        return timeout

    def restart(self, timeout: Timeout, delay_s: float) -> None:
        """Move a call to a delay in seconds from now, unless it has ended.

        A later time costs next to nothing.
        """
        timeout.due_at = due_at = self._clock() + delay_s
        if due_at < timeout.queued_at and timeout.callback is not None:
            timeout.queued_at = due_at
            self._queue(timeout)

    def _queue(self, timeout: Timeout) -> None:
        self._last_serial += 1
        due_at = timeout.queued_at
        heapq.heappush(self._timeouts, (due_at, self._last_serial, timeout))
        if due_at < self._wake_at:
            self._set_timer(due_at)

    def _set_timer(self, wake_at: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._wake_at = wake_at
        self._handle = asyncio.get_running_loop().call_later(
            max(0.0, wake_at - self._clock()), self._run_due
        )

    def _run_due(self) -> None:
        self._handle, self._wake_at = None, float("inf")
        now = self._clock()
        while self._timeouts:
            queued_at, _, timeout = self._timeouts[0]
            is_current = queued_at == timeout.queued_at and timeout.callback
            if is_current and queued_at > now:
                self._set_timer(min(queued_at, self._wake_at))
                return
            heapq.heappop(self._timeouts)
            if not is_current:
                continue
            if timeout.due_at > now:
                timeout.queued_at = timeout.due_at
                self._queue(timeout)
                continue
            callback, timeout.callback = timeout.callback, None
            if callback is not None:
                callback()
