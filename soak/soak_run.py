"""The processes and proxies of a soak run, with their settings."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from bench.deployment import Deployment
from berylspool.process.settings import split_address
from berylspool.tests.cluster import free_ports
from soak.history import RunHistory
from soak.proxy import Proxy

__all__ = ["SoakRun", "admin_addresses", "prepare_run"]

EXAMPLE_PATH = Path(__file__).parent.parent / "examples" / "demo.yaml"


@dataclass
class SoakRun:
    """State of one soak run.

    Attributes:
        deployment: Started processes, with the settings of control and
            stand-ins.
        proxy_by_link: Proxy of each link, by the link's name.  The name of a
            link to an upstream is the upstream's id; that of a link from an
            entry to a control node is `ENTRY>CONTROL`.
        zone_by_upstream: Zone of each upstream.
        slots_by_upstream: Maximum number of concurrent parts of each upstream
            when warm.
        history: History of the run.
        faulted_names: Processes and zones with a fault in progress; further
            faults of these are skipped.
    """

    deployment: Deployment
    proxy_by_link: dict[str, Proxy] = field(default_factory=dict)
    zone_by_upstream: dict[str, str] = field(default_factory=dict)
    slots_by_upstream: dict[str, int] = field(default_factory=dict)
    history: RunHistory = field(default_factory=RunHistory)
    faulted_names: set[str] = field(default_factory=set)

    @property
    def settings(self) -> dict[str, Any]:
        """Settings with the addresses of the processes, not of the proxies."""
        return self.deployment.settings

    def entry_settings_path(self, entry: str) -> Path:
        """Return the settings file of an entry, with addresses of proxies."""
        return self.deployment.folder / f"{entry}.yaml"

    def full_disk_marker(self, control: str) -> Path:
        """Return the file that makes the disk of a control node full."""
        return self.deployment.folder / f"{control}.full"

    def start(self, name: str) -> None:
        """Start an entry or a control node."""
        if name in self.settings["entries"]:
            self.history.entry_start_count += 1
            path = self.entry_settings_path(name)
            self.deployment.start("entry", name, "--name", name, settings=path)
        else:
            self.deployment.start_control(name)


def assign_free_ports(
    settings: dict[str, Any], extra_port_count: int
) -> tuple[dict[str, Any], list[int]]:
    """Replace the addresses in settings by free loopback ports.

    All ports are reserved in one call, because the kernel may return a port
    that is not open yet a second time.

    Args:
        settings: Settings with any loopback addresses.
        extra_port_count: Number of further ports to reserve.

    Returns:
        The settings, and the further ports.
    """
    text = json.dumps(settings)
    addresses = sorted(
        set(_loopback_addresses(settings)), key=len, reverse=True
    )
    ports = free_ports(len(addresses) + extra_port_count)
    for address, port in zip(addresses, ports, strict=False):
        text = text.replace(f'"{address}"', f'"127.0.0.1:{port}"')
    return json.loads(text), ports[len(addresses) :]


def _loopback_addresses(node: Any) -> list[str]:
    if isinstance(node, dict):
        return [
            address
            for value in node.values()
            for address in _loopback_addresses(value)
        ]
    is_address = isinstance(node, str) and node.startswith("127.0.0.1:")
    return [node] if is_address else []


def _upstream_settings(
    settings: dict[str, Any],
) -> list[tuple[str, dict[str, Any]]]:
    return [
        (name, upstream)
        for service in settings["initial"]["services"].values()
        for name, upstream in service["upstreams"].items()
    ]


async def prepare_run(folder: Path) -> SoakRun:
    """Write settings files with free ports, and start the proxies.

    Each upstream has one proxy, which all entries share.  Each entry has a
    proxy of its own to each control node.

    Args:
        folder: Folder for the settings, data and logs of the run.

    Returns:
        The run, with its proxies started and its processes not.
    """
    settings = yaml.safe_load(EXAMPLE_PATH.read_text())
    link_count = len(settings["entries"]) * len(settings["controls"])
    count = len(_upstream_settings(settings)) + link_count
    settings, ports = assign_free_ports(settings, count)
    settings["log"] = {"path": "-", "decisions": False}
    soak_run = SoakRun(Deployment(folder, settings))
    for name, node in settings["controls"].items():
        node["full_disk_marker"] = str(soak_run.full_disk_marker(name))
    soak_run.deployment.settings_path.write_text(yaml.safe_dump(settings))
    proxied_settings = json.loads(json.dumps(settings))
    for name, upstream in _upstream_settings(proxied_settings):
        soak_run.zone_by_upstream[name] = upstream["zone"]
        address = upstream["address"]
        upstream["address"] = await _start_proxy(
            soak_run, name, address, ports.pop()
        )
    for service in settings["initial"]["services"].values():
        for name in service["upstreams"]:
            soak_run.slots_by_upstream[name] = service["limits"]["slots"]
    # Control distributes the upstreams to entries, so its settings hold the
    # addresses of the proxies.
    control_settings = json.loads(json.dumps(settings))
    control_settings["initial"] = proxied_settings["initial"]
    soak_run.deployment.settings_path.write_text(
        yaml.safe_dump(control_settings)
    )
    (folder / "standin.yaml").write_text(yaml.safe_dump(settings))
    for entry in settings["entries"]:
        entry_settings = json.loads(json.dumps(control_settings))
        for name, node in entry_settings["controls"].items():
            link = f"{entry}>{name}"
            address = node["address"]
            node["address"] = await _start_proxy(
                soak_run, link, address, ports.pop()
            )
        soak_run.entry_settings_path(entry).write_text(
            yaml.safe_dump(entry_settings)
        )
    return soak_run


async def _start_proxy(
    soak_run: SoakRun, link: str, address: str, port: int
) -> str:
    proxy = Proxy(split_address(address))
    await proxy.start(port)
    soak_run.proxy_by_link[link] = proxy
    return f"127.0.0.1:{port}"


def admin_addresses(soak_run: SoakRun) -> list[tuple[str, int]]:
    """Return the addresses at which control nodes accept operators."""
    controls = soak_run.settings["controls"].values()
    return [
        split_address(control_settings["admin_address"])
        for control_settings in controls
    ]
