"""Limits of the VM in the platform's settings file."""

import orjson
import pytest

from berylspool.platform.settings import (
    MIN_MEMORY_MB,
    read_settings,
    to_holding_limits,
    to_memory_limits,
)
from berylspool.process.settings import MemoryLimits

SETTINGS = {
    "node-name": "front-1",
    "ip": "10.0.0.1",
    "zone": "z",
    "internal-ports": [7380, 7395],
}


@pytest.mark.parametrize(
    ("limits", "megabytes"),
    [
        ({"memory-mb": 200, "max-fds": 4100}, 200),
        ({"memory-mb": 200.5}, 200),
        ({"memory-mb": 8}, MIN_MEMORY_MB),
        ({"memory-mb": 0}, MemoryLimits().megabytes),
        ({}, MemoryLimits().megabytes),
        (None, MemoryLimits().megabytes),
    ],
)
def test_memory_of_a_process_is_read_from_its_limits(
    tmp_path, limits, megabytes
):
    path = tmp_path / "settings.json"
    fields = SETTINGS if limits is None else {**SETTINGS, "limits": limits}
    path.write_bytes(orjson.dumps(fields))
    assert to_memory_limits(read_settings(path)).megabytes == megabytes


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({"memory-mb": 200, "max-fds": 4100}, (50_000_000, 1950)),
        ({"memory-mb": 100, "max-fds": 500}, (25_000_000, 150)),
        ({"memory-mb": 100, "max-fds": 10}, (25_000_000, 16)),
        ({}, (64_000_000, 1950)),
    ],
)
def test_clients_get_a_share_of_the_limits(tmp_path, limits, expected):
    """Without room for upstreams and control, callers would take it all."""
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, "limits": limits}))
    holding = to_holding_limits(read_settings(path))
    assert (holding.max_bytes, holding.max_connections) == expected
