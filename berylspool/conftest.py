"""Hypothesis profiles of the property tests.

The default profile is short and derandomized, as CI needs.  The long one, with
`HYPOTHESIS_PROFILE=long pytest`, runs many random examples, 10 000 unless
`EXAMPLES` states another number.
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
