"""Copy of the configuration that a router follows."""

from collections.abc import Sequence

from mustardtrack.configuration.changes import ChangeLog, ObjectChange
from mustardtrack.configuration.objects import ConfigObject
from mustardtrack.configuration.store import ObjectStore, decode_objects
from mustardtrack.logs import define_event, log_event, require_invariant

REVISION_BACKWARDS = define_event(2010, "ERROR", "copy would move to an older revision")
OBJECT_BACKWARDS = define_event(2011, "ERROR", "object in copy would get older")
REPLY_HAS_GAP = define_event(2012, "WARNING", "follow reply lacks changes, ignored")


class ConfigurationCopy(ObjectStore):
    """Objects as of the newest revision received.

    A copy serves other routers with :meth:`changes_since` and :meth:`snapshot`. It
    holds no claims, command results or crash counts.
    """

    def snapshot(self) -> bytes:
        """Return all objects; :meth:`apply` of another copy accepts them."""
        return self.copy_snapshot()

    def apply(
        self,
        reply_revision: int,
        changes: Sequence[ObjectChange],
        snapshot: bytes = b"",
    ) -> bool:
        """Take over a follow reply.

        Args:
            reply_revision: Revision of the sender.
            changes: Changes in order, ignored if there is a snapshot.
            snapshot: Result of ``copy_snapshot`` of the sender, if it has no
                changes old enough.

        Returns:
            False, with the copy unchanged, if the reply is older than this copy or
            does not connect to its revision; ask again with ``revision``.

        Raises:
            InvariantViolationError: If an object would get older.
            msgspec.DecodeError: If the snapshot is damaged.
        """
        if reply_revision < self.revision:
            return False
        if snapshot:
            return self._take_snapshot(snapshot)
        new = [change for change in changes if change.revision > self.revision]
        if not self._connects(new, reply_revision):
            log_event(REPLY_HAS_GAP, have=self.revision, reply=reply_revision)
            return False
        for change in new:
            self._check_version(change.kind, change.name, change.value)
        for change in new:
            self._put(change)
        self._log.extend(new)
        self._advance(reply_revision)
        return True

    def _take_snapshot(self, snapshot: bytes) -> bool:
        revision, objects = decode_objects(snapshot)
        if revision < self.revision:
            return False
        if revision == self.revision:
            return True
        for kind, items in objects.items():
            for name, value in items.items():
                self._check_version(kind, name, value)
        self._advance(revision)
        self._objects = objects
        self._log = ChangeLog(base=revision)
        return True

    def _connects(self, changes: Sequence[ObjectChange], reply_revision: int) -> bool:
        """Return whether the changes lead from this revision to the reply's."""
        revision = self.revision
        for change in changes:
            if change.revision != revision:
                if change.previous != revision:
                    return False
                revision = change.revision
        return revision == reply_revision

    def _check_version(self, kind: str, name: str, value: ConfigObject | None) -> None:
        current = self._objects[kind].get(name)
        require_invariant(
            value is None or current is None or value.version >= current.version,
            OBJECT_BACKWARDS,
            kind=kind,
            name=name,
        )

    def _advance(self, revision: int) -> None:
        require_invariant(
            revision >= self.revision,
            REVISION_BACKWARDS,
            have=self.revision,
            received=revision,
        )
        self.revision = revision
