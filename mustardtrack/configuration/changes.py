"""Changes of objects, their encoding and the log of recent changes."""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.configuration.objects import KINDS, ConfigObject

MAX_CHANGES = 22_000


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """Change that sets or removes one object.

    Attributes:
        revision: Log index of the change.
        previous: Revision before the change, the same for all changes of one
            revision. A copy uses it to detect missing changes.
        kind: Kind of the object.
        name: Name of the object.
        value: New object, None if it was removed.
    """

    revision: int
    previous: int
    kind: str
    name: str
    value: ConfigObject | None


def encode_changes(changes: Iterable[ObjectChange]) -> bytes:
    """Encode changes as MessagePack."""
    return msgspec.msgpack.encode(
        [(c.revision, c.previous, c.kind, c.name, c.value) for c in changes]
    )


def decode_changes(data: bytes) -> list[ObjectChange]:
    """Decode changes.

    Raises:
        msgspec.DecodeError: If the bytes are not encoded changes.

    Examples:
        >>> decode_changes(encode_changes([ObjectChange(7, 5, "model", "m", None)]))
        [ObjectChange(revision=7, previous=5, kind='model', name='m', value=None)]
    """
    rows = msgspec.msgpack.decode(
        data, type=list[tuple[int, int, str, str, dict[str, Any] | None]]
    )
    return [
        ObjectChange(revision, previous, kind, name, convert_object(kind, value))
        for revision, previous, kind, name, value in rows
    ]


def convert_object(kind: str, value: dict[str, Any] | None) -> ConfigObject | None:
    """Convert decoded field values to an object of a kind.

    Raises:
        msgspec.ValidationError: If the kind is unknown or a field is not valid.
    """
    if value is None:
        return None
    if kind not in KINDS:
        raise msgspec.ValidationError(f"unknown object kind {kind!r}")
    return msgspec.convert(value, KINDS[kind])


class ChangeLog:
    """The most recent changes, in order of their revisions.

    Changes up to the revision ``base`` are not in the log.
    """

    def __init__(self, base: int, limit: int = MAX_CHANGES):
        self._base_revision = base
        self._limit = limit
        self._changes: deque[ObjectChange] = deque()

    def extend(self, changes: Sequence[ObjectChange]) -> None:
        """Append changes and drop the oldest ones beyond the limit."""
        self._changes.extend(changes)
        while len(self._changes) > self._limit:
            self._base_revision = self._changes.popleft().revision

    def since(self, revision: int) -> list[ObjectChange] | None:
        """Return the changes after a revision, None if some of them were dropped."""
        if revision < self._base_revision:
            return None
        found: list[ObjectChange] = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            found.append(change)
        found.reverse()
        return found
