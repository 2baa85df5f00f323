"""What the control task owes to others: messages, answers, waits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from berylspool.connection.admin import Ask, Decided
from berylspool.connection.control_message import NotLeader
from berylspool.connection.peer import Session
from berylspool.process.control.membership import Membership, in_force
from berylspool.process.group.change import Change
from berylspool.version.statement import CommandAnswer

__all__ = [
    "FromLink",
    "FromSession",
    "Owed",
    "Pause",
    "Waiting",
    "answer_committed",
    "answer_pauses",
    "refuse",
    "refuse_all",
    "take_records",
]


CHANGES_PER_RECORD = 512


@dataclass(frozen=True, slots=True)
class FromSession:
    """A message on a link that somebody else opened."""

    session: Session
    message: Any


@dataclass(frozen=True, slots=True)
class FromLink:
    """A message on a link that this node opened."""

    message: Any


@dataclass(frozen=True, slots=True)
class Waiting:
    """A change, and who waits for its answer."""

    change: Change
    reply: Callable[[Any], None] = lambda answer: None


@dataclass(frozen=True, slots=True)
class Pause:
    """An operator who waits until a revision is in force everywhere."""

    ask: Ask
    answer: CommandAnswer
    until: float


@dataclass(slots=True)
class Owed:
    """Answers that this node owes.

    Attributes:
        batch: Changes of the next record.
        by_index: Changes of records that are not committed yet.
        pauses: Operators who wait.
    """

    batch: list[Waiting] = field(default_factory=list)
    by_index: dict[int, list[Waiting]] = field(default_factory=dict)
    pauses: list[Pause] = field(default_factory=list)


def refuse(batch: list[Waiting], leader: str) -> None:
    """Tell who waits that this node does not lead.

    Args:
        batch: Changes that were not taken.
        leader: Name of the node that may lead, or empty.
    """
    for waiting in batch:
        request_id = getattr(waiting.change, "request_id", "")
        waiting.reply(NotLeader(leader, request_id))


def take_records(owed: Owed) -> list[list[Waiting]]:
    """Take the waiting changes, divided into records."""
    batch, owed.batch = owed.batch, []
    return [
        batch[start : start + CHANGES_PER_RECORD]
        for start in range(0, len(batch), CHANGES_PER_RECORD)
    ]


def refuse_all(owed: Owed, leader: str) -> None:
    """Tell all who wait for a commit that this node may not lead."""
    former, owed.by_index = owed.by_index, {}
    for batch in former.values():
        refuse(batch, leader)


def answer_committed(owed: Owed, index: int, answers: list[Any]) -> None:
    """Answer those whose changes were in a committed record."""
    waiting = owed.by_index.pop(index, [])
    for item, answer in zip(waiting, answers, strict=False):
        item.reply(answer)


def answer_pauses(
    owed: Owed, members: Membership, now: float, is_leader: bool
) -> None:
    """Answer the operators whose change is in force, or who waited enough.

    Args:
        owed: What is owed; answered pauses are dropped.
        members: Entries as the leader sees them.
        now: Monotonic time in seconds.
        is_leader: Whether this node leads; all are answered if not.
    """
    left = []
    for pause in owed.pauses:
        having, total, is_everywhere = in_force(
            members, pause.answer.revision, now
        )
        if is_everywhere or now >= pause.until or not is_leader:
            pause.ask.reply.put(
                Decided(pause.answer, having, total, is_everywhere)
            )
        else:
            left.append(pause)
    owed.pauses = left
