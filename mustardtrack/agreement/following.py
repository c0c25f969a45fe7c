"""Rules of a replica that receives entries and snapshots from a leader."""

from mustardtrack.agreement.core import FOLLOWER, LEADER, ReplicaCore
from mustardtrack.agreement.entries import Entry, ReplicaId, Snapshot
from mustardtrack.agreement.events import TWO_LEADERS_IN_TERM
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    SnapshotPiece,
    SnapshotReply,
)
from mustardtrack.logs import require_invariant


class Following:
    """Stores what the leader of the current term sends."""

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._snapshot_key: tuple[int, int, ReplicaId] | None = None
        self._received = bytearray()

    def on_append_request(
        self, sender: ReplicaId, message: AppendRequest, now_ms: int
    ) -> None:
        """Store entries after the last one that agrees with the leader."""
        if not self._accept_leader(sender, message, now_ms):
            return
        hint_index = self._agreeing_index(message)
        if hint_index < message.prev_index:
            self._reply(sender, message, False, 0, hint_index)
            return
        self._store(message.entries)
        match_index = message.prev_index + len(message.entries)
        self._core.commit_to(min(message.commit_index, match_index))
        self._reply(sender, message, True, match_index, match_index)

    def on_snapshot_piece(
        self, sender: ReplicaId, message: SnapshotPiece, now_ms: int
    ) -> None:
        """Collect a piece, and install the snapshot after the last one."""
        if not self._accept_leader(sender, message, now_ms):
            return
        core = self._core
        if message.index <= core.commit_index:
            self._reply(sender, message, True, message.index, message.index)
            return
        key = (message.term, message.index, sender)
        if key != self._snapshot_key:
            self._snapshot_key, self._received = key, bytearray()
        if message.offset != len(self._received):
            self._ask_piece(sender, message)
            return
        self._received += message.data
        if not message.last:
            self._ask_piece(sender, message)
            return
        state = bytes(self._received)
        self._snapshot_key, self._received = None, bytearray()
        core.install(
            Snapshot(message.index, message.snapshot_term, message.voters, state)
        )
        self._reply(sender, message, True, message.index, message.index)

    def _accept_leader(
        self, sender: ReplicaId, message: AppendRequest | SnapshotPiece, now_ms: int
    ) -> bool:
        core = self._core
        if message.term < core.term:
            self._reply(sender, message, False, 0, 0)
            return False
        if message.term > core.term:
            core.enter_term(message.term)
        require_invariant(
            core.role != LEADER and core.leader in (None, sender),
            TWO_LEADERS_IN_TERM,
            term=core.term,
            known=core.leader,
            sender=sender,
        )
        core.set_role(FOLLOWER, sender)
        core.leader_contact_ms = now_ms
        core.restart_election_timer(now_ms)
        return True

    def _agreeing_index(self, message: AppendRequest) -> int:
        """Return ``prev_index`` if the log agrees there, else a lower index."""
        log = self._core.log
        if message.prev_index <= self._core.commit_index:
            return message.prev_index
        if message.prev_index > log.last_index:
            return log.last_index
        if log.term_at(message.prev_index) == message.prev_term:
            return message.prev_index
        conflict_index = log.first_index_of_term(message.prev_index)
        return max(conflict_index - 1, self._core.commit_index)

    def _store(self, entries: tuple[Entry, ...]) -> None:
        core = self._core
        for position, entry in enumerate(entries):
            if entry.index <= core.log.base_index:
                continue
            if core.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= core.log.last_index:
                core.truncate_from(entry.index)
            core.append(entries[position:])
            return

    def _ask_piece(self, sender: ReplicaId, message: SnapshotPiece) -> None:
        reply = SnapshotReply(
            term=self._core.term,
            index=message.index,
            offset=len(self._received),
            sequence=message.sequence,
            sent_ms=message.sent_ms,
        )
        self._core.send(sender, reply)

    def _reply(
        self,
        sender: ReplicaId,
        message: AppendRequest | SnapshotPiece,
        success: bool,
        match_index: int,
        hint_index: int,
    ) -> None:
        core = self._core
        reply = AppendReply(
            term=core.term,
            success=success,
            match_index=match_index,
            hint_index=hint_index,
            last_index=core.log.last_index,
            sequence=message.sequence,
            sent_ms=message.sent_ms,
        )
        core.send(sender, reply)
