"""Back ends end a header of some of their answers with a blank."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Backend,
    Client,
    Deployment,
    Record,
    Reply,
    Request,
    check_served,
    is_in_episode,
    main,
    make_configuration,
    make_route,
    make_service,
    new_id,
)

# TROUBLE=0 plays the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 12
PLAY_S = 48.0
PAUSE_S = 0.05
WORK_S = 0.1
TIMEOUT_MS = 2000
DEADLINE_MS = 3000
# `garble`: half of the back ends spoil this share of their answers, for five
# seconds at a time.
SPOILT_SHARE = 0.03
# The rule: half a second after the time-out of the route.
ANSWER_BY_S = TIMEOUT_MS / 1000 + 0.5
# The rule names eight requests and more.
MIN_REQUESTS = 8


class Case:
    """When each request was answered."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.ran: set[str] = set()
        self.spoilt = 0
        self.started_at = time.monotonic()
        # Time to the answer by request id; infinite without one.
        self.answered_s_by_id: dict[str, float] = {}

    async def work(self, backend: Backend, request: Request) -> Reply:
        """Run a request and answer with success."""
        await asyncio.sleep(WORK_S)
        self.ran.add(request.id)
        content_type = "text/plain"
        is_faulty = backend is self.deployment.backends[0]
        if (
            HAS_TROUBLE
            and is_faulty
            and is_in_episode(self.started_at)
            and random.random() < SPOILT_SHARE
        ):
            self.spoilt += 1
            content_type += " "
            self.record.write("spoils", request=request.id)
        headers = [
            ("X-Response-Stamp", backend.new_stamp()),
            ("Content-Type", content_type),
        ]
        return Reply(200, headers, b"notice sent")

    async def client(self, number: int, until: float) -> None:
        """Send requests on a kept connection; wait for each to the deadline."""
        front = self.deployment.front_address(number % 2)
        client = Client(front, self.record)
        while time.monotonic() < until:
            id, sent_at = new_id(), time.monotonic()
            self.answered_s_by_id[id] = float("inf")
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    answer = await client.send(
                        "POST", "/fee/1", id, DEADLINE_MS, b"fee"
                    )
                if answer.status:
                    elapsed_s = time.monotonic() - sent_at
                    self.answered_s_by_id[id] = elapsed_s
            except TimeoutError:
                self.record.write("has no answer", request=id)
                client.close()
                client = Client(front, self.record)
            await asyncio.sleep(PAUSE_S)


async def play(deployment: Deployment, record: Record) -> bool:
    """Play the case; return whether the rule held."""
    case = Case(deployment, record)
    for _ in range(2):
        deployment.add_backend("notices", case.work)
    route = make_route(
        "r-fee",
        "/fee/",
        "notices",
        **{"route-type": "non_idempotent", "timeout-ms": TIMEOUT_MS},
    )
    services = [make_service("notices")]
    await deployment.start(make_configuration(1, [route], services))
    case.started_at = time.monotonic()
    until = case.started_at + PLAY_S
    await asyncio.gather(*(case.client(n, until) for n in range(CLIENTS)))
    answered_s = case.answered_s_by_id
    check_served(sum(s <= ANSWER_BY_S for s in answered_s.values()))
    late = [id for id, s in answered_s.items() if s > TIMEOUT_MS / 1000]
    unanswered = [id for id in late if answered_s[id] > ANSWER_BY_S]
    ran = sum(id in case.ran for id in unanswered)
    print(f"{len(answered_s)} requests, {case.spoilt} answers with a blank")
    print(
        f"CONFIG: {len(late)} unanswered at the time-out of the route, "
        f"{len(unanswered)} of them half a second later; {ran} of these had "
        "been run and answered by a back end"
    )
    return len(unanswered) < MIN_REQUESTS or 2 * len(unanswered) <= len(late)


if __name__ == "__main__":
    main(__file__, play)
