"""Known state of one connection to an upstream."""

import enum
from dataclasses import dataclass

__all__ = ["ConnectionState", "ConnectionView"]


class ConnectionState(enum.Enum):
    """State of a connection to an upstream."""

    OPENING = enum.auto()
    IDLE = enum.auto()
    BUSY = enum.auto()
    CLOSING = enum.auto()


@dataclass(slots=True)
class ConnectionView:
    """Known state of one connection.

    Attributes:
        id: Unique in the pool.
        upstream_id: Upstream at the other end.
        state: State of the connection.
        attempt_id: Attempt in flight on it, if any.
        holds_slot: Whether it occupies a slot of the upstream until it closes.
        idle_since: Time at which it last became idle or, while it opens on
            demand, began to open, monotonic seconds.
        has_answered: Whether the upstream has replied on it.
    """

    id: int
    upstream_id: str
    state: ConnectionState = ConnectionState.OPENING
    attempt_id: int | None = None
    holds_slot: bool = False
    idle_since: float = 0.0
    has_answered: bool = False
