"""Store of objects, the common base of the state machine and its copies."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from mustardtrack.configuration.changes import ChangeLog, ObjectChange, convert_object
from mustardtrack.configuration.loads import select_loads
from mustardtrack.configuration.objects import (
    KINDS,
    ConfigObject,
    QuarantinedFingerprint,
    WeightLoad,
)


class ObjectStore:
    """Objects by kind and name at one revision."""

    def __init__(self, parallel_weight_loads: int = 2):
        self.revision = 0
        self._parallel_weight_loads = parallel_weight_loads
        self._objects: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS}
        self._log = ChangeLog(base=0)

    def objects(self, kind: str) -> Mapping[str, ConfigObject]:
        """Return a read-only view of the objects of a kind.

        Raises:
            KeyError: If the kind is unknown.
        """
        return MappingProxyType(self._objects[kind])

    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints that must not be run."""
        return frozenset(self._objects["quarantine"])

    def pending_loads(self, endpoint: str | None = None) -> list[WeightLoad]:
        """Return the unfinished weight loads of one endpoint, or of all endpoints.

        They are sorted by fencing token.
        """
        loads: Iterable[WeightLoad] = self._objects["load"].values()
        return sorted(
            (load for load in loads if endpoint in (None, load.endpoint)),
            key=lambda load: load.fence,
        )

    def deliverable_loads(self) -> list[WeightLoad]:
        """Return the weight loads that a router may send to endpoints now."""
        return select_loads(self._objects["load"].values(), self._parallel_weight_loads)

    def changes_since(self, revision: int) -> list[ObjectChange] | None:
        """Return the changes after a revision, None if some were dropped."""
        return self._log.since(revision)

    def copy_snapshot(self) -> bytes:
        """Return all objects as a snapshot for :class:`ConfigurationCopy`."""
        return encode_objects(self.revision, self._objects)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a fingerprint must not be run."""
        found = self._objects["quarantine"].get(fingerprint)
        return isinstance(found, QuarantinedFingerprint)

    def _put(self, change: ObjectChange) -> None:
        if change.value is None:
            self._objects[change.kind].pop(change.name, None)
        else:
            self._objects[change.kind][change.name] = change.value


def encode_objects(revision: int, objects: Mapping[str, Mapping[str, Any]]) -> bytes:
    """Encode all objects of one revision."""
    kinds = {kind: list(items.values()) for kind, items in objects.items()}
    return msgspec.msgpack.encode((revision, kinds))


def decode_objects(data: bytes) -> tuple[int, dict[str, dict[str, ConfigObject]]]:
    """Decode the result of :func:`encode_objects`.

    Raises:
        msgspec.DecodeError: If the bytes are not such a snapshot.
    """
    revision, kinds = msgspec.msgpack.decode(
        data, type=tuple[int, dict[str, list[dict[str, Any]]]]
    )
    objects: dict[str, dict[str, ConfigObject]] = {kind: {} for kind in KINDS}
    for kind, items in kinds.items():
        for item in items:
            value = convert_object(kind, item)
            assert value is not None
            objects[kind][value.name] = value
    return revision, objects
