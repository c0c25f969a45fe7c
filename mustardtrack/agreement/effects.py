"""Effects of one or more inputs to a replica."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from mustardtrack.agreement.entries import (
    Entry,
    PersistOp,
    ReplicaId,
    SaveEntries,
    Snapshot,
)
from mustardtrack.agreement.messages import AppendRequest, Message


@dataclass(frozen=True)
class LeadershipChange:
    """New role, term or known leader of this replica."""

    role: str
    term: int
    leader: ReplicaId | None


@dataclass(frozen=True)
class Proposed:
    """The entry was appended; it is committed once ``committed`` contains it.

    If an entry of another term is committed at ``index``, the proposal was lost.
    """

    index: int
    term: int


@dataclass(frozen=True)
class NotLeader:
    """The proposal was not appended; ``leader`` is the known leader, if any."""

    leader: ReplicaId | None


@dataclass
class Effects:
    """Actions that the caller must carry out, in the order of the fields.

    Attributes:
        persist: Storage operations in order.
        needs_sync: Whether ``persist`` must be synced to disk before ``send``.
        send: Messages with their receivers.
        committed: Newly committed entries of all kinds in index order, each
            delivered once per process lifetime. Only entries of kind ``command``
            carry a payload of the caller.
        snapshot_to_install: Snapshot to restore the state machine from before
            ``committed`` is applied.
        leadership: Last change of role, term or leader.
    """

    persist: list[PersistOp] = field(default_factory=list)
    needs_sync: bool = False
    send: list[tuple[ReplicaId, Message]] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    snapshot_to_install: Snapshot | None = None
    leadership: LeadershipChange | None = None


def merge_effects(parts: Sequence[Effects]) -> Effects:
    """Merge the effects of consecutive inputs, so that they are persisted once.

    Adjacent append operations are merged into one, and so are contiguous append
    requests to the same receiver. Committed entries that precede an installed
    snapshot are dropped.
    """
    merged = Effects()
    for part in parts:
        for operation in part.persist:
            _add_operation(merged.persist, operation)
        merged.needs_sync = merged.needs_sync or part.needs_sync
        if part.snapshot_to_install is not None:
            merged.snapshot_to_install = part.snapshot_to_install
            merged.committed = []
        merged.committed.extend(part.committed)
        merged.leadership = part.leadership or merged.leadership
    merged.send = _merge_messages([item for part in parts for item in part.send])
    return merged


def _add_operation(operations: list[PersistOp], operation: PersistOp) -> None:
    last = operations[-1] if operations else None
    if isinstance(last, SaveEntries) and isinstance(operation, SaveEntries):
        operations[-1] = SaveEntries(last.entries + operation.entries)
    else:
        operations.append(operation)


def _merge_messages(
    messages: list[tuple[ReplicaId, Message]],
) -> list[tuple[ReplicaId, Message]]:
    runs: list[tuple[ReplicaId, list[Message]]] = []
    open_runs: dict[ReplicaId, list[Message]] = {}
    for receiver, message in messages:
        run = open_runs.get(receiver)
        if run is not None and _continues(run, message):
            run.append(message)
            continue
        open_runs[receiver] = [message]
        runs.append((receiver, open_runs[receiver]))
    return [(receiver, _merge_run(run)) for receiver, run in runs]


def _continues(run: list[Message], message: Message) -> bool:
    first, last = run[0], run[-1]
    return (
        isinstance(first, AppendRequest)
        and isinstance(last, AppendRequest)
        and isinstance(message, AppendRequest)
        and message.term == last.term
        and message.prev_index == last.prev_index + len(last.entries)
    )


def _merge_run(run: list[Message]) -> Message:
    requests = [message for message in run if isinstance(message, AppendRequest)]
    if len(requests) < 2:
        return run[0]
    return msgspec.structs.replace(
        requests[-1],
        prev_index=requests[0].prev_index,
        prev_term=requests[0].prev_term,
        entries=tuple(entry for request in requests for entry in request.entries),
    )
