"""Client of the platform's list of upstreams."""

import asyncio
import ipaddress
import re
from collections.abc import Callable, Iterable
from typing import Annotated, Any, Literal
from urllib.parse import quote

import orjson
from pydantic import ConfigDict, Field, ValidationError

from berylspool.common.event import Event, ListEntrySkipped
from berylspool.common.json_scan import find_objects
from berylspool.connection.http import HttpConnection, open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.platform.model import PlatformModel
from berylspool.process.settings import split_address
from berylspool.version.configuration import Upstream, UpstreamState
from berylspool.version.listing import ListedUpstream

__all__ = ["ListClient", "decode_page", "list_by_id"]

READ_TIMEOUT_S = 1.0
LIST_PATH = "/instances"
STATUS_OK = 200
MAX_NAME_LENGTH = 256
# Far more than an upstream runs; a larger number is an error of its writer, and
# would lift the limit of its whole service.
MAX_SLOTS = 100_000
MAX_PORT = 65_535
MAX_BORN_MS = 1 << 53
MAX_LOGGED_ENTRIES = 1_000
# Where the list begins, and the token, in a page that is no JSON as a whole.
LIST_START = re.compile(rb'"instances"\s*:\s*\[')
NEXT_PAGE_TOKEN = re.compile(
    rb'"next-page-token"\s*:\s*(null|"[^"\\]*(?:\\.[^"\\]*)*")'
)

Name = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]


class InstanceModel(PlatformModel):
    """One upstream as the platform lists it.

    An entry that lacks a field may come from another writer.  Values assumed
    for it would contradict what the platform's own entry says.

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
        born: Start of its process, in Unix milliseconds.
    """

    model_config = ConfigDict(strict=True)

    # It is sent as the value of a header.
    id: Annotated[str, Field(pattern=rf"^[!-~]{{1,{MAX_NAME_LENGTH}}}$")]
    service: Annotated[Name, Field(min_length=1)]
    address: Name
    zone: Name
    version: Name
    slots: Annotated[int, Field(ge=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    warmup_left_ms: float
    born: Annotated[int, Field(ge=0, le=MAX_BORN_MS)] | None = None


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
        except Exception:
            self._close()
            raise

    async def _read_pages(self) -> dict[str, ListedUpstream]:
        all_listed: list[ListedUpstream] = []
        page_token: str | None = ""
        while page_token is not None:
            body = await self._fetch_page(page_token)
            listed_upstreams, skipped_descriptions, page_token = decode_page(
                body
            )
            all_listed += listed_upstreams
            self._log_skipped(skipped_descriptions)
        listed_by_id, skipped_descriptions = list_by_id(all_listed)
        self._log_skipped(skipped_descriptions)
        return listed_by_id

    def _log_skipped(self, descriptions: list[str]) -> None:
        """Log each skipped entry once, up to a limit of entries."""
        for description in descriptions:
            if (
                description not in self._logged_descriptions
                and len(self._logged_descriptions) < MAX_LOGGED_ENTRIES
            ):
                self._logged_descriptions.add(description)
                self._log(ListEntrySkipped(description))

    async def _fetch_page(self, page_token: str) -> bytes:
        if self._connection is None:
            host, port = split_address(self._address)
            self._connection = await open_http_connection(
                host, port, READ_TIMEOUT_S
            )
        path = (
            f"{LIST_PATH}?page-token={quote(page_token, safe='')}"
            if page_token
            else LIST_PATH
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
    entries, next_page_token = _read_page(body)
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
    return listed_upstreams, skipped_descriptions, next_page_token


def _read_page(body: bytes) -> tuple[list[Any], str | None]:
    """Return the entries of a page and the token of the next one.

    An entry that is no JSON value, or one that the decoder cannot represent, is
    None, which no model accepts.
    """
    try:
        page: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        entries, next_page_token = _read_damaged_page(body)
    else:
        try:
            entries = list(page["instances"])
            next_page_token = page.get("next-page-token")
        except (KeyError, TypeError, AttributeError) as error:
            raise ProtocolError("list of upstreams: no entries") from error
    if next_page_token is not None and not isinstance(next_page_token, str):
        raise ProtocolError("list of upstreams: token of next page is no text")
    return entries, next_page_token or None


def _read_damaged_page(body: bytes) -> tuple[list[Any], Any]:
    """Return the entries of a page that is no JSON, and the next token.

    Whatever stands between two whole entries counts as one that is None.

    Raises:
        ProtocolError: The page has no list of entries, or it cannot be told
            whether another page follows.
    """
    opening = LIST_START.search(body)
    if opening is None:
        raise ProtocolError("list of upstreams: page cannot be decoded")
    list_end = body.rfind(b"]")
    tokens = [
        *NEXT_PAGE_TOKEN.finditer(body, 0, opening.start()),
        *NEXT_PAGE_TOKEN.finditer(body, max(list_end, 0)),
    ]
    if list_end < opening.end() or not tokens:
        raise ProtocolError("list of upstreams: page has no end")
    listed = body[opening.end() : list_end]
    entries: list[Any] = []
    position = 0
    for found in find_objects(listed):
        if _has_residue(listed[position : found.start]):
            entries.append(None)
        entries.append(_decode_entry(listed[found.start : found.end]))
        position = found.end
    if _has_residue(listed[position:]):
        entries.append(None)
    return entries, orjson.loads(tokens[-1].group(1))


def _has_residue(text: bytes) -> bool:
    """Return whether a text holds more than what separates two entries."""
    return bool(text.strip(b" \t\r\n,]}"))


def _decode_entry(text: bytes) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        # The caller logs the entry as skipped.
        return None


def list_by_id(
    listed_upstreams: Iterable[ListedUpstream],
) -> tuple[dict[str, ListedUpstream], list[str]]:
    """Index upstreams by id; skip those that use the id of another one.

    A list that changes while its pages are read may hold an upstream twice, and
    the later entry is newer. One of another service or address is not the same
    upstream, and the first one stays.

    Args:
        listed_upstreams: Upstreams in the order of the list.

    Returns:
        The upstreams by id, and a description of each that was skipped.
    """
    listed_by_id: dict[str, ListedUpstream] = {}
    skipped_descriptions: list[str] = []
    for listed in listed_upstreams:
        first = listed_by_id.setdefault(listed.upstream.id, listed)
        if _identity(first) == _identity(listed):
            listed_by_id[listed.upstream.id] = listed
        else:
            description = f"{listed.upstream.id}: id of another upstream"
            skipped_descriptions.append(description)
    return listed_by_id, skipped_descriptions


def _identity(listed: ListedUpstream) -> tuple[str, str, int]:
    return listed.service, listed.upstream.host, listed.upstream.port


def _to_listed_upstream(model: InstanceModel) -> ListedUpstream:
    host, port = _split_upstream_address(model.address)
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
        started_at_ms=model.born,
    )
    return ListedUpstream(model.service, upstream, max(1, model.slots))


def _split_upstream_address(address: str) -> tuple[str, int]:
    """Split the address of an upstream, which is an IP address and a port.

    Raises:
        ValueError: It is not one that can be connected to.
    """
    host, _, port_text = address.rpartition(":")
    ip = ipaddress.ip_address(host)
    is_port = port_text.isascii() and port_text.isdigit()
    if ip.is_unspecified or ip.is_multicast or not is_port:
        raise ValueError(f"not an address of an upstream: {address!r}")
    port = int(port_text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port out of range: {address!r}")
    return host, port
