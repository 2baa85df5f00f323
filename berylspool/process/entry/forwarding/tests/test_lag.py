"""Answers due at the target latency reach callers in time under timer lag."""

import random

from berylspool.process.entry.forwarding.lag import (
    TimerLag,
    early_margin_s,
    record_lag,
)

NETWORK_DELAY_S = 0.006
TARGET_S = 0.249


def late_share(
    mean_lag_s, is_adaptive, target_s=TARGET_S, seed=1, request_count=500
):
    """Return the share of partial answers that reach the caller too late."""
    rng, lag, late_count = random.Random(seed), TimerLag(), 0
    for number in range(request_count):
        lag_s = rng.expovariate(1 / mean_lag_s)
        sent_s = target_s - early_margin_s(lag, target_s) + lag_s
        late_count += number >= 50 and sent_s + NETWORK_DELAY_S > target_s
        if is_adaptive:
            record_lag(lag, lag_s)
    return late_count / request_count


def test_busy_process_answers_earlier():
    assert late_share(0.012, is_adaptive=False) > 0.25
    assert late_share(0.012, is_adaptive=True) < 0.15


def test_busy_process_answers_in_time_for_a_tight_target():
    assert late_share(0.01, is_adaptive=True, target_s=0.058) < 0.15


def test_idle_process_answers_barely_early():
    lag = TimerLag()
    for _ in range(100):
        record_lag(lag, 0.0005)
    assert early_margin_s(lag, TARGET_S) < 0.022
