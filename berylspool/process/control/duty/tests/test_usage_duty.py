"""The usage report as the leader's task performs it, and who takes it."""

import asyncio
from dataclasses import replace

import pytest

from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, render_exposition
from berylspool.connection.control_message import Heartbeat
from berylspool.connection.message import CHANGE_LEVEL, Member
from berylspool.exception import ConnectionLostError
from berylspool.process.control.duty.call_task import CallEnded, run_calls
from berylspool.process.control.duty.usage_duty import (
    UNKNOWN_MEMBER_S,
    UsageDuty,
)
from berylspool.process.control.pending_replies import (
    PendingChange,
    PendingReplies,
)
from berylspool.process.control.show_rows import ControlView, select_rows
from berylspool.process.group.message import Group
from berylspool.process.group.state_machine import (
    ControlState,
    Seat,
    apply_change,
)
from berylspool.process.settings import DutySettings
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.duty.record import (
    USAGE_REPORT,
    DutyHolder,
    RecordUsage,
    TakeDuty,
)
from berylspool.version.duty.schedule import CallOutcome, UsageCall
from berylspool.version.operator_command import Show

EPOCH_S = 1_700_000_000.0
FIRST = 340_000_000
TEST_TIMEOUT_S = 10.0
CALL = UsageCall(FIRST, {"a": 1}, "node-a", 1)


class FakeReplica:
    """A replica whose changes commit at once."""

    def __init__(self):
        self.leads = True
        self.state = ControlState()
        node = {"id": "a.0", "group": Group(("a.0", "b.0", "c.0")), "term": 3}
        self.node = type("Node", (), node)()

    def has_quorum_contact(self):
        return self.leads


class FakeSession:
    def __init__(self, peer, change_level=CHANGE_LEVEL):
        self.peer, self.change_level = peer, change_level


class FakeClient:
    """A platform that accepts every call, or does what the test says."""

    def __init__(self, respond=lambda call: CallOutcome.ACCEPTED):
        self.respond = respond
        self.reported = []

    async def report(self, call, may_send):
        if not may_send():
            return CallOutcome.WITHHELD
        self.reported.append(call)
        return self.respond(call)


class Node:
    """A control node's duty with clocks that the test sets."""

    def __init__(self, sessions=("b", "c"), names=("usage_report",)):
        self.now, self.wall_error_s, self.events = 0.0, 0.0, []
        self.replica = FakeReplica()
        self.sessions = [FakeSession(name) for name in sessions]
        self.metrics, self.client = Metrics(), FakeClient()
        self.duty = UsageDuty(
            DutySettings(names=names, holder="node-a"),
            self.client,
            self.replica,
            lambda: self.sessions,
            clock=lambda: self.now,
            wall_clock=lambda: EPOCH_S + self.now + self.wall_error_s,
            metrics=self.metrics,
            log=self.events.append,
        )

    def tick(self, pending=None):
        """Run one turn of the leader; return the changes, which commit."""
        self.duty.tick()
        if not self.replica.leads:
            return []
        changes = self.duty.due_changes(pending or PendingReplies())
        for change in changes:
            apply_change(self.replica.state, change)
        return changes

    def run_until(self, end):
        """Run to a time; return the time at which each window was recorded."""
        recorded_at = {}
        while self.now < end:
            for change in self.tick():
                if isinstance(change, RecordUsage):
                    recorded_at[change.window] = self.now
            for call in self.duty._calls.take_pending():
                if self.duty._may_send(call):
                    outcome = self.client.respond(call)
                    self.client.reported.append(call)
                    self.duty.handle_call_ended(CallEnded(call, outcome))
            self.now += 0.05
        return recorded_at

    def hear(self, *usage, boot="x"):
        member = Member("e", "127.0.0.1", 1)
        heartbeat = Heartbeat(member, boot, 0, 0, False, 0, 0.0, usage=usage)
        return self.duty.collect(heartbeat)


def test_counts_of_all_entries_are_reported_and_confirmed():
    node = Node()
    node.run_until(4.0)
    assert node.hear(WindowUsage(FIRST, {"a": 2, "b": 1})) == 3
    assert node.hear(WindowUsage(FIRST, {"a": 1}), boot="y") == 3
    assert node.hear(WindowUsage(FIRST, {"a": 3})) == 3
    node.run_until(12.0)
    [call] = node.client.reported
    assert call == UsageCall(FIRST, {"a": 4, "b": 1}, "node-a", 1)
    assert node.replica.state.usage.reported_window == FIRST
    assert not node.replica.state.usage.counts_by_window
    numbers = [event.number for event in node.events]
    assert numbers == [4020, 4021]


def test_windows_before_the_first_leader_are_reported():
    # Guards against requests of the first seconds that no report holds.
    node = Node()
    node.replica.leads = False
    node.run_until(7.0)
    node.replica.leads = True
    node.hear(WindowUsage(FIRST, {"a": 2}), WindowUsage(FIRST + 1, {"a": 1}))
    node.run_until(17.0)
    calls = [(call.window, call.counts) for call in node.client.reported]
    assert calls == [(FIRST, {"a": 2}), (FIRST + 1, {"a": 1})]


def test_without_the_duty_nothing_is_proposed_sent_or_confirmed():
    node = Node(names=())
    assert node.hear(WindowUsage(FIRST, {"a": 2})) == 0
    node.run_until(30.0)
    assert node.replica.state == ControlState() and not node.events


@pytest.mark.parametrize("jump_s", [2.0, -2.0])
def test_jump_of_the_leaders_clock_moves_no_record(jump_s):
    # Guards against windows that are recorded before the entries have reported
    # them, or too late.
    node = Node()
    node.run_until(7.0)
    node.wall_error_s = jump_s
    recorded_at = node.run_until(30.0)
    assert sorted(recorded_at) == list(range(FIRST, FIRST + 4))
    for window, at in recorded_at.items():
        assert at - 5.0 * (window - FIRST + 1) == pytest.approx(6.0, abs=0.11)


def test_call_is_withheld_if_the_leader_lost_its_quorum_meanwhile():
    # Guards against a frozen process that resumes in the middle of a call.
    node = Node()
    node.run_until(11.3)
    node.client.reported.clear()
    node.replica.state.usage.counts_by_window[FIRST] = {}
    node.duty._state.accepted_windows.clear()
    node.now += 1.0
    node.duty.tick()

    async def run():
        inbox = Mailbox()
        calling = asyncio.ensure_future(
            run_calls(node.client, node.duty._calls, inbox, node.duty._may_send)
        )
        node.replica.leads = False
        async with asyncio.timeout(TEST_TIMEOUT_S):
            [ended] = await inbox.take()
        calling.cancel()
        return ended

    ended = asyncio.run(run())
    assert ended.outcome is CallOutcome.WITHHELD and not node.client.reported


@pytest.mark.parametrize(
    "held", [DutyHolder("node-b", 2, 4), DutyHolder("node-a", 2, 3)]
)
def test_call_with_a_former_token_is_withheld(held):
    # Another node has taken the duty, or this one has taken it again.
    node = Node()
    node.run_until(1.0)
    old = replace(CALL, token=node.duty._held().token)
    assert node.duty._may_send(old)
    node.replica.state.holder_by_duty[USAGE_REPORT] = held
    assert not node.duty._may_send(old)


def test_node_that_does_not_lead_calls_nothing_and_records_nothing():
    node = Node()
    node.run_until(20.0)
    node.client.reported.clear()
    node.replica.leads = False
    usage = node.replica.state.usage
    before = usage.next_window
    usage.counts_by_window[FIRST] = {}
    node.duty._state.accepted_windows.clear()
    node.duty.tick()
    assert not len(node.duty._calls)
    node.run_until(40.0)
    assert not node.client.reported and usage.next_window == before


def test_new_term_collects_anew():
    # Guards against counts that an entry has raised with another leader.
    node = Node()
    node.run_until(4.0)
    node.hear(WindowUsage(FIRST, {"a": 2}))
    node.replica.node.term = 4
    assert node.hear() == 4
    assert not node.duty._collection.counts_by_window


@pytest.mark.parametrize(
    ("sessions", "takes_at_s"),
    [
        ((FakeSession("b"), FakeSession("c")), 0.0),
        ((FakeSession("b"), FakeSession("c", 0)), None),
        ((FakeSession("b"),), UNKNOWN_MEMBER_S),
        ((FakeSession("b", 0),), None),
        # The sessions of its former process may not have ended yet.
        ((FakeSession("b"), FakeSession("c"), FakeSession("c", 0)), None),
        ((FakeSession("b"), FakeSession("c", 0), FakeSession("c")), None),
    ],
)
def test_duty_is_first_taken_when_no_member_is_of_an_earlier_build(
    sessions, takes_at_s
):
    # Guards against a change that ends all members that cannot apply it.
    node = Node()
    node.sessions = list(sessions)
    taken_at = None
    while node.now < 3 * UNKNOWN_MEMBER_S and taken_at is None:
        if any(isinstance(change, TakeDuty) for change in node.tick()):
            taken_at = node.now
        node.now += 0.5
    assert taken_at == takes_at_s


def test_duty_goes_on_with_any_member_once_it_was_taken():
    node = Node(sessions=())
    node.replica.state.holder_by_duty[USAGE_REPORT] = DutyHolder("b", 2, 2)
    assert isinstance(node.tick()[0], TakeDuty)


def test_nothing_is_proposed_twice_while_it_waits():
    # Guards against a log that grows while a quorum is slow.
    node = Node()
    [taken] = node.tick()
    node.now += 20.0
    waiting, table = PendingChange(taken), node.replica.state.active
    assert node.tick(PendingReplies(batch=[waiting])) == []
    assert node.tick(PendingReplies(proposed_by_index={7: [waiting]})) == []
    other = PendingChange(Seat(table))
    assert node.tick(PendingReplies(proposed_by_index={7: [other]}))


@pytest.mark.parametrize(
    ("error", "text"),
    [
        (ConnectionLostError("down"), "down"),
        (RecursionError("nested"), "RecursionError('nested')"),
    ],
)
def test_error_of_a_call_does_not_end_the_calls(error, text):
    def respond(call):
        if call.window == FIRST:
            raise error
        return CallOutcome.ACCEPTED

    async def run():
        calls, inbox = Mailbox(), Mailbox()
        calls.put_all([CALL, replace(CALL, window=FIRST + 1)])
        calling = asyncio.ensure_future(
            run_calls(FakeClient(respond), calls, inbox, lambda call: True)
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):
            ended = []
            while len(ended) < 2:
                ended += await inbox.take()
        calling.cancel()
        return ended

    failed, accepted = asyncio.run(run())
    assert (failed.outcome, failed.error) == (CallOutcome.FAILED, text)
    assert accepted.outcome is CallOutcome.ACCEPTED


def test_operators_see_the_duty():
    node = Node()
    node.run_until(18.0)
    view = ControlView(
        node.replica.state,
        None,
        None,
        node.duty.calls_by_outcome,
        node.duty.report_age_s(),
        node.replica.node.group,
        "a",
        3,
        0.0,
        0.0,
    )
    [row] = select_rows(view, Show("duties", ()))
    assert row["holder"] == "node-a" and row["token"] == 1
    assert row["reported_window"] == FIRST + 1 and row["accepted"] == 2
    assert row["age_s"] == pytest.approx(8.0, abs=0.1)
    node.duty.tick()
    exposition = render_exposition(node.metrics)[0].decode()
    assert "berylspool_duty_held 1.0" in exposition
    assert f"berylspool_usage_reported_window {FIRST + 1}" in exposition
    assert 'berylspool_duty_calls_total{duty="usage_report"' in exposition
    [age] = [
        float(line.split()[1])
        for line in exposition.splitlines()
        if line.startswith("berylspool_usage_report_age_seconds ")
    ]
    assert age == pytest.approx(8.0, abs=0.1)
