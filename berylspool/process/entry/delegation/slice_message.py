"""Events and actions of the decisions on slices."""

from dataclasses import dataclass

from berylspool.common.request_event import HelperSuspended, SliceTakenBack
from berylspool.connection.message import (
    RunSlice,
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
    SliceResults,
)
from berylspool.request.query import Part, PartResult

__all__ = [
    "Deliver",
    "HelperAnswered",
    "HelperLinked",
    "HelperLost",
    "LogSlice",
    "PartDropped",
    "PartsAssigned",
    "RequestEnded",
    "RunHere",
    "SendToHelper",
    "SliceAction",
    "SliceEvent",
    "SlicesDue",
]


@dataclass(slots=True)
class PartsAssigned:
    """Parts of a request are to be run by another entry.

    Attributes:
        helper: Name of the entry.
        parts: The parts, of one request.
    """

    helper: str
    parts: list[Part]


@dataclass(slots=True)
class HelperAnswered:
    """A helper has sent a message."""

    helper: str
    message: SliceAccepted | SliceRefused | SliceResults


@dataclass(frozen=True, slots=True)
class HelperLinked:
    """The link to a helper has opened."""

    helper: str


@dataclass(frozen=True, slots=True)
class HelperLost:
    """The link to a helper is lost, with all messages on it."""

    helper: str


@dataclass(frozen=True, slots=True)
class PartDropped:
    """A request no longer needs the result of a part."""

    part_id: str
    is_caller_gone: bool = False


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request has its outcome."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SlicesDue:
    """Time has passed, so that helpers may be late."""


SliceEvent = (
    PartsAssigned
    | HelperAnswered
    | HelperLinked
    | HelperLost
    | PartDropped
    | RequestEnded
    | SlicesDue
)


@dataclass(slots=True)
class SendToHelper:
    """Send a message to a helper."""

    helper: str
    message: RunSlice | SliceProbe | SliceDropped


@dataclass(slots=True)
class RunHere:
    """Run parts at this entry.

    Attributes:
        request_id: Id of the request.
        parts: The parts.
        may_have_run: Whether an upstream may have run them already, so that
            no result may say the contrary.
    """

    request_id: str
    parts: list[Part]
    may_have_run: bool


@dataclass(slots=True)
class Deliver:
    """Pass results on to their request."""

    request_id: str
    results: list[PartResult]


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Write a log event, and count it."""

    event: SliceTakenBack | HelperSuspended


SliceAction = SendToHelper | RunHere | Deliver | LogSlice
