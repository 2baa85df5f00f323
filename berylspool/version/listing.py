"""Listing of discovered upstreams and the pool configuration built from it."""

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
    STABLE_VERSION,
    ForwardPlan,
    ForwardService,
)
from berylspool.version.move import Move, MoveState
from berylspool.version.upstream.subsetting import connections_per_entry

__all__ = [
    "HELD_COPY_SHARE",
    "ListedUpstream",
    "Listing",
    "SharedLimits",
    "apply_difference",
    "build_pool_configuration",
    "entry_cold_rate",
    "listing_difference",
]

# Synthetic route that reads every service: pools exist only for services that a
# route of the configuration reads, and a forwarding plan has its own routes.
ALL_SERVICES_ROUTE = "all services"
# Share of the extra copies that entries hold in advance, in even parts. Control
# lends the rest to the entries that need it.
HELD_COPY_SHARE = 0.5
# An entry that shares an upstream with many others seldom has more than two
# concurrent requests for it.
MIN_SHARED_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """One upstream as the platform's discovery lists it.

    Attributes:
        service: Name of the service that it belongs to.
        upstream: Identity, address, zone, software version and state.
        slots: Number of requests that it runs concurrently.
    """

    service: str
    upstream: Upstream
    slots: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All listed upstreams, as read from discovery at one time.

    Attributes:
        epoch: Term of the control leader that read the listing; it rises
            with each new leader.
        serial: Number of the change within the epoch.
        listed_by_id: Listed upstreams by upstream id.
    """

    epoch: int = 0
    serial: int = 0
    listed_by_id: dict[str, ListedUpstream] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """Limits that hold for all entries together.

    Attributes:
        entries: Number of entries that share each upstream.
        extra_copies: Copies beyond the first that a service may get in each
            window, in addition to those that requests earn.
        cold_factor: Request rate that a cold upstream may get, as a multiple
            of its stated rate.
        cold_slack: Requests that it may get beyond that rate in any second.
        owners_by_service: Number of entries that run most parts for a service
            whose wide requests are divided.
        owned: Services for which this entry is one of them.
    """

    entries: int = 1
    extra_copies: float = 0.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    owners_by_service: Mapping[str, int] = field(default_factory=dict)
    owned: frozenset[str] = frozenset()


def listing_difference(
    before: Mapping[str, ListedUpstream], after: Mapping[str, ListedUpstream]
) -> tuple[tuple[ListedUpstream, ...], tuple[str, ...]]:
    """Return the difference between two listings.

    Args:
        before: Listed upstreams by id in the earlier listing.
        after: Listed upstreams by id in the later listing.

    Returns:
        Upstreams that are new or changed, and ids of those that are gone.
    """
    changed = tuple(
        listed for id, listed in after.items() if before.get(id) != listed
    )
    return changed, tuple(id for id in before if id not in after)


def apply_difference(
    listing: Listing,
    epoch: int,
    serial: int,
    changed: Iterable[ListedUpstream],
    gone: Iterable[str],
) -> Listing:
    """Return a listing with a difference applied.

    Args:
        listing: Listing before the difference.
        epoch: Epoch of the result.
        serial: Serial number of the result.
        changed: Upstreams that are new or changed.
        gone: Ids of upstreams that are no longer listed.
    """
    gone_ids = set(gone)
    listed_by_id = {
        id: listed
        for id, listed in listing.listed_by_id.items()
        if id not in gone_ids
    }
    listed_by_id.update((listed.upstream.id, listed) for listed in changed)
    return Listing(epoch, serial, listed_by_id)


def build_pool_configuration(
    revision: int,
    plan: ForwardPlan,
    listing: Listing,
    configuration: Configuration,
    shared_limits: SharedLimits,
) -> Configuration:
    """Build the configuration that pools of one entry are created from.

    A service that moves between software versions has a pool for the new
    version; all its other upstreams that may serve are in its stable pool.

    Args:
        revision: Revision of the result.
        plan: Forwarding plan in force.
        listing: Upstreams that are listed.
        configuration: Configuration with the operators' zones and moves.
        shared_limits: Limits that hold for all entries together.

    Returns:
        Configuration of services with their upstreams and with the limits of
        one entry.
    """
    upstreams_by_service: dict[str, dict[str, Upstream]] = {
        name: {} for name in plan.service_by_name
    }
    slots_by_service: dict[str, int] = {}
    for listed in listing.listed_by_id.values():
        upstream_by_id = upstreams_by_service.get(listed.service)
        if upstream_by_id is None:
            continue
        version = _pool_version(configuration, listed)
        if version is None:
            continue
        upstream = replace(listed.upstream, version=version)
        upstream_by_id[upstream.id] = upstream
        slots = max(slots_by_service.get(listed.service, 1), listed.slots)
        slots_by_service[listed.service] = slots
    service_by_name = {
        name: Service(
            name,
            (),
            _entry_limits(
                service, slots_by_service.get(name, 1), shared_limits
            ),
            upstreams_by_service[name],
        )
        for name, service in plan.service_by_name.items()
    }
    zone_by_name = {
        upstream.zone: configuration.zone_by_name.get(
            upstream.zone, Zone(upstream.zone)
        )
        for service in service_by_name.values()
        for upstream in service.upstream_by_id.values()
    }
    version_by_name = {
        STABLE_VERSION: Version(
            STABLE_VERSION, plan.number, tuple(service_by_name)
        )
    }
    for name, move in configuration.move_by_route.items():
        if name in service_by_name and move.state not in moves.ENDED_STATES:
            version_by_name[move.new] = Version(move.new, plan.number, (name,))
    route_by_name = {
        ALL_SERVICES_ROUTE: Route(
            ALL_SERVICES_ROUTE, STABLE_VERSION, version_by_name
        )
    }
    return Configuration(revision, zone_by_name, service_by_name, route_by_name)


def _entry_limits(
    service: ForwardService, slots: int, shared_limits: SharedLimits
) -> Limits:
    """Return the limits of one entry on an upstream of a service."""
    owners = shared_limits.owners_by_service.get(service.name, 0)
    if owners:
        return _divided_limits(service, slots, shared_limits, owners)
    sharing_entries = max(1, shared_limits.entries)
    share = connections_per_entry(service.connections, sharing_entries)
    # Callers are spread unevenly over entries, so a busy entry may exceed its
    # even share.
    min_connections = 1 if share >= 1.0 else MIN_SHARED_CONNECTIONS
    return Limits(
        slots=slots,
        connections=max(
            min_connections, service.connections // sharing_entries
        ),
        cold_slots=slots,
        ramp_s=0.0,
        extra_copies=shared_limits.extra_copies
        * HELD_COPY_SHARE
        / sharing_entries,
        cold_s=service.cold_s,
        cold_per_s=entry_cold_rate(service.cold_per_s, shared_limits),
        share=share,
    )


def _divided_limits(
    service: ForwardService,
    slots: int,
    shared_limits: SharedLimits,
    owners: int,
) -> Limits:
    """Return the limits of one entry on an upstream of a divided service.

    Owners together and all entries together have half of the connections
    each.  Only owners hold extra copies in advance, as they send most parts.
    """
    is_owner = service.name in shared_limits.owned
    sharers = owners if is_owner else max(1, shared_limits.entries)
    share = connections_per_entry(service.connections // 2, sharers)
    extra_copies = shared_limits.extra_copies * HELD_COPY_SHARE / owners
    return Limits(
        slots=slots,
        connections=max(1, int(share)),
        cold_slots=slots,
        ramp_s=0.0,
        extra_copies=extra_copies if is_owner else 0.0,
        cold_s=service.cold_s,
        cold_per_s=entry_cold_rate(service.cold_per_s, shared_limits),
        share=share,
    )


def entry_cold_rate(per_s: float, shared_limits: SharedLimits) -> float | None:
    """Return one entry's share of the request rate of a cold upstream.

    Each entry may send one request at any moment, which counts against the
    slack. What the slack does not cover is subtracted from the rate, and the
    rest of the rate is divided evenly.

    Args:
        per_s: Requests per second that the upstream accepts from all entries
            together while it is cold; 0 for no limit.
        shared_limits: Limits that hold for all entries together.

    Returns:
        Requests per second of one entry; None for no limit.

    Examples:
        >>> limits = SharedLimits(entries=4, cold_factor=1.5, cold_slack=5.0)
        >>> entry_cold_rate(8.0, limits), entry_cold_rate(0.0, limits)
        (3.0, None)
    """
    if per_s <= 0:
        return None
    sharing_entries = max(1, shared_limits.entries)
    total_per_s = per_s * shared_limits.cold_factor + min(
        0.0, shared_limits.cold_slack - sharing_entries
    )
    return max(0.0, total_per_s / sharing_entries)


def _pool_version(
    configuration: Configuration, listed: ListedUpstream
) -> str | None:
    """Return the version whose pool holds an upstream; None for no pool."""
    if listed.upstream.state is not UpstreamState.SERVING:
        return None
    version = listed.upstream.version
    route = configuration.route_by_name.get(listed.service)
    move: Move | None = configuration.move_by_route.get(listed.service)
    if route is None or move is None:
        return STABLE_VERSION
    if version in route.blocked and move.state in (
        MoveState.TAKEN_BACK,
        MoveState.TAKING_BACK,
    ):
        return None
    if move.state is MoveState.DONE:
        return STABLE_VERSION if version == move.new else None
    return version if version == move.new else STABLE_VERSION
