"""Protocol logic of one replica."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from mustardtrack.agreement.core import FOLLOWER, LEADER, ReplicaCore, Timing
from mustardtrack.agreement.effects import Effects, NotLeader, Proposed
from mustardtrack.agreement.election import Election
from mustardtrack.agreement.entries import (
    Entry,
    ReplicaId,
    StoredState,
    encode_voters,
)
from mustardtrack.agreement.events import DISK_WAS_REFUSED
from mustardtrack.agreement.following import Following
from mustardtrack.agreement.formation import FormationRefusedError
from mustardtrack.agreement.leading import Leading
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    DiskRefused,
    JoinRequest,
    Message,
    PreVoteReply,
    PreVoteRequest,
    SnapshotPiece,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from mustardtrack.agreement.replacement import Replacement
from mustardtrack.logs import log_event

LEARNER = "learner"
FIRST_TERM = 1


@dataclass(frozen=True)
class ReplicaStatus:
    """State of one replica as seen by itself.

    Attributes:
        role: ``leader``, ``follower``, ``pre_candidate``, ``candidate``, or
            ``learner`` if the replica is not a voter.
        stale_ms: Time since a leader was last known to be in force.
        match: For a leader, the last entry stored by each replica, else empty.
        formed: Whether the log was formed or replicated to.
        refused: Whether the leader refused this disk as rolled back. The
            replica is silent then; remove its data folder and start it again.
    """

    role: str
    term: int
    leader: ReplicaId | None
    commit_index: int
    last_index: int
    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...]
    stale_ms: int
    match: dict[ReplicaId, int]
    formed: bool
    refused: bool


class Replica:
    """One replica of the replicated log, without I/O.

    Every method returns effects, which the caller executes before it gives the
    replica's messages or results to anyone. After a restart the caller restores
    its state machine from ``stored.snapshot``; later entries are delivered again
    as their commit becomes known. After an ``InvariantViolationError`` from any
    method the effects are incomplete, so the process must stop the replica.

    Args:
        me: Identity; the disk must be the one that ``stored`` was read from.
        stored: Result of ``ReplicaStorage.load``.
        timing: Periods and sizes, the same for all replicas.
        rng: Source of election timeouts.
        now_ms: Monotonic time.

    Examples:
        >>> me = ReplicaId("a", "1")
        >>> replica = Replica(me, StoredState("1"), Timing(), random.Random(1), 0)
        >>> effects = replica.form((me,), 0)
        >>> effects = replica.tick(2000)
        >>> result, effects = replica.propose(b"x", 2000)
        >>> [entry.payload for entry in effects.committed]
        [b'x']
    """

    def __init__(
        self,
        me: ReplicaId,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_ms: int,
    ):
        self._core = ReplicaCore(me, stored, timing, rng, now_ms)
        self._election = Election(self._core)
        self._following = Following(self._core)
        self._leading: Leading | None = None
        self._replacement: Replacement | None = None
        self._contacts: tuple[str, ...] = ()
        self._join_at_ms = now_ms
        self._refused = False
        self._handlers: dict[type, Callable[[ReplicaId, Any, int], None]] = {
            PreVoteRequest: self._election.on_pre_vote_request,
            PreVoteReply: self._on_pre_vote_reply,
            VoteRequest: self._election.on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._following.on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotPiece: self._following.on_snapshot_piece,
            SnapshotReply: self._on_snapshot_reply,
            JoinRequest: self._on_join_request,
            DiskRefused: self._on_disk_refused,
        }

    def tick(self, now_ms: int) -> Effects:
        """Let time pass; call at least every ``heartbeat_ms / 2``."""
        if self._refused:
            return Effects()
        if self._leading:
            self._lead(now_ms)
        elif self._election.tick(now_ms):
            self._become_leader(now_ms)
        if not self._core.is_voter or self._may_be_removed(now_ms):
            self._ask_to_join(now_ms)
        return self._finish()

    def receive(self, sender: ReplicaId, message: Message, now_ms: int) -> Effects:
        """Handle a message from another replica."""
        if not self._refused:
            self._handlers[type(message)](sender, message, now_ms)
        return self._finish()

    def propose(
        self, payload: bytes, now_ms: int
    ) -> tuple[Proposed | NotLeader, Effects]:
        """Append a command if this replica is the leader."""
        if not self._leading:
            return NotLeader(self._core.leader), self._finish()
        index = self._leading.append("command", payload, now_ms)
        return Proposed(index, self._core.term), self._finish()

    def form(self, voters: tuple[ReplicaId, ...], now_ms: int) -> Effects:
        """Initialize an empty disk as a member of a new cluster.

        A repeated call with the same voters changes nothing.

        Raises:
            FormationRefusedError: If this disk belongs to another formation.
        """
        core = self._core
        if not core.is_empty:
            if set(core.log.voters) != set(voters):
                raise FormationRefusedError(
                    f"replica {core.me.name!r} already belongs to another formation; "
                    "remove its data folder if the cluster must be formed again"
                )
            return self._finish()
        if core.me not in voters:
            raise FormationRefusedError(
                f"replica {core.me.name!r} with disk {core.me.disk!r} is not among "
                "the voters, probe all replicas and form again"
            )
        if core.term < FIRST_TERM:
            core.save_vote(FIRST_TERM, None)
        core.append((Entry(FIRST_TERM, 1, "voters", encode_voters(voters)),))
        core.restart_election_timer(now_ms)
        return self._finish()

    def join(self, names: Sequence[str]) -> None:
        """Name the replicas to ask for replication while this one is no voter."""
        self._contacts = tuple(name for name in names if name != self._core.me.name)

    def compact(self, index: int, state: bytes) -> Effects:
        """Store a snapshot of the state machine after the entry at ``index``."""
        self._core.compact(index, state)
        return self._finish()

    def lease_valid(self, now_ms: int) -> bool:
        """Return whether this leader may answer reads without a quorum round.

        Valid at ``now_ms`` only; check it after computing the answer.
        """
        return self._leading is not None and self._leading.lease_valid(now_ms)

    def status(self, now_ms: int) -> ReplicaStatus:
        """Return the current state of this replica."""
        core = self._core
        leading = self._leading
        is_learner = core.role == FOLLOWER and not core.is_voter
        peers = leading.peers.items() if leading else ()
        return ReplicaStatus(
            role=LEARNER if is_learner else core.role,
            term=core.term,
            leader=core.leader,
            commit_index=core.commit_index,
            last_index=core.log.last_index,
            voters=core.log.voters,
            learners=leading.learners() if leading else (),
            stale_ms=self._stale_ms(now_ms),
            match={peer: progress.match_index for peer, progress in peers},
            formed=not core.is_empty,
            refused=self._refused,
        )

    def _stale_ms(self, now_ms: int) -> int:
        known_ms: int | None = self._core.leader_contact_ms
        if self._leading:
            known_ms = self._leading.quorum_ms(now_ms)
        return now_ms - (self._core.leader_contact_ms if known_ms is None else known_ms)

    def _lead(self, now_ms: int) -> None:
        if self._leading and self._leading.tick(now_ms) and self._replacement:
            self._replacement.advance(now_ms)

    def _become_leader(self, now_ms: int) -> None:
        self._leading = Leading(self._core, now_ms)
        self._replacement = Replacement(self._core, self._leading)

    def _finish(self) -> Effects:
        if self._core.role != LEADER:
            self._leading = self._replacement = None
        return self._core.take_effects()

    def _may_be_removed(self, now_ms: int) -> bool:
        """Return whether the others may have replaced this voter meanwhile."""
        core = self._core
        silence_ms = now_ms - core.leader_contact_ms
        is_alone = core.role != LEADER and silence_ms >= core.timing.silent_voter_ms
        return core.timing.target_voters > 0 and is_alone

    def _ask_to_join(self, now_ms: int) -> None:
        core = self._core
        if core.hears_leader(now_ms) or now_ms < self._join_at_ms:
            return
        self._join_at_ms = now_ms + core.timing.election_timeout_ms
        voter_names = [voter.name for voter in core.log.voters]
        for name in sorted({*self._contacts, *voter_names} - {core.me.name}):
            core.send(ReplicaId(name, ""), JoinRequest(core.log.last_index))

    def _on_pre_vote_reply(
        self, sender: ReplicaId, message: PreVoteReply, now_ms: int
    ) -> None:
        if self._election.on_pre_vote_reply(sender, message, now_ms):
            self._become_leader(now_ms)

    def _on_vote_reply(
        self, sender: ReplicaId, message: VoteReply, now_ms: int
    ) -> None:
        if self._election.on_vote_reply(sender, message):
            self._become_leader(now_ms)

    def _leads_in(self, term: int) -> bool:
        if term > self._core.term:
            self._core.enter_term(term)
        return self._core.role == LEADER and term == self._core.term

    def _on_append_reply(
        self, sender: ReplicaId, message: AppendReply, now_ms: int
    ) -> None:
        if not self._leads_in(message.term) or not self._leading:
            return
        self._leading.on_append_reply(sender, message, now_ms)
        if self._replacement:
            self._replacement.advance(now_ms)

    def _on_snapshot_reply(
        self, sender: ReplicaId, message: SnapshotReply, now_ms: int
    ) -> None:
        if self._leads_in(message.term) and self._leading:
            self._leading.on_snapshot_reply(sender, message, now_ms)

    def _on_join_request(
        self, sender: ReplicaId, message: JoinRequest, now_ms: int
    ) -> None:
        if self._replacement:
            self._replacement.on_join_request(sender, message, now_ms)

    def _on_disk_refused(
        self, sender: ReplicaId, message: DiskRefused, now_ms: int
    ) -> None:
        core = self._core
        if message.term < core.term or sender != core.leader:
            return
        self._refused = True
        log_event(
            DISK_WAS_REFUSED,
            replica=core.me.name,
            disk=core.me.disk,
            acknowledged_index=message.acknowledged_index,
            last_index=message.last_index,
        )
