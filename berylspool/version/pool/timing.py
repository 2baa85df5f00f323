"""Time until a pool must act without a message.

An entry with hundreds of services has many pools with little to do, and a
wake-up costs about as much as a part, so idle pools wake up rarely.
"""

import heapq

from berylspool.version.pool.message import TimerKind
from berylspool.version.pool.ramp import next_at
from berylspool.version.pool.state import Pool

__all__ = ["next_wake"]

# Slow starts and removed upstreams change with time, without a message.
BUSY_WAKE_S = 0.25
# An idle pool has nothing to do, and verdicts against requests are kept longer
# than this.
REST_WAKE_S = 5.0


def next_wake(pool: Pool, now: float) -> float:
    """Return how long the pool's task may wait for events, in seconds."""
    moments = [now + (REST_WAKE_S if _is_at_rest(pool) else BUSY_WAKE_S)]
    _drop_timers_of_ended(pool)
    if pool.timers:
        moments.append(pool.timers[0][0])
    moments.extend(
        view.reopen_at
        for view in pool.view_by_upstream.values()
        if view.reopen_at > now
    )
    if pool.waiting:
        moments.extend(
            next_at(view.cold, now)
            for view in pool.view_by_upstream.values()
            if view.cold.cold_until > now and next_at(view.cold, now) > now
        )
        moments.extend(
            view.ramp.shed_until
            for view in pool.view_by_upstream.values()
            if view.ramp.shed_until > now
        )
    return max(0.0, min(moments) - now)


def _is_at_rest(pool: Pool) -> bool:
    """Return whether only messages and timers can change the pool."""
    return (
        not pool.waiting
        and not pool.suspicion.blamed_at
        and all(view.is_serving for view in pool.view_by_upstream.values())
    )


def _drop_timers_of_ended(pool: Pool) -> None:
    """Drop timers of parts that have ended from the front of the heap.

    Most parts end before their hedge and their deadline, and a wake-up for
    each of these timers would cost as much as the part.
    """
    while pool.timers:
        _, _, part_id, kind = pool.timers[0]
        if kind is TimerKind.SILENT or part_id in pool.job_by_part:
            return
        heapq.heappop(pool.timers)
