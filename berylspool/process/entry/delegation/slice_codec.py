"""Translation between parts with their results and messages about slices.

The head of a request is sent once, and the records of an answer as one block of
bytes, so that a part that another entry runs costs this one little.
"""

from collections.abc import Iterable
from dataclasses import replace
from itertools import chain
from struct import Struct
from typing import Any

from berylspool.connection.message import RunSlice, SliceResults
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Reason,
    Snapshot,
    UpstreamResponse,
)

__all__ = [
    "decode_failure",
    "decode_refusal",
    "decode_rows",
    "decode_slice",
    "encode_results",
    "encode_slice",
]

# Length of a record in an answer to a part, which `TopRecords` compares.
RECORD = Struct("16s")
# A larger error response is not worth its time on the link.
MAX_RESPONSE_BYTES = 16_384


def encode_slice(id: int, parts: list[Part]) -> RunSlice:
    """Return the message that asks a helper to run parts of one request."""
    first = parts[0]
    assert first.forward is not None
    return RunSlice(
        id,
        first.request_id,
        first.route,
        first.fingerprint,
        first.forward,
        tuple(
            [
                (part.service, part.shard, part.snapshot.version)
                for part in parts
            ]
        ),
        first.snapshot.partition,
        first.timeout_s,
        first.forward.attempts,
    )


def decode_slice(message: RunSlice, name: str) -> list[Part]:
    """Return the parts of a slice; they share one `Forward` object.

    Args:
        message: Message of the first entry.
        name: Name of the slice, unique in this process; ids of parts begin
            with it, as do log lines about them.
    """
    forward = replace(message.forward, attempts=message.attempts)
    return [
        Part(
            id=f"{name}/{shard}.{index}",
            request_id=message.request_id,
            service=service,
            shard=shard,
            snapshot=Snapshot(version, message.partition),
            body="",
            timeout_s=message.timeout_s,
            fingerprint=message.fingerprint,
            idempotent=True,
            route=message.route,
            forward=forward,
        )
        for index, (service, shard, version) in enumerate(message.parts)
    ]


def encode_results(
    id: int,
    results: Iterable[tuple[int, Part, PartResult]],
    hedged: tuple[int, ...] = (),
) -> SliceResults:
    """Return the message with results of parts of a slice.

    Args:
        id: Number of the slice.
        results: Position, part and result of each part.
        hedged: Positions of parts without a result that have been sent to as
            many upstreams as may run them.
    """
    rows: list[tuple[int, int, str, bytes]] = []
    refused: list[tuple[int, str, float]] = []
    failed: list[tuple[int, str, int]] = []
    response: UpstreamResponse | None = None
    for index, part, result in results:
        match result:
            case PartRows() if result.snapshot != part.snapshot:
                reason = Reason.WRONG_SNAPSHOT.value
                failed.append((index, reason, result.attempts))
            case PartRows(attempts=attempts, stamp=stamp):
                rows.append((index, attempts, stamp, b"".join(result.rows)))
            case PartRefused(reason=reason, retry_after_s=retry_after_s):
                refused.append((index, reason.value, retry_after_s))
            case PartFailed(reason=reason, attempts=attempts):
                failed.append((index, reason.value, attempts))
                response = _within_limit(result.response) or response
    return SliceResults(
        id, tuple(rows), tuple(refused), tuple(failed), response, hedged
    )


def _within_limit(response: UpstreamResponse | None) -> UpstreamResponse | None:
    if response is None or len(response.body) > MAX_RESPONSE_BYTES:
        return None
    return response


def decode_rows(part: Part, row: tuple[int, int, str, bytes]) -> PartRows:
    """Return the answer to a part; bytes after the last record are ignored."""
    _, attempts, stamp, block = row
    whole = block[: len(block) - len(block) % RECORD.size]
    records: tuple[Any, ...] = tuple(
        chain.from_iterable(RECORD.iter_unpack(whole))
    )
    return PartRows(part.id, part.snapshot, records, attempts, stamp)


def decode_refusal(part: Part, refused: tuple[int, str, float]) -> PartRefused:
    """Return the refusal of a part."""
    _, reason, retry_after_s = refused
    return PartRefused(part.id, _to_reason(reason), retry_after_s)


def decode_failure(
    part: Part, failed: tuple[int, str, int], message: SliceResults
) -> PartFailed:
    """Return the failure of a part; the last one has the error response.

    A request passes on one error response at most, whichever part it is of.
    """
    index, reason, attempts = failed
    is_last = index == message.failed[-1][0]
    response = message.response if is_last else None
    return PartFailed(part.id, _to_reason(reason), attempts, response)


def _to_reason(value: str) -> Reason:
    """Return a reason; a newer build may have reasons unknown to this one."""
    try:
        return Reason(value)
    except ValueError:
        return Reason.INTERNAL
