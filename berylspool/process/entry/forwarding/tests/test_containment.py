"""Held requests at an entry: who is refused, who is tried, and what follows."""

import asyncio

import pytest

from berylspool.common.event import RequestBlamed
from berylspool.common.mailbox import Mailbox
from berylspool.connection.control_message import Grant
from berylspool.process.entry.control_client_message import (
    EvidenceChanged,
    TrialWanted,
)
from berylspool.process.entry.forwarding import (
    containment as containment_module,
)
from berylspool.process.entry.forwarding.containment import (
    Admitted,
    Containment,
    Held,
    OnTrial,
)
from berylspool.request.query import Part, Reason, Snapshot
from berylspool.version.containment.evidence import HeldRequest, Holds
from berylspool.version.pool.message import (
    ErrorReply,
    ObservedReply,
    RowsReply,
)
from berylspool.version.pool.quarantine import Verdict

SNAPSHOT = Snapshot("", 1)
HELD = HeldRequest("f", 1.0, 0, 0.0)


class Entry:
    """A containment with the inboxes of its neighbours."""

    def __init__(self):
        self.now = 100.0
        self.control = Mailbox()
        self.router = Mailbox()
        self.events = []
        self.containment = Containment(
            clock=lambda: self.now,
            log=self.events.append,
            get_control_inbox=lambda: self.control,
            router=self.router,
        )

    def grant(self, *held, trials=(), term=1, watched=()):
        holds = Holds(term, held, watched)
        return self.containment.receive(
            Grant(self.now, 2.0, 1, 1, holds=holds, trials=trials)
        )

    def observe(self, reply, fingerprint="f", upstream="u"):
        part = Part(
            "p", "r", "s", 0, SNAPSHOT, "", 1.0, fingerprint, True, "route"
        )
        self.containment.observe(
            ObservedReply(part, reply, 0.1, False, upstream)
        )

    def told_pools(self):
        return [message.blame.verdict for message in self.router.take_pending()]


@pytest.fixture
def entry():
    return Entry()


async def admit_with(entry, answer):
    """Ask for admission; the leader answers with a grant, or not at all."""
    task = asyncio.ensure_future(entry.containment.admit("f"))
    await asyncio.sleep(0)
    assert entry.control.take_pending() == [TrialWanted()]
    assert entry.containment.wanted_trials() == ("f",)
    if answer is not None:
        answer()
    return await task


def test_request_without_a_hold_is_admitted(entry):
    assert asyncio.run(entry.containment.admit("f")) == Admitted()
    assert not entry.control.take_pending()


def test_one_held_request_is_tried_and_the_others_are_refused_at_once(entry):
    """Guards against a copy for each caller that waits."""

    async def play():
        entry.grant(HELD)
        assert entry.told_pools() == [Verdict.CONVICTED]
        first = asyncio.ensure_future(entry.containment.admit("f"))
        await asyncio.sleep(0)
        second = await entry.containment.admit("f")
        entry.grant(HELD, trials=("f",))
        third = await entry.containment.admit("f")
        return await first, second, third

    first, second, third = asyncio.run(play())
    assert first == OnTrial()
    assert isinstance(second, Held) and isinstance(third, Held)
    assert entry.told_pools() == [Verdict.CLEARED]


def test_request_is_refused_if_the_leader_gives_no_trial(entry, monkeypatch):
    monkeypatch.setattr(containment_module, "TRIAL_TIMEOUT_S", 0.01)
    entry.grant(HELD)
    assert asyncio.run(admit_with(entry, None)) == Held(1.0)


def test_answer_releases_the_request_at_once(entry):
    entry.grant(HELD)
    asyncio.run(admit_with(entry, lambda: entry.grant(HELD, trials=("f",))))
    entry.told_pools()
    entry.observe(RowsReply(SNAPSHOT, (), "s"))
    assert entry.told_pools() == [Verdict.CLEARED]
    assert entry.control.take_pending() == [EvidenceChanged()]
    entry.containment.end_trial("f", is_answered=True)
    # A grant that crosses the report does not hold it again.
    entry.now += 0.1
    entry.grant(HELD)
    assert asyncio.run(entry.containment.admit("f")) == Admitted()
    [report] = entry.containment.take_report(entry.now)
    assert report.answered_at == 100.0


def test_trial_that_loses_its_upstream_is_the_last_for_now(entry):
    entry.grant(HELD)
    asyncio.run(admit_with(entry, lambda: entry.grant(HELD, trials=("f",))))
    entry.told_pools()
    entry.observe(ErrorReply(Reason.CONNECTION_LOST))
    entry.containment.end_trial("f")
    assert entry.told_pools() == [Verdict.CONVICTED]
    entry.grant(HeldRequest("f", 0.0, 1, 60.0))
    assert asyncio.run(entry.containment.admit("f")) == Held(60.0)
    assert not any(
        isinstance(message, TrialWanted)
        for message in entry.control.take_pending()
    )


def test_trial_that_was_not_sent_may_be_used_by_the_next_request(entry):
    entry.grant(HELD)
    asyncio.run(admit_with(entry, lambda: entry.grant(HELD, trials=("f",))))
    entry.containment.end_trial("f", is_unsent=True)
    assert asyncio.run(entry.containment.admit("f")) == OnTrial()
    entry.containment.end_trial("f")
    entry.now += 0.1
    assert "f" not in entry.containment._trial_until


def test_no_request_waits_for_a_leader_that_is_gone(entry):
    """Guards against a wait that cannot end well."""
    entry.grant(HELD)
    entry.now += 10.0
    assert isinstance(asyncio.run(entry.containment.admit("f")), Held)
    assert not entry.control.take_pending()


def test_losses_without_a_leader_hold_the_request_here(entry):
    for number in range(3):
        entry.observe(ErrorReply(Reason.CONNECTION_LOST), upstream=f"u{number}")
        entry.now += 1.0
    entry.containment.maintain()
    assert entry.containment.holds("f") and entry.containment.held_count == 1
    assert entry.events == [RequestBlamed("f", "", Verdict.CONVICTED)]


def test_leader_of_an_earlier_build_changes_nothing(entry):
    entry.grant(HELD)
    entry.containment.receive(Grant(entry.now, 2.0, 1, 1, convicted=("g",)))
    assert entry.containment.holds("f") and not entry.containment.holds("g")
