"""Pre-votes, votes and the election timer."""

from mustardtrack.agreement.core import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    PRE_CANDIDATE,
    ReplicaCore,
)
from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.messages import (
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)


class Election:
    """Rules by which a replica asks for votes and gives them."""

    def __init__(self, core: ReplicaCore):
        self._core = core
        self._granted: set[ReplicaId] = set()
        self._ask_again_ms = 0

    def tick(self, now_ms: int) -> bool:
        """Start a pre-vote when the election time has come, repeat open questions.

        The first question is lost while connections are still being opened, as they
        are when all replicas start at once, and a replica may have refused it because
        its promise to the last leader had a moment to run.

        Returns:
            True if this replica has won an election.
        """
        core = self._core
        if core.role == LEADER:
            return False
        if now_ms < core.election_at_ms:
            if now_ms >= self._ask_again_ms:
                self._repeat(now_ms)
            return False
        core.restart_election_timer(now_ms)
        if not core.is_voter:
            core.set_role(FOLLOWER, None)
            return False
        core.set_role(PRE_CANDIDATE, None)
        self._granted = {core.me}
        self._ask(PreVoteRequest, now_ms)
        return self._continue_if_majority(now_ms)

    def on_pre_vote_request(
        self, sender: ReplicaId, message: PreVoteRequest, now_ms: int
    ) -> None:
        """Answer a pre-vote; a replica that hears a leader refuses."""
        core = self._core
        granted = (
            not core.hears_leader(now_ms)
            and message.term > core.term
            and self._is_current(message)
        )
        term = message.term if granted else core.term
        core.send(sender, PreVoteReply(term, granted))

    def on_pre_vote_reply(
        self, sender: ReplicaId, message: PreVoteReply, now_ms: int
    ) -> bool:
        """Count a pre-vote. Returns True if this replica has won an election."""
        core = self._core
        if not message.granted:
            if message.term > core.term:
                core.enter_term(message.term)
            return False
        if core.role != PRE_CANDIDATE or message.term != core.term + 1:
            return False
        self._granted.add(sender)
        return self._continue_if_majority(now_ms)

    def on_vote_request(
        self, sender: ReplicaId, message: VoteRequest, now_ms: int
    ) -> None:
        """Give the vote, or not, without disturbing a leader that is heard."""
        core = self._core
        if core.hears_leader(now_ms):
            return
        if message.term > core.term:
            core.enter_term(message.term)
        granted = (
            message.term == core.term
            and core.voted_for in (None, sender)
            and self._is_current(message)
        )
        if granted and core.voted_for is None:
            core.save_vote(core.term, sender)
        if granted:
            core.restart_election_timer(now_ms)
        core.send(sender, VoteReply(core.term, granted))

    def on_vote_reply(self, sender: ReplicaId, message: VoteReply) -> bool:
        """Count a vote. Returns True if this replica has won an election."""
        core = self._core
        if message.term > core.term:
            core.enter_term(message.term)
            return False
        if core.role != CANDIDATE or message.term != core.term or not message.granted:
            return False
        self._granted.add(sender)
        return self._has_majority()

    def _continue_if_majority(self, now_ms: int) -> bool:
        if not self._has_majority():
            return False
        core = self._core
        core.save_vote(core.term + 1, core.me)
        core.set_role(CANDIDATE, None)
        core.restart_election_timer(now_ms)
        self._granted = {core.me}
        self._ask(VoteRequest, now_ms)
        return self._has_majority()

    def _has_majority(self) -> bool:
        voters = set(self._core.log.voters)
        return len(self._granted & voters) >= self._core.quorum()

    def _repeat(self, now_ms: int) -> None:
        kinds: dict[str, type[PreVoteRequest] | type[VoteRequest]] = {
            PRE_CANDIDATE: PreVoteRequest,
            CANDIDATE: VoteRequest,
        }
        kind = kinds.get(self._core.role)
        if kind is not None:
            self._ask(kind, now_ms)

    def _ask(self, kind: type[PreVoteRequest] | type[VoteRequest], now_ms: int) -> None:
        core = self._core
        self._ask_again_ms = now_ms + core.timing.heartbeat_ms
        term = core.term + 1 if kind is PreVoteRequest else core.term
        request = kind(term, core.log.last_index, core.log.last_term)
        for voter in core.log.voters:
            if voter not in self._granted:
                core.send(voter, request)

    def _is_current(self, message: PreVoteRequest | VoteRequest) -> bool:
        log = self._core.log
        theirs = (message.last_term, message.last_index)
        return theirs >= (log.last_term, log.last_index)
