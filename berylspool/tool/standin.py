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

from berylspool.connection import upstream_codec
from berylspool.process.settings import StandinSettings
from berylspool.tool.standin_fault import Fault
from berylspool.version.configuration import Configuration, Limits, Upstream

__all__ = ["Standin", "make_standins"]

CRASH_MARKER = b'"crash"'
RESTART_DELAY_S = 0.3
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


@dataclass(frozen=True, slots=True)
class RunningPart:
    """A part that is being served, and the timer that finishes it."""

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
        record: Receives a record of each event, for checkers.
        clock: Monotonic time in seconds.
        fault: Faults that are injected now.
        instance: Id of the instance; each start has a new one.
        in_flight: Number of parts being served.
        running: Parts being served, by attempt id.
        first_answer_at: Time of the first answer since the start, or None;
            the capacity grows from then on.
        server: Server that listens now, or None after a crash.
        streams: Open connections from entries.
        rng: Random numbers, seeded by the upstream's id.
        max_overrun: Largest excess of concurrent parts over the capacity.
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
    running: dict[str, RunningPart] = field(default_factory=dict)
    first_answer_at: float | None = None
    server: HTTPServer | None = None
    streams: WeakSet[Any] = field(default_factory=WeakSet)
    rng: random.Random = field(default_factory=random.Random)
    max_overrun: int = 0

    def start(self) -> None:
        """Start listening as a new, cold instance."""
        seed = f"{self.settings.seed}:{self.upstream.id}".encode()
        digest = hashlib.sha256(seed).digest()
        self.rng = random.Random(int.from_bytes(digest[:8], "big"))
        self.instance = uuid.uuid4().hex[:12]
        self.fault.is_leaving = False
        self.fault.pause_until = float("-inf")
        self.first_answer_at = None
        self.in_flight = 0
        self.server = HTTPServer(self._accept_request)
        listening_socket = socket.socket()
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((self.upstream.host, self.upstream.port))
        listening_socket.listen(512)
        listening_socket.setblocking(False)
        self.server.add_socket(listening_socket)

    def capacity(self) -> int:
        """Return the number of parts that it can serve concurrently now."""
        if self.first_answer_at is None:
            return self.limits.cold_slots
        elapsed_share = (self.clock() - self.first_answer_at) / max(
            self.limits.ramp_s, 1e-9
        )
        gained_slots = int(
            elapsed_share * (self.limits.slots - self.limits.cold_slots)
        )
        return min(self.limits.slots, self.limits.cold_slots + gained_slots)

    def crash(self) -> None:
        """Drop every connection, and restart cold after `RESTART_DELAY_S`."""
        server, self.server = self.server, None
        if server is None:
            return
        self._record_event("crash", "", 0)
        server.stop()
        for running in self.running.values():
            running.timer.cancel()
        self.running.clear()
        for stream in list(self.streams):
            stream.close()
        self.streams.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_DELAY_S, self.start)

    def _record_event(
        self, event: str, attempt: str, value: int, **fields: Any
    ) -> None:
        self.record(
            {
                "at": self.clock(),
                "event": event,
                "upstream": self.upstream.id,
                "instance": self.instance,
                "attempt": attempt,
                "in_flight": self.in_flight,
                "bears": self.capacity(),
                "value": value,
                **fields,
            }
        )

    def _accept_request(self, request: HTTPServerRequest) -> None:
        stream = request.connection.stream  # type: ignore[union-attr]
        if stream in self.streams or stream.closed():
            self._dispatch(request)
            return
        self.streams.add(stream)
        open_count = sum(not s.closed() for s in self.streams)
        if open_count > self.limits.connections:
            self._record_event("too_many_connections", "", open_count)
            stream.close()
            return
        connect_delay_s = self.settings.connect_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(connect_delay_s, self._dispatch, request)

    def _dispatch(self, request: HTTPServerRequest) -> None:
        match request.path:
            case upstream_codec.HEALTH_PATH:
                self._answer_health(request)
            case upstream_codec.CANCEL_PATH:
                self._cancel_part(
                    request.headers.get(upstream_codec.ATTEMPT_ID, "")
                )
                self._respond(request, 204, {}, b"")
            case upstream_codec.PART_PATH:
                self._receive_part(request)
            case "/standin/fault":
                self._set_fault(request)
            case _:
                self._respond(request, 404, {}, b"")

    def _set_fault(self, request: HTTPServerRequest) -> None:
        changes = orjson.loads(request.body)
        if changes.pop("crash", False):
            self.crash()
            return
        pause_s = changes.pop("pause_s", None)
        if pause_s is not None:
            self.fault.pause_until = self.clock() + pause_s
        for name, value in changes.items():
            setattr(self.fault, name, value)
        self._respond(request, 204, {}, b"")

    def _answer_health(self, request: HTTPServerRequest) -> None:
        state = "draining" if self.fault.is_draining else "serving"
        if self.fault.lies:
            state = "serving"
        body = orjson.dumps({"state": state, "version": self.upstream.version})
        self._respond(request, 200, {}, body)

    def _receive_part(self, request: HTTPServerRequest) -> None:
        attempt_id = request.headers.get(upstream_codec.ATTEMPT_ID, "")
        if CRASH_MARKER in request.body:
            self._record_event("query_of_death", attempt_id, 0)
            self.crash()
            return
        refusal = self._find_refusal(request)
        if refusal is not None:
            status, reason = refusal
            headers = {
                upstream_codec.NOT_RUN: "true",
                upstream_codec.REASON: reason,
            }
            pause_s = self.fault.pause_until - self.clock()
            if pause_s > 0.0:
                headers[upstream_codec.PAUSE] = f"{pause_s:.3f}"
                self._record_event("paused", attempt_id, 0, pause_s=pause_s)
            self._record_event("refused", attempt_id, status)
            self._respond(request, status, headers, b"{}")
            return
        self.in_flight += 1
        if self.in_flight > self.capacity():
            overrun = self.in_flight - self.capacity()
            self.max_overrun = max(self.max_overrun, overrun)
            self._record_event("overrun", attempt_id, overrun)
            is_cold = self.capacity() < self.limits.slots
            if self.settings.falls_over and is_cold:
                self.crash()
                return
        self._start_part(request, attempt_id)

    def _find_refusal(
        self, request: HTTPServerRequest
    ) -> tuple[int, str] | None:
        if self.fault.is_draining:
            return 503, "draining"
        version = request.headers.get(upstream_codec.INDEX_VERSION)
        if version != self.upstream.version:
            return 409, "wrong-version"
        is_paused = self.clock() < self.fault.pause_until
        if is_paused or self.in_flight >= self.limits.slots:
            return 503, "shed"
        return None

    def _draw_service_s(self) -> float:
        settings = self.settings
        if self.rng.random() < settings.straggler_share:
            return settings.straggler_ms / 1000
        factor = self.rng.lognormvariate(0.0, settings.spread)
        return settings.service_ms / 1000 * factor

    def _start_part(self, request: HTTPServerRequest, attempt_id: str) -> None:
        is_affected = self.fault.only_route_mark.encode() in request.body
        service_s = self._draw_service_s()
        if is_affected:
            service_s *= self.fault.slow_factor
        self._record_event(
            "run",
            attempt_id,
            0,
            idempotent=request.headers.get(upstream_codec.IDEMPOTENT),
            body=request.body.decode(errors="replace"),
        )
        timer = asyncio.get_running_loop().call_later(
            service_s, self._finish_part, request, attempt_id, 200
        )
        self.running[attempt_id] = RunningPart(request, timer)

    def _cancel_part(self, attempt_id: str) -> None:
        running = self.running.get(attempt_id)
        if running is not None:
            running.timer.cancel()
            self._finish_part(running.request, attempt_id, 499)

    def _finish_part(
        self, request: HTTPServerRequest, attempt_id: str, status: int
    ) -> None:
        """Answer a part, unless a fault suppresses the answer."""
        del self.running[attempt_id]
        self.in_flight -= 1
        is_affected = self.fault.only_route_mark.encode() in request.body
        if is_affected and self.fault.is_silent:
            return
        is_failing = is_affected and self.rng.random() < self.fault.fail_share
        if status == 200 and is_failing:
            status = 500
        if status == 200 and self.first_answer_at is None:
            self.first_answer_at = self.clock()
        is_leaving = self.fault.is_leaving
        self._record_event("answered", attempt_id, status, leaves=is_leaving)
        headers, body = self._encode_rows(request, is_affected)
        self._respond(request, status, headers, body)

    def _encode_rows(
        self, request: HTTPServerRequest, is_affected: bool
    ) -> tuple[dict[str, str], bytes]:
        shard = request.headers.get(upstream_codec.SHARD, "0")
        rows = [
            {
                "shard": int(shard),
                "row": row,
                "version": self.upstream.version,
                "request": request.headers.get(upstream_codec.REQUEST_ID, ""),
            }
            for row in range(self.settings.rows)
        ]
        headers = {
            upstream_codec.INDEX_VERSION: self.upstream.version,
            upstream_codec.PARTITION_REVISION: request.headers[
                upstream_codec.PARTITION_REVISION
            ],
            upstream_codec.ROW_COUNT: str(len(rows)),
        }
        if is_affected and rows and self.rng.random() < self.fault.thin_share:
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
        response_headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                upstream_codec.INSTANCE_ID: self.instance,
                upstream_codec.LOAD: f"{load:.2f}",
                upstream_codec.ATTEMPT_ID: request.headers.get(
                    upstream_codec.ATTEMPT_ID, ""
                ),
                **headers,
            }
        )
        if self.fault.is_leaving:
            response_headers[upstream_codec.LEAVING] = "true"
        if status != 204:
            response_headers["Content-Length"] = str(len(body))
        start_line = ResponseStartLine("HTTP/1.1", status, STATUS_TEXT[status])
        future = connection.write_headers(start_line, response_headers, body)
        future.add_done_callback(lambda done: done.exception())
        connection.finish()


def make_standins(
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


async def run_standins(standins: list[Standin]) -> None:
    """Run stand-ins until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    for standin in standins:
        standin.start()
    await stop_requested.wait()


def open_recorder(path: str) -> Callable[[dict[str, Any]], None]:
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
