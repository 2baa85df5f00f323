"""Decisions on attempts that were answered, lost or left unanswered."""

import math

from berylspool.common.event import SilentReplaced
from berylspool.common.part_event import PartAbandoned, PartChosen
from berylspool.request.query import PartRows, Reason
from berylspool.version.pool.availability import (
    closed_reason,
    end_unservable,
    on_notice,
)
from berylspool.version.pool.extra_copies import (
    has_reached_send_limit,
    retry_within_budget,
    schedule_retry,
)
from berylspool.version.pool.hedging import record_duration
from berylspool.version.pool.message import (
    AttemptAnswered,
    Blame,
    CancelAttempt,
    CloseConnection,
    ErrorReply,
    Log,
    NotRunReply,
    ObservedReply,
    OutrunReply,
    PoolAction,
    RowsReply,
)
from berylspool.version.pool.quarantine import (
    Verdict,
    clear_suspect,
    record_verdict,
)
from berylspool.version.pool.state import (
    Attempt,
    Job,
    Pool,
    end_attempt,
    enqueue_job,
    fail_job,
    finish_job,
)
from berylspool.version.upstream.notices import on_instance_changed
from berylspool.version.upstream.slow_start import (
    is_warm,
    on_instance_report,
)
from berylspool.version.upstream.slow_upstreams import (
    SlownessObserved,
    is_worth_reporting,
)
from berylspool.version.upstream.upstream_view import (
    ConnectionState,
    UpstreamView,
    update_from_reply,
)

__all__ = [
    "close_silent_connection",
    "describe_abandoned",
    "describe_choice",
    "on_attempt_answered",
    "on_attempt_lost",
    "record_unanswered",
]

MS_PER_S = 1000.0
UNKNOWN_AGE_MS = -1
RETRY_DELAY_AFTER_LOSS_S = 0.02
MEAN_LATENCY_EWMA_WEIGHT = 0.05
USUAL_LATENCY_EWMA_WEIGHT = 0.1


def on_attempt_answered(
    pool: Pool, event: AttemptAnswered, now: float
) -> list[PoolAction]:
    """Handle the reply of an upstream to an attempt, and its notice."""
    if event.notice is None:
        return _on_reply(pool, event, now)
    view = _find_view(pool, event.connection_id)
    if view is None:
        return _on_reply(pool, event, now)
    notice_actions = on_notice(pool, view, event.notice, now)
    return [*notice_actions, *_on_reply(pool, event, now)]


def _find_view(pool: Pool, connection_id: int) -> UpstreamView | None:
    """Return the upstream of a connection, or None if it has left."""
    for view in pool.view_by_upstream.values():
        if connection_id in view.connection_by_id:
            return view
    return None


def _on_reply(
    pool: Pool, event: AttemptAnswered, now: float
) -> list[PoolAction]:
    attempt = end_attempt(pool, event.attempt_id)
    if attempt is None:
        _update_from_late_reply(pool, event, now)
        return []
    view = pool.view_by_upstream.get(attempt.upstream_id)
    if view is not None and on_instance_report(view.slow_start, event.instance):
        on_instance_changed(pool.notices, view)
    latency_s = now - attempt.sent_at
    if view is not None:
        _record_connection_use(pool, view, event.connection_id, attempt, now)
        update_from_reply(view, event.reply, now)
        if isinstance(event.reply, RowsReply):
            _record_latency(pool, view, attempt, latency_s, now, is_answer=True)
        if event.load is not None:
            view.record_load(event.load, now)
    job = pool.job_by_part.get(attempt.part_id)
    if job is None:
        return []
    is_warm_now = view is not None and is_warm(
        view.slow_start, view.limits, now
    )
    observed_reply = ObservedReply(
        job.part, event.reply, latency_s, is_warm_now, attempt.upstream_id
    )
    match event.reply:
        case RowsReply() as rows_reply:
            pool.mean_latency_s += MEAN_LATENCY_EWMA_WEIGHT * (
                latency_s - pool.mean_latency_s
            )
            _record_duration(pool, job, latency_s)
            if pool.verdicts.verdict_by_fingerprint:
                clear_suspect(pool.verdicts, job.part.fingerprint)
            result = PartRows(
                job.part.id,
                rows_reply.snapshot,
                rows_reply.rows,
                job.sends,
                rows_reply.stamp,
            )
            actions: list[PoolAction] = [observed_reply]
            for other in job.attempt_by_id.values():
                actions.append(_record_outrun_attempt(pool, job, other, now))
            actions += finish_job(pool, job, result)
            return actions
        case NotRunReply(reason=reason):
            job.refusals += 1
            if reason is not Reason.NO_UPSTREAM:
                job.tried_upstreams.discard(attempt.upstream_id)
            return _retry_after_refusal(pool, job, reason, now)
        case ErrorReply(reason=reason, response=response):
            job.has_run = True
            job.last_reason = reason
            job.last_response = response or job.last_response
            return [observed_reply, *schedule_retry(pool, job, now, 0.0)]
    return []


def _record_connection_use(
    pool: Pool,
    view: UpstreamView,
    connection_id: int,
    attempt: Attempt,
    now: float,
) -> None:
    """Record that an upstream replied on a connection."""
    connection = view.connection_by_id.get(connection_id)
    if connection is None:
        return
    if attempt.sent_at - connection.idle_since >= pool.min_lost_idle_s:
        # The connection outlived as long an idle time, so idle time did not
        # cause the earlier losses.
        pool.idle_losses, pool.min_lost_idle_s = 0, float("inf")
    connection.idle_since = now
    connection.has_answered = True


def _record_outrun_attempt(
    pool: Pool, job: Job, attempt: Attempt, now: float
) -> ObservedReply:
    """Record the time so far of a copy that another copy outran."""
    elapsed_s = now - attempt.sent_at
    _record_duration(pool, job, elapsed_s)
    view = pool.view_by_upstream.get(attempt.upstream_id)
    is_warm_now = view is not None and is_warm(
        view.slow_start, view.limits, now
    )
    record_unanswered(pool, attempt, now)
    return ObservedReply(job.part, OutrunReply(), elapsed_s, is_warm_now)


def _update_from_late_reply(
    pool: Pool, event: AttemptAnswered, now: float
) -> None:
    """Update an upstream's state from a refusal of an attempt that ended."""
    view = _find_view(pool, event.connection_id)
    if view is not None and isinstance(event.reply, NotRunReply):
        update_from_reply(view, event.reply, now)


def _record_duration(pool: Pool, job: Job, elapsed_s: float) -> None:
    """Record an attempt for the hedge delay, unless its request states one."""
    forward = job.part.forward
    if forward is None or forward.hedge_after_s is None:
        record_duration(pool.hedge_delay, elapsed_s)


def record_unanswered(pool: Pool, attempt: Attempt, now: float) -> None:
    """Record the time so far of a copy that is no longer needed."""
    elapsed_s = now - attempt.sent_at
    view = pool.view_by_upstream.get(attempt.upstream_id)
    if view is not None and elapsed_s > view.latency_s:
        _record_latency(pool, view, attempt, elapsed_s, now, is_answer=False)


def _record_latency(
    pool: Pool,
    view: UpstreamView,
    attempt: Attempt,
    latency_s: float,
    now: float,
    *,
    is_answer: bool,
) -> None:
    """Add an answer time to the averages of an upstream and of the route."""
    usual_by_route = pool.usual_latency_by_route
    usual_s = usual_by_route.setdefault(attempt.route, latency_s)
    slowness = view.record_latency(latency_s, usual_s, now)
    if is_worth_reporting(slowness, is_answer, now < view.judged_until):
        pool.observed.append(SlownessObserved(view.upstream.id, slowness, now))
    usual_s += USUAL_LATENCY_EWMA_WEIGHT * (latency_s - usual_s)
    usual_by_route[attempt.route] = usual_s


def _retry_after_refusal(
    pool: Pool, job: Job, reason: Reason, now: float
) -> list[PoolAction]:
    """Queue a part again after a refusal by an upstream that did not run it.

    The part fails instead if the snapshot was wrong, it has no sends left or
    the budget is spent.
    """
    job.last_reason = reason
    if reason is Reason.WRONG_SNAPSHOT:
        # An earlier copy may have run, or may still run.
        return fail_job(pool, job, reason)
    if job.attempt_by_id or job.queue_items:
        # A copy that waits may be the only one now, and no hedge.
        job.claim = None
        return []
    closed = closed_reason(pool, now)
    if closed is not None:
        return end_unservable(pool, job, closed, now)
    if has_reached_send_limit(pool, job):
        return fail_job(pool, job, reason)
    # The upstream did not run it, so a new send cannot run it twice.
    if pool.tuning.charges_refusals:
        return retry_within_budget(pool, job, now, 0.0)
    enqueue_job(pool, job, behind_first_copies=False)
    return []


def on_attempt_lost(
    pool: Pool,
    attempt_id: int | None,
    view: UpstreamView,
    excess: str,
    now: float,
) -> list[PoolAction]:
    """Handle an attempt whose connection was closed.

    Args:
        pool: The pool.
        attempt_id: Attempt that the connection carried, if any.
        view: Its upstream.
        excess: What the upstream sent too much of; empty if nothing.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    attempt = end_attempt(pool, attempt_id)
    job = pool.job_by_part.get(attempt.part_id) if attempt else None
    if attempt is None or job is None:
        return []
    actions: list[PoolAction] = []
    reason = Reason.TRUNCATED if excess else Reason.CONNECTION_LOST
    job.has_run = True
    job.last_reason = reason
    verdict: Verdict | None = None
    if reason is Reason.CONNECTION_LOST:
        # A reset may be caused by the request as well as by the upstream.
        job.warm_only = True
        verdict = Verdict.CONVICTED if attempt.is_isolated else Verdict.SUSPECT
        if pool.tuning.isolates_suspects:
            fingerprint = job.part.fingerprint
            record_verdict(pool.verdicts, fingerprint, verdict, now)
            actions.append(Blame(fingerprint, view.upstream.id, verdict))
    if verdict is not Verdict.CONVICTED:
        latency_s = now - attempt.sent_at
        reply = ErrorReply(reason)
        actions.append(
            ObservedReply(
                job.part, reply, latency_s, False, attempt.upstream_id
            )
        )
    return actions + schedule_retry(pool, job, now, RETRY_DELAY_AFTER_LOSS_S)


def close_silent_connection(
    pool: Pool, attempt_id: int, now: float
) -> list[PoolAction]:
    """Close a connection that is overdue with an answer, and retry its part."""
    attempt = pool.attempt_by_id.get(attempt_id)
    if attempt is None:
        return []
    view = pool.view_by_upstream.get(attempt.upstream_id)
    if view is None:
        return []
    connection = view.connection_by_id.get(attempt.connection_id)
    if connection is None:
        return []
    connection.state = ConnectionState.CLOSING
    connection.attempt_id = None
    end_attempt(pool, attempt.id)
    # The upstream may still run the attempt, so its slot stays taken until the
    # connection is closed.
    view.in_flight += 1
    connection.holds_slot = True
    actions: list[PoolAction] = [
        CancelAttempt(
            attempt.upstream_id, attempt.part_id, attempt.id, connection.id
        ),
        CloseConnection(connection.id),
        Log(
            SilentReplaced(
                attempt.upstream_id, connection.id, now - attempt.sent_at
            )
        ),
    ]
    job = pool.job_by_part.get(attempt.part_id)
    if job is None:
        return actions
    job.has_run = True
    job.last_reason = Reason.CONNECTION_LOST
    return actions + schedule_retry(pool, job, now, 0.0)


def describe_abandoned(pool: Pool, job: Job, now: float) -> PartAbandoned:
    """Return the log event for a part that ends without an answer."""
    return PartAbandoned(
        job.part.id,
        job.part.service,
        round((now - job.arrived_at) * MS_PER_S),
        job.sends,
        job.queue_items,
        {
            attempt.upstream_id: round((now - attempt.sent_at) * MS_PER_S)
            for attempt in job.attempt_by_id.values()
        },
        job.refusals,
        job.is_hedge_denied,
        sum(
            connection.state is ConnectionState.OPENING
            for view in pool.view_by_upstream.values()
            for connection in view.connection_by_id.values()
        ),
    )


def describe_choice(
    job: Job, view: UpstreamView, is_hedge: bool, now: float
) -> PartChosen:
    """Return the log event for a copy that is about to be sent.

    Args:
        job: The part.
        view: The upstream that was chosen.
        is_hedge: Whether the copy waited behind all first copies.
        now: Monotonic time in seconds.
    """
    return PartChosen(
        job.part.id,
        job.part.service,
        job.part.snapshot.version,
        view.upstream.id,
        job.sends + 1,
        is_hedge,
        view.in_flight,
        view.other_requests,
        _age_ms(now - view.load_reported_at),
        round(view.latency_s * MS_PER_S, 1),
        _age_ms(now - view.last_answer_at),
        round((now - job.arrived_at) * MS_PER_S, 1),
    )


def _age_ms(age_s: float) -> int:
    """Return an age in milliseconds; `UNKNOWN_AGE_MS` for an infinite age."""
    return round(age_s * MS_PER_S) if age_s < math.inf else UNKNOWN_AGE_MS
