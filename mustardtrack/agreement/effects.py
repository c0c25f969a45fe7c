"""Results of one or several inputs to a replica."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from mustardtrack.agreement.entries import (
    AppendEntries,
    Entry,
    PersistOp,
    ReplicaId,
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
    """The entry is appended; it is committed once it appears in ``committed``.

    Another entry committed at ``index`` with a different term means that the
    proposal was lost.
    """

    index: int
    term: int


@dataclass(frozen=True)
class NotLeader:
    """The proposal was not appended; ``leader`` is the replica to ask, if known."""

    leader: ReplicaId | None


@dataclass
class Effects:
    """What the caller must do, in the order of the fields.

    Attributes:
        persist: Storage operations in order.
        synced: True if ``persist`` must be durable before anything is sent.
        send: Messages with their receivers.
        committed: Entries of all kinds in index order, each once per process
            lifetime; only those of kind ``command`` carry a payload of the caller.
        install: Snapshot that replaces the state machine before ``committed``
            is applied.
        leadership: Last change of role, term or leader.
    """

    persist: list[PersistOp] = field(default_factory=list)
    synced: bool = False
    send: list[tuple[ReplicaId, Message]] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    install: Snapshot | None = None
    leadership: LeadershipChange | None = None


def merge_effects(parts: Sequence[Effects]) -> Effects:
    """Combine effects of consecutive inputs so that they are persisted once.

    Adjacent entries are joined into one append operation, and append requests
    that continue each other into one message per receiver. Committed entries
    that a later snapshot covers are dropped.
    """
    merged = Effects()
    for part in parts:
        for operation in part.persist:
            _add_operation(merged.persist, operation)
        merged.synced = merged.synced or part.synced
        if part.install is not None:
            merged.install = part.install
            merged.committed = []
        merged.committed.extend(part.committed)
        merged.leadership = part.leadership or merged.leadership
    merged.send = _join_messages([item for part in parts for item in part.send])
    return merged


def _add_operation(operations: list[PersistOp], operation: PersistOp) -> None:
    last = operations[-1] if operations else None
    if isinstance(last, AppendEntries) and isinstance(operation, AppendEntries):
        operations[-1] = AppendEntries(last.entries + operation.entries)
    else:
        operations.append(operation)


def _join_messages(
    messages: list[tuple[ReplicaId, Message]],
) -> list[tuple[ReplicaId, Message]]:
    slots: list[tuple[ReplicaId, list[Message]]] = []
    latest: dict[ReplicaId, list[Message]] = {}
    for receiver, message in messages:
        run = latest.get(receiver)
        if run is not None and _continues(run, message):
            run.append(message)
            continue
        latest[receiver] = [message]
        slots.append((receiver, latest[receiver]))
    return [(receiver, _join_run(run)) for receiver, run in slots]


def _continues(run: list[Message], message: Message) -> bool:
    first, last = run[0], run[-1]
    return (
        isinstance(first, AppendRequest)
        and isinstance(last, AppendRequest)
        and isinstance(message, AppendRequest)
        and message.term == last.term
        and message.prev_index == last.prev_index + len(last.entries)
    )


def _join_run(run: list[Message]) -> Message:
    requests = [message for message in run if isinstance(message, AppendRequest)]
    if len(requests) < 2:
        return run[0]
    return msgspec.structs.replace(
        requests[-1],
        prev_index=requests[0].prev_index,
        prev_term=requests[0].prev_term,
        entries=tuple(entry for request in requests for entry in request.entries),
    )
