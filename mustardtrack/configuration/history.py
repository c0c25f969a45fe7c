"""Operators of the latest changes, and records of removed objects."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

from mustardtrack.configuration.changes import ObjectChange
from mustardtrack.configuration.objects import (
    OPERATOR_KINDS,
    Account,
    ConfigObject,
    FieldError,
)
from mustardtrack.configuration.outcomes import Conflict

MAX_REMOVALS = 10_000


class ObjectHistory:
    """Last operator of each object, removed versions and owners of keys."""

    def __init__(self) -> None:
        self._set_by: dict[tuple[str, str], str] = {}
        self._removed_by: OrderedDict[tuple[str, str], str] = OrderedDict()
        # Highest version of the removed objects of a kind. New objects start above
        # it, so that a condition on the version of a removed object cannot match.
        self._version_floors: dict[str, int] = {}
        self._key_owners: dict[str, str] = {}

    def version_floor(self, kind: str) -> int:
        """Return the version that a new object of a kind must exceed."""
        return self._version_floors.get(kind, 0)

    def find_conflict(
        self, kind: str, name: str, current: ConfigObject | None, if_version: int | None
    ) -> Conflict | None:
        """Return a conflict if the object's version differs from ``if_version``.

        The condition is not checked if the object does not exist and its removal
        is not recorded.
        """
        object_key = (kind, name)
        version = current.version if current else 0
        if if_version is None or if_version == version:
            return None
        if current is None and object_key not in self._removed_by:
            return None
        names = self._set_by if current else self._removed_by
        return Conflict(version, names.get(object_key, ""))

    def check_key_ownership(self, account: Account) -> None:
        """Check that no other account owns a key of the account.

        Raises:
            FieldError: If one does, as the key would identify two accounts.
        """
        for key_hash in account.key_hashes:
            if self._key_owners.get(key_hash, account.name) != account.name:
                raise FieldError(
                    "key_hashes", "used by another account", "create a new key"
                )

    def record(
        self, change: ObjectChange, current: ConfigObject | None, operator: str
    ) -> None:
        """Record the operator of a change, before the change is applied."""
        if change.kind not in OPERATOR_KINDS:
            return
        object_key = (change.kind, change.name)
        for key_hash in getattr(current, "key_hashes", ()):
            self._key_owners.pop(key_hash, None)
        self._record_key_owners([change.value])
        if change.value is not None:
            self._set_by[object_key] = operator
            self._removed_by.pop(object_key, None)
            return
        removed_version = current.version if current else 0
        floor = max(self.version_floor(change.kind), removed_version)
        self._version_floors[change.kind] = floor
        self._set_by.pop(object_key, None)
        self._removed_by[object_key] = operator
        if len(self._removed_by) > MAX_REMOVALS:
            self._removed_by.popitem(last=False)

    def _record_key_owners(self, values: Iterable[ConfigObject | None]) -> None:
        for value in values:
            for key_hash in getattr(value, "key_hashes", ()):
                self._key_owners[key_hash] = value.name if value else ""

    def dump(self) -> list[Any]:
        """Return the history as values that msgspec can encode."""
        return [
            [(*object_key, operator) for object_key, operator in self._set_by.items()],
            [
                (*object_key, operator)
                for object_key, operator in self._removed_by.items()
            ],
            self._version_floors,
        ]

    @classmethod
    def load(cls, data: list[Any], accounts: Iterable[ConfigObject]) -> "ObjectHistory":
        """Rebuild the history from decoded values of :meth:`dump`."""
        history = cls()
        set_by, removed_by, history._version_floors = data
        history._set_by = {(kind, name): operator for kind, name, operator in set_by}
        for kind, name, operator in removed_by:
            history._removed_by[kind, name] = operator
        history._record_key_owners(accounts)
        return history
