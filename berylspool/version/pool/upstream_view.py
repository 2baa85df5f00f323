"""What the owner of a service knows of each upstream, and how it chooses.

The choice prefers short expected waits, from the owner's own observations
alone: it knows every attempt in flight, and reported loads lag and mislead.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from berylspool.request.fingerprint import ticket
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.message import ReportedLoad
from berylspool.version.pool.ramp import (
    ColdRate,
    Ramp,
    allowed_slots,
    is_warm,
    may_send,
)

__all__ = [
    "Choice",
    "ConnectionState",
    "ConnectionView",
    "FewestInFlight",
    "LeastLoaded",
    "Random",
    "UpstreamView",
    "ZoneAware",
    "choose",
    "free_slots",
    "idle_connection",
    "preference",
]

LATENCY_WEIGHT = 0.1
FIRST_LATENCY_S = 0.005
# Slow upstreams stay so for seconds; a request that finds one still slow is
# hedged.
LATENCY_MEMORY_S = 3.0
# About two service times: by then what a report counted has been answered.
LOAD_MEMORY_S = 0.1


class ConnectionState(enum.Enum):
    """Stage of a connection to an upstream."""

    OPENING = enum.auto()
    IDLE = enum.auto()
    BUSY = enum.auto()
    RETIRED = enum.auto()


@dataclass(slots=True)
class ConnectionView:
    """One connection as its owner sees it.

    Attributes:
        id: Unique in the pool.
        upstream_id: Upstream at the other end.
        state: Stage.
        attempt_id: Attempt that is in flight on it, if any.
        holds_slot: Whether a slot is counted for it until it closes.
        since: When it began to open, or was last idle, monotonic seconds.
        has_answered: Whether the upstream has answered on it.
    """

    id: int
    upstream_id: str
    state: ConnectionState = ConnectionState.OPENING
    attempt_id: int | None = None
    holds_slot: bool = False
    since: float = 0.0
    has_answered: bool = False


@dataclass(slots=True)
class UpstreamView:
    """What the owner knows of one upstream.

    Attributes:
        upstream: Its configuration.
        limits: What it bears.
        ramp: What is known of its start.
        connection_by_id: Open and opening connections.
        in_flight: Attempts sent and not yet ended.
        is_serving: Whether it may get new work by the configuration.
        is_draining: Whether the upstream said that it drains.
        reopen_at: No new connection before this moment, monotonic seconds.
        reopen_delay_s: Delay before the next connection after a loss.
        reserved_for: Part that runs alone on it, if any.
        latency_s: Moving average of answer times in seconds.
        others: Requests of other entries at the newest report of its load.
        load_at: Moment of that report, monotonic seconds.
        latency_at: Moment of the newest answer time.
        sent_at_by_attempt: When each attempt that is owed was sent.
        cold: Rate at which it may get requests while cold.
        is_reserve: Whether it is used only for parts that no other takes.
        full_until: Moment until which it is taken to accept no further
            connection, monotonic seconds.
    """

    upstream: Upstream
    limits: Limits
    ramp: Ramp = field(default_factory=Ramp)
    connection_by_id: dict[int, ConnectionView] = field(default_factory=dict)
    in_flight: int = 0
    is_serving: bool = True
    is_draining: bool = False
    reopen_at: float = 0.0
    reopen_delay_s: float = 0.0
    reserved_for: str | None = None
    latency_s: float = FIRST_LATENCY_S
    others: float = 0.0
    load_at: float = float("-inf")
    latency_at: float = float("-inf")
    sent_at_by_attempt: dict[int, float] = field(default_factory=dict)
    cold: ColdRate = field(default_factory=ColdRate)
    is_reserve: bool = False
    full_until: float = float("-inf")

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take the part of a reported load that other entries caused."""
        self.others = max(0, load.running + load.waiting - self.in_flight)
        self.load_at = now

    def load_of_others(self, now: float) -> float:
        """Return the requests of other entries that are likely there now.

        A report loses its weight with its age, as most requests that it
        counted have ended by then.
        """
        age_s = now - self.load_at
        return self.others * max(0.0, 1.0 - age_s / LOAD_MEMORY_S)

    def observe(self, latency_s: float, now: float) -> None:
        """Add one answer time in seconds to the moving average."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_at = now

    def expected_s(self, usual_s: float, now: float) -> float:
        """Return the time that one more request is likely to take here.

        What was learnt fades, so that an upstream that was slow is tried
        again; an answer that is owed counts with its age.

        Args:
            usual_s: Time of the fastest upstream of the service.
            now: Monotonic time in seconds.
        """
        age_s = now - self.latency_at
        weight = max(0.0, 1.0 - age_s / LATENCY_MEMORY_S)
        learnt_s = usual_s + (self.latency_s - usual_s) * weight
        oldest = min(self.sent_at_by_attempt.values(), default=now)
        return max(learnt_s, now - oldest)


@dataclass(frozen=True, slots=True)
class Random:
    """Baseline: any upstream with a free slot."""


@dataclass(frozen=True, slots=True)
class FewestInFlight:
    """Baseline: the upstream with the fewest attempts in flight."""


@dataclass(frozen=True, slots=True)
class ZoneAware:
    """Shortest expected wait, with a price on leaving the zone.

    Attributes:
        zone: Zone of the owner.
        crossing_s: Price of another zone, in seconds.
    """

    zone: str
    crossing_s: float


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Shortest expected time, with a price on leaving the zone.

    It answers the load of many entries that share an upstream: own requests
    are counted, those of others come from its reports.  It answers upstreams
    that turn slow or pause, too: the time that an upstream takes is learnt
    from its answers, and from answers that it owes for longer than that.

    Attributes:
        zone: Zone of the entry.
        crossing: Price of another zone, in requests.
    """

    zone: str
    crossing: float


Choice = Random | FewestInFlight | ZoneAware | LeastLoaded


def free_slots(view: UpstreamView, now: float) -> int:
    """Return how many more attempts the upstream may get now.

    Args:
        view: What is known of the upstream.
        now: Monotonic time in seconds.

    Returns:
        Zero or more; zero if it must get no new work.
    """
    if not view.is_serving or view.is_draining or view.reserved_for:
        return 0
    if not may_send(view.cold, view.limits, now):
        return 0
    return max(0, allowed_slots(view.ramp, view.limits, now) - view.in_flight)


def idle_connection(
    view: UpstreamView, not_before: float = float("-inf")
) -> ConnectionView | None:
    """Return an idle connection to the upstream, or None.

    Args:
        view: What is known of the upstream.
        not_before: Connections that are idle since an earlier moment are
            left out, monotonic seconds.
    """
    for connection in view.connection_by_id.values():
        if (
            connection.state is ConnectionState.IDLE
            and connection.since >= not_before
        ):
            return connection
    return None


def _has_untried(views: Iterable[UpstreamView], tried: frozenset[str]) -> bool:
    return any(
        view.is_serving
        and not view.is_draining
        and view.upstream.id not in tried
        for view in views
    )


def _usual_s(views: Iterable[UpstreamView]) -> float:
    """Return the answer time of the fastest upstream that has answered."""
    known = [v.latency_s for v in views if v.latency_at > float("-inf")]
    return min(known, default=FIRST_LATENCY_S)


def choose(
    views: Iterable[UpstreamView],
    choice: Choice,
    part_id: str,
    tried: frozenset[str],
    warm_only: bool,
    now: float,
    not_before: float = float("-inf"),
) -> UpstreamView | None:
    """Choose the upstream for one attempt.

    Args:
        views: Upstreams of the pool.
        choice: Policy to follow.
        part_id: Part to send; breaks ties.
        tried: Upstreams that the part was sent to before; they come last.
        warm_only: Whether cold upstreams are excluded, as for retries
            after a lost upstream.
        now: Monotonic time in seconds.
        not_before: Connections that are idle since an earlier moment are not
            used, monotonic seconds.

    Returns:
        The chosen upstream, or None if none has a free slot and an idle
        connection, or if one that was not tried may soon have them.
    """
    candidates = [
        view
        for view in views
        if free_slots(view, now) > 0
        and (not warm_only or is_warm(view.ramp, view.limits, now))
        and idle_connection(view, not_before) is not None
    ]
    untried = [v for v in candidates if v.upstream.id not in tried]
    if not untried and _has_untried(views, tried):
        return None
    candidates = untried or candidates
    candidates = [v for v in candidates if not v.is_reserve] or candidates
    if not candidates:
        return None

    return min(candidates, key=preference(views, choice, part_id, now))


def preference(
    views: Iterable[UpstreamView], choice: Choice, part_id: str, now: float
) -> Callable[[UpstreamView], tuple[float, int]]:
    """Return the key by which a part prefers upstreams, the best first.

    Args:
        views: Upstreams of the pool.
        choice: Policy to follow.
        part_id: Part to send; breaks ties.
        now: Monotonic time in seconds.
    """

    def tie(view: UpstreamView) -> int:
        return ticket(part_id + view.upstream.id)

    match choice:
        case Random():
            return lambda v: (0.0, tie(v))
        case FewestInFlight():
            return lambda v: (v.in_flight, tie(v))
        case LeastLoaded(zone=zone, crossing=crossing):
            usual_s = _usual_s(views)
            return lambda v: (
                v.expected_s(usual_s, now)
                * (v.in_flight + v.load_of_others(now) + 1.0)
                + usual_s * (0.0 if v.upstream.zone == zone else crossing),
                tie(v),
            )
        case ZoneAware(zone=zone, crossing_s=crossing_s):
            return lambda v: (
                v.latency_s
                * (v.in_flight + 1)
                / max(1, allowed_slots(v.ramp, v.limits, now))
                + (0.0 if v.upstream.zone == zone else crossing_s),
                tie(v),
            )
