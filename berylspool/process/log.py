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
    LinesDropped,
    LinesLeftOut,
    RequestServed,
)
from berylspool.common.mailbox import Mailbox
from berylspool.common.part_event import HedgeDenied, PartAbandoned, PartChosen
from berylspool.common.request_event import RequestEnded
from berylspool.process.held_lines import (
    HeldLine,
    HeldLines,
    hold_line,
    leave_out_lines,
    take_relevant_lines,
)

__all__ = ["LogTask", "log_to_file", "log_to_standard_output"]

MAX_BACKLOG_LINES = 100_000
# Writing a line takes 20 us, so choices take at most a hundredth of a core.
MAX_CHOICES_PER_S = 500
# Interval between reports of the number of lines left out; short enough that
# a reader of the log finds a recent report.
REPORT_INTERVAL_S = 10.0
# A reader empties a pipe within a few milliseconds unless it has stalled.
BLOCKED_RETRY_S = 0.05
# Four times the capacity of a pipe: a reader that is so far behind has stalled.
MAX_BUFFERED_BYTES = 256 * 1024


class LogTask:
    """Task that owns the log file and writes log events to it.

    Events wait in a bounded backlog, and the number of choices of upstreams
    is bounded in each second. Events over these limits are dropped and
    counted, and a `LinesDropped` line reports how many are missing. If the
    end of each request is logged, the lines of its parts are held until then,
    and left out if it was answered completely and in time.

    Args:
        logs_choices: Whether choices of upstreams are written.
        clock: Returns the monotonic time in seconds.
        output: Buffered writer to flush after each batch; None if lines are
            written at once.
        holds_part_lines: Whether the end of each request is logged, so that the
            lines of its parts can be held.
    """

    def __init__(
        self,
        logs_choices: bool = True,
        clock: Callable[[], float] = time.monotonic,
        output: "DroppingWriter | None" = None,
        holds_part_lines: bool = False,
    ) -> None:
        self.inbox: Mailbox[Event | HeldLine] = Mailbox()
        self._holds_part_lines = holds_part_lines
        self._held_lines = HeldLines(time.time)
        self._reported_left_out = 0
        self._reported_at = clock()
        self._dropped_count = 0
        self._output = output
        self._logs_choices = logs_choices
        self._holds_choices = logs_choices and holds_part_lines
        self._clock = clock
        self._unreported_drops = 0
        self._counted_second = 0
        self._choices_in_second = 0

    @property
    def dropped(self) -> int:
        """Lines dropped at any limit since the start."""
        unwritten = self._output.dropped if self._output else 0
        return self._dropped_count + self._held_lines.dropped + unwritten

    def put(self, event: Event) -> None:
        """Queue an event, hold it, or leave it out."""
        match event:
            case PartChosen() if self._holds_choices:
                hold_line(self._held_lines, event.part.partition("/")[0], event)
            case PartChosen() if not self._logs_choices:
                pass
            case HedgeDenied() if self._holds_part_lines:
                hold_line(self._held_lines, event.part.partition("/")[0], event)
            case RequestServed(request=request):
                leave_out_lines(self._held_lines, request)
            case RequestEnded():
                for line in take_relevant_lines(self._held_lines, event):
                    self._enqueue(line)
                self._enqueue(event)
            case _:
                self._enqueue(event)

    def _enqueue(self, event: Event | HeldLine) -> None:
        if not self._has_room(event):
            self._dropped_count += 1
            self._unreported_drops += 1
            return
        self.inbox.put(event)

    def _has_room(self, event: Event | HeldLine) -> bool:
        if len(self.inbox) >= MAX_BACKLOG_LINES:
            return False
        if not isinstance(event, PartChosen | PartAbandoned | HeldLine):
            return True
        second = int(self._clock())
        if second != self._counted_second:
            self._counted_second, self._choices_in_second = second, 0
        self._choices_in_second += 1
        return self._choices_in_second <= MAX_CHOICES_PER_S

    async def run(self) -> None:
        """Write events until the task is cancelled."""
        while True:
            is_blocked = self._output is not None and self._output.is_blocked
            retry_s = BLOCKED_RETRY_S if is_blocked else None
            self.write(await self.inbox.take(retry_s))

    def write(self, events: list[Event | HeldLine]) -> None:
        """Write events, with reports of missing lines, and flush."""
        if self._unreported_drops:
            events = [*events, LinesDropped(self._unreported_drops)]
            self._unreported_drops = 0
        left_out = self._held_lines.left_out
        is_due = self._clock() - self._reported_at >= REPORT_INTERVAL_S
        if left_out != self._reported_left_out and is_due:
            events = [*events, LinesLeftOut(left_out)]
            self._reported_left_out, self._reported_at = (
                left_out,
                self._clock(),
            )
        for event in events:
            match event:
                case HeldLine(at=at, event=held_event):
                    _write_event(held_event, at=at)
                case Event():
                    _write_event(event)
        if self._output is not None:
            self._output.flush()

    def close(self) -> None:
        """Write all events that are still queued."""
        self.write(list(self.inbox))


def _write_event(event: Event, **extra_fields: Any) -> None:
    assert dataclasses.is_dataclass(event)
    # `dataclasses.asdict` copies every value, which would double the cost of
    # a line.
    names = [field.name for field in dataclasses.fields(event)]
    fields = {name: getattr(event, name) for name in names}
    fields |= {"event": event.number, **extra_fields}
    eliot.log_message(message_type=type(event).__name__, **fields)


def log_to_file(path: str) -> None:
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
        self._buffer = bytearray()
        self._unreported_drops = 0

    @property
    def is_blocked(self) -> bool:
        """Whether lines wait until the descriptor can be written again."""
        return bool(self._buffer)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one message; if the buffer is full, count it as dropped."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            message = {**message, "lines_dropped": self._unreported_drops}
            self._unreported_drops = 0
        self._buffer += orjson.dumps(message, default=str) + b"\n"

    def flush(self) -> None:
        """Write until the descriptor would block; keep the rest buffered."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            del self._buffer[:written]


def log_to_standard_output() -> DroppingWriter:
    """Send all log lines to standard output without ever blocking on it.

    If its reader does not keep up, whole lines are dropped and counted.

    Returns:
        The writer, for the `LogTask` of the process to flush.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    writer = DroppingWriter(sys.stdout.fileno())
    eliot.add_destinations(writer)
    return writer
