"""Voter changes: a learner is promoted to voter before a lost voter is removed.

Between the two steps a cluster of three has four voters, one of them lost. If a
second voter's disk is lost in that time, no entry is lost but no majority
remains.
"""

from mustardtrack.agreement.core import ReplicaCore
from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.events import (
    JOIN_REFUSED,
    UNSAFE_VOTER_CHANGE,
    VOTERS_CHANGED,
)
from mustardtrack.agreement.leader import LeaderRole
from mustardtrack.agreement.messages import JoinRequest
from mustardtrack.logs import log_event, require_invariant


class MembershipManager:
    """Changes the voter set of the leader's cluster, one voter at a time."""

    def __init__(self, core: ReplicaCore, leader_role: LeaderRole):
        self._core = core
        self._leader_role = leader_role

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

    def advance(self, now_ms: int) -> None:
        """Add or remove one voter if it is needed and currently safe."""
        core = self._core
        if not self._leader_role.has_committed_in_term:
            return
        if core.log.voters_index > core.commit_index:
            return
        removed = self._replaced_voter() or self._surplus_voter(now_ms)
        if removed is not None:
            voters = tuple(voter for voter in core.log.voters if voter != removed)
            self._propose_voters(voters, now_ms)
            self._leader_role.remove_learner(removed)
            return
        for learner in self._leader_role.learners():
            if self._may_become_voter(learner, now_ms):
                self._propose_voters((*core.log.voters, learner), now_ms)
                return

    def _replaced_voter(self) -> ReplicaId | None:
        """Return the older of two voters with the same name."""
        newest: dict[str, ReplicaId] = {}
        for voter in self._core.log.voters:
            if voter.name in newest:
                return newest[voter.name]
            newest[voter.name] = voter
        return None

    def _surplus_voter(self, now_ms: int) -> ReplicaId | None:
        """Return an unresponsive voter if there are more voters than the target."""
        voters = self._core.log.voters
        target = self._core.timing.target_voters
        if not target or len(voters) <= target:
            return None
        return next(
            (voter for voter in voters if self._is_unresponsive(voter, now_ms)), None
        )

    def _is_unresponsive(self, voter: ReplicaId, now_ms: int) -> bool:
        """Return whether a voter sent no reply for ``unresponsive_voter_ms``."""
        if voter == self._core.own_id:
            return False
        elapsed_ms = now_ms - self._leader_role.peers[voter].last_reply_ms
        return elapsed_ms >= self._core.timing.unresponsive_voter_ms

    def _has_vacancy(self, learner: ReplicaId, now_ms: int) -> bool:
        """Return whether the learner may fill a vacancy or replace a voter."""
        voters = self._core.log.voters
        if any(voter.name == learner.name for voter in voters):
            return True
        target = self._core.timing.target_voters
        if len(voters) < target:
            return True
        has_unresponsive = any(self._is_unresponsive(voter, now_ms) for voter in voters)
        return len(voters) == target and has_unresponsive

    def _may_become_voter(self, learner: ReplicaId, now_ms: int) -> bool:
        progress = self._leader_role.peers[learner]
        if not self._has_vacancy(learner, now_ms):
            return False
        if progress.match_index < self._core.commit_index or progress.rolled_back:
            return False
        # Until the old voter is removed, a cluster of three needs three of its
        # four voters to commit and stalls if the new disk is lost. The learner must
        # therefore have replied within the last two heartbeats.
        if now_ms - progress.last_reply_ms > 2 * self._core.timing.heartbeat_ms:
            return False
        voters = self._core.log.voters
        same_name = [voter for voter in voters if voter.name == learner.name]
        if any(self._is_reachable(voter, now_ms) for voter in same_name):
            return False
        # Without a reachable majority of the larger set nothing could be committed.
        reachable = [
            voter for voter in (*voters, learner) if self._is_reachable(voter, now_ms)
        ]
        return len(reachable) >= (len(voters) + 1) // 2 + 1

    def _is_reachable(self, voter: ReplicaId, now_ms: int) -> bool:
        """Return whether a voter replied within the election timeout."""
        if voter == self._core.own_id:
            return True
        progress = self._leader_role.peers[voter]
        return now_ms - progress.last_reply_ms < self._core.timing.election_timeout_ms

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
