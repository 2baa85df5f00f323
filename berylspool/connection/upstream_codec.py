"""HTTP encoding of parts and replies, as documented in docs/UPSTREAM.md."""

from collections.abc import Mapping

import orjson

from berylspool.exception import ProtocolError
from berylspool.request.query import Part, Reason, Snapshot
from berylspool.version.pool.message import (
    ErrorReply,
    NotRunReply,
    RowsReply,
    UpstreamNotice,
    UpstreamReply,
)
from berylspool.version.upstream.notices import parse_pause

__all__ = [
    "decode_notice",
    "decode_reply",
    "encode_part",
]

PART_PATH = "/v1/part"
CANCEL_PATH = "/v1/cancel"
HEALTH_PATH = "/v1/health"

REQUEST_ID = "Request-Id"
ATTEMPT_ID = "Attempt-Id"
INDEX_VERSION = "Index-Version"
PARTITION_REVISION = "Partition-Revision"
SHARD = "Shard"
TIMEOUT_MS = "Timeout-Ms"
IDEMPOTENT = "Idempotent"
INSTANCE_ID = "Instance-Id"
LOAD = "Load"
NOT_RUN = "Not-Run"
REASON = "Reason"
ROW_COUNT = "Row-Count"
LEAVING = "Leaving"
PAUSE = "Pause-S"

STATUS_UNAVAILABLE = 503

REASON_BY_HEADER = {
    "shed": Reason.OVERLOAD,
    "cold": Reason.COLD,
    "draining": Reason.SHUTTING_DOWN,
    "wrong-version": Reason.WRONG_SNAPSHOT,
    "deadline": Reason.TIMEOUT,
    "cancelled": Reason.CANCELLED,
}


def encode_attempt_id(part_id: str, attempt_id: int) -> str:
    """Return the `Attempt-Id` header, unique per part and attempt."""
    return f"{part_id}#{attempt_id}"


def encode_part(
    part: Part, attempt_id: int, timeout_s: float
) -> tuple[dict[str, str], bytes]:
    """Encode one attempt of a part.

    Args:
        part: The part.
        attempt_id: Number of the attempt.
        timeout_s: Time left for the attempt, in seconds.

    Returns:
        Headers and body of the HTTP request.
    """
    body = part.body.encode()
    headers = {
        "Host": part.service,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        REQUEST_ID: part.request_id,
        ATTEMPT_ID: encode_attempt_id(part.id, attempt_id),
        INDEX_VERSION: part.snapshot.version,
        PARTITION_REVISION: str(part.snapshot.partition),
        SHARD: str(part.shard),
        TIMEOUT_MS: str(max(1, int(timeout_s * 1000))),
        IDEMPOTENT: "true" if part.idempotent else "false",
    }
    return headers, body


def decode_reply(
    part: Part,
    attempt_id: int,
    status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> UpstreamReply:
    """Decode the reply of an upstream and check that it matches the attempt.

    Args:
        part: The part that was sent.
        attempt_id: Number of the attempt that was sent.
        status: HTTP status.
        headers: Response headers.
        body: Response body.

    Returns:
        Rows, a refusal with which nothing was executed, or an error.

    Raises:
        ProtocolError: The reply is for another attempt; the connection must
            not be used again.
    """
    if headers.get(ATTEMPT_ID) != encode_attempt_id(part.id, attempt_id):
        raise ProtocolError("reply is for another attempt")
    if status == 200:
        return _decode_rows(headers, body)
    if headers.get(NOT_RUN) == "true":
        reason = REASON_BY_HEADER.get(headers.get(REASON, ""))
        return NotRunReply(reason or Reason.OVERLOAD)
    if status in (499, 504):
        return ErrorReply(Reason.TIMEOUT)
    return ErrorReply(Reason.UPSTREAM_ERROR)


def decode_notice(
    status: int, headers: Mapping[str, str]
) -> UpstreamNotice | None:
    """Decode what the upstream says of itself; None if it says nothing."""
    is_leaving = headers.get(LEAVING) == "true"
    text = headers.get(PAUSE, "") if status == STATUS_UNAVAILABLE else ""
    if not (is_leaving or text):
        return None
    pause_s = parse_pause(text)
    unusable_text = "" if pause_s is not None else text
    return UpstreamNotice(is_leaving, pause_s, unusable_text)


def _decode_rows(headers: Mapping[str, str], body: bytes) -> UpstreamReply:
    try:
        rows = tuple(orjson.loads(body)["rows"])
        count = int(headers[ROW_COUNT])
        snapshot = Snapshot(
            headers[INDEX_VERSION], int(headers[PARTITION_REVISION])
        )
    except (ValueError, KeyError, TypeError):
        return ErrorReply(Reason.TRUNCATED)
    if count != len(rows):
        return ErrorReply(Reason.TRUNCATED)
    return RowsReply(snapshot, rows)
