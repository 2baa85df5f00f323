"""Timeouts on one timer: order, cancellation, earlier ones set later."""

import asyncio
import time

from berylspool.common.shared_timer import SharedTimer


def run_scenario(scenario):
    async def run():
        calls = []
        timer = SharedTimer(time.monotonic)
        scenario(timer, calls)
        async with asyncio.timeout(10.0):
            while "last" not in calls:
                await asyncio.sleep(0.001)
        return calls

    return asyncio.run(run())


def test_callbacks_run_in_the_order_of_their_times():
    def scenario(timer, calls):
        for delay_s, name in ((0.03, "last"), (0.01, "a"), (0.02, "b")):
            timer.call_after(delay_s, lambda name=name: calls.append(name))

    assert run_scenario(scenario) == ["a", "b", "last"]


def test_cancelled_callback_does_not_run():
    def scenario(timer, calls):
        timer.call_after(0.01, lambda: calls.append("cancelled")).cancel()
        timer.call_after(0.02, lambda: calls.append("last"))

    assert run_scenario(scenario) == ["last"]


def test_callback_may_set_the_next_timeout():
    def scenario(timer, calls):
        def set_next():
            calls.append("first")
            timer.call_after(0.001, lambda: calls.append("last"))

        timer.call_after(0.01, set_next)
        timer.call_after(5.0, lambda: calls.append("late"))

    assert run_scenario(scenario) == ["first", "last"]


def test_restarted_callback_runs_once_at_its_new_time():
    def scenario(timer, calls):
        earlier = timer.call_after(0.04, lambda: calls.append("earlier"))
        later = timer.call_after(0.01, lambda: calls.append("later"))
        timer.call_after(0.02, lambda: calls.append("between"))
        timer.call_after(0.06, lambda: calls.append("last"))
        timer.restart(earlier, 0.005)
        timer.restart(later, 0.03)
        timer.restart(later, 0.05)

    names = ["earlier", "between", "later", "last"]
    assert run_scenario(scenario) == names


def test_restarted_callback_that_has_ended_does_not_run():
    def scenario(timer, calls):
        cancelled = timer.call_after(0.02, lambda: calls.append("cancelled"))
        cancelled.cancel()
        timer.restart(cancelled, 0.001)
        timer.call_after(0.03, lambda: calls.append("last"))

    assert run_scenario(scenario) == ["last"]


def test_cancelled_timeouts_do_not_pile_up():
    async def run():
        timer = SharedTimer(time.monotonic)
        for _ in range(1000):
            timer.call_after(0.001, lambda: None).cancel()
        await asyncio.sleep(0.05)
        return len(timer._timeouts)

    assert asyncio.run(run()) == 0
