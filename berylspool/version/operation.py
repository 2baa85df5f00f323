"""Operations that change a configuration, as data classes."""

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
    """Take a zone out of service, or return it to service."""

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
    """Set the zones that serve a service; empty means all."""

    name: str
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SetLimits:
    """Set limits on the load of each upstream of a service.

    Attributes:
        service: Name of the service.
        value_by_limit: New values by limit; other limits keep their values.
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
    """Drain an upstream, or return it to service."""

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
    """Add a version with its own partition map to a route."""

    route: str
    version: Version


@dataclass(frozen=True, slots=True)
class RemoveVersion:
    """Remove a version that carries no traffic."""

    route: str
    version: str


@dataclass(frozen=True, slots=True)
class StartMove:
    """Start a move of a route's traffic to another version.

    Attributes:
        route: Name of the route.
        version: Version that should carry the traffic.
        within_s: Time to the deadline, in seconds.
    """

    route: str
    version: str
    within_s: float


@dataclass(frozen=True, slots=True)
class PauseMove:
    """Pause a move; its traffic share stays as it is."""

    route: str


@dataclass(frozen=True, slots=True)
class ResumeMove:
    """Resume a paused move."""

    route: str


@dataclass(frozen=True, slots=True)
class TakeBackMove:
    """Return all traffic of a route to the old version."""

    route: str


@dataclass(frozen=True, slots=True)
class FinishMove:
    """Shift all traffic to the new version immediately."""

    route: str


@dataclass(frozen=True, slots=True)
class ClearVersion:
    """Unblock a version that was taken back, so a move to it may start."""

    route: str
    version: str


@dataclass(frozen=True, slots=True)
class ReplaceMove:
    """Replace a move by its next state, as the control leader computed it.

    Attributes:
        before: State that the next one was computed from; the operation is
            rejected if the current move differs.
        after: Next state of the move.
    """

    before: Move
    after: Move


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """Replace the whole configuration, as on the first start."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Publish:
    """Put a forwarding plan in force if its number is the highest so far."""

    document: Document


@dataclass(frozen=True, slots=True)
class MoveService:
    """Move the traffic of a discovered service to a software version.

    An operation whose version equals that of the service's latest move
    changes nothing.

    Attributes:
        service: Name of the service.
        version: Software version that should carry the traffic.
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
    """Return a codec that encodes and decodes all operations."""
    return Codec(Operation.__args__)
