"""Log events, each with a unique number; docs/LOGS.md documents them."""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "CommandDecided",
    "ConfigurationApplied",
    "DiskRoom",
    "Event",
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
    "PlanRefused",
    "ProcessStarted",
    "ProcessStopped",
    "RequestBlamed",
    "RequestFailed",
    "RequestRefused",
    "RequestServed",
    "ServicePlaced",
    "SettingsReloaded",
    "SilentReplaced",
    "SlowUpstreamJudged",
    "StorageFailed",
    "UpstreamChanged",
    "UpstreamNoticed",
    "UpstreamOverran",
]


class Event:
    """Base class of all log events, which are data classes.

    Attributes:
        number: Unique number of the class in the log.
    """

    __slots__ = ()
    number: ClassVar[int] = 0


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """The process has started and accepts connections."""

    number: ClassVar[int] = 1001
    role: str
    name: str
    version: str


@dataclass(frozen=True, slots=True)
class ProcessStopped(Event):
    """The process has completed its requests in flight and exits."""

    number: ClassVar[int] = 1002
    role: str
    name: str


@dataclass(frozen=True, slots=True)
class LinesDropped(Event):
    """Log lines were discarded because the log task fell behind.

    Attributes:
        count: Number of lines that are missing at this point.
    """

    number: ClassVar[int] = 1003
    count: int


@dataclass(frozen=True, slots=True)
class LinesLeftOut(Event):
    """Log lines about successful requests were omitted.

    Attributes:
        lines: Number of lines omitted since the process started.
    """

    number: ClassVar[int] = 1005
    lines: int


@dataclass(frozen=True, slots=True)
class RequestServed(Event):
    """A request was answered completely and in time; never written itself.

    The log task omits the lines about the parts of the request.

    Attributes:
        request: Id of the request.
    """

    number: ClassVar[int] = 2009
    request: str


@dataclass(frozen=True, slots=True)
class RequestFailed(Event):
    """The entry could not handle a request because of an unexpected error."""

    number: ClassVar[int] = 2012
    path: str
    error: str


@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """A caller's request was refused or failed, and has no answer.

    Attributes:
        request: Id of the request; empty if its body is invalid.
        route: Name of the route; empty if the body is invalid.
        reason: Value of `Reason`.
        not_run: Whether no part of the request was executed.
    """

    number: ClassVar[int] = 2002
    request: str
    route: str
    reason: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class SilentReplaced(Event):
    """A connection was replaced because its response was overdue.

    Attributes:
        upstream: Id of the upstream.
        connection: Number of the connection in its pool.
        age_s: Time since the unanswered copy was sent, in seconds.
    """

    number: ClassVar[int] = 2003
    upstream: str
    connection: int
    age_s: float


@dataclass(frozen=True, slots=True)
class RequestBlamed(Event):
    """A request is suspected of crashing upstreams, convicted or cleared.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Id of the lost upstream; empty if another entry convicted
            the request.
        verdict: Value of `Verdict`.
    """

    number: ClassVar[int] = 2004
    fingerprint: str
    upstream: str
    verdict: str


@dataclass(frozen=True, slots=True)
class UpstreamChanged(Event):
    """The connections or the state of an upstream changed."""

    number: ClassVar[int] = 2005
    upstream: str
    change: str


@dataclass(frozen=True, slots=True)
class UpstreamNoticed(Event):
    """An upstream said in an answer that it leaves, or wants a pause.

    Attributes:
        upstream: Id of the upstream.
        notice: `leaving`, `pause`, or `unusable` for a pause that is no time.
        value: Length of the pause in seconds, or the unusable text.
    """

    number: ClassVar[int] = 2011
    upstream: str
    notice: str
    value: str


@dataclass(frozen=True, slots=True)
class UpstreamOverran(Event):
    """An upstream sent more bytes than a response may have.

    Attributes:
        upstream: Id of the upstream.
        excess: `framing`, `headers`, `length` or `body` for what is too long;
            `memory` for all unfinished responses together.
        pause_s: Seconds without requests; 0 if no other upstream is in use.
    """

    number: ClassVar[int] = 2013
    upstream: str
    excess: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class CommandDecided(Event):
    """The ledger decided whether a non-idempotent request may run.

    Attributes:
        key: Idempotency key of the request.
        decision: Value of `LedgerDecision`, or `no_control` if the ledger
            did not answer.
    """

    number: ClassVar[int] = 2006
    key: str
    decision: str


@dataclass(frozen=True, slots=True)
class ServicePlaced(Event):
    """This entry started a pool for a service.

    Attributes:
        service: Name of the service.
        owner: Name of this entry.
        epoch: Epoch of the active member table.
    """

    number: ClassVar[int] = 3001
    service: str
    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class MembersChanged(Event):
    """A member table was proposed or became active."""

    number: ClassVar[int] = 3002
    epoch: int
    members: str
    is_active: bool


@dataclass(frozen=True, slots=True)
class LinkChanged(Event):
    """A link opened (`up`), closed (`down`) or failed with an error."""

    number: ClassVar[int] = 3003
    peer: str
    change: str


@dataclass(frozen=True, slots=True)
class LeaseChanged(Event):
    """The lease on the configuration was acquired or has expired."""

    number: ClassVar[int] = 3004
    is_held: bool
    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A configuration has taken effect in this process."""

    number: ClassVar[int] = 4001
    revision: int


@dataclass(frozen=True, slots=True)
class LeaderChanged(Event):
    """A control node changed its consensus role."""

    number: ClassVar[int] = 4002
    node: str
    role: str
    term: int


@dataclass(frozen=True, slots=True)
class MoveChanged(Event):
    """A move of a route changed.

    Attributes:
        route: Name of the route.
        state: Value of `MoveState`.
        share: Share of requests sent to the new version, from 0 to 1.
        cause: Why it was taken back or is late; empty if neither.
    """

    number: ClassVar[int] = 4003
    route: str
    state: str
    share: float
    cause: str


@dataclass(frozen=True, slots=True)
class StorageFailed(Event):
    """The data directory could not be read or written."""

    number: ClassVar[int] = 4004
    error: str


@dataclass(frozen=True, slots=True)
class DiskRoom(Event):
    """The disk of a control node ran out of room, or has room again."""

    number: ClassVar[int] = 4009
    has_room: bool
    error: str


@dataclass(frozen=True, slots=True)
class SlowUpstreamJudged(Event):
    """Entries agree that an upstream is slow, or that it no longer is."""

    number: ClassVar[int] = 4010
    upstream: str
    slowness: float


@dataclass(frozen=True, slots=True)
class ListingFailed(Event):
    """The list of upstreams could not be read; the last one stays in use."""

    number: ClassVar[int] = 4005
    error: str


@dataclass(frozen=True, slots=True)
class ListingApplied(Event):
    """A listing of upstreams has taken effect in this process."""

    number: ClassVar[int] = 4006
    epoch: int
    serial: int
    upstreams: int


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file changed; `outcome` is `applied` or the error."""

    number: ClassVar[int] = 1004
    outcome: str


@dataclass(frozen=True, slots=True)
class PlanRefused(Event):
    """A published plan cannot be decoded; the previous one stays in use."""

    number: ClassVar[int] = 4007
    plan: int
    error: str


@dataclass(frozen=True, slots=True)
class ListEntrySkipped(Event):
    """An item of the list of upstreams is invalid; logged once per item."""

    number: ClassVar[int] = 4008
    entry: str
