"""Message queues between the tasks of a process."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

__all__ = ["Mailbox"]

T = TypeVar("T")


class Mailbox(Generic[T]):
    """An unbounded queue with one reader, which takes all messages at once.

    Taking all messages at once spreads the cost of a wake-up, a frame or a
    system call over many messages.  Limits are enforced by the code that
    decides on admission, because it can refuse a request and a mailbox
    cannot.
    """

    def __init__(self) -> None:
        self._messages: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._put_callback: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._messages)

    def __iter__(self) -> Iterator[T]:
        return iter(self._messages)

    def put(self, message: T) -> None:
        """Add a message and wake the reader."""
        self._messages.append(message)
        if self._waiter is not None:
            _wake(self._waiter)
        if self._put_callback is not None:
            self._put_callback()

    def put_all(self, messages: Iterable[T]) -> None:
        """Add messages and wake the reader once."""
        self._messages.extend(messages)
        if self._waiter is not None:
            _wake(self._waiter)
        if self._put_callback is not None:
            self._put_callback()

    def clear(self) -> None:
        """Discard all pending messages."""
        self._messages.clear()

    def set_put_callback(self, callback: Callable[[], None] | None) -> None:
        """Set a callback that runs on each `put`; None removes it.

        It serves a reader that awaits something other than `take`, or that
        handles its messages without a wake-up of its own.
        """
        self._put_callback = callback

    async def take(self, timeout_s: float | None = None) -> list[T]:
        """Wait for messages and take all of them.

        Args:
            timeout_s: Maximum wait in seconds; None waits without limit.

        Returns:
            The messages in order of arrival; empty after a time-out.
        """
        if not self._messages and (timeout_s is None or timeout_s > 0):
            await self._wait(timeout_s)
        return self.take_pending()

    def take_pending(self) -> list[T]:
        """Take all messages without waiting."""
        messages = list(self._messages)
        self._messages.clear()
        return messages

    async def _wait(self, timeout_s: float | None) -> None:
        # This runs for each part of each request.  A bare future costs half
        # as much as an `asyncio.Event`, and a `call_later` timer a third as
        # much as `asyncio.timeout`.
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
