"""Messages from a request task to the router of its entry."""

from dataclasses import dataclass
from typing import Any

from berylspool.common.mailbox import Mailbox
from berylspool.request.query import Part, Reason

__all__ = [
    "DiscardPart",
    "Origin",
    "RequestTurnedAway",
    "RunPart",
    "RunParts",
    "Subscribe",
    "Unsubscribe",
    "WithdrawUnsent",
]


@dataclass(frozen=True, slots=True)
class Origin:
    """Requester of a part: a local request, or the session of a peer entry.

    Attributes:
        id: Request id or session number, as text.
        is_session: Whether the requester is a peer's session.
    """

    id: str
    is_session: bool = False


@dataclass(slots=True)
class RunPart:
    """Run a part and send its result to the origin.

    Attributes:
        origin: Requester that gets the result.
        part: Part to run.
    """

    origin: Origin
    part: Part


@dataclass(slots=True)
class RunParts:
    """Run the parts of a local request and send their results to it.

    Attributes:
        origin: The request.
        parts: Parts to run.
        min_coverage: Share of the parts that the request needs; if it cannot
            be had in time, none of the parts is run. 0 to run them anyway.
    """

    origin: Origin
    parts: list[Part]
    min_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestTurnedAway:
    """None of the parts of a request is run.

    Attributes:
        reason: Why not.
        retry_after_s: Time after which a retry may succeed, in seconds.
    """

    reason: Reason
    retry_after_s: float


@dataclass(slots=True)
class DiscardPart:
    """Discard the result of a part, which is no longer needed.

    Attributes:
        part_id: Id of the part.
        is_caller_gone: Whether the caller has disconnected, so that work on the
            part must end.
    """

    part_id: str
    is_caller_gone: bool = False


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Send the results of a request's parts to its task.

    Attributes:
        request_id: Id of the request.
        inbox: Mailbox of the request task.
    """

    request_id: str
    inbox: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """Stop sending results to a request task, which has ended.

    Attributes:
        request_id: Id of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class WithdrawUnsent:
    """Discard parts of a request if no copy of any of them was sent.

    Attributes:
        origin: The request, which gets `PartsWithdrawn` if they were discarded.
        part_ids: Ids of the parts.
    """

    origin: Origin
    part_ids: tuple[str, ...]
