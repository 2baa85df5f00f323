"""Timer lag of a process, and how much earlier answers are sent to cover it.

On small VMs, the parts of a wide fan-out keep the process busy, so timers
fire some milliseconds late.  An answer sent exactly at the target latency
would reach its caller too late.
"""

from dataclasses import dataclass

__all__ = ["TimerLag", "early_margin_s", "record_lag"]

# Network round trip to the caller, plus handling the answer in an idle process.
ANSWER_MARGIN_S = 0.02
# Weight of the newest lag; the mean follows a change of load within one second
# of requests.
SMOOTHING_FACTOR = 0.2
# Half of the lags exceed their mean, and few exceed twice the mean.
LAG_MARGIN_FACTOR = 1.5
# Largest share of the target latency by which an answer is sent early. The
# rest covers the answer times of upstreams that are not slow.
MAX_MARGIN_SHARE = 0.6


@dataclass(slots=True)
class TimerLag:
    """Exponential moving average of the timer lag.

    Attributes:
        mean_s: Average lag in seconds.
    """

    mean_s: float = 0.0


def record_lag(lag: TimerLag, observed_s: float) -> None:
    """Update the average with the lag of one timer.

    Args:
        lag: Average, changed in place.
        observed_s: Time between the due time and the wake-up, in seconds.
    """
    lag.mean_s += SMOOTHING_FACTOR * (observed_s - lag.mean_s)


def early_margin_s(lag: TimerLag, target_s: float) -> float:
    """Return how long before the target latency an answer has to be sent.

    Args:
        lag: Average timer lag.
        target_s: Target latency of the route, in seconds.

    Returns:
        A margin in seconds.

    Examples:
        >>> round(early_margin_s(TimerLag(0.0), 0.25), 3)
        0.02
        >>> round(early_margin_s(TimerLag(0.01), 0.25), 3)
        0.035
        >>> round(early_margin_s(TimerLag(0.1), 0.05), 3)
        0.03
    """
    margin_s = ANSWER_MARGIN_S + LAG_MARGIN_FACTOR * lag.mean_s
    return min(margin_s, max(ANSWER_MARGIN_S, MAX_MARGIN_SHARE * target_s))
