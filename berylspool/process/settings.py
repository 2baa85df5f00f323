"""Settings of a deployment: one YAML file, validated before anything runs."""

from pathlib import Path
from typing import Any, Literal

from pydantic import Field, SecretStr, ValidationError

from berylspool.exception import ConfigurationError, SettingsError
from berylspool.version.duty.record import USAGE_REPORT
from berylspool.version.duty.schedule import DutyTiming
from berylspool.version.schema import (
    ADDRESS_PATTERN,
    ConfigurationModel,
    StrictModel,
    to_configuration,
)

__all__ = [
    "ControlSettings",
    "DutySettings",
    "EntrySettings",
    "LogSettings",
    "MemoryLimits",
    "RoutingSettings",
    "Settings",
    "StandinSettings",
    "load_settings",
    "split_address",
]


class LogSettings(StrictModel):
    """Where log lines go.

    Attributes:
        path: File to append to; `-` means standard error.
        decisions: Whether each choice of an upstream is logged.
    """

    path: str = "-"
    decisions: bool = True


class MemoryLimits(StrictModel):
    """Memory that a process may use.

    Attributes:
        megabytes: Limit on its resident memory, in MB.
    """

    megabytes: int = Field(256, ge=64)

    @property
    def bytes(self) -> int:
        """The limit in bytes."""
        return self.megabytes * 1_000_000


class RoutingSettings(StrictModel):
    """How entries route parts; see docs/design/sharing.md.

    Attributes:
        sharing: Whether one entry owns the upstreams of a service (`owned`)
            or each entry routes to them by itself (`alone`).
        choice: Policy by which an upstream is chosen.
        crossing_ms: Cost of choosing an upstream in another zone under
            `zone_aware`, in milliseconds.
        crossing_requests: The same cost under `least_loaded`, in requests.
        hedges: Limit on the hedges of one part.
        hedges_in_turn: Whether a hedge is queued with first copies by the age
            of its request, rather than behind all of them.
        hedge_percentile: Percentile of latency that the hedge delay follows.
        extra_ratio: Extra copies allowed for each first copy.
        extra_slack: Extra copies that all entries together may send in each
            window, regardless of the first copies that they have sent.
        extra_window_s: Length of that window, in seconds.
        cold_factor: Rate at which all entries together may send requests to
            a cold upstream, as a multiple of the rate that its service
            states.
        cold_slack: Requests in any second that are allowed beyond that rate.
        hedge_share: Delay of the hedge on a forwarded route, as a share of
            the route's target latency.
        queue_limit: Limit on the parts that wait in one pool.
        silent_s: Age of the oldest pending request at which a connection
            counts as silent, in seconds.
        wait_share: Limit on the expected wait of a part, as a share of its
            time-out.
        processor_share: Share of a core that an entry has; 0 if unknown, so
            that wide requests are never divided.
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
    processor_share: float = Field(0.0, ge=0)


class EntrySettings(StrictModel):
    """One entry.

    Attributes:
        address: Address that callers connect to.
        peer_address: Address that other entries connect to.
        zone: Availability zone of the VM.
        drain_s: Time limit of a graceful shutdown, in seconds.
        notice_s: Time between reporting not ready and closing the listener,
            in seconds.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    peer_address: str = Field(pattern=ADDRESS_PATTERN)
    zone: str
    drain_s: float = Field(10.0, gt=0)
    notice_s: float = Field(0.5, ge=0)


class ControlSettings(StrictModel):
    """One control node.

    Attributes:
        address: Address that entries and other control nodes connect to.
        admin_address: Address of the administration API.
        zone: Availability zone of the VM.
        data_folder: Folder on the VM's disk that holds the replica.
        is_voter: Whether it is a voter from its first start on; a replacement
            starts as a learner.
        full_disk_marker: For tests: path of a file; while it exists, the data
            folder refuses writes as a full disk does. Empty for none.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    admin_address: str = Field(pattern=ADDRESS_PATTERN)
    zone: str
    data_folder: str
    is_voter: bool = True
    full_disk_marker: str = ""


class StandinSettings(StrictModel):
    """One process of stand-in upstreams; see docs/UPSTREAM.md.

    Attributes:
        seed: Seed of all random choices.
        service_ms: Median service time, in milliseconds.
        spread: Standard deviation of the logarithm of the service time.
        straggler_share: Share of requests that take `straggler_ms` instead.
        straggler_ms: Service time of these requests, in milliseconds.
        connect_ms: Delay of the first request of each connection, in
            milliseconds.
        falls_over: Whether a cold upstream crashes when it is sent more
            requests at once than it can run.
        rows: Number of rows in each answer.
        record: File to append a record of each event to; empty for none.
    """

    seed: int = 1
    service_ms: float = Field(5.0, gt=0)
    spread: float = Field(0.35, ge=0)
    straggler_share: float = Field(0.02, ge=0, le=1)
    straggler_ms: float = 60.0
    connect_ms: float = 0.0
    falls_over: bool = True
    rows: int = Field(1, ge=0)
    record: str = ""


class DutySettings(StrictModel):
    """Duties: calls to the platform that one node at a time may make.

    Attributes:
        names: Duties that exist; without any, no such call is made.
        holder: Name of this node in its calls.
        calls_per_s: Calls a second that the platform accepts from all nodes.
        window_s: Length of a window of usage, in seconds.
        late_s: Time after the end of a window at which its report is due, in
            seconds.
        lease_s: Time from becoming the leader to the first call, in seconds.
    """

    names: tuple[str, ...] = ()
    holder: str = ""
    calls_per_s: float = Field(50.0, gt=0)
    window_s: float = Field(5.0, gt=0)
    late_s: float = Field(10.0, gt=0)
    lease_s: float = Field(3.0, ge=0)

    @property
    def reports_usage(self) -> bool:
        """Whether usage is counted and reported."""
        return USAGE_REPORT in self.names

    @property
    def timing(self) -> DutyTiming:
        """The times for decisions."""
        return DutyTiming(
            self.window_s, self.late_s, self.lease_s, self.calls_per_s
        )


class Settings(StrictModel):
    """Settings of a deployment.

    Attributes:
        entries: Entries by name.
        controls: Control nodes by name; without any, the entries take
            `initial` as their configuration.
        standin: Behaviour of stand-in upstreams.
        routing: How entries route parts.
        log: Where log lines go.
        initial: Configuration of a deployment whose replicated log is empty.
        tokens: Administration token of each role.
        lease_s: Length of an entry's lease on the configuration, in seconds.
        event_loop: Event loop of all processes.
        duties: Calls that one node at a time may make.
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
    duties: DutySettings = DutySettings()


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into the host and the port number.

    Examples:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: YAML file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file cannot be read, is not YAML, or holds an
            unknown key or an invalid value; the message names the file, and
            for a key also the line and the key.
    """
    # Imported here, so that only processes that read YAML load the parser.
    import yaml

    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        raw_settings = yaml.load(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        settings = Settings.model_validate(raw_settings or {})
        to_configuration(settings.initial)
    except ValidationError as error:
        raise SettingsError(_format_errors(path, node, error)) from error
    except ConfigurationError as error:
        raise SettingsError(f"{path}: initial: {error}") from error
    return settings


def _format_errors(path: str | Path, node: Any, error: ValidationError) -> str:
    lines = []
    for item in error.errors(include_input=False, include_url=False):
        key = ".".join(str(part) for part in item["loc"])
        line = _find_line(node, item["loc"])
        lines.append(f"{path}:{line}: {key}: {item['msg']}")
    return "\n".join(lines)


def _find_line(node: Any, location: tuple[Any, ...]) -> int:
    """Return the line number of a key, or of its nearest parent."""
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
