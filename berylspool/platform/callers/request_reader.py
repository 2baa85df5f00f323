"""Reading of requests from the bytes of one client's connection."""

import functools
import re
from dataclasses import dataclass

import httptools

from berylspool.exception import RequestRejectedError
from berylspool.version.forwarding import CallerLimits

__all__ = ["ClientRequest", "RequestReader"]

HEAD_END = re.compile(rb"\n\r?\n")
# An end of a head may lie across two pieces.
OVERLAP = 2
CHUNKS_END = b"\r\n\r\n"
OPTIONAL_WHITESPACE = " \t"
# Memory that a header takes beyond its bytes.
HEADER_BYTES = 200
# Bytes of chunks that are no body, for each byte of it: `1 CR LF x CR LF` has
# five, and a sender may state extensions.
MAX_FRAMING_RATIO = 8
MAX_CACHED_NAMES = 1000
MAX_CACHED_NAME_LENGTH = 64
# No upgrade is supported, so the header is passed to the parser under the name
# of another one that concerns only this connection.
UPGRADE_LINE = re.compile(rb"\r\nupgrade:", re.IGNORECASE)


@dataclass(slots=True)
class ClientRequest:
    """One request of a client.

    Attributes:
        method: Method.
        target: Request target, as sent.
        headers: Headers in the order received, their names in title case.
        body: The whole body.
        keeps_alive: Whether the connection may be used again.
        is_old: Whether it is a request of HTTP/1.0.
        held_bytes: Memory that its head and body take.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    keeps_alive: bool
    is_old: bool
    held_bytes: int

    def get(self, name: str) -> str:
        """Return the value of a header; several are joined by commas."""
        return ",".join(v for n, v in self.headers if n == name)


class RequestReader:
    """Reads the requests on one connection, one at a time.

    Attributes:
        is_head_complete: Whether its head is complete.
        wants_continue: Whether the client waits for a 100 before its body.
        rest: Bytes after the request that was returned last.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.wants_continue = False
        self.is_head_complete = False
        self._head = bytearray()
        self._failure: RequestRejectedError | None = None
        self._reset()
        self._parser = httptools.HttpRequestParser(self)

    def _reset(self) -> None:
        self.is_head_complete = self.wants_continue = False
        self._is_complete = self._keeps_alive = False
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._body_bytes = self._fed_bytes = 0
        # Bytes of the body that are missing; None if its length is unknown.
        self._missing_bytes: int | None = None
        self._max_body_bytes = 0
        self._head_bytes = 0
        self._tail = b""

    @property
    def has_begun(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.is_head_complete or bool(self._head)

    @property
    def held_bytes(self) -> int:
        """Memory that the unfinished request takes, in bytes."""
        return len(self._head) + self._head_bytes + len(self._body)

    def clear(self) -> None:
        """Drop what is kept; the reader reads nothing more."""
        self._head = bytearray()
        self.rest = b""
        self._reset()

    def feed(self, data: bytes, limits: CallerLimits) -> ClientRequest | None:
        """Read the next bytes of the connection.

        Args:
            data: Bytes received, or the `rest` after the last request.
            limits: Limits in force.

        Returns:
            A whole request, with the bytes after it in `rest`, or None.

        Raises:
            RequestRejectedError: The bytes are no request, or exceed a limit.
        """
        self.rest = b""
        if not self.is_head_complete:
            data = self._feed_head(data, limits)
        while data and not self._is_complete:
            data = self._feed_body(data, limits)
        if not self._is_complete:
            return None
        parser = self._parser
        request = ClientRequest(
            parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._keeps_alive,
            parser.get_http_version() == "1.0",
            self.held_bytes,
        )
        self._reset()
        if not request.keeps_alive:
            self._parser = httptools.HttpRequestParser(self)
        self.rest = data
        return request

    def _feed_head(self, data: bytes, limits: CallerLimits) -> bytes:
        """Read bytes of a head; return those after it."""
        begin = max(0, len(self._head) - OVERLAP)
        if self._head:
            self._head += data
            end = HEAD_END.search(self._head, begin)
        else:
            # Empty lines before a request are skipped (RFC 9112, 2.2).
            data = data.lstrip(b"\r\n")
            end = HEAD_END.search(data)
            if end is None:
                self._head += data
        length = end.end() if end is not None else len(self._head)
        if length > limits.max_head_bytes:
            raise RequestRejectedError(431, "head")
        if end is None:
            return b""
        if self._head:
            data = bytes(self._head)
            self._head = bytearray()
        self._max_body_bytes = limits.max_body_bytes
        self._head_bytes = length
        # With it, the parser would take the body for the next request.
        self._feed_parser(UPGRADE_LINE.sub(b"\r\nKeep-Alive:", data[:length]))
        self._head_bytes += HEADER_BYTES * len(self._headers)
        if not self.is_head_complete:
            raise RequestRejectedError(400, "syntax")
        return data[length:]

    def _feed_body(self, data: bytes, limits: CallerLimits) -> bytes:
        """Read bytes of a body; return those after it."""
        length = len(data)
        self._max_body_bytes = limits.max_body_bytes
        if self._missing_bytes is not None:
            length = min(length, self._missing_bytes)
            self._missing_bytes -= length
        else:
            window = self._tail + data
            end = window.find(CHUNKS_END)
            if end >= 0:
                length = end + len(CHUNKS_END) - len(self._tail)
            self._tail = data[:length][-len(CHUNKS_END) + 1 :]
            self._fed_bytes += length
            max_bytes = limits.max_head_bytes
            max_bytes += self._body_bytes * (1 + MAX_FRAMING_RATIO) + length
            if self._fed_bytes > max_bytes:
                raise RequestRejectedError(413, "framing")
        self._feed_parser(data[:length])
        return data[length:]

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # A `CONNECT`: there is no tunnel.
            raise RequestRejectedError(400, "syntax") from error
        except httptools.HttpParserError as error:
            raise RequestRejectedError(400, "syntax") from error
        if self._failure is not None:
            raise self._failure

    def on_url(self, url: bytes) -> None:
        """Store the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self.is_head_complete:
            self._headers.append(
                (
                    _to_title_case(name.decode("latin-1")),
                    value.decode("latin-1").strip(OPTIONAL_WHITESPACE),
                )
            )

    def on_headers_complete(self) -> None:
        """Check the head, and how long a body it announces."""
        self.is_head_complete = True
        value_by_name = dict(self._headers)
        if "Transfer-Encoding" in value_by_name:
            self._missing_bytes = None
            codings = [
                value.lower()
                for name, value in self._headers
                if name == "Transfer-Encoding"
            ]
            if codings != ["chunked"]:
                self._failure = RequestRejectedError(400, "syntax")
        else:
            length = int(value_by_name.get("Content-Length") or 0)
            self._missing_bytes = length
            if length > self._max_body_bytes:
                self._failure = RequestRejectedError(413, "body")
        version = self._parser.get_http_version()
        hosts = [value for name, value in self._headers if name == "Host"]
        if (
            version not in ("1.0", "1.1")
            or len(hosts) > 1
            or (not hosts and version == "1.1")
        ):
            self._failure = RequestRejectedError(400, "syntax")
        expected = value_by_name.get("Expect", "")
        self.wants_continue = expected.lower() == "100-continue"

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body, up to the limit."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes:
            self._failure = RequestRejectedError(413, "body")
        else:
            self._body += chunk

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self._is_complete = True
        # The parser forgets it once it returns.
        self._keeps_alive = self._parser.should_keep_alive()


def _to_title_case(name: str) -> str:
    # The cache is in no budget of memory, so it holds no long names.
    if len(name) > MAX_CACHED_NAME_LENGTH:
        return _make_title_case(name)
    return _make_cached_title_case(name)


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _make_cached_title_case(name: str) -> str:
    return _make_title_case(name)


def _make_title_case(name: str) -> str:
    """Return the name of a header as upstreams get it.

    Examples:
        >>> _to_title_case("x-REQUEST-id")
        'X-Request-Id'
    """
    return "-".join(word.capitalize() for word in name.split("-"))
