"""How late a process notices that time has passed, and what that asks for.

It answers wide fan-outs at small VMs: the parts of a query keep the process
busy, so a timer fires some milliseconds late, and an answer that is given at
the target latency would reach its caller after it.
"""

from dataclasses import dataclass

__all__ = ["Lag", "note_lag", "send_early_s"]

# The way to the caller and back, and the answer's way through an idle process.
ANSWER_MARGIN_S = 0.02
# Follows a change of load within a second of requests.
GAIN = 0.2
# Half of the lags are longer than their mean, and seldom more than twice.
LAG_FACTOR = 1.5
# Never give up more of the target latency than that.
MOST_SHARE = 0.4


@dataclass(slots=True)
class Lag:
    """Moving average of the lag of timers, in seconds."""

    mean_s: float = 0.0


def note_lag(lag: Lag, seen_s: float) -> None:
    """Add the lag of one timer, in seconds."""
    lag.mean_s += GAIN * (seen_s - lag.mean_s)


def send_early_s(lag: Lag, target_s: float) -> float:
    """Return how long before its target latency an answer has to be given.

    Args:
        lag: What was learnt.
        target_s: Target latency of the route, in seconds.

    Examples:
        >>> round(send_early_s(Lag(0.0), 0.25), 3)
        0.02
        >>> round(send_early_s(Lag(0.01), 0.25), 3)
        0.035
        >>> round(send_early_s(Lag(0.1), 0.05), 3)
        0.02
    """
    margin_s = ANSWER_MARGIN_S + LAG_FACTOR * lag.mean_s
    return min(margin_s, max(ANSWER_MARGIN_S, MOST_SHARE * target_s))
