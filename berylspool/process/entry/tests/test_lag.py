"""Answers due at the target latency reach callers in time under timer lag."""

import random

from berylspool.process.entry.lag import Lag, note_lag, send_early_s

WAY_S = 0.006
TARGET_S = 0.249


def late_share(mean_lag_s, learns, seed=1, requests=500):
    """Return the share of partial answers that reach the caller too late."""
    rng, lag, late = random.Random(seed), Lag(), 0
    for number in range(requests):
        seen_s = rng.expovariate(1 / mean_lag_s)
        given_s = TARGET_S - send_early_s(lag, TARGET_S) + seen_s
        late += number >= 50 and given_s + WAY_S > TARGET_S
        if learns:
            note_lag(lag, seen_s)
    return late / requests


def test_a_busy_process_answers_earlier():
    assert late_share(0.012, learns=False) > 0.25
    assert late_share(0.012, learns=True) < 0.15


def test_an_idle_process_gives_nothing_away():
    lag = Lag()
    for _ in range(100):
        note_lag(lag, 0.0005)
    assert send_early_s(lag, TARGET_S) < 0.022
