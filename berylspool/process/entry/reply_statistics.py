"""Statistics of upstream replies by version, for routes with a move.

Replies of other routes are not counted, so there is no cost outside of moves.
Once most replies of a new version at this entry are failures, the entry stops
sending to that version without waiting for the decision of control.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from berylspool.connection.control_message import Tally
from berylspool.version import move as moves
from berylspool.version.canary_analysis import new_latency_histogram
from berylspool.version.move import Move
from berylspool.version.pool.message import (
    ObservedReply,
    OutrunReply,
    RowsReply,
)

__all__ = ["ReplyStatistics", "record_reply", "take_tallies", "update_moves"]

BLOCKING_MIN_FAILURES = 8
BLOCKING_FAILURE_SHARE = 0.5
MAX_LATENCY_US = 60_000_000

# Route and version; service and version for forwarded requests.
VersionKey = tuple[str, str]


@dataclass(slots=True)
class VersionTally:
    """Statistics of one version of one route since the last tally.

    Attributes:
        answered: Answers from the pinned snapshot.
        failed: Refusals, errors and answers from another snapshot.
        latency: Histogram of latencies in microseconds.
    """

    answered: int = 0
    failed: int = 0
    latency: HdrHistogram = field(default_factory=new_latency_histogram)


@dataclass(slots=True)
class ReplyStatistics:
    """Reply statistics of an entry.

    Attributes:
        move_by_route: Moves that have not ended, by route; by service for
            forwarded requests.
        tally_by_version: Statistics since the last tally, by route and version.
        counts_by_version: Numbers of answers and of failures since the move
            began, by route and version.
        blocked_versions: Routes and versions that this entry sends nothing to.
    """

    move_by_route: dict[str, Move] = field(default_factory=dict)
    tally_by_version: dict[VersionKey, VersionTally] = field(
        default_factory=dict
    )
    counts_by_version: dict[VersionKey, list[int]] = field(default_factory=dict)
    blocked_versions: set[VersionKey] = field(default_factory=set)


def update_moves(
    statistics: ReplyStatistics, move_by_route: Mapping[str, Move]
) -> None:
    """Update the moves to those of a new configuration.

    Counts and blocks of moves that have ended or restarted are dropped.

    Args:
        statistics: Reply statistics, changed in place.
        move_by_route: Moves in the configuration, ended ones included.
    """
    running_moves = {
        route: move
        for route, move in move_by_route.items()
        if move.state not in moves.ENDED_STATES
    }
    started_routes = {
        route
        for route, move in running_moves.items()
        if route not in statistics.move_by_route
        or statistics.move_by_route[route].started_at != move.started_at
    }
    ended_routes = statistics.move_by_route.keys() - running_moves.keys()
    for key in [
        k
        for k in statistics.counts_by_version
        if k[0] in started_routes | ended_routes
    ]:
        del statistics.counts_by_version[key]
        statistics.blocked_versions.discard(key)
    statistics.move_by_route = running_moves


def record_reply(
    statistics: ReplyStatistics, observed_reply: ObservedReply
) -> None:
    """Count one reply of an upstream.

    Latencies of cold upstreams are not recorded: every upstream of a new
    version starts cold, which does not show that the version is slow.

    Args:
        statistics: Reply statistics, changed in place.
        observed_reply: Reply of an upstream, or a copy cancelled without one.
    """
    if not statistics.move_by_route:
        return
    part = observed_reply.part
    # Services of forwarded requests move separately, other routes as a whole.
    moved_name = part.route if part.forward is None else part.service
    move = statistics.move_by_route.get(moved_name)
    if move is None:
        return
    key = (moved_name, part.snapshot.version or move.old)
    tally = statistics.tally_by_version.setdefault(key, VersionTally())
    counts = statistics.counts_by_version.setdefault(key, [0, 0])
    match observed_reply.reply:
        case RowsReply(snapshot=snapshot) if snapshot == part.snapshot:
            tally.answered += 1
            counts[0] += 1
            _record_latency(tally, observed_reply)
        case OutrunReply():
            _record_latency(tally, observed_reply)
        case _:
            tally.failed += 1
            counts[1] += 1
    _block_failing_version(statistics, key, counts)


def _record_latency(tally: VersionTally, observed_reply: ObservedReply) -> None:
    """Record a latency unless the upstream was cold.

    A copy that was cancelled because another answered first is recorded with
    its time so far; without it, versions with more hedges would look faster.
    """
    if observed_reply.is_warm:
        latency_us = int(observed_reply.latency_s * 1e6)
        tally.latency.record_value(max(1, min(MAX_LATENCY_US, latency_us)))


def _block_failing_version(
    statistics: ReplyStatistics, key: VersionKey, counts: list[int]
) -> None:
    route, version = key
    if statistics.move_by_route[route].new != version:
        return
    answered, failed = counts
    total = answered + failed
    if (
        failed >= BLOCKING_MIN_FAILURES
        and failed > BLOCKING_FAILURE_SHARE * total
    ):
        statistics.blocked_versions.add(key)


def take_tallies(statistics: ReplyStatistics) -> tuple[Tally, ...]:
    """Return the statistics since the last call and reset them."""
    tallies = tuple(
        Tally(
            route,
            version,
            tally.answered,
            tally.failed,
            tally.latency.encode() if tally.latency.total_count else b"",
        )
        for (route, version), tally in statistics.tally_by_version.items()
    )
    statistics.tally_by_version.clear()
    return tallies
