"""The platform's settings file and its translation into `Settings`."""

import os
from pathlib import Path
from typing import Any

import orjson
from pydantic import Field, ValidationError

from berylspool.exception import SettingsError
from berylspool.platform.callers.holdings import HoldingLimits
from berylspool.platform.model import PlatformModel
from berylspool.process.settings import (
    ControlSettings,
    DutySettings,
    EntrySettings,
    MemoryLimits,
    RoutingSettings,
    Settings,
)
from berylspool.version.schema import ConfigurationModel

__all__ = [
    "PlatformSettings",
    "read_settings",
    "settings_path",
    "to_holding_limits",
    "to_memory_limits",
    "to_settings",
]

SETTINGS_PATH_VARIABLE = "BERYLSPOOL_SETTINGS"
# Time between not being ready and closing the listener.  Load balancers check
# readiness once a second and remove a node after two failed checks; 0.5 s is
# left for connections that are being set up.
NOT_READY_NOTICE_S = 2.5
# Part of the platform's grace period that is kept for closing connections
# after the last answer.
EXIT_MARGIN_S = 0.7
# Share of the permitted retry slack that is used.  Entries learn of each other
# with a delay, so their shares of it may briefly add up to more than one.
USED_SLACK_SHARE = 0.8
# Share of the permitted ratios that is used.  Extra copies are counted in time
# windows, whose edges may separate a request from its copies.
USED_RATIO_SHARE = 0.9
MS_PER_S = 1000.0
# Less than this does not hold the program.
MIN_MEMORY_MB = 64
# Share of a process's memory for what clients make it hold. A process starts
# with 48 MB, and keeps 0.15 for responses of upstreams.
CLIENT_MEMORY_SHARE = 0.25
DEFAULT_MAX_FDS = 4_100
# Descriptors for files, listeners, links and a start of connections to
# upstreams; of the others, clients get this share.
RESERVED_FDS = 200
CLIENT_FD_SHARE = 0.5
MIN_CLIENT_CONNECTIONS = 16


class Tolerance(PlatformModel):
    """Simultaneous losses that the system must tolerate.

    Attributes:
        machines: Number of lost machines.
    """

    machines: int = 0


class Bounds(PlatformModel):
    """Limits that the platform sets.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        retry_budget_ratio: Maximum ratio of extra copies, those beyond the
            first, to requests.
        retry_budget_slack: Extra copies that are allowed whatever the ratio.
        budget_window_s: Length of the window in which copies are counted, in
            seconds.
        warmup_overshoot: Maximum request rate to a cold upstream, as a
            multiple of the rate that it can serve.
        warmup_slack: Requests in any second allowed beyond that.
        report_window_s: Length of a window of usage, in seconds.
        usage_late_s: Time after the end of a window at which its report is
            due, in seconds.
        lease_ms: Time in which the holder of a duty must not change back and
            forth, in milliseconds.
    """

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50.0
    budget_window_s: float = 10.0
    warmup_overshoot: float = 1.0
    warmup_slack: float = 0.0
    report_window_s: float = 5.0
    usage_late_s: float = 10.0
    lease_ms: float = 3000.0


class Limits(PlatformModel):
    """Limits of the VM and of each process on it.

    Attributes:
        memory_mb: Memory of a process, in MB; 0 if no limit is stated.
        cpu_share: Share of a core that the VM has; 0 if none is stated.
        cpu_cores: Speed of that core, as a multiple of the usual one.
        max_fds: Open descriptors of a process; 0 if no limit is stated.
    """

    memory_mb: float = 0.0
    cpu_share: float = Field(0.0, ge=0)
    cpu_cores: float = Field(1.0, gt=0)
    max_fds: float = 0.0


class Cloud(PlatformModel):
    """The platform's list of upstreams, and the calls of duties.

    Attributes:
        address: Address of its server, as `host:port`.
        duties: Calls that one node at a time may make, by name.
        duty_per_s: Such calls a second that it accepts from all nodes.
    """

    address: str
    duties: tuple[str, ...] = ()
    duty_per_s: float = 50.0


class PlatformSettings(PlatformModel):
    """Settings file that the platform writes for one process.

    Attributes:
        node_name: Unique name of the VM.
        ip: IP address of the VM.
        zone: Availability zone of the VM.
        zones: Region of each zone.
        listen: Listen address by purpose; the keys are those of `serves` in
            deploy/system.toml.
        internal_ports: First and last port for links between processes of
            the system.
        seeds: Operators' addresses of a few control nodes.
        bootstrap: Whether this is the very first start of the system.
        data_dir: Folder on the VM's disk, or None if it has none.
        fault_tolerance: Losses to tolerate.
        bounds: Limits that the platform sets.
        limits: Limits of the VM and of each process on it.
        cloud: The list of upstreams.
    """

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str] = {}
    listen: dict[str, str] = {}
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str | None = None
    fault_tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    cloud: Cloud = Field(default=Cloud(address=""))

    @property
    def control_port(self) -> int:
        """Port for links to control nodes, the same on all VMs."""
        return self.internal_ports[0]

    @property
    def voter_count(self) -> int:
        """Number of voters whose majority survives the tolerated losses."""
        return 2 * self.fault_tolerance.machines + 1


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file.

    Raises:
        SettingsError: The file cannot be read, is not JSON, or a field is
            missing or has the wrong type.
    """
    try:
        data: Any = orjson.loads(path.read_bytes())
        return PlatformSettings.model_validate(data)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValidationError as error:
        details = error.errors(include_input=False, include_url=False)
        raise SettingsError(f"{path}: {details}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error


def to_memory_limits(platform_settings: PlatformSettings) -> MemoryLimits:
    """Translate the memory that the platform allows the process."""
    memory_mb = platform_settings.limits.memory_mb
    if memory_mb <= 0:
        return MemoryLimits()
    return MemoryLimits(megabytes=max(int(memory_mb), MIN_MEMORY_MB))


def to_holding_limits(platform_settings: PlatformSettings) -> HoldingLimits:
    """Translate the limits of the VM into those on all clients together."""
    memory = to_memory_limits(platform_settings)
    max_fds = platform_settings.limits.max_fds or DEFAULT_MAX_FDS
    connections = int((max_fds - RESERVED_FDS) * CLIENT_FD_SHARE)
    return HoldingLimits(
        int(memory.bytes * CLIENT_MEMORY_SHARE),
        max(connections, MIN_CLIENT_CONNECTIONS),
    )


def to_settings(platform_settings: PlatformSettings) -> Settings:
    """Translate the platform's settings into those of the project.

    Control nodes are named by their IP addresses, so that each of them can
    be reached without being listed.
    """
    seed_by_host = {
        seed.rpartition(":")[0]: seed for seed in platform_settings.seeds
    }
    controls = {
        host: _to_control_settings(
            platform_settings, host, host in seed_by_host
        )
        for host in sorted(
            {*seed_by_host, platform_settings.ip}
            if platform_settings.data_dir
            else seed_by_host
        )
    }
    entries = {}
    if "front" in platform_settings.listen:
        entries[platform_settings.node_name] = EntrySettings(
            address=platform_settings.listen["front"],
            peer_address=f"{platform_settings.ip}:{platform_settings.control_port}",
            zone=platform_settings.zone,
            notice_s=NOT_READY_NOTICE_S,
            drain_s=max(
                1.0,
                platform_settings.bounds.grace_s
                - NOT_READY_NOTICE_S
                - EXIT_MARGIN_S,
            ),
        )
    return Settings(
        entries=entries,
        controls=controls,
        initial=ConfigurationModel(zones=sorted(platform_settings.zones)),
        routing=RoutingSettings(
            sharing="alone",
            choice="least_loaded",
            extra_ratio=platform_settings.bounds.retry_budget_ratio
            * USED_RATIO_SHARE,
            extra_slack=platform_settings.bounds.retry_budget_slack
            * USED_SLACK_SHARE,
            extra_window_s=platform_settings.bounds.budget_window_s,
            cold_factor=platform_settings.bounds.warmup_overshoot
            * USED_RATIO_SHARE,
            cold_slack=platform_settings.bounds.warmup_slack,
            processor_share=platform_settings.limits.cpu_share
            * platform_settings.limits.cpu_cores,
        ),
        duties=DutySettings(
            names=platform_settings.cloud.duties,
            holder=platform_settings.node_name,
            calls_per_s=max(platform_settings.cloud.duty_per_s, 1.0),
            window_s=platform_settings.bounds.report_window_s,
            late_s=platform_settings.bounds.usage_late_s,
            lease_s=platform_settings.bounds.lease_ms / MS_PER_S,
        ),
    )


def _to_control_settings(
    platform_settings: PlatformSettings, host: str, is_founder: bool
) -> ControlSettings:
    return ControlSettings(
        address=f"{host}:{platform_settings.control_port}",
        admin_address=platform_settings.listen.get("control", f"{host}:0"),
        zone=platform_settings.zone,
        data_folder=platform_settings.data_dir or "",
        is_voter=is_founder,
    )
