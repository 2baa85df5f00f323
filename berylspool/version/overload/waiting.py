"""Parts that wait in a pool: which one is sent next, and which are refused.

As long as all of them are of one rank and one customer, they are sent in the
order of the heap, by deadline.
"""

import heapq
from collections.abc import Callable

from berylspool.common.part_event import PartShed, PartsWaited
from berylspool.request.query import Part, PartRefused, Reason
from berylspool.version.overload.precedence import (
    Claim,
    may_be_held,
    record_send,
    select,
)
from berylspool.version.overload.retry_after import (
    book_return,
    end_of_wait,
    free_rate_per_s,
    record_freed,
)
from berylspool.version.overload.shedding import (
    Waits,
    find_hopeless,
    note_refused,
    take_waits,
    was_refused,
)
from berylspool.version.pool.hedging import take_back_deposit
from berylspool.version.pool.message import Log, PoolAction
from berylspool.version.pool.state import Job, Pool, finish_job
from berylspool.version.upstream.notices import spread_fraction
from berylspool.version.upstream.upstream_view import (
    find_idle_connection,
    free_slots,
)

__all__ = [
    "claim_of",
    "has_free_upstream",
    "make_claim",
    "max_work_ahead",
    "refuse_hopeless",
    "sending_rate_per_s",
    "send_in_order",
    "waiting_jobs",
]

# An upstream is held free of less urgent work once this many requests wait for
# each of its slots, as its own queue cannot be passed. With none waiting, its
# slots would idle until the next report.
MAX_WORK_AHEAD = 0.5

# Usual answer times include the queues at upstreams, so a part that has just
# arrived would count as late where its target is short.
MAX_WORK_SHARE = 0.5
MS_PER_S = 1000.0
# Age to report of a load view that has had no report.
MAX_AGE_S = 3600.0
MAX_SKIPPED_PARTS = 16
# A search costs as much as several sends if many parts wait.
CHECK_INTERVAL_S = 0.01


def max_work_ahead(pool: Pool, job: Job, now: float) -> float | None:
    """Return the work that may wait at the upstream of a part.

    Args:
        pool: A pool of parts that differ in rank or customer.
        job: The part.
        now: Monotonic time in seconds.

    Returns:
        Work that waits for each of its slots, in requests; None for no limit.
    """
    is_held = may_be_held(pool.precedence, claim_of(pool, job), now)
    return MAX_WORK_AHEAD if is_held else None


def claim_of(pool: Pool, job: Job) -> Claim:
    """Return what decides on the place of a waiting part."""
    if job.claim is None:
        job.claim = make_claim(pool, job.part, job.arrived_at, job.deadline)
        job.claim.is_hedge = bool(job.attempt_by_id)
        job.claim.is_sent = job.has_run or bool(job.attempt_by_id)
    return job.claim


def make_claim(
    pool: Pool, part: Part, arrived_at: float, deadline: float
) -> Claim:
    """Return the claim of a part that no upstream has got.

    Args:
        pool: The pool.
        part: The part.
        arrived_at: Time of its arrival, monotonic seconds.
        deadline: Time by which it must have a result, monotonic seconds.
    """
    work_s = pool.usual_latency_by_route.get(part.route, pool.mean_latency_s)
    is_returned = was_refused(pool.shedding, part.fingerprint, arrived_at)
    forward = part.forward
    if forward is None:
        return Claim(
            0, "", False, arrived_at, deadline, deadline, work_s, is_returned
        )
    target_at = deadline - forward.grace_s
    work_s = min(work_s, MAX_WORK_SHARE * max(target_at - arrived_at, 0.0))
    return Claim(
        forward.rank,
        forward.customer,
        False,
        arrived_at,
        target_at,
        deadline,
        work_s,
        is_returned,
    )


def waiting_jobs(pool: Pool) -> list[Job]:
    """Return the parts that wait, in the order of `pool.queue`.

    Parts that have ended are removed from the queue.
    """
    job_by_part = pool.job_by_part
    jobs = [job_by_part.get(item[3]) for item in pool.queue]
    if None in jobs:
        pool.queue = [item for item in pool.queue if item[3] in job_by_part]
        heapq.heapify(pool.queue)
        return [job_by_part[item[3]] for item in pool.queue]
    return [job for job in jobs if job is not None]


def send_in_order(
    pool: Pool, send: Callable[[Job, bool], list[PoolAction] | None], now: float
) -> list[PoolAction]:
    """Send waiting parts in the order of their claims.

    Args:
        pool: A pool of parts that differ in rank or customer.
        send: Sends a part, which may be a hedge; returns None if it must wait.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    actions: list[PoolAction] = []
    if not has_free_upstream(pool, now):
        return actions
    jobs = waiting_jobs(pool)
    skipped = 0
    while jobs and skipped < MAX_SKIPPED_PARTS and has_free_upstream(pool, now):
        claims = [claim_of(pool, job) for job in jobs]
        index = select(pool.precedence, claims, now)
        job, claim = jobs.pop(index), claims[index]
        sent = send(job, claim.is_hedge)
        if sent is not None:
            actions += sent
            _remove_sent(pool, job, claim, now)
            continue
        skipped += 1
        if may_be_held(pool.precedence, claim, now):
            # What held this part holds the others like it.
            jobs = [
                job
                for job in jobs
                if not may_be_held(pool.precedence, claim_of(pool, job), now)
            ]
    return actions


def _remove_sent(pool: Pool, job: Job, claim: Claim, now: float) -> None:
    job.queue_items -= 1
    pool.queue = [item for item in pool.queue if item[3] != job.part.id]
    heapq.heapify(pool.queue)
    record_send(pool.precedence, claim, now)
    record_freed(pool.shedding.free_rate, now)
    waits = pool.shedding.waits_by_rank.setdefault(claim.rank, Waits())
    waits.count += 1
    waits.total_s += now - claim.arrived_at
    if not pool.queue:
        end_of_wait(pool.shedding.free_rate)


def has_free_upstream(pool: Pool, now: float) -> bool:
    """Return whether an upstream may take a waiting part."""
    return any(
        view.reserved_for
        or (find_idle_connection(view) and free_slots(view, now))
        for view in pool.view_by_upstream.values()
    )


def refuse_hopeless(pool: Pool, now: float) -> list[PoolAction]:
    """Refuse waiting parts that would not be reached in time.

    Args:
        pool: A pool of parts that differ in rank or customer.
        now: Monotonic time in seconds.

    Returns:
        Actions for the pool's task, in order.
    """
    state = pool.shedding
    max_waiting = pool.tuning.queue_limit
    is_due = now - state.checked_at >= CHECK_INTERVAL_S
    if not is_due and len(pool.queue) <= max_waiting:
        return []
    state.checked_at = now
    jobs = waiting_jobs(pool)
    claims = [claim_of(pool, job) for job in jobs]
    rate_per_s = sending_rate_per_s(pool, now)
    hopeless = find_hopeless(
        state, pool.precedence, claims, rate_per_s, max_waiting, now
    )
    actions: list[PoolAction] = []
    for index in hopeless:
        job, rank = jobs[index], claims[index].rank
        waiting = sum(claim.rank <= rank for claim in claims) - len(hopeless)
        delay_s = book_return(
            state.returns,
            rank,
            max(waiting, 0),
            rate_per_s,
            spread_fraction(job.part.id),
            now,
        )
        note_refused(state, job.part.fingerprint, now)
        if not job.part.is_extra:
            take_back_deposit(pool.budget)
        refusal = PartRefused(job.part.id, Reason.OVERLOAD, delay_s, job.sends)
        actions += finish_job(pool, job, refusal)
        actions.append(Log(_describe_refusal(job, rank, refusal, now)))
    if hopeless:
        waiting_jobs(pool)
    return [*actions, *_report_waits(pool, now)]


def _report_waits(pool: Pool, now: float) -> list[PoolAction]:
    waits_by_rank = take_waits(pool.shedding, now)
    if not waits_by_rank:
        return []
    # A pool may have lost its last upstream.
    oldest_at = min(
        (view.load_reported_at for view in pool.view_by_upstream.values()),
        default=float("-inf"),
    )
    age_ms = round(min(now - oldest_at, MAX_AGE_S) * MS_PER_S)
    return [
        Log(
            PartsWaited(
                pool.service,
                rank,
                waits.count,
                round(waits.total_s * MS_PER_S),
                age_ms,
            )
        )
        for rank, waits in waits_by_rank.items()
    ]


def _describe_refusal(
    job: Job, rank: int, refusal: PartRefused, now: float
) -> PartShed:
    return PartShed(
        job.part.id,
        job.part.service,
        rank,
        refusal.reason,
        round((now - job.arrived_at) * MS_PER_S),
        round(refusal.retry_after_s * MS_PER_S),
    )


def sending_rate_per_s(pool: Pool, now: float) -> float:
    """Return the rate at which waiting parts are sent."""
    slots = sum(
        view.limits.slots
        for view in pool.view_by_upstream.values()
        if view.is_serving and not view.is_draining
    )
    usual_per_s = max(slots, 1) / pool.mean_latency_s
    return free_rate_per_s(pool.shedding.free_rate, usual_per_s, now)
