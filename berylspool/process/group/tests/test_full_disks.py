"""Disks of a group that fill up in turn while changes go on.

Every node is a real replica with real files; messages and the clock are
simulated. Writes fail as on a full disk, at any length.
"""

import asyncio
import errno
import io
import random

import pytest

from berylspool.common.frame import HEADER_BYTES
from berylspool.process.group import replica as replica_module
from berylspool.process.group import storage as storage_module
from berylspool.process.group.consensus import ConsensusTiming, Role
from berylspool.process.group.message import (
    MessageReceived,
    ProposalRejected,
    RoleChanged,
    SendMessage,
    Tick,
)
from berylspool.process.group.replica import Replica
from berylspool.process.group.replica_output import (
    DiskRoomChanged,
    RecordApplied,
)
from berylspool.process.group.state_machine import Configure
from berylspool.process.group.storage import Storage
from berylspool.version.operation import operation_codec

NAMES = ("a", "b", "c", "d", "e")
TIMING = ConsensusTiming(0.05, 0.25, 0.25)
NO_OPERATIONS = operation_codec().encode([])[HEADER_BYTES:]
STEP_S = 0.01
LATENCY_STEPS = 1


class Fleet:
    """Five replicas; each has a disk that may have no room.

    Attributes:
        full_name: Node whose disk is full; empty if all have room.
        acknowledged: Ids of the changes that a leader has answered.
        rejected: Ids of the changes that were refused.
        unanswered: Ids of the changes whose leader gave up the lead.
    """

    def __init__(self, folder, monkeypatch, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.full_name = ""
        self.acknowledged, self.rejected = set(), set()
        self.unanswered = set()
        self._in_transit = []
        self._ids_by_tag = {}
        self._limit_files(folder, monkeypatch)
        self.replica_by_name = {}
        for name in NAMES:
            storage = Storage(folder / name)
            self.replica_by_name[name] = Replica(
                name, storage, NAMES, True, lambda: self.now, timing=TIMING
            )
        for name, replica in self.replica_by_name.items():
            for founder in NAMES:
                if founder != name:
                    replica.on_founder_reply(founder, has_promised=False)

    def _limit_files(self, folder, monkeypatch):
        fleet = self

        class LimitedFile(io.FileIO):
            def write(self, data):
                owner = str(self.name)[len(str(folder)) + 1 :].partition("/")[0]
                if owner != fleet.full_name:
                    return super().write(data)
                room = fleet.random.randrange(len(data))
                if room and fleet.random.random() < 0.5:
                    return super().write(bytes(data)[:room])
                raise OSError(errno.ENOSPC, "No space left on device")

        real_open = open

        def open_limited(path, mode, buffering=-1):
            if buffering == 0:
                return LimitedFile(path, mode)
            return real_open(path, mode)

        monkeypatch.setattr(storage_module, "open", open_limited, raising=False)

    async def run(self, duration_s):
        """Deliver messages and ticks for some seconds."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            due = [m for m in self._in_transit if m[0] <= self.now]
            self._in_transit = [m for m in self._in_transit if m[0] > self.now]
            for _, sender, receiver, message in due:
                await self._receive(sender, receiver, message)
            for name, replica in self.replica_by_name.items():
                self._handle(name, await replica.rejoin_if_room())
                replica.node.jitter = self.random.random()
                self._handle(name, await replica.step(Tick()))

    async def _receive(self, sender, receiver, message):
        name = receiver.partition(".")[0]
        replica = self.replica_by_name[name]
        if replica.node.id == receiver:
            self._handle(name, await replica.record_sender(sender))
            event = MessageReceived(sender, message)
            self._handle(name, await replica.step(event))

    def _handle(self, name, outputs):
        replica = self.replica_by_name[name]
        for output in outputs:
            match output:
                case SendMessage(peer=peer, message=message):
                    arrival = self.now + LATENCY_STEPS * STEP_S
                    envelope = (arrival, replica.node.id, peer, message)
                    self._in_transit.append(envelope)
                case RecordApplied(index=index, results=results):
                    if self._ids_by_tag.pop((name, index), None):
                        self.acknowledged |= {
                            r.change.command_id for r in results
                        }
                case ProposalRejected(tag=tag):
                    self.rejected |= self._ids_by_tag.pop((name, tag), set())
                case RoleChanged():
                    # Operators are told to ask the new leader.
                    for key in [k for k in self._ids_by_tag if k[0] == name]:
                        self.unanswered |= self._ids_by_tag.pop(key)

    async def propose(self, id):
        """Submit a change to the leader, if there is one."""
        for name, replica in self.replica_by_name.items():
            if replica.has_quorum_contact():
                text = "x" * self.random.randrange(2000)
                change = Configure(id, -1, NO_OPERATIONS, text, "w", 1.0)
                event = replica.propose([change])
                self._ids_by_tag[name, event.tag] = {id}
                self._handle(name, await replica.step(event))
                return True
        return False

    def leader(self):
        """Return the name of the leader with a quorum, or empty."""
        leading = [
            name
            for name, replica in self.replica_by_name.items()
            if replica.has_quorum_contact()
        ]
        return leading[0] if leading else ""

    def applied_ids(self, name):
        """Return the ids of the changes that a node has applied."""
        return set(self.replica_by_name[name].state.answer_by_command)


async def play_disks_in_turn(fleet, order, full_s, pause_s):
    """Fill each disk in turn while changes go on; return the changes."""
    serial = 0
    await fleet.run(2.0)
    for pick in order:
        name = fleet.leader() if pick == "leader" else pick
        for full_name, duration_s in ((name, full_s), ("", pause_s)):
            fleet.full_name = full_name
            for _ in range(round(duration_s / 0.2)):
                serial += 1
                await fleet.propose(f"c{serial}")
                await fleet.run(0.2)
    return serial


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "order", [NAMES, ("leader",) * 5, ("leader", "a", "leader", "b", "c")]
)
def test_changes_are_answered_after_disks_were_full_in_turn(
    tmp_path, monkeypatch, seed, order
):
    """Nothing acknowledged is lost, and no node stays out for good."""
    # Snapshots and replaced logs meet a full disk, too.
    monkeypatch.setattr(replica_module, "COMPACTION_THRESHOLD_RECORDS", 9)
    fleet = Fleet(tmp_path, monkeypatch, seed)

    async def run():
        await play_disks_in_turn(fleet, order, full_s=3.0, pause_s=0.4)
        await fleet.run(2.0)
        for number in range(5):
            assert await fleet.propose(f"last{number}")
            await fleet.run(0.3)

    asyncio.run(run())
    assert {f"last{n}" for n in range(5)} <= fleet.acknowledged
    assert not fleet.acknowledged & fleet.rejected
    for name in NAMES:
        replica = fleet.replica_by_name[name]
        assert replica.has_room
        assert fleet.acknowledged <= fleet.applied_ids(name)


def test_leader_without_room_gives_up_the_lead_and_refuses_at_once(
    tmp_path, monkeypatch
):
    fleet = Fleet(tmp_path, monkeypatch, 1)

    async def run():
        await fleet.run(2.0)
        name = fleet.leader()
        fleet.full_name = name
        await fleet.propose("refused")
        replica = fleet.replica_by_name[name]
        assert not replica.has_quorum_contact()
        assert replica.node.role is Role.FOLLOWER
        assert fleet.unanswered == {"refused"}
        await fleet.run(1.0)
        assert fleet.leader() not in ("", name)
        await fleet.propose("served")
        await fleet.run(0.3)

    asyncio.run(run())
    assert fleet.acknowledged == {"served"}


def test_node_without_room_neither_votes_nor_acknowledges(
    tmp_path, monkeypatch
):
    fleet = Fleet(tmp_path, monkeypatch, 2)

    async def run():
        await fleet.run(2.0)
        name = next(n for n in NAMES if n != fleet.leader())
        replica = fleet.replica_by_name[name]
        fleet.full_name = name
        await fleet.propose("c1")
        await fleet.run(0.2)
        assert not replica.has_room
        term, log = replica.node.term, list(replica.node.log)
        vote = replica_module.consensus.Vote(99, 10**6, 98)
        outputs = await replica.step(MessageReceived("a.0", vote))
        assert outputs == []
        assert (replica.node.term, replica.node.log) == (term, log)
        fleet.full_name = ""
        await fleet.run(1.0)
        assert replica.has_room
        assert fleet.applied_ids(name) == {"c1"}

    asyncio.run(run())


def test_changes_of_room_are_reported_once_each(tmp_path, monkeypatch):
    fleet = Fleet(tmp_path, monkeypatch, 3)
    reported = []
    handle = fleet._handle

    def record(name, outputs):
        reported.extend(
            o.has_room for o in outputs if isinstance(o, DiskRoomChanged)
        )
        handle(name, outputs)

    fleet._handle = record

    async def run():
        await fleet.run(2.0)
        fleet.full_name = fleet.leader()
        await fleet.propose("c1")
        await fleet.run(3.0)
        fleet.full_name = ""
        await fleet.run(1.0)

    asyncio.run(run())
    assert reported == [False, True]
