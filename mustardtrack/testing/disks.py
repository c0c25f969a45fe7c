"""In-memory replica storage with the faults of real disks."""

import random
from collections.abc import Sequence

from mustardtrack.agreement import PersistOp, StoredState
from mustardtrack.ports import ReplicaStorage


class DiskCrashError(OSError):
    """The simulated process died inside a write."""


class MemoryDisk(ReplicaStorage):
    """Replica storage that can lose unsynced writes, tear a write and roll back.

    Args:
        disk: Prefix of the identities; a lost disk is replaced by the next one.

    Attributes:
        tear_next_write: Whether the process dies in the middle of the next write.

    Examples:
        >>> from mustardtrack.agreement import SaveVote
        >>> disk = MemoryDisk("d1")
        >>> disk.persist([SaveVote(4, None)], sync=False)
        >>> disk.crash(random.Random(1), keep_unsynced=False)
        >>> disk.load().term
        0
    """

    def __init__(self, disk: str):
        self._name = disk
        self._generation = 1
        self._synced: list[PersistOp] = []
        self._unsynced: list[PersistOp] = []
        self.tear_next_write = False

    @property
    def identity(self) -> str:
        """Identity of the current disk."""
        return f"{self._name}.{self._generation}"

    @property
    def synced_operations(self) -> int:
        """Number of durable operations, usable as a point to roll back to."""
        return len(self._synced)

    def load(self) -> StoredState:
        """Return the state after all operations."""
        state = StoredState(disk=self.identity)
        for operation in (*self._synced, *self._unsynced):
            state.apply(operation)
        return state

    def persist(self, operations: Sequence[PersistOp], sync: bool = True) -> None:
        """Carry out operations in order.

        Raises:
            DiskCrashError: If ``tear_next_write`` is set; call :meth:`crash` then.
        """
        self._unsynced.extend(operations)
        if self.tear_next_write:
            self.tear_next_write = False
            raise DiskCrashError("the process died during a write")
        if sync:
            self._synced.extend(self._unsynced)
            self._unsynced = []

    def close(self) -> None:
        """Keep everything, as a stop of the process does not lose writes."""

    def crash(self, rng: random.Random, keep_unsynced: bool = True) -> None:
        """Lose power: a random part of the unsynced operations remains."""
        kept = rng.randint(0, len(self._unsynced)) if keep_unsynced else 0
        self._synced.extend(self._unsynced[:kept])
        self._unsynced = []
        self.tear_next_write = False

    def lose(self) -> None:
        """Replace the disk by an empty one with a new identity."""
        self._generation += 1
        self._synced = []
        self._unsynced = []
        self.tear_next_write = False

    def roll_back(self, synced_operations: int) -> None:
        """Restore an earlier durable state under the same identity."""
        del self._synced[synced_operations:]
        self._unsynced = []
