"""HTTP servers for callers and for the load balancer's readiness checks."""

import asyncio
import re
import socket
import traceback
from collections.abc import Awaitable, Callable

from berylspool.common.event import Event, RequestFailed
from berylspool.common.metric import Metrics, increment_counter
from berylspool.exception import ProtocolError
from berylspool.platform import headers
from berylspool.platform.callers.connection import ClientConnection
from berylspool.platform.callers.holdings import HoldingLimits
from berylspool.platform.callers.request_reader import ClientRequest
from berylspool.platform.callers.server import ClientServer
from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import (
    Answer,
    Outcome,
    Reason,
    Refusal,
    UpstreamResponse,
)
from berylspool.version.forwarding import CallerLimits

__all__ = ["Ingress", "ReadinessServer", "encode_outcome"]

READY_PATH = "/-/readiness"
MAX_LOGGED_PATH = 200
MAX_LOGGED_NAME = 80
HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# Without limits in the settings: the memory that a process may then use, and
# the descriptors of the platform's VMs.
DEFAULT_LIMITS = HoldingLimits(64_000_000, 1_950)
# The load balancer has a few connections, and sends no bodies.
READINESS_LIMITS = HoldingLimits(1_000_000, 32)
READINESS_CLIENT_LIMITS = CallerLimits(16 * 1024, 0, 3.0, 60.0)
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
# Callers read these as a promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, STATUS_NOT_RUN})
# A stamp holds for the status it came with, and the other two also tell callers
# that they may send the request again.
NAMES_BOUND_TO_STATUS = frozenset(
    {
        headers.RESPONSE_STAMP.lower(),
        headers.RETRY_AFTER.lower(),
        headers.NOT_EXECUTED.lower(),
    }
)


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
            return _replace_not_run_status(response)
        case Refusal(reason=reason):
            status = 504 if reason is Reason.TIMEOUT else STATUS_MAY_HAVE_RUN
            return UpstreamResponse(status, (), b"")


def _replace_not_run_status(response: UpstreamResponse) -> UpstreamResponse:
    """Return an upstream's failure with a status that promises nothing.

    The request may have run, whatever the upstream means by the status.  The
    body still tells callers what failed.
    """
    if response.status not in NOT_RUN_STATUSES:
        return response
    kept = tuple(
        pair
        for pair in response.headers
        if pair[0].lower() not in NAMES_BOUND_TO_STATUS
    )
    return UpstreamResponse(STATUS_MAY_HAVE_RUN, kept, response.body)


class Ingress:
    """HTTP server for callers; a separate task serves each request.

    Args:
        answer: Answers a request; the event is set when the caller
            disconnects.
        is_closing: Returns whether responses must ask callers to use another
            connection.
        log: Called with each log event.
        listening_socket: Listening socket, if it is open already.
        limits: Limits on all callers together.
        get_limits: Returns the limits on each of them.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        answer: Callable[[ForwardRequest, asyncio.Event], Awaitable[Outcome]],
        is_closing: Callable[[], bool],
        log: Callable[[Event], None],
        listening_socket: socket.socket | None = None,
        *,
        limits: HoldingLimits = DEFAULT_LIMITS,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
        metrics: Metrics | None = None,
    ) -> None:
        self._answer = answer
        self._is_closing = is_closing
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self._metrics = metrics or Metrics()
        self._server = ClientServer(
            self._accept,
            limits,
            get_limits=get_limits,
            log=lambda event: self._log(event),
            metrics=self._metrics,
            listening_socket=listening_socket,
        )

    def listen(self, address: str) -> None:
        """Start accepting connections.

        Args:
            address: Address as `host:port`; ignored if the listening socket
                is open already.

        Raises:
            ListenError: The address cannot be listened on.
        """
        self._server.listen(address)

    def stop_listening(self) -> None:
        """Stop accepting new connections; open ones stay open."""
        self._server.stop_listening()

    async def close(self) -> None:
        """Close all connections; no request may be in flight."""
        await self._server.close()

    def _accept(
        self, connection: ClientConnection, request: ClientRequest
    ) -> None:
        task = asyncio.ensure_future(self._serve(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, connection: ClientConnection, request: ClientRequest
    ) -> None:
        gone = connection.gone
        has_run = True
        try:
            outcome = await self._answer(_decode_request(request), gone)
            has_run = not (isinstance(outcome, Refusal) and outcome.not_run)
            response = encode_outcome(outcome)
            self._count_replaced(outcome, response)
            response_headers = _make_headers(request, response)
        except Exception as error:
            # A defect that one request meets must not leave its caller waiting.
            self._log_failure(request, error)
            refusal = Refusal("", Reason.INTERNAL, False, 0.0)
            response = encode_outcome(refusal)
            response_headers = _make_headers(request, response)
        if gone.is_set():
            connection.end_dropped(has_run)
            return
        if self._is_closing():
            # A request that follows on this connection must not run.
            request.keeps_alive = False
        try:
            _write(connection, request, response, response_headers)
        except Exception as error:
            # The caller may have a part of the response, which must not look
            # whole, and must not wait for the rest.
            self._log_failure(request, error)
            connection.abort()

    def _count_replaced(
        self, outcome: Outcome, response: UpstreamResponse
    ) -> None:
        """Count a failure whose status differs from the upstream's."""
        match outcome:
            case Refusal(response=UpstreamResponse(status=status)) if (
                status != response.status
            ):
                name = "berylspool_replaced_statuses_total"
                increment_counter(self._metrics, name, status=str(status))

    def _log_failure(self, request: ClientRequest, error: Exception) -> None:
        path = request.target.partition("?")[0]
        text = _describe_error(error, request)
        self._log(RequestFailed(path[:MAX_LOGGED_PATH], text))


def _make_headers(
    request: ClientRequest, response: UpstreamResponse
) -> list[tuple[str, str]]:
    """Return the headers of a response.

    Raises:
        ProtocolError: A header is not valid in HTTP.
    """
    for name, value in response.headers:
        if not HEADER_NAME.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise ProtocolError(f"invalid header {name[:MAX_LOGGED_NAME]!r}")
    response_headers = list(response.headers)
    if request.method != "HEAD":
        response_headers.append(("Content-Length", str(len(response.body))))
    return response_headers


def _write(
    connection: ClientConnection,
    request: ClientRequest,
    response: UpstreamResponse,
    response_headers: list[tuple[str, str]],
) -> None:
    body = b"" if request.method == "HEAD" else response.body
    connection.respond(request, response.status, response_headers, body)


def _decode_request(request: ClientRequest) -> ForwardRequest:
    deadline_ms = headers.parse_whole_number(
        request.get(headers.REQUEST_DEADLINE)
    )
    deadline_s = deadline_ms / MS_PER_S if deadline_ms is not None else None
    end_to_end_headers = headers.select_end_to_end(
        request.headers, {headers.REQUEST_DEADLINE.lower()}
    )
    return ForwardRequest(
        id=request.get(headers.REQUEST_ID),
        method=request.method,
        host=request.get("Host").partition(":")[0].lower(),
        path=request.target.partition("?")[0],
        target=request.target,
        headers=end_to_end_headers,
        body=request.body,
        deadline_s=deadline_s,
        api_keys=_read_api_keys(request.headers),
        anonymous_headers=headers.select_anonymous(end_to_end_headers),
    )


def _read_api_keys(
    request_headers: list[tuple[str, str]],
) -> tuple[str, ...]:
    """Return the value of each header that states a key."""
    values = [v for name, v in request_headers if name == headers.API_KEY]
    # Bytes are read as Latin-1, but operators publish keys in UTF-8.
    return tuple(
        value.encode("latin-1").decode("utf-8", "surrogateescape")
        for value in values
    )


def _describe_error(error: Exception, request: ClientRequest) -> str:
    """Return a text about an error of a request.

    The text of an error may repeat values of the request, escaped in ways that
    cannot be foreseen. If a header may state a key, only the type and the place
    of the error are given.
    """
    names = (name for name, _ in request.headers)
    if not any(headers.states_identity(name) for name in names):
        return repr(error)
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}{place}"


class ReadinessServer:
    """HTTP server for the load balancer's readiness checks.

    Args:
        is_ready: Returns whether this entry accepts new connections.
        log: Called with each log event.
    """

    def __init__(
        self, is_ready: Callable[[], bool], log: Callable[[Event], None]
    ) -> None:
        self._is_ready = is_ready
        self._server = ClientServer(
            self._respond,
            READINESS_LIMITS,
            get_limits=lambda: READINESS_CLIENT_LIMITS,
            log=log,
            metrics=Metrics(),
        )

    def listen(self, address: str) -> None:
        """Start answering readiness checks at an address, as `host:port`."""
        self._server.listen(address)

    def _respond(
        self, connection: ClientConnection, request: ClientRequest
    ) -> None:
        is_readiness_path = request.target.partition("?")[0] == READY_PATH
        status = (
            200 if is_readiness_path and self._is_ready() else STATUS_NOT_RUN
        )
        connection.respond(request, status, [("Content-Length", "0")], b"")
