"""Hypothesis profiles of the property tests.

The default profile, `short`, is deterministic and is used in CI.
`HYPOTHESIS_PROFILE=long pytest` runs many random examples; the environment
variable `EXAMPLES` sets how many.
"""

import os

from hypothesis import HealthCheck, settings

SHORT_EXAMPLES = 40
SHORT_STEPS = 50
LONG_EXAMPLES = 10_000
LONG_STEPS = 200

settings.register_profile(
    "short",
    max_examples=SHORT_EXAMPLES,
    stateful_step_count=SHORT_STEPS,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "long",
    max_examples=int(os.environ.get("EXAMPLES", LONG_EXAMPLES)),
    stateful_step_count=LONG_STEPS,
    deadline=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "short"))
