"""Moves of a discovered service between software versions."""

import pytest

from berylspool.request.fanout import PinnedMap
from berylspool.version.configuration import (
    Configuration,
    Document,
    Upstream,
    Zone,
    ZoneState,
    serving_upstreams,
)
from berylspool.version.forwarding import (
    ForwardPlan,
    ForwardService,
    Target,
    pin_target,
)
from berylspool.version.listing import (
    ListedUpstream,
    Listing,
    SharedLimits,
    build_pool_configuration,
)
from berylspool.version.move import CanaryVerdict, Evaluation, MoveState, step
from berylspool.version.operation import MoveService, Publish, ReplaceMove
from berylspool.version.revision import apply_operations

PLAN = ForwardPlan(1, {}, {"s": ForwardService("s", 30)})
MOVE_SERVICE = MoveService("s", "v2", 30.0)


def listing():
    listed_by_id = {
        id: ListedUpstream(
            "s", Upstream(id, "10.0.0.1", 1, zone, version), slots=3
        )
        for id, zone, version in [
            ("old-a", "a", "v1"),
            ("old-b", "b", "v1"),
            ("new-a", "a", "v2"),
        ]
    }
    return Listing(1, 1, listed_by_id)


def configuration_with_move():
    return apply_operations(Configuration(revision=1), (MOVE_SERVICE,), 0.0)


def apply_verdicts(configuration, *verdicts_at):
    for verdict, at in verdicts_at:
        before = configuration.move_by_route["s"]
        after = step(before, Evaluation(verdict), at)
        change = (ReplaceMove(before, after),)
        configuration = apply_operations(configuration, change, at)
    return configuration


def pool_ids(configuration, version):
    shared_limits = SharedLimits()
    pool_configuration = build_pool_configuration(
        2, PLAN, listing(), configuration, shared_limits
    )
    found = serving_upstreams(pool_configuration, "s", version)
    return {upstream.id for upstream in found}


def test_repeated_move_service_changes_nothing():
    once = configuration_with_move()
    repeated = apply_operations(once, (MOVE_SERVICE,), 5.0)
    assert repeated.move_by_route == once.move_by_route


def test_each_version_has_its_own_pool_during_a_move():
    configuration = configuration_with_move()
    assert pool_ids(configuration, "") == {"old-a", "old-b"}
    assert pool_ids(configuration, "v2") == {"new-a"}


def test_new_version_gets_the_traffic_share_of_the_stage():
    canary = apply_verdicts(
        configuration_with_move(), (CanaryVerdict.OPEN, 1.0)
    )
    moves = canary.move_by_route
    assert moves["s"].state is MoveState.CANARY
    pinned = [
        pin_target(PLAN, Target(("s",)), f"r{n}", moves) for n in range(2000)
    ]
    share = sum(p.version_by_service == {"s": "v2"} for p in pinned) / 2000
    assert 0.0 < share < 0.1


def test_bad_version_gets_no_more_requests():
    taken_back = apply_verdicts(
        configuration_with_move(),
        (CanaryVerdict.OPEN, 1.0),
        (CanaryVerdict.BAD, 2.0),
    )
    moves = taken_back.move_by_route
    assert moves["s"].state is MoveState.TAKING_BACK
    for number in range(200):
        pinned = pin_target(PLAN, Target(("s",)), f"r{number}", moves)
        assert isinstance(pinned, PinnedMap) and not pinned.version_by_service
    assert pool_ids(taken_back, "") == {"old-a", "old-b"}
    assert pool_ids(taken_back, "v2") == set()


def test_good_version_replaces_the_old_one():
    verdicts = [(CanaryVerdict.GOOD, float(at)) for at in range(1, 30)]
    done = apply_verdicts(configuration_with_move(), *verdicts)
    assert done.move_by_route["s"].state is MoveState.DONE
    assert pool_ids(done, "") == {"new-a"}


def test_zone_out_of_service_gets_no_requests():
    out = Configuration(zone_by_name={"a": Zone("a", ZoneState.OUT)})
    assert pool_ids(out, "") == {"old-b"}


@pytest.mark.parametrize(("number", "kept"), [(6, 7), (7, 7), (8, 8)])
def test_plan_with_the_highest_number_is_in_force_and_unchanged(number, kept):
    published = apply_operations(
        Configuration(), (Publish(Document(7, b"seven")),), 0.0
    )
    publish = Publish(Document(number, b"other"))
    after = apply_operations(published, (publish,), 1.0)
    assert after.document.number == kept
    assert (after.document.body == b"seven") == (kept == 7)
