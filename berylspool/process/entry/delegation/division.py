"""Which wide requests are divided, into which slices, and who runs each.

All entries of a zone cut the services of a target alike and choose the same
helper for each slice, so that the helper has warm connections to its services,
and one queue and one budget for them.  Helpers follow rendezvous hashing, see
`placement`: a change of members moves few slices.
"""

import functools
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from berylspool.connection.message import Member
from berylspool.request.fingerprint import hash64
from berylspool.version.forwarding import ForwardPlan, ForwardRoute

__all__ = [
    "Ownership",
    "choose_helpers",
    "cut_services",
    "find_ownership",
    "is_divisible",
    "is_worth_dividing",
    "members_by_zone",
]

# Three milliseconds of a whole core, well above the cost of the two frames.
PARTS_PER_SLICE = 15
# Measured processor time of an entry for one part: 0.17 to 0.22 ms of a core.
PART_COST_S = 0.0002
# Share of the target latency that an entry may spend on the parts alone.
MAX_TARGET_SHARE = 0.1
# With fewer, a helper would get a large part of what the first entry sheds.
MIN_OTHER_ENTRIES = 2
# A body is sent to each of up to nine helpers, which have 25 ms to accept; a
# link of 10 Mbit/s carries 31 KB in that time.
MAX_BODY_BYTES = 3_072
MIN_ATTEMPTS = 2
MAX_CACHED_TARGETS = 256


@dataclass(frozen=True, slots=True)
class Ownership:
    """How the divided services are shared by the entries.

    Attributes:
        owners_by_service: Number of entries, of all zones together, that run
            most parts of a divided service.
        owned: Services for which this entry is one of them.
    """

    owners_by_service: Mapping[str, int]
    owned: frozenset[str]


def is_worth_dividing(
    parts: int, target_s: float, processor_share: float
) -> bool:
    """Return whether the parts would take too much of an entry's time.

    Args:
        parts: Number of parts of the request.
        target_s: Target latency of its route, in seconds; 0 if none is stated.
        processor_share: Share of a core that an entry has; 0 if unknown.

    Examples:
        >>> is_worth_dividing(90, 0.1, 0.5), is_worth_dividing(20, 0.1, 0.5)
        (True, False)
        >>> is_worth_dividing(90, 0.1, 0.0), is_worth_dividing(90, 0.0, 0.5)
        (False, False)
    """
    if processor_share <= 0 or target_s <= 0 or parts <= PARTS_PER_SLICE:
        return False
    return parts * PART_COST_S / processor_share > MAX_TARGET_SHARE * target_s


def is_divisible(route: ForwardRoute, body_bytes: int = 0) -> bool:
    """Return whether requests of a route may be divided at all.

    A part whose helper is lost may have run, so the route must allow that it
    runs again at a second upstream.

    Args:
        route: The route.
        body_bytes: Length of the body of a request.
    """
    return (
        route.is_fan_out
        and route.is_idempotent
        and route.max_attempts >= MIN_ATTEMPTS
        and body_bytes <= MAX_BODY_BYTES
    )


@functools.lru_cache(maxsize=MAX_CACHED_TARGETS)
def cut_services(services: tuple[str, ...]) -> tuple[tuple[int, ...], ...]:
    """Cut the services of a target into slices of equal size, within one.

    Args:
        services: Service of each part.

    Returns:
        Positions of the parts of each slice; in the order of service names,
        slices are contiguous.

    Examples:
        >>> [len(slice) for slice in cut_services(tuple(map(str, range(35))))]
        [12, 12, 11]
        >>> cut_services(("b", "a"))
        ((1, 0),)
    """
    order = sorted(range(len(services)), key=services.__getitem__)
    count = math.ceil(len(order) / PARTS_PER_SLICE)
    size, longer = divmod(len(order), max(count, 1))
    slices, start = [], 0
    for index in range(count):
        end = start + size + (index < longer)
        slices.append(tuple(order[start:end]))
        start = end
    return tuple(slices)


def choose_helpers(count: int, names: Collection[str]) -> tuple[str, ...]:
    """Choose the entry that runs each slice of a request.

    Args:
        count: Number of slices.
        names: Names of the entries of the zone that can run one; not empty.

    Returns:
        Entry of each slice; no entry has two slices before each has one.

    Examples:
        >>> helpers = choose_helpers(3, ["e1", "e2", "e3", "e4"])
        >>> helpers == choose_helpers(3, ["e4", "e3", "e2", "e1"])
        True
        >>> len(set(helpers)), len(set(choose_helpers(5, ["e1", "e2"])))
        (3, 2)
    """
    helpers: list[str] = []
    free: set[str] = set()
    for index in range(count):
        free = free or set(names)
        helper = max(free, key=lambda name: _weight(index, name))
        free.discard(helper)
        helpers.append(helper)
    return tuple(helpers)


def _weight(index: int, name: str) -> tuple[int, str]:
    return hash64(f"slice {index}:{name}"), name


def members_by_zone(members: Iterable[Member]) -> dict[str, frozenset[str]]:
    """Return the names of the members in each zone.

    An entry of an older build states no zone, and keeps its former share of
    the limits.  While there is one, the result is empty, so that none owns a
    service and all shares are the former ones.
    """
    names_by_zone: dict[str, set[str]] = {}
    for member in members:
        names_by_zone.setdefault(member.zone, set()).add(member.name)
    if "" in names_by_zone:
        return {}
    return {zone: frozenset(names) for zone, names in names_by_zone.items()}


def find_ownership(
    plan: ForwardPlan,
    names_by_zone: Mapping[str, frozenset[str]],
    zone: str,
    name: str,
    processor_share: float,
) -> Ownership:
    """Return how the entries share the services that the plan divides.

    A service may be in the slices of several targets.  Each of them counts as
    an owner in each zone, although one entry may have two, so that the limits
    of the owners never add up to more than stated.

    Args:
        plan: Forwarding plan in force.
        names_by_zone: Names of the members in each zone.
        zone: Zone of this entry.
        name: Name of this entry.
        processor_share: Share of a core that an entry has; 0 if unknown.
    """
    own_names = names_by_zone.get(zone, frozenset())
    indices_by_service: dict[str, set[int]] = {}
    owned: set[str] = set()
    zones = sum(
        len(names) > MIN_OTHER_ENTRIES for names in names_by_zone.values()
    )
    if not zones:
        return Ownership({}, frozenset())
    for services in _divided_targets(plan, processor_share):
        slices = cut_services(services)
        helpers: tuple[str, ...] = ()
        if len(own_names) > MIN_OTHER_ENTRIES:
            helpers = choose_helpers(len(slices), own_names)
        for index, positions in enumerate(slices):
            names = {services[position] for position in positions}
            for service in names:
                indices_by_service.setdefault(service, set()).add(index)
            if helpers and helpers[index] == name:
                owned |= names
    return Ownership(
        {
            service: len(indices) * zones
            for service, indices in indices_by_service.items()
        },
        frozenset(owned),
    )


def _divided_targets(
    plan: ForwardPlan, processor_share: float
) -> set[tuple[str, ...]]:
    """Return the services of each target whose requests are divided."""
    return {
        target.services
        for routes in plan.routes_by_host.values()
        for route in routes
        if is_divisible(route)
        for target in route.targets
        if is_worth_dividing(
            len(target.services), route.target_latency_s, processor_share
        )
    }
