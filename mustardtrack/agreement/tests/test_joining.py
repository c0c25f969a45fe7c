"""Tests that replicas with new names join a group and replace lost voters."""

from dataclasses import replace

import pytest

from mustardtrack.testing.disks import MemoryDisk
from mustardtrack.testing.replicas import FAST_TIMING, STEP_MS, Node, ReplicaGroup


def make_group(target, seed=1, seeds=None):
    timing = replace(FAST_TIMING, target_voters=target, unresponsive_voter_ms=900)
    group = ReplicaGroup(3, seed, timing=timing, seeds=seeds)
    group.form()
    leader = group.run_until_leader()
    group.propose(leader.name, [b"x"] * 20)
    group.run(300)
    return group


def add_replica(group, name):
    group.nodes[name] = Node(name, MemoryDisk(name))
    group.start(name)


def voter_names(group):
    leader = group.leader()
    return {voter.name for voter in group.voters(leader)} if leader else set()


def run_until_voters(group, names, limit_ms=20_000):
    for _ in range(limit_ms // STEP_MS):
        if voter_names(group) == set(names):
            return
        group.run(STEP_MS)
    raise AssertionError(f"voters are {voter_names(group)}, not {names}")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_group_grows_to_its_target_and_no_further(seed):
    """Guards against three voters where five are needed to tolerate two losses."""
    group = make_group(5, seed)
    for name in "def":
        add_replica(group, name)
    run_until_voter_count(group, 5)
    group.run(2000)
    assert len(voter_names(group)) == 5


def run_until_voter_count(group, size, limit_ms=20_000):
    for _ in range(limit_ms // STEP_MS):
        if len(voter_names(group)) == size:
            return
        group.run(STEP_MS)
    raise AssertionError(f"voters are {voter_names(group)}")


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_permanently_lost_host_is_replaced_by_a_host_of_another_name(lost):
    group = make_group(3)
    before = dict(group.acknowledged)
    group.lose_disk(lost)
    add_replica(group, "d")
    run_until_voters(group, set("abcd") - {lost})
    second = next(name for name in "abc" if name != lost)
    group.crash(second)
    leader = group.run_until_leader()
    group.propose(leader.name, [b"after"])
    group.run(500)
    assert before.items() <= group.acknowledged.items()
    assert len(group.acknowledged) > len(before)


def test_replaced_voter_that_returns_does_not_vote():
    """Guards against a removed voter that still votes by its outdated voter set."""
    group = make_group(3)
    group.crash("b")
    add_replica(group, "d")
    run_until_voters(group, "acd")
    group.start("b")
    group.run(4000)
    assert voter_names(group) == set("acd")
    returned = group.nodes["b"]
    assert returned.identity not in group.voters(returned)
    assert returned.applied_index >= max(group.acknowledged)


def test_unresponsive_voter_stays_until_a_replacement_joins():
    group = make_group(3)
    group.crash("b")
    group.run(4000)
    assert voter_names(group) == set("abc")


def make_group_led_by_no_seed(seed):
    """Return a group of five whose leader is not among the seeds a, b and c."""
    group = make_group(5, seed, seeds="abc")
    for name in "de":
        add_replica(group, name)
    run_until_voters(group, "abcde")
    group.run(500)
    while group.run_until_leader().name in "abc":
        seed_name = group.leader().name
        group.crash(seed_name)
        group.run(1500)
        group.start(seed_name)
        group.run(1500)
    return group


def run_until_disks_are_voters(group, names, limit_ms=6000):
    """Run until the current disks of the nodes are the only ones under their names."""
    identities = {group.nodes[name].identity for name in names}
    for _ in range(limit_ms // STEP_MS):
        leader = group.leader()
        voters = group.voters(leader) if leader else set()
        if {voter for voter in voters if voter.name in names} == identities:
            return
        group.run(STEP_MS)
    raise AssertionError(f"{identities} are not all voters after {limit_ms} ms")


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("wiped", ["a", "bc", "de"])
def test_wiped_voter_rejoins_under_a_leader_that_is_no_seed(seed, wiped):
    """Guards against a voter that stays lost, so that further losses stop the group."""
    group = make_group_led_by_no_seed(seed)
    wiped = [name for name in wiped if name != group.leader().name]
    for name in wiped:
        group.lose_disk(name)
        group.start(name)
    run_until_disks_are_voters(group, wiped)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_new_host_replaces_a_voter_under_a_leader_that_is_no_seed(seed):
    """Guards against a host that knows only seeds and never finds the leader."""
    group = make_group_led_by_no_seed(seed)
    group.crash("a")
    add_replica(group, "f")
    run_until_voters(group, "bcdef", limit_ms=6000)
