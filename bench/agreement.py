"""Measures commit rate and recovery time of the replicated log on real disks.

Three replicas in one process exchange encoded messages directly, so the results
include encoding, protocol and fsync but no network. The replicas take turns in one
thread, so a commit waits for all three fsyncs. On separate hosts it waits for two,
those of the leader and of the faster follower.
Run with ``python bench/agreement.py --seed 1``.
"""

import argparse
import random
import tempfile
import time
from collections import deque
from pathlib import Path

from loguru import logger

from mustardtrack.adapters.disk import DiskStorage
from mustardtrack.agreement import (
    Effects,
    Entry,
    Replica,
    ReplicaId,
    SaveEntries,
    Timing,
    decode_message,
    encode_message,
    merge_effects,
)

BATCH_SIZES = (1, 8, 64)
RECOVERY_ENTRIES = (1_000, 5_000, 10_000, 50_000)
PAYLOAD_BYTES = 200
BATCHES_PER_SIZE = 200


def now_ms():
    return time.monotonic_ns() // 1_000_000


class Member:
    """One replica and its log on disk."""

    def __init__(self, name: str, folder: Path, rng: random.Random):
        self.disk = DiskStorage(folder / name)
        stored = self.disk.load()
        self.id = ReplicaId(name, stored.disk)
        self.replica = Replica(self.id, stored, Timing(), rng, now_ms())
        self.committed_count = 0


class ReplicaGroup:
    """Three replicas and the queue of messages between them."""

    def __init__(self, folder: Path, rng: random.Random):
        members = [Member(name, folder, rng) for name in "abc"]
        self.members = {member.id.name: member for member in members}
        self.message_queue: deque[tuple[str, bytes]] = deque()

    def form(self) -> Member:
        """Form the replica group and return its leader once the lease is valid."""
        voters = tuple(member.id for member in self.members.values())
        for member in self.members.values():
            self.apply_effects(member, member.replica.form(voters, now_ms()))
        while True:
            for member in self.members.values():
                self.apply_effects(member, member.replica.tick(now_ms()))
                self.deliver_messages()
                if member.replica.lease_valid(now_ms()):
                    return member
            time.sleep(0.01)

    def apply_effects(self, member: Member, effects: Effects) -> None:
        """Persist the log records of a step, then queue its messages."""
        if effects.persist:
            member.disk.persist(effects.persist, sync=effects.needs_sync)
        for receiver, message in effects.send:
            data = encode_message(member.id, receiver, message)
            self.message_queue.append((receiver.name, data))
        member.committed_count += len(effects.committed)

    def deliver_messages(self) -> None:
        """Deliver messages until the queue is empty."""
        while self.message_queue:
            name, data = self.message_queue.popleft()
            member = self.members[name]
            received = decode_message(data, member.id)
            if received:
                sender, message = received
                effects = member.replica.receive(sender, message, now_ms())
                self.apply_effects(member, effects)


def measure_commits(folder: Path, seed: int, batch_size: int) -> list[float]:
    """Return the seconds from proposal to commit on the leader, per batch."""
    rng = random.Random(seed)
    group = ReplicaGroup(folder, rng)
    leader = group.form()
    payload = rng.randbytes(PAYLOAD_BYTES)
    durations = []
    for _ in range(BATCHES_PER_SIZE):
        started = time.perf_counter()
        expected_commits = leader.committed_count + batch_size
        proposed_effects = [
            leader.replica.propose(payload, now_ms())[1] for _ in range(batch_size)
        ]
        group.apply_effects(leader, merge_effects(proposed_effects))
        group.deliver_messages()
        assert leader.committed_count == expected_commits
        durations.append(time.perf_counter() - started)
        for member in group.members.values():
            group.apply_effects(member, member.replica.tick(now_ms()))
        group.deliver_messages()
    return durations


def measure_recovery(folder: Path, seed: int, entries: int) -> tuple[float, float]:
    """Return the seconds to start a replica from its log, and the log size in MB."""
    payload = random.Random(seed).randbytes(PAYLOAD_BYTES)
    disk = DiskStorage(folder)
    disk.load()
    for first_index in range(1, entries + 1, 50):
        batch = [
            Entry(1, index, "command", payload)
            for index in range(first_index, first_index + 50)
        ]
        disk.persist([SaveEntries(tuple(batch))])
    disk.close()
    started = time.perf_counter()
    disk = DiskStorage(folder)
    stored = disk.load()
    replica = Replica(
        ReplicaId("a", stored.disk), stored, Timing(), random.Random(seed), now_ms()
    )
    load_s = time.perf_counter() - started
    assert replica.status(now_ms()).last_index == entries
    disk.close()
    return load_s, (folder / "log").stat().st_size / 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", help="parent of the data folder")
    arguments = parser.parse_args()
    logger.remove()
    print(
        f"3 replicas, {BATCHES_PER_SIZE} batches, "
        f"{PAYLOAD_BYTES} payload bytes per entry"
    )
    print(f"{'batch':>8} {'commits/s':>10} {'p50 ms':>8} {'p99 ms':>8}")
    for batch_size in BATCH_SIZES:
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            durations = sorted(
                measure_commits(Path(folder), arguments.seed, batch_size)
            )
        rate = batch_size * BATCHES_PER_SIZE / sum(durations)
        median_ms = durations[BATCHES_PER_SIZE // 2] * 1000
        p99_ms = durations[BATCHES_PER_SIZE * 99 // 100] * 1000
        print(f"{batch_size:>8} {rate:>10.0f} {median_ms:>8.2f} {p99_ms:>8.2f}")
    print(f"{'entries':>8} {'load ms':>10} {'log MB':>8}")
    for entries in RECOVERY_ENTRIES:
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            load_s, size_mb = measure_recovery(Path(folder), arguments.seed, entries)
        print(f"{entries:>8} {load_s * 1000:>10.1f} {size_mb:>8.1f}")


if __name__ == "__main__":
    main()
