"""One replica of the control state: consensus node, storage and state."""

import asyncio
import random
import secrets
from collections.abc import Callable

from berylspool.common.frame import HEADER_BYTES
from berylspool.exception import StorageFullError
from berylspool.process.group import consensus
from berylspool.process.group.message import (
    AppendToLog,
    ApplyRecords,
    ConsensusAction,
    ConsensusEvent,
    Group,
    ProposalRejected,
    ProposeData,
    Record,
    RecordKind,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendMessage,
    Snapshot,
    SnapshotTaken,
)
from berylspool.process.group.node import term_at
from berylspool.process.group.reconfiguration import node_name_from_id
from berylspool.process.group.replica_output import (
    ChangeResult,
    DiskRoomChanged,
    RecordApplied,
    ReplicaOutput,
    SnapshotInstalled,
    rejections,
)
from berylspool.process.group.state_machine import (
    Change,
    ControlState,
    apply_change,
    change_codec,
    decode_state,
    encode_state,
)
from berylspool.process.group.storage import Storage

__all__ = ["Replica"]

COMPACTION_THRESHOLD_RECORDS = 2_000
# Published plans make long records; a few MB fit a small disk and are read
# quickly at a start.
COMPACTION_THRESHOLD_BYTES = 4 * 1024 * 1024
# A snapshot needs more room than a record, so records may still be saved.
COMPACTION_RETRY_S = 5.0
ROOM_CHECK_INTERVAL_S = 0.1


class Replica:
    """Owns the consensus node, its storage and the replicated state.

    A VM that has lost its disk must not vote again under its former id,
    because it has forgotten the votes and acknowledgements that it sent.  So
    a founder with an empty disk takes its fixed id only after every other
    founder has confirmed that it never received a consensus message from
    that id, even if the VM is started as a founder again.  Any other VM with
    an empty disk gets a new random id and waits to be added as a learner.

    While the disk has no room, the replica takes no part in the group: it
    neither votes nor acknowledges nor leads, and its consensus state is what
    the disk holds. It takes part again, like a node that has restarted, once a
    write succeeds.

    Args:
        name: Name of the control node.
        storage: Durable state of the node.
        founders: Names of the voters of the first group of the deployment.
        is_init: Whether this may be the first start of the deployment.
        clock: Returns the monotonic time in seconds.
        backup: Encoded state that a new deployment starts from.
        timing: Timing parameters of the consensus.

    Attributes:
        storage: Durable state of the node.
        state: Replicated state, with all committed records applied.
        unconfirmed_founders: Names of the founders that have not yet confirmed
            this node's fixed id.
        node: Consensus state of the node.
        has_room: Whether the disk has accepted the last write.
    """

    def __init__(
        self,
        name: str,
        storage: Storage,
        founders: tuple[str, ...],
        is_init: bool,
        clock: Callable[[], float],
        backup: bytes = b"",
        timing: consensus.ConsensusTiming = consensus.ConsensusTiming(),  # noqa: B008
    ) -> None:
        self._backup = backup
        self._timing = timing
        self.storage = storage
        self.state = ControlState()
        self.unconfirmed_founders: set[str] = set()
        self._name = name
        self._founders = founders
        self._clock = clock
        self._change_codec = change_codec()
        self._applied_index = 0
        self._log_bytes = 0
        self._compaction_due_at = self._room_check_due_at = float("-inf")
        self.has_room = True
        if not storage.recovered.identity:
            self._choose_identity(is_init)
        self.node = self._recover_node()

    @property
    def is_founding(self) -> bool:
        """Whether the node still waits for replies of other founders."""
        return bool(self.unconfirmed_founders)

    @property
    def is_member(self) -> bool:
        """Whether this node is in the newest group that it knows."""
        group = self.node.group
        return self.node.id in (*group.voters, *group.learners)

    @property
    def leader(self) -> str:
        """Name of the leader as far as known, or empty."""
        return node_name_from_id(self.node.leader)

    @property
    def is_leader(self) -> bool:
        """Whether this node has the role of leader."""
        return self.node.role is consensus.Role.LEADER

    def has_quorum_contact(self) -> bool:
        """Return whether this node is a leader whose state is the newest.

        A quorum has echoed a recent heartbeat, and a record of the leader's
        own term is committed; before that, records of former leaders may be
        committed that are not applied here (Ongaro 2014, section 6.4).
        """
        node = self.node
        has_commit_in_term = term_at(node, node.commit_index) == node.term
        return has_commit_in_term and consensus.has_quorum_contact(
            node, self._clock()
        )

    def has_received_from(self, id: str) -> bool:
        """Return whether a node of that id has ever sent a consensus message.

        Such a message may have been a vote or an acknowledgement, by which
        the sender is bound.
        """
        return id in self.storage.recovered.message_senders

    def on_founder_reply(self, founder: str, has_promised: bool) -> None:
        """Handle another founder's reply about this node's fixed id.

        Args:
            founder: Name of the founder that replied.
            has_promised: Whether that founder has ever received a consensus
                message from the fixed id. If so, this node has lost its disk
                and takes a new id as a learner.
        """
        if founder not in self.unconfirmed_founders:
            return
        self.unconfirmed_founders.discard(founder)
        if has_promised:
            self.unconfirmed_founders.clear()
            self._take_new_identity()
        elif not self.unconfirmed_founders:
            self._found_group()
        else:
            return
        self.node = self._recover_node()

    async def record_sender(self, sender: str) -> list[ReplicaOutput]:
        """Save durably that a node has sent a consensus message.

        Args:
            sender: Id of the node; it may have sent a vote or an
                acknowledgement.

        Returns:
            Outputs for the control task. If the disk has no room, the message
            must not be handled.

        Raises:
            StorageError: The write to the disk failed.
        """
        if self.has_received_from(sender) or not self.has_room:
            return []
        recovered = self.storage.recovered
        senders = (*recovered.message_senders, sender)
        self.storage.save_identity(recovered.identity, senders)
        try:
            await self._sync_storage()
        except StorageFullError as error:
            return self._leave_group(error)
        return []

    def propose(self, changes: list[Change]) -> ProposeData:
        """Return the event that proposes changes as one record.

        The tag of the event is the index that the record gets if the
        proposal is accepted.
        """
        body = self._change_codec.encode(changes)[HEADER_BYTES:]
        return ProposeData(consensus.last_log_index(self.node) + 1, body)

    async def step(self, event: ConsensusEvent) -> list[ReplicaOutput]:
        """Apply one event and make its effects durable.

        Args:
            event: Event to apply.

        Returns:
            Outputs for the control task, in order; everything that they rely
            on is on disk.

        Raises:
            StorageError: The write to the disk failed.
        """
        if not self.has_room:
            return rejections(event)
        outputs: list[ReplicaOutput] = []
        try:
            await self._perform_actions(
                consensus.step(self.node, event, self._clock()), outputs
            )
        except StorageFullError as error:
            outputs += self._leave_group(error)
            return [*outputs, *rejections(event)]
        self._compact_log_if_large()
        return outputs

    async def _perform_actions(
        self, actions: list[ConsensusAction], outputs: list[ReplicaOutput]
    ) -> None:
        is_synced = True
        for action in actions:
            match action:
                case SaveVote(term=term, voted_for=voted_for):
                    self.storage.save_vote(term, voted_for)
                    is_synced = False
                case AppendToLog(records=records):
                    self._log_bytes += sum(len(r.body) for r in records)
                    self.storage.append(records)
                    is_synced = False
                case _:
                    if not is_synced:
                        await self._sync_storage()
                        is_synced = True
                    outputs += self._perform_action(action)
        if not is_synced:
            await self._sync_storage()

    def _leave_group(self, error: StorageFullError) -> list[ReplicaOutput]:
        """Drop what the refused write was to make durable."""
        role, term = self.node.role, self.node.term
        self.has_room = False
        self._room_check_due_at = self._clock() + ROOM_CHECK_INTERVAL_S
        outputs = self._reload()
        if role is not consensus.Role.FOLLOWER:
            outputs.append(RoleChanged(consensus.Role.FOLLOWER, term))
        return [DiskRoomChanged(False, str(error)), *outputs]

    async def rejoin_if_room(self) -> list[ReplicaOutput]:
        """Take part in the group again if the disk has room.

        Returns:
            Outputs for the control task.

        Raises:
            StorageError: The write failed for another reason.
        """
        if self.has_room or self._clock() < self._room_check_due_at:
            return []
        try:
            await asyncio.to_thread(self.storage.check_room)
        except StorageFullError:
            self.storage.reopen()
            self._room_check_due_at = self._clock() + ROOM_CHECK_INTERVAL_S
            return []
        self.has_room = True
        return [DiskRoomChanged(True), *self._reload()]

    def _reload(self) -> list[ReplicaOutput]:
        """Restore the consensus state from disk; applied records stay applied.

        A record is applied only once it is on disk.
        """
        self.storage.reopen()
        is_snapshot_newer = (
            self.storage.recovered.snapshot.index > self._applied_index
        )
        self.node = self._recover_node(loads_state=is_snapshot_newer)
        return [SnapshotInstalled()] if is_snapshot_newer else []

    async def _sync_storage(self) -> None:
        await asyncio.to_thread(self.storage.sync)

    def _perform_action(self, action: ConsensusAction) -> list[ReplicaOutput]:
        match action:
            case SendMessage() | ProposalRejected() | RoleChanged():
                return [action]
            case ApplyRecords(records=records):
                return [self._apply_record(record) for record in records]
            case SaveSnapshot(snapshot=snapshot, later_records=later_records):
                self.storage.save_snapshot(snapshot, later_records)
                self._log_bytes = sum(len(r.body) for r in later_records)
                if not action.is_installed:
                    return []
                self.state = decode_state(snapshot.data)
                self._applied_index = snapshot.index
                return [SnapshotInstalled()]
        return []

    def _apply_record(self, record: Record) -> RecordApplied:
        self._applied_index = record.index
        results = []
        if record.kind is RecordKind.DATA:
            for change in self._change_codec.decode(record.body):
                before = self.state.configuration
                answer = apply_change(self.state, change)
                after = self.state.configuration
                results.append(ChangeResult(change, answer, before, after))
        return RecordApplied(record.index, tuple(results))

    def _compact_log_if_large(self) -> None:
        has_many_records = len(self.node.log) >= COMPACTION_THRESHOLD_RECORDS
        if (
            not has_many_records
            and self._log_bytes < COMPACTION_THRESHOLD_BYTES
        ):
            return
        if (
            self._applied_index <= self.node.snapshot.index
            or self._clock() < self._compaction_due_at
        ):
            return
        snapshot, log = self.node.snapshot, self.node.log
        event = SnapshotTaken(self._applied_index, encode_state(self.state))
        try:
            for action in consensus.step(self.node, event, self._clock()):
                self._perform_action(action)
        except StorageFullError:
            # The log on disk still holds all records.
            self.node.snapshot, self.node.log = snapshot, log
            self._compaction_due_at = self._clock() + COMPACTION_RETRY_S

    def _choose_identity(self, is_init: bool) -> None:
        """Start to confirm the fixed id of a founder, or take a new id."""
        if not is_init or self._name not in self._founders:
            self._take_new_identity()
            return
        self.unconfirmed_founders = set(self._founders) - {self._name}
        if not self.unconfirmed_founders:
            self._found_group()

    def _found_group(self) -> None:
        """Take the fixed id and create the first group of the deployment."""
        voters = tuple(f"{founder}.0" for founder in self._founders)
        snapshot = Snapshot(0, 0, Group(voters), self._backup)
        self.storage.save_founder(f"{self._name}.0", snapshot)

    def _take_new_identity(self) -> None:
        id = f"{self._name}.{secrets.token_hex(4)}"
        self.storage.save_identity(id, ())
        self.storage.sync()

    def _recover_node(self, *, loads_state: bool = True) -> consensus.Node:
        """Return a node with the state on disk.

        Args:
            loads_state: Whether the replicated state is that of the snapshot;
                if not, it stays as it is, with all records applied so far.
        """
        recovered = self.storage.recovered
        self._log_bytes = sum(len(r.body) for r in recovered.log)
        if loads_state:
            self.state = decode_state(recovered.snapshot.data)
            self._applied_index = recovered.snapshot.index
        node = consensus.recover_node(
            recovered.identity,
            self._timing,
            recovered.term,
            recovered.voted_for,
            recovered.snapshot,
            recovered.log,
            self._clock(),
            random.random(),
        )
        node.commit_index = self._applied_index
        return node
