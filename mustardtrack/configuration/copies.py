"""Copy of the configuration in a router.

The router requests the changes after the revision of its copy from the state machine
or from another copy. The answer, a follow reply, holds these changes or a snapshot.
"""

from collections.abc import Sequence

from mustardtrack.configuration.changes import ChangeLog, ObjectChange
from mustardtrack.configuration.objects import ConfigObject
from mustardtrack.configuration.store import ObjectStore, decode_objects
from mustardtrack.logs import define_event, log_event, require_invariant

REVISION_REGRESSED = define_event(
    2010, "ERROR", "configuration copy would revert to an older revision"
)
OBJECT_REGRESSED = define_event(
    2011, "ERROR", "object in a copy would revert to an older version"
)
REPLY_HAS_GAP = define_event(
    2012, "WARNING", "ignored a follow reply with missing changes"
)


class ConfigurationCopy(ObjectStore):
    """Objects at the newest revision received.

    A copy provides other routers with updates through :meth:`changes_since` and
    :meth:`snapshot`. It holds no claims, command outcomes or crash counts.
    """

    def snapshot(self) -> bytes:
        """Return all objects encoded for :meth:`apply` of another copy."""
        return self.copy_snapshot()

    def apply(
        self,
        reply_revision: int,
        changes: Sequence[ObjectChange],
        snapshot: bytes = b"",
    ) -> bool:
        """Apply a follow reply.

        Args:
            reply_revision: Revision of the sender.
            changes: Changes in order, ignored if there is a snapshot.
            snapshot: Result of the sender's ``copy_snapshot``, if its change log
                no longer reaches back to the revision of this copy.

        Returns:
            False, with the copy unchanged, if the reply is older than this copy or
            does not continue its revision; request again from ``revision``.

        Raises:
            InvariantViolationError: If an object would revert to an older version.
            msgspec.DecodeError: If the snapshot is damaged.
        """
        if reply_revision < self.revision:
            return False
        if snapshot:
            return self._install_snapshot(snapshot)
        new = [change for change in changes if change.revision > self.revision]
        if not self._is_contiguous(new, reply_revision):
            log_event(REPLY_HAS_GAP, have=self.revision, reply=reply_revision)
            return False
        for change in new:
            self._check_version(change.kind, change.name, change.value)
        for change in new:
            self._put(change)
        self._log.extend(new)
        self._advance_revision(reply_revision)
        return True

    def _install_snapshot(self, snapshot: bytes) -> bool:
        revision, objects = decode_objects(snapshot)
        if revision < self.revision:
            return False
        if revision == self.revision:
            return True
        for kind, items in objects.items():
            for name, value in items.items():
                self._check_version(kind, name, value)
        self._advance_revision(revision)
        self._objects = objects
        self._log = ChangeLog(base=revision)
        return True

    def _is_contiguous(
        self, changes: Sequence[ObjectChange], reply_revision: int
    ) -> bool:
        """Return whether the changes lead without gaps to the reply's revision."""
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
            OBJECT_REGRESSED,
            kind=kind,
            name=name,
        )

    def _advance_revision(self, revision: int) -> None:
        require_invariant(
            revision >= self.revision,
            REVISION_REGRESSED,
            have=self.revision,
            received=revision,
        )
        self.revision = revision
