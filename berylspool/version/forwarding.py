"""Forwarding plan: routing of requests that are passed on unchanged.

The operator publishes the complete plan under a number; the plan with the
highest number is in force.  A plan is immutable, so a request that holds a
reference to one is served under that plan until it ends.
"""

import math
from dataclasses import dataclass, field, replace

from berylspool.request.fanout import PinnedMap
from berylspool.request.fingerprint import fingerprint, hash64
from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import (
    Forward,
    MergePolicy,
    Query,
    SingleResponse,
    Snapshot,
    TopRecords,
)
from berylspool.version import move as moves
from berylspool.version.configuration import HASH_BUCKETS
from berylspool.version.customer.identity import (
    UNCHECKED,
    Identified,
    Identity,
)
from berylspool.version.customer.table import Customer, CustomerTable
from berylspool.version.move import Move, traffic_share

__all__ = [
    "CallerLimits",
    "ForwardPlan",
    "ForwardRoute",
    "ForwardService",
    "Target",
    "choose_target",
    "find_route",
    "merge_policy",
    "new_query",
    "pin_target",
    "with_one_copy",
]

STABLE_VERSION = ""
# Time-out of requests whose callers state no deadline.
DEFAULT_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of each caller.

    The defaults are those in force before limits could be published.

    Attributes:
        max_head_bytes: Length of a request's head.
        max_body_bytes: Length of a request's body.
        head_timeout_s: Time from the first byte of a head to its last, in
            seconds; infinite for no limit.
        idle_timeout_s: Time without a byte in which a connection is closed,
            in seconds; infinite for no limit.
    """

    max_head_bytes: int = 256 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = math.inf
    idle_timeout_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Target:
    """Services that serve a weighted share of a route's requests.

    Attributes:
        services: One service, or one for each shard.
        weight: Share of the requests, relative to the other targets.
    """

    services: tuple[str, ...]
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ForwardRoute:
    """A route of forwarded requests.

    Attributes:
        name: Name, unique in the plan.
        host: Host name that its requests carry.
        prefix: Path prefix that its requests carry; begins and ends with a
            slash.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Maximum time to an answer, in seconds.
        target_latency_s: Target latency, in seconds; 0 if none is stated.
        rank: Priority among the routes; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that may run one part of a
            request.
        targets: Weighted alternatives for its requests.
        max_records: Maximum number of records in a merged answer; 0 if the
            route does not fan out.
        min_coverage: Minimum share of the shards that an answer must cover,
            from 0 to 1.
        is_public: Whether its requests need no API key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    target_latency_s: float
    rank: int
    max_attempts: int
    targets: tuple[Target, ...]
    max_records: int = 0
    min_coverage: float = 0.0
    is_public: bool = False

    @property
    def is_fan_out(self) -> bool:
        """Whether every request goes to all shards."""
        return self.max_records > 0


@dataclass(frozen=True, slots=True)
class ForwardService:
    """A service whose upstreams are discovered.

    Attributes:
        name: Name, unique in the plan.
        connections: Open connections that one upstream accepts, from all
            entries together.
        cold_s: Time for which an upstream is cold after a start, in
            seconds.
        cold_per_s: Requests per second that an upstream accepts while cold,
            from all entries together; 0 for no limit.
    """

    name: str
    connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ForwardPlan:
    """All routes and services of one published plan.

    Attributes:
        number: Number that the operator assigned; 0 before the first plan.
        routes_by_host: Routes of each host, longest prefix first.
        service_by_name: Services that the routes use.
        customers: Customers and their API keys; None if requests need no key.
        caller_limits: Limits on the requests of each caller.
    """

    number: int = 0
    routes_by_host: dict[str, tuple[ForwardRoute, ...]] = field(
        default_factory=dict
    )
    service_by_name: dict[str, ForwardService] = field(default_factory=dict)
    customers: CustomerTable | None = None
    caller_limits: CallerLimits = CallerLimits()


def find_route(plan: ForwardPlan, host: str, path: str) -> ForwardRoute | None:
    """Return the route with the longest prefix that matches the path.

    Args:
        plan: Plan in force.
        host: Host name of the request, without a port.
        path: Path of the request, without its query.

    Returns:
        The matching route, or None.

    Examples:
        >>> target = (Target(("a",)),)
        >>> route = ForwardRoute("r", "h", "/x/", True, 1, 0, 0, 1, target)
        >>> plan = ForwardPlan(1, {"h": (route,)})
        >>> find_route(plan, "h", "/x/1").name, find_route(plan, "h", "/y/")
        ('r', None)
    """
    for route in plan.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_target(route: ForwardRoute, hash_value: int) -> Target:
    """Choose a target of a route by weight.

    Args:
        route: Route of the request.
        hash_value: Integer that is uniform over requests; equal values give
            equal choices.

    Returns:
        The chosen target.

    Examples:
        >>> targets = (Target(("a",), 3.0), Target(("b",), 1.0))
        >>> route = ForwardRoute("r", "h", "/", True, 1, 0, 0, 1, targets)
        >>> [choose_target(route, n).services[0] for n in (0, 7499, 7500)]
        ['a', 'a', 'b']
    """
    if len(route.targets) == 1:
        return route.targets[0]
    total_weight = sum(target.weight for target in route.targets)
    point = hash_value % HASH_BUCKETS / HASH_BUCKETS * total_weight
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target
    return max(route.targets, key=lambda target: target.weight)


def merge_policy(route: ForwardRoute) -> MergePolicy:
    """Return how the results of the parts are merged into an answer."""
    if route.is_fan_out:
        return TopRecords(route.max_records)
    return SingleResponse()


def pin_target(
    plan: ForwardPlan,
    target: Target,
    request_id: str,
    move_by_service: dict[str, Move],
) -> PinnedMap:
    """Pin the plan and, for each service that moves, a software version.

    Args:
        plan: Plan in force.
        target: Target of the request.
        request_id: Id of the request, whose hash selects the versions.
        move_by_service: Moves of services between software versions.

    Returns:
        Pinned services with the new version of those for which it is chosen.
    """
    version_by_service = {}
    for service in target.services:
        move = move_by_service.get(service)
        if move is None or move.state in moves.ENDED_STATES:
            continue
        hash_value = hash64(f"{request_id}{service}") % HASH_BUCKETS
        if hash_value < traffic_share(move) * HASH_BUCKETS:
            version_by_service[service] = move.new
    snapshot = Snapshot(STABLE_VERSION, plan.number)
    return PinnedMap(snapshot, target.services, version_by_service)


def with_one_copy(query: Query) -> Query:
    """Return a query of which no part is sent to a second upstream."""
    assert query.forward is not None
    return replace(query, forward=replace(query.forward, attempts=1))


def new_query(
    request: ForwardRequest,
    route: ForwardRoute,
    serial: int,
    hedge_share: float,
    margin_s: float,
    now: float,
    identity: Identity = UNCHECKED,
) -> Query:
    """Create the query of a forwarded request.

    Args:
        request: Request as its front end decoded it.
        route: Route of the request.
        serial: Number that no other request of this process has.
        hedge_share: Fraction of the target latency, or of the time-out if the
            route has none, after which a second copy is sent.
        margin_s: Time before the target latency at which an answer has to be
            returned, in seconds.
        now: Monotonic time in seconds.
        identity: Who sent the request.

    Returns:
        Query whose deadline is the earlier of the caller's and the route's.
    """
    timeout_s = min(request.deadline_s or DEFAULT_TIMEOUT_S, route.timeout_s)
    headers, customer = request.headers, Customer("")
    if identity != UNCHECKED and request.anonymous_headers is not None:
        headers = request.anonymous_headers
    if isinstance(identity, Identified):
        customer = identity.customer
    target_s = route.target_latency_s or timeout_s
    forward = Forward(
        request.method,
        request.target,
        headers,
        request.body,
        is_part=route.is_fan_out,
        attempts=route.max_attempts,
        hedge_after_s=target_s * hedge_share,
        rank=route.rank if customer.rank is None else customer.rank,
        target_latency_s=route.target_latency_s,
        grace_s=max(timeout_s - target_s, 0.0),
        customer=customer.name,
    )
    soft_deadline = None
    if route.is_fan_out and route.target_latency_s:
        soft_deadline = now + max(route.target_latency_s - margin_s, 0.0)
    id = f"{request.id}~{serial}"
    return Query(
        id=id,
        route=route.name,
        body="",
        deadline=now + timeout_s,
        fingerprint=fingerprint(request.target, request.body.decode("latin-1")),
        key=None if route.is_idempotent else id,
        min_coverage=route.min_coverage,
        forward=forward,
        merge=merge_policy(route),
        soft_deadline=soft_deadline,
    )
