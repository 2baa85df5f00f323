"""HTTP for operators: the language with JSON answers."""

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
from berylspool.version.statement import CommandAnswer

__all__ = [
    "AdminServer",
    "Ask",
    "AskBackup",
    "AskChange",
    "AskReply",
    "AskState",
    "Decided",
    "Elsewhere",
    "Failed",
    "Shown",
    "StateShown",
]

MAX_BODY_BYTES = 1024 * 1024
ANSWER_TIMEOUT_S = 40.0

Role = Literal["read", "change"]


@dataclass(frozen=True, slots=True)
class Shown:
    """Rows that an operator asked for, or that a dry run would change."""

    rows: list[dict[str, Any]]
    revision: int


@dataclass(frozen=True, slots=True)
class Decided:
    """A command was decided.

    Attributes:
        answer: Whether it was accepted, and at which revision.
        having: Entries where that revision is in force.
        total: Entries that may hold a lease.
        is_everywhere: Whether it is in force everywhere.
    """

    answer: CommandAnswer
    having: int = 0
    total: int = 0
    is_everywhere: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """A command failed before it reached the log."""

    error: BerylspoolError


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another control node leads.

    Attributes:
        leader: Its name, or empty if none is known.
        address: Address of its administration API, or empty.
    """

    leader: str
    address: str


AskReply = Shown | Decided | Failed | Elsewhere


@dataclass(frozen=True, slots=True)
class StateShown:
    """The newest committed configuration, confirmed with a quorum."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class AskChange:
    """An operator's change as operations, for front ends without the language.

    Attributes:
        command_id: Id of the change; a resend has the same one.
        operations: What changes.
        text: Short description for the history.
        reply: Takes the one answer.
    """

    command_id: str
    operations: tuple[Operation, ...]
    text: str
    reply: Mailbox[Decided | Failed | Elsewhere] = field(
        default_factory=Mailbox
    )


@dataclass(frozen=True, slots=True)
class AskState:
    """An operator asks for the newest committed configuration."""

    reply: Mailbox[StateShown | Elsewhere] = field(default_factory=Mailbox)


@dataclass(frozen=True, slots=True)
class AskBackup:
    """An operator asks for the whole replicated state.

    Attributes:
        reply: Takes the encoded state; empty if this node does not lead.
    """

    reply: Mailbox[bytes] = field(default_factory=Mailbox)


@dataclass(frozen=True, slots=True)
class Ask:
    """An operator's command on its way to the control task.

    Attributes:
        text: Command in the operators' language.
        command_id: Id of the command; a resend has the same one.
        base_revision: Revision that the operator saw; -1 for any.
        is_waiting: Whether to answer once it is in force everywhere.
        is_dry_run: Whether to say only what would change.
        role: Role of the operator.
        reply: Takes the one answer.
    """

    text: str
    command_id: str
    base_revision: int
    is_waiting: bool
    is_dry_run: bool
    role: Role
    reply: Mailbox[AskReply] = field(default_factory=Mailbox)


class CommandModel(BaseModel):
    """Body of a command."""

    model_config = ConfigDict(extra="forbid")

    command: str = Field(min_length=1, max_length=100_000)
    id: str = Field("", max_length=128)
    base_revision: int = -1
    wait: bool = False
    dry_run: bool = False


class OperatorHandler(RequestHandler):
    """Base of the handlers that need a token."""

    def initialize(
        self, inbox: Mailbox[Any], tokens: dict[Role, SecretStr]
    ) -> None:
        """Keep the control task's inbox and the tokens."""
        self.inbox = inbox
        self.tokens = tokens

    def find_role(self) -> Role | None:
        """Return the role of the token; without tokens all may change."""
        if not self.tokens:
            return "change"
        header = self.request.headers.get("Authorization", "")
        given = header.removeprefix("Bearer ").encode()
        for role, token in self.tokens.items():
            if hmac.compare_digest(given, token.get_secret_value().encode()):
                return role
        return None


class BackupHandler(OperatorHandler):
    """Returns the whole replicated state."""

    async def get(self) -> None:
        """Answer with the encoded state, if this node leads."""
        if self.find_role() != "change":
            self.set_status(401)
            return
        ask = AskBackup()
        self.inbox.put(ask)
        replies = await ask.reply.take(ANSWER_TIMEOUT_S)
        if not replies or not replies[0]:
            self.set_status(421)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(replies[0])


class CommandHandler(OperatorHandler):
    """Runs one command."""

    async def post(self) -> None:
        """Answer one command."""
        role = self.find_role()
        if role is None:
            self._write_error(401, PermissionDeniedError("unknown token"))
            return
        try:
            model = CommandModel.model_validate_json(self.request.body)
        except ValidationError as error:
            details = error.errors(include_input=False, include_url=False)
            body = {"error": "InvalidBody", "details": str(details)}
            self._write(400, body)
            return
        ask = Ask(
            model.command,
            model.id or uuid.uuid4().hex,
            model.base_revision,
            model.wait,
            model.dry_run,
            role,
        )
        self.inbox.put(ask)
        replies = await ask.reply.take(ANSWER_TIMEOUT_S)
        if not replies:
            self._write_error(504, NoLeaderError("no answer in time"))
            return
        self._write_reply(replies[0])

    def _write_reply(self, reply: AskReply) -> None:
        match reply:
            case Shown(rows=rows, revision=revision):
                self._write(200, {"revision": revision, "rows": rows})
            case Decided(answer=answer):
                self._write_decided(reply, answer)
            case Elsewhere(leader=leader, address=address):
                body = {
                    "error": "NotLeader",
                    "leader": leader,
                    "address": address,
                }
                self._write(421, body)
            case Failed(error=error):
                denied = isinstance(error, PermissionDeniedError)
                self._write_error(403 if denied else 400, error)

    def _write_decided(self, reply: Decided, answer: CommandAnswer) -> None:
        conflict = answer.error == CommandConflictError.__name__
        status = 200 if answer.is_accepted else (409 if conflict else 400)
        body = {
            "id": answer.command_id,
            "accepted": answer.is_accepted,
            "revision": answer.revision,
            "in_force": {
                "entries": reply.having,
                "of": reply.total,
                "everywhere": reply.is_everywhere,
            },
            "error": answer.error,
            "message": answer.message,
        }
        self._write(status, body)

    def _write_error(self, status: int, error: BerylspoolError) -> None:
        body = {"error": type(error).__name__, "message": str(error)}
        self._write(status, body)

    def _write(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class HealthHandler(RequestHandler):
    """Whether the process runs."""

    def get(self) -> None:
        """Answer that it does."""
        self.finish({"status": "ok"})


class AdminServer:
    """Listens for operators.

    Args:
        inbox: Inbox of the control task.
        tokens: Token of each role; empty lets everybody change.
        metrics: Sums of the process.
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
                (r"/v1/command", CommandHandler, arguments),
                (r"/v1/backup", BackupHandler, arguments),
                (r"/healthz", HealthHandler),
                (r"/metrics", MetricsHandler, {"metrics": metrics}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)

    def listen(self, address: str) -> None:
        """Start to accept operators."""
        listen(self._server, address)

    async def close(self) -> None:
        """Stop accepting and close all connections."""
        self._server.stop()
        with_timeout = asyncio.timeout(1.0)
        async with with_timeout:
            await self._server.close_all_connections()
