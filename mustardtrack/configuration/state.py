"""Replicated state machine of configuration objects that change individually."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.configuration.changes import ChangeLog, ObjectChange
from mustardtrack.configuration.commands import (
    ChangeObject,
    ClearCrashes,
    Command,
    Drain,
    FinishLoad,
    LoadModel,
    OperatorCommand,
    ReleaseFingerprint,
    ReportCrash,
)
from mustardtrack.configuration.crashes import CRASHES_TO_QUARANTINE, CrashCounts
from mustardtrack.configuration.history import ObjectHistory
from mustardtrack.configuration.loads import weight_load_name
from mustardtrack.configuration.objects import (
    NAME_PATTERN,
    OPERATOR_KINDS,
    Account,
    ConfigObject,
    Endpoint,
    FieldError,
    Host,
    QuarantinedFingerprint,
    WeightLoad,
    WorkClass,
    build_object,
    is_valid_name,
    update_object,
    with_draining,
)
from mustardtrack.configuration.outcome_store import CommandIdReusedError, OutcomeStore
from mustardtrack.configuration.outcomes import (
    Accepted,
    Conflict,
    CrashCounted,
    Exists,
    Invalid,
    Outcome,
    UnknownObject,
)
from mustardtrack.configuration.snapshots import (
    SNAPSHOT_FORMAT,
    SnapshotData,
    decode_snapshot,
)
from mustardtrack.configuration.statemachine import StateMachine
from mustardtrack.configuration.store import ObjectStore, encode_objects
from mustardtrack.idempotency import (
    Claim,
    ClaimTable,
    CompleteClaim,
    ExpireClaims,
    ReleaseClaim,
)
from mustardtrack.logs import (
    InvariantViolationError,
    define_event,
    log_event,
    require_invariant,
)

INDEX_REGRESSED = define_event(2001, "ERROR", "log index applied twice or out of order")
VERSION_REGRESSED = define_event(2002, "ERROR", "object version would not increase")
FENCE_REGRESSED = define_event(2003, "ERROR", "fencing token would not increase")
FINGERPRINT_QUARANTINED = define_event(2004, "WARNING", "fingerprint quarantined")
LOAD_FAILED = define_event(2005, "WARNING", "weight load failed")
COMMAND_ABORTED = define_event(2006, "ERROR", "command aborted, state unchanged")


@dataclass(frozen=True)
class Edit:
    """Change of one object before it has a revision; removal if ``value`` is None."""

    kind: str
    name: str
    value: ConfigObject | None


class Configuration(ObjectStore, StateMachine):
    """Objects, command outcomes, idempotency claims and crash counts.

    Every method is deterministic: replicas that apply the same commands with the
    same indexes and wall times hold the same state. ``parallel_weight_loads`` only
    affects :meth:`deliverable_loads`, not the state.

    Examples:
        >>> state = Configuration()
        >>> command = ChangeObject(
        ...     "c1", "ana", "create", "model", "base", {"weights_version": "v1"}
        ... )
        >>> state.apply(5, command, wall_ms=0)
        Accepted(revision=5, version=1, fence=0)
    """

    def __init__(self, parallel_weight_loads: int = 2):
        super().__init__(parallel_weight_loads)
        self.applied_index = 0
        self.claims = ClaimTable()
        self._last_fence = 0
        self._outcomes = OutcomeStore()
        self._crashes = CrashCounts()
        self._history = ObjectHistory()
        self._handlers: dict[type, Callable[[int, Any], Outcome]] = {
            ChangeObject: self._change_object,
            Drain: self._set_draining,
            LoadModel: self._order_weight_load,
            ReleaseFingerprint: self._release_fingerprint,
            ReportCrash: self._report_crash,
            ClearCrashes: self._clear_crashes,
            FinishLoad: self._finish_load,
        }

    def apply(self, index: int, command: Command, wall_ms: int) -> Outcome:
        """Apply the command of one committed log entry.

        Args:
            index: Log index, higher than that of every command already applied.
            command: The command.
            wall_ms: Unix time of the proposer, as stored in the log entry.

        Raises:
            InvariantViolationError: If the index is not higher; the state is unchanged.
        """
        require_invariant(
            index > self.applied_index,
            INDEX_REGRESSED,
            index=index,
            applied=self.applied_index,
        )
        self.applied_index = index
        try:
            if isinstance(command, OperatorCommand):
                return self._apply_operator_command(index, command)
            return self._apply_internal_command(index, command, wall_ms)
        except InvariantViolationError as error:
            # Raising would stop every replica at this entry, even after a restart.
            log_event(COMMAND_ABORTED, index=index, invariant=error.event.number)
            reason = f"invariant {error.event.number} would not hold"
            return Invalid("command", reason, "report this log event as a fault")

    def _apply_operator_command(self, index: int, command: OperatorCommand) -> Outcome:
        if not command.command_id:
            return Invalid("command_id", "empty", "send a unique command id")
        try:
            stored = self._outcomes.find(command)
        except CommandIdReusedError as error:
            return Invalid("command_id", str(error), "send a new command id")
        if stored is not None:
            return stored
        outcome = self._handlers[type(command)](index, command)
        self._outcomes.store(command, outcome)
        return outcome

    def _apply_internal_command(
        self, index: int, command: Command, wall_ms: int
    ) -> Outcome:
        match command:
            case Claim():
                return self.claims.claim(
                    command.account,
                    command.key,
                    command.body_digest,
                    command.attempt,
                    command.router,
                    wall_ms,
                    index,
                    command.endpoint,
                    command.unknown_after_ms,
                )
            case CompleteClaim(account, key, attempt, answer):
                return self.claims.complete(account, key, attempt, answer)
            case ReleaseClaim(account, key, attempt):
                return self.claims.release(account, key, attempt)
            case ExpireClaims():
                return self.claims.expire(wall_ms)
        return self._handlers[type(command)](index, command)

    def _change_object(self, index: int, command: ChangeObject) -> Outcome:
        kind, name = command.kind, command.name
        if kind not in OPERATOR_KINDS:
            remedy = f"use {', '.join(OPERATOR_KINDS)}"
            return Invalid("kind", "unknown kind", remedy)
        if not is_valid_name(name):
            return Invalid("name", "not a name", f"use {NAME_PATTERN}")
        current = self._objects[kind].get(name)
        conflict = self._find_conflict(kind, name, command.if_version)
        if conflict is not None:
            return conflict
        if command.action == "create" and current is not None:
            return Exists(kind, name, current.version)
        if command.action != "create":
            if current is None:
                return UnknownObject(kind, name)
            if command.action == "remove":
                return self._remove(index, command, current)
        try:
            value = self._build_object(command, current)
            self._check_against_others(value)
        except FieldError as error:
            return Invalid(error.path, error.reason, error.remedy)
        self._apply_edits(index, [Edit(kind, name, value)], command.operator)
        return Accepted(index, value.version)

    def _build_object(
        self, command: ChangeObject, current: ConfigObject | None
    ) -> ConfigObject:
        if current is not None:
            return update_object(command.kind, current, command.fields)
        version = self._history.version_floor(command.kind) + 1
        return build_object(command.kind, command.name, version, command.fields)

    def _remove(
        self, index: int, command: ChangeObject, current: ConfigObject
    ) -> Outcome:
        if command.fields:
            return Invalid("fields", "remove takes no fields", "omit the fields")
        edits = [Edit(command.kind, command.name, None)]
        if command.kind == "endpoint":
            loads = self.pending_loads(command.name)
            edits += [Edit("load", load.name, None) for load in loads]
        self._apply_edits(index, edits, command.operator)
        return Accepted(index, current.version)

    def _find_conflict(
        self, kind: str, name: str, if_version: int | None
    ) -> Conflict | None:
        current = self._objects[kind].get(name)
        return self._history.find_conflict(kind, name, current, if_version)

    def _check_against_others(self, value: ConfigObject) -> None:
        if isinstance(value, Account):
            self._history.check_key_ownership(value)
        if isinstance(value, WorkClass):
            others = self._objects["class"].values()
            shares = [c.floor_share for c in others if c.name != value.name]
            if sum(shares) + value.floor_share > 1:
                raise FieldError(
                    "floor_share", "the shares of all classes exceed 1", "lower it"
                )

    def _set_draining(self, index: int, command: Drain) -> Outcome:
        kind, name = command.kind, command.name
        conflict = self._find_conflict(kind, name, command.if_version)
        if conflict is not None:
            return conflict
        current = self._objects[kind].get(name)
        if not isinstance(current, Endpoint | Host):
            return UnknownObject(kind, name)
        version = current.version + 1
        value = with_draining(current, command.draining, version)
        self._apply_edits(index, [Edit(kind, name, value)], command.operator)
        return Accepted(index, version)

    def _order_weight_load(self, index: int, command: LoadModel) -> Outcome:
        conflict = self._find_conflict("endpoint", command.endpoint, command.if_version)
        if conflict is not None:
            return conflict
        endpoint = self._objects["endpoint"].get(command.endpoint)
        if endpoint is None:
            return UnknownObject("endpoint", command.endpoint)
        if command.model not in self._objects["model"]:
            return UnknownObject("model", command.model)
        if endpoint.kind != "engine":
            return Invalid("endpoint", "not an engine", "name an engine")
        if not is_valid_name(command.weights_version):
            return Invalid("weights_version", "not a name", f"use {NAME_PATTERN}")
        require_invariant(
            index > self._last_fence, FENCE_REGRESSED, last=self._last_fence
        )
        load = WeightLoad(
            weight_load_name(endpoint.name, index),
            index,
            endpoint.name,
            command.model,
            command.weights_version,
            index,
        )
        # Only the version of the endpoint changes.
        version = endpoint.version + 1
        changed = with_draining(endpoint, endpoint.draining, version)
        edits = [
            Edit("endpoint", endpoint.name, changed),
            Edit("load", load.name, load),
        ]
        self._apply_edits(index, edits, command.operator)
        self._last_fence = index
        return Accepted(index, version, fence=index)

    def _finish_load(self, index: int, command: FinishLoad) -> Outcome:
        name = weight_load_name(command.endpoint, command.fence)
        load = self._objects["load"].get(name)
        if load is None:
            return UnknownObject("load", name)
        if not command.ok:
            log_event(LOAD_FAILED, endpoint=command.endpoint, fence=command.fence)
        self._apply_edits(index, [Edit("load", name, None)], "")
        return Accepted(index, load.version, fence=load.fence)

    def _report_crash(self, index: int, command: ReportCrash) -> Outcome:
        fingerprint = command.fingerprint
        if not is_valid_name(fingerprint):
            return Invalid("fingerprint", "not a name", f"use {NAME_PATTERN}")
        crash_count = self._crashes.count(
            fingerprint, command.endpoint, command.incarnation
        )
        if crash_count >= CRASHES_TO_QUARANTINE and not self.is_quarantined(
            fingerprint
        ):
            value = QuarantinedFingerprint(fingerprint, index)
            self._apply_edits(index, [Edit("quarantine", fingerprint, value)], "")
            log_event(FINGERPRINT_QUARANTINED, fingerprint=fingerprint)
        return CrashCounted(crash_count, self.is_quarantined(fingerprint))

    def _clear_crashes(self, index: int, command: ClearCrashes) -> Outcome:
        self._crashes.clear(command.fingerprint)
        return CrashCounted(0, self.is_quarantined(command.fingerprint))

    def _release_fingerprint(self, index: int, command: ReleaseFingerprint) -> Outcome:
        fingerprint = command.fingerprint
        if not self._crashes.release(fingerprint):
            return UnknownObject("fingerprint", fingerprint)
        version = self._objects["quarantine"][fingerprint].version
        edits = [Edit("quarantine", fingerprint, None)]
        self._apply_edits(index, edits, command.operator)
        return Accepted(index, version)

    def _apply_edits(self, index: int, edits: Sequence[Edit], operator: str) -> None:
        """Check all edits of one command, then apply them."""
        for edit in edits:
            self._check_edit(edit)
        changes = [
            ObjectChange(index, self.revision, edit.kind, edit.name, edit.value)
            for edit in edits
        ]
        for change in changes:
            current = self._objects[change.kind].get(change.name)
            self._history.record(change, current, operator)
            self._put(change)
        self._log.extend(changes)
        self.revision = index

    def _check_edit(self, edit: Edit) -> None:
        current = self._objects[edit.kind].get(edit.name)
        floor = current.version if current else self._history.version_floor(edit.kind)
        require_invariant(
            edit.value is None or edit.value.version > floor,
            VERSION_REGRESSED,
            kind=edit.kind,
            name=edit.name,
        )

    def snapshot(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        data = SnapshotData(
            SNAPSHOT_FORMAT,
            self.applied_index,
            self._last_fence,
            encode_objects(self.revision, self._objects),
            self._history.dump(),
            self._outcomes.dump(),
            self._crashes.dump(),
            self.claims.dump(),
        )
        return msgspec.msgpack.encode(data)

    @classmethod
    def restore(cls, data: bytes, parallel_weight_loads: int = 2) -> "Configuration":
        """Rebuild the state from :meth:`snapshot`.

        Raises:
            SnapshotFormatError: If the bytes are not a snapshot of this format.
        """
        stored, revision, objects = decode_snapshot(data)
        state = cls(parallel_weight_loads)
        state.revision = revision
        state._objects = objects
        state._log = ChangeLog(base=revision)
        state.applied_index = stored.applied_index
        state._last_fence = stored.last_fence
        accounts = objects["account"].values()
        state._history = ObjectHistory.load(stored.history, accounts)
        state._outcomes = OutcomeStore.load(stored.results)
        state._crashes = CrashCounts.load(stored.crashes)
        state.claims = ClaimTable.load(stored.claims)
        return state
