"""Guards against a removed host and a lost disk that leave a group without a leader.

A removed host does not count as lost once its successor has caught up, so that the
group has to bear the loss of another host's disk besides.
"""

import pytest

from mustardtrack.agreement import Timing
from mustardtrack.testing.disks import MemoryDisk
from mustardtrack.testing.replicas import Node, ReplicaGroup

TIMING = Timing(
    heartbeat_ms=100,
    election_timeout_ms=600,
    max_append_bytes=64,
    max_in_flight_entries=16,
    snapshot_chunk_bytes=48,
    retained_entries=4,
    target_voters=3,
)
CAUGHT_UP_MS = 5000
DOWN_MS = 1000
# contact-ms and ack-timeout-ms.
ACKNOWLEDGED_WITHIN_MS = 3000 + 4000
OLD = "abc"
ROLES = ("leader", "voter", "learner", "successor")
PAIRS = [(removed, lost) for removed in ROLES[:3] for lost in ROLES if lost != removed]
# Time in which the end of a process, or the silence of a host, changes the votes. A
# silent voter is noticed after an election timeout; a silent leader is replaced by an
# election first.
KILLED_GAP_MS = 300
SILENT_GAPS_MS = {"learner": (0, 100), "voter": (1000,), "leader": (2500,)}


def start_group(seed, successors):
    """Return a group of three old hosts and successors that have caught up."""
    group = ReplicaGroup(3, seed, timing=TIMING, reports_ends=True)
    group.form()
    group.propose(group.run_until_leader().name, [b"x"] * 20)
    group.run(300)
    add_hosts(group, successors)
    return group


def add_hosts(group, names):
    for name in names:
        group.nodes[name] = Node(name, MemoryDisk(name, created_ms=group.now_ms))
        group.start(name)
    group.run(CAUGHT_UP_MS)


def assign_roles(group):
    """Return the hosts of a group with one successor by what they do."""
    leader = group.run_until_leader()
    voters = {voter.name for voter in group.voters(leader)}
    (learner,) = set(OLD) - voters
    (voter,) = set(OLD) - {learner, leader.name}
    names = (leader.name, voter, learner, "d")
    return dict(zip(ROLES, names, strict=True))


def lose_and_restart(group, name):
    group.lose_disk(name)
    group.run(DOWN_MS)
    group.start(name)


def assert_changes_are_acknowledged(group):
    """Check that a change is acknowledged; the group checks that none is missing."""
    leader = group.run_until_leader(ACKNOWLEDGED_WITHIN_MS)
    count = len(group.acknowledged)
    group.propose(leader.name, [b"after"])
    group.run(500)
    assert len(group.acknowledged) == count + 1


def test_successor_votes_in_place_of_the_oldest_host():
    """Guards against a successor that follows for good and has no vote."""
    group = start_group(1, "d")
    voters = group.voters(group.run_until_leader())
    assert len(voters) == 3
    assert "d" in {voter.name for voter in voters}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("gap_ms", [KILLED_GAP_MS, 600, 1000])
@pytest.mark.parametrize(("removed", "lost"), PAIRS)
def test_disk_is_lost_after_a_host_was_killed_for_good(removed, lost, gap_ms, seed):
    """Guards against an end of a process that is noticed as late as a silent host."""
    group = start_group(seed, "d")
    names = assign_roles(group)
    group.remove(names[removed])
    group.run(gap_ms)
    lose_and_restart(group, names[lost])
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("removed", "lost", "gap_ms"),
    [
        (removed, lost, gap_ms)
        for removed, lost in PAIRS
        for gap_ms in SILENT_GAPS_MS[removed]
    ],
)
def test_disk_is_lost_after_a_host_went_silent(removed, lost, gap_ms, seed):
    """Guards against a vote for a learner that is silent since the voter is lost."""
    group = start_group(seed, "d")
    names = assign_roles(group)
    group.remove(names[removed], is_dark=True)
    group.run(gap_ms)
    lose_and_restart(group, names[lost])
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("is_dark", [False, True])
@pytest.mark.parametrize("gap_ms", [0, 300])
def test_three_hosts_with_successors_are_removed_at_once(gap_ms, is_dark, seed):
    """Guards against three successors of which two vote beside three old hosts."""
    group = start_group(seed, "def")
    for name in OLD:
        group.remove(name, is_dark)
        group.run(gap_ms)
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("lost", "def")
def test_disk_of_a_successor_is_lost_after_three_hosts_were_removed(lost, seed):
    """Guards against removed hosts that still count as voters."""
    group = start_group(seed, "def")
    for name in OLD:
        group.remove(name)
    group.run(KILLED_GAP_MS)
    lose_and_restart(group, lost)
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("removed", "lost"), PAIRS)
def test_second_exchange_is_borne_like_the_first(removed, lost, seed):
    """Guards against a first exchange that leaves the votes with old hosts."""
    group = start_group(seed, "d")
    group.remove(assign_roles(group)["leader"])
    add_hosts(group, "e")
    leader = group.run_until_leader().name
    voters = {voter.name for voter in group.voters(group.nodes[leader])}
    (learner,) = group.nodes.keys() - voters
    (voter,) = voters - {leader, "e"}
    assert leader != "e"
    names = dict(zip(ROLES, (leader, voter, learner, "e"), strict=True))
    group.remove(names[removed])
    group.run(KILLED_GAP_MS)
    lose_and_restart(group, names[lost])
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_processes_start_again_between_a_removal_and_a_loss(seed):
    """Guards against restarted voters that wait for a host that is gone."""
    group = start_group(seed, "d")
    names = assign_roles(group)
    group.remove(names["voter"])
    group.run(KILLED_GAP_MS)
    running = sorted(group.nodes)
    for name in running:
        group.crash(name)
    for name in running:
        group.start(name)
    group.run(ACKNOWLEDGED_WITHIN_MS)
    lose_and_restart(group, names["leader"])
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_host_is_removed_during_a_split(seed):
    """Guards against an end that is reported to one half of a split only."""
    group = start_group(seed, "d")
    names = assign_roles(group)
    for one in (names["leader"], names["successor"]):
        for other in (names["voter"], names["learner"]):
            group.network.blocked |= {(one, other), (other, one)}
    group.run(1000)
    group.remove(names["voter"])
    group.run(1000)
    group.network.blocked.clear()
    group.run(SILENT_GAPS_MS["voter"][0])
    lose_and_restart(group, names["successor"])
    assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", range(1, 9))
def test_killed_processes_cause_one_election_each(seed):
    """Guards against votes that are split when all voters notice an end at once."""
    group = ReplicaGroup(3, seed, timing=TIMING, reports_ends=True)
    group.form()
    leader = group.run_until_leader()
    term = leader.replica.status(group.clock_ms(leader)).term
    group.run(500)
    group.crash(leader.name)
    successor = group.run_until_leader(KILLED_GAP_MS)
    assert successor.replica.status(group.clock_ms(successor)).term == term + 1


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("pause_ms", [200, 500, 1500])
def test_frozen_and_restarted_hosts_leave_invariants_in_force(pause_ms, seed):
    """Guards against a vote beside the lease of a leader that was started again."""
    group = start_group(seed, "d")
    for _ in range(6):
        leader = group.run_until_leader()
        others = sorted(group.nodes.keys() - {leader.name})
        frozen = group.nodes[group.rng.choice(others)]
        frozen.paused = True
        group.run(50)
        group.crash(leader.name)
        group.run(group.rng.choice([10, 100]))
        group.start(leader.name)
        group.run(pause_ms)
        frozen.paused = False
        assert_changes_are_acknowledged(group)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("lost", ["d", "e", "kept"])
@pytest.mark.parametrize("kept", ["leader", "other"])
def test_disk_is_lost_after_two_hosts_with_successors_were_removed(kept, lost, seed):
    """Guards against one of two successors that is lost while votes still move."""
    group = start_group(seed, "de")
    leader = group.run_until_leader().name
    kept_host = leader if kept == "leader" else min(set(OLD) - {leader})
    for name in sorted(set(OLD) - {kept_host}):
        group.remove(name)
    group.run(KILLED_GAP_MS)
    lose_and_restart(group, kept_host if lost == "kept" else lost)
    assert_changes_are_acknowledged(group)
