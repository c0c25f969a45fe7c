"""Tests that acknowledged entries survive losses aimed at the disks that hold them.

A group of five voters, formed by three seeds, tolerates two lost disks at once. All
other replicas may lose power at the same moment.
"""

import random

import pytest

from mustardtrack.agreement import Timing
from mustardtrack.testing.disks import MemoryDisk
from mustardtrack.testing.replicas import STEP_MS, Node, ReplicaGroup

TOLERATED_LOSSES = 2
# A host counts as lost for this long after it is back.
CATCH_UP_MS = 6000
# The group serves again at the latest this long after all hosts are back.
RECOVERY_MS = 15_000
TIMING = Timing(
    heartbeat_ms=100,
    election_timeout_ms=600,
    max_append_bytes=64,
    max_in_flight_entries=16,
    snapshot_chunk_bytes=48,
    retained_entries=4,
    target_voters=5,
    unresponsive_voter_ms=2500,
)


class Deployment:
    """Control hosts under faults, with changes acknowledged in between."""

    def __init__(self, seed, hosts):
        self.rng = random.Random(seed)
        self.group = ReplicaGroup(3, seed, timing=TIMING, seeds="abc")
        for node in self.group.nodes.values():
            node.clock_rate = self.rng.uniform(0.955, 1.045)
        self.group.form()
        for name in "defgh"[: hosts - 3]:
            self.group.nodes[name] = Node(name, MemoryDisk(name))
            self.group.start(name)

    def run(self, duration_ms):
        """Advance the time and propose a change to the leader now and then."""
        end_ms = self.group.now_ms + duration_ms
        while self.group.now_ms < end_ms:
            leader = self.group.leader()
            if leader is not None and self.rng.random() < 0.05:
                self.group.propose(leader.name, [b"change"])
            self.group.run(STEP_MS)

    def pick(self, count):
        """Return hosts, the leader among them in every other draw."""
        names = sorted(self.group.nodes)
        self.rng.shuffle(names)
        leader = self.group.leader()
        if leader is not None and self.rng.random() < 0.5:
            names.remove(leader.name)
            names.insert(0, leader.name)
        return names[:count]

    def stop_and_start(self, names, wiped, down_ms):
        """Take the power of hosts, replace the disks of some, and start them again."""
        for name in names:
            if name in wiped:
                self.group.lose_disk(name)
            else:
                self.group.crash(name)
        self.run(down_ms)
        for name in self.rng.sample(sorted(names), len(names)):
            self.group.start(name)
            self.run(self.rng.choice([0, 10, 50]))

    def disturb(self):
        """Let one tolerated fault happen and the hosts catch up."""
        kind = self.rng.choice(["wipe one", "wipe two", "power", "all", "cut"])
        two = self.pick(TOLERATED_LOSSES)
        if kind == "wipe one":
            self.stop_and_start(two[:1], two[:1], self.rng.choice([200, 1500]))
        elif kind == "wipe two":
            self.stop_and_start(two, two, self.rng.choice([200, 1500, 4000]))
        elif kind == "power":
            self.stop_and_start(two, [], 7000)
        elif kind == "all":
            self.stop_and_start(list(self.group.nodes), [], 600)
        else:
            others = set(self.group.nodes) - set(two)
            self.group.network.blocked = {(a, b) for a in two for b in others}
            self.run(3000)
            self.group.network.blocked = set()
        self.run(CATCH_UP_MS)

    def acknowledge_change(self):
        """Propose a change and run until it is acknowledged; return its index."""
        accepted = []
        while not accepted:
            leader = self.group.run_until_leader(RECOVERY_MS)
            accepted = self.group.propose(leader.name, [b"last change"])
        index = accepted[0].index
        for _ in range(RECOVERY_MS // STEP_MS):
            if index in self.group.acknowledged:
                return index
            self.group.run(STEP_MS)
        raise AssertionError(f"entry {index} was not acknowledged")

    def holders(self, index):
        """Return the hosts whose disk holds the entry."""
        names = []
        for name, node in self.group.nodes.items():
            stored = node.disk.load()
            if stored.base_index + len(stored.entries) >= index:
                names.append(name)
        return names

    def lose_aimed(self, count, others_lose_power):
        """Wipe hosts that hold a change as soon as it is acknowledged.

        The change must be at the next leader, which must be there in time.
        """
        index = self.acknowledge_change()
        holders = self.holders(index)
        assert len(holders) > TOLERATED_LOSSES
        wiped = self.rng.sample(holders, count)
        stopped = sorted(self.group.nodes) if others_lose_power else wiped
        self.stop_and_start(stopped, wiped, self.rng.choice([710, 1400]))
        leader = self.group.run_until_leader(RECOVERY_MS)
        assert leader.applied_index >= index
        self.run(CATCH_UP_MS)
        self.check_redundancy()

    def check_redundancy(self):
        """Check that the present disks alone bear the next tolerated loss."""
        leader = self.group.run_until_leader(RECOVERY_MS)
        voters = self.group.voters(leader)
        present = {node.identity for node in self.group.nodes.values()}
        quorum = len(voters) // 2 + 1
        assert len(voters & present) - TOLERATED_LOSSES >= quorum, sorted(voters)


def run_day(seed):
    rng = random.Random(seed)
    deployment = Deployment(seed, hosts=rng.choice([5, 5, 6]))
    deployment.run(CATCH_UP_MS)
    deployment.check_redundancy()
    for _ in range(rng.randint(0, 3)):
        deployment.disturb()
    remaining_losses = TOLERATED_LOSSES
    if rng.random() < 0.5:
        # The repair of the first lost disk is in progress when the next is lost.
        first = deployment.pick(1)
        deployment.stop_and_start(first, first, rng.choice([10, 700]))
        deployment.run(rng.randrange(0, 3000, STEP_MS))
        remaining_losses -= 1
    deployment.lose_aimed(remaining_losses, others_lose_power=rng.random() < 0.7)


@pytest.mark.parametrize("seed", range(12))
def test_acknowledged_change_survives_the_loss_of_disks_that_hold_it(seed):
    """Guards against a change that is gone after losses that are tolerated."""
    run_day(seed)
