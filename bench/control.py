"""Measures the latency of configuration changes and the idle cost of control.

Usage: python -m bench.control [--changes 200] [--entries 8]

Changes are timed until they are accepted, one and 16 at a time, and until they
are in force at every entry.
"""

import argparse
import asyncio
import json
import os
import tempfile
import time

import orjson
from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient

from bench.deployment import Deployment, run_deployment

IDLE_PERIOD_S = 10.0


def append_latency_ms(count: int = 200) -> float:
    """Return the median time of a 200-byte append with fdatasync, in ms."""
    append_times = []
    with tempfile.NamedTemporaryFile(dir=".") as file:
        for _ in range(count):
            file.write(b"x" * 200)
            file.flush()
            before = time.perf_counter()
            os.fdatasync(file.fileno())
            append_times.append(time.perf_counter() - before)
    return sorted(append_times)[count // 2] * 1000


async def post(address: str, body: dict) -> dict:
    """Send an operator's command to a control node and return its answer."""
    response = await AsyncHTTPClient().fetch(
        f"http://{address}/v1/command",
        method="POST",
        body=orjson.dumps(body),
        raise_error=False,
        request_timeout=40.0,
    )
    return orjson.loads(response.body)


async def leader_address(deployment: Deployment) -> str:
    """Wait for a leader and return its administration address."""
    while True:
        for control in deployment.settings["controls"].values():
            answer = await post(
                control["admin_address"], {"command": "show status"}
            )
            if "rows" in answer:
                return control["admin_address"]
        await asyncio.sleep(0.2)


async def time_changes(
    address: str, count: int, waits_until_in_force: bool, concurrency: int
) -> dict:
    """Apply changes of a service's limits and measure their latency.

    Args:
        address: Administration address of the leader.
        count: Number of changes.
        waits_until_in_force: Whether a change is timed until it is in force at
            every entry, rather than until it is accepted.
        concurrency: Maximum number of pending changes.

    Returns:
        Throughput and latency percentiles as JSON values.
    """
    histogram = HdrHistogram(1, 60_000_000, 3)
    semaphore = asyncio.Semaphore(concurrency)

    async def change(number: int) -> None:
        async with semaphore:
            slots = 3 + number % 2
            before = time.perf_counter()
            answer = await post(
                address,
                {
                    "command": f"set limits of fee-notices slots={slots}",
                    "wait": waits_until_in_force,
                },
            )
            assert answer["accepted"], answer
            if waits_until_in_force:
                assert answer["in_force"]["everywhere"], answer
            elapsed_s = time.perf_counter() - before
            histogram.record_value(int(elapsed_s * 1e6))

    started = time.perf_counter()
    await asyncio.gather(*(change(number) for number in range(count)))
    total_s = time.perf_counter() - started
    return {
        "changes": count,
        "at_once": concurrency,
        "a_second": round(count / total_s, 1),
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--entries", type=int, default=8)
    args = parser.parse_args()
    print(json.dumps({"fdatasync_ms": round(append_latency_ms(), 3)}))
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    with run_deployment("trust", changes, entries=args.entries) as deployment:
        time.sleep(5.0)
        cpu_s_before = {
            n: deployment.cpu_s(n) for n in deployment.process_by_name
        }
        time.sleep(IDLE_PERIOD_S)
        idle_cost_by_process = {
            name: {
                "core_percent": round(
                    (deployment.cpu_s(name) - cpu_s_before[name])
                    / IDLE_PERIOD_S
                    * 100,
                    2,
                ),
                "memory_mb": round(deployment.memory_mb(name), 1),
            }
            for name in cpu_s_before
            if not name.startswith("standin")
        }
        print(json.dumps({"idle": idle_cost_by_process}))
        for waits_until_in_force, concurrency in (
            (False, 1),
            (False, 16),
            (True, 1),
        ):

            async def measure(
                waits=waits_until_in_force, max_concurrency=concurrency
            ) -> dict:
                address = await leader_address(deployment)
                return await time_changes(
                    address, args.changes, waits, max_concurrency
                )

            result = asyncio.run(measure())
            result["until_in_force"] = waits_until_in_force
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
