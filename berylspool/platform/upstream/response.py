"""Reading of responses from the bytes of one connection.

An upstream may send bytes that belong to no request: a second copy of an
earlier response, whole or cut anywhere, or bytes that are no response.  They
may share a piece with the end of one response or with the beginning of
another.  The reader returns a response only if no such bytes can be part of it.
"""

import httptools

from berylspool.connection.http import INVALID_STATUSES, has_status_line
from berylspool.exception import ProtocolError, ResponseTooLargeError
from berylspool.platform import headers
from berylspool.platform.upstream.received import (
    OPTIONAL_WHITESPACE,
    Response,
    to_key,
)

__all__ = [
    "MAX_HEAD_BYTES",
    "MAX_RESPONSE_BYTES",
    "MAX_UNNEEDED_BYTES",
    "ResponseReader",
]


# An upstream in trouble may send bytes without end. The first limit is for
# heads, and for all bytes that are no body beyond as many as the body has; the
# others count all bytes since the request was sent.
MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_UNNEEDED_BYTES = 64 * 1024
# Headers and trailers of all responses to a request. Each costs far more memory
# and time than its bytes on the wire.
MAX_HEADERS = 1000
# Interim responses and late copies before the response to a request.
MAX_MESSAGES = 32

FIRST_FINAL_STATUS = 200
# Takes the place of a response that has been returned, and keeps no bytes.
NO_RESPONSE = Response(is_kept=False)
# Copies come within a second or so; a connection carries a few requests in it.
MAX_KNOWN_IDS = 16
REQUEST_ID_KEY = to_key(headers.REQUEST_ID)
CONTENT_LENGTH_KEY = b"content-length"
# Headers that say whose response it is, and what it says of the request.
IDENTITY_HEADERS = frozenset(
    to_key(name)
    for name in (
        headers.REQUEST_ID,
        headers.RESPONSE_STAMP,
        headers.NOT_EXECUTED,
    )
)


class ResponseReader:
    """Reads the responses on one connection, which has one request at a time.

    Attributes:
        received_bytes: Bytes received since the latest request was sent.
        is_reusable: Whether the connection may carry another request.
        has_foreign_bytes: Whether bytes have arrived that belong to no request.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self.is_reusable = True
        self.has_foreign_bytes = False
        self._parser = httptools.HttpResponseParser(self)
        self._response = Response()
        self._is_head_complete = False
        # Id of the request in flight; None without one.
        self._expected_id: str | None = None
        self._expected_response: Response | None = None
        self._has_earlier_response = False
        self._has_body = True
        self._max_bytes = MAX_RESPONSE_BYTES
        self._is_needed = True
        self._body_bytes = self._dropped_bytes = self._message_count = 0
        # Headers or trailers that are being received, and how many more than
        # these the responses to the request may still have.
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_room = MAX_HEADERS
        # What the response in flight has too much of; empty if nothing.
        self._excess = ""
        # Ids of the latest responses that had a body, oldest first.
        self._known_ids: dict[str, None] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are kept until the response in flight is whole."""
        if self._expected_id is None:
            return 0
        return self.received_bytes - self._dropped_bytes

    def may_expect(self, request_id: str) -> bool:
        """Return whether a response to a request can be told from copies.

        A copy that is cut in its body goes on with the next response. It passes
        for that one if both echo the same id.
        """
        return request_id not in self._known_ids

    def expect(
        self, request_id: str, max_bytes: int, *, has_body: bool = True
    ) -> None:
        """Expect the response to a request that is about to be sent.

        Args:
            request_id: Id that the response has to echo; empty without one.
            max_bytes: Maximum number of bytes up to the end of the response.
            has_body: Whether a response to such a request may have a body.
        """
        self.received_bytes = 0
        self._body_bytes = self._dropped_bytes = self._message_count = 0
        self._headers, self._header_room = [], MAX_HEADERS
        self._has_body = has_body
        self._expected_id = request_id
        self._max_bytes = max_bytes
        self._is_needed = True

    def expect_little(self) -> None:
        """Accept only a short rest of a response that is no longer needed."""
        rest_ends_at = self.received_bytes + MAX_UNNEEDED_BYTES
        self._max_bytes = min(self._max_bytes, rest_ends_at)
        self._is_needed = False

    def clear(self) -> None:
        """Drop what is kept; the reader reads nothing more.

        The parser and this reader refer to each other, so a part of a body
        would stay in memory until a collection of garbage.
        """
        self._response, self._expected_response = NO_RESPONSE, None

    def feed(self, data: bytes) -> Response | None:
        """Read the next bytes of the connection.

        Returns:
            The whole response to the request in flight, or None if it is not
            complete.  After a response, `is_reusable` tells whether the
            connection may be used again.

        Raises:
            ProtocolError: The bytes are no response, answer no request, may be
                a mixture of two responses, or are no longer worth reading.
            ResponseTooLargeError: They exceed a limit.
        """
        if self._expected_id is None:
            raise ProtocolError("bytes without a request")
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if self._expected_response is None:
                self._raise_excess()
                raise ProtocolError(f"invalid response: {error!r}") from error
            # The response was whole before the first invalid byte.
            self._mark_foreign_bytes()
        response, self._expected_response = self._expected_response, None
        if response is not None:
            self._expected_id = None
            # The parser and this reader refer to each other, so a body would
            # stay in memory until a collection of garbage.
            self._response = NO_RESPONSE
        else:
            self._check_unfinished()
        return response

    def end(self) -> Response | None:
        """Return the response that the end of the stream completes, if any."""
        response = self._response
        is_complete = (
            self._expected_id is not None
            and self._is_head_complete
            and response.status >= FIRST_FINAL_STATUS
            and not response.has_length
        )
        self.is_reusable = False
        return response if is_complete and self._is_expected(response) else None

    def _remember(self, request_id: str) -> None:
        self._known_ids[request_id] = None
        if len(self._known_ids) > MAX_KNOWN_IDS:
            del self._known_ids[next(iter(self._known_ids))]

    def _mark_foreign_bytes(self) -> None:
        self.has_foreign_bytes = True
        self.is_reusable = False

    def _check_unfinished(self) -> None:
        """Check what has arrived of a response that is not whole.

        Raises:
            ProtocolError: Its status is not valid, or it is no longer needed.
            ResponseTooLargeError: It exceeds a limit.
        """
        # The parser knows the status once a text or a header follows it.
        if (self._response.reason_phrase or self._headers) and (
            self._parser.get_status_code() in INVALID_STATUSES
        ):
            raise ProtocolError("invalid status")
        if not self._is_needed and self.received_bytes > self._max_bytes:
            # It may be a sound answer, which another copy has outrun.
            raise ProtocolError("long response that is no longer needed")
        other_bytes = self.received_bytes - self._body_bytes
        if other_bytes > MAX_HEAD_BYTES + self._body_bytes:
            self._excess = "framing"
        elif self.received_bytes > self._max_bytes:
            self._excess = "body"
        self._raise_excess()

    def _raise_in_callback(self, excess: str) -> None:
        # The parser turns the error into one of its own.
        self._excess = excess
        self._raise_excess()

    def _raise_excess(self) -> None:
        """Raise an error if the response has too much of anything."""
        if self._excess:
            raise ResponseTooLargeError(self._excess)

    def _is_expected(self, response: Response) -> bool:
        """Return whether a response is that to the request in flight.

        Raises:
            ProtocolError: It may be a copy of an earlier response.
        """
        if self._expected_id and response.echoed_id:
            return response.echoed_id == self._expected_id
        if self._has_earlier_response:
            raise ProtocolError("response without an id")
        # Nothing would tell its copy from the next response.
        self.is_reusable = False
        return True

    def on_message_begin(self) -> None:
        """Begin a response.

        Raises:
            ResponseTooLargeError: Too many responses came before it; a piece
                may hold more of them than can be read in passing.
        """
        self._message_count += 1
        if self._message_count > MAX_MESSAGES:
            self._raise_in_callback("framing")
        if self._expected_response is not None:
            # These bytes follow the response to the request in flight.
            self._mark_foreign_bytes()
        self._response = Response()
        self._is_head_complete = False
        self._header_room -= len(self._headers)
        self._headers = []

    def on_status(self, text: bytes) -> None:
        """Store the reason phrase, which may arrive in pieces."""
        self._response.reason_phrase += text

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped.

        Raises:
            ResponseTooLargeError: There are too many of them; a piece may hold
                more than can be read in passing.
        """
        headers = self._headers
        headers.append((name, value))
        if len(headers) > self._header_room:
            self._raise_in_callback("headers")

    def on_headers_complete(self) -> None:
        """Index the head, and refuse a body that states that it is too long.

        Raises:
            ProtocolError: The status is not valid, or the head may be a
                mixture of two.
            ResponseTooLargeError: The body exceeds its limit.
        """
        response, headers = self._response, self._headers
        response.status = status = self._parser.get_status_code()
        if status in INVALID_STATUSES:
            raise ProtocolError(f"invalid status {status}")
        self._is_head_complete = True
        response.raw_headers = headers
        self._header_room -= len(headers)
        # Trailers follow; they are only counted.
        self._headers = []
        value_by_name = response.value_by_name = {
            name.lower(): value.strip(OPTIONAL_WHITESPACE)
            for name, value in headers
        }
        if len(value_by_name) < len(headers):
            self._reject_conflicts()
        if self._has_earlier_response:
            self._reject_mixture()
        echoed_id = value_by_name.get(REQUEST_ID_KEY)
        if echoed_id:
            response.echoed_id = echoed_id.decode("latin-1")
            response.is_kept = (
                not self._expected_id or response.echoed_id == self._expected_id
            )
        length = int(value_by_name.get(CONTENT_LENGTH_KEY, b"0"))
        if self._has_body and self._is_needed and length > self._max_bytes:
            self._raise_in_callback("length")
        if not self._has_body:
            # The parser does not know the request and waits for a body.
            self.on_message_complete()
            self.is_reusable = False

    def _reject_conflicts(self) -> None:
        """Raise an error if a header that says whose response it is differs."""
        last_by_key = self._response.value_by_name
        for name, value in self._response.headers:
            key = name.lower()
            if key in IDENTITY_HEADERS and last_by_key[key] != value:
                raise ProtocolError(f"two values of {key!r}")

    def _reject_mixture(self) -> None:
        """Raise an error if the head may have swallowed another status line.

        A copy of an earlier response that is cut in the text of its status or
        of a header continues with whatever comes next.
        """
        response = self._response
        values = list(response.value_by_name.values())
        if len(values) < len(response.raw_headers):
            values = [value for _, value in response.raw_headers]
        text = b"\n".join([response.reason_phrase, *values])
        if b"HTTP/" in text and has_status_line(text):
            raise ProtocolError("status line inside another head")

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body, unless it is that of a late copy."""
        self._body_bytes += len(chunk)
        if self._response.is_kept:
            self._response.body += chunk
        else:
            self._dropped_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """Keep the response if it is the expected one."""
        response = self._response
        self._is_head_complete = False
        if response.status < FIRST_FINAL_STATUS or self._expected_response:
            # Interim, or a further whole response in the same piece.
            return
        if self._is_expected(response):
            self._expected_response = response
            if response.body:
                self._remember(response.echoed_id)
            if not response.has_length:
                self.is_reusable = False
        else:
            # A late copy; more of its kind may follow the expected response.
            self._mark_foreign_bytes()
        self._has_earlier_response = True
