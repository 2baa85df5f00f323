"""Decides whether and when an upstream began to run a request."""

from dataclasses import dataclass

from berylspool.request.query import Answer, Outcome, Refusal

__all__ = ["RequestUsage", "run_time", "settle_abandoned"]


@dataclass(slots=True)
class RequestUsage:
    """What is known of the copies of a request; times are monotonic seconds.

    Attributes:
        customer: Name of the customer.
        is_wide: Whether the request has parts for several services.
        started_at: Time at which its parts were handed to the pools.
        sent_at: Time at which the first copy of its first part was sent; None
            if it was not.
        ran_at: Time at which the earliest copy was sent that an upstream has
            begun to run, as its reply shows; None without a reply.
        ended_at: Time at which it ended without a decision whether it has run;
            None before that.
        is_counted: Whether it has been counted.
    """

    customer: str
    is_wide: bool
    started_at: float
    sent_at: float | None = None
    ran_at: float | None = None
    ended_at: float | None = None
    is_counted: bool = False


def run_time(usage: RequestUsage, outcome: Outcome | None) -> float | None:
    """Return when the first copy that ran was sent, as far as known.

    Args:
        usage: A request that has ended.
        outcome: Its outcome; None if it ended with an unexpected error.

    Returns:
        Monotonic time in seconds; None if there is no sign that one has run,
        as is the case if all copies were refused, or may still wait here.

    Examples:
        >>> usage = RequestUsage("a", False, 1.0, sent_at=1.5, ran_at=2.0)
        >>> run_time(usage, None)
        2.0
    """
    if usage.ran_at is not None:
        return usage.ran_at
    match outcome:
        case Answer():
            # Other processes have sent its parts.
            return usage.started_at
        case Refusal() | None:
            return None


def settle_abandoned(unanswered_ms: dict[str, int], now: float) -> float | None:
    """Return when the first copy of an abandoned part was sent that may run.

    Args:
        unanswered_ms: Age of each copy without a reply in ms, by upstream.
        now: Monotonic time in seconds.

    Returns:
        Monotonic time in seconds; None if every copy was refused, or none sent.

    Examples:
        >>> settle_abandoned({"i-1": 1500, "i-2": 500}, 10.0)
        8.5
    """
    if not unanswered_ms:
        return None
    return now - max(unanswered_ms.values()) / 1000.0
