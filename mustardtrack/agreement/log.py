"""In-memory log and the voter sets in it."""

from collections.abc import Iterable

from mustardtrack.agreement.entries import (
    Entry,
    ReplicaId,
    Snapshot,
    StoredState,
    decode_voters,
)
from mustardtrack.agreement.events import LOG_GAP
from mustardtrack.logs import require_invariant


class ReplicatedLog:
    """The latest snapshot, and the entries after ``base_index``.

    ``base_index`` can be below the snapshot's index: some compacted entries
    stay in memory so that a slow follower does not need a snapshot.
    """

    def __init__(self, stored: StoredState):
        self.snapshot = stored.snapshot
        self.base_index = stored.base_index
        self.base_term = stored.snapshot.term if stored.snapshot else 0
        self.entries: list[Entry] = []
        initial = stored.snapshot.voters if stored.snapshot else ()
        self._voter_sets: list[tuple[int, tuple[ReplicaId, ...]]] = []
        self._voter_sets.append((self.base_index, initial))
        self.append(stored.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 in an empty log."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 in an empty log."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Current voter set: that of the last ``voters`` entry, committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voters_index(self) -> int:
        """Index of the entry that set the current voters."""
        return self._voter_sets[-1][0]

    def voters_at(self, index: int) -> tuple[ReplicaId, ...]:
        """Return the voter set after the entry at ``index``."""
        matching = [voters for since, voters in self._voter_sets if since <= index]
        return matching[-1] if matching else ()

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_with_term_of(self, index: int) -> int:
        """Return the first index of the run of entries with the term at ``index``.

        Only entries in memory are considered.
        """
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Return the entries with ``first <= index <= last``."""
        offset = self.base_index + 1
        return self.entries[first - offset : last - offset + 1]

    def batch_from(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` up to ``max_bytes`` of payload.

        At least one entry is returned if there is any.
        """
        batch: list[Entry] = []
        size = 0
        position = first - self.base_index - 1
        while position < len(self.entries):
            entry = self.entries[position]
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
            position += 1
        return tuple(batch)

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries that continue the log."""
        for entry in entries:
            expected = self.last_index + 1
            require_invariant(
                entry.index == expected, LOG_GAP, index=entry.index, expected=expected
            )
            self.entries.append(entry)
            if entry.kind == "voters":
                self._voter_sets.append((entry.index, decode_voters(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self.entries[index - self.base_index - 1 :]
        while len(self._voter_sets) > 1 and self.voters_index >= index:
            self._voter_sets.pop()

    def compact(self, snapshot: Snapshot, retained_entries: int) -> None:
        """Set the latest snapshot and drop the entries that it includes.

        The last ``retained_entries`` of them stay in memory.
        """
        self.snapshot = snapshot
        base = snapshot.index - retained_entries
        if base > self.base_index:
            base_term = self.term_at(base) or 0
            del self.entries[: base - self.base_index]
            self.base_index, self.base_term = base, base_term
        self._discard_voter_sets(snapshot.index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot, but keep later entries that match it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, retained_entries=0)
            return
        self.snapshot = snapshot
        self.entries = []
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._voter_sets = [(snapshot.index, snapshot.voters)]

    def _discard_voter_sets(self, index: int) -> None:
        while len(self._voter_sets) > 1 and self._voter_sets[1][0] <= index:
            self._voter_sets.pop(0)
