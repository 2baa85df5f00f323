"""Counts the requests of customers that upstreams begin to run.

A request is counted when it ends, or while it runs for long.  For each part of
a wide request there is one look-up, as the first reply decides the window.
"""

from collections.abc import Callable

from berylspool.common.duty_event import UsageLost, WallClockStepped
from berylspool.common.event import Event
from berylspool.common.part_event import PartAbandoned
from berylspool.process.settings import DutySettings
from berylspool.request.query import Outcome, Query, Refusal
from berylspool.version.duty.counting import (
    UsageCounts,
    WindowUsage,
    confirm_report,
    count_request,
    drop_old_windows,
    take_report,
)
from berylspool.version.duty.request_usage import (
    RequestUsage,
    run_time,
    settle_abandoned,
)
from berylspool.version.duty.window import (
    WallClock,
    observe_clocks,
    wall_time,
    window_at,
)
from berylspool.version.pool.message import ObservedReply

__all__ = ["UsageCounter"]

# An entry that dies loses what it has counted since.  A zone holds a third of
# the entries, so its loss costs at most a thirtieth of a window of 5 s.
REPORT_INTERVAL_S = 0.5
# The pool reports a part that it drops in the next turn of the event loop; if
# the part had ended there by itself, no report comes.
UNDECIDED_S = 0.2
# The first part of a request, sent for the first time; see `request/fanout`.
FIRST_PART = "/0.0.1"


class UsageCounter:
    """Counts requests by window and customer, and reports them to control.

    Args:
        settings: Settings of the duties.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch.
        log: Called with each log event.

    Attributes:
        counts: Counts and what the leader has of them.
        awaited_send_by_part: Requests whose first part was not sent yet, by
            the id of that part.
        awaited_reply_by_request: Requests whose window the next reply may
            decide, by the id of their query.
    """

    def __init__(
        self,
        settings: DutySettings,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log: Callable[[Event], None],
    ) -> None:
        self.counts = UsageCounts()
        self.awaited_send_by_part: dict[str, RequestUsage] = {}
        self.awaited_reply_by_request: dict[str, RequestUsage] = {}
        self._timing = settings.timing
        self._is_enabled = settings.reports_usage
        self._clock = clock
        self._read_wall_clock = wall_clock
        self._log = log
        self._wall_clock = WallClock()
        self._usage_by_request: dict[str, RequestUsage] = {}
        self._undecided_by_part: dict[str, RequestUsage] = {}
        self._open_window_due_at = float("-inf")
        observe_clocks(self._wall_clock, clock(), wall_clock())

    def begin(self, query: Query) -> None:
        """Follow a request whose parts are about to be handed to the pools."""
        forward = query.forward
        if not self._is_enabled or forward is None or not forward.customer:
            return
        usage = RequestUsage(forward.customer, forward.is_part, self._clock())
        self._usage_by_request[query.id] = usage
        self.awaited_reply_by_request[query.id] = usage
        self.awaited_send_by_part[query.id + FIRST_PART] = usage

    def note_send(self, part_id: str) -> None:
        """Note that a copy of a part is sent now."""
        usage = self.awaited_send_by_part.pop(part_id, None)
        if usage is not None:
            usage.sent_at = self._clock()

    def note_reply(self, observed: ObservedReply) -> None:
        """Note a reply by which an upstream has, or may have, run a copy."""
        request_id = observed.part.request_id
        usage = self.awaited_reply_by_request.get(request_id)
        if usage is None:
            return
        sent_at = self._clock() - observed.latency_s
        if usage.ran_at is None or sent_at < usage.ran_at:
            usage.ran_at = sent_at
        if usage.is_wide:
            # All parts are sent in one burst, far shorter than a window.
            del self.awaited_reply_by_request[request_id]

    def end(self, query: Query, outcome: Outcome | None) -> None:
        """Count a request that has ended, if an upstream has run it.

        Args:
            query: The request.
            outcome: Its outcome; None if an unexpected error ended it.
        """
        usage = self._usage_by_request.pop(query.id, None)
        if usage is None:
            return
        first_part = query.id + FIRST_PART
        self.awaited_reply_by_request.pop(query.id, None)
        self.awaited_send_by_part.pop(first_part, None)
        ran_at = run_time(usage, outcome)
        if ran_at is not None:
            self._count(usage, ran_at)
        elif usage.sent_at is not None and not _has_not_run(outcome):
            usage.ended_at = self._clock()
            self._undecided_by_part[first_part] = usage

    def note_abandoned(self, abandoned: PartAbandoned) -> None:
        """Count a request that ended while its first part had no reply."""
        usage = self._undecided_by_part.pop(abandoned.part, None)
        if usage is None:
            return
        ran_at = settle_abandoned(abandoned.unanswered_ms, self._clock())
        if ran_at is not None:
            self._count(usage, ran_at)

    def _count(self, usage: RequestUsage, ran_at: float) -> None:
        if usage.is_counted:
            return
        usage.is_counted = True
        at = wall_time(self._wall_clock, ran_at)
        window = window_at(at, self._timing.window_s)
        count_request(self.counts, window, usage.customer)

    def take_report(
        self, sent_at: float, is_leader_known: bool
    ) -> tuple[WindowUsage, ...]:
        """Return the counts for a heartbeat.

        Args:
            sent_at: Time that the heartbeat states, in monotonic seconds.
            is_leader_known: Whether it goes to the leader only; others store no
                usage.
        """
        if not self._is_enabled:
            return ()
        now = self._clock()
        step_s = observe_clocks(self._wall_clock, now, self._read_wall_clock())
        if step_s:
            self._log(WallClockStepped(round(step_s, 3)))
        self._count_long_requests(now)
        window_s = self._timing.window_s
        current = window_at(wall_time(self._wall_clock, now), window_s)
        for window in drop_old_windows(self.counts, current, window_s):
            self._log(UsageLost(window))
        if not is_leader_known:
            return ()
        end = current
        if now >= self._open_window_due_at:
            self._open_window_due_at = now + REPORT_INTERVAL_S
            # An entry whose clock was set back has counted in later windows.
            end = current + 2
        return take_report(self.counts, sent_at, end)

    def _count_long_requests(self, now: float) -> None:
        for usage in self._usage_by_request.values():
            ran_at = usage.sent_at if usage.ran_at is None else usage.ran_at
            if ran_at is not None and (
                now - ran_at >= self._timing.count_after_s
            ):
                self._count(usage, ran_at)
        for part_id, usage in list(self._undecided_by_part.items()):
            assert usage.ended_at is not None and usage.sent_at is not None
            if now - usage.ended_at >= UNDECIDED_S:
                del self._undecided_by_part[part_id]
                self._count(usage, usage.sent_at)

    def confirm(self, sent_at: float, term: int) -> bool:
        """Handle what a grant confirms.

        Args:
            sent_at: Time of the heartbeat that the grant answers.
            term: Term of the leader that has stored its usage; 0 if it
                collects none.

        Returns:
            Whether a heartbeat with all counts is due at once.
        """
        if not self._is_enabled:
            return False
        is_new = confirm_report(self.counts, sent_at, term)
        if is_new:
            self._open_window_due_at = float("-inf")
        return is_new and bool(self.counts.unconfirmed_by_window)

    def flush(self) -> bool:
        """Let the next heartbeat report all counts, as this process ends.

        Returns:
            Whether there is anything to report.
        """
        self._open_window_due_at = float("-inf")
        for usage in self._undecided_by_part.values():
            if usage.sent_at is not None:
                self._count(usage, usage.sent_at)
        self._undecided_by_part.clear()
        return bool(self.counts.term and self.counts.unconfirmed_by_window)


def _has_not_run(outcome: Outcome | None) -> bool:
    return isinstance(outcome, Refusal) and outcome.not_run
