"""HTTP client connections with keep-alive, based on tornado's parser."""

import re
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

__all__ = [
    "INVALID_STATUSES",
    "HttpConnection",
    "HttpResponse",
    "has_status_line",
    "open_http_connection",
]

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# A body without a length is kept in the stream's buffer up to its end.
MAX_BUFFER_BYTES = MAX_BODY_BYTES + MAX_HEADER_BYTES
# Not valid in HTTP (RFC 9110, section 15), and 101, as no request asks for
# another protocol.
MAX_STATUS = 599
INVALID_STATUSES = frozenset({*range(100), 101, *range(600, 1000)})
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def has_status_line(text: bytes) -> bool:
    """Return whether a text in a head may have swallowed a status line.

    A response that is cut in such a text continues with whatever comes next.

    Examples:
        >>> has_status_line(b"text/plHTTP/1.1 500 Internal Server Error")
        True
        >>> has_status_line(b"text/plain")
        False
    """
    return b"HTTP/" in text and STATUS_LINE.search(text) is not None


@dataclass(slots=True)
class HttpResponse(HTTPMessageDelegate):
    """One HTTP response, collected as it arrives.

    Attributes:
        status: HTTP status; 0 until the headers arrive.
        reason_phrase: Text after the status.
        headers: Response headers.
        chunks: Chunks of the body received so far.
        is_complete: Whether the whole response was received.
        has_invalid_status: Whether its status is not valid.
        close: Called once the status turns out to be invalid.
    """

    close: Callable[[], None]
    status: int = 0
    reason_phrase: str = ""
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    chunks: list[bytes] = field(default_factory=list)
    is_complete: bool = False
    has_invalid_status: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the status and the headers."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.reason_phrase = start_line.reason
        self.headers = headers
        if self.status in INVALID_STATUSES or self.status > MAX_STATUS:
            self.has_invalid_status = True
            self.close()

    def data_received(self, chunk: bytes) -> None:
        """Store one chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Record that the response is complete."""
        self.is_complete = True

    def on_connection_close(self) -> None:
        """Leave the response marked as incomplete."""

    def reject_invalid_status(self) -> None:
        """Raise an error if the status is not valid.

        Raises:
            ProtocolError: It is not.
        """
        if self.has_invalid_status:
            raise ProtocolError(f"invalid status {self.status}")

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self.chunks)

    @property
    def may_be_a_mixture(self) -> bool:
        """Whether the head may hold the status line of another response."""
        values = [value for _, value in self.headers.get_all()]
        return any(
            has_status_line(text.encode("latin-1", "replace"))
            for text in (self.reason_phrase, *values)
        )


class HttpConnection:
    """An HTTP client connection that sends one request at a time.

    Args:
        stream: Open stream; the connection takes ownership of it.
    """

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self._on_close: Callable[[], None] | None = None
        self._has_earlier_response = False
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
        )

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> HttpResponse:
        """Send a request and wait for the complete response.

        Args:
            method: HTTP method.
            path: Request target.
            headers: Request headers.
            body: Request body.

        Raises:
            ConnectionLostError: The connection closed before the response
                was complete.
            ProtocolError: The response is not valid HTTP, its status included,
                or may be a mixture with a copy of an earlier one.
        """
        self.reject_foreign_bytes()
        connection = HTTP1Connection(self.stream, True, self._parameters)
        response = HttpResponse(self.close)
        start_line = RequestStartLine(method, path, "HTTP/1.1")
        try:
            connection.write_headers(start_line, HTTPHeaders(headers), body)
            connection.finish()
            await connection.read_response(response)
        except StreamClosedError as error:
            response.reject_invalid_status()
            raise ConnectionLostError("closed during a request") from error
        except ValueError as error:
            self.close()
            raise ProtocolError(f"invalid HTTP response: {error}") from error
        response.reject_invalid_status()
        # HTTP1Connection removes the close callback after each message.
        self.stream.set_close_callback(self._on_close)
        if not response.is_complete:
            raise ConnectionLostError("closed before the response ended")
        if self._has_earlier_response and response.may_be_a_mixture:
            self.close()
            raise ProtocolError("status line inside a head")
        self._has_earlier_response = True
        return response

    def reject_foreign_bytes(self) -> None:
        """Check that nothing has arrived since the latest response.

        Raises:
            ProtocolError: There are bytes that would be read as the beginning
                of the next response; the connection is closed.
        """
        # The stream has no public count of the bytes that it has buffered.
        if self.stream._read_buffer_size:
            self.close()
            raise ProtocolError("bytes without a request")

    def on_close(self, callback: Callable[[], None]) -> None:
        """Set the callback for a close while no request is in flight."""
        self._on_close = callback
        self.stream.set_close_callback(callback)

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


async def open_http_connection(
    host: str, port: int, timeout_s: float
) -> HttpConnection:
    """Open an HTTP client connection.

    Args:
        host: Host name or IP address.
        port: TCP port.
        timeout_s: Connect time-out in seconds.

    Raises:
        ConnectionLostError: The connection could not be opened in time.
    """
    try:
        stream = await TCPClient().connect(
            host, port, timeout=timeout_s, max_buffer_size=MAX_BUFFER_BYTES
        )
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise ConnectionLostError(f"cannot connect to {host}:{port}") from error
    stream.set_nodelay(True)
    return HttpConnection(stream)
