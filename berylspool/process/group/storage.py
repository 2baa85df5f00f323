"""Durable state of a control node: vote, log and snapshot on its disk.

A write that the disk refuses for lack of room leaves a torn tail, which
`reopen` cuts off: nothing before it has changed. After any other error, and
after a failed sync of any kind, the content of the disk is unknown, because the
kernel may have dropped pages that were never written.
"""

import contextlib
import errno
import io
import os
from pathlib import Path
from typing import Any, cast

import msgpack

from berylspool.exception import (
    CorruptLogError,
    StorageError,
    StorageFullError,
)
from berylspool.process.group.log_format import (
    LOG_MAGIC,
    SNAPSHOT_MAGIC,
    RecoveredState,
    encode_frame,
    encode_record,
    frame_body,
    read_snapshot,
    replay_log,
)
from berylspool.process.group.message import Record, Snapshot
from berylspool.process.group.node import encode_group

__all__ = ["Storage"]

ERRORS_OF_FULL_DISK = (errno.ENOSPC, errno.EDQUOT)


class _FileOnDiskThatFillsUp(io.FileIO):
    """Refuses writes while a marker file exists, as a full disk does."""

    marker = Path()

    def write(self, data: Any) -> int:
        if self.marker.exists():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(data)


class Storage:
    """Owns the data folder of one control node.

    Saves are buffered until `sync`, which returns once they are on disk.

    Args:
        folder: Data folder; created if it does not exist.
        full_disk_marker: Path of a file; while it exists, writes are refused.
            Empty if only the disk itself refuses them.

    Attributes:
        recovered: State recovered when the folder was opened.

    Raises:
        StorageError: The folder cannot be created, read or written.
        CorruptLogError: A file fails its checksums.
    """

    def __init__(self, folder: Path, full_disk_marker: str = "") -> None:
        self._folder = folder
        self._full_disk_marker = full_disk_marker
        self._log_path = folder / "log"
        self._snapshot_path = folder / "snapshot"
        self._unsynced_frames: list[bytes] = []
        self._has_failed = False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.recovered = self._recover()
            self._log_file = self._open_log()
        except OSError as error:
            raise StorageError(
                f"cannot open data folder {folder}: {error}"
            ) from error

    def reopen(self) -> None:
        """Recover the state on disk again after a `StorageFullError`.

        Raises:
            StorageError: The data folder cannot be read, or the rest of the
                refused write cannot be cut off.
            CorruptLogError: A file fails its checksums.
        """
        self._unsynced_frames.clear()
        try:
            self._log_file.close()
            self.recovered = self._recover()
            self._log_file = self._open_log()
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot reopen data folder {self._folder}: {error}"
            ) from error

    def check_room(self) -> None:
        """Write and sync an empty save.

        Raises:
            StorageFullError: The disk still has no room.
            StorageError: The write or the sync failed.
        """
        self._write_frames([])

    def _open_log(self) -> io.FileIO:
        log_file = self._open_unbuffered(self._log_path, "r+b")
        log_file.seek(0, os.SEEK_END)
        return log_file

    def _open_unbuffered(self, path: Path, mode: str) -> io.FileIO:
        """Open a file of which no part of a refused write is written later."""
        if not self._full_disk_marker:
            return cast(io.FileIO, open(path, mode, buffering=0))
        file = _FileOnDiskThatFillsUp(path, mode)
        file.marker = Path(self._full_disk_marker)
        return file

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

    def save_founder(self, identity: str, snapshot: Snapshot) -> None:
        """Save the id of a founder and the snapshot that creates its group.

        The id is written after the snapshot, so that no node ever has the id
        of a founder without the group.

        Raises:
            StorageError: The write to the disk failed.
        """
        self.recovered.identity = identity
        self.recovered.message_senders = ()
        self.save_snapshot(snapshot, ())
        self.recovered.snapshot = snapshot

    def save_vote(self, term: int, voted_for: str) -> None:
        """Save the current term and the vote in it."""
        self.recovered.term = term
        self.recovered.voted_for = voted_for
        self._buffer_frame(["vote", term, voted_for])

    def append(self, records: tuple[Record, ...]) -> None:
        """Save records; they replace the log from the first one's index on."""
        for record in records:
            self._buffer_frame(encode_record(record))

    def sync(self) -> None:
        """Write the buffered saves and wait until they are on disk.

        Raises:
            StorageFullError: The disk has no room. Call `reopen`.
            StorageError: A write has failed, now or earlier. Every later sync
                fails too, because the content of the disk is unknown.
        """
        if not self._unsynced_frames and not self._has_failed:
            return
        frames = self._unsynced_frames
        self._unsynced_frames = []
        self._write_frames(frames)

    def _write_frames(self, frames: list[bytes]) -> None:
        if self._has_failed:
            raise StorageError(
                f"cannot sync data folder {self._folder}: "
                "an earlier write failed"
            )
        self.recovered.sync_number += 1
        sync_frame = encode_frame(["sync", self.recovered.sync_number])
        self._write(b"".join([sync_frame, *frames]))
        try:
            os.fdatasync(self._log_file.fileno())
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot sync data folder {self._folder}: {error}"
            ) from error

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self._log_file.write(rest) :]
        except OSError as error:
            self._raise_if_full(error)
            self._has_failed = True
            raise StorageError(
                f"cannot write data folder {self._folder}: {error}"
            ) from error

    def _raise_if_full(self, error: OSError) -> None:
        if error.errno in ERRORS_OF_FULL_DISK:
            raise StorageFullError(
                f"no room in data folder {self._folder}: {error}"
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
            StorageFullError: The disk has no room; the snapshot is either
                replaced or as before, and the log holds all records.
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
            encode_frame(
                [
                    "identity",
                    self.recovered.identity,
                    list(self.recovered.message_senders),
                ]
            ),
            encode_frame(["sync", self.recovered.sync_number]),
            encode_frame(
                ["vote", self.recovered.term, self.recovered.voted_for]
            ),
            *(encode_frame(encode_record(record)) for record in later_records),
        ]
        try:
            content = SNAPSHOT_MAGIC + frame_body(body)
            self._replace_file(self._snapshot_path, content)
            self._replace_file(self._log_path, b"".join(log_frames))
            self._log_file.close()
            self._log_file = self._open_log()
        except OSError as error:
            self._has_failed = True
            raise StorageError(
                f"cannot save snapshot in data folder {self._folder}: {error}"
            ) from error

    def close(self) -> None:
        """Close the log file; saves that were not synced may be lost."""
        self._log_file.close()

    def _buffer_frame(self, fields: list) -> None:
        self._unsynced_frames.append(encode_frame(fields))

    def _replace_file(self, path: Path, data: bytes) -> None:
        temporary_path = path.with_suffix(".new")
        try:
            with self._open_unbuffered(temporary_path, "wb") as file:
                rest = memoryview(data)
                while rest:
                    rest = rest[file.write(rest) :]
                os.fsync(file.fileno())
        except OSError as error:
            # The file at `path` is untouched.
            with contextlib.suppress(OSError):
                temporary_path.unlink(missing_ok=True)
            self._raise_if_full(error)
            raise
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
            recovered.snapshot = read_snapshot(self._snapshot_path)
        if not self._log_path.exists():
            self._replace_file(self._log_path, LOG_MAGIC)
            return recovered
        data = self._log_path.read_bytes()
        if not data.startswith(LOG_MAGIC):
            raise CorruptLogError(f"{self._log_path}: unsupported log format")
        end = replay_log(data, recovered, self._log_path)
        recovered.truncated_bytes = len(data) - end
        if recovered.truncated_bytes:
            with open(self._log_path, "r+b") as file:
                file.truncate(end)
                file.flush()
                os.fsync(file.fileno())
        return recovered
