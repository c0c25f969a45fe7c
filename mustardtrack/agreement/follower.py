"""Follower role: receives entries and snapshots from the leader."""

from mustardtrack.agreement.core import FOLLOWER, LEADER, ReplicaCore
from mustardtrack.agreement.entries import Entry, ReplicaId, Snapshot
from mustardtrack.agreement.events import TWO_LEADERS_IN_TERM
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from mustardtrack.logs import require_invariant


class FollowerRole:
    """Handles append requests and snapshot chunks of the current leader."""

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._transfer_key: tuple[int, int, ReplicaId] | None = None
        self._received_state = bytearray()

    def on_append_request(
        self, sender: ReplicaId, message: AppendRequest, now_ms: int
    ) -> None:
        """Append the leader's entries if the logs match at ``prev_index``."""
        if not self._accept_leader(sender, message, now_ms):
            return
        hint_index = self._find_hint_index(message)
        if hint_index < message.prev_index:
            self._reply(sender, message, False, 0, hint_index)
            return
        self._append_missing(message.entries)
        match_index = message.prev_index + len(message.entries)
        self._core.commit_to(min(message.commit_index, match_index))
        self._reply(sender, message, True, match_index, match_index)

    def on_snapshot_chunk(
        self, sender: ReplicaId, message: SnapshotChunk, now_ms: int
    ) -> None:
        """Buffer a chunk, and install the snapshot after the last one."""
        if not self._accept_leader(sender, message, now_ms):
            return
        core = self._core
        if message.index <= core.commit_index:
            self._reply(sender, message, True, message.index, message.index)
            return
        key = (message.term, message.index, sender)
        if key != self._transfer_key:
            self._transfer_key, self._received_state = key, bytearray()
        if message.offset != len(self._received_state):
            self._request_chunk(sender, message)
            return
        self._received_state += message.data
        if not message.last:
            self._request_chunk(sender, message)
            return
        state = bytes(self._received_state)
        self._transfer_key, self._received_state = None, bytearray()
        core.install_snapshot(
            Snapshot(message.index, message.snapshot_term, message.voters, state)
        )
        self._reply(sender, message, True, message.index, message.index)

    def _accept_leader(
        self, sender: ReplicaId, message: AppendRequest | SnapshotChunk, now_ms: int
    ) -> bool:
        core = self._core
        if message.term < core.term:
            self._reply(sender, message, False, 0, 0)
            return False
        if message.term > core.term:
            core.advance_term(message.term)
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

    def _find_hint_index(self, message: AppendRequest) -> int:
        """Return ``prev_index`` if the logs match there, else a lower index to try."""
        log = self._core.log
        if message.prev_index <= self._core.commit_index:
            return message.prev_index
        if message.prev_index > log.last_index:
            return log.last_index
        if log.term_at(message.prev_index) == message.prev_term:
            return message.prev_index
        conflict_index = log.first_index_with_term_of(message.prev_index)
        return max(conflict_index - 1, self._core.commit_index)

    def _append_missing(self, entries: tuple[Entry, ...]) -> None:
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

    def _request_chunk(self, sender: ReplicaId, message: SnapshotChunk) -> None:
        reply = SnapshotReply(
            term=self._core.term,
            index=message.index,
            offset=len(self._received_state),
            sequence=message.sequence,
            sent_ms=message.sent_ms,
        )
        self._core.send(sender, reply)

    def _reply(
        self,
        sender: ReplicaId,
        message: AppendRequest | SnapshotChunk,
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
