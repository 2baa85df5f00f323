"""One replica of the control state: its node, its disk and its state."""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from berylspool.common.frame import HEADER_BYTES
from berylspool.process.group import consensus
from berylspool.process.group.change import (
    Change,
    ControlState,
    apply_change,
    change_codec,
    decode_state,
    encode_state,
)
from berylspool.process.group.message import (
    AppendToLog,
    Apply,
    ConsensusAction,
    ConsensusEvent,
    Group,
    Propose,
    Record,
    RecordKind,
    Rejected,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendTo,
    Snapshot,
    SnapshotTaken,
)
from berylspool.process.group.node import term_at
from berylspool.process.group.repair import name_of
from berylspool.process.group.storage import Storage
from berylspool.request.ledger import LedgerReply
from berylspool.version.configuration import Configuration
from berylspool.version.statement import CommandAnswer

__all__ = ["Applied", "Installed", "Replica", "ReplicaOutput", "Result"]

COMPACT_RECORDS = 2_000
# Published plans make long records; a small disk and a start hold a few MB.
COMPACT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Result:
    """One change that was applied.

    Attributes:
        change: The change.
        answer: Answer to who proposed it.
        before: Configuration before it.
        after: Configuration after it.
    """

    change: Change
    answer: CommandAnswer | LedgerReply | None
    before: Configuration
    after: Configuration


@dataclass(frozen=True, slots=True)
class Applied:
    """A committed record was applied.

    Attributes:
        index: Index of the record.
        results: Its changes, in order.
    """

    index: int
    results: tuple[Result, ...]


@dataclass(frozen=True, slots=True)
class Installed:
    """The state was replaced by a snapshot of the leader."""


ReplicaOutput = SendTo | Rejected | RoleChanged | Applied | Installed


class Replica:
    """Owns the node, the disk and the replicated state.

    A founder takes its identity only after every other founder has said
    that no node of that identity ever made it a promise; so a VM that lost
    its disk cannot vote with promises it has forgotten, even if it is
    started as a founder again.  Any other VM with an empty disk gets a new
    identity and waits to be added.

    Args:
        name: Name of the control node.
        storage: Its data folder.
        founders: Names of the nodes that found the deployment.
        is_init: Whether this may be the first start of the deployment.
        clock: Monotonic time in seconds.
        backup: Encoded state that a new deployment starts from.
        timing: Times of the consensus.
    """

    def __init__(
        self,
        name: str,
        storage: Storage,
        founders: tuple[str, ...],
        is_init: bool,
        clock: Callable[[], float],
        backup: bytes = b"",
        timing: consensus.Timing = consensus.Timing(),  # noqa: B008
    ) -> None:
        self._backup = backup
        self._timing = timing
        self.storage = storage
        self.state = ControlState()
        self.unconfirmed: set[str] = set()
        self._name = name
        self._founders = founders
        self._clock = clock
        self._changes = change_codec()
        self._applied = 0
        self._log_bytes = 0
        if not storage.recovered.identity:
            self._identify(is_init)
        self.node = self._recover()

    @property
    def is_founding(self) -> bool:
        """Whether the node still waits for the other founders."""
        return bool(self.unconfirmed)

    @property
    def is_member(self) -> bool:
        """Whether the newest group that is known here holds this node."""
        group = self.node.group
        return self.node.id in (*group.voters, *group.learners)

    @property
    def leader(self) -> str:
        """Name of the node that may lead, or empty."""
        return name_of(self.node.leader)

    @property
    def is_leader(self) -> bool:
        """Whether this node leads."""
        return self.node.role is consensus.Role.LEADER

    def has_quorum_contact(self) -> bool:
        """Return whether this node leads, and its state is the newest.

        It has just heard a quorum, and a record of its own term is
        committed; before that, records of former leaders may be committed
        that are not applied here (Ongaro 2014, section 6.4).
        """
        node = self.node
        has_own_commit = term_at(node, node.commit) == node.term
        return has_own_commit and consensus.has_quorum_contact(
            node, self._clock()
        )

    def figures(self) -> dict[str, float]:
        """Return the metrics of this replica by name."""
        return {
            "berylspool_term": self.node.term,
            "berylspool_leader": float(self.is_leader),
            "berylspool_commit_index": self.node.commit,
            "berylspool_members": len(self.state.active.member_by_name),
            "berylspool_configuration_revision": (
                self.state.configuration.revision
            ),
        }

    def has_promise(self, id: str) -> bool:
        """Return whether a node of that id ever made a promise to this."""
        return id in self.storage.recovered.promised

    def confirm(self, founder: str, has_promised: bool) -> None:
        """Take another founder's word on this node's earlier promises."""
        if founder not in self.unconfirmed:
            return
        self.unconfirmed.discard(founder)
        if has_promised:
            self.unconfirmed.clear()
            self._become_learner()
        elif not self.unconfirmed:
            self._found()
        else:
            return
        self.node = self._recover()

    async def note_promise(self, sender: str) -> None:
        """Remember durably that a node may have made this one promises."""
        recovered = self.storage.recovered
        if sender not in recovered.promised:
            promised = (*recovered.promised, sender)
            self.storage.save_identity(recovered.identity, promised)
            await self._sync()

    def propose(self, changes: list[Change]) -> Propose:
        """Return the event that proposes changes as one record.

        The tag is the index that the record gets if it is taken.
        """
        body = self._changes.encode(changes)[HEADER_BYTES:]
        return Propose(consensus.last_index(self.node) + 1, body)

    async def step(self, event: ConsensusEvent) -> list[ReplicaOutput]:
        """Apply one event, save what must be durable, and say what follows.

        Args:
            event: What happened.

        Returns:
            What others must be told, in order; everything that it relies
            on is on disk.

        Raises:
            StorageError: The disk refused.
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
                        await self._sync()
                        is_synced = True
                    outputs += self._perform(action)
        if not is_synced:
            await self._sync()
        self._compact_if_long()
        return outputs

    async def _sync(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.storage.sync)

    def _perform(self, action: ConsensusAction) -> list[ReplicaOutput]:
        match action:
            case SendTo() | Rejected() | RoleChanged():
                return [action]
            case Apply(records=records):
                return [self._apply(record) for record in records]
            case SaveSnapshot(snapshot=snapshot, kept=kept):
                self.storage.save_snapshot(snapshot, kept)
                self._log_bytes = sum(len(r.body) for r in kept)
                if not action.is_installed:
                    return []
                self.state = decode_state(snapshot.data)
                self._applied = snapshot.index
                return [Installed()]
        return []

    def _apply(self, record: Record) -> Applied:
        self._applied = record.index
        results = []
        if record.kind is RecordKind.DATA:
            for change in self._changes.decode(record.body):
                before = self.state.configuration
                answer = apply_change(self.state, change)
                after = self.state.configuration
                results.append(Result(change, answer, before, after))
        return Applied(record.index, tuple(results))

    def _compact_if_long(self) -> None:
        is_long = len(self.node.log) >= COMPACT_RECORDS
        if not is_long and self._log_bytes < COMPACT_BYTES:
            return
        if self._applied <= self.node.snapshot.index:
            return
        event = SnapshotTaken(self._applied, encode_state(self.state))
        for action in consensus.step(self.node, event, self._clock()):
            self._perform(action)

    def _identify(self, is_init: bool) -> None:
        if not is_init or self._name not in self._founders:
            self._become_learner()
            return
        self.unconfirmed = set(self._founders) - {self._name}
        if not self.unconfirmed:
            self._found()

    def _found(self) -> None:
        voters = tuple(f"{founder}.0" for founder in self._founders)
        founding = Snapshot(0, 0, Group(voters), self._backup)
        self.storage.save_identity(f"{self._name}.0", ())
        self.storage.save_snapshot(founding, ())
        self.storage.recovered.snapshot = founding

    def _become_learner(self) -> None:
        id = f"{self._name}.{secrets.token_hex(4)}"
        self.storage.save_identity(id, ())
        self.storage.sync()

    def _recover(self) -> consensus.Node:
        recovered = self.storage.recovered
        self._log_bytes = sum(len(r.body) for r in recovered.log)
        self.state = decode_state(recovered.snapshot.data)
        self._applied = recovered.snapshot.index
        return consensus.recover(
            recovered.identity,
            self._timing,
            recovered.term,
            recovered.voted_for,
            recovered.snapshot,
            recovered.log,
            self._clock(),
            random.random(),
        )
