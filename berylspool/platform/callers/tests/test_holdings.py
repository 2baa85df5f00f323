"""Which client is dropped first."""

from hypothesis import given
from hypothesis import strategies as st

from berylspool.platform.callers.holdings import (
    CONNECTION_BYTES,
    MIN_PROGRESS_BYTES,
    SMALL_BYTES,
    HoldingLimits,
    Holdings,
    Stage,
    find_excess_connection,
    find_excess_holder,
    hold,
    release,
)

NO_MEMORY = HoldingLimits(0, 100)
NO_CONNECTIONS = HoldingLimits(10**9, 0)


def make_holdings(*items):
    """Return holdings of clients `(name, stage, bytes, time)`."""
    holdings = Holdings()
    for name, stage, byte_count, at in items:
        hold(holdings, name, stage, byte_count, at)
    return holdings


def test_longest_without_progress_is_dropped_first():
    """A new small request would be dropped by an order of sizes or arrival."""
    holdings = make_holdings(
        ("stuck", Stage.READING, 100, 1.0), ("new", Stage.READING, 10, 9.0)
    )
    assert find_excess_holder(holdings, NO_MEMORY) == "stuck"


def test_few_bytes_now_and_then_are_no_progress():
    """A client that sends a byte a second would never be dropped."""
    holdings = make_holdings(
        ("drip", Stage.READING, 100, 1.0), ("steady", Stage.READING, 100, 2.0)
    )
    hold(holdings, "steady", Stage.READING, 200, 3.0, MIN_PROGRESS_BYTES)
    hold(holdings, "drip", Stage.READING, 101, 4.0, 1)
    assert find_excess_holder(holdings, NO_MEMORY) == "drip"
    hold(holdings, "drip", Stage.READING, 2000, 5.0, MIN_PROGRESS_BYTES)
    assert find_excess_holder(holdings, NO_MEMORY) == "steady"


def test_large_holdings_go_before_small_ones_and_running_ones_last():
    """A flood of whole large requests displaced every small one in pieces."""
    large = 2 * SMALL_BYTES
    holdings = make_holdings(
        ("small runs", Stage.RUNNING, 100, 0.0),
        ("large runs", Stage.RUNNING, large, 1.0),
        ("large sends", Stage.READING, large, 5.0),
        ("large reads", Stage.WRITING, large, 4.0),
        ("small sends", Stage.READING, 100, 3.0),
        ("idle", Stage.IDLE, 0, 2.0),
    )
    order = []
    while (name := find_excess_holder(holdings, NO_MEMORY)) is not None:
        order.append(name)
        release(holdings, name)
    assert order == [
        "large reads",
        "large sends",
        "large runs",
        "idle",
        "small sends",
        "small runs",
    ]


def test_idle_connection_makes_room_for_a_new_one():
    holdings = make_holdings(
        ("runs", Stage.RUNNING, 100, 1.0),
        ("idle", Stage.IDLE, 0, 2.0),
        ("sends", Stage.READING, 100, 3.0),
    )
    assert find_excess_connection(holdings, NO_CONNECTIONS) == "idle"


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from([*Stage, None]),
            st.integers(0, 10**6),
            st.integers(0, 5000),
        )
    )
)
def test_sum_is_that_of_the_open_connections(calls):
    """A lost byte count would in time refuse everybody, or nobody."""
    holdings, expected = Holdings(), {}
    for now, (client, stage, byte_count, moved) in enumerate(calls):
        if stage is None:
            release(holdings, client)
            expected.pop(client, None)
        else:
            hold(holdings, client, stage, byte_count, float(now), moved)
            expected[client] = (stage, byte_count + CONNECTION_BYTES)
        assert holdings.byte_count == sum(b for _, b in expected.values())
        for (stage, is_large), members in holdings.clients_by_group.items():
            assert set(members) == {
                c
                for c, (s, b) in expected.items()
                if s is stage
                and (b > CONNECTION_BYTES + SMALL_BYTES) is is_large
            }
            times = [
                holdings.holding_by_client[c].progressed_at for c in members
            ]
            assert times == sorted(times)
