"""Scaling of the configuration, claims, account limits and the fair queue."""

import random
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from bench.agreement import ReplicaGroup, now_ms
from bench.configuration import apply_all, make_changes, make_claims, make_objects
from bench.scaling import Result, Scalar, Series, time_us, traced_bytes
from mustardtrack.admission import AccountLimits, FairQueue, Limit
from mustardtrack.admission.fairness import ClassShare, QueueItem
from mustardtrack.agreement import merge_effects
from mustardtrack.configuration import (
    Configuration,
    ConfigurationCopy,
    decode_changes,
    encode_changes,
    encode_proposal,
)

SCALES = (0.1, 0.25, 0.5, 1.0)
OBJECT_COUNT = 26_000
CLAIM_SCALES = (0.05, 0.1, 0.2, 0.4)
CLAIM_COUNT = 200_000
CLAIM_BATCH_SIZES = (1, 4, 16, 64)
BATCHES_PER_SIZE = 100
ACCOUNT_COUNTS = (1500, 3750, 7500, 15_000)
PEER_COUNTS = (9, 18, 37, 73)
QUEUE_LENGTHS = (500, 1000, 2000, 4000)


def measure_copies(seed: int) -> list[Result]:
    """Measure the configuration and its copies by the number of objects."""
    state_memory = Series("Configuration", "bytes", "objects")
    memory = Series("ConfigurationCopy", "bytes", "objects")
    size = Series("snapshot for a copy", "bytes", "objects")
    encode = Series("copy_snapshot", "us", "objects")
    copy_cost = Series("ConfigurationCopy.apply of a snapshot", "us", "objects")
    for scale in SCALES:
        entries = [encode_proposal(item) for item in make_objects(scale)]
        count = len(entries)
        state, allocated = traced_bytes(lambda: apply_all(Configuration(), entries))  # noqa: B023
        state_memory.add(count, allocated)
        data = state.copy_snapshot()
        size.add(count, len(data))
        encode.add(count, time_us(state.copy_snapshot))

        def build(state: Configuration = state, data: bytes = data) -> Any:
            copy = ConfigurationCopy()
            assert copy.apply(state.revision, [], data)
            return copy

        _, allocated = traced_bytes(build)
        memory.add(count, allocated)
        copy_cost.add(count, time_us(build))
    return [state_memory, memory, size, encode, copy_cost]


def measure_changes(seed: int) -> list[Result]:
    """Measure a day of changes to the full set of objects."""
    apply = Series("Configuration.apply", "us", "changes")
    since = Series("changes_since, encode_changes", "us", "changes")
    copy_cost = Series("decode_changes, ConfigurationCopy.apply", "us", "changes")
    size = Series("encoded changes", "bytes", "changes")
    memory = Series("changes kept by a copy", "bytes", "changes")
    objects = [encode_proposal(item) for item in make_objects(1.0)]
    base = apply_all(Configuration(), objects)
    base_snapshot, base_copy_snapshot = base.snapshot(), base.copy_snapshot()
    for scale in SCALES:
        rng = random.Random(seed)
        # At every scale, the changed endpoints are drawn from all endpoints.
        changes = make_changes(1.0, rng)[: int(22_000 * scale)]
        entries = [encode_proposal(item) for item in changes]
        state = Configuration.restore(base_snapshot)
        started = time.process_time()
        apply_all(state, entries)
        apply.add(len(entries), (time.process_time() - started) * 1e6)
        sent = state.changes_since(base.revision)
        if sent is None:
            sent = []
        data = encode_changes(sent)
        size.add(len(entries), len(data))

        def encode(state: Configuration = state) -> bytes:
            return encode_changes(state.changes_since(base.revision) or [])

        since.add(len(entries), time_us(encode))
        copy = ConfigurationCopy()
        copy.apply(base.revision, [], base_copy_snapshot)

        def apply_copy(
            copy: ConfigurationCopy = copy,
            data: bytes = data,
            state: Configuration = state,
        ) -> None:
            assert copy.apply(state.revision, decode_changes(data))

        _, allocated = traced_bytes(apply_copy)
        memory.add(len(entries), allocated)
        copy = ConfigurationCopy()
        copy.apply(base.revision, [], base_copy_snapshot)
        started = time.process_time()
        copy.apply(state.revision, decode_changes(data))
        copy_cost.add(len(entries), (time.process_time() - started) * 1e6)
    return [apply, since, copy_cost, size, memory]


def measure_claims(seed: int) -> list[Result]:
    """Measure memory, time and log size of claims with their completions."""
    memory = Series("claim with completion", "bytes", "claims")
    apply_cost = Series("apply claim and completion", "us", "claims")
    log_size = Series("log entries", "bytes", "claims")
    for scale in CLAIM_SCALES:
        entries = [
            encode_proposal(item) for item in make_claims(scale, random.Random(seed))
        ]
        count = len(entries) // 2
        started = time.process_time()
        apply_all(Configuration(), entries)
        apply_cost.add(count, (time.process_time() - started) * 1e6)
        _, allocated = traced_bytes(lambda: apply_all(Configuration(), entries))  # noqa: B023
        memory.add(count, allocated)
        log_size.add(count, sum(map(len, entries)))
    return [memory, apply_cost, log_size]


def measure_commits(seed: int) -> list[Result]:
    """Measure commits of claims, with fsync, on 3 replicas in one process."""
    median = Series("commit of a batch of claims, p50", "ms", "claims in a batch")
    p99 = Series("commit of a batch of claims, p99", "ms", "claims in a batch")
    cpu_cost = Series("CPU of all 3 replicas", "us", "claims in a batch")
    for batch_size in CLAIM_BATCH_SIZES:
        proposals = make_claims(
            BATCHES_PER_SIZE * batch_size / CLAIM_COUNT, random.Random(seed)
        )
        payloads = [encode_proposal(item) for item in proposals[::2]]
        with tempfile.TemporaryDirectory() as folder:
            durations, cpu_us = commit_batches(Path(folder), seed, payloads, batch_size)
        durations.sort()
        median.add(batch_size, durations[len(durations) // 2] * 1000)
        p99.add(batch_size, durations[len(durations) * 99 // 100] * 1000)
        cpu_cost.add(batch_size, cpu_us / len(durations))
    return [median, p99, cpu_cost]


def commit_batches(
    folder: Path, seed: int, payloads: list[bytes], batch_size: int
) -> tuple[list[float], float]:
    """Return the seconds of each commit and the total CPU microseconds."""
    group = ReplicaGroup(folder, random.Random(seed))
    leader = group.form()
    durations = []
    cpu_s = 0.0
    for first in range(0, len(payloads) - batch_size + 1, batch_size):
        started, started_cpu = time.perf_counter(), time.process_time()
        expected_commits = leader.committed_count + batch_size
        proposed_effects = [
            leader.replica.propose(payload, now_ms())[1]
            for payload in payloads[first : first + batch_size]
        ]
        group.apply_effects(leader, merge_effects(proposed_effects))
        group.deliver_messages()
        assert leader.committed_count == expected_commits
        durations.append(time.perf_counter() - started)
        cpu_s += time.process_time() - started_cpu
        for member in group.members.values():
            group.apply_effects(member, member.replica.tick(now_ms()))
        group.deliver_messages()
    return durations, cpu_s * 1e6


def build_limits(accounts: int, peers: int) -> AccountLimits:
    limits = AccountLimits(peers + 1)
    for n in range(accounts):
        limits.set_limit(f"account-{n}", Limit(100.0, 60_000.0, 128), 0)
    usage = {f"account-{n}": (1, 500) for n in range(accounts)}
    for n in range(peers):
        limits.record_peer_usage(f"router-{n}", usage, 0)
    return limits


def measure_limits(seed: int) -> list[Result]:
    """Measure the exchange of account usage by the number of accounts and of peers."""
    announce = Series("announce, 7 peers", "us", "accounts")
    receive_cost = Series("peer_use, all accounts active", "us", "accounts")
    size = Series("account_use on the wire", "bytes", "active accounts")
    memory = Series("AccountLimits, 7 peers", "bytes", "accounts")
    for count in ACCOUNT_COUNTS:
        limits, allocated = traced_bytes(lambda: build_limits(count, 7))  # noqa: B023
        memory.add(count, allocated)
        announce.add(count, time_us(lambda: limits.announce(10)))  # noqa: B023
        usage = {f"account-{n}": (n % 7, n % 5000) for n in range(count)}
        size.add(count, len(msgspec.msgpack.encode(usage)))
        receive_cost.add(
            count,
            time_us(
                lambda: limits.record_peer_usage("router-1", usage, 10)  # noqa: B023
            ),
        )
    by_peers = Series("announce, 1,500 accounts", "us", "peers")
    peer_memory = Series("AccountLimits, 1,500 accounts", "bytes", "peers")
    for peers in PEER_COUNTS:
        limits, allocated = traced_bytes(lambda: build_limits(1500, peers))  # noqa: B023
        peer_memory.add(peers, allocated)
        by_peers.add(peers, time_us(lambda: limits.announce(10)))  # noqa: B023
    return [announce, receive_cost, size, memory, by_peers, peer_memory]


def make_items(count: int, name: str, seed: int) -> list[QueueItem]:
    rng = random.Random(seed)
    return [
        QueueItem(
            f"router-1-{name}-{rng.getrandbits(128):032x}",
            f"account-{rng.randrange(200)}",
            "patient" if rng.random() < 0.5 else "urgent",
            rng.randrange(200, 4000),
            0,
        )
        for _ in range(count)
    ]


def measure_queue(seed: int) -> list[Result]:
    """Measure the fair queue by the number of requests queued for 200 accounts."""
    offer = Series("FairQueue.offer, last 200 of the backlog", "us", "queued")
    take = Series("FairQueue.take of one request", "us", "queued")
    memory = Series("FairQueue", "bytes", "queued")
    shares = [ClassShare("urgent", 0), ClassShare("patient", 1, 0.2)]
    for count in QUEUE_LENGTHS:
        last = make_items(200, "last", seed)

        def build(count: int = count) -> FairQueue:
            queue = FairQueue(shares, {})
            # The queue estimates waiting times only after it has measured a service
            # rate, so one request is taken first.
            queue.offer(QueueItem("first", "account-0", "urgent", 5000, 0))
            queue.take(1000, 5000)
            for item in make_items(count - 200, "early", seed):
                queue.offer(item)
            return queue

        queue, allocated = traced_bytes(build)
        memory.add(count - 200, allocated)
        started = time.process_time()
        for item in last:
            queue.offer(item)
        offer.add(count, (time.process_time() - started) * 1e6 / 200)
        started = time.process_time()
        for _ in range(200):
            queue.take(2000, 1)
        take.add(count, (time.process_time() - started) * 1e6 / 200)
    return [offer, take, memory, Scalar("accounts in the queue", "accounts", 200)]
