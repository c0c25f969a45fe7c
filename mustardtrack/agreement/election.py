"""Pre-votes, votes and the election timer."""

from mustardtrack.agreement.core import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    PRE_CANDIDATE,
    ReplicaCore,
)
from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.events import ELECTION_WITHOUT_MAJORITY
from mustardtrack.agreement.messages import (
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from mustardtrack.logs import log_event


class Election:
    """Requests, grants and counts pre-votes and votes."""

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._granted: set[ReplicaId] = set()
        self._resend_at_ms = 0

    def tick(self, now_ms: int) -> bool:
        """Start a pre-vote if the election timer expired, else resend requests.

        Requests that were not granted are resent every heartbeat interval. They may
        have been lost while connections were still being opened, for example when
        all replicas start at once, or refused by a replica that was in contact with
        a leader within its election timeout.

        Returns:
            True if this replica won the election.
        """
        core = self._core
        if core.role == LEADER:
            return False
        if now_ms < core.election_at_ms:
            if now_ms >= self._resend_at_ms:
                self._resend_requests(now_ms)
            return False
        core.restart_election_timer(now_ms)
        if not core.is_voter:
            core.set_role(FOLLOWER, None)
            return False
        if core.role != FOLLOWER:
            self._log_missing_votes()
        core.set_role(PRE_CANDIDATE, None)
        self._granted = {core.own_id}
        self._send_requests(PreVoteRequest, now_ms)
        return self._start_vote_if_majority(now_ms)

    def on_pre_vote_request(
        self, sender: ReplicaId, message: PreVoteRequest, now_ms: int
    ) -> None:
        """Answer a pre-vote request; refuse if a leader was in contact recently."""
        core = self._core
        granted = (
            not core.has_recent_leader(now_ms)
            and message.term > core.term
            and self._is_log_up_to_date(message)
        )
        term = message.term if granted else core.term
        core.send(sender, PreVoteReply(term, granted))

    def on_pre_vote_reply(
        self, sender: ReplicaId, message: PreVoteReply, now_ms: int
    ) -> bool:
        """Count a pre-vote. Returns True if this replica won the election."""
        core = self._core
        if not message.granted:
            if message.term > core.term:
                core.advance_term(message.term)
            return False
        if core.role != PRE_CANDIDATE or message.term != core.term + 1:
            return False
        self._granted.add(sender)
        return self._start_vote_if_majority(now_ms)

    def on_vote_request(
        self, sender: ReplicaId, message: VoteRequest, now_ms: int
    ) -> None:
        """Answer a vote request; ignore it if a leader was in contact recently."""
        core = self._core
        if core.has_recent_leader(now_ms):
            return
        if message.term > core.term:
            core.advance_term(message.term)
        granted = (
            message.term == core.term
            and core.voted_for in (None, sender)
            and self._is_log_up_to_date(message)
        )
        if granted and core.voted_for is None:
            core.save_vote(core.term, sender)
        if granted:
            core.restart_election_timer(now_ms)
        core.send(sender, VoteReply(core.term, granted))

    def on_vote_reply(self, sender: ReplicaId, message: VoteReply) -> bool:
        """Count a vote. Returns True if this replica won the election."""
        core = self._core
        if message.term > core.term:
            core.advance_term(message.term)
            return False
        if core.role != CANDIDATE or message.term != core.term or not message.granted:
            return False
        self._granted.add(sender)
        return self._has_majority()

    def _start_vote_if_majority(self, now_ms: int) -> bool:
        if not self._has_majority():
            return False
        core = self._core
        core.save_vote(core.term + 1, core.own_id)
        core.set_role(CANDIDATE, None)
        core.restart_election_timer(now_ms)
        self._granted = {core.own_id}
        self._send_requests(VoteRequest, now_ms)
        return self._has_majority()

    def _log_missing_votes(self) -> None:
        """Log which voters did not grant the request that has just timed out."""
        core = self._core
        log_event(
            ELECTION_WITHOUT_MAJORITY,
            replica=core.own_id.name,
            term=core.term,
            role=core.role,
            granted=[voter.name for voter in sorted(self._granted)],
            missing=[
                voter.name for voter in core.log.voters if voter not in self._granted
            ],
            quorum=core.quorum(),
        )

    def _has_majority(self) -> bool:
        voters = set(self._core.log.voters)
        return len(self._granted & voters) >= self._core.quorum()

    def _resend_requests(self, now_ms: int) -> None:
        request_types: dict[str, type[PreVoteRequest] | type[VoteRequest]] = {
            PRE_CANDIDATE: PreVoteRequest,
            CANDIDATE: VoteRequest,
        }
        request_type = request_types.get(self._core.role)
        if request_type is not None:
            self._send_requests(request_type, now_ms)

    def _send_requests(
        self, request_type: type[PreVoteRequest] | type[VoteRequest], now_ms: int
    ) -> None:
        core = self._core
        self._resend_at_ms = now_ms + core.timing.heartbeat_ms
        term = core.term + 1 if request_type is PreVoteRequest else core.term
        request = request_type(term, core.log.last_index, core.log.last_term)
        for voter in core.log.voters:
            if voter not in self._granted:
                core.send(voter, request)

    def _is_log_up_to_date(self, message: PreVoteRequest | VoteRequest) -> bool:
        log = self._core.log
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (log.last_term, log.last_index)
