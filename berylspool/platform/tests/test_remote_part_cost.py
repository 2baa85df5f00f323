"""Work of an entry for one part that another entry runs for it, in steps."""

import asyncio

import msgpack

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.message import Member, make_delegation_codec
from berylspool.platform.tests.instant_upstreams import (
    InstantLoop,
    ask,
    start_entry,
)
from berylspool.platform.tests.test_part_cost import (
    ENTRIES,
    MAX_STEPS,
    WARM_UP_REQUESTS,
    StepCounter,
)
from berylspool.process.entry.delegation.division import PARTS_PER_SLICE
from berylspool.process.entry.delegation.slice_message import (
    HelperAnswered,
    HelperLinked,
)

# A quarter of a local part, so that a divided request costs its first entry
# less than a third of an undivided one.
MAX_REMOTE_STEPS = MAX_STEPS / 4
# Enough that this entry is not among the helpers of the slices below.
HELPERS = [f"helper-{number}" for number in range(40)]
PROCESSOR_SHARE = 0.1
RECORDS = bytes(range(12 * 16))
RESULTS_PER_MESSAGE = 5


class InstantHelper:
    """Link to a helper that answers in the next turn.

    Frames are encoded and decoded as on a link.  The helper's own work is done
    by a library, which is not counted.
    """

    def __init__(self, name, delegator):
        self.name = name
        self.delegator = delegator
        self.codec = make_delegation_codec()
        self.slices = 0

    def put(self, message):
        frame = self.codec.encode([message])
        [[tag, fields]] = msgpack.unpackb(frame[HEADER_BYTES:])
        if tag == "RunSlice":
            self.slices += 1
            loop = asyncio.get_running_loop()
            loop.call_soon(self.answer, fields["id"], len(fields["parts"]))

    def answer(self, id, parts):
        rows = [(index, 1, f"s.{index}", RECORDS) for index in range(parts)]
        answers = [["SliceAccepted", {"id": id}]]
        answers += [
            [
                "SliceResults",
                {"id": id, "rows": rows[start : start + RESULTS_PER_MESSAGE]},
            ]
            for start in range(0, parts, RESULTS_PER_MESSAGE)
        ]
        for message in self.codec.decode(msgpack.packb(answers)):
            self.delegator.inbox.put(HelperAnswered(self.name, message))


async def count_steps(loop, service_count):
    """Return the steps of one request, all of whose parts run elsewhere."""
    forwarder, router = await start_entry(
        loop, service_count, ENTRIES, PROCESSOR_SHARE
    )
    delegator = forwarder.delegation.delegator
    task = asyncio.ensure_future(delegator.run())
    helpers = [InstantHelper(name, delegator) for name in HELPERS]
    delegator._members = frozenset(
        Member(name, "127.0.0.1", 1) for name in HELPERS
    )
    for helper in helpers:
        delegator._inbox_by_helper[helper.name] = helper
        delegator.inbox.put(HelperLinked(helper.name))
    await asyncio.sleep(0)
    for number in range(WARM_UP_REQUESTS):
        await ask(forwarder, f"w{number}")
    slices_before = sum(helper.slices for helper in helpers)
    with StepCounter() as counter:
        answer = await ask(forwarder, "r")
    slices = sum(helper.slices for helper in helpers) - slices_before
    router.cancel()
    task.cancel()
    assert answer.coverage.is_whole
    assert slices == service_count // PARTS_PER_SLICE
    return counter.count


def count_steps_a_remote_part():
    counts = []
    for service_count in (30, 90):
        with asyncio.Runner(loop_factory=InstantLoop) as runner:
            loop = runner.get_loop()
            counts.append(runner.run(count_steps(loop, service_count)))
    return (counts[1] - counts[0]) / 60


def test_steps_of_a_remote_part_are_few():
    assert count_steps_a_remote_part() <= MAX_REMOTE_STEPS
