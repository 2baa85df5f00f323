"""Clients leave while their requests wait in the queue of a front machine."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    Backend,
    Deployment,
    Record,
    Reply,
    Request,
    check_served,
    encode_request,
    main,
    make_configuration,
    make_route,
    make_service,
    new_id,
    read_answer,
)

# TROUBLE=0 plays the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# More than the two back ends serve (20 a second), as on a day of high load.
REQUESTS_PER_S = 30.0
LOAD_S = 8.0
DRAIN_S = 10.0
WORK_S = 0.3
DEADLINE_MS = 8000
# `give_up`: this share of the clients leaves within half of the objective.
LEAVING_SHARE = 0.3
LEAVE_AFTER_S = 0.4
# The rule: later than this after the client has left.
LATE_S = 0.5
# The rule says "more than a few".
MAX_LATE_REQUESTS = 10


class Case:
    """When clients left and when their requests reached a back end."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.left_at_by_id: dict[str, float] = {}
        self.late_by_id: dict[str, float] = {}
        self.served = 0

    async def work(self, backend: Backend, request: Request) -> Reply:
        """Run a request, whether its client has left or not."""
        left_at = self.left_at_by_id.get(request.id, request.arrived_at)
        late_s = request.arrived_at - left_at
        if late_s > LATE_S:
            self.late_by_id[request.id] = late_s
            self.record.write("LATE", request=request.id, s=round(late_s, 3))
        await asyncio.sleep(WORK_S)
        return Reply(200, [("X-Response-Stamp", backend.new_stamp())], b"sent")

    async def client(self, front: tuple[str, int], leaves: bool) -> None:
        """Send one request; wait for its answer, or leave."""
        id = new_id()
        reader, writer = await asyncio.open_connection(*front)
        self.record.write("sends", request=id)
        writer.write(
            encode_request(HOST, "POST", "/fee/1", id, DEADLINE_MS, b"fee")
        )
        try:
            async with asyncio.timeout(
                LEAVE_AFTER_S if leaves else DEADLINE_MS / 1000
            ):
                answer = await read_answer(reader)
            self.served += answer.status == 200
            self.record.write("gets", request=id, status=answer.status)
        except TimeoutError:
            self.record.write("leaves", request=id)
            self.left_at_by_id[id] = time.monotonic()
        except (OSError, EOFError):
            self.record.write("loses its connection", request=id)
        finally:
            writer.close()


async def play(deployment: Deployment, record: Record) -> bool:
    """Play the case; return whether the rule held."""
    case = Case(record)
    for _ in range(2):
        deployment.add_backend("notices", case.work)
    route = make_route(
        "r-fee", "/fee/", "notices", **{"route-type": "non_idempotent"}
    )
    await deployment.start(
        make_configuration(1, [route], [make_service("notices")])
    )
    clients = []
    started_at = time.monotonic()
    for number in range(int(LOAD_S * REQUESTS_PER_S)):
        due_s = started_at + number / REQUESTS_PER_S - time.monotonic()
        await asyncio.sleep(max(0.0, due_s))
        leaves = HAS_TROUBLE and random.random() < LEAVING_SHARE
        front = deployment.front_address(number % 2)
        clients.append(asyncio.ensure_future(case.client(front, leaves)))
    await asyncio.gather(*clients)
    await asyncio.sleep(DRAIN_S)
    check_served(case.served)
    late_s = sorted(case.late_by_id.values())
    print(
        f"{len(clients)} requests, {case.served} served, "
        f"{len(case.left_at_by_id)} left by their clients"
    )
    print(f"GONE: {len(late_s)} reached a back end over {LATE_S} s later")
    if late_s:
        print(f"the latest {late_s[-1]:.1f} s after its client had left")
    return len(late_s) <= MAX_LATE_REQUESTS


if __name__ == "__main__":
    main(__file__, play)
