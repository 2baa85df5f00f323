"""Which upstreams of a pool take new work, and refusals while none does.

An upstream that leaves, or wants a pause, says so in an answer. Parts that no
upstream can take are refused at once.
"""

import heapq

from berylspool.common.event import UpstreamOverran
from berylspool.request.query import Part, PartRefused, Reason
from berylspool.version.pool.message import Log, PoolAction, UpstreamNotice
from berylspool.version.pool.quarantine import is_convicted
from berylspool.version.pool.state import (
    Job,
    Pool,
    fail_job,
    finish_job,
    retry_after_s,
)
from berylspool.version.upstream.notices import (
    SLOTS_AFTER_PAUSE,
    apply_notice,
    spread_fraction,
)
from berylspool.version.upstream.slow_start import allowed_slots, is_warm
from berylspool.version.upstream.upstream_view import (
    UpstreamView,
    next_overrun_pause_s,
)

__all__ = [
    "closed_reason",
    "end_unservable",
    "make_refusal",
    "note_pending_notice",
    "on_notice",
    "on_overrun",
    "refusal_reason",
    "refuse_unservable",
    "remove_ended",
]

# Refused callers return in this share of the pause, after its end.
RETURN_SPREAD_SHARE = 0.25


def on_notice(
    pool: Pool, view: UpstreamView, notice: UpstreamNotice, now: float
) -> list[PoolAction]:
    """Apply what an upstream says of itself in an answer."""
    events = apply_notice(pool.notices, view, notice, pool.tuning.entry, now)
    note_pending_notice(pool, view)
    return [Log(event) for event in events]


def on_overrun(
    pool: Pool, view: UpstreamView, excess: str, now: float
) -> list[PoolAction]:
    """Take an upstream out of use for a while that sends bytes without end.

    Each of its responses costs memory and time that other requests need.  The
    last upstream in use stays, as it may still answer some requests.

    Args:
        pool: The pool.
        view: The upstream.
        excess: What it sent too much of; empty if nothing.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    if not excess:
        return []
    has_other = any(
        other is not view and now >= other.paused_until
        for other in _views_for_new_work(pool)
    )
    pause_s = next_overrun_pause_s(view, now) if has_other else 0.0
    if has_other:
        view.paused_until = max(view.paused_until, now + pause_s)
        view.slots_after_pause = SLOTS_AFTER_PAUSE
        note_pending_notice(pool, view)
    return [Log(UpstreamOverran(view.upstream.id, excess, pause_s))]


def note_pending_notice(pool: Pool, view: UpstreamView) -> None:
    """Extend the time for which the pool has to mind notices."""
    ends_at = float("inf") if view.is_draining else view.paused_until
    pool.noticed_until = max(pool.noticed_until, ends_at)


def refusal_reason(pool: Pool, part: Part, now: float) -> Reason | None:
    """Return why a new part must be refused, or None to admit it."""
    if pool.is_closing:
        return Reason.SHUTTING_DOWN
    verdicts = pool.verdicts
    if verdicts.verdict_by_fingerprint and is_convicted(
        verdicts, part.fingerprint
    ):
        return Reason.QUARANTINED
    if not _has_upstream_for_new_work(pool):
        return Reason.NO_UPSTREAM
    reason = closed_reason(pool, now)
    if reason is not None or not pool.queue:
        return reason
    if now < pool.precedence.mixed_until:
        # The part that costs least is refused once this one waits, too.
        return None
    views = _views_for_new_work(pool)
    slots = sum(allowed_slots(v.slow_start, v.limits, now) for v in views)
    expected_s = len(pool.queue) * pool.mean_latency_s / max(slots, 1)
    if (
        len(pool.queue) >= pool.tuning.queue_limit
        or expected_s > part.timeout_s * pool.tuning.wait_share
    ):
        is_cold = any(not is_warm(v.slow_start, v.limits, now) for v in views)
        return Reason.COLD if is_cold else Reason.OVERLOAD
    return None


def make_refusal(
    pool: Pool, part_id: str, reason: Reason, now: float, sends: int = 0
) -> PartRefused:
    """Return the refusal of a part that has never run.

    After a pause, its callers are asked to return at different times.

    Examples:
        >>> from berylspool.version.pool.state import PoolTuning
        >>> from berylspool.version.upstream.balancing import RandomChoice
        >>> pool = Pool("s", "", PoolTuning(RandomChoice()))
        >>> make_refusal(pool, "p1", Reason.NO_UPSTREAM, 0.0).retry_after_s
        0.05
    """
    delay_s = retry_after_s(pool)
    if reason is Reason.PAUSED:
        views = _views_for_new_work(pool)
        pause_s = min(view.paused_until for view in views) - now
        spread = RETURN_SPREAD_SHARE * spread_fraction(part_id)
        delay_s = max(delay_s, pause_s * (1.0 + spread))
    return PartRefused(part_id, reason, delay_s, sends)


def closed_reason(pool: Pool, now: float) -> Reason | None:
    """Return why no upstream takes new work, if notices are the reason."""
    if now >= pool.noticed_until:
        return None
    views = _views_for_new_work(pool)
    if any(now >= view.paused_until for view in views):
        return None
    return Reason.PAUSED if views else Reason.NO_UPSTREAM


def end_unservable(
    pool: Pool, job: Job, reason: Reason, now: float
) -> list[PoolAction]:
    """End a part that no upstream takes, and that none has at work."""
    if job.has_run:
        return fail_job(pool, job, reason)
    refusal = make_refusal(pool, job.part.id, reason, now, job.sends)
    return finish_job(pool, job, refusal)


def refuse_unservable(pool: Pool, now: float) -> list[PoolAction]:
    """End waiting parts if all upstreams have said that they take none."""
    reason = closed_reason(pool, now) if pool.queue else None
    if reason is None:
        return []
    waiting = {item[3]: pool.job_by_part.get(item[3]) for item in pool.queue}
    actions: list[PoolAction] = []
    for job in waiting.values():
        if job is not None and not job.attempt_by_id:
            actions += end_unservable(pool, job, reason, now)
    remove_ended(pool)
    return actions


def remove_ended(pool: Pool) -> None:
    """Remove parts from the queue that have ended while they waited.

    The length of the queue decides which new parts are refused.
    """
    pool.queue = [item for item in pool.queue if item[3] in pool.job_by_part]
    heapq.heapify(pool.queue)


def _has_upstream_for_new_work(pool: Pool) -> bool:
    for view in pool.view_by_upstream.values():
        if view.is_serving and not view.is_draining:
            return True
    return False


def _views_for_new_work(pool: Pool) -> list[UpstreamView]:
    return [
        view
        for view in pool.view_by_upstream.values()
        if view.is_serving and not view.is_draining
    ]
