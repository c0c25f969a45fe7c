"""Group of replicas on simulated clocks, network and disks, with its checks.

The checks run after every step and raise ``AssertionError``:

- one committed value per index, applied in order and once per process;
- no acknowledged entry missing at a new leader or at a leader with a lease;
- at most one leader with a valid lease.
"""

import hashlib
import random
from dataclasses import dataclass, field

import msgspec

from mustardtrack.agreement import (
    Effects,
    Entry,
    Message,
    Proposed,
    Replica,
    ReplicaId,
    Snapshot,
    Timing,
    decode_message,
    encode_message,
    merge_effects,
)
from mustardtrack.testing.disks import DiskCrashError, MemoryDisk

STEP_MS = 10
FAST = Timing(
    heartbeat_ms=50,
    election_timeout_ms=300,
    max_append_bytes=64,
    max_in_flight_entries=16,
    snapshot_chunk_bytes=48,
    retained_entries=4,
)


@dataclass
class Network:
    """Faults of the simulated network.

    ``blocked`` holds ordered pairs of names, so that a link can fail one way.
    """

    longest_delay_ms: int = 20
    drop_rate: float = 0.0
    duplicate_rate: float = 0.0
    blocked: set[tuple[str, str]] = field(default_factory=set)


@dataclass
class Node:
    """One process with its disk, clock and state machine."""

    name: str
    disk: MemoryDisk
    clock_rate: float = 1.0
    clock_start_ms: int = 0
    replica: Replica | None = None
    paused: bool = False
    inbox: list[tuple[ReplicaId, Message]] = field(default_factory=list)
    applied_index: int = 0
    digest: bytes = b""
    snapshot_index: int = 0
    proposals: set[tuple[int, int]] = field(default_factory=set)

    @property
    def identity(self) -> ReplicaId:
        """Identity of the replica on its current disk."""
        return ReplicaId(self.name, self.disk.identity)


class ReplicaGroup:
    """Drives replicas as a process does and checks what they deliver.

    Args:
        size: Number of replicas.
        seed: Seed of all random choices, including election timeouts.
        timing: Periods and sizes.
        compact_after: Entries between snapshots.

    Examples:
        >>> group = ReplicaGroup(3, seed=1)
        >>> group.form()
        >>> group.run_until_leader().name in {"a", "b", "c"}
        True
    """

    def __init__(
        self, size: int, seed: int, timing: Timing = FAST, compact_after: int = 12
    ):
        self.rng = random.Random(seed)
        self.timing = timing
        self.network = Network()
        self.now_ms = 0
        self.values: dict[int, Entry] = {}
        self.digests: dict[int, bytes] = {0: b""}
        self.acknowledged: dict[int, Entry] = {}
        self.sent: list[tuple[str, str, Message]] = []
        self._compact_after = compact_after
        self._in_flight: list[tuple[int, int, str, bytes]] = []
        self._message_number = 0
        names = [chr(ord("a") + number) for number in range(size)]
        self.nodes = {name: Node(name, MemoryDisk(name)) for name in names}
        for name in names:
            self.start(name)

    def clock_ms(self, node: Node) -> int:
        """Return the monotonic clock of one node."""
        return node.clock_start_ms + int(self.now_ms * node.clock_rate)

    def up(self) -> list[Node]:
        """Return the nodes whose process runs, paused or not."""
        return [node for node in self.nodes.values() if node.replica]

    def form(self) -> None:
        """Form the cluster from all running nodes."""
        voters = tuple(node.identity for node in self.up())
        for node in self.up():
            assert node.replica
            self._execute(node, node.replica.form(voters, self.clock_ms(node)))

    def start(self, name: str) -> None:
        """Start a process, which reads its disk."""
        node = self.nodes[name]
        stored = node.disk.load()
        node.replica = Replica(
            node.identity,
            stored,
            self.timing,
            random.Random(self.rng.random()),
            self.clock_ms(node),
        )
        node.replica.set_join_targets(sorted(self.nodes))
        node.paused = False
        node.inbox, node.proposals = [], set()
        node.applied_index, node.digest, node.snapshot_index = 0, b"", 0
        if stored.snapshot:
            self._restore(node, stored.snapshot)

    def crash(self, name: str) -> None:
        """Kill a process; a random part of its unsynced writes remains."""
        node = self.nodes[name]
        node.replica = None
        node.disk.crash(self.rng)

    def lose_disk(self, name: str) -> None:
        """Kill a process and replace its disk by an empty one."""
        self.crash(name)
        self.nodes[name].disk.lose()

    def leader(self) -> Node | None:
        """Return the node with a valid lease, if any."""
        leases = [node for node in self.up() if self._has_lease(node)]
        names = [node.name for node in leases]
        assert len(leases) < 2, f"two leaders with a valid lease: {names}"
        return leases[0] if leases else None

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // STEP_MS):
            self._step()

    def run_until_leader(self, limit_ms: int = 20_000) -> Node:
        """Let time pass until a leader has a valid lease."""
        for _ in range(limit_ms // STEP_MS):
            self._step()
            leader = self.leader()
            if leader is not None:
                return leader
        raise AssertionError(f"no leader with a lease after {limit_ms} ms")

    def propose(self, name: str, payloads: list[bytes]) -> list[Proposed]:
        """Propose commands at a node and persist them together."""
        node = self.nodes[name]
        if node.replica is None or node.paused:
            return []
        accepted, parts = [], []
        for payload in payloads:
            result, effects = node.replica.propose(payload, self.clock_ms(node))
            parts.append(effects)
            if isinstance(result, Proposed):
                accepted.append(result)
                node.proposals.add((result.index, result.term))
        self._execute(node, merge_effects(parts))
        return accepted

    def heal(self) -> None:
        """Repair the network and start or resume every process."""
        self.network = Network()
        for node in self.nodes.values():
            node.paused = False
            node.disk.tear_next_write = False
            if node.replica is None:
                self.start(node.name)

    def settle(self, limit_ms: int = 20_000) -> None:
        """Heal, then run until a new entry and all repairs reach every node."""
        self.heal()
        identities = {node.identity for node in self.nodes.values()}
        for _ in range(limit_ms // 500):
            leader = self.run_until_leader(limit_ms)
            accepted = self.propose(leader.name, [b"settle"])
            self.run(500)
            last = accepted[0].index if accepted else 0
            if last in self.acknowledged and all(
                node.applied_index >= last and self.voters(node) == identities
                for node in self.up()
            ):
                return
        raise AssertionError(f"not settled after {limit_ms} ms")

    def voters(self, node: Node) -> set[ReplicaId]:
        """Return the voter set in force at a running node."""
        assert node.replica
        return set(node.replica.status(self.clock_ms(node)).voters)

    def may_lose(self, name: str) -> bool:
        """Return whether every voter set keeps a majority without this disk.

        A disk that is still replacing another one is excluded: the leader may
        be adding it already, and then a group of three stalls without it.
        """
        identity = self.nodes[name].identity
        intact = {node.identity for node in self.nodes.values() if node.name != name}
        return len(self.up()) == len(self.nodes) and all(
            identity in self.voters(node)
            and len(self.voters(node) & intact) > len(self.voters(node)) // 2
            for node in self.up()
        )

    def _step(self) -> None:
        self.now_ms += STEP_MS
        self._deliver()
        for node in self.up():
            if not node.paused:
                self._process(node)
        self._check_leases()

    def _deliver(self) -> None:
        due = sorted(item for item in self._in_flight if item[0] <= self.now_ms)
        self._in_flight = [item for item in self._in_flight if item[0] > self.now_ms]
        for _, _, name, data in due:
            node = self.nodes[name]
            received = decode_message(data, node.identity) if node.replica else None
            if received:
                node.inbox.append(received)

    def _process(self, node: Node) -> None:
        assert node.replica
        now_ms = self.clock_ms(node)
        parts = [
            node.replica.receive(sender, message, now_ms)
            for sender, message in node.inbox
        ]
        node.inbox = []
        parts.append(node.replica.tick(now_ms))
        self._execute(node, merge_effects(parts))
        if node.replica and node.replica.status(now_ms).refused:
            self.lose_disk(node.name)
            self.start(node.name)

    def _execute(self, node: Node, effects: Effects) -> None:
        try:
            if effects.persist:
                node.disk.persist(effects.persist, sync=effects.needs_sync)
        except DiskCrashError:
            self.crash(node.name)
            return
        for receiver, message in effects.send:
            self._send(node, receiver, message)
        if effects.snapshot_to_install:
            self._restore(node, effects.snapshot_to_install)
        for entry in effects.committed:
            self._apply(node, entry)
        if effects.leadership and effects.leadership.role == "leader":
            self._check_new_leader(node)
        self._compact(node)

    def _send(self, node: Node, receiver: ReplicaId, message: Message) -> None:
        self.sent.append((node.name, receiver.name, message))
        if (node.name, receiver.name) in self.network.blocked:
            return
        data = encode_message(node.identity, receiver, message)
        copies = 2 if self.rng.random() < self.network.duplicate_rate else 1
        for _ in range(copies):
            if self.rng.random() < self.network.drop_rate:
                continue
            self._message_number += 1
            delay_ms = self.rng.randint(1, self.network.longest_delay_ms)
            self._in_flight.append(
                (self.now_ms + delay_ms, self._message_number, receiver.name, data)
            )

    def _apply(self, node: Node, entry: Entry) -> None:
        expected = node.applied_index + 1
        assert entry.index == expected, f"{node.name} got {entry}, not {expected}"
        known = self.values.setdefault(entry.index, entry)
        assert known == entry, f"two values at {entry.index}: {known} and {entry}"
        node.applied_index = entry.index
        content = node.digest + entry.kind.encode() + entry.payload
        node.digest = hashlib.blake2b(content, digest_size=16).digest()
        digest = self.digests.setdefault(entry.index, node.digest)
        assert digest == node.digest, f"{node.name} differs at {entry.index}"
        if (entry.index, entry.term) in node.proposals:
            self.acknowledged[entry.index] = entry

    def _restore(self, node: Node, snapshot: Snapshot) -> None:
        digest = msgspec.msgpack.decode(snapshot.state)[0]
        assert digest == self.digests[snapshot.index], f"bad snapshot at {node.name}"
        assert snapshot.index >= node.applied_index, f"old snapshot at {node.name}"
        node.digest = digest
        node.applied_index = node.snapshot_index = snapshot.index

    def _compact(self, node: Node) -> None:
        if node.applied_index - node.snapshot_index < self._compact_after:
            return
        assert node.replica
        node.snapshot_index = node.applied_index
        state = msgspec.msgpack.encode((node.digest, bytes(150)))
        effects = node.replica.compact(node.applied_index, state)
        self._execute(node, effects)

    def _has_lease(self, node: Node) -> bool:
        return node.replica is not None and node.replica.lease_valid(
            self.clock_ms(node)
        )

    def _check_leases(self) -> None:
        leader = self.leader()
        if leader is not None:
            last = max(self.acknowledged, default=0)
            assert leader.applied_index >= last, f"{leader.name} would read old state"

    def _check_new_leader(self, node: Node) -> None:
        assert node.replica
        last = max(self.acknowledged, default=0)
        last_index = node.replica.status(self.clock_ms(node)).last_index
        assert last_index >= last, f"{node.name} leads without acknowledged {last}"
