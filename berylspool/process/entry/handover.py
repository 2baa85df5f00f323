"""Ownership of services at one entry: routing state, owners, hand-over."""

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
    """A part whose result is pending.

    Attributes:
        part: The part.
        origin: Request or session that receives the result.
        deadline: Moment at which the part times out, in monotonic seconds.
        owner: Entry that the part was sent to; None while it is held.
    """

    part: Part
    origin: Origin
    deadline: float
    owner: str | None = None


@dataclass(slots=True)
class Routing:
    """Routing state of an entry.

    Attributes:
        name: Name of this entry.
        sharing: How upstreams are divided among entries.
        configuration: Configuration in force.
        active: Table of members whose owners accept parts.
        proposed: Newer table that is not active yet.
        active_owners: Owner by service under the active table.
        proposed_owners: Owner by service under the proposed table.
        lease_until: Expiry of the lease, in monotonic seconds; new parts are
            refused from then on.
        is_shutting_down: Whether new parts from peers are refused because the
            process shuts down.
        pending_by_part: Parts whose result is pending, by part id.
        held: Ids of the parts that wait for an owner.
        pool_keys: Pools that run in this process.
        closing_keys: Those of these pools that accept no new parts.
        linked: Members whose link is open.
        blames: Newest blames, sent to each peer whose link opens.
        drained_epoch: Epoch of the newest proposed table that was reported as
            drained.
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
    """Return the entry that accepts parts of a service now.

    Returns:
        Name of a member; None while the service has no owner or is handed
        over to another.
    """
    if routing.sharing is Sharing.ALONE:
        return routing.name
    current = routing.active_owners.get(service)
    if routing.proposed is None:
        return current
    following = routing.proposed_owners.get(service)
    return current if current == following else None


def place_services(routing: Routing) -> None:
    """Recompute all owners after services were added or removed."""
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
    """Return the owners under a newer table, derived from the known ones."""
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
    """Start to drain the pools of services that this entry must not own."""
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
    """Stop a closing pool that has no parts left."""
    if key not in routing.closing_keys:
        return []
    routing.pool_keys.discard(key)
    routing.closing_keys.discard(key)
    return [StopPool(key), *report_drained(routing)]


def report_drained(routing: Routing) -> list[RoutingAction]:
    """Report the proposed table as drained, once, when no pool is closing."""
    if routing.proposed is None or routing.closing_keys:
        return []
    if routing.drained_epoch == routing.proposed.epoch:
        return []
    routing.drained_epoch = routing.proposed.epoch
    return [TableDrained(routing.proposed.epoch)]


def start_owned(routing: Routing) -> list[RoutingAction]:
    """Start the pools of all live versions of the owned services.

    Their connections are then open before the first part arrives.
    """
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
    """Start a pool unless it is already running."""
    if key in routing.pool_keys:
        return []
    routing.pool_keys.add(key)
    return [
        StartPool(key),
        ToPool(key, Leased(routing.lease_until)),
        ToPool(key, reconfigured(routing, key)),
    ]


def reconfigured(routing: Routing, key: PoolKey) -> Reconfigured:
    """Return a pool's upstreams and limits under the configuration."""
    service, version = key
    plan = routing.configuration.service_by_name.get(service)
    upstreams = serving_upstreams(routing.configuration, service, version)
    if plan is None:
        return Reconfigured(())
    return Reconfigured(tuple(upstreams), plan.limits)
