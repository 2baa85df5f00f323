"""Messages, events and actions of the consensus between control nodes."""

import enum
from dataclasses import dataclass

from berylspool.common.frame import Codec

__all__ = [
    "consensus_codec",
    "AppendRecords",
    "AppendReply",
    "AppendToLog",
    "Apply",
    "ConsensusAction",
    "ConsensusEvent",
    "ConsensusMessage",
    "Group",
    "InstallSnapshot",
    "PreVote",
    "PreVoteReply",
    "Propose",
    "ProposeGroup",
    "Received",
    "Record",
    "RecordKind",
    "Rejected",
    "RoleChanged",
    "SaveSnapshot",
    "SaveVote",
    "SendTo",
    "Snapshot",
    "SnapshotTaken",
    "Ticked",
    "Vote",
    "VoteReply",
]


class RecordKind(enum.IntEnum):
    """What a record of the log holds."""

    NOOP = 0
    DATA = 1
    GROUP = 2


@dataclass(frozen=True, slots=True)
class Record:
    """One record of the log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that made it.
        kind: What the body holds.
        body: Opaque bytes; for `GROUP` the encoded group.
    """

    index: int
    term: int
    kind: RecordKind
    body: bytes


@dataclass(frozen=True, slots=True)
class Group:
    """Members of the consensus.

    Attributes:
        voters: Ids of nodes whose vote counts.
        learners: Ids of nodes that only receive the log.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the log up to an index.

    Attributes:
        index: Last record that it holds.
        term: Term of that record.
        group: Members as of that record.
        data: Encoded state machine.
    """

    index: int = 0
    term: int = 0
    group: Group = Group()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PreVote:
    """Ask whether a vote would be granted; promises nothing."""

    term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answer to a `PreVote`."""

    term: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """Ask for a vote in a term."""

    term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a `Vote`."""

    term: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Records that follow a known one, or none as a heartbeat.

    Attributes:
        term: Term of the leader.
        previous_index: Index before the first record.
        previous_term: Term of the record at that index.
        records: New records.
        commit: Commit index of the leader.
        round: Number of the heartbeat round, echoed by the reply.
    """

    term: int
    previous_index: int
    previous_term: int
    records: tuple[Record, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to `AppendRecords` or `InstallSnapshot`.

    Attributes:
        term: Term of the follower.
        is_accepted: Whether the log matches now.
        match: Last index known to match, or a hint where to go back to.
        round: Echo of the round.
    """

    term: int
    is_accepted: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A whole snapshot for a follower that lags behind the log."""

    term: int
    snapshot: Snapshot
    round: int


ConsensusMessage = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | AppendRecords
    | AppendReply
    | InstallSnapshot
)


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message came from another node."""

    sender: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class Propose:
    """Append data to the log, if this node leads.

    Attributes:
        tag: Echoed by `Rejected`.
        body: Data of the record.
    """

    tag: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProposeGroup:
    """Change the group by one node, if this node leads."""

    tag: int
    group: Group


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was saved up to an index."""

    index: int
    data: bytes


ConsensusEvent = Ticked | Received | Propose | ProposeGroup | SnapshotTaken


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Make term and vote durable before any later send."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class AppendToLog:
    """Make records durable before any later send.

    Records from the first index on replace what the log held there.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Make a snapshot durable and drop the records that it holds.

    Attributes:
        snapshot: The snapshot.
        is_installed: Whether it came from the leader and replaces the
            state machine.
        kept: Records after it that stay.
    """

    snapshot: Snapshot
    is_installed: bool
    kept: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message once everything before it is durable."""

    peer: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed records to the state machine, in order."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """A proposal was not taken, because this node does not lead.

    Attributes:
        tag: Tag of the proposal.
        leader: Node that may lead, or empty.
    """

    tag: int
    leader: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This node's role changed."""

    role: str
    term: int


ConsensusAction = (
    SaveVote
    | AppendToLog
    | SaveSnapshot
    | SendTo
    | Apply
    | Rejected
    | RoleChanged
)


def consensus_codec() -> Codec:
    """Return the codec of consensus messages."""
    return Codec(
        [
            PreVote,
            PreVoteReply,
            Vote,
            VoteReply,
            AppendRecords,
            AppendReply,
            InstallSnapshot,
        ]
    )
