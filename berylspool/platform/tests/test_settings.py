"""Limits of the VM and duties in the platform's settings file."""

import orjson
import pytest

from berylspool.platform.settings import (
    MIN_MEMORY_MB,
    read_settings,
    to_holding_limits,
    to_memory_limits,
    to_settings,
)
from berylspool.process.settings import DutySettings, MemoryLimits
from berylspool.version.duty.schedule import DutyTiming

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
    ("limits", "share"),
    [
        ({"cpu-share": 0.516}, 0.516),
        ({"cpu-share": 0.5, "cpu-cores": 2}, 1.0),
        ({"memory-mb": 200}, 0.0),
        (None, 0.0),
    ],
)
def test_share_of_a_core_is_read_from_the_limits(tmp_path, limits, share):
    """Without it, an entry cannot know which requests to divide."""
    path = tmp_path / "settings.json"
    fields = SETTINGS if limits is None else {**SETTINGS, "limits": limits}
    path.write_bytes(orjson.dumps(fields))
    assert to_settings(read_settings(path)).routing.processor_share == share


def read_duties(tmp_path, **fields):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, **fields}))
    return to_settings(read_settings(path)).duties


def test_duties_are_off_unless_the_settings_name_them(tmp_path):
    assert not read_duties(tmp_path).reports_usage
    cloud = {"address": "10.0.0.9:80", "duties": ["other_duty"]}
    assert not read_duties(tmp_path, cloud=cloud).reports_usage


def test_duties_are_read_from_the_settings(tmp_path):
    cloud = {
        "address": "10.0.0.9:80",
        "duties": ["usage_report"],
        "duty-per-s": 40,
    }
    bounds = {
        "report-window-s": 4,
        "usage-late-s": 8,
        "usage-tolerance": 0.05,
        "lease-ms": 2500,
        "require-fencing": True,
    }
    duties = read_duties(tmp_path, cloud=cloud, bounds=bounds)
    assert duties == DutySettings(
        names=("usage_report",),
        holder="front-1",
        calls_per_s=40,
        window_s=4,
        late_s=8,
        lease_s=2.5,
    )
    assert duties.reports_usage
    assert duties.timing == DutyTiming(4.0, 8.0, 2.5, 40.0)


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
