"""Measures queries while a zone is taken out of service and returned to it.

The time of the last new work in the zone is measured too.

Usage: python -m bench.zones [--rate 30] [--seed 1]
"""

import argparse
import asyncio
import json
import time

from bench.deployment import Deployment, run_deployment
from berylspool.process.settings import split_address
from berylspool.tool.load_generator import LoadPlan, run_load, summarize

ROUTE = "pitch-lookup"
ZONE = "derby"
WARM_UP_S = 8.0
PHASE_S = 12.0
SERVICE_TIME_FACTOR = 10.0


async def run_phase(deployment: Deployment, args, command: str = "") -> dict:
    """Run a load, with an operator command after its first second.

    Args:
        deployment: The deployment.
        args: Arguments of the command line.
        command: Operator command; empty for none.

    Returns:
        Figures of the load, and the times of the command and its answer in
        monotonic seconds.
    """
    entries = deployment.settings["entries"].values()
    targets = tuple(split_address(e["address"]) for e in entries)
    plan = LoadPlan(targets, ROUTE, args.rate, PHASE_S, 3000, args.seed)
    load = asyncio.ensure_future(run_load(plan))
    command_times = {}
    if command:
        await asyncio.sleep(1.0)
        started = time.monotonic()
        text = await asyncio.to_thread(
            deployment.ctl, "--wait", *command.split()
        )
        command_times = {"sent_at": started, "answered_at": time.monotonic()}
        assert "everywhere" in text, text
    figures = summarize(plan, await load)
    return {
        "outcome": figures["outcome"],
        "latency_ms": figures["latency_ms"],
        "coverage": figures["coverage"],
        **command_times,
    }


def last_part_start_s(deployment: Deployment, reference_at: float) -> float:
    """Return when the zone's upstreams last started a part.

    Args:
        deployment: The deployment.
        reference_at: Reference time, monotonic seconds.

    Returns:
        Time since the reference, seconds; negative before it.
    """
    path = deployment.folder / f"records-{ZONE}.jsonl"
    start_times = [
        record["at"]
        for record in map(json.loads, path.read_text().splitlines())
        if record["event"] == "run"
    ]
    return max(start_times) - reference_at


async def run(deployment: Deployment, args) -> None:
    """Run the load before, during and after the zone's time out of service."""
    entries = deployment.settings["entries"].values()
    targets = tuple(split_address(e["address"]) for e in entries)
    await run_load(LoadPlan(targets, ROUTE, args.rate, WARM_UP_S, 3000))
    steady = await run_phase(deployment, args)
    print("steady  ", json.dumps(steady), flush=True)
    out = await run_phase(deployment, args, f"zone {ZONE} out")
    last_s = last_part_start_s(deployment, out.pop("answered_at"))
    out.pop("sent_at")
    print("out     ", json.dumps(out), flush=True)
    print(f"last new work in {ZONE}: {last_s:+.3f} s from the answer")
    back = await run_phase(deployment, args, f"zone {ZONE} in")
    back.pop("sent_at")
    back.pop("answered_at")
    print("returned", json.dumps(back), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    changes = {
        "log": {"path": "log.jsonl", "decisions": False},
        "standin": {
            "service_ms": 5.0 * SERVICE_TIME_FACTOR,
            "straggler_ms": 60.0 * SERVICE_TIME_FACTOR,
            "seed": args.seed,
        },
    }
    with run_deployment("trust", changes) as deployment:
        asyncio.run(run(deployment, args))


if __name__ == "__main__":
    main()
