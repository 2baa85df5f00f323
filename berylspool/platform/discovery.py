"""Client of the platform's list of upstreams."""

import asyncio
from collections.abc import Callable
from typing import Any, Literal

import orjson
from pydantic import ConfigDict, ValidationError

from berylspool.common.event import Event, ListEntrySkipped
from berylspool.connection.http import HttpConnection, open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.platform.model import PlatformModel
from berylspool.process.settings import split_address
from berylspool.version.configuration import Upstream, UpstreamState
from berylspool.version.listing import ListedUpstream

__all__ = ["ListClient", "decode_page"]

READ_TIMEOUT_S = 1.0
LIST_PATH = "/instances"
STATUS_OK = 200


class InstanceModel(PlatformModel):
    """One upstream as the platform lists it.

    Attributes:
        id: Instance id; a restart usually, but not always, changes it.
        service: Service that it belongs to.
        address: Its address, as `host:port`.
        zone: Its availability zone.
        version: Its software version.
        slots: Number of requests that it can run concurrently.
        state: `ready` if it accepts new work, `draining` if it is about to
            leave.
        warmup_left_ms: Remaining time for which it is slow after its start,
            in milliseconds.
    """

    model_config = ConfigDict(strict=True)

    id: str
    service: str
    address: str
    zone: str
    version: str = ""
    slots: int = 1
    state: Literal["ready", "draining"]
    warmup_left_ms: float = 0


class ListClient:
    """Reads the list of upstreams over one keep-alive connection.

    Args:
        address: Address of the discovery server, as `host:port`.
        log: Receives log events.
    """

    def __init__(self, address: str, log: Callable[[Event], None]) -> None:
        self._address = address
        self._log = log
        self._connection: HttpConnection | None = None
        self._logged_descriptions: set[str] = set()

    async def read(self) -> dict[str, ListedUpstream]:
        """Return all listed upstreams by id.

        Raises:
            ConnectionLostError: The discovery server cannot be reached, or
                does not answer in time.
            ProtocolError: It answers with an error status, or with a body
                that is not a list of upstreams.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read_pages()
        except TimeoutError as error:
            self._close()
            raise ConnectionLostError(
                f"list of upstreams at {self._address} did not answer "
                f"within {READ_TIMEOUT_S} s"
            ) from error
        except (ConnectionLostError, ProtocolError):
            self._close()
            raise

    async def _read_pages(self) -> dict[str, ListedUpstream]:
        listed_by_id: dict[str, ListedUpstream] = {}
        page_token: str | None = ""
        while page_token is not None:
            body = await self._fetch_page(page_token)
            listed_upstreams, skipped_descriptions, page_token = decode_page(
                body
            )
            listed_by_id.update(
                (listed.upstream.id, listed) for listed in listed_upstreams
            )
            for description in skipped_descriptions:
                if description not in self._logged_descriptions:
                    self._logged_descriptions.add(description)
                    self._log(ListEntrySkipped(description))
        return listed_by_id

    async def _fetch_page(self, page_token: str) -> bytes:
        if self._connection is None:
            host, port = split_address(self._address)
            self._connection = await open_http_connection(
                host, port, READ_TIMEOUT_S
            )
        path = (
            f"{LIST_PATH}?page-token={page_token}" if page_token else LIST_PATH
        )
        headers = {"Host": self._address}
        response = await self._connection.send("GET", path, headers, b"")
        if response.status != STATUS_OK:
            raise ProtocolError(
                f"list of upstreams: HTTP status {response.status}"
            )
        return response.body

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def decode_page(
    body: bytes,
) -> tuple[list[ListedUpstream], list[str], str | None]:
    """Decode one page of the list; skip entries that cannot be decoded.

    Args:
        body: Body of the response.

    Returns:
        The decoded upstreams, a description of each skipped entry, and the
        token of the next page, or None after the last page.

    Raises:
        ProtocolError: The page is not JSON, or has no list of entries.
    """
    try:
        page: Any = orjson.loads(body)
        entries = list(page["instances"])
        next_page_token = page.get("next-page-token")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(
            "list of upstreams: page cannot be decoded"
        ) from error
    listed_upstreams: list[ListedUpstream] = []
    skipped_descriptions: list[str] = []
    for entry in entries:
        try:
            listed_upstreams.append(
                _to_listed_upstream(InstanceModel.model_validate(entry))
            )
        except (ValidationError, ValueError) as error:
            entry_fields = entry if isinstance(entry, dict) else {}
            instance_id = str(entry_fields.get("id", "?"))[:64]
            skipped_descriptions.append(
                f"{instance_id}: {type(error).__name__}"
            )
    return listed_upstreams, skipped_descriptions, next_page_token or None


def _to_listed_upstream(model: InstanceModel) -> ListedUpstream:
    host, port = split_address(model.address)
    state_by_word = {
        "ready": UpstreamState.SERVING,
        "draining": UpstreamState.LEAVING,
    }
    upstream = Upstream(
        model.id,
        host,
        port,
        model.zone,
        model.version,
        state_by_word[model.state],
        is_cold=model.warmup_left_ms > 0,
    )
    return ListedUpstream(model.service, upstream, max(1, model.slots))
