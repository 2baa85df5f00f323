"""The platform's names occur in the adapter only; it makes no decisions."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"fanout-services|min-shard-ratio|X-Part-Stamps|X-Missing-Parts"
    r"|X-Expect-Instance|X-Not-Executed|X-Response-Stamp|X-Request-Deadline"
    r"|X-Api-Key|X-Tenant|api-keys|X-Server-Load|Config\.Replace|Config\.Read|Rollouts\.|Evacuation\."
    r"|warmup|discovery-lag|target-latency|traffic-split|non_idempotent"
    r"|X-Lease-Holder|X-Fencing-Token|berylspool\.platform"
)


def test_platform_names_occur_in_platform_folder_only():
    for path in PACKAGE.rglob("*.py"):
        if "platform" in path.relative_to(PACKAGE).parts[:1]:
            continue
        found = PLATFORM_NAMES.search(path.read_text())
        assert found is None, f"{path}: {found}"


def test_adapter_defines_no_step_function():
    for path in (PACKAGE / "platform").rglob("*.py"):
        if "tests" not in path.parts:
            assert "def step(" not in path.read_text(), path
