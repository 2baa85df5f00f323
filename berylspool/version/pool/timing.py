"""Time until a pool must act without a message.

An entry with hundreds of services has many pools with little to do, and a
wake-up costs about as much as a part, so idle pools wake up rarely.
"""

import heapq

from berylspool.version.overload.precedence import is_mixed
from berylspool.version.pool.message import TimerKind
from berylspool.version.pool.state import Pool
from berylspool.version.upstream.slow_start import next_send_at
from berylspool.version.upstream.upstream_view import (
    UpstreamView,
    opening_is_silent_at,
)

__all__ = ["drop_ended_timers", "max_wait_s"]

# Slow starts and removed upstreams change with time, without a message.
MAX_BUSY_WAIT_S = 0.25
# Parts may be held until the report of a load has become stale. With an attempt
# in flight its answer brings the next one; otherwise there is no event to wait
# for. Well below any target latency.
MAX_HELD_WAIT_S = 0.02
# An idle pool has nothing to do, and verdicts against requests are kept longer
# than this.
MAX_IDLE_WAIT_S = 5.0


def max_wait_s(pool: Pool, now: float) -> float:
    """Return how long the pool's task may wait for events, in seconds."""
    drop_ended_timers(pool)
    is_idle = not pool.queue and not pool.verdicts.recorded_at_by_fingerprint
    wake_at = pool.timers[0][0] if pool.timers else float("inf")
    for view in pool.view_by_upstream.values():
        is_idle = is_idle and view.is_serving
        if now < view.reconnect_at < wake_at:
            wake_at = view.reconnect_at
        if pool.queue:
            wake_at = min(wake_at, _accepts_work_at(view, now))
            wake_at = min(wake_at, opening_is_silent_at(view, now))
    is_held = pool.queue and not pool.attempt_by_id
    if is_held and is_mixed(pool.precedence, now):
        wake_at = min(wake_at, now + MAX_HELD_WAIT_S)
    max_wait_s = MAX_IDLE_WAIT_S if is_idle else MAX_BUSY_WAIT_S
    return max(0.0, min(wake_at - now, max_wait_s))


def _accepts_work_at(view: UpstreamView, now: float) -> float:
    """Return when an upstream that gets no work now may get some again."""
    times = [view.slow_start.backoff_until, view.paused_until]
    if view.cold_rate.cold_until > now:
        times.append(next_send_at(view.cold_rate, now))
    return min((time for time in times if time > now), default=float("inf"))


def drop_ended_timers(pool: Pool) -> None:
    """Drop timers of parts that have ended from the front of the heap.

    Most parts end before their hedge and their deadline, and a wake-up for
    each of these timers would cost as much as the part.
    """
    if not pool.job_by_part and not pool.attempt_by_id:
        pool.timers.clear()
    while pool.timers:
        _, _, target_id, kind = pool.timers[0]
        if kind is TimerKind.SILENCE_TIMEOUT or target_id in pool.job_by_part:
            return
        heapq.heappop(pool.timers)
