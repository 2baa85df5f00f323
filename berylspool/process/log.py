"""The log task: it alone writes log lines, away from the answering path."""

import dataclasses
import sys
from typing import Any, BinaryIO

import eliot
import orjson

from berylspool.connection.mailbox import Mailbox
from berylspool.process.event import Event, LinesDropped

__all__ = ["LogTask", "open_log"]

BACKLOG_LINES = 100_000


class LogTask:
    """Task that owns the log file and writes what it is handed.

    Events wait in a bounded backlog; what does not fit is counted, and a
    `LinesDropped` line says how many are missing.

    Args:
        is_full: Whether decision events (2000 to 2999) are written.
    """

    def __init__(self, is_full: bool = True) -> None:
        self.inbox: Mailbox[Event] = Mailbox()
        self._is_full = is_full
        self._dropped = 0
        self._logger = eliot.Logger()
        self._is_stopping = False

    def put(self, event: Event) -> None:
        """Hand an event over for writing."""
        if not self._is_full and event.number == PART_CHOSEN:
            return
        if len(self.inbox) >= BACKLOG_LINES:
            self._dropped += 1
            return
        self.inbox.put(event)

    async def run(self) -> None:
        """Write events until the task is cancelled."""
        while True:
            self.write(await self.inbox.take())

    def write(self, events: list[Event]) -> None:
        """Write events now."""
        if self._dropped:
            events = [*events, LinesDropped(self._dropped)]
            self._dropped = 0
        for event in events:
            fields = dataclasses.asdict(event)
            fields["event"] = event.number
            eliot.log_message(message_type=type(event).__name__, **fields)

    def close(self) -> None:
        """Write what still waits."""
        self.write(list(self.inbox))


PART_CHOSEN = 2001


def open_log(path: str) -> None:
    """Send all log lines to a file, or to standard error for `-`.

    Args:
        path: File to append to.
    """
    file: BinaryIO
    file = sys.stderr.buffer if path == "-" else open(path, "ab")  # noqa: SIM115
    eliot.add_destinations(LineWriter(file))


class LineWriter:
    """Destination that writes one JSON line for each message.

    Args:
        file: Binary file to write to.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message."""
        self._file.write(orjson.dumps(message, default=str) + b"\n")
        self._file.flush()
