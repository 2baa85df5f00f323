"""Load balancing over the upstreams of a pool.

All policies but the baselines prefer short expected waits.  The owner of a
service uses only its own observations: it knows every attempt in flight, and
load reports are late and misleading.  Only `LeastLoaded`, for upstreams that
are shared, uses reports.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from berylspool.request.fingerprint import hash64
from berylspool.version.upstream.slow_start import allowed_slots, is_warm
from berylspool.version.upstream.upstream_view import (
    UpstreamView,
    find_idle_connection,
    free_slots,
)

__all__ = [
    "BalancingPolicy",
    "FewestInFlight",
    "LeastLoaded",
    "RandomChoice",
    "ZoneAware",
    "choose_upstream",
    "cost_function",
    "rank_upstreams",
    "work_ahead",
]

# A queue under overload lasts longer than the requests in it, and an entry
# among dozens hears of it twice a second.
QUEUE_MEMORY_S = 1.0
# Share of a request's time that each other request at the upstream is expected
# to add even while a slot is free.
CROWDING = 0.1


@dataclass(frozen=True, slots=True)
class RandomChoice:
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

    Intended for upstreams that many entries share: the entry counts its own
    requests and takes those of other entries from the upstream's load reports.
    Upstreams that become slow, pause or refuse are avoided, too: the expected
    time follows answer times and refusals, and the age of an unanswered attempt
    once it exceeds them.

    Attributes:
        zone: Zone of the entry.
        crossing: Penalty for another zone, in requests.
    """

    zone: str
    crossing: float


BalancingPolicy = RandomChoice | FewestInFlight | ZoneAware | LeastLoaded


def _has_untried(
    views: Iterable[UpstreamView], tried: Collection[str], now: float
) -> bool:
    return any(
        view.is_serving
        and not view.is_draining
        and now >= view.paused_until
        and view.upstream.id not in tried
        for view in views
    )


def choose_upstream(
    views: Iterable[UpstreamView],
    policy: BalancingPolicy,
    part_id: str,
    tried: Collection[str],
    warm_only: bool,
    now: float,
    not_before: float = float("-inf"),
    max_work_ahead: float | None = None,
) -> UpstreamView | None:
    """Choose the upstream for one attempt.

    Args:
        views: Upstreams of the pool.
        policy: Load-balancing policy.
        part_id: Part to send; breaks ties.
        tried: Upstreams that the part was sent to before; they come last.
        warm_only: Whether cold upstreams are excluded, as for retries
            after a lost upstream.
        now: Monotonic time in seconds.
        not_before: Connections that became idle before this time are not
            used, monotonic seconds.
        max_work_ahead: Upstreams where more work waits for each slot are not
            used, in requests; None for no limit.

    Returns:
        The chosen upstream.  None if no upstream has a free slot and an idle
        connection, or if only tried ones have and an untried one may soon.
    """
    candidates = [
        view
        for view in views
        if view.connection_by_id
        and find_idle_connection(view, not_before) is not None
        and free_slots(view, now) > 0
        and (not warm_only or is_warm(view.slow_start, view.limits, now))
    ]
    if max_work_ahead is not None:
        candidates = [
            view
            for view in candidates
            if work_ahead(view, now) <= max_work_ahead
        ]
    if tried:
        untried = [v for v in candidates if v.upstream.id not in tried]
        if not untried and _has_untried(views, tried, now):
            return None
        candidates = untried or candidates
    if len(candidates) > 1:
        candidates = [
            v for v in candidates if not v.is_outside_subset
        ] or candidates
    if len(candidates) <= 1:
        return candidates[0] if candidates else None
    cost_of = cost_function(policy, now)
    costs = [cost_of(view) for view in candidates]
    lowest = min(costs)
    tied = [
        view
        for view, cost in zip(candidates, costs, strict=True)
        if cost == lowest
    ]
    if len(tied) == 1:
        return tied[0]
    return min(tied, key=lambda v: hash64(part_id + v.upstream.id))


def rank_upstreams(
    views: Iterable[UpstreamView],
    policy: BalancingPolicy,
    part_id: str,
    now: float,
) -> list[UpstreamView]:
    """Return the upstreams by their cost, lowest first.

    Args:
        views: Upstreams of the pool.
        policy: Load-balancing policy.
        part_id: Part to send; breaks ties.
        now: Monotonic time in seconds.
    """
    cost_of = cost_function(policy, now)
    return sorted(
        views, key=lambda v: (cost_of(v), hash64(part_id + v.upstream.id))
    )


def cost_function(
    policy: BalancingPolicy, now: float
) -> Callable[[UpstreamView], float]:
    """Return the function by whose value a policy prefers upstreams.

    Args:
        policy: Load-balancing policy; it prefers the lowest cost.
        now: Monotonic time in seconds.
    """
    match policy:
        case RandomChoice():
            return lambda v: 0.0
        case FewestInFlight():
            return lambda v: v.in_flight
        case LeastLoaded(zone=zone, crossing=crossing):
            return lambda v: (
                v.expected_slowness(now)
                * v.expected_attempts(now)
                * _expected_work(v, now)
                + (0.0 if v.upstream.zone == zone else crossing)
            )
        case ZoneAware(zone=zone, crossing_s=crossing_s):
            return lambda v: (
                v.latency_s
                * (v.in_flight + 1)
                / max(1, allowed_slots(v.slow_start, v.limits, now))
                + (0.0 if v.upstream.zone == zone else crossing_s)
            )


def work_ahead(view: UpstreamView, now: float) -> float:
    """Return the work that waits for each slot of an upstream, in requests.

    Unknown slots count as free, so that without reports nothing is held.
    """
    if view.slots == 1:
        return 0.0
    age_s = now - view.load_reported_at
    others = view.other_requests * max(0.0, 1.0 - age_s / QUEUE_MEMORY_S)
    return max(0.0, (view.in_flight + others + 1.0) / view.slots - 1.0)


def _expected_work(view: UpstreamView, now: float) -> float:
    """Return the work ahead of a new request and its own, in requests.

    A request for which a slot is free waits for none of the others, but a
    further one that is sent meanwhile may take that slot.
    """
    work = view.in_flight + view.estimated_other_requests(now) + 1.0
    if view.slots == 1:
        return work
    return max(1.0, work / view.slots) + CROWDING * work
