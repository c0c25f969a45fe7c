"""Guards against votes beside a lease, and against ends that are not true any more."""

import random

import pytest

from mustardtrack.agreement import Replica, ReplicaId, StoredState, Timing
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)

A, B, C = (ReplicaId(name, f"{name}.1") for name in "abc")
D = ReplicaId("d", "d.1")
TIMING = Timing(target_voters=3)
TERM = 5
CONTACT_MS = 10_000


def make_replica(own_id):
    replica = Replica(own_id, StoredState(own_id.disk), TIMING, random.Random(1), 0)
    replica.form((A, B, C), 0)
    return replica


def make_follower():
    """Return replica B, in contact with the leader A at ``CONTACT_MS``."""
    follower = make_replica(B)
    heartbeat = AppendRequest(TERM, 1, 1, (), 1, 1, CONTACT_MS)
    follower.receive(A, heartbeat, CONTACT_MS)
    return follower


def elect_leader(now_ms):
    """Return replica B, elected after the end of A, and the effects of its election.

    D has asked it for admission just before.
    """
    replica = make_follower()
    replica.receive(D, JoinRequest(1), now_ms - 1)
    replica.record_end("a", now_ms, now_ms)
    replica.tick(now_ms)
    replica.receive(C, PreVoteReply(TERM + 1, True), now_ms)
    effects = replica.receive(C, VoteReply(TERM + 1, True), now_ms)
    assert replica.status(now_ms).role == "leader"
    return replica, effects


def grants_vote(replica, now_ms):
    """Return whether the replica grants C a pre-vote and its vote."""
    request = PreVoteRequest(TERM + 1, 9, TERM)
    (_, pre_vote) = replica.receive(C, request, now_ms).send[0]
    replies = replica.receive(C, VoteRequest(TERM + 1, 9, TERM), now_ms).send
    return pre_vote == PreVoteReply(TERM + 1, True) and [
        reply for _, reply in replies
    ] == [VoteReply(TERM + 1, True)]


def test_vote_is_granted_at_once_after_the_leader_has_ended():
    """Guards against an election that waits for the lease of an ended process."""
    follower = make_follower()
    now_ms = CONTACT_MS + 5
    assert not grants_vote(make_follower(), now_ms)
    follower.record_end("a", now_ms, now_ms)
    assert grants_vote(follower, now_ms)


@pytest.mark.parametrize(
    ("name", "probed_ms"), [("c", CONTACT_MS + 5), ("a", CONTACT_MS), ("a", 0)]
)
def test_vote_is_withheld_while_the_leader_may_run(name, probed_ms):
    """Guards against a late report of a leader that has been started again."""
    follower = make_follower()
    follower.record_end(name, probed_ms, CONTACT_MS + 5)
    assert not grants_vote(follower, CONTACT_MS + 5)


def test_restarted_replica_withholds_its_vote_from_all():
    """Guards against a restart that forgets which leader the replica replied to."""
    replica = make_replica(B)
    replica.record_end("a", 5, 5)
    assert not grants_vote(replica, 5)


def test_voters_start_elections_one_after_another():
    """Guards against elections at the same time, which split the votes."""
    started_ms = []
    for own_id in (B, C):
        replica = make_replica(own_id)
        replica.receive(A, AppendRequest(TERM, 1, 1, (), 1, 1, CONTACT_MS), CONTACT_MS)
        replica.record_end("a", CONTACT_MS + 5, CONTACT_MS + 5)
        now_ms = CONTACT_MS + 5
        while not any(
            isinstance(message, PreVoteRequest)
            for _, message in replica.tick(now_ms).send
        ):
            now_ms += 1
        started_ms.append(now_ms - CONTACT_MS - 5)
    assert started_ms == [0, TIMING.heartbeat_ms // 2]


def test_new_leader_sends_to_learners_that_asked_its_group_before_the_election():
    """Guards against a learner that has to ask again before it may replace a voter."""
    leader, effects = elect_leader(CONTACT_MS + 5)
    assert D in {receiver for receiver, _ in effects.send}


def test_learner_becomes_a_voter_only_after_it_replied_again():
    """Guards against a vote for a learner that is lost together with the voter."""
    now_ms = CONTACT_MS + 5
    leader, _ = elect_leader(now_ms)
    acknowledge(leader, C, now_ms + 1)
    acknowledge(leader, D, now_ms + 1)
    assert D not in leader.status(now_ms + 1).voters
    acknowledge(leader, D, now_ms + 2)
    assert D in leader.status(now_ms + 2).voters


def acknowledge(leader, sender, now_ms):
    """Let a replica acknowledge all entries and what was sent to it last."""
    progress = leader._leader_role.peers[sender]
    status = leader.status(now_ms)
    reply = AppendReply(
        term=status.term,
        success=True,
        match_index=status.last_index,
        hint_index=status.last_index,
        last_index=status.last_index,
        sequence=progress.sequence,
        sent_ms=now_ms,
    )
    leader.receive(sender, reply, now_ms)
