"""Compares an entry's processor time per upstream request with a bare loop.

Usage: python -m bench.entry [--rate 60] [--seconds 10]

The bare loop performs the same fan-out over keep-alive connections, with the
same codec, but takes no decisions.  The entry runs alone, so it owns every
service; its processor time includes the handling of callers.  The variants
differ in the event loop and in whether decisions are logged.
"""

import argparse
import asyncio
import itertools
import json
import time

import uvloop

from bench.deployment import Deployment, run_deployment
from berylspool.connection import upstream_codec
from berylspool.connection.http import HttpConnection, open_http_connection
from berylspool.process.settings import split_address
from berylspool.request.query import Part, Snapshot
from berylspool.tool.load_generator import LoadPlan, run_load

ROUTE = "pitch-lookup"
WARM_UP_S = 6.0
VARIANTS = {
    "entry, uvloop, no decision lines": ("uvloop", False),
    "entry, uvloop, decision lines": ("uvloop", True),
    "entry, asyncio, no decision lines": ("asyncio", False),
}


async def measure_bare_loop(
    deployment: Deployment, rate: float, seconds: float
) -> float:
    """Return the processor time of the bare loop per part, in seconds."""
    route = deployment.settings["initial"]["routes"][ROUTE]
    services = route["versions"]["v1"]["services"]
    idle_connections: list[asyncio.Queue[HttpConnection]] = []
    for name in services:
        queue: asyncio.Queue[HttpConnection] = asyncio.Queue()
        service = deployment.settings["initial"]["services"][name]
        for upstream in service["upstreams"].values():
            if upstream["version"] != "v1":
                continue
            for _ in range(3):
                address = split_address(upstream["address"])
                queue.put_nowait(await open_http_connection(*address, 1.0))
        idle_connections.append(queue)
    part_numbers = itertools.count()

    async def send_part(shard: int) -> None:
        connection = await idle_connections[shard].get()
        number = next(part_numbers)
        part = Part(
            f"b{number}",
            f"b{number}",
            services[shard],
            shard,
            Snapshot("v1", 1),
            '{"q": 1}',
            1.0,
            "f",
            True,
            ROUTE,
        )
        headers, body = upstream_codec.encode_part(part, number, 1.0)
        response = await connection.send(
            "POST", upstream_codec.PART_PATH, headers, body
        )
        upstream_codec.decode_reply(
            part, number, response.status, response.headers, response.body
        )
        idle_connections[shard].put_nowait(connection)

    count = int(rate * seconds)
    tasks = []
    before = time.process_time()
    for _ in range(count):
        shards = range(len(services))
        tasks.append(asyncio.gather(*(send_part(shard) for shard in shards)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    used_s = time.process_time() - before
    return used_s / (count * len(services))


def measure_entry(deployment: Deployment, rate: float, seconds: float) -> dict:
    """Return the processor time of the entry per part and while idle."""
    [name] = deployment.settings["entries"]
    target = split_address(deployment.settings["entries"][name]["address"])
    route = deployment.settings["initial"]["routes"][ROUTE]
    shards = len(route["versions"]["v1"]["services"])
    asyncio.run(run_load(LoadPlan((target,), ROUTE, rate / 2, WARM_UP_S)))
    cpu_s_before = deployment.cpu_s(name)
    time.sleep(5.0)
    idle_cores = (deployment.cpu_s(name) - cpu_s_before) / 5.0
    cpu_s_before = deployment.cpu_s(name)
    plan = LoadPlan((target,), ROUTE, rate, seconds)
    started = time.monotonic()
    result = asyncio.run(run_load(plan))
    elapsed_s = time.monotonic() - started
    used_s = deployment.cpu_s(name) - cpu_s_before - idle_cores * elapsed_s
    parts = result.attempts or 1
    assert result.count_by_outcome["whole"] == int(rate * seconds), (
        result.count_by_outcome
    )
    return {
        "us_a_part": round(used_s / parts * 1e6),
        "idle_core_percent": round(idle_cores * 100, 1),
        "shards": shards,
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    for label, (loop, decisions) in VARIANTS.items():
        changes = {
            "event_loop": loop,
            "log": {"path": "log.jsonl", "decisions": decisions},
            "standin": {"straggler_share": 0.0},
        }
        with run_deployment(
            "demo", changes, entries=1, with_control=False
        ) as deployment:
            figures = measure_entry(deployment, args.rate, args.seconds)
            factory = uvloop.new_event_loop if loop == "uvloop" else None
            with asyncio.Runner(loop_factory=factory) as runner:
                bare_s = runner.run(
                    measure_bare_loop(deployment, args.rate, args.seconds)
                )
        figures["bare_us_a_part"] = round(bare_s * 1e6)
        figures["bare_over_entry"] = round(
            figures["bare_us_a_part"] / figures["us_a_part"], 2
        )
        print(f"{label:36} {json.dumps(figures)}", flush=True)


if __name__ == "__main__":
    main()
