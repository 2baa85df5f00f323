"""Administration API of a control node: HTTP requests of operators."""

import asyncio
import hmac
import uuid
from dataclasses import dataclass, field
from typing import Any, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, SecretStr, ValidationError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.listen import listen
from berylspool.connection.scrape import MetricsHandler
from berylspool.exception import (
    BerylspoolError,
    CommandConflictError,
    NoLeaderError,
    PermissionDeniedError,
)
from berylspool.version.configuration import Configuration
from berylspool.version.operation import Operation
from berylspool.version.operator_command import CommandAnswer

__all__ = [
    "AdminServer",
    "BackupRequest",
    "ChangeRequest",
    "CommandFailure",
    "CommandReply",
    "CommandRequest",
    "CommandResult",
    "CommandRows",
    "CommittedConfiguration",
    "ConfigurationRequest",
    "LeaderRedirect",
]

MAX_BODY_BYTES = 1024 * 1024
ANSWER_TIMEOUT_S = 40.0

Role = Literal["read", "change"]


@dataclass(frozen=True, slots=True)
class CommandRows:
    """Rows that a command selects, or that a dry run would change.

    Attributes:
        rows: Field values by name, for each row.
        revision: Revision of the configuration that was read.
    """

    rows: list[dict[str, Any]]
    revision: int


@dataclass(frozen=True, slots=True)
class CommandResult:
    """A command was accepted or rejected.

    Attributes:
        answer: The decision, with the revision it led to.
        entries_in_force: Number of entries where that revision is in force.
        leased_entries: Number of entries that may hold a lease.
        is_in_force_everywhere: Whether the revision is in force everywhere.
    """

    answer: CommandAnswer
    entries_in_force: int = 0
    leased_entries: int = 0
    is_in_force_everywhere: bool = False


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """A command failed before it was added to the replicated log."""

    error: BerylspoolError


@dataclass(frozen=True, slots=True)
class LeaderRedirect:
    """This control node is not the leader.

    Attributes:
        leader: Name of the leader; empty if unknown.
        address: Address of its administration API; empty if unknown.
    """

    leader: str
    address: str


CommandReply = CommandRows | CommandResult | CommandFailure | LeaderRedirect


@dataclass(frozen=True, slots=True)
class CommittedConfiguration:
    """The latest committed configuration, confirmed by a quorum."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as operations, from a front end without the command language.

    Attributes:
        command_id: Id of the change; a retry uses the same id.
        operations: Operations on the configuration, in order.
        text: Short description for the history.
        reply: Receives exactly one reply.
    """

    command_id: str
    operations: tuple[Operation, ...]
    text: str
    reply: Mailbox[CommandResult | CommandFailure | LeaderRedirect] = field(
        default_factory=Mailbox
    )


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """An operator's request for the latest committed configuration.

    Attributes:
        reply: Receives exactly one reply.
    """

    reply: Mailbox[CommittedConfiguration | LeaderRedirect] = field(
        default_factory=Mailbox
    )


@dataclass(frozen=True, slots=True)
class BackupRequest:
    """An operator's request for a backup of the replicated state.

    Attributes:
        reply: Receives the encoded state; empty if this node is not the
            leader.
    """

    reply: Mailbox[bytes] = field(default_factory=Mailbox)


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """An operator's command, sent to the control task.

    Attributes:
        text: Command in the command language.
        command_id: Id of the command; a retry uses the same id.
        base_revision: Revision that the command is based on; -1 for any.
        waits_until_in_force: Whether to reply only once the change is in force
            everywhere.
        is_dry_run: Whether to return the differences without applying them.
        role: Role of the operator.
        reply: Receives exactly one reply.
    """

    text: str
    command_id: str
    base_revision: int
    waits_until_in_force: bool
    is_dry_run: bool
    role: Role
    reply: Mailbox[CommandReply] = field(default_factory=Mailbox)


class AdminCommandBody(BaseModel):
    """JSON body of a command request."""

    model_config = ConfigDict(extra="forbid")

    command: str = Field(min_length=1, max_length=100_000)
    id: str = Field("", max_length=128)
    base_revision: int = -1
    wait: bool = False
    dry_run: bool = False


class AuthenticatedHandler(RequestHandler):
    """Base class of the handlers that require a token."""

    def initialize(
        self, inbox: Mailbox[Any], tokens: dict[Role, SecretStr]
    ) -> None:
        """Set the inbox of the control task and the token of each role."""
        self.inbox = inbox
        self.tokens = tokens

    def find_role(self) -> Role | None:
        """Return the role of the token; `change` if no tokens are set."""
        if not self.tokens:
            return "change"
        header = self.request.headers.get("Authorization", "")
        given_token = header.removeprefix("Bearer ").encode()
        for role, role_token in self.tokens.items():
            if hmac.compare_digest(
                given_token, role_token.get_secret_value().encode()
            ):
                return role
        return None


class BackupHandler(AuthenticatedHandler):
    """Serves backups of the replicated state."""

    async def get(self) -> None:
        """Return the encoded state if this node is the leader."""
        if self.find_role() != "change":
            self.set_status(401)
            return
        backup_request = BackupRequest()
        self.inbox.put(backup_request)
        replies = await backup_request.reply.take(ANSWER_TIMEOUT_S)
        if not replies or not replies[0]:
            self.set_status(421)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(replies[0])


class AdminCommandHandler(AuthenticatedHandler):
    """Runs operators' commands."""

    async def post(self) -> None:
        """Run one command and write its reply."""
        role = self.find_role()
        if role is None:
            self._write_error(
                401, PermissionDeniedError("missing or unknown token")
            )
            return
        try:
            command_body = AdminCommandBody.model_validate_json(
                self.request.body
            )
        except ValidationError as error:
            details = error.errors(include_input=False, include_url=False)
            body = {"error": "InvalidBody", "details": str(details)}
            self._write_json(400, body)
            return
        command_request = CommandRequest(
            command_body.command,
            command_body.id or uuid.uuid4().hex,
            command_body.base_revision,
            command_body.wait,
            command_body.dry_run,
            role,
        )
        self.inbox.put(command_request)
        replies = await command_request.reply.take(ANSWER_TIMEOUT_S)
        if not replies:
            self._write_error(
                504,
                NoLeaderError(
                    f"control node did not answer within {ANSWER_TIMEOUT_S:g} s"
                ),
            )
            return
        self._write_reply(replies[0])

    def _write_reply(self, reply: CommandReply) -> None:
        match reply:
            case CommandRows(rows=rows, revision=revision):
                self._write_json(200, {"revision": revision, "rows": rows})
            case CommandResult(answer=answer):
                self._write_decision(reply, answer)
            case LeaderRedirect(leader=leader, address=address):
                body = {
                    "error": "NotLeader",
                    "leader": leader,
                    "address": address,
                }
                self._write_json(421, body)
            case CommandFailure(error=error):
                is_denied = isinstance(error, PermissionDeniedError)
                self._write_error(403 if is_denied else 400, error)

    def _write_decision(
        self, reply: CommandResult, answer: CommandAnswer
    ) -> None:
        is_conflict = answer.error == CommandConflictError.__name__
        status = 200 if answer.is_accepted else (409 if is_conflict else 400)
        body = {
            "id": answer.command_id,
            "accepted": answer.is_accepted,
            "revision": answer.revision,
            "in_force": {
                "entries": reply.entries_in_force,
                "of": reply.leased_entries,
                "everywhere": reply.is_in_force_everywhere,
            },
            "error": answer.error,
            "message": answer.message,
        }
        self._write_json(status, body)

    def _write_error(self, status: int, error: BerylspoolError) -> None:
        body = {"error": type(error).__name__, "message": str(error)}
        self._write_json(status, body)

    def _write_json(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class AdminHealthHandler(RequestHandler):
    """Liveness check of the process."""

    def get(self) -> None:
        """Return status 200."""
        self.finish({"status": "ok"})


class AdminServer:
    """HTTP server of the administration API.

    Args:
        inbox: Inbox of the control task.
        tokens: Token of each role; if empty, every client has the role
            `change`.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        inbox: Mailbox[Any],
        tokens: dict[Role, SecretStr],
        metrics: Metrics,
    ) -> None:
        arguments = {"inbox": inbox, "tokens": tokens}
        application = Application(
            [
                (r"/v1/command", AdminCommandHandler, arguments),
                (r"/v1/backup", BackupHandler, arguments),
                (r"/healthz", AdminHealthHandler),
                (r"/metrics", MetricsHandler, {"metrics": metrics}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)

    def listen(self, address: str) -> None:
        """Start to accept connections on `host:port`."""
        listen(self._server, address)

    async def close(self) -> None:
        """Stop accepting and close all connections."""
        self._server.stop()
        close_timeout = asyncio.timeout(1.0)
        async with close_timeout:
            await self._server.close_all_connections()
