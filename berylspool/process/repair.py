"""Steps that bring a new control node into the group, one at a time.

All that a leader needs is in the group itself, so a new leader goes on where
the former one stopped: a learner that has caught up takes the place of the
voter with its name, if there is one, and then votes.  Until it has caught up
the quorum does not change, so the loss of a second VM loses nothing.
"""

from berylspool.process.consensus import Node, is_caught_up
from berylspool.process.consensus_message import Group

__all__ = ["name_of", "next_group"]


def name_of(id: str) -> str:
    """Return the name of the control node that an id belongs to.

    Examples:
        >>> name_of("control-1.0")
        'control-1'
    """
    return id.rpartition(".")[0]


def next_group(node: Node) -> Group | None:
    """Return the group after the next step, or None if there is none.

    Args:
        node: The leader.

    Returns:
        A group that differs by one voter.
    """
    group = node.group
    for learner in group.learners:
        if not is_caught_up(node, learner):
            continue
        name = name_of(learner)
        former = [id for id in group.voters if name_of(id) == name]
        if former:
            kept = tuple(id for id in group.voters if id != former[0])
            return Group(kept, group.learners)
        learners = tuple(id for id in group.learners if id != learner)
        return Group((*group.voters, learner), learners)
    return None
