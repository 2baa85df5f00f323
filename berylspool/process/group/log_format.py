"""Format of the log and the snapshot of a control node.

The data folder holds two files.  `log` starts with magic bytes that contain
the format version, followed by frames; each frame has a checksummed header
and a checksummed body.  `snapshot` is replaced atomically by a rename.

Each sync first writes a frame with its number.  A power failure may damage
any part of the data of the last sync, so a bad checksum there ends the log.
A bad checksum that a later sync follows is refused as corruption, because
records after it may have been acknowledged.
"""

import struct
from dataclasses import dataclass, field
from pathlib import Path

import msgpack
import xxhash

from berylspool.exception import CorruptLogError
from berylspool.process.group.message import Record, RecordKind, Snapshot
from berylspool.process.group.node import decode_group

__all__ = [
    "LOG_MAGIC",
    "SNAPSHOT_MAGIC",
    "RecoveredState",
    "encode_frame",
    "encode_record",
    "frame_body",
    "read_snapshot",
    "replay_log",
]

LOG_MAGIC = b"BSPLOG1\n"
SNAPSHOT_MAGIC = b"BSPSNP1\n"
FRAME_HEADER = struct.Struct(">IIQ")
HEADER_CHECKSUM_SEED = 0x62737031
# Upper bound in bytes; the frame of a sync number is far shorter.
MAX_SYNC_FRAME_BYTES = 64


@dataclass(slots=True)
class RecoveredState:
    """State recovered from a data folder.

    Later saves keep the identity, the vote and the sync number up to date;
    snapshot and log stay as they were found.

    Attributes:
        identity: Id of the node, or empty for a new folder.
        message_senders: Ids of the nodes that have sent consensus messages
            to this one, which may have been votes or acknowledgements.
        term: Saved term.
        voted_for: Saved vote, or empty.
        snapshot: Saved snapshot.
        log: Saved records after the snapshot.
        truncated_bytes: Length of the torn tail that was truncated, in bytes.
        sync_number: Number of the last sync.
    """

    identity: str = ""
    message_senders: tuple[str, ...] = ()
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list[Record] = field(default_factory=list)
    truncated_bytes: int = 0
    sync_number: int = 0


def encode_record(record: Record) -> list:
    """Return the fields of the frame of a record."""
    return ["record", record.index, record.term, record.kind, record.body]


def encode_frame(fields: list) -> bytes:
    """Return a frame with fields."""
    return frame_body(msgpack.packb(fields))


def frame_body(body: bytes) -> bytes:
    """Return a frame with an encoded body."""
    length = len(body)
    length_checksum = xxhash.xxh32_intdigest(
        struct.pack(">I", length), HEADER_CHECKSUM_SEED
    )
    return (
        FRAME_HEADER.pack(
            length, length_checksum, xxhash.xxh3_64_intdigest(body)
        )
        + body
    )


def _read_frame(
    data: bytes, start: int, path: Path
) -> tuple[bytes, int] | None:
    """Return the body of the frame at `start` and the end of the frame.

    Args:
        data: Content of the file.
        start: Position of the frame in bytes.
        path: Path of the file, for error messages.

    Returns:
        The body and the position after it, or None for a torn tail.

    Raises:
        CorruptLogError: The frame is complete but fails a checksum.
    """
    rest = memoryview(data)[start:]
    if len(rest) < FRAME_HEADER.size or not any(rest):
        return None
    length, length_checksum, body_checksum = FRAME_HEADER.unpack_from(rest)
    expected_checksum = xxhash.xxh32_intdigest(
        struct.pack(">I", length), HEADER_CHECKSUM_SEED
    )
    if length_checksum != expected_checksum:
        raise CorruptLogError(f"{path}: header checksum fails at byte {start}")
    body = bytes(rest[FRAME_HEADER.size : FRAME_HEADER.size + length])
    if len(body) < length:
        return None
    if xxhash.xxh3_64_intdigest(body) != body_checksum:
        if _is_zero_tail(rest, FRAME_HEADER.size + length):
            return None
        raise CorruptLogError(f"{path}: body checksum fails at byte {start}")
    return body, start + FRAME_HEADER.size + length


def _is_zero_tail(rest: memoryview, end: int) -> bool:
    """Return whether the file was extended but its data was not written."""
    return not any(rest[end - 1 :]) and not any(rest[FRAME_HEADER.size : end])


def replay_log(data: bytes, recovered: RecoveredState, path: Path) -> int:
    """Replay the log into `recovered` and return its valid length in bytes.

    Raises:
        CorruptLogError: A frame that is not part of a torn last sync fails
            a checksum, or the log is malformed.
    """
    position = len(LOG_MAGIC)
    while position < len(data):
        try:
            frame = _read_frame(data, position, path)
        except CorruptLogError:
            if _has_later_sync(data, position, recovered.sync_number):
                raise
            return position
        if frame is None:
            return position
        body, position = frame
        match msgpack.unpackb(body):
            case ["sync", number]:
                recovered.sync_number = number
            case ["identity", identity, message_senders]:
                recovered.identity = identity
                recovered.message_senders = tuple(message_senders)
            case ["vote", term, voted_for]:
                recovered.term = term
                recovered.voted_for = voted_for
            case ["record", index, term, kind, payload]:
                record = Record(index, term, RecordKind(kind), payload)
                _insert_record(record, recovered, path)
            case _:
                raise CorruptLogError(f"{path}: frame of unknown type")
    return position


def _has_later_sync(data: bytes, start: int, sync_number: int) -> bool:
    """Return whether a sync frame with a higher number follows `start`."""
    min_frame_bytes = FRAME_HEADER.size + 1
    for position in range(start + 1, len(data) - min_frame_bytes + 1):
        window = data[position : position + MAX_SYNC_FRAME_BYTES]
        try:
            frame = _read_frame(window, 0, Path())
        except CorruptLogError:
            continue
        if frame is None:
            continue
        match _unpack_or_none(frame[0]):
            case ["sync", int(number)] if number > sync_number:
                return True
    return False


def _unpack_or_none(body: bytes) -> object:
    try:
        return msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException):
        # The bytes are not a frame, although the checksums match.
        return None


def _insert_record(
    record: Record, recovered: RecoveredState, path: Path
) -> None:
    snapshot_index = recovered.snapshot.index
    if record.index <= snapshot_index:
        return
    offset = record.index - snapshot_index - 1
    if offset > len(recovered.log):
        raise CorruptLogError(
            f"{path}: records before index {record.index} are missing"
        )
    del recovered.log[offset:]
    recovered.log.append(record)


def read_snapshot(path: Path) -> Snapshot:
    """Read a snapshot file.

    Raises:
        CorruptLogError: The file is of another format or fails a checksum.
    """
    data = path.read_bytes()
    if not data.startswith(SNAPSHOT_MAGIC):
        raise CorruptLogError(f"{path}: unsupported snapshot format")
    frame = _read_frame(data, len(SNAPSHOT_MAGIC), path)
    if frame is None:
        raise CorruptLogError(f"{path}: snapshot is truncated")
    index, term, group, encoded_state = msgpack.unpackb(frame[0])
    return Snapshot(index, term, decode_group(group), encoded_state)
