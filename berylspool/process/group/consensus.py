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
    MessageReceived,
    PreVote,
    PreVoteReply,
    ProposalRejected,
    ProposeData,
    ProposeGroup,
    RecordKind,
    SaveSnapshot,
    SendMessage,
    Snapshot,
    SnapshotTaken,
    Tick,
    Vote,
    VoteReply,
)
from berylspool.process.group.node import (
    ConsensusTiming,
    Node,
    Progress,
    Role,
    become_follower,
    decode_group,
    encode_group,
    has_quorum_contact,
    is_caught_up,
    is_quorum,
    last_log_index,
    latest_group,
    other_members,
    recover_node,
    reset_election_timer,
    term_at,
)
from berylspool.process.group.replication import (
    advance_commit_index,
    append_as_leader,
    on_append_records,
    on_append_reply,
    on_install_snapshot,
    replicate_to,
    start_heartbeat_round,
)

__all__ = [
    "ConsensusTiming",
    "Node",
    "Role",
    "decode_group",
    "encode_group",
    "has_quorum_contact",
    "is_caught_up",
    "last_log_index",
    "latest_group",
    "recover_node",
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
        case Tick():
            return _handle_tick(node, now)
        case MessageReceived(sender=sender, message=message):
            return _handle_message(node, sender, message, now)
        case ProposeData(tag=tag, body=body):
            return _append_proposal(node, tag, RecordKind.DATA, body, now)
        case ProposeGroup(tag=tag, group=group):
            return _append_group_change(node, tag, group, now)
        case SnapshotTaken(index=index, data=data):
            return _compact_log(node, index, data)


def _handle_tick(node: Node, now: float) -> list[ConsensusAction]:
    if node.role is Role.LEADER:
        if not _has_active_quorum(node, now) or _was_removed(node):
            return become_follower(node, node.term, "", now)
        if now >= node.heartbeat_due_at:
            return start_heartbeat_round(node, now)
        return []
    if now < node.election_due_at or node.id not in node.group.voters:
        return []
    return start_pre_vote(node, now)


def _has_active_quorum(node: Node, now: float) -> bool:
    timeout_s = node.timing.election_timeout_s + node.timing.election_jitter_s
    active_peers = {
        peer
        for peer, progress in node.progress_by_peer.items()
        if now - progress.replied_at < timeout_s
    }
    return is_quorum(node, active_peers | {node.id})


def _was_removed(node: Node) -> bool:
    """Return whether a committed group change has removed this leader."""
    if node.id in node.group.voters:
        return False
    return not _has_pending_group_change(node)


def _has_pending_group_change(node: Node) -> bool:
    return any(
        record.kind is RecordKind.GROUP and record.index > node.commit_index
        for record in node.log
    )


def _handle_message(
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
            return [SendMessage(sender, reply)]
        case AppendRecords():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + on_append_records(node, sender, message)
        case InstallSnapshot():
            actions = _accept_leader(node, sender, message.term, now)
            return actions + on_install_snapshot(node, sender, message)
        case AppendReply():
            return on_append_reply(node, sender, message, now)


def _accept_leader(
    node: Node, sender: str, term: int, now: float
) -> list[ConsensusAction]:
    actions = become_follower(node, term, sender, now)
    node.leader_heard_at = now
    reset_election_timer(node, now)
    return actions


def _append_proposal(
    node: Node, tag: int, kind: RecordKind, body: bytes, now: float
) -> list[ConsensusAction]:
    if node.role is not Role.LEADER:
        return [ProposalRejected(tag, node.leader)]
    actions = append_as_leader(node, kind, body)
    actions += [
        replicate_to(node, peer)
        for peer in other_members(node)
        if node.progress_by_peer[peer].next_index == last_log_index(node)
    ]
    return actions + advance_commit_index(node)


def _append_group_change(
    node: Node, tag: int, group: Group, now: float
) -> list[ConsensusAction]:
    changed_voters = set(group.voters) ^ set(node.group.voters)
    has_commit_in_term = term_at(node, node.commit_index) == node.term
    if (
        node.role is not Role.LEADER
        or _has_pending_group_change(node)
        or not has_commit_in_term
        or len(changed_voters) > 1
        or not group.voters
    ):
        return [ProposalRejected(tag, node.leader)]
    node.group = group
    for peer in other_members(node):
        if peer not in node.progress_by_peer:
            next_index = last_log_index(node) + 1
            node.progress_by_peer[peer] = Progress(next_index, replied_at=now)
    body = encode_group(group)
    actions = append_as_leader(node, RecordKind.GROUP, body)
    actions += [replicate_to(node, peer) for peer in other_members(node)]
    return actions + advance_commit_index(node)


def _compact_log(node: Node, index: int, data: bytes) -> list[ConsensusAction]:
    term = term_at(node, index)
    if (
        index <= node.snapshot.index
        or index > node.commit_index
        or term is None
    ):
        return []
    covered_records = node.log[: index - node.snapshot.index]
    group = latest_group(node.snapshot, covered_records)
    node.log = node.log[index - node.snapshot.index :]
    node.snapshot = Snapshot(index, term, group, data)
    later_records = tuple(node.log)
    return [
        SaveSnapshot(
            node.snapshot, is_installed=False, later_records=later_records
        )
    ]
