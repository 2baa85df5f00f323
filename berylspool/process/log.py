"""The log task: writes all log lines, off the path of requests."""

import dataclasses
import os
import sys
import time
from collections.abc import Callable
from typing import Any, BinaryIO

import eliot
import orjson

from berylspool.common.event import (
    Event,
    HedgeDenied,
    LinesDropped,
    LinesLeftOut,
    PartChosen,
    RequestEnded,
    RequestServed,
)
from berylspool.common.mailbox import Mailbox
from berylspool.process.held_lines import Held, HeldLines, drop, hold, release

__all__ = ["LogTask", "open_log", "open_standard_output"]

BACKLOG_LINES = 100_000
# Writing a line takes 20 us, so choices take at most a hundredth of a core.
CHOICES_PER_S = 500
# Time between reports of the number of lines left out; short enough that a
# reader finds a recent report.
LEFT_OUT_S = 10.0
# Four times the capacity of a pipe: a reader that is so far behind has stalled.
MOST_UNWRITTEN_BYTES = 256 * 1024


class LogTask:
    """Task that owns the log file and writes log events to it.

    Events wait in a bounded backlog, and the number of choices of upstreams
    is bounded in each second. Events over these limits are dropped and
    counted, and a `LinesDropped` line reports how many are missing. If the
    end of each request is logged, the lines of its parts are held until then,
    and left out if it was answered completely and in time.

    Args:
        is_full: Whether choices of upstreams are written.
        clock: Returns the monotonic time in seconds.
        output: Buffered writer to flush after each batch; None if lines are
            written at once.
        holds: Whether the end of each request is logged, so that the lines
            of its parts can be held.
    """

    def __init__(
        self,
        is_full: bool = True,
        clock: Callable[[], float] = time.monotonic,
        output: "DroppingWriter | None" = None,
        holds: bool = False,
    ) -> None:
        self.inbox: Mailbox[Event | Held] = Mailbox()
        self._holds = holds
        self._held = HeldLines(time.time)
        self._told_left_out = 0
        self._told_at = clock()
        self._dropped = 0
        self._output = output
        self._is_full = is_full
        self._clock = clock
        self._untold = 0
        self._second = 0
        self._choices = 0

    @property
    def dropped(self) -> int:
        """Lines dropped at any limit since the start."""
        unwritten = self._output.dropped if self._output else 0
        return self._dropped + self._held.lost + unwritten

    def put(self, event: Event) -> None:
        """Queue an event, hold it, or leave it out."""
        match event:
            case PartChosen() if not self._is_full:
                pass
            case PartChosen() | HedgeDenied() if self._holds:
                hold(self._held, event.part.partition("/")[0], event)
            case RequestServed(request=request):
                drop(self._held, request)
            case RequestEnded(request=request):
                for held in release(self._held, request):
                    self._admit(held)
                self._admit(event)
            case _:
                self._admit(event)

    def _admit(self, event: Event | Held) -> None:
        if not self._has_room(event):
            self._dropped += 1
            self._untold += 1
            return
        self.inbox.put(event)

    def _has_room(self, event: Event | Held) -> bool:
        if len(self.inbox) >= BACKLOG_LINES:
            return False
        if not isinstance(event, PartChosen | Held):
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

    def write(self, events: list[Event | Held]) -> None:
        """Write events, with reports of missing lines, and flush."""
        if self._untold:
            events = [*events, LinesDropped(self._untold)]
            self._untold = 0
        left_out = self._held.left_out
        is_due = self._clock() - self._told_at >= LEFT_OUT_S
        if left_out != self._told_left_out and is_due:
            events = [*events, LinesLeftOut(left_out)]
            self._told_left_out, self._told_at = left_out, self._clock()
        for event in events:
            match event:
                case Held(at=at, event=held):
                    _write(held, at=at)
                case Event():
                    _write(event)
        if self._output is not None:
            self._output.flush()

    def close(self) -> None:
        """Write all events that are still queued."""
        self.write(list(self.inbox))


def _write(event: Event, **more: Any) -> None:
    # `dataclasses.asdict` copies every value, which would double the cost of
    # a line.
    names = [field.name for field in dataclasses.fields(event)]
    fields = {name: getattr(event, name) for name in names}
    fields |= {"event": event.number, **more}
    eliot.log_message(message_type=type(event).__name__, **fields)


def open_log(path: str) -> None:
    """Send all log lines to a file, or to standard error for `-`.

    Args:
        path: File to append to.
    """
    file: BinaryIO
    file = sys.stderr.buffer if path == "-" else open(path, "ab")  # noqa: SIM115
    eliot.add_destinations(LineWriter(file))


class LineWriter:
    """Eliot destination that writes one JSON line for each message.

    Args:
        file: Binary file to write to.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message."""
        self._file.write(orjson.dumps(message, default=str) + b"\n")
        self._file.flush()


class DroppingWriter:
    """Eliot destination that never blocks, and drops lines if it is full.

    Lines are buffered and written together by `flush`, because a system call
    for each line of a request with many parts would delay its answer.

    Args:
        descriptor: Non-blocking file descriptor to write to.

    Attributes:
        dropped: Lines that were dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._untold = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one message; if the buffer is full, count it as dropped."""
        if len(self._waiting) > MOST_UNWRITTEN_BYTES:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            message = {**message, "lines_dropped": self._untold}
            self._untold = 0
        self._waiting += orjson.dumps(message, default=str) + b"\n"

    def flush(self) -> None:
        """Write until the descriptor would block; the rest stays buffered."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            del self._waiting[:written]


def open_standard_output() -> DroppingWriter:
    """Send all log lines to standard output without ever blocking on it.

    If its reader does not keep up, whole lines are dropped and counted.

    Returns:
        The writer, for the `LogTask` of the process to flush.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    writer = DroppingWriter(sys.stdout.fileno())
    eliot.add_destinations(writer)
    return writer
