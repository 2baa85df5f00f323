"""Time until a pool must act without a message.

An entry with hundreds of services has many pools with little to do, and a
wake-up costs about as much as a part, so idle pools wake up rarely.
"""

import heapq

from berylspool.version.pool.message import TimerKind
from berylspool.version.pool.state import Pool
from berylspool.version.upstream.slow_start import next_send_at

__all__ = ["max_wait_s"]

# Slow starts and removed upstreams change with time, without a message.
MAX_BUSY_WAIT_S = 0.25
# An idle pool has nothing to do, and verdicts against requests are kept longer
# than this.
MAX_IDLE_WAIT_S = 5.0


def max_wait_s(pool: Pool, now: float) -> float:
    """Return how long the pool's task may wait for events, in seconds."""
    wake_times = [
        now + (MAX_IDLE_WAIT_S if _is_idle(pool) else MAX_BUSY_WAIT_S)
    ]
    _drop_timers_of_ended_parts(pool)
    if pool.timers:
        wake_times.append(pool.timers[0][0])
    wake_times.extend(
        view.reconnect_at
        for view in pool.view_by_upstream.values()
        if view.reconnect_at > now
    )
    if pool.queue:
        wake_times.extend(
            next_send_at(view.cold_rate, now)
            for view in pool.view_by_upstream.values()
            if view.cold_rate.cold_until > now
            and next_send_at(view.cold_rate, now) > now
        )
        wake_times.extend(
            view.slow_start.backoff_until
            for view in pool.view_by_upstream.values()
            if view.slow_start.backoff_until > now
        )
    return max(0.0, min(wake_times) - now)


def _is_idle(pool: Pool) -> bool:
    """Return whether only messages and timers can change the pool."""
    return (
        not pool.queue
        and not pool.verdicts.recorded_at_by_fingerprint
        and all(view.is_serving for view in pool.view_by_upstream.values())
    )


def _drop_timers_of_ended_parts(pool: Pool) -> None:
    """Drop timers of parts that have ended from the front of the heap.

    Most parts end before their hedge and their deadline, and a wake-up for
    each of these timers would cost as much as the part.
    """
    while pool.timers:
        _, _, target_id, kind = pool.timers[0]
        if kind is TimerKind.SILENCE_TIMEOUT or target_id in pool.job_by_part:
            return
        heapq.heappop(pool.timers)
