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
from soak.callers import command_loop, query_loop, read, take_out
from soak.checker import Observed, Stop, Violation, judge
from soak.proxy import Harm, Proxy
from soak.schedule import (
    Change,
    Crash,
    Event,
    Fault,
    Freeze,
    Kill,
    Link,
    Names,
    Restart,
    schedule,
)

EXAMPLE = Path(__file__).parent.parent / "examples" / "demo.yaml"
# Seeds that have failed, with the cause; `--regression` runs them again.
REASON_BY_SEED = {
    7: "the checker took a recorded answer of an earlier send for a stray one",
    106: "two processes of the run had the same port",
}
QUERY_ROUTE = "pitch-lookup"
COMMAND_ROUTE = "fee-notices"
QUERY_CALLERS = 6
COMMAND_CALLERS = 2
# Time after the schedule in which the last faults end, connections recover and
# the last answers arrive.
REST_S = 6.0
RESTART_LIMIT_S = 15.0
SEEDS = 1 << 31
KEPT_FOLDER = "var/soak"


@dataclass
class Soak:
    """State of one soak run.

    Attributes:
        running: Started processes, with the settings of control and
            stand-ins.
        proxy_by_link: Proxy of each link.  The link to an upstream has the
            upstream's id, that of an entry to a control node `ENTRY>CONTROL`.
        zone_by_upstream: Zone of each upstream.
        slots_by_upstream: Maximum number of concurrent parts of each upstream
            when warm.
        seen: History of the run.
        busy: Processes and zones with a fault in progress; further faults of
            these are skipped.
    """

    running: Deployment
    proxy_by_link: dict[str, Proxy] = field(default_factory=dict)
    zone_by_upstream: dict[str, str] = field(default_factory=dict)
    slots_by_upstream: dict[str, int] = field(default_factory=dict)
    seen: Observed = field(default_factory=Observed)
    busy: set[str] = field(default_factory=set)

    @property
    def settings(self) -> dict[str, Any]:
        """Settings with the addresses of the processes, not of the proxies."""
        return self.running.settings

    def path_of(self, entry: str) -> Path:
        """Return the settings file of an entry, with addresses of proxies."""
        return self.running.folder / f"{entry}.yaml"

    def start(self, name: str) -> None:
        """Start an entry or a control node."""
        if name in self.settings["entries"]:
            self.seen.starts += 1
            path = self.path_of(name)
            self.running.start("entry", name, "--name", name, settings=path)
        else:
            self.running.start_control(name)


def with_free_ports(
    settings: dict[str, Any], more: int
) -> tuple[dict[str, Any], list[int]]:
    """Replace the addresses in settings by free loopback ports.

    All ports are reserved in one call, because the kernel may return a port
    that is not open yet a second time.

    Args:
        settings: Settings with any loopback addresses.
        more: Number of further ports to reserve.

    Returns:
        The settings, and the further ports.
    """
    text = json.dumps(settings)
    known = sorted(set(_addresses(settings)), key=len, reverse=True)
    ports = free_ports(len(known) + more)
    for address, port in zip(known, ports, strict=False):
        text = text.replace(f'"{address}"', f'"127.0.0.1:{port}"')
    return json.loads(text), ports[len(known) :]


def _addresses(node: Any) -> list[str]:
    if isinstance(node, dict):
        return [a for value in node.values() for a in _addresses(value)]
    is_address = isinstance(node, str) and node.startswith("127.0.0.1:")
    return [node] if is_address else []


def _upstreams(settings: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    return [
        (name, upstream)
        for service in settings["initial"]["services"].values()
        for name, upstream in service["upstreams"].items()
    ]


async def prepare(folder: Path) -> Soak:
    """Write settings files with free ports, and start the proxies.

    Each upstream has one proxy, which all entries share.  Each entry has a
    proxy of its own to each control node.

    Args:
        folder: Folder for the settings, data and logs of the run.

    Returns:
        The run, with its proxies started and its processes not.
    """
    settings = yaml.safe_load(EXAMPLE.read_text())
    links = len(settings["entries"]) * len(settings["controls"])
    count = len(_upstreams(settings)) + links
    settings, ports = with_free_ports(settings, count)
    settings["log"] = {"path": "-", "decisions": False}
    soak = Soak(Deployment(folder, settings))
    soak.running.settings_path.write_text(yaml.safe_dump(settings))
    seen_by_entries = json.loads(json.dumps(settings))
    for name, upstream in _upstreams(seen_by_entries):
        soak.zone_by_upstream[name] = upstream["zone"]
        address = upstream["address"]
        upstream["address"] = await _proxy(soak, name, address, ports.pop())
    for service in settings["initial"]["services"].values():
        for name in service["upstreams"]:
            soak.slots_by_upstream[name] = service["limits"]["slots"]
    # Control distributes the upstreams to entries, so its settings hold the
    # addresses of the proxies.
    control = json.loads(json.dumps(settings))
    control["initial"] = seen_by_entries["initial"]
    soak.running.settings_path.write_text(yaml.safe_dump(control))
    (folder / "standin.yaml").write_text(yaml.safe_dump(settings))
    for entry in settings["entries"]:
        own = json.loads(json.dumps(control))
        for name, node in own["controls"].items():
            link = f"{entry}>{name}"
            address = node["address"]
            node["address"] = await _proxy(soak, link, address, ports.pop())
        soak.path_of(entry).write_text(yaml.safe_dump(own))
    return soak


async def _proxy(soak: Soak, link: str, address: str, port: int) -> str:
    proxy = Proxy(split_address(address))
    await proxy.start(port)
    soak.proxy_by_link[link] = proxy
    return f"127.0.0.1:{port}"


async def strike(soak: Soak, fault: Fault, rng: random.Random) -> None:
    """Inject one fault and wait until it ends."""
    match fault:
        case Kill(name=name) | Restart(name=name) | Freeze(name=name):
            if name in soak.busy:
                return
            soak.busy.add(name)
            is_planned = isinstance(fault, Restart)
            stop = Stop(name, time.monotonic(), is_planned)
            soak.seen.stops.append(stop)
            try:
                await _strike_process(soak, fault)
            finally:
                soak.busy.discard(name)
        case Crash(name=name):
            await _crash(soak, name)
        case Link(name=name, harm=harm, pause_s=pause_s):
            proxy = soak.proxy_by_link[name]
            proxy.set_harm(harm)
            await asyncio.sleep(pause_s)
            proxy.set_harm(Harm.NONE)
        case Change(zone=zone, pause_s=pause_s):
            if zone in soak.busy:
                return
            soak.busy.add(zone)
            try:
                admins = _admins(soak)
                await take_out(soak.seen, admins, zone, pause_s, rng)
            finally:
                soak.busy.discard(zone)


async def _strike_process(soak: Soak, fault: Kill | Restart | Freeze) -> None:
    running, name = soak.running, fault.name
    match fault:
        case Kill(pause_s=pause_s):
            running.kill(name)
            await asyncio.sleep(pause_s)
            soak.start(name)
        case Freeze(pause_s=pause_s):
            running.signal(name, signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            running.signal(name, signal.SIGCONT)
        case Restart():
            running.signal(name, signal.SIGTERM)
            process = running.process_by_name.pop(name)
            until = time.monotonic() + RESTART_LIMIT_S
            while process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
                process.wait()
            soak.start(name)


async def _crash(soak: Soak, name: str) -> None:
    """Crash a stand-in upstream by a request to its port, not to its proxy."""
    host, port = soak.proxy_by_link[name].target
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, port)
        data = b'{"crash": true}'
        head = "POST /standin/fault HTTP/1.1\r\nHost: soak\r\n"
        length = f"Content-Length: {len(data)}\r\n\r\n"
        writer.write((head + length).encode() + data)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()


def _admins(soak: Soak) -> list[tuple[str, int]]:
    controls = soak.settings["controls"].values()
    return [split_address(control["admin_address"]) for control in controls]


async def play(soak: Soak, seed: int, length_s: float) -> list[Violation]:
    """Run the schedule of a seed under load and check the history.

    Args:
        soak: The run, with its processes ready.
        seed: Seed of the schedule and of the load.
        length_s: Length of the schedule, seconds.

    Returns:
        The violations found.
    """
    rng = random.Random(seed)
    settings, seen = soak.settings, soak.seen
    seen.zone_by_upstream = soak.zone_by_upstream
    names = Names(
        tuple(settings["entries"]),
        tuple(settings["controls"]),
        tuple(soak.zone_by_upstream),
        tuple(soak.proxy_by_link),
        tuple(settings["initial"]["zones"]),
    )
    addresses = {
        name: split_address(entry["address"])
        for name, entry in settings["entries"].items()
    }
    started = time.monotonic()
    until = started + length_s + REST_S
    loops = [
        loop(seen, addresses, route, random.Random(f"{seed}{route}{n}"), until)
        for loop, route, count in (
            (query_loop, QUERY_ROUTE, QUERY_CALLERS),
            (command_loop, COMMAND_ROUTE, COMMAND_CALLERS),
        )
        for n in range(count)
    ]
    callers = [asyncio.ensure_future(loop) for loop in loops]
    strikes = []
    for event in schedule(seed, names, length_s):
        await asyncio.sleep(max(0.0, started + event.at - time.monotonic()))
        strikes.append(asyncio.ensure_future(_timed(soak, event, rng)))
    await asyncio.gather(*strikes)
    await asyncio.gather(*callers)
    await read(seen, _admins(soak), rng)
    seen.records = list(_records(soak))
    return judge(seen)


async def _timed(soak: Soak, event: Event, rng: random.Random) -> None:
    await strike(soak, event.fault, rng)


def _records(soak: Soak):
    for path in soak.running.folder.glob("records-*.jsonl"):
        for line in path.read_text().splitlines():
            record = json.loads(line)
            slots = soak.slots_by_upstream[record["upstream"]]
            yield {**record, "is_cold": record["bears"] < slots}


async def soak_once(seed: int, length_s: float, folder: Path) -> Soak:
    """Run one seed in a folder and write its violations to a file there."""
    soak = await prepare(folder)
    running = soak.running
    try:
        for zone in soak.settings["initial"]["zones"]:
            record = f"records-{zone}.jsonl"
            options = ("--zone", zone, "--record", record)
            running.start(
                "standin",
                f"standin-{zone}",
                *options,
                settings=folder / "standin.yaml",
            )
        await asyncio.sleep(1.0)
        for name in (*soak.settings["controls"], *soak.settings["entries"]):
            soak.start(name)
        await asyncio.to_thread(running.wait_ready)
        violations = await play(soak, seed, length_s)
    finally:
        running.stop()
        for proxy in soak.proxy_by_link.values():
            await proxy.stop()
    text = "".join(f"{v.promise}: {v.detail}\n" for v in violations)
    (folder / "violations.txt").write_text(text)
    return soak


def report(seed: int, soak: Soak, folder: Path) -> bool:
    """Print the result of a seed; return whether there was no violation."""
    seen = soak.seen
    outcomes = Counter(query.outcome for query in seen.queries)
    outcomes.update(
        f"command {command.reply.outcome} "
        f"{command.reply.body.get('error', '')}".rstrip()
        for command in seen.commands
    )
    text = (folder / "violations.txt").read_text()
    found = Counter(line.partition(":")[0] for line in text.splitlines())
    print(
        f"seed {seed}: {len(seen.queries)} queries, {len(seen.commands)} "
        f"commands, {len(seen.stops)} stops, {len(seen.zones_out)} zones out; "
        f"{dict(outcomes)}; violations {dict(found) or 'none'}",
        flush=True,
    )
    return not found


def main() -> int:
    """Run the given, regression and fresh seeds; keep the failed runs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--length", type=float, default=25.0)
    given = parser.parse_args()
    seeds = [int(text) for text in given.seeds.split(",") if text]
    if given.regression:
        seeds += list(REASON_BY_SEED)
    fresh = random.SystemRandom()
    seeds += [fresh.randrange(SEEDS) for _ in range(given.fresh)]
    broken = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = Path(name)
            soak = asyncio.run(soak_once(seed, given.length, folder))
            if not report(seed, soak, folder):
                broken += 1
                kept = Path(KEPT_FOLDER) / str(seed)
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"{len(seeds)} seeds, {broken} with a violation")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
