"""Open-loop load generator: the arrival rate does not depend on the answers.

Latency is measured from the time at which a request was due, not from when it
was sent, so that a slow system cannot slow down its own measurement
(coordinated omission; see Tene, "How not to measure latency").
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from berylspool.connection.http import (
    HttpConnection,
    HttpResponse,
    open_http_connection,
)
from berylspool.exception import ConnectionLostError, ProtocolError

__all__ = ["LoadPlan", "LoadResult", "run_load", "summarize"]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
CONNECT_TIMEOUT_S = 2.0
# Time beyond the deadline for which the last responses are awaited.
RESPONSE_GRACE_S = 2.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load run.

    Attributes:
        targets: Address of each entry, as (host, port).
        route: Route of the requests.
        rate: Requests per second.
        duration_s: Length of the run in seconds.
        deadline_ms: Deadline of each request in milliseconds.
        seed: Seed for arrival times and the choice of entries and bodies.
        min_coverage: Minimum coverage that requests ask for, from 0 to 1.
        is_command: Whether requests may not be repeated.
        body_count: Number of distinct request bodies.
    """

    targets: tuple[tuple[str, int], ...]
    route: str
    rate: float
    duration_s: float
    deadline_ms: int = 1000
    seed: int = 1
    min_coverage: float = 1.0
    is_command: bool = False
    body_count: int = 1000


@dataclass(slots=True)
class LoadResult:
    """Results of a load run.

    Attributes:
        latency: Histogram of the latency of whole answers, in microseconds.
        count_by_outcome: Number of requests by outcome.
        attempts: Number of copies sent to upstreams, over all answers.
        shards_total: Number of shards in the partition maps, over all
            answers.
        shards_answered: Number of shards covered, over all answers.
        mixed_snapshots: Number of answers with rows of several versions.
        mismatched_ids: Number of answers with the id of another request.
        records: Always empty.
    """

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    count_by_outcome: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    shards_total: int = 0
    shards_answered: int = 0
    mixed_snapshots: int = 0
    mismatched_ids: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)


class EntryClient:
    """Client of one entry, with a pool of keep-alive connections.

    Args:
        host: IP address.
        port: TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._idle_connections: list[HttpConnection] = []

    async def post(self, path: str, body: bytes) -> HttpResponse:
        """Send one POST request, on an idle connection if there is one.

        Raises:
            ConnectionLostError: The connection could not be opened, or was
                lost.
            ProtocolError: The response is not HTTP.
        """
        while (
            self._idle_connections
            and self._idle_connections[-1].stream.closed()
        ):
            self._idle_connections.pop()
        if self._idle_connections:
            connection = self._idle_connections.pop()
        else:
            connection = await open_http_connection(
                *self._address, CONNECT_TIMEOUT_S
            )
        headers = {
            "Host": "berylspool",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        try:
            response = await connection.send("POST", path, headers, body)
        except BaseException:
            connection.close()
            raise
        if response.headers.get("Connection") == "close":
            connection.close()
        else:
            self._idle_connections.append(connection)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle_connections:
            connection.close()


async def run_load(
    plan: LoadPlan, report_progress: Callable[[int], None] = lambda sent: None
) -> LoadResult:
    """Send requests as planned and collect the answers.

    Args:
        plan: Parameters of the run.
        report_progress: Called with the number of requests sent so far.

    Returns:
        Results of the run.
    """
    rng = random.Random(plan.seed)
    clients = [EntryClient(host, port) for host, port in plan.targets]
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    start = time.monotonic()
    due_at = start
    total = int(plan.rate * plan.duration_s)
    for number in range(total):
        due_at += rng.expovariate(plan.rate)
        pause_s = due_at - time.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        client = rng.choice(clients)
        body = _make_body(plan, number, rng.randrange(plan.body_count))
        task = asyncio.ensure_future(_send(plan, client, body, due_at, result))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        report_progress(number + 1)
    if tasks:
        timeout_s = plan.deadline_ms / 1000 + RESPONSE_GRACE_S
        _, unanswered = await asyncio.wait(tasks, timeout=timeout_s)
        result.count_by_outcome["no_reply"] += len(unanswered)
        for task in unanswered:
            task.cancel()
    for client in clients:
        client.close()
    return result


def _make_body(plan: LoadPlan, number: int, body_number: int) -> dict[str, Any]:
    body: dict[str, Any] = {
        "route": plan.route,
        "query": {"q": body_number},
        "deadline_ms": plan.deadline_ms,
        "request_id": f"load-{plan.seed}-{number}",
        "min_coverage": plan.min_coverage,
    }
    if plan.is_command:
        body["key"] = f"key-{plan.seed}-{number}"
        body["query"] = {"q": number}
    return body


async def _send(
    plan: LoadPlan,
    client: EntryClient,
    body: dict[str, Any],
    due_at: float,
    result: LoadResult,
) -> None:
    path = "/v1/command" if plan.is_command else "/v1/query"
    try:
        response = await client.post(path, orjson.dumps(body))
    except (ConnectionLostError, ProtocolError):
        result.count_by_outcome["connection_lost"] += 1
        return
    _record_response(body, response, time.monotonic() - due_at, result)


def _record_response(
    body: dict[str, Any],
    response: HttpResponse,
    latency_s: float,
    result: LoadResult,
) -> None:
    answer = orjson.loads(response.body)
    if answer.get("request_id") != body["request_id"]:
        result.mismatched_ids += 1
    if response.status != 200:
        outcome = f"{answer.get('error')}:{answer.get('outcome')}"
        result.count_by_outcome[outcome] += 1
        return
    coverage = answer["coverage"]
    is_whole = coverage["shards_answered"] == coverage["shards_total"]
    result.count_by_outcome["whole" if is_whole else "partial"] += 1
    result.attempts += answer["attempts"]
    result.shards_total += coverage["shards_total"]
    result.shards_answered += coverage["shards_answered"]
    if len({row["version"] for row in answer["rows"]}) > 1:
        result.mixed_snapshots += 1
    if is_whole:
        result.latency.record_value(max(1, int(latency_s * 1e6)))


def summarize(plan: LoadPlan, result: LoadResult) -> dict[str, Any]:
    """Return the results of a run as JSON values; latency in milliseconds."""
    extra_load = 0.0
    if result.shards_answered:
        extra_load = result.attempts / result.shards_answered - 1.0
    return {
        "route": plan.route,
        "rate": plan.rate,
        "duration_s": plan.duration_s,
        "seed": plan.seed,
        "outcome": dict(result.count_by_outcome),
        "latency_ms": {
            f"p{percentile:g}": round(
                result.latency.get_value_at_percentile(percentile) / 1000, 2
            )
            for percentile in PERCENTILES
        },
        "goodput": round(result.count_by_outcome["whole"] / plan.duration_s, 2),
        "coverage": round(
            result.shards_answered / max(result.shards_total, 1), 6
        ),
        "extra_load": round(extra_load, 4),
        "mixed_snapshots": result.mixed_snapshots,
        "crossed": result.mismatched_ids,
    }
