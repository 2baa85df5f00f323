"""When a pool has to act although no message comes.

It answers many pools with little to do, as at an entry with hundreds of
services: a wake-up costs about as much as a part.
"""

import heapq

from berylspool.version.pool.message import TimerKind
from berylspool.version.pool.ramp import next_at
from berylspool.version.pool.state import Pool

__all__ = ["next_wake"]

# Ramps and upstreams that leave change with time alone.
BUSY_WAKE_S = 0.25
# A pool at rest has nothing to do; verdicts against requests are kept longer.
REST_WAKE_S = 5.0


def next_wake(pool: Pool, now: float) -> float:
    """Return how long the pool's task may sleep, in seconds."""
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
    """Return whether nothing but messages and timers can change the pool."""
    return (
        not pool.waiting
        and not pool.suspicion.blamed_at
        and all(view.is_serving for view in pool.view_by_upstream.values())
    )


def _drop_timers_of_ended(pool: Pool) -> None:
    """Drop the next timers as long as their parts have ended.

    Most parts end before their hedge and their deadline; a wake-up for each
    of those would cost as much as the part.
    """
    while pool.timers:
        _, _, part_id, kind = pool.timers[0]
        if kind is TimerKind.SILENT or part_id in pool.job_by_part:
            return
        heapq.heappop(pool.timers)
