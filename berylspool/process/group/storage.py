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

__all__ = ["Recovered", "Storage"]

LOG_MAGIC = b"BSPLOG1\n"
SNAPSHOT_MAGIC = b"BSPSNP1\n"
HEADER = struct.Struct(">IIQ")
HEADER_SEED = 0x62737031
# Upper bound in bytes; the frame of a sync number is far shorter.
SYNC_WINDOW = 64


@dataclass(slots=True)
class Recovered:
    """State recovered from a data folder.

    Later saves keep the identity, the vote and the sync number up to date;
    snapshot and log stay as they were found.

    Attributes:
        identity: Id of the node, or empty for a new folder.
        promised: Ids of the nodes that have sent consensus messages to this
            one, which may have been votes or acknowledgements.
        term: Saved term.
        voted_for: Saved vote, or empty.
        snapshot: Saved snapshot.
        log: Saved records after the snapshot.
        cut_bytes: Length of the torn tail that was truncated, in bytes.
        syncs: Number of the last sync.
    """

    identity: str = ""
    promised: tuple[str, ...] = ()
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    log: list[Record] = field(default_factory=list)
    cut_bytes: int = 0
    syncs: int = 0


class Storage:
    """Owns the data folder of one control node.

    Saves are buffered until `sync`, which returns once they are on disk.

    Args:
        folder: Data folder; created if it does not exist.

    Raises:
        StorageError: The folder cannot be created, read or written.
        CorruptLogError: A file fails its checksums.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._log_path = folder / "log"
        self._snapshot_path = folder / "snapshot"
        self._buffer: list[bytes] = []
        self._has_failed = False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.recovered = self._recover()
            self._file = open(self._log_path, "r+b")  # noqa: SIM115
            self._file.seek(0, os.SEEK_END)
        except OSError as error:
            raise StorageError(
                f"cannot open data folder {folder}: {error}"
            ) from error

    def save_identity(self, identity: str, promised: tuple[str, ...]) -> None:
        """Save the id of this node and of the nodes that sent it messages.

        Args:
            identity: Id of this node.
            promised: Ids of the nodes that have sent consensus messages.
        """
        self.recovered.identity = identity
        self.recovered.promised = promised
        self._add(["identity", identity, list(promised)])

    def save_vote(self, term: int, voted_for: str) -> None:
        """Save the current term and the vote in it."""
        self.recovered.term = term
        self.recovered.voted_for = voted_for
        self._add(["vote", term, voted_for])

    def append(self, records: tuple[Record, ...]) -> None:
        """Save records; they replace the log from the first one's index on."""
        for record in records:
            self._add(_encode_record(record))

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
        if not self._buffer:
            return
        self.recovered.syncs += 1
        number = _frame(["sync", self.recovered.syncs])
        data = b"".join([number, *self._buffer])
        self._buffer.clear()
        try:
            self._file.write(data)
            self._file.flush()
            os.fdatasync(self._file.fileno())
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot sync data folder {self._folder}: {error}"
            ) from error

    def save_snapshot(
        self, snapshot: Snapshot, kept: tuple[Record, ...]
    ) -> None:
        """Replace snapshot and log, and return once both are on disk.

        The snapshot is on disk before the records that it covers are
        dropped, so a crash in between loses no data.

        Args:
            snapshot: The new snapshot.
            kept: Records after the snapshot; they are the new log.

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
        log = [
            LOG_MAGIC,
            _frame(
                [
                    "identity",
                    self.recovered.identity,
                    list(self.recovered.promised),
                ]
            ),
            _frame(["sync", self.recovered.syncs]),
            _frame(["vote", self.recovered.term, self.recovered.voted_for]),
            *(_frame(_encode_record(record)) for record in kept),
        ]
        try:
            framed = SNAPSHOT_MAGIC + _frame_bytes(body)
            self._replace(self._snapshot_path, framed)
            self._replace(self._log_path, b"".join(log))
            self._file.close()
            self._file = open(self._log_path, "r+b")  # noqa: SIM115
            self._file.seek(0, os.SEEK_END)
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot save snapshot in data folder {self._folder}: {error}"
            ) from error

    def close(self) -> None:
        """Close the log file; saves that were not synced may be lost."""
        self._file.close()

    def _add(self, item: list) -> None:
        self._buffer.append(_frame(item))

    def _replace(self, path: Path, data: bytes) -> None:
        temporary = path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _recover(self) -> Recovered:
        recovered = Recovered()
        if self._snapshot_path.exists():
            recovered.snapshot = _read_snapshot(self._snapshot_path)
        if not self._log_path.exists():
            self._replace(self._log_path, LOG_MAGIC)
            return recovered
        data = self._log_path.read_bytes()
        if not data.startswith(LOG_MAGIC):
            raise CorruptLogError(f"{self._log_path}: unsupported log format")
        end = _replay(data, recovered, self._log_path)
        recovered.cut_bytes = len(data) - end
        if recovered.cut_bytes:
            with open(self._log_path, "r+b") as file:
                file.truncate(end)
                file.flush()
                os.fsync(file.fileno())
        return recovered


def _encode_record(record: Record) -> list:
    return ["record", record.index, record.term, record.kind, record.body]


def _frame(item: list) -> bytes:
    return _frame_bytes(msgpack.packb(item))


def _frame_bytes(body: bytes) -> bytes:
    length = len(body)
    check = xxhash.xxh32_intdigest(struct.pack(">I", length), HEADER_SEED)
    return HEADER.pack(length, check, xxhash.xxh3_64_intdigest(body)) + body


def _unframe(data: bytes, start: int, path: Path) -> tuple[bytes, int] | None:
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
    if len(rest) < HEADER.size or not any(rest):
        return None
    length, check, digest = HEADER.unpack_from(rest)
    wanted = xxhash.xxh32_intdigest(struct.pack(">I", length), HEADER_SEED)
    if check != wanted:
        raise CorruptLogError(f"{path}: header checksum fails at byte {start}")
    body = rest[HEADER.size : HEADER.size + length]
    if len(body) < length:
        return None
    if xxhash.xxh3_64_intdigest(body) != digest:
        if _is_zero_tail(rest, HEADER.size + length):
            return None
        raise CorruptLogError(f"{path}: body checksum fails at byte {start}")
    return body, start + HEADER.size + length


def _is_zero_tail(rest: bytes, end: int) -> bool:
    """Return whether the file was extended but its data was not written."""
    return not any(rest[end - 1 :]) and not any(rest[HEADER.size : end])


def _replay(data: bytes, recovered: Recovered, path: Path) -> int:
    """Replay the log into `recovered` and return its valid length in bytes.

    Raises:
        CorruptLogError: A frame that is not part of a torn last sync fails
            a checksum, or the log is malformed.
    """
    position = len(LOG_MAGIC)
    while position < len(data):
        try:
            framed = _unframe(data, position, path)
        except CorruptLogError:
            if _has_later_sync(data, position, recovered.syncs):
                raise
            return position
        if framed is None:
            return position
        body, position = framed
        match msgpack.unpackb(body):
            case ["sync", number]:
                recovered.syncs = number
            case ["identity", identity, promised]:
                recovered.identity = identity
                recovered.promised = tuple(promised)
            case ["vote", term, voted_for]:
                recovered.term = term
                recovered.voted_for = voted_for
            case ["record", index, term, kind, payload]:
                record = Record(index, term, RecordKind(kind), payload)
                _place(record, recovered, path)
            case _:
                raise CorruptLogError(f"{path}: frame of unknown type")
    return position


def _has_later_sync(data: bytes, start: int, syncs: int) -> bool:
    """Return whether a sync frame with a higher number follows `start`."""
    least = HEADER.size + 1
    for position in range(start + 1, len(data) - least + 1):
        window = data[position : position + SYNC_WINDOW]
        try:
            framed = _unframe(window, 0, Path())
        except CorruptLogError:
            continue
        if framed is None:
            continue
        match _unpacked(framed[0]):
            case ["sync", int(number)] if number > syncs:
                return True
    return False


def _unpacked(body: bytes) -> object:
    try:
        return msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException):
        # The bytes are not a frame, although the checksums match.
        return None


def _place(record: Record, recovered: Recovered, path: Path) -> None:
    base = recovered.snapshot.index
    if record.index <= base:
        return
    position = record.index - base - 1
    if position > len(recovered.log):
        raise CorruptLogError(
            f"{path}: records before index {record.index} are missing"
        )
    del recovered.log[position:]
    recovered.log.append(record)


def _read_snapshot(path: Path) -> Snapshot:
    data = path.read_bytes()
    if not data.startswith(SNAPSHOT_MAGIC):
        raise CorruptLogError(f"{path}: unsupported snapshot format")
    framed = _unframe(data, len(SNAPSHOT_MAGIC), path)
    if framed is None:
        raise CorruptLogError(f"{path}: snapshot is truncated")
    index, term, group, state = msgpack.unpackb(framed[0])
    return Snapshot(index, term, decode_group(group), state)
