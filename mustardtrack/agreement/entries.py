"""Data types of the replicated log and of its storage operations."""

from dataclasses import dataclass, field

import msgspec


@dataclass(frozen=True, order=True)
class ReplicaId:
    """Identity of one replica.

    Attributes:
        name: Name from the settings.
        disk: Identifier generated when the data folder was initialized. An empty
            string addresses the replica of that name with any disk.
    """

    name: str
    disk: str


@dataclass(frozen=True)
class Entry:
    """One entry of the replicated log.

    ``kind`` is ``command``, ``voters`` or ``noop``.
    """

    term: int
    index: int
    kind: str
    payload: bytes


@dataclass(frozen=True)
class Snapshot:
    """State machine and voter set after the entry at ``index``."""

    index: int
    term: int
    voters: tuple[ReplicaId, ...]
    state: bytes


class SaveVote(msgspec.Struct, frozen=True, tag="vote"):
    """Replaces the stored term and vote."""

    term: int
    voted_for: ReplicaId | None


class SaveEntries(msgspec.Struct, frozen=True, tag="append"):
    """Appends entries after the last stored one."""

    entries: tuple[Entry, ...]


class TruncateFrom(msgspec.Struct, frozen=True, tag="truncate"):
    """Removes the entry at ``index`` and all later ones."""

    index: int


class SaveSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Replaces the stored snapshot and removes the entries that it includes."""

    snapshot: Snapshot


PersistOp = SaveVote | SaveEntries | TruncateFrom | SaveSnapshot


@dataclass
class StoredState:
    """Durable state of one replica.

    ``entries`` starts after ``snapshot``, or at index 1 if there is no snapshot.
    """

    disk: str
    term: int = 0
    voted_for: ReplicaId | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    @property
    def base_index(self) -> int:
        """Index of the last entry in the snapshot, 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    def apply(self, operation: PersistOp) -> None:
        """Apply a storage operation, as every implementation of storage must.

        Raises:
            ValueError: If the entries do not continue the log.
        """
        match operation:
            case SaveVote(term, voted_for):
                self.term = term
                self.voted_for = voted_for
            case SaveEntries(entries):
                self._append(entries)
            case TruncateFrom(index):
                del self.entries[max(0, index - self.base_index - 1) :]
            case SaveSnapshot(snapshot):
                self.entries = entries_after(snapshot, self.entries)
                self.snapshot = snapshot

    def _append(self, entries: tuple[Entry, ...]) -> None:
        expected = self.base_index + len(self.entries) + 1
        for entry in entries:
            if entry.index != expected:
                raise ValueError(
                    f"log entry {entry.index} out of order, expected index {expected}"
                )
            expected += 1
        self.entries.extend(entries)


def entries_after(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """Return the entries that remain valid after a snapshot.

    Later entries remain valid only if the log's entry at the snapshot's index has
    the snapshot's term.
    """
    for position, entry in enumerate(entries):
        if entry.index == snapshot.index:
            agrees = entry.term == snapshot.term
            return entries[position + 1 :] if agrees else []
    first = entries[0].index if entries else 0
    return list(entries) if first == snapshot.index + 1 else []


def encode_voters(voters: tuple[ReplicaId, ...]) -> bytes:
    """Encode a voter set as the payload of a ``voters`` entry."""
    return msgspec.msgpack.encode([(voter.name, voter.disk) for voter in voters])


def decode_voters(payload: bytes) -> tuple[ReplicaId, ...]:
    """Decode the payload of a ``voters`` entry.

    Raises:
        msgspec.DecodeError: If the payload is not a voter set.

    Examples:
        >>> decode_voters(encode_voters((ReplicaId("a", "1"),)))
        (ReplicaId(name='a', disk='1'),)
    """
    pairs = msgspec.msgpack.decode(payload, type=list[tuple[str, str]])
    return tuple(ReplicaId(name, disk) for name, disk in pairs)
