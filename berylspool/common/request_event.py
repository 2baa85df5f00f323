"""Log events about whole requests; docs/LOGS.md documents them."""

from dataclasses import dataclass
from typing import ClassVar

from berylspool.common.event import Event

__all__ = [
    "ClientsRejected",
    "HelperSuspended",
    "RequestEnded",
    "SliceTakenBack",
]


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A forwarded request ended late, incomplete or without an answer.

    Attributes:
        request: Id of the request.
        route: Name of the route.
        plan: Number of the forwarding plan.
        listing: Listing in force, as epoch and serial.
        outcome: Kind of the outcome, and the reason of a refusal.
        missing: Reason of each missing part, by service.
        last: Service that answered last; empty if unknown.
        copies: Number of copies that were sent; 0 for a refusal.
        latency_ms: Time until the outcome, in ms.
        busy_ms: Processor time that the process used in this time, for this
            request and for others, in ms.
    """

    number: ClassVar[int] = 2007
    request: str
    route: str
    plan: int
    listing: str
    outcome: str
    missing: dict[str, str]
    last: str
    copies: int
    latency_ms: float
    busy_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class SliceTakenBack(Event):
    """Parts of a wide request that another entry was to run are run here.

    Attributes:
        request: Id of the request.
        helper: Name of the other entry.
        cause: Why they are run here.
        parts: Number of parts without a result.
        is_accepted: Whether the other entry had accepted them, so that they
            are paid from the budget of extra copies.
    """

    number: ClassVar[int] = 2040
    request: str
    helper: str
    cause: str
    parts: int
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class HelperSuspended(Event):
    """Another entry gets no parts of wide requests for a while.

    Attributes:
        helper: Name of the other entry.
        cause: Why parts were taken back from it.
        pause_s: Time until it may get parts again, in seconds.
    """

    number: ClassVar[int] = 2041
    helper: str
    cause: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class ClientsRejected(Event):
    """Clients were refused or dropped for the limits of the server.

    Attributes:
        refused: Number of refusals since the last such line, by reason.
        dropped: Number of connections dropped since then, by reason.
        connections: Open connections.
        held_bytes: Memory held for clients, in bytes.
    """

    number: ClassVar[int] = 2050
    refused: dict[str, int]
    dropped: dict[str, int]
    connections: int
    held_bytes: int
