"""Handling of callers' requests: from the decoded request to its outcome."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from berylspool.common.event import Event
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.process.entry.delegation.delegation import Delegation
from berylspool.process.entry.forwarding.containment import (
    Containment,
    Held,
)
from berylspool.process.entry.forwarding.forwarding_state import (
    ForwardingState,
    ForwardView,
    plan_wait_s,
    retry_without_plan_s,
)
from berylspool.process.entry.forwarding.key_revocation import KeyRevocation
from berylspool.process.entry.forwarding.lag import (
    TimerLag,
    early_margin_s,
    record_lag,
)
from berylspool.process.entry.forwarding.request_accounting import (
    Stopwatch,
    record_outcome,
    record_refusal,
)
from berylspool.process.entry.router import RouterMessage
from berylspool.process.entry.usage.usage_counter import UsageCounter
from berylspool.process.running_requests import RunningRequests
from berylspool.request.fanout import PinnedMap
from berylspool.request.fingerprint import hash64
from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import Answer, Outcome, Query, Reason, Refusal
from berylspool.request.request_task import RequestTask
from berylspool.version.customer.identity import Unidentified, identify
from berylspool.version.forwarding import (
    choose_target,
    find_route,
    new_query,
    pin_target,
    with_one_copy,
)

__all__ = ["RequestHandler"]


class RequestHandler:
    """Answers the requests of callers.

    Args:
        state: Plan, moves and listing in force.
        router: Inbox of the entry's router.
        containment: Holds requests that may crash upstreams.
        usage: Counts the requests of customers.
        clock: Returns the monotonic time in seconds.
        metrics: Metrics of the process.
        log: Called with each log event.
        delegation: Divides wide requests; None if none are divided.

    Attributes:
        running: Requests that have no outcome yet.
        timer_lag: Lag of the timers of this process.
        key_revocation: Watches the API keys of running requests.
    """

    def __init__(
        self,
        state: ForwardingState,
        router: Mailbox[RouterMessage],
        containment: Containment,
        usage: UsageCounter,
        *,
        clock: Callable[[], float],
        metrics: Metrics,
        log: Callable[[Event], None],
        delegation: Delegation | None = None,
    ) -> None:
        self._delegation = delegation
        self.running = RunningRequests(clock)
        self.timer_lag = TimerLag()
        self.key_revocation = KeyRevocation()
        self._state = state
        self._router: Mailbox[Any] = router
        self._containment = containment
        self._usage = usage
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._started_at = clock()
        self._query_serial = 0

    async def answer(
        self, request: ForwardRequest, caller_gone: asyncio.Event
    ) -> Outcome:
        """Answer one request.

        Args:
            request: The request as received.
            caller_gone: Set when the caller closes its connection.

        Returns:
            An answer or a refusal, no later than the deadline.
        """
        stopwatch = Stopwatch(self._clock)
        if not self._state.initialized.is_set():
            await self._wait_for_plan(request)
        view = self._state.view.value
        refusal = self._find_refusal(request, caller_gone)
        if refusal is not None:
            return self._record_refusal(refusal)
        route = find_route(view.plan, request.host, request.path)
        if route is None:
            refusal = Refusal(request.id, Reason.UNKNOWN_ROUTE, True, 0.0)
            return self._record_refusal(refusal)
        identity = identify(
            view.plan.customers, route.is_public, request.api_keys
        )
        if isinstance(identity, Unidentified):
            refusal = Refusal(request.id, Reason.UNKNOWN_KEY, True, 0.0)
            return self._record_refusal(refusal)
        self._query_serial += 1
        serial = self._query_serial
        hedge_share = self._state.settings.routing.hedge_share
        early_s = early_margin_s(self.timer_lag, route.target_latency_s)
        arrived_at = stopwatch.started_at
        query = new_query(
            request,
            route,
            serial,
            hedge_share,
            early_s,
            arrived_at,
            identity,
        )
        if not self.running.may_end_in_time(query, route.target_latency_s):
            return self._record_refusal(
                Refusal(request.id, Reason.SHUTTING_DOWN, True, 0.0)
            )
        target = choose_target(route, hash64(query.id))
        pinned = pin_target(view.plan, target, query.id, view.move_by_service)
        router = self._router
        if self._delegation is not None:
            router = self._delegation.choose_inbox(
                route, len(pinned.services), len(request.body), router
            )
        is_trial = self._containment.holds(query.fingerprint)
        if is_trial:
            # Upstreams get one copy, from this entry.
            query, router = with_one_copy(query), self._router
            retry_s = await self._ask_for_trial(query.fingerprint, view)
            if retry_s is not None:
                return self._record_refusal(
                    Refusal(request.id, Reason.QUARANTINED, True, retry_s)
                )
        task = RequestTask(query, router, self._clock)
        with self.key_revocation.track(task, request, route):
            outcome = await self._run_request(
                query, task, pinned, caller_gone, is_trial
            )
        record_outcome(
            self._metrics,
            self._log,
            query,
            route,
            pinned,
            self._state.listing_name,
            outcome,
            stopwatch,
        )
        return outcome

    async def _ask_for_trial(
        self, fingerprint: str, view: ForwardView
    ) -> float | None:
        """Return None if a held request may be tried now.

        Args:
            fingerprint: Fingerprint of the request.
            view: Plan that the request is pinned to.

        Returns:
            Otherwise the time after which its caller may return, in seconds.
        """
        match await self._containment.admit(fingerprint):
            case Held(retry_after_s=retry_s):
                return retry_s
            case _ if self._state.view.value is view:
                return None
        # The newer plan may not allow the request.
        self._containment.end_trial(fingerprint, is_unsent=True)
        return 0.0

    def _find_refusal(
        self, request: ForwardRequest, caller_gone: asyncio.Event
    ) -> Refusal | None:
        """Return a refusal if the request cannot be served now, else None."""
        if not self._state.initialized.is_set():
            retry_s = retry_without_plan_s(self._clock() - self._started_at)
            return Refusal(request.id, Reason.NO_CONTROL, True, retry_s)
        if caller_gone.is_set():
            return Refusal(request.id, Reason.CANCELLED, True, 0.0)
        return None

    def _record_refusal(self, refusal: Refusal) -> Refusal:
        plan = self._state.view.value.plan.number
        listing = self._state.listing_name
        record_refusal(self._metrics, self._log, refusal, plan, listing)
        return refusal

    async def _run_request(
        self,
        query: Query,
        task: RequestTask,
        pinned: PinnedMap,
        caller_gone: asyncio.Event,
        is_trial: bool,
    ) -> Outcome:
        watcher = asyncio.ensure_future(_watch_caller(caller_gone, task))
        outcome: Outcome | None = None
        self._usage.begin(query)
        try:
            with self.running.track(task):
                outcome = await task.run(pinned)
            return outcome
        finally:
            watcher.cancel()
            self._usage.end(query, outcome)
            if is_trial:
                is_unsent = isinstance(outcome, Refusal) and outcome.not_run
                self._containment.end_trial(
                    query.fingerprint,
                    is_answered=isinstance(outcome, Answer),
                    is_unsent=is_unsent,
                )
            if task.soft_deadline_lag_s is not None:
                record_lag(self.timer_lag, task.soft_deadline_lag_s)

    async def _wait_for_plan(self, request: ForwardRequest) -> None:
        """Wait briefly, as a process that has just started gets a plan soon."""
        uptime_s = self._clock() - self._started_at
        timeout_s = plan_wait_s(uptime_s, request.deadline_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._state.initialized.wait()


async def _watch_caller(caller_gone: asyncio.Event, task: RequestTask) -> None:
    await caller_gone.wait()
    task.notify_disconnect()
