"""Counts commands with a wrong or unknown outcome while processes are killed.

Usage: python -m bench.commands [--commands 2000] [--rate 60] [--seed 1]

An outcome is wrong if the command ran twice, or if it ran although `not_run`
was reported.  Callers send a command to random entries, with the same key each
time, until they have an answer or have sent it five times.  Meanwhile entries
and control nodes are killed and restarted, entries are suspended, and upstreams
crash.
"""

import argparse
import asyncio
import json
import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import orjson

from bench.deployment import Deployment, run_deployment
from berylspool.connection.http import open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.process.settings import split_address

MAX_SENDS = 5
RESEND_DELAY_S = 0.4
ROUTE = "fee-notices"


@dataclass
class CommandCallers:
    """Callers of the commands, and the replies that they received.

    Attributes:
        replies_by_command: Replies to each command by its number, in the order
            of the sends.
    """

    replies_by_command: dict[int, list[dict]] = field(default_factory=dict)

    async def send_until_answered(
        self, number: int, addresses: list[str], rng: random.Random
    ) -> None:
        """Send one command to random entries until it is answered."""
        replies = self.replies_by_command.setdefault(number, [])
        for _ in range(MAX_SENDS):
            reply = await send_command(number, rng.choice(addresses))
            replies.append(reply)
            if reply["outcome"] == "answered":
                return
            await asyncio.sleep(RESEND_DELAY_S)


async def send_command(number: int, address: str) -> dict:
    """Send one command and return its outcome as JSON values."""
    body = orjson.dumps(
        {
            "route": ROUTE,
            "query": {"q": number},
            "deadline_ms": 2000,
            "key": f"key-{number}",
        }
    )
    try:
        connection = await open_http_connection(*split_address(address), 1.0)
    except ConnectionLostError:
        return {"outcome": "no_connection", "request_id": ""}
    try:
        headers = {"Host": "x", "Content-Length": str(len(body))}
        async with asyncio.timeout(6.0):
            response = await connection.send(
                "POST", "/v1/command", headers, body
            )
    except (ConnectionLostError, ProtocolError, TimeoutError):
        return {"outcome": "no_answer", "request_id": ""}
    finally:
        connection.close()
    answer = orjson.loads(response.body)
    if response.status == 200:
        return {"outcome": "answered", "request_id": answer["request_id"]}
    return {
        "outcome": answer["outcome"],
        "request_id": answer.get("request_id", ""),
        "error": answer["error"],
    }


async def crash_upstream(deployment: Deployment, rng: random.Random) -> None:
    """Crash a random stand-in upstream of the commands' service."""
    service = deployment.settings["initial"]["services"][ROUTE]
    upstream = rng.choice(list(service["upstreams"].values()))
    try:
        connection = await open_http_connection(
            *split_address(upstream["address"]), 1.0
        )
        fault = b'{"crash": true}'
        headers = {"Host": "x", "Content-Length": str(len(fault))}
        await connection.send("POST", "/standin/fault", headers, fault)
    except (ConnectionLostError, ProtocolError):
        return


async def inject_faults(deployment: Deployment, rng: random.Random) -> None:
    """Kill, suspend and restart entries and control nodes until cancelled."""
    entries = list(deployment.settings["entries"])
    controls = list(deployment.settings["controls"])
    while True:
        await asyncio.sleep(2.0)
        name = rng.choice(entries)
        deployment.kill(name)
        await crash_upstream(deployment, rng)
        await asyncio.sleep(1.5)
        deployment.start_entry(name)
        await asyncio.sleep(2.0)
        name = rng.choice(controls)
        deployment.kill(name)
        await asyncio.sleep(1.0)
        deployment.start_control(name)
        suspended = rng.choice(entries)
        deployment.signal(suspended, signal.SIGSTOP)
        await crash_upstream(deployment, rng)
        await asyncio.sleep(3.0)
        deployment.signal(suspended, signal.SIGCONT)


async def run(deployment: Deployment, args) -> CommandCallers:
    """Send the commands at the given rate while faults are injected."""
    rng = random.Random(args.seed)
    addresses = [e["address"] for e in deployment.settings["entries"].values()]
    callers = CommandCallers()
    fault_task = asyncio.ensure_future(inject_faults(deployment, rng))
    tasks = []
    for number in range(args.commands):
        coroutine = callers.send_until_answered(
            number, addresses, random.Random(number)
        )
        tasks.append(asyncio.ensure_future(coroutine))
        await asyncio.sleep(rng.expovariate(args.rate))
    await asyncio.gather(*tasks)
    fault_task.cancel()
    return callers


def summarize(deployment: Deployment, callers: CommandCallers) -> dict:
    """Compare the replies to callers with the records of the stand-ins."""
    run_count_by_command: Counter[int] = Counter()
    request_ids_that_ran = set()
    for path in deployment.folder.glob("records-*.jsonl"):
        for line in path.read_text().splitlines():
            record = json.loads(line)
            if record["event"] == "run" and record["idempotent"] == "false":
                run_count_by_command[json.loads(record["body"])["q"]] += 1
                request_ids_that_ran.add(record["attempt"].split("/")[0])
    all_replies = [
        reply
        for replies in callers.replies_by_command.values()
        for reply in replies
    ]
    final_outcomes = Counter(
        next(
            (r["outcome"] for r in replies if r["outcome"] == "answered"),
            replies[-1]["outcome"],
        )
        for replies in callers.replies_by_command.values()
    )
    return {
        "commands": len(callers.replies_by_command),
        "sends": len(all_replies),
        "ran": len(run_count_by_command),
        "doubled": sum(count > 1 for count in run_count_by_command.values()),
        "falsely_not_run": sum(
            r["outcome"] == "not_run"
            and r["request_id"] in request_ids_that_ran
            for r in all_replies
        ),
        "answered_but_never_ran": sum(
            any(r["outcome"] == "answered" for r in replies)
            and not run_count_by_command[number]
            for number, replies in callers.replies_by_command.items()
        ),
        "final": dict(final_outcomes),
        "errors": dict(
            Counter(r.get("error", r["outcome"]) for r in all_replies)
        ),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--commands", type=int, default=2000)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    with run_deployment("demo", changes) as deployment:
        callers = asyncio.run(run(deployment, args))
        print(json.dumps(summarize(deployment, callers), indent=1))


if __name__ == "__main__":
    main()
