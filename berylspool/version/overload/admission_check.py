"""Whether a wide request can reach its minimum coverage in time.

A request that cannot is refused before its first part is sent: a part that
upstreams have run would be in vain, and the refusal could not promise that
nothing has run.
"""

from collections.abc import Iterable

from berylspool.request.part_message import RequestTurnedAway
from berylspool.request.query import Part, Reason
from berylspool.version.overload.retry_after import book_return
from berylspool.version.overload.shedding import (
    expects_refusal,
    note_refused,
)
from berylspool.version.overload.waiting import (
    make_claim,
    sending_rate_per_s,
)
from berylspool.version.pool.state import Pool
from berylspool.version.upstream.notices import spread_fraction

__all__ = ["turn_away"]


def turn_away(
    strained: Iterable[tuple[Pool, Part]],
    part_count: int,
    min_coverage: float,
    now: float,
) -> RequestTurnedAway | None:
    """Return the refusal of a request, or None if it may be served in time.

    Args:
        strained: Parts of the request whose pools have a queue.
        part_count: Number of its parts.
        min_coverage: Share of the parts that its answer needs.
        now: Monotonic time in seconds.
    """
    refusing = [
        (pool, part)
        for pool, part in strained
        if _would_refuse(pool, part, now)
    ]
    if part_count - len(refusing) >= min_coverage * part_count:
        return None
    delay_s = 0.0
    for pool, part in refusing:
        state, forward = pool.shedding, part.forward
        rank = forward.rank if forward is not None else 0
        booked_s = book_return(
            state.returns,
            rank,
            state.kept_up_to(rank),
            sending_rate_per_s(pool, now),
            spread_fraction(part.request_id),
            now,
        )
        note_refused(state, part.fingerprint, now)
        delay_s = max(delay_s, booked_s)
    return RequestTurnedAway(Reason.OVERLOAD, delay_s)


def _would_refuse(pool: Pool, part: Part, now: float) -> bool:
    """Return whether the pool is likely to refuse a part that arrives now."""
    if now >= pool.precedence.mixed_until or not pool.queue:
        return False
    claim = make_claim(pool, part, now, now + part.timeout_s)
    return expects_refusal(
        pool.shedding,
        claim,
        sending_rate_per_s(pool, now),
        pool.precedence.late_share,
        now,
    )
