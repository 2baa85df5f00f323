"""HTTP connections to the platform's upstreams."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from berylspool.common.mailbox import Mailbox
from berylspool.common.shared_timer import SharedTimer, Timeout
from berylspool.exception import ProtocolError, ResponseTooLargeError
from berylspool.platform import headers
from berylspool.platform.upstream.codec import (
    RequestEncoder,
    decode_load,
    decode_notice,
    decode_response,
)
from berylspool.platform.upstream.receive_budget import ReceiveBudget
from berylspool.platform.upstream.received import Response, to_key
from berylspool.platform.upstream.response import (
    MAX_RESPONSE_BYTES,
    ResponseReader,
)
from berylspool.process.settings import MemoryLimits
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    AttemptAnswered,
    CancelAttempt,
    ConnectionClosed,
    ConnectionOpened,
    SendAttempt,
    StopTask,
)
from berylspool.version.pool.transport import ConnectionTask, PoolInbox

__all__ = ["PlatformTransport"]

CONNECT_TIMEOUT_S = 1.0
# An upstream stops at the deadline that it was given; this covers the time that
# its response spends on the network.
ANSWER_GRACE_S = 0.25
# Idle connections are closed a little before the upstream would close them, so
# that no request is sent while the upstream closes.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 60.0
# A part of a wide request has far less to say than a whole response.
MAX_PART_BYTES = 1024 * 1024
CONNECTION_KEY = to_key("Connection")
KEEP_ALIVE_KEY = to_key("Keep-Alive")
# Share of a process's memory for responses that are not whole yet.
BUFFER_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class ResponseUnneeded:
    """The response that is being received is no longer needed."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """All connections together keep too much, and this one most of it."""


ConnectionMessage = SendAttempt | ResponseUnneeded | BudgetSpent | StopTask


class _StreamProtocol(asyncio.Protocol):
    """Hands the bytes of a stream to its connection."""

    def __init__(self, connection: "PlatformConnection") -> None:
        self._connection = connection
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._connection.receive(data)

    def eof_received(self) -> bool:
        self._connection.receive_end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._connection.stop()


class PlatformConnection:
    """Task that owns one keep-alive connection, with one copy at a time.

    Messages are handled as they are put, because a wake-up of the task would
    cost as much as the copy itself. The task waits for the connection to end.

    Args:
        connection_id: Id of the connection in its pool.
        upstream: Upstream to connect to.
        pool: Inbox of the pool.
        timer: Timer of all connections.
        encoder: Encoder of requests.
        budget: Memory for responses that are not whole yet.

    Attributes:
        inbox: Receives copies to send, and the request to close.
        reader: Reads the responses.
    """

    def __init__(
        self,
        connection_id: int,
        upstream: Upstream,
        pool: PoolInbox,
        timer: SharedTimer,
        encoder: RequestEncoder,
        budget: ReceiveBudget,
    ) -> None:
        self.inbox: Mailbox[ConnectionMessage]
        self.inbox = Mailbox()
        self._id = connection_id
        self._upstream = upstream
        self._pool = pool
        self._timer = timer
        self._encoder = encoder
        self._budget = budget
        self._keeps_bytes = False
        self._overrun = ""
        self.reader = ResponseReader()
        self._pending: SendAttempt | None = None
        self._last_sent_id = 0
        self._has_stopped = asyncio.Event()
        self._is_close_planned = False
        self._keep_alive = b""
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._timeout: Timeout | None = None
        self._protocol = _StreamProtocol(self)

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
            self._stop_after(self._idle_timeout_s)
            self.inbox.set_put_callback(self._handle_messages)
            self._handle_messages()
            await self._has_stopped.wait()
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The upstream cannot be reached, or its address is invalid.
            # `ConnectionClosed` below notifies the pool, which reconnects.
            pass
        finally:
            self.inbox.set_put_callback(None)
            self._budget.keep(self.inbox, 0)
            self.reader.clear()
            if self._timeout is not None:
                self._timeout.cancel()
            if self._protocol.transport is not None:
                self._protocol.transport.abort()
            self._pool.put(
                ConnectionClosed(
                    self._id,
                    self._upstream.id,
                    is_planned=self._is_close_planned and self._pending is None,
                    last_sent_id=self._last_sent_id,
                    overrun=self._overrun,
                )
            )

    def _handle_messages(self) -> None:
        for message in self.inbox.take_pending():
            if self._has_stopped.is_set():
                # `ConnectionClosed` will tell the pool that it was not sent.
                return
            match message:
                case SendAttempt(part=part):
                    request_id = self._encoder.get_id(part)
                    if not self.reader.may_expect(request_id):
                        self.stop_planned()
                        return
                    self._write(message, request_id)
                    self._stop_after(message.timeout_s + ANSWER_GRACE_S)
                case ResponseUnneeded():
                    # Only a short rest is worth keeping the connection.
                    self.reader.expect_little()
                case BudgetSpent():
                    self._overrun = "memory"
                    self.stop()
                case StopTask():
                    self._has_stopped.set()

    def _stop_after(self, delay_s: float) -> None:
        """Stop at a time that replaces the one before."""
        if self._timeout is None:
            self._timeout = self._timer.call_after(
                delay_s, self._handle_timeout
            )
        else:
            self._timer.restart(self._timeout, delay_s)

    def _handle_timeout(self) -> None:
        self._is_close_planned = self._pending is None
        self.stop()

    def _write(self, message: SendAttempt, request_id: str) -> None:
        self._pending = message
        self._last_sent_id = message.attempt_id
        forward = message.part.forward
        is_part = forward is not None and forward.is_part
        assert self._protocol.transport is not None
        self._protocol.transport.write(
            self._encoder.encode(
                message.part, self._upstream, message.timeout_s
            )
        )
        self.reader.expect(
            request_id,
            MAX_PART_BYTES if is_part else MAX_RESPONSE_BYTES,
            has_body=forward is None or forward.method != "HEAD",
        )

    def receive(self, data: bytes) -> None:
        """Read bytes; report the response that they complete, if any."""
        if self._has_stopped.is_set():
            return
        try:
            response = self.reader.feed(data)
        except ResponseTooLargeError as error:
            self._overrun = str(error)
            self.stop()
            return
        except ProtocolError:
            # `ConnectionClosed` tells the pool that the request is lost.
            self.stop()
            return
        if response is None or self._keeps_bytes:
            self._update_budget()
        if response is not None:
            self._report_response(response)

    def _update_budget(self) -> None:
        """Record what is kept of an unfinished response, if anything."""
        byte_count = self.reader.buffered_bytes
        self._keeps_bytes = byte_count > 0
        largest = self._budget.keep(self.inbox, byte_count)
        if largest is not None:
            largest.put(BudgetSpent())

    def receive_end(self) -> None:
        """Report the response that the end of the stream completes, if any."""
        if self._pending is None:
            # The upstream's idle timeout, which does not indicate a failure.
            self.stop_planned()
            return
        try:
            response = self.reader.end()
        except ProtocolError:
            # `ConnectionClosed` tells the pool that the request is lost.
            self.stop()
            return
        if response is not None:
            self._report_response(response)

    def _report_response(self, response: Response) -> None:
        """Report a whole response to the pool."""
        pending, self._pending = self._pending, None
        assert pending is not None
        self._update_idle_timeout(response)
        self._stop_after(self._idle_timeout_s - IDLE_MARGIN_S)
        self._pool.put(
            AttemptAnswered(
                self._id,
                pending.attempt_id,
                self._upstream.id,
                decode_response(pending.part, response),
                decode_load(response),
                decode_notice(response),
            )
        )
        # A second copy of a refusal would carry the id of the retry, too.
        is_final = 200 <= response.status < 300 or pending.part.idempotent
        connection = response.value_by_name.get(CONNECTION_KEY, b"")
        is_last = connection.lower() == b"close"
        if self.reader.has_foreign_bytes:
            self.stop()
        elif is_last or not is_final or not self.reader.is_reusable:
            self.stop_planned()

    def _update_idle_timeout(self, response: Response) -> None:
        keep_alive = response.value_by_name.get(KEEP_ALIVE_KEY, b"")
        if keep_alive == self._keep_alive:
            return
        self._keep_alive = keep_alive
        for parameter in keep_alive.decode("latin-1").split(","):
            name, _, value = parameter.strip().partition("=")
            timeout_s = headers.parse_whole_number(value)
            if name == "timeout" and timeout_s is not None:
                self._idle_timeout_s = max(timeout_s, 2 * IDLE_MARGIN_S)

    def stop_planned(self) -> None:
        """End the task by a close that is no fault of the upstream."""
        self._is_close_planned = True
        self.stop()

    def stop(self) -> None:
        """End the task."""
        self._has_stopped.set()


class PlatformTransport:
    """Creates connections to the platform's upstreams.

    Args:
        clock: Monotonic time in seconds.
        memory: Memory that the process may use.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        memory: MemoryLimits | None = None,
    ) -> None:
        memory = memory or MemoryLimits()
        self._timer = SharedTimer(clock)
        self._encoder = RequestEncoder()
        self._budget = ReceiveBudget(int(memory.bytes * BUFFER_SHARE))

    def create_connection(
        self, connection_id: int, upstream: Upstream, pool: PoolInbox
    ) -> PlatformConnection:
        """Return the task of a new connection to an upstream."""
        return PlatformConnection(
            connection_id,
            upstream,
            pool,
            self._timer,
            self._encoder,
            self._budget,
        )

    def create_health_watch(self, upstream: Upstream, pool: PoolInbox) -> None:
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
        if connection is not None:
            is_caller_gone = action.is_caller_gone
            message = StopTask() if is_caller_gone else ResponseUnneeded()
            connection.inbox.put(message)
