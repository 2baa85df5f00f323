"""Messages, events and actions of the Raft consensus of control nodes.

Messages travel between nodes.  Events are the input of
`consensus.step`, actions are its output.
"""

import enum
from dataclasses import dataclass

from berylspool.common.frame import Codec

__all__ = [
    "AppendRecords",
    "AppendReply",
    "AppendToLog",
    "ApplyRecords",
    "ConsensusAction",
    "ConsensusEvent",
    "ConsensusMessage",
    "Group",
    "InstallSnapshot",
    "MessageReceived",
    "PreVote",
    "PreVoteReply",
    "ProposalRejected",
    "ProposeData",
    "ProposeGroup",
    "Record",
    "RecordKind",
    "RoleChanged",
    "SaveSnapshot",
    "SaveVote",
    "SendMessage",
    "Snapshot",
    "SnapshotTaken",
    "Tick",
    "Vote",
    "VoteReply",
    "consensus_codec",
]


class RecordKind(enum.IntEnum):
    """Type of the body of a log record."""

    NOOP = 0
    DATA = 1
    GROUP = 2


@dataclass(frozen=True, slots=True)
class Record:
    """One record of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that created it.
        kind: Type of the body.
        body: Opaque bytes; for `GROUP` the encoded group.
    """

    index: int
    term: int
    kind: RecordKind
    body: bytes


@dataclass(frozen=True, slots=True)
class Group:
    """Members of the consensus group.

    Attributes:
        voters: Ids of the nodes that vote and count towards a quorum.
        learners: Ids of the nodes that receive the log but do not vote.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Snapshot that replaces the log up to an index.

    Attributes:
        index: Index of the last record that the snapshot covers.
        term: Term of that record.
        group: Group as of that record.
        data: Encoded state machine.
    """

    index: int = 0
    term: int = 0
    group: Group = Group()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PreVote:
    """Query whether a vote would be granted; no vote is cast.

    Attributes:
        term: Term of the election that the sender would start.
        last_index: Index of the sender's last record.
        last_term: Term of that record.
    """

    term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Reply to a `PreVote`.

    Attributes:
        term: Term of the request if granted, else the replier's term.
        is_granted: Whether the replier would vote for the sender.
    """

    term: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """Request for a vote in a term.

    Attributes:
        term: Term of the candidate.
        last_index: Index of the candidate's last record.
        last_term: Term of that record.
    """

    term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a `Vote`.

    Attributes:
        term: Term of the replier.
        is_granted: Whether the vote was granted.
    """

    term: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Records to append after a given one; a heartbeat if there are none.

    Attributes:
        term: Term of the leader.
        previous_index: Index before the first record.
        previous_term: Term of the record at that index.
        records: Records that follow that index, in order.
        commit: Commit index of the leader.
        round: Number of the leader's heartbeat round; the reply echoes it.
    """

    term: int
    previous_index: int
    previous_term: int
    records: tuple[Record, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to `AppendRecords` or `InstallSnapshot`.

    Attributes:
        term: Term of the follower.
        is_accepted: Whether the follower's log now matches the leader's.
        match: Last index known to match; if not accepted, the index after
            which the leader should retry.
        round: Heartbeat round of the request.
    """

    term: int
    is_accepted: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Snapshot for a follower that needs records already compacted.

    Attributes:
        term: Term of the leader.
        snapshot: The leader's snapshot.
        round: Number of the leader's heartbeat round; the reply echoes it.
    """

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
class Tick:
    """Periodic timer tick; deadlines are checked."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from another node.

    Attributes:
        sender: Id of the sending node.
        message: The message.
    """

    sender: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class ProposeData:
    """Proposal to append data to the log; only a leader accepts it.

    Attributes:
        tag: Identifies the proposal if it is rejected.
        body: Body of the `DATA` record.
    """

    tag: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProposeGroup:
    """Proposal to change the group; only a leader accepts it.

    Attributes:
        tag: Identifies the proposal if it is rejected.
        group: New group; differs from the current one by at most one voter.
    """

    tag: int
    group: Group


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was encoded, so the log can be compacted.

    Attributes:
        index: Index of the last record that the data covers.
        data: Encoded state machine.
    """

    index: int
    data: bytes


ConsensusEvent = (
    Tick | MessageReceived | ProposeData | ProposeGroup | SnapshotTaken
)


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Make term and vote durable before any later message is sent.

    Attributes:
        term: Current term.
        voted_for: Id of the node voted for in that term, or empty.
    """

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class AppendToLog:
    """Make records durable before any later message is sent.

    Attributes:
        records: Records to append; they replace all records of the log
            from the index of the first one on.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Make a snapshot durable and drop the records that it covers.

    Attributes:
        snapshot: The snapshot.
        is_installed: Whether it came from the leader and replaces the
            state machine.
        later_records: Records after the snapshot, which stay in the log.
    """

    snapshot: Snapshot
    is_installed: bool
    later_records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message once all earlier saves are durable.

    Attributes:
        peer: Id of the receiving node.
        message: The message.
    """

    peer: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class ApplyRecords:
    """Apply committed records to the state machine.

    Attributes:
        records: Records in log order.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """A proposal was rejected.

    This node is not the leader, or the proposed group change is not allowed
    now.

    Attributes:
        tag: Tag of the proposal.
        leader: Id of the leader as far as known, or empty.
    """

    tag: int
    leader: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role of this node changed.

    Attributes:
        role: New role.
        term: Term in which it holds the role.
    """

    role: str
    term: int


ConsensusAction = (
    SaveVote
    | AppendToLog
    | SaveSnapshot
    | SendMessage
    | ApplyRecords
    | ProposalRejected
    | RoleChanged
)


def consensus_codec() -> Codec:
    """Return the codec of the messages between control nodes."""
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
