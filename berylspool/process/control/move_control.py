"""Control of moves: sums tallies, compares versions and steps each move."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from berylspool.common.event import MoveChanged
from berylspool.connection.control_message import Tally
from berylspool.version import move as moves
from berylspool.version.canary_analysis import (
    RouteObservations,
    add_tally,
    compare_versions,
    start_stage,
)
from berylspool.version.configuration import (
    Configuration,
    serving_upstreams,
)
from berylspool.version.move import CanaryVerdict, Move, traffic_share

__all__ = ["MoveControl", "add_tallies", "move_changed_events", "step"]


@dataclass(slots=True)
class MoveControl:
    """Observations of the moves in progress.

    Attributes:
        observations_by_route: Observations since the stage of each route's move
            began, summed over all entries.
        stage_by_route: State and stage that these observations belong to.
    """

    observations_by_route: dict[str, RouteObservations] = field(
        default_factory=dict
    )
    stage_by_route: dict[str, tuple[str, int]] = field(default_factory=dict)


def add_tallies(control: MoveControl, tallies: Iterable[Tally]) -> None:
    """Add the tallies of one entry to the observations."""
    for tally in tallies:
        observations = control.observations_by_route.setdefault(
            tally.route, RouteObservations()
        )
        add_tally(
            observations,
            tally.version,
            tally.answered,
            tally.failed,
            tally.latency,
        )


def step(
    control: MoveControl, configuration: Configuration, now: float
) -> list[tuple[Move, Move]]:
    """Step every move that has not ended.

    Args:
        control: State to change in place.
        configuration: Newest committed configuration.
        now: Seconds since the epoch.

    Returns:
        A pair for each move that changes: the move before and after its step.
    """
    changed_moves = []
    for route, move in configuration.move_by_route.items():
        if move.state in moves.ENDED_STATES:
            continue
        observations = control.observations_by_route.setdefault(
            route, RouteObservations()
        )
        stage = (move.state.value, move.stage)
        if control.stage_by_route.get(route) != stage:
            control.stage_by_route[route] = stage
            start_stage(observations)
        verdict, cause = compare_versions(observations, move.old, move.new)
        if move.state is moves.MoveState.PREPARED:
            verdict = CanaryVerdict.OPEN
        is_ready = _is_ready(configuration, move)
        after = moves.step(
            move, moves.Evaluation(verdict, cause, is_ready), now
        )
        if after is not move:
            changed_moves.append((move, after))
    return changed_moves


def move_changed_events(
    before: Configuration, after: Configuration
) -> list[MoveChanged]:
    """Return a log event for each move that differs between two revisions."""
    return [
        MoveChanged(route, move.state, traffic_share(move), move.cause)
        for route, move in after.move_by_route.items()
        if before.move_by_route.get(route) != move
    ]


def _is_ready(configuration: Configuration, move: Move) -> bool:
    """Return whether the new version has an upstream for each shard."""
    route = configuration.route_by_name[move.route]
    version = route.version_by_name.get(move.new)
    if version is None:
        return False
    # Upstreams of discovered services are not known here, only to the entries.
    return all(
        serving_upstreams(configuration, service, version.name)
        for service in version.services
    )
