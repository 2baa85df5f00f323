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
    "ColdRate",
    "Ramp",
    "allowed_slots",
    "chill",
    "doubt",
    "is_warm",
    "may_send",
    "next_at",
    "note_send",
    "on_answer",
    "on_cold",
    "on_instance",
]

SHED_BACKOFF_S = 0.1
# Listings show a start with a delay and are read once per second.
LISTING_LAG_S = 2.0


@dataclass(slots=True)
class Ramp:
    """State of the slow start of one upstream.

    Attributes:
        instance: Instance id that the upstream last sent.
        first_answer_at: Time of the first answer of that instance, monotonic
            seconds; None until it answers.
        is_doubted: Whether a connection was lost since the instance was
            last confirmed.
        shed_until: Time before which the upstream gets no new work after it
            refused a request, monotonic seconds.
    """

    instance: str = ""
    first_answer_at: float | None = None
    is_doubted: bool = False
    shed_until: float = 0.0


def allowed_slots(ramp: Ramp, limits: Limits, now: float) -> int:
    """Return the number of requests that the upstream may run at once.

    Args:
        ramp: State of its slow start.
        limits: Its capacity limits.
        now: Monotonic time in seconds.

    Returns:
        A count from `cold_slots` to `slots`; zero during the back-off after a
        refusal.

    Examples:
        >>> limits = Limits(slots=3, cold_slots=1, ramp_s=4.0)
        >>> [allowed_slots(Ramp("i", 0.0), limits, t) for t in (0, 2, 4)]
        [1, 2, 3]
        >>> allowed_slots(Ramp(), limits, 100.0)
        1
    """
    if now < ramp.shed_until:
        return 0
    if ramp.first_answer_at is None or ramp.is_doubted:
        return limits.cold_slots
    elapsed = (now - ramp.first_answer_at) / max(limits.ramp_s, 1e-9)
    gained = int(elapsed * (limits.slots - limits.cold_slots))
    return min(limits.slots, limits.cold_slots + gained)


def is_warm(ramp: Ramp, limits: Limits, now: float) -> bool:
    """Return whether the upstream may get its full load."""
    if limits.cold_slots >= limits.slots:
        return True
    return (
        ramp.first_answer_at is not None
        and not ramp.is_doubted
        and now - ramp.first_answer_at >= limits.ramp_s
    )


def on_instance(ramp: Ramp, instance: str) -> bool:
    """Record the instance id that an upstream sent.

    Returns:
        True if the id is new, so that the upstream is cold again.
    """
    ramp.is_doubted = False
    if instance == ramp.instance:
        return False
    ramp.instance = instance
    ramp.first_answer_at = None
    return True


def on_answer(ramp: Ramp, now: float) -> None:
    """Record an answer; the first one of an instance starts the ramp."""
    if ramp.first_answer_at is None:
        ramp.first_answer_at = now


def on_cold(ramp: Ramp) -> None:
    """Record that the upstream reported itself as cold."""
    ramp.first_answer_at = None


def doubt(ramp: Ramp) -> None:
    """Record a lost connection: cold until the same instance is confirmed."""
    ramp.is_doubted = True


@dataclass(slots=True)
class ColdRate:
    """Limit of the rate of requests to one upstream while it is cold.

    Attributes:
        cold_until: Time until which the upstream is considered cold, monotonic
            seconds.
        next_at: Time of the next request that it may get while cold, monotonic
            seconds.
        is_lost: Whether a connection failed to open since one last opened.
    """

    cold_until: float = float("-inf")
    next_at: float = float("-inf")
    is_lost: bool = False


def chill(rate: ColdRate, cold_s: float, now: float) -> None:
    """Mark an upstream as cold for at least `cold_s` seconds from now."""
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
    """Record that a request was sent."""
    if limits.cold_per_s:
        rate.next_at = now + 1.0 / limits.cold_per_s


def next_at(rate: ColdRate, now: float) -> float:
    """Return when the upstream may get its next request, monotonic seconds."""
    return now if now >= rate.cold_until else min(rate.cold_until, rate.next_at)
