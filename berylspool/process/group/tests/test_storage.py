"""Recovery of the data folder: torn tails, flipped bytes, full disks."""

import contextlib
import errno
import io
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.exception import (
    CorruptLogError,
    StorageError,
    StorageFullError,
)
from berylspool.process.group import storage as storage_module
from berylspool.process.group.log_format import LOG_MAGIC
from berylspool.process.group.message import (
    Group,
    Record,
    RecordKind,
    Snapshot,
)
from berylspool.process.group.storage import Storage


def make_record(index, term=1, size=10):
    return Record(index, term, RecordKind.DATA, bytes([index % 256]) * size)


def make_storage(folder, count=5):
    storage = Storage(folder)
    storage.save_identity("c1.0", ("c2.0",))
    storage.save_vote(3, "c2.0")
    for index in range(1, count + 1):
        storage.append((make_record(index),))
    storage.sync()
    return storage


def test_synced_state_is_recovered(tmp_path):
    make_storage(tmp_path).close()
    recovered = Storage(tmp_path).recovered
    assert (recovered.term, recovered.voted_for) == (3, "c2.0")
    assert recovered.identity == "c1.0" and recovered.message_senders == (
        "c2.0",
    )
    assert recovered.log == [make_record(i) for i in range(1, 6)]


def test_later_record_replaces_the_rest_of_the_log(tmp_path):
    storage = make_storage(tmp_path)
    storage.append((make_record(3, term=2),))
    storage.sync()
    storage.close()
    log = Storage(tmp_path).recovered.log
    assert [(r.index, r.term) for r in log] == [(1, 1), (2, 1), (3, 2)]


@given(cut_bytes=st.integers(1, 60))
def test_torn_tail_is_truncated_and_the_log_continues(
    tmp_path_factory, cut_bytes
):
    folder = tmp_path_factory.mktemp("torn")
    make_storage(folder).close()
    path = folder / "log"
    data = path.read_bytes()
    path.write_bytes(data[:-cut_bytes])
    storage = Storage(folder)
    count = len(storage.recovered.log)
    assert storage.recovered.log == [
        make_record(i) for i in range(1, count + 1)
    ]
    assert 2 <= count <= 4
    storage.append((make_record(count + 1),))
    storage.sync()
    storage.close()
    assert len(Storage(folder).recovered.log) == count + 1


@given(st.data())
def test_flipped_byte_before_the_last_sync_is_refused(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("flip")
    storage = make_storage(folder)
    size = (folder / "log").stat().st_size
    storage.append((make_record(6),))
    storage.sync()
    storage.close()
    path = folder / "log"
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, size - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(bytes(content))
    with pytest.raises(CorruptLogError):
        Storage(folder)


@given(st.data())
def test_last_sync_damaged_anywhere_loses_only_its_own_records(
    tmp_path_factory, data
):
    folder = tmp_path_factory.mktemp("torn")
    storage = make_storage(folder)
    path = folder / "log"
    size = path.stat().st_size
    for index in (6, 7):
        storage.append((make_record(index),))
    storage.sync()
    storage.close()
    content = bytearray(path.read_bytes())
    start = data.draw(st.integers(size, len(content) - 1))
    end = data.draw(st.integers(start + 1, len(content)))
    content[start:end] = bytes(end - start)
    path.write_bytes(bytes(content))
    recovered = Storage(folder).recovered
    indexes = [r.index for r in recovered.log]
    assert indexes[:5] == [1, 2, 3, 4, 5]
    assert indexes == list(range(1, len(indexes) + 1))


def test_zeros_after_a_crash_are_a_torn_tail(tmp_path):
    make_storage(tmp_path).close()
    with open(tmp_path / "log", "ab") as file:
        file.write(bytes(300))
    assert len(Storage(tmp_path).recovered.log) == 5


def test_snapshot_keeps_later_records_and_identity(tmp_path):
    storage = make_storage(tmp_path)
    snapshot = Snapshot(3, 1, Group(("c1.0",)), b"state")
    storage.save_snapshot(snapshot, (make_record(4), make_record(5)))
    storage.append((make_record(6),))
    storage.sync()
    storage.close()
    recovered = Storage(tmp_path).recovered
    assert recovered.snapshot == snapshot
    assert [r.index for r in recovered.log] == [4, 5, 6]
    assert recovered.identity == "c1.0" and recovered.term == 3


def test_crash_between_snapshot_and_log_loses_no_records(tmp_path):
    storage = make_storage(tmp_path)
    before = (tmp_path / "log").read_bytes()
    snapshot = Snapshot(3, 1, Group(("c1.0",)), b"state")
    storage.save_snapshot(snapshot, (make_record(4), make_record(5)))
    storage.close()
    (tmp_path / "log").write_bytes(before)
    recovered = Storage(tmp_path).recovered
    assert [r.index for r in recovered.log] == [4, 5]


def test_disk_error_raises_storage_error_on_every_later_sync(
    tmp_path, monkeypatch
):
    storage = make_storage(tmp_path)

    def fail_fdatasync(descriptor):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fdatasync", fail_fdatasync)
    storage.append((make_record(6),))
    with pytest.raises(StorageError):
        storage.sync()
    monkeypatch.undo()
    with pytest.raises(StorageError):
        storage.sync()


class FullDisk:
    """Makes writes fail for lack of room, some after a part of the bytes.

    Attributes:
        is_full: Whether writes fail.
        room_bytes: Bytes that are still written before the first failure.
    """

    def __init__(self, monkeypatch, room_bytes=0):
        self.is_full = False
        self.room_bytes = room_bytes
        real_open = open
        disk = self

        class LimitedFile(io.FileIO):
            def write(self, data):
                if not disk.is_full:
                    return super().write(data)
                if not disk.room_bytes:
                    raise OSError(errno.ENOSPC, "No space left on device")
                part = bytes(data)[: disk.room_bytes]
                disk.room_bytes -= len(part)
                return super().write(part)

        def open_limited(path, mode, buffering=-1):
            if buffering == 0:
                return LimitedFile(path, mode)
            return real_open(path, mode)

        monkeypatch.setattr(storage_module, "open", open_limited, raising=False)


@pytest.mark.parametrize("room_bytes", [0, 1, 15, 16, 40, 70, 100])
def test_write_without_room_leaves_what_was_synced(
    tmp_path, monkeypatch, room_bytes
):
    disk = FullDisk(monkeypatch, room_bytes)
    storage = make_storage(tmp_path)
    disk.is_full = True
    storage.save_vote(9, "c3.0")
    storage.append((make_record(6, size=200),))
    with pytest.raises(StorageFullError):
        storage.sync()
    storage.reopen()
    recovered = storage.recovered
    assert recovered.log == [make_record(i) for i in range(1, 6)]
    if room_bytes < 40:
        assert (recovered.term, recovered.voted_for) == (3, "c2.0")
    with pytest.raises(StorageFullError):
        storage.check_room()
    storage.reopen()
    disk.is_full = False
    storage.check_room()
    storage.append((make_record(6, term=4),))
    storage.sync()
    storage.close()
    log = Storage(tmp_path).recovered.log
    assert log == [*(make_record(i) for i in range(1, 6)), make_record(6, 4)]


@pytest.mark.parametrize("room_bytes", [0, 10, 60, 150, 250])
def test_snapshot_without_room_loses_no_record(
    tmp_path, monkeypatch, room_bytes
):
    disk = FullDisk(monkeypatch, room_bytes)
    storage = make_storage(tmp_path)
    snapshot = Snapshot(3, 1, Group(("c1.0",)), b"state" * 10)
    disk.is_full = True
    with pytest.raises(StorageFullError):
        storage.save_snapshot(snapshot, (make_record(4), make_record(5)))
    assert not list(tmp_path.glob("*.new"))
    disk.is_full = False
    storage.append((make_record(6),))
    storage.sync()
    storage.close()
    recovered = Storage(tmp_path).recovered
    assert recovered.snapshot in (Snapshot(), snapshot)
    assert recovered.identity == "c1.0" and recovered.term == 3
    last_index = recovered.snapshot.index + len(recovered.log)
    assert last_index == 6


def test_founder_without_room_has_no_identity_without_its_group(
    tmp_path, monkeypatch
):
    snapshot = Snapshot(0, 0, Group(("a.0", "b.0")), b"")
    for room_bytes in range(0, 400, 20):
        folder = tmp_path / str(room_bytes)
        with monkeypatch.context() as patch:
            disk = FullDisk(patch, room_bytes)
            storage = Storage(folder)
            disk.is_full = True
            # The process ends, and is started again.
            with contextlib.suppress(StorageFullError):
                storage.save_founder("a.0", snapshot)
        recovered = Storage(folder).recovered
        if recovered.identity:
            assert recovered.snapshot == snapshot


def test_failed_sync_for_lack_of_room_leaves_the_disk_unknown(
    tmp_path, monkeypatch
):
    """The kernel may have dropped pages that it could not write."""
    storage = make_storage(tmp_path)

    def fail_fdatasync(descriptor):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "fdatasync", fail_fdatasync)
    storage.append((make_record(6),))
    with pytest.raises(StorageError) as failure:
        storage.sync()
    assert not isinstance(failure.value, StorageFullError)


def test_unknown_format_is_refused(tmp_path):
    make_storage(tmp_path).close()
    path = tmp_path / "log"
    path.write_bytes(b"BSPLOG9\n" + path.read_bytes()[len(LOG_MAGIC) :])
    with pytest.raises(CorruptLogError):
        Storage(tmp_path)
