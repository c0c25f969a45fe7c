"""Tests of the task that executes the effects of a replica."""

import asyncio
import random
import threading

import pytest

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.agreement import (
    Entry,
    Replica,
    ReplicaId,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    Timing,
    encode_message,
)
from mustardtrack.agreement.messages import AppendReply, PreVoteReply, VoteReply
from mustardtrack.configuration import Proposal, encode_proposal
from mustardtrack.configuration.documents import DocumentStore, PutDocument
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.ports import Clock
from mustardtrack.process import replica_task
from mustardtrack.process.replica_task import STORAGE_FAILED, ReplicaTask
from mustardtrack.testing.disks import DiskCrashError, MemoryDisk

A, B, C = ReplicaId("a", "a.1"), ReplicaId("b", "b.1"), ReplicaId("c", "c.1")
LIMIT_S = 5


class ManualClock(Clock):
    """Clock that the test sets."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        """Return the time that the test set."""
        return self.time_ms

    def wall_ms(self):
        """Return the time that the test set."""
        return self.time_ms


class BlockableDisk(MemoryDisk):
    """Disk on which a write waits while the test holds it."""

    def __init__(self, disk):
        super().__init__(disk)
        self.may_write = threading.Event()
        self.may_write.set()
        self.is_waiting = threading.Event()

    def persist(self, operations, sync=True):
        """Wait until the test allows writes."""
        if not self.may_write.is_set():
            self.is_waiting.set()
            assert self.may_write.wait(LIMIT_S)
        super().persist(operations, sync)


class RestartedReplica:
    """Replica that restarts with document 1 in its snapshot and 2 in its log."""

    def __init__(self, disk=None):
        store = DocumentStore()
        store.apply(1, PutDocument(1, b"one"), 0)
        snapshot = Snapshot(1, 1, (A, B, C), store.snapshot())
        payload = encode_proposal(Proposal(0, PutDocument(2, b"two")))
        self.disk = disk or BlockableDisk("a")
        self.disk.persist(
            [
                SaveVote(1, None),
                SaveSnapshot(snapshot),
                SaveEntries((Entry(1, 2, "command", payload),)),
            ]
        )
        self.clock = ManualClock()
        replica = Replica(A, self.disk.load(), Timing(), random.Random(1), 0)
        self.task = ReplicaTask(
            A,
            replica,
            self.disk,
            DocumentStore.restore(snapshot.state),
            snapshot.index,
            lambda name, data: None,
            self.clock,
            InMemoryMetrics(),
            20,
            DocumentStore.restore,
        )

    def receive(self, message):
        """Hand a message of the replica b to the task."""
        self.task.receive_message(encode_message(B, A, message))

    async def win_election(self):
        """Become the leader by the votes of b."""
        self.clock.time_ms = 3000
        await self.wait_for_role("pre_candidate")
        self.receive(PreVoteReply(2, True))
        await self.wait_for_role("candidate")
        self.receive(VoteReply(2, True))
        await self.wait_for_role("leader")

    async def wait_for_role(self, role):
        """Wait until the replica has a role."""
        async with asyncio.timeout(LIMIT_S):
            while self.task.status().role != role:
                await asyncio.sleep(0.005)


def test_new_leader_does_not_read_before_it_applied_what_it_committed():
    """Guards against a read of an older document than the acknowledged one."""

    async def read_while_disk_is_busy():
        restarted = RestartedReplica()
        task = restarted.task
        running = asyncio.ensure_future(task.run())
        await restarted.win_election()
        # The reply commits the log, and the command needs a write in the same batch.
        restarted.disk.may_write.clear()
        submitted = asyncio.ensure_future(task.submit(PutDocument(3, b"three")))
        await asyncio.sleep(0)
        restarted.receive(AppendReply(2, True, 3, 3, 3, 1, restarted.clock.time_ms))
        await asyncio.to_thread(restarted.disk.is_waiting.wait, LIMIT_S)
        during = task.is_leader(), task.state_machine.document.version
        restarted.disk.may_write.set()
        async with asyncio.timeout(LIMIT_S):
            while not task.is_leader():
                await asyncio.sleep(0.005)
        after = task.is_leader(), task.state_machine.document.version
        for pending in (running, submitted):
            pending.cancel()
        await asyncio.gather(running, submitted, return_exceptions=True)
        return during, after

    during, after = asyncio.run(read_while_disk_is_busy())
    assert during != (True, 1), "reads the document before the acknowledged one"
    assert during[0] is False
    assert after == (True, 2)


class RefusingDisk(BlockableDisk):
    """Disk that refuses operations of one type while the test says so."""

    refused_type: type | None = None

    def persist(self, operations, sync=True):
        """Refuse a call with an operation of the refused type."""
        refused = self.refused_type
        self.is_full = refused is not None and any(
            isinstance(operation, refused) for operation in operations
        )
        super().persist(operations, sync)


@pytest.mark.parametrize("refused_type", [SaveEntries, SaveSnapshot])
def test_refused_write_ends_the_replica_and_is_logged(refused_type, monkeypatch):
    """Guards against a host that stops without naming its disk as the reason."""
    monkeypatch.setattr(replica_task, "COMPACTION_ENTRIES", 1)
    logged = []

    def record(event, fields):
        logged.append(event)

    async def run_until_refused():
        restarted = RestartedReplica(RefusingDisk("a"))
        running = asyncio.ensure_future(restarted.task.run())
        await restarted.win_election()
        restarted.disk.refused_type = refused_type
        submitted = asyncio.ensure_future(restarted.task.submit(PutDocument(3, b"")))
        await asyncio.sleep(0)
        restarted.receive(AppendReply(2, True, 3, 3, 3, 1, restarted.clock.time_ms))
        try:
            async with asyncio.timeout(LIMIT_S):
                await running
        finally:
            submitted.cancel()

    add_event_listener(record)
    try:
        with pytest.raises(DiskCrashError):
            asyncio.run(run_until_refused())
    finally:
        remove_event_listener(record)
    assert logged.count(STORAGE_FAILED) == 1
