"""Checks that stateful fuzzing detects a fault injected into the code."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

__all__ = ["fuzzing_finds_failure"]


def fuzzing_finds_failure(machine_class, max_examples=4000, max_steps=60):
    """Return whether fuzzing a state machine fails.

    Hypothesis uses constants from all loaded modules as examples, so the
    examples that lead to a fault change when any module changes.  The number
    of examples must be large enough to find the fault in any case.

    Args:
        machine_class: Hypothesis state machine with the fault injected.
        max_examples: Maximum number of examples.
        max_steps: Maximum number of steps of an example.
    """
    profile = settings(
        max_examples=max_examples,
        stateful_step_count=max_steps,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    try:
        run_state_machine_as_test(machine_class, settings=profile)
    except (AssertionError, KeyError, IndexError):
        return True
    return False
