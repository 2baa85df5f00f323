"""Runs soak tests: `python -m soak.run --seeds 1,2,3 --length 30`.

A seed determines the schedule of faults.  Loads are bounded, use the loopback
interface only, and end without intervention.  Only processes that the run has
started are signalled, by process id.
"""

import argparse
import asyncio
import contextlib
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from bench.deployment import Deployment
from berylspool.process.settings import split_address
from berylspool.tests.cluster import free_ports
from soak.callers import (
    evacuate_zone,
    read_revision,
    send_commands,
    send_queries,
)
from soak.checker import Interruption, RunHistory, Violation, find_violations
from soak.proxy import Impairment, Proxy
from soak.schedule import (
    CrashUpstream,
    EvacuateZone,
    Fault,
    FaultTargets,
    FreezeProcess,
    ImpairLink,
    KillProcess,
    LeaveUpstream,
    PauseUpstream,
    RestartProcess,
    ScheduledFault,
    make_schedule,
)

EXAMPLE_PATH = Path(__file__).parent.parent / "examples" / "demo.yaml"
# Seeds that have failed, with the cause; `--regression` runs them again.
FAILURE_REASON_BY_SEED = {
    7: "the checker took a recorded answer of an earlier send for a stray one",
    106: "two processes of the run had the same port",
}
QUERY_ROUTE = "pitch-lookup"
COMMAND_ROUTE = "fee-notices"
QUERY_CALLERS = 6
COMMAND_CALLERS = 2
# Time after the schedule in which the last faults end, connections recover and
# the last answers arrive.
SETTLE_S = 6.0
STOP_TIMEOUT_S = 15.0
SEED_BOUND = 1 << 31
FAILED_RUNS_FOLDER = "var/soak"


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


async def inject_fault(
    soak_run: SoakRun, fault: Fault, rng: random.Random
) -> None:
    """Inject one fault and wait until it ends."""
    match fault:
        case (
            KillProcess(name=name)
            | RestartProcess(name=name)
            | FreezeProcess(name=name)
        ):
            if name in soak_run.faulted_names:
                return
            soak_run.faulted_names.add(name)
            is_planned = isinstance(fault, RestartProcess)
            interruption = Interruption(name, time.monotonic(), is_planned)
            soak_run.history.interruptions.append(interruption)
            try:
                await _inject_process_fault(soak_run, fault)
            finally:
                soak_run.faulted_names.discard(name)
        case CrashUpstream(name=name):
            await _set_upstream_fault(soak_run, name, {"crash": True})
        case PauseUpstream(name=name, duration_s=duration_s):
            changes = {"pause_s": duration_s}
            await _set_upstream_fault(soak_run, name, changes)
        case LeaveUpstream(name=name, duration_s=duration_s):
            await _set_upstream_fault(soak_run, name, {"is_leaving": True})
            await asyncio.sleep(duration_s)
            await _set_upstream_fault(soak_run, name, {"crash": True})
        case ImpairLink(
            name=name, impairment=impairment, duration_s=duration_s
        ):
            proxy = soak_run.proxy_by_link[name]
            proxy.set_impairment(impairment)
            await asyncio.sleep(duration_s)
            proxy.set_impairment(Impairment.NONE)
        case EvacuateZone(zone=zone, duration_s=duration_s):
            if zone in soak_run.faulted_names:
                return
            soak_run.faulted_names.add(zone)
            try:
                admin_addresses = _admin_addresses(soak_run)
                await evacuate_zone(
                    soak_run.history, admin_addresses, zone, duration_s, rng
                )
            finally:
                soak_run.faulted_names.discard(zone)


async def _inject_process_fault(
    soak_run: SoakRun, fault: KillProcess | RestartProcess | FreezeProcess
) -> None:
    deployment, name = soak_run.deployment, fault.name
    match fault:
        case KillProcess(duration_s=duration_s):
            deployment.kill(name)
            await asyncio.sleep(duration_s)
            soak_run.start(name)
        case FreezeProcess(duration_s=duration_s):
            deployment.signal(name, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            deployment.signal(name, signal.SIGCONT)
        case RestartProcess():
            deployment.signal(name, signal.SIGTERM)
            process = deployment.process_by_name.pop(name)
            end_at = time.monotonic() + STOP_TIMEOUT_S
            while process.poll() is None and time.monotonic() < end_at:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
                process.wait()
            soak_run.start(name)


async def _set_upstream_fault(
    soak_run: SoakRun, name: str, changes: dict[str, Any]
) -> None:
    """Set faults of a stand-in by a request to its port, not to its proxy."""
    host, port = soak_run.proxy_by_link[name].target
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, port)
        data = json.dumps(changes).encode()
        head = "POST /standin/fault HTTP/1.1\r\nHost: soak\r\n"
        length = f"Content-Length: {len(data)}\r\n\r\n"
        writer.write((head + length).encode() + data)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()


def _admin_addresses(soak_run: SoakRun) -> list[tuple[str, int]]:
    controls = soak_run.settings["controls"].values()
    return [
        split_address(control_settings["admin_address"])
        for control_settings in controls
    ]


async def run_schedule(
    soak_run: SoakRun, seed: int, length_s: float
) -> list[Violation]:
    """Run the schedule of a seed under load and check the history.

    Args:
        soak_run: The run, with its processes ready.
        seed: Seed of the schedule and of the load.
        length_s: Length of the schedule, seconds.

    Returns:
        The violations found.
    """
    rng = random.Random(seed)
    settings, history = soak_run.settings, soak_run.history
    history.zone_by_upstream = soak_run.zone_by_upstream
    targets = FaultTargets(
        tuple(settings["entries"]),
        tuple(settings["controls"]),
        tuple(soak_run.zone_by_upstream),
        tuple(soak_run.proxy_by_link),
        tuple(settings["initial"]["zones"]),
    )
    address_by_entry = {
        name: split_address(entry["address"])
        for name, entry in settings["entries"].items()
    }
    started_at = time.monotonic()
    end_at = started_at + length_s + SETTLE_S
    coroutines = [
        send_requests(
            history,
            address_by_entry,
            route,
            random.Random(f"{seed}{route}{n}"),
            end_at,
        )
        for send_requests, route, count in (
            (send_queries, QUERY_ROUTE, QUERY_CALLERS),
            (send_commands, COMMAND_ROUTE, COMMAND_CALLERS),
        )
        for n in range(count)
    ]
    caller_tasks = [
        asyncio.ensure_future(coroutine) for coroutine in coroutines
    ]
    fault_tasks = []
    for scheduled in make_schedule(seed, targets, length_s):
        await asyncio.sleep(
            max(0.0, started_at + scheduled.start_s - time.monotonic())
        )
        fault_tasks.append(
            asyncio.ensure_future(
                _inject_scheduled_fault(soak_run, scheduled, rng)
            )
        )
    await asyncio.gather(*fault_tasks)
    await asyncio.gather(*caller_tasks)
    await read_revision(history, _admin_addresses(soak_run), rng)
    history.records = list(_read_records(soak_run))
    return find_violations(history)


async def _inject_scheduled_fault(
    soak_run: SoakRun, scheduled: ScheduledFault, rng: random.Random
) -> None:
    await inject_fault(soak_run, scheduled.fault, rng)


def _read_records(soak_run: SoakRun):
    for path in soak_run.deployment.folder.glob("records-*.jsonl"):
        for line in path.read_text().splitlines():
            record = json.loads(line)
            slots = soak_run.slots_by_upstream[record["upstream"]]
            yield {**record, "is_cold": record["bears"] < slots}


async def run_seed(seed: int, length_s: float, folder: Path) -> SoakRun:
    """Run one seed in a folder and write its violations to a file there."""
    soak_run = await prepare_run(folder)
    deployment = soak_run.deployment
    try:
        for zone in soak_run.settings["initial"]["zones"]:
            record = f"records-{zone}.jsonl"
            options = ("--zone", zone, "--record", record)
            deployment.start(
                "standin",
                f"standin-{zone}",
                *options,
                settings=folder / "standin.yaml",
            )
        await asyncio.sleep(1.0)
        for name in (
            *soak_run.settings["controls"],
            *soak_run.settings["entries"],
        ):
            soak_run.start(name)
        await asyncio.to_thread(deployment.wait_ready)
        violations = await run_schedule(soak_run, seed, length_s)
    finally:
        deployment.stop()
        for proxy in soak_run.proxy_by_link.values():
            await proxy.stop()
    text = "".join(f"{v.invariant}: {v.detail}\n" for v in violations)
    (folder / "violations.txt").write_text(text)
    return soak_run


def print_result(seed: int, soak_run: SoakRun, folder: Path) -> bool:
    """Print the result of a seed; return whether there was no violation."""
    history = soak_run.history
    outcomes = Counter(query.outcome for query in history.queries)
    outcomes.update(
        f"command {command.exchange.outcome} "
        f"{command.exchange.body.get('error', '')}".rstrip()
        for command in history.commands
    )
    text = (folder / "violations.txt").read_text()
    count_by_invariant = Counter(
        line.partition(":")[0] for line in text.splitlines()
    )
    print(
        f"seed {seed}: {len(history.queries)} queries, {len(history.commands)} "
        f"commands, {len(history.interruptions)} stops, "
        f"{len(history.evacuations)} zones out; "
        f"{dict(outcomes)}; violations {dict(count_by_invariant) or 'none'}",
        flush=True,
    )
    return not count_by_invariant


def main() -> int:
    """Run the given, regression and fresh seeds; keep the failed runs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--length", type=float, default=25.0)
    args = parser.parse_args()
    seeds = [int(text) for text in args.seeds.split(",") if text]
    if args.regression:
        seeds += list(FAILURE_REASON_BY_SEED)
    system_rng = random.SystemRandom()
    seeds += [system_rng.randrange(SEED_BOUND) for _ in range(args.fresh)]
    failed_count = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = Path(name)
            soak_run = asyncio.run(run_seed(seed, args.length, folder))
            if not print_result(seed, soak_run, folder):
                failed_count += 1
                failed_run_folder = Path(FAILED_RUNS_FOLDER) / str(seed)
                shutil.copytree(folder, failed_run_folder, dirs_exist_ok=True)
    print(f"{len(seeds)} seeds, {failed_count} with a violation")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
