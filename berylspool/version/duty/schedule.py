"""What the leader has to do for its duties, and when.

A leader takes the duty, records the content of each window some seconds after
its end, and sends what is recorded to the platform, one call at a time.
"""

import enum
from dataclasses import dataclass, field

from berylspool.version.duty.collection import UsageCollection, window_total
from berylspool.version.duty.record import (
    USAGE_REPORT,
    ConfirmUsage,
    DutyChange,
    DutyHolder,
    RecordUsage,
    TakeDuty,
    UsageRecords,
)
from berylspool.version.duty.window import window_at, window_end

__all__ = [
    "CallOutcome",
    "DutyState",
    "DutyTiming",
    "UsageCall",
    "begin_call",
    "due_call",
    "due_changes",
    "end_call",
    "lead",
    "may_call",
]

# Entries learn of a new leader within a heartbeat and report with the next
# one, 0.25 s later; the rest is for lost messages and busy entries.
COLLECT_S = 2.0
# Content of more windows than this is not recorded in one turn; a record of
# the log is written by each node before the next heartbeat.
MAX_RECORDED_PER_TURN = 20
# A longer gap comes from a wrong clock or a deployment that was off.
MAX_BACKLOG_S = 24 * 3600.0
# Share of the platform's rate that a backlog uses; the rest is for other
# duties, and for calls of a former holder that arrive late.
USED_RATE_SHARE = 0.4
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Doubles with each refusal in a row, so that a group whose state was lost
# reaches the platform's token within a minute.
MAX_TOKEN_STEP_DOUBLINGS = 40


@dataclass(frozen=True, slots=True)
class DutyTiming:
    """Times that the platform sets, in seconds.

    Attributes:
        window_s: Length of a window of usage.
        late_s: Time after the end of a window at which its report is due.
        lease_s: Time from becoming the leader to the first call, and between
            two tokens.
        calls_per_s: Calls a second that the platform accepts from all nodes.
    """

    window_s: float = 5.0
    late_s: float = 10.0
    lease_s: float = 3.0
    calls_per_s: float = 50.0

    @property
    def record_after_s(self) -> float:
        """Time after the end of a window at which its content is recorded.

        A new leader needs about as long as the rest of `late_s`.
        """
        return 0.6 * self.late_s

    @property
    def count_after_s(self) -> float:
        """Time after its send at which a running request is counted.

        Two thirds of `record_after_s`; the rest is for the way to the leader
        and for differences between clocks.
        """
        return 0.4 * self.late_s


class CallOutcome(enum.StrEnum):
    """How a call to the platform ended.

    Attributes:
        ACCEPTED: The platform has the report.
        SUPERSEDED: It has seen a higher token.
        THROTTLED: It gets too many calls.
        FAILED: There was no response in time, or another one.
        WITHHELD: It was not sent, as this node no longer leads.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    THROTTLED = "throttled"
    FAILED = "failed"
    WITHHELD = "withheld"


@dataclass(frozen=True, slots=True)
class UsageCall:
    """Call that reports the usage of a window.

    Attributes:
        window: Number of the window.
        counts: Recorded number of requests by customer.
        holder: Name of this node.
        token: Its fencing token.
    """

    window: int
    counts: dict[str, int]
    holder: str
    token: int


@dataclass(slots=True)
class DutyState:
    """What a leader remembers for its duties; times are monotonic seconds.

    Attributes:
        term: Term in which this node leads.
        led_since: Time from which it has led with a quorum in that term.
        refused_token: Token that the platform refused; 0 if none.
        refusals: Tokens refused in a row.
        retaken_at: Time at which the duty was last taken after a refusal.
        is_calling: Whether a call has no outcome yet.
        call_after: Time before which no call is made.
        failures: Calls in a row that failed.
        called_at_by_window: Time of the latest call for each window that was
            not accepted.
        accepted_windows: Windows that the platform has accepted, but whose
            acceptance is not recorded yet.
    """

    term: int = 0
    led_since: float = float("inf")
    refused_token: int = 0
    refusals: int = 0
    retaken_at: float = float("-inf")
    is_calling: bool = False
    call_after: float = float("-inf")
    failures: int = 0
    called_at_by_window: dict[int, float] = field(default_factory=dict)
    accepted_windows: set[int] = field(default_factory=set)


def lead(state: DutyState, term: int, now: float) -> None:
    """Record that this node leads with a quorum in a term."""
    if term != state.term:
        state.term, state.led_since = term, now
        state.called_at_by_window.clear()
        state.accepted_windows.clear()


def due_changes(
    state: DutyState,
    held: DutyHolder,
    usage: UsageRecords,
    collection: UsageCollection,
    name: str,
    timing: DutyTiming,
    first_window: int,
    now: float,
    wall_now: float,
) -> list[DutyChange]:
    """Return the changes to propose, if none is waiting to be committed.

    Args:
        state: State of a leader with a quorum; what has been recorded is
            removed, and the time of a new token is set.
        held: Who holds the duty.
        usage: Recorded reports.
        collection: What entries have reported to this leader.
        name: Name of this node.
        timing: Times that the platform sets.
        first_window: First window to report if none was before.
        now: Monotonic time in seconds.
        wall_now: Estimated seconds since the epoch.
    """
    if held.term != state.term or held.holder != name:
        return [TakeDuty(USAGE_REPORT, name, state.term, first_window)]
    if held.token == state.refused_token:
        if now - state.retaken_at < timing.lease_s:
            return []
        state.retaken_at = now
        step = 1 << min(state.refusals - 1, MAX_TOKEN_STEP_DOUBLINGS)
        return [TakeDuty(USAGE_REPORT, name, state.term, first_window, step)]
    state.accepted_windows &= usage.counts_by_window.keys()
    changes: list[DutyChange] = [
        ConfirmUsage(window) for window in sorted(state.accepted_windows)
    ]
    if now - state.led_since < COLLECT_S:
        return changes
    oldest = window_at(wall_now - MAX_BACKLOG_S, timing.window_s)
    first = max(usage.next_window, oldest)
    recorded_until = wall_now - timing.record_after_s
    return changes + [
        RecordUsage(window, window_total(collection, window))
        for window in range(first, first + MAX_RECORDED_PER_TURN)
        if window_end(window, timing.window_s) <= recorded_until
    ]


def may_call(
    state: DutyState,
    held: DutyHolder,
    name: str,
    timing: DutyTiming,
    now: float,
) -> bool:
    """Return whether a leader with a quorum may make a call of its duty."""
    return (
        held.holder == name
        and held.term == state.term
        and held.token != state.refused_token
        and now - state.led_since >= timing.lease_s
    )


def due_call(
    state: DutyState,
    held: DutyHolder,
    usage: UsageRecords,
    timing: DutyTiming,
    now: float,
    wall_now: float,
) -> UsageCall | None:
    """Return the next call of a node that may make one, or None.

    Windows that are not late yet come first, among them those that were not
    sent yet, and then those whose latest call is oldest.
    """
    if state.is_calling or now < state.call_after:
        return None
    waiting = usage.counts_by_window.keys() - state.accepted_windows
    if not waiting:
        return None

    def urgency(window: int) -> tuple[bool, float, int]:
        late_at = window_end(window, timing.window_s) + timing.late_s
        called_at = state.called_at_by_window.get(window, float("-inf"))
        return wall_now > late_at, called_at, window

    window = min(waiting, key=urgency)
    counts = usage.counts_by_window[window]
    return UsageCall(window, counts, held.holder, held.token)


def begin_call(
    state: DutyState, call: UsageCall, timing: DutyTiming, now: float
) -> None:
    """Record that a call is made now."""
    state.is_calling = True
    state.called_at_by_window[call.window] = now
    state.call_after = now + 1.0 / (timing.calls_per_s * USED_RATE_SHARE)


def end_call(
    state: DutyState, call: UsageCall, outcome: CallOutcome, now: float
) -> None:
    """Record the outcome of a call.

    Args:
        state: State to change in place.
        call: The call.
        outcome: Its outcome.
        now: Monotonic time in seconds.
    """
    state.is_calling = False
    match outcome:
        case CallOutcome.ACCEPTED:
            state.failures = state.refusals = 0
            state.called_at_by_window.pop(call.window, None)
            state.accepted_windows.add(call.window)
        case CallOutcome.SUPERSEDED if call.token > state.refused_token:
            state.refused_token = call.token
            state.refusals += 1
        case CallOutcome.THROTTLED | CallOutcome.FAILED:
            retry_s = min(MIN_RETRY_S * 2**state.failures, MAX_RETRY_S)
            state.failures = min(state.failures + 1, 10)
            state.call_after = max(state.call_after, now + retry_s)
