"""Routing decisions of an entry: which entry and which pool serves a part.

Each service has one owner among the members of the active member table.
While a newer table is proposed, parts of services that change their owner are
held; the previous owner drains its pools and reports that to control.  Without
a lease, new parts are refused.
"""

from berylspool.connection.message import AskPart, DropPart, MemberTable
from berylspool.process.entry.ownership import (
    PendingPart,
    RoutingState,
    apply_configuration,
    close_moved_pools,
    derive_owners,
    ensure_pool,
    find_owner,
    start_owned_pools,
    stop_drained_pool,
)
from berylspool.process.entry.routing_message import (
    BlameRaised,
    BlameReceived,
    ConfigurationChanged,
    EntryClosing,
    HeldPartsRetryDue,
    LeaseGranted,
    LinkDown,
    LinkUp,
    LoanReceived,
    PoolDrained,
    ResultReceived,
    ResultsReceived,
    RoutingAction,
    RoutingEvent,
    SendAllToOrigin,
    SendToAllPeers,
    SendToOrigin,
    SendToPeer,
    SendToPool,
    SessionClosed,
    ShuttingDown,
    TableChanged,
)
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunPart,
    RunParts,
)
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Reason,
)
from berylspool.version.pool.message import (
    Blame,
    CloseRequested,
    CopiesLent,
    FingerprintBlamed,
    LeaseUpdated,
    PartArrived,
    PartCancelled,
)

__all__ = ["RoutingState", "find_owner", "step"]

REFUSAL_RETRY_AFTER_S = 0.5


def step(
    routing: RoutingState, event: RoutingEvent, now: float
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
        case ResultsReceived(results=results):
            return _handle_results(routing, results, now)
        case RunParts(origin=origin, parts=parts):
            return _accept_parts(routing, origin, parts, now)
        case RunPart(origin=origin, part=part):
            return _accept_part(routing, origin, part, now)
        case DiscardPart(part_id=part_id, is_caller_gone=is_caller_gone):
            return _discard_part(routing, part_id, is_caller_gone)
        case ResultReceived(result=result):
            return _handle_result(routing, result, now)
        case LinkUp(member=member):
            routing.linked_members.add(member)
            blames = [
                SendToPeer(member, blame) for blame in routing.recent_blames
            ]
            return [*blames, *_retry_held_parts(routing, now)]
        case LinkDown(member=member):
            return _handle_link_down(routing, member, now)
        case SessionClosed(session_id=session_id):
            return _cancel_session_parts(routing, session_id)
        case TableChanged(table=table):
            return _apply_table(routing, table, now)
        case ConfigurationChanged(configuration=configuration):
            return apply_configuration(routing, configuration)
        case LeaseGranted(until=until):
            routing.lease_until = max(routing.lease_until, until)
            return [
                SendToPool(key, LeaseUpdated(routing.lease_until))
                for key in sorted(routing.pool_keys)
            ]
        case LoanReceived(key=key, copies=copies):
            return [SendToPool(key, CopiesLent(copies))]
        case PoolDrained(key=key):
            return stop_drained_pool(routing, key)
        case BlameRaised(blame=blame):
            routing.recent_blames.append(blame)
            return [
                SendToAllPeers(blame),
                *_send_blame_to_pools(routing, blame),
            ]
        case BlameReceived(blame=blame):
            return _send_blame_to_pools(routing, blame)
        case ShuttingDown():
            routing.is_shutting_down = True
            return []
        case EntryClosing():
            routing.is_closing = True
            closes: list[RoutingAction] = [
                SendToPool(key, CloseRequested())
                for key in sorted(routing.pool_keys)
            ]
            return [*closes, *_refuse_held_parts(routing)]
        case HeldPartsRetryDue():
            return _retry_held_parts(routing, now)


def _accept_part(
    routing: RoutingState, origin: Origin, part: Part, now: float
) -> list[RoutingAction]:
    reason = _refusal_reason(routing, origin, part, now)
    if reason is not None:
        refusal = PartRefused(part.id, reason, REFUSAL_RETRY_AFTER_S)
        return [SendToOrigin(origin, refusal)]
    existing = routing.pending_by_part.get(part.id)
    if existing is not None:
        # The peer repeats its request on a new link; the session of the old
        # link may end later and must not cancel the part.
        existing.origin = origin
        return []
    pending = PendingPart(part, origin, now + part.timeout_s)
    routing.pending_by_part[part.id] = pending
    return _dispatch_part(routing, pending, now)


def _accept_parts(
    routing: RoutingState, origin: Origin, parts: list[Part], now: float
) -> list[RoutingAction]:
    """Accept the parts of a local request, all of them or none."""
    reason = _refusal_reason_for_all(routing, now)
    if reason is not None:
        refusals: list[PartResult] = [
            PartRefused(part.id, reason, REFUSAL_RETRY_AFTER_S)
            for part in parts
        ]
        return [SendAllToOrigin(origin, refusals)]
    actions: list[RoutingAction] = []
    pending_by_part = routing.pending_by_part
    for part in parts:
        pending = PendingPart(part, origin, now + part.timeout_s)
        pending_by_part[part.id] = pending
        actions += _dispatch_part(routing, pending, now)
    return actions


def _refusal_reason_for_all(routing: RoutingState, now: float) -> Reason | None:
    if now >= routing.lease_until:
        return Reason.LEASE_EXPIRED
    if routing.is_closing:
        return Reason.SHUTTING_DOWN
    return None


def _refusal_reason(
    routing: RoutingState, origin: Origin, part: Part, now: float
) -> Reason | None:
    reason = _refusal_reason_for_all(routing, now)
    if reason is not None:
        return reason
    if origin.is_session and find_owner(routing, part.service) != routing.name:
        return Reason.NO_OWNER
    if origin.is_session and routing.is_shutting_down:
        return Reason.NO_OWNER
    return None


def _dispatch_part(
    routing: RoutingState, pending: PendingPart, now: float
) -> list[RoutingAction]:
    """Send a part to the pool or peer that owns its service.

    The part is held while the service has no owner, the link to the owner is
    down or the pool is closing.
    """
    part = pending.part
    owner_name = find_owner(routing, part.service)
    if owner_name == routing.name:
        key = (part.service, part.snapshot.version)
        if key in routing.closing_pool_keys:
            routing.held_part_ids.append(part.id)
            return []
        pending.owner = owner_name
        arrival = SendToPool(key, PartArrived(part))
        if key in routing.pool_keys:
            return [arrival]
        return [*ensure_pool(routing, key), arrival]
    if owner_name is None or owner_name not in routing.linked_members:
        routing.held_part_ids.append(part.id)
        return []
    pending.owner = owner_name
    return [SendToPeer(owner_name, AskPart(part))]


def _discard_part(
    routing: RoutingState, part_id: str, is_caller_gone: bool
) -> list[RoutingAction]:
    pending = routing.pending_by_part.get(part_id)
    if pending is None:
        return []
    del routing.pending_by_part[part_id]
    return _cancel_part(routing, pending, is_caller_gone)


def _cancel_part(
    routing: RoutingState, pending: PendingPart, is_caller_gone: bool
) -> list[RoutingAction]:
    part = pending.part
    if pending.owner is None:
        return []
    if pending.owner != routing.name:
        return [SendToPeer(pending.owner, DropPart(part.id))]
    key = (part.service, part.snapshot.version)
    return [SendToPool(key, PartCancelled(part.id, is_caller_gone))]


def _handle_results(
    routing: RoutingState, results: list[PartResult], now: float
) -> list[RoutingAction]:
    """Pass results on; those of one request that came together, together."""
    actions: list[RoutingAction] = []
    latest = SendAllToOrigin(Origin(""), [])
    for result in results:
        pending = routing.pending_by_part.get(result.part_id)
        if pending is None:
            continue
        if not isinstance(result, PartRows):
            actions += _handle_result(routing, result, now)
            continue
        del routing.pending_by_part[result.part_id]
        if latest.origin is not pending.origin:
            latest = SendAllToOrigin(pending.origin, [])
            actions.append(latest)
        latest.results.append(result)
    return actions


def _handle_result(
    routing: RoutingState, result: PartResult, now: float
) -> list[RoutingAction]:
    pending = routing.pending_by_part.get(result.part_id)
    if pending is None:
        return []
    match result:
        case PartRefused(reason=Reason.NO_OWNER | Reason.SHUTTING_DOWN) if (
            not pending.origin.is_session
            and not routing.is_closing
            and now < pending.deadline
        ):
            # The part has not run: the owner has just changed, so the part is
            # held until the newer table arrives.
            pending.owner = None
            routing.held_part_ids.append(result.part_id)
            return []
        case PartRows() | PartRefused() | PartFailed():
            del routing.pending_by_part[result.part_id]
            return [SendToOrigin(pending.origin, result)]


def _retry_held_parts(routing: RoutingState, now: float) -> list[RoutingAction]:
    """Dispatch the held parts again; refuse those past their deadline."""
    held, routing.held_part_ids = routing.held_part_ids, []
    actions: list[RoutingAction] = []
    for part_id in held:
        pending = routing.pending_by_part.get(part_id)
        if pending is None:
            continue
        if now < pending.deadline:
            actions += _dispatch_part(routing, pending, now)
            continue
        del routing.pending_by_part[part_id]
        refusal = PartRefused(part_id, Reason.NO_OWNER, REFUSAL_RETRY_AFTER_S)
        actions.append(SendToOrigin(pending.origin, refusal))
    return actions


def _refuse_held_parts(routing: RoutingState) -> list[RoutingAction]:
    held, routing.held_part_ids = routing.held_part_ids, []
    actions: list[RoutingAction] = []
    for part_id in held:
        pending = routing.pending_by_part.pop(part_id, None)
        if pending is not None:
            refusal = PartRefused(part_id, Reason.SHUTTING_DOWN, 0.0)
            actions.append(SendToOrigin(pending.origin, refusal))
    return actions


def _handle_link_down(
    routing: RoutingState, member: str, now: float
) -> list[RoutingAction]:
    """Hold the idempotent parts that were sent to the peer; fail the others."""
    routing.linked_members.discard(member)
    actions: list[RoutingAction] = []
    affected = [
        pending
        for pending in routing.pending_by_part.values()
        if pending.owner == member and member != routing.name
    ]
    for pending in affected:
        if pending.part.idempotent and now < pending.deadline:
            pending.owner = None
            routing.held_part_ids.append(pending.part.id)
            continue
        del routing.pending_by_part[pending.part.id]
        failure = PartFailed(pending.part.id, Reason.CONNECTION_LOST, 0)
        actions.append(SendToOrigin(pending.origin, failure))
    return actions


def _cancel_session_parts(
    routing: RoutingState, session_id: str
) -> list[RoutingAction]:
    origin = Origin(session_id, is_session=True)
    actions: list[RoutingAction] = []
    for part_id, pending in list(routing.pending_by_part.items()):
        if pending.origin == origin:
            del routing.pending_by_part[part_id]
            actions += _cancel_part(routing, pending, is_caller_gone=True)
    return actions


def _apply_table(
    routing: RoutingState, table: MemberTable, now: float
) -> list[RoutingAction]:
    newest_epoch = max(
        routing.active_table.epoch,
        routing.proposed_table.epoch if routing.proposed_table else 0,
    )
    if table.epoch < newest_epoch:
        return []
    if table.is_active:
        routing.active_owners = derive_owners(routing, table)
        routing.active_table, routing.proposed_table = table, None
        routing.proposed_owners = {}
        return (
            start_owned_pools(routing)
            + close_moved_pools(routing)
            + _retry_held_parts(routing, now)
        )
    routing.proposed_owners = derive_owners(routing, table)
    routing.proposed_table = table
    return close_moved_pools(routing)


def _send_blame_to_pools(
    routing: RoutingState, blame: Blame
) -> list[RoutingAction]:
    event = FingerprintBlamed(blame.fingerprint, blame.verdict)
    return [SendToPool(key, event) for key in sorted(routing.pool_keys)]
