"""Report of how long processes took from their start until they could serve.

Each milestone is the first line of its kind after a start, in one log file.
Times count from the start of that process, so clocks are not compared.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from berylspool.tool.explain import parse_line

__all__ = ["ProcessStart", "describe_starts", "find_starts"]

# Milestones by role, in their usual order, each with the type of its line and
# the fields that the line must have.
MILESTONES_BY_ROLE: dict[str, tuple[tuple[str, str, dict[str, Any]], ...]] = {
    "entry": (
        ("link", "LinkChanged", {"change": "up"}),
        ("configuration", "ConfigurationApplied", {}),
        ("listing", "ListingApplied", {}),
    ),
    "control": (
        ("link", "LinkChanged", {"change": "up"}),
        ("vote", "LeaderChanged", {}),
        ("leader", "LeaderChanged", {"role": "leader"}),
    ),
}


@dataclass(slots=True)
class ProcessStart:
    """One start of a process.

    Attributes:
        name: Name of the process.
        role: Role of the process.
        started_at: Wall-clock time of the start, in seconds since the epoch.
        elapsed_by_milestone: Seconds from the start to each milestone; missing
            for those that it did not reach.
    """

    name: str
    role: str
    started_at: float
    elapsed_by_milestone: dict[str, float] = field(default_factory=dict)


def find_starts(lines: Iterable[bytes]) -> list[ProcessStart]:
    """Return the starts in the log of one process, in order.

    Lines that are cut off or not JSON are skipped.

    Args:
        lines: Lines of the log.
    """
    starts: list[ProcessStart] = []
    for line in lines:
        fields = parse_line(line)
        if fields is None or "timestamp" not in fields:
            continue
        if fields.get("message_type") == "ProcessStarted":
            starts.append(
                ProcessStart(
                    str(fields.get("name", "?")),
                    str(fields.get("role", "?")),
                    float(fields["timestamp"]),
                )
            )
        elif starts:
            _add_milestones(starts[-1], fields)
    return starts


def _add_milestones(start: ProcessStart, fields: dict[str, Any]) -> None:
    for name, event, required in MILESTONES_BY_ROLE.get(start.role, ()):
        is_reached = fields.get("message_type") == event and all(
            fields.get(key) == value for key, value in required.items()
        )
        if is_reached:
            elapsed_s = float(fields["timestamp"]) - start.started_at
            start.elapsed_by_milestone.setdefault(name, elapsed_s)


def describe_starts(
    files: Iterable[tuple[str, Iterable[bytes]]],
) -> list[str]:
    """Return a line for each start in the logs of many processes.

    Args:
        files: Name and lines of each file.

    Examples:
        >>> started = b'{"message_type":"ProcessStarted","role":"entry",'
        >>> started += b'"name":"e1","timestamp":5.0}'
        >>> applied = b'{"message_type":"ListingApplied","timestamp":5.5}'
        >>> describe_starts([("e1.log", [started, applied])])
        ['e1.log  e1 (entry)  listing +500 ms']
    """
    lines = []
    for source, log_lines in files:
        for start in find_starts(log_lines):
            milestones = ", ".join(
                f"{name} {elapsed_s * 1000:+.0f} ms"
                for name, elapsed_s in start.elapsed_by_milestone.items()
            )
            lines.append(
                f"{source}  {start.name} ({start.role})  "
                f"{milestones or 'no milestone reached'}"
            )
    return lines or ["no line tells of a start"]
