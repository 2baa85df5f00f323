"""Requests in flight at an entry, and their end when the entry stops.

A stopping entry admits a request only if it will end in time, and gives each
one that is left at the end an outcome before its connection closes.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from berylspool.request.query import Query
from berylspool.request.request_task import RequestTask

__all__ = ["FINISH_S", "RunningRequests"]

# Time before the end of a graceful stop at which the last requests must end.
FINISH_S = 0.2

POLL_INTERVAL_S = 0.02
# The last accepted connections send requests within one or two round trips.
IDLE_S = 0.5
# Parts that were never sent are refused within a turn of the event loop.
REFUSAL_TIMEOUT_S = 0.05
# Enough to merge and write what is left.
OUTCOME_TIMEOUT_S = 0.1


class RunningRequests:
    """Requests that have no outcome yet.

    Args:
        clock: Returns the monotonic time in seconds.

    Attributes:
        ends_at: Time by which admitted requests must end, monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.ends_at = float("inf")
        self._clock = clock
        self._tasks: set[RequestTask] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def may_end_in_time(self, query: Query, target_latency_s: float) -> bool:
        """Return whether a new request will end before the entry stops.

        A request that may be repeated is expected to end at its target latency.
        Another one must be certain to.

        Args:
            query: The request.
            target_latency_s: Target latency of its route in seconds; 0 if it
                has none.
        """
        ends_at = query.deadline
        if query.key is None and target_latency_s:
            ends_at = min(ends_at, self._clock() + target_latency_s)
        return ends_at <= self.ends_at

    @contextlib.contextmanager
    def track(self, task: RequestTask) -> Iterator[None]:
        """Count a request as running within the context."""
        self._tasks.add(task)
        try:
            yield
        finally:
            self._tasks.discard(task)

    async def wait_until_idle(self) -> None:
        """Wait until none has run for `IDLE_S`, or all must have ended."""
        last_busy_at = self._clock()
        while self._clock() < self.ends_at:
            if self._tasks:
                last_busy_at = self._clock()
            elif self._clock() - last_busy_at >= IDLE_S:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def end_all(self, refuse_unsent: Callable[[], None]) -> None:
        """Give each running request an outcome.

        Args:
            refuse_unsent: Called to refuse the parts that were never sent. A
                request of such parts ends with a refusal that says so.
        """
        self.ends_at = float("-inf")
        refuse_unsent()
        await self._wait_for_outcomes(REFUSAL_TIMEOUT_S)
        for task in self._tasks:
            task.notify_stop()
        await self._wait_for_outcomes(OUTCOME_TIMEOUT_S)

    async def _wait_for_outcomes(self, timeout_s: float) -> None:
        give_up_at = self._clock() + timeout_s
        while self._tasks and self._clock() < give_up_at:
            await asyncio.sleep(min(timeout_s, POLL_INTERVAL_S))
