"""Which requests are divided, and how entries agree on the helpers."""

import random

from hypothesis import given
from hypothesis import strategies as st

from berylspool.connection.message import Member
from berylspool.process.entry.delegation.division import (
    PARTS_PER_SLICE,
    choose_helpers,
    cut_services,
    find_ownership,
    is_divisible,
    is_worth_dividing,
    members_by_zone,
)
from berylspool.version.configuration import Configuration
from berylspool.version.forwarding import (
    ForwardPlan,
    ForwardRoute,
    ForwardService,
    Target,
)
from berylspool.version.listing import (
    HELD_COPY_SHARE,
    Listing,
    SharedLimits,
    build_pool_configuration,
)

SERVICES = tuple(f"s{number:03}" for number in range(90))
CONNECTIONS = 54
EXTRA_COPIES = 136.0
ENTRIES_PER_ZONE = 22
SHARE = 0.516


def make_plan(*targets, **changes):
    routes = tuple(
        ForwardRoute(
            f"r{number}",
            "h",
            f"/{number}/",
            is_idempotent=changes.get("is_idempotent", True),
            timeout_s=1.0,
            target_latency_s=changes.get("target_latency_s", 0.1),
            rank=0,
            max_attempts=changes.get("max_attempts", 2),
            targets=(Target(services),),
            max_records=10,
        )
        for number, services in enumerate(targets)
    )
    names = {service for services in targets for service in services}
    services = {name: ForwardService(name, CONNECTIONS) for name in names}
    return ForwardPlan(1, {"h": routes}, services)


def make_names(zones):
    return members_by_zone(
        Member(f"{zone}-{number}", "127.0.0.1", 1, zone)
        for zone in zones
        for number in range(ENTRIES_PER_ZONE)
    )


@given(st.sets(st.text(min_size=1), min_size=1, max_size=140), st.randoms())
def test_slices_hold_each_part_once_and_are_of_equal_size(names, rng):
    services = sorted(names)
    rng.shuffle(services)
    slices = cut_services(tuple(services))
    positions = [position for slice in slices for position in slice]
    assert sorted(positions) == list(range(len(services)))
    assert [services[position] for position in positions] == sorted(services)
    sizes = {len(slice) for slice in slices}
    assert max(sizes) - min(sizes) <= 1 and max(sizes) <= PARTS_PER_SLICE


def test_a_member_that_leaves_moves_few_slices():
    names = [f"e{number}" for number in range(ENTRIES_PER_ZONE)]
    helpers = choose_helpers(9, names)
    assert len(set(helpers)) == 9
    for name in names:
        after = choose_helpers(9, set(names) - {name})
        moved = sum(a != b for a, b in zip(helpers, after, strict=True))
        # The successor may have had a later slice, which then moves, too.
        assert moved <= 4 if name in helpers else moved == 0
    shuffled = random.Random(1).sample(names, len(names))
    assert choose_helpers(9, shuffled) == helpers


def test_only_idempotent_routes_that_allow_a_second_upstream_are_divided():
    [(route,)] = make_plan(SERVICES).routes_by_host.values()
    assert is_divisible(route)
    for changes in ({"is_idempotent": False}, {"max_attempts": 1}):
        [(route,)] = make_plan(SERVICES, **changes).routes_by_host.values()
        assert not is_divisible(route)


def test_deployments_without_a_processor_share_divide_nothing():
    assert is_worth_dividing(135, 0.25, SHARE)
    assert not is_worth_dividing(135, 0.25, 0.0)
    names_by_zone = make_names("ab")
    ownership = find_ownership(
        make_plan(SERVICES), names_by_zone, "a", "a-0", 0.0
    )
    assert not ownership.owners_by_service and not ownership.owned


def limits_of(plan, names_by_zone, zone, name):
    """Return the limits of an entry for each service."""
    ownership = find_ownership(plan, names_by_zone, zone, name, SHARE)
    shared_limits = SharedLimits(
        sum(len(names) for names in names_by_zone.values()),
        EXTRA_COPIES,
        owners_by_service=ownership.owners_by_service,
        owned=ownership.owned,
    )
    configuration = build_pool_configuration(
        1, plan, Listing(), Configuration(), shared_limits
    )
    return ownership, {
        name: service.limits
        for name, service in configuration.service_by_name.items()
    }


def check_sums(plan, zones):
    names_by_zone = make_names(zones)
    services = plan.service_by_name
    owners = dict.fromkeys(services, 0)
    connections = dict.fromkeys(services, 0.0)
    copies = dict.fromkeys(services, 0.0)
    for zone, names in names_by_zone.items():
        for name in names:
            ownership, limits = limits_of(plan, names_by_zone, zone, name)
            for service, limit in limits.items():
                copies[service] += limit.extra_copies
                is_owner = service in ownership.owned
                owners[service] += is_owner
                # Those that are not owners keep connections to a subset.
                held = limit.connections if is_owner else limit.share
                connections[service] += held
                assert not is_owner or limit.share >= 1.0
    assert max(connections.values()) <= CONNECTIONS
    assert max(copies.values()) <= EXTRA_COPIES * HELD_COPY_SHARE + 1e-9
    return owners


def test_each_service_has_one_owner_in_each_zone():
    owners = check_sums(make_plan(SERVICES), "abcd")
    assert set(owners.values()) == {4}


def test_limits_of_services_of_two_targets_add_up():
    plan = make_plan(SERVICES, SERVICES[10:80])
    owners = check_sums(plan, "abc")
    assert max(owners.values()) <= 6


def test_zones_with_few_entries_own_nothing():
    names_by_zone = {
        "a": frozenset({"a-0", "a-1"}),
        "b": frozenset({"b-0", "b-1", "b-2"}),
    }
    plan = make_plan(SERVICES)
    small = find_ownership(plan, names_by_zone, "a", "a-0", SHARE)
    assert not small.owned
    assert set(small.owners_by_service.values()) == {1}


def test_nothing_is_owned_while_an_older_build_is_a_member():
    members = [Member(f"e{n}", "127.0.0.1", 1, "a") for n in range(5)]
    assert members_by_zone(members) == {"a": {f"e{n}" for n in range(5)}}
    assert members_by_zone([*members, Member("old", "127.0.0.1", 1)]) == {}


def test_services_that_are_not_divided_keep_their_limits():
    plan = make_plan(SERVICES[:3])
    names_by_zone = make_names("abc")
    _, limits = limits_of(plan, names_by_zone, "a", "a-0")
    entries = 3 * ENTRIES_PER_ZONE
    before = build_pool_configuration(
        1, plan, Listing(), Configuration(), SharedLimits(entries, EXTRA_COPIES)
    )
    for name, service in before.service_by_name.items():
        assert limits[name] == service.limits
