"""State of one replica that is shared by all of its protocol roles."""

import random
from dataclasses import dataclass

from mustardtrack.agreement.effects import Effects, LeadershipChange
from mustardtrack.agreement.entries import (
    Entry,
    ReplicaId,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    StoredState,
    TruncateFrom,
)
from mustardtrack.agreement.events import (
    COMMIT_ORDER_BROKEN,
    COMMITTED_ENTRY_REMOVED,
    ROLE_CHANGED,
    SECOND_VOTE_IN_TERM,
    SNAPSHOT_NOT_COMMITTED,
)
from mustardtrack.agreement.log import ReplicatedLog
from mustardtrack.agreement.messages import Message
from mustardtrack.logs import log_event, require_invariant

FOLLOWER = "follower"
PRE_CANDIDATE = "pre_candidate"
CANDIDATE = "candidate"
LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Timeouts and size limits of the protocol.

    Attributes:
        heartbeat_ms: Interval between the leader's heartbeats to each replica.
        election_timeout_ms: Minimum election timeout; the maximum is 1.5 times
            as long.
        max_append_bytes: Maximum payload bytes in one append request, which always
            holds at least one entry.
        max_in_flight_entries: Maximum number of entries sent to one replica and not
            yet acknowledged.
        snapshot_chunk_bytes: Maximum state bytes in one chunk of a snapshot.
        retained_entries: Entries before a snapshot that stay in memory, so that a
            slow replica can catch up without the snapshot.
        target_voters: Desired number of voters. Replicas that ask to join are added
            until it is reached; after that they replace voters that leave or do not
            reply within the election timeout, and two or more of them are added for
            as long as they run. With 0, only replicas with the name of a voter are
            admitted.
        unresponsive_voter_ms: Time without contact after which a voter asks whether it
            has been removed, and after which the leader forgets a learner.
    """

    heartbeat_ms: int = 100
    election_timeout_ms: int = 1000
    max_append_bytes: int = 262_144
    max_in_flight_entries: int = 4096
    snapshot_chunk_bytes: int = 262_144
    retained_entries: int = 1000
    target_voters: int = 0
    unresponsive_voter_ms: int = 2500

    @property
    def lease_ms(self) -> int:
        """Duration of the leader's lease.

        It is 0.8 election timeouts to allow for clock drift: if a leader's clock is
        10% slow, the lease lasts 0.889 timeouts of real time, and if a follower's
        clock is 10% fast, it may grant a vote after 0.909 timeouts.
        """
        return self.election_timeout_ms * 8 // 10


class ReplicaCore:
    """Durable and volatile state, and the pending effects for the caller."""

    def __init__(
        self,
        own_id: ReplicaId,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_ms: int,
    ):
        self.own_id = own_id
        self.timing = timing
        self.rng = rng
        self.log = ReplicatedLog(stored)
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = FOLLOWER
        self.leader: ReplicaId | None = None
        self._last_reported = LeadershipChange(FOLLOWER, stored.term, None)
        self.commit_index = self.log.base_index
        # The replica may have acknowledged a heartbeat just before a restart, so it
        # grants no vote during the first election timeout. The leader's lease
        # relies on this.
        self.leader_contact_ms = now_ms
        self.election_at_ms = 0
        # Replicas whose process has ended and that have not sent a message since.
        self.ended: set[ReplicaId] = set()
        self.effects = Effects()
        self.restart_election_timer(now_ms)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the current voter set."""
        return self.own_id in self.log.voters

    @property
    def is_empty(self) -> bool:
        """Whether the log has neither entries nor a snapshot."""
        return self.log.last_index == 0

    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.log.voters) // 2 + 1

    def has_recent_leader(self, now_ms: int) -> bool:
        """Return whether a leader was in contact within the election timeout.

        While this holds, the replica grants no vote, because the leader's lease may
        still be valid.
        """
        elapsed_ms = now_ms - self.leader_contact_ms
        return self.role == LEADER or elapsed_ms < self.timing.election_timeout_ms

    def restart_election_timer(self, now_ms: int) -> None:
        """Restart the timer with a random timeout of 1 to 1.5 election timeouts.

        The range is much longer than a round trip and a disk sync, so that replicas
        seldom start elections at the same time.
        """
        timeout_ms = self.timing.election_timeout_ms
        spread_ms = self.rng.randrange(max(1, timeout_ms // 2))
        self.election_at_ms = now_ms + timeout_ms + spread_ms

    def lose_leader(self, now_ms: int) -> None:
        """End the contact with a leader whose process has ended.

        Its lease ended with the process, so that votes may be granted at once. The
        voters start their elections one after another in an order that all of them
        know, because elections at the same time split the votes.
        """
        leader = self.leader
        self.set_role(FOLLOWER, None)
        expired_ms = now_ms - self.timing.election_timeout_ms
        self.leader_contact_ms = min(self.leader_contact_ms, expired_ms)
        candidates = sorted(voter for voter in self.log.voters if voter != leader)
        if self.own_id in candidates:
            position = candidates.index(self.own_id)
            self.election_at_ms = now_ms + position * self.timing.heartbeat_ms // 2

    def take_effects(self) -> Effects:
        """Return the pending effects and clear them."""
        effects, self.effects = self.effects, Effects()
        effects.needs_sync = bool(effects.persist)
        return effects

    def send(self, receiver: ReplicaId, message: Message) -> None:
        """Queue a message for sending."""
        self.effects.send.append((receiver, message))

    def set_role(self, role: str, leader: ReplicaId | None) -> None:
        """Set the role and the known leader, and report a change."""
        change = LeadershipChange(role, self.term, leader)
        self.role, self.leader = role, leader
        if change == self._last_reported:
            return
        self._last_reported = change
        self.effects.leadership = change
        log_event(
            ROLE_CHANGED,
            replica=self.own_id.name,
            role=role,
            term=self.term,
            leader=leader.name if leader else None,
        )

    def advance_term(self, term: int) -> None:
        """Become a follower in a later term without a known leader."""
        self.save_vote(term, None)
        self.set_role(FOLLOWER, None)

    def save_vote(self, term: int, voted_for: ReplicaId | None) -> None:
        """Persist the term and the vote."""
        require_invariant(
            term > self.term or self.voted_for in (None, voted_for),
            SECOND_VOTE_IN_TERM,
            term=term,
            stored_term=self.term,
        )
        self.term, self.voted_for = term, voted_for
        self.effects.persist.append(SaveVote(term, voted_for))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and persist them."""
        self.log.append(entries)
        self.effects.persist.append(SaveEntries(entries))

    def truncate_from(self, index: int) -> None:
        """Remove uncommitted entries that conflict with the leader's log."""
        require_invariant(
            index > self.commit_index,
            COMMITTED_ENTRY_REMOVED,
            index=index,
            commit_index=self.commit_index,
        )
        self.log.truncate_from(index)
        self.effects.persist.append(TruncateFrom(index))

    def compact(self, index: int, state: bytes) -> None:
        """Store a snapshot of the state machine after the entry at ``index``."""
        if self.log.snapshot and index <= self.log.snapshot.index:
            return
        term = self.log.term_at(index)
        require_invariant(
            index <= self.commit_index and term is not None,
            SNAPSHOT_NOT_COMMITTED,
            index=index,
            commit_index=self.commit_index,
        )
        snapshot = Snapshot(index, term or 0, self.log.voters_at(index), state)
        self.log.compact(snapshot, self.timing.retained_entries)
        self.effects.persist.append(SaveSnapshot(snapshot))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log and the state machine by a snapshot from the leader."""
        self.log.install_snapshot(snapshot)
        self.commit_index = snapshot.index
        self.effects.persist.append(SaveSnapshot(snapshot))
        self.effects.snapshot_to_install = snapshot
        self.effects.committed = []

    def commit_to(self, index: int) -> None:
        """Raise the commit index and deliver the newly committed entries."""
        if index <= self.commit_index:
            return
        entries = self.log.entries_between(self.commit_index + 1, index)
        require_invariant(
            len(entries) == index - self.commit_index
            and entries[0].index == self.commit_index + 1,
            COMMIT_ORDER_BROKEN,
            commit_index=self.commit_index,
            index=index,
        )
        self.commit_index = index
        self.effects.committed.extend(entries)
