"""Events and actions of an entry's routing."""

import enum
from dataclasses import dataclass

from berylspool.connection.message import AskPart, DropPart, MemberTable
from berylspool.request.part_message import Origin, PartDropped, PartWanted
from berylspool.request.query import PartResult
from berylspool.version.configuration import Configuration
from berylspool.version.pool.message import Blame, PoolEvent

__all__ = [
    "BlameHeard",
    "BlameRaised",
    "ConfigurationChanged",
    "LeaseSet",
    "LinkDown",
    "LinkUp",
    "PoolDrained",
    "PoolKey",
    "ResultCame",
    "RoutingAction",
    "RoutingEvent",
    "SessionClosed",
    "Sharing",
    "ShuttingDown",
    "StartPool",
    "StopPool",
    "TableChanged",
    "TableDrained",
    "ToOrigin",
    "ToPeer",
    "ToPeers",
    "ToPool",
    "Woken",
]

PoolKey = tuple[str, str]


class Sharing(enum.StrEnum):
    """How entries share the limits of an upstream."""

    OWNED = "owned"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class ResultCame:
    """A pool or a peer has the result of a part."""

    result: PartResult


@dataclass(frozen=True, slots=True)
class LinkUp:
    """The link to a peer has opened."""

    member: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer is lost."""

    member: str


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A peer that asked for parts is gone."""

    session_id: str


@dataclass(frozen=True, slots=True)
class TableChanged:
    """Control has proposed or activated a table of members."""

    table: MemberTable


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LeaseSet:
    """The lease runs until a moment, in monotonic seconds."""

    until: float


@dataclass(frozen=True, slots=True)
class PoolDrained:
    """A closing pool has nothing left."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class BlameRaised:
    """A pool of this entry blames a request."""

    blame: Blame


@dataclass(frozen=True, slots=True)
class BlameHeard:
    """A peer blames a request."""

    blame: Blame


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The process takes no new parts."""


@dataclass(frozen=True, slots=True)
class Woken:
    """Time has passed."""


RoutingEvent = (
    PartWanted
    | PartDropped
    | ResultCame
    | LinkUp
    | LinkDown
    | SessionClosed
    | TableChanged
    | ConfigurationChanged
    | LeaseSet
    | PoolDrained
    | BlameRaised
    | BlameHeard
    | ShuttingDown
    | Woken
)


@dataclass(frozen=True, slots=True)
class ToPool:
    """Hand an event to a pool of this entry."""

    key: PoolKey
    event: PoolEvent


@dataclass(frozen=True, slots=True)
class ToPeer:
    """Send a message to a member."""

    member: str
    message: AskPart | DropPart | Blame


@dataclass(frozen=True, slots=True)
class ToPeers:
    """Send a message to all other members."""

    message: Blame


@dataclass(frozen=True, slots=True)
class ToOrigin:
    """Hand a result to who asked for the part."""

    origin: Origin
    result: PartResult


@dataclass(frozen=True, slots=True)
class StartPool:
    """Start a pool."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class StopPool:
    """Stop a pool that has drained."""

    key: PoolKey


@dataclass(frozen=True, slots=True)
class TableDrained:
    """Tell control that no part of a moved service is left here."""

    epoch: int


RoutingAction = (
    ToPool | ToPeer | ToPeers | ToOrigin | StartPool | StopPool | TableDrained
)
