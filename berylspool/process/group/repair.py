"""Steps that bring a new control node into the group, one at a time.

All that a leader needs is in the group itself, so a new leader goes on where
the former one stopped: a learner that has caught up takes the place of the
voter with its name, if there is one, and then votes.  Until it has caught up
the quorum does not change, so the loss of a second VM loses nothing.
"""

from collections.abc import Mapping

from berylspool.process.group.consensus import Node, is_caught_up
from berylspool.process.group.message import Group

__all__ = ["admitted", "name_of", "next_group"]

# Twenty heartbeats of the leader: far more than a lost packet takes, and
# short against the time in which a second node may fail.
REPLACE_AFTER_S = 2.0
# Longer than any restart of a node that comes back with its disk.
FORGET_AFTER_S = 30.0


def name_of(id: str) -> str:
    """Return the name of the control node that an id belongs to.

    Examples:
        >>> name_of("control-1.0")
        'control-1'
    """
    return id.rpartition(".")[0]


def next_group(node: Node, voters: int = 0, now: float = 0.0) -> Group | None:
    """Return the group after the next step, or None if there is none.

    A learner that has caught up replaces the voter of its name.  Where the
    number of voters is stated, one that replaces no name joins while there
    are fewer, and otherwise only in the place of a voter that is silent.

    Args:
        node: The leader.
        voters: Voters wanted; 0 if operators name them one by one.
        now: Monotonic time in seconds.

    Returns:
        A group that differs by one voter.
    """
    group = node.group
    for learner in group.learners:
        if not is_caught_up(node, learner):
            continue
        name = name_of(learner)
        former = [id for id in group.voters if name_of(id) == name]
        if not former and voters and len(group.voters) >= voters:
            former = _silent_voters(node, now)
            if not former:
                continue
        if former:
            kept = tuple(id for id in group.voters if id != former[0])
            return Group(kept, group.learners)
        learners = tuple(id for id in group.learners if id != learner)
        return Group((*group.voters, learner), learners)
    return None


def _silent_voters(node: Node, now: float) -> list[str]:
    """Return the voters that do not answer, the longest silent first."""
    silent = [
        id
        for id in node.group.voters
        if id != node.id and _silence_s(node, id, now) > REPLACE_AFTER_S
    ]
    return sorted(silent, key=lambda id: -_silence_s(node, id, now))


def _silence_s(node: Node, peer: str, now: float) -> float:
    progress = node.progress_by_peer.get(peer)
    return now - progress.heard_at if progress else 0.0


def admitted(
    node: Node, announced_by_name: Mapping[str, str], now: float
) -> Group | None:
    """Return the group with a node that has announced itself, or None.

    Args:
        node: The leader.
        announced_by_name: Id that each node outside of the group has.
        now: Monotonic time in seconds.

    Returns:
        A group with one more learner, or without a former or silent one.
    """
    group = node.group
    members = (*group.voters, *group.learners)
    for name, id in announced_by_name.items():
        if id in members:
            continue
        kept = tuple(old for old in group.learners if name_of(old) != name)
        return Group(group.voters, (*kept, id))
    for learner in group.learners:
        if _silence_s(node, learner, now) > FORGET_AFTER_S:
            kept = tuple(old for old in group.learners if old != learner)
            return Group(group.voters, kept)
    return None
