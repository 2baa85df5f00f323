"""Encoding of requests to the platform's upstreams, decoding of responses."""

import functools
import struct
from itertools import chain

from berylspool.platform import headers
from berylspool.platform.upstream.received import Response, to_key
from berylspool.request.query import (
    Forward,
    Part,
    Reason,
    Snapshot,
    UpstreamResponse,
)
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    ErrorReply,
    NotRunReply,
    ReportedLoad,
    RowsReply,
    UpstreamNotice,
    UpstreamReply,
)
from berylspool.version.upstream.notices import parse_pause

__all__ = [
    "RequestEncoder",
    "decode_load",
    "decode_notice",
    "decode_response",
]

RECORD = struct.Struct("16s")
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
MS_PER_S = 1000.0

REQUEST_ID_NAME = headers.REQUEST_ID.lower()
STAMP_KEY = to_key(headers.RESPONSE_STAMP)
NOT_EXECUTED_KEY = to_key(headers.NOT_EXECUTED)
LOAD_KEY = to_key(headers.SERVER_LOAD)
LEAVING_KEY = to_key(headers.SERVER_LEAVING)
CONTENT_ENCODING_KEY = to_key("Content-Encoding")
PERCENT = 100.0
# No VM is ten times as fast as usual, so a smaller figure is an error.
MIN_PACE = 0.1
# Small numbers repeat; each answer states three or four.
MAX_CACHED_LOADS = 4096
# More than one entry is connected to.
MAX_CACHED_INSTANCES = 4096


class RequestEncoder:
    """Encodes copies of forwarded parts as HTTP requests.

    All parts of a request share its head, which is encoded once.
    """

    def __init__(self) -> None:
        self._request_id = ""
        self._forward: Forward | None = None
        self._head = b""
        self._rest = b""

    def get_id(self, part: Part) -> str:
        """Return the id that a part is sent with; empty without one."""
        if part.forward is not self._forward:
            self._encode_shared(part)
        return self._request_id

    def encode(self, part: Part, upstream: Upstream, timeout_s: float) -> bytes:
        """Encode one copy of a part.

        Args:
            part: Part to send; it holds the caller's request.
            upstream: Upstream to send it to; any other instance at the same
                address refuses it.
            timeout_s: Time left for the part, in seconds.

        Returns:
            The whole HTTP request.
        """
        if part.forward is not self._forward:
            self._encode_shared(part)
        timeout_ms = max(1, int(timeout_s * MS_PER_S))
        return b"%b%d\r\n%b%b" % (
            self._head,
            timeout_ms,
            _encode_instance(upstream.id),
            self._rest,
        )

    def _encode_shared(self, part: Part) -> None:
        forward = part.forward
        assert forward is not None
        lines = [f"{forward.method} {forward.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in forward.headers]
        self._request_id = next(
            (v for n, v in forward.headers if n.lower() == REQUEST_ID_NAME), ""
        )
        fields = "\r\n".join(lines).encode("latin-1") + b"\r\n"
        if forward.customer:
            # A name may hold characters that Latin-1 lacks.
            fields += f"{headers.TENANT}: {forward.customer}\r\n".encode()
        self._head = fields + f"{headers.REQUEST_DEADLINE}: ".encode("latin-1")
        length = ""
        if forward.body or forward.method not in ("GET", "HEAD"):
            length = f"Content-Length: {len(forward.body)}\r\n"
        self._rest = f"{length}\r\n".encode("latin-1") + forward.body
        self._forward = forward


@functools.lru_cache(maxsize=MAX_CACHED_INSTANCES)
def _encode_instance(id: str) -> bytes:
    return f"{headers.EXPECT_INSTANCE}: {id}\r\n".encode("latin-1")


def decode_response(part: Part, response: Response) -> UpstreamReply:
    """Decode a whole response to a copy of a part.

    A response counts as an answer only if the upstream has signed it; a
    refusal counts as not run only if the upstream says so.

    Args:
        part: Part that was sent.
        response: The whole response.

    Returns:
        An answer, a refusal without any work done, or an error.
    """
    status, stamp = response.status, response.get_by_key(STAMP_KEY)
    body = bytes(response.body)
    if status == STATUS_MISDIRECTED:
        return NotRunReply(Reason.NO_UPSTREAM)
    if response.value_by_name.get(NOT_EXECUTED_KEY):
        return NotRunReply(Reason.OVERLOAD)
    if not 200 <= status < 300:
        return ErrorReply(
            Reason.UPSTREAM_ERROR, _to_upstream_response(response, body)
        )
    if not stamp:
        return ErrorReply(Reason.TRUNCATED)
    if response.value_by_name.get(CONTENT_ENCODING_KEY):
        return ErrorReply(Reason.TRUNCATED)
    snapshot: Snapshot = part.snapshot
    if part.forward is None or not part.forward.is_part:
        return RowsReply(
            snapshot, (_to_upstream_response(response, body),), stamp
        )
    records_end = len(body) - len(body) % RECORD.size
    records = RECORD.iter_unpack(body[:records_end])
    return RowsReply(snapshot, tuple(chain.from_iterable(records)), stamp)


def _to_upstream_response(response: Response, body: bytes) -> UpstreamResponse:
    """Return a response with only its end-to-end headers."""
    end_to_end_headers = headers.select_end_to_end(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
    return UpstreamResponse(response.status, end_to_end_headers, body)


def decode_load(response: Response) -> ReportedLoad | None:
    """Return the load that a response reports, or None if it has none."""
    text = response.get_by_key(LOAD_KEY)
    return _parse_load(text) if text else None


@functools.lru_cache(maxsize=MAX_CACHED_LOADS)
def _parse_load(text: str) -> ReportedLoad | None:
    numbers = [
        headers.parse_whole_number(number.strip()) for number in text.split(",")
    ]
    match numbers:
        case [int(running), int(waiting), int(slots)]:
            return ReportedLoad(running, waiting, slots)
        case [int(running), int(waiting), int(slots), int(percent)]:
            pace = max(percent / PERCENT, MIN_PACE)
            return ReportedLoad(running, waiting, max(slots, 1), pace, True)
    # The load is only a hint; without it, the pool uses its own counts.
    return None


def decode_notice(response: Response) -> UpstreamNotice | None:
    """Decode what the upstream says of itself; None if it says nothing."""
    is_unavailable = response.status == STATUS_UNAVAILABLE
    if not is_unavailable and LEAVING_KEY not in response.value_by_name:
        return None
    is_leaving = response.get_by_key(LEAVING_KEY).strip() == "1"
    if not is_unavailable:
        return UpstreamNotice(is_leaving=True) if is_leaving else None
    text = response.get(headers.RETRY_AFTER)
    if not (is_leaving or text):
        return None
    pause_s = parse_pause(text)
    unusable_text = "" if pause_s is not None else text
    return UpstreamNotice(is_leaving, pause_s, unusable_text)
