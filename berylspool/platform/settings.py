"""The platform's settings file, translated into the project's settings."""

import os
from pathlib import Path
from typing import Any

import orjson
from pydantic import Field, ValidationError

from berylspool.exception import SettingsError
from berylspool.platform.model import PlatformModel
from berylspool.process.settings import (
    ControlSettings,
    EntrySettings,
    RoutingSettings,
    Settings,
)
from berylspool.version.schema import ConfigurationModel

__all__ = [
    "PlatformSettings",
    "own_settings",
    "read_settings",
    "settings_path",
]

PATH_VARIABLE = "BERYLSPOOL_SETTINGS"
# Balancers ask once a second and drop a node after two misses; half a second
# is left for connections that were being made.
NOTICE_S = 2.5
# Left of the platform's grace for closing after the last answer.
EXIT_MARGIN_S = 0.7
# Entries learn of each other with a delay, so their shares of the slack may
# add up to more than one for a moment.
SLACK_SHARE = 0.8
# Extra copies are counted by windows that cut through a request.
RATIO_SHARE = 0.9
MS_PER_S = 1000.0


class Tolerance(PlatformModel):
    """Losses at one time that the system must bear."""

    machines: int = 0


class Bounds(PlatformModel):
    """Values of the platform's rules.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL.
        retry_budget_ratio: Copies beyond the first, per request.
        retry_budget_slack: Copies beyond the first that are always allowed.
        budget_window_s: Span over which copies are counted.
        warmup_overshoot: Times a cold back end's rate that it may get.
        warmup_slack: Requests in any second beyond that.
    """

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50.0
    budget_window_s: float = 10.0
    warmup_overshoot: float = 1.0
    warmup_slack: float = 0.0


class Cloud(PlatformModel):
    """Where the platform lists upstreams."""

    address: str


class PlatformSettings(PlatformModel):
    """What the platform tells a process.

    Attributes:
        node_name: Unique name of the VM.
        ip: Its address.
        zone: Its availability zone.
        zones: Region of each zone.
        listen: Address by use; the keys are those of `serves`.
        internal_ports: First and last port for the system's own links.
        seeds: Operators' addresses of a few control nodes.
        bootstrap: Whether this is the very first start.
        data_dir: Folder on the VM's disk, if it has one.
        fault_tolerance: Losses to bear.
        bounds: Values of the rules.
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
    cloud: Cloud = Field(default=Cloud(address=""))

    @property
    def control_port(self) -> int:
        """Port of the links to control nodes, the same on all VMs."""
        return self.internal_ports[0]

    @property
    def voters(self) -> int:
        """Control nodes whose majority outlives the tolerated losses."""
        return 2 * self.fault_tolerance.machines + 1


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment does not name it.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: It cannot be read, is not JSON, or a field is missing
            or of another type.
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


def own_settings(given: PlatformSettings) -> Settings:
    """Translate into the settings of the project.

    Control nodes are named by their addresses, so that any of them can be
    reached without being listed.
    """
    seeds = {seed.rpartition(":")[0]: seed for seed in given.seeds}
    controls = {
        host: _control(given, host, host in seeds)
        for host in sorted({*seeds, given.ip} if given.data_dir else seeds)
    }
    entries = {}
    if "front" in given.listen:
        entries[given.node_name] = EntrySettings(
            address=given.listen["front"],
            peer_address=f"{given.ip}:{given.control_port}",
            zone=given.zone,
            notice_s=NOTICE_S,
            drain_s=max(1.0, given.bounds.grace_s - NOTICE_S - EXIT_MARGIN_S),
        )
    return Settings(
        entries=entries,
        controls=controls,
        initial=ConfigurationModel(zones=sorted(given.zones)),
        routing=RoutingSettings(
            sharing="alone",
            choice="least_loaded",
            extra_ratio=given.bounds.retry_budget_ratio * RATIO_SHARE,
            extra_slack=given.bounds.retry_budget_slack * SLACK_SHARE,
            extra_window_s=given.bounds.budget_window_s,
            cold_factor=given.bounds.warmup_overshoot * RATIO_SHARE,
            cold_slack=given.bounds.warmup_slack,
        ),
    )


def _control(
    given: PlatformSettings, host: str, is_founder: bool
) -> ControlSettings:
    return ControlSettings(
        address=f"{host}:{given.control_port}",
        admin_address=given.listen.get("control", f"{host}:0"),
        zone=given.zone,
        data_folder=given.data_dir or "",
        is_voter=is_founder,
    )
