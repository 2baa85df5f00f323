"""What a request's task tells the router of its entry about its parts."""

from dataclasses import dataclass
from typing import Any

from berylspool.common.mailbox import Mailbox
from berylspool.request.query import Part

__all__ = ["Origin", "PartDropped", "PartWanted", "Subscribe", "Unsubscribe"]


@dataclass(frozen=True, slots=True)
class Origin:
    """Who asked for a part: a request here, or a peer's session.

    Attributes:
        id: Request id or session number, as text.
        is_session: Whether it is a peer's session.
    """

    id: str
    is_session: bool = False


@dataclass(frozen=True, slots=True)
class PartWanted:
    """A request or a peer asks for a part."""

    origin: Origin
    part: Part


@dataclass(frozen=True, slots=True)
class PartDropped:
    """A part is no longer wanted.

    Attributes:
        part_id: The part.
        is_gone: Whether the caller has gone, so that the work must end.
    """

    part_id: str
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class Subscribe:
    """A request task wants the results of its parts."""

    request_id: str
    inbox: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """A request task has ended."""

    request_id: str
