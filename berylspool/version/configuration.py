"""Data classes of the configuration that control nodes distribute.

A configuration is immutable: a change creates a new one with the next
revision, so every reader holds one consistent view.
"""

import enum
from collections.abc import Container
from dataclasses import dataclass, field

from berylspool.exception import ConfigurationError, UnknownRouteError
from berylspool.request.fanout import PinnedMap
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
    "check_references",
    "live_versions",
    "pin_version",
    "serving_upstreams",
]

HASH_BUCKETS = 10_000


class ZoneState(enum.StrEnum):
    """Whether upstreams of an availability zone get new requests."""

    IN = "in"
    OUT = "out"


class UpstreamState(enum.StrEnum):
    """Whether an upstream gets new requests."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    state: ZoneState = ZoneState.IN


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the load of one upstream of a service.

    Attributes:
        slots: Concurrent requests to a warm upstream.
        connections: Maximum number of open connections; to an upstream that
            many entries share, those of one entry.
        cold_slots: Concurrent requests right after a start.
        ramp_s: Time over which the limit on concurrent requests rises to
            `slots`, from the first answer after a start, in seconds.
        extra_copies: Maximum balance of one entry's budget for copies
            beyond the first; None for the pool's default.
        cold_s: Time for which an upstream is cold after a start, in seconds.
        cold_per_s: Requests per second that one entry may send to a cold
            upstream; None for no limit, 0 if it may send none.
        share: Connections that one entry may keep to each upstream; below
            one, it keeps connections to a subset of the upstreams only.
    """

    slots: int = 3
    connections: int = 30
    cold_slots: int = 1
    ramp_s: float = 4.0
    extra_copies: float | None = None
    cold_s: float = 0.0
    cold_per_s: float | None = None
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end of a service.

    Attributes:
        id: Identifier, unique in the configuration.
        host: IP address.
        port: TCP port.
        zone: Availability zone that it runs in.
        version: Index version or software version that it serves.
        state: Whether it gets new requests.
        is_cold: Whether it reports that it has started recently.
        started_at_ms: Start of its process, in Unix milliseconds, if it is
            known.
    """

    id: str
    host: str
    port: int
    zone: str
    version: str
    state: UpstreamState = UpstreamState.SERVING
    is_cold: bool = False
    started_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its upstreams.

    Attributes:
        name: Name, unique in the configuration.
        zones: Availability zones whose upstreams serve it; empty means all.
        limits: Limits on the load of each upstream.
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
        name: Name, unique in the route.
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
        name: Name, unique in the configuration.
        stable: Version that carries the traffic while no move is under way.
        version_by_name: Versions that requests may read.
        blocked: Versions that were taken back and have not been cleared.
    """

    name: str
    stable: str
    version_by_name: dict[str, Version]
    blocked: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Document:
    """Complete forwarding plan as an operator published it.

    Attributes:
        number: Number that the operator assigned; 0 before the first plan.
        body: Published text, compressed; it may hold API keys.
    """

    number: int = 0
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Configuration:
    """State declared by operators, at one revision.

    Attributes:
        revision: Number of the change that created this state.
        zone_by_name: Availability zones.
        service_by_name: Services with their upstreams.
        route_by_name: Routes with their versions.
        move_by_route: Latest move of each route.
        document: Forwarding plan in force, as it was published.
    """

    revision: int = 0
    zone_by_name: dict[str, Zone] = field(default_factory=dict)
    service_by_name: dict[str, Service] = field(default_factory=dict)
    route_by_name: dict[str, Route] = field(default_factory=dict)
    move_by_route: dict[str, Move] = field(default_factory=dict)
    document: Document = Document()


def check_references(
    configuration: Configuration, checked: Configuration | None = None
) -> None:
    """Check that all names in a configuration resolve.

    No operation removes a single zone or service, so services and routes that
    are unchanged since a configuration that passed the check are skipped.

    Args:
        configuration: Configuration to check.
        checked: Earlier configuration that it was derived from, if that one
            has passed the check.

    Raises:
        ConfigurationError: A name is not defined, or the stable version of a
            route is missing.
    """
    baseline = checked or Configuration()
    for name, service in configuration.service_by_name.items():
        if baseline.service_by_name.get(name) is not service:
            _check_service(configuration, service)
    for name, route in configuration.route_by_name.items():
        if baseline.route_by_name.get(name) is not route:
            _check_route(configuration, route)


def _check_service(configuration: Configuration, service: Service) -> None:
    zone_names = set(service.zones)
    zone_names.update(u.zone for u in service.upstream_by_id.values())
    for zone in sorted(zone_names - configuration.zone_by_name.keys()):
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


def pin_version(
    configuration: Configuration,
    route_name: str,
    hash_value: int,
    blocked: Container[tuple[str, str]] = (),
) -> PinnedMap:
    """Choose the version that a request reads and pin its partition map.

    Args:
        configuration: Configuration in force.
        route_name: Name of the route.
        hash_value: Integer that is uniform over requests; equal values give
            equal choices.
        blocked: Pairs of route and version that get no new requests from
            this entry.

    Returns:
        Pinned partition map of the chosen version.

    Raises:
        UnknownRouteError: The route is not defined.

    Examples:
        >>> route = Route("permits", "v1", {"v1": Version("v1", 1, ("a",))})
        >>> configuration = Configuration(route_by_name={"permits": route})
        >>> pin_version(configuration, "permits", 7).services
        ('a',)
    """
    if route_name not in configuration.route_by_name:
        raise UnknownRouteError(f"route {route_name!r} is not defined")
    route = configuration.route_by_name[route_name]
    version_name = route.stable
    move = configuration.move_by_route.get(route_name)
    if move is not None and move.new in route.version_by_name:
        share = traffic_share(move)
        is_chosen = hash_value % HASH_BUCKETS < share * HASH_BUCKETS
        if is_chosen and (route_name, move.new) not in blocked:
            version_name = move.new
    version = route.version_by_name[version_name]
    return PinnedMap(
        Snapshot(version.name, version.partition), version.services
    )


def live_versions(configuration: Configuration, service: str) -> set[str]:
    """Return the versions of a service that at least one route may read."""
    return {
        version.name
        for route in configuration.route_by_name.values()
        for version in route.version_by_name.values()
        if service in version.services
    }


def serving_upstreams(
    configuration: Configuration, service_name: str, version: str
) -> list[Upstream]:
    """Return the upstreams that may get new requests.

    Args:
        configuration: Configuration in force.
        service_name: Name of the service.
        version: Index version or software version.

    Returns:
        Upstreams of the version that are in state `SERVING`, in a zone that
        is `IN` and that serves the service.
    """
    service = configuration.service_by_name.get(service_name)
    if service is None:
        return []
    return [
        upstream
        for upstream in service.upstream_by_id.values()
        if upstream.version == version
        and upstream.state is UpstreamState.SERVING
        and (not service.zones or upstream.zone in service.zones)
        and configuration.zone_by_name[upstream.zone].state is ZoneState.IN
    ]
