"""Which requests an entry counts, in which window, and when it reports them."""

import pytest

from berylspool.common.part_event import PartAbandoned
from berylspool.process.entry.usage.usage_counter import (
    REPORT_INTERVAL_S,
    UNDECIDED_S,
    UsageCounter,
)
from berylspool.process.settings import DutySettings
from berylspool.request.query import (
    Answer,
    Coverage,
    Forward,
    Part,
    Query,
    Reason,
    Refusal,
    Snapshot,
)
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.pool.message import (
    ErrorReply,
    ObservedReply,
    OutrunReply,
    RowsReply,
)

EPOCH_S = 1_700_000_000.0
FIRST = 340_000_000
SNAPSHOT = Snapshot("", 1)
ROWS = RowsReply(SNAPSHOT, ())
ANSWER = Answer("r", SNAPSHOT, (), Coverage(1, 1), 1)
REFUSED = Refusal("r", Reason.OVERLOAD, True, 0.0)
TIMED_OUT = Refusal("r", Reason.TIMEOUT, False, 0.0)


class Entry:
    """A counter with clocks that the test sets, and the leader's part."""

    def __init__(self, names=("usage_report",)):
        self.now, self.wall_error_s, self.events = 0.0, 0.0, []
        self.counter = UsageCounter(
            DutySettings(names=names),
            clock=lambda: self.now,
            wall_clock=lambda: EPOCH_S + self.now + self.wall_error_s,
            log=self.events.append,
        )
        self.counter.confirm(0.0, 1)

    def begin(self, customer="a", is_wide=False, id="r"):
        forward = Forward(
            "GET", "/", (), b"", is_part=is_wide, customer=customer
        )
        query = Query(id, "route", "", 1e9, "f", forward=forward)
        self.counter.begin(query)
        return query

    def send(self, query, shard=0):
        self.counter.note_send(f"{query.id}/0.{shard}.1")

    def reply(self, query, reply, latency_s, shard=0):
        part = Part(
            f"{query.id}/0.{shard}.1",
            query.id,
            "s",
            shard,
            SNAPSHOT,
            "",
            1.0,
            "f",
            True,
            "route",
            query.forward,
        )
        observed = ObservedReply(part, reply, latency_s, True, "i")
        self.counter.note_reply(observed)

    def abandon(self, query, **unanswered_ms):
        abandoned = PartAbandoned(
            f"{query.id}/0.0.1", "s", 0, 1, 0, unanswered_ms, 0, False, 0
        )
        self.counter.note_abandoned(abandoned)

    def report(self, confirms=True):
        """Return the counts of one heartbeat by window and customer."""
        report = self.counter.take_report(self.now, True)
        if confirms:
            self.counter.confirm(self.now, 1)
        return {usage.window: usage.counts for usage in report}


@pytest.fixture
def entry():
    return Entry()


def test_answered_request_counts_in_the_window_of_its_send(entry):
    # Guards against the window of the response, or of the arrival of a request
    # that waited.
    entry.now = 4.0
    query = entry.begin()
    entry.now = 6.0
    entry.send(query)
    entry.now = 12.0
    entry.reply(query, ROWS, 6.0)
    entry.counter.end(query, ANSWER)
    assert entry.report() == {FIRST + 1: {"a": 1}}


def test_first_copy_that_ran_decides_the_window(entry):
    # Guards against the window of a hedge that answers first.
    query = entry.begin()
    entry.now = 4.9
    entry.send(query)
    entry.now = 5.1
    entry.send(query)
    entry.now = 5.5
    entry.reply(query, ROWS, 0.4)
    entry.reply(query, OutrunReply(), 0.6)
    entry.counter.end(query, ANSWER)
    assert entry.report() == {FIRST: {"a": 1}}


def test_copy_that_was_refused_does_not_decide_the_window(entry):
    query = entry.begin()
    entry.now = 4.9
    entry.send(query)
    entry.now = 5.2
    entry.send(query)
    entry.now = 5.4
    entry.reply(query, ROWS, 0.2)
    entry.counter.end(query, ANSWER)
    assert entry.report() == {FIRST + 1: {"a": 1}}


def test_wide_request_counts_once(entry):
    entry.now = 1.0
    query = entry.begin(is_wide=True)
    for shard in range(90):
        entry.send(query, shard)
    for shard in range(90):
        entry.now += 0.001
        entry.reply(query, ROWS, 0.01, shard)
    entry.counter.end(query, ANSWER)
    entry.now = 2.0
    assert entry.report() == {FIRST: {"a": 1}}
    assert not entry.counter.awaited_reply_by_request
    assert not entry.counter.awaited_send_by_part


def test_failed_request_counts_if_an_upstream_may_have_run_it(entry):
    query = entry.begin()
    entry.send(query)
    entry.now = 0.5
    entry.reply(query, ErrorReply(Reason.CONNECTION_LOST), 0.5)
    entry.counter.end(query, TIMED_OUT)
    assert entry.report() == {FIRST: {"a": 1}}


def test_refused_request_does_not_count(entry):
    query = entry.begin()
    entry.send(query)
    entry.counter.end(query, REFUSED)
    entry.now = 9.0
    assert entry.report() == {}


def test_request_whose_time_passes_in_the_queue_does_not_count(entry):
    query = entry.begin()
    entry.now = 2.0
    entry.counter.end(query, TIMED_OUT)
    entry.now = 9.0
    assert entry.report() == {}


def test_request_that_waits_after_a_refusal_does_not_count(entry):
    # Guards against taking a copy that was refused for one that may have run.
    query = entry.begin()
    entry.send(query)
    entry.now = 2.0
    entry.counter.end(query, TIMED_OUT)
    entry.abandon(query)
    entry.now = 9.0
    assert entry.report() == {}


@pytest.mark.parametrize("is_reported", [True, False])
def test_request_that_ends_while_a_copy_runs_counts(entry, is_reported):
    # The pool reports the part, unless its own deadline was first.
    entry.now = 4.0
    query = entry.begin()
    entry.send(query)
    entry.now = 6.0
    entry.counter.end(query, TIMED_OUT)
    if is_reported:
        entry.abandon(query, one=2000, other=500)
    entry.now += UNDECIDED_S
    assert entry.report() == {FIRST: {"a": 1}}


def test_long_request_counts_while_it_runs_and_only_once(entry):
    # Guards against a request of 8 s that ends after its window was recorded.
    entry.now = 4.0
    query = entry.begin()
    entry.send(query)
    entry.now = 7.9
    assert entry.report() == {}
    entry.now = 8.0
    assert entry.report() == {FIRST: {"a": 1}}
    entry.now = 12.0
    entry.reply(query, ROWS, 8.0)
    entry.counter.end(query, ANSWER)
    assert entry.report() == {}


def test_long_request_that_was_never_sent_does_not_count(entry):
    entry.begin()
    entry.now = 8.0
    assert entry.report() == {}


def test_part_that_another_process_sent_counts_at_its_start(entry):
    entry.now = 4.0
    query = entry.begin(is_wide=True)
    entry.now = 6.0
    entry.counter.end(query, ANSWER)
    assert entry.report() == {FIRST: {"a": 1}}


def test_request_without_a_customer_is_not_followed(entry):
    query = entry.begin(customer="")
    assert not entry.counter.awaited_reply_by_request
    entry.counter.end(query, ANSWER)
    assert entry.report() == {}


def test_without_the_duty_nothing_is_counted():
    entry = Entry(names=())
    query = entry.begin()
    assert not entry.counter.awaited_send_by_part
    entry.counter.end(query, ANSWER)
    assert entry.report() == {}
    assert not entry.counter.confirm(0.0, 1)


@pytest.mark.parametrize("jump_s", [2.0, -2.0])
def test_jump_of_the_wall_clock_moves_no_request(entry, jump_s):
    # Guards against windows by the reading of a clock that is wrong for a
    # while.
    entry.now = 4.0
    entry.wall_error_s = jump_s
    for _ in range(10):
        entry.now += 0.25
        entry.report()
    query = entry.begin()
    entry.send(query)
    entry.reply(query, ROWS, 0.0)
    entry.counter.end(query, ANSWER)
    entry.now += 5.0
    assert entry.report() == {FIRST + 1: {"a": 1}}


def test_open_window_is_reported_at_intervals(entry):
    # An entry that dies loses what it counted since: half a second. Guards
    # against longer losses, and against bytes for each heartbeat.
    reports = 0
    for number in range(20):
        entry.now = number * 0.25
        query = entry.begin(id=f"r{number}")
        entry.send(query)
        entry.reply(query, ROWS, 0.0)
        entry.counter.end(query, ANSWER)
        report = entry.report()
        if report:
            reports += 1
            assert report == {FIRST: {"a": number + 1}}
        unreported = entry.counter.counts.unconfirmed_by_window
        assert not unreported or number % 2
    assert reports == 20 * 0.25 / REPORT_INTERVAL_S


def test_closed_window_is_reported_until_it_is_confirmed(entry):
    query = entry.begin()
    entry.send(query)
    entry.reply(query, ROWS, 0.0)
    entry.counter.end(query, ANSWER)
    for number in range(3):
        entry.now = 6.0 + number * 0.25
        assert entry.report(confirms=False) == {FIRST: {"a": 1}}
    entry.counter.confirm(entry.now, 1)
    entry.now += 0.25
    assert entry.report() == {}


def test_nothing_is_reported_to_nodes_that_may_not_lead(entry):
    # Guards against a report to every control node while none leads.
    query = entry.begin()
    entry.counter.end(query, ANSWER)
    assert entry.counter.take_report(9.0, False) == ()
    assert entry.counter.confirm(9.0, 2)
    usage = (WindowUsage(FIRST, {"a": 1}),)
    assert entry.counter.take_report(9.1, True) == usage


def test_stopping_entry_reports_what_is_left(entry):
    entry.report()
    query = entry.begin()
    entry.counter.end(query, ANSWER)
    assert entry.report() == {}
    assert entry.counter.flush()
    assert entry.report() == {FIRST: {"a": 1}}
    assert not entry.counter.flush()


def test_window_that_no_leader_confirmed_is_logged_when_dropped(entry):
    query = entry.begin()
    entry.counter.end(query, ANSWER)
    entry.now = 700.0
    assert entry.report() == {}
    assert [event.window for event in entry.events] == [FIRST]
