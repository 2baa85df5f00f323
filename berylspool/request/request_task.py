"""Request task: runs the fan-out of one request from query to outcome."""

from collections.abc import Callable
from typing import Any

from berylspool.common.mailbox import Mailbox
from berylspool.request.fanout import (
    CallerDisconnected,
    CancelPart,
    DeadlinePassed,
    EntryStopping,
    FanOut,
    FanOutAction,
    Finish,
    PinnedMap,
    SendPart,
    SoftDeadlinePassed,
    start,
    step,
)
from berylspool.request.fanout_message import KeyRevoked, WithdrawParts
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RequestTurnedAway,
    RunParts,
    Subscribe,
    Unsubscribe,
    WithdrawUnsent,
)
from berylspool.request.query import Outcome, Part, Query, Refusal

__all__ = ["RequestTask"]


class RequestTask:
    """Task that owns the fan-out of one request.

    Args:
        query: Validated query.
        router: Mailbox of the entry's router.
        clock: Returns monotonic time in seconds.

    Attributes:
        inbox: Mailbox for results of parts and other events.
        soft_deadline_lag_s: Delay between the query's soft deadline and the
            time at which the task noticed that it had passed, in seconds;
            None if the task did not wait for it.
    """

    def __init__(
        self, query: Query, router: Mailbox[Any], clock: Callable[[], float]
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self.soft_deadline_lag_s: float | None = None
        self._query = query
        self._router = router
        self._clock = clock
        self._origin = Origin(query.id)
        self._has_begun = False

    def notify_disconnect(self) -> None:
        """Notify the task that the caller has closed its connection."""
        self.inbox.put(CallerDisconnected())

    def notify_stop(self) -> None:
        """Notify the task that the entry is about to exit."""
        self.inbox.put(EntryStopping())

    def notify_key_revoked(self) -> None:
        """Notify the task that the API key of its request is not valid now."""
        self.inbox.put(KeyRevoked())

    async def run(self, pinned: PinnedMap) -> Outcome:
        """Run the fan-out and return its outcome.

        Args:
            pinned: Partition map that the request is pinned to.

        Returns:
            An answer or a refusal, no later than the deadline.
        """
        query, router = self._query, self._router
        router.put(Subscribe(query.id, self.inbox))
        try:
            state, actions = start(query, pinned, self._clock())
            outcome = self._perform_actions(actions)
            while outcome is None:
                events = await self.inbox.take(self._wait_time_s())
                outcome = self._apply_events(
                    state, events or [self._timeout_event()]
                )
            return outcome
        finally:
            router.put(Unsubscribe(query.id))

    def _wait_time_s(self) -> float:
        """Return the time until the next deadline of the query, in seconds."""
        wake_at = self._query.deadline
        soft_deadline = self._query.soft_deadline
        now = self._clock()
        if soft_deadline is not None and now < soft_deadline:
            wake_at = min(wake_at, soft_deadline)
        return max(0.0, wake_at - now)

    def _timeout_event(self) -> DeadlinePassed | SoftDeadlinePassed:
        now = self._clock()
        if now >= self._query.deadline:
            return DeadlinePassed()
        if self._query.soft_deadline is not None:
            self.soft_deadline_lag_s = max(0.0, now - self._query.soft_deadline)
        return SoftDeadlinePassed()

    def _apply_events(self, state: FanOut, events: list[Any]) -> Outcome | None:
        for event in events:
            if isinstance(event, RequestTurnedAway):
                return Refusal(
                    self._query.id,
                    event.reason,
                    not_run=not state.may_have_run,
                    retry_after_s=event.retry_after_s,
                )
            actions = step(state, event, self._clock())
            outcome = self._perform_actions(actions) if actions else None
            if outcome is not None:
                return outcome
        return None

    def _perform_actions(self, actions: list[FanOutAction]) -> Outcome | None:
        parts: list[Part] = []
        for action in actions:
            match action:
                case SendPart(part=part):
                    parts.append(part)
                case CancelPart(part=part, is_caller_gone=is_gone):
                    # A part that was just sent may be cancelled at once.
                    parts = self._run_parts(parts)
                    self._router.put(DiscardPart(part.id, is_gone))
                case WithdrawParts(part_ids=part_ids):
                    parts = self._run_parts(parts)
                    self._router.put(WithdrawUnsent(self._origin, part_ids))
                case Finish(outcome=outcome):
                    return outcome
        self._run_parts(parts)
        return None

    def _run_parts(self, parts: list[Part]) -> list[Part]:
        """Send parts to the router; return the parts that are still to send."""
        if parts:
            # Parts that are sent later belong to a request that has begun.
            min_coverage = 0.0 if self._has_begun else self._query.min_coverage
            self._has_begun = True
            self._router.put(RunParts(self._origin, parts, min_coverage))
        return []
