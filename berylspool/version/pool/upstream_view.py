"""Known state of each upstream, and load balancing over the upstreams.

Policies prefer short expected waits.  The owner of a service uses only its own
observations: it knows every attempt in flight, and load reports are late and
misleading.  Only `LeastLoaded`, for upstreams that are shared, uses reports.
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
# Slow upstreams stay slow for seconds. A request to one that is still slow is
# hedged.
LATENCY_MEMORY_S = 3.0
# About two service times, after which the requests that a report counted have
# been answered.
LOAD_MEMORY_S = 0.1


class ConnectionState(enum.Enum):
    """State of a connection to an upstream."""

    OPENING = enum.auto()
    IDLE = enum.auto()
    BUSY = enum.auto()
    RETIRED = enum.auto()


@dataclass(slots=True)
class ConnectionView:
    """Known state of one connection.

    Attributes:
        id: Unique in the pool.
        upstream_id: Upstream at the other end.
        state: State of the connection.
        attempt_id: Attempt in flight on it, if any.
        holds_slot: Whether it occupies a slot of the upstream until it closes.
        since: Time at which it last became idle or, before its first use,
            began to open, monotonic seconds.
        has_answered: Whether the upstream has replied on it.
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
    """Known state of one upstream.

    Attributes:
        upstream: Its configuration.
        limits: Its capacity limits.
        ramp: State of its slow start.
        connection_by_id: Connections that are opening, open or closing.
        in_flight: Slots in use: attempts in flight, and connections that hold
            a slot until they close.
        is_serving: Whether the configuration allows new work.
        is_draining: Whether the upstream announced that it drains.
        reopen_at: Time before which no connection is opened, monotonic
            seconds.
        reopen_delay_s: Delay before the next connection after a loss, in
            seconds.
        reserved_for: Id of the part that it is reserved for, if any.
        latency_s: Moving average of answer times, in seconds.
        others: Requests of other entries, by the latest load report.
        load_at: Time of that report, monotonic seconds.
        latency_at: Time of the latest answer time, monotonic seconds.
        sent_at_by_attempt: Send time of each unanswered attempt, monotonic
            seconds.
        cold: Limit of its request rate while it is cold.
        is_reserve: Whether it is outside the entry's subset and used only for
            parts that the subset cannot take.
        full_until: Time until which it is assumed to accept no further
            connections, monotonic seconds.
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
        """Record the share of a reported load that other entries cause."""
        self.others = max(0, load.running + load.waiting - self.in_flight)
        self.load_at = now

    def load_of_others(self, now: float) -> float:
        """Return the estimated number of requests of other entries.

        The weight of a report decreases with its age, because most requests
        that it counted have ended since.
        """
        age_s = now - self.load_at
        return self.others * max(0.0, 1.0 - age_s / LOAD_MEMORY_S)

    def observe(self, latency_s: float, now: float) -> None:
        """Add one answer time in seconds to the moving average."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_at = now

    def expected_s(self, usual_s: float, now: float) -> float:
        """Return the expected time of one more request, in seconds.

        The moving average decays to `usual_s` without new answers, so that an
        upstream that was slow is tried again.  The result is at least the age
        of the oldest unanswered attempt.

        Args:
            usual_s: Answer time of the fastest upstream, in seconds.
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
    """Shortest expected wait, with a penalty for other zones.

    Attributes:
        zone: Zone of the owner.
        crossing_s: Penalty for another zone, in seconds.
    """

    zone: str
    crossing_s: float


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Shortest expected time, with a penalty for other zones.

    Intended for upstreams that many entries share: own requests are counted,
    and those of other entries are taken from the upstream's load reports.
    Upstreams that become slow or pause are avoided, too: the expected time
    follows answer times, and the age of an unanswered attempt once it exceeds
    them.

    Attributes:
        zone: Zone of the entry.
        crossing: Penalty for another zone, in requests.
    """

    zone: str
    crossing: float


Choice = Random | FewestInFlight | ZoneAware | LeastLoaded


def free_slots(view: UpstreamView, now: float) -> int:
    """Return the number of further attempts that the upstream may get now.

    Args:
        view: State of the upstream.
        now: Monotonic time in seconds.

    Returns:
        Zero or more; zero if it must not get new work.
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
        view: State of the upstream.
        not_before: Connections that became idle before this time are
            excluded, monotonic seconds.
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
        choice: Load-balancing policy.
        part_id: Part to send; breaks ties.
        tried: Upstreams that the part was sent to before; they come last.
        warm_only: Whether cold upstreams are excluded, as for retries
            after a lost upstream.
        now: Monotonic time in seconds.
        not_before: Connections that became idle before this time are not
            used, monotonic seconds.

    Returns:
        The chosen upstream.  None if no upstream has a free slot and an idle
        connection, or if only tried ones have and an untried one may soon.
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
    """Return the sort key that ranks upstreams for a part, best first.

    Args:
        views: Upstreams of the pool.
        choice: Load-balancing policy.
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
