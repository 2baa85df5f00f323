"""Application of operations to a configuration, which adds one revision."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any, TypeVar

from berylspool.exception import CommandError, UnknownNameError
from berylspool.version import move as moves
from berylspool.version.configuration import (
    Configuration,
    Limits,
    Route,
    Service,
    Version,
    Zone,
    check_references,
)
from berylspool.version.move import Move, MoveState
from berylspool.version.operation import (
    AddUpstream,
    AddVersion,
    ClearVersion,
    CreateRoute,
    CreateService,
    CreateZone,
    FinishMove,
    MoveService,
    Operation,
    PauseMove,
    Publish,
    RemoveUpstream,
    RemoveVersion,
    ReplaceAll,
    ReplaceMove,
    ResumeMove,
    SetLimits,
    SetServiceZones,
    SetUpstream,
    SetZone,
    StartMove,
    TakeBackMove,
)

__all__ = ["apply_operations", "change_limits"]

MIN_MOVE_DURATION_S = 10.0
# Before its first move, a discovered service has no named stable version: its
# upstreams differ by software version only.  This name stands for all versions
# that carried its traffic until then.
INITIAL_STABLE_VERSION = "former"
LIMIT_NAMES = ("slots", "connections", "cold_slots", "ramp_s")


def apply_operations(
    configuration: Configuration,
    operations: tuple[Operation, ...],
    at: float,
) -> Configuration:
    """Apply operations as one change.

    Args:
        configuration: Configuration before the change.
        operations: Operations, applied in order.
        at: Time of the change, in seconds since the epoch.

    Returns:
        Configuration after the change, with the next revision.

    Raises:
        CommandError: An operation cannot be applied to the configuration.
        ConfigurationError: The result violates an invariant.
    """
    changed = configuration
    for operation in operations:
        changed = _apply(changed, operation, at)
    is_replaced = any(isinstance(o, ReplaceAll) for o in operations)
    check_references(changed, None if is_replaced else configuration)
    return replace(changed, revision=configuration.revision + 1)


def change_limits(
    limits: Limits, value_by_limit: Mapping[str, float]
) -> Limits:
    """Return limits with some values replaced.

    Args:
        limits: Limits before the change.
        value_by_limit: New values by name of the limit.

    Returns:
        Limits with the new values; the others are unchanged.

    Raises:
        CommandError: A limit is unknown or not a whole number, or the limits
            contradict each other.

    Examples:
        >>> change_limits(Limits(), {"slots": 5}).slots
        5
    """
    new_values: dict[str, Any] = {}
    for name, value in value_by_limit.items():
        if name not in LIMIT_NAMES:
            raise CommandError(f"unknown limit {name!r}")
        if name != "ramp_s" and not float(value).is_integer():
            raise CommandError(f"{name} is a whole number")
        new_values[name] = value if name == "ramp_s" else int(value)
    changed = replace(limits, **new_values)
    if not (
        1 <= changed.cold_slots <= changed.slots < changed.connections
        and changed.ramp_s >= 0
    ):
        raise CommandError("1 <= cold_slots <= slots < connections")
    return changed


T = TypeVar("T")


def _find(by_name: Mapping[str, T], kind: str, name: str) -> T:
    if name not in by_name:
        raise UnknownNameError(f"{kind} {name!r} does not exist")
    return by_name[name]


def _require_new(by_name: Mapping[str, object], kind: str, name: str) -> None:
    if name in by_name:
        raise CommandError(f"{kind} {name!r} exists already")


def _apply(
    configuration: Configuration, operation: Operation, at: float
) -> Configuration:
    match operation:
        case CreateZone(name=name):
            _require_new(configuration.zone_by_name, "zone", name)
            return _with_zone(configuration, Zone(name))
        case SetZone(name=name, state=state):
            _find(configuration.zone_by_name, "zone", name)
            return _with_zone(configuration, Zone(name, state))
        case CreateService(name=name, zones=zones, limits=limits):
            _require_new(configuration.service_by_name, "service", name)
            return _with_service(configuration, Service(name, zones, limits))
        case SetServiceZones(name=name, zones=zones):
            service = _find(configuration.service_by_name, "service", name)
            return _with_service(configuration, replace(service, zones=zones))
        case SetLimits(service=name, value_by_limit=value_by_limit):
            service = _find(configuration.service_by_name, "service", name)
            limits = change_limits(service.limits, value_by_limit)
            return _with_service(configuration, replace(service, limits=limits))
        case AddUpstream() | SetUpstream() | RemoveUpstream():
            return _apply_upstream(configuration, operation)
        case CreateRoute(name=name, version=version):
            _require_new(configuration.route_by_name, "route", name)
            route = Route(name, version.name, {version.name: version})
            return _with_route(configuration, route)
        case AddVersion() | RemoveVersion() | ClearVersion():
            return _apply_version(configuration, operation)
        case StartMove():
            return _start_move(configuration, operation, at)
        case ReplaceMove(before=before, after=after):
            current = configuration.move_by_route.get(before.route)
            if current != before:
                raise CommandError(f"move of {before.route!r} has changed")
            return _with_move(configuration, after)
        case PauseMove(route=name):
            return _step_move(configuration, name, moves.PauseRequested(), at)
        case ResumeMove(route=name):
            return _step_move(configuration, name, moves.ResumeRequested(), at)
        case TakeBackMove(route=name):
            return _step_move(
                configuration, name, moves.TakeBackRequested(), at
            )
        case FinishMove(route=name):
            return _step_move(configuration, name, moves.FinishRequested(), at)
        case ReplaceAll(configuration=replacement):
            return replace(replacement, revision=configuration.revision)
        case Publish(document=document):
            if document.number <= configuration.document.number:
                return configuration
            return replace(configuration, document=document)
        case MoveService():
            return _move_service(configuration, operation, at)


def _with_zone(configuration: Configuration, zone: Zone) -> Configuration:
    zone_by_name = {**configuration.zone_by_name, zone.name: zone}
    return replace(configuration, zone_by_name=zone_by_name)


def _with_service(
    configuration: Configuration, service: Service
) -> Configuration:
    service_by_name = {**configuration.service_by_name, service.name: service}
    return replace(configuration, service_by_name=service_by_name)


def _with_route(configuration: Configuration, route: Route) -> Configuration:
    route_by_name = {**configuration.route_by_name, route.name: route}
    return replace(configuration, route_by_name=route_by_name)


def _find_service_of(configuration: Configuration, upstream_id: str) -> Service:
    for service in configuration.service_by_name.values():
        if upstream_id in service.upstream_by_id:
            return service
    raise UnknownNameError(f"upstream {upstream_id!r} does not exist")


def _apply_upstream(
    configuration: Configuration,
    operation: AddUpstream | SetUpstream | RemoveUpstream,
) -> Configuration:
    match operation:
        case AddUpstream(service=name, upstream=upstream):
            service = _find(configuration.service_by_name, "service", name)
            for other in configuration.service_by_name.values():
                _require_new(other.upstream_by_id, "upstream", upstream.id)
            upstream_by_id = {**service.upstream_by_id, upstream.id: upstream}
        case SetUpstream(id=id, state=state):
            service = _find_service_of(configuration, id)
            changed = replace(service.upstream_by_id[id], state=state)
            upstream_by_id = {**service.upstream_by_id, id: changed}
        case RemoveUpstream(id=id):
            service = _find_service_of(configuration, id)
            upstream_by_id = dict(service.upstream_by_id)
            del upstream_by_id[id]
    return _with_service(
        configuration, replace(service, upstream_by_id=upstream_by_id)
    )


def _apply_version(
    configuration: Configuration,
    operation: AddVersion | RemoveVersion | ClearVersion,
) -> Configuration:
    route = _find(configuration.route_by_name, "route", operation.route)
    match operation:
        case AddVersion(version=version):
            _require_new(route.version_by_name, "version", version.name)
            version_by_name = {**route.version_by_name, version.name: version}
        case RemoveVersion(version=name):
            _find(route.version_by_name, "version", name)
            move = configuration.move_by_route.get(route.name)
            is_moving = move and move.state not in moves.ENDED_STATES
            if name == route.stable or (
                move and is_moving and name in (move.old, move.new)
            ):
                raise CommandError(f"version {name!r} carries traffic")
            version_by_name = dict(route.version_by_name)
            del version_by_name[name]
        case ClearVersion(version=name):
            if name not in route.blocked:
                raise CommandError(f"version {name!r} is not blocked")
            still_blocked = tuple(b for b in route.blocked if b != name)
            return _with_route(
                configuration, replace(route, blocked=still_blocked)
            )
    return _with_route(
        configuration, replace(route, version_by_name=version_by_name)
    )


def _start_move(
    configuration: Configuration, operation: StartMove, at: float
) -> Configuration:
    route = _find(configuration.route_by_name, "route", operation.route)
    _find(route.version_by_name, "version", operation.version)
    current_move = configuration.move_by_route.get(route.name)
    if (
        current_move is not None
        and current_move.state not in moves.ENDED_STATES
    ):
        raise CommandError(f"route {route.name!r} is moving already")
    if operation.version == route.stable:
        raise CommandError(f"route {route.name!r} is on it already")
    if operation.version in route.blocked:
        raise CommandError(
            f"version {operation.version!r} was taken back; clear it first"
        )
    if operation.within_s < MIN_MOVE_DURATION_S:
        raise CommandError(f"a move takes {MIN_MOVE_DURATION_S:g} s at least")
    move = Move(
        route.name,
        route.stable,
        operation.version,
        started_at=at,
        deadline_at=at + operation.within_s,
        stage_at=at,
    )
    return _with_move(configuration, move)


def _move_service(
    configuration: Configuration, operation: MoveService, at: float
) -> Configuration:
    name, new = operation.service, operation.version
    current_move = configuration.move_by_route.get(name)
    if current_move is not None and current_move.new == new:
        return configuration
    current_route = configuration.route_by_name.get(name)
    stable = current_route.stable if current_route else INITIAL_STABLE_VERSION
    version_by_name = {v: Version(v, 1, ()) for v in (stable, new)}
    blocked = (
        tuple(b for b in current_route.blocked if b != new)
        if current_route
        else ()
    )
    route = Route(name, stable, version_by_name, blocked)
    move = Move(
        name,
        stable,
        new,
        started_at=at,
        deadline_at=at + operation.within_s,
        stage_at=at,
    )
    return _with_move(_with_route(configuration, route), move)


def _step_move(
    configuration: Configuration,
    route_name: str,
    event: moves.MoveEvent,
    at: float,
) -> Configuration:
    move = _find(configuration.move_by_route, "move of route", route_name)
    changed = moves.step(move, event, at)
    if changed is move:
        raise CommandError(f"move of {route_name!r} is {move.state}")
    return _with_move(configuration, changed)


def _with_move(configuration: Configuration, move: Move) -> Configuration:
    """Set a move, and update its route if the move changes it.

    A move that is done makes its new version stable; one that is taken back
    blocks its new version.
    """
    move_by_route = {**configuration.move_by_route, move.route: move}
    changed = replace(configuration, move_by_route=move_by_route)
    route = configuration.route_by_name[move.route]
    match move.state:
        case MoveState.DONE:
            return _with_route(changed, replace(route, stable=move.new))
        case MoveState.TAKING_BACK | MoveState.TAKEN_BACK if (
            move.new not in route.blocked
        ):
            blocked = (*route.blocked, move.new)
            return _with_route(changed, replace(route, blocked=blocked))
    return changed
