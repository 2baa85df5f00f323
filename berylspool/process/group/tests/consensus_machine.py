"""Hypothesis state machine of control nodes on simulated disks and network.

The network loses, duplicates, reorders and partitions messages; VMs crash,
restart and lose their disks; disks fill up and have room again.
"""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspool.process.group import consensus
from berylspool.process.group.message import (
    AppendToLog,
    ApplyRecords,
    Group,
    MessageReceived,
    ProposeData,
    ProposeGroup,
    RecordKind,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendMessage,
    Snapshot,
    SnapshotTaken,
    Tick,
)

NAMES = ("a", "b", "c", "d", "e")
TIMING = consensus.ConsensusTiming(0.1, 0.6, 0.6)
COMPACTION_THRESHOLD_RECORDS = 12


class DiskFullError(Exception):
    """The disk has no room for a save."""


@dataclass
class Disk:
    """Simulated disk: durable state, and saves that are not synced yet."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list = field(default_factory=list)
    unsynced_saves: list = field(default_factory=list)
    is_full: bool = False

    def sync(self):
        if self.is_full and self.unsynced_saves:
            raise DiskFullError
        for action in self.unsynced_saves:
            match action:
                case SaveVote(term=term, voted_for=voted_for):
                    self.term, self.voted_for = term, voted_for
                case AppendToLog(records=records):
                    start = records[0].index - self.snapshot.index - 1
                    assert 0 <= start <= len(self.log)
                    self.log[start:] = records
        self.unsynced_saves.clear()


@dataclass
class ControlVm:
    """One control VM: its node while it runs, its disk, its applied state.

    The generation counts the disks that the VM has lost; it is part of the
    node's id.
    """

    name: str
    node: consensus.Node | None = None
    disk: Disk = field(default_factory=Disk)
    applied: list = field(default_factory=list)
    generation: int = 0
    syncs_first: bool = True
    is_without_room: bool = False
    applied_index: int = 0

    @property
    def id(self):
        return f"{self.name}.{self.generation}"


class ConsensusMachine(RuleBasedStateMachine):
    """Three voters and two spare VMs, checked against the safety properties.

    The machine records every committed record, the leader of every term and
    every vote, and fails if two of them contradict each other.
    """

    syncs_first = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.network = []
        self.blocked_links = set()
        self.committed_by_index = {}
        self.leader_by_term = {}
        self.vote_by_voter_and_term = {}
        self.proposal_count = 0
        self.acknowledged = {}
        first_snapshot = Snapshot(0, 0, Group(("a.0", "b.0", "c.0")), b"")
        self.vm_by_name = {name: ControlVm(name) for name in NAMES}
        for name in NAMES[:3]:
            self.vm_by_name[name].disk.snapshot = first_snapshot
        for name in NAMES:
            self.start_node(name)

    def start_node(self, name):
        vm = self.vm_by_name[name]
        disk = vm.disk
        disk.unsynced_saves.clear()
        vm.node = consensus.recover_node(
            vm.id,
            TIMING,
            disk.term,
            disk.voted_for,
            disk.snapshot,
            disk.log,
            self.now,
        )
        data = disk.snapshot.data
        vm.applied = data.decode().split(",") if data else []
        vm.applied_index = disk.snapshot.index

    def vm_with_id(self, id):
        name = id.split(".")[0]
        vm = self.vm_by_name[name]
        return vm if vm.id == id else None

    def handle_event(self, vm, event):
        if vm.node is None or vm.is_without_room:
            return
        try:
            for action in consensus.step(vm.node, event, self.now):
                self.perform_action(vm, action)
        except DiskFullError:
            vm.is_without_room = True
            self.reload_node(vm)

    def reload_node(self, vm):
        """Restore a node from its disk; what it has applied stays applied."""
        applied, applied_index = vm.applied, vm.applied_index
        self.start_node(vm.name)
        if applied_index >= vm.applied_index:
            vm.node.commit_index = vm.applied_index = applied_index
            vm.applied = applied

    @rule(name=st.sampled_from(NAMES))
    def fills_a_disk(self, name):
        """One disk at a time has no room."""
        for vm in self.vm_by_name.values():
            self.frees_a_disk(vm)
        self.vm_by_name[name].disk.is_full = True

    @rule()
    def frees_all_disks(self):
        for vm in self.vm_by_name.values():
            self.frees_a_disk(vm)

    def frees_a_disk(self, vm):
        vm.disk.is_full = False
        if vm.is_without_room:
            vm.is_without_room = False
            if vm.node is not None:
                self.reload_node(vm)

    def perform_action(self, vm, action):
        match action:
            case SaveVote():
                self.check_vote(vm, action)
                vm.disk.unsynced_saves.append(action)
            case AppendToLog():
                vm.disk.unsynced_saves.append(action)
            case SaveSnapshot(snapshot=snapshot, later_records=later_records):
                if vm.disk.is_full:
                    raise DiskFullError
                vm.disk.sync()
                vm.disk.snapshot = snapshot
                vm.disk.log = list(later_records)
                if action.is_installed:
                    text = snapshot.data.decode()
                    vm.applied = text.split(",") if text else []
                    vm.applied_index = snapshot.index
            case SendMessage(peer=peer, message=message):
                if self.syncs_first:
                    vm.disk.sync()
                if (vm.id, peer) not in self.blocked_links:
                    self.network.append((vm.id, peer, message))
            case ApplyRecords(records=records):
                self.apply_records(vm, records)
            case RoleChanged(role=consensus.Role.LEADER, term=term):
                assert self.leader_by_term.setdefault(term, vm.id) == vm.id

    def check_vote(self, vm, action):
        if not action.voted_for:
            return
        key = (vm.id, action.term)
        earlier_vote = self.vote_by_voter_and_term.get(key)
        is_durable = earlier_vote is not None and vm.disk.term == action.term
        if is_durable and vm.disk.voted_for:
            assert earlier_vote == action.voted_for
        self.vote_by_voter_and_term[key] = action.voted_for

    def apply_records(self, vm, records):
        for record in records:
            earlier_record = self.committed_by_index.setdefault(
                record.index, record
            )
            assert earlier_record == record, (
                "two nodes applied different records"
            )
            assert record.index == vm.applied_index + 1
            vm.applied_index = record.index
            if record.kind is RecordKind.DATA:
                vm.applied.append(record.body.decode())
        node = vm.node
        if len(node.log) > COMPACTION_THRESHOLD_RECORDS:
            data = ",".join(vm.applied).encode()
            self.handle_event(vm, SnapshotTaken(node.commit_index, data))

    @rule(
        name=st.sampled_from(NAMES),
        step_s=st.sampled_from([0.01, 0.1, 0.3, 0.7]),
        jitter=st.floats(0, 1),
    )
    def ticks(self, name, step_s, jitter):
        self.now += step_s
        vm = self.vm_by_name[name]
        if vm.node is not None:
            vm.node.jitter = jitter
            self.handle_event(vm, Tick())

    @rule(rounds=st.integers(1, 12))
    def runs_without_faults(self, rounds):
        for _ in range(rounds):
            self.now += 0.12
            for number, vm in enumerate(self.vm_by_name.values()):
                if vm.node is not None:
                    vm.node.jitter = number / len(NAMES)
                self.handle_event(vm, Tick())
            for _ in range(3):
                in_transit, self.network = self.network, []
                for envelope in in_transit:
                    self.deliver_message(envelope)

    @rule(
        random=st.randoms(use_true_random=False),
        count=st.integers(1, 8),
        is_duplicated=st.booleans(),
    )
    def delivers_messages_out_of_order(self, random, count, is_duplicated):
        for _ in range(min(count, len(self.network))):
            index = random.randrange(len(self.network))
            envelope = self.network[index]
            if not is_duplicated:
                del self.network[index]
            self.deliver_message(envelope)

    def deliver_message(self, envelope):
        sender, receiver, message = envelope
        vm = self.vm_with_id(receiver)
        if vm is not None and (sender, receiver) not in self.blocked_links:
            self.handle_event(vm, MessageReceived(sender, message))

    @rule(random=st.randoms(use_true_random=False))
    def loses_messages(self, random):
        self.network = [
            envelope for envelope in self.network if random.random() < 0.5
        ]

    @rule(name=st.sampled_from(NAMES))
    def crashes(self, name):
        vm = self.vm_by_name[name]
        vm.node = None
        vm.is_without_room = False
        vm.disk.unsynced_saves.clear()

    @rule(name=st.sampled_from(NAMES))
    def restarts(self, name):
        if self.vm_by_name[name].node is None:
            self.start_node(name)

    @rule(name=st.sampled_from(NAMES))
    def loses_its_disk(self, name):
        """A VM comes back with an empty disk and a new id.

        Skipped if the other voters that still have their disks would be no
        quorum, since committed records could then be lost.
        """
        vm = self.vm_by_name[name]
        voters = self.newest_group().voters
        voters_with_disk = [
            voter
            for voter in voters
            if voter != vm.id and self.vm_with_id(voter) is not None
        ]
        if vm.id in voters and len(voters_with_disk) * 2 <= len(voters):
            return
        vm.generation += 1
        vm.disk = Disk()
        self.start_node(name)

    def newest_group(self):
        groups = [
            consensus.decode_group(record.body)
            for _, record in sorted(self.committed_by_index.items())
            if record.kind is RecordKind.GROUP
        ]
        return groups[-1] if groups else Group(("a.0", "b.0", "c.0"))

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def partitions_the_network(self, names):
        partition_ids = {self.vm_by_name[n].id for n in names}
        all_ids = {vm.id for vm in self.vm_by_name.values()}
        self.blocked_links = {
            (x, y)
            for x in all_ids
            for y in all_ids
            if (x in partition_ids) != (y in partition_ids)
        }

    def leaders(self):
        return [
            vm
            for vm in self.vm_by_name.values()
            if vm.node and vm.node.role is consensus.Role.LEADER
        ]

    @rule()
    def proposes(self):
        for vm in self.leaders():
            self.proposal_count += 1
            body = f"x{self.proposal_count}".encode()
            self.handle_event(vm, ProposeData(self.proposal_count, body))

    @rule(name=st.sampled_from(NAMES), is_voter=st.booleans())
    def changes_the_group(self, name, is_voter):
        id = self.vm_by_name[name].id
        for vm in self.leaders():
            group = vm.node.group
            caught_up = consensus.is_caught_up(vm.node, id)
            if is_voter and id in group.learners and caught_up:
                learners = tuple(x for x in group.learners if x != id)
                changed = Group((*group.voters, id), learners)
            elif id not in (*group.voters, *group.learners):
                changed = Group(group.voters, (*group.learners, id))
            elif id in group.voters and len(group.voters) > 2:
                voters = tuple(x for x in group.voters if x != id)
                changed = Group(voters, group.learners)
            else:
                continue
            self.handle_event(vm, ProposeGroup(0, changed))

    def groups_in_force(self):
        """Return the newest committed group and those in force on the nodes."""
        nodes = [vm.node for vm in self.vm_by_name.values() if vm.node]
        return {self.newest_group(), *(node.group for node in nodes)}

    @invariant()
    def committed_records_are_on_a_quorum(self):
        """Every committed record survives the loss of a minority.

        A group is in force on each node whose log holds it, committed or
        not, so a quorum of any group in force is accepted.  Successive groups
        differ by one voter.
        """
        if self.committed_by_index:
            index = max(self.committed_by_index)
            assert any(
                self.is_on_quorum(group, index)
                for group in self.groups_in_force()
            )

    def is_on_quorum(self, group, index):
        holder_count = 0
        for voter in group.voters:
            vm = self.vm_with_id(voter)
            if vm is None:
                holder_count += 1
                continue
            disk = vm.disk
            holder_count += disk.snapshot.index + len(disk.log) >= index
        return holder_count * 2 > len(group.voters)

    @invariant()
    def applied_states_agree(self):
        states = [vm.applied for vm in self.vm_by_name.values() if vm.node]
        longest = max(states, key=len, default=[])
        for state in states:
            assert longest[: len(state)] == state
