"""The usage report as a duty of the control leader.

Part of the control task: what it decides is in `version/duty`, its calls are
made by a task of their own.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

from berylspool.common.duty_event import (
    DutyCallEnded,
    DutyTaken,
    WallClockStepped,
)
from berylspool.common.event import Event
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, increment_counter, set_gauges
from berylspool.connection.control_message import Heartbeat
from berylspool.connection.message import CHANGE_LEVEL
from berylspool.connection.peer import Session
from berylspool.process.control.duty.call_task import (
    CallEnded,
    DutyClient,
    run_calls,
)
from berylspool.process.control.pending_replies import PendingReplies
from berylspool.process.group.reconfiguration import node_name_from_id
from berylspool.process.group.replica import Replica
from berylspool.process.group.state_machine import Change
from berylspool.process.settings import DutySettings
from berylspool.version.duty.collection import (
    UsageCollection,
    add_usage,
    drop_recorded,
)
from berylspool.version.duty.record import (
    USAGE_REPORT,
    DutyChange,
    DutyHolder,
)
from berylspool.version.duty.schedule import (
    DutyState,
    UsageCall,
    begin_call,
    due_call,
    due_changes,
    end_call,
    lead,
    may_call,
)
from berylspool.version.duty.window import (
    WallClock,
    observe_clocks,
    wall_time,
    window_at,
    window_end,
)

__all__ = ["UsageDuty"]

# A member that has no link to the leader for so long is down; if it returns
# with an earlier build, it ends until it is upgraded.
UNKNOWN_MEMBER_S = 10.0


class UsageDuty:
    """Collects usage and reports it while this node leads.

    Args:
        settings: Settings of the duties.
        client: Makes the calls; None if the platform provides none.
        replica: Replica of this control node.
        sessions: Returns the sessions that other processes have opened.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch.
        metrics: Metrics of the process.
        log: Called with each log event.

    Attributes:
        wall_clock: Estimate of true time.
        calls_by_outcome: Number of calls of this process, by outcome.
    """

    def __init__(
        self,
        settings: DutySettings,
        client: DutyClient | None,
        replica: Replica,
        sessions: Callable[[], Collection[Session]],
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        metrics: Metrics,
        log: Callable[[Event], None],
    ) -> None:
        self.wall_clock = WallClock()
        self.calls_by_outcome: Counter[str] = Counter()
        self._settings = settings
        self._timing = settings.timing
        self._client = client if settings.reports_usage else None
        self._replica = replica
        self._sessions = sessions
        self._clock = clock
        self._read_wall_clock = wall_clock
        self._metrics = metrics
        self._log = log
        self._state = DutyState()
        self._collection = UsageCollection()
        self._calls: Mailbox[UsageCall] = Mailbox()
        self._logged_token = 0
        observe_clocks(self.wall_clock, clock(), wall_clock())
        # Windows from the start of a deployment on are reported, also if its
        # first leader takes the duty later.
        self._first_window = window_at(self.wall_now(), self._timing.window_s)

    def start(self, inbox: Mailbox[Any]) -> list[asyncio.Task[None]]:
        """Start the task of the calls.

        Args:
            inbox: Inbox of the control task, which receives each `CallEnded`.
        """
        if self._client is None:
            return []
        calling = run_calls(self._client, self._calls, inbox, self._may_send)
        return [asyncio.ensure_future(calling)]

    def wall_now(self) -> float:
        """Return the estimated seconds since the epoch."""
        return wall_time(self.wall_clock, self._clock())

    def report_age_s(self) -> float | None:
        """Return the time since the end of the latest reported window.

        Returns:
            Seconds; None if no window was reported.
        """
        window = self._replica.state.usage.reported_window
        if not window:
            return None
        return self.wall_now() - window_end(window, self._timing.window_s)

    def collect(self, heartbeat: Heartbeat) -> int:
        """Store the usage of an entry that gets a grant of this leader.

        Returns:
            The term of this leader; 0 if it collects no usage.
        """
        if self._client is None:
            return 0
        term = self._replica.node.term
        if self._collection.term != term:
            self._collection = UsageCollection(term)
        if heartbeat.usage:
            first = self._replica.state.usage.next_window
            current = window_at(self.wall_now(), self._timing.window_s)
            add_usage(
                self._collection,
                heartbeat.boot,
                heartbeat.usage,
                first,
                current,
            )
        # Entries keep their counts until they are sure to be reported.
        return term if self._held().token else 0

    def tick(self) -> None:
        """Read the clocks, and make a call if this node may and one is due."""
        if self._client is None:
            return
        now = self._clock()
        step_s = observe_clocks(self.wall_clock, now, self._read_wall_clock())
        if step_s:
            self._log(WallClockStepped(round(step_s, 3)))
        self._set_gauges()
        if not self._replica.has_quorum_contact():
            return
        lead(self._state, self._replica.node.term, now)
        held, usage = self._held(), self._replica.state.usage
        self._log_new_token(held)
        drop_recorded(self._collection, usage.next_window)
        if not may_call(
            self._state, held, self._settings.holder, self._timing, now
        ):
            return
        call = due_call(
            self._state, held, usage, self._timing, now, self.wall_now()
        )
        if call is not None:
            begin_call(self._state, call, self._timing, now)
            self._calls.put(call)

    def due_changes(self, pending: PendingReplies) -> list[Change]:
        """Return the changes that a leader with a quorum has to propose.

        Args:
            pending: Changes that are not committed yet.
        """
        if self._client is None or _has_duty_change(pending):
            return []
        now = self._clock()
        lead(self._state, self._replica.node.term, now)
        held = self._held()
        if not held.token and not self._applies_everywhere(now):
            return []
        return [
            *due_changes(
                self._state,
                held,
                self._replica.state.usage,
                self._collection,
                self._settings.holder,
                self._timing,
                self._first_window,
                now,
                self.wall_now(),
            )
        ]

    def handle_call_ended(self, ended: CallEnded) -> None:
        """Handle the outcome of a call."""
        call, outcome = ended.call, ended.outcome
        end_call(self._state, call, outcome, self._clock())
        self.calls_by_outcome[outcome] += 1
        name = "berylspool_duty_calls_total"
        increment_counter(
            self._metrics, name, duty=USAGE_REPORT, outcome=outcome
        )
        self._log(
            DutyCallEnded(
                USAGE_REPORT,
                call.window,
                call.token,
                outcome,
                len(call.counts),
                sum(call.counts.values()),
                ended.error,
            )
        )

    def _held(self) -> DutyHolder:
        holders = self._replica.state.holder_by_duty
        return holders.get(USAGE_REPORT, DutyHolder())

    def _may_send(self, call: UsageCall) -> bool:
        """Return whether this node leads now and holds the call's token."""
        held = self._held()
        return (
            self._replica.has_quorum_contact()
            and held.token == call.token
            and held.term == self._replica.node.term
        )

    def _applies_everywhere(self, now: float) -> bool:
        """Return whether the members of the group can apply the changes.

        A member of an earlier build ends when it meets one, so the first one
        waits until all have linked to this leader with a newer build.
        """
        group = self._replica.node.group
        own_id = self._replica.node.id
        others = {
            node_name_from_id(id)
            for id in (*group.voters, *group.learners)
            if id != own_id
        }
        level_by_name: dict[str, int] = {}
        for session in self._sessions():
            level = level_by_name.get(session.peer, session.change_level)
            level_by_name[session.peer] = min(level, session.change_level)
        levels = [level_by_name[name] for name in others & {*level_by_name}]
        if any(level < CHANGE_LEVEL for level in levels):
            return False
        led_s = now - self._state.led_since
        return len(levels) == len(others) or led_s >= UNKNOWN_MEMBER_S

    def _log_new_token(self, held: DutyHolder) -> None:
        is_own = held.term == self._state.term
        if is_own and held.token != self._logged_token:
            self._logged_token = held.token
            self._log(DutyTaken(USAGE_REPORT, held.holder, held.token))

    def _set_gauges(self) -> None:
        held, usage = self._held(), self._replica.state.usage
        is_held = (
            held.term == self._replica.node.term
            and self._replica.has_quorum_contact()
        )
        value_by_gauge = {
            "berylspool_duty_token": held.token,
            "berylspool_duty_held": float(is_held),
            "berylspool_usage_waiting_windows": len(usage.counts_by_window),
            "berylspool_usage_reported_window": usage.reported_window,
        }
        age_s = self.report_age_s()
        if age_s is not None:
            value_by_gauge["berylspool_usage_report_age_seconds"] = age_s
        set_gauges(self._metrics, value_by_gauge)


def _has_duty_change(pending: PendingReplies) -> bool:
    """Return whether a change of a duty is not committed yet."""
    waiting = [pending.batch, *pending.proposed_by_index.values()]
    return any(
        isinstance(item.change, DutyChange) for part in waiting for item in part
    )
