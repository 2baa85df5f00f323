"""Hedges under overload."""

from berylspool.version.pool.state import Job, Pool
from berylspool.version.upstream.upstream_view import UpstreamView

__all__ = ["ASK_AGAIN_S", "is_hedge_wasteful"]

# Requests that may wait for each slot of an upstream that still takes a hedge.
MAX_WORK_AHEAD = 0.5
# Slots and queues change within a service time or two.
ASK_AGAIN_S = 0.01


def is_hedge_wasteful(pool: Pool, job: Job, now: float) -> bool:
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
    untried = [
        view
        for view in pool.view_by_upstream.values()
        if view.is_serving
        and not view.is_draining
        and view.upstream.id not in job.tried_upstreams
    ]
    if any(_has_room(view, now) for view in untried):
        return False
    rank = _rank(job)
    for item in pool.queue:
        other = pool.job_by_part.get(item[3])
        if other and not other.attempt_by_id and _rank(other) <= rank:
            return True
    return bool(untried) and all(view.slots > 1 for view in untried)


def _has_room(view: UpstreamView, now: float) -> bool:
    """Return whether a further request would hardly wait at an upstream."""
    if view.slots <= 1:
        # Its slots are not known.
        return view.in_flight == 0
    work = view.in_flight + view.estimated_other_requests(now) + 1.0
    return work / view.slots - 1.0 <= MAX_WORK_AHEAD


def _rank(job: Job) -> int:
    forward = job.part.forward
    return forward.rank if forward is not None else 0
