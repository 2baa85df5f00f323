"""Events of a request's fan-out, and the actions that it returns."""

from dataclasses import dataclass

from berylspool.request.query import Outcome, Part, PartResult

__all__ = [
    "CallerDisconnected",
    "CancelPart",
    "DeadlinePassed",
    "EntryStopping",
    "FanOutAction",
    "FanOutEvent",
    "Finish",
    "KeyRevoked",
    "PartsWithdrawn",
    "SendPart",
    "SoftDeadlinePassed",
    "WithdrawParts",
]


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class SoftDeadlinePassed:
    """The query's soft deadline has passed: minimum coverage is enough now."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class EntryStopping:
    """The entry is about to exit, so the request ends with what it has."""


@dataclass(frozen=True, slots=True)
class KeyRevoked:
    """The API key of the request is no longer valid."""


@dataclass(frozen=True, slots=True)
class PartsWithdrawn:
    """All pending parts were taken back, and no copy of them was sent."""


FanOutEvent = (
    PartResult
    | DeadlinePassed
    | SoftDeadlinePassed
    | CallerDisconnected
    | EntryStopping
    | KeyRevoked
    | PartsWithdrawn
)


@dataclass(slots=True)
class SendPart:
    """Send a part to the owner of its service."""

    part: Part


@dataclass(slots=True)
class CancelPart:
    """Notify the owner that the result of a part is no longer needed.

    Attributes:
        part: Part to cancel.
        is_caller_gone: Whether the caller has disconnected, so that work on the
            part must end.
    """

    part: Part
    is_caller_gone: bool = False


@dataclass(frozen=True, slots=True)
class WithdrawParts:
    """Take back all pending parts if no copy of any of them was sent.

    If so, the answer is `PartsWithdrawn`; otherwise nothing changes.

    Attributes:
        part_ids: Ids of the parts.
    """

    part_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the outcome to the caller; this is the last action."""

    outcome: Outcome


FanOutAction = SendPart | CancelPart | WithdrawParts | Finish
