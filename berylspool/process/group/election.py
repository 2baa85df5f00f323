"""Leader election: pre-votes, votes and the start of a leader's term.

Reference: Ongaro 2014, sections 3.4 and 9.6; leader stickiness, which
ignores candidates while a leader is active, is in section 4.2.3.
"""

from berylspool.process.group.message import (
    ConsensusAction,
    PreVote,
    PreVoteReply,
    RecordKind,
    RoleChanged,
    SaveVote,
    SendMessage,
    Vote,
    VoteReply,
)
from berylspool.process.group.node import (
    Node,
    Progress,
    Role,
    become_follower,
    is_quorum,
    last_log_index,
    last_log_term,
    other_members,
    reset_election_timer,
)
from berylspool.process.group.replication import (
    advance_commit_index,
    append_as_leader,
    start_heartbeat_round,
)

__all__ = [
    "is_log_up_to_date",
    "on_pre_vote",
    "on_vote",
    "on_vote_reply",
    "start_pre_vote",
]


def start_pre_vote(node: Node, now: float) -> list[ConsensusAction]:
    """Start a pre-vote, so that the term rises only if a vote can be won.

    A node whose pre-vote alone is a quorum starts the vote at once. Any other
    one repeats it soon: after a common restart, most voters can be reached, and
    may vote, at some moment that none of them knows in advance.
    """
    node.role = Role.PRE_CANDIDATE
    node.leader = ""
    node.votes = {node.id}
    node.election_due_at = now + node.timing.heartbeat_interval_s * (
        1.0 + node.jitter
    )
    node.has_deferred_election = False
    if is_quorum(node, node.votes):
        return _start_election(node, now)
    message = PreVote(node.term + 1, last_log_index(node), last_log_term(node))
    return [SendMessage(peer, message) for peer in _other_voters(node)]


def _other_voters(node: Node) -> list[str]:
    return [voter for voter in node.group.voters if voter != node.id]


def _start_election(node: Node, now: float) -> list[ConsensusAction]:
    node.role = Role.CANDIDATE
    node.term += 1
    node.voted_for = node.id
    node.votes = {node.id}
    reset_election_timer(node, now)
    actions: list[ConsensusAction] = [SaveVote(node.term, node.id)]
    if is_quorum(node, node.votes):
        return actions + _become_leader(node, now)
    message = Vote(node.term, last_log_index(node), last_log_term(node))
    return actions + [
        SendMessage(peer, message) for peer in _other_voters(node)
    ]


def _become_leader(node: Node, now: float) -> list[ConsensusAction]:
    node.role = Role.LEADER
    node.leader = node.id
    node.quorum_round_start = float("-inf")
    node.start_by_round.clear()
    next_index = last_log_index(node) + 1
    node.progress_by_peer = {
        peer: Progress(next_index, replied_at=now)
        for peer in other_members(node)
    }
    actions: list[ConsensusAction] = [RoleChanged(node.role, node.term)]
    actions += append_as_leader(node, RecordKind.NOOP, b"")
    return (
        actions + start_heartbeat_round(node, now) + advance_commit_index(node)
    )


def _has_active_leader(node: Node, now: float) -> bool:
    """Return whether a leader is active, so that no vote may be granted.

    A leader is active if it is this node, or if this node has heard from it
    within the election timeout.
    """
    if node.role is Role.LEADER:
        return True
    return now - node.leader_heard_at < node.timing.election_timeout_s


def is_log_up_to_date(node: Node, last_term: int, last_index: int) -> bool:
    """Return whether a candidate's log is at least as up to date as this one.

    Args:
        node: Node that compares.
        last_term: Term of the candidate's last record.
        last_index: Index of that record.
    """
    return (last_term, last_index) >= (
        last_log_term(node),
        last_log_index(node),
    )


def on_pre_vote(
    node: Node, sender: str, message: PreVote, now: float
) -> list[ConsensusAction]:
    """Answer a pre-vote request.

    A node that grants it puts off an election of its own, because two at once
    may divide the votes; it does so once, as the sender may get no replies.
    """
    is_granted = (
        message.term > node.term
        and not _has_active_leader(node, now)
        and is_log_up_to_date(node, message.last_term, message.last_index)
    )
    if is_granted and not node.has_deferred_election:
        node.has_deferred_election = True
        node.election_due_at = max(
            node.election_due_at, now + 2 * node.timing.heartbeat_interval_s
        )
    reply = PreVoteReply(message.term if is_granted else node.term, is_granted)
    return [SendMessage(sender, reply)]


def on_vote(
    node: Node, sender: str, message: Vote, now: float
) -> list[ConsensusAction]:
    """Answer a vote request; a granted vote is saved before the reply."""
    if message.term < node.term or _has_active_leader(node, now):
        return [SendMessage(sender, VoteReply(node.term, False))]
    actions: list[ConsensusAction] = []
    if message.term > node.term:
        actions += become_follower(node, message.term, "", now)
    is_granted = node.voted_for in ("", sender) and is_log_up_to_date(
        node, message.last_term, message.last_index
    )
    if is_granted:
        node.voted_for = sender
        reset_election_timer(node, now)
        actions.append(SaveVote(node.term, sender))
    return [*actions, SendMessage(sender, VoteReply(node.term, is_granted))]


def on_vote_reply(
    node: Node,
    sender: str,
    message: PreVoteReply | VoteReply,
    now: float,
) -> list[ConsensusAction]:
    """Count a granted vote or pre-vote; a quorum starts the next stage."""
    if not message.is_granted:
        if message.term > node.term:
            return become_follower(node, message.term, "", now)
        return []
    match message, node.role:
        case PreVoteReply(term=term), Role.PRE_CANDIDATE if (
            term == node.term + 1
        ):
            node.votes.add(sender)
            if is_quorum(node, node.votes):
                return _start_election(node, now)
        case VoteReply(term=term), Role.CANDIDATE if term == node.term:
            node.votes.add(sender)
            if is_quorum(node, node.votes):
                return _become_leader(node, now)
    return []
