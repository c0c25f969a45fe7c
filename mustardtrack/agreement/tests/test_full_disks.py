"""Tests that a group recovers from disks that are full one after another.

A replica whose disk refuses a write ends, and its host starts it again. Changes are
sent all the while. They are acknowledged in time even while one disk is full, since
the group tolerates the loss of one host.
"""

import random

import pytest

from mustardtrack.agreement import Timing
from mustardtrack.testing.disks import MemoryDisk
from mustardtrack.testing.replicas import STEP_MS, Node, ReplicaGroup

# Bounds of a deployment: a change is acknowledged within the first of them, a disk
# that has room again counts as lost during the second.
ACK_TIMEOUT_MS = 4000
CATCH_UP_MS = 4000
# Time after which a sender submits an unanswered change again.
RETRY_MS = 700
# Range of the time from the end of a replica to its start by the host.
RESTART_MS = (200, 1000)
SEEDS = range(3)
# Replicas of the group, voters that it aims at.
SIZES = [(3, 3), (5, 5), (5, 3)]
MOMENTS = ["running", "election", "restart", "joining", "empty"]


class FullDisks:
    """Group under changes whose disks are full now and then.

    Args:
        seed: Seed of all random choices.
        hosts: Number of replicas.
        voters: Desired number of voters.

    Attributes:
        refused_writes: Number of writes that full disks have refused.
        longest_ack_ms: Longest time until a change was acknowledged.
        gives_up: Whether a change that is not acknowledged in time is given up,
            since several hosts count as lost.
    """

    def __init__(self, seed, hosts, voters):
        self.rng = random.Random(seed)
        timing = Timing(
            heartbeat_ms=100,
            election_timeout_ms=600,
            max_append_bytes=64,
            max_in_flight_entries=16,
            snapshot_chunk_bytes=48,
            retained_entries=4,
            target_voters=voters,
        )
        self.group = ReplicaGroup(3, seed, timing=timing, seeds="abc")
        for node in self.group.nodes.values():
            node.clock_rate = self.rng.uniform(0.955, 1.045)
        self.group.form()
        for name in "de"[: hosts - 3]:
            self.group.nodes[name] = Node(name, MemoryDisk(name))
            self.group.start(name)
        self.refused_writes = 0
        self.longest_ack_ms = 0
        self.gives_up = False
        self._start_at_ms = {}
        self._first_sent_ms = None
        self._sent_ms = 0
        self._indexes = set()

    def run(self, duration_ms):
        """Advance the time, start ended replicas again and send changes."""
        for _ in range(duration_ms // STEP_MS):
            self.group.run(STEP_MS)
            self._restart_ended()
            self._send_change()

    def _restart_ended(self):
        for name, node in self.group.nodes.items():
            if node.replica is not None:
                continue
            if name not in self._start_at_ms:
                self.refused_writes += node.disk.is_full
                restart_ms = self.rng.randrange(*RESTART_MS, STEP_MS)
                self._start_at_ms[name] = self.group.now_ms + restart_ms
            elif self.group.now_ms >= self._start_at_ms[name]:
                del self._start_at_ms[name]
                self.group.start(name)

    def _send_change(self):
        """Keep one change under way, as an operator who waits for each answer."""
        now_ms = self.group.now_ms
        if self._first_sent_ms is not None:
            elapsed_ms = now_ms - self._first_sent_ms
            if self._indexes & self.group.acknowledged.keys():
                self.longest_ack_ms = max(self.longest_ack_ms, elapsed_ms)
                self.drop_change()
            elif self.gives_up and elapsed_ms > ACK_TIMEOUT_MS:
                self.drop_change()
            else:
                assert elapsed_ms <= ACK_TIMEOUT_MS, (
                    f"change of {self._first_sent_ms} ms is not acknowledged"
                )
        if self._first_sent_ms is None:
            if self.rng.random() >= 0.02:
                return
            self._first_sent_ms = now_ms
        elif now_ms - self._sent_ms < RETRY_MS:
            return
        leader = self.group.leader()
        if leader is not None:
            accepted = self.group.propose(leader.name, [b"change"])
            self._indexes |= {proposed.index for proposed in accepted}
            self._sent_ms = now_ms

    def drop_change(self):
        """Give up the change under way."""
        self._first_sent_ms, self._indexes = None, set()

    def check_recovered(self):
        """Check that changes are acknowledged and reach every replica."""
        acknowledged = len(self.group.acknowledged)
        self.run(2 * ACK_TIMEOUT_MS)
        assert self.refused_writes > 0
        assert len(self.group.acknowledged) > acknowledged
        last = max(self.group.acknowledged)
        self.group.run(CATCH_UP_MS)
        for node in self.group.nodes.values():
            assert node.applied_index >= last, f"{node.name} did not catch up"

    def pick(self, role):
        """Return the leader or one of the other replicas."""
        leader = self.group.run_until_leader()
        others = sorted(set(self.group.nodes) - {leader.name})
        return leader.name if role == "leader" else self.rng.choice(others)

    def fill(self, name, duration_ms, moment):
        """Let a disk be full for some time, from a moment of the protocol on."""
        node = self.group.nodes[name]
        if moment == "election":
            leader = self.group.run_until_leader()
            if leader.name != name:
                leader.paused = True
                self.run(self.rng.randrange(0, 700, STEP_MS))
                leader.paused = False
        elif moment == "restart":
            self.group.crash(name)
        elif moment in ("joining", "empty"):
            self.group.lose_disk(name)
            if moment == "joining":
                self.group.start(name)
                self.run(self.rng.randrange(0, 300, STEP_MS))
        node.disk.is_full = True
        self.run(duration_ms)
        node.disk.is_full = False


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize(("hosts", "voters"), SIZES)
def test_changes_are_acknowledged_while_disks_are_full_in_turn(
    hosts, voters, moment, seed
):
    """Guards against changes that stay unanswered after every disk has room again."""
    day = FullDisks(seed, hosts, voters)
    day.run(CATCH_UP_MS)
    for _ in range(hosts):
        name = day.pick(day.rng.choice(["leader", "follower"]))
        duration_ms = day.rng.choice([500, 2000, 3000, 5000])
        day.fill(name, duration_ms, moment)
        # A disk that was full counts as lost until its replica had time to catch up.
        day.run(CATCH_UP_MS)
    day.check_recovered()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("hosts", "voters"), SIZES)
def test_group_recovers_after_disks_were_full_without_a_pause(hosts, voters, seed):
    """Guards against refused changes long after the last disk has room again."""
    day = FullDisks(seed, hosts, voters)
    day.run(CATCH_UP_MS)
    day.gives_up = True
    names = sorted(day.group.nodes)
    for _ in range(2):
        day.rng.shuffle(names)
        for name in names:
            if day.rng.random() < 0.3:
                leader = day.group.leader()
                name = leader.name if leader is not None else name
            duration_ms = day.rng.choice([500, 2000, 3000, 8000])
            day.fill(name, duration_ms, day.rng.choice(["running", "restart"]))
            day.run(day.rng.choice([0, 0, STEP_MS, 500]))
    day.run(CATCH_UP_MS)
    day.drop_change()
    day.gives_up = False
    day.check_recovered()
