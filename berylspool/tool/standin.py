"""Stand-in upstreams for experiments, with the API of docs/UPSTREAM.md."""

import asyncio
import hashlib
import os
import random
import signal
import socket
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

import orjson
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from berylspool.connection import wire
from berylspool.process.settings import StandinSettings
from berylspool.version.configuration import Configuration, Limits, Upstream

__all__ = ["Standin", "standins_of"]

CRASH_MARK = b'"crash"'
RESTART_S = 0.3
STATUS_TEXT = {
    200: "OK",
    204: "No Content",
    404: "Not Found",
    409: "Conflict",
    499: "Cancelled",
    500: "Error",
    503: "Unavailable",
    504: "Timeout",
}


@dataclass(slots=True)
class Fault:
    """Faults that an experiment can inject at run time.

    The attributes are the JSON keys of a request to `/standin/fault`.

    Attributes:
        fail_share: Share of parts that fail with status 500.
        slow_factor: Factor by which the service time is multiplied.
        thin_share: Share of answers that lack their last row.
        is_silent: Whether requests are read and never answered.
        is_draining: Whether new parts are refused.
        lies: Whether health and load falsely report a serving, idle
            upstream.
        only_route_mark: Text that a request body must contain for the faults
            to apply.
    """

    fail_share: float = 0.0
    slow_factor: float = 1.0
    thin_share: float = 0.0
    is_silent: bool = False
    is_draining: bool = False
    lies: bool = False
    only_route_mark: str = ""


@dataclass(frozen=True, slots=True)
class Running:
    """A part that is being served, and the timer of its end."""

    request: HTTPServerRequest
    timer: asyncio.TimerHandle


@dataclass(slots=True)
class Standin:
    """One upstream that answers parts after a random service time.

    Attributes:
        upstream: Its address, zone and version.
        service: Service that it belongs to.
        limits: Maximum numbers of connections and of concurrent parts.
        settings: Service times and other behaviour.
        record: Receives a record of each event of a part, for checkers.
        clock: Monotonic time in seconds.
        fault: Faults that are injected now.
        instance: Id of the instance; each start has a new one.
        in_flight: Number of parts being served.
        running: Parts being served, by attempt id.
        first_answer_at: Time of the first answer since the start, or None;
            the capacity grows from then on.
        server: Server that listens now, or None after a crash.
        streams: Open streams of callers.
        rng: Random numbers, seeded by the upstream's id.
        most_over: Largest excess of concurrent parts over the capacity.
    """

    upstream: Upstream
    service: str
    limits: Limits
    settings: StandinSettings
    record: Callable[[dict[str, Any]], None]
    clock: Callable[[], float]
    fault: Fault = field(default_factory=Fault)
    instance: str = ""
    in_flight: int = 0
    running: dict[str, Running] = field(default_factory=dict)
    first_answer_at: float | None = None
    server: HTTPServer | None = None
    streams: WeakSet[Any] = field(default_factory=WeakSet)
    rng: random.Random = field(default_factory=random.Random)
    most_over: int = 0

    def start(self) -> None:
        """Start listening as a new, cold instance."""
        seed = f"{self.settings.seed}:{self.upstream.id}".encode()
        digest = hashlib.sha256(seed).digest()
        self.rng = random.Random(int.from_bytes(digest[:8], "big"))
        self.instance = uuid.uuid4().hex[:12]
        self.first_answer_at = None
        self.in_flight = 0
        self.server = HTTPServer(self._handle)
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((self.upstream.host, self.upstream.port))
        listening.listen(512)
        listening.setblocking(False)
        self.server.add_socket(listening)

    def bears(self) -> int:
        """Return the number of parts that it can serve concurrently now."""
        if self.first_answer_at is None:
            return self.limits.cold_slots
        share = (self.clock() - self.first_answer_at) / max(
            self.limits.ramp_s, 1e-9
        )
        gained = int(share * (self.limits.slots - self.limits.cold_slots))
        return min(self.limits.slots, self.limits.cold_slots + gained)

    def crash(self) -> None:
        """Drop every connection, and restart cold after `RESTART_S`."""
        server, self.server = self.server, None
        if server is None:
            return
        self._note("crash", "", 0)
        server.stop()
        for running in self.running.values():
            running.timer.cancel()
        self.running.clear()
        for stream in list(self.streams):
            stream.close()
        self.streams.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.start)

    def _note(self, event: str, attempt: str, extra: int, **more: Any) -> None:
        self.record(
            {
                "at": self.clock(),
                "event": event,
                "upstream": self.upstream.id,
                "instance": self.instance,
                "attempt": attempt,
                "in_flight": self.in_flight,
                "bears": self.bears(),
                "value": extra,
                **more,
            }
        )

    def _handle(self, request: HTTPServerRequest) -> None:
        stream = request.connection.stream  # type: ignore[union-attr]
        if stream in self.streams or stream.closed():
            self._dispatch(request)
            return
        self.streams.add(stream)
        live = sum(not known.closed() for known in self.streams)
        if live > self.limits.connections:
            self._note("too_many_connections", "", live)
            stream.close()
            return
        pause_s = self.settings.connect_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self._dispatch, request)

    def _dispatch(self, request: HTTPServerRequest) -> None:
        match request.path:
            case wire.HEALTH_PATH:
                self._health(request)
            case wire.CANCEL_PATH:
                self._cancel(request.headers.get(wire.ATTEMPT_ID, ""))
                self._respond(request, 204, {}, b"")
            case wire.PART_PATH:
                self._part(request)
            case "/standin/fault":
                self._set_fault(request)
            case _:
                self._respond(request, 404, {}, b"")

    def _set_fault(self, request: HTTPServerRequest) -> None:
        changes = orjson.loads(request.body)
        if changes.pop("crash", False):
            self.crash()
            return
        for name, value in changes.items():
            setattr(self.fault, name, value)
        self._respond(request, 204, {}, b"")

    def _health(self, request: HTTPServerRequest) -> None:
        state = "draining" if self.fault.is_draining else "serving"
        if self.fault.lies:
            state = "serving"
        body = orjson.dumps({"state": state, "version": self.upstream.version})
        self._respond(request, 200, {}, body)

    def _part(self, request: HTTPServerRequest) -> None:
        name = request.headers.get(wire.ATTEMPT_ID, "")
        if CRASH_MARK in request.body:
            self._note("query_of_death", name, 0)
            self.crash()
            return
        refusal = self._refusal(request)
        if refusal is not None:
            status, reason = refusal
            headers = {wire.NOT_RUN: "true", wire.REASON: reason}
            self._note("refused", name, status)
            self._respond(request, status, headers, b"{}")
            return
        self.in_flight += 1
        if self.in_flight > self.bears():
            over = self.in_flight - self.bears()
            self.most_over = max(self.most_over, over)
            self._note("overrun", name, over)
            is_cold = self.bears() < self.limits.slots
            if self.settings.falls_over and is_cold:
                self.crash()
                return
        self._run(request, name)

    def _refusal(self, request: HTTPServerRequest) -> tuple[int, str] | None:
        if self.fault.is_draining:
            return 503, "draining"
        version = request.headers.get(wire.INDEX_VERSION)
        if version != self.upstream.version:
            return 409, "wrong-version"
        if self.in_flight >= self.limits.slots:
            return 503, "shed"
        return None

    def _service_s(self) -> float:
        settings = self.settings
        if self.rng.random() < settings.straggler_share:
            return settings.straggler_ms / 1000
        factor = self.rng.lognormvariate(0.0, settings.spread)
        return settings.service_ms / 1000 * factor

    def _run(self, request: HTTPServerRequest, name: str) -> None:
        shows = self.fault.only_route_mark.encode() in request.body
        service_s = self._service_s()
        if shows:
            service_s *= self.fault.slow_factor
        self._note(
            "run",
            name,
            0,
            idempotent=request.headers.get(wire.IDEMPOTENT),
            body=request.body.decode(errors="replace"),
        )
        timer = asyncio.get_running_loop().call_later(
            service_s, self._end, request, name, 200
        )
        self.running[name] = Running(request, timer)

    def _cancel(self, name: str) -> None:
        running = self.running.get(name)
        if running is not None:
            running.timer.cancel()
            self._end(running.request, name, 499)

    def _end(self, request: HTTPServerRequest, name: str, status: int) -> None:
        """Answer a part, unless a fault suppresses the answer."""
        del self.running[name]
        self.in_flight -= 1
        shows = self.fault.only_route_mark.encode() in request.body
        if shows and self.fault.is_silent:
            return
        is_failing = shows and self.rng.random() < self.fault.fail_share
        if status == 200 and is_failing:
            status = 500
        if status == 200 and self.first_answer_at is None:
            self.first_answer_at = self.clock()
        self._note("answered", name, status)
        headers, body = self._rows(request, shows)
        self._respond(request, status, headers, body)

    def _rows(
        self, request: HTTPServerRequest, shows: bool
    ) -> tuple[dict[str, str], bytes]:
        shard = request.headers.get(wire.SHARD, "0")
        rows = [
            {
                "shard": int(shard),
                "row": row,
                "version": self.upstream.version,
                "request": request.headers.get(wire.REQUEST_ID, ""),
            }
            for row in range(self.settings.rows)
        ]
        headers = {
            wire.INDEX_VERSION: self.upstream.version,
            wire.PARTITION_REVISION: request.headers[wire.PARTITION_REVISION],
            wire.ROW_COUNT: str(len(rows)),
        }
        if shows and rows and self.rng.random() < self.fault.thin_share:
            rows.pop()
        return headers, orjson.dumps({"rows": rows})

    def _respond(
        self,
        request: HTTPServerRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        connection = request.connection
        if connection is None:
            return
        load = 0.0 if self.fault.lies else self.in_flight / self.limits.slots
        sent = HTTPHeaders(
            {
                "Content-Type": "application/json",
                wire.INSTANCE_ID: self.instance,
                wire.LOAD: f"{load:.2f}",
                wire.ATTEMPT_ID: request.headers.get(wire.ATTEMPT_ID, ""),
                **headers,
            }
        )
        if status != 204:
            sent["Content-Length"] = str(len(body))
        start = ResponseStartLine("HTTP/1.1", status, STATUS_TEXT[status])
        future = connection.write_headers(start, sent, body)
        future.add_done_callback(lambda done: done.exception())
        connection.finish()


def standins_of(
    configuration: Configuration,
    settings: StandinSettings,
    clock: Callable[[], float],
    record: Callable[[dict[str, Any]], None],
) -> list[Standin]:
    """Return a stand-in for each upstream of a configuration."""
    return [
        Standin(upstream, service.name, service.limits, settings, record, clock)
        for service in configuration.service_by_name.values()
        for upstream in service.upstream_by_id.values()
    ]


async def serve(standins: list[Standin]) -> None:
    """Run stand-ins until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    for standin in standins:
        standin.start()
    await stopping.wait()


def recorder(path: str) -> Callable[[dict[str, Any]], None]:
    """Return a function that appends records to a file.

    Args:
        path: File to append to; if empty, records are discarded.
    """
    if not path:
        return lambda record: None
    file = open(path, "ab", buffering=0)  # noqa: SIM115

    def write(record: dict[str, Any]) -> None:
        os.write(file.fileno(), orjson.dumps(record) + b"\n")

    return write
