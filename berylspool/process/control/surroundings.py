"""What a platform brings to a control node, as seen from the product."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from berylspool.common.event import Event, ListingFailed
from berylspool.common.mailbox import Mailbox
from berylspool.exception import BerylspoolError
from berylspool.process.group.node import Timing
from berylspool.version.listing import ListedUpstream

__all__ = [
    "ListReader",
    "ListingRead",
    "OperatorServer",
    "Surroundings",
    "read_listing",
]

# The list itself lags by most of a second, so reading it more often than
# once a second gains little and costs a call for each page.
READ_INTERVAL_S = 1.0
IDLE_CHECK_S = 0.05


class OperatorServer(Protocol):
    """Where operators connect."""

    def listen(self, address: str) -> None:
        """Start to accept operators."""


class ListReader(Protocol):
    """Reads the platform's list of upstreams."""

    async def read(self) -> dict[str, ListedUpstream]:
        """Return all listed upstreams by id.

        Raises:
            BerylspoolError: The list could not be read.
        """


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a platform brings.

    Attributes:
        operators: Makes the server for operators from the control task's
            inbox; None for the project's own.
        reader: Reads the list of upstreams; None if operators declare them.
        peer_port: Port of all control nodes, which are then named by their
            IP addresses; None if the settings name them.
        voters: Control nodes that should vote; 0 if operators name them.
        timing: Times of the consensus.
    """

    operators: Callable[[Mailbox[Any]], OperatorServer] | None = None
    reader: ListReader | None = None
    peer_port: int | None = None
    voters: int = 0
    timing: Timing = Timing()


@dataclass(frozen=True, slots=True)
class ListingRead:
    """The list of upstreams was read."""

    listed_by_id: dict[str, ListedUpstream]


async def read_listing(
    reader: ListReader,
    inbox: Mailbox[Any],
    is_reading: Callable[[], bool],
    log: Callable[[Event], None],
) -> None:
    """Read the list again and again while this node leads.

    Only the leader reads, so the cost does not grow with the nodes.

    Args:
        reader: Reads the list.
        inbox: Inbox of the control task.
        is_reading: Whether this node is the one that reads.
        log: Takes log events.
    """
    while True:
        if not is_reading():
            await asyncio.sleep(IDLE_CHECK_S)
            continue
        try:
            inbox.put(ListingRead(await reader.read()))
        except BerylspoolError as error:
            log(ListingFailed(str(error)))
        await asyncio.sleep(READ_INTERVAL_S)
