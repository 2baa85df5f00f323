"""Events and actions of the routing of an entry."""

import enum
from dataclasses import dataclass

from berylspool.connection.message import AskPart, DropPart, MemberTable
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunPart,
    RunParts,
)
from berylspool.request.query import PartResult
from berylspool.version.configuration import Configuration
from berylspool.version.pool.message import Blame, PoolEvent, PoolKey

__all__ = [
    "BlameRaised",
    "BlameReceived",
    "ConfigurationChanged",
    "EntryClosing",
    "HeldPartsRetryDue",
    "LeaseGranted",
    "LinkDown",
    "LinkUp",
    "LoanReceived",
    "PoolDrained",
    "ReportTableDrained",
    "ResultReceived",
    "ResultsReceived",
    "RoutingAction",
    "RoutingEvent",
    "SendAllToOrigin",
    "SendToAllPeers",
    "SendToOrigin",
    "SendToPeer",
    "SendToPool",
    "SessionClosed",
    "Sharing",
    "ShuttingDown",
    "StartPool",
    "StopPool",
    "TableChanged",
    "UpstreamsListed",
]


class Sharing(enum.StrEnum):
    """How upstreams and their limits are divided among entries.

    Attributes:
        OWNED: Each service, with all limits of its upstreams, is owned by one
            entry.
        ALONE: Each entry serves all services itself.
    """

    OWNED = "owned"
    ALONE = "alone"


@dataclass(slots=True)
class ResultReceived:
    """A pool or a peer has returned the result of a part."""

    result: PartResult


@dataclass(slots=True)
class ResultsReceived:
    """Pools have returned the results of parts in one turn."""

    results: list[PartResult]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """The link to a peer has opened.

    Attributes:
        member: Name of the peer.
    """

    member: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer is lost.

    Attributes:
        member: Name of the peer.
    """

    member: str


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """The session of a peer that requested parts has ended.

    Attributes:
        session_id: Number of the session, as text.
    """

    session_id: str


@dataclass(frozen=True, slots=True)
class TableChanged:
    """Control has proposed or activated a member table."""

    table: MemberTable


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease was granted or extended.

    Attributes:
        until: Expiry of the lease, in monotonic seconds.
    """

    until: float


@dataclass(frozen=True, slots=True)
class LoanReceived:
    """Control has answered a pool's request for extra copies.

    Attributes:
        key: Service and version of the pool.
        copies: Copies lent, possibly none.
    """

    key: PoolKey
    copies: int


@dataclass(frozen=True, slots=True)
class PoolDrained:
    """A closing pool has no parts left."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class BlameRaised:
    """A pool of this entry blames a request for the loss of an upstream."""

    blame: Blame


@dataclass(frozen=True, slots=True)
class BlameReceived:
    """A peer blames a request, or an entry has convicted it."""

    blame: Blame


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The process shuts down and accepts no new parts from peers."""


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """A newer listing of upstreams is in force.

    Attributes:
        ids: Ids of all listed upstreams.
    """

    ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class EntryClosing:
    """The process is about to exit: parts that were never sent are refused."""


@dataclass(frozen=True, slots=True)
class HeldPartsRetryDue:
    """No message arrived within the retry interval of held parts."""


RoutingEvent = (
    RunPart
    | RunParts
    | DiscardPart
    | ResultReceived
    | ResultsReceived
    | LinkUp
    | LinkDown
    | SessionClosed
    | TableChanged
    | ConfigurationChanged
    | LeaseGranted
    | LoanReceived
    | PoolDrained
    | BlameRaised
    | BlameReceived
    | ShuttingDown
    | EntryClosing
    | HeldPartsRetryDue
)


@dataclass(slots=True)
class SendToPool:
    """Deliver an event to a pool of this entry.

    Attributes:
        key: Service and version of the pool.
        event: The event.
    """

    key: PoolKey
    event: PoolEvent


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to a peer.

    Attributes:
        member: Name of the peer.
        message: The message.
    """

    member: str
    message: AskPart | DropPart | Blame


@dataclass(frozen=True, slots=True)
class SendToAllPeers:
    """Send a message to all peers."""

    message: Blame


@dataclass(slots=True)
class SendToOrigin:
    """Deliver a result to the request or peer that requested the part."""

    origin: Origin
    result: PartResult


@dataclass(slots=True)
class SendAllToOrigin:
    """Deliver results that came together to the request that wants them."""

    origin: Origin
    results: list[PartResult]


@dataclass(frozen=True, slots=True)
class StartPool:
    """Start a pool."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class StopPool:
    """Stop a pool that has drained."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class ReportTableDrained:
    """Report to control that no part of a moved service is left here.

    Attributes:
        epoch: Epoch of the proposed member table by which the services move.
    """

    epoch: int


RoutingAction = (
    SendToPool
    | SendToPeer
    | SendToAllPeers
    | SendToOrigin
    | SendAllToOrigin
    | StartPool
    | StopPool
    | ReportTableDrained
)
