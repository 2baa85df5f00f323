"""One kept-alive HTTP connection as a client, on tornado's own codec."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from berylspool.exception import ConnectionLostError, ProtocolError

__all__ = ["HttpReply", "HttpStream", "connect"]

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024


@dataclass(slots=True)
class HttpReply(HTTPMessageDelegate):
    """One response, collected as it arrives."""

    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    chunks: list[bytes] = field(default_factory=list)
    is_whole: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Keep the status and the headers."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep one chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the body is whole."""
        self.is_whole = True

    def on_connection_close(self) -> None:
        """Leave the response as not whole."""

    @property
    def body(self) -> bytes:
        """The body so far."""
        return b"".join(self.chunks)


class HttpStream:
    """A stream that carries one request after the other.

    Args:
        stream: Open stream; this object owns it.
    """

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self._on_close: Callable[[], None] | None = None
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
        )

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> HttpReply:
        """Send a request and wait for the whole response.

        Raises:
            ConnectionLostError: The connection closed before the response
                was whole.
            ProtocolError: The response is not HTTP.
        """
        connection = HTTP1Connection(self.stream, True, self._parameters)
        reply = HttpReply()
        start_line = RequestStartLine(method, path, "HTTP/1.1")
        try:
            connection.write_headers(start_line, HTTPHeaders(headers), body)
            connection.finish()
            await connection.read_response(reply)
        except StreamClosedError as error:
            raise ConnectionLostError("closed under a request") from error
        except ValueError as error:
            self.close()
            raise ProtocolError(f"not HTTP: {error}") from error
        # The codec drops the callback at the end of each message.
        self.stream.set_close_callback(self._on_close)
        if not reply.is_whole:
            raise ConnectionLostError("closed under a request")
        return reply

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call back when the stream is closed while it is idle."""
        self._on_close = callback
        self.stream.set_close_callback(callback)

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


async def connect(host: str, port: int, timeout_s: float) -> HttpStream:
    """Open a connection.

    Raises:
        ConnectionLostError: It could not be opened in time.
    """
    try:
        stream = await TCPClient().connect(host, port, timeout=timeout_s)
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise ConnectionLostError(f"{host}:{port} did not accept") from error
    stream.set_nodelay(True)
    return HttpStream(stream)
