"""Window numbers while wall clocks jump."""

import pytest

from berylspool.version.duty.window import (
    JUMP_PERSISTS_S,
    MAX_SLEW_S,
    WallClock,
    observe_clocks,
    wall_time,
    window_at,
)

EPOCH_S = 1_700_000_000.0
INTERVAL_S = 0.25


def observe_for(clock, start, duration_s, error_s):
    """Observe clocks; return the end and the steps that were adopted."""
    now, steps = start, []
    while now < start + duration_s:
        steps.append(observe_clocks(clock, now, EPOCH_S + now + error_s))
        now += INTERVAL_S
    return now, [step for step in steps if step]


@pytest.mark.parametrize("jump_s", [2.0, -2.0, 0.5])
def test_jump_that_does_not_last_changes_no_window(jump_s):
    # Guards against counts in, and reports of, a window that is not the true
    # one while the clock of a VM is wrong.
    clock = WallClock()
    now, _ = observe_for(clock, 0.0, 5.0, 0.0)
    for _ in range(3):
        now, steps = observe_for(clock, now, JUMP_PERSISTS_S / 2, jump_s)
        assert not steps
        assert wall_time(clock, now) == pytest.approx(EPOCH_S + now, abs=1e-6)
        now, _ = observe_for(clock, now, 1.0, 0.0)


@pytest.mark.parametrize("jump_s", [2.0, -2.0])
def test_jump_that_lasts_is_adopted_once(jump_s):
    # Guards against a process that started while its clock was wrong, and
    # would count in wrong windows for ever.
    clock = WallClock()
    now, _ = observe_for(clock, 0.0, 5.0, 0.0)
    now, steps = observe_for(clock, now, JUMP_PERSISTS_S + 5.0, jump_s)
    assert steps == [pytest.approx(jump_s)]
    assert wall_time(clock, now) == pytest.approx(EPOCH_S + now + jump_s)


def test_jumps_to_and_fro_are_not_taken_for_one_that_lasts():
    # Guards against adding up the times of different jumps.
    clock = WallClock()
    now, _ = observe_for(clock, 0.0, 5.0, 0.0)
    for error_s in (2.0, -2.0) * 8:
        now, steps = observe_for(clock, now, JUMP_PERSISTS_S / 4, error_s)
        assert not steps


def test_slow_drift_is_followed():
    # Guards against a difference that grows unnoticed until it is a jump.
    clock = WallClock()
    observe_clocks(clock, 0.0, EPOCH_S)
    for second in range(1, 4000):
        drift_s = second * 1e-4
        assert not observe_clocks(clock, second, EPOCH_S + second + drift_s)
    error_s = wall_time(clock, second) - (EPOCH_S + second + drift_s)
    assert abs(error_s) < MAX_SLEW_S / 10


def test_windows_begin_at_multiples_of_their_length():
    assert window_at(EPOCH_S, 5.0) == 340_000_000
    assert window_at(EPOCH_S - 0.001, 5.0) == 339_999_999
