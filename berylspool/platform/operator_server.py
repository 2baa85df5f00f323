"""HTTP server for the platform's operator."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

import orjson
import xxhash
from pydantic import Field, ValidationError

from berylspool.common.event import Event, RequestFailed
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.admin import (
    ChangeRequest,
    CommandFailure,
    CommandResult,
    CommittedConfiguration,
    ConfigurationRequest,
    LeaderRedirect,
)
from berylspool.exception import ConfigurationError
from berylspool.platform.callers.connection import ClientConnection
from berylspool.platform.callers.holdings import HoldingLimits
from berylspool.platform.callers.request_reader import ClientRequest
from berylspool.platform.callers.server import ClientServer
from berylspool.platform.document import read_document, unpack_document
from berylspool.platform.model import PlatformModel, describe_error
from berylspool.request.query import UpstreamResponse
from berylspool.version.configuration import Configuration, ZoneState
from berylspool.version.forwarding import CallerLimits
from berylspool.version.move import MoveState
from berylspool.version.operation import (
    MoveService,
    Operation,
    Publish,
    SetZone,
)

__all__ = ["OperatorServer"]

# A configuration of 300 routes to 135 services each has less than 1 MiB.
# Operators keep connections open between commands.
OPERATOR_LIMITS = CallerLimits(
    max_head_bytes=64 * 1024,
    max_body_bytes=8 * 1024 * 1024,
    head_timeout_s=10.0,
    idle_timeout_s=120.0,
)
MAX_ERROR_LENGTH = 2000
MAX_LOGGED_PATH = 200
# The operator tries another control node after 1 s without an answer.
ANSWER_TIMEOUT_S = 4.0

Handler = Callable[..., Awaitable[UpstreamResponse]]

WORD_BY_MOVE_STATE = {
    MoveState.DONE: "completed",
    MoveState.TAKEN_BACK: "rolled_back",
    MoveState.TAKING_BACK: "rolled_back",
}


class RolloutModel(PlatformModel):
    """Request to move a service to another software version.

    Attributes:
        service: Service to move.
        target_version: Software version of the upstreams to move to.
        duration_s: Duration of the move, in seconds.
    """

    service: str
    target_version: str
    duration_s: float = Field(gt=0)


class OperatorServer:
    """HTTP server for the operator.

    Args:
        port: Port on which the operator reaches every control node.
        inbox: Inbox of the control task.
        limits: Limits on all clients together.
        log: Called with each log event.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        port: int,
        inbox: Mailbox[Any],
        *,
        limits: HoldingLimits,
        log: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self._port = port
        self._inbox = inbox
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self._routes: tuple[tuple[str, re.Pattern[str], Handler], ...] = (
            ("POST", re.compile(r"/-/Config\.Replace"), self._replace),
            ("GET", re.compile(r"/-/Config\.Read"), self._read),
            ("POST", re.compile(r"/-/Rollouts\.Begin"), self._begin_rollout),
            ("GET", re.compile(r"/-/Rollouts\.Read/(.+)"), self._read_rollout),
            (
                "POST",
                re.compile(r"/-/Evacuation\.(Begin|Finish)/(.+)"),
                self._set_zone,
            ),
        )
        self._server = ClientServer(
            self._accept,
            limits,
            get_limits=lambda: OPERATOR_LIMITS,
            log=log,
            metrics=metrics,
        )

    def listen(self, address: str) -> None:
        """Start accepting connections at an address, as `host:port`."""
        self._server.listen(address)

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
        if gone.is_set():
            connection.end_dropped(has_run=False)
            return
        path = request.target.partition("?")[0]
        try:
            response = await self._answer(request, unquote(path))
        except Exception as error:
            # A defect that one request meets must not leave its sender waiting.
            self._log(RequestFailed(path[:MAX_LOGGED_PATH], repr(error)))
            response = _make_error(500, "internal error")
        if gone.is_set():
            connection.end_dropped(has_run=True)
            return
        length = ("Content-Length", str(len(response.body)))
        body = b"" if request.method == "HEAD" else response.body
        connection.respond(
            request, response.status, [*response.headers, length], body
        )

    async def _answer(
        self, request: ClientRequest, path: str
    ) -> UpstreamResponse:
        """Return the response to a request."""
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is not None:
                if request.method != method:
                    return _make_error(405, f"use {method}")
                return await handler(request, *match.groups())
        return _make_error(404, "unknown path")

    async def _replace(self, request: ClientRequest) -> UpstreamResponse:
        """Publish a complete configuration; answer once it is committed."""
        body = request.body
        try:
            document, _ = read_document(body)
        except ConfigurationError as error:
            return _make_error(400, str(error))
        digest = xxhash.xxh3_64_hexdigest(body)
        id = f"plan/{document.number}/{digest}"
        text = f"plan {document.number}"
        return await self._submit(request, id, Publish(document), text)

    async def _read(self, request: ClientRequest) -> UpstreamResponse:
        """Return the text of the newest configuration as it was published."""
        configuration = await self._read_configuration(request)
        if isinstance(configuration, UpstreamResponse):
            return configuration
        document = configuration.document
        if not document.number:
            return _make_error(503, "no configuration has been published yet")
        return _make_json(200, unpack_document(document))

    async def _begin_rollout(self, request: ClientRequest) -> UpstreamResponse:
        """Move a service to another software version."""
        try:
            model = RolloutModel.model_validate_json(request.body)
        except ValidationError as error:
            return _make_error(400, describe_error(error))
        service, version = model.service, model.target_version
        operation = MoveService(service, version, model.duration_s)
        # The revision is part of the id, because moves to another version and
        # back again are separate changes.  A resend may get another id; it
        # changes nothing, because the latest move has the same version.
        configuration = await self._read_configuration(request)
        if isinstance(configuration, UpstreamResponse):
            return configuration
        id = f"move/{service}/{version}/{configuration.revision}"
        text = f"move {service} to {version}"
        return await self._submit(request, id, operation, text)

    async def _read_rollout(
        self, request: ClientRequest, service: str
    ) -> UpstreamResponse:
        """Return the state and the target version of the move of a service."""
        configuration = await self._read_configuration(request)
        if isinstance(configuration, UpstreamResponse):
            return configuration
        move = configuration.move_by_route.get(service)
        if move is None:
            return _make_error(404, f"no move of service {service!r}")
        body = {
            "state": WORD_BY_MOVE_STATE.get(move.state, "running"),
            "target-version": move.new,
        }
        return _make_json(200, orjson.dumps(body))

    async def _set_zone(
        self, request: ClientRequest, action: str, zone: str
    ) -> UpstreamResponse:
        """Take an availability zone out of service, or back into service."""
        configuration = await self._read_configuration(request)
        if isinstance(configuration, UpstreamResponse):
            return configuration
        zone_state = ZoneState.OUT if action == "Begin" else ZoneState.IN
        id = f"zone/{zone}/{zone_state}/{configuration.revision}"
        text = f"zone {zone} {zone_state}"
        return await self._submit(request, id, SetZone(zone, zone_state), text)

    async def _submit(
        self,
        request: ClientRequest,
        id: str,
        operation: Operation,
        text: str,
    ) -> UpstreamResponse:
        """Propose a change and respond once it is committed or has failed.

        Args:
            request: Request of the operator.
            id: Id of the change; a resend has the same one.
            operation: Change to propose.
            text: Short description for the history.
        """
        change_request = ChangeRequest(id, (operation,), text)
        self._inbox.put(change_request)
        match await change_request.reply.take(ANSWER_TIMEOUT_S):
            case [CommandResult(answer=answer)] if answer.is_accepted:
                return UpstreamResponse(200, (), b"")
            case [CommandResult(answer=answer)]:
                return _make_error(400, answer.message)
            case [CommandFailure(error=error)]:
                return _make_error(400, str(error))
            case [LeaderRedirect(leader=leader)]:
                return self._redirect_to(leader, request)
            case _:
                return _make_error(
                    503, f"not committed within {ANSWER_TIMEOUT_S} s"
                )

    async def _read_configuration(
        self, request: ClientRequest
    ) -> Configuration | UpstreamResponse:
        """Return the newest configuration, or a response if it is unknown."""
        configuration_request = ConfigurationRequest()
        self._inbox.put(configuration_request)
        match await configuration_request.reply.take(ANSWER_TIMEOUT_S):
            case [CommittedConfiguration(configuration=configuration)]:
                return configuration
            case [LeaderRedirect(leader=leader)]:
                return self._redirect_to(leader, request)
        return _make_error(
            503,
            f"the control task did not answer within {ANSWER_TIMEOUT_S} s",
        )

    def _redirect_to(
        self, leader: str, request: ClientRequest
    ) -> UpstreamResponse:
        """Return a redirect to the leader, or that no leader is known."""
        if not leader:
            return _make_error(503, "no leader is known")
        location = f"http://{leader}:{self._port}{request.target}"
        return UpstreamResponse(307, (("Location", location),), b"")


def _make_json(status: int, body: bytes) -> UpstreamResponse:
    content_type = ("Content-Type", "application/json")
    return UpstreamResponse(status, (content_type,), body)


def _make_error(status: int, message: str) -> UpstreamResponse:
    """Return the response to a request that was not carried out."""
    body = orjson.dumps({"error": message[:MAX_ERROR_LENGTH]})
    return _make_json(status, body)
