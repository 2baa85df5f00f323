"""Core types of the configuration that control distributes.

A configuration is immutable: a change makes a new one with the next
revision, so everything that reads it holds one consistent view.
"""

import enum
from collections.abc import Container
from dataclasses import dataclass, field

from berylspool.exception import ConfigurationError, UnknownRouteError
from berylspool.request.fanout import Pinned
from berylspool.request.query import Snapshot
from berylspool.version.move import Move, traffic_share

__all__ = [
    "Configuration",
    "Document",
    "Limits",
    "Route",
    "Service",
    "Upstream",
    "UpstreamState",
    "Version",
    "Zone",
    "ZoneState",
    "check",
    "live_versions",
    "pin",
    "serving_upstreams",
]

SHARE_STEPS = 10_000


class ZoneState(enum.StrEnum):
    """Whether an availability zone takes new work."""

    IN = "in"
    OUT = "out"


class UpstreamState(enum.StrEnum):
    """Whether an upstream takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    state: ZoneState = ZoneState.IN


@dataclass(frozen=True, slots=True)
class Limits:
    """What one upstream of a service bears.

    Attributes:
        slots: Requests at once when warm.
        connections: Open connections, all owners together.
        cold_slots: Requests at once right after a start.
        ramp_s: Time from the first answer after a start to `slots`, in
            seconds.
        extra_copies: Copies beyond the first that one entry may have saved
            up; None for the pool's own figure.
        extra_per_s: Such copies that one entry may send each second beside
            those that it earns by requests.
        cold_s: Time for which an upstream is cold after a start, in seconds.
        cold_per_s: Requests a second that one entry may send to a cold
            upstream; None if there is no bound, 0 if it may send none.
        share: Connections to an upstream that one entry may keep; below one,
            it keeps connections to some upstreams only.
    """

    slots: int = 3
    connections: int = 30
    cold_slots: int = 1
    ramp_s: float = 4.0
    extra_copies: float | None = None
    extra_per_s: float = 0.0
    cold_s: float = 0.0
    cold_per_s: float | None = None
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end of a service.

    Attributes:
        id: Unique in the configuration.
        host: IP address.
        port: TCP port.
        zone: Availability zone it runs in.
        version: Index version it serves.
        state: Whether it takes new work.
        is_cold: Whether it says that it has just started.
    """

    id: str
    host: str
    port: int
    zone: str
    version: str
    state: UpstreamState = UpstreamState.SERVING
    is_cold: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the upstreams behind it.

    Attributes:
        name: Unique in the configuration.
        zones: Availability zones that serve it; empty means all.
        limits: What each upstream bears.
        upstream_by_id: Upstreams of all versions.
    """

    name: str
    zones: tuple[str, ...] = ()
    limits: Limits = Limits()
    upstream_by_id: dict[str, Upstream] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Version:
    """An index version of a route with its partition map.

    Attributes:
        name: Unique in the route.
        partition: Revision of the partition map.
        services: Service of each shard, in shard order.
    """

    name: str
    partition: int
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of request that callers send.

    Attributes:
        name: Unique in the configuration.
        stable: Version that carries the traffic outside of moves.
        version_by_name: Versions that may be read.
        blocked: Versions that were taken back and not cleared since.
    """

    name: str
    stable: str
    version_by_name: dict[str, Version]
    blocked: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Document:
    """A whole forwarding plan as an operator published it.

    Attributes:
        number: Number that the operator gave it; 0 before the first.
        body: The published text, compressed.
    """

    number: int = 0
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators have stated, at one revision."""

    revision: int = 0
    zone_by_name: dict[str, Zone] = field(default_factory=dict)
    service_by_name: dict[str, Service] = field(default_factory=dict)
    route_by_name: dict[str, Route] = field(default_factory=dict)
    move_by_route: dict[str, Move] = field(default_factory=dict)
    document: Document = Document()


def check(
    configuration: Configuration, former: Configuration | None = None
) -> None:
    """Check that all names in a configuration resolve.

    Nothing in the language removes a zone or a service, so what is the same
    as in a configuration that was checked before need not be checked again.

    Args:
        configuration: Configuration to check.
        former: Configuration that it was made from, if that was checked.

    Raises:
        ConfigurationError: A name is not defined, or a stable version is
            missing.
    """
    known = former or Configuration()
    for name, service in configuration.service_by_name.items():
        if known.service_by_name.get(name) is not service:
            _check_service(configuration, service)
    for name, route in configuration.route_by_name.items():
        if known.route_by_name.get(name) is not route:
            _check_route(configuration, route)


def _check_service(configuration: Configuration, service: Service) -> None:
    named = set(service.zones)
    named.update(u.zone for u in service.upstream_by_id.values())
    for zone in sorted(named - configuration.zone_by_name.keys()):
        raise ConfigurationError(
            f"service {service.name!r}: zone {zone!r} is not defined"
        )


def _check_route(configuration: Configuration, route: Route) -> None:
    if route.stable not in route.version_by_name:
        raise ConfigurationError(
            f"route {route.name!r}: version {route.stable!r} is not defined"
        )
    for version in route.version_by_name.values():
        for name in version.services:
            if name not in configuration.service_by_name:
                raise ConfigurationError(
                    f"route {route.name!r}: service {name!r} is not defined"
                )


def pin(
    configuration: Configuration,
    route: str,
    ticket: int,
    blocked: Container[tuple[str, str]] = (),
) -> Pinned:
    """Choose the version that a request reads and pin its partition map.

    Args:
        configuration: Configuration in force.
        route: Name of the route.
        ticket: Any integer that is uniform over requests; equal tickets
            give equal choices.
        blocked: Routes and versions that get no new requests here.

    Returns:
        The pinned partition map.

    Raises:
        UnknownRouteError: The route is not defined.

    Examples:
        >>> route = Route("permits", "v1", {"v1": Version("v1", 1, ("a",))})
        >>> configuration = Configuration(route_by_name={"permits": route})
        >>> pin(configuration, "permits", 7).services
        ('a',)
    """
    if route not in configuration.route_by_name:
        raise UnknownRouteError(f"route {route!r} is not defined")
    plan = configuration.route_by_name[route]
    name = plan.stable
    move = configuration.move_by_route.get(route)
    if move is not None and move.new in plan.version_by_name:
        share = traffic_share(move)
        is_chosen = ticket % SHARE_STEPS < share * SHARE_STEPS
        if is_chosen and (route, move.new) not in blocked:
            name = move.new
    version = plan.version_by_name[name]
    return Pinned(Snapshot(version.name, version.partition), version.services)


def live_versions(configuration: Configuration, service: str) -> set[str]:
    """Return the versions that some route may read from a service."""
    return {
        version.name
        for route in configuration.route_by_name.values()
        for version in route.version_by_name.values()
        if service in version.services
    }


def serving_upstreams(
    configuration: Configuration, service: str, version: str
) -> list[Upstream]:
    """Return the upstreams that may get new work.

    Args:
        configuration: Configuration in force.
        service: Name of a service.
        version: Index version.

    Returns:
        Upstreams of the version that are serving, in a zone that is in and
        that serves the service.
    """
    plan = configuration.service_by_name.get(service)
    if plan is None:
        return []
    return [
        upstream
        for upstream in plan.upstream_by_id.values()
        if upstream.version == version
        and upstream.state is UpstreamState.SERVING
        and (not plan.zones or upstream.zone in plan.zones)
        and configuration.zone_by_name[upstream.zone].state is ZoneState.IN
    ]
