"""Guards against lost or spurious state after crashes and disk corruption."""

import errno
import os

import pytest

from mustardtrack.adapters.disk import TORN_WRITE_TRUNCATED, DiskStorage
from mustardtrack.agreement import (
    Entry,
    ReplicaId,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    TruncateFrom,
)
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.ports import StorageDamagedError
from mustardtrack.testing.disks import MemoryDisk

A = ReplicaId("a", "1")


def make_entries(first, last, term=1):
    return tuple(
        Entry(term, index, "command", b"%d" % index) for index in range(first, last + 1)
    )


def write_log(folder, frames=3):
    disk = DiskStorage(folder)
    disk.load()
    for index in range(1, frames + 1):
        disk.persist([SaveEntries(make_entries(index, index))])
    disk.close()
    return folder / "log"


@pytest.mark.parametrize("kind", ["disk", "memory"])
def test_operations_are_read_back_in_order(kind, tmp_path):
    disk = DiskStorage(tmp_path / "data") if kind == "disk" else MemoryDisk("d")
    identity = disk.load().disk
    disk.persist([SaveVote(2, A), SaveEntries(make_entries(1, 5))])
    disk.persist([TruncateFrom(5), SaveEntries(make_entries(5, 6, term=2))])
    disk.persist([SaveSnapshot(Snapshot(3, 1, (A,), b"state")), SaveVote(3, None)])
    disk.persist([SaveEntries(make_entries(7, 7, term=3))])
    disk.close()
    state = disk.load()
    assert (state.disk, state.term, state.voted_for) == (identity, 3, None)
    assert state.snapshot == Snapshot(3, 1, (A,), b"state")
    assert [(e.index, e.term) for e in state.entries] == [
        (4, 1),
        (5, 2),
        (6, 2),
        (7, 3),
    ]


@pytest.mark.parametrize("kind", ["disk", "memory"])
def test_snapshot_with_conflicting_term_discards_the_log(kind, tmp_path):
    disk = DiskStorage(tmp_path) if kind == "disk" else MemoryDisk("d")
    disk.load()
    disk.persist([SaveEntries(make_entries(1, 5))])
    disk.persist([SaveSnapshot(Snapshot(4, 2, (A,), b""))])
    disk.close()
    assert disk.load().entries == []


@pytest.mark.parametrize("removed_bytes", [1, 10, 30])
def test_torn_write_is_truncated_and_logged(tmp_path, removed_bytes):
    path = write_log(tmp_path)
    os.truncate(path, path.stat().st_size - removed_bytes)
    recorded_events = []

    def record(event, fields):
        recorded_events.append(event)

    add_event_listener(record)
    try:
        disk = DiskStorage(tmp_path)
        assert [entry.index for entry in disk.load().entries] == [1, 2]
    finally:
        remove_event_listener(record)
    assert recorded_events == [TORN_WRITE_TRUNCATED]
    disk.persist([SaveEntries(make_entries(3, 3, term=2))])
    disk.close()
    assert [entry.term for entry in DiskStorage(tmp_path).load().entries] == [1, 1, 2]


@pytest.mark.parametrize("offset", [0, 5, 9, 30])
def test_corruption_before_the_last_record_raises_with_remedy(tmp_path, offset):
    # Offset 5 corrupts the length, so that the frame seems to extend past the end.
    path = write_log(tmp_path)
    data = bytearray(path.read_bytes())
    second = len(data) // 3
    data[second + offset] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StorageDamagedError, match="remove the folder.*learner"):
        DiskStorage(tmp_path).load()
    assert path.read_bytes() == data


@pytest.mark.parametrize("name", ["identity", "log", "snapshot"])
def test_missing_or_corrupt_file_raises(tmp_path, name):
    disk = DiskStorage(tmp_path)
    disk.load()
    disk.persist([SaveEntries(make_entries(1, 5))])
    disk.persist([SaveSnapshot(Snapshot(5, 1, (A,), b"state"))])
    disk.close()
    path = tmp_path / name
    data = path.read_bytes()
    path.write_bytes(data[:-1])
    with pytest.raises(StorageDamagedError):
        DiskStorage(tmp_path).load()
    path.unlink()
    with pytest.raises(StorageDamagedError):
        DiskStorage(tmp_path).load()


def test_crash_between_snapshot_and_log_writes_keeps_later_entries(tmp_path):
    path = write_log(tmp_path, frames=5)
    old_log = path.read_bytes()
    disk = DiskStorage(tmp_path)
    disk.load()
    disk.persist([SaveSnapshot(Snapshot(3, 1, (A,), b"state"))])
    disk.close()
    path.write_bytes(old_log)
    for _ in range(2):
        disk = DiskStorage(tmp_path)
        assert [entry.index for entry in disk.load().entries] == [4, 5]
        disk.close()


def test_failed_sync_rejects_all_later_writes(tmp_path, monkeypatch):
    disk = DiskStorage(tmp_path)
    disk.load()

    def fail(descriptor):
        raise OSError("no space left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(OSError, match="no space"):
            disk.persist([SaveVote(1, None)])
    with pytest.raises(OSError, match="restart the replica"):
        disk.persist([SaveVote(1, None)])


def test_log_that_cannot_be_reopened_leaves_no_descriptor_to_close(
    tmp_path, monkeypatch
):
    """Guards against closing a descriptor that may belong to another file."""
    disk = DiskStorage(tmp_path)
    disk.load()
    real_open = os.open

    def fail_for_log(path, *args):
        if path == tmp_path / "log":
            raise OSError(errno.EMFILE, "too many open files")
        return real_open(path, *args)

    with monkeypatch.context() as patch:
        patch.setattr(os, "open", fail_for_log)
        with pytest.raises(OSError, match="too many open files"):
            disk.persist([SaveSnapshot(Snapshot(2, 1, (A,), b"state"))])
    disk.close()


def test_file_and_folder_are_synced_before_persist_returns(tmp_path, monkeypatch):
    disk = DiskStorage(tmp_path)
    disk.load()
    synced = []
    real_fsync = os.fsync

    def record(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        real_fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    disk.persist([SaveEntries(make_entries(1, 2))])
    assert synced == [str(tmp_path / "log")]
    synced.clear()
    disk.persist([SaveSnapshot(Snapshot(2, 1, (A,), b"state"))])
    folder = str(tmp_path)
    assert synced == [f"{folder}/snapshot.new", folder, f"{folder}/log.new", folder]


def test_second_process_cannot_open_the_folder(tmp_path):
    first = DiskStorage(tmp_path)
    first.load()
    with pytest.raises(StorageDamagedError, match="in use"):
        DiskStorage(tmp_path).load()
    first.close()
    DiskStorage(tmp_path).load()
