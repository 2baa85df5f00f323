"""What an entry has learnt of a helper, and whether it may be used."""

import enum
from dataclasses import dataclass

__all__ = [
    "Cause",
    "HelperHealth",
    "may_use",
    "on_answer",
    "on_failure",
    "on_linked",
]

MIN_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0


class Cause(enum.StrEnum):
    """Why a slice is taken back from its helper.

    Attributes:
        LATE: The helper did not accept it in time.
        REFUSED: The helper stops, or was frozen when the slice arrived.
        SILENT: The helper has accepted it, but does not answer any more.
        LINK_LOST: The link to the helper was lost.
    """

    LATE = "late"
    REFUSED = "refused"
    SILENT = "silent"
    LINK_LOST = "link_lost"


@dataclass(slots=True)
class HelperHealth:
    """What an entry has learnt of a helper.

    Attributes:
        suspended_until: Time before which it gets no slice, monotonic seconds.
        next_suspension_s: Length of the next suspension, in seconds.
        must_answer: Whether it has to answer before it gets a slice again.
    """

    suspended_until: float = float("-inf")
    next_suspension_s: float = MIN_SUSPENSION_S
    must_answer: bool = False


def may_use(health: HelperHealth, now: float) -> bool:
    """Return whether the helper may get a slice.

    Examples:
        >>> health = HelperHealth()
        >>> on_failure(health, Cause.LATE, 1.0), may_use(health, 2.0)
        (0.5, False)
        >>> on_answer(health, in_time=False)
        >>> may_use(health, 1.4), may_use(health, 1.5)
        (False, True)
    """
    return not health.must_answer and now >= health.suspended_until


def on_answer(health: HelperHealth, in_time: bool) -> None:
    """Note a message from the helper.

    Args:
        health: State to change in place.
        in_time: Whether it accepts a slice that still counts on it.
    """
    health.must_answer = False
    if in_time:
        health.next_suspension_s = MIN_SUSPENSION_S


def on_linked(health: HelperHealth) -> None:
    """Note that the link to the helper has opened, so messages arrive."""
    health.must_answer = False


def on_failure(health: HelperHealth, cause: Cause, now: float) -> float:
    """Note that a slice was taken back from the helper.

    Slices of one request that fail together count as one failure.

    Args:
        health: State to change in place.
        cause: Why it was taken back.
        now: Monotonic time in seconds.

    Returns:
        Length of the suspension that begins, in seconds; 0 if it is
        suspended already.
    """
    health.must_answer = cause in (Cause.LATE, Cause.SILENT)
    if now < health.suspended_until:
        return 0.0
    suspension_s = health.next_suspension_s
    health.suspended_until = now + suspension_s
    health.next_suspension_s = min(suspension_s * 2, MAX_SUSPENSION_S)
    return suspension_s
