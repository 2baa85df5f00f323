"""Hedges under overload."""

from berylspool.version.pool.state import Job, Pool
from berylspool.version.upstream.balancing import work_ahead

__all__ = ["is_hedge_in_vain"]


def is_hedge_in_vain(pool: Pool, job: Job, now: float) -> bool:
    """Return whether a second copy would only wait behind first copies.

    Such a copy costs as much as the first copy that it displaces, and gains
    little.  Pools of one rank hedge as their budget allows.

    Args:
        pool: The pool.
        job: Part that is slow.
        now: Monotonic time in seconds.
    """
    if now >= pool.precedence.mixed_until:
        return False
    rank = _rank(job)
    for item in pool.queue:
        other = pool.job_by_part.get(item[3])
        if other and not other.attempt_by_id and _rank(other) <= rank:
            return True
    untried = [
        view
        for view in pool.view_by_upstream.values()
        if view.is_serving
        and not view.is_draining
        and view.upstream.id not in job.tried_upstreams
    ]
    return all(work_ahead(view, now) > 0.0 for view in untried)


def _rank(job: Job) -> int:
    forward = job.part.forward
    return forward.rank if forward is not None else 0
