"""Running a process until a signal or a failure ends it."""

import asyncio
import gc
import signal
from collections.abc import Coroutine, Iterable
from typing import Any

__all__ = [
    "make_stop_event",
    "serve_until_stopped",
    "start_garbage_collection",
    "wait_until_stopped",
]

# More than the objects of a query over some hundred shards: collections while
# it runs would traverse its objects again and again and free none of them.
YOUNG_OBJECTS = 20_000


def make_stop_event() -> asyncio.Event:
    """Install handlers for SIGTERM and SIGINT; return the event they set."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    return stop_event


async def serve_until_stopped(
    stop_event: asyncio.Event,
    serving: Coroutine[Any, Any, None],
    tasks: list[asyncio.Task[None]],
) -> BaseException | None:
    """Serve until a stop event is set or serving fails, then cancel all tasks.

    Args:
        stop_event: Set when the process should stop.
        serving: Main coroutine of the process.
        tasks: Other tasks of the process, which are cancelled too.

    Returns:
        The exception with which serving failed, or None.
    """
    serving_task = asyncio.ensure_future(serving)
    stop_task = asyncio.ensure_future(stop_event.wait())
    await asyncio.wait(
        {serving_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
    )
    failure = serving_task.exception() if serving_task.done() else None
    all_tasks = (serving_task, stop_task, *tasks)
    for task in all_tasks:
        task.cancel()
    await asyncio.gather(*all_tasks, return_exceptions=True)
    return failure


async def wait_until_stopped(
    stop_event: asyncio.Event, tasks: Iterable[asyncio.Task[None]]
) -> None:
    """Wait until a stop event is set, or a task fails.

    Args:
        stop_event: Set when the process should stop.
        tasks: Tasks without which the process would only seem to serve.

    Raises:
        Exception: That of the task that failed. The process has to end, so that
            it is started anew.
    """
    stop_task = asyncio.ensure_future(stop_event.wait())
    running = {stop_task, *tasks}
    while not stop_task.done():
        done, running = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()


def start_garbage_collection() -> None:
    """Enable garbage collection of objects that are created from now on.

    All loaded objects are exempt: they live as long as the process, and
    traversing them in each full collection would delay callers' requests.
    """
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
    gc.enable()
