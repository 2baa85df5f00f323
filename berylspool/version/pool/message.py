"""Events and actions of a pool."""

import enum
from dataclasses import dataclass
from typing import Any

from berylspool.request.query import (
    Part,
    PartResult,
    Reason,
    Snapshot,
    UpstreamResponse,
)
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.suspicion import Verdict

__all__ = [
    "AttemptAnswered",
    "Blame",
    "Blamed",
    "CancelAttempt",
    "Changed",
    "Chosen",
    "Closing",
    "Connect",
    "ConnectionClosed",
    "ConnectionOpened",
    "Denied",
    "Disconnect",
    "ErrorReply",
    "Evidence",
    "HealthReported",
    "Leased",
    "NotRunReply",
    "Observed",
    "OutrunReply",
    "PartArrived",
    "PartCancelled",
    "PoolAction",
    "PoolEvent",
    "Reconfigured",
    "Reply",
    "ReportedLoad",
    "RowsReply",
    "Send",
    "Shut",
    "Silent",
    "TimerKind",
    "UpstreamReply",
    "Woken",
]


class TimerKind(enum.IntEnum):
    """What a timer of a pool is for."""

    DEADLINE = 0
    HEDGE = 1
    RETRY = 2
    SILENT = 3


@dataclass(frozen=True, slots=True)
class RowsReply:
    """An upstream answered in full."""

    snapshot: Snapshot
    rows: tuple[Any, ...]
    stamp: str = ""


@dataclass(frozen=True, slots=True)
class NotRunReply:
    """An upstream refused and says that nothing ran."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An upstream failed, or its answer is not whole.

    Attributes:
        reason: Why there is no answer.
        response: What it answered, if that was whole.
    """

    reason: Reason
    response: UpstreamResponse | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What an upstream says of its load, all callers together."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class OutrunReply:
    """No reply yet when another copy answered; the copy is cancelled."""


UpstreamReply = RowsReply | NotRunReply | ErrorReply


@dataclass(frozen=True, slots=True)
class PartArrived:
    """An entry asks for a part."""

    part: Part


@dataclass(frozen=True, slots=True)
class PartCancelled:
    """An entry no longer wants a part.

    Attributes:
        part_id: The part.
        is_gone: Whether the caller has gone, so that the work must end.
    """

    part_id: str
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is open and its upstream named its instance."""

    connection_id: int
    upstream_id: str
    instance: str


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection is closed, by either end, or never opened.

    Attributes:
        connection_id: The connection.
        upstream_id: Its upstream.
        attempt_id: Attempt that it carried, if any.
        is_planned: Whether its end was announced and says nothing of the
            upstream.
    """

    connection_id: int
    upstream_id: str
    attempt_id: int | None = None
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An upstream answered an attempt."""

    connection_id: int
    attempt_id: int
    instance: str
    reply: UpstreamReply
    load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class HealthReported:
    """An upstream's health endpoint answered."""

    upstream_id: str
    instance: str
    is_draining: bool


@dataclass(frozen=True, slots=True)
class Blamed:
    """Another pool holds a verdict against a fingerprint."""

    fingerprint: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The upstreams that may get new work have changed."""

    upstreams: tuple[Upstream, ...]
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class Leased:
    """The process may send new copies until a moment, monotonic seconds."""

    until: float


@dataclass(frozen=True, slots=True)
class Closing:
    """The pool hands its service over or the process shuts down."""


@dataclass(frozen=True, slots=True)
class Woken:
    """Time has passed."""


PoolEvent = (
    PartArrived
    | PartCancelled
    | ConnectionOpened
    | ConnectionClosed
    | AttemptAnswered
    | HealthReported
    | Blamed
    | Reconfigured
    | Leased
    | Closing
    | Woken
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Send a part's result to the entry that asked."""

    result: PartResult


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection."""

    connection_id: int
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close a connection."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send one copy of a part on an idle connection."""

    connection_id: int
    attempt_id: int
    part: Part
    timeout_s: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell an upstream that an attempt's answer is no longer wanted.

    Attributes:
        upstream_id: The upstream.
        part_id: Part of the attempt.
        attempt_id: The attempt.
        connection_id: Connection that carries it.
        is_gone: Whether the caller has gone, so that the work must end.
    """

    upstream_id: str
    part_id: str
    attempt_id: int
    connection_id: int
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class Blame:
    """Tell the other pools of an upstream lost under a fingerprint."""

    fingerprint: str
    upstream_id: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Evidence:
    """What decided the choice of an upstream.

    Attributes:
        in_flight: Own copies there before the choice.
        others: Requests of other entries there, by its newest report.
        load_age_s: Age of that report in seconds; infinite without one.
        answer_s: Learnt answer time in seconds.
        answer_age_s: Age of the newest answer in seconds; infinite without.
        waited_s: Time that the part waited in the pool, in seconds.
    """

    in_flight: int
    others: float
    load_age_s: float
    answer_s: float
    answer_age_s: float
    waited_s: float


@dataclass(frozen=True, slots=True)
class Denied:
    """Log that a part has no second copy yet, for lack of a budget."""

    part: Part
    tokens: float


@dataclass(frozen=True, slots=True)
class Chosen:
    """Log that an upstream was chosen for a copy."""

    part: Part
    upstream_id: str
    sends: int
    is_hedge: bool
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class Silent:
    """Log that a silent connection is replaced."""

    upstream_id: str
    connection_id: int
    age_s: float


@dataclass(frozen=True, slots=True)
class Changed:
    """Log that an upstream's state changed."""

    upstream_id: str
    change: str


@dataclass(frozen=True, slots=True)
class Observed:
    """Count an upstream's reply for the judgement of its version."""

    part: Part
    reply: UpstreamReply | OutrunReply
    latency_s: float
    is_warm: bool
    upstream_id: str = ""


PoolAction = (
    Reply
    | Connect
    | Disconnect
    | Send
    | CancelAttempt
    | Blame
    | Chosen
    | Denied
    | Silent
    | Changed
    | Observed
)


@dataclass(frozen=True, slots=True)
class Shut:
    """Close the connection and end the task."""
