"""Waiting for the end of a process."""

import asyncio

import pytest

from berylspool.process.lifetime import wait_until_stopped


async def fail():
    raise ValueError("broken")


async def finish():
    await asyncio.sleep(0.01)


def test_failed_task_ends_the_process():
    async def run():
        tasks = [asyncio.ensure_future(task) for task in (finish(), fail())]
        await wait_until_stopped(asyncio.Event(), tasks)

    with pytest.raises(ValueError, match="broken"):
        asyncio.run(run())


def test_task_that_finishes_does_not_end_the_wait():
    async def run():
        stop_event = asyncio.Event()
        tasks = [asyncio.ensure_future(finish())]
        waiting = asyncio.ensure_future(wait_until_stopped(stop_event, tasks))
        await asyncio.sleep(0.05)
        is_waiting = not waiting.done()
        stop_event.set()
        await waiting
        return is_waiting

    assert asyncio.run(run())
