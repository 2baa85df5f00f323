"""Way of the counts from entries to leaders that fail and messages lost."""

import random

import pytest

from berylspool.version.duty.collection import (
    MAX_WINDOWS_AHEAD,
    UsageCollection,
    add_usage,
    drop_recorded,
    window_total,
)
from berylspool.version.duty.counting import (
    KEEP_CONFIRMED_S,
    KEEP_UNCONFIRMED_S,
    MAX_WINDOWS_PER_REPORT,
    UsageCounts,
    WindowUsage,
    confirm_report,
    count_request,
    drop_old_windows,
    take_report,
)

WINDOW_S = 5.0
END = 1 << 40


def make_counts(*windows, term=1):
    usage = UsageCounts(term=term)
    for window in windows:
        count_request(usage, window, "a")
    return usage


def test_nothing_is_reported_to_a_leader_that_collects_no_usage():
    # Guards against new fields for a control node of an earlier build.
    usage = make_counts(7, term=0)
    assert take_report(usage, 1.0, END) == ()
    assert not confirm_report(usage, 1.0, 0)


def test_lost_heartbeat_is_made_up_for_by_the_next():
    usage = make_counts(7)
    assert take_report(usage, 1.0, END) == (WindowUsage(7, {"a": 1}),)
    count_request(usage, 7, "a")
    count_request(usage, 7, "b")
    repeated = (WindowUsage(7, {"a": 2, "b": 1}),)
    assert take_report(usage, 1.25, END) == repeated
    confirm_report(usage, 1.25, 1)
    assert take_report(usage, 1.5, END) == ()


def test_request_counted_on_the_way_of_the_report_is_reported_too():
    # Guards against a confirmation of more than was in the report.
    usage = make_counts(7)
    take_report(usage, 1.0, END)
    count_request(usage, 7, "a")
    confirm_report(usage, 1.0, 1)
    assert take_report(usage, 1.25, END) == (WindowUsage(7, {"a": 2}),)


def test_only_customers_that_changed_are_reported_again():
    # Guards against bytes between zones that tell nothing new.
    usage = make_counts(7)
    count_request(usage, 7, "b")
    take_report(usage, 1.0, END)
    confirm_report(usage, 1.0, 1)
    count_request(usage, 7, "b")
    assert take_report(usage, 1.25, END) == (WindowUsage(7, {"b": 2}),)


def test_open_window_waits():
    usage = make_counts(7, 8)
    assert take_report(usage, 1.0, 8) == (WindowUsage(7, {"a": 1}),)


@pytest.mark.parametrize("term", [2, 1])
def test_new_leader_gets_what_a_former_one_has_confirmed(term):
    # Guards against windows that only the memory of a dead leader held. A
    # group that was restored from a backup has a lower term.
    usage = make_counts(7, 8, term=3 - term)
    take_report(usage, 1.0, END)
    confirm_report(usage, 1.0, 3 - term)
    assert take_report(usage, 1.25, END) == ()
    assert confirm_report(usage, 1.25, term)
    assert [w.window for w in take_report(usage, 1.5, END)] == [7, 8]


def test_counts_are_kept_while_a_leader_may_need_them():
    # Guards against the loss of windows of a time without a leader.
    usage = make_counts(0, 1)
    take_report(usage, 1.0, 1)
    confirm_report(usage, 1.0, 1)
    kept = int(KEEP_CONFIRMED_S / WINDOW_S)
    assert drop_old_windows(usage, kept, WINDOW_S) == []
    assert set(usage.counts_by_window) == {0, 1}
    assert drop_old_windows(usage, kept + 2, WINDOW_S) == []
    assert set(usage.counts_by_window) == {1}
    unconfirmed_kept = int(KEEP_UNCONFIRMED_S / WINDOW_S)
    assert drop_old_windows(usage, unconfirmed_kept + 1, WINDOW_S) == []
    assert drop_old_windows(usage, unconfirmed_kept + 2, WINDOW_S) == [1]
    assert not usage.counts_by_window and not usage.unconfirmed_by_window


def test_report_after_a_long_time_without_a_leader_is_divided():
    usage = make_counts(*range(MAX_WINDOWS_PER_REPORT + 2))
    first = take_report(usage, 1.0, END)
    assert [w.window for w in first] == list(range(MAX_WINDOWS_PER_REPORT))
    confirm_report(usage, 1.0, 1)
    assert len(take_report(usage, 1.25, END)) == 2


def test_unanswered_reports_use_bounded_memory():
    usage = make_counts(7)
    for number in range(1000):
        take_report(usage, float(number), END)
    assert len(usage.report_by_time) < 20


def test_windows_far_ahead_and_recorded_ones_are_not_stored():
    # Guards against memory that grows by an entry with a wrong clock.
    collection = UsageCollection()
    windows = (4, 5, 10 + MAX_WINDOWS_AHEAD, 11 + MAX_WINDOWS_AHEAD)
    reported = tuple(WindowUsage(window, {"a": 1}) for window in windows)
    add_usage(collection, "x", reported, first=5, current=10)
    assert set(collection.counts_by_window) == {5, 10 + MAX_WINDOWS_AHEAD}
    drop_recorded(collection, 6)
    assert set(collection.counts_by_window) == {10 + MAX_WINDOWS_AHEAD}


@pytest.mark.parametrize("seed", range(40))
def test_last_leader_has_all_counts_whatever_was_lost(seed):
    # Heartbeats and grants are lost, repeated and overtake each other, and
    # leaders change.
    rng = random.Random(seed)
    term, collection, truth = 1, UsageCollection(1), {}
    entries = {boot: UsageCounts() for boot in ("x", "y", "z")}
    heartbeats, grants, now = [], [], 0.0
    for turn in range(400):
        now += 0.25
        is_quiet = turn > 380
        for boot, usage in entries.items():
            if not is_quiet and rng.random() < 0.5:
                window, customer = rng.randrange(8), rng.choice("ab")
                count_request(usage, window, customer)
                truth.setdefault(window, {}).setdefault(customer, 0)
                truth[window][customer] += 1
            heartbeats.append((boot, now, take_report(usage, now, END)))
        if not is_quiet and rng.random() < 0.05:
            term += 1
            collection = UsageCollection(term)
        rng.shuffle(heartbeats)
        while len(heartbeats) > (0 if is_quiet else 3):
            boot, sent_at, report = heartbeats.pop()
            if not is_quiet and rng.random() < 0.2:
                continue
            add_usage(collection, boot, report, 0, 8)
            grants.append((boot, sent_at, term))
        rng.shuffle(grants)
        while len(grants) > (0 if is_quiet else 3):
            boot, sent_at, granted_term = grants.pop()
            if is_quiet or rng.random() > 0.2:
                confirm_report(entries[boot], sent_at, granted_term)
    total = {window: window_total(collection, window) for window in truth}
    assert total == truth
