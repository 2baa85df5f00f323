"""Runs soak tests: `python -m soak.run --seeds 1,2,3 --length 30`.

A seed determines the schedule of faults.  Loads are bounded, use the loopback
interface only, and end without intervention.  Only processes that the run has
started are signalled, by process id.
"""

import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from berylspool.process.settings import split_address
from soak.callers import read_revision, send_commands, send_queries
from soak.checker import Violation, find_violations
from soak.faults import inject_fault
from soak.schedule import FaultTargets, ScheduledFault, make_schedule
from soak.soak_run import SoakRun, admin_addresses, prepare_run

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
SEED_BOUND = 1 << 31
FAILED_RUNS_FOLDER = "var/soak"


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
    await read_revision(history, admin_addresses(soak_run), rng)
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
