"""One replica of the control state: consensus node, storage and state."""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from berylspool.common.frame import HEADER_BYTES
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
from berylspool.process.group.state_machine import (
    Change,
    ControlState,
    apply_change,
    change_codec,
    decode_state,
    encode_state,
)
from berylspool.process.group.storage import Storage
from berylspool.request.ledger import LedgerReply
from berylspool.version.configuration import Configuration
from berylspool.version.operator_command import CommandAnswer

__all__ = [
    "ChangeResult",
    "RecordApplied",
    "Replica",
    "ReplicaOutput",
    "SnapshotInstalled",
]

COMPACTION_THRESHOLD_RECORDS = 2_000
# Published plans make long records; a few MB fit a small disk and are read
# quickly at a start.
COMPACTION_THRESHOLD_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of applying one change.

    Attributes:
        change: The change.
        answer: Answer for the proposer, or None.
        before: Configuration before the change.
        after: Configuration after the change.
    """

    change: Change
    answer: CommandAnswer | LedgerReply | None
    before: Configuration
    after: Configuration


@dataclass(frozen=True, slots=True)
class RecordApplied:
    """A committed record was applied.

    Attributes:
        index: Index of the record.
        results: Results of the changes in the record, in order.
    """

    index: int
    results: tuple[ChangeResult, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A snapshot of the leader has replaced the state."""


ReplicaOutput = (
    SendMessage
    | ProposalRejected
    | RoleChanged
    | RecordApplied
    | SnapshotInstalled
)


class Replica:
    """Owns the consensus node, its storage and the replicated state.

    A VM that has lost its disk must not vote again under its former id,
    because it has forgotten the votes and acknowledgements that it sent.  So
    a founder with an empty disk takes its fixed id only after every other
    founder has confirmed that it never received a consensus message from
    that id, even if the VM is started as a founder again.  Any other VM with
    an empty disk gets a new random id and waits to be added as a learner.

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

    def now(self) -> float:
        """Return the monotonic time in seconds by which the replica decides."""
        return self._clock()

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

    def gauge_by_name(self) -> dict[str, float]:
        """Return the gauges of this replica by metric name."""
        return {
            "berylspool_term": self.node.term,
            "berylspool_leader": float(self.is_leader),
            "berylspool_quorum_contact": float(self.has_quorum_contact()),
            "berylspool_commit_index": self.node.commit_index,
            "berylspool_members": len(self.state.active.member_by_name),
            "berylspool_configuration_revision": (
                self.state.configuration.revision
            ),
        }

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

    async def record_sender(self, sender: str) -> None:
        """Save durably that a node has sent a consensus message.

        Args:
            sender: Id of the node; it may have sent a vote or an
                acknowledgement.

        Raises:
            StorageError: The write to the disk failed.
        """
        recovered = self.storage.recovered
        if sender not in recovered.message_senders:
            message_senders = (*recovered.message_senders, sender)
            self.storage.save_identity(recovered.identity, message_senders)
            await self._sync_storage()

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
        outputs: list[ReplicaOutput] = []
        actions = consensus.step(self.node, event, self._clock())
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
        self._compact_log_if_large()
        return outputs

    async def _sync_storage(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.storage.sync)

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
        if self._applied_index <= self.node.snapshot.index:
            return
        event = SnapshotTaken(self._applied_index, encode_state(self.state))
        for action in consensus.step(self.node, event, self._clock()):
            self._perform_action(action)

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
        self.storage.save_identity(f"{self._name}.0", ())
        self.storage.save_snapshot(snapshot, ())
        self.storage.recovered.snapshot = snapshot

    def _take_new_identity(self) -> None:
        id = f"{self._name}.{secrets.token_hex(4)}"
        self.storage.save_identity(id, ())
        self.storage.sync()

    def _recover_node(self) -> consensus.Node:
        recovered = self.storage.recovered
        self._log_bytes = sum(len(r.body) for r in recovered.log)
        self.state = decode_state(recovered.snapshot.data)
        self._applied_index = recovered.snapshot.index
        return consensus.recover_node(
            recovered.identity,
            self._timing,
            recovered.term,
            recovered.voted_for,
            recovered.snapshot,
            recovered.log,
            self._clock(),
            random.random(),
        )
