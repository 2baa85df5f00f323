"""Subsetting: many entries share upstreams that accept few connections."""

import collections

import pytest

from berylspool.request.query import Reason, Snapshot
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    ConnectionClosed,
    ConnectionOpened,
    ErrorReply,
    OpenConnection,
    PartArrived,
    PoolReconfigured,
    RowsReply,
    Tick,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.pool.tests.test_shared_upstreams import (
    PoolDriver,
    make_part,
)
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.balancing import (
    LeastLoaded,
)
from berylspool.version.upstream.subsetting import (
    choose_subset,
    connections_per_entry,
)

SNAPSHOT = Snapshot("", 1)
ZONES = ("z0", "z1", "z2")
UPSTREAMS = tuple(
    Upstream(f"u{n}", f"10.0.0.{n}", 1, zone, "")
    for n, zone in enumerate(ZONES)
)


def subsets(entries, connections, upstreams=UPSTREAMS):
    share = connections_per_entry(connections, entries)
    return {
        f"entry-{n}": choose_subset(
            f"entry-{n}", ZONES[n % 3], upstreams, share
        )
        for n in range(entries)
    }


@pytest.mark.parametrize(
    ("entries", "connections"), [(62, 53), (78, 61), (93, 61), (150, 61)]
)
def test_upstreams_get_no_more_connections_than_they_accept(
    entries, connections
):
    subset_by_entry = subsets(entries, connections)
    count = collections.Counter(
        id for ids in subset_by_entry.values() for id in ids
    )
    assert max(count.values()) <= connections
    assert all(ids for ids in subset_by_entry.values())


def test_own_zone_comes_first():
    for n in range(30):
        ids = choose_subset(f"e{n}", "z1", UPSTREAMS, 0.4)
        assert "u1" in ids


def test_lost_upstream_moves_only_the_connections_to_it():
    before = subsets(78, 61)
    after = subsets(78, 61, UPSTREAMS[:2])
    for name, ids in before.items():
        assert ids - {"u2"} <= after[name] or len(after[name]) < len(ids)


def subset_pool(extra=5.0):
    """Return a pool whose subset is one upstream of three."""
    driver = PoolDriver(UPSTREAMS, extra=extra)
    limits = Limits(slots=2, cold_slots=2, ramp_s=0.0, connections=2, share=0.1)
    driver.pool = Pool(
        "s",
        "",
        PoolTuning(
            LeastLoaded("z0", 0.9),
            silent_s=None,
            opens_on_demand=True,
            isolates_suspects=False,
            initial_tokens=5.0,
            entry="e",
            zone="z0",
        ),
    )
    driver.feed(PoolReconfigured(UPSTREAMS, limits), 0.0)
    return driver


def connected_upstreams(driver):
    return {
        view.upstream.id
        for view in driver.pool.view_by_upstream.values()
        if view.connection_by_id
    }


def test_no_connection_is_opened_before_a_part_needs_it():
    """Guards against exceeding the connection limit after a power loss.

    Upstreams still hold the connections of entries that lost power, so an
    entry that starts must not open more until it has a part to send.
    """
    driver = subset_pool()
    driver.feed(Tick(), 2.0)
    assert not connected_upstreams(driver)
    driver.feed(PartArrived(make_part(1)), 3.0)
    assert len(driver.sent) == 1


def test_only_the_subset_is_connected_until_a_part_needs_more():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 2.0)
    assert connected_upstreams(driver) == {"u0"}
    driver.feed(Tick(), 2.06)
    assert len(connected_upstreams(driver)) == 2
    upstreams = {
        driver.pool.attempt_by_id[send.attempt_id].upstream_id
        for send in driver.sent
    }
    assert len(upstreams) == 2


def test_failed_part_is_sent_outside_the_subset():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.answer(driver.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.01)
    driver.feed(Tick(), 0.01)
    assert len(driver.sent) == 2


def test_reconnection_delay_grows_while_connections_are_reset_at_once():
    pool = Pool("s", "", subset_pool().pool.tuning)
    limits = Limits(slots=2, cold_slots=2, ramp_s=0.0, share=0.1)
    opened, now = 0, 0.0
    actions = step(pool, PoolReconfigured(UPSTREAMS, limits), now)
    while now < 12.0:
        for action in actions:
            if isinstance(action, OpenConnection):
                opened += 1
                id, upstream = action.connection_id, action.upstream.id
                step(pool, ConnectionOpened(id, upstream, upstream), now)
                step(pool, ConnectionClosed(id, upstream), now)
        now += max(0.001, max_wait_s(pool, now))
        actions = step(pool, Tick(), now)
    assert opened <= 20


def test_wide_request_opens_one_connection_for_each_part():
    """Three upstreams, two of them in the subset."""
    driver = subset_pool()
    limits = Limits(slots=2, cold_slots=2, ramp_s=0.0, connections=2, share=0.7)
    driver.feed(PoolReconfigured(UPSTREAMS, limits), 0.0)
    driver.feed(PartArrived(make_part(1)), 2.0)
    driver.feed(Tick(), 2.01)
    assert len(connected_upstreams(driver)) == 1
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 2.02)
    driver.feed(Tick(), 2.3)
    assert len(connected_upstreams(driver)) == 1


def test_entry_without_requests_does_not_reopen_connections():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1)), 2.0)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 2.1)
    view = driver.pool.view_by_upstream["u0"]
    [connection] = view.connection_by_id.values()
    closed = ConnectionClosed(connection.id, "u0", is_planned=True)
    driver.feed(closed, 17.0)
    driver.feed(Tick(), 22.0)
    assert not connected_upstreams(driver)
    driver.feed(PartArrived(make_part(2)), 23.0)
    assert len(driver.sent) == 2


def test_entry_with_requests_reopens_connections():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1)), 12.0)
    [send] = driver.sent
    driver.answer(send, ErrorReply(Reason.UPSTREAM_ERROR), 12.1)
    for view in list(driver.pool.view_by_upstream.values()):
        for connection in list(view.connection_by_id.values()):
            closed = ConnectionClosed(
                connection.id, view.upstream.id, is_planned=True
            )
            driver.feed(closed, 15.0)
    assert "u0" in connected_upstreams(driver)


def test_upstream_that_resets_a_second_connection_gets_no_third():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1)), 0.0)
    driver.feed(PartArrived(make_part(2)), 0.01)
    view = driver.pool.view_by_upstream["u0"]
    assert len(view.connection_by_id) == 2
    lost = driver.sent[1].connection_id
    driver.feed(ConnectionClosed(lost, "u0"), 0.02)
    for number in range(3, 9):
        driver.feed(PartArrived(make_part(number)), 0.02 + number / 10)
        assert len(view.connection_by_id) == 1


def lose_sent_copy(driver, now):
    send = driver.sent[-1]
    attempt = driver.pool.attempt_by_id[send.attempt_id]
    driver.feed(ConnectionClosed(send.connection_id, attempt.upstream_id), now)
    driver.feed(Tick(), now + 0.035)


def lose_idle_connection(driver, number, now):
    """Lose the connection that a part was sent on and answer its retry."""
    driver.feed(PartArrived(make_part(number)), now)
    lose_sent_copy(driver, now + 0.005)
    driver.answer(driver.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.05)


def lose_all_idle_connections(driver, number, now):
    """Lose each idle connection that a part was sent on."""
    idle_ids = {
        connection.id
        for view in driver.pool.view_by_upstream.values()
        for connection in view.connection_by_id.values()
    }
    driver.feed(PartArrived(make_part(number)), now)
    lose_sent_copy(driver, now + 0.005)
    if driver.sent[-1].connection_id in idle_ids:
        lose_sent_copy(driver, now + 0.045)
    else:
        driver.answer(driver.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.05)


def test_connections_idle_beyond_the_upstream_timeout_are_not_reused():
    driver = subset_pool()
    driver.feed(Tick(), 2.0)
    driver.feed(PartArrived(make_part(1)), 2.0)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 2.01)
    lose_all_idle_connections(driver, 2, 2.4)
    lose_all_idle_connections(driver, 3, 2.9)
    used = {send.connection_id for send in driver.sent}
    driver.feed(PartArrived(make_part(4)), 3.5)
    assert driver.sent[-1].connection_id not in used


def test_single_lost_answer_sets_no_idle_timeout():
    driver = subset_pool()
    driver.feed(Tick(), 2.0)
    driver.feed(PartArrived(make_part(1)), 2.0)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 2.01)
    lose_idle_connection(driver, 2, 2.4)
    for number, now in ((3, 3.0), (4, 4.0)):
        driver.feed(PartArrived(make_part(number)), now)
        driver.answer(driver.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.01)
    lose_idle_connection(driver, 5, 5.0)
    assert driver.pool.idle_timeout_valid_until == float("-inf")


def test_part_that_is_not_idempotent_uses_no_long_idle_connection():
    driver = subset_pool()
    driver.feed(PartArrived(make_part(1, idempotent=False)), 0.0)
    driver.answer(driver.sent[0], RowsReply(SNAPSHOT, ()), 0.01)
    driver.feed(PartArrived(make_part(2, idempotent=False)), 0.05)
    assert driver.sent[1].connection_id == driver.sent[0].connection_id
    driver.answer(driver.sent[1], RowsReply(SNAPSHOT, ()), 0.06)
    driver.feed(PartArrived(make_part(3, idempotent=False)), 2.0)
    assert driver.sent[2].connection_id != driver.sent[1].connection_id


def test_first_connections_of_many_entries_spread_over_all_upstreams():
    first = collections.Counter()
    for number in range(60):
        driver = PoolDriver((UPSTREAMS[1], UPSTREAMS[2]))
        part = make_part(number, idempotent=False)
        driver.feed(PartArrived(part), 5.0)
        attempt = driver.pool.attempt_by_id[driver.sent[0].attempt_id]
        first[attempt.upstream_id] += 1
    assert min(first.values()) >= 5
