"""Cold starts: how many requests at once an upstream may get.

An upstream is cold from a start until it has answered for `ramp_s` seconds.
A start is inferred from a new instance id or from a lost connection; reports
of the upstream may lower trust but never raise a limit.  The linear ramp is
the slow start of Envoy's load balancer.

Where many entries share an upstream, each keeps to its part of the rate that
a cold one bears, without a word to the others.  An entry that joins late
starts with one request.
"""

from dataclasses import dataclass

from berylspool.version.configuration import Limits

__all__ = [
    "ColdRate",
    "chill",
    "may_send",
    "next_at",
    "note_send",
    "Ramp",
    "allowed_slots",
    "doubt",
    "is_warm",
    "on_answer",
    "on_cold",
    "on_instance",
]

SHED_BACKOFF_S = 0.1
# Listings show a start with a delay, and are read once a second.
LISTING_LAG_S = 2.0


@dataclass(slots=True)
class Ramp:
    """What is known of an upstream's start.

    Attributes:
        instance: Instance id that the upstream last named.
        first_answer_at: First answer of that instance, monotonic seconds;
            None while it has not answered.
        is_doubted: Whether a connection was lost since the instance was
            last confirmed.
        shed_until: No new work before this moment, monotonic seconds.
    """

    instance: str = ""
    first_answer_at: float | None = None
    is_doubted: bool = False
    shed_until: float = 0.0


def allowed_slots(ramp: Ramp, limits: Limits, now: float) -> int:
    """Return how many requests the upstream may have at once.

    Args:
        ramp: What is known of its start.
        limits: What it bears.
        now: Monotonic time in seconds.

    Returns:
        A count from `cold_slots` to `slots`; zero while it sheds.

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
    """Return whether the upstream bears its full load."""
    if limits.cold_slots >= limits.slots:
        return True
    return (
        ramp.first_answer_at is not None
        and not ramp.is_doubted
        and now - ramp.first_answer_at >= limits.ramp_s
    )


def on_instance(ramp: Ramp, instance: str) -> bool:
    """Note the instance id that an upstream named.

    Returns:
        True if it is a new one, so the upstream is cold again.
    """
    ramp.is_doubted = False
    if instance == ramp.instance:
        return False
    ramp.instance = instance
    ramp.first_answer_at = None
    return True


def on_answer(ramp: Ramp, now: float) -> None:
    """Note an answer, which starts the ramp if none came before."""
    if ramp.first_answer_at is None:
        ramp.first_answer_at = now


def on_cold(ramp: Ramp) -> None:
    """Note that the upstream says it is cold."""
    ramp.first_answer_at = None


def doubt(ramp: Ramp) -> None:
    """Note a lost connection: cold until the same instance is confirmed."""
    ramp.is_doubted = True


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
