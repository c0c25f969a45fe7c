"""Tests that the files of a replica survive kills, losses of power and full disks."""

import contextlib
import errno
import os
import random
import shutil
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from mustardtrack.adapters.disk import DiskStorage
from mustardtrack.agreement import (
    Entry,
    ReplicaId,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    StoredState,
    TruncateFrom,
)

A = ReplicaId("a", "1")


class ProcessKilledError(Exception):
    """The simulated process was killed before or in a file operation."""


@dataclass
class SimulatedFile:
    """Content of one file: as of its last sync, and the writes after it."""

    synced: bytes = b""
    content: bytes = b""
    unsynced: list[tuple[str, int, bytes]] = field(default_factory=list)

    def change(self, kind, offset, data=b""):
        """Apply a change that is not yet synced."""
        self.unsynced.append((kind, offset, data))
        self.content = _apply_change(self.content, kind, offset, data)

    def sync(self):
        """Make the changes since the last sync durable."""
        for kind, offset, data in self.unsynced:
            self.synced = _apply_change(self.synced, kind, offset, data)
        self.unsynced = []

    def fail_sync(self):
        """Report the unsynced changes as failed; later syncs do not retry them.

        As on Linux, they stay readable until the power is lost.
        """
        self.unsynced = []

    def lose_power(self, rng):
        """Keep, drop or tear each write since the last sync."""
        content = self.synced
        keeps_none = rng.random() < 0.3
        for kind, offset, data in self.unsynced:
            fate = "missing" if keeps_none else rng.choice(["kept", "missing", "torn"])
            if fate == "torn":
                data = data[: rng.randint(0, len(data))]
            if fate != "missing":
                content = _apply_change(content, kind, offset, data)
        self.content = self.synced = content
        self.unsynced = []


def _apply_change(content, kind, offset, data):
    if kind == "truncate":
        return content[:offset].ljust(offset, b"\0")
    return content[:offset].ljust(offset, b"\0") + data + content[offset + len(data) :]


class SimulatedFileSystem:
    """Records the file operations below ``root`` and simulates a loss of power.

    A created or renamed name is durable once its folder has been synced; until then
    each is kept or lost on its own. A write is durable once its file has been synced;
    until then each is kept, lost or torn.

    A full disk refuses new names and either writes, the first of them half done, or
    the sync after a write.
    """

    def __init__(self, root, monkeypatch):
        self._root = Path(root)
        self._names = {}
        self._durable_names = {}
        self._durable_folders = {self._root}
        self._unsynced_names = []
        self._open_files = {}
        self._real = {}
        self.operations_until_kill = None
        self.operations_until_full = None
        self.has_late_errors = False
        for name in ("open", "write", "fsync", "replace", "ftruncate", "mkdir"):
            self._real[name] = getattr(os, name)
            monkeypatch.setattr(os, name, getattr(self, f"_{name}"))

    def clear(self):
        """Remove all files and folders."""
        self._names, self._durable_names, self._unsynced_names = {}, {}, []
        self._durable_folders = {self._root}
        for child in self._root.iterdir():
            shutil.rmtree(child)

    def lose_power(self, rng):
        """Leave on disk what the loss of power keeps."""
        names, folders = dict(self._durable_names), set(self._durable_folders)
        for operation, path, target in self._unsynced_names:
            if rng.random() < 0.5:
                continue
            if operation == "mkdir":
                folders.add(path)
            elif operation == "create":
                names[path] = target
            else:
                names.pop(path, None)
                names[target[0]] = target[1]
        names = {path: file for path, file in names.items() if path.parent in folders}
        for file in {id(file): file for file in names.values()}.values():
            file.lose_power(rng)
        self._unsynced_names, self._open_files = [], {}
        self._names, self._durable_names = dict(names), dict(names)
        self._durable_folders = folders
        for child in self._root.iterdir():
            shutil.rmtree(child)
        for folder in sorted(folders - {self._root}):
            self._real["mkdir"](folder)
        for path, file in names.items():
            descriptor = self._real["open"](path, os.O_WRONLY | os.O_CREAT)
            self._real["write"](descriptor, file.content)
            os.close(descriptor)

    def _is_killed(self):
        if self.operations_until_kill is None:
            return False
        self.operations_until_kill -= 1
        return self.operations_until_kill < 0

    def _check_kill(self):
        if self._is_killed():
            raise ProcessKilledError

    def _is_full(self):
        if self.operations_until_full is None:
            return False
        self.operations_until_full -= 1
        return self.operations_until_full < 0

    def _check_full(self):
        if self._is_full():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _is_outside(self, path):
        return not Path(path).is_relative_to(self._root)

    def _open(self, path, flags, *args, **options):
        if self._is_outside(path):
            return self._real["open"](path, flags, *args, **options)
        self._check_kill()
        path = Path(path)
        if flags & os.O_CREAT:
            self._check_full()
        descriptor = self._real["open"](path, flags, *args, **options)
        if path.is_dir():
            self._open_files[descriptor] = path
            return descriptor
        if path not in self._names:
            self._names[path] = SimulatedFile()
            self._unsynced_names.append(("create", path, self._names[path]))
        elif flags & os.O_TRUNC:
            self._names[path].change("truncate", 0)
        self._open_files[descriptor] = self._names[path]
        return descriptor

    def _write(self, descriptor, data):
        file = self._open_files.get(descriptor)
        if file is None:
            return self._real["write"](descriptor, data)
        data = bytes(data)
        is_killed = self._is_killed()
        is_refused = not self.has_late_errors and self._is_full()
        if is_refused and self.operations_until_full < -1:
            data = b""
        elif is_killed or is_refused:
            data = data[: len(data) // 2]
        # All files are written from their end.
        file.change("write", len(file.content), data)
        written = self._real["write"](descriptor, data)
        assert written == len(data)
        if is_killed:
            raise ProcessKilledError
        if is_refused:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return written

    def _fsync(self, descriptor):
        self._check_kill()
        target = self._open_files[descriptor]
        if isinstance(target, SimulatedFile):
            if self.has_late_errors and target.unsynced and self._is_full():
                target.fail_sync()
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            target.sync()
        else:
            self._sync_folder(target)

    def _sync_folder(self, folder):
        still_unsynced = []
        for operation, path, target in self._unsynced_names:
            if path.parent != folder:
                still_unsynced.append((operation, path, target))
            elif operation == "mkdir":
                self._durable_folders.add(path)
            elif operation == "create":
                self._durable_names[path] = target
            else:
                self._durable_names.pop(path, None)
                self._durable_names[target[0]] = target[1]
        self._unsynced_names = still_unsynced

    def _replace(self, source, target):
        self._check_kill()
        self._check_full()
        self._real["replace"](source, target)
        file = self._names.pop(Path(source))
        self._names[Path(target)] = file
        self._unsynced_names.append(("rename", Path(source), (Path(target), file)))

    def _ftruncate(self, descriptor, length):
        self._check_kill()
        self._real["ftruncate"](descriptor, length)
        self._open_files[descriptor].change("truncate", length)

    def _mkdir(self, path, *args, **options):
        if not self._is_outside(path) and not Path(path).exists():
            self._check_kill()
            self._check_full()
            self._unsynced_names.append(("mkdir", Path(path), None))
        return self._real["mkdir"](path, *args, **options)


@pytest.fixture
def file_system(tmp_path, monkeypatch):
    return SimulatedFileSystem(tmp_path, monkeypatch)


def make_operations(rng, state):
    """Return operations that a replica with this state may persist in one call."""
    operations = []
    for _ in range(rng.randint(1, 3)):
        last_index = state.base_index + len(state.entries)
        kind = rng.choice(["vote", "entries", "entries", "truncate", "snapshot"])
        if kind == "vote":
            operation = SaveVote(state.term + 1, rng.choice([None, A]))
        elif kind == "truncate" and state.entries:
            operation = TruncateFrom(rng.randint(state.base_index + 1, last_index))
        elif kind == "snapshot" and state.entries:
            entry = rng.choice(state.entries)
            operation = SaveSnapshot(
                Snapshot(entry.index, entry.term, (A,), b"state of %d" % entry.index)
            )
        else:
            operation = SaveEntries(
                tuple(
                    Entry(state.term, index, "command", rng.randbytes(40))
                    for index in range(last_index + 1, last_index + rng.randint(2, 4))
                )
            )
        state.apply(operation)
        operations.append(operation)
    return operations


def copy_state(state):
    return StoredState(
        state.disk, state.term, state.voted_for, state.snapshot, list(state.entries)
    )


def states_between(state, operations):
    """Return the states before, between and after the operations."""
    state = copy_state(state)
    states = [copy_state(state)]
    for operation in operations:
        state.apply(operation)
        states.append(copy_state(state))
    return states


def run_with_kill(file_system, rng, action, max_operations):
    """Run an action that is killed at a random file operation; return its result."""
    file_system.operations_until_kill = rng.randint(0, max_operations)
    try:
        return action()
    except ProcessKilledError:
        return None
    finally:
        file_system.operations_until_kill = None


@pytest.mark.parametrize("seed", range(60))
def test_loaded_state_survives_kills_and_losses_of_power(seed, tmp_path, file_system):
    """Guards against a restarted replica that vouches for writes not yet synced."""
    rng = random.Random(seed)
    folder = tmp_path / "replica"
    possible = None
    for _ in range(12):
        disk = DiskStorage(folder)
        loaded = run_with_kill(file_system, rng, disk.load, rng.choice([3, 12, 1000]))
        if loaded is not None:
            assert possible is None or loaded in possible
            possible = [copy_state(loaded)]
            for _ in range(rng.randint(0, 4)):
                before = possible[-1]
                operations = make_operations(rng, copy_state(before))
                possible = states_between(before, operations)
                run_with_kill(
                    file_system,
                    rng,
                    lambda disk=disk, operations=operations: disk.persist(operations),
                    rng.choice([2, 8, 1000]),
                )
                if disk._failed:
                    break
                possible = possible[-1:]
        disk.close()
        if rng.random() < 0.6:
            file_system.lose_power(rng)


class LoseEverything(random.Random):
    """Drops every name and every write that was not synced."""

    def random(self):
        """Return the draw that keeps nothing."""
        return 0.0


def make_entries(first, last):
    return tuple(
        Entry(1, index, "command", b"%d" % index) for index in range(first, last + 1)
    )


def test_write_that_a_killed_process_left_unsynced_is_durable_once_loaded(
    tmp_path, file_system
):
    """Guards against an entry that is acknowledged after a kill and then lost."""
    folder = tmp_path / "replica"
    disk = DiskStorage(folder)
    disk.load()
    file_system.operations_until_kill = 1
    with pytest.raises(ProcessKilledError):
        disk.persist([SaveEntries(make_entries(1, 1))])
    file_system.operations_until_kill = None
    disk.close()
    loaded = load_and_close(folder)
    assert loaded.entries == list(make_entries(1, 1))
    file_system.lose_power(LoseEverything())
    assert load_and_close(folder) == loaded


def load_and_close(folder):
    disk = DiskStorage(folder)
    state = disk.load()
    disk.close()
    return state


@pytest.mark.parametrize("first_kill", range(12))
def test_snapshot_is_loaded_after_two_kills_and_a_loss_of_power(
    first_kill, tmp_path, file_system
):
    """Guards against a log that is kept while the snapshot before it is lost."""
    snapshot = Snapshot(2, 1, (A,), b"state")
    for second_kill in range(12):
        for seed in range(8):
            file_system.clear()
            folder = tmp_path / "replica"
            disk = DiskStorage(folder)
            disk.load()
            disk.persist([SaveEntries(make_entries(1, 3))])
            file_system.operations_until_kill = first_kill
            with contextlib.suppress(ProcessKilledError):
                disk.persist([SaveSnapshot(snapshot)])
            file_system.operations_until_kill = None
            disk.close()
            disk = DiskStorage(folder)
            file_system.operations_until_kill = second_kill
            with contextlib.suppress(ProcessKilledError):
                disk.load()
            file_system.operations_until_kill = None
            disk.close()
            file_system.lose_power(random.Random(seed))
            state = load_and_close(folder)
            assert state.base_index + len(state.entries) == 3
            assert state.snapshot in (None, snapshot)


def fail_on_full_disk(file_system, action, room_operations, has_late_errors):
    """Run an action on a disk with room for some operations; return its result."""
    file_system.operations_until_full = room_operations
    file_system.has_late_errors = has_late_errors
    try:
        return action()
    except OSError as error:
        assert error.errno == errno.ENOSPC
        return None
    finally:
        file_system.operations_until_full = None


@pytest.mark.parametrize("has_late_errors", [False, True])
@pytest.mark.parametrize("operation_kind", ["vote", "entries", "snapshot"])
def test_write_refused_by_a_full_disk_is_not_vouched_for_after_a_restart(
    operation_kind, has_late_errors, tmp_path, file_system
):
    """Guards against an entry that a restarted replica acknowledges and then loses."""
    folder = tmp_path / "replica"
    disk = DiskStorage(folder)
    disk.load()
    disk.persist([SaveEntries(make_entries(1, 2))])
    refused = {
        "vote": SaveVote(1, A),
        "entries": SaveEntries(make_entries(3, 3)),
        "snapshot": SaveSnapshot(Snapshot(2, 1, (A,), b"state")),
    }[operation_kind]
    fail_on_full_disk(file_system, lambda: disk.persist([refused]), 0, has_late_errors)
    assert disk._failed
    disk.close()
    loaded = load_and_close(folder)
    file_system.lose_power(LoseEverything())
    assert load_and_close(folder) == loaded


@pytest.mark.parametrize("has_late_errors", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_replica_that_restarts_with_room_stores_what_it_acknowledges(
    seed, has_late_errors, tmp_path, file_system
):
    """Guards against a storage that stays failed, or is lost, after a full disk."""
    rng = random.Random(seed)
    folder = tmp_path / "replica"
    possible = None
    for _ in range(12):
        disk = DiskStorage(folder)
        room_operations = rng.choice([0, 2, 6, 1000])
        loaded = fail_on_full_disk(
            file_system, disk.load, room_operations, has_late_errors
        )
        if loaded is None:
            disk.close()
            disk = DiskStorage(folder)
            loaded = disk.load()
        assert possible is None or loaded in possible
        possible = [copy_state(loaded)]
        for room_operations in (1000, rng.choice([0, 1, 2, 3, 5, 8])):
            before = possible[-1]
            operations = make_operations(rng, copy_state(before))
            possible = states_between(before, operations)
            fail_on_full_disk(
                file_system,
                lambda disk=disk, operations=operations: disk.persist(operations),
                room_operations,
                has_late_errors,
            )
            if disk._failed:
                assert room_operations < 1000
                break
            possible = possible[-1:]
        disk.close()
        if rng.random() < 0.6:
            file_system.lose_power(rng)
