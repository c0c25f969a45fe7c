"""Group of replicas on simulated clocks, network and disks, with invariant checks.

The following invariants are checked after every step; a violation raises
``AssertionError``:

- each index has one committed value, applied in order and once per process;
- no acknowledged entry is missing at a new leader or at a leader with a lease;
- at most one leader has a valid lease.
"""

import hashlib
import random
from collections.abc import Sequence
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
# An end is reported more than once, because messages that the process sent before may
# arrive after the first report.
REPORT_DELAYS_MS = (0, 20, 80, 200)
FAST_TIMING = Timing(
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

    Attributes:
        max_delay_ms: Maximum delay of a message.
        drop_rate: Probability that a copy of a message is dropped.
        duplicate_rate: Probability that a message is sent twice.
        blocked: Pairs of sender and receiver names whose messages are dropped. The
            pairs are ordered, so that a link can fail in one direction.
    """

    max_delay_ms: int = 20
    drop_rate: float = 0.0
    duplicate_rate: float = 0.0
    blocked: set[tuple[str, str]] = field(default_factory=set)


@dataclass
class Node:
    """One process with its disk, clock and state machine.

    Attributes:
        name: Name of the node.
        disk: Simulated disk.
        clock_rate: Speed of the node's clock relative to simulated time.
        clock_start_ms: Reading of the node's clock at simulated time 0.
        replica: The replica, None while the process is not running.
        paused: Whether the process is paused.
        inbox: Messages received since the last step.
        applied_index: Index of the last entry applied to the state machine.
        digest: Digest of the state machine, a hash chain over all applied entries.
        snapshot_index: Index of the last entry in the latest snapshot.
        proposals: Index and term of entries that were proposed at this node.
    """

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
        """Identity of the replica, which depends on its current disk."""
        return ReplicaId(self.name, self.disk.identity)


class ReplicaGroup:
    """Drives replicas the way a process does and checks the entries they commit.

    Args:
        size: Number of replicas.
        seed: Seed of all random choices, including election timeouts.
        timing: Periods and sizes of the replicas.
        compact_after: Number of applied entries after which a snapshot is taken.
        seeds: Names that a started replica asks to admit it; all by default.
        reports_ends: Whether the others are told when a process has ended.

    Attributes:
        values: Committed entries by index.
        acknowledged: Entries by index that the node at which they were proposed has
            applied, which acknowledges them.
        sent: Sender, receiver and content of every message.

    Examples:
        >>> group = ReplicaGroup(3, seed=1)
        >>> group.form()
        >>> group.run_until_leader().name in {"a", "b", "c"}
        True
    """

    def __init__(
        self,
        size: int,
        seed: int,
        timing: Timing = FAST_TIMING,
        compact_after: int = 12,
        seeds: Sequence[str] | None = None,
        reports_ends: bool = False,
    ):
        self.rng = random.Random(seed)
        self.timing = timing
        self.network = Network()
        self.now_ms = 0
        self.values: dict[int, Entry] = {}
        self.digest_by_index: dict[int, bytes] = {0: b""}
        self.acknowledged: dict[int, Entry] = {}
        self.sent: list[tuple[str, str, Message]] = []
        self._compact_after = compact_after
        self._seeds = seeds
        self._reports_ends = reports_ends
        self._ends_to_report: list[tuple[int, str, str]] = []
        self._in_flight: list[tuple[int, int, str, bytes]] = []
        self._message_number = 0
        names = [chr(ord("a") + number) for number in range(size)]
        self.nodes = {name: Node(name, MemoryDisk(name)) for name in names}
        for name in names:
            self.start(name)

    def clock_ms(self, node: Node) -> int:
        """Return the reading of a node's monotonic clock."""
        return node.clock_start_ms + int(self.now_ms * node.clock_rate)

    def running_nodes(self) -> list[Node]:
        """Return the nodes whose process exists, running or paused."""
        return [node for node in self.nodes.values() if node.replica]

    def form(self) -> None:
        """Form the cluster from all running nodes."""
        voters = tuple(node.identity for node in self.running_nodes())
        for node in self.running_nodes():
            assert node.replica
            self._execute(node, node.replica.form(voters, self.clock_ms(node)))

    def start(self, name: str) -> None:
        """Start a process, which loads its state from its disk."""
        node = self.nodes[name]
        stored = node.disk.load()
        node.replica = Replica(
            node.identity,
            stored,
            self.timing,
            random.Random(self.rng.random()),
            self.clock_ms(node),
        )
        node.replica.set_join_targets(self._seeds or sorted(self.nodes))
        node.paused = False
        node.inbox, node.proposals = [], set()
        node.applied_index, node.digest, node.snapshot_index = 0, b"", 0
        if stored.snapshot:
            self._restore(node, stored.snapshot)

    def crash(self, name: str, is_dark: bool = False) -> None:
        """Kill a process; a random prefix of its unsynced writes is kept.

        Args:
            name: Name of the node.
            is_dark: Whether its host is gone too, so that nobody can tell that the
                process has ended.
        """
        node = self.nodes[name]
        if node.replica is not None and self._reports_ends and not is_dark:
            for observer in sorted(self.nodes.keys() - {name}):
                due_ms = self.now_ms + self.rng.randint(1, self.network.max_delay_ms)
                self._ends_to_report += [
                    (due_ms + delay_ms, observer, name) for delay_ms in REPORT_DELAYS_MS
                ]
        node.replica = None
        node.disk.crash(self.rng)

    def stop_as_planned(self, name: str, limit_ms: int = 4000) -> None:
        """Let a process hand over its vote, and end it for good.

        Args:
            name: Name of the node.
            limit_ms: Time after which the process ends in any case.
        """
        node = self.nodes[name]
        end_ms = self.now_ms + limit_ms
        if node.replica is not None:
            node.replica.begin_departure(self.clock_ms(node))
        while self.now_ms < end_ms and node.replica is not None:
            if node.replica.may_depart(self.clock_ms(node)):
                break
            self._step()
        self.remove(name)

    def remove(self, name: str, is_dark: bool = False) -> None:
        """Kill a process and take its host away for good; see :meth:`crash`."""
        self.crash(name, is_dark)
        del self.nodes[name]

    def lose_disk(self, name: str) -> None:
        """Kill a process and replace its disk with an empty one."""
        self.crash(name)
        self.nodes[name].disk.replace_with_empty()

    def leader(self) -> Node | None:
        """Return the node with a valid lease, None if there is none.

        Raises:
            AssertionError: If several nodes have a valid lease.
        """
        leaseholders = [node for node in self.running_nodes() if self._has_lease(node)]
        names = [node.name for node in leaseholders]
        assert len(leaseholders) < 2, f"two leaders with a valid lease: {names}"
        return leaseholders[0] if leaseholders else None

    def run(self, duration_ms: int) -> None:
        """Advance simulated time."""
        for _ in range(duration_ms // STEP_MS):
            self._step()

    def run_until_leader(self, limit_ms: int = 20_000) -> Node:
        """Advance simulated time until a leader has a valid lease.

        Raises:
            AssertionError: If there is none within the limit.
        """
        for _ in range(limit_ms // STEP_MS):
            self._step()
            leader = self.leader()
            if leader is not None:
                return leader
        raise AssertionError(f"no leader with a lease after {limit_ms} ms")

    def propose(self, name: str, payloads: list[bytes]) -> list[Proposed]:
        """Propose commands at a node in one batch and return those it accepted."""
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
        """Remove all network faults and start or resume every process."""
        self.network = Network()
        for node in self.nodes.values():
            node.paused = False
            node.disk.tear_next_write = False
            if node.replica is None:
                self.start(node.name)

    def heal_and_converge(self, limit_ms: int = 20_000) -> None:
        """Heal, then run until all nodes applied a new entry and are voters.

        Raises:
            AssertionError: If that takes too long.
        """
        self.heal()
        identities = {node.identity for node in self.nodes.values()}
        for _ in range(limit_ms // 500):
            leader = self.run_until_leader(limit_ms)
            accepted = self.propose(leader.name, [b"settle"])
            self.run(500)
            last = accepted[0].index if accepted else 0
            if last in self.acknowledged and all(
                node.applied_index >= last and self.voters(node) == identities
                for node in self.running_nodes()
            ):
                return
        raise AssertionError(f"replicas did not converge within {limit_ms} ms")

    def voters(self, node: Node) -> set[ReplicaId]:
        """Return the effective voter set at a running node."""
        assert node.replica
        return set(node.replica.status(self.clock_ms(node)).voters)

    def can_lose_disk(self, name: str) -> bool:
        """Return whether every voter set keeps a quorum if a node loses its disk.

        A replacement disk must not be lost before it is a voter at every node. The
        leader may already have added it as a voter, and then a group of three would
        lose its quorum together with this disk.
        """
        identity = self.nodes[name].identity
        intact = {node.identity for node in self.nodes.values() if node.name != name}
        return len(self.running_nodes()) == len(self.nodes) and all(
            identity in self.voters(node)
            and len(self.voters(node) & intact) > len(self.voters(node)) // 2
            for node in self.running_nodes()
        )

    def _step(self) -> None:
        self.now_ms += STEP_MS
        self._deliver()
        self._report_ends()
        for node in self.running_nodes():
            if not node.paused:
                self._process(node)
        self._check_leases()

    def _deliver(self) -> None:
        due = sorted(item for item in self._in_flight if item[0] <= self.now_ms)
        self._in_flight = [item for item in self._in_flight if item[0] > self.now_ms]
        for _, _, name, data in due:
            node = self.nodes.get(name)
            if node is None:
                continue
            received = decode_message(data, node.identity) if node.replica else None
            if received:
                node.inbox.append(received)

    def _report_ends(self) -> None:
        """Report ended processes to nodes that run and can reach their host."""
        remaining = []
        for due_ms, observer, name in self._ends_to_report:
            node, ended = self.nodes.get(observer), self.nodes.get(name)
            if node is None or node.replica is None or (ended and ended.replica):
                continue
            if due_ms > self.now_ms or node.paused:
                remaining.append((due_ms, observer, name))
            elif not self.network.blocked & {(observer, name), (name, observer)}:
                now_ms = self.clock_ms(node)
                self._execute(node, node.replica.record_end(name, now_ms, now_ms))
        self._ends_to_report = remaining

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
            delay_ms = self.rng.randint(1, self.network.max_delay_ms)
            self._in_flight.append(
                (self.now_ms + delay_ms, self._message_number, receiver.name, data)
            )

    def _apply(self, node: Node, entry: Entry) -> None:
        expected = node.applied_index + 1
        assert entry.index == expected, (
            f"{node.name}: got {entry}, expected index {expected}"
        )
        committed = self.values.setdefault(entry.index, entry)
        assert committed == entry, (
            f"two values committed at {entry.index}: {committed}, {entry}"
        )
        node.applied_index = entry.index
        content = node.digest + entry.kind.encode() + entry.payload
        node.digest = hashlib.blake2b(content, digest_size=16).digest()
        digest = self.digest_by_index.setdefault(entry.index, node.digest)
        assert digest == node.digest, (
            f"{node.name}: state differs at index {entry.index}"
        )
        if (entry.index, entry.term) in node.proposals:
            self.acknowledged[entry.index] = entry

    def _restore(self, node: Node, snapshot: Snapshot) -> None:
        digest = msgspec.msgpack.decode(snapshot.state)[0]
        assert digest == self.digest_by_index[snapshot.index], (
            f"{node.name}: snapshot at {snapshot.index} differs from committed state"
        )
        assert snapshot.index >= node.applied_index, (
            f"{node.name}: snapshot at {snapshot.index} is older than the applied state"
        )
        node.digest = digest
        node.applied_index = node.snapshot_index = snapshot.index

    def _compact(self, node: Node) -> None:
        if node.applied_index - node.snapshot_index < self._compact_after:
            return
        assert node.replica
        node.snapshot_index = node.applied_index
        # The padding makes a snapshot larger than one chunk.
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
            assert leader.applied_index >= last, (
                f"{leader.name} would serve a stale read"
            )

    def _check_new_leader(self, node: Node) -> None:
        assert node.replica
        last = max(self.acknowledged, default=0)
        last_index = node.replica.status(self.clock_ms(node)).last_index
        assert last_index >= last, f"{node.name} is leader without acknowledged {last}"
