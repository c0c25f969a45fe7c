"""Interface of the durable storage of a control replica."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any


class StorageDamagedError(Exception):
    """Stored data cannot be repaired locally or is in use by another process.

    The message names the file or folder and the remedy.
    """


class ReplicaStorage(ABC):
    """Durable storage for the vote, the log and the snapshot of one replica."""

    @abstractmethod
    def load(self) -> Any:
        """Return the stored state, an ``agreement.StoredState``.

        Raises:
            StorageDamagedError: If a file is missing or a record before the last one is
                corrupt.
        """

    @abstractmethod
    def persist(self, operations: Sequence[Any], sync: bool = True) -> None:
        """Apply ``agreement.PersistOp`` values in order.

        With ``sync`` the data is durable when the call returns.

        Raises:
            OSError: If a write or sync fails; the replica must stop.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the files."""
