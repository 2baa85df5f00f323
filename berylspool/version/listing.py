"""Listing of upstreams that were discovered, and what it means for pools."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from berylspool.version import move as moves
from berylspool.version.configuration import (
    Configuration,
    Limits,
    Route,
    Service,
    Upstream,
    UpstreamState,
    Version,
    Zone,
)
from berylspool.version.forwarding import (
    STABLE,
    ForwardPlan,
    ForwardService,
)
from berylspool.version.move import Move, MoveState
from berylspool.version.pool.aperture import connection_share

__all__ = [
    "ListedUpstream",
    "Listing",
    "SharedBounds",
    "assemble",
    "changed_listing",
    "cold_rate",
    "difference",
]

# Pools need a route that reads each service; plans have routes of their own.
ALL_SERVICES = "all services"
# What is saved up can be spent in one window together with all that the window
# gains, so the two add up to what the window allows.
SAVED_SHARE = 0.5
# A balance that cannot reach one whole copy is never spent.
LEAST_SAVED = 1.0
# Two requests at once are seldom more at an entry that shares with many.
BUSY_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """One upstream as the platform lists it.

    Attributes:
        service: Service that it belongs to.
        upstream: Identity, address, zone, software version and state.
        slots: Requests that it runs at once.
    """

    service: str
    upstream: Upstream
    slots: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All listed upstreams at one reading.

    Attributes:
        epoch: Term of the leader that read it; a later leader has a higher
            one.
        serial: Number of the change within the epoch.
        listed_by_id: The upstreams.
    """

    epoch: int = 0
    serial: int = 0
    listed_by_id: dict[str, ListedUpstream] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SharedBounds:
    """What all entries together may do to upstreams.

    Attributes:
        entries: Entries that share each upstream.
        extra_copies: Copies beyond the first that a service may get in each
            window, beside those that requests earn.
        extra_window_s: Length of that window, in seconds.
        cold_factor: Times the stated rate that a cold upstream may get.
        cold_slack: Requests in any second beyond that.
        busy: Entries that have requests, and so share the copies; 0 if all.
    """

    entries: int = 1
    extra_copies: float = 0.0
    extra_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    busy: int = 0


def difference(
    before: Mapping[str, ListedUpstream], after: Mapping[str, ListedUpstream]
) -> tuple[tuple[ListedUpstream, ...], tuple[str, ...]]:
    """Return which upstreams are new or changed, and which are gone."""
    changed = tuple(
        item for id, item in after.items() if before.get(id) != item
    )
    return changed, tuple(id for id in before if id not in after)


def changed_listing(
    listing: Listing,
    epoch: int,
    serial: int,
    changed: Iterable[ListedUpstream],
    gone: Iterable[str],
) -> Listing:
    """Return the listing that a difference leads to."""
    left = set(gone)
    listed = {
        id: item for id, item in listing.listed_by_id.items() if id not in left
    }
    listed.update((item.upstream.id, item) for item in changed)
    return Listing(epoch, serial, listed)


def assemble(
    revision: int,
    plan: ForwardPlan,
    listing: Listing,
    stated: Configuration,
    sharing: SharedBounds,
) -> Configuration:
    """Return what pools must know: services with their upstreams and limits.

    A service that moves between software versions has a pool for the new
    version; all other upstreams that may serve are in its stable pool.

    Args:
        revision: Number of the result.
        plan: Forwarding plan in force.
        listing: Upstreams that are listed.
        stated: What operators have stated of zones and moves.
        sharing: What all entries together may do.

    Returns:
        A configuration for the routing of one entry.
    """
    upstreams_by_service: dict[str, dict[str, Upstream]] = {
        name: {} for name in plan.service_by_name
    }
    slots_by_service: dict[str, int] = {}
    for item in listing.listed_by_id.values():
        upstreams = upstreams_by_service.get(item.service)
        if upstreams is None:
            continue
        version = _pool_version(stated, item)
        if version is None:
            continue
        upstream = replace(item.upstream, version=version)
        upstreams[upstream.id] = upstream
        slots = max(slots_by_service.get(item.service, 1), item.slots)
        slots_by_service[item.service] = slots
    services = {
        name: Service(
            name,
            (),
            _limits(service, slots_by_service.get(name, 1), sharing),
            upstreams_by_service[name],
        )
        for name, service in plan.service_by_name.items()
    }
    zones = {
        upstream.zone: stated.zone_by_name.get(
            upstream.zone, Zone(upstream.zone)
        )
        for service in services.values()
        for upstream in service.upstream_by_id.values()
    }
    versions = {STABLE: Version(STABLE, plan.number, tuple(services))}
    for name, move in stated.move_by_route.items():
        if name in services and move.state not in moves.ENDED:
            versions[move.new] = Version(move.new, plan.number, (name,))
    routes = {ALL_SERVICES: Route(ALL_SERVICES, STABLE, versions)}
    return Configuration(revision, zones, services, routes)


def _limits(
    service: ForwardService, slots: int, sharing: SharedBounds
) -> Limits:
    """Return what one entry may do to an upstream of a service."""
    sharers = max(1, sharing.entries)
    share = connection_share(service.connections, sharers)
    extra_copies = sharing.extra_copies / max(1, sharing.busy or sharers)
    saved = min(extra_copies, max(LEAST_SAVED, SAVED_SHARE * extra_copies))
    # Callers are spread unevenly, so a busy entry may go beyond its share.
    least = 1 if share >= 1.0 else BUSY_CONNECTIONS
    return Limits(
        slots=slots,
        connections=max(least, service.connections // sharers),
        cold_slots=slots,
        ramp_s=0.0,
        extra_copies=saved,
        extra_per_s=(extra_copies - saved) / sharing.extra_window_s,
        cold_s=service.cold_s,
        cold_per_s=cold_rate(service.cold_per_s, sharing),
        share=share,
    )


def cold_rate(per_s: float, sharing: SharedBounds) -> float | None:
    """Return an entry's share of the rate that a cold upstream bears.

    Each entry may send one request at any moment, which the slack has to
    cover; what the rate gains on that is shared evenly.

    Args:
        per_s: Requests a second that it bears from all entries; 0 for any.
        sharing: What all entries together may do.

    Examples:
        >>> bounds = SharedBounds(entries=4, cold_factor=1.5, cold_slack=5.0)
        >>> cold_rate(8.0, bounds), cold_rate(0.0, bounds)
        (3.0, None)
    """
    if per_s <= 0:
        return None
    sharers = max(1, sharing.entries)
    bound = per_s * sharing.cold_factor + min(0.0, sharing.cold_slack - sharers)
    return max(0.0, bound / sharers)


def _pool_version(stated: Configuration, item: ListedUpstream) -> str | None:
    """Return the pool of an upstream, or None if it must get no requests."""
    if item.upstream.state is not UpstreamState.SERVING:
        return None
    version = item.upstream.version
    route = stated.route_by_name.get(item.service)
    move: Move | None = stated.move_by_route.get(item.service)
    if route is None or move is None:
        return STABLE
    if version in route.blocked and move.state in (
        MoveState.TAKEN_BACK,
        MoveState.TAKING_BACK,
    ):
        return None
    if move.state is MoveState.DONE:
        return STABLE if version == move.new else None
    return version if version == move.new else STABLE
