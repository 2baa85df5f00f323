"""Reconfiguration of the group, one node at a time.

A new node joins as a learner.  Once it has caught up, it replaces the voter
of the same name, if there is one, and becomes a voter.  Until it has caught
up the quorum does not change, so losing a second VM loses no data.  The
group itself is the only state of this procedure, so a new leader continues
where the former one stopped.
"""

from collections.abc import Mapping

from berylspool.process.group.consensus import Node, is_caught_up
from berylspool.process.group.message import Group

__all__ = ["node_name_from_id", "plan_learner_change", "plan_voter_change"]

# Twenty heartbeat intervals: far longer than the recovery from a lost
# packet, and short compared with the time until a second node may fail.
VOTER_SILENCE_TIMEOUT_S = 2.0
# Longer than any restart of a node that keeps its disk.
LEARNER_SILENCE_TIMEOUT_S = 30.0


def node_name_from_id(id: str) -> str:
    """Return the name of the control node with a given id.

    Examples:
        >>> node_name_from_id("control-1.0")
        'control-1'
    """
    return id.rpartition(".")[0]


def plan_voter_change(
    node: Node, target_voter_count: int = 0, now: float = 0.0
) -> Group | None:
    """Return the group after the next change of its voters, or None.

    A learner that has caught up replaces the voter of the same name.  A
    learner without such a voter becomes an additional voter; if a target number
    of voters is given and reached, it only replaces a silent voter.  Replacing
    a voter takes two changes: the former voter is removed first.

    Args:
        node: The leader.
        target_voter_count: Target number of voters; 0 if operators name them.
        now: Monotonic time in seconds.

    Returns:
        A group that differs by one voter, or None if no change is needed.
    """
    group = node.group
    for learner in group.learners:
        if not is_caught_up(node, learner):
            continue
        name = node_name_from_id(learner)
        replaceable_voters = [
            id for id in group.voters if node_name_from_id(id) == name
        ]
        if (
            not replaceable_voters
            and target_voter_count
            and len(group.voters) >= target_voter_count
        ):
            replaceable_voters = _silent_voters(node, now)
            if not replaceable_voters:
                continue
        if replaceable_voters:
            remaining_voters = tuple(
                id for id in group.voters if id != replaceable_voters[0]
            )
            return Group(remaining_voters, group.learners)
        learners = tuple(id for id in group.learners if id != learner)
        return Group((*group.voters, learner), learners)
    return None


def _silent_voters(node: Node, now: float) -> list[str]:
    """Return the voters that do not reply, the longest silent first."""
    silent = [
        id
        for id in node.group.voters
        if id != node.id and _silence_s(node, id, now) > VOTER_SILENCE_TIMEOUT_S
    ]
    return sorted(silent, key=lambda id: -_silence_s(node, id, now))


def _silence_s(node: Node, peer: str, now: float) -> float:
    progress = node.progress_by_peer.get(peer)
    return now - progress.replied_at if progress else 0.0


def plan_learner_change(
    node: Node, announced_by_name: Mapping[str, str], now: float
) -> Group | None:
    """Return the group after the next change of its learners, or None.

    A node that has announced itself becomes a learner and replaces the
    learner of the same name.  A learner that is silent for longer than
    `LEARNER_SILENCE_TIMEOUT_S` is removed.

    Args:
        node: The leader.
        announced_by_name: Announced node ids by node name.
        now: Monotonic time in seconds.

    Returns:
        A group with the same voters, or None if no change is needed.
    """
    group = node.group
    members = (*group.voters, *group.learners)
    for name, id in announced_by_name.items():
        if id in members:
            continue
        remaining_learners = tuple(
            other
            for other in group.learners
            if node_name_from_id(other) != name
        )
        return Group(group.voters, (*remaining_learners, id))
    for learner in group.learners:
        if _silence_s(node, learner, now) > LEARNER_SILENCE_TIMEOUT_S:
            remaining_learners = tuple(
                other for other in group.learners if other != learner
            )
            return Group(group.voters, remaining_learners)
    return None
