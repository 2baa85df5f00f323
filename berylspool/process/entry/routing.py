"""Routing decisions of an entry: which entry and which pool serves a part.

Each service has one owner among the members of the active table.  While a
newer table is proposed, parts of services that change their owner are held;
the previous owner drains its pools and reports that to control.  Without a
lease, new parts are refused.
"""

from berylspool.connection.message import AskPart, DropPart, MemberTable
from berylspool.process.entry.handover import (
    Pending,
    Routing,
    close_moved,
    on_drained,
    owner,
    owners_of_table,
    place_services,
    reconfigured,
    start_owned,
    start_pool,
)
from berylspool.process.entry.routing_message import (
    BlameHeard,
    BlameRaised,
    ConfigurationChanged,
    LeaseSet,
    LinkDown,
    LinkUp,
    PoolDrained,
    ResultCame,
    RoutingAction,
    RoutingEvent,
    SessionClosed,
    ShuttingDown,
    TableChanged,
    ToOrigin,
    ToPeer,
    ToPeers,
    ToPool,
    Woken,
)
from berylspool.request.part_message import Origin, PartDropped, PartWanted
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
)
from berylspool.version.pool.message import (
    Blame,
    Blamed,
    Leased,
    PartArrived,
    PartCancelled,
)

__all__ = ["Routing", "owner", "step"]

RETRY_AFTER_S = 0.5


def step(
    routing: Routing, event: RoutingEvent, now: float
) -> list[RoutingAction]:
    """Apply one event to the routing state.

    Args:
        routing: Routing state, changed in place.
        event: Event to apply.
        now: Monotonic time in seconds.

    Returns:
        Actions that the router task performs, in order.
    """
    match event:
        case PartWanted(origin=origin, part=part):
            return _want(routing, origin, part, now)
        case PartDropped(part_id=part_id, is_gone=is_gone):
            return _drop(routing, part_id, is_gone)
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
            return on_drained(routing, key)
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


def _want(
    routing: Routing, origin: Origin, part: Part, now: float
) -> list[RoutingAction]:
    refusal = _refusal(routing, origin, part, now)
    if refusal is not None:
        refused = PartRefused(part.id, refusal, RETRY_AFTER_S)
        return [ToOrigin(origin, refused)]
    known = routing.pending_by_part.get(part.id)
    if known is not None:
        # The peer repeats its request on a new link; the session of the old
        # link may end later and must not cancel the part.
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
    """Send a part to the pool or peer that owns its service.

    The part is held while the service has no owner, the link to the owner is
    down or the pool is closing.
    """
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
    return [*start_pool(routing, key), ToPool(key, PartArrived(part))]


def _drop(routing: Routing, part_id: str, is_gone: bool) -> list[RoutingAction]:
    pending = routing.pending_by_part.get(part_id)
    if pending is None or not pending.part.idempotent:
        return []
    del routing.pending_by_part[part_id]
    return _cancel(routing, pending, is_gone)


def _cancel(
    routing: Routing, pending: Pending, is_gone: bool
) -> list[RoutingAction]:
    part = pending.part
    if pending.owner is None:
        return []
    if pending.owner != routing.name:
        return [ToPeer(pending.owner, DropPart(part.id))]
    key = (part.service, part.snapshot.version)
    return [ToPool(key, PartCancelled(part.id, is_gone))]


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
            # The part has not run: the owner has just changed, so the part is
            # held until the newer table arrives.
            pending.owner = None
            routing.held.append(result.part_id)
            return []
        case PartRows() | PartRefused() | PartFailed():
            del routing.pending_by_part[result.part_id]
            return [ToOrigin(pending.origin, result)]


def _release(routing: Routing, now: float) -> list[RoutingAction]:
    """Place the held parts again; refuse those past their deadline."""
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
            actions += _cancel(routing, pending, is_gone=True)
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
        routing.active_owners = owners_of_table(routing, table)
        routing.active, routing.proposed = table, None
        routing.proposed_owners = {}
        return (
            start_owned(routing) + close_moved(routing) + _release(routing, now)
        )
    routing.proposed_owners = owners_of_table(routing, table)
    routing.proposed = table
    return close_moved(routing)


def _configure(
    routing: Routing, configuration: Configuration
) -> list[RoutingAction]:
    if configuration.revision < routing.configuration.revision:
        return []
    former = routing.configuration.service_by_name.keys()
    routing.configuration = configuration
    if configuration.service_by_name.keys() != former:
        place_services(routing)
    actions: list[RoutingAction] = [
        ToPool(key, reconfigured(routing, key))
        for key in sorted(routing.pool_keys)
    ]
    return actions + start_owned(routing)


def _spread(routing: Routing, blame: Blame) -> list[RoutingAction]:
    event = Blamed(blame.fingerprint, blame.verdict)
    return [ToPool(key, event) for key in sorted(routing.pool_keys)]
