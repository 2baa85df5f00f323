"""Work of an entry for one part of a wide request, in steps of its code."""

import asyncio
import dataclasses
import sys
from pathlib import Path

import berylspool
from berylspool.platform.tests.instant_upstreams import (
    InstantLoop,
    ask,
    start_entry,
)
from berylspool.process.entry.forwarding import request_handler
from berylspool.process.settings import DutySettings
from berylspool.version.duty.request_usage import RequestUsage
from berylspool.version.forwarding import new_query

PACKAGE = str(Path(berylspool.__file__).parent)
ENTRIES = 62
WARM_UP_REQUESTS = 8
# Two thirds of the steps with which the tightest class missed its floor.
MAX_STEPS = 3_660


class StepCounter:
    """Counts the bytecode instructions that the package executes."""

    def __init__(self):
        self.count = 0

    def __enter__(self):
        sys.settrace(self._trace_call)
        return self

    def __exit__(self, *_args):
        sys.settrace(None)

    def _trace_call(self, frame, _event, _argument):
        path = frame.f_code.co_filename
        if not path.startswith(PACKAGE) or "/tests/" in path:
            return None
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        return self._trace_opcode

    def _trace_opcode(self, _frame, event, _argument):
        self.count += event == "opcode"
        return self._trace_opcode


def query_of_customer(*arguments):
    query = new_query(*arguments)
    forward = dataclasses.replace(query.forward, customer="a")
    return dataclasses.replace(query, forward=forward)


async def count_steps(loop, service_count, **settings_changes):
    """Return the steps of one request to a number of services."""
    forwarder, router = await start_entry(
        loop, service_count, ENTRIES, **settings_changes
    )
    # Other requests of customers wait for their first copies and replies.
    other = RequestUsage("b", False, 0.0)
    if settings_changes:
        forwarder.usage.awaited_send_by_part["o/0.0.1"] = other
        forwarder.usage.awaited_reply_by_request["o"] = other
    for number in range(WARM_UP_REQUESTS):
        await ask(forwarder, f"w{number}")
    with StepCounter() as counter:
        answer = await ask(forwarder, "r")
    router.cancel()
    assert answer.coverage.is_whole
    counts = forwarder.usage.counts.counts_by_window
    expected = [{"a": WARM_UP_REQUESTS + 1}] if settings_changes else []
    assert list(counts.values()) == expected
    return counter.count


def count_steps_a_part(**settings_changes):
    counts = []
    for service_count in (30, 90):
        with asyncio.Runner(loop_factory=InstantLoop) as runner:
            loop = runner.get_loop()
            steps = count_steps(loop, service_count, **settings_changes)
            counts.append(runner.run(steps))
    return (counts[1] - counts[0]) / 60


def test_steps_of_a_part_leave_the_tightest_class_its_target():
    assert count_steps_a_part() <= MAX_STEPS


def test_counting_usage_leaves_the_tightest_class_its_target(monkeypatch):
    monkeypatch.setattr(request_handler, "new_query", query_of_customer)
    duties = DutySettings(names=("usage_report",))
    assert count_steps_a_part(duties=duties) <= MAX_STEPS
