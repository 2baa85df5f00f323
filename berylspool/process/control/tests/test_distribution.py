"""The leader counts the entries that have requests, and tells all entries."""

from berylspool.connection.control_message import Heartbeat
from berylspool.connection.message import Member
from berylspool.process.control.distribution import (
    BUSY_KEPT_S,
    Distribution,
    busy_entries,
    keep_busy,
)


def beat(name, is_busy):
    member = Member(name, "127.0.0.1", 1)
    return Heartbeat(member, "b", 1, 1, False, 1, 0.0, is_busy=is_busy)


def play(busy, idle, seconds, state=None):
    state = state or Distribution()
    for tick in range(round(seconds * 4)):
        now = tick / 4
        for number in range(busy + idle):
            keep_busy(state, beat(f"e{number}", number < busy), now)
    return state


def test_nobody_is_told_a_number_before_all_were_heard():
    state = play(1, 0, 4.0)
    assert busy_entries(state, 4.0) == 0


def test_the_number_is_never_below_and_seldom_changes():
    told = set()
    for busy in range(1, 79):
        state = play(busy, 78 - busy, BUSY_KEPT_S + 1)
        count = busy_entries(state, BUSY_KEPT_S + 0.75)
        assert busy <= count <= max(busy + 1, busy * 1.25)
        told.add(count)
    assert len(told) <= 20


def test_an_entry_whose_callers_left_counts_for_a_while():
    state = play(10, 10, 8.0)
    for number in range(20):
        keep_busy(state, beat(f"e{number}", False), 9.0)
    assert busy_entries(state, 9.0) >= 10
    for number in range(20):
        keep_busy(state, beat(f"e{number}", False), 14.0)
    assert busy_entries(state, 14.0) == 1
