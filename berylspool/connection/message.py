"""Messages between entries, and messages common to all links."""

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
    "CHANGE_LEVEL",
    "PROTOCOL_VERSION",
    "AskPart",
    "DropPart",
    "Hello",
    "Member",
    "MemberTable",
    "Ping",
    "Pong",
    "make_peer_codec",
]

PROTOCOL_VERSION = 1
# Kinds of changes of the replicated state that this build applies: 1 adds those
# of duties. A node of an earlier build ends when it meets one.
CHANGE_LEVEL = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on every link.

    Attributes:
        name: Name of the process that connects.
        protocol: Latest protocol version that it supports.
        change_level: Latest kinds of changes that it can apply.
    """

    name: str
    protocol: int = PROTOCOL_VERSION
    change_level: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Keep-alive probe; the other end answers with a `Pong`."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a `Ping`."""


@dataclass(frozen=True, slots=True)
class AskPart:
    """Request to the owner of a service to run a part.

    Attributes:
        part: The part.
    """

    part: Part


@dataclass(frozen=True, slots=True)
class DropPart:
    """Notice to the owner that the result of a part is no longer needed.

    Attributes:
        part_id: Id of the part.
    """

    part_id: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry that may own services.

    Attributes:
        name: Unique name of the entry.
        host: IP address that peers connect to.
        port: TCP port that peers connect to.
    """

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class MemberTable:
    """The entries among which the services are divided.

    A table is first proposed: requests for services that change their owner
    are held.  It becomes active once every previous owner has drained or
    lost its lease.

    Attributes:
        epoch: Number of the table; it increases with each table.
        is_active: Whether new owners may admit requests.
        member_by_name: The entries by name.
    """

    epoch: int = 0
    is_active: bool = True
    member_by_name: dict[str, Member] = field(default_factory=dict)


def make_peer_codec() -> Codec:
    """Return a codec for links between entries."""
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
