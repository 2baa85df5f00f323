"""Admission and dispatch of parts in the pool of one service version.

A pool has a single owner, so slots, connections and ramps of its upstreams are
counted in one place.  Parts wait in one bounded queue, ordered by deadline, so
that all services serve the same requests under overload.  Hedges queue behind
first copies and retries unless `hedges_in_turn` is set.  A part that cannot be
answered in time is refused before any upstream has run it.
"""

import heapq

from berylspool.request.query import Part, PartRefused, Reason
from berylspool.version.pool.attempt import (
    on_attempt_answered,
    retire_silent,
)
from berylspool.version.pool.message import (
    AttemptAnswered,
    Blamed,
    Changed,
    Chosen,
    Closing,
    ConnectionClosed,
    ConnectionOpened,
    Denied,
    Evidence,
    HealthReported,
    Leased,
    PartArrived,
    PartCancelled,
    PoolAction,
    PoolEvent,
    Reconfigured,
    Reply,
    Send,
    TimerKind,
    Woken,
)
from berylspool.version.pool.ramp import (
    allowed_slots,
    is_warm,
    note_send,
    on_instance,
)
from berylspool.version.pool.state import (
    Attempt,
    Job,
    Pool,
    enqueue,
    fail,
    hedge_delay_s,
    idle_since,
    may_hedge,
    retry_after_s,
    set_timer,
)
from berylspool.version.pool.suspicion import (
    Verdict,
    blame,
    expire,
    is_convicted,
    is_suspect,
)
from berylspool.version.pool.tail import deposit, withdraw
from berylspool.version.pool.upkeep import (
    drop_unused,
    on_closed,
    on_opened,
    open_connections,
    open_on_demand,
    reconfigure,
)
from berylspool.version.pool.upstream_view import (
    ConnectionState,
    UpstreamView,
    choose,
    free_slots,
    idle_connection,
)

__all__ = ["step"]

SCAN_LIMIT = 16
CONNECTION_EVENTS = (ConnectionClosed, HealthReported, Reconfigured, Woken)


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
            actions = _arrive(pool, part, now)
        case PartCancelled(part_id=part_id, is_gone=is_gone):
            actions = _withdraw_part(pool, part_id, is_gone)
        case ConnectionOpened():
            actions = on_opened(pool, event, now)
        case ConnectionClosed():
            actions = on_closed(pool, event, now)
        case AttemptAnswered():
            actions = on_attempt_answered(pool, event, now)
        case HealthReported():
            actions = _reported(pool, event, now)
        case Blamed(fingerprint=fingerprint, verdict=verdict):
            actions = _blamed(pool, fingerprint, verdict, now)
        case Reconfigured(upstreams=upstreams, limits=limits):
            actions = reconfigure(pool, upstreams, limits, now)
        case Leased(until=until):
            pool.lease_until = until
            actions = []
        case Closing():
            actions = _close(pool)
        case Woken():
            expire(pool.suspicion, now)
            actions = drop_unused(pool)
    actions += _run_timers(pool, now)
    actions += _dispatch(pool, now)
    if pool.tuning.opens_on_demand:
        actions += open_on_demand(pool, now)
    elif isinstance(event, CONNECTION_EVENTS):
        actions += open_connections(pool, now)
    return actions


def _arrive(pool: Pool, part: Part, now: float) -> list[PoolAction]:
    pool.arrived_at = now
    if part.id in pool.job_by_part:
        return []
    reason = _refusal(pool, part, now)
    if reason is not None:
        refused = PartRefused(part.id, reason, retry_after_s(pool))
        return [Reply(refused)]
    job = Job(part, now + part.timeout_s, now)
    pool.job_by_part[part.id] = job
    deposit(pool.budget)
    enqueue(pool, job, is_hedge=False)
    set_timer(pool, job.deadline, part.id, TimerKind.DEADLINE)
    return []


def _refusal(pool: Pool, part: Part, now: float) -> Reason | None:
    """Return why a new part must be refused, or None to admit it."""
    if pool.is_closing:
        return Reason.SHUTTING_DOWN
    if is_convicted(pool.suspicion, part.fingerprint):
        return Reason.QUARANTINED
    views = [
        view
        for view in pool.view_by_upstream.values()
        if view.is_serving and not view.is_draining
    ]
    if not views:
        return Reason.NO_UPSTREAM
    if not pool.waiting:
        return None
    slots = sum(allowed_slots(v.ramp, v.limits, now) for v in views)
    expected_s = len(pool.waiting) * pool.mean_s / max(slots, 1)
    if (
        len(pool.waiting) >= pool.tuning.queue_limit
        or expected_s > part.timeout_s * pool.tuning.wait_share
    ):
        is_cold = any(not is_warm(v.ramp, v.limits, now) for v in views)
        return Reason.COLD if is_cold else Reason.OVERLOAD
    return None


def _run_timers(pool: Pool, now: float) -> list[PoolAction]:
    actions: list[PoolAction] = []
    while pool.timers and pool.timers[0][0] <= now:
        _, _, part_id, kind = heapq.heappop(pool.timers)
        job = pool.job_by_part.get(part_id)
        match kind:
            case TimerKind.SILENT:
                actions += retire_silent(pool, int(part_id), now)
            case _ if job is None:
                continue
            case TimerKind.DEADLINE:
                actions += fail(pool, job, Reason.TIMEOUT)
            case TimerKind.RETRY if not job.queued:
                enqueue(pool, job, is_hedge=False)
            case TimerKind.HEDGE:
                actions += _hedge(pool, job, now)
    return actions


def _hedge(pool: Pool, job: Job, now: float) -> list[PoolAction]:
    if (
        job.queued
        or not may_hedge(pool, job)
        or not job.part.idempotent
        or is_suspect(pool.suspicion, job.part.fingerprint)
    ):
        return []
    if not withdraw(pool.budget, now):
        moment = now + hedge_delay_s(pool, job)
        set_timer(pool, moment, job.part.id, TimerKind.HEDGE)
        is_first, job.is_denied = not job.is_denied, True
        return [Denied(job.part, pool.budget.tokens)] if is_first else []
    job.hedges += 1
    enqueue(pool, job, is_hedge=not pool.tuning.hedges_in_turn)
    return []


def _dispatch(pool: Pool, now: float) -> list[PoolAction]:
    """Send waiting parts while slots are free and the lease is valid."""
    actions: list[PoolAction] = []
    if now >= pool.lease_until:
        return actions
    skipped: list[tuple[int, float, int, str]] = []
    while pool.waiting and len(skipped) < SCAN_LIMIT:
        if not _has_room(pool, now):
            break
        entry = heapq.heappop(pool.waiting)
        job = pool.job_by_part.get(entry[3])
        if job is None:
            continue
        view = _place(pool, job, now)
        if view is None:
            skipped.append(entry)
            continue
        job.queued -= 1
        actions += _send(pool, job, view, bool(entry[0]), now)
    for entry in skipped:
        heapq.heappush(pool.waiting, entry)
    return actions


def _has_room(pool: Pool, now: float) -> bool:
    return any(
        view.reserved_for or (idle_connection(view) and free_slots(view, now))
        for view in pool.view_by_upstream.values()
    )


def _place(pool: Pool, job: Job, now: float) -> UpstreamView | None:
    """Return the upstream for a waiting part, or None if it must wait."""
    if is_suspect(pool.suspicion, job.part.fingerprint):
        return _place_alone(pool, job, now)
    return choose(
        pool.view_by_upstream.values(),
        pool.tuning.choice,
        job.part.id,
        frozenset(job.tried),
        job.warm_only,
        now,
        idle_since(pool, job, now),
    )


def _place_alone(pool: Pool, job: Job, now: float) -> UpstreamView | None:
    """Return the warm upstream reserved for a suspect once it is empty.

    At most one upstream is reserved at a time.

    Returns:
        The upstream, or None while it still runs other attempts.
    """
    views = pool.view_by_upstream.values()
    reserved = next((v for v in views if v.reserved_for), None)
    if reserved is not None and not _may_run_alone(reserved, now):
        reserved.reserved_for = None
        reserved = None
    if reserved is None:
        reserved = choose(
            views,
            pool.tuning.choice,
            job.part.id,
            frozenset(job.tried),
            warm_only=True,
            now=now,
        )
        if reserved is None:
            return None
        reserved.reserved_for = job.part.id
    is_ready = (
        reserved.reserved_for == job.part.id
        and reserved.in_flight == 0
        and idle_connection(reserved) is not None
    )
    return reserved if is_ready else None


def _may_run_alone(view: UpstreamView, now: float) -> bool:
    """Return whether a reserved upstream may still run its suspect."""
    if view.in_flight:
        return True
    return (
        view.is_serving
        and not view.is_draining
        and is_warm(view.ramp, view.limits, now)
    )


def _send(
    pool: Pool, job: Job, view: UpstreamView, is_hedge: bool, now: float
) -> list[PoolAction]:
    connection = idle_connection(view, idle_since(pool, job, now))
    assert connection is not None
    attempt = Attempt(
        pool.next_serial(),
        job.part.id,
        view.upstream.id,
        connection.id,
        now,
        is_alone=view.reserved_for == job.part.id,
    )
    evidence = Evidence(
        view.in_flight,
        view.others,
        now - view.load_at,
        view.latency_s,
        now - view.latency_at,
        now - job.arrived_at,
    )
    connection.state = ConnectionState.BUSY
    connection.attempt_id = attempt.id
    view.in_flight += 1
    view.sent_at_by_attempt[attempt.id] = now
    note_send(view.cold, view.limits, now)
    job.attempt_by_id[attempt.id] = attempt
    pool.attempt_by_id[attempt.id] = attempt
    job.tried.add(view.upstream.id)
    job.sends += 1
    moment = now + hedge_delay_s(pool, job)
    set_timer(pool, moment, job.part.id, TimerKind.HEDGE)
    if pool.tuning.silent_s is not None:
        silent_at = now + pool.tuning.silent_s
        set_timer(pool, silent_at, str(attempt.id), TimerKind.SILENT)
    timeout_s = job.deadline - now
    return [
        Send(connection.id, attempt.id, job.part, timeout_s),
        Chosen(job.part, view.upstream.id, job.sends, is_hedge, evidence),
    ]


def _withdraw_part(pool: Pool, part_id: str, is_gone: bool) -> list[PoolAction]:
    job = pool.job_by_part.get(part_id)
    if job is None or not job.part.idempotent:
        return []
    return [
        action
        for action in fail(pool, job, Reason.CANCELLED, is_gone)
        if not isinstance(action, Reply)
    ]


def _reported(
    pool: Pool, event: HealthReported, now: float
) -> list[PoolAction]:
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None:
        return []
    if on_instance(view.ramp, event.instance):
        view.is_draining = False
    if event.is_draining and not view.is_draining:
        view.is_draining = True
        return [Changed(view.upstream.id, "draining")]
    return []


def _blamed(
    pool: Pool, fingerprint: str, verdict: Verdict, now: float
) -> list[PoolAction]:
    blame(pool.suspicion, fingerprint, verdict, now)
    if not is_convicted(pool.suspicion, fingerprint):
        return []
    jobs = [
        job
        for job in pool.job_by_part.values()
        if job.part.fingerprint == fingerprint and not job.attempt_by_id
    ]
    actions: list[PoolAction] = []
    for job in jobs:
        actions += fail(pool, job, Reason.QUARANTINED)
    return actions


def _close(pool: Pool) -> list[PoolAction]:
    """Refuse parts that were never sent; attempts in flight finish."""
    pool.is_closing = True
    actions: list[PoolAction] = []
    for job in list(pool.job_by_part.values()):
        if not job.attempt_by_id and not job.has_run:
            actions += fail(pool, job, Reason.SHUTTING_DOWN)
    return actions
