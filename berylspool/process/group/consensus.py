"""Raft consensus between control nodes, without any I/O.

`step` applies an event to the state of a node and returns the actions to
perform.  The protocol is Raft with pre-vote, learners, leader stickiness,
check-quorum and group changes of one voter at a time.  Reference: Ongaro,
"Consensus: Bridging Theory and Practice", Stanford 2014, chapters 3, 4, 6
and section 9.6.  A leader commits a record of its own term before it changes
the group; this is the 2015 correction to chapter 4.

An action that saves precedes every send that relies on it, so a caller that
performs the actions in order never acknowledges data that is not durable.
"""

from berylspool.process.group.election import (
    on_pre_vote,
    on_vote,
    on_vote_reply,
    start_pre_vote,
)
from berylspool.process.group.message import (
    AppendRecords,
    AppendReply,
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
    RecordKind,
    Rejected,
    SaveSnapshot,
    SendTo,
    Snapshot,
    SnapshotTaken,
    Ticked,
    Vote,
    VoteReply,
)
from berylspool.process.group.node import (
    Node,
    Progress,
    Role,
    Timing,
    decode_group,
    encode_group,
    follow,
    group_of,
    has_quorum_contact,
    is_caught_up,
    is_quorum,
    last_index,
    peers,
    recover,
    reset_election,
    term_at,
)
from berylspool.process.group.replication import (
    advance_commit,
    append_own,
    heartbeat,
    on_append_reply,
    on_records,
    on_snapshot,
    records_for,
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


def step(
    node: Node, event: ConsensusEvent, now: float
) -> list[ConsensusAction]:
    """Apply one event to the state of a node.

    Args:
        node: State to change in place.
        event: Event to apply.
        now: Monotonic time in seconds.

    Returns:
        Actions that the caller must perform in order.
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


def _tick(node: Node, now: float) -> list[ConsensusAction]:
    if node.role is Role.LEADER:
        if not _heard_quorum(node, now) or _was_removed(node):
            return follow(node, node.term, "", now)
        if now >= node.heartbeat_at:
            return heartbeat(node, now)
        return []
    if now < node.election_at or node.id not in node.group.voters:
        return []
    return start_pre_vote(node, now)


def _heard_quorum(node: Node, now: float) -> bool:
    limit_s = node.timing.election_s + node.timing.spread_s
    heard = {
        peer
        for peer, progress in node.progress_by_peer.items()
        if now - progress.heard_at < limit_s
    }
    return is_quorum(node, heard | {node.id})


def _was_removed(node: Node) -> bool:
    """Return whether a committed group change has removed this leader."""
    if node.id in node.group.voters:
        return False
    return not _has_pending_group(node)


def _has_pending_group(node: Node) -> bool:
    return any(
        record.kind is RecordKind.GROUP and record.index > node.commit
        for record in node.log
    )


def _receive(
    node: Node, sender: str, message: ConsensusMessage, now: float
) -> list[ConsensusAction]:
    match message:
        case PreVote():
            return on_pre_vote(node, sender, message, now)
        case Vote():
            return on_vote(node, sender, message, now)
        case PreVoteReply() | VoteReply():
            return on_vote_reply(node, sender, message, now)
        case AppendRecords() | InstallSnapshot() if message.term < node.term:
            reply = AppendReply(node.term, False, 0, message.round)
            return [SendTo(sender, reply)]
        case AppendRecords():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + on_records(node, sender, message)
        case InstallSnapshot():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + on_snapshot(node, sender, message)
        case AppendReply():
            return on_append_reply(node, sender, message, now)


def _accept_leader(
    node: Node, sender: str, term: int, now: float
) -> list[ConsensusAction]:
    actions = follow(node, term, sender, now)
    node.heard_at = now
    reset_election(node, now)
    return actions


def _propose(
    node: Node, tag: int, kind: RecordKind, body: bytes, now: float
) -> list[ConsensusAction]:
    if node.role is not Role.LEADER:
        return [Rejected(tag, node.leader)]
    actions = append_own(node, kind, body)
    actions += [
        records_for(node, peer)
        for peer in peers(node)
        if node.progress_by_peer[peer].next == last_index(node)
    ]
    return actions + advance_commit(node)


def _propose_group(
    node: Node, tag: int, group: Group, now: float
) -> list[ConsensusAction]:
    changed = set(group.voters) ^ set(node.group.voters)
    has_own_commit = term_at(node, node.commit) == node.term
    if (
        node.role is not Role.LEADER
        or _has_pending_group(node)
        or not has_own_commit
        or len(changed) > 1
        or not group.voters
    ):
        return [Rejected(tag, node.leader)]
    node.group = group
    for peer in peers(node):
        if peer not in node.progress_by_peer:
            following = last_index(node) + 1
            node.progress_by_peer[peer] = Progress(following, heard_at=now)
    body = encode_group(group)
    actions = append_own(node, RecordKind.GROUP, body)
    actions += [records_for(node, peer) for peer in peers(node)]
    return actions + advance_commit(node)


def _compact(node: Node, index: int, data: bytes) -> list[ConsensusAction]:
    term = term_at(node, index)
    if index <= node.snapshot.index or index > node.commit or term is None:
        return []
    dropped = node.log[: index - node.snapshot.index]
    group = group_of(node.snapshot, dropped)
    node.log = node.log[index - node.snapshot.index :]
    node.snapshot = Snapshot(index, term, group, data)
    kept = tuple(node.log)
    return [SaveSnapshot(node.snapshot, is_installed=False, kept=kept)]
