"""One client's connection."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from berylspool.exception import RequestRejectedError
from berylspool.platform.callers.holdings import Stage
from berylspool.platform.callers.request_reader import (
    ClientRequest,
    RequestReader,
)

if TYPE_CHECKING:
    from berylspool.platform.callers.server import ClientServer

__all__ = ["ClientConnection", "make_status_line"]

# Responses up to this length may wait in the stream while the next request of
# the client is served.
MAX_UNREAD_BYTES = 4096
# A longer body is handed to the stream as it is, and not copied.
MAX_JOINED_BYTES = 16 * 1024
# Tasks and state of a request while it runs, without its head and body.
RUNNING_BYTES = 16 * 1024
# Time for which a refused client may go on sending. A close with unread bytes
# would reset the connection, and the refusal may be lost.
LINGER_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def make_status_line(status: int) -> str:
    """Return the status line of a response.

    Examples:
        >>> make_status_line(431)
        'HTTP/1.1 431 Request Header Fields Too Large'
        >>> make_status_line(599)
        'HTTP/1.1 599 Unknown'
    """
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}"


class ClientConnection(asyncio.Protocol):
    """Reads the requests of a client and writes the responses, one at a time.

    While a request runs, what arrives behind it is kept, and reading pauses. A
    request is not begun before the response to the one before it is read.

    Args:
        server: Server that accepted the connection.

    Attributes:
        stage: What the connection waits for.
        progressed_at: Time of the latest byte in either direction, in seconds.
        gone: Set when the client closes, or is dropped, while its request runs.
        is_dropped: Whether the server ended the request that runs.
    """

    def __init__(self, server: "ClientServer") -> None:
        self.stage = Stage.IDLE
        self.progressed_at = server.clock()
        self.gone = asyncio.Event()
        self.is_dropped = False
        self._server = server
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._request_bytes = 0
        self._rest = b""
        self._head_began_at: float | None = None
        # The stream keeps a response whole until its last byte is sent.
        self._written_bytes = self._unread_bytes = 0
        self._queued_bytes = 0
        self._is_reading_paused = self._is_writing_paused = False
        self._closes_at: float | None = None

    def connection_made(self, transport: Any) -> None:
        """Register with the server, which may drop another connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES, low=0)
        self._update()
        self._server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the request that runs that its client has gone."""
        self.gone.set()
        self._transport = None
        self._clear()
        self._server.remove(self)

    def eof_received(self) -> bool:
        """Close: a client that stops sending has gone."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read bytes, or keep them behind the request that runs."""
        self.progressed_at = self._server.clock()
        match self.stage:
            case Stage.CLOSING:
                return
            case Stage.RUNNING | Stage.WRITING:
                self._rest += data
                self._pause_reading()
                self._update()
            case _:
                self._read(data)

    def _read(self, data: bytes) -> None:
        reader = self._reader
        try:
            request = reader.feed(data, self._server.get_limits())
        except RequestRejectedError as error:
            self.refuse(error.status, error.reason)
            return
        if request is None:
            if reader.wants_continue:
                reader.wants_continue = False
                self._write(CONTINUE)
            if reader.is_head_complete or not reader.has_begun:
                self._head_began_at = None
            elif self._head_began_at is None:
                self._head_began_at = self._server.clock()
            self.stage = Stage.READING if reader.has_begun else Stage.IDLE
            self._update(len(data))
            return
        self._head_began_at = None
        self._rest, reader.rest = reader.rest, b""
        if self._rest:
            self._pause_reading()
        self.stage = Stage.RUNNING
        self._request_bytes = RUNNING_BYTES + request.held_bytes
        self.gone = asyncio.Event()
        self._update()
        self._server.handle(self, request)

    def respond(
        self,
        request: ClientRequest,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write the response to the request that runs.

        Args:
            request: The request.
            status: HTTP status.
            headers: Headers that are valid, with the length of the body.
            body: Body; empty for a `HEAD`.
        """
        if self._transport is None or self.stage is not Stage.RUNNING:
            return
        lines = [make_status_line(status)]
        lines += [f"{name}: {value}" for name, value in headers]
        if not request.keeps_alive:
            if not request.is_old:
                lines.append("Connection: close")
        elif request.is_old:
            lines.append("Connection: Keep-Alive")
        head = "\r\n".join([*lines, "\r\n"]).encode("latin-1")
        if not self._is_writing_paused:
            self._written_bytes = 0
        self._written_bytes += len(head) + len(body)
        if len(body) <= MAX_JOINED_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)
        self._request_bytes = 0
        self.progressed_at = self._server.clock()
        if not request.keeps_alive:
            self._close_when_read()
        elif self._is_writing_paused:
            self.stage = Stage.WRITING
            self._unread_bytes = self._written_bytes
            self._update()
        else:
            self._read_next()

    def end_dropped(self, has_run: bool) -> None:
        """End the connection of a request that was dropped.

        Args:
            has_run: Whether a copy of it may have run.
        """
        if self.is_dropped and not has_run and self._transport is not None:
            self.stage = Stage.READING
            self.refuse(408, "pressure")
        else:
            self.abort()

    def _read_next(self) -> None:
        """Read the next request, which may have arrived already."""
        self.stage = Stage.IDLE
        rest, self._rest = self._rest, b""
        if rest:
            self._read(rest)
        else:
            self._update()
        if self.stage in (Stage.IDLE, Stage.READING):
            self._resume_reading()

    def refuse(self, status: int, reason: str) -> None:
        """Refuse the request that is being read, and close.

        Args:
            status: HTTP status.
            reason: Reason, as a label of metrics.
        """
        self._server.count_refused(reason)
        self._write(
            f"{make_status_line(status)}\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        self._close_when_read()

    def _close_when_read(self) -> None:
        """Close once the client has read all, or after a while."""
        self._clear()
        self.stage = Stage.CLOSING
        self._closes_at = self._server.clock() + LINGER_S
        transport = self._get_open()
        if transport is not None:
            transport.write_eof()
            self._resume_reading()
        self._update()

    def drop(self, reason: str) -> None:
        """Give up the memory that this connection takes.

        Args:
            reason: Reason, as a label of metrics.
        """
        match self.stage:
            case Stage.RUNNING:
                self._server.count_dropped(reason)
                self.is_dropped = True
                self._request_bytes = 0
                self._rest = b""
                # Out of the order: it ends as soon as its tasks do.
                self.stage = Stage.CLOSING
                self._closes_at = self._server.clock() + LINGER_S
                self._update()
                self.gone.set()
            case Stage.READING if not self._is_writing_paused:
                self._server.count_dropped(reason)
                self.refuse(408, "pressure")
            case _:
                self._server.count_dropped(reason)
                self.abort()

    def check_time(self, now: float) -> None:
        """End the connection if it takes too long.

        Args:
            now: Current time in seconds.
        """
        if self._transport is None:
            return
        transport = self._get_open()
        if self._is_writing_paused and transport is not None:
            queued_bytes = transport.get_write_buffer_size()
            if queued_bytes < self._queued_bytes:
                self.progressed_at = now
            moved_bytes = max(0, self._queued_bytes - queued_bytes)
            self._queued_bytes = queued_bytes
            self._update(moved_bytes)
        limits = self._server.get_limits()
        idle_s = now - self.progressed_at
        match self.stage:
            case Stage.CLOSING:
                is_read = not self._is_writing_paused
                if self._closes_at is not None and (
                    (is_read and now >= self._closes_at)
                    or idle_s >= limits.idle_timeout_s
                ):
                    self.abort()
            case Stage.READING:
                began_at = self._head_began_at
                if (
                    began_at is not None
                    and now - began_at >= limits.head_timeout_s
                ):
                    self.refuse(408, "head-timeout")
                elif idle_s >= limits.idle_timeout_s:
                    self.refuse(408, "body-timeout")
            case Stage.IDLE | Stage.WRITING:
                if idle_s >= limits.idle_timeout_s:
                    self._server.count_dropped("idle")
                    self.abort()

    def close(self) -> None:
        """Close once what has been written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, without sending the rest."""
        self._clear()
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()
        self.gone.set()
        self._server.remove(self)

    def pause_writing(self) -> None:
        """Begin nothing new until the client has read."""
        self._is_writing_paused = True
        if self._transport is None:
            return
        self._unread_bytes = self._written_bytes
        self._queued_bytes = self._transport.get_write_buffer_size()
        if self.stage in (Stage.IDLE, Stage.READING):
            self._pause_reading()
        if self.stage is Stage.IDLE:
            self.stage = Stage.WRITING
        self._update()

    def resume_writing(self) -> None:
        """Go on, as the client has read everything."""
        self._is_writing_paused = False
        self._unread_bytes = self._queued_bytes = 0
        self.progressed_at = self._server.clock()
        if self.stage is Stage.WRITING:
            self._read_next()
        else:
            if self.stage is Stage.READING:
                self._resume_reading()
            self._update()

    def _write(self, data: bytes) -> None:
        if (transport := self._get_open()) is not None:
            transport.write(data)

    def _pause_reading(self) -> None:
        transport = self._get_open()
        if not self._is_reading_paused and transport is not None:
            self._is_reading_paused = True
            transport.pause_reading()

    def _resume_reading(self) -> None:
        transport = self._get_open()
        if self._is_reading_paused and transport is not None:
            self._is_reading_paused = False
            transport.resume_reading()

    def _get_open(self) -> asyncio.Transport | None:
        """Return the stream, or None if it is closing, and refuses calls."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return None
        return transport

    def _clear(self) -> None:
        self._reader.clear()
        self._rest = b""
        self._request_bytes = 0
        self._head_began_at = None

    def _update(self, moved_bytes: int = 0) -> None:
        """Tell the server what this connection takes."""
        if self._transport is None:
            return
        byte_count = (
            self._reader.held_bytes
            + self._request_bytes
            + len(self._rest)
            + self._unread_bytes
        )
        self._server.hold(self, byte_count, moved_bytes)
