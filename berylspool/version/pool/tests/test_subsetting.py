"""Subsetting: entries share upstreams that accept fewer connections."""

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
from berylspool.version.pool.subsetting import (
    choose_subset,
    connections_per_entry,
)
from berylspool.version.pool.tests.test_shared_upstreams import (
    PoolDriver,
    make_part,
)
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.pool.upstream_view import LeastLoaded

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
    driven = PoolDriver(UPSTREAMS, extra=extra)
    limits = Limits(slots=2, cold_slots=2, ramp_s=0.0, connections=2, share=0.1)
    driven.pool = Pool(
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
    driven.feed(PoolReconfigured(UPSTREAMS, limits), 0.0)
    return driven


def connected_upstreams(driven):
    return {
        view.upstream.id
        for view in driven.pool.view_by_upstream.values()
        if view.connection_by_id
    }


def test_no_connection_is_opened_before_a_part_needs_it():
    """Guards against exceeding the connection limit after a power loss.

    Upstreams still hold the connections of entries that lost power, so an
    entry that starts must not open more until it has a part to send.
    """
    driven = subset_pool()
    driven.feed(Tick(), 2.0)
    assert not connected_upstreams(driven)
    driven.feed(PartArrived(make_part(1)), 3.0)
    assert len(driven.sent) == 1


def test_only_the_subset_is_connected_until_a_part_needs_more():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1, hedge_after_s=0.05)), 2.0)
    assert connected_upstreams(driven) == {"u0"}
    driven.feed(Tick(), 2.06)
    assert len(connected_upstreams(driven)) == 2
    upstreams = {
        driven.pool.attempt_by_id[send.attempt_id].upstream_id
        for send in driven.sent
    }
    assert len(upstreams) == 2


def test_failed_part_is_sent_outside_the_subset():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1)), 0.0)
    driven.answer(driven.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.01)
    driven.feed(Tick(), 0.01)
    assert len(driven.sent) == 2


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


def test_entry_without_requests_does_not_reopen_connections():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1)), 2.0)
    driven.answer(driven.sent[0], RowsReply(SNAPSHOT, ()), 2.1)
    view = driven.pool.view_by_upstream["u0"]
    [connection] = view.connection_by_id.values()
    closed = ConnectionClosed(connection.id, "u0", is_planned=True)
    driven.feed(closed, 17.0)
    driven.feed(Tick(), 22.0)
    assert not connected_upstreams(driven)
    driven.feed(PartArrived(make_part(2)), 23.0)
    assert len(driven.sent) == 2


def test_entry_with_requests_reopens_connections():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1)), 12.0)
    [send] = driven.sent
    driven.answer(send, ErrorReply(Reason.UPSTREAM_ERROR), 12.1)
    for view in list(driven.pool.view_by_upstream.values()):
        for connection in list(view.connection_by_id.values()):
            closed = ConnectionClosed(
                connection.id, view.upstream.id, is_planned=True
            )
            driven.feed(closed, 15.0)
    assert "u0" in connected_upstreams(driven)


def test_upstream_that_resets_a_second_connection_gets_no_third():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1)), 0.0)
    driven.feed(PartArrived(make_part(2)), 0.01)
    view = driven.pool.view_by_upstream["u0"]
    assert len(view.connection_by_id) == 2
    lost = driven.sent[1].connection_id
    driven.feed(ConnectionClosed(lost, "u0"), 0.02)
    for number in range(3, 9):
        driven.feed(PartArrived(make_part(number)), 0.02 + number / 10)
        assert len(view.connection_by_id) == 1


def lose_idle_connection(driven, number, now):
    """Lose the connection that a part was sent on and answer its retry."""
    driven.feed(PartArrived(make_part(number)), now)
    send = driven.sent[-1]
    attempt = driven.pool.attempt_by_id[send.attempt_id]
    closed = ConnectionClosed(send.connection_id, attempt.upstream_id)
    driven.feed(closed, now + 0.005)
    driven.feed(Tick(), now + 0.04)
    driven.answer(driven.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.05)


def test_connections_idle_beyond_the_upstream_timeout_are_not_reused():
    driven = subset_pool()
    driven.feed(Tick(), 2.0)
    driven.feed(PartArrived(make_part(1)), 2.0)
    driven.answer(driven.sent[0], RowsReply(SNAPSHOT, ()), 2.01)
    lose_idle_connection(driven, 2, 2.4)
    lose_idle_connection(driven, 3, 2.9)
    used = {send.connection_id for send in driven.sent}
    driven.feed(PartArrived(make_part(4)), 3.5)
    assert driven.sent[-1].connection_id not in used


def test_single_lost_answer_sets_no_idle_timeout():
    driven = subset_pool()
    driven.feed(Tick(), 2.0)
    driven.feed(PartArrived(make_part(1)), 2.0)
    driven.answer(driven.sent[0], RowsReply(SNAPSHOT, ()), 2.01)
    lose_idle_connection(driven, 2, 2.4)
    for number, now in ((3, 3.0), (4, 4.0)):
        driven.feed(PartArrived(make_part(number)), now)
        driven.answer(driven.sent[-1], RowsReply(SNAPSHOT, ()), now + 0.01)
    lose_idle_connection(driven, 5, 5.0)
    assert driven.pool.idle_timeout_valid_until == float("-inf")


def test_part_that_is_not_idempotent_uses_no_long_idle_connection():
    driven = subset_pool()
    driven.feed(PartArrived(make_part(1, idempotent=False)), 0.0)
    driven.answer(driven.sent[0], RowsReply(SNAPSHOT, ()), 0.01)
    driven.feed(PartArrived(make_part(2, idempotent=False)), 0.05)
    assert driven.sent[1].connection_id == driven.sent[0].connection_id
    driven.answer(driven.sent[1], RowsReply(SNAPSHOT, ()), 0.06)
    driven.feed(PartArrived(make_part(3, idempotent=False)), 2.0)
    assert driven.sent[2].connection_id != driven.sent[1].connection_id


def test_first_connections_of_many_entries_spread_over_all_upstreams():
    first = collections.Counter()
    for number in range(60):
        driven = PoolDriver((UPSTREAMS[1], UPSTREAMS[2]))
        part = make_part(number, idempotent=False)
        driven.feed(PartArrived(part), 5.0)
        attempt = driven.pool.attempt_by_id[driven.sent[0].attempt_id]
        first[attempt.upstream_id] += 1
    assert min(first.values()) >= 5
