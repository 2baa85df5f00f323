"""Admission and dispatch of parts in the pool of one service version.

A pool has a single owner, so slots, connections and slow starts of its
upstreams are tracked in one place.  Parts wait in one bounded queue, ordered by
deadline, so that all services serve the same requests under overload, or as
`version/overload` decides if they differ in rank or customer.  Hedges
queue behind first copies and retries unless `hedges_in_turn` is set.  A part
that cannot be answered in time is refused before any upstream has run it.
"""

import heapq

from berylspool.common.event import UpstreamChanged
from berylspool.request.query import Part, Reason
from berylspool.version.overload.precedence import note_class
from berylspool.version.overload.waiting import (
    has_free_upstream,
    max_work_ahead,
    refuse_hopeless,
    send_in_order,
)
from berylspool.version.pool.attempt import (
    close_silent_connection,
    describe_abandoned,
    describe_choice,
    on_attempt_answered,
    record_unanswered,
)
from berylspool.version.pool.availability import (
    make_refusal,
    refusal_reason,
    refuse_unservable,
    remove_ended,
)
from berylspool.version.pool.connections import (
    drop_unused_upstreams,
    on_connection_closed,
    on_connection_opened,
    open_connections_on_demand,
    open_connections_per_slot,
    reconfigure,
)
from berylspool.version.pool.extra_copies import (
    hedge_delay_s,
    hedge_part,
    on_copies_lent,
    retry_within_budget,
)
from berylspool.version.pool.hedging import deposit
from berylspool.version.pool.message import (
    AttemptAnswered,
    CancelAttempt,
    CloseRequested,
    ConnectionClosed,
    ConnectionOpened,
    CopiesLent,
    FingerprintBlamed,
    HealthReported,
    LeaseUpdated,
    Log,
    PartArrived,
    PartCancelled,
    PoolAction,
    PoolEvent,
    PoolReconfigured,
    SendAttempt,
    SendResult,
    Tick,
    TimerKind,
)
from berylspool.version.pool.quarantine import (
    Verdict,
    is_convicted,
    is_suspect,
    lift_verdict,
    record_verdict,
    remove_expired,
)
from berylspool.version.pool.state import (
    Attempt,
    Job,
    Pool,
    earliest_idle_since,
    enqueue_job,
    fail_job,
    set_timer,
)
from berylspool.version.upstream.balancing import (
    choose_upstream,
)
from berylspool.version.upstream.isolation import reserve_upstream
from berylspool.version.upstream.notices import on_instance_changed
from berylspool.version.upstream.slow_start import (
    on_instance_report,
    on_send,
)
from berylspool.version.upstream.slow_upstreams import SlownessJudged
from berylspool.version.upstream.upstream_view import (
    ConnectionState,
    UpstreamView,
    find_idle_connection,
)

__all__ = ["step"]

MAX_SKIPPED_PARTS = 16
CONNECTION_EVENTS = (ConnectionClosed, HealthReported, PoolReconfigured, Tick)


def step(pool: Pool, event: PoolEvent, now: float) -> list[PoolAction]:
    """Apply one event to the pool.

    Args:
        pool: State to change in place.
        event: What happened.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    match event:
        case PartArrived(part=part):
            actions = _on_part_arrived(pool, part, now)
        case AttemptAnswered():
            actions = on_attempt_answered(pool, event, now)
        case PartCancelled(part_id=part_id, is_caller_gone=is_caller_gone):
            actions = _on_part_cancelled(pool, part_id, is_caller_gone, now)
        case ConnectionOpened():
            actions = on_connection_opened(pool, event, now)
        case ConnectionClosed():
            actions = on_connection_closed(pool, event, now)
        case HealthReported():
            actions = _on_health_reported(pool, event, now)
        case FingerprintBlamed(fingerprint=fingerprint, verdict=verdict):
            actions = _on_fingerprint_blamed(pool, fingerprint, verdict, now)
        case PoolReconfigured(upstreams=upstreams, limits=limits):
            actions = reconfigure(pool, upstreams, limits, now)
        case LeaseUpdated(until=until):
            pool.lease_until = until
            actions = []
        case CopiesLent(copies=copies):
            actions = on_copies_lent(pool, copies, now)
        case SlownessJudged(slowness=slowness, valid_until=valid_until):
            view = pool.view_by_upstream[event.id]
            view.apply_judgement(slowness, valid_until, now)
            actions = []
        case CloseRequested():
            actions = _on_close_requested(pool)
        case Tick():
            remove_expired(pool.verdicts, now)
            actions = drop_unused_upstreams(pool)
    if pool.timers and pool.timers[0][0] <= now:
        actions += _run_timers(pool, now)
    if pool.queue:
        actions += _dispatch(pool, now)
        actions += refuse_unservable(pool, now)
    if pool.queue and now < pool.precedence.mixed_until:
        actions += refuse_hopeless(pool, now)
    if pool.tuning.opens_on_demand:
        # An answer leaves the connections as they are.
        if pool.queue or not isinstance(event, AttemptAnswered):
            actions += open_connections_on_demand(pool, now)
    elif isinstance(event, CONNECTION_EVENTS):
        actions += open_connections_per_slot(pool, now)
    return actions


def _on_part_arrived(pool: Pool, part: Part, now: float) -> list[PoolAction]:
    pool.last_arrival_at = now
    if part.id in pool.job_by_part:
        return []
    forward, precedence = part.forward, pool.precedence
    if forward is not None:
        part_class = forward.rank, forward.customer
        if part_class != precedence.latest_class:
            note_class(precedence, *part_class, now)
    reason = refusal_reason(pool, part, now)
    if reason is not None:
        return [SendResult(make_refusal(pool, part.id, reason, now))]
    job = Job(part, now + part.timeout_s, now)
    pool.job_by_part[part.id] = job
    set_timer(pool, job.deadline, part.id, TimerKind.DEADLINE)
    if part.is_extra:
        return retry_within_budget(pool, job, now, 0.0)
    deposit(pool.budget)
    if not pool.queue and now < pool.lease_until:
        sent = _send_copy(pool, job, is_hedge=False, now=now)
        if sent is not None:
            return sent
    enqueue_job(pool, job, behind_first_copies=False)
    return []


def _run_timers(pool: Pool, now: float) -> list[PoolAction]:
    actions: list[PoolAction] = []
    while pool.timers and pool.timers[0][0] <= now:
        _, _, target_id, kind = heapq.heappop(pool.timers)
        job = pool.job_by_part.get(target_id)
        match kind:
            case TimerKind.SILENCE_TIMEOUT:
                actions += close_silent_connection(pool, int(target_id), now)
            case _ if job is None:
                continue
            case TimerKind.DEADLINE:
                actions += fail_job(pool, job, Reason.TIMEOUT)
            case TimerKind.RETRY if not job.queue_items:
                enqueue_job(pool, job, behind_first_copies=False)
            case TimerKind.BORROW_TIMEOUT if job.retry_at is not None:
                actions += fail_job(pool, job, job.last_reason)
            case TimerKind.HEDGE:
                actions += hedge_part(pool, job, now)
    return actions


def _dispatch(pool: Pool, now: float) -> list[PoolAction]:
    """Send waiting parts while slots are free and the lease is valid."""
    actions: list[PoolAction] = []
    # Parts that have timed out are first in the order by deadline.
    while pool.queue and pool.queue[0][3] not in pool.job_by_part:
        heapq.heappop(pool.queue)
    if now >= pool.lease_until:
        return actions
    if now < pool.precedence.mixed_until:
        return send_in_order(
            pool,
            lambda job, is_hedge: _send_copy(pool, job, is_hedge, now),
            now,
        )
    skipped: list[tuple[int, float, int, str]] = []
    while pool.queue and len(skipped) < MAX_SKIPPED_PARTS:
        # With one waiting part, the choice itself finds out.
        if len(pool.queue) > 1 and not has_free_upstream(pool, now):
            break
        item = heapq.heappop(pool.queue)
        job = pool.job_by_part.get(item[3])
        if job is None:
            continue
        sent = _send_copy(pool, job, is_hedge=bool(item[0]), now=now)
        if sent is None:
            skipped.append(item)
            continue
        job.queue_items -= 1
        actions += sent
    for item in skipped:
        heapq.heappush(pool.queue, item)
    return actions


def _select_upstream(
    pool: Pool, job: Job, not_before: float, now: float
) -> UpstreamView | None:
    """Return the upstream for a waiting part, or None if it must wait."""
    verdicts = pool.verdicts
    if verdicts.verdict_by_fingerprint and is_suspect(
        verdicts, job.part.fingerprint
    ):
        job.has_reserved = True
        return reserve_upstream(
            pool.view_by_upstream.values(),
            pool.tuning.policy,
            job.part.id,
            job.tried_upstreams,
            now,
        )
    # The usual case: all parts of the pool are of one rank.
    max_ahead = None
    if now < pool.precedence.mixed_until:
        max_ahead = max_work_ahead(pool, job, now)
    return choose_upstream(
        pool.view_by_upstream.values(),
        pool.tuning.policy,
        job.part.id,
        job.tried_upstreams,
        job.warm_only,
        now,
        not_before,
        max_ahead,
    )


def _send_copy(
    pool: Pool, job: Job, is_hedge: bool, now: float
) -> list[PoolAction] | None:
    """Send a copy of a part, or return None if it must wait."""
    not_before = earliest_idle_since(pool, job, now)
    view = _select_upstream(pool, job, not_before, now)
    if view is None:
        return None
    connection = find_idle_connection(view, not_before)
    assert connection is not None
    part, upstream_id = job.part, view.upstream.id
    attempt = Attempt(
        pool.next_serial(),
        part.id,
        part.route,
        upstream_id,
        connection.id,
        now,
        is_isolated=view.reserved_for == part.id,
    )
    chosen = describe_choice(job, view, is_hedge, now)
    connection.state = ConnectionState.BUSY
    connection.attempt_id = attempt.id
    view.in_flight += 1
    view.sent_at_by_attempt[attempt.id] = now
    on_send(view.cold_rate, view.limits, now)
    job.attempt_by_id[attempt.id] = attempt
    pool.attempt_by_id[attempt.id] = attempt
    job.tried_upstreams.add(upstream_id)
    job.sends += 1
    hedge_at = now + hedge_delay_s(pool, job)
    set_timer(pool, hedge_at, part.id, TimerKind.HEDGE)
    if pool.tuning.silent_s is not None:
        silent_at = now + pool.tuning.silent_s
        set_timer(pool, silent_at, str(attempt.id), TimerKind.SILENCE_TIMEOUT)
    timeout_s = job.deadline - now
    return [
        SendAttempt(connection.id, attempt.id, part, timeout_s),
        Log(chosen),
    ]


def _on_part_cancelled(
    pool: Pool, part_id: str, is_caller_gone: bool, now: float
) -> list[PoolAction]:
    """End a part whose result nobody waits for; no copy of it is sent again.

    Copies in flight are cancelled only if the part may be repeated, as half of
    any other one may be worse than the whole.
    """
    job = pool.job_by_part.get(part_id)
    if job is None:
        return []
    abandoned = Log(describe_abandoned(pool, job, now))
    if job.part.idempotent and not is_caller_gone:
        for attempt in job.attempt_by_id.values():
            record_unanswered(pool, attempt, now)
    actions = fail_job(pool, job, Reason.CANCELLED, is_caller_gone)
    if job.queue_items:
        remove_ended(pool)
    dropped = SendResult if job.part.idempotent else (SendResult, CancelAttempt)
    return [abandoned, *(a for a in actions if not isinstance(a, dropped))]


def _on_health_reported(
    pool: Pool, event: HealthReported, now: float
) -> list[PoolAction]:
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None:
        return []
    if on_instance_report(view.slow_start, event.instance):
        on_instance_changed(pool.notices, view)
    if event.is_draining and not view.is_draining:
        view.is_draining = True
        return [Log(UpstreamChanged(view.upstream.id, "draining"))]
    return []


def _on_fingerprint_blamed(
    pool: Pool, fingerprint: str, verdict: Verdict, now: float
) -> list[PoolAction]:
    if verdict is Verdict.CLEARED:
        lift_verdict(pool.verdicts, fingerprint)
        return []
    record_verdict(pool.verdicts, fingerprint, verdict, now)
    if not is_convicted(pool.verdicts, fingerprint):
        return []
    jobs = [
        job
        for job in pool.job_by_part.values()
        if job.part.fingerprint == fingerprint and not job.attempt_by_id
    ]
    actions: list[PoolAction] = []
    for job in jobs:
        actions += fail_job(pool, job, Reason.QUARANTINED)
    return actions


def _on_close_requested(pool: Pool) -> list[PoolAction]:
    """Refuse parts that were never sent; attempts in flight finish."""
    pool.is_closing = True
    actions: list[PoolAction] = []
    for job in list(pool.job_by_part.values()):
        if not job.attempt_by_id and not job.has_run:
            actions += fail_job(pool, job, Reason.SHUTTING_DOWN)
    return actions
