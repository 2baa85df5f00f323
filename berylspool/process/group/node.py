"""Consensus state of one control node, and the functions that read it."""

import enum
from dataclasses import dataclass, field

import msgpack

from berylspool.process.group.message import (
    ConsensusAction,
    Group,
    Record,
    RecordKind,
    RoleChanged,
    SaveVote,
    Snapshot,
)

__all__ = [
    "ConsensusTiming",
    "Node",
    "Progress",
    "Role",
    "become_follower",
    "decode_group",
    "encode_group",
    "has_quorum_contact",
    "is_caught_up",
    "is_quorum",
    "last_log_index",
    "last_log_term",
    "latest_group",
    "other_members",
    "recover_node",
    "reset_election_timer",
    "term_at",
]


class Role(enum.StrEnum):
    """Role of a node in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusTiming:
    """Timing parameters of the consensus, in seconds.

    Attributes:
        heartbeat_interval_s: Interval between two heartbeats of the leader.
        election_timeout_s: Shortest time without a leader before an
            election.
        election_jitter_s: Longest random time added to the election timeout,
            so that nodes do not start elections at the same time.
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_s: float = 0.6
    election_jitter_s: float = 0.6


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer, as the leader knows it.

    Attributes:
        next_index: Index of the next record to send.
        match_index: Last index known to be durable on the peer.
        replied_at: Monotonic time of the last reply, in seconds.
        echoed_round: Newest heartbeat round that the peer has echoed.
    """

    next_index: int
    match_index: int = 0
    replied_at: float = 0.0
    echoed_round: int = 0


@dataclass(slots=True)
class Node:
    """Consensus state of one control node; times are monotonic seconds.

    Attributes:
        id: Unique id of the node and its disk.
        timing: Timing parameters.
        jitter: Share of the random part of the election timeout, from 0 to
            1; the caller draws it anew for every election.
        term: Newest known term; durable.
        voted_for: Id of the node voted for in that term, or empty; durable.
        snapshot: Snapshot that precedes the log; durable.
        log: Records after the snapshot; durable.
        role: Role in the current term.
        leader: Id of the leader of the term, or empty.
        commit_index: Index of the last committed record.
        group: Newest group in the log; in force even before its record is
            committed.
        progress_by_peer: Progress of each peer; used by a leader only.
        votes: Ids of the voters that granted a vote or a pre-vote.
        leader_heard_at: Time of the last message from a leader.
        election_due_at: Time at which the next election starts.
        has_deferred_election: Whether it was put off for another node's since
            the timer was last set.
        heartbeat_due_at: Time at which a leader sends the next heartbeat.
        heartbeat_round: Number of the newest heartbeat round.
        start_by_round: Start time of each heartbeat round that a quorum has
            not echoed yet.
        quorum_round_start: Start time of the newest heartbeat round that a
            quorum has echoed.
    """

    id: str
    timing: ConsensusTiming = ConsensusTiming()
    jitter: float = 0.5
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list[Record] = field(default_factory=list)
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    group: Group = Group()
    progress_by_peer: dict[str, Progress] = field(default_factory=dict)
    votes: set[str] = field(default_factory=set)
    leader_heard_at: float = float("-inf")
    election_due_at: float = 0.0
    has_deferred_election: bool = False
    heartbeat_due_at: float = 0.0
    heartbeat_round: int = 0
    start_by_round: dict[int, float] = field(default_factory=dict)
    quorum_round_start: float = float("-inf")


def encode_group(group: Group) -> bytes:
    """Return the body of a `GROUP` record."""
    return msgpack.packb([list(group.voters), list(group.learners)])


def decode_group(body: bytes) -> Group:
    """Return the group that the body of a `GROUP` record holds.

    Examples:
        >>> decode_group(encode_group(Group(("a",), ("b",))))
        Group(voters=('a',), learners=('b',))
    """
    voters, learners = msgpack.unpackb(body)
    return Group(tuple(voters), tuple(learners))


def recover_node(
    id: str,
    timing: ConsensusTiming,
    term: int,
    voted_for: str,
    snapshot: Snapshot,
    log: list[Record],
    now: float,
    jitter: float = 1.0,
) -> Node:
    """Return a node with the state recovered from its disk.

    Args:
        id: Id of the node.
        timing: Timing parameters.
        term: Saved term.
        voted_for: Saved vote, or empty.
        snapshot: Saved snapshot.
        log: Saved records after the snapshot.
        now: Monotonic time in seconds.
        jitter: Share of the random part of the first election timeout, from
            0 to 1.

    Returns:
        The node, as a follower.
    """
    node = Node(id, timing, term=term, voted_for=voted_for)
    node.snapshot = snapshot
    node.log = list(log)
    node.commit_index = snapshot.index
    node.group = latest_group(snapshot, log)
    node.election_due_at = (
        now + timing.election_timeout_s + timing.election_jitter_s * jitter
    )
    # The node may have acknowledged a leader just before it restarted, so it
    # votes for no other node during the first election timeout.
    node.leader_heard_at = now
    return node


def latest_group(snapshot: Snapshot, log: list[Record]) -> Group:
    """Return the newest group of a snapshot and the records after it."""
    for record in reversed(log):
        if record.kind is RecordKind.GROUP:
            return decode_group(record.body)
    return snapshot.group


def last_log_index(node: Node) -> int:
    """Return the index of the last record."""
    return node.snapshot.index + len(node.log)


def has_quorum_contact(node: Node, now: float) -> bool:
    """Return whether a quorum has echoed a recent heartbeat of this leader.

    Followers that echo a heartbeat round grant no vote to another node for
    the election timeout after it.  So no other leader can have committed
    newer records.
    """
    if node.role is not Role.LEADER:
        return False
    return now - node.quorum_round_start < node.timing.election_timeout_s


def is_caught_up(node: Node, peer: str) -> bool:
    """Return whether a peer holds every record committed on this leader."""
    progress = node.progress_by_peer.get(peer)
    return (
        progress is not None and progress.match_index >= node.commit_index > 0
    )


def last_log_term(node: Node) -> int:
    """Return the term of the last record."""
    return node.log[-1].term if node.log else node.snapshot.term


def term_at(node: Node, index: int) -> int | None:
    """Return the term of the record at an index, or None if not known."""
    if index == node.snapshot.index:
        return node.snapshot.term
    offset = index - node.snapshot.index - 1
    if 0 <= offset < len(node.log):
        return node.log[offset].term
    return None


def other_members(node: Node) -> list[str]:
    """Return the ids of all other voters and learners."""
    members = (*node.group.voters, *node.group.learners)
    return [peer for peer in members if peer != node.id]


def is_quorum(node: Node, ids: set[str]) -> bool:
    """Return whether ids contain more than half of the voters."""
    voters = set(node.group.voters)
    return len(voters & ids) * 2 > len(voters)


def reset_election_timer(node: Node, now: float) -> None:
    """Restart the election timeout."""
    timing = node.timing
    timeout_s = (
        timing.election_timeout_s + timing.election_jitter_s * node.jitter
    )
    node.election_due_at = now + timeout_s
    node.has_deferred_election = False


def become_follower(
    node: Node, term: int, leader: str, now: float
) -> list[ConsensusAction]:
    """Become a follower, and adopt the given term if it is newer.

    Args:
        node: State to change in place.
        term: Term of the message that caused the change.
        leader: Id of the leader, or empty if it is not known.
        now: Monotonic time in seconds.

    Returns:
        Actions to perform in order.
    """
    actions: list[ConsensusAction] = []
    if term > node.term:
        node.term = term
        node.voted_for = ""
        actions.append(SaveVote(term, ""))
    previous_role = node.role
    node.role = Role.FOLLOWER
    node.leader = leader
    node.votes.clear()
    if previous_role is not Role.FOLLOWER:
        reset_election_timer(node, now)
        actions.append(RoleChanged(node.role, node.term))
    return actions
