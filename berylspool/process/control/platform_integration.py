"""Interfaces through which a platform extends a control node."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from berylspool.common.event import Event, ListingFailed
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.admin import AdminServer
from berylspool.exception import BerylspoolError
from berylspool.process.control.duty.call_task import DutyClient
from berylspool.process.group.node import ConsensusTiming
from berylspool.process.settings import Settings
from berylspool.version.listing import ListedUpstream

__all__ = [
    "ListingFetched",
    "OperatorServer",
    "PlatformIntegration",
    "UpstreamListReader",
    "make_operator_server",
    "poll_listing",
    "start_polling",
]

# The platform's list itself is out of date by most of a second, so reading it
# more often than once a second gains little and costs a call for each page.
LIST_POLL_INTERVAL_S = 1.0
LEADERSHIP_CHECK_INTERVAL_S = 0.05
MAX_ERROR_LENGTH = 200


class OperatorServer(Protocol):
    """Server that operators connect to."""

    def listen(self, address: str) -> None:
        """Listen for operators on an address, `host:port`."""


class UpstreamListReader(Protocol):
    """Reads the platform's list of upstreams."""

    async def read(self) -> dict[str, ListedUpstream]:
        """Return all listed upstreams by id.

        Raises:
            BerylspoolError: The list could not be read.
        """


@dataclass(frozen=True, slots=True)
class PlatformIntegration:
    """Services and parameters that a platform supplies.

    Attributes:
        make_operator_server: Creates the server for operators from the inbox of
            the control task and the metrics of the process; None for the
            built-in `AdminServer`.
        list_reader: Reads the list of upstreams; None if operators declare
            them.
        duty_client: Makes the calls of duties; None if there are none.
        peer_port: Port of all control nodes, which are then named by their
            IP addresses; None if the settings hold their addresses.
        voter_count: Number of control nodes that should vote; 0 if operators
            choose the voters.
        timing: Time limits of the consensus.
    """

    make_operator_server: (
        Callable[[Mailbox[Any], Metrics], OperatorServer] | None
    ) = None
    list_reader: UpstreamListReader | None = None
    duty_client: DutyClient | None = None
    peer_port: int | None = None
    voter_count: int = 0
    timing: ConsensusTiming = ConsensusTiming()


@dataclass(frozen=True, slots=True)
class ListingFetched:
    """The platform's list of upstreams has been read.

    Attributes:
        listed_by_id: Listed upstreams by id.
    """

    listed_by_id: dict[str, ListedUpstream]


def make_operator_server(
    platform: PlatformIntegration,
    inbox: Mailbox[Any],
    settings: Settings,
    metrics: Metrics,
) -> OperatorServer:
    """Return the server for operators of the platform, or the built-in one.

    Args:
        platform: Services of the platform.
        inbox: Inbox of the control task, which receives the requests.
        settings: Settings of the deployment.
        metrics: Metrics of the process.
    """
    if platform.make_operator_server is not None:
        return platform.make_operator_server(inbox, metrics)
    return AdminServer(inbox, settings.tokens, metrics)


async def poll_listing(
    reader: UpstreamListReader,
    inbox: Mailbox[Any],
    is_leading: Callable[[], bool],
    log: Callable[[Event], None],
) -> None:
    """Read the list periodically while this node leads.

    Only the leader reads, so the cost does not grow with the number of nodes.

    Args:
        reader: Reads the list.
        inbox: Inbox of the control task, which receives each list.
        is_leading: Returns whether this node leads.
        log: Receives an event for each read that fails.
    """
    while True:
        if not is_leading():
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
            continue
        try:
            inbox.put(ListingFetched(await reader.read()))
        except BerylspoolError as error:
            log(ListingFailed(str(error)))
        except Exception as error:
            # Whatever a list holds, the next one has to be read.
            log(ListingFailed(repr(error)[:MAX_ERROR_LENGTH]))
        await asyncio.sleep(LIST_POLL_INTERVAL_S)


def start_polling(
    platform: PlatformIntegration,
    inbox: Mailbox[Any],
    is_leading: Callable[[], bool],
    log: Callable[[Event], None],
) -> list[asyncio.Task[None]]:
    """Start to read the list periodically, if the platform has one.

    Args:
        platform: Services of the platform.
        inbox: Inbox of the control task, which receives each list.
        is_leading: Returns whether this node leads.
        log: Receives an event for each read that fails.
    """
    if platform.list_reader is None:
        return []
    polling = poll_listing(platform.list_reader, inbox, is_leading, log)
    return [asyncio.ensure_future(polling)]
