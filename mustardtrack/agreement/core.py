"""State of one replica that all of its rules share."""

import random
from dataclasses import dataclass

from mustardtrack.agreement.effects import Effects, LeadershipChange
from mustardtrack.agreement.entries import (
    AppendEntries,
    Entry,
    ReplicaId,
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
    """Periods and sizes of the protocol.

    Attributes:
        heartbeat_ms: Period of the leader's messages to each replica.
        election_timeout_ms: Shortest time without a leader before an election;
            the longest is half as much again.
        append_bytes: Payload bytes in one append request, at least one entry.
        in_flight_entries: Entries sent to one replica and not yet acknowledged.
        piece_bytes: State bytes in one piece of a snapshot.
        kept_entries: Entries before a snapshot that stay in memory so that a
            slow replica can still be brought up to date without the snapshot.
        target_voters: Size to which the group grows from replicas that ask to
            join, and at which a voter that is silent is replaced by one of them;
            0 keeps the names of the first formation.
        silent_voter_ms: Silence after which a voter may be replaced by a replica
            of another name.
    """

    heartbeat_ms: int = 100
    election_timeout_ms: int = 1000
    append_bytes: int = 262_144
    in_flight_entries: int = 4096
    piece_bytes: int = 262_144
    kept_entries: int = 1000
    target_voters: int = 0
    silent_voter_ms: int = 2500

    @property
    def lease_ms(self) -> int:
        """Duration of the leader's lease.

        A clock that is 10% slow stretches the lease to 0.889 timeouts of real
        time, and one that is 10% fast shortens the followers' promise to 0.909.
        """
        return self.election_timeout_ms * 8 // 10


class ReplicaCore:
    """Durable and volatile state, and the effects collected for the caller."""

    def __init__(
        self,
        me: ReplicaId,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_ms: int,
    ):
        self.me = me
        self.timing = timing
        self.rng = rng
        self.log = ReplicatedLog(stored)
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = FOLLOWER
        self.leader: ReplicaId | None = None
        self._reported = LeadershipChange(FOLLOWER, stored.term, None)
        self.commit_index = self.log.base_index
        # A replica that restarts may have acknowledged a heartbeat just before,
        # so it keeps the promise behind the leader's lease from its start.
        self.leader_contact_ms = now_ms
        self.election_at_ms = 0
        self.effects = Effects()
        self.restart_election_timer(now_ms)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the voter set in force."""
        return self.me in self.log.voters

    @property
    def is_empty(self) -> bool:
        """Whether the log was never formed or replicated to."""
        return self.log.last_index == 0

    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.log.voters) // 2 + 1

    def hears_leader(self, now_ms: int) -> bool:
        """Return whether a promise to the current leader is still in force."""
        elapsed_ms = now_ms - self.leader_contact_ms
        return self.role == LEADER or elapsed_ms < self.timing.election_timeout_ms

    def restart_election_timer(self, now_ms: int) -> None:
        """Choose the next election time at random, up to half a timeout late.

        The spread is wide against a round trip and a sync, so that replicas seldom
        ask for votes at the same moment.
        """
        timeout_ms = self.timing.election_timeout_ms
        spread_ms = self.rng.randrange(max(1, timeout_ms // 2))
        self.election_at_ms = now_ms + timeout_ms + spread_ms

    def take_effects(self) -> Effects:
        """Return the collected effects and start a new collection."""
        effects, self.effects = self.effects, Effects()
        effects.synced = bool(effects.persist)
        return effects

    def send(self, receiver: ReplicaId, message: Message) -> None:
        """Queue a message."""
        self.effects.send.append((receiver, message))

    def set_role(self, role: str, leader: ReplicaId | None) -> None:
        """Change role and known leader, and report it if anything changed."""
        change = LeadershipChange(role, self.term, leader)
        self.role, self.leader = role, leader
        if change == self._reported:
            return
        self._reported = change
        self.effects.leadership = change
        log_event(
            ROLE_CHANGED,
            replica=self.me.name,
            role=role,
            term=self.term,
            leader=leader.name if leader else None,
        )

    def enter_term(self, term: int) -> None:
        """Follow a later term without a known leader."""
        self.save_vote(term, None)
        self.set_role(FOLLOWER, None)

    def save_vote(self, term: int, voted_for: ReplicaId | None) -> None:
        """Store term and vote."""
        require_invariant(
            term > self.term or self.voted_for in (None, voted_for),
            SECOND_VOTE_IN_TERM,
            term=term,
            stored_term=self.term,
        )
        self.term, self.voted_for = term, voted_for
        self.effects.persist.append(SaveVote(term, voted_for))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Store entries that continue the log."""
        self.log.append(entries)
        self.effects.persist.append(AppendEntries(entries))

    def truncate_from(self, index: int) -> None:
        """Remove entries that disagree with the leader."""
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
        self.log.compact(snapshot, self.timing.kept_entries)
        self.effects.persist.append(SaveSnapshot(snapshot))

    def install(self, snapshot: Snapshot) -> None:
        """Replace log and state machine by a snapshot from the leader."""
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.effects.persist.append(SaveSnapshot(snapshot))
        self.effects.install = snapshot
        self.effects.committed = []

    def commit_to(self, index: int) -> None:
        """Deliver all entries up to ``index``."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        require_invariant(
            len(entries) == index - self.commit_index
            and entries[0].index == self.commit_index + 1,
            COMMIT_ORDER_BROKEN,
            commit_index=self.commit_index,
            index=index,
        )
        self.commit_index = index
        self.effects.committed.extend(entries)
