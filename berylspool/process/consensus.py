"""Consensus between control nodes: decisions only.

This is Raft with pre-vote, learners, leader stickiness, check-quorum and
group changes of one node at a time.  Reference: Ongaro, "Consensus: Bridging
Theory and Practice", Stanford 2014, chapters 3, 4, 6 and 9.6; the commit of
a record of the leader's own term before a group change is the correction of
2015 to chapter 4.

An action that saves comes before every send that relies on it, so whoever
performs actions in order never acknowledges what is not durable.
"""

import enum
from dataclasses import dataclass, field

import msgpack

from berylspool.process.consensus_message import (
    AppendRecords,
    AppendReply,
    AppendToLog,
    Apply,
    ConsensusAction,
    ConsensusEvent,
    ConsensusMessage,
    Group,
    InstallSnapshot,
    PreVote,
    PreVoteReply,
    Propose,
    ProposeGroup,
    Received,
    Record,
    RecordKind,
    Rejected,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendTo,
    Snapshot,
    SnapshotTaken,
    Ticked,
    Vote,
    VoteReply,
)

__all__ = [
    "Node",
    "Role",
    "Timing",
    "decode_group",
    "encode_group",
    "group_of",
    "has_quorum_contact",
    "is_caught_up",
    "last_index",
    "recover",
    "step",
]

RECORDS_PER_MESSAGE = 256


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

    Returns:
        A follower.
    """
    node = Node(id, timing, term=term, voted_for=voted_for)
    node.snapshot = snapshot
    node.log = list(log)
    node.commit = snapshot.index
    node.group = group_of(snapshot, log)
    node.election_at = now + timing.election_s + timing.spread_s
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


def step(
    node: Node, event: ConsensusEvent, now: float
) -> list[ConsensusAction]:
    """Apply one event to the node.

    Args:
        node: State to change in place.
        event: What happened.
        now: Monotonic time in seconds.

    Returns:
        Actions, to be performed in order.
    """
    match event:
        case Ticked():
            return _tick(node, now)
        case Received(sender=sender, message=message):
            return _receive(node, sender, message, now)
        case Propose(tag=tag, body=body):
            return _propose(node, tag, RecordKind.DATA, body, now)
        case ProposeGroup(tag=tag, group=group):
            return _propose_group(node, tag, group, now)
        case SnapshotTaken(index=index, data=data):
            return _compact(node, index, data)


def _last_term(node: Node) -> int:
    return node.log[-1].term if node.log else node.snapshot.term


def _term_at(node: Node, index: int) -> int | None:
    if index == node.snapshot.index:
        return node.snapshot.term
    position = index - node.snapshot.index - 1
    if 0 <= position < len(node.log):
        return node.log[position].term
    return None


def _peers(node: Node) -> list[str]:
    members = (*node.group.voters, *node.group.learners)
    return [peer for peer in members if peer != node.id]


def _is_quorum(node: Node, ids: set[str]) -> bool:
    voters = set(node.group.voters)
    return len(voters & ids) * 2 > len(voters)


def _reset_election(node: Node, now: float) -> None:
    timing = node.timing
    wait_s = timing.election_s + timing.spread_s * node.jitter
    node.election_at = now + wait_s


def _tick(node: Node, now: float) -> list[ConsensusAction]:
    if node.role is Role.LEADER:
        if not _heard_quorum(node, now) or _was_removed(node):
            return _follow(node, node.term, "", now)
        if now >= node.heartbeat_at:
            return _heartbeat(node, now)
        return []
    if now < node.election_at or node.id not in node.group.voters:
        return []
    return _start_pre_vote(node, now)


def _heard_quorum(node: Node, now: float) -> bool:
    limit_s = node.timing.election_s + node.timing.spread_s
    heard = {
        peer
        for peer, progress in node.progress_by_peer.items()
        if now - progress.heard_at < limit_s
    }
    return _is_quorum(node, heard | {node.id})


def _was_removed(node: Node) -> bool:
    """Return whether a committed group no longer holds this leader."""
    if node.id in node.group.voters:
        return False
    return not _has_pending_group(node)


def _has_pending_group(node: Node) -> bool:
    return any(
        record.kind is RecordKind.GROUP and record.index > node.commit
        for record in node.log
    )


def _start_pre_vote(node: Node, now: float) -> list[ConsensusAction]:
    node.role = Role.PRE_CANDIDATE
    node.leader = ""
    node.votes = {node.id}
    _reset_election(node, now)
    if _is_quorum(node, node.votes):
        return _start_vote(node, now)
    message = PreVote(node.term + 1, last_index(node), _last_term(node))
    return [SendTo(peer, message) for peer in _other_voters(node)]


def _other_voters(node: Node) -> list[str]:
    return [voter for voter in node.group.voters if voter != node.id]


def _start_vote(node: Node, now: float) -> list[ConsensusAction]:
    node.role = Role.CANDIDATE
    node.term += 1
    node.voted_for = node.id
    node.votes = {node.id}
    _reset_election(node, now)
    actions: list[ConsensusAction] = [SaveVote(node.term, node.id)]
    if _is_quorum(node, node.votes):
        return actions + _lead(node, now)
    message = Vote(node.term, last_index(node), _last_term(node))
    return actions + [SendTo(peer, message) for peer in _other_voters(node)]


def _lead(node: Node, now: float) -> list[ConsensusAction]:
    node.role = Role.LEADER
    node.leader = node.id
    node.quorum_at = float("-inf")
    node.round_at.clear()
    following = last_index(node) + 1
    node.progress_by_peer = {
        peer: Progress(following, heard_at=now) for peer in _peers(node)
    }
    actions: list[ConsensusAction] = [RoleChanged(node.role, node.term)]
    actions += _append_own(node, RecordKind.NOOP, b"")
    return actions + _heartbeat(node, now) + _advance_commit(node)


def _follow(
    node: Node, term: int, leader: str, now: float
) -> list[ConsensusAction]:
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
        _reset_election(node, now)
        actions.append(RoleChanged(node.role, node.term))
    return actions


def _receive(
    node: Node, sender: str, message: ConsensusMessage, now: float
) -> list[ConsensusAction]:
    match message:
        case PreVote():
            return _on_pre_vote(node, sender, message, now)
        case Vote():
            return _on_vote(node, sender, message, now)
        case PreVoteReply() | VoteReply():
            return _on_vote_reply(node, sender, message, now)
        case AppendRecords() | InstallSnapshot() if message.term < node.term:
            reply = AppendReply(node.term, False, 0, message.round)
            return [SendTo(sender, reply)]
        case AppendRecords():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + _on_records(node, sender, message)
        case InstallSnapshot():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + _on_snapshot(node, sender, message)
        case AppendReply():
            return _on_append_reply(node, sender, message, now)


def _accept_leader(
    node: Node, sender: str, term: int, now: float
) -> list[ConsensusAction]:
    actions = _follow(node, term, sender, now)
    node.heard_at = now
    _reset_election(node, now)
    return actions


def _is_sticky(node: Node, now: float) -> bool:
    """Return whether a leader was heard too recently to help another."""
    if node.role is Role.LEADER:
        return True
    return now - node.heard_at < node.timing.election_s


def _is_current(node: Node, last_term: int, index: int) -> bool:
    return (last_term, index) >= (_last_term(node), last_index(node))


def _on_pre_vote(
    node: Node, sender: str, message: PreVote, now: float
) -> list[ConsensusAction]:
    is_granted = (
        message.term > node.term
        and not _is_sticky(node, now)
        and _is_current(node, message.last_term, message.last_index)
    )
    reply = PreVoteReply(message.term if is_granted else node.term, is_granted)
    return [SendTo(sender, reply)]


def _on_vote(
    node: Node, sender: str, message: Vote, now: float
) -> list[ConsensusAction]:
    if message.term < node.term or _is_sticky(node, now):
        return [SendTo(sender, VoteReply(node.term, False))]
    actions: list[ConsensusAction] = []
    if message.term > node.term:
        actions += _follow(node, message.term, "", now)
    is_granted = node.voted_for in ("", sender) and _is_current(
        node, message.last_term, message.last_index
    )
    if is_granted:
        node.voted_for = sender
        _reset_election(node, now)
        actions.append(SaveVote(node.term, sender))
    return [*actions, SendTo(sender, VoteReply(node.term, is_granted))]


def _on_vote_reply(
    node: Node,
    sender: str,
    message: PreVoteReply | VoteReply,
    now: float,
) -> list[ConsensusAction]:
    if not message.is_granted:
        if message.term > node.term:
            return _follow(node, message.term, "", now)
        return []
    match message, node.role:
        case PreVoteReply(term=term), Role.PRE_CANDIDATE if (
            term == node.term + 1
        ):
            node.votes.add(sender)
            if _is_quorum(node, node.votes):
                return _start_vote(node, now)
        case VoteReply(term=term), Role.CANDIDATE if term == node.term:
            node.votes.add(sender)
            if _is_quorum(node, node.votes):
                return _lead(node, now)
    return []


def _on_records(
    node: Node, sender: str, message: AppendRecords
) -> list[ConsensusAction]:
    known = _term_at(node, message.previous_index)
    if message.previous_index < node.snapshot.index:
        # The committed part is in the snapshot already.
        reply = AppendReply(node.term, True, node.snapshot.index, message.round)
        return [SendTo(sender, reply)]
    if known != message.previous_term:
        hint = min(last_index(node), message.previous_index - 1)
        reply = AppendReply(
            node.term, False, max(hint, node.snapshot.index), message.round
        )
        return [SendTo(sender, reply)]
    actions = _merge(node, message.records)
    match_index = message.previous_index + len(message.records)
    reply = AppendReply(node.term, True, match_index, message.round)
    actions.append(SendTo(sender, reply))
    return actions + _commit_to(node, min(message.commit, match_index))


def _merge(node: Node, records: tuple[Record, ...]) -> list[ConsensusAction]:
    """Append records, replacing those of another term."""
    new = [
        record
        for record in records
        if _term_at(node, record.index) != record.term
    ]
    if not new:
        return []
    first = new[0].index
    assert first > node.commit, "a committed record must not change"
    new = [record for record in records if record.index >= first]
    del node.log[first - node.snapshot.index - 1 :]
    node.log.extend(new)
    node.group = group_of(node.snapshot, node.log)
    return [AppendToLog(tuple(new))]


def _on_snapshot(
    node: Node, sender: str, message: InstallSnapshot
) -> list[ConsensusAction]:
    snapshot = message.snapshot
    reply = AppendReply(node.term, True, snapshot.index, message.round)
    if snapshot.index <= node.commit:
        return [SendTo(sender, reply)]
    node.log = []
    node.snapshot = snapshot
    node.commit = snapshot.index
    node.group = snapshot.group
    save = SaveSnapshot(snapshot, is_installed=True, kept=())
    return [save, SendTo(sender, reply)]


def _on_append_reply(
    node: Node, sender: str, message: AppendReply, now: float
) -> list[ConsensusAction]:
    if message.term > node.term:
        return _follow(node, message.term, "", now)
    progress = node.progress_by_peer.get(sender)
    if node.role is not Role.LEADER or progress is None:
        return []
    if message.term < node.term:
        return []
    progress.heard_at = now
    progress.round = max(progress.round, message.round)
    _advance_quorum_round(node)
    if not message.is_accepted:
        progress.next = max(1, min(progress.next - 1, message.match + 1))
        return [_records_for(node, sender)]
    progress.match = max(progress.match, message.match)
    progress.next = max(progress.next, progress.match + 1)
    actions = _advance_commit(node)
    if progress.next <= last_index(node):
        actions.append(_records_for(node, sender))
    return actions


def _advance_quorum_round(node: Node) -> None:
    rounds = sorted(
        node.round if voter == node.id else node.progress_by_peer[voter].round
        for voter in node.group.voters
        if voter == node.id or voter in node.progress_by_peer
    )
    newest = rounds[-(len(node.group.voters) // 2 + 1)]
    if newest in node.round_at:
        node.quorum_at = max(node.quorum_at, node.round_at[newest])
        for number in [n for n in node.round_at if n < newest]:
            del node.round_at[number]


def _heartbeat(node: Node, now: float) -> list[ConsensusAction]:
    node.heartbeat_at = now + node.timing.heartbeat_s
    node.round += 1
    node.round_at[node.round] = now
    if node.group.voters == (node.id,):
        node.quorum_at = now
    return [_records_for(node, peer) for peer in _peers(node)]


def _records_for(node: Node, peer: str) -> SendTo:
    progress = node.progress_by_peer[peer]
    previous = progress.next - 1
    previous_term = _term_at(node, previous)
    if previous_term is None:
        install = InstallSnapshot(node.term, node.snapshot, node.round)
        progress.next = node.snapshot.index + 1
        return SendTo(peer, install)
    start = previous - node.snapshot.index
    records = tuple(node.log[start : start + RECORDS_PER_MESSAGE])
    # Later records may go out before these are acknowledged.
    progress.next = previous + len(records) + 1
    return SendTo(
        peer,
        AppendRecords(
            node.term,
            previous,
            previous_term,
            records,
            node.commit,
            node.round,
        ),
    )


def _append_own(
    node: Node, kind: RecordKind, body: bytes
) -> list[ConsensusAction]:
    record = Record(last_index(node) + 1, node.term, kind, body)
    node.log.append(record)
    return [AppendToLog((record,))]


def _propose(
    node: Node, tag: int, kind: RecordKind, body: bytes, now: float
) -> list[ConsensusAction]:
    if node.role is not Role.LEADER:
        return [Rejected(tag, node.leader)]
    actions = _append_own(node, kind, body)
    actions += [
        _records_for(node, peer)
        for peer in _peers(node)
        if node.progress_by_peer[peer].next == last_index(node)
    ]
    return actions + _advance_commit(node)


def _propose_group(
    node: Node, tag: int, group: Group, now: float
) -> list[ConsensusAction]:
    changed = set(group.voters) ^ set(node.group.voters)
    has_own_commit = _term_at(node, node.commit) == node.term
    if (
        node.role is not Role.LEADER
        or _has_pending_group(node)
        or not has_own_commit
        or len(changed) > 1
        or not group.voters
    ):
        return [Rejected(tag, node.leader)]
    node.group = group
    for peer in _peers(node):
        if peer not in node.progress_by_peer:
            following = last_index(node) + 1
            node.progress_by_peer[peer] = Progress(following, heard_at=now)
    body = encode_group(group)
    actions = _append_own(node, RecordKind.GROUP, body)
    actions += [_records_for(node, peer) for peer in _peers(node)]
    return actions + _advance_commit(node)


def _advance_commit(node: Node) -> list[ConsensusAction]:
    """Commit what a quorum holds, if it is of the leader's own term."""
    matches = sorted(
        last_index(node)
        if voter == node.id
        else node.progress_by_peer[voter].match
        for voter in node.group.voters
    )
    if not matches:
        return []
    index = matches[-(len(matches) // 2 + 1)]
    if _term_at(node, index) != node.term:
        return []
    return _commit_to(node, index)


def _commit_to(node: Node, index: int) -> list[ConsensusAction]:
    if index <= node.commit:
        return []
    start = node.commit - node.snapshot.index
    end = index - node.snapshot.index
    node.commit = index
    return [Apply(tuple(node.log[start:end]))]


def _compact(node: Node, index: int, data: bytes) -> list[ConsensusAction]:
    term = _term_at(node, index)
    if index <= node.snapshot.index or index > node.commit or term is None:
        return []
    dropped = node.log[: index - node.snapshot.index]
    group = group_of(node.snapshot, dropped)
    node.log = node.log[index - node.snapshot.index :]
    node.snapshot = Snapshot(index, term, group, data)
    kept = tuple(node.log)
    return [SaveSnapshot(node.snapshot, is_installed=False, kept=kept)]
