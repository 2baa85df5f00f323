"""The log task: it alone writes log lines, away from the answering path."""

import dataclasses
import os
import sys
import time
from collections.abc import Callable
from typing import Any, BinaryIO

import eliot
import orjson

from berylspool.common.event import Event, LinesDropped
from berylspool.common.mailbox import Mailbox

__all__ = ["LogTask", "open_log", "open_standard_output"]

BACKLOG_LINES = 100_000
# A line costs 20 us: choices take at most a hundredth of a core.
CHOICES_PER_S = 500


class LogTask:
    """Task that owns the log file and writes what it is handed.

    Events wait in a bounded backlog, and choices of upstreams are bounded in
    number each second; what does not fit is counted, and a `LinesDropped`
    line says how many are missing.

    Args:
        is_full: Whether choices of upstreams are written.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        is_full: bool = True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.inbox: Mailbox[Event] = Mailbox()
        self.dropped = 0
        self._is_full = is_full
        self._clock = clock
        self._untold = 0
        self._second = 0
        self._choices = 0

    def put(self, event: Event) -> None:
        """Hand an event over for writing."""
        if event.number == PART_CHOSEN and not self._is_full:
            return
        if not self._has_room(event):
            self.dropped += 1
            self._untold += 1
            return
        self.inbox.put(event)

    def _has_room(self, event: Event) -> bool:
        if len(self.inbox) >= BACKLOG_LINES:
            return False
        if event.number != PART_CHOSEN:
            return True
        second = int(self._clock())
        if second != self._second:
            self._second, self._choices = second, 0
        self._choices += 1
        return self._choices <= CHOICES_PER_S

    async def run(self) -> None:
        """Write events until the task is cancelled."""
        while True:
            self.write(await self.inbox.take())

    def write(self, events: list[Event]) -> None:
        """Write events now."""
        if self._untold:
            events = [*events, LinesDropped(self._untold)]
            self._untold = 0
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


def open_standard_output() -> None:
    """Send all log lines to standard output, without ever waiting for it.

    A reader that does not keep up loses whole lines, which are counted.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    eliot.add_destinations(DroppingWriter(sys.stdout.fileno()))


class DroppingWriter:
    """Destination that drops the lines that the reader has no room for.

    Args:
        descriptor: Non-blocking file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b""
        self._dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or count it as dropped."""
        if not self._flush():
            self._dropped += 1
            return
        if self._dropped:
            message = {**message, "lines_dropped": self._dropped}
            self._dropped = 0
        self._rest = orjson.dumps(message, default=str) + b"\n"
        self._flush()

    def _flush(self) -> bool:
        """Write what is left of a line; return whether nothing is left."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            self._rest = self._rest[written:]
        return True


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
