"""In-memory replica storage that simulates disk faults."""

import errno
import os
import random
from collections.abc import Sequence

from mustardtrack.agreement import PersistOp, StoredState
from mustardtrack.agreement.diskidentity import create_disk_identity
from mustardtrack.ports import ReplicaStorage


class DiskCrashError(OSError):
    """The simulated process crashed during a write, or the disk refused it."""


class MemoryDisk(ReplicaStorage):
    """Replica storage that can lose unsynced writes, tear a write and roll back.

    Args:
        disk: Prefix of the disk identities; a number that increases with each
            replacement of the disk follows it.
        created_ms: Time of day at which the disk was formatted; the identity states it
            if it is not 0.

    Attributes:
        tear_next_write: Whether the process crashes in the middle of the next write.
        is_full: Whether every write is refused, a part of it done.

    Examples:
        >>> from mustardtrack.agreement import SaveVote
        >>> disk = MemoryDisk("d1")
        >>> disk.persist([SaveVote(4, None)], sync=False)
        >>> disk.crash(random.Random(1), keep_unsynced=False)
        >>> disk.load().term
        0
    """

    def __init__(self, disk: str, created_ms: int = 0):
        self._name = disk
        self._created_ms = created_ms
        self._generation = 1
        self._synced: list[PersistOp] = []
        self._unsynced: list[PersistOp] = []
        self.tear_next_write = False
        self.is_full = False

    @property
    def identity(self) -> str:
        """Identity of the current disk."""
        identity = f"{self._name}.{self._generation}"
        if not self._created_ms:
            return identity
        return create_disk_identity(self._created_ms, random.Random(identity))

    @property
    def synced_operations(self) -> int:
        """Number of durable operations, to be passed to a later :meth:`roll_back`."""
        return len(self._synced)

    def load(self) -> StoredState:
        """Return the state after all operations, synced or not."""
        state = StoredState(disk=self.identity)
        for operation in (*self._synced, *self._unsynced):
            state.apply(operation)
        return state

    def persist(self, operations: Sequence[PersistOp], sync: bool = True) -> None:
        """Write operations in order.

        Raises:
            DiskCrashError: If ``tear_next_write`` or ``is_full`` is set; the caller
                must then call :meth:`crash`.
        """
        self._unsynced.extend(operations)
        if self.is_full:
            raise DiskCrashError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self.tear_next_write:
            self.tear_next_write = False
            raise DiskCrashError(f"simulated crash during a write to {self.identity}")
        if sync:
            self._synced.extend(self._unsynced)
            self._unsynced = []

    def close(self) -> None:
        """Keep all operations, since a normal exit does not lose writes."""

    def crash(self, rng: random.Random, keep_unsynced: bool = True) -> None:
        """Simulate a power loss; a random prefix of the unsynced operations is kept.

        Args:
            rng: Chooses the length of the prefix.
            keep_unsynced: Whether any unsynced operations may be kept.
        """
        kept = rng.randint(0, len(self._unsynced)) if keep_unsynced else 0
        self._synced.extend(self._unsynced[:kept])
        self._unsynced = []
        self.tear_next_write = False

    def replace_with_empty(self) -> None:
        """Replace the disk with an empty one that has a new identity."""
        self._generation += 1
        self._synced = []
        self._unsynced = []
        self.tear_next_write = False

    def roll_back(self, synced_operations: int) -> None:
        """Restore an earlier durable state without changing the identity."""
        del self._synced[synced_operations:]
        self._unsynced = []
