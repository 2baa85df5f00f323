"""Rate at which one entry sends to a cold upstream that many entries share.

It answers a start, or a return, under full load: whoever shares the upstream
keeps to its part of the rate that the upstream bears, without a word to the
others.  An entry that joins late starts with one request.
"""

from dataclasses import dataclass

from berylspool.version.configuration import Limits

__all__ = ["ColdRate", "chill", "may_send", "next_at", "note_send"]

# Listings show a start with a delay, and are read once a second.
LISTING_LAG_S = 2.0


@dataclass(slots=True)
class ColdRate:
    """What is known of an upstream's warmth.

    Attributes:
        cold_until: Moment until which it is taken for cold, monotonic
            seconds.
        next_at: Moment of the next request that it may get while cold.
        is_lost: Whether it refused a connection since it was last open.
    """

    cold_until: float = float("-inf")
    next_at: float = float("-inf")
    is_lost: bool = False


def chill(rate: ColdRate, cold_s: float, now: float) -> None:
    """Take an upstream for cold for some time, in seconds."""
    rate.cold_until = max(rate.cold_until, now + cold_s)


def may_send(rate: ColdRate, limits: Limits, now: float) -> bool:
    """Return whether the upstream may get a request now.

    Examples:
        >>> limits = Limits(cold_per_s=2.0)
        >>> rate = ColdRate(cold_until=10.0)
        >>> note_send(rate, limits, 0.0)
        >>> may_send(rate, limits, 0.4), may_send(rate, limits, 0.5)
        (False, True)
    """
    if limits.cold_per_s is None or now >= rate.cold_until:
        return True
    return limits.cold_per_s > 0 and now >= rate.next_at


def note_send(rate: ColdRate, limits: Limits, now: float) -> None:
    """Count a request that was sent."""
    if limits.cold_per_s:
        rate.next_at = now + 1.0 / limits.cold_per_s


def next_at(rate: ColdRate, now: float) -> float:
    """Return when the upstream may get a request, monotonic seconds."""
    return now if now >= rate.cold_until else min(rate.cold_until, rate.next_at)
