"""Replies that the control task still has to send."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from berylspool.connection.admin import CommandRequest, CommandResult
from berylspool.connection.control_message import NotLeader
from berylspool.connection.peer import Session
from berylspool.process.control.membership import Membership, rollout_status
from berylspool.process.group.state_machine import Change
from berylspool.version.operator_command import CommandAnswer

__all__ = [
    "LinkMessage",
    "PendingChange",
    "PendingReplies",
    "RolloutWait",
    "SessionMessage",
    "add_rollout_wait",
    "answer_committed_changes",
    "answer_rollout_waits",
    "refuse_changes",
    "refuse_uncommitted",
    "take_record_batches",
]


MAX_CHANGES_PER_RECORD = 512
ROLLOUT_WAIT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class SessionMessage:
    """A message on a session that an entry or another node opened."""

    session: Session
    message: Any


@dataclass(frozen=True, slots=True)
class LinkMessage:
    """A message on a link that this node opened to another."""

    message: Any


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change to propose, and the callback that receives its answer."""

    change: Change
    reply: Callable[[Any], None] = lambda answer: None


@dataclass(frozen=True, slots=True)
class RolloutWait:
    """An operator's request that waits until a revision is in force.

    Attributes:
        request: The request of the operator.
        answer: Its answer, which names the revision.
        deadline_at: Time at which it is answered even if the revision is not in
            force everywhere, in monotonic seconds.
    """

    request: CommandRequest
    answer: CommandAnswer
    deadline_at: float


@dataclass(slots=True)
class PendingReplies:
    """Changes and requests that have not been answered yet.

    Attributes:
        batch: Changes for the next record.
        proposed_by_index: Changes of records that are not committed yet, by
            the record's index in the log.
        rollout_waits: Operators' requests that wait for a revision.
    """

    batch: list[PendingChange] = field(default_factory=list)
    proposed_by_index: dict[int, list[PendingChange]] = field(
        default_factory=dict
    )
    rollout_waits: list[RolloutWait] = field(default_factory=list)


def refuse_changes(changes: list[PendingChange], leader: str) -> None:
    """Answer each change with `NotLeader`.

    Args:
        changes: Changes that were not committed.
        leader: Name of the node that may lead; empty if unknown.
    """
    for pending_change in changes:
        request_id = getattr(pending_change.change, "request_id", "")
        pending_change.reply(NotLeader(leader, request_id))


def take_record_batches(pending: PendingReplies) -> list[list[PendingChange]]:
    """Take the batched changes, divided into records of bounded size."""
    changes, pending.batch = pending.batch, []
    return [
        changes[start : start + MAX_CHANGES_PER_RECORD]
        for start in range(0, len(changes), MAX_CHANGES_PER_RECORD)
    ]


def refuse_uncommitted(pending: PendingReplies, leader: str) -> None:
    """Answer all uncommitted changes with `NotLeader` after a role change."""
    uncommitted, pending.proposed_by_index = (
        pending.proposed_by_index,
        {},
    )
    for changes in uncommitted.values():
        refuse_changes(changes, leader)


def answer_committed_changes(
    pending: PendingReplies, index: int, answers: list[Any]
) -> None:
    """Reply to the changes of a record that was committed.

    Args:
        pending: State to change in place; the record is removed.
        index: Index of the record.
        answers: Answers to its changes, in their order.
    """
    changes = pending.proposed_by_index.pop(index, [])
    for pending_change, answer in zip(changes, answers, strict=False):
        pending_change.reply(answer)


def add_rollout_wait(
    pending: PendingReplies,
    request: CommandRequest,
    answer: CommandAnswer,
    now: float,
) -> None:
    """Add an operator's request that waits until its revision is in force.

    Args:
        pending: State to change in place.
        request: The request of the operator.
        answer: Its answer, which names the revision.
        now: Monotonic time in seconds.
    """
    deadline_at = now + ROLLOUT_WAIT_TIMEOUT_S
    pending.rollout_waits.append(RolloutWait(request, answer, deadline_at))


def answer_rollout_waits(
    pending: PendingReplies, membership: Membership, now: float, is_leader: bool
) -> None:
    """Answer requests whose revision is in force or whose time is up.

    Args:
        pending: State to change in place; answered requests are dropped.
        membership: State of the leader's membership.
        now: Monotonic time in seconds.
        is_leader: Whether this node leads; if not, all are answered.
    """
    remaining = []
    for wait in pending.rollout_waits:
        in_force_count, total, is_everywhere = rollout_status(
            membership, wait.answer.revision, now
        )
        if is_everywhere or now >= wait.deadline_at or not is_leader:
            wait.request.reply.put(
                CommandResult(wait.answer, in_force_count, total, is_everywhere)
            )
        else:
            remaining.append(wait)
    pending.rollout_waits = remaining
