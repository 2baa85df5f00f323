"""A helper without sockets: what it runs, and when."""

import asyncio

from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.message import (
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
    SliceResults,
    make_delegation_codec,
)
from berylspool.process.entry.delegation.helper import FLUSH_SHARES, Helper
from berylspool.process.entry.delegation.slice_codec import encode_slice
from berylspool.process.entry.delegation.tests.slice_machine import (
    TARGET_S,
    make_parts,
)
from berylspool.process.entry.delegation.turn_monitor import (
    MAX_LATENESS_S,
    TICK_INTERVAL_S,
    TurnMonitor,
)
from berylspool.process.entry.ownership import RoutingState
from berylspool.request.part_message import DiscardPart, RunParts, Subscribe
from berylspool.request.query import PartRefused, PartRows, Reason

PARTS = 12


class FakeRouter:
    def __init__(self, known_parts):
        self.inbox = Mailbox()
        self.routing = RoutingState("e")
        self.routing.pool_keys = {
            (part.service, part.snapshot.version) for part in known_parts
        }
        self.hedged_part_ids = set()

    def has_reached_limit(self, key, part_id):
        return part_id in self.hedged_part_ids


class FakeSession:
    id = "1"
    peer = "first"

    def __init__(self):
        self.inbox = Mailbox()


class Setup:
    def __init__(self, known=PARTS):
        self.parts = make_parts(PARTS)
        self.router = FakeRouter(self.parts[:known])
        self.session = FakeSession()
        self.is_frozen = False
        self.now = 1.0
        self.logged = []
        self.helper = Helper(
            self.router,
            lambda: self.is_frozen,
            clock=lambda: self.now,
            log=self.logged.append,
            metrics=Metrics(),
            codec=make_delegation_codec(),
            ping_s=1.0,
        )

    def hear(self, message):
        self.helper._handle(self.session, message)

    def sent(self):
        return self.session.inbox.take_pending()

    async def take_turns(self):
        """Return the parts that the router got in each turn."""
        turns = []
        for _ in range(8):
            await asyncio.sleep(0)
            messages = self.router.inbox.take_pending()
            runs = [m for m in messages if isinstance(m, RunParts)]
            turns += [len(run.parts) for run in runs]
        return turns


def run(scenario, **arguments):
    async def call():
        return await scenario(Setup(**arguments))

    return asyncio.run(call())


def test_slice_is_accepted_at_once_and_runs_in_several_turns():
    """Slices of others would be accepted late while all parts are sent."""

    async def scenario(setup):
        setup.hear(encode_slice(3, setup.parts))
        assert setup.sent() == [SliceAccepted(3)]
        return await setup.take_turns()

    assert run(scenario) == [5, 5, 2]


def test_slice_that_is_dropped_with_its_arrival_does_not_run():
    """A busy helper reads both together; the parts run elsewhere."""

    async def scenario(setup):
        setup.hear(encode_slice(3, setup.parts))
        setup.hear(SliceDropped(3))
        return await setup.take_turns()

    assert run(scenario) == []


def test_frozen_or_stopping_helper_refuses():
    async def scenario(setup):
        setup.is_frozen = True
        setup.hear(encode_slice(3, setup.parts))
        setup.is_frozen, setup.helper.is_stopping = False, True
        setup.hear(encode_slice(4, setup.parts))
        assert setup.sent() == [SliceRefused(3), SliceRefused(4)]
        return await setup.take_turns()

    assert run(scenario) == []


def test_probe_is_answered_by_whether_the_slice_runs():
    async def scenario(setup):
        setup.hear(encode_slice(3, setup.parts))
        setup.hear(SliceProbe(3))
        setup.hear(SliceProbe(4))
        return setup.sent()

    assert run(scenario)[1:] == [SliceAccepted(3), SliceRefused(4)]


def test_unknown_services_are_refused_and_the_others_run():
    async def scenario(setup):
        setup.hear(encode_slice(3, setup.parts))
        return setup.sent(), await setup.take_turns()

    sent, turns = run(scenario, known=4)
    [results] = [m for m in sent if isinstance(m, SliceResults)]
    assert [index for index, _, _ in results.refused] == list(range(4, PARTS))
    assert {reason for _, reason, _ in results.refused} == {"no_owner"}
    assert turns == [4]


async def start_slice(setup):
    """Return the inbox of a slice for its results, and its parts."""
    setup.hear(encode_slice(3, setup.parts))
    [subscribe] = setup.router.inbox.take_pending()
    assert isinstance(subscribe, Subscribe)
    parts = []
    while len(parts) < PARTS:
        await asyncio.sleep(0)
        for message in setup.router.inbox.take_pending():
            parts += message.parts
    setup.sent()
    return subscribe.inbox, parts


def make_rows(parts):
    return [
        PartRows(part.id, part.snapshot, (b"a" * 16,), 1, "s") for part in parts
    ]


ROW = (1, "s", b"a" * 16)


def test_answers_wait_for_the_others_of_their_slice():
    """With a frame for each, helpers would save the first entry nothing."""

    async def scenario(setup):
        inbox, parts = await start_slice(setup)
        inbox.put_all(make_rows(parts[1:]))
        inbox.put_all(make_rows(parts[1:]))
        assert not setup.sent()
        inbox.put_all(make_rows(parts[:1]))
        return setup.sent()

    rows = tuple((index, *ROW) for index in [*range(1, PARTS), 0])
    assert run(scenario) == [SliceResults(3, rows=rows)]


def test_a_part_without_an_answer_is_told_at_once():
    """The first entry may run it, or end the request."""

    async def scenario(setup):
        inbox, parts = await start_slice(setup)
        inbox.put_all(make_rows(parts[:1]))
        inbox.put_all([PartRefused(parts[1].id, Reason.OVERLOAD, 0.1)])
        return setup.sent()

    refused = ((1, "overload", 0.1),)
    expected = SliceResults(3, rows=((0, *ROW),), refused=refused)
    assert run(scenario) == [expected]


def test_answers_are_sent_before_the_target():
    """At its target, the first entry answers with what it has."""

    async def scenario(setup):
        inbox, parts = await start_slice(setup)
        inbox.put_all(make_rows(parts[:1]))
        await asyncio.sleep(TARGET_S * (FLUSH_SHARES[0] + 0.1))
        first = setup.sent()
        inbox.put_all(make_rows(parts[1:2]))
        await asyncio.sleep(TARGET_S * 0.4)
        second = setup.sent()
        setup.now += FLUSH_SHARES[1] * TARGET_S
        inbox.put_all(make_rows(parts[2:3]))
        return [first, second, setup.sent()]

    assert run(scenario) == [
        [SliceResults(3, rows=((index, *ROW),))] for index in range(3)
    ]


def test_hedged_parts_are_reported_soon_after_their_hedges():
    """The first entry would run them at a third upstream if this one dies."""

    async def scenario(setup):
        inbox, parts = await start_slice(setup)
        setup.router.hedged_part_ids = {parts[1].id, parts[0].id}
        inbox.put_all(make_rows(parts[:1]))
        await asyncio.sleep(TARGET_S * (FLUSH_SHARES[0] + 0.1))
        return setup.sent()

    expected = SliceResults(3, rows=((0, *ROW),), hedged=(1,))
    assert run(scenario) == [expected]


def test_end_of_a_session_drops_its_parts():
    async def scenario(setup):
        setup.hear(encode_slice(3, setup.parts))
        await setup.take_turns()
        setup.helper._handle_session_end(setup.session, None)
        messages = setup.router.inbox.take_pending()
        return [m for m in messages if isinstance(m, DiscardPart)]

    drops = run(scenario)
    assert len(drops) == PARTS and all(drop.is_caller_gone for drop in drops)


def test_messages_that_are_read_after_a_freeze_are_old():
    """Monotonic time passes while a process is stopped."""
    now = 0.0
    monitor = TurnMonitor(lambda: now)

    async def tick():
        task = asyncio.ensure_future(monitor.run())
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(tick())
    now = TICK_INTERVAL_S + MAX_LATENESS_S - 0.001
    assert not monitor.was_frozen()
    now += 0.002
    assert monitor.was_frozen()
