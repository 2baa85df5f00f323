"""What a leader does for its duties: tokens, records, calls and their order."""

import pytest

from berylspool.version.duty.collection import UsageCollection, add_usage
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.duty.record import (
    USAGE_REPORT,
    ConfirmUsage,
    DutyHolder,
    RecordUsage,
    TakeDuty,
    UsageRecords,
    confirm_usage,
    record_usage,
    take_duty,
)
from berylspool.version.duty.schedule import (
    COLLECT_S,
    MAX_BACKLOG_S,
    MAX_RECORDED_PER_TURN,
    MAX_RETRY_S,
    CallOutcome,
    DutyState,
    DutyTiming,
    begin_call,
    due_call,
    due_changes,
    end_call,
    lead,
    may_call,
)

NAME = "control-1"
TIMING = DutyTiming()
EPOCH_S = 1_700_000_000.0
FIRST = 340_000_000


class Leader:
    """A leader, the replicated state, and a clock; changes commit at once."""

    def __init__(self, term=1, now=0.0):
        self.state = DutyState()
        self.holders = {}
        self.usage = UsageRecords()
        self.collection = UsageCollection(term)
        self.now = now
        lead(self.state, term, now)

    @property
    def held(self):
        return self.holders.get(USAGE_REPORT, DutyHolder())

    def commit(self):
        """Propose and apply what is due; return it."""
        changes = due_changes(
            self.state,
            self.held,
            self.usage,
            self.collection,
            NAME,
            TIMING,
            FIRST,
            self.now,
            EPOCH_S + self.now,
        )
        for change in changes:
            match change:
                case TakeDuty():
                    take_duty(self.holders, self.usage, change)
                case RecordUsage():
                    record_usage(self.usage, change)
                case ConfirmUsage():
                    confirm_usage(self.usage, change)
        return changes

    def call(self):
        """Begin the call that is due, if this node may make one."""
        if not may_call(self.state, self.held, NAME, TIMING, self.now):
            return None
        wall_now = EPOCH_S + self.now
        call = due_call(
            self.state, self.held, self.usage, TIMING, self.now, wall_now
        )
        if call is not None:
            begin_call(self.state, call, TIMING, self.now)
        return call

    def run_until(self, end, respond=lambda call: CallOutcome.ACCEPTED):
        """Run to a time; return each call with its time."""
        calls = []
        while self.now < end:
            self.commit()
            call = self.call()
            if call is not None:
                calls.append((self.now, call))
                end_call(self.state, call, respond(call), self.now)
            self.now += 0.05
        return calls


def test_new_leader_takes_a_higher_token_and_waits_a_lease():
    # Guards against two holders with one token, and calls in the order A, B, A
    # within a lease.
    leader = Leader(term=5)
    leader.holders[USAGE_REPORT] = DutyHolder("control-0", 7, 4)
    leader.usage.next_window = FIRST
    leader.usage.counts_by_window[FIRST - 1] = {"a": 1}
    [taken] = leader.commit()
    assert isinstance(taken, TakeDuty)
    assert leader.held == DutyHolder(NAME, 8, 5)
    calls = leader.run_until(4.0)
    assert calls[0][0] >= TIMING.lease_s and calls[0][1].token == 8


def test_same_node_takes_a_new_token_in_each_term():
    # Guards against the calls of a process that died, which may be executed
    # while its successor on the machine makes others.
    leader = Leader(term=6)
    leader.holders[USAGE_REPORT] = DutyHolder(NAME, 7, 5)
    leader.commit()
    assert leader.held == DutyHolder(NAME, 8, 6)


def test_window_is_recorded_some_seconds_after_its_end_and_reported_in_time():
    leader = Leader()
    calls = leader.run_until(30.0)
    assert [call.window for _, call in calls] == list(range(FIRST, FIRST + 4))
    for at, call in calls:
        end = 5.0 * (call.window - FIRST + 1)
        assert TIMING.record_after_s <= at - end < TIMING.late_s
        assert call.counts == {}
    assert leader.usage.reported_window == FIRST + 3


def test_content_is_what_was_collected_when_it_was_recorded():
    # Guards against two reports of a window with different counts.
    leader = Leader()
    leader.run_until(10.0)
    add_usage(
        leader.collection,
        "x",
        (WindowUsage(FIRST, {"a": 2}),),
        leader.usage.next_window,
        FIRST,
    )

    def respond(call):
        late = (WindowUsage(FIRST, {"a": 3}),)
        add_usage(leader.collection, "x", late, 0, FIRST)
        return CallOutcome.FAILED

    calls = leader.run_until(14.0, respond)
    assert len(calls) > 3
    assert {tuple(call.counts.items()) for _, call in calls} == {(("a", 2),)}


def test_new_leader_waits_for_entries_before_it_records_an_old_window():
    # Guards against empty reports of a time without a leader.
    leader = Leader(now=100.0)
    leader.commit()
    leader.usage.next_window = FIRST
    leader.now += COLLECT_S - 0.1
    assert leader.commit() == []
    reported = (WindowUsage(FIRST + 3, {"a": 2}),)
    add_usage(leader.collection, "x", reported, FIRST, FIRST + 20)
    leader.now += 0.2
    recorded = {change.window: change.counts for change in leader.commit()}
    assert recorded[FIRST + 3] == {"a": 2}
    assert min(recorded) == FIRST and max(recorded) == FIRST + 18


@pytest.mark.parametrize("was_sent", [False, True])
def test_new_leader_sends_what_a_former_one_has_recorded(was_sent):
    # Guards against a second report with other counts; whether the former
    # leader has sent the first cannot be read back.
    former = Leader()
    former.run_until(10.5)
    usage = (WindowUsage(FIRST, {"a": 2}),)
    add_usage(former.collection, "x", usage, FIRST, FIRST)
    former.now = 11.0
    former.commit()
    sent = former.call() if was_sent else None
    successor = Leader(term=2, now=11.5)
    successor.holders, successor.usage = former.holders, former.usage
    late = (WindowUsage(FIRST, {"a": 3}),)
    add_usage(successor.collection, "x", late, FIRST, FIRST)
    calls = [call for _, call in successor.run_until(15.0)]
    assert [(call.window, call.counts) for call in calls] == [(FIRST, {"a": 2})]
    assert sent is None or (sent.counts, sent.token) == ({"a": 2}, 1)
    assert calls[0].token == 2


def test_recorded_content_is_not_replaced():
    # Guards against a leader whose record was committed after the next one's.
    usage = UsageRecords(next_window=7)
    record_usage(usage, RecordUsage(7, {"a": 1}))
    record_usage(usage, RecordUsage(7, {"a": 2}))
    confirm_usage(usage, ConfirmUsage(7))
    record_usage(usage, RecordUsage(7, {"a": 3}))
    assert usage == UsageRecords(8, {}, 7)


def test_long_gap_is_recorded_in_turns_and_not_beyond_a_limit():
    # Guards against millions of reports after a start with a wrong clock.
    leader = Leader(now=10 * MAX_BACKLOG_S)
    leader.commit()
    leader.usage.next_window = FIRST
    leader.now += COLLECT_S
    recorded = [change.window for change in leader.commit()]
    assert len(recorded) == MAX_RECORDED_PER_TURN
    assert recorded[0] >= FIRST + 9 * MAX_BACKLOG_S / TIMING.window_s


def test_token_that_was_refused_is_not_used_again():
    # Guards against more calls with a token after a 409 than are allowed.
    leader = Leader()
    tokens = []

    def respond(call):
        tokens.append((leader.now, call.token))
        return CallOutcome.SUPERSEDED

    leader.run_until(60.0, respond)
    times = [at for at, _ in tokens]
    assert len({token for _, token in tokens}) == len(tokens) > 5
    # A new token at once, and then once in a lease.
    waits = [b - a for a, b in zip(times[1:], times[2:], strict=False)]
    assert all(wait >= TIMING.lease_s for wait in waits)


def test_token_of_the_platform_is_reached_after_the_state_was_lost():
    # Guards against reports that are refused for as many leases as there were
    # holders before a restore.
    leader = Leader()

    def respond(call):
        is_low = call.token < 1000
        return CallOutcome.SUPERSEDED if is_low else CallOutcome.ACCEPTED

    leader.run_until(60.0, respond)
    assert leader.usage.reported_window >= FIRST + 8
    assert leader.state.refusals == 0


def test_node_without_the_newest_token_makes_no_call():
    # Guards against a frozen leader that resumes with an old token.
    leader = Leader()
    leader.run_until(20.0)
    leader.holders[USAGE_REPORT] = DutyHolder("control-0", 2, 2)
    assert not may_call(leader.state, leader.held, NAME, TIMING, leader.now)


def test_late_windows_leave_those_that_are_not_late_first():
    # Guards against a backlog that makes all later windows late, too.
    leader = Leader(now=200.0)
    leader.commit()
    leader.usage.next_window = FIRST
    first_calls = [call.window for _, call in leader.run_until(206.0)][:3]
    assert first_calls[:2] == [FIRST + 38, FIRST]


def test_window_that_fails_does_not_hold_up_the_others():
    # Guards against a call that always runs into its time-out.
    leader = Leader()
    bad = FIRST + 1

    def respond(call):
        is_bad = call.window == bad
        return CallOutcome.FAILED if is_bad else CallOutcome.ACCEPTED

    calls = leader.run_until(40.0, respond)
    at_by_window = {}
    for at, call in calls:
        at_by_window.setdefault(call.window, at)
    assert len(at_by_window) == 6
    for window, at in at_by_window.items():
        assert at - 5.0 * (window - FIRST + 1) < TIMING.late_s
    assert set(leader.usage.counts_by_window) == {bad}


@pytest.mark.parametrize("outcome", [CallOutcome.THROTTLED, CallOutcome.FAILED])
def test_failed_calls_are_made_again_ever_more_slowly(outcome):
    # Guards against a flood of calls to a platform that is down or throttles.
    leader = Leader()
    calls = leader.run_until(31.0, lambda call: outcome)
    times = [at for at, _ in calls]
    assert times[1] - times[0] < 0.2
    assert all(
        b - a >= MAX_RETRY_S for a, b in zip(times[6:], times[7:], strict=False)
    )
    recovered = leader.run_until(36.0)
    assert len(recovered) >= 4 and not leader.usage.counts_by_window


def test_backlog_stays_below_the_rate_of_the_platform():
    leader = Leader(now=1000.0)
    leader.commit()
    leader.usage.next_window = FIRST
    calls = leader.run_until(1010.0)
    times = [at for at, _ in calls]
    busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
    assert 10 <= busiest <= TIMING.calls_per_s / 2


def test_one_call_at_a_time():
    leader = Leader()
    leader.run_until(10.5)
    leader.now += 10.0
    leader.commit()
    call = leader.call()
    assert call is not None
    leader.now += 0.5
    assert leader.call() is None
    end_call(leader.state, call, CallOutcome.ACCEPTED, leader.now)
    assert leader.call().window != call.window


def test_accepted_window_is_confirmed_until_that_is_recorded():
    # Guards against a report that is sent over and over while its confirmation
    # waits, or whose confirmation was lost with a proposal.
    leader = Leader()
    leader.run_until(10.9)
    leader.now = 11.05
    leader.commit()
    call = leader.call()
    end_call(leader.state, call, CallOutcome.ACCEPTED, leader.now)
    leader.now += 1.0
    assert leader.call() is None
    before = dict(leader.usage.counts_by_window)
    assert ConfirmUsage(call.window) in leader.commit()
    leader.usage.counts_by_window.update(before)
    assert ConfirmUsage(call.window) in leader.commit()
