"""State of one control node of the consensus, and its small changes."""

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
    "Node",
    "Progress",
    "Role",
    "Timing",
    "decode_group",
    "encode_group",
    "follow",
    "group_of",
    "has_quorum_contact",
    "is_caught_up",
    "is_quorum",
    "last_index",
    "newest_term",
    "peers",
    "recover",
    "reset_election",
    "term_at",
]


class Role(enum.StrEnum):
    """Role of a node in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of the consensus, in seconds.

    Attributes:
        heartbeat_s: Time between two heartbeats of the leader.
        election_s: Shortest time without a leader before an election.
        spread_s: Time over which elections of nodes are spread.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.6
    spread_s: float = 0.6


@dataclass(slots=True)
class Progress:
    """What the leader knows of one peer.

    Attributes:
        next: Index of the next record to send.
        match: Last index known to be durable there.
        heard_at: Moment of the last reply, monotonic seconds.
        round: Newest heartbeat round that was echoed.
    """

    next: int
    match: int = 0
    heard_at: float = 0.0
    round: int = 0


@dataclass(slots=True)
class Node:
    """State of one control node.

    Attributes:
        id: Unique for the node and its disk.
        timing: Times to keep.
        jitter: Share of the spread that this node waits, from 0 to 1; drawn
            anew by the caller for every election.
        term: Newest term that it knows; durable.
        voted_for: Its vote in that term, or empty; durable.
        snapshot: Snapshot that the log continues; durable.
        log: Records after the snapshot; durable.
        role: Its role.
        leader: Leader of the term, or empty.
        commit: Last committed index.
        group: Newest group in the log, in force at once.
        progress_by_peer: What a leader knows of its peers.
        votes: Voters that granted a vote or a pre-vote.
        heard_at: Moment a leader was last heard, monotonic seconds.
        election_at: Moment of the next election.
        heartbeat_at: Moment of the next heartbeat.
        round: Number of the newest heartbeat round.
        round_at: Start of each round whose echoes are awaited.
        quorum_at: Start of the newest round that a quorum echoed.
    """

    id: str
    timing: Timing = Timing()
    jitter: float = 0.5
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list[Record] = field(default_factory=list)
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    group: Group = Group()
    progress_by_peer: dict[str, Progress] = field(default_factory=dict)
    votes: set[str] = field(default_factory=set)
    heard_at: float = float("-inf")
    election_at: float = 0.0
    heartbeat_at: float = 0.0
    round: int = 0
    round_at: dict[int, float] = field(default_factory=dict)
    quorum_at: float = float("-inf")


def encode_group(group: Group) -> bytes:
    """Encode a group as the body of a record."""
    return msgpack.packb([list(group.voters), list(group.learners)])


def decode_group(body: bytes) -> Group:
    """Decode the body of a `GROUP` record.

    Examples:
        >>> decode_group(encode_group(Group(("a",), ("b",))))
        Group(voters=('a',), learners=('b',))
    """
    voters, learners = msgpack.unpackb(body)
    return Group(tuple(voters), tuple(learners))


def recover(
    id: str,
    timing: Timing,
    term: int,
    voted_for: str,
    snapshot: Snapshot,
    log: list[Record],
    now: float,
    jitter: float = 1.0,
) -> Node:
    """Return a node with the state that its disk holds.

    Args:
        id: Id of the node.
        timing: Times to keep.
        term: Saved term.
        voted_for: Saved vote.
        snapshot: Saved snapshot.
        log: Saved records after it.
        now: Monotonic time in seconds.
        jitter: Share of the spread before its first election, from 0 to 1.

    Returns:
        A follower.
    """
    node = Node(id, timing, term=term, voted_for=voted_for)
    node.snapshot = snapshot
    node.log = list(log)
    node.commit = snapshot.index
    node.group = group_of(snapshot, log)
    node.election_at = now + timing.election_s + timing.spread_s * jitter
    # It may have echoed a leader just before it restarted.
    node.heard_at = now
    return node


def group_of(snapshot: Snapshot, log: list[Record]) -> Group:
    """Return the newest group of a snapshot and the records after it."""
    for record in reversed(log):
        if record.kind is RecordKind.GROUP:
            return decode_group(record.body)
    return snapshot.group


def last_index(node: Node) -> int:
    """Return the index of the last record."""
    return node.snapshot.index + len(node.log)


def has_quorum_contact(node: Node, now: float) -> bool:
    """Return whether a leader has heard from a quorum just now.

    Followers that echoed a round vote for nobody else for `election_s`
    after it, so the answer rules out another leader with newer records.
    """
    if node.role is not Role.LEADER:
        return False
    return now - node.quorum_at < node.timing.election_s


def is_caught_up(node: Node, peer: str) -> bool:
    """Return whether a peer holds every record that is committed here."""
    progress = node.progress_by_peer.get(peer)
    return progress is not None and progress.match >= node.commit > 0


def newest_term(node: Node) -> int:
    """Return the term of the last record."""
    return node.log[-1].term if node.log else node.snapshot.term


def term_at(node: Node, index: int) -> int | None:
    """Return the term of the record at an index, or None if it is not here."""
    if index == node.snapshot.index:
        return node.snapshot.term
    position = index - node.snapshot.index - 1
    if 0 <= position < len(node.log):
        return node.log[position].term
    return None


def peers(node: Node) -> list[str]:
    """Return the ids of all other members."""
    members = (*node.group.voters, *node.group.learners)
    return [peer for peer in members if peer != node.id]


def is_quorum(node: Node, ids: set[str]) -> bool:
    """Return whether ids hold more than half of the voters."""
    voters = set(node.group.voters)
    return len(voters & ids) * 2 > len(voters)


def reset_election(node: Node, now: float) -> None:
    """Put the next election off."""
    timing = node.timing
    wait_s = timing.election_s + timing.spread_s * node.jitter
    node.election_at = now + wait_s


def follow(
    node: Node, term: int, leader: str, now: float
) -> list[ConsensusAction]:
    """Become a follower, in a newer term if it is one."""
    actions: list[ConsensusAction] = []
    if term > node.term:
        node.term = term
        node.voted_for = ""
        actions.append(SaveVote(term, ""))
    was = node.role
    node.role = Role.FOLLOWER
    node.leader = leader
    node.votes.clear()
    if was is not Role.FOLLOWER:
        reset_election(node, now)
        actions.append(RoleChanged(node.role, node.term))
    return actions
