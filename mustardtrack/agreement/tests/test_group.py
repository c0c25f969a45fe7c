"""Tests the consensus invariants under random combinations of faults.

The invariants are checked by ``mustardtrack.testing.replicas`` after each step.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mustardtrack.testing.replicas import ReplicaGroup

NAMES = st.sampled_from("abcde")
# A rate from 0.955 to 1.045 keeps two clocks within 10% of each other.
RATES = st.floats(0.955, 1.045)
DURATIONS_MS = st.sampled_from([10, 50, 200, 500, 1200])


class GroupMachine(RuleBasedStateMachine):
    """Faults and proposals in random order."""

    size = 3

    @initialize(seed=st.integers(0, 2**32), rates=st.lists(RATES, min_size=5))
    def form_group(self, seed, rates):
        """Start from a formed group with a leader."""
        self.group = ReplicaGroup(self.size, seed)
        for node, rate in zip(self.group.nodes.values(), rates, strict=False):
            node.clock_rate = rate
        self.group.form()
        self.group.run_until_leader()

    def node(self, name):
        """Map a name to one of the nodes."""
        return list(self.group.nodes.values())["abcde".index(name) % self.size]

    @rule(count=st.integers(1, 8), duration_ms=DURATIONS_MS)
    def propose_everywhere(self, count, duration_ms):
        """Propose at every node, including a leader that lost its quorum."""
        for name in self.group.nodes:
            payload = f"{name}{self.group.now_ms}".encode()
            self.group.propose(name, [payload] * count)
        self.group.run(duration_ms)

    @rule(duration_ms=DURATIONS_MS)
    def run(self, duration_ms):
        """Advance the time."""
        self.group.run(duration_ms)

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def crash(self, name, duration_ms):
        """Kill a process."""
        self.group.crash(self.node(name).name)
        self.group.run(duration_ms)

    @rule()
    def restart_crashed(self):
        """Start every process that is down."""
        for node in self.group.nodes.values():
            if node.replica is None:
                self.group.start(node.name)

    @rule(name=NAMES)
    def tear_next_write(self, name):
        """Kill a process in the middle of its next write."""
        self.node(name).disk.tear_next_write = True

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def lose_disk(self, name, duration_ms):
        """Replace a disk by an empty one if every voter set keeps a majority."""
        node = self.node(name)
        if self.group.can_lose_disk(node.name):
            self.group.lose_disk(node.name)
            self.group.start(node.name)
            self.group.run(duration_ms)

    @precondition(lambda self: len(self.group.running_nodes()) == self.size)
    @rule(name=NAMES, operations=st.integers(1, 30), duration_ms=DURATIONS_MS)
    def roll_back_disk(self, name, operations, duration_ms):
        """Restore an old disk state while the leader knows the acknowledged index."""
        self.group.heal()
        leader = self.group.run_until_leader()
        self.group.run(500)
        node = self.node(name)
        if leader is not self.group.leader() or leader is node:
            return
        if not self.group.can_lose_disk(node.name):
            return
        identity = node.identity
        acknowledged = leader.replica.status(0).match[identity]
        self.group.crash(node.name)
        node.disk.roll_back(max(0, node.disk.synced_operations - operations))
        self.group.start(node.name)
        is_shorter = node.replica.status(0).last_index < acknowledged
        self.group.run(200)
        if is_shorter:
            assert node.identity != identity, "a rolled-back disk was accepted"
        self.group.run(duration_ms)

    @rule(
        name=NAMES,
        inward=st.booleans(),
        outward=st.booleans(),
        replace_cuts=st.booleans(),
    )
    def cut_links(self, name, inward, outward, replace_cuts):
        """Partition a node in one or both directions, adding to earlier cuts or not.

        If the partition moves from one node to another, the first one reconnects
        without the latest entries at the time when a new leader is elected.
        """
        name = self.node(name).name
        others = set(self.group.nodes) - {name}
        if replace_cuts:
            self.group.network.blocked = set()
        if inward:
            self.group.network.blocked |= {(other, name) for other in others}
        if outward:
            self.group.network.blocked |= {(name, other) for other in others}

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay_ms=st.sampled_from([1, 20, 400]),
    )
    def degrade_network(self, drop, duplicate, delay_ms):
        """Drop, duplicate and reorder messages."""
        # Message delays are independent, so a longer maximum reorders messages.
        self.group.network.drop_rate = drop
        self.group.network.duplicate_rate = duplicate
        self.group.network.max_delay_ms = delay_ms

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def pause(self, name, duration_ms):
        """Pause a process; its messages stay queued."""
        node = self.node(name)
        node.paused = True
        self.group.run(duration_ms)
        node.paused = False

    @rule()
    def heal(self):
        """Repair all faults."""
        self.group.heal()

    def teardown(self):
        """Check that the group recovers with every acknowledged entry."""
        if hasattr(self, "group"):
            self.group.heal_and_converge()


class GroupOfFiveMachine(GroupMachine):
    """The same faults with five replicas."""

    size = 5


@pytest.mark.parametrize("machine", [GroupMachine, GroupOfFiveMachine])
def test_invariants_hold_under_random_faults(machine):
    run_state_machine_as_test(
        machine, settings=settings(max_examples=60, stateful_step_count=30)
    )
