"""Timeline of one request from the log files of many processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["LogLine", "Timeline", "explain", "parse_line"]

# Fields of every line, which are not printed as details.
COMMON_FIELDS = frozenset(
    {"at", "timestamp", "task_uuid", "task_level", "message_type", "event"}
)
# Fields that name a request, one of its parts or its idempotency key.
REQUEST_FIELDS = ("request", "part", "key")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line about a request.

    Attributes:
        source: File that contains the line.
        at: Wall-clock time of the process, in seconds since the epoch.
        name: Type of the event.
        details: Other fields of the event.
    """

    source: str
    at: float
    name: str
    details: dict[str, Any]

    def describe(self, start: float) -> str:
        """Return one line of text, with milliseconds since `start`."""
        fields = " ".join(f"{key}={val}" for key, val in self.details.items())
        elapsed_ms = (self.at - start) * 1000
        return f"{elapsed_ms:+9.1f} ms  {self.source}  {self.name}  {fields}"


@dataclass(frozen=True, slots=True)
class Timeline:
    """All log lines about a request.

    Attributes:
        log_lines: Lines of each process, in the order in which it wrote them;
            clocks of different processes are not compared.
        unreadable_count: Number of lines that are cut off or are not JSON.
        dropped_count: Number of lines that the processes report as dropped.
    """

    log_lines: tuple[LogLine, ...]
    unreadable_count: int
    dropped_count: int

    def describe(self) -> list[str]:
        """Return the timeline as text.

        A request without any line was answered in full and in time, unless
        lines are missing.
        """
        lines = []
        start_by_source: dict[str, float] = {}
        for log_line in self.log_lines:
            start = start_by_source.setdefault(log_line.source, log_line.at)
            lines.append(log_line.describe(start))
        if not lines:
            lines.append("no line names this request")
        if self.unreadable_count:
            lines.append(
                f"{self.unreadable_count} lines are cut off or not JSON"
            )
        if self.dropped_count:
            lines.append(f"{self.dropped_count} lines were dropped under load")
        return lines


def explain(
    request_id: str, files: Iterable[tuple[str, Iterable[bytes]]]
) -> Timeline:
    """Collect the log lines about a request.

    Args:
        request_id: Id that the caller sent, or that an entry assigned.
        files: Name and lines of each file.

    Returns:
        The timeline, file by file.

    Examples:
        >>> line = b'{"request":"r1~4","timestamp":2.0,"message_type":"X"}'
        >>> timeline = explain("r1", [("a", [line])])
        >>> [log_line.name for log_line in timeline.log_lines]
        ['X']
    """
    log_lines: list[LogLine] = []
    unreadable_count = dropped_count = 0
    for source, lines in files:
        for line in lines:
            if not line.strip():
                continue
            fields = parse_line(line)
            if fields is None:
                unreadable_count += 1
                continue
            if fields.get("message_type") == "LinesDropped":
                dropped_count += int(fields.get("count", 0))
            if any(
                _refers_to(fields.get(f), request_id) for f in REQUEST_FIELDS
            ):
                log_lines.append(_to_log_line(source, fields))
    return Timeline(tuple(log_lines), unreadable_count, dropped_count)


def parse_line(line: bytes) -> dict[str, Any] | None:
    """Return the fields of a line; text before the JSON is ignored."""
    start = line.find(b"{")
    try:
        fields = orjson.loads(line[start:]) if start >= 0 else None
    except orjson.JSONDecodeError:
        # The line is cut off or not JSON; `explain` counts it.
        return None
    return fields if isinstance(fields, dict) else None


def _refers_to(value: Any, request_id: str) -> bool:
    """Return whether a field names the request, or a part or copy of it."""
    if not isinstance(value, str) or not value.startswith(request_id):
        return False
    return value[len(request_id) : len(request_id) + 1] in ("", "~", "/")


def _to_log_line(source: str, fields: dict[str, Any]) -> LogLine:
    details = {k: v for k, v in fields.items() if k not in COMMON_FIELDS}
    name = str(fields.get("message_type", "?"))
    # Lines that were held back until the request ended state the time of the
    # event in `at`.
    at = fields.get("at", fields.get("timestamp", 0.0))
    return LogLine(source, float(at), name, details)
