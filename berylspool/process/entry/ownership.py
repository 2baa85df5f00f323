"""Ownership of services at one entry: routing state, owners, hand-over."""

from collections import deque
from dataclasses import dataclass, field

from berylspool.connection.message import MemberTable
from berylspool.process.entry.routing_message import (
    ReportTableDrained,
    RoutingAction,
    SendToPool,
    Sharing,
    StartPool,
    StopPool,
)
from berylspool.request.part_message import Origin
from berylspool.request.query import Part
from berylspool.version.configuration import (
    Configuration,
    live_versions,
    serving_upstreams,
)
from berylspool.version.placement import owners_after_change, owners_by_service
from berylspool.version.pool.message import (
    Blame,
    CloseRequested,
    LeaseUpdated,
    PoolKey,
    PoolReconfigured,
)

__all__ = [
    "PendingPart",
    "RoutingState",
    "apply_configuration",
    "build_reconfiguration",
    "close_moved_pools",
    "derive_owners",
    "ensure_pool",
    "find_owner",
    "recompute_owners",
    "report_table_drained",
    "start_owned_pools",
    "stop_drained_pool",
]

MAX_RECENT_BLAMES = 256


@dataclass(slots=True)
class PendingPart:
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
class RoutingState:
    """Routing state of an entry.

    Attributes:
        name: Name of this entry.
        sharing: How upstreams are divided among entries.
        configuration: Configuration in force.
        active_table: Member table whose owners accept parts.
        proposed_table: Newer member table that is not active yet.
        active_owners: Owner by service under the active member table.
        proposed_owners: Owner by service under the proposed member table.
        lease_until: Expiry of the lease, in monotonic seconds; new parts are
            refused from then on.
        is_shutting_down: Whether new parts from peers are refused because the
            process shuts down.
        is_closing: Whether all new parts are refused because the process is
            about to exit.
        pending_by_part: Parts whose result is pending, by part id.
        held_part_ids: Ids of the parts that wait for an owner.
        pool_keys: Pools that run in this process.
        closing_pool_keys: Those of these pools that accept no new parts.
        linked_members: Members whose link is open.
        recent_blames: Newest `Blame` messages of this entry's pools, sent to
            each peer whose link opens.
        drained_epoch: Epoch of the newest proposed table that was reported as
            drained.
    """

    name: str
    sharing: Sharing = Sharing.OWNED
    configuration: Configuration = field(default_factory=Configuration)
    active_table: MemberTable = field(default_factory=MemberTable)
    proposed_table: MemberTable | None = None
    active_owners: dict[str, str] = field(default_factory=dict)
    proposed_owners: dict[str, str] = field(default_factory=dict)
    lease_until: float = 0.0
    is_shutting_down: bool = False
    is_closing: bool = False
    pending_by_part: dict[str, PendingPart] = field(default_factory=dict)
    held_part_ids: list[str] = field(default_factory=list)
    pool_keys: set[PoolKey] = field(default_factory=set)
    closing_pool_keys: set[PoolKey] = field(default_factory=set)
    linked_members: set[str] = field(default_factory=set)
    recent_blames: deque[Blame] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_BLAMES)
    )
    drained_epoch: int = 0


def find_owner(routing: RoutingState, service: str) -> str | None:
    """Return the entry that accepts parts of a service now.

    Returns:
        Name of a member; None while the service has no owner or is handed
        over to another.
    """
    if routing.sharing is Sharing.ALONE:
        return routing.name
    active_owner = routing.active_owners.get(service)
    if routing.proposed_table is None:
        return active_owner
    proposed_owner = routing.proposed_owners.get(service)
    return active_owner if active_owner == proposed_owner else None


def recompute_owners(routing: RoutingState) -> None:
    """Recompute all owners after services were added or removed."""
    services = routing.configuration.service_by_name
    routing.active_owners = owners_by_service(
        services, routing.active_table.member_by_name
    )
    routing.proposed_owners = {}
    if routing.proposed_table is not None:
        routing.proposed_owners = owners_by_service(
            services, routing.proposed_table.member_by_name
        )


def derive_owners(routing: RoutingState, table: MemberTable) -> dict[str, str]:
    """Return the owners under a newer member table.

    They are derived from the owners under the previous table, proposed or
    active, as placing every service from scratch costs more.
    """
    previous_table = routing.proposed_table or routing.active_table
    previous_owners = routing.proposed_owners or routing.active_owners
    members = table.member_by_name
    if previous_table.member_by_name == members:
        return previous_owners
    if not previous_table.member_by_name:
        services = routing.configuration.service_by_name
        return owners_by_service(services, members)
    return owners_after_change(
        previous_owners, previous_table.member_by_name, members
    )


def close_moved_pools(routing: RoutingState) -> list[RoutingAction]:
    """Close the pools of services that this entry loses, so that they drain."""
    if routing.sharing is Sharing.ALONE:
        return []
    moved_keys = {
        key
        for key in routing.pool_keys - routing.closing_pool_keys
        if find_owner(routing, key[0]) != routing.name
    }
    routing.closing_pool_keys |= moved_keys
    actions: list[RoutingAction] = [
        SendToPool(key, CloseRequested()) for key in sorted(moved_keys)
    ]
    return actions + report_table_drained(routing)


def stop_drained_pool(
    routing: RoutingState, key: PoolKey
) -> list[RoutingAction]:
    """Stop a closing pool that has no parts left."""
    if key not in routing.closing_pool_keys:
        return []
    routing.pool_keys.discard(key)
    routing.closing_pool_keys.discard(key)
    return [StopPool(key), *report_table_drained(routing)]


def report_table_drained(routing: RoutingState) -> list[RoutingAction]:
    """Report the proposed member table as drained, once no pool is closing.

    Each table is reported at most once.
    """
    if routing.proposed_table is None or routing.closing_pool_keys:
        return []
    if routing.drained_epoch == routing.proposed_table.epoch:
        return []
    routing.drained_epoch = routing.proposed_table.epoch
    return [ReportTableDrained(routing.proposed_table.epoch)]


def start_owned_pools(routing: RoutingState) -> list[RoutingAction]:
    """Start the pools of all live versions of the owned services.

    Their connections are then open before the first part arrives.
    """
    actions: list[RoutingAction] = []
    for service in sorted(routing.configuration.service_by_name):
        if find_owner(routing, service) != routing.name:
            continue
        for version in sorted(live_versions(routing.configuration, service)):
            key = (service, version)
            if key not in routing.closing_pool_keys:
                actions += ensure_pool(routing, key)
    return actions


def apply_configuration(
    routing: RoutingState, configuration: Configuration
) -> list[RoutingAction]:
    """Reconfigure the pools, and start those of services that are new."""
    if configuration.revision < routing.configuration.revision:
        return []
    previous_services = routing.configuration.service_by_name.keys()
    routing.configuration = configuration
    if configuration.service_by_name.keys() != previous_services:
        recompute_owners(routing)
    actions: list[RoutingAction] = [
        SendToPool(key, build_reconfiguration(routing, key))
        for key in sorted(routing.pool_keys)
    ]
    return actions + start_owned_pools(routing)


def ensure_pool(routing: RoutingState, key: PoolKey) -> list[RoutingAction]:
    """Start a pool unless it is already running."""
    if key in routing.pool_keys:
        return []
    routing.pool_keys.add(key)
    return [
        StartPool(key),
        SendToPool(key, LeaseUpdated(routing.lease_until)),
        SendToPool(key, build_reconfiguration(routing, key)),
    ]


def build_reconfiguration(
    routing: RoutingState, key: PoolKey
) -> PoolReconfigured:
    """Return a pool's upstreams and limits under the configuration."""
    service, version = key
    definition = routing.configuration.service_by_name.get(service)
    upstreams = serving_upstreams(routing.configuration, service, version)
    if definition is None:
        return PoolReconfigured(())
    return PoolReconfigured(tuple(upstreams), definition.limits)
