"""Messages to the control client task, and its pending requests."""

from dataclasses import dataclass
from typing import Any

from berylspool.request.ledger import LedgerRequest

__all__ = [
    "ControlLinkOpened",
    "ControlMessage",
    "Leave",
    "PendingLedgerRequest",
    "TableDrained",
]


@dataclass(frozen=True, slots=True)
class TableDrained:
    """The pools of the services that a member table moves have drained here.

    Attributes:
        epoch: Epoch of the member table.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The entry shuts down and hands over its services to other entries."""


@dataclass(frozen=True, slots=True)
class ControlMessage:
    """A message from the control node named `node`."""

    node: str
    message: Any


@dataclass(frozen=True, slots=True)
class ControlLinkOpened:
    """The link to the control node named `node` has opened."""

    node: str


@dataclass(slots=True)
class PendingLedgerRequest:
    """A ledger request that has no reply yet.

    Attributes:
        submission: The request and the inbox that receives the reply.
        sent_at: Time of the newest transmission, in monotonic seconds.
        expires_at: Time after which it is no longer sent, in monotonic seconds.
    """

    submission: LedgerRequest
    sent_at: float
    expires_at: float
