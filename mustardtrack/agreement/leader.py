"""Leader role: replication, commit index, lease and snapshot transfer."""

from mustardtrack.agreement.core import FOLLOWER, LEADER, ReplicaCore
from mustardtrack.agreement.entries import Entry, ReplicaId, encode_voters
from mustardtrack.agreement.events import (
    ACK_BEYOND_SENT_ENTRIES,
    DISK_ROLLED_BACK,
    LEADER_LOST_QUORUM,
)
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    DiskRefused,
    SnapshotChunk,
    SnapshotReply,
)
from mustardtrack.agreement.progress import Progress, SnapshotTransfer
from mustardtrack.logs import log_event


class LeaderRole:
    """State of a leader in one term.

    Attributes:
        elected_ms: Time of its election.
        peers: Progress of the other voters and of the learners.
    """

    def __init__(self, core: ReplicaCore, now_ms: int):
        self._core = core
        self.elected_ms = now_ms
        self._heartbeat_at_ms = now_ms
        self._ticked_ms = now_ms
        self._pauses: list[tuple[int, int]] = []
        self.peers: dict[ReplicaId, Progress] = {}
        core.set_role(LEADER, core.own_id)
        self._track_new_voters(now_ms)
        self.first_index = self.append("noop", b"", now_ms)

    def append(self, kind: str, payload: bytes, now_ms: int) -> int:
        """Append an entry in this term and replicate it. Returns its index."""
        core = self._core
        index = core.log.last_index + 1
        core.append((Entry(core.term, index, kind, payload),))
        self._advance_commit(now_ms)
        self.send_entries(now_ms)
        return index

    def change_voters(self, voters: tuple[ReplicaId, ...], now_ms: int) -> None:
        """Append a new voter set, which takes effect before it is committed."""
        self.append("voters", encode_voters(voters), now_ms)
        self._track_new_voters(now_ms)
        self.send_entries(now_ms)

    def add_learner(self, replica: ReplicaId, last_index: int, now_ms: int) -> None:
        """Start replicating to a replica that is not a voter.

        Replication starts after ``last_index``, the end of its log, so that it
        never acknowledges entries that were not sent to it.
        """
        self._add_peer(replica, now_ms)
        self.peers[replica].backtrack(last_index)
        self._send_next(replica, now_ms)

    def remove_learner(self, replica: ReplicaId) -> None:
        """Stop replicating to a learner."""
        if replica not in self._core.log.voters:
            self.peers.pop(replica, None)

    def learners(self) -> tuple[ReplicaId, ...]:
        """Return the replicas that receive entries but are not voters."""
        voters = self._core.log.voters
        return tuple(sorted(peer for peer in self.peers if peer not in voters))

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the leader's own term is committed."""
        return self._core.commit_index >= self.first_index

    def quorum_contact_ms(self, now_ms: int) -> int | None:
        """Return the latest time at which a majority was in contact.

        It is the send time of the latest messages that a majority acknowledged, or
        None if no majority has acknowledged a message of this term.
        """
        times = []
        for voter in self._core.log.voters:
            sent_ms = (
                now_ms
                if voter == self._core.own_id
                else self._last_acked_send_ms(voter)
            )
            if sent_ms is not None:
                times.append(sent_ms)
        times.sort(reverse=True)
        quorum = self._core.quorum()
        return times[quorum - 1] if len(times) >= quorum else None

    def lease_valid(self, now_ms: int) -> bool:
        """Return whether the lease rules out any other leader at ``now_ms``."""
        renewed_ms = self.quorum_contact_ms(now_ms)
        if renewed_ms is None or not self.has_committed_in_term:
            return False
        return now_ms - renewed_ms < self._core.timing.lease_ms

    def tick(self, now_ms: int) -> bool:
        """Send heartbeats that are due.

        Time in which this replica did not run does not count towards stepping down:
        replies may be waiting, and no other replica is elected before the election
        timeout. Reads depend on ``lease_valid``, which counts all time.

        Returns:
            False if this replica stepped down because its lease expired.
        """
        core = self._core
        renewed_ms = self.quorum_contact_ms(now_ms)
        lease_start_ms = self.elected_ms if renewed_ms is None else renewed_ms
        lease_start_ms = max(lease_start_ms, self.elected_ms)
        paused_ms = self._paused_ms(lease_start_ms, now_ms)
        if now_ms - lease_start_ms - paused_ms >= core.timing.lease_ms:
            log_event(LEADER_LOST_QUORUM, replica=core.own_id.name, term=core.term)
            core.leader_contact_ms = now_ms - core.timing.election_timeout_ms
            core.restart_election_timer(now_ms)
            core.set_role(FOLLOWER, None)
            return False
        if now_ms >= self._heartbeat_at_ms:
            self._heartbeat_at_ms = now_ms + core.timing.heartbeat_ms
            core.restart_election_timer(now_ms)
            for replica in list(self.peers):
                self.send_heartbeat(replica, now_ms)
        return True

    def _paused_ms(self, since_ms: int, now_ms: int) -> int:
        """Return the time since ``since_ms`` in which heartbeats were overdue."""
        timing = self._core.timing
        overdue_ms = now_ms - self._ticked_ms - timing.heartbeat_ms
        self._ticked_ms = now_ms
        # After a longer pause, another replica may lead.
        if 0 < overdue_ms < timing.election_timeout_ms:
            self._pauses.append((now_ms, overdue_ms))
        self._pauses = [pause for pause in self._pauses if pause[0] > since_ms]
        return sum(length_ms for _, length_ms in self._pauses)

    def send_entries(self, now_ms: int) -> None:
        """Send pending entries to every replica that can receive more."""
        for replica in list(self.peers):
            self._send_next(replica, now_ms)

    def on_append_reply(
        self, sender: ReplicaId, message: AppendReply, now_ms: int
    ) -> None:
        """Update the progress of a replica and send its next entries."""
        progress = self.peers.get(sender)
        if progress is None or self._check_rollback(sender, progress, message):
            return
        if message.success and message.match_index > progress.sent_index:
            log_event(
                ACK_BEYOND_SENT_ENTRIES,
                replica=sender.name,
                match_index=message.match_index,
                sent_index=progress.sent_index,
            )
            return
        progress.record_reply(message.sent_ms, now_ms)
        if message.success:
            progress.advance(message.match_index)
            self._advance_commit(now_ms)
        elif message.sequence > progress.match_sequence:
            progress.backtrack(message.hint_index)
        self._send_next(sender, now_ms)

    def on_snapshot_reply(
        self, sender: ReplicaId, message: SnapshotReply, now_ms: int
    ) -> None:
        """Send the chunk that a replica requests."""
        progress = self.peers.get(sender)
        if progress is None or progress.rolled_back:
            return
        progress.record_reply(message.sent_ms, now_ms)
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.index != message.index:
            return
        is_offset_valid = message.offset <= len(transfer.snapshot.state)
        if is_offset_valid and message.offset != transfer.offset:
            transfer.offset = message.offset
            self._send_chunk(sender, progress, now_ms)

    def _last_acked_send_ms(self, voter: ReplicaId) -> int | None:
        progress = self.peers.get(voter)
        return None if progress is None else progress.last_acked_send_ms

    def _track_new_voters(self, now_ms: int) -> None:
        voters = self._core.log.voters
        for voter in voters:
            if voter != self._core.own_id and voter not in self.peers:
                self._add_peer(voter, now_ms)

    def _add_peer(self, replica: ReplicaId, now_ms: int) -> None:
        next_index = self._core.log.last_index + 1
        self.peers[replica] = Progress(next_index=next_index, last_reply_ms=now_ms)

    def _check_rollback(
        self, sender: ReplicaId, progress: Progress, message: AppendReply
    ) -> bool:
        """Return whether a replica's disk was rolled back, and refuse such a disk.

        Only this leader knows what the replica acknowledged to it. If the leader
        fails before it receives another reply, the next leader cannot detect the
        rollback.
        """
        if (
            not progress.rolled_back
            and message.sequence > progress.match_sequence
            and message.last_index < progress.match_index
        ):
            progress.rolled_back = True
            log_event(
                DISK_ROLLED_BACK,
                replica=sender.name,
                disk=sender.disk,
                acknowledged_index=progress.match_index,
                last_index=message.last_index,
            )
        if progress.rolled_back:
            refusal = DiskRefused(
                self._core.term, progress.match_index, message.last_index
            )
            self._core.send(sender, refusal)
        return progress.rolled_back

    def _advance_commit(self, now_ms: int) -> None:
        core = self._core
        match_indexes = []
        for voter in core.log.voters:
            progress = self.peers.get(voter)
            if voter == core.own_id:
                match_indexes.append(core.log.last_index)
            elif progress is not None and not progress.rolled_back:
                match_indexes.append(progress.match_index)
        match_indexes.sort(reverse=True)
        if len(match_indexes) < core.quorum():
            return
        index = match_indexes[core.quorum() - 1]
        # Entries of earlier terms are committed only along with one of this term.
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_to(index)

    def send_heartbeat(self, replica: ReplicaId, now_ms: int) -> None:
        """Send a message to a replica that it replies to."""
        progress = self.peers[replica]
        progress.probe_sent = False
        if progress.rolled_back or progress.transfer is not None:
            self._send_chunk_or_probe(replica, progress, now_ms)
        elif not self._send_next(replica, now_ms):
            self._send_append(replica, progress, (), now_ms)

    def _send_chunk_or_probe(
        self, replica: ReplicaId, progress: Progress, now_ms: int
    ) -> None:
        if progress.rolled_back:
            # The leader answers the replica's reply with another refusal of its disk.
            self._send_append(replica, progress, (), now_ms)
        else:
            self._send_chunk(replica, progress, now_ms)

    def _send_next(self, replica: ReplicaId, now_ms: int) -> bool:
        """Send the next entries or start a snapshot. Returns True if sent."""
        progress = self.peers[replica]
        log = self._core.log
        if progress.rolled_back or progress.transfer is not None:
            return False
        if progress.probing and progress.probe_sent:
            return False
        if progress.next_index <= log.base_index:
            self._start_transfer(replica, progress, now_ms)
            return True
        in_flight = progress.next_index - progress.match_index
        if not progress.probing and in_flight > self._core.timing.max_in_flight_entries:
            return False
        entries = log.batch_from(
            progress.next_index, self._core.timing.max_append_bytes
        )
        if not entries and not progress.probing:
            return False
        self._send_append(replica, progress, entries, now_ms)
        return True

    def _send_append(
        self,
        replica: ReplicaId,
        progress: Progress,
        entries: tuple[Entry, ...],
        now_ms: int,
    ) -> None:
        core = self._core
        prev_index = progress.next_index - 1
        request = AppendRequest(
            term=core.term,
            prev_index=prev_index,
            prev_term=core.log.term_at(prev_index) or 0,
            entries=entries,
            commit_index=core.commit_index,
            sequence=progress.next_sequence(),
            sent_ms=now_ms,
        )
        sent_index = prev_index + len(entries)
        progress.sent_index = max(progress.sent_index, sent_index)
        progress.probe_sent = True
        if not progress.probing:
            progress.next_index = sent_index + 1
        core.send(replica, request)

    def _start_transfer(
        self, replica: ReplicaId, progress: Progress, now_ms: int
    ) -> None:
        snapshot = self._core.log.snapshot
        if snapshot is None:
            return
        progress.transfer = SnapshotTransfer(snapshot)
        self._send_chunk(replica, progress, now_ms)

    def _send_chunk(self, replica: ReplicaId, progress: Progress, now_ms: int) -> None:
        transfer = progress.transfer
        if transfer is None:
            return
        snapshot = transfer.snapshot
        end = transfer.offset + self._core.timing.snapshot_chunk_bytes
        last = end >= len(snapshot.state)
        chunk = SnapshotChunk(
            term=self._core.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            voters=snapshot.voters,
            offset=transfer.offset,
            data=snapshot.state[transfer.offset : end],
            last=last,
            sequence=progress.next_sequence(),
            sent_ms=now_ms,
        )
        if last:
            progress.sent_index = max(progress.sent_index, snapshot.index)
        self._core.send(replica, chunk)
