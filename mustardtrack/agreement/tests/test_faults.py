"""Tests of specific faults: lost disks, partitions, pauses, clock drift, long logs."""

import random

import pytest

from mustardtrack.adapters.disk import DiskStorage
from mustardtrack.agreement import (
    Entry,
    Replica,
    ReplicaId,
    SaveEntries,
    SaveVote,
    Timing,
)
from mustardtrack.agreement.entries import encode_voters
from mustardtrack.agreement.events import ACK_BEYOND_SENT_ENTRIES
from mustardtrack.agreement.messages import (
    AppendReply,
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.testing.replicas import FAST_TIMING, STEP_MS, ReplicaGroup


def make_group(size, seed=1, **options):
    group = ReplicaGroup(size, seed, **options)
    group.form()
    leader = group.run_until_leader()
    group.propose(leader.name, [b"x"] * 40)
    group.run(500)
    return group


def replace_disk(group, name):
    group.lose_disk(name)
    group.start(name)


def run_until(group, condition, limit_ms=20_000):
    for _ in range(limit_ms // STEP_MS):
        if condition():
            return
        group.run(STEP_MS)
    raise AssertionError(f"condition not reached after {limit_ms} ms")


def is_repaired(group, name):
    """Return whether the leader committed the removal of the replaced disk."""
    leader = group.leader()
    if leader is None:
        return False
    names = [voter.name for voter in group.voters(leader)]
    is_member = group.nodes[name].identity in group.voters(leader)
    changing = leader.replica._core.log.voters_index > leader.applied_index
    return is_member and names.count(name) == 1 and not changing


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("second_is_leader", [False, True])
def test_second_disk_loss_after_a_completed_repair(size, second_is_leader):
    group = make_group(size)
    leader = group.leader()
    first, *rest = [name for name in group.nodes if name != leader.name]
    replace_disk(group, first)
    run_until(group, lambda: is_repaired(group, first))
    before = dict(group.acknowledged)
    replace_disk(group, leader.name if second_is_leader else rest[0])
    group.heal_and_converge()
    assert before.items() <= group.acknowledged.items()


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("is_same_replica", [False, True])
def test_second_disk_loss_while_the_voter_change_is_in_progress(size, is_same_replica):
    group = make_group(size)
    leader = group.leader()
    first, second, *_ = [name for name in group.nodes if name != leader.name]
    replace_disk(group, first)
    new = group.nodes[first].identity
    run_until(group, lambda: new in group.voters(leader))
    replace_disk(group, first if is_same_replica else second)
    before = dict(group.acknowledged)
    if size == 5:
        group.heal_and_converge()
    else:
        # Two of the four voters are lost permanently: nothing may be committed.
        group.run(10_000)
        assert group.leader() is None
    assert group.acknowledged.items() >= before.items()
    assert leader.applied_index >= max(before)


def test_false_acknowledgement_does_not_promote_a_learner():
    group = make_group(3)
    leader = group.leader()
    lost = next(name for name in group.nodes if name != leader.name)
    group.lose_disk(lost)
    group.run(FAST_TIMING.election_timeout_ms * 2)
    learner = ReplicaId(lost, "new")
    now_ms = group.clock_ms(leader)
    leader.replica.receive(learner, JoinRequest(0), now_ms)
    last = leader.replica.status(now_ms).last_index
    reply = AppendReply(
        term=leader.replica.status(now_ms).term,
        success=True,
        match_index=last,
        hint_index=last,
        last_index=last,
        sequence=1,
        sent_ms=now_ms,
    )
    seen = []

    def record_event(event, fields):
        seen.append(event)

    add_event_listener(record_event)
    try:
        leader.replica.receive(learner, reply, now_ms)
    finally:
        remove_event_listener(record_event)
    group.run(STEP_MS)
    assert ACK_BEYOND_SENT_ENTRIES in seen
    assert learner not in group.voters(leader)


def test_learner_becomes_voter_only_with_all_committed_entries():
    group = make_group(3)
    leader = group.leader()
    replaced = next(name for name in group.nodes if name != leader.name)
    replace_disk(group, replaced)
    group.network.blocked = {(leader.name, replaced)}
    group.run(2000)
    new = group.nodes[replaced].identity
    assert new in leader.replica.status(0).learners
    assert new not in group.voters(leader)
    group.network.blocked = set()
    run_until(group, lambda: new in group.voters(leader))
    stored = group.nodes[replaced].disk.load()
    assert stored.base_index + len(stored.entries) >= max(group.acknowledged)


def test_replica_missed_by_an_interrupted_formation_still_joins():
    group = ReplicaGroup(3, 1)
    voters = tuple(node.identity for node in group.running_nodes())
    for name in "ab":
        node = group.nodes[name]
        node.disk.persist(node.replica.form(voters, 0).persist)
    group.heal_and_converge()
    assert group.nodes["c"].replica.status(0).formed


def test_rolled_back_disk_is_refused_and_replaced():
    group = make_group(3)
    leader = group.leader()
    victim = next(node for node in group.running_nodes() if node is not leader)
    old = victim.identity
    group.crash(victim.name)
    victim.disk.roll_back(2)
    group.start(victim.name)
    run_until(group, lambda: is_repaired(group, victim.name) and victim.identity != old)
    group.heal_and_converge()


@pytest.mark.parametrize("isolation_ms", [1000, 30_000])
def test_reconnected_replica_does_not_raise_the_term(isolation_ms):
    group = make_group(3)
    leader = group.leader()
    term = leader.replica.status(0).term
    isolated = next(name for name in group.nodes if name != leader.name)
    others = set(group.nodes) - {isolated}
    group.network.blocked = {(isolated, other) for other in others}
    group.network.blocked |= {(other, isolated) for other in others}
    group.run(isolation_ms)
    group.network.blocked = set()
    group.run(2000)
    assert group.leader() is leader
    assert {node.replica.status(0).term for node in group.running_nodes()} == {term}


def test_replica_with_a_live_leader_refuses_votes_for_later_terms():
    # Guards against a removed or partly connected replica deposing the leader.
    group = make_group(3)
    leader = group.leader()
    follower, other = [node for node in group.running_nodes() if node is not leader]
    term = leader.replica.status(0).term
    now_ms = group.clock_ms(follower)
    for node in (follower, leader):
        replica = node.replica
        vote = replica.receive(other.identity, VoteRequest(term + 9, 999, 99), now_ms)
        assert vote.send == []
        request = PreVoteRequest(term + 1, 999, 99)
        effects = replica.receive(other.identity, request, now_ms)
        assert effects.send == [(other.identity, PreVoteReply(term, False))]
        assert replica.status(now_ms).term == term


def test_restarted_replica_grants_no_vote_within_the_election_timeout():
    group = make_group(3)
    leader = group.leader()
    node, other = [node for node in group.running_nodes() if node is not leader]
    group.crash(node.name)
    group.start(node.name)
    request = VoteRequest(50, 999, 49)
    started_ms = group.clock_ms(node)
    early_ms = started_ms + FAST_TIMING.election_timeout_ms - 1
    assert node.replica.receive(other.identity, request, early_ms).send == []
    effects = node.replica.receive(other.identity, request, early_ms + 1)
    assert effects.send == [(other.identity, VoteReply(50, True))]


@pytest.mark.parametrize("seed", range(6))
def test_replica_without_acknowledged_entries_is_not_elected(seed):
    group = make_group(3, seed)
    leader = group.leader()
    lagging, current = [node for node in group.running_nodes() if node is not leader]
    for isolated in (lagging, leader):
        others = set(group.nodes) - {isolated.name}
        group.network.blocked = {(isolated.name, other) for other in others}
        group.network.blocked |= {(other, isolated.name) for other in others}
        group.propose(leader.name, [b"acknowledged"])
        group.run(100)
    group.run(FAST_TIMING.lease_ms)
    assert group.run_until_leader() is current


def test_resumed_leader_has_no_lease_and_cannot_commit():
    group = make_group(3)
    old = group.leader()
    old.paused = True
    new = None
    while new in (None, old):
        group.run(STEP_MS)
        new = group.leader()
    assert not old.replica.lease_valid(group.clock_ms(old))
    old.paused = False
    assert group.propose(old.name, [b"late"])
    group.run(1000)
    assert b"late" not in {entry.payload for entry in group.acknowledged.values()}
    assert group.leader() is new


@pytest.mark.parametrize("seed", range(10))
def test_lease_ends_before_the_next_election_with_drifting_clocks(seed):
    group = make_group(3, seed)
    old = group.leader()
    for node in group.running_nodes():
        current_ms = group.clock_ms(node)
        node.clock_rate = 0.955 if node is old else 1.045
        # Changing the rate must not make the clock jump.
        node.clock_start_ms = current_ms - int(group.now_ms * node.clock_rate)
    group.run(1000)
    old = group.run_until_leader()
    others = set(group.nodes) - {old.name}
    group.network.blocked = {(old.name, other) for other in others}
    group.run(5000)
    assert group.leader() not in (None, old)


def test_leader_that_receives_no_replies_steps_down():
    group = make_group(3)
    old = group.leader()
    others = set(group.nodes) - {old.name}
    group.network.blocked = {(other, old.name) for other in others}
    group.run(FAST_TIMING.lease_ms + 2 * STEP_MS)
    assert old.replica.status(0).role != "leader"


@pytest.mark.parametrize("seed", range(10))
def test_leader_that_was_paused_for_less_than_an_election_goes_on(seed):
    """Guards against a sound group without a leader after a slow disk or a full CPU."""
    group = make_group(3, seed)
    leader = group.leader()
    term = leader.replica.status(0).term
    leader.paused = True
    group.run(FAST_TIMING.lease_ms)
    leader.paused = False
    group.run(STEP_MS)
    assert group.propose(leader.name, [b"after"])
    group.run(2 * FAST_TIMING.heartbeat_ms)
    assert b"after" in {entry.payload for entry in group.acknowledged.values()}
    assert group.leader() is leader
    assert leader.replica.status(0).term == term


def test_leader_that_was_paused_for_longer_than_an_election_steps_down_at_once():
    """Guards against a host that takes commands as the leader after another one."""
    group = make_group(3)
    old = group.leader()
    others = set(group.nodes) - {old.name}
    group.network.blocked = {(other, old.name) for other in others}
    old.paused = True
    group.run(3 * FAST_TIMING.election_timeout_ms)
    old.paused = False
    group.run(STEP_MS)
    assert old.replica.status(0).role != "leader"


def test_leader_that_is_paused_again_and_again_without_replies_steps_down():
    """Guards against a leader without a majority that its pauses keep in office."""
    group = make_group(3)
    old = group.leader()
    others = set(group.nodes) - {old.name}
    group.network.blocked = {(other, old.name) for other in others}
    heartbeats = FAST_TIMING.lease_ms // FAST_TIMING.heartbeat_ms
    for _ in range(heartbeats + 2):
        old.paused = True
        group.run(2 * FAST_TIMING.heartbeat_ms)
        old.paused = False
        group.run(STEP_MS)
    assert old.replica.status(0).role != "leader"


def test_chunked_snapshot_reaches_a_lagging_replica_over_a_lossy_network():
    group = make_group(3)
    leader = group.leader()
    lagging = next(name for name in group.nodes if name != leader.name)
    group.crash(lagging)
    for _ in range(10):
        group.propose(leader.name, [b"y"] * 10)
        group.run(100)
    group.sent.clear()
    group.start(lagging)
    group.network.drop_rate = group.network.duplicate_rate = 0.3
    target = leader.applied_index
    run_until(group, lambda: group.nodes[lagging].applied_index >= target)
    chunk_offsets = [
        message.offset
        for _, receiver, message in group.sent
        if isinstance(message, SnapshotChunk) and receiver == lagging
    ]
    assert len(set(chunk_offsets)) > 2
    group.heal_and_converge()


def test_restart_after_ten_thousand_entries_keeps_every_entry():
    timing = Timing(heartbeat_ms=50, election_timeout_ms=300)
    group = ReplicaGroup(3, 1, timing, compact_after=100_000)
    group.form()
    leader = group.run_until_leader()
    for _ in range(100):
        group.propose(leader.name, [b"z" * 100] * 100)
        group.run(STEP_MS)
    group.run(500)
    assert len(group.acknowledged) == 10_000
    for name in group.nodes:
        group.crash(name)
    group.heal_and_converge()
    assert len(group.acknowledged) >= 10_000


def test_disk_log_of_ten_thousand_entries_is_read_by_a_new_process(tmp_path):
    disk = DiskStorage(tmp_path)
    own_id = ReplicaId("a", disk.load().disk)
    disk.persist([SaveEntries((Entry(1, 1, "voters", encode_voters((own_id,))),))])
    for first in range(2, 10_002, 100):
        entries = tuple(
            Entry(1, index, "command", b"z" * 100)
            for index in range(first, first + 100)
        )
        disk.persist([SaveVote(1, own_id), SaveEntries(entries)])
    disk.close()
    replica = Replica(own_id, disk.load(), Timing(), random.Random(1), 0)
    effects = replica.tick(2 * Timing().election_timeout_ms)
    assert [entry.index for entry in effects.committed] == list(range(1, 10_003))
    assert replica.lease_valid(2 * Timing().election_timeout_ms)
