"""Hedging: the delay before a second copy, and a budget of extra copies.

The delay is a percentile of recent answer times of the same service, so about
one part in twenty-five waits long enough to be hedged.  The budget grows with
first copies, so hedging stops when all upstreams are slow.  References:
Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013; retry budgets as in
Finagle.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = [
    "Budget",
    "HedgeDelay",
    "deposit",
    "discard_excess",
    "record_duration",
    "set_max_tokens",
    "take_back_deposit",
    "try_withdraw",
]

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_US = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
WINDOW_SAMPLES = 500
UPDATE_SAMPLES = 50


@dataclass(slots=True)
class Budget:
    """Token bucket for extra copies, which cost one token each.

    Attributes:
        tokens_per_first_copy: Tokens added for each first copy.
        max_tokens: Maximum balance.
        tokens: Balance.
        tokens_per_s: Tokens added per second, regardless of traffic.
        refilled_at: Time of the latest addition by `tokens_per_s`, monotonic
            seconds.
    """

    tokens_per_first_copy: float
    max_tokens: float
    tokens: float
    tokens_per_s: float = 0.0
    refilled_at: float | None = None


def deposit(budget: Budget) -> None:
    """Add the tokens for one first copy."""
    budget.tokens = min(
        budget.max_tokens, budget.tokens + budget.tokens_per_first_copy
    )


def take_back_deposit(budget: Budget) -> None:
    """Remove the tokens of a first copy that will not be sent."""
    budget.tokens = max(0.0, budget.tokens - budget.tokens_per_first_copy)


def set_max_tokens(budget: Budget, max_tokens: float) -> None:
    """Change the maximum balance, as entries that share the budget change.

    Examples:
        >>> budget = Budget(0.5, max_tokens=8.0, tokens=6.0)
        >>> set_max_tokens(budget, 4.0)
        >>> budget.tokens
        4.0
    """
    budget.max_tokens = max_tokens
    discard_excess(budget)


def discard_excess(budget: Budget) -> None:
    """Discard tokens beyond the maximum balance, such as unused loans."""
    budget.tokens = min(budget.tokens, budget.max_tokens)


def try_withdraw(budget: Budget, now: float) -> bool:
    """Take the token for one extra copy.

    Args:
        budget: The budget.
        now: Monotonic time in seconds.

    Returns:
        False if the balance is too low; no token is taken then.

    Examples:
        >>> budget = Budget(0.5, max_tokens=2.0, tokens=1.0)
        >>> try_withdraw(budget, 0.0), try_withdraw(budget, 0.0)
        (True, False)
        >>> budget.tokens_per_s = 0.5
        >>> try_withdraw(budget, 1.0), try_withdraw(budget, 2.0)
        (False, True)
    """
    if budget.refilled_at is not None:
        refill = (now - budget.refilled_at) * budget.tokens_per_s
        refilled = min(budget.max_tokens, budget.tokens + refill)
        # Lent tokens may exceed the maximum until they are spent.
        budget.tokens = max(budget.tokens, refilled)
    budget.refilled_at = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


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
        current_window: Attempt times of the current window, in microseconds.
        previous_window: Attempt times of the previous window, in microseconds.
    """

    percentile: float
    delay_s: float
    current_window: HdrHistogram = field(default_factory=_histogram)
    previous_window: HdrHistogram = field(default_factory=_histogram)


def record_duration(delay: HedgeDelay, elapsed_s: float) -> None:
    """Add one attempt; update the delay every `UPDATE_SAMPLES` attempts.

    Args:
        delay: Estimator to update.
        elapsed_s: Time from send to answer or cancellation, in seconds.
    """
    elapsed_us = int(elapsed_s * MICROSECONDS_PER_SECOND)
    delay.current_window.record_value(max(1, min(MAX_RECORDED_US, elapsed_us)))
    count = delay.current_window.total_count
    if count % UPDATE_SAMPLES:
        return
    merged = _histogram()
    merged.add(delay.current_window)
    merged.add(delay.previous_window)
    percentile_us = merged.get_value_at_percentile(delay.percentile)
    delay.delay_s = percentile_us / MICROSECONDS_PER_SECOND
    if count >= WINDOW_SAMPLES:
        delay.previous_window = delay.current_window
        delay.current_window = _histogram()
