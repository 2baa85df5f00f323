"""Back ends add the beginning of a second answer to some of their answers."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Answer,
    Backend,
    Client,
    Deployment,
    Record,
    Reply,
    Request,
    check_served,
    encode_answer,
    is_in_episode,
    main,
    make_configuration,
    make_route,
    make_service,
    new_id,
)

# TROUBLE=0 plays the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 8
PAUSE_S = 0.05
PLAY_S = 72.0
WORK_S = 0.03
# `garble`: half of the back ends spoil this share of their answers, for five
# seconds at a time.
GARBLED_SHARE = 0.03
MAX_EXTRA_BYTES = 200
# Ordinary failures of a back end, with and without the disruption.
FAILED_SHARE = 0.25


class Case:
    """The answers that back ends gave and clients got."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        # Status, signature and body that back ends gave, by request id.
        self.given_by_id: dict[str, list[tuple[int, str, bytes]]] = {}
        self.wrong: list[str] = []
        self.asked = self.served = self.garbled = 0
        self.started_at = time.monotonic()

    async def work(self, backend: Backend, request: Request) -> Reply:
        """Answer with a body of its own; some answers are failures."""
        await asyncio.sleep(WORK_S * random.uniform(0.5, 1.5))
        status = 500 if random.random() < FAILED_SHARE else 200
        stamp = backend.new_stamp()
        body = f"record of {request.target} by {stamp}".encode()
        given = self.given_by_id.setdefault(request.id, [])
        given.append((status, stamp, body))
        self.record.write(
            "answers", request=request.id, status=status, stamp=stamp
        )
        reply = Reply(status, [("X-Response-Stamp", stamp)], body)
        is_faulty = backend is self.deployment.backends[0]
        if (
            HAS_TROUBLE
            and is_faulty
            and is_in_episode(self.started_at)
            and random.random() < GARBLED_SHARE
        ):
            headers = [
                ("X-Request-Id", request.id),
                ("X-Response-Stamp", stamp),
                ("Content-Length", str(len(body))),
            ]
            second = encode_answer(status, headers, body)
            size = random.randint(1, min(len(second) - 1, MAX_EXTRA_BYTES))
            reply.extra = second[:size]
            self.garbled += 1
            self.record.write(
                "adds bytes", request=request.id, bytes=second[:size].decode()
            )
        return reply

    async def client(self, number: int, until: float) -> None:
        """Send requests on a kept connection."""
        front = self.deployment.front_address(number % 2)
        client = Client(front, self.record)
        while time.monotonic() < until:
            id = new_id()
            self.asked += 1
            self.check(id, await client.send("GET", f"/ledger/{number}", id))
            await asyncio.sleep(PAUSE_S)

    def check(self, id: str, answer: Answer) -> None:
        """Compare an answer with those that back ends gave to the request."""
        stamps = answer.all("x-response-stamp")
        if not 200 <= answer.status < 300:
            return
        self.served += 1
        given = self.given_by_id.get(id, [])
        successes = [(s, b) for status, s, b in given if status == 200]
        problem = ""
        if any(b == answer.body for status, _, b in given if status != 200):
            problem = "success, where the back end had answered with a failure"
        elif (", ".join(stamps), answer.body) not in successes:
            problem = "success without the back end's signature"
        if problem:
            self.wrong.append(problem)
            self.record.write(
                "WRONG", request=id, why=problem, h=answer.headers
            )


async def play(deployment: Deployment, record: Record) -> bool:
    """Play the case; return whether the rule held."""
    case = Case(deployment, record)
    for _ in range(2):
        deployment.add_backend("ledger", case.work)
    route = make_route("r-ledger", "/ledger/", "ledger")
    await deployment.start(
        make_configuration(1, [route], [make_service("ledger")])
    )
    case.started_at = time.monotonic()
    until = case.started_at + PLAY_S
    await asyncio.gather(*(case.client(n, until) for n in range(CLIENTS)))
    check_served(case.served)
    print(
        f"{case.asked} requests, {case.served} served, "
        f"{case.garbled} answers with additional bytes"
    )
    for problem in sorted(set(case.wrong)):
        print(f"MIXED: {case.wrong.count(problem)} x {problem}")
    return not case.wrong


if __name__ == "__main__":
    main(__file__, play)
