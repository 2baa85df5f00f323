"""Log events, each with a number; docs/LOGS.md is the catalogue."""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "CommandDecided",
    "ConfigurationApplied",
    "Event",
    "HedgeDenied",
    "LeaderChanged",
    "LeaseChanged",
    "LinesDropped",
    "LinesLeftOut",
    "LinkChanged",
    "ListEntrySkipped",
    "ListingApplied",
    "ListingFailed",
    "MembersChanged",
    "MoveChanged",
    "PartChosen",
    "PlanRefused",
    "ProcessStarted",
    "ProcessStopped",
    "RequestEnded",
    "RequestRefused",
    "RequestServed",
    "RequestBlamed",
    "ServicePlaced",
    "SettingsReloaded",
    "SilentReplaced",
    "StorageFailed",
    "UpstreamChanged",
    "catalogue",
]


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all log events."""

    number: ClassVar[int] = 0


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """The process listens."""

    number: ClassVar[int] = 1001
    role: str
    name: str
    version: str


@dataclass(frozen=True, slots=True)
class ProcessStopped(Event):
    """The process has finished what was in flight and ends."""

    number: ClassVar[int] = 1002
    role: str
    name: str


@dataclass(frozen=True, slots=True)
class LinesDropped(Event):
    """The log could not keep up; so many lines are missing here."""

    number: ClassVar[int] = 1003
    count: int


@dataclass(frozen=True, slots=True)
class LinesLeftOut(Event):
    """Lines of requests that were served, left out since the start."""

    number: ClassVar[int] = 1005
    lines: int


@dataclass(frozen=True, slots=True)
class PartChosen(Event):
    """An upstream was chosen for a copy of a part.

    Attributes:
        part: Id of the part, which begins with the request's.
        service: Its service.
        version: Pool that it belongs to.
        upstream: The chosen one.
        copy: Number of the copy; 1 is the first.
        is_hedge: Whether it was queued behind first copies.
        in_flight: Own copies there before this one.
        others: Requests of other entries there, by its newest report.
        load_age_ms: Age of that report; -1 if there is none.
        answer_ms: Learnt answer time.
        answer_age_ms: Age of the newest answer; -1 if there is none.
        waited_ms: Time that the part waited in the pool.
    """

    number: ClassVar[int] = 2001
    part: str
    service: str
    version: str
    upstream: str
    copy: int
    is_hedge: bool
    in_flight: int = 0
    others: float = 0.0
    load_age_ms: int = -1
    answer_ms: float = 0.0
    answer_age_ms: int = -1
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestServed(Event):
    """A request was answered whole and in time; written for none.

    It tells the log task that the lines of its parts can be left out.
    """

    number: ClassVar[int] = 2009
    request: str


@dataclass(frozen=True, slots=True)
class HedgeDenied(Event):
    """A part that takes long has no second copy, as the budget is spent."""

    number: ClassVar[int] = 2008
    part: str
    service: str
    tokens: float


@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """A caller's request has no answer."""

    number: ClassVar[int] = 2002
    request: str
    route: str
    reason: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class SilentReplaced(Event):
    """A connection owed an answer for too long and is replaced."""

    number: ClassVar[int] = 2003
    upstream: str
    connection: int
    age_s: float


@dataclass(frozen=True, slots=True)
class RequestBlamed(Event):
    """A verdict is held against a request after a lost upstream."""

    number: ClassVar[int] = 2004
    fingerprint: str
    upstream: str
    verdict: str


@dataclass(frozen=True, slots=True)
class UpstreamChanged(Event):
    """An upstream's connections or state changed."""

    number: ClassVar[int] = 2005
    upstream: str
    change: str


@dataclass(frozen=True, slots=True)
class CommandDecided(Event):
    """The ledger decided on a request that may not be repeated."""

    number: ClassVar[int] = 2006
    key: str
    decision: str


@dataclass(frozen=True, slots=True)
class ServicePlaced(Event):
    """A service was placed on this process, or taken off it."""

    number: ClassVar[int] = 3001
    service: str
    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class MembersChanged(Event):
    """The table of members changed."""

    number: ClassVar[int] = 3002
    epoch: int
    members: str
    is_active: bool


@dataclass(frozen=True, slots=True)
class LinkChanged(Event):
    """A link between two processes opened, closed or was refused."""

    number: ClassVar[int] = 3003
    peer: str
    change: str


@dataclass(frozen=True, slots=True)
class LeaseChanged(Event):
    """The lease on the configuration was gained or has expired."""

    number: ClassVar[int] = 3004
    is_held: bool
    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A configuration is in force at this process."""

    number: ClassVar[int] = 4001
    revision: int


@dataclass(frozen=True, slots=True)
class LeaderChanged(Event):
    """A control node changed its role."""

    number: ClassVar[int] = 4002
    node: str
    role: str
    term: int


@dataclass(frozen=True, slots=True)
class MoveChanged(Event):
    """A move of a route entered another stage."""

    number: ClassVar[int] = 4003
    route: str
    state: str
    share: float
    cause: str


@dataclass(frozen=True, slots=True)
class StorageFailed(Event):
    """The data folder could not be read or written."""

    number: ClassVar[int] = 4004
    error: str


@dataclass(frozen=True, slots=True)
class ListingFailed(Event):
    """The list of upstreams could not be read; the last one stays."""

    number: ClassVar[int] = 4005
    error: str


@dataclass(frozen=True, slots=True)
class ListingApplied(Event):
    """A listing of upstreams is in force at this process."""

    number: ClassVar[int] = 4006
    epoch: int
    serial: int
    upstreams: int


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file has changed and was taken over, or was refused."""

    number: ClassVar[int] = 1004
    outcome: str


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A forwarded request ended late, thin or without an answer."""

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


@dataclass(frozen=True, slots=True)
class PlanRefused(Event):
    """A published plan cannot be decoded here; the former one stays."""

    number: ClassVar[int] = 4007
    plan: int
    error: str


@dataclass(frozen=True, slots=True)
class ListEntrySkipped(Event):
    """An entry of the list of upstreams cannot be read; told once."""

    number: ClassVar[int] = 4008
    entry: str


def catalogue() -> dict[int, type[Event]]:
    """Return all events by number.

    Examples:
        >>> catalogue()[1001].__name__
        'ProcessStarted'
    """
    return {cls.number: cls for cls in Event.__subclasses__()}
