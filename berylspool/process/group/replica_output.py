"""Outputs of a replica for the control task."""

from dataclasses import dataclass

from berylspool.process.group.message import (
    ConsensusEvent,
    ProposalRejected,
    ProposeData,
    ProposeGroup,
    RoleChanged,
    SendMessage,
)
from berylspool.process.group.state_machine import Change
from berylspool.request.ledger import LedgerReply
from berylspool.version.configuration import Configuration
from berylspool.version.operator_command import CommandAnswer

__all__ = [
    "ChangeResult",
    "DiskRoomChanged",
    "RecordApplied",
    "ReplicaOutput",
    "SnapshotInstalled",
    "rejections",
]


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of applying one change.

    Attributes:
        change: The change.
        answer: Answer for the proposer, or None.
        before: Configuration before the change.
        after: Configuration after the change.
    """

    change: Change
    answer: CommandAnswer | LedgerReply | None
    before: Configuration
    after: Configuration


@dataclass(frozen=True, slots=True)
class RecordApplied:
    """A committed record was applied.

    Attributes:
        index: Index of the record.
        results: Results of the changes in the record, in order.
    """

    index: int
    results: tuple[ChangeResult, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A snapshot of the leader has replaced the state."""


@dataclass(frozen=True, slots=True)
class DiskRoomChanged:
    """The disk has run out of room, or has room again.

    Attributes:
        has_room: Whether it has room.
        error: The refused write; empty if there is room.
    """

    has_room: bool
    error: str = ""


ReplicaOutput = (
    SendMessage
    | ProposalRejected
    | RoleChanged
    | RecordApplied
    | SnapshotInstalled
    | DiskRoomChanged
)


def rejections(event: ConsensusEvent) -> list[ReplicaOutput]:
    """Return the rejection of a proposal that a node cannot carry out.

    Other events need no answer.
    """
    match event:
        case ProposeData(tag=tag) | ProposeGroup(tag=tag):
            return [ProposalRejected(tag, "")]
    return []
