"""Events that a pool handles and actions that its decisions return."""

import enum
from dataclasses import dataclass
from typing import Any

from berylspool.common.event import Event
from berylspool.request.query import (
    Part,
    PartResult,
    Reason,
    Snapshot,
    UpstreamResponse,
)
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.quarantine import Verdict
from berylspool.version.upstream.load_report import ReportedLoad
from berylspool.version.upstream.slow_upstreams import SlownessJudged

__all__ = [
    "AttemptAnswered",
    "Blame",
    "BorrowCopies",
    "CancelAttempt",
    "CloseConnection",
    "CloseRequested",
    "ConnectionClosed",
    "ConnectionOpened",
    "CopiesLent",
    "ErrorReply",
    "FingerprintBlamed",
    "HealthReported",
    "LeaseUpdated",
    "Log",
    "NotRunReply",
    "ObservedReply",
    "OpenConnection",
    "OutrunReply",
    "PartArrived",
    "PartCancelled",
    "PoolAction",
    "PoolEvent",
    "PoolKey",
    "PoolMessage",
    "PoolReconfigured",
    "ReportedLoad",
    "RowsReply",
    "SendAttempt",
    "SendResult",
    "StopTask",
    "Tick",
    "TimerKind",
    "UpstreamNotice",
    "UpstreamReply",
]


# Service and version that a pool serves.
PoolKey = tuple[str, str]


class TimerKind(enum.IntEnum):
    """Purpose of a pool timer."""

    DEADLINE = 0
    HEDGE = 1
    RETRY = 2
    SILENCE_TIMEOUT = 3
    BORROW_TIMEOUT = 4


@dataclass(slots=True)
class RowsReply:
    """A complete answer from an upstream.

    Attributes:
        snapshot: Snapshot that the upstream read.
        rows: JSON values, in the upstream's order.
        stamp: Signature of the upstream for its answer; empty if none.
    """

    snapshot: Snapshot
    rows: tuple[Any, ...]
    stamp: str = ""


@dataclass(frozen=True, slots=True)
class NotRunReply:
    """A refusal from an upstream, which states that it did not run the part."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """A failure of an upstream, or an incomplete answer from it.

    Attributes:
        reason: Why there is no answer.
        response: The upstream's response, if it was complete.
    """

    reason: Reason
    response: UpstreamResponse | None = None


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream says of itself in an answer.

    Attributes:
        is_leaving: Whether it is about to leave and wants no new work.
        pause_s: Time in which this entry must not send to it, in seconds;
            None if it does not ask for a pause.
        unusable_pause: Text in place of a pause that states no time.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    unusable_pause: str = ""


@dataclass(frozen=True, slots=True)
class OutrunReply:
    """Another copy answered first, so this copy is cancelled."""


UpstreamReply = RowsReply | NotRunReply | ErrorReply


@dataclass(slots=True)
class PartArrived:
    """An entry requests the result of a part."""

    part: Part


@dataclass(slots=True)
class PartCancelled:
    """An entry no longer needs the result of a part.

    Attributes:
        part_id: Id of the part.
        is_caller_gone: Whether the caller has disconnected, so that upstreams
            must stop the work.
    """

    part_id: str
    is_caller_gone: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is open and its upstream has sent its instance id."""

    connection_id: int
    upstream_id: str
    instance: str


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection was closed by either end, or failed to open.

    Attributes:
        connection_id: Id of the connection.
        upstream_id: Id of its upstream.
        is_planned: Whether the close was announced, so that it is no sign of
            a fault of the upstream.
        last_sent_id: Latest attempt that was sent on it, 0 before the first;
            None if any may have been sent.
        overrun: What the upstream sent too much of; empty if nothing.
    """

    connection_id: int
    upstream_id: str
    is_planned: bool = False
    last_sent_id: int | None = None
    overrun: str = ""


@dataclass(slots=True)
class AttemptAnswered:
    """An upstream with a given instance id replied to an attempt."""

    connection_id: int
    attempt_id: int
    instance: str
    reply: UpstreamReply
    load: ReportedLoad | None = None
    notice: UpstreamNotice | None = None


@dataclass(frozen=True, slots=True)
class HealthReported:
    """The health endpoint of an upstream replied."""

    upstream_id: str
    instance: str
    is_draining: bool


@dataclass(frozen=True, slots=True)
class FingerprintBlamed:
    """Another pool recorded a verdict against a request fingerprint."""

    fingerprint: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class PoolReconfigured:
    """The upstreams that may get new work, or their limits, have changed."""

    upstreams: tuple[Upstream, ...]
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class LeaseUpdated:
    """New copies may be sent until a given time, in monotonic seconds."""

    until: float


@dataclass(frozen=True, slots=True)
class CopiesLent:
    """Control has answered a request for extra copies.

    Attributes:
        copies: Copies that the pool may send beyond its own budget; 0 if
            none are left.
    """

    copies: int


@dataclass(frozen=True, slots=True)
class CloseRequested:
    """The pool must drain: its service moves away or the process stops."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The wait for events timed out, so timers may be due."""


PoolEvent = (
    PartArrived
    | PartCancelled
    | ConnectionOpened
    | ConnectionClosed
    | AttemptAnswered
    | HealthReported
    | FingerprintBlamed
    | PoolReconfigured
    | LeaseUpdated
    | CopiesLent
    | CloseRequested
    | SlownessJudged
    | Tick
)


@dataclass(slots=True)
class PoolMessage:
    """An event of a connection, for one of the pools of a process.

    Attributes:
        key: Service and version of the pool.
        incarnation: Incarnation of the pool that opened the connection; a pool
            that follows under the same key numbers its connections anew.
        event: The event.
    """

    key: PoolKey
    incarnation: int
    event: PoolEvent


@dataclass(slots=True)
class SendResult:
    """Send the result of a part to the entry that requested it."""

    result: PartResult


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection to an upstream."""

    connection_id: int
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection."""

    connection_id: int


@dataclass(slots=True)
class SendAttempt:
    """Send one copy of a part on an idle connection."""

    connection_id: int
    attempt_id: int
    part: Part
    timeout_s: float


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt whose answer is no longer needed.

    Attributes:
        upstream_id: Id of the upstream.
        part_id: Part of the attempt.
        attempt_id: Id of the attempt.
        connection_id: Connection that carries it.
        is_caller_gone: Whether the caller has disconnected, so that the
            upstream must stop the work.
    """

    upstream_id: str
    part_id: str
    attempt_id: int
    connection_id: int
    is_caller_gone: bool = False


@dataclass(frozen=True, slots=True)
class Blame:
    """Report a verdict to the other pools after an upstream was lost."""

    fingerprint: str
    upstream_id: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class BorrowCopies:
    """Ask control for extra copies, as the pool's own budget is spent."""

    copies: int


@dataclass(slots=True)
class Log:
    """Write a log event."""

    event: Event


@dataclass(slots=True)
class ObservedReply:
    """Report a reply for the metrics and the evaluation of its version.

    Attributes:
        part: The part.
        reply: The reply, or that another copy answered first.
        latency_s: Time since the attempt was sent, in seconds.
        is_warm: Whether the upstream was past its cold start.
        upstream_id: Id of the upstream; empty if another copy answered first.
    """

    part: Part
    reply: UpstreamReply | OutrunReply
    latency_s: float
    is_warm: bool
    upstream_id: str = ""


PoolAction = (
    SendResult
    | OpenConnection
    | CloseConnection
    | SendAttempt
    | CancelAttempt
    | Blame
    | BorrowCopies
    | Log
    | ObservedReply
)


@dataclass(frozen=True, slots=True)
class StopTask:
    """Close the connection and end its task."""
