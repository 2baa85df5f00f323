"""What callers, operators and upstreams observed in a soak run."""

from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "CommandSend",
    "Evacuation",
    "Exchange",
    "Interruption",
    "RunHistory",
    "TimedRevision",
]


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and the result that its caller received.

    Attributes:
        request_id: Id in the answer; empty without an answer.
        correlation_id: Unique text in the request's body, which identifies the
            request in the records of upstreams; of a command, also its key.
        entry: Entry that received the request.
        sent_at: Time when sending began, monotonic seconds.
        ended_at: Time of the answer or of the loss, monotonic seconds.
        outcome: `answered`; `not_run` or `unknown`, as the entry stated it;
            `cut` if the connection was lost, or the response was not valid
            HTTP; `no_connection` if none could be opened; `late` if no answer
            came in time.
        body: Decoded answer; empty without one.
    """

    request_id: str
    correlation_id: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: str
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CommandSend:
    """One send of a command, a request that runs at most once.

    Attributes:
        exchange: The request and its result.
    """

    exchange: Exchange


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation of a zone by operators.

    Attributes:
        zone: Name of the zone.
        accepted_at: Time of the answer that accepted it, monotonic seconds.
        restored_at: Time just before the command that returns the zone to
            service, monotonic seconds.
        revision: Configuration revision in the answer.
    """

    zone: str
    accepted_at: float
    restored_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class TimedRevision:
    """A configuration revision that a control node reported.

    Attributes:
        at: Time when its read was sent or its change was accepted,
            monotonic seconds.
        revision: The revision.
    """

    at: float
    revision: int


@dataclass(frozen=True, slots=True)
class Interruption:
    """An interruption of a process: a kill, a freeze or a planned stop.

    Attributes:
        name: Name of the process.
        at: Time of the interruption, monotonic seconds.
        is_planned: Whether the process was asked to stop with SIGTERM.
    """

    name: str
    at: float
    is_planned: bool


@dataclass(slots=True)
class RunHistory:
    """History of a run, as callers, operators and upstreams observed it.

    Attributes:
        queries: All queries and their results.
        commands: All sends of commands and their results.
        records: Records of the stand-in upstreams.
        evacuations: Evacuations of zones.
        accepted_revisions: Time and revision of each accepted change.
        read_revisions: Time and revision of each read of the configuration.
        interruptions: Interruptions of processes.
        zone_by_upstream: Zone of each upstream.
        entry_start_count: Number of times that entries were started.
        stuck_changes: Operators' changes that were not accepted in time.
    """

    queries: list[Exchange] = field(default_factory=list)
    commands: list[CommandSend] = field(default_factory=list)
    records: list[dict[str, Any]] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    accepted_revisions: list[TimedRevision] = field(default_factory=list)
    read_revisions: list[TimedRevision] = field(default_factory=list)
    interruptions: list[Interruption] = field(default_factory=list)
    zone_by_upstream: dict[str, str] = field(default_factory=dict)
    entry_start_count: int = 0
    stuck_changes: list[str] = field(default_factory=list)
