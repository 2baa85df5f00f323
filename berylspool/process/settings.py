"""Settings: one YAML file for a deployment, checked before anything runs."""

from pathlib import Path
from typing import Any, Literal

from pydantic import Field, SecretStr, ValidationError

from berylspool.exception import ConfigurationError, SettingsError
from berylspool.version.schema import (
    ADDRESS_PATTERN,
    ConfigurationModel,
    StrictModel,
    to_configuration,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "LogSettings",
    "RoutingSettings",
    "Settings",
    "StandinSettings",
    "load_settings",
    "split_address",
]


class LogSettings(StrictModel):
    """Where log lines go.

    Attributes:
        path: File to append to; `-` is standard error.
        decisions: Whether each choice of an upstream gets a line.
    """

    path: str = "-"
    decisions: bool = True


class RoutingSettings(StrictModel):
    """How entries route parts; see docs/design/sharing.md.

    Attributes:
        crossing_requests: Price of another zone for `least_loaded`, in
            requests.
        extra_slack: Copies beyond the first that all entries together may
            send in each window, whatever they have sent before.
        extra_window_s: Length of that window, in seconds.
        cold_factor: Times the rate that a service states for a cold upstream
            that all entries together may send it.
        cold_slack: Requests in any second beyond that.
        hedge_share: Share of a forwarded route's target latency after which
            a second copy is sent.
    """

    sharing: Literal["owned", "alone"] = "owned"
    choice: Literal[
        "zone_aware", "fewest_in_flight", "random", "least_loaded"
    ] = "zone_aware"
    crossing_ms: float = Field(1.0, ge=0)
    crossing_requests: float = Field(0.9, ge=0)
    hedges: int = Field(2, ge=0, le=4)
    hedges_in_turn: bool = True
    hedge_percentile: float = Field(96.0, gt=50, lt=100)
    extra_ratio: float = Field(0.05, ge=0, le=1)
    extra_slack: float = Field(10.0, ge=0)
    extra_window_s: float = Field(10.0, gt=0)
    cold_factor: float = Field(1.0, ge=0)
    cold_slack: float = Field(0.0, ge=0)
    hedge_share: float = Field(0.36, gt=0, le=1)
    queue_limit: int = Field(256, ge=1)
    silent_s: float = Field(1.0, gt=0)
    wait_share: float = Field(0.7, gt=0, le=1)


class EntrySettings(StrictModel):
    """One entry.

    Attributes:
        address: Where callers connect.
        peer_address: Where other entries connect.
        zone: Availability zone of the VM.
        drain_s: Longest time for a graceful shutdown, in seconds.
        notice_s: Time between saying not ready and closing the listener.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    peer_address: str = Field(pattern=ADDRESS_PATTERN)
    zone: str
    drain_s: float = Field(10.0, gt=0)
    notice_s: float = Field(0.5, ge=0)


class ControlSettings(StrictModel):
    """One control node.

    Attributes:
        address: Where entries, operators and other control nodes connect.
        admin_address: Where the administration API listens.
        zone: Availability zone of the VM.
        data_folder: Folder on the VM's disk.
        is_voter: Whether it votes from the first start on; a replacement
            starts as a learner.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    admin_address: str = Field(pattern=ADDRESS_PATTERN)
    zone: str
    data_folder: str
    is_voter: bool = True


class StandinSettings(StrictModel):
    """One process of stand-in upstreams; see docs/UPSTREAM.md."""

    seed: int = 1
    service_ms: float = Field(5.0, gt=0)
    spread: float = Field(0.35, ge=0)
    straggler_share: float = Field(0.02, ge=0, le=1)
    straggler_ms: float = 60.0
    connect_ms: float = 0.0
    falls_over: bool = True
    rows: int = Field(1, ge=0)
    record: str = ""


class Settings(StrictModel):
    """A deployment.

    Attributes:
        entries: Entries by name.
        controls: Control nodes by name; without any, the entries take
            `initial` as their configuration.
        standin: Behaviour of stand-in upstreams.
        initial: Configuration of a deployment whose log is empty.
        tokens: Role by administration token.
        lease_s: Lease of an entry on the configuration, in seconds.
        event_loop: Event loop of all processes.
    """

    entries: dict[str, EntrySettings] = {}
    controls: dict[str, ControlSettings] = {}
    standin: StandinSettings = StandinSettings()
    routing: RoutingSettings = RoutingSettings()
    log: LogSettings = LogSettings()
    initial: ConfigurationModel = ConfigurationModel()
    tokens: dict[Literal["read", "change"], SecretStr] = {}
    lease_s: float = Field(2.0, gt=0.2, le=60)
    event_loop: Literal["uvloop", "asyncio"] = "uvloop"


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    Examples:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: YAML file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The file cannot be read, is not YAML, or holds an
            unknown key or a bad value; the message names file, line and
            key.
    """
    # Only those who read YAML pay for the parser's start.
    import yaml

    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        data = yaml.load(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        settings = Settings.model_validate(data or {})
        to_configuration(settings.initial)
    except ValidationError as error:
        raise SettingsError(_describe(path, node, error)) from error
    except ConfigurationError as error:
        raise SettingsError(f"{path}: initial: {error}") from error
    return settings


def _describe(path: str | Path, node: Any, error: ValidationError) -> str:
    lines = []
    for item in error.errors(include_input=False, include_url=False):
        key = ".".join(str(part) for part in item["loc"])
        line = _line(node, item["loc"])
        lines.append(f"{path}:{line}: {key}: {item['msg']}")
    return "\n".join(lines)


def _line(node: Any, location: tuple[Any, ...]) -> int:
    """Return the line of a key, or of its nearest parent."""
    import yaml

    line = 1
    for part in location:
        if isinstance(node, yaml.MappingNode):
            pairs = {key.value: (key, value) for key, value in node.value}
            if str(part) not in pairs:
                return line
            key, node = pairs[str(part)]
            line = key.start_mark.line + 1
        elif isinstance(node, yaml.SequenceNode):
            if not isinstance(part, int) or part >= len(node.value):
                return line
            node = node.value[part]
            line = node.start_mark.line + 1
    return line
