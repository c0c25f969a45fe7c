"""Guards against lost entries, invalid leaders and disrupted elections."""

import random

import pytest

from mustardtrack.agreement import (
    Entry,
    FormationRefusedError,
    NotLeader,
    Replica,
    ReplicaId,
    SaveEntries,
    SaveVote,
    StoredState,
    Timing,
    merge_effects,
    plan_formation,
)
from mustardtrack.agreement.entries import encode_voters
from mustardtrack.agreement.events import (
    COMMITTED_ENTRY_REMOVED,
    LOG_GAP,
    SNAPSHOT_NOT_COMMITTED,
    TWO_LEADERS_IN_TERM,
)
from mustardtrack.agreement.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from mustardtrack.logs import InvariantViolationError
from mustardtrack.ports import FormReply
from mustardtrack.testing.replicas import ReplicaGroup

A, B, C = (ReplicaId(name, f"{name}.1") for name in "abc")


def make_group(size=3, seed=1):
    group = ReplicaGroup(size, seed)
    group.form()
    group.run_until_leader()
    return group


def make_replica(own_id=A, voters=(A, B, C), now_ms=0):
    replica = Replica(
        own_id, StoredState(own_id.disk), Timing(), random.Random(1), now_ms
    )
    replica.form(voters, now_ms)
    return replica


def make_leader(now_ms, stored=None):
    """Return a leader of A, B and C, elected by B at ``now_ms``, in term 5."""
    stored = stored or StoredState(A.disk, term=4)
    replica = Replica(A, stored, Timing(), random.Random(1), now_ms - 2000)
    replica.form((A, B, C), now_ms - 4000)
    replica.tick(now_ms)
    replica.receive(B, PreVoteReply(5, True), now_ms)
    replica.receive(B, VoteReply(5, True), now_ms)
    assert replica.status(now_ms).role == "leader"
    return replica


def make_append_reply(match_index, sent_ms, sequence=1):
    return AppendReply(5, True, match_index, 0, match_index, sequence, sent_ms)


@pytest.mark.parametrize("size", [1, 3, 5])
def test_proposals_reach_every_replica(size):
    group = make_group(size)
    leader = group.leader()
    accepted = group.propose(leader.name, [b"x", b"y"])
    group.run(300)
    assert [group.values[item.index].payload for item in accepted] == [b"x", b"y"]
    assert set(group.acknowledged) == {item.index for item in accepted}
    assert {node.applied_index for node in group.running_nodes()} == {
        accepted[-1].index
    }


def test_follower_names_the_leader():
    group = make_group()
    leader = group.leader()
    follower = next(node for node in group.running_nodes() if node is not leader)
    result, _ = follower.replica.propose(b"x", group.clock_ms(follower))
    assert result == NotLeader(leader.identity)


def test_entry_is_not_committed_without_a_majority():
    group = make_group()
    leader = group.leader()
    others = [name for name in group.nodes if name != leader.name]
    for name in others:
        group.crash(name)
    accepted = group.propose(leader.name, [b"x"])
    group.run(3000)
    assert accepted and not group.acknowledged
    assert group.leader() is None


def test_batch_of_proposals_is_one_write_and_one_message_per_peer():
    group = make_group()
    leader = group.leader()
    group.run(100)
    now_ms = group.clock_ms(leader)
    merged = merge_effects(
        [leader.replica.propose(b"%d" % n, now_ms)[1] for n in range(16)]
    )
    assert len(merged.persist) == 1
    assert len(merged.persist[0].entries) == 16
    assert merged.needs_sync
    receivers = [receiver for receiver, _ in merged.send]
    assert len(receivers) == len(set(receivers)) == 2
    assert all(len(message.entries) == 16 for _, message in merged.send)


def test_vote_is_granted_once_per_term_and_survives_restart():
    replica = make_replica(C)
    later_ms = Timing().election_timeout_ms
    request = VoteRequest(term=5, last_index=9, last_term=4)
    effects = replica.receive(A, request, later_ms)
    assert SaveVote(5, A) in effects.persist and effects.needs_sync
    effects = replica.receive(B, request, later_ms)
    assert effects.send == [(B, VoteReply(5, False))]
    stored = StoredState(C.disk, term=5, voted_for=A)
    replica = Replica(C, stored, Timing(), random.Random(1), 0)
    effects = replica.receive(B, request, later_ms)
    assert effects.send == [(B, VoteReply(5, False))]


def test_candidate_with_shorter_log_gets_no_vote():
    replica = make_replica(C)
    request = VoteRequest(term=5, last_index=0, last_term=0)
    effects = replica.receive(A, request, 1000)
    assert effects.send == [(A, VoteReply(5, False))]


def test_entry_of_an_earlier_term_commits_only_with_one_of_this_term():
    # An entry of an earlier term on a majority can still be overwritten by a
    # later leader.
    voters = Entry(1, 1, "voters", encode_voters((A, B, C)))
    old = Entry(2, 2, "command", b"old")
    stored = StoredState(A.disk, term=4, entries=[voters, old])
    leader = make_leader(10_000, stored)
    assert leader.receive(B, make_append_reply(2, 10_000), 10_010).committed == []
    committed = leader.receive(B, make_append_reply(3, 10_000), 10_020).committed
    assert [entry.index for entry in committed] == [1, 2, 3]


def test_lease_counts_from_the_time_the_acknowledged_message_was_sent():
    leader = make_leader(10_000)
    lease_ms = Timing().lease_ms
    leader.receive(B, make_append_reply(2, 10_000), 10_000 + lease_ms - 1)
    assert leader.lease_valid(10_000 + lease_ms - 1)
    assert not leader.lease_valid(10_000 + lease_ms)


def test_lease_ends_before_any_follower_may_vote_with_clocks_ten_percent_apart():
    leader = make_leader(10_000)
    leader.receive(B, make_append_reply(2, 10_000), 10_000)
    lease_ms = next(ms for ms in range(9999) if not leader.lease_valid(10_000 + ms))
    follower = make_replica(C, now_ms=0)
    follower.receive(A, AppendRequest(5, 1, 1, (), 0, 1, 0), 5000)
    request = VoteRequest(6, 9, 5)
    no_vote_ms = next(
        ms for ms in range(9999) if follower.receive(B, request, 5000 + ms).send
    )
    slow_rate, fast_rate = 0.955, 1.045
    assert lease_ms / slow_rate < no_vote_ms / fast_rate


def test_lease_needs_a_committed_entry_of_the_own_term():
    # A new leader may not yet know which earlier entries are committed.
    leader = make_leader(10_000)
    leader.receive(B, make_append_reply(1, 10_000), 10_000)
    assert not leader.lease_valid(10_001)


def test_conflicting_entries_are_replaced():
    replica = make_replica(C)
    old = Entry(1, 2, "command", b"old")
    new = Entry(3, 2, "command", b"new")
    replica.receive(A, AppendRequest(2, 1, 1, (old,), 0, 1, 0), 10)
    effects = replica.receive(B, AppendRequest(3, 1, 1, (new,), 2, 1, 0), 20)
    assert effects.persist[-1] == SaveEntries((new,))
    assert effects.committed[-1] == new


def test_entries_after_a_conflicting_entry_are_rejected():
    follower = make_replica(C)
    old = tuple(Entry(2, index, "command", b"old") for index in (2, 3))
    follower.receive(A, AppendRequest(2, 1, 1, old, 0, 1, 0), 10)
    later = (Entry(3, 4, "command", b"new"),)
    effects = follower.receive(B, AppendRequest(3, 3, 3, later, 4, 1, 0), 20)
    assert effects.send[0][1] == AppendReply(3, False, 0, 1, 3, 1, 0)
    assert effects.committed == []


def test_entries_that_the_leader_has_not_confirmed_are_not_committed():
    follower = make_replica(C)
    old = tuple(Entry(2, index, "command", b"old") for index in (2, 3, 4))
    follower.receive(A, AppendRequest(2, 1, 1, old, 0, 1, 0), 10)
    effects = follower.receive(B, AppendRequest(3, 2, 2, (), 4, 1, 0), 20)
    assert [entry.index for entry in effects.committed] == [1, 2]


def test_voter_set_of_a_removed_entry_is_no_longer_in_force():
    follower = make_replica(C)
    change = Entry(2, 2, "voters", encode_voters((A, C)))
    follower.receive(A, AppendRequest(2, 1, 1, (change,), 0, 1, 0), 10)
    assert follower.status(10).voters == (A, C)
    other = Entry(3, 2, "noop", b"")
    follower.receive(B, AppendRequest(3, 1, 1, (other,), 0, 1, 0), 20)
    assert follower.status(20).voters == (A, B, C)


def test_snapshot_of_uncommitted_entries_is_an_invariant_violation():
    leader = make_leader(10_000)
    with pytest.raises(InvariantViolationError) as caught:
        leader.compact(2, b"state")
    assert caught.value.event == SNAPSHOT_NOT_COMMITTED


@pytest.mark.parametrize(
    ("sender", "term", "indexes", "event"),
    [
        (A, 3, (2,), COMMITTED_ENTRY_REMOVED),
        (B, 2, (2,), TWO_LEADERS_IN_TERM),
        (A, 2, (2, 3, 5), LOG_GAP),
    ],
)
def test_impossible_append_request_stops_the_replica(sender, term, indexes, event):
    follower = make_replica(C)
    first = (Entry(2, 2, "command", b"first"),)
    follower.receive(A, AppendRequest(2, 1, 1, first, 2, 1, 0), 10)
    entries = tuple(Entry(term, index, "command", b"x") for index in indexes)
    with pytest.raises(InvariantViolationError) as caught:
        follower.receive(sender, AppendRequest(term, 1, 1, entries, 2, 2, 0), 20)
    assert caught.value.event == event


def test_live_voter_is_not_replaced_by_another_process_with_its_name():
    leader = make_leader(10_000)
    leader.receive(B, make_append_reply(2, 10_000), 10_000)
    copy = ReplicaId("b", "copy")
    sent = leader.receive(copy, JoinRequest(0), 10_010).send
    assert [receiver for receiver, _ in sent] == [copy]
    leader.receive(copy, make_append_reply(2, 10_010), 10_020)
    assert leader.status(10_020).match[copy] == 2
    assert leader.status(10_020).voters == (A, B, C)


def test_delayed_snapshot_does_not_revert_applied_entries():
    follower = make_replica(C)
    entries = tuple(Entry(2, index, "command", b"x") for index in range(2, 9))
    follower.receive(A, AppendRequest(2, 1, 1, entries, 8, 1, 0), 10)
    chunk = SnapshotChunk(2, 5, 2, (A, B, C), 0, b"state", True, 2, 0)
    effects = follower.receive(A, chunk, 20)
    assert effects.snapshot_to_install is None and not effects.persist
    assert follower.status(20).commit_index == 8


@pytest.mark.parametrize(
    ("replies", "reason"),
    [
        ([("a", "1", False, [])], "did not reply"),
        ([("a", "1", False, []), ("b", "2", True, [("b", "2")])], "another formation"),
        ([("a", "1", False, []), ("z", "2", False, [])], "did not reply"),
    ],
)
def test_formation_is_refused_unless_all_disks_match(replies, reason):
    with pytest.raises(FormationRefusedError, match=reason):
        plan_formation(["a", "b"], [FormReply(*reply) for reply in replies])


def test_interrupted_formation_can_be_repeated():
    pairs = [("a", "1"), ("b", "2")]
    replies = [FormReply("a", "1", True, pairs), FormReply("b", "2", False)]
    voters = plan_formation(["b", "a"], replies)
    replica = Replica(voters[0], StoredState("1"), Timing(), random.Random(1), 0)
    assert replica.form(voters, 0).persist
    assert not replica.form(voters, 0).persist
    with pytest.raises(FormationRefusedError, match="another formation"):
        replica.form((voters[0],), 0)


def test_lost_pre_vote_request_is_resent_before_the_next_election():
    """Guards against a wait of an election timeout when all replicas start at once.

    Requests sent while connections are still being opened are lost.
    """
    timing = Timing()
    stored = StoredState(A.disk, term=5)
    replica = Replica(A, stored, timing, random.Random(1), 0)
    replica.form((A, B, C), 0)
    now_ms = 0
    sent_at_ms = []
    while len(sent_at_ms) < 4:
        now_ms += 10
        effects = replica.tick(now_ms)
        if any(isinstance(message, PreVoteRequest) for _, message in effects.send):
            sent_at_ms.append(now_ms)
    assert sent_at_ms[0] <= 1.5 * timing.election_timeout_ms
    assert sent_at_ms[3] - sent_at_ms[0] <= 3 * timing.heartbeat_ms + 10


def test_pre_vote_request_is_not_resent_to_a_voter_that_granted():
    timing = Timing()
    replica = Replica(A, StoredState(A.disk, term=5), timing, random.Random(1), 0)
    five = (A, B, C, ReplicaId("d", "disk-d"), ReplicaId("e", "disk-e"))
    replica.form(five, 0)
    now_ms = 2 * timing.election_timeout_ms
    replica.tick(now_ms)
    replica.receive(B, PreVoteReply(6, True), now_ms)
    effects = replica.tick(now_ms + timing.heartbeat_ms)
    assert B not in [receiver for receiver, _ in effects.send]
    assert len(effects.send) == 3
