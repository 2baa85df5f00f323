"""HTTP connections to the platform's upstreams."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from berylspool.common.mailbox import Mailbox
from berylspool.platform import headers
from berylspool.request.query import (
    Part,
    Reason,
    Snapshot,
    UpstreamResponse,
)
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    AttemptAnswered,
    CancelAttempt,
    ConnectionClosed,
    ConnectionOpened,
    ErrorReply,
    NotRunReply,
    PoolEvent,
    ReportedLoad,
    RowsReply,
    SendAttempt,
    StopTask,
    UpstreamReply,
)
from berylspool.version.pool.task import ConnectionTask

__all__ = ["PlatformTransport", "Response", "decode_response", "encode_request"]

CONNECT_TIMEOUT_S = 1.0
# An upstream stops at the deadline that it was given; this covers the time that
# its response spends on the network.
ANSWER_GRACE_S = 0.25
# Idle connections are closed a little before the upstream would close them, so
# that no request is sent while the upstream closes.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 60.0
RECORD_BYTES = 16
STATUS_MISDIRECTED = 421
STATUS_TOO_MANY_REQUESTS = 429
STATUSES_WITHOUT_BODY = frozenset({204, 304})
MS_PER_S = 1000.0


@dataclass(slots=True)
class Response:
    """An HTTP response while it is received.

    Attributes:
        status: HTTP status; 0 until it is known.
        headers: Headers in the order received.
        value_by_name: Last value of each header, by lower-case name.
        chunks: Chunks of the body received so far.
    """

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    value_by_name: dict[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self.value_by_name.get(name.lower(), "")

    @property
    def has_length(self) -> bool:
        """Whether the response itself marks the end of its body."""
        return (
            "content-length" in self.value_by_name
            or "transfer-encoding" in self.value_by_name
            or self.status in STATUSES_WITHOUT_BODY
        )


def encode_request(part: Part, upstream: Upstream, timeout_s: float) -> bytes:
    """Encode one copy of a forwarded part as an HTTP request.

    Args:
        part: Part to send; it holds the caller's request.
        upstream: Upstream to send it to; any other instance at the same
            address refuses it.
        timeout_s: Time left for the part, in seconds.

    Returns:
        The whole HTTP request.
    """
    forward = part.forward
    assert forward is not None
    lines = [f"{forward.method} {forward.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in forward.headers]
    lines += [
        f"{headers.REQUEST_DEADLINE}: {max(1, int(timeout_s * MS_PER_S))}",
        f"{headers.EXPECT_INSTANCE}: {upstream.id}",
    ]
    if forward.body or forward.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(forward.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + forward.body


def decode_response(part: Part, response: Response) -> UpstreamReply:
    """Decode a whole response to a copy of a part.

    A response counts as an answer only if the upstream has signed it; a
    refusal counts as not run only if the upstream says so.

    Args:
        part: Part that was sent.
        response: The whole response.

    Returns:
        An answer, a refusal without any work done, or an error.
    """
    status, stamp = response.status, response.get(headers.RESPONSE_STAMP)
    body = b"".join(response.chunks)
    if status == STATUS_MISDIRECTED:
        return NotRunReply(Reason.NO_UPSTREAM)
    if response.get(headers.NOT_EXECUTED):
        return NotRunReply(Reason.OVERLOAD)
    if not 200 <= status < 300:
        return ErrorReply(
            Reason.UPSTREAM_ERROR, _to_upstream_response(response, body)
        )
    if not stamp:
        return ErrorReply(Reason.TRUNCATED)
    if response.get("content-encoding"):
        return ErrorReply(Reason.TRUNCATED)
    snapshot: Snapshot = part.snapshot
    if part.forward is None or not part.forward.is_part:
        return RowsReply(
            snapshot, (_to_upstream_response(response, body),), stamp
        )
    records_end = len(body) - len(body) % RECORD_BYTES
    records = tuple(
        body[start : start + RECORD_BYTES]
        for start in range(0, records_end, RECORD_BYTES)
    )
    return RowsReply(snapshot, records, stamp)


def _to_upstream_response(response: Response, body: bytes) -> UpstreamResponse:
    """Return a response with only its end-to-end headers."""
    end_to_end_headers = headers.select_end_to_end(response.headers)
    return UpstreamResponse(response.status, end_to_end_headers, body)


def _decode_load(response: Response) -> ReportedLoad | None:
    """Return the load that a response reports, or None if it has none."""
    text = response.get(headers.SERVER_LOAD)
    if not text:
        return None
    try:
        running, waiting, slots = (int(number) for number in text.split(","))
    except ValueError:
        # The load is only a hint; without it, the pool uses its own counts.
        return None
    return ReportedLoad(running, waiting, slots)


class _HttpProtocol(asyncio.Protocol):
    """Parses the bytes of one connection and reports each whole response."""

    def __init__(self, connection: "PlatformConnection") -> None:
        self._connection = connection
        self._parser = httptools.HttpResponseParser(self)
        self._response = Response()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self._connection.is_idle:
            # No request is pending, so these bytes answer none.
            self._connection.stop()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self._connection.stop()

    def eof_received(self) -> bool:
        response = self._response
        if self._connection.is_idle:
            # The upstream's idle timeout, which does not indicate a failure.
            self._connection.stop_planned()
        elif response.status and not response.has_length:
            self._connection.report_response(response)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._connection.stop()

    def on_message_begin(self) -> None:
        self._response = Response()

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode("latin-1"), value.decode("latin-1")
        self._response.headers.append((key, text))
        self._response.value_by_name[key.lower()] = text

    def on_headers_complete(self) -> None:
        self._response.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        self._response.chunks.append(chunk)

    def on_message_complete(self) -> None:
        response, self._response = self._response, Response()
        if response.status >= 200:
            self._connection.report_response(response)


class PlatformConnection:
    """Task that owns one keep-alive connection, with one copy at a time.

    Args:
        connection_id: Id of the connection in its pool.
        upstream: Upstream to connect to.
        pool: Inbox of the pool.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        connection_id: int,
        upstream: Upstream,
        pool: Mailbox[PoolEvent],
        clock: Callable[[], float],
    ) -> None:
        self.inbox: Mailbox[SendAttempt | StopTask] = Mailbox()
        self._id = connection_id
        self._upstream = upstream
        self._pool = pool
        self._clock = clock
        self._pending: SendAttempt | None = None
        self._is_close_planned = False
        self._has_stale_response = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._protocol = _HttpProtocol(self)

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending on the connection."""
        return self._pending is None

    async def run(self) -> None:
        """Open the connection and serve the inbox until it closes."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self._protocol,
                    self._upstream.host,
                    self._upstream.port,
                )
            self._pool.put(
                ConnectionOpened(self._id, self._upstream.id, self._upstream.id)
            )
            await self._serve()
        except (OSError, TimeoutError):
            # `ConnectionClosed` below notifies the pool, which reconnects.
            pass
        finally:
            if self._protocol.transport is not None:
                self._protocol.transport.abort()
            self._pool.put(
                ConnectionClosed(
                    self._id,
                    self._upstream.id,
                    is_planned=self._is_close_planned and self._pending is None,
                )
            )

    async def _serve(self) -> None:
        close_at = self._clock() + self._idle_timeout_s
        while True:
            messages = await self.inbox.take(max(0.0, close_at - self._clock()))
            for message in messages:
                match message:
                    case StopTask():
                        return
                    case SendAttempt():
                        self._write(message)
                        close_at = (
                            self._clock() + message.timeout_s + ANSWER_GRACE_S
                        )
            if self._pending is None:
                close_at = (
                    self._idle_since + self._idle_timeout_s - IDLE_MARGIN_S
                )
            if self._clock() >= close_at:
                self._is_close_planned = self._pending is None
                return

    _idle_since = 0.0

    def _write(self, message: SendAttempt) -> None:
        self._pending = message
        assert self._protocol.transport is not None
        self._protocol.transport.write(
            encode_request(message.part, self._upstream, message.timeout_s)
        )

    def report_response(self, response: Response) -> None:
        """Report a whole response to the pool."""
        pending = self._pending
        if pending is None:
            self.stop()
            return
        forward = pending.part.forward
        echoed_id = response.get(headers.REQUEST_ID)
        if forward is not None and echoed_id:
            sent_id = _header_value(forward.headers, headers.REQUEST_ID)
            if echoed_id != sent_id:
                # A response to an earlier request; the pending one may follow.
                self._has_stale_response = True
                return
        self._pending = None
        self._idle_since = self._clock()
        self._update_idle_timeout(response)
        self._pool.put(
            AttemptAnswered(
                self._id,
                pending.attempt_id,
                self._upstream.id,
                decode_response(pending.part, response),
                _decode_load(response),
            )
        )
        if self._has_stale_response or not response.has_length:
            self.stop()
        elif response.get("connection").lower() == "close":
            self.stop_planned()

    def _update_idle_timeout(self, response: Response) -> None:
        for parameter in response.get("keep-alive").split(","):
            name, _, value = parameter.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self._idle_timeout_s = max(float(value), 2 * IDLE_MARGIN_S)

    def stop_planned(self) -> None:
        """End the task after a close that the upstream has announced."""
        self._is_close_planned = True
        self.stop()

    def stop(self) -> None:
        """End the task."""
        self.inbox.put(StopTask())


def _header_value(pairs: tuple[tuple[str, str], ...], name: str) -> str:
    lower_name = name.lower()
    return next((v for n, v in pairs if n.lower() == lower_name), "")


class PlatformTransport:
    """Creates connections to the platform's upstreams.

    Args:
        clock: Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock

    def create_connection(
        self, connection_id: int, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> PlatformConnection:
        """Return the task of a new connection to an upstream."""
        return PlatformConnection(connection_id, upstream, pool, self._clock)

    def create_health_watch(
        self, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> None:
        """Return no health watch: responses and the list report the state."""

    def cancel(
        self,
        action: CancelAttempt,
        connection: ConnectionTask | None,
        watch: ConnectionTask | None,
    ) -> None:
        """Close the connection if the upstream must stop working.

        Otherwise another copy has already answered, and this copy is left to
        finish, because a new connection costs the upstream more than the
        rest of the work.
        """
        if action.is_caller_gone and connection is not None:
            connection.inbox.put(StopTask())
