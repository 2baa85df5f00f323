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

from bench.deployment import Deployment, deployment

IDLE_S = 10.0


def fsync_ms(count: int = 200) -> float:
    """Return the median time of a 200-byte append with fdatasync, in ms."""
    times = []
    with tempfile.NamedTemporaryFile(dir=".") as file:
        for _ in range(count):
            file.write(b"x" * 200)
            file.flush()
            before = time.perf_counter()
            os.fdatasync(file.fileno())
            times.append(time.perf_counter() - before)
    return sorted(times)[count // 2] * 1000


async def post(address: str, body: dict) -> dict:
    response = await AsyncHTTPClient().fetch(
        f"http://{address}/v1/command",
        method="POST",
        body=orjson.dumps(body),
        raise_error=False,
        request_timeout=40.0,
    )
    return orjson.loads(response.body)


async def leader_address(running: Deployment) -> str:
    while True:
        for control in running.settings["controls"].values():
            answer = await post(
                control["admin_address"], {"command": "show status"}
            )
            if "rows" in answer:
                return control["admin_address"]
        await asyncio.sleep(0.2)


async def time_changes(
    address: str, count: int, is_waiting: bool, at_once: int
) -> dict:
    histogram = HdrHistogram(1, 60_000_000, 3)
    gate = asyncio.Semaphore(at_once)

    async def change(number: int) -> None:
        async with gate:
            slots = 3 + number % 2
            before = time.perf_counter()
            answer = await post(
                address,
                {
                    "command": f"set limits of fee-notices slots={slots}",
                    "wait": is_waiting,
                },
            )
            assert answer["accepted"], answer
            if is_waiting:
                assert answer["in_force"]["everywhere"], answer
            taken = time.perf_counter() - before
            histogram.record_value(int(taken * 1e6))

    started = time.perf_counter()
    await asyncio.gather(*(change(number) for number in range(count)))
    total = time.perf_counter() - started
    return {
        "changes": count,
        "at_once": at_once,
        "a_second": round(count / total, 1),
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--entries", type=int, default=8)
    args = parser.parse_args()
    print(json.dumps({"fdatasync_ms": round(fsync_ms(), 3)}))
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    with deployment("trust", changes, entries=args.entries) as running:
        time.sleep(5.0)
        before = {n: running.cpu_s(n) for n in running.process_by_name}
        time.sleep(IDLE_S)
        idle = {
            name: {
                "core_percent": round(
                    (running.cpu_s(name) - before[name]) / IDLE_S * 100, 2
                ),
                "memory_mb": round(running.memory_mb(name), 1),
            }
            for name in before
            if not name.startswith("standin")
        }
        print(json.dumps({"idle": idle}))
        for is_waiting, at_once in ((False, 1), (False, 16), (True, 1)):

            async def measure(waiting=is_waiting, many=at_once) -> dict:
                address = await leader_address(running)
                return await time_changes(address, args.changes, waiting, many)

            result = asyncio.run(measure())
            result["until_in_force"] = is_waiting
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
