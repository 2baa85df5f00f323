"""What clients make the process hold, and which of them is dropped first."""

import enum
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = [
    "Holdings",
    "HoldingLimits",
    "Stage",
    "find_excess_connection",
    "find_excess_holder",
    "hold",
    "release",
]

# A stream, its parser, its tasks, and a short response that is not read yet.
CONNECTION_BYTES = 12 * 1024
# Of an ordinary request, with the tasks that run it.
SMALL_BYTES = 32 * 1024
# A client that sends or reads a few bytes now and then makes no progress that
# keeps it from being dropped before others.
MIN_PROGRESS_BYTES = 1024

ClientT = TypeVar("ClientT", bound=Hashable)


class Stage(enum.Enum):
    """What a connection of a client waits for."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"
    CLOSING = "closing"


# Stage of a client, and whether it holds more than `SMALL_BYTES`.
Group = tuple[Stage, bool]

# Large holdings go first, so that a flood of them, even of whole requests that
# run, does not displace small requests. Of these, a client that keeps the
# process waiting goes before one that waits itself.
GROUPS_BY_BYTES: tuple[tuple[Group, ...], ...] = (
    ((Stage.READING, True), (Stage.WRITING, True), (Stage.CLOSING, True)),
    ((Stage.RUNNING, True),),
    (
        (Stage.IDLE, False),
        (Stage.READING, False),
        (Stage.WRITING, False),
        (Stage.CLOSING, False),
    ),
    ((Stage.RUNNING, False), (Stage.IDLE, True)),
)
GROUPS_BY_CONNECTION: tuple[tuple[Group, ...], ...] = (
    tuple(
        (stage, is_large)
        for stage in Stage
        if stage is not Stage.RUNNING
        for is_large in (False, True)
    ),
    ((Stage.RUNNING, False), (Stage.RUNNING, True)),
)


@dataclass(frozen=True, slots=True)
class HoldingLimits:
    """Limits on all clients of a server together.

    Attributes:
        max_bytes: Bytes that they may make the process hold.
        max_connections: Connections that they may keep open.
    """

    max_bytes: int
    max_connections: int


@dataclass(slots=True)
class Holding:
    """What one client makes the process hold.

    Attributes:
        group: Clients that it is ordered among.
        byte_count: Bytes held, with the cost of the connection itself.
        progressed_at: Time of its latest progress, in seconds.
        moved_bytes: Bytes sent or read since then.
    """

    group: Group
    byte_count: int
    progressed_at: float
    moved_bytes: int = 0


@dataclass(slots=True)
class Holdings(Generic[ClientT]):
    """What all clients of a server make the process hold.

    Attributes:
        byte_count: Sum of what they hold.
        holding_by_client: Holding of each open connection.
        clients_by_group: Clients of each group, least recent progress first.
    """

    byte_count: int = 0
    holding_by_client: dict[ClientT, Holding] = field(default_factory=dict)
    clients_by_group: dict[Group, OrderedDict[ClientT, None]] = field(
        default_factory=lambda: {
            (stage, is_large): OrderedDict()
            for stage in Stage
            for is_large in (False, True)
        }
    )


def hold(
    holdings: Holdings[ClientT],
    client: ClientT,
    stage: Stage,
    byte_count: int,
    now: float,
    moved_bytes: int = 0,
) -> None:
    """Record what a client makes the process hold.

    Args:
        holdings: Holdings of all clients.
        client: The client.
        stage: What its connection waits for; a change of it is progress.
        byte_count: Bytes held, without the cost of the connection itself.
        now: Current time in seconds.
        moved_bytes: Bytes that it has sent or read since the last call.
    """
    group = (stage, byte_count > SMALL_BYTES)
    byte_count += CONNECTION_BYTES
    holding = holdings.holding_by_client.get(client)
    if holding is None:
        holdings.holding_by_client[client] = Holding(group, byte_count, now)
        holdings.clients_by_group[group][client] = None
        holdings.byte_count += byte_count
        return
    holdings.byte_count += byte_count - holding.byte_count
    holding.byte_count = byte_count
    holding.moved_bytes += moved_bytes
    if holding.group != group:
        del holdings.clients_by_group[holding.group][client]
        holdings.clients_by_group[group][client] = None
        holding.group = group
    elif holding.moved_bytes >= MIN_PROGRESS_BYTES:
        holdings.clients_by_group[group].move_to_end(client)
    else:
        return
    holding.progressed_at = now
    holding.moved_bytes = 0


def release(holdings: Holdings[ClientT], client: ClientT) -> None:
    """Forget a client whose connection has ended."""
    holding = holdings.holding_by_client.pop(client, None)
    if holding is not None:
        holdings.byte_count -= holding.byte_count
        del holdings.clients_by_group[holding.group][client]


def find_excess_holder(
    holdings: Holdings[ClientT], limits: HoldingLimits
) -> ClientT | None:
    """Return the client to drop for its bytes; None while they suffice."""
    if holdings.byte_count <= limits.max_bytes:
        return None
    return _find_slowest(holdings, GROUPS_BY_BYTES)


def find_excess_connection(
    holdings: Holdings[ClientT], limits: HoldingLimits
) -> ClientT | None:
    """Return the client to drop for its connection; None while they suffice."""
    if len(holdings.holding_by_client) <= limits.max_connections:
        return None
    return _find_slowest(holdings, GROUPS_BY_CONNECTION)


def _find_slowest(
    holdings: Holdings[ClientT], order: tuple[tuple[Group, ...], ...]
) -> ClientT | None:
    """Return the client of the first groups whose progress is longest ago."""
    for groups in order:
        slowest = [
            next(iter(clients))
            for group in groups
            if (clients := holdings.clients_by_group[group])
        ]
        if slowest:
            return min(
                slowest,
                key=lambda c: holdings.holding_by_client[c].progressed_at,
            )
    return None
