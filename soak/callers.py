"""Clients of a soak run: callers of the entries and operators of control."""

import asyncio
import itertools
import random
import time
from typing import Any

import orjson

from berylspool.connection.http import HttpStream, connect
from berylspool.exception import ConnectionLostError, ProtocolError
from soak.checker import Command, Observed, Query, Reading, ZoneOut

__all__ = ["command_loop", "query_loop", "take_out"]

DEADLINE_MS = 1500
# An answer may arrive at the deadline; the margin covers its transmission.
ANSWER_S = DEADLINE_MS / 1000 + 2.0
CONNECT_S = 1.0
SENDS = 4
RESEND_S = 0.3
OPERATOR_S = 3.0
# Status of a control node that is not the leader.
LEADER_MOVED = 421
MARKS = itertools.count()


class Caller:
    """Sends requests on one connection, until the entry closes it.

    The next connection goes to an entry chosen at random.

    Args:
        addresses: IP address and port of each entry.
    """

    def __init__(self, addresses: dict[str, tuple[str, int]]) -> None:
        self._addresses = addresses
        self._entry = ""
        self._stream: HttpStream | None = None

    async def send(
        self, rng: random.Random, path: str, body: dict[str, Any], mark: str
    ) -> Query:
        """Send one request, on the open connection if there is one.

        Args:
            rng: Chooses the entry of a new connection.
            path: Path of the request.
            body: Body to encode as JSON.
            mark: Unique text in the body.

        Returns:
            The request and its result.
        """
        started = time.monotonic()
        if self._stream is None:
            self._entry = rng.choice(list(self._addresses))
            try:
                address = self._addresses[self._entry]
                self._stream = await connect(*address, CONNECT_S)
            except ConnectionLostError:
                return self._query("", mark, started, "no_connection")
        data = orjson.dumps(body)
        headers = {"Host": "soak", "Content-Length": str(len(data))}
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_S):
                reply = await self._stream.send("POST", path, headers, data)
        except (ConnectionLostError, ProtocolError):
            self._drop()
            return self._query("", mark, sent_at, "cut")
        except TimeoutError:
            self._drop()
            return self._query("", mark, sent_at, "late")
        if reply.headers.get("Connection", "").lower() == "close":
            self._drop()
        answer = orjson.loads(reply.body)
        outcome = "answered" if reply.status == 200 else answer["outcome"]
        id = answer.get("request_id", "")
        return self._query(id, mark, sent_at, outcome, answer)

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _query(
        self,
        id: str,
        mark: str,
        sent_at: float,
        outcome: str,
        answer: dict[str, Any] | None = None,
    ) -> Query:
        now = time.monotonic()
        return Query(id, mark, self._entry, sent_at, now, outcome, answer or {})


async def query_loop(
    seen: Observed,
    addresses: dict[str, tuple[str, int]],
    route: str,
    rng: random.Random,
    until: float,
) -> None:
    """Send queries one after the other.

    Args:
        seen: History that receives each query and its result.
        addresses: IP address and port of each entry.
        route: Route of the queries.
        rng: Chooses entries, coverage and pauses.
        until: Time of the last start, monotonic seconds.
    """
    caller = Caller(addresses)
    while time.monotonic() < until:
        mark = f"q{next(MARKS)}"
        body = {
            "route": route,
            "query": {"mark": mark},
            "deadline_ms": DEADLINE_MS,
            "min_coverage": rng.choice((0.0, 0.5, 1.0)),
        }
        seen.queries.append(await caller.send(rng, "/v1/query", body, mark))
        await asyncio.sleep(rng.expovariate(20.0))


async def command_loop(
    seen: Observed,
    addresses: dict[str, tuple[str, int]],
    route: str,
    rng: random.Random,
    until: float,
) -> None:
    """Send commands one after the other, and resend each until it is answered.

    A command is sent with the same key each time, a limited number of times.

    Args:
        seen: History that receives each send and its result.
        addresses: IP address and port of each entry.
        route: Route of the commands.
        rng: Chooses entries and pauses.
        until: Time of the last start, monotonic seconds.
    """
    caller = Caller(addresses)
    while time.monotonic() < until:
        mark = f"c{next(MARKS)}"
        body = {
            "route": route,
            "query": {"mark": mark},
            "deadline_ms": DEADLINE_MS,
            "key": mark,
        }
        for _ in range(SENDS):
            reply = await caller.send(rng, "/v1/command", body, mark)
            seen.commands.append(Command(reply))
            if reply.outcome == "answered":
                break
            await asyncio.sleep(RESEND_S)
        await asyncio.sleep(rng.expovariate(10.0))


async def _order(
    admins: list[tuple[str, int]], command: str, rng: random.Random
) -> dict[str, Any] | None:
    """Send an operator's command to the control nodes in random order.

    Returns:
        The answer of the first node that is not a follower; None if no node
        gave one.
    """
    body = orjson.dumps({"command": command})
    headers = {"Host": "soak", "Content-Length": str(len(body))}
    for address in rng.sample(admins, len(admins)):
        try:
            async with asyncio.timeout(OPERATOR_S):
                stream = await connect(*address, CONNECT_S)
                reply = await stream.send("POST", "/v1/command", headers, body)
                stream.close()
        except (ConnectionLostError, ProtocolError, TimeoutError):
            continue
        if reply.status != LEADER_MOVED:
            return orjson.loads(reply.body)
    return None


async def take_out(
    seen: Observed,
    admins: list[tuple[str, int]],
    zone: str,
    pause_s: float,
    rng: random.Random,
) -> None:
    """Evacuate a zone, read the revision, and put the zone back in.

    The zone stays out longer than the time allowed for its evacuation, so that
    work that starts too late is recorded.

    Args:
        seen: History that receives the accepted changes and the evacuation.
        admins: Administration addresses of the control nodes.
        zone: Name of the zone.
        pause_s: Time that the zone stays out beyond the allowed time, seconds.
        rng: Chooses the control nodes.
    """
    answer = await _order(admins, f"zone {zone} out", rng)
    accepted_at = time.monotonic()
    if answer is not None and answer.get("accepted"):
        seen.accepted.append(Reading(accepted_at, answer["revision"]))
        await read(seen, admins, rng)
        await asyncio.sleep(5.0 + pause_s)
        back_at = time.monotonic()
        out = ZoneOut(zone, accepted_at, back_at, answer["revision"])
        seen.zones_out.append(out)
    # A command without a clear answer may have been applied, so the zone is
    # put back in whatever the answer was.
    while True:
        answer = await _order(admins, f"zone {zone} in", rng)
        if answer is not None and (answer.get("accepted") or "rows" in answer):
            revision = answer["revision"]
            seen.accepted.append(Reading(time.monotonic(), revision))
            return
        if answer is not None and answer.get("error") != "NoLeaderError":
            return
        await asyncio.sleep(RESEND_S)


async def read(
    seen: Observed, admins: list[tuple[str, int]], rng: random.Random
) -> None:
    """Read the configuration revision from a control node and record it."""
    asked_at = time.monotonic()
    answer = await _order(admins, "show zones", rng)
    if answer is not None and "rows" in answer:
        seen.readings.append(Reading(asked_at, answer["revision"]))
