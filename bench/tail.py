"""Compares the tail latency of whole queries under several routing policies.

Usage: python -m bench.tail [EXAMPLE] [--route R] [--loads 0.3,0.6]
       [--seeds 1,2] [--seconds 8] [--out FILE]

The policies run interleaved: all of them for one seed, then for the next.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path

import yaml

from bench.deployment import run_deployment
from berylspool.process.settings import split_address
from berylspool.tool.load_generator import LoadPlan, run_load, summarize

ROUTING_BY_POLICY = {
    "owned": {},
    "owned_hedges_last": {"hedges_in_turn": False},
    "owned_no_hedges": {"hedges": 0},
    "alone_random": {"sharing": "alone", "choice": "random", "hedges": 0},
    "alone_fewest": {
        "sharing": "alone",
        "choice": "fewest_in_flight",
        "hedges": 0,
    },
}
# Service times of the stand-ins: lognormal with a median of 5 ms and a spread
# (sigma) of 0.35, and 2 % stragglers of 60 ms.  All are multiplied by
# `--stretch`, so that a few processes on one machine can offer the full load.
SERVICE_MS = 5.0
STRAGGLER_MS = 60.0
STRAGGLER_SHARE = 0.02
# Mean of a lognormal variable with median 1 and sigma 0.35.
LOGNORMAL_MEAN = 1.063
WARM_UP_S = 8.0


def mean_service_s(stretch: float) -> float:
    """Return the mean service time of a part, in seconds."""
    usual_share_ms = (1 - STRAGGLER_SHARE) * SERVICE_MS * LOGNORMAL_MEAN
    return stretch * (usual_share_ms + STRAGGLER_SHARE * STRAGGLER_MS) / 1000


def query_capacity_per_s(settings: dict, route: str, stretch: float) -> float:
    """Return the maximum rate of whole queries a second for the upstreams."""
    version = settings["initial"]["routes"][route]["versions"]["v1"]
    rates = []
    for name in version["services"]:
        service = settings["initial"]["services"][name]
        upstreams = service["upstreams"].values()
        upstream_count = sum(u["version"] == "v1" for u in upstreams)
        rates.append(
            upstream_count
            * service["limits"]["slots"]
            / mean_service_s(stretch)
        )
    return min(rates)


def run_policy(args, policy: str, seed: int) -> list[dict]:
    """Run all loads under one policy.

    Args:
        args: Arguments of the command line.
        policy: Name of the policy.
        seed: Seed of the load and of the stand-in upstreams.

    Returns:
        Figures of each load as JSON values.
    """
    changes = {
        "routing": ROUTING_BY_POLICY[policy],
        "standin": {
            "seed": seed,
            "falls_over": policy.startswith("owned"),
            "service_ms": SERVICE_MS * args.stretch,
            "straggler_ms": STRAGGLER_MS * args.stretch,
        },
        "log": {"path": "log.jsonl", "decisions": False},
    }
    # Without owners, each entry connects to all upstreams and needs more
    # connections than the example allows.  All policies get the raised limit,
    # so that they stay comparable.
    path = Path("examples") / f"{args.example}.yaml"
    services = yaml.safe_load(path.read_text())["initial"]["services"]
    raised_limits = {n: {"limits": {"connections": 100}} for n in services}
    changes["initial"] = {"services": raised_limits}
    rows = []
    with run_deployment(
        args.example, changes, entries=args.entries
    ) as deployment:
        entries = deployment.settings["entries"].values()
        targets = tuple(split_address(e["address"]) for e in entries)
        capacity_per_s = query_capacity_per_s(
            deployment.settings, args.route, args.stretch
        )
        warm_up_plan = LoadPlan(
            targets,
            args.route,
            capacity_per_s * 0.25,
            WARM_UP_S,
            args.deadline_ms,
        )
        asyncio.run(run_load(warm_up_plan))
        for load in args.loads:
            cpu_s_before = {
                n: deployment.cpu_s(n) for n in deployment.settings["entries"]
            }
            plan = LoadPlan(
                targets,
                args.route,
                capacity_per_s * load,
                args.seconds,
                deadline_ms=args.deadline_ms,
                seed=seed,
            )
            result = asyncio.run(run_load(plan))
            row = summarize(plan, result)
            cpu_s = sum(
                deployment.cpu_s(n) - cpu_s_before[n]
                for n in deployment.settings["entries"]
            )
            row.update(
                policy=policy,
                load=load,
                capacity=round(capacity_per_s, 1),
                entry_cores=round(cpu_s / args.seconds, 2),
            )
            rows.append(row)
            print(
                f"{policy:16} seed {seed} load {load:<4} "
                f"p50 {row['latency_ms']['p50']:7.1f} "
                f"p99 {row['latency_ms']['p99']:7.1f} "
                f"p99.9 {row['latency_ms']['p99.9']:7.1f} "
                f"goodput {row['goodput'] / capacity_per_s:.2f} of capacity "
                f"extra {row['extra_load']:.3f} "
                f"cores {row['entry_cores']} {row['outcome']}",
                flush=True,
            )
            time.sleep(1.0)
    return rows


def parse_numbers(text: str) -> list[float]:
    """Parse numbers that are separated by commas."""
    return [float(number_text) for number_text in text.split(",")]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("example", nargs="?", default="trust")
    parser.add_argument("--route", default="pitch-lookup")
    parser.add_argument("--loads", type=parse_numbers, default=[0.3, 0.6])
    parser.add_argument("--seeds", type=parse_numbers, default=[1.0])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--deadline-ms", type=int, default=3000)
    parser.add_argument("--stretch", type=float, default=10.0)
    parser.add_argument("--entries", type=int, default=None)
    parser.add_argument("--policies", default=",".join(ROUTING_BY_POLICY))
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    rows = []
    for seed in args.seeds:
        for policy in args.policies.split(","):
            rows += run_policy(args, policy, int(seed))
    if args.out:
        with open(args.out, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
