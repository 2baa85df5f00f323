"""Timeline of one request from the log files of many processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["Step", "Timeline", "explain"]

# Fields of every line, which are not printed as details.
PLAIN_FIELDS = frozenset(
    {"at", "timestamp", "task_uuid", "task_level", "message_type", "event"}
)
# Fields that name a request, one of its parts or its idempotency key.
REQUEST_FIELDS = ("request", "part", "key")


@dataclass(frozen=True, slots=True)
class Step:
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
        steps: Lines of each process, in the order in which it wrote them;
            clocks of different processes are not compared.
        unreadable: Number of lines that are cut off or are not JSON.
        dropped: Number of lines that the processes report as dropped.
    """

    steps: tuple[Step, ...]
    unreadable: int
    dropped: int

    def describe(self) -> list[str]:
        """Return the timeline as text.

        A request without any line was answered in full and in time, unless
        lines are missing.
        """
        lines = []
        start_by_source: dict[str, float] = {}
        for step in self.steps:
            start = start_by_source.setdefault(step.source, step.at)
            lines.append(step.describe(start))
        if not lines:
            lines.append("no line names this request")
        if self.unreadable:
            lines.append(f"{self.unreadable} lines are cut off or not JSON")
        if self.dropped:
            lines.append(f"{self.dropped} lines were dropped under load")
        return lines


def explain(
    request: str, files: Iterable[tuple[str, Iterable[bytes]]]
) -> Timeline:
    """Collect the log lines about a request.

    Args:
        request: Id that the caller sent, or that an entry assigned.
        files: Name and lines of each file.

    Returns:
        The timeline, file by file.

    Examples:
        >>> line = b'{"request":"r1~4","timestamp":2.0,"message_type":"X"}'
        >>> [step.name for step in explain("r1", [("a", [line])]).steps]
        ['X']
    """
    steps: list[Step] = []
    unreadable = dropped = 0
    for source, lines in files:
        for line in lines:
            if not line.strip():
                continue
            data = _parsed(line)
            if data is None:
                unreadable += 1
                continue
            if data.get("message_type") == "LinesDropped":
                dropped += int(data.get("count", 0))
            if any(_names(data.get(f), request) for f in REQUEST_FIELDS):
                steps.append(_step(source, data))
    return Timeline(tuple(steps), unreadable, dropped)


def _parsed(line: bytes) -> dict[str, Any] | None:
    """Return the fields of a line; text before the JSON is ignored."""
    start = line.find(b"{")
    try:
        data = orjson.loads(line[start:]) if start >= 0 else None
    except orjson.JSONDecodeError:
        # The line is cut off or not JSON; `explain` counts it.
        return None
    return data if isinstance(data, dict) else None


def _names(value: Any, request: str) -> bool:
    """Return whether a field names the request, or a part or copy of it."""
    if not isinstance(value, str) or not value.startswith(request):
        return False
    return value[len(request) : len(request) + 1] in ("", "~", "/")


def _step(source: str, data: dict[str, Any]) -> Step:
    details = {k: v for k, v in data.items() if k not in PLAIN_FIELDS}
    name = str(data.get("message_type", "?"))
    # Lines that were held back until the request ended state the time of the
    # event in `at`.
    moment = data.get("at", data.get("timestamp", 0.0))
    return Step(source, float(moment), name, details)
