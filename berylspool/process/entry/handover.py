"""Ownership of services at one entry: state, owners and hand-over."""

from collections import deque
from dataclasses import dataclass, field

from berylspool.connection.message import MemberTable
from berylspool.process.entry.routing_message import (
    PoolKey,
    RoutingAction,
    Sharing,
    StartPool,
    StopPool,
    TableDrained,
    ToPool,
)
from berylspool.request.part_message import Origin
from berylspool.request.query import Part
from berylspool.version.configuration import (
    Configuration,
    live_versions,
    serving_upstreams,
)
from berylspool.version.placement import owners_after, owners_by_service
from berylspool.version.pool.message import (
    Blame,
    Closing,
    Leased,
    Reconfigured,
)

__all__ = [
    "Pending",
    "Routing",
    "close_moved",
    "on_drained",
    "owner",
    "owners_of_table",
    "place_services",
    "reconfigured",
    "report_drained",
    "start_owned",
    "start_pool",
]

KEPT_BLAMES = 256


@dataclass(slots=True)
class Pending:
    """A part whose result is awaited."""

    part: Part
    origin: Origin
    deadline: float
    owner: str | None = None


@dataclass(slots=True)
class Routing:
    """State of an entry's routing.

    Attributes:
        name: Name of this entry.
        sharing: How entries share upstreams.
        configuration: Configuration in force.
        active: Table whose owners admit.
        proposed: Newer table that is not active yet.
        active_owners: Owner by service under the active table.
        proposed_owners: Owner by service under the proposed table.
        lease_until: No new work is taken from this moment on, monotonic
            seconds.
        is_shutting_down: Whether the process takes no new parts.
        pending_by_part: Parts whose result is awaited.
        held: Parts that wait for an owner.
        pool_keys: Pools that run here.
        closing_keys: Pools of them that take no new parts.
        linked: Members whose link is open.
        blames: Newest blames, told to each peer whose link opens.
        drained_epoch: Newest proposed table that was reported as drained.
    """

    name: str
    sharing: Sharing = Sharing.OWNED
    configuration: Configuration = field(default_factory=Configuration)
    active: MemberTable = field(default_factory=MemberTable)
    proposed: MemberTable | None = None
    active_owners: dict[str, str] = field(default_factory=dict)
    proposed_owners: dict[str, str] = field(default_factory=dict)
    lease_until: float = 0.0
    is_shutting_down: bool = False
    pending_by_part: dict[str, Pending] = field(default_factory=dict)
    held: list[str] = field(default_factory=list)
    pool_keys: set[PoolKey] = field(default_factory=set)
    closing_keys: set[PoolKey] = field(default_factory=set)
    linked: set[str] = field(default_factory=set)
    blames: deque[Blame] = field(
        default_factory=lambda: deque(maxlen=KEPT_BLAMES)
    )
    drained_epoch: int = 0


def owner(routing: Routing, service: str) -> str | None:
    """Return the entry that may admit for a service now.

    Returns:
        A member's name, or None while the service changes its owner.
    """
    if routing.sharing is Sharing.ALONE:
        return routing.name
    current = routing.active_owners.get(service)
    if routing.proposed is None:
        return current
    following = routing.proposed_owners.get(service)
    return current if current == following else None


def place_services(routing: Routing) -> None:
    """Work out all owners anew, as services have come or gone."""
    services = routing.configuration.service_by_name
    routing.active_owners = owners_by_service(
        services, routing.active.member_by_name
    )
    routing.proposed_owners = {}
    if routing.proposed is not None:
        routing.proposed_owners = owners_by_service(
            services, routing.proposed.member_by_name
        )


def owners_of_table(routing: Routing, table: MemberTable) -> dict[str, str]:
    """Return the owners of a newer table, from those that are known."""
    known = routing.proposed or routing.active
    owners = routing.proposed_owners or routing.active_owners
    members = table.member_by_name
    if known.member_by_name == members:
        return owners
    if not known.member_by_name:
        services = routing.configuration.service_by_name
        return owners_by_service(services, members)
    return owners_after(owners, known.member_by_name, members)


def close_moved(routing: Routing) -> list[RoutingAction]:
    """Drain the pools of services that are owned elsewhere now."""
    if routing.sharing is Sharing.ALONE:
        return []
    moved = {
        key
        for key in routing.pool_keys - routing.closing_keys
        if owner(routing, key[0]) != routing.name
    }
    routing.closing_keys |= moved
    actions: list[RoutingAction] = [
        ToPool(key, Closing()) for key in sorted(moved)
    ]
    return actions + report_drained(routing)


def on_drained(routing: Routing, key: PoolKey) -> list[RoutingAction]:
    """Stop a pool that has nothing left."""
    if key not in routing.closing_keys:
        return []
    routing.pool_keys.discard(key)
    routing.closing_keys.discard(key)
    return [StopPool(key), *report_drained(routing)]


def report_drained(routing: Routing) -> list[RoutingAction]:
    """Tell control once nothing of a moved service is left."""
    if routing.proposed is None or routing.closing_keys:
        return []
    if routing.drained_epoch == routing.proposed.epoch:
        return []
    routing.drained_epoch = routing.proposed.epoch
    return [TableDrained(routing.proposed.epoch)]


def start_owned(routing: Routing) -> list[RoutingAction]:
    """Start the pools of all owned services, so that connections are open."""
    actions: list[RoutingAction] = []
    for service in sorted(routing.configuration.service_by_name):
        if owner(routing, service) != routing.name:
            continue
        for version in sorted(live_versions(routing.configuration, service)):
            key = (service, version)
            if key not in routing.closing_keys:
                actions += start_pool(routing, key)
    return actions


def start_pool(routing: Routing, key: PoolKey) -> list[RoutingAction]:
    """Start a pool unless it runs."""
    if key in routing.pool_keys:
        return []
    routing.pool_keys.add(key)
    return [
        StartPool(key),
        ToPool(key, Leased(routing.lease_until)),
        ToPool(key, reconfigured(routing, key)),
    ]


def reconfigured(routing: Routing, key: PoolKey) -> Reconfigured:
    """Return what a pool must know of the configuration."""
    service, version = key
    plan = routing.configuration.service_by_name.get(service)
    upstreams = serving_upstreams(routing.configuration, service, version)
    if plan is None:
        return Reconfigured(())
    return Reconfigured(tuple(upstreams), plan.limits)
