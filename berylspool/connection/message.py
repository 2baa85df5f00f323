"""Messages between the system's own processes, and their codec."""

from dataclasses import dataclass, field

from berylspool.common.frame import Codec
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartRows,
)
from berylspool.version.pool.message import Blame

__all__ = [
    "AskPart",
    "DropPart",
    "Hello",
    "Member",
    "MemberTable",
    "PROTOCOL_VERSION",
    "Ping",
    "Pong",
    "peer_codec",
]

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on every link.

    Attributes:
        name: Name of the process that connects.
        protocol: Newest protocol version that it speaks.
    """

    name: str
    protocol: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask whether the other end is still there."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a `Ping`."""


@dataclass(frozen=True, slots=True)
class AskPart:
    """Ask the owner of a service for a part."""

    part: Part


@dataclass(frozen=True, slots=True)
class DropPart:
    """Tell the owner that a part's answer is no longer wanted."""

    part_id: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry that may own services.

    Attributes:
        name: Unique name.
        host: IP address that peers connect to.
        port: TCP port that peers connect to.
    """

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class MemberTable:
    """The entries that share the services.

    A table is first proposed: services that change their owner are held.
    It becomes active once every former owner has drained or lost its lease.

    Attributes:
        epoch: Number of the table; a later table has a higher one.
        is_active: Whether new owners may admit.
        member_by_name: The entries.
    """

    epoch: int = 0
    is_active: bool = True
    member_by_name: dict[str, Member] = field(default_factory=dict)


def peer_codec() -> Codec:
    """Return the codec of links between entries."""
    return Codec(
        [
            Hello,
            Ping,
            Pong,
            AskPart,
            DropPart,
            PartRows,
            PartRefused,
            PartFailed,
            Blame,
        ]
    )
