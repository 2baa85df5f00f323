"""Decisions on copies beyond the first: hedges of slow parts, and retries.

They are paid from the pool's budget.  Once it is spent, a pool that shares its
upstreams with other entries borrows copies from control.
"""

from berylspool.common.part_event import HedgeDenied
from berylspool.version.overload.hedges import (
    ASK_AGAIN_S,
    is_hedge_wasteful,
)
from berylspool.version.pool.hedging import discard_excess, try_withdraw
from berylspool.version.pool.message import (
    BorrowCopies,
    Log,
    PoolAction,
    TimerKind,
)
from berylspool.version.pool.quarantine import is_convicted, is_suspect
from berylspool.version.pool.state import (
    Job,
    Pool,
    end_attempt,
    enqueue_job,
    fail_job,
    set_timer,
)

__all__ = [
    "has_reached_send_limit",
    "hedge_delay_s",
    "hedge_part",
    "may_hedge",
    "on_copies_lent",
    "queue_unsent",
    "retry_within_budget",
    "schedule_retry",
]

MAX_SENDS = 4
# Each upstream of a service may refuse once, and this many may refuse again.
MAX_REPEATED_REFUSALS = 1
# Many times a round trip to control.
BORROW_TIMEOUT_S = 0.05
# Copies that control lends come back at a few per second for each service.
BORROW_PAUSE_S = 0.1


def has_reached_send_limit(pool: Pool, job: Job) -> bool:
    """Return whether the part has reached its limit of sends or refusals."""
    forward = job.part.forward
    if forward is None:
        return job.sends >= MAX_SENDS
    runs = job.sends - job.refusals
    serving_count = sum(v.is_serving for v in pool.view_by_upstream.values())
    max_refusals = serving_count + MAX_REPEATED_REFUSALS
    return runs >= forward.attempts or job.refusals >= max_refusals


def schedule_retry(
    pool: Pool, job: Job, now: float, delay_s: float
) -> list[PoolAction]:
    """Schedule a retry after a failure, or fail the part.

    A retry requires that the part is idempotent, has sends left, is not
    convicted, and that the budget pays for it.
    """
    if job.attempt_by_id or job.queue_items:
        return []
    if (
        not job.part.idempotent
        or has_reached_send_limit(pool, job)
        or is_convicted(pool.verdicts, job.part.fingerprint)
    ):
        return fail_job(pool, job, job.last_reason)
    return retry_within_budget(pool, job, now, delay_s)


def retry_within_budget(
    pool: Pool, job: Job, now: float, delay_s: float
) -> list[PoolAction]:
    """Schedule a retry that the budget or a loan pays for, or fail the part."""
    retry_at = now + delay_s
    if try_withdraw(pool.budget, now):
        set_timer(pool, retry_at, job.part.id, TimerKind.RETRY)
        return []
    if not _may_borrow(pool, now):
        return fail_job(pool, job, job.last_reason)
    job.retry_at = retry_at
    give_up_at = now + max(delay_s, BORROW_TIMEOUT_S)
    set_timer(pool, give_up_at, job.part.id, TimerKind.BORROW_TIMEOUT)
    return [BorrowCopies(1)]


def queue_unsent(pool: Pool, attempt_id: int | None) -> None:
    """Queue a copy again whose connection had closed before it was sent.

    The upstream has not seen it, so it counts neither as a copy nor as a loss.
    """
    attempt = end_attempt(pool, attempt_id)
    job = pool.job_by_part.get(attempt.part_id) if attempt else None
    if attempt is None or job is None:
        return
    job.sends -= 1
    job.tried_upstreams.discard(attempt.upstream_id)
    if not job.queue_items:
        enqueue_job(pool, job, behind_first_copies=False)


def may_hedge(pool: Pool, job: Job) -> bool:
    """Return whether one more copy of a part is within its limits."""
    forward = job.part.forward
    if forward is None:
        return job.hedges < pool.tuning.hedges
    return job.sends - job.refusals < forward.attempts


def hedge_delay_s(pool: Pool, job: Job) -> float:
    """Return the time from a send to the next hedge, in seconds."""
    forward = job.part.forward
    if forward is None or forward.hedge_after_s is None:
        return pool.hedge_delay.delay_s
    return forward.hedge_after_s


def hedge_part(pool: Pool, job: Job, now: float) -> list[PoolAction]:
    """Queue a hedge for a slow part if its limits and the budget allow it."""
    if (
        job.queue_items
        or job.retry_at is not None
        or not may_hedge(pool, job)
        or not job.part.idempotent
        or is_suspect(pool.verdicts, job.part.fingerprint)
    ):
        return []
    if is_hedge_wasteful(pool, job, now):
        set_timer(pool, now + ASK_AGAIN_S, job.part.id, TimerKind.HEDGE)
        return []
    is_first_denial = not job.is_hedge_denied
    job.is_hedge_denied = not try_withdraw(pool.budget, now)
    if not job.is_hedge_denied:
        job.hedges += 1
        behind_first_copies = not pool.tuning.hedges_in_turn
        enqueue_job(pool, job, behind_first_copies)
        return []
    ask_again_at = now + hedge_delay_s(pool, job)
    set_timer(pool, ask_again_at, job.part.id, TimerKind.HEDGE)
    if _may_borrow(pool, now):
        return [BorrowCopies(1)]
    return [_log_denial(pool, job)] if is_first_denial else []


def _may_borrow(pool: Pool, now: float) -> bool:
    """Return whether control may have copies to lend."""
    return pool.tuning.borrows_copies and now >= pool.borrow_after


def _log_denial(pool: Pool, job: Job) -> Log:
    tokens = round(pool.budget.tokens, 2)
    return Log(HedgeDenied(job.part.id, job.part.service, tokens))


def on_copies_lent(pool: Pool, copies: int, now: float) -> list[PoolAction]:
    """Spend lent copies on the parts that wait for one.

    Args:
        pool: The pool.
        copies: Copies lent; with 0, waiting retries fail at once.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    pool.budget.tokens += copies
    if not copies:
        pool.borrow_after = now + BORROW_PAUSE_S
    actions: list[PoolAction] = []
    for job in list(pool.job_by_part.values()):
        is_waiting = job.retry_at is not None or job.is_hedge_denied
        if is_waiting and pool.budget.tokens >= 1.0:
            actions += _spend_lent_copy(pool, job, now)
        elif job.retry_at is not None and not copies:
            actions += fail_job(pool, job, job.last_reason)
        elif job.is_hedge_denied and not copies:
            actions.append(_log_denial(pool, job))
    discard_excess(pool.budget)
    return actions


def _spend_lent_copy(pool: Pool, job: Job, now: float) -> list[PoolAction]:
    if job.retry_at is None:
        return hedge_part(pool, job, now)
    try_withdraw(pool.budget, now)
    retry_at, job.retry_at = max(now, job.retry_at), None
    set_timer(pool, retry_at, job.part.id, TimerKind.RETRY)
    return []
