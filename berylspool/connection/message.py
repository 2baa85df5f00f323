"""Messages between entries, and messages common to all links."""

from dataclasses import dataclass, field

from berylspool.common.frame import Codec
from berylspool.request.query import (
    Forward,
    Part,
    PartFailed,
    PartRefused,
    PartRows,
    UpstreamResponse,
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
    "RunSlice",
    "SliceAccepted",
    "SliceDropped",
    "SliceProbe",
    "SliceRefused",
    "SliceResults",
    "make_delegation_codec",
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
        zone: Availability zone; empty if an older build sent it.
    """

    name: str
    host: str
    port: int
    zone: str = ""


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


@dataclass(frozen=True, slots=True)
class RunSlice:
    """Request to another entry of the zone to run parts of a wide request.

    Attributes:
        id: Number of the slice, unique among those of the sender.
        request_id: Id of the request.
        route: Name of its route.
        fingerprint: Its fingerprint.
        forward: The request itself.
        parts: Service, shard and software version of each part.
        partition: Partition of the snapshot of all parts.
        timeout_s: Time left for the parts, in seconds.
        attempts: Maximum number of upstreams that may run one part.
    """

    id: int
    request_id: str
    route: str
    fingerprint: str
    forward: Forward
    parts: tuple[tuple[str, int, str], ...]
    partition: int
    timeout_s: float
    attempts: int


@dataclass(frozen=True, slots=True)
class SliceAccepted:
    """The helper runs the slice; also its answer to a `SliceProbe`.

    Attributes:
        id: Number of the slice.
        hedged: As in `SliceResults`.
    """

    id: int
    hedged: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SliceRefused:
    """The helper has not run the slice and will not run it."""

    id: int


@dataclass(frozen=True, slots=True)
class SliceProbe:
    """Question to the helper whether it still runs the slice."""

    id: int


@dataclass(frozen=True, slots=True)
class SliceResults:
    """Results of parts of a slice; parts are named by their position in it.

    Attributes:
        id: Number of the slice.
        rows: Position, copies sent, stamp, and records one after another, of
            each complete answer.
        refused: Position, reason and retry-after in seconds of each part that
            no upstream has run.
        failed: Position, reason and copies sent of each part that an upstream
            may have run.
        response: Error response of an upstream to one of the failed parts, if
            there was one.
        hedged: Positions of parts without a result that have been sent to as
            many upstreams as may run them.
    """

    id: int
    rows: tuple[tuple[int, int, str, bytes], ...] = ()
    refused: tuple[tuple[int, str, float], ...] = ()
    failed: tuple[tuple[int, str, int], ...] = ()
    response: UpstreamResponse | None = None
    hedged: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SliceDropped:
    """The parts of the slice without a result are no longer needed.

    Attributes:
        id: Number of the slice.
        is_caller_gone: Whether the caller has disconnected, so that work on
            the parts must end.
    """

    id: int
    is_caller_gone: bool = False


def make_delegation_codec() -> Codec:
    """Return a codec for links on which entries run parts for each other."""
    return Codec(
        [
            Hello,
            Ping,
            Pong,
            RunSlice,
            SliceAccepted,
            SliceRefused,
            SliceProbe,
            SliceResults,
            SliceDropped,
        ]
    )


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
