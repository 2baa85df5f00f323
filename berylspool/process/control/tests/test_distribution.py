"""The leader counts the entries that have requests, and tells all entries."""

from berylspool.connection.control_message import Heartbeat
from berylspool.connection.message import Member
from berylspool.process.control.distribution import (
    BUSY_EXPIRY_S,
    DistributionState,
    count_busy_entries,
    record_busy,
)


def make_heartbeat(name, is_busy):
    member = Member(name, "127.0.0.1", 1)
    return Heartbeat(member, "b", 1, 1, False, 1, 0.0, is_busy=is_busy)


def simulate_heartbeats(busy, idle, seconds, state=None):
    state = state or DistributionState()
    for tick in range(round(seconds * 4)):
        now = tick / 4
        for number in range(busy + idle):
            record_busy(state, make_heartbeat(f"e{number}", number < busy), now)
    return state


def test_count_is_unknown_until_all_entries_have_been_heard():
    state = simulate_heartbeats(1, 0, 4.0)
    assert count_busy_entries(state, 4.0) == 0


def test_count_is_never_too_low_and_seldom_changes():
    counts = set()
    for busy in range(1, 79):
        state = simulate_heartbeats(busy, 78 - busy, BUSY_EXPIRY_S + 1)
        count = count_busy_entries(state, BUSY_EXPIRY_S + 0.75)
        assert busy <= count <= max(busy + 1, busy * 1.25)
        counts.add(count)
    assert len(counts) <= 20


def test_entry_counts_as_busy_for_a_while_after_its_callers_left():
    state = simulate_heartbeats(10, 10, 8.0)
    for number in range(20):
        record_busy(state, make_heartbeat(f"e{number}", False), 9.0)
    assert count_busy_entries(state, 9.0) >= 10
    for number in range(20):
        record_busy(state, make_heartbeat(f"e{number}", False), 14.0)
    assert count_busy_entries(state, 14.0) == 1
