"""Hypothesis state machine of control nodes on simulated disks and network.

The network loses, duplicates, reorders and partitions messages; VMs crash,
restart and lose their disks.
"""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspool.process.group import consensus
from berylspool.process.group.message import (
    AppendToLog,
    Apply,
    Group,
    Propose,
    ProposeGroup,
    Received,
    RecordKind,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendTo,
    Snapshot,
    SnapshotTaken,
    Ticked,
)

NAMES = ("a", "b", "c", "d", "e")
TIMING = consensus.Timing(0.1, 0.6, 0.6)
COMPACT_RECORDS = 12


@dataclass
class Disk:
    """Simulated disk: durable state, and saves that are not synced yet."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list = field(default_factory=list)
    unsynced: list = field(default_factory=list)

    def sync(self):
        for action in self.unsynced:
            match action:
                case SaveVote(term=term, voted_for=voted_for):
                    self.term, self.voted_for = term, voted_for
                case AppendToLog(records=records):
                    start = records[0].index - self.snapshot.index - 1
                    assert 0 <= start <= len(self.log)
                    self.log[start:] = records
        self.unsynced.clear()


@dataclass
class Machine:
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
        self.cut = set()
        self.agreed = {}
        self.leader_by_term = {}
        self.vote_by_voter_and_term = {}
        self.proposed = 0
        self.acknowledged = {}
        founding = Snapshot(0, 0, Group(("a.0", "b.0", "c.0")), b"")
        self.machine_by_name = {name: Machine(name) for name in NAMES}
        for name in NAMES[:3]:
            self.machine_by_name[name].disk.snapshot = founding
        for name in NAMES:
            self.start(name)

    def start(self, name):
        machine = self.machine_by_name[name]
        disk = machine.disk
        disk.unsynced.clear()
        machine.node = consensus.recover(
            machine.id,
            TIMING,
            disk.term,
            disk.voted_for,
            disk.snapshot,
            disk.log,
            self.now,
        )
        data = disk.snapshot.data
        machine.applied = data.decode().split(",") if data else []

    def machine_of(self, id):
        name = id.split(".")[0]
        machine = self.machine_by_name[name]
        return machine if machine.id == id else None

    def feed(self, machine, event):
        if machine.node is None:
            return
        for action in consensus.step(machine.node, event, self.now):
            self.perform(machine, action)

    def perform(self, machine, action):
        match action:
            case SaveVote():
                self.check_vote(machine, action)
                machine.disk.unsynced.append(action)
            case AppendToLog():
                machine.disk.unsynced.append(action)
            case SaveSnapshot(snapshot=snapshot, kept=kept):
                machine.disk.sync()
                machine.disk.snapshot = snapshot
                machine.disk.log = list(kept)
                if action.is_installed:
                    text = snapshot.data.decode()
                    machine.applied = text.split(",") if text else []
            case SendTo(peer=peer, message=message):
                if self.syncs_first:
                    machine.disk.sync()
                if (machine.id, peer) not in self.cut:
                    self.network.append((machine.id, peer, message))
            case Apply(records=records):
                self.apply(machine, records)
            case RoleChanged(role=consensus.Role.LEADER, term=term):
                assert self.leader_by_term.setdefault(term, machine.id) == (
                    machine.id
                )

    def check_vote(self, machine, action):
        if not action.voted_for:
            return
        key = (machine.id, action.term)
        known = self.vote_by_voter_and_term.get(key)
        durable = known is not None and machine.disk.term == action.term
        if durable and machine.disk.voted_for:
            assert known == action.voted_for
        self.vote_by_voter_and_term[key] = action.voted_for

    def apply(self, machine, records):
        for record in records:
            known = self.agreed.setdefault(record.index, record)
            assert known == record, "two nodes applied different records"
            if record.kind is RecordKind.DATA:
                machine.applied.append(record.body.decode())
        node = machine.node
        if len(node.log) > COMPACT_RECORDS:
            data = ",".join(machine.applied).encode()
            self.feed(machine, SnapshotTaken(node.commit, data))

    @rule(
        name=st.sampled_from(NAMES),
        step_s=st.sampled_from([0.01, 0.1, 0.3, 0.7]),
        jitter=st.floats(0, 1),
    )
    def ticks(self, name, step_s, jitter):
        self.now += step_s
        machine = self.machine_by_name[name]
        if machine.node is not None:
            machine.node.jitter = jitter
            self.feed(machine, Ticked())

    @rule(rounds=st.integers(1, 12))
    def runs_well(self, rounds):
        for _ in range(rounds):
            self.now += 0.12
            for number, machine in enumerate(self.machine_by_name.values()):
                if machine.node is not None:
                    machine.node.jitter = number / len(NAMES)
                self.feed(machine, Ticked())
            for _ in range(3):
                waiting, self.network = self.network, []
                for item in waiting:
                    self.deliver(item)

    @rule(
        pick=st.randoms(use_true_random=False),
        count=st.integers(1, 8),
        keep=st.booleans(),
    )
    def delivers_some(self, pick, count, keep):
        for _ in range(min(count, len(self.network))):
            number = pick.randrange(len(self.network))
            item = self.network[number]
            if not keep:
                del self.network[number]
            self.deliver(item)

    def deliver(self, item):
        sender, receiver, message = item
        machine = self.machine_of(receiver)
        if machine is not None and (sender, receiver) not in self.cut:
            self.feed(machine, Received(sender, message))

    @rule(pick=st.randoms(use_true_random=False))
    def loses_messages(self, pick):
        self.network = [m for m in self.network if pick.random() < 0.5]

    @rule(name=st.sampled_from(NAMES))
    def crashes(self, name):
        machine = self.machine_by_name[name]
        machine.node = None
        machine.disk.unsynced.clear()

    @rule(name=st.sampled_from(NAMES))
    def restarts(self, name):
        if self.machine_by_name[name].node is None:
            self.start(name)

    @rule(name=st.sampled_from(NAMES))
    def loses_its_disk(self, name):
        """A VM comes back with an empty disk and a new id.

        Skipped if the other voters that still have their disks would be no
        quorum, since committed records could then be lost.
        """
        machine = self.machine_by_name[name]
        voters = self.newest_group().voters
        healthy = [
            voter
            for voter in voters
            if voter != machine.id and self.machine_of(voter) is not None
        ]
        if machine.id in voters and len(healthy) * 2 <= len(voters):
            return
        machine.generation += 1
        machine.disk = Disk()
        self.start(name)

    def newest_group(self):
        groups = [
            consensus.decode_group(record.body)
            for _, record in sorted(self.agreed.items())
            if record.kind is RecordKind.GROUP
        ]
        return groups[-1] if groups else Group(("a.0", "b.0", "c.0"))

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def parts_the_network(self, names):
        inside = {self.machine_by_name[n].id for n in names}
        all_ids = {m.id for m in self.machine_by_name.values()}
        self.cut = {
            (x, y)
            for x in all_ids
            for y in all_ids
            if (x in inside) != (y in inside)
        }

    def leaders(self):
        return [
            machine
            for machine in self.machine_by_name.values()
            if machine.node and machine.node.role is consensus.Role.LEADER
        ]

    @rule()
    def proposes(self):
        for machine in self.leaders():
            self.proposed += 1
            body = f"x{self.proposed}".encode()
            self.feed(machine, Propose(self.proposed, body))

    @rule(name=st.sampled_from(NAMES), is_voter=st.booleans())
    def changes_the_group(self, name, is_voter):
        added = self.machine_by_name[name].id
        for machine in self.leaders():
            group = machine.node.group
            caught_up = consensus.is_caught_up(machine.node, added)
            if is_voter and added in group.learners and caught_up:
                learners = tuple(x for x in group.learners if x != added)
                changed = Group((*group.voters, added), learners)
            elif added not in (*group.voters, *group.learners):
                changed = Group(group.voters, (*group.learners, added))
            elif added in group.voters and len(group.voters) > 2:
                voters = tuple(x for x in group.voters if x != added)
                changed = Group(voters, group.learners)
            else:
                continue
            self.feed(machine, ProposeGroup(0, changed))

    def groups(self):
        """Return the newest committed group and those in force on the nodes."""
        nodes = [m.node for m in self.machine_by_name.values() if m.node]
        return {self.newest_group(), *(node.group for node in nodes)}

    @invariant()
    def committed_records_are_on_a_quorum(self):
        """Every committed record survives the loss of a minority.

        A group is in force on each node whose log holds it, committed or
        not, so a quorum of any group in force is accepted.  Successive groups
        differ by one voter.
        """
        if self.agreed:
            index = max(self.agreed)
            assert any(self.is_held(group, index) for group in self.groups())

    def is_held(self, group, index):
        holders = 0
        for voter in group.voters:
            machine = self.machine_of(voter)
            if machine is None:
                holders += 1
                continue
            disk = machine.disk
            holders += disk.snapshot.index + len(disk.log) >= index
        return holders * 2 > len(group.voters)

    @invariant()
    def applied_states_agree(self):
        states = [m.applied for m in self.machine_by_name.values() if m.node]
        longest = max(states, key=len, default=[])
        for state in states:
            assert longest[: len(state)] == state
