"""Replacement of lost disks and hosts: learners become voters, then old ones leave.

Between the two steps a group of three has four voters, one of them lost. If a
second voter's disk is lost in that time, no entry is lost but no majority
remains.
"""

from mustardtrack.agreement.core import ReplicaCore
from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.events import (
    JOIN_REFUSED,
    VOTERS_CHANGE_UNSAFE,
    VOTERS_CHANGED,
)
from mustardtrack.agreement.leading import Leading
from mustardtrack.agreement.messages import JoinRequest
from mustardtrack.logs import log_event, require_invariant


class Replacement:
    """Voter changes of one leader, one voter at a time."""

    def __init__(self, core: ReplicaCore, leading: Leading):
        self._core = core
        self._leading = leading

    def on_join_request(
        self, sender: ReplicaId, message: JoinRequest, now_ms: int
    ) -> None:
        """Start to replicate to a new disk of a voter, or to a new replica."""
        if sender in self._leading.peers or sender == self._core.me:
            return
        is_known = any(voter.name == sender.name for voter in self._core.log.voters)
        if not is_known and not self._core.timing.target_voters:
            log_event(JOIN_REFUSED, replica=sender.name, disk=sender.disk)
            return
        for learner in self._leading.learners():
            if learner.name == sender.name:
                self._leading.remove_learner(learner)
        self._leading.add_learner(sender, message.last_index, now_ms)

    def advance(self, now_ms: int) -> None:
        """Take the next step of a replacement if it is safe now."""
        core = self._core
        if not self._leading.has_committed_in_term:
            return
        if core.log.voters_index > core.commit_index:
            return
        replaced = self._replaced_voter() or self._surplus_voter(now_ms)
        if replaced is not None:
            voters = tuple(voter for voter in core.log.voters if voter != replaced)
            self._change(voters, now_ms)
            self._leading.remove_learner(replaced)
            return
        for learner in self._leading.learners():
            if self._may_become_voter(learner, now_ms):
                self._change((*core.log.voters, learner), now_ms)
                return

    def _replaced_voter(self) -> ReplicaId | None:
        """Return the earlier of two voters with the same name."""
        newest: dict[str, ReplicaId] = {}
        for voter in self._core.log.voters:
            if voter.name in newest:
                return newest[voter.name]
            newest[voter.name] = voter
        return None

    def _surplus_voter(self, now_ms: int) -> ReplicaId | None:
        """Return a silent voter beyond the target size."""
        voters = self._core.log.voters
        target = self._core.timing.target_voters
        if not target or len(voters) <= target:
            return None
        return next((one for one in voters if self._is_silent(one, now_ms)), None)

    def _is_silent(self, voter: ReplicaId, now_ms: int) -> bool:
        if voter == self._core.me:
            return False
        silence_ms = now_ms - self._leading.peers[voter].heard_ms
        return silence_ms >= self._core.timing.silent_voter_ms

    def _has_place(self, learner: ReplicaId, now_ms: int) -> bool:
        """Return whether the group has a place for a replica of a new name."""
        voters = self._core.log.voters
        if any(voter.name == learner.name for voter in voters):
            return True
        target = self._core.timing.target_voters
        if len(voters) < target:
            return True
        silent = any(self._is_silent(voter, now_ms) for voter in voters)
        return len(voters) == target and silent

    def _may_become_voter(self, learner: ReplicaId, now_ms: int) -> bool:
        progress = self._leading.peers[learner]
        if not self._has_place(learner, now_ms):
            return False
        if progress.match_index < self._core.commit_index or progress.rolled_back:
            return False
        # Until the old identity is removed, three of four voters must commit. If
        # the new disk is lost in that time, a group of three stalls, so that it
        # must have replied just before.
        if now_ms - progress.heard_ms > 2 * self._core.timing.heartbeat_ms:
            return False
        voters = self._core.log.voters
        old = [voter for voter in voters if voter.name == learner.name]
        if any(self._is_heard(voter, now_ms) for voter in old):
            return False
        # The larger set must have a working majority, or nothing commits any more.
        heard = [voter for voter in (*voters, learner) if self._is_heard(voter, now_ms)]
        return len(heard) >= (len(voters) + 1) // 2 + 1

    def _is_heard(self, voter: ReplicaId, now_ms: int) -> bool:
        if voter == self._core.me:
            return True
        progress = self._leading.peers[voter]
        return now_ms - progress.heard_ms < self._core.timing.election_timeout_ms

    def _change(self, voters: tuple[ReplicaId, ...], now_ms: int) -> None:
        core = self._core
        changed = set(voters) ^ set(core.log.voters)
        require_invariant(
            len(changed) == 1 and core.log.voters_index <= core.commit_index,
            VOTERS_CHANGE_UNSAFE,
            voters=voters,
            current=core.log.voters,
            voters_index=core.log.voters_index,
        )
        log_event(
            VOTERS_CHANGED,
            term=core.term,
            voters=[f"{voter.name}/{voter.disk}" for voter in voters],
        )
        self._leading.change_voters(voters, now_ms)
