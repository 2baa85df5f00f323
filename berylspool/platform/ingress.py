"""HTTP servers for callers and for the load balancer's readiness checks."""

import asyncio
import socket
import traceback
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
    responses,
)

from berylspool.common.event import Event, RequestFailed
from berylspool.connection.listen import listen
from berylspool.platform import headers
from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import (
    Answer,
    Outcome,
    Reason,
    Refusal,
    UpstreamResponse,
)

__all__ = ["Ingress", "ReadinessServer", "encode_outcome"]

READY_PATH = "/-/readiness"
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 256 * 1024
MAX_LOGGED_PATH = 200
MIN_RETRY_AFTER_S = 0.05
MS_PER_S = 1000.0

STATUS_BY_REASON = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.TIMEOUT: 504,
}
STATUS_NOT_RUN = 503
# A response with status 401 must state a scheme (RFC 9110, section 15.5.2).
# None is registered for a key in a header of its own.
CHALLENGE = ("WWW-Authenticate", "ApiKey")
STATUS_MAY_HAVE_RUN = 502


def encode_outcome(outcome: Outcome) -> UpstreamResponse:
    """Return the HTTP response for an outcome.

    A status that guarantees that nothing ran is used only for outcomes with
    that guarantee.
    """
    match outcome:
        case Answer(rows=(UpstreamResponse() as response,)):
            return response
        case Answer():
            coverage = outcome.coverage
            missing_count = coverage.total - coverage.answered
            return UpstreamResponse(
                200,
                (
                    ("Content-Type", "application/octet-stream"),
                    (headers.PART_STAMPS, ", ".join(outcome.stamps)),
                    (headers.MISSING_PARTS, str(missing_count)),
                ),
                b"".join(outcome.rows),
            )
        case Refusal(reason=Reason.UNKNOWN_ROUTE):
            return UpstreamResponse(404, (), b"")
        case Refusal(reason=Reason.UNKNOWN_KEY):
            return UpstreamResponse(401, (CHALLENGE,), b"")
        case Refusal(not_run=True, retry_after_s=retry_after_s):
            seconds = max(retry_after_s, MIN_RETRY_AFTER_S)
            return UpstreamResponse(
                STATUS_NOT_RUN, (("Retry-After", f"{seconds:.3f}"),), b""
            )
        case Refusal(response=UpstreamResponse() as response):
            return response
        case Refusal(reason=reason):
            status = 504 if reason is Reason.TIMEOUT else STATUS_MAY_HAVE_RUN
            return UpstreamResponse(status, (), b"")


class Ingress:
    """HTTP server for callers; a separate task serves each request.

    Args:
        answer: Answers a request; the event is set when the caller
            disconnects.
        is_closing: Returns whether responses must ask callers to use another
            connection.
        log: Called with each log event.
        listening_socket: Listening socket, if it is open already.
    """

    def __init__(
        self,
        answer: Callable[[ForwardRequest, asyncio.Event], Awaitable[Outcome]],
        is_closing: Callable[[], bool],
        log: Callable[[Event], None],
        listening_socket: socket.socket | None = None,
    ) -> None:
        self._answer = answer
        self._is_closing = is_closing
        self._log = log
        self._listening_socket = listening_socket
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(
            self._accept,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )

    def listen(self, address: str) -> None:
        """Start accepting connections.

        Args:
            address: Address as `host:port`; ignored if the listening socket
                is open already.

        Raises:
            ListenError: The address cannot be listened on.
        """
        if self._listening_socket is not None:
            self._server.add_socket(self._listening_socket)
            return
        listen(self._server, address)

    def stop_listening(self) -> None:
        """Stop accepting new connections; open ones stay open."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections; no request may be in flight."""
        await self._server.close_all_connections()

    def _accept(self, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: HTTPServerRequest) -> None:
        disconnected = asyncio.Event()
        connection = request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.set_close_callback(disconnected.set)
        try:
            outcome = await self._answer(_decode_request(request), disconnected)
            response = encode_outcome(outcome)
            response_headers = _make_headers(request, response)
        except Exception as error:
            # A defect that one request meets must not leave its caller waiting.
            self._log_failure(request, error)
            refusal = Refusal("", Reason.INTERNAL, False, 0.0)
            response = encode_outcome(refusal)
            response_headers = _make_headers(request, response)
        if disconnected.is_set():
            return
        if self._is_closing():
            response_headers["Connection"] = "close"
        try:
            _write(connection, request, response, response_headers)
        except Exception as error:
            # The caller may have a part of the response, which must not look
            # whole, and must not wait for the rest.
            self._log_failure(request, error)
            connection.close()

    def _log_failure(
        self, request: HTTPServerRequest, error: Exception
    ) -> None:
        text = _describe_error(error, request)
        self._log(RequestFailed(request.path[:MAX_LOGGED_PATH], text))


def _make_headers(
    request: HTTPServerRequest, response: UpstreamResponse
) -> HTTPHeaders:
    """Return the headers of a response.

    Raises:
        HTTPInputError: A header is not valid in HTTP.
    """
    response_headers = HTTPHeaders()
    for name, value in response.headers:
        response_headers.add(name, value)
    if request.method != "HEAD":
        response_headers["Content-Length"] = str(len(response.body))
    return response_headers


def _write(
    connection: HTTP1Connection,
    request: HTTPServerRequest,
    response: UpstreamResponse,
    response_headers: HTTPHeaders,
) -> None:
    reason_phrase = responses.get(response.status, "Unknown")
    body = b"" if request.method == "HEAD" else response.body
    connection.write_headers(
        ResponseStartLine("HTTP/1.1", response.status, reason_phrase),
        response_headers,
        body,
    )
    connection.finish()


def _decode_request(request: HTTPServerRequest) -> ForwardRequest:
    assert request.method is not None and request.uri is not None
    deadline_ms = headers.parse_whole_number(
        request.headers.get(headers.REQUEST_DEADLINE, "")
    )
    deadline_s = deadline_ms / MS_PER_S if deadline_ms is not None else None
    host = request.headers.get("Host", "")
    end_to_end_headers = headers.select_end_to_end(
        request.headers.get_all(), {headers.REQUEST_DEADLINE.lower()}
    )
    return ForwardRequest(
        id=request.headers.get(headers.REQUEST_ID, ""),
        method=request.method,
        host=host.partition(":")[0].lower(),
        path=request.path,
        target=request.uri,
        headers=end_to_end_headers,
        body=request.body,
        deadline_s=deadline_s,
        api_keys=_read_api_keys(request.headers),
        anonymous_headers=headers.select_anonymous(end_to_end_headers),
    )


def _read_api_keys(request_headers: HTTPHeaders) -> tuple[str, ...]:
    """Return the value of each header that states a key."""
    values = request_headers.get_list(headers.API_KEY)
    # Bytes are read as Latin-1, but operators publish keys in UTF-8.
    return tuple(
        value.encode("latin-1").decode("utf-8", "surrogateescape")
        for value in values
    )


def _describe_error(error: Exception, request: HTTPServerRequest) -> str:
    """Return a text about an error of a request.

    The text of an error may repeat values of the request, escaped in ways that
    cannot be foreseen. If a header may state a key, only the type and the place
    of the error are given.
    """
    names = (name for name, _ in request.headers.get_all())
    if not any(headers.states_identity(name) for name in names):
        return repr(error)
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}{place}"


class ReadinessServer:
    """HTTP server for the load balancer's readiness checks.

    Args:
        is_ready: Returns whether this entry accepts new connections.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._server = HTTPServer(self._respond)

    def listen(self, address: str) -> None:
        """Start answering readiness checks at an address, as `host:port`."""
        listen(self._server, address)

    def _respond(self, request: HTTPServerRequest) -> None:
        is_readiness_path = request.path == READY_PATH
        status = (
            200 if is_readiness_path and self._is_ready() else STATUS_NOT_RUN
        )
        connection = request.connection
        assert connection is not None
        connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, responses[status]),
            HTTPHeaders({"Content-Length": "0"}),
        )
        connection.finish()
