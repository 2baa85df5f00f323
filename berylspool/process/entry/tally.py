"""What this entry saw of the versions of routes that move.

Only routes that move are counted, so the cost outside of moves is nothing.
An entry stops sending to a new version by itself once most of its own
answers are failures, before control has judged.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from berylspool.connection.control_message import Tally
from berylspool.version import move as moves
from berylspool.version.judge import histogram
from berylspool.version.move import Move
from berylspool.version.pool.message import Observed, OutrunReply, RowsReply

__all__ = ["TallyBook", "follow", "observe", "take"]

GUARD_FAILURES = 8
GUARD_SHARE = 0.5
LONGEST_US = 60_000_000

VersionKey = tuple[str, str]


@dataclass(slots=True)
class TallySum:
    """Sums of one version of one route since the last tally."""

    answered: int = 0
    failed: int = 0
    latency: HdrHistogram = field(default_factory=histogram)


@dataclass(slots=True)
class TallyBook:
    """State of the counting.

    Attributes:
        move_by_route: Moves that have not ended.
        sum_by_version: Sums since the last tally, by route and version.
        seen_by_version: Answers and failures since the move began.
        blocked: Versions that this entry sends nothing to, by route and
            version.
    """

    move_by_route: dict[str, Move] = field(default_factory=dict)
    sum_by_version: dict[VersionKey, TallySum] = field(default_factory=dict)
    seen_by_version: dict[VersionKey, list[int]] = field(default_factory=dict)
    blocked: set[VersionKey] = field(default_factory=set)


def follow(book: TallyBook, move_by_route: Mapping[str, Move]) -> None:
    """Follow the moves of a new configuration."""
    running = {
        route: move
        for route, move in move_by_route.items()
        if move.state not in moves.ENDED
    }
    started = {
        route
        for route, move in running.items()
        if route not in book.move_by_route
        or book.move_by_route[route].started_at != move.started_at
    }
    ended = book.move_by_route.keys() - running.keys()
    for key in [k for k in book.seen_by_version if k[0] in started | ended]:
        del book.seen_by_version[key]
        book.blocked.discard(key)
    book.move_by_route = running


def observe(book: TallyBook, observed: Observed) -> None:
    """Count one reply of an upstream.

    Answer times of cold upstreams are not counted: a new version starts
    cold, and that is not its fault.
    """
    part = observed.part
    # Discovered services move one by one, the project's own routes whole.
    moving = part.route if part.forward is None else part.service
    move = book.move_by_route.get(moving)
    if move is None:
        return
    key = (moving, part.snapshot.version or move.old)
    sums = book.sum_by_version.setdefault(key, TallySum())
    seen = book.seen_by_version.setdefault(key, [0, 0])
    match observed.reply:
        case RowsReply(snapshot=snapshot) if snapshot == part.snapshot:
            sums.answered += 1
            seen[0] += 1
            _record(sums, observed)
        case OutrunReply():
            _record(sums, observed)
        case _:
            sums.failed += 1
            seen[1] += 1
    _guard(book, key, seen)


def _record(sums: TallySum, observed: Observed) -> None:
    """Add an answer time, unless the upstream was cold.

    A copy that was outrun counts with its time so far: versions that are
    hedged more than others would look faster without it.
    """
    if observed.is_warm:
        latency_us = int(observed.latency_s * 1e6)
        sums.latency.record_value(max(1, min(LONGEST_US, latency_us)))


def _guard(book: TallyBook, key: VersionKey, seen: list[int]) -> None:
    route, version = key
    if book.move_by_route[route].new != version:
        return
    answered, failed = seen
    total = answered + failed
    if failed >= GUARD_FAILURES and failed > GUARD_SHARE * total:
        book.blocked.add(key)


def take(book: TallyBook) -> tuple[Tally, ...]:
    """Return the sums since the last call and start anew."""
    tallies = tuple(
        Tally(
            route,
            version,
            sums.answered,
            sums.failed,
            sums.latency.encode() if sums.latency.total_count else b"",
        )
        for (route, version), sums in book.sum_by_version.items()
    )
    book.sum_by_version.clear()
    return tallies
