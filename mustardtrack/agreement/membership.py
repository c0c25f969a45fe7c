"""Voter changes: a learner is promoted to voter before another voter is removed.

Between the two steps a cluster of three has four voters, one of them lost. If a
second voter's disk is lost in that time, no entry is lost but no majority
remains. A voter that stops as planned still votes until it is removed.
"""

from mustardtrack.agreement.core import FOLLOWER, ReplicaCore
from mustardtrack.agreement.diskidentity import read_creation_ms
from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.events import (
    JOIN_REFUSED,
    UNSAFE_VOTER_CHANGE,
    VOTERS_CHANGED,
)
from mustardtrack.agreement.leader import LeaderRole
from mustardtrack.agreement.messages import JoinRequest, LeaveReply, LeaveRequest
from mustardtrack.agreement.voterchange import (
    Member,
    VoterView,
    choose_voter_change,
)
from mustardtrack.logs import log_event, require_invariant


class MembershipManager:
    """Changes the voter set of the leader's cluster, one voter at a time."""

    def __init__(self, core: ReplicaCore, leader_role: LeaderRole):
        self._core = core
        self._leader_role = leader_role
        self._leave_requests: dict[ReplicaId, int] = {}
        # Learner that is to become a voter, and the time at which it was chosen.
        self._candidate: tuple[ReplicaId, int] | None = None

    def on_join_request(
        self, sender: ReplicaId, message: JoinRequest, now_ms: int
    ) -> None:
        """Add a learner for a new disk of a voter or for a new replica."""
        if sender in self._leader_role.peers or sender == self._core.own_id:
            return
        is_known = any(voter.name == sender.name for voter in self._core.log.voters)
        if not is_known and not self._core.timing.target_voters:
            log_event(JOIN_REFUSED, replica=sender.name, disk=sender.disk)
            return
        for learner in self._leader_role.learners():
            if learner.name == sender.name:
                self._leader_role.remove_learner(learner)
        self._leader_role.add_learner(sender, message.last_index, now_ms)

    def on_leave_request(
        self, sender: ReplicaId, message: LeaveRequest, now_ms: int
    ) -> None:
        """Record that a replica is stopping, and tell it if none can replace it."""
        if sender not in self._leader_role.peers:
            return
        self._leave_requests[sender] = now_ms
        if not self._may_have_successor(now_ms):
            self._core.send(sender, LeaveReply(self._core.term))

    def leave(self, now_ms: int) -> bool:
        """Record that the leader is stopping; return whether it may be replaced."""
        self._leave_requests[self._core.own_id] = now_ms
        return self._may_have_successor(now_ms)

    def _may_have_successor(self, now_ms: int) -> bool:
        """Return whether a replica can take the vote of one that leaves.

        A new leader learns of the learners when they ask to join, which they do within
        two election timeouts after the contact with the former leader has ended.
        """
        elapsed_ms = now_ms - self._leader_role.elected_ms
        is_new = elapsed_ms < 2 * self._core.timing.election_timeout_ms
        return is_new or self._view(now_ms).has_successor()

    def advance(self, now_ms: int) -> None:
        """Make one change of the voter set if it is needed and currently safe."""
        core = self._core
        if not self._leader_role.has_committed_in_term:
            return
        if core.log.voters_index > core.commit_index:
            return
        if not core.is_voter:
            # The others elect the next leader; this one has given up its vote.
            core.set_role(FOLLOWER, None)
            return
        self._forget_silent_learners(now_ms)
        change = choose_voter_change(self._view(now_ms))
        if change is None or not change.is_added:
            self._candidate = None
        if change is None:
            return
        if change.is_added:
            if not self._has_confirmed(change.replica, now_ms):
                return
            voters = (*core.log.voters, change.replica)
        else:
            voters = tuple(one for one in core.log.voters if one != change.replica)
        self._propose_voters(voters, now_ms)

    def _has_confirmed(self, learner: ReplicaId, now_ms: int) -> bool:
        """Return whether a learner replied since it was chosen; ask it if it is new.

        A learner may be lost together with the voter that it replaces. If it became a
        voter then, the group would lack a majority.
        """
        if self._candidate is None or self._candidate[0] != learner:
            self._candidate = (learner, now_ms)
            self._leader_role.send_heartbeat(learner, now_ms)
            return False
        acked_ms = self._leader_role.peers[learner].last_acked_send_ms
        return acked_ms is not None and acked_ms >= self._candidate[1]

    def _view(self, now_ms: int) -> VoterView:
        voters = self._core.log.voters
        learners = self._leader_role.learners()
        return VoterView(
            voters=[self._member(voter, False, now_ms) for voter in voters],
            learners=[self._member(learner, True, now_ms) for learner in learners],
            target=self._core.timing.target_voters,
        )

    def _member(self, replica: ReplicaId, is_learner: bool, now_ms: int) -> Member:
        return Member(
            replica,
            is_reachable=self._is_reachable(replica, now_ms),
            is_leaving=self._is_leaving(replica, now_ms),
            is_ready=is_learner and self._is_ready(replica, now_ms),
            is_leader=replica == self._core.own_id,
            created_ms=read_creation_ms(replica.disk),
        )

    def _is_ready(self, learner: ReplicaId, now_ms: int) -> bool:
        """Return whether a learner holds the committed entries and replies at once.

        Until the voter that it replaces is removed, a cluster of three needs three of
        its four voters to commit and stalls if the new disk is lost. The learner must
        therefore have replied within the last two heartbeats.
        """
        progress = self._leader_role.peers[learner]
        if progress.match_index < self._core.commit_index or progress.rolled_back:
            return False
        if self._is_leaving(learner, now_ms):
            return False
        return now_ms - progress.last_reply_ms <= 2 * self._core.timing.heartbeat_ms

    def _is_leaving(self, replica: ReplicaId, now_ms: int) -> bool:
        """Return whether a replica asked to leave within the election timeout.

        A stopping replica repeats its request, so that one that has been restarted
        under the same identity is soon a usual one again.
        """
        asked_ms = self._leave_requests.get(replica)
        if asked_ms is None:
            return False
        return now_ms - asked_ms < self._core.timing.election_timeout_ms

    def _is_reachable(self, replica: ReplicaId, now_ms: int) -> bool:
        """Return whether a replica runs and replied within the election timeout."""
        if replica == self._core.own_id:
            return True
        if replica in self._core.ended:
            return False
        progress = self._leader_role.peers[replica]
        return now_ms - progress.last_reply_ms < self._core.timing.election_timeout_ms

    def _forget_silent_learners(self, now_ms: int) -> None:
        """Stop replicating to learners that ended; one that returns asks to join.

        A removed voter is a learner until then, so that it learns of its removal.
        """
        limit_ms = self._core.timing.unresponsive_voter_ms
        for learner in self._leader_role.learners():
            if now_ms - self._leader_role.peers[learner].last_reply_ms >= limit_ms:
                self._leader_role.remove_learner(learner)

    def _propose_voters(self, voters: tuple[ReplicaId, ...], now_ms: int) -> None:
        core = self._core
        changed = set(voters) ^ set(core.log.voters)
        require_invariant(
            len(changed) == 1 and core.log.voters_index <= core.commit_index,
            UNSAFE_VOTER_CHANGE,
            voters=voters,
            current=core.log.voters,
            voters_index=core.log.voters_index,
        )
        log_event(
            VOTERS_CHANGED,
            term=core.term,
            voters=[f"{voter.name}/{voter.disk}" for voter in voters],
        )
        self._leader_role.change_voters(voters, now_ms)
