"""File-based storage of one control replica.

The data folder contains three files. ``identity`` marks the folder as formatted and
stores the disk identity; it is locked while the folder is in use. ``log`` holds the
operations of each synced ``persist`` call as checksummed frames. ``snapshot`` holds
the latest snapshot.
"""

import fcntl
import os
import random
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from mustardtrack.adapters.frames import encode_frame, has_frame_after, read_frames
from mustardtrack.agreement import (
    PersistOp,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    StoredState,
)
from mustardtrack.agreement.diskidentity import create_disk_identity
from mustardtrack.agreement.entries import entries_after
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import ReplicaStorage, StorageDamagedError

TORN_WRITE_TRUNCATED = define_event(
    8100, "WARNING", "incomplete write at the end of the log truncated"
)
DAMAGE_REMEDY = (
    "stop the replica, remove the folder and start it again; "
    "it rejoins as a learner with a new disk identity"
)


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """Payload of one log frame.

    ``base_index`` is the last index of the snapshot that the log file follows.
    """

    base_index: int
    operations: list[PersistOp]


_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(_Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


class DiskStorage(ReplicaStorage):
    """Append-only log and snapshot of one replica.

    ``load`` formats a new or empty folder with a new disk identity.

    Args:
        folder: Data folder of the replica; created if missing.

    Examples:
        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as folder:
        ...     disk = DiskStorage(folder)
        ...     state = disk.load()
        ...     disk.persist([SaveVote(3, None)])
        ...     disk.close()
        ...     DiskStorage(folder).load().term
        3
    """

    def __init__(self, folder: str | Path):
        self._folder = Path(folder)
        self._state = StoredState(disk="")
        self._identity_fd = -1
        self._log_fd = -1
        self._log_bytes = 0
        self._sequence = 1
        self._unsynced: list[PersistOp] = []
        self._failed = False

    def load(self) -> StoredState:
        """Read the stored state; an empty folder is formatted first.

        Returns:
            The stored state, which is durable; its ``entries`` list is not shared
            with this object.

        Raises:
            StorageDamagedError: If a file is missing or a record before the last
                one is corrupt, or if another process has locked the folder.
            OSError: If the folder cannot be read or written.
        """
        self.close()
        self._failed = False
        self._folder.mkdir(parents=True, exist_ok=True)
        if not self._path("identity").exists():
            self._format()
        self._lock()
        # The replica acknowledges what it loads without writing it again, so names and
        # writes that a killed process left unsynced are synced before they are read.
        _sync_folder(self._folder)
        _sync_folder(self._folder.parent)
        disk = self._read_single_frame("identity").decode()
        self._state = StoredState(disk=disk)
        if self._path("snapshot").exists():
            self._state.snapshot = self._read_snapshot()
        self._read_log()
        return StoredState(
            disk=disk,
            term=self._state.term,
            voted_for=self._state.voted_for,
            snapshot=self._state.snapshot,
            entries=list(self._state.entries),
        )

    def persist(self, operations: Sequence[PersistOp], sync: bool = True) -> None:
        """Apply operations in order and write them to disk.

        Without ``sync`` they are buffered in memory until the next synced call, so
        that each frame is durable before the next one is written and a crash can leave
        only the last one incomplete.

        Raises:
            OSError: If a write or sync fails. Each operation is then either stored
                or not, and every later call fails until ``load``.
        """
        if self._failed or self._log_fd < 0:
            raise OSError("the log is closed or a write failed, restart the replica")
        self._unsynced.extend(operations)
        if not sync or not self._unsynced:
            return
        operations_to_write, self._unsynced = self._unsynced, []
        try:
            self._write_operations(operations_to_write)
        except BaseException:
            self._failed = True
            raise

    def close(self) -> None:
        """Close the files; buffered operations are discarded."""
        self._unsynced = []
        for descriptor in (self._log_fd, self._identity_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self._log_fd = self._identity_fd = -1

    def _write_operations(self, operations: list[PersistOp]) -> None:
        """Write one frame for each batch of operations between snapshots."""
        batch: list[PersistOp] = []
        for operation in operations:
            if isinstance(operation, SaveSnapshot):
                self._append_frame(batch)
                batch = []
                self._state.apply(operation)
                self._replace_snapshot(operation.snapshot)
            else:
                self._state.apply(operation)
                batch.append(operation)
        self._append_frame(batch)

    def _append_frame(self, operations: list[PersistOp]) -> None:
        if not operations:
            return
        payload = _ENCODER.encode(_Record(self._state.base_index, operations))
        frame = encode_frame(self._sequence, payload)
        try:
            _write_all(self._log_fd, frame)
            os.fsync(self._log_fd)
        except OSError:
            # After a failed sync Linux keeps the frame readable and does not write it
            # again: a restarted replica would acknowledge a frame that is on no disk.
            os.ftruncate(self._log_fd, self._log_bytes)
            raise
        self._log_bytes += len(frame)
        self._sequence += 1

    def _replace_snapshot(self, snapshot: Snapshot) -> None:
        # A crash between the two file replacements leaves the old log next to the
        # new snapshot; ``load`` drops the entries that the snapshot covers.
        self._write_file("snapshot", encode_frame(0, _ENCODER.encode(snapshot)))
        self._rewrite_log()

    def _rewrite_log(self) -> None:
        state = self._state
        operations: list[PersistOp] = [SaveVote(state.term, state.voted_for)]
        if state.entries:
            operations.append(SaveEntries(tuple(state.entries)))
        record = _Record(state.base_index, operations)
        frame = encode_frame(1, _ENCODER.encode(record))
        self._write_file("log", frame)
        self._log_bytes = len(frame)
        self._sequence = 2
        self._open_log()

    def _open_log(self) -> None:
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1
        self._log_fd = os.open(self._path("log"), os.O_RDWR | os.O_APPEND)

    def _format(self) -> None:
        existing = sorted(path.name for path in self._folder.iterdir())
        # A crash during formatting leaves at most an empty log and temporary files.
        partial_format_files = {"log", "log.new", "identity.new"}
        if not set(existing) <= partial_format_files or self._log_size() > 0:
            raise self._damage_error("identity", "is missing, but the folder has data")
        self._write_file("log", b"")
        wall_ms = time.time_ns() // 1_000_000
        identity = create_disk_identity(wall_ms, random.SystemRandom())
        self._write_file("identity", encode_frame(0, identity.encode()))

    def _log_size(self) -> int:
        path = self._path("log")
        return path.stat().st_size if path.exists() else 0

    def _lock(self) -> None:
        self._identity_fd = os.open(self._path("identity"), os.O_RDONLY)
        try:
            fcntl.flock(self._identity_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            self.close()
            raise StorageDamagedError(
                f"{self._folder} is in use by another process, stop that process"
            ) from error

    def _read_log(self) -> None:
        if not self._path("log").exists():
            raise self._damage_error("log", "is missing")
        self._open_log()
        os.fsync(self._log_fd)
        data = self._path("log").read_bytes()
        end = 0
        self._sequence = 1
        base_index = 0
        replayed = StoredState(disk="")
        for sequence, payload, end_offset in read_frames(data, 1):
            base_index = self._replay(replayed, payload)
            self._sequence, end = sequence + 1, end_offset
        self._log_bytes = end
        if end < len(data):
            self._truncate_torn_write(data, end)
        self._merge_log_state(replayed, base_index)

    def _replay(self, replayed: StoredState, payload: bytes) -> int:
        try:
            record = _RECORD_DECODER.decode(payload)
            if replayed.snapshot is None and record.base_index > 0:
                # Placeholder: only its index is used, as the base of the entries.
                replayed.snapshot = Snapshot(record.base_index, 0, (), b"")
            for operation in record.operations:
                replayed.apply(operation)
        except (msgspec.DecodeError, ValueError) as error:
            raise self._damage_error("log", f"has a bad record: {error}") from error
        return record.base_index

    def _merge_log_state(self, replayed: StoredState, base_index: int) -> None:
        state = self._state
        if base_index > state.base_index:
            raise self._damage_error("snapshot", f"is older than index {base_index}")
        state.term, state.voted_for = replayed.term, replayed.voted_for
        state.entries = replayed.entries
        if state.snapshot:
            state.entries = entries_after(state.snapshot, replayed.entries)
        if state.base_index > base_index:
            # A crash interrupted ``_replace_snapshot`` before the log was replaced.
            self._rewrite_log()

    def _truncate_torn_write(self, data: bytes, end: int) -> None:
        # The first frame of a log that follows a snapshot was written by an atomic
        # file replacement, so it cannot be a torn write.
        is_first_frame_damaged = end == 0 and self._state.snapshot is not None
        if is_first_frame_damaged or has_frame_after(data, end):
            raise self._damage_error("log", f"is damaged at byte {end} before its end")
        os.ftruncate(self._log_fd, end)
        os.fsync(self._log_fd)
        log_event(
            TORN_WRITE_TRUNCATED,
            file=str(self._path("log")),
            offset_bytes=end,
            removed_bytes=len(data) - end,
        )

    def _read_snapshot(self) -> Snapshot:
        try:
            return _SNAPSHOT_DECODER.decode(self._read_single_frame("snapshot"))
        except msgspec.DecodeError as error:
            raise self._damage_error(
                "snapshot", f"cannot be decoded: {error}"
            ) from error

    def _read_single_frame(self, name: str) -> bytes:
        data = self._path(name).read_bytes()
        for _, payload, end in read_frames(data, 0):
            if end == len(data):
                return payload
        raise self._damage_error(name, "is not exactly one frame with a valid checksum")

    def _write_file(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves the old or the new content."""
        temporary = self._path(name + ".new")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self._path(name))
        _sync_folder(self._folder)

    def _path(self, name: str) -> Path:
        return self._folder / name

    def _damage_error(self, name: str, fault: str) -> StorageDamagedError:
        self.close()
        return StorageDamagedError(f"{self._path(name)} {fault}; {DAMAGE_REMEDY}")


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
