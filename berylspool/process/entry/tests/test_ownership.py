"""At most one entry admits parts of a service when messages fail.

Messages may be lost or late, entries restart or leave, and leaders change.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspool.connection.message import Member, MemberTable
from berylspool.process.control import membership
from berylspool.process.control.membership import (
    HeartbeatReceived,
    LeadershipGained,
    Membership,
    TablesCommitted,
)
from berylspool.process.entry import ownership, routing
from berylspool.process.entry.routing import RoutingState
from berylspool.process.entry.routing_message import (
    ConfigurationChanged,
    LeaseGranted,
    PoolDrained,
    ReportTableDrained,
    TableChanged,
)
from berylspool.tests.fuzzing import fuzzing_finds_failure
from berylspool.version.configuration import (
    Configuration,
    Route,
    Service,
    Version,
)

NAMES = ("e1", "e2", "e3", "e4")
SERVICES = tuple(f"s{i}" for i in range(6))
LEASE_S = 2.0
CONFIGURATION = Configuration(
    revision=1,
    service_by_name={name: Service(name) for name in SERVICES},
    route_by_name={"r": Route("r", "v1", {"v1": Version("v1", 1, SERVICES)})},
)


class SimulatedEntry:
    """Routing state of one entry, without pools; the test drains them."""

    def __init__(self, name, boot):
        self.name = name
        self.boot = boot
        self.routing = RoutingState(name)
        self.drained_epoch = 0
        self.is_leaving = False
        self.step(ConfigurationChanged(CONFIGURATION), 0.0)

    def step(self, event, now):
        for action in routing.step(self.routing, event, now):
            if isinstance(action, ReportTableDrained):
                self.drained_epoch = action.epoch

    def admits(self, service, now):
        return (
            now < self.routing.lease_until
            and ownership.find_owner(self.routing, service) == self.name
            and (service, "v1") not in self.routing.closing_pool_keys
        )


class OwnershipMachine(RuleBasedStateMachine):
    """Entries with changing leaders, and messages that are late or lost."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.boot_count = 0
        self.term = 1
        self.tables = (MemberTable(), None)
        self.leader = Membership(LEASE_S)
        self.entry_by_name = {}
        self.heartbeats = []
        self.grants = []
        for name in NAMES:
            self.boot_entry(name)
        self.elect_leader()

    def boot_entry(self, name):
        self.boot_count += 1
        self.entry_by_name[name] = SimulatedEntry(name, f"b{self.boot_count}")

    def elect_leader(self):
        self.leader = Membership(LEASE_S)
        membership.step(self.leader, LeadershipGained(self.term), self.now)
        membership.step(self.leader, TablesCommitted(*self.tables), self.now)

    @rule(step_s=st.sampled_from([0.05, 0.25, 0.5, 1.0]))
    def time_passes(self, step_s):
        self.now += step_s

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def entries_send_heartbeats(self, names):
        for name in sorted(names):
            entry = self.entry_by_name[name]
            heartbeat = HeartbeatReceived(
                Member(name, "127.0.0.1", 1),
                entry.boot,
                1,
                entry.drained_epoch,
                entry.is_leaving,
            )
            self.heartbeats.append((entry, heartbeat, self.now))

    @rule(pick=st.randoms(use_true_random=False), share=st.floats(0, 1))
    def delayed_heartbeats_arrive(self, pick, share):
        kept = []
        for delayed in self.heartbeats:
            if pick.random() > share:
                kept.append(delayed)
                continue
            entry, heartbeat, sent_at = delayed
            membership.step(self.leader, heartbeat, self.now)
            active, proposed = self.tables
            table = proposed or active
            self.grants.append((entry, table, sent_at + LEASE_S))
        self.heartbeats = kept

    @rule(pick=st.randoms(use_true_random=False), share=st.floats(0, 1))
    def grants_arrive(self, pick, share):
        kept = []
        for grant in self.grants:
            if pick.random() > share:
                kept.append(grant)
                continue
            entry, table, until = grant
            entry.step(TableChanged(table), self.now)
            entry.step(LeaseGranted(until), self.now)
        self.grants = kept

    @rule()
    def leader_decides(self):
        for action in membership.step(self.leader, membership.Tick(), self.now):
            table = action.table
            active, _ = self.tables
            self.tables = (table, None) if table.is_active else (active, table)
            membership.step(
                self.leader, TablesCommitted(*self.tables), self.now
            )

    @rule(rounds=st.integers(1, 8))
    def all_entries_are_connected(self, rounds):
        self.some_are_connected(set(NAMES), rounds, True)

    @rule(
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        rounds=st.integers(1, 10),
        drains=st.booleans(),
    )
    def some_are_connected(self, names, rounds, drains):
        """Connect some entries to the leader; the others receive nothing."""
        for _ in range(rounds):
            self.now += 0.2
            for name in sorted(names):
                self.exchange(self.entry_by_name[name], drains)
            self.leader_decides()

    def exchange(self, entry, drains):
        heartbeat = HeartbeatReceived(
            Member(entry.name, "127.0.0.1", 1),
            entry.boot,
            1,
            entry.drained_epoch,
            entry.is_leaving,
        )
        membership.step(self.leader, heartbeat, self.now)
        table = self.tables[1] or self.tables[0]
        entry.step(TableChanged(table), self.now)
        entry.step(LeaseGranted(self.now + LEASE_S), self.now)
        if drains:
            self.drain(entry)

    def drain(self, entry):
        for key in sorted(entry.routing.closing_pool_keys):
            entry.step(PoolDrained(key), self.now)

    @rule(name=st.sampled_from(NAMES))
    def pools_drain(self, name):
        self.drain(self.entry_by_name[name])

    @rule(name=st.sampled_from(NAMES))
    def entry_restarts(self, name):
        self.boot_entry(name)

    @rule(name=st.sampled_from(NAMES), is_leaving=st.booleans())
    def entry_leaves(self, name, is_leaving):
        self.entry_by_name[name].is_leaving = is_leaving

    @rule()
    def leader_changes(self):
        self.term += 1
        self.elect_leader()

    @rule()
    def messages_are_lost(self):
        self.heartbeats.clear()
        self.grants.clear()

    @invariant()
    def one_owner_at_most(self):
        for service in SERVICES:
            owners = [
                name
                for name, entry in self.entry_by_name.items()
                if entry.admits(service, self.now)
            ]
            assert len(owners) <= 1, (service, owners)


TestOwnership = OwnershipMachine.TestCase


def test_services_are_owned_soon_after_the_start():
    machine = OwnershipMachine()
    for _ in range(3):
        machine.all_entries_are_connected(8)
    for service in SERVICES:
        owners = [
            e
            for e in machine.entry_by_name.values()
            if e.admits(service, machine.now)
        ]
        assert len(owners) == 1


def test_services_of_a_dead_entry_move_and_no_others():
    machine = OwnershipMachine()
    for _ in range(6):
        machine.all_entries_are_connected(8)
    entries = machine.entry_by_name
    owner_before = {
        s: ownership.find_owner(entries["e1"].routing, s) for s in SERVICES
    }
    dead = entries.pop("e2")
    for _ in range(80):
        machine.now += 0.25
        for entry in entries.values():
            machine.exchange(entry, drains=True)
        machine.leader_decides()
    owner_after = {
        s: ownership.find_owner(entries["e1"].routing, s) for s in SERVICES
    }
    assert "e2" not in owner_after.values()
    assert all(owner_before[s] in ("e2", owner_after[s]) for s in SERVICES)
    assert not any(dead.admits(s, machine.now) for s in SERVICES)


def ignores_the_lease(entry, service, now):
    return ownership.find_owner(entry.routing, service) == entry.name


def ignores_the_proposal(state, service):
    return state.active_owners.get(service)


@pytest.mark.parametrize(
    ("module", "name", "replacement"),
    [
        pytest.param(
            membership,
            "_has_drained",
            lambda *_: True,
            id="new_owner_before_the_old_one_drained",
        ),
        pytest.param(
            membership,
            "_is_expired",
            lambda *_: True,
            id="entry_taken_for_dead_within_its_lease",
        ),
        pytest.param(
            membership,
            "_expiry_s",
            lambda state: 0.0,
            id="new_leader_does_not_wait_for_old_leases",
        ),
        pytest.param(
            SimulatedEntry, "admits", ignores_the_lease, id="no_lease"
        ),
        pytest.param(
            ownership, "find_owner", ignores_the_proposal, id="no_two_phases"
        ),
    ],
)
def test_fuzzing_catches_planted_fault(module, name, replacement, monkeypatch):
    monkeypatch.setattr(module, name, replacement)
    assert fuzzing_finds_failure(OwnershipMachine)
