"""Rows of the `show` command: current state as the control leader sees it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from berylspool.process.control import membership
from berylspool.process.control.move_control import MoveControl
from berylspool.process.group.message import Group
from berylspool.process.group.state_machine import ControlState
from berylspool.version.canary_analysis import RouteObservations, summarize
from berylspool.version.configuration import Configuration
from berylspool.version.duty.schedule import CallOutcome
from berylspool.version.move import traffic_share
from berylspool.version.operator_command import Condition, Show

__all__ = ["ControlView", "Row", "configuration_difference", "select_rows"]

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ControlView:
    """State that the `show` command reads.

    Attributes:
        state: Replicated state.
        membership: Entries that have sent heartbeats to this node.
        move_control: Observations of the moves in progress.
        calls_by_outcome: Calls of duties that this node made, by outcome.
        report_age_s: Time since the end of the latest window whose usage was
            reported, in seconds; None if none was.
        group: Voters and learners among the control nodes.
        leader: Name of the leader.
        term: Current term.
        now: Monotonic time in seconds.
        wall_time: Seconds since the epoch.
    """

    state: ControlState
    membership: membership.Membership
    move_control: MoveControl
    calls_by_outcome: Mapping[str, int]
    report_age_s: float | None
    group: Group
    leader: str
    term: int
    now: float
    wall_time: float


def select_rows(view: ControlView, show: Show) -> list[Row]:
    """Return the rows of a subject that meet all conditions.

    Args:
        view: State to read.
        show: Subject and conditions.

    Returns:
        Rows with the same columns, in a stable order.
    """
    rows = ROW_BUILDER_BY_SUBJECT[show.subject](view)
    return [
        row for row in rows if all(_matches(row, c) for c in show.conditions)
    ]


def configuration_difference(
    before: Configuration, after: Configuration
) -> list[Row]:
    """Return a row for each object that differs, for a dry run."""
    kinds = (
        ("zone", before.zone_by_name, after.zone_by_name),
        ("service", before.service_by_name, after.service_by_name),
        ("route", before.route_by_name, after.route_by_name),
        ("move", before.move_by_route, after.move_by_route),
    )
    return [
        {
            "kind": kind,
            "name": name,
            "before": str(old.get(name, "")),  # type: ignore[attr-defined]
            "after": str(new.get(name, "")),  # type: ignore[attr-defined]
        }
        for kind, old, new in kinds
        for name in sorted({*old, *new})
        if old.get(name) != new.get(name)  # type: ignore[attr-defined]
    ]


def _matches(row: Row, condition: Condition) -> bool:
    text = str(row.get(condition.column, ""))
    match condition.operator:
        case "=":
            return text == condition.value
        case "!=":
            return text != condition.value
        case _:
            return condition.value in text


def _service_rows(view: ControlView) -> list[Row]:
    return [
        {
            "service": service.name,
            "zones": ",".join(service.zones) or "all",
            "upstreams": len(service.upstream_by_id),
            "versions": ",".join(
                sorted({u.version for u in service.upstream_by_id.values()})
            ),
        }
        for service in view.state.configuration.service_by_name.values()
    ]


def _zone_rows(view: ControlView) -> list[Row]:
    upstreams = [
        upstream
        for service in view.state.configuration.service_by_name.values()
        for upstream in service.upstream_by_id.values()
    ]
    return [
        {
            "zone": zone.name,
            "state": str(zone.state),
            "upstreams": sum(u.zone == zone.name for u in upstreams),
        }
        for zone in view.state.configuration.zone_by_name.values()
    ]


def _version_rows(view: ControlView) -> list[Row]:
    return [
        {
            "route": route.name,
            "version": version.name,
            "partition": version.partition,
            "shards": len(version.services),
            "stable": version.name == route.stable,
            "blocked": version.name in route.blocked,
        }
        for route in view.state.configuration.route_by_name.values()
        for version in route.version_by_name.values()
    ]


def _route_rows(view: ControlView) -> list[Row]:
    return [
        {
            "route": route.name,
            "stable": route.stable,
            "versions": ",".join(route.version_by_name),
            "blocked": ",".join(route.blocked),
        }
        for route in view.state.configuration.route_by_name.values()
    ]


def _upstream_rows(view: ControlView) -> list[Row]:
    return [
        {
            "upstream": upstream.id,
            "service": service.name,
            "address": f"{upstream.host}:{upstream.port}",
            "zone": upstream.zone,
            "version": upstream.version,
            "state": str(upstream.state),
        }
        for service in view.state.configuration.service_by_name.values()
        for upstream in service.upstream_by_id.values()
    ]


def _move_rows(view: ControlView) -> list[Row]:
    rows = []
    for move in view.state.configuration.move_by_route.values():
        observations = view.move_control.observations_by_route.get(
            move.route, RouteObservations()
        )
        samples, failures, percentile_ms = summarize(observations, move.new)
        rows.append(
            {
                "route": move.route,
                "old": move.old,
                "new": move.new,
                "state": str(move.state),
                "share": traffic_share(move),
                "samples": samples,
                "failures": failures,
                "p95_ms": round(percentile_ms, 1),
                "left_s": round(max(0.0, move.deadline_at - view.wall_time), 1),
                "late": move.is_late,
                "cause": move.cause,
            }
        )
    return rows


def _member_rows(view: ControlView) -> list[Row]:
    active = view.state.active.member_by_name
    return [
        {
            "entry": name,
            "state": "leaving" if entry.is_leaving else "live",
            "owner": name in active,
            "revision": entry.revision,
            "heard_s": round(view.now - entry.heartbeat_at, 2),
            "peer": f"{entry.member.host}:{entry.member.port}",
        }
        for name, entry in sorted(view.membership.view_by_name.items())
    ]


def _limit_rows(view: ControlView) -> list[Row]:
    return [
        {
            "service": service.name,
            "slots": service.limits.slots,
            "connections": service.limits.connections,
            "cold_slots": service.limits.cold_slots,
            "ramp_s": service.limits.ramp_s,
        }
        for service in view.state.configuration.service_by_name.values()
    ]


def _history_rows(view: ControlView) -> list[Row]:
    return [
        {
            "revision": item.revision,
            "at": item.at,
            "who": item.who,
            "what": item.text,
        }
        for item in view.state.history
    ]


def _control_rows(view: ControlView) -> list[Row]:
    members = [(id, "voter") for id in view.group.voters]
    members += [(id, "learner") for id in view.group.learners]
    return [
        {
            "control": id.rpartition(".")[0],
            "id": id,
            "kind": kind,
            "leader": id.rpartition(".")[0] == view.leader,
        }
        for id, kind in members
    ]


def _duty_rows(view: ControlView) -> list[Row]:
    usage, age_s = view.state.usage, view.report_age_s
    return [
        {
            "duty": duty,
            "holder": held.holder,
            "token": held.token,
            "reported_window": usage.reported_window,
            "age_s": "" if age_s is None else round(age_s, 1),
            "waiting": len(usage.counts_by_window),
            **{
                str(outcome): view.calls_by_outcome.get(outcome, 0)
                for outcome in CallOutcome
            },
        }
        for duty, held in sorted(view.state.holder_by_duty.items())
    ]


def _status_rows(view: ControlView) -> list[Row]:
    revision = view.state.configuration.revision
    in_force_count, total, is_everywhere = membership.rollout_status(
        view.membership, revision, view.now
    )
    return [
        {
            "leader": view.leader,
            "term": view.term,
            "revision": revision,
            "in_force": f"{in_force_count} of {total}",
            "everywhere": is_everywhere,
            "epoch": view.state.active.epoch,
            "ledger_keys": len(view.state.entry_by_key),
        }
    ]


ROW_BUILDER_BY_SUBJECT: dict[str, Callable[[ControlView], list[Row]]] = {
    "services": _service_rows,
    "zones": _zone_rows,
    "versions": _version_rows,
    "routes": _route_rows,
    "upstreams": _upstream_rows,
    "moves": _move_rows,
    "members": _member_rows,
    "limits": _limit_rows,
    "history": _history_rows,
    "controls": _control_rows,
    "duties": _duty_rows,
    "status": _status_rows,
}
