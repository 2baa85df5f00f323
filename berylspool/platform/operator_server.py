"""HTTP server for the platform's operator."""

from collections.abc import Callable
from typing import Any

import orjson
import xxhash
from pydantic import Field, ValidationError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.mailbox import Mailbox
from berylspool.connection.admin import (
    ChangeRequest,
    CommandFailure,
    CommandResult,
    CommittedConfiguration,
    ConfigurationRequest,
    LeaderRedirect,
)
from berylspool.connection.listen import listen
from berylspool.exception import ConfigurationError
from berylspool.platform.document import read_document, unpack_document
from berylspool.platform.model import PlatformModel, describe_error
from berylspool.version.configuration import Configuration, ZoneState
from berylspool.version.move import MoveState
from berylspool.version.operation import (
    MoveService,
    Operation,
    Publish,
    SetZone,
)

__all__ = ["OperatorServer"]

MAX_BODY_BYTES = 64 * 1024 * 1024
# The operator tries another control node after 1 s without an answer.
ANSWER_TIMEOUT_S = 4.0
JSON_CONTENT_TYPE = "application/json"

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


class _OperatorHandler(RequestHandler):
    """Base of the handlers: sends messages to the control task and responds."""

    def initialize(self, inbox: Mailbox[Any], port: int) -> None:
        """Store the control task's inbox and the operators' port."""
        self.inbox = inbox
        self.port = port

    async def submit_change(
        self, id: str, operation: Operation, text: str
    ) -> None:
        """Propose a change and respond once it is committed or has failed.

        Args:
            id: Id of the change; a resend has the same one.
            operation: Change to propose.
            text: Short description for the history.
        """
        change_request = ChangeRequest(id, (operation,), text)
        self.inbox.put(change_request)
        replies = await change_request.reply.take(ANSWER_TIMEOUT_S)
        match replies:
            case [CommandResult(answer=answer)] if answer.is_accepted:
                self.set_status(200)
            case [CommandResult(answer=answer)]:
                self.respond_error(400, answer.message)
            case [CommandFailure(error=error)]:
                self.respond_error(400, str(error))
            case [LeaderRedirect(leader=leader)]:
                self.redirect_to(leader)
            case _:
                self.respond_error(
                    503, f"not committed within {ANSWER_TIMEOUT_S} s"
                )

    async def read_configuration(self) -> Configuration | None:
        """Return the newest configuration; respond with an error if unknown."""
        configuration_request = ConfigurationRequest()
        self.inbox.put(configuration_request)
        match await configuration_request.reply.take(ANSWER_TIMEOUT_S):
            case [CommittedConfiguration(configuration=configuration)]:
                return configuration
            case [LeaderRedirect(leader=leader)]:
                self.redirect_to(leader)
            case _:
                self.respond_error(
                    503,
                    "the control task did not answer within "
                    f"{ANSWER_TIMEOUT_S} s",
                )
        return None

    def redirect_to(self, leader: str) -> None:
        """Redirect to the leader, or respond that no leader is known."""
        if not leader:
            self.respond_error(503, "no leader is known")
            return
        self.set_status(307)
        location = f"http://{leader}:{self.port}{self.request.uri}"
        self.set_header("Location", location)

    def respond_error(self, status: int, message: str) -> None:
        """Respond that the request was not carried out."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.write(orjson.dumps({"error": message[:2000]}))


class ReplaceConfigurationHandler(_OperatorHandler):
    """Publishes a complete configuration."""

    async def post(self) -> None:
        """Respond once the configuration is committed."""
        body = self.request.body
        try:
            document, _ = read_document(body)
        except ConfigurationError as error:
            self.respond_error(400, str(error))
            return
        digest = xxhash.xxh3_64_hexdigest(body)
        id = f"plan/{document.number}/{digest}"
        text = f"plan {document.number}"
        await self.submit_change(id, Publish(document), text)


class ReadConfigurationHandler(_OperatorHandler):
    """Returns the newest configuration."""

    async def get(self) -> None:
        """Respond with the text that the operator published."""
        configuration = await self.read_configuration()
        if configuration is None:
            return
        if not configuration.document.number:
            self.respond_error(503, "no configuration has been published yet")
            return
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.write(unpack_document(configuration.document))


class BeginRolloutHandler(_OperatorHandler):
    """Starts the move of a service to another software version."""

    async def post(self) -> None:
        """Respond once the move is committed."""
        try:
            model = RolloutModel.model_validate_json(self.request.body)
        except ValidationError as error:
            self.respond_error(400, describe_error(error))
            return
        service, version = model.service, model.target_version
        operation = MoveService(service, version, model.duration_s)
        # The revision is part of the id, because moves to another version and
        # back again are separate changes.  A resend may get another id; it
        # changes nothing, because the latest move has the same version.
        configuration = await self.read_configuration()
        if configuration is None:
            return
        id = f"move/{service}/{version}/{configuration.revision}"
        await self.submit_change(id, operation, f"move {service} to {version}")


class ReadRolloutHandler(_OperatorHandler):
    """Returns the state of the move of a service."""

    async def get(self, service: str) -> None:
        """Respond with the state and the target version of the move."""
        configuration = await self.read_configuration()
        if configuration is None:
            return
        move = configuration.move_by_route.get(service)
        if move is None:
            self.respond_error(404, f"no move of service {service!r}")
            return
        body = {
            "state": WORD_BY_MOVE_STATE.get(move.state, "running"),
            "target-version": move.new,
        }
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.write(orjson.dumps(body))


class ZoneHandler(_OperatorHandler):
    """Takes an availability zone out of service, or back into service."""

    async def post(self, action: str, zone: str) -> None:
        """Respond once the change is committed."""
        is_evacuation = action == "Begin"
        configuration = await self.read_configuration()
        if configuration is None:
            return
        zone_state = ZoneState.OUT if is_evacuation else ZoneState.IN
        id = f"zone/{zone}/{zone_state}/{configuration.revision}"
        await self.submit_change(
            id, SetZone(zone, zone_state), f"zone {zone} {zone_state}"
        )


class OperatorServer:
    """HTTP server for the operator.

    Args:
        port: Port on which the operator reaches every control node.
        inbox: Inbox of the control task.
    """

    def __init__(self, port: int, inbox: Mailbox[Any]) -> None:
        arguments = {"inbox": inbox, "port": port}
        routes: list[tuple[str, type[RequestHandler], dict[str, Any]]] = [
            (r"/-/Config\.Replace", ReplaceConfigurationHandler, arguments),
            (r"/-/Config\.Read", ReadConfigurationHandler, arguments),
            (r"/-/Rollouts\.Begin", BeginRolloutHandler, arguments),
            (r"/-/Rollouts\.Read/(.+)", ReadRolloutHandler, arguments),
            (r"/-/Evacuation\.(Begin|Finish)/(.+)", ZoneHandler, arguments),
        ]
        application = Application(
            routes,  # type: ignore[arg-type]
            log_function=_log_nothing,
        )
        self._server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)

    def listen(self, address: str) -> None:
        """Start accepting connections at an address, as `host:port`."""
        listen(self._server, address)


_log_nothing: Callable[[Any], None] = lambda handler: None  # noqa: E731
