"""Changes that the leader makes on its own: members, moves and duties."""

from typing import Protocol

from berylspool.process.control import membership, move_control
from berylspool.process.control.duty.usage_duty import UsageDuty
from berylspool.process.control.operator_commands import (
    initial_change,
    move_change,
)
from berylspool.process.control.pending_replies import PendingReplies
from berylspool.process.group.replica import Replica
from berylspool.process.group.state_machine import Change, Seat
from berylspool.process.settings import Settings

__all__ = ["Leader", "due_changes"]


class Leader(Protocol):
    """The parts of a leading control task that its duties depend on."""

    settings: Settings
    replica: Replica
    membership: membership.Membership
    move_control: move_control.MoveControl
    duty: UsageDuty


def due_changes(
    leader: Leader, pending: PendingReplies, now: float, wall_now: float
) -> list[Change]:
    """Return the changes that are due now.

    Moves wait for all earlier changes, because a step of a move that is not
    committed yet would be decided again.

    Args:
        leader: A leader with a quorum.
        pending: Changes that are not committed yet.
        now: Monotonic time in seconds.
        wall_now: Seconds since the epoch.
    """
    has_pending = bool(pending.proposed_by_index or pending.batch)
    configuration = leader.replica.state.configuration
    if configuration.revision == 0:
        if has_pending:
            return []
        return [initial_change(leader.settings, wall_now)]
    changes: list[Change] = [
        Seat(action.table)
        for action in membership.step(leader.membership, membership.Tick(), now)
    ]
    changes += leader.duty.due_changes(pending)
    if has_pending or changes:
        return changes
    steps = move_control.step(leader.move_control, configuration, wall_now)
    return [move_change(before, after, wall_now) for before, after in steps]
