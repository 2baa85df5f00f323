"""When refused clients may return, by the rate at which capacity frees up."""

from dataclasses import dataclass, field

from berylspool.version.upstream.notices import spread_fraction

__all__ = [
    "FreeRate",
    "ReturnPlan",
    "book_return",
    "end_of_wait",
    "free_rate_per_s",
    "record_freed",
    "unbooked_return_s",
]

FREE_EWMA_WEIGHT = 0.1
MIN_INTERVAL_S = 0.0001
MIN_RETURN_S = 0.05
# The rate that the time follows has changed by then.
MAX_RETURN_S = 5.0
# Entries book returns without knowing of each other's.
SPREAD_SHARE = 0.25


@dataclass(slots=True)
class FreeRate:
    """Rate at which a pool with a queue may send.

    Attributes:
        interval_s: Moving average of the time between two sends, in seconds;
            None before the first two.
        latest_at: Time of the latest send since parts have been waiting,
            monotonic seconds; None if none was waiting after it.
    """

    interval_s: float | None = None
    latest_at: float | None = None


def record_freed(rate: FreeRate, now: float) -> None:
    """Record the send of a part that had to wait."""
    if rate.latest_at is not None:
        interval_s = now - rate.latest_at
        if rate.interval_s is None:
            rate.interval_s = interval_s
        rate.interval_s += FREE_EWMA_WEIGHT * (interval_s - rate.interval_s)
    rate.latest_at = now


def end_of_wait(rate: FreeRate) -> None:
    """Note that no part waits, so that the next send tells nothing."""
    rate.latest_at = None


def free_rate_per_s(rate: FreeRate, usual_per_s: float, now: float) -> float:
    """Return the rate at which waiting parts are sent.

    Args:
        rate: Sends so far.
        usual_per_s: Rate to assume before there are any.
        now: Monotonic time in seconds.

    Examples:
        >>> rate = FreeRate()
        >>> for at in (0.0, 0.1, 0.2):
        ...     record_freed(rate, at)
        >>> round(free_rate_per_s(rate, 99.0, 0.2))
        10
        >>> round(free_rate_per_s(rate, 99.0, 0.7))
        2
    """
    if rate.interval_s is None:
        return usual_per_s
    interval_s = max(rate.interval_s, MIN_INTERVAL_S)
    if rate.latest_at is not None:
        interval_s = max(interval_s, now - rate.latest_at)
    return 1.0 / interval_s


def unbooked_return_s(rate: FreeRate, waiting: int, part_id: str) -> float:
    """Return when capacity may be free for a part that upstreams refused.

    Args:
        rate: Sends so far.
        waiting: Parts that wait.
        part_id: Id of the part, which spreads the clients.

    Returns:
        Seconds; 0 if the rate is not known.
    """
    if rate.interval_s is None:
        return 0.0
    spread = 1.0 + SPREAD_SHARE * spread_fraction(part_id)
    return min((waiting + 1) * rate.interval_s, MAX_RETURN_S) * spread


@dataclass(slots=True)
class ReturnPlan:
    """Times at which refused clients return.

    Attributes:
        booked_at_by_rank: Latest time given to a client of each rank, monotonic
            seconds.
    """

    booked_at_by_rank: dict[int, float] = field(default_factory=dict)


def book_return(
    plan: ReturnPlan,
    rank: int,
    waiting: int,
    rate_per_s: float,
    fraction: float,
    now: float,
) -> float:
    """Return the time after which a refused client may return, in seconds.

    Clients of one rank get one place after the other, at the rate at which
    capacity becomes free, after those of more urgent ranks.

    Args:
        plan: Times given so far, changed in place.
        rank: Rank of the request.
        waiting: Parts that wait and are as urgent or more.
        rate_per_s: Rate at which waiting parts are sent.
        fraction: Number from 0 to 1 that spreads clients.
        now: Monotonic time in seconds.

    Examples:
        >>> plan = ReturnPlan()
        >>> ranks = (1, 0, 1)
        >>> delays = [book_return(plan, r, 9, 10.0, 0.0, 0.0) for r in ranks]
        >>> [round(delay, 1) for delay in delays]
        [1.1, 1.1, 1.2]
    """
    booked_at = max(
        (at for r, at in plan.booked_at_by_rank.items() if r <= rank),
        default=now,
    )
    earliest_at = now + max(MIN_RETURN_S, (waiting + 1) / rate_per_s)
    at = max(earliest_at, booked_at) + 1.0 / rate_per_s
    at = min(at, now + MAX_RETURN_S)
    plan.booked_at_by_rank[rank] = at
    return (at - now) * (1.0 + SPREAD_SHARE * fraction)
