"""Counts commands with a wrong or unknown outcome while processes are killed.

Usage: python -m bench.commands [--commands 2000] [--rate 60] [--seed 1]

Wrong are commands that ran twice and commands that ran although `not_run` was
reported.  Callers send a command to random entries, with the same key each
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

from bench.deployment import Deployment, deployment
from berylspool.connection.http import connect
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.process.settings import split_address

SENDS = 5
RESEND_S = 0.4
ROUTE = "fee-notices"


@dataclass
class Callers:
    """Callers of the commands, and the replies that they received.

    Attributes:
        replies: Replies to each command by its number, in order of the sends.
    """

    replies: dict[int, list[dict]] = field(default_factory=dict)

    async def command(
        self, number: int, addresses: list[str], rng: random.Random
    ) -> None:
        seen = self.replies.setdefault(number, [])
        for _ in range(SENDS):
            reply = await send(number, rng.choice(addresses))
            seen.append(reply)
            if reply["outcome"] == "answered":
                return
            await asyncio.sleep(RESEND_S)


async def send(number: int, address: str) -> dict:
    body = orjson.dumps(
        {
            "route": ROUTE,
            "query": {"q": number},
            "deadline_ms": 2000,
            "key": f"key-{number}",
        }
    )
    try:
        stream = await connect(*split_address(address), 1.0)
    except ConnectionLostError:
        return {"outcome": "no_connection", "request_id": ""}
    try:
        headers = {"Host": "x", "Content-Length": str(len(body))}
        async with asyncio.timeout(6.0):
            reply = await stream.send("POST", "/v1/command", headers, body)
    except (ConnectionLostError, ProtocolError, TimeoutError):
        return {"outcome": "no_answer", "request_id": ""}
    finally:
        stream.close()
    answer = orjson.loads(reply.body)
    if reply.status == 200:
        return {"outcome": "answered", "request_id": answer["request_id"]}
    return {
        "outcome": answer["outcome"],
        "request_id": answer.get("request_id", ""),
        "error": answer["error"],
    }


async def crash_upstream(running: Deployment, rng: random.Random) -> None:
    service = running.settings["initial"]["services"][ROUTE]
    upstream = rng.choice(list(service["upstreams"].values()))
    try:
        stream = await connect(*split_address(upstream["address"]), 1.0)
        data = b'{"crash": true}'
        headers = {"Host": "x", "Content-Length": str(len(data))}
        await stream.send("POST", "/standin/fault", headers, data)
    except (ConnectionLostError, ProtocolError):
        return


async def disturb(running: Deployment, rng: random.Random) -> None:
    """Kill, suspend and restart entries and control nodes until cancelled."""
    entries = list(running.settings["entries"])
    controls = list(running.settings["controls"])
    while True:
        await asyncio.sleep(2.0)
        name = rng.choice(entries)
        running.kill(name)
        await crash_upstream(running, rng)
        await asyncio.sleep(1.5)
        running.start_entry(name)
        await asyncio.sleep(2.0)
        name = rng.choice(controls)
        running.kill(name)
        await asyncio.sleep(1.0)
        running.start_control(name)
        frozen = rng.choice(entries)
        running.signal(frozen, signal.SIGSTOP)
        await crash_upstream(running, rng)
        await asyncio.sleep(3.0)
        running.signal(frozen, signal.SIGCONT)


async def run(running: Deployment, args) -> Callers:
    rng = random.Random(args.seed)
    addresses = [e["address"] for e in running.settings["entries"].values()]
    callers = Callers()
    disturbing = asyncio.ensure_future(disturb(running, rng))
    tasks = []
    for number in range(args.commands):
        task = callers.command(number, addresses, random.Random(number))
        tasks.append(asyncio.ensure_future(task))
        await asyncio.sleep(rng.expovariate(args.rate))
    await asyncio.gather(*tasks)
    disturbing.cancel()
    return callers


def judge(running: Deployment, callers: Callers) -> dict:
    """Compare the replies to callers with the records of the stand-ins."""
    runs_by_query: Counter[int] = Counter()
    ran_requests = set()
    for path in running.folder.glob("records-*.jsonl"):
        for line in path.read_text().splitlines():
            record = json.loads(line)
            if record["event"] == "run" and record["idempotent"] == "false":
                runs_by_query[json.loads(record["body"])["q"]] += 1
                ran_requests.add(record["attempt"].split("/")[0])
    told = [reply for seen in callers.replies.values() for reply in seen]
    final = Counter(
        next(
            (r["outcome"] for r in seen if r["outcome"] == "answered"),
            seen[-1]["outcome"],
        )
        for seen in callers.replies.values()
    )
    return {
        "commands": len(callers.replies),
        "sends": len(told),
        "ran": len(runs_by_query),
        "doubled": sum(count > 1 for count in runs_by_query.values()),
        "falsely_not_run": sum(
            r["outcome"] == "not_run" and r["request_id"] in ran_requests
            for r in told
        ),
        "answered_but_never_ran": sum(
            any(r["outcome"] == "answered" for r in seen)
            and not runs_by_query[number]
            for number, seen in callers.replies.items()
        ),
        "final": dict(final),
        "errors": dict(Counter(r.get("error", r["outcome"]) for r in told)),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--commands", type=int, default=2000)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    with deployment("demo", changes) as running:
        callers = asyncio.run(run(running, args))
        print(json.dumps(judge(running, callers), indent=1))


if __name__ == "__main__":
    main()
