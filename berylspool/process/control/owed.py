"""Replies that the control task still has to send."""

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
    """A message on a session that an entry or another node opened."""

    session: Session
    message: Any


@dataclass(frozen=True, slots=True)
class FromLink:
    """A message on a link that this node opened to another."""

    message: Any


@dataclass(frozen=True, slots=True)
class Waiting:
    """A change to propose, and the callback that takes its answer."""

    change: Change
    reply: Callable[[Any], None] = lambda answer: None


@dataclass(frozen=True, slots=True)
class Pause:
    """An operator's request that waits until a revision is in force.

    Attributes:
        ask: The request.
        answer: Its answer, which names the revision.
        until: Time at which it is answered in any case, in monotonic seconds.
    """

    ask: Ask
    answer: CommandAnswer
    until: float


@dataclass(slots=True)
class Owed:
    """Changes and requests that have not been answered yet.

    Attributes:
        batch: Changes for the next record.
        by_index: Changes of records that are not committed yet, by the
            record's index in the log.
        pauses: Operators' requests that wait for a revision.
    """

    batch: list[Waiting] = field(default_factory=list)
    by_index: dict[int, list[Waiting]] = field(default_factory=dict)
    pauses: list[Pause] = field(default_factory=list)


def refuse(batch: list[Waiting], leader: str) -> None:
    """Answer each change with `NotLeader`.

    Args:
        batch: Changes that were not committed.
        leader: Name of the node that may lead, or empty.
    """
    for waiting in batch:
        request_id = getattr(waiting.change, "request_id", "")
        waiting.reply(NotLeader(leader, request_id))


def take_records(owed: Owed) -> list[list[Waiting]]:
    """Take the batched changes, divided into records of bounded size."""
    batch, owed.batch = owed.batch, []
    return [
        batch[start : start + CHANGES_PER_RECORD]
        for start in range(0, len(batch), CHANGES_PER_RECORD)
    ]


def refuse_all(owed: Owed, leader: str) -> None:
    """Answer all uncommitted changes with `NotLeader` after a role change."""
    former, owed.by_index = owed.by_index, {}
    for batch in former.values():
        refuse(batch, leader)


def answer_committed(owed: Owed, index: int, answers: list[Any]) -> None:
    """Reply to the changes of a record that was committed.

    Args:
        owed: Changes that wait for an answer.
        index: Index of the record.
        answers: Answers to its changes, in their order.
    """
    waiting = owed.by_index.pop(index, [])
    for item, answer in zip(waiting, answers, strict=False):
        item.reply(answer)


def answer_pauses(
    owed: Owed, members: Membership, now: float, is_leader: bool
) -> None:
    """Answer requests whose revision is in force or whose time is up.

    Args:
        owed: State to change in place; answered requests are dropped.
        members: State of the leader's membership.
        now: Monotonic time in seconds.
        is_leader: Whether this node leads; if not, all are answered.
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
