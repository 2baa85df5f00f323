"""Operator client: sends commands to the leader and prints the answers."""

import asyncio
import sys
import urllib.parse
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from prompt_toolkit import PromptSession
from prompt_toolkit.completion import Completer, Completion
from prompt_toolkit.history import FileHistory
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from berylspool.exception import CommandError, NoLeaderError
from berylspool.process.settings import Settings
from berylspool.version.language import expected_words, parse_command
from berylspool.version.operator_command import Show

__all__ = ["CommandOptions", "OperatorClient", "interact", "print_answer"]

REQUEST_TIMEOUT_S = 45.0
RETRY_INTERVAL_S = 0.3
MAX_ATTEMPTS = 20
EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_CONFLICT = 3
STATUS_CONFLICT = 409
STATUS_NOT_LEADER = 421
HISTORY_FILE = "~/.berylspool_history"


@dataclass(frozen=True, slots=True)
class CommandOptions:
    """Options for sending commands and printing their answers.

    Attributes:
        token: Administration token, or empty.
        is_waiting: Whether to wait until a change is in force everywhere.
        is_dry_run: Whether to show the effect of a change without applying
            it.
        is_json: Whether to print JSON.
        command_id: Id of the command; a resend has the same one.  If empty,
            each command gets a random one.
        base_revision: Revision that the command is based on; None to read
            the current one first.
    """

    token: str = ""
    is_waiting: bool = False
    is_dry_run: bool = False
    is_json: bool = False
    command_id: str = ""
    base_revision: int | None = None


@dataclass(frozen=True, slots=True)
class CommandReply:
    """HTTP status and decoded body of the answer to a command."""

    status: int
    body: dict[str, Any]


class OperatorClient:
    """Sends commands to whichever control node leads.

    Args:
        settings: Settings of the deployment.
        options: Options for sending commands.
    """

    def __init__(self, settings: Settings, options: CommandOptions) -> None:
        self._addresses = [
            control.admin_address for control in settings.controls.values()
        ]
        self._options = options

    async def run_command(self, text: str) -> CommandReply:
        """Run one command and return its answer.

        All attempts use the same id, so a command whose answer was lost is
        not applied twice.

        Raises:
            CommandError: The command does not follow the grammar.
            NoLeaderError: No control node has answered as leader within
                the maximum number of attempts.
        """
        command = parse_command(text)
        options = self._options
        base_revision = -1
        if not isinstance(command, Show):
            base_revision = await self._read_base_revision()
        body = {
            "command": text,
            "id": options.command_id or uuid.uuid4().hex,
            "base_revision": base_revision,
            "wait": options.is_waiting,
            "dry_run": options.is_dry_run,
        }
        return await self._send_command(body)

    async def fetch_backup(self) -> bytes:
        """Return a backup of the replicated state from the leader.

        Raises:
            NoLeaderError: No control node has answered as leader within
                the maximum number of attempts.
        """
        for _ in range(MAX_ATTEMPTS):
            for address in self._addresses:
                status, body = await self._send_request(
                    address, "/v1/backup", None
                )
                if status == 200:
                    return body
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise NoLeaderError(
            f"no control node answered as leader in {MAX_ATTEMPTS} attempts"
        )

    async def _read_base_revision(self) -> int:
        if self._options.base_revision is not None:
            return self._options.base_revision
        reply = await self._send_command({"command": "show status"})
        return reply.body["revision"]

    async def _send_command(self, body: dict[str, Any]) -> CommandReply:
        content = orjson.dumps(body)
        address = self._addresses[0]
        for attempt in range(MAX_ATTEMPTS):
            status, answer_body = await self._send_request(
                address, "/v1/command", content
            )
            if status not in (0, STATUS_NOT_LEADER):
                return CommandReply(status, orjson.loads(answer_body))
            next_address = (
                orjson.loads(answer_body).get("address") if answer_body else ""
            )
            if not next_address:
                await asyncio.sleep(RETRY_INTERVAL_S)
                count = len(self._addresses)
                next_address = self._addresses[(attempt + 1) % count]
            address = next_address
        raise NoLeaderError(
            f"no control node answered as leader in {MAX_ATTEMPTS} attempts"
        )

    async def _send_request(
        self, address: str, path: str, content: bytes | None
    ) -> tuple[int, bytes]:
        """Return status and body, or status 0 if there was no answer."""
        url = urllib.parse.urlunsplit(("http", address, path, "", ""))
        headers = {"Authorization": f"Bearer {self._options.token}"}
        try:
            response = await AsyncHTTPClient().fetch(
                url,
                method="GET" if content is None else "POST",
                body=content,
                headers=headers,
                request_timeout=REQUEST_TIMEOUT_S,
                raise_error=False,
            )
        except (OSError, HTTPClientError):
            return 0, b""
        # Tornado reports a timeout as status 599.
        if response.code == 599:
            return 0, b""
        return response.code, response.body


def print_answer(reply: CommandReply, is_json: bool) -> int:
    """Print an answer and return the exit code."""
    body = reply.body
    if is_json:
        sys.stdout.write(orjson.dumps(body).decode() + "\n")
    elif "rows" in body:
        _print_rows(body["rows"])
    elif body.get("accepted"):
        in_force = body["in_force"]
        extent = (
            "everywhere" if in_force["everywhere"] else "not yet everywhere"
        )
        print(
            f"accepted at revision {body['revision']}; in force at "
            f"{in_force['entries']} of {in_force['of']} entries, {extent}"
        )
    else:
        message = body.get("message") or body.get("details", "")
        sys.stderr.write(f"{body.get('error')}: {message}\n")
    if reply.status == STATUS_CONFLICT:
        return EXIT_CONFLICT
    return EXIT_OK if reply.status == 200 else EXIT_REFUSED


def _print_rows(rows: list[dict[str, Any]]) -> None:
    if not rows:
        print("nothing")
        return
    table = Table(*rows[0])
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


async def run_with_progress(
    client: OperatorClient, text: str, options: CommandOptions
) -> CommandReply:
    """Run a command; show a spinner while waiting for a change."""
    is_show = isinstance(parse_command(text), Show)
    if is_show or not options.is_waiting or options.is_json:
        return await client.run_command(text)
    columns = (SpinnerColumn(), TextColumn("{task.description}"))
    with Progress(*columns, console=Console(stderr=True)) as progress:
        progress.add_task("waiting until the change is in force everywhere")
        return await client.run_command(text)


class WordCompleter(Completer):
    """Completes words that the grammar allows at the cursor."""

    def get_completions(self, document: Any, complete_event: Any) -> Any:
        """Yield the completions of the word at the cursor."""
        text = document.text_before_cursor
        preceding_text, _, word = text.rpartition(" ")
        for candidate in expected_words(preceding_text):
            if candidate.startswith(word) and " " not in candidate:
                yield Completion(candidate, start_position=-len(word))


async def interact(client: OperatorClient, options: CommandOptions) -> None:
    """Run commands from the terminal until end of input or an interrupt."""
    path = Path(HISTORY_FILE).expanduser()
    session: PromptSession[str] = PromptSession(
        history=FileHistory(str(path)), completer=WordCompleter()
    )
    while True:
        try:
            text = await session.prompt_async("berylspool> ")
        except (EOFError, KeyboardInterrupt):
            return
        if not text.strip():
            continue
        try:
            reply = await run_with_progress(client, text, options)
            print_answer(reply, options.is_json)
        except (CommandError, NoLeaderError) as error:
            print(f"{type(error).__name__}: {error}")
