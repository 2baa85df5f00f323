"""The duty under freezes, partitions, delayed calls and a busy platform.

Nodes share a log whose newest leader alone can commit. The platform executes
calls late, refuses some, and checks what it forbids.
"""

import random
from dataclasses import dataclass, field

import pytest

from berylspool.version.duty.collection import UsageCollection, add_usage
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.duty.record import (
    USAGE_REPORT,
    ConfirmUsage,
    DutyHolder,
    RecordUsage,
    TakeDuty,
    UsageRecords,
    confirm_usage,
    record_usage,
    take_duty,
)
from berylspool.version.duty.schedule import (
    CallOutcome,
    DutyState,
    DutyTiming,
    begin_call,
    due_call,
    due_changes,
    end_call,
    lead,
    may_call,
)

TIMING = DutyTiming()
TICK_S = 0.05
EPOCH_S = 1_700_000_000.0
FIRST = 340_000_000
CALL_TIMEOUT_S = 1.0
# What remains of a minute once the faults have ended.
QUIET_S = 30.0
DURATION_S = 150.0


@dataclass
class Platform:
    """Executes calls and asserts what the platform forbids.

    Attributes:
        highest: Highest token seen.
        holder_by_token: Holder that used each token.
        content_by_window: Content of each executed report.
        executed_at_by_window: Time of its first execution.
        refused_at_by_token: Time of the first 409 of each token.
        calls_after_refusal: Calls later than a lease after that.
        uses: Times and holders of all calls.
    """

    highest: int = 0
    holder_by_token: dict = field(default_factory=dict)
    content_by_window: dict = field(default_factory=dict)
    executed_at_by_window: dict = field(default_factory=dict)
    refused_at_by_token: dict = field(default_factory=dict)
    calls_after_refusal: dict = field(default_factory=dict)
    uses: list = field(default_factory=list)

    def begin(self, call, now):
        """Note a call as it is made."""
        holder = self.holder_by_token.setdefault(call.token, call.holder)
        assert holder == call.holder
        refused_at = self.refused_at_by_token.get(call.token, float("inf"))
        if now > refused_at + TIMING.lease_s:
            count = self.calls_after_refusal.get(call.token, 0) + 1
            self.calls_after_refusal[call.token] = count
            assert count <= 3
        self.uses.append((now, call.holder))

    def execute(self, call, now):
        """Execute a call, maybe long after it was made."""
        if call.token < self.highest:
            self.refused_at_by_token.setdefault(call.token, now)
            return CallOutcome.SUPERSEDED
        self.highest = call.token
        content = self.content_by_window.setdefault(call.window, call.counts)
        assert content == call.counts
        self.executed_at_by_window.setdefault(call.window, now)
        return CallOutcome.ACCEPTED

    def assert_no_return_within_a_lease(self):
        """Check that holders did not act in the order A, B, A."""
        last_by_holder = {}
        previous = None
        for now, holder in self.uses:
            if previous not in (None, holder) and holder in last_by_holder:
                assert now - last_by_holder[holder] >= TIMING.lease_s
            last_by_holder[holder], previous = now, holder


class Node:
    def __init__(self, name):
        self.name = name
        self.state = DutyState()
        self.collection = UsageCollection()
        self.term = 0
        self.frozen_until = 0.0
        self.in_flight = None


class Simulation:
    """Three nodes, of which the leader changes, and a platform."""

    def __init__(self, seed, faults):
        self.rng = random.Random(seed)
        self.faults = faults
        self.nodes = [Node(f"control-{n}") for n in range(3)]
        self.platform = Platform()
        self.holders, self.usage = {}, UsageRecords()
        self.now, self.term, self.leader = 0.0, 1, self.nodes[0]
        self.leader.term = 1
        self.delayed = []

    def is_faulty(self):
        return self.faults and self.now < DURATION_S - QUIET_S

    def run(self):
        while self.now < DURATION_S:
            if self.is_faulty() and self.rng.random() < 0.012:
                self.change_leader()
            for node in self.nodes:
                if self.now >= node.frozen_until:
                    self.run_node(node)
            self.execute_delayed()
            self.now += TICK_S
        return self

    def change_leader(self):
        """Elect another leader; the former one may freeze and notice later."""
        former = self.leader
        if self.rng.random() < 0.5:
            former.frozen_until = self.now + self.rng.uniform(0.5, 8.0)
        others = [
            n
            for n in self.nodes
            if n is not former and n.frozen_until <= self.now
        ]
        if others:
            self.term += 1
            self.leader = self.rng.choice(others)
            self.leader.term = self.term

    def run_node(self, node):
        self.end_calls(node)
        # A node that was replaced has lost its quorum before, or finds that
        # out by its clock.
        if node is not self.leader:
            return
        if node.collection.term != self.term:
            node.collection = UsageCollection(self.term)
        lead(node.state, self.term, self.now)
        current = FIRST + int(self.now // 5)
        counts = (WindowUsage(current, {"a": 1 + int(self.now % 5)}),)
        add_usage(node.collection, "x", counts, self.usage.next_window, current)
        self.commit(node)
        self.call(node)

    def commit(self, node):
        held = self.holders.get(USAGE_REPORT, DutyHolder())
        for change in due_changes(
            node.state,
            held,
            self.usage,
            node.collection,
            node.name,
            TIMING,
            FIRST,
            self.now,
            EPOCH_S + self.now,
        ):
            if self.is_faulty() and self.rng.random() < 0.1:
                return
            match change:
                case TakeDuty():
                    take_duty(self.holders, self.usage, change)
                case RecordUsage():
                    record_usage(self.usage, change)
                case ConfirmUsage():
                    confirm_usage(self.usage, change)

    def call(self, node):
        held = self.holders.get(USAGE_REPORT, DutyHolder())
        if not may_call(node.state, held, node.name, TIMING, self.now):
            return
        call = due_call(
            node.state,
            held,
            self.usage,
            TIMING,
            self.now,
            EPOCH_S + self.now,
        )
        if call is None:
            return
        begin_call(node.state, call, TIMING, self.now)
        self.platform.begin(call, self.now)
        fate = self.rng.random() if self.is_faulty() else 1.0
        if fate < 0.1:
            ended = (self.now, CallOutcome.THROTTLED)
        elif fate < 0.2:
            ended = (self.now + CALL_TIMEOUT_S, CallOutcome.FAILED)
        elif fate < 0.4:
            due_at = self.now + self.rng.uniform(0.5, 6.0)
            self.delayed.append((due_at, call))
            ended = (self.now + CALL_TIMEOUT_S, CallOutcome.FAILED)
        else:
            ended = (self.now, self.platform.execute(call, self.now))
        node.in_flight = (*ended, call)

    def end_calls(self, node):
        if node.in_flight and node.in_flight[0] <= self.now:
            _, outcome, call = node.in_flight
            node.in_flight = None
            end_call(node.state, call, outcome, self.now)

    def execute_delayed(self):
        for item in [d for d in self.delayed if d[0] <= self.now]:
            self.delayed.remove(item)
            self.platform.execute(item[1], self.now)


@pytest.mark.parametrize("seed", range(60))
def test_platform_sees_no_forbidden_call_and_every_window(seed):
    simulation = Simulation(seed, faults=True).run()
    platform = simulation.platform
    platform.assert_no_return_within_a_lease()
    last = FIRST + int((DURATION_S - TIMING.late_s) // 5) - 1
    assert set(range(FIRST, last + 1)) <= set(platform.content_by_window)


def test_every_window_is_on_time_without_faults():
    platform = Simulation(0, faults=False).run().platform
    for window, at in platform.executed_at_by_window.items():
        assert at - 5.0 * (window - FIRST + 1) < TIMING.late_s
    assert len(platform.executed_at_by_window) == 28
