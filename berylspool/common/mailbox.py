"""Mailboxes: how the tasks of a process talk to each other."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["Mailbox"]

T = TypeVar("T")


class Mailbox(Generic[T]):
    """An unbounded queue with one reader, which takes all messages at once.

    Taking all messages lets the reader pay for a wake-up, a frame or a
    system call once for many messages.  Bounds belong to the decisions,
    which can refuse; a mailbox cannot.
    """

    def __init__(self) -> None:
        self._items: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._watcher: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[T]:
        return iter(self._items)

    def put(self, item: T) -> None:
        """Add a message and wake the reader."""
        self._items.append(item)
        if self._waiter is not None:
            _wake(self._waiter)
        if self._watcher is not None:
            self._watcher()

    def clear(self) -> None:
        """Drop all messages that wait."""
        self._items.clear()

    def watch(self, watcher: Callable[[], None] | None) -> None:
        """Call back on each message while the reader waits elsewhere."""
        self._watcher = watcher

    async def take(self, timeout_s: float | None = None) -> list[T]:
        """Wait for messages and take all of them.

        Args:
            timeout_s: Longest wait in seconds; None waits without limit.

        Returns:
            The messages in order of arrival; empty after the timeout.
        """
        if not self._items and (timeout_s is None or timeout_s > 0):
            await self._wait(timeout_s)
        items = list(self._items)
        self._items.clear()
        return items

    async def _wait(self, timeout_s: float | None) -> None:
        # A bare future costs half of an event, and a plain timer a third of
        # `asyncio.timeout`; both are paid for each part of each request.
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, _wake, waiter)
        try:
            await waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()


def _wake(waiter: "asyncio.Future[None]") -> None:
    if not waiter.done():
        waiter.set_result(None)
