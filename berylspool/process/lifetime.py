"""Run of a process until a signal or a failure ends it."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

__all__ = ["serve_until", "stop_event"]


def stop_event() -> asyncio.Event:
    """Install handlers for SIGTERM and SIGINT; return the event they set."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


async def serve_until(
    stopping: asyncio.Event,
    serving: Coroutine[Any, Any, None],
    tasks: list[asyncio.Task[None]],
) -> BaseException | None:
    """Serve until a stop event is set or serving fails, then cancel all tasks.

    Args:
        stopping: Set when the process should stop.
        serving: Main coroutine of the process.
        tasks: Other tasks, which are cancelled when it ends.

    Returns:
        The exception with which serving failed, or None.
    """
    served = asyncio.ensure_future(serving)
    waiting = asyncio.ensure_future(stopping.wait())
    await asyncio.wait({served, waiting}, return_when=asyncio.FIRST_COMPLETED)
    failure = served.exception() if served.done() else None
    ending = (served, waiting, *tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)
    return failure
