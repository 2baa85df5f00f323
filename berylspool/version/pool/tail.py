"""Hedging: the delay before a second copy, and a budget of extra copies.

The delay is a quantile of recent answer times of the same service, so about one
part in twenty-five waits long enough to be hedged.  The budget grows with first
copies, so hedging stops when all upstreams are slow.  References:
Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013; retry budgets as in
Finagle.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["Budget", "HedgeDelay", "cap", "deposit", "observe", "withdraw"]

MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_US = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
WINDOW_SAMPLES = 500
STEP_SAMPLES = 50


@dataclass(slots=True)
class Budget:
    """Token bucket for extra copies, which cost one token each.

    Attributes:
        ratio: Tokens added for each first copy.
        most: Maximum balance.
        tokens: Balance.
        per_s: Tokens added per second, regardless of traffic.
        gained_at: Time of the latest addition by `per_s`, monotonic seconds.
    """

    ratio: float
    most: float
    tokens: float
    per_s: float = 0.0
    gained_at: float | None = None


def deposit(budget: Budget) -> None:
    """Add the tokens for one first copy."""
    budget.tokens = min(budget.most, budget.tokens + budget.ratio)


def cap(budget: Budget, most: float, per_s: float = 0.0) -> None:
    """Change an entry's share of a budget, as entries join and leave.

    Args:
        budget: The budget.
        most: New maximum balance.
        per_s: New number of tokens added per second.

    Examples:
        >>> budget = Budget(ratio=0.5, most=8.0, tokens=6.0)
        >>> cap(budget, 4.0)
        >>> budget.tokens
        4.0
    """
    budget.most = most
    budget.per_s = per_s
    budget.tokens = min(budget.tokens, most)


def withdraw(budget: Budget, now: float) -> bool:
    """Take the token for one extra copy.

    Args:
        budget: The budget.
        now: Monotonic time in seconds.

    Returns:
        False if the balance is too low; no token is taken then.

    Examples:
        >>> budget = Budget(ratio=0.5, most=2.0, tokens=1.0)
        >>> withdraw(budget, 0.0), withdraw(budget, 0.0)
        (True, False)
        >>> budget.per_s = 0.5
        >>> withdraw(budget, 1.0), withdraw(budget, 2.0)
        (False, True)
    """
    if budget.gained_at is not None:
        gained = (now - budget.gained_at) * budget.per_s
        budget.tokens = min(budget.most, budget.tokens + gained)
    budget.gained_at = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class HedgeDelay:
    """Estimator of the hedge delay of one service.

    The delay is a percentile over all attempts.  A copy that was outrun by a
    hedge counts with its time so far; without it, slow attempts would be
    missing from the sample and the delay would drift down.

    Attributes:
        percentile: Percentile of attempt times used as delay.
        delay_s: Delay in seconds; an initial value until there are enough
            samples.
        window: Attempt times of the current window, in microseconds.
        former: Attempt times of the previous window, in microseconds.
    """

    percentile: float
    delay_s: float
    window: HdrHistogram = field(default_factory=_histogram)
    former: HdrHistogram = field(default_factory=_histogram)


def observe(delay: HedgeDelay, elapsed_s: float) -> None:
    """Add one attempt; update the delay every `STEP_SAMPLES` attempts.

    Args:
        delay: Estimator to update.
        elapsed_s: Time from send to answer or cancellation, in seconds.
    """
    elapsed_us = int(elapsed_s * MICROSECONDS_PER_SECOND)
    delay.window.record_value(max(1, min(LONGEST_US, elapsed_us)))
    count = delay.window.total_count
    if count % STEP_SAMPLES:
        return
    both = _histogram()
    both.add(delay.window)
    both.add(delay.former)
    learnt_us = both.get_value_at_percentile(delay.percentile)
    delay.delay_s = learnt_us / MICROSECONDS_PER_SECOND
    if count >= WINDOW_SAMPLES:
        delay.former = delay.window
        delay.window = _histogram()
