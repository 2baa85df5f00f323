"""Clients of a soak run: callers of the entries and operators of control."""

import asyncio
import itertools
import random
import time
from typing import Any

import orjson

from berylspool.connection.http import HttpConnection, open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from soak.history import (
    CommandSend,
    Evacuation,
    Exchange,
    RunHistory,
    TimedRevision,
)

__all__ = ["evacuate_zone", "read_revision", "send_commands", "send_queries"]

DEADLINE_MS = 1500
# An answer may arrive at the deadline; the margin covers its transmission.
ANSWER_TIMEOUT_S = DEADLINE_MS / 1000 + 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_COMMAND_SENDS = 4
RESEND_DELAY_S = 0.3
# One control node has a fault at a time, for 3 s at most; elections take less.
CHANGE_TIMEOUT_S = 20.0
OPERATOR_TIMEOUT_S = 3.0
# Status of a control node that is not the leader.
NOT_LEADER_STATUS = 421
REQUEST_NUMBERS = itertools.count()


class Caller:
    """Sends requests on one connection, until the entry closes it.

    The next connection goes to an entry chosen at random.

    Args:
        address_by_entry: IP address and port of each entry.
    """

    def __init__(self, address_by_entry: dict[str, tuple[str, int]]) -> None:
        self._address_by_entry = address_by_entry
        self._entry = ""
        self._connection: HttpConnection | None = None

    async def send(
        self,
        rng: random.Random,
        path: str,
        body: dict[str, Any],
        correlation_id: str,
    ) -> Exchange:
        """Send one request, on the open connection if there is one.

        Args:
            rng: Chooses the entry of a new connection.
            path: Path of the request.
            body: Body to encode as JSON.
            correlation_id: Unique text in the body.

        Returns:
            The request and its result.
        """
        started_at = time.monotonic()
        if self._connection is None:
            self._entry = rng.choice(list(self._address_by_entry))
            try:
                address = self._address_by_entry[self._entry]
                self._connection = await open_http_connection(
                    *address, CONNECT_TIMEOUT_S
                )
            except ConnectionLostError:
                return self._make_exchange(
                    "", correlation_id, started_at, "no_connection"
                )
        content = orjson.dumps(body)
        headers = {"Host": "soak", "Content-Length": str(len(content))}
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await self._connection.send(
                    "POST", path, headers, content
                )
        except (ConnectionLostError, ProtocolError):
            self._close_connection()
            return self._make_exchange("", correlation_id, sent_at, "cut")
        except TimeoutError:
            self._close_connection()
            return self._make_exchange("", correlation_id, sent_at, "late")
        if response.headers.get("Connection", "").lower() == "close":
            self._close_connection()
        answer = orjson.loads(response.body)
        outcome = "answered" if response.status == 200 else answer["outcome"]
        request_id = answer.get("request_id", "")
        return self._make_exchange(
            request_id, correlation_id, sent_at, outcome, answer
        )

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _make_exchange(
        self,
        request_id: str,
        correlation_id: str,
        sent_at: float,
        outcome: str,
        answer: dict[str, Any] | None = None,
    ) -> Exchange:
        now = time.monotonic()
        return Exchange(
            request_id,
            correlation_id,
            self._entry,
            sent_at,
            now,
            outcome,
            answer or {},
        )


async def send_queries(
    history: RunHistory,
    address_by_entry: dict[str, tuple[str, int]],
    route: str,
    rng: random.Random,
    end_at: float,
) -> None:
    """Send queries one after the other.

    Args:
        history: History that receives each query and its result.
        address_by_entry: IP address and port of each entry.
        route: Route of the queries.
        rng: Chooses entries, coverage and pauses.
        end_at: Time of the last start, monotonic seconds.
    """
    caller = Caller(address_by_entry)
    while time.monotonic() < end_at:
        correlation_id = f"q{next(REQUEST_NUMBERS)}"
        body = {
            "route": route,
            "query": {"mark": correlation_id},
            "deadline_ms": DEADLINE_MS,
            "min_coverage": rng.choice((0.0, 0.5, 1.0)),
        }
        history.queries.append(
            await caller.send(rng, "/v1/query", body, correlation_id)
        )
        await asyncio.sleep(rng.expovariate(20.0))


async def send_commands(
    history: RunHistory,
    address_by_entry: dict[str, tuple[str, int]],
    route: str,
    rng: random.Random,
    end_at: float,
) -> None:
    """Send commands one after the other, and resend each until it is answered.

    A command is sent with the same key each time, a limited number of times.

    Args:
        history: History that receives each send and its result.
        address_by_entry: IP address and port of each entry.
        route: Route of the commands.
        rng: Chooses entries and pauses.
        end_at: Time of the last start, monotonic seconds.
    """
    caller = Caller(address_by_entry)
    while time.monotonic() < end_at:
        correlation_id = f"c{next(REQUEST_NUMBERS)}"
        body = {
            "route": route,
            "query": {"mark": correlation_id},
            "deadline_ms": DEADLINE_MS,
            "key": correlation_id,
        }
        for _ in range(MAX_COMMAND_SENDS):
            exchange = await caller.send(
                rng, "/v1/command", body, correlation_id
            )
            history.commands.append(CommandSend(exchange))
            if exchange.outcome == "answered":
                break
            await asyncio.sleep(RESEND_DELAY_S)
        await asyncio.sleep(rng.expovariate(10.0))


async def _send_operator_command(
    admin_addresses: list[tuple[str, int]], command: str, rng: random.Random
) -> dict[str, Any] | None:
    """Send an operator's command to the control nodes in random order.

    Returns:
        The answer of the first node that is not a follower; None if no node
        gave one.
    """
    body = orjson.dumps({"command": command})
    headers = {"Host": "soak", "Content-Length": str(len(body))}
    for address in rng.sample(admin_addresses, len(admin_addresses)):
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                connection = await open_http_connection(
                    *address, CONNECT_TIMEOUT_S
                )
                response = await connection.send(
                    "POST", "/v1/command", headers, body
                )
                connection.close()
        except (ConnectionLostError, ProtocolError, TimeoutError):
            continue
        if response.status != NOT_LEADER_STATUS:
            return orjson.loads(response.body)
    return None


async def evacuate_zone(
    history: RunHistory,
    admin_addresses: list[tuple[str, int]],
    zone: str,
    extra_s: float,
    rng: random.Random,
) -> None:
    """Evacuate a zone, read the revision, and return the zone to service.

    The zone stays out longer than the time allowed for its evacuation, so that
    work that starts too late is recorded.

    Args:
        history: History that receives the accepted changes and the evacuation.
        admin_addresses: Administration addresses of the control nodes.
        zone: Name of the zone.
        extra_s: Time that the zone stays out beyond the allowed time, seconds.
        rng: Chooses the control nodes.
    """
    answer = await _send_operator_command(
        admin_addresses, f"zone {zone} out", rng
    )
    accepted_at = time.monotonic()
    if answer is not None and answer.get("accepted"):
        history.accepted_revisions.append(
            TimedRevision(accepted_at, answer["revision"])
        )
        await read_revision(history, admin_addresses, rng)
        await asyncio.sleep(5.0 + extra_s)
        restored_at = time.monotonic()
        evacuation = Evacuation(
            zone, accepted_at, restored_at, answer["revision"]
        )
        history.evacuations.append(evacuation)
    # A command without a clear answer may have been applied, so the zone is
    # returned to service whatever the answer was.
    give_up_at = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < give_up_at:
        answer = await _send_operator_command(
            admin_addresses, f"zone {zone} in", rng
        )
        if answer is not None and (answer.get("accepted") or "rows" in answer):
            revision = answer["revision"]
            history.accepted_revisions.append(
                TimedRevision(time.monotonic(), revision)
            )
            return
        if answer is not None and answer.get("error") != "NoLeaderError":
            return
        await asyncio.sleep(RESEND_DELAY_S)
    history.stuck_changes.append(f"zone {zone} in")


async def read_revision(
    history: RunHistory,
    admin_addresses: list[tuple[str, int]],
    rng: random.Random,
) -> None:
    """Read the configuration revision from a control node and record it."""
    sent_at = time.monotonic()
    answer = await _send_operator_command(admin_addresses, "show zones", rng)
    if answer is not None and "rows" in answer:
        history.read_revisions.append(
            TimedRevision(sent_at, answer["revision"])
        )
