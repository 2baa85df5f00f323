"""Slow start: how many requests an upstream may get after it starts.

An upstream is cold from its start until it has answered for `ramp_s` seconds.
A start is inferred from a new instance id or from a lost connection; reports
of the upstream may lower its limit but never raise it.  The linear ramp is
that of the slow start in Envoy's load balancer.

Where many entries share an upstream, each keeps to its share of the request
rate that a cold upstream sustains, without coordination with the others.  An
entry that joins late starts with one request.
"""

from dataclasses import dataclass

from berylspool.version.configuration import Limits

__all__ = [
    "ColdRateLimit",
    "SlowStart",
    "allowed_slots",
    "is_warm",
    "mark_cold",
    "may_send",
    "next_send_at",
    "on_answer",
    "on_cold_report",
    "on_connection_lost",
    "on_instance_report",
    "on_send",
]

REFUSAL_BACKOFF_S = 0.1
# Listings show a start with a delay and are read once per second.
LISTING_LAG_S = 2.0


@dataclass(slots=True)
class SlowStart:
    """State of the slow start of one upstream.

    Attributes:
        instance: Instance id that the upstream last sent.
        first_answer_at: Time of the first answer of that instance, monotonic
            seconds; None until it answers.
        is_unconfirmed: Whether a connection was lost since the instance was
            last confirmed.
        backoff_until: Time before which the upstream gets no new work after it
            refused a request, monotonic seconds.
    """

    instance: str = ""
    first_answer_at: float | None = None
    is_unconfirmed: bool = False
    backoff_until: float = 0.0


def allowed_slots(slow_start: SlowStart, limits: Limits, now: float) -> int:
    """Return the number of requests that the upstream may run at once.

    Args:
        slow_start: State of its slow start.
        limits: Its capacity limits.
        now: Monotonic time in seconds.

    Returns:
        A count from `cold_slots` to `slots`; zero during the back-off after a
        refusal.

    Examples:
        >>> limits = Limits(slots=3, cold_slots=1, ramp_s=4.0)
        >>> [allowed_slots(SlowStart("i", 0.0), limits, t) for t in (0, 2, 4)]
        [1, 2, 3]
        >>> allowed_slots(SlowStart(), limits, 100.0)
        1
    """
    if now < slow_start.backoff_until:
        return 0
    if limits.cold_slots == limits.slots:
        return limits.slots
    if slow_start.first_answer_at is None or slow_start.is_unconfirmed:
        return limits.cold_slots
    elapsed_share = (now - slow_start.first_answer_at) / max(
        limits.ramp_s, 1e-9
    )
    extra_slots = int(elapsed_share * (limits.slots - limits.cold_slots))
    return min(limits.slots, limits.cold_slots + extra_slots)


def is_warm(slow_start: SlowStart, limits: Limits, now: float) -> bool:
    """Return whether the upstream may get its full load."""
    if limits.cold_slots >= limits.slots:
        return True
    return (
        slow_start.first_answer_at is not None
        and not slow_start.is_unconfirmed
        and now - slow_start.first_answer_at >= limits.ramp_s
    )


def on_instance_report(slow_start: SlowStart, instance: str) -> bool:
    """Record the instance id that an upstream sent.

    Returns:
        True if the id is new, so that the upstream is cold again.
    """
    slow_start.is_unconfirmed = False
    if instance == slow_start.instance:
        return False
    slow_start.instance = instance
    slow_start.first_answer_at = None
    return True


def on_answer(slow_start: SlowStart, now: float) -> None:
    """Record an answer; the first one of an instance starts the ramp."""
    if slow_start.first_answer_at is None:
        slow_start.first_answer_at = now


def on_cold_report(slow_start: SlowStart) -> None:
    """Record that the upstream reported itself as cold."""
    slow_start.first_answer_at = None


def on_connection_lost(slow_start: SlowStart) -> None:
    """Record a lost connection: cold until the same instance is confirmed."""
    slow_start.is_unconfirmed = True


@dataclass(slots=True)
class ColdRateLimit:
    """Limit of the rate of requests to one upstream while it is cold.

    Attributes:
        cold_until: Time until which the upstream is considered cold, monotonic
            seconds.
        next_send_at: Time of the next request that it may get while cold,
            monotonic seconds.
        is_unreachable: Whether a connection failed to open since one last
            opened.
    """

    cold_until: float = float("-inf")
    next_send_at: float = float("-inf")
    is_unreachable: bool = False


def mark_cold(rate_limit: ColdRateLimit, cold_s: float, now: float) -> None:
    """Mark an upstream as cold for at least `cold_s` seconds from now."""
    rate_limit.cold_until = max(rate_limit.cold_until, now + cold_s)


def may_send(rate_limit: ColdRateLimit, limits: Limits, now: float) -> bool:
    """Return whether the upstream may get a request now.

    Examples:
        >>> limits = Limits(cold_per_s=2.0)
        >>> rate_limit = ColdRateLimit(cold_until=10.0)
        >>> on_send(rate_limit, limits, 0.0)
        >>> may_send(rate_limit, limits, 0.4), may_send(rate_limit, limits, 0.5)
        (False, True)
    """
    if limits.cold_per_s is None or now >= rate_limit.cold_until:
        return True
    return limits.cold_per_s > 0 and now >= rate_limit.next_send_at


def on_send(rate_limit: ColdRateLimit, limits: Limits, now: float) -> None:
    """Record that a request was sent."""
    if limits.cold_per_s:
        rate_limit.next_send_at = now + 1.0 / limits.cold_per_s


def next_send_at(rate_limit: ColdRateLimit, now: float) -> float:
    """Return when the upstream may get its next request, monotonic seconds."""
    return (
        now
        if now >= rate_limit.cold_until
        else min(rate_limit.cold_until, rate_limit.next_send_at)
    )
