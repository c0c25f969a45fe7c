"""Durable storage port of one control replica."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any


class StorageDamagedError(Exception):
    """Stored data fails its checks and cannot be repaired locally.

    The message names the damaged file and the remedy.
    """


class ReplicaStorage(ABC):
    """Keeps the vote, the log and the snapshot of one replica."""

    @abstractmethod
    def load(self) -> Any:
        """Return the ``agreement.StoredState`` found in the data folder.

        Raises:
            StorageDamagedError: If a record before the last one fails its checksum.
        """

    @abstractmethod
    def persist(self, operations: Sequence[Any], sync: bool = True) -> None:
        """Carry out ``agreement.PersistOp`` values in order.

        With ``sync`` the data is durable when the call returns.

        Raises:
            OSError: If a write or sync fails; the replica must stop.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the files."""
