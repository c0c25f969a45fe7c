"""Task that owns one control replica: its log, its storage and its state machine.

All inputs pass through one queue. Queued inputs are handled as one batch, so that
one sync of the disk serves many proposals.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from mustardtrack.agreement import (
    Effects,
    Entry,
    FormationRefusedError,
    NotLeader,
    Replica,
    ReplicaId,
    ReplicaStatus,
    decode_message,
    encode_message,
    merge_effects,
)
from mustardtrack.configuration import (
    Command,
    Proposal,
    decode_proposal,
    encode_outcome,
    encode_proposal,
)
from mustardtrack.configuration.statemachine import StateMachine
from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.ports import Clock, CommandReply, Metrics, ReplicaStorage

LEADERSHIP_CHANGED = define_event(8301, "INFO", "leadership changed")
SNAPSHOT_INSTALLED = define_event(8302, "INFO", "snapshot installed")
MESSAGE_REFUSED = define_event(8303, "WARNING", "malformed agreement message rejected")
APPLY_OUT_OF_ORDER = define_event(
    8304, "ERROR", "committed entries are not consecutive"
)
STORAGE_FAILED = define_event(8305, "ERROR", "storage failed, stopping the replica")

COMPACTION_ENTRIES = 5000
# Documents of 100 kB would fill a disk of 128 MB long before COMPACTION_ENTRIES.
COMPACTION_BYTES = 2_000_000
MAX_BATCH_INPUTS = 512

StateT = TypeVar("StateT", bound=StateMachine)


@dataclass
class _Proposal:
    command: Command
    reply: "asyncio.Future[CommandReply]"


@dataclass
class _IncomingMessage:
    data: bytes


@dataclass
class _Formation:
    voters: tuple[ReplicaId, ...]
    reply: "asyncio.Future[None]"


@dataclass
class _ProcessEnd:
    name: str
    probed_ms: int


_Input = _Proposal | _IncomingMessage | _Formation | _ProcessEnd


class ReplicaTask(Generic[StateT]):
    """Runs one replica.

    Args:
        replica_id: Identity of the replica.
        replica: Consensus state of this replica; this task executes its effects.
        storage: Durable storage of this replica.
        state_machine: State machine, as restored from the stored snapshot.
        applied_index: Index of the last entry contained in ``state_machine``.
        send: Callable ``send(name, data)`` that posts a message to a replica.
        clock: Clock.
        metrics: Metrics.
        tick_ms: Interval between two ticks of the replica.
        restore: Builds the state machine from the state of a snapshot.
    """

    def __init__(
        self,
        replica_id: ReplicaId,
        replica: Replica,
        storage: ReplicaStorage,
        state_machine: StateT,
        applied_index: int,
        send: Callable[[str, bytes], None],
        clock: Clock,
        metrics: Metrics,
        tick_ms: int,
        restore: Callable[[bytes], StateT],
    ):
        self._replica_id = replica_id
        self._replica = replica
        self._storage = storage
        self.state_machine = state_machine
        self._applied_index = applied_index
        self._compacted_index = applied_index
        self._bytes_since_compaction = 0
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._tick_ms = tick_ms
        self._restore_state_machine = restore
        self._queue: asyncio.Queue[_Input] = asyncio.Queue()
        self._pending_replies: dict[int, tuple[int, asyncio.Future[CommandReply]]] = {}
        self._changed = asyncio.Event()

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
        return self._applied_index

    def is_leader(self) -> bool:
        """Return whether this replica may answer reads as the leader.

        Its lease must be valid, and its state machine must include what earlier
        leaders acknowledged. Committed entries are applied only after a write of the
        same batch.
        """
        return (
            self._replica.lease_valid(self._clock.now_ms())
            and self._applied_index >= self._replica.read_index()
        )

    def status(self) -> ReplicaStatus:
        """Return the status of the replica."""
        return self._replica.status(self._clock.now_ms())

    def receive_message(self, data: bytes) -> None:
        """Queue an encoded agreement message."""
        self._queue.put_nowait(_IncomingMessage(data))

    def record_end(self, name: str, probed_ms: int) -> None:
        """Queue the notice that the process of another replica has ended.

        Args:
            name: Name of the replica.
            probed_ms: Time at which its process was known to have ended.
        """
        self._queue.put_nowait(_ProcessEnd(name, probed_ms))

    async def submit(self, command: Command) -> CommandReply:
        """Commit one command and return its outcome."""
        reply: asyncio.Future[CommandReply] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Proposal(command, reply))
        return await reply

    async def form(self, voters: tuple[ReplicaId, ...]) -> None:
        """Store the initial voter set.

        Raises:
            FormationRefusedError: If the replica refuses the voter set.
        """
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Formation(voters, reply))
        await reply

    async def wait_for_revision(self, known_revision: int, timeout_ms: int) -> None:
        """Wait for a revision above ``known_revision``, at most ``timeout_ms``."""
        deadline = self._clock.now_ms() + timeout_ms
        while self.state_machine.revision <= known_revision:
            remaining = deadline - self._clock.now_ms()
            if remaining <= 0:
                return
            changed = self._changed
            try:
                async with asyncio.timeout(remaining / 1000):
                    await changed.wait()
            except TimeoutError:
                return

    async def run(self) -> None:
        """Handle inputs until cancelled.

        Raises:
            OSError: If storage fails. The process must end, since acknowledged
                entries would no longer be durable.
        """
        next_tick = self._clock.now_ms()
        while True:
            batch = await self._next_batch(next_tick)
            effects = [effect for item in batch for effect in self._handle_input(item)]
            now_ms = self._clock.now_ms()
            if now_ms >= next_tick:
                effects.append(self._replica.tick(now_ms))
                next_tick = now_ms + self._tick_ms
            await self._execute_effects(merge_effects(effects))
            self._compact_if_due()

    async def _next_batch(self, next_tick: int) -> list[_Input]:
        wait_ms = max(0, next_tick - self._clock.now_ms())
        batch = []
        try:
            async with asyncio.timeout(wait_ms / 1000):
                batch.append(await self._queue.get())
        except TimeoutError:
            return []
        while len(batch) < MAX_BATCH_INPUTS and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch

    def _handle_input(self, item: _Input) -> list[Effects]:
        now_ms = self._clock.now_ms()
        if isinstance(item, _IncomingMessage):
            return self._handle_message(item.data, now_ms)
        if isinstance(item, _Formation):
            return self._handle_formation(item, now_ms)
        if isinstance(item, _ProcessEnd):
            return [self._replica.record_end(item.name, item.probed_ms, now_ms)]
        payload = encode_proposal(Proposal(self._clock.wall_ms(), item.command))
        result, effects = self._replica.propose(payload, now_ms)
        if isinstance(result, NotLeader):
            leader = result.leader.name if result.leader else ""
            _set_result(item.reply, CommandReply("not_leader", leader=leader))
        else:
            self._pending_replies[result.index] = (result.term, item.reply)
        return [effects]

    def _handle_message(self, data: bytes, now_ms: int) -> list[Effects]:
        try:
            decoded = decode_message(data, self._replica_id)
        except msgspec.DecodeError as error:
            log_event(MESSAGE_REFUSED, reason=str(error))
            return []
        if decoded is None:
            return []
        sender, message = decoded
        return [self._replica.receive(sender, message, now_ms)]

    def _handle_formation(self, item: _Formation, now_ms: int) -> list[Effects]:
        try:
            effects = self._replica.form(item.voters, now_ms)
        except FormationRefusedError as error:
            item.reply.set_exception(error)
            return []
        _set_result(item.reply, None)
        return [effects]

    async def _execute_effects(self, effects: Effects) -> None:
        if effects.persist:
            started = self._clock.now_ms()
            await self._persist(effects)
            self._metrics.timing("control.persist", self._clock.now_ms() - started)
        for receiver, message in effects.send:
            self._send(
                receiver.name, encode_message(self._replica_id, receiver, message)
            )
        if effects.snapshot_to_install is not None:
            self._install_snapshot(
                effects.snapshot_to_install.index, effects.snapshot_to_install.state
            )
        for entry in effects.committed:
            self._apply(entry)
        if effects.committed or effects.snapshot_to_install is not None:
            self._notify_waiters()
        if effects.leadership is not None:
            self._change_leadership(effects)

    async def _persist(self, effects: Effects) -> None:
        with _storage_failure_logged():
            await asyncio.to_thread(
                self._storage.persist, effects.persist, effects.needs_sync
            )

    def _install_snapshot(self, index: int, state: bytes) -> None:
        self.state_machine = self._restore_state_machine(state)
        self._applied_index = index
        self._compacted_index = index
        self._bytes_since_compaction = 0
        self._fail_pending_replies()
        log_event(SNAPSHOT_INSTALLED, index=index)

    def _apply(self, entry: Entry) -> None:
        require_invariant(
            entry.index == self._applied_index + 1,
            APPLY_OUT_OF_ORDER,
            index=entry.index,
            applied=self._applied_index,
        )
        outcome = None
        if entry.kind == "command":
            proposal = decode_proposal(entry.payload)
            outcome = self.state_machine.apply(
                entry.index, proposal.command, proposal.wall_ms
            )
        self._applied_index = entry.index
        self._bytes_since_compaction += len(entry.payload)
        term, reply = self._pending_replies.pop(entry.index, (0, None))
        if reply is None:
            return
        if term == entry.term and outcome is not None:
            _set_result(reply, CommandReply("committed", encode_outcome(outcome)))
        else:
            _set_result(reply, CommandReply("not_leader"))

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _change_leadership(self, effects: Effects) -> None:
        change = effects.leadership
        assert change is not None
        leader = change.leader.name if change.leader else ""
        log_event(LEADERSHIP_CHANGED, role=change.role, term=change.term, leader=leader)
        self._metrics.count(f"control.role.{change.role}")
        if change.role != "leader":
            self._fail_pending_replies()

    def _fail_pending_replies(self) -> None:
        for _, reply in self._pending_replies.values():
            _set_result(reply, CommandReply("unknown"))
        self._pending_replies.clear()

    def _compact_if_due(self) -> None:
        entries = self._applied_index - self._compacted_index
        if (
            entries < COMPACTION_ENTRIES
            and self._bytes_since_compaction < COMPACTION_BYTES
        ):
            return
        effects = self._replica.compact(
            self._applied_index, self.state_machine.snapshot()
        )
        with _storage_failure_logged():
            self._storage.persist(effects.persist, effects.needs_sync)
        self._compacted_index = self._applied_index
        self._bytes_since_compaction = 0


@contextmanager
def _storage_failure_logged() -> Iterator[None]:
    """Log an error of the storage, which ends the replica."""
    try:
        yield
    except OSError as error:
        log_event(STORAGE_FAILED, error=str(error))
        raise


def _set_result(future: "asyncio.Future[Any]", value: object) -> None:
    if not future.done():
        future.set_result(value)
