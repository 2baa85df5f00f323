"""Durable state of a control node: vote, log and snapshot on its disk.

The data folder holds two files.  `log` starts with magic bytes that contain
the format version, followed by frames; each frame has a checksummed header
and a checksummed body.  `snapshot` is replaced atomically by a rename.

Each sync first writes a frame with its number.  A power failure may damage
any part of the data of the last sync, so a bad checksum there ends the log.
A bad checksum that a later sync follows is refused as corruption, because
records after it may have been acknowledged.
"""

import os
import struct
from dataclasses import dataclass, field
from pathlib import Path

import msgpack
import xxhash

from berylspool.exception import CorruptLogError, StorageError
from berylspool.process.group.consensus import decode_group, encode_group
from berylspool.process.group.message import Record, RecordKind, Snapshot

__all__ = ["RecoveredState", "Storage"]

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


class Storage:
    """Owns the data folder of one control node.

    Saves are buffered until `sync`, which returns once they are on disk.

    Args:
        folder: Data folder; created if it does not exist.

    Attributes:
        recovered: State recovered when the folder was opened.

    Raises:
        StorageError: The folder cannot be created, read or written.
        CorruptLogError: A file fails its checksums.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._log_path = folder / "log"
        self._snapshot_path = folder / "snapshot"
        self._unsynced_frames: list[bytes] = []
        self._has_failed = False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.recovered = self._recover()
            self._log_file = open(self._log_path, "r+b")  # noqa: SIM115
            self._log_file.seek(0, os.SEEK_END)
        except OSError as error:
            raise StorageError(
                f"cannot open data folder {folder}: {error}"
            ) from error

    def save_identity(
        self, identity: str, message_senders: tuple[str, ...]
    ) -> None:
        """Save the id of this node and of the nodes that sent it messages.

        Args:
            identity: Id of this node.
            message_senders: Ids of the nodes that have sent consensus
                messages.
        """
        self.recovered.identity = identity
        self.recovered.message_senders = message_senders
        self._buffer_frame(["identity", identity, list(message_senders)])

    def save_vote(self, term: int, voted_for: str) -> None:
        """Save the current term and the vote in it."""
        self.recovered.term = term
        self.recovered.voted_for = voted_for
        self._buffer_frame(["vote", term, voted_for])

    def append(self, records: tuple[Record, ...]) -> None:
        """Save records; they replace the log from the first one's index on."""
        for record in records:
            self._buffer_frame(_encode_record(record))

    def sync(self) -> None:
        """Write the buffered saves and wait until they are on disk.

        Raises:
            StorageError: A write has failed, now or earlier. Every later sync
                fails too, because the content of the disk is unknown.
        """
        if self._has_failed:
            raise StorageError(
                f"cannot sync data folder {self._folder}: "
                "an earlier write failed"
            )
        if not self._unsynced_frames:
            return
        self.recovered.sync_number += 1
        sync_frame = _encode_frame(["sync", self.recovered.sync_number])
        data = b"".join([sync_frame, *self._unsynced_frames])
        self._unsynced_frames.clear()
        try:
            self._log_file.write(data)
            self._log_file.flush()
            os.fdatasync(self._log_file.fileno())
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot sync data folder {self._folder}: {error}"
            ) from error

    def save_snapshot(
        self, snapshot: Snapshot, later_records: tuple[Record, ...]
    ) -> None:
        """Replace snapshot and log, and return once both are on disk.

        The snapshot is on disk before the records that it covers are
        dropped, so a crash in between loses no data.

        Args:
            snapshot: The new snapshot.
            later_records: Records after the snapshot; they are the new log.

        Raises:
            StorageError: The write to the disk failed.
        """
        self.sync()
        body = msgpack.packb(
            [
                snapshot.index,
                snapshot.term,
                encode_group(snapshot.group),
                snapshot.data,
            ]
        )
        log_frames = [
            LOG_MAGIC,
            _encode_frame(
                [
                    "identity",
                    self.recovered.identity,
                    list(self.recovered.message_senders),
                ]
            ),
            _encode_frame(["sync", self.recovered.sync_number]),
            _encode_frame(
                ["vote", self.recovered.term, self.recovered.voted_for]
            ),
            *(
                _encode_frame(_encode_record(record))
                for record in later_records
            ),
        ]
        try:
            content = SNAPSHOT_MAGIC + _frame_body(body)
            self._replace_file(self._snapshot_path, content)
            self._replace_file(self._log_path, b"".join(log_frames))
            self._log_file.close()
            self._log_file = open(self._log_path, "r+b")  # noqa: SIM115
            self._log_file.seek(0, os.SEEK_END)
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot save snapshot in data folder {self._folder}: {error}"
            ) from error

    def close(self) -> None:
        """Close the log file; saves that were not synced may be lost."""
        self._log_file.close()

    def _buffer_frame(self, fields: list) -> None:
        self._unsynced_frames.append(_encode_frame(fields))

    def _replace_file(self, path: Path, data: bytes) -> None:
        temporary_path = path.with_suffix(".new")
        with open(temporary_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder_descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def _recover(self) -> RecoveredState:
        recovered = RecoveredState()
        if self._snapshot_path.exists():
            recovered.snapshot = _read_snapshot(self._snapshot_path)
        if not self._log_path.exists():
            self._replace_file(self._log_path, LOG_MAGIC)
            return recovered
        data = self._log_path.read_bytes()
        if not data.startswith(LOG_MAGIC):
            raise CorruptLogError(f"{self._log_path}: unsupported log format")
        end = _replay_log(data, recovered, self._log_path)
        recovered.truncated_bytes = len(data) - end
        if recovered.truncated_bytes:
            with open(self._log_path, "r+b") as file:
                file.truncate(end)
                file.flush()
                os.fsync(file.fileno())
        return recovered


def _encode_record(record: Record) -> list:
    return ["record", record.index, record.term, record.kind, record.body]


def _encode_frame(fields: list) -> bytes:
    return _frame_body(msgpack.packb(fields))


def _frame_body(body: bytes) -> bytes:
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
    rest = data[start:]
    if len(rest) < FRAME_HEADER.size or not any(rest):
        return None
    length, length_checksum, body_checksum = FRAME_HEADER.unpack_from(rest)
    expected_checksum = xxhash.xxh32_intdigest(
        struct.pack(">I", length), HEADER_CHECKSUM_SEED
    )
    if length_checksum != expected_checksum:
        raise CorruptLogError(f"{path}: header checksum fails at byte {start}")
    body = rest[FRAME_HEADER.size : FRAME_HEADER.size + length]
    if len(body) < length:
        return None
    if xxhash.xxh3_64_intdigest(body) != body_checksum:
        if _is_zero_tail(rest, FRAME_HEADER.size + length):
            return None
        raise CorruptLogError(f"{path}: body checksum fails at byte {start}")
    return body, start + FRAME_HEADER.size + length


def _is_zero_tail(rest: bytes, end: int) -> bool:
    """Return whether the file was extended but its data was not written."""
    return not any(rest[end - 1 :]) and not any(rest[FRAME_HEADER.size : end])


def _replay_log(data: bytes, recovered: RecoveredState, path: Path) -> int:
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


def _read_snapshot(path: Path) -> Snapshot:
    data = path.read_bytes()
    if not data.startswith(SNAPSHOT_MAGIC):
        raise CorruptLogError(f"{path}: unsupported snapshot format")
    frame = _read_frame(data, len(SNAPSHOT_MAGIC), path)
    if frame is None:
        raise CorruptLogError(f"{path}: snapshot is truncated")
    index, term, group, encoded_state = msgpack.unpackb(frame[0])
    return Snapshot(index, term, decode_group(group), encoded_state)
