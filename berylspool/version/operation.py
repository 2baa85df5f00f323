"""Operations that change a configuration, as data."""

from dataclasses import dataclass

from berylspool.common.frame import Codec
from berylspool.version.configuration import (
    Configuration,
    Document,
    Limits,
    Upstream,
    UpstreamState,
    Version,
    ZoneState,
)
from berylspool.version.move import Move

__all__ = [
    "AddUpstream",
    "AddVersion",
    "ClearVersion",
    "CreateRoute",
    "CreateService",
    "CreateZone",
    "FinishMove",
    "MoveService",
    "Operation",
    "PauseMove",
    "Publish",
    "RemoveUpstream",
    "RemoveVersion",
    "ReplaceAll",
    "ReplaceMove",
    "ResumeMove",
    "SetLimits",
    "SetServiceZones",
    "SetUpstream",
    "SetZone",
    "StartMove",
    "TakeBackMove",
    "operation_codec",
]


@dataclass(frozen=True, slots=True)
class CreateZone:
    """Define an availability zone."""

    name: str


@dataclass(frozen=True, slots=True)
class SetZone:
    """Take a zone out, or bring it back."""

    name: str
    state: ZoneState


@dataclass(frozen=True, slots=True)
class CreateService:
    """Define a service without upstreams."""

    name: str
    zones: tuple[str, ...] = ()
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class SetServiceZones:
    """State which zones serve a service; empty means all."""

    name: str
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SetLimits:
    """State what each upstream of a service bears.

    Attributes:
        service: Name of the service.
        value_by_limit: New values; limits that are not named stay.
    """

    service: str
    value_by_limit: dict[str, float]


@dataclass(frozen=True, slots=True)
class AddUpstream:
    """Add an upstream to a service."""

    service: str
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class SetUpstream:
    """Let an upstream leave, or take it back."""

    id: str
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Remove an upstream."""

    id: str


@dataclass(frozen=True, slots=True)
class CreateRoute:
    """Define a route with its first version."""

    name: str
    version: Version


@dataclass(frozen=True, slots=True)
class AddVersion:
    """Add a version, with its own partition map, to a route."""

    route: str
    version: Version


@dataclass(frozen=True, slots=True)
class RemoveVersion:
    """Remove a version that carries no traffic."""

    route: str
    version: str


@dataclass(frozen=True, slots=True)
class StartMove:
    """Move a route's traffic to a version within a time in seconds."""

    route: str
    version: str
    within_s: float


@dataclass(frozen=True, slots=True)
class PauseMove:
    """Keep a move at its share."""

    route: str


@dataclass(frozen=True, slots=True)
class ResumeMove:
    """Let a paused move go on."""

    route: str


@dataclass(frozen=True, slots=True)
class TakeBackMove:
    """Bring a route's traffic back to the old version."""

    route: str


@dataclass(frozen=True, slots=True)
class FinishMove:
    """Put all traffic on the new version now."""

    route: str


@dataclass(frozen=True, slots=True)
class ClearVersion:
    """Allow a version that was taken back to be moved to again."""

    route: str
    version: str


@dataclass(frozen=True, slots=True)
class ReplaceMove:
    """Put a move that the control leader has stepped in place.

    Attributes:
        before: The move that it was stepped from; a stale one is ignored.
        after: The move that takes its place.
    """

    before: Move
    after: Move


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """Put a whole configuration in place, as on the first start."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Publish:
    """Put a forwarding plan in force, unless a higher number is."""

    document: Document


@dataclass(frozen=True, slots=True)
class MoveService:
    """Move a discovered service to upstreams of a software version.

    The same move stated again while it runs changes nothing.

    Attributes:
        service: Name of the service.
        version: Software version that should carry its traffic.
        within_s: Time to the deadline, in seconds.
    """

    service: str
    version: str
    within_s: float


Operation = (
    CreateZone
    | SetZone
    | CreateService
    | SetServiceZones
    | SetLimits
    | AddUpstream
    | SetUpstream
    | RemoveUpstream
    | CreateRoute
    | AddVersion
    | RemoveVersion
    | StartMove
    | PauseMove
    | ResumeMove
    | TakeBackMove
    | FinishMove
    | ClearVersion
    | ReplaceMove
    | ReplaceAll
    | Publish
    | MoveService
)


def operation_codec() -> Codec:
    """Return the codec of operations."""
    return Codec(Operation.__args__)
