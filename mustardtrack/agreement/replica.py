"""Consensus protocol of one replica."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from mustardtrack.agreement.core import FOLLOWER, LEADER, ReplicaCore, Timing
from mustardtrack.agreement.departure import Departure
from mustardtrack.agreement.effects import Effects, NotLeader, Proposed
from mustardtrack.agreement.election import Election
from mustardtrack.agreement.entries import (
    Entry,
    ReplicaId,
    StoredState,
    encode_voters,
)
from mustardtrack.agreement.events import OWN_DISK_REFUSED, PROCESS_ENDED
from mustardtrack.agreement.follower import FollowerRole
from mustardtrack.agreement.formation import FormationRefusedError
from mustardtrack.agreement.leader import LeaderRole
from mustardtrack.agreement.membership import MembershipManager
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    DiskRefused,
    JoinHint,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    Message,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from mustardtrack.logs import log_event

LEARNER = "learner"
FIRST_TERM = 1


@dataclass(frozen=True)
class _ReceivedJoin:
    """Join request that arrived while this replica was not the leader."""

    sender: ReplicaId
    message: JoinRequest
    received_ms: int


@dataclass(frozen=True)
class ReplicaStatus:
    """State of a replica as known to itself.

    Attributes:
        role: ``leader``, ``follower``, ``pre_candidate``, ``candidate``, or
            ``learner`` if the replica is not a voter.
        stale_ms: Time since the last contact with a leader; for a leader, since
            the last contact with a majority.
        match: For a leader, the last index acknowledged by each replica, else
            empty.
        formed: Whether the log has entries or a snapshot.
        refused: Whether the leader refused this disk as rolled back. The replica
            then ignores messages and ticks; remove its data folder and restart it.
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

    The caller must execute the returned effects in the order that :class:`Effects`
    states, so that no message or result leaves the process before the state that
    it depends on is stored. After a restart the caller restores its state machine
    from ``stored.snapshot``; later entries are delivered again once they are
    known to be committed. After an ``InvariantViolationError`` from any method
    the effects are incomplete, so the process must stop the replica.

    Args:
        own_id: Identity; the disk must be the one that ``stored`` was read from.
        stored: Result of ``ReplicaStorage.load``.
        timing: Timeouts and size limits, the same for all replicas.
        rng: Source of randomness for election timeouts.
        now_ms: Monotonic time.

    Examples:
        >>> own_id = ReplicaId("a", "1")
        >>> replica = Replica(own_id, StoredState("1"), Timing(), random.Random(1), 0)
        >>> effects = replica.form((own_id,), 0)
        >>> effects = replica.tick(2000)
        >>> result, effects = replica.propose(b"x", 2000)
        >>> [entry.payload for entry in effects.committed]
        [b'x']
    """

    def __init__(
        self,
        own_id: ReplicaId,
        stored: StoredState,
        timing: Timing,
        rng: random.Random,
        now_ms: int,
    ):
        self._core = ReplicaCore(own_id, stored, timing, rng, now_ms)
        self._election = Election(self._core)
        self._follower_role = FollowerRole(self._core)
        self._leader_role: LeaderRole | None = None
        self._membership: MembershipManager | None = None
        self._join_targets: tuple[str, ...] = ()
        self._hinted_voters: frozenset[str] = frozenset()
        self._join_at_ms = now_ms
        self._recent_joins: dict[str, _ReceivedJoin] = {}
        self._refused = False
        self._departure = Departure()
        self._handlers: dict[type, Callable[[ReplicaId, Any, int], None]] = {
            PreVoteRequest: self._election.on_pre_vote_request,
            PreVoteReply: self._on_pre_vote_reply,
            VoteRequest: self._election.on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._follower_role.on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotChunk: self._follower_role.on_snapshot_chunk,
            SnapshotReply: self._on_snapshot_reply,
            JoinRequest: self._on_join_request,
            JoinHint: self._on_join_hint,
            LeaveRequest: self._on_leave_request,
            LeaveReply: self._on_leave_reply,
            DiskRefused: self._on_disk_refused,
        }

    def tick(self, now_ms: int) -> Effects:
        """Process timeouts; call at least every ``heartbeat_ms / 2``."""
        if self._refused:
            return Effects()
        if self._leader_role:
            self._tick_leader(now_ms)
        elif self._election.tick(now_ms):
            self._become_leader(now_ms)
        if self._departure.has_begun:
            self._continue_departure(now_ms)
        elif not self._core.is_voter or self._may_have_been_removed(now_ms):
            self._send_join_requests(now_ms)
        return self._collect_effects()

    def receive(self, sender: ReplicaId, message: Message, now_ms: int) -> Effects:
        """Handle a message from another replica."""
        if not self._refused:
            self._core.ended.discard(sender)
            self._handlers[type(message)](sender, message, now_ms)
        return self._collect_effects()

    def record_end(self, name: str, probed_ms: int, now_ms: int) -> Effects:
        """Record that the process of another replica has ended.

        A leader replaces its vote, and a follower of it takes part in an election,
        without waiting for the election timeout.

        Args:
            name: Name of the replica.
            probed_ms: Time at which the process was known to have ended. A replica that
                was in contact at that time or later has been started again.
            now_ms: Monotonic time.
        """
        core = self._core
        if self._refused or name == core.own_id.name:
            return self._collect_effects()
        replicas = {*core.log.voters}
        if core.leader is not None:
            replicas.add(core.leader)
        if self._leader_role:
            replicas |= self._leader_role.peers.keys()
        for replica in sorted(replicas - core.ended):
            if replica.name == name and self._contact_ms(replica) < probed_ms:
                self._on_end(replica, now_ms)
        return self._collect_effects()

    def propose(
        self, payload: bytes, now_ms: int
    ) -> tuple[Proposed | NotLeader, Effects]:
        """Append a command if this replica is the leader."""
        if not self._leader_role:
            return NotLeader(self._core.leader), self._collect_effects()
        index = self._leader_role.append("command", payload, now_ms)
        return Proposed(index, self._core.term), self._collect_effects()

    def form(self, voters: tuple[ReplicaId, ...], now_ms: int) -> Effects:
        """Initialize an empty log as a member of a new cluster.

        The call is idempotent for the same voters.

        Raises:
            FormationRefusedError: If this disk belongs to another formation.
        """
        core = self._core
        if not core.is_empty:
            if set(core.log.voters) != set(voters):
                raise FormationRefusedError(
                    f"replica {core.own_id.name!r} already belongs to another "
                    "formation; remove its data folder if the cluster must be "
                    "formed again"
                )
            return self._collect_effects()
        if core.own_id not in voters:
            raise FormationRefusedError(
                f"replica {core.own_id.name!r} with disk {core.own_id.disk!r} is not "
                "among the voters, probe all replicas and form again"
            )
        if core.term < FIRST_TERM:
            core.save_vote(FIRST_TERM, None)
        core.append((Entry(FIRST_TERM, 1, "voters", encode_voters(voters)),))
        core.restart_election_timer(now_ms)
        return self._collect_effects()

    def set_join_targets(self, names: Sequence[str]) -> None:
        """Set the replicas that are asked to admit this one while it is no voter.

        Any of them that has a log names the voters, which are then asked too.
        """
        self._join_targets = tuple(
            name for name in names if name != self._core.own_id.name
        )

    def begin_departure(self, now_ms: int) -> None:
        """Begin to hand over the vote, because this process stops as planned.

        The replica goes on voting and replicating. It asks the leader for a successor
        with each heartbeat; see :meth:`may_depart`.
        """
        self._departure.begin(now_ms)

    def may_depart(self, now_ms: int) -> bool:
        """Return whether the process may end as far as the vote is concerned.

        That is so once this replica's removal from the voters is committed, if no other
        replica can take its vote, or if no leader was found in time.
        """
        core = self._core
        is_removed = not core.is_voter and core.log.voters_index <= core.commit_index
        return is_removed or self._departure.is_without_successor(
            now_ms, core.timing.election_timeout_ms
        )

    def compact(self, index: int, state: bytes) -> Effects:
        """Store a snapshot of the state machine after the entry at ``index``."""
        self._core.compact(index, state)
        return self._collect_effects()

    def lease_valid(self, now_ms: int) -> bool:
        """Return whether this leader may answer reads without contacting a quorum.

        The result holds at ``now_ms`` only; check it after computing the answer. The
        answer must include the entries up to :meth:`read_index`.
        """
        return self._leader_role is not None and self._leader_role.lease_valid(now_ms)

    def read_index(self) -> int:
        """Return the index up to which entries must be applied before a read.

        Entries that an earlier leader acknowledged are not after the first entry of
        this leader's term.
        """
        return self._leader_role.first_index if self._leader_role else 0

    def status(self, now_ms: int) -> ReplicaStatus:
        """Return the state of this replica as known to itself."""
        core = self._core
        leader_role = self._leader_role
        is_learner = core.role == FOLLOWER and not core.is_voter
        peers = leader_role.peers.items() if leader_role else ()
        return ReplicaStatus(
            role=LEARNER if is_learner else core.role,
            term=core.term,
            leader=core.leader,
            commit_index=core.commit_index,
            last_index=core.log.last_index,
            voters=core.log.voters,
            learners=leader_role.learners() if leader_role else (),
            stale_ms=self._stale_ms(now_ms),
            match={peer: progress.match_index for peer, progress in peers},
            formed=not core.is_empty,
            refused=self._refused,
        )

    def _stale_ms(self, now_ms: int) -> int:
        contact_ms: int | None = self._core.leader_contact_ms
        if self._leader_role:
            contact_ms = self._leader_role.quorum_contact_ms(now_ms)
        return now_ms - (
            self._core.leader_contact_ms if contact_ms is None else contact_ms
        )

    def _contact_ms(self, replica: ReplicaId) -> float:
        """Return the time of the last contact with a replica, as far as it is known."""
        if self._leader_role and replica in self._leader_role.peers:
            return self._leader_role.peers[replica].last_reply_ms
        if replica == self._core.leader:
            return self._core.leader_contact_ms
        return -math.inf

    def _on_end(self, replica: ReplicaId, now_ms: int) -> None:
        core = self._core
        is_leader = replica == core.leader
        log_event(
            PROCESS_ENDED,
            replica=core.own_id.name,
            ended=replica.name,
            was_leader=is_leader,
        )
        core.ended.add(replica)
        if is_leader:
            core.lose_leader(now_ms)
            self._join_at_ms = now_ms
        elif self._membership:
            self._membership.advance(now_ms)

    def _tick_leader(self, now_ms: int) -> None:
        if self._leader_role and self._leader_role.tick(now_ms) and self._membership:
            self._membership.advance(now_ms)

    def _become_leader(self, now_ms: int) -> None:
        self._leader_role = LeaderRole(self._core, now_ms)
        self._membership = MembershipManager(self._core, self._leader_role)
        recent_ms = now_ms - self._core.timing.election_timeout_ms
        for join in self._recent_joins.values():
            if join.received_ms >= recent_ms:
                self._membership.on_join_request(join.sender, join.message, now_ms)
        self._recent_joins.clear()

    def _collect_effects(self) -> Effects:
        if self._core.role != LEADER:
            self._leader_role = self._membership = None
        return self._core.take_effects()

    def _continue_departure(self, now_ms: int) -> None:
        core = self._core
        if self._membership:
            has_successor = self._membership.leave(now_ms)
            self._departure.record_leader(has_successor, now_ms)
        elif core.leader is not None and core.has_recent_leader(now_ms):
            if self._departure.is_request_due(now_ms, core.timing.heartbeat_ms):
                core.send(core.leader, LeaveRequest())
            self._departure.record_leader(True, now_ms)

    def _on_leave_request(
        self, sender: ReplicaId, message: LeaveRequest, now_ms: int
    ) -> None:
        if self._membership:
            self._membership.on_leave_request(sender, message, now_ms)

    def _on_leave_reply(
        self, sender: ReplicaId, message: LeaveReply, now_ms: int
    ) -> None:
        if message.term == self._core.term:
            self._departure.record_leader(False, now_ms)

    def _may_have_been_removed(self, now_ms: int) -> bool:
        """Return whether the other voters may have removed this one."""
        core = self._core
        elapsed_ms = now_ms - core.leader_contact_ms
        is_isolated = (
            core.role != LEADER and elapsed_ms >= core.timing.unresponsive_voter_ms
        )
        return core.timing.target_voters > 0 and is_isolated

    def _send_join_requests(self, now_ms: int) -> None:
        core = self._core
        if core.has_recent_leader(now_ms):
            self._hinted_voters = frozenset()
            return
        if now_ms < self._join_at_ms:
            return
        self._join_at_ms = now_ms + core.timing.heartbeat_ms
        names = {*self._join_targets, *self._hinted_voters, *self._voter_names()}
        for name in sorted(names - {core.own_id.name}):
            core.send(ReplicaId(name, ""), JoinRequest(core.log.last_index))

    def _voter_names(self) -> tuple[str, ...]:
        return tuple(voter.name for voter in self._core.log.voters)

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

    def _accept_reply_term(self, term: int) -> bool:
        """Advance to a later term; return whether this replica leads in ``term``."""
        if term > self._core.term:
            self._core.advance_term(term)
        return self._core.role == LEADER and term == self._core.term

    def _on_append_reply(
        self, sender: ReplicaId, message: AppendReply, now_ms: int
    ) -> None:
        if not self._accept_reply_term(message.term) or not self._leader_role:
            return
        self._leader_role.on_append_reply(sender, message, now_ms)
        if self._membership:
            self._membership.advance(now_ms)

    def _on_snapshot_reply(
        self, sender: ReplicaId, message: SnapshotReply, now_ms: int
    ) -> None:
        if self._accept_reply_term(message.term) and self._leader_role:
            self._leader_role.on_snapshot_reply(sender, message, now_ms)

    def _on_join_request(
        self, sender: ReplicaId, message: JoinRequest, now_ms: int
    ) -> None:
        if self._membership:
            self._membership.on_join_request(sender, message, now_ms)
            return
        self._recent_joins[sender.name] = _ReceivedJoin(sender, message, now_ms)
        if not self._core.is_empty:
            self._core.send(sender, JoinHint(self._voter_names()))

    def _on_join_hint(self, sender: ReplicaId, message: JoinHint, now_ms: int) -> None:
        if not self._hinted_voters.issuperset(message.voters):
            self._hinted_voters |= set(message.voters)
            self._join_at_ms = now_ms

    def _on_disk_refused(
        self, sender: ReplicaId, message: DiskRefused, now_ms: int
    ) -> None:
        core = self._core
        if message.term < core.term or sender != core.leader:
            return
        self._refused = True
        log_event(
            OWN_DISK_REFUSED,
            replica=core.own_id.name,
            disk=core.own_id.disk,
            acknowledged_index=message.acknowledged_index,
            last_index=message.last_index,
        )
