"""Decisions of an entry: which process and which pool answers a part.

Each service has one owner among the members of the active table.  While a
newer table is proposed, services that change their owner are held; the
former owner drains its pools and says so.  Without a lease nothing new is
taken.
"""

from collections import deque
from dataclasses import dataclass, field

from berylspool.connection.message import AskPart, DropPart, MemberTable
from berylspool.process.routing_message import (
    BlameHeard,
    BlameRaised,
    ConfigurationChanged,
    LeaseSet,
    LinkDown,
    LinkUp,
    Origin,
    PartDropped,
    PartWanted,
    PoolDrained,
    PoolKey,
    ResultCame,
    RoutingAction,
    RoutingEvent,
    SessionClosed,
    Sharing,
    ShuttingDown,
    StartPool,
    StopPool,
    TableChanged,
    TableDrained,
    ToOrigin,
    ToPeer,
    ToPeers,
    ToPool,
    Woken,
)
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Reason,
)
from berylspool.version.configuration import (
    Configuration,
    live_versions,
    serving_upstreams,
)
from berylspool.version.placement import owners_after, owners_by_service
from berylspool.version.pool_message import (
    Blame,
    Blamed,
    Closing,
    Leased,
    PartArrived,
    PartCancelled,
    Reconfigured,
)

__all__ = ["Routing", "owner", "step"]

RETRY_AFTER_S = 0.5
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


def step(
    routing: Routing, event: RoutingEvent, now: float
) -> list[RoutingAction]:
    """Apply one event to the routing.

    Args:
        routing: State to change in place.
        event: What happened.
        now: Monotonic time in seconds.

    Returns:
        Actions for the router task, in order.
    """
    match event:
        case PartWanted(origin=origin, part=part):
            return _want(routing, origin, part, now)
        case PartDropped(part_id=part_id):
            return _drop(routing, part_id)
        case ResultCame(result=result):
            return _result(routing, result, now)
        case LinkUp(member=member):
            routing.linked.add(member)
            blames = [ToPeer(member, blame) for blame in routing.blames]
            return [*blames, *_release(routing, now)]
        case LinkDown(member=member):
            return _link_down(routing, member, now)
        case SessionClosed(session_id=session_id):
            return _session_closed(routing, session_id)
        case TableChanged(table=table):
            return _table(routing, table, now)
        case ConfigurationChanged(configuration=configuration):
            return _configure(routing, configuration)
        case LeaseSet(until=until):
            routing.lease_until = max(routing.lease_until, until)
            return [
                ToPool(key, Leased(routing.lease_until))
                for key in sorted(routing.pool_keys)
            ]
        case PoolDrained(key=key):
            return _drained(routing, key)
        case BlameRaised(blame=blame):
            routing.blames.append(blame)
            return [ToPeers(blame), *_spread(routing, blame)]
        case BlameHeard(blame=blame):
            return _spread(routing, blame)
        case ShuttingDown():
            routing.is_shutting_down = True
            return []
        case Woken():
            return _release(routing, now)


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


def _place_services(routing: Routing) -> None:
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


def _owners_of_table(routing: Routing, table: MemberTable) -> dict[str, str]:
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


def _want(
    routing: Routing, origin: Origin, part: Part, now: float
) -> list[RoutingAction]:
    refusal = _refusal(routing, origin, part, now)
    if refusal is not None:
        refused = PartRefused(part.id, refusal, RETRY_AFTER_S)
        return [ToOrigin(origin, refused)]
    known = routing.pending_by_part.get(part.id)
    if known is not None:
        # The peer asks again on a new link; its old session may end later.
        known.origin = origin
        return []
    pending = Pending(part, origin, now + part.timeout_s)
    routing.pending_by_part[part.id] = pending
    return _place(routing, pending, now)


def _refusal(
    routing: Routing, origin: Origin, part: Part, now: float
) -> Reason | None:
    if now >= routing.lease_until:
        return Reason.LEASE_EXPIRED
    if origin.is_session and owner(routing, part.service) != routing.name:
        return Reason.NO_OWNER
    if origin.is_session and routing.is_shutting_down:
        return Reason.NO_OWNER
    return None


def _place(
    routing: Routing, pending: Pending, now: float
) -> list[RoutingAction]:
    """Send a part to its owner, or hold it while there is none."""
    part = pending.part
    found = owner(routing, part.service)
    if found is None or not (found == routing.name or found in routing.linked):
        routing.held.append(part.id)
        return []
    if found != routing.name:
        pending.owner = found
        return [ToPeer(found, AskPart(part))]
    key = (part.service, part.snapshot.version)
    if key in routing.closing_keys:
        routing.held.append(part.id)
        return []
    pending.owner = found
    return [*_start_pool(routing, key), ToPool(key, PartArrived(part))]


def _start_pool(routing: Routing, key: PoolKey) -> list[RoutingAction]:
    if key in routing.pool_keys:
        return []
    routing.pool_keys.add(key)
    return [
        StartPool(key),
        ToPool(key, Leased(routing.lease_until)),
        ToPool(key, _reconfigured(routing, key)),
    ]


def _reconfigured(routing: Routing, key: PoolKey) -> Reconfigured:
    service, version = key
    plan = routing.configuration.service_by_name.get(service)
    upstreams = serving_upstreams(routing.configuration, service, version)
    if plan is None:
        return Reconfigured(())
    return Reconfigured(tuple(upstreams), plan.limits)


def _drop(routing: Routing, part_id: str) -> list[RoutingAction]:
    pending = routing.pending_by_part.get(part_id)
    if pending is None or not pending.part.idempotent:
        return []
    del routing.pending_by_part[part_id]
    return _cancel(routing, pending)


def _cancel(routing: Routing, pending: Pending) -> list[RoutingAction]:
    part = pending.part
    if pending.owner is None:
        return []
    if pending.owner != routing.name:
        return [ToPeer(pending.owner, DropPart(part.id))]
    key = (part.service, part.snapshot.version)
    return [ToPool(key, PartCancelled(part.id))]


def _result(
    routing: Routing, result: PartResult, now: float
) -> list[RoutingAction]:
    pending = routing.pending_by_part.get(result.part_id)
    if pending is None:
        return []
    match result:
        case PartRefused(reason=Reason.NO_OWNER | Reason.SHUTTING_DOWN) if (
            not pending.origin.is_session and now < pending.deadline
        ):
            # Nothing ran; the owner has just changed, so wait for the table.
            pending.owner = None
            routing.held.append(result.part_id)
            return []
        case PartRows() | PartRefused() | PartFailed():
            del routing.pending_by_part[result.part_id]
            return [ToOrigin(pending.origin, result)]


def _release(routing: Routing, now: float) -> list[RoutingAction]:
    """Try the held parts again; refuse those whose time is over."""
    held, routing.held = routing.held, []
    actions: list[RoutingAction] = []
    for part_id in held:
        pending = routing.pending_by_part.get(part_id)
        if pending is None:
            continue
        if now < pending.deadline:
            actions += _place(routing, pending, now)
            continue
        del routing.pending_by_part[part_id]
        refused = PartRefused(part_id, Reason.NO_OWNER, RETRY_AFTER_S)
        actions.append(ToOrigin(pending.origin, refused))
    return actions


def _link_down(
    routing: Routing, member: str, now: float
) -> list[RoutingAction]:
    routing.linked.discard(member)
    actions: list[RoutingAction] = []
    lost = [
        pending
        for pending in routing.pending_by_part.values()
        if pending.owner == member and member != routing.name
    ]
    for pending in lost:
        if pending.part.idempotent and now < pending.deadline:
            pending.owner = None
            routing.held.append(pending.part.id)
            continue
        del routing.pending_by_part[pending.part.id]
        failed = PartFailed(pending.part.id, Reason.CONNECTION_LOST, 0)
        actions.append(ToOrigin(pending.origin, failed))
    return actions


def _session_closed(routing: Routing, session_id: str) -> list[RoutingAction]:
    origin = Origin(session_id, is_session=True)
    actions: list[RoutingAction] = []
    for part_id, pending in list(routing.pending_by_part.items()):
        if pending.origin == origin and pending.part.idempotent:
            del routing.pending_by_part[part_id]
            actions += _cancel(routing, pending)
    return actions


def _table(
    routing: Routing, table: MemberTable, now: float
) -> list[RoutingAction]:
    newest = max(
        routing.active.epoch,
        routing.proposed.epoch if routing.proposed else 0,
    )
    if table.epoch < newest:
        return []
    if table.is_active:
        routing.active_owners = _owners_of_table(routing, table)
        routing.active, routing.proposed = table, None
        routing.proposed_owners = {}
        return _warm(routing) + _close_moved(routing) + _release(routing, now)
    routing.proposed_owners = _owners_of_table(routing, table)
    routing.proposed = table
    return _close_moved(routing)


def _close_moved(routing: Routing) -> list[RoutingAction]:
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
    return actions + _report_drained(routing)


def _drained(routing: Routing, key: PoolKey) -> list[RoutingAction]:
    if key not in routing.closing_keys:
        return []
    routing.pool_keys.discard(key)
    routing.closing_keys.discard(key)
    return [StopPool(key), *_report_drained(routing)]


def _report_drained(routing: Routing) -> list[RoutingAction]:
    if routing.proposed is None or routing.closing_keys:
        return []
    if routing.drained_epoch == routing.proposed.epoch:
        return []
    routing.drained_epoch = routing.proposed.epoch
    return [TableDrained(routing.proposed.epoch)]


def _configure(
    routing: Routing, configuration: Configuration
) -> list[RoutingAction]:
    if configuration.revision < routing.configuration.revision:
        return []
    former = routing.configuration.service_by_name.keys()
    routing.configuration = configuration
    if configuration.service_by_name.keys() != former:
        _place_services(routing)
    actions: list[RoutingAction] = [
        ToPool(key, _reconfigured(routing, key))
        for key in sorted(routing.pool_keys)
    ]
    return actions + _warm(routing)


def _warm(routing: Routing) -> list[RoutingAction]:
    """Start the pools of all owned services, so that connections are open."""
    actions: list[RoutingAction] = []
    for service in sorted(routing.configuration.service_by_name):
        if owner(routing, service) != routing.name:
            continue
        for version in sorted(live_versions(routing.configuration, service)):
            key = (service, version)
            if key not in routing.closing_keys:
                actions += _start_pool(routing, key)
    return actions


def _spread(routing: Routing, blame: Blame) -> list[RoutingAction]:
    event = Blamed(blame.fingerprint, blame.verdict)
    return [ToPool(key, event) for key in sorted(routing.pool_keys)]
