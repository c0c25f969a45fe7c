"""Task that owns one control replica: its log, its disk and its state machine.

All inputs pass through one queue. Inputs that wait together are handled as one
batch, so that one sync of the disk serves many proposals.
"""

import asyncio
from collections.abc import Callable
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

LEADERSHIP = define_event(8301, "INFO", "leadership changed")
SNAPSHOT_INSTALLED = define_event(8302, "INFO", "snapshot installed")
MESSAGE_REFUSED = define_event(8303, "WARNING", "agreement message refused")
APPLY_ORDER = define_event(8304, "ERROR", "committed entries are not consecutive")
STORAGE_FAILED = define_event(8305, "ERROR", "storage failed, the replica stops")

COMPACT_ENTRIES = 5000
# Documents of 100 kB fill a disk of 128 MB long before the limit on entries.
COMPACT_BYTES = 2_000_000
MAX_BATCH = 512

StateT = TypeVar("StateT", bound=StateMachine)


@dataclass
class _Proposal:
    command: Command
    reply: "asyncio.Future[CommandReply]"


@dataclass
class _Delivery:
    data: bytes


@dataclass
class _Formation:
    voters: tuple[ReplicaId, ...]
    reply: "asyncio.Future[None]"


class ReplicaTask(Generic[StateT]):
    """Runs one replica.

    Args:
        me: Identity of the replica.
        replica: Rules of the replicated log.
        storage: Durable storage of this replica.
        configuration: State machine, as restored from the stored snapshot.
        applied_index: Index of the last entry contained in ``configuration``.
        send: Callable ``send(name, data)`` that posts to a replica by name.
        clock: Clock.
        metrics: Metrics.
        tick_ms: Period of the replica's timer.
        restore: Builds the state machine from the state of a snapshot.
    """

    def __init__(
        self,
        me: ReplicaId,
        replica: Replica,
        storage: ReplicaStorage,
        configuration: StateT,
        applied_index: int,
        send: Callable[[str, bytes], None],
        clock: Clock,
        metrics: Metrics,
        tick_ms: int,
        restore: Callable[[bytes], StateT],
    ):
        self._me = me
        self._replica = replica
        self._storage = storage
        self.configuration = configuration
        self._applied = applied_index
        self._compacted = applied_index
        self._applied_bytes = 0
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._tick_ms = tick_ms
        self._restore = restore
        self._queue: asyncio.Queue[_Proposal | _Delivery | _Formation] = asyncio.Queue()
        self._waiting: dict[int, tuple[int, asyncio.Future[CommandReply]]] = {}
        self._changed = asyncio.Event()

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the configuration."""
        return self._applied

    def leads(self) -> bool:
        """Return whether this replica leads with a valid lease."""
        return self._replica.lease_valid(self._clock.now_ms())

    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
        return self._replica.status(self._clock.now_ms())

    def deliver(self, data: bytes) -> None:
        """Hand over an agreement message."""
        self._queue.put_nowait(_Delivery(data))

    async def submit(self, command: Command) -> CommandReply:
        """Commit one command and return its outcome."""
        reply: asyncio.Future[CommandReply] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Proposal(command, reply))
        return await reply

    async def form(self, voters: tuple[ReplicaId, ...]) -> None:
        """Store the first voter set."""
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Formation(voters, reply))
        await reply

    async def wait_for_revision(self, above: int, timeout_ms: int) -> None:
        """Return when the revision exceeds ``above`` or the time is over."""
        deadline = self._clock.now_ms() + timeout_ms
        while self.configuration.revision <= above:
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
            OSError: If storage fails; the process must end, since it can no longer
                promise that what it acknowledges is kept.
        """
        next_tick = self._clock.now_ms()
        while True:
            batch = await self._next_batch(next_tick)
            effects = [effect for item in batch for effect in self._handle(item)]
            now_ms = self._clock.now_ms()
            if now_ms >= next_tick:
                effects.append(self._replica.tick(now_ms))
                next_tick = now_ms + self._tick_ms
            await self._carry_out(merge_effects(effects))
            self._compact_if_due()

    async def _next_batch(
        self, next_tick: int
    ) -> list[_Proposal | _Delivery | _Formation]:
        wait_ms = max(0, next_tick - self._clock.now_ms())
        batch = []
        try:
            async with asyncio.timeout(wait_ms / 1000):
                batch.append(await self._queue.get())
        except TimeoutError:
            return []
        while len(batch) < MAX_BATCH and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch

    def _handle(self, item: _Proposal | _Delivery | _Formation) -> list[Effects]:
        now_ms = self._clock.now_ms()
        if isinstance(item, _Delivery):
            return self._receive(item.data, now_ms)
        if isinstance(item, _Formation):
            return self._form(item, now_ms)
        payload = encode_proposal(Proposal(self._clock.wall_ms(), item.command))
        result, effects = self._replica.propose(payload, now_ms)
        if isinstance(result, NotLeader):
            leader = result.leader.name if result.leader else ""
            _resolve(item.reply, CommandReply("not_leader", leader=leader))
        else:
            self._waiting[result.index] = (result.term, item.reply)
        return [effects]

    def _receive(self, data: bytes, now_ms: int) -> list[Effects]:
        try:
            decoded = decode_message(data, self._me)
        except msgspec.DecodeError as error:
            log_event(MESSAGE_REFUSED, reason=str(error))
            return []
        if decoded is None:
            return []
        sender, message = decoded
        return [self._replica.receive(sender, message, now_ms)]

    def _form(self, item: _Formation, now_ms: int) -> list[Effects]:
        try:
            effects = self._replica.form(item.voters, now_ms)
        except FormationRefusedError as error:
            item.reply.set_exception(error)
            return []
        _resolve(item.reply, None)
        return [effects]

    async def _carry_out(self, effects: Effects) -> None:
        if effects.persist:
            started = self._clock.now_ms()
            await self._persist(effects)
            self._metrics.timing("control.persist", self._clock.now_ms() - started)
        for receiver, message in effects.send:
            self._send(receiver.name, encode_message(self._me, receiver, message))
        if effects.install is not None:
            self._install(effects.install.index, effects.install.state)
        for entry in effects.committed:
            self._apply(entry)
        if effects.committed or effects.install is not None:
            self._notify()
        if effects.leadership is not None:
            self._change_leadership(effects)

    async def _persist(self, effects: Effects) -> None:
        try:
            await asyncio.to_thread(
                self._storage.persist, effects.persist, effects.synced
            )
        except OSError as error:
            log_event(STORAGE_FAILED, error=str(error))
            raise

    def _install(self, index: int, state: bytes) -> None:
        self.configuration = self._restore(state)
        self._applied = index
        self._compacted = index
        self._applied_bytes = 0
        self._fail_waiting()
        log_event(SNAPSHOT_INSTALLED, index=index)

    def _apply(self, entry: Entry) -> None:
        require_invariant(
            entry.index == self._applied + 1,
            APPLY_ORDER,
            index=entry.index,
            applied=self._applied,
        )
        outcome = None
        if entry.kind == "command":
            proposal = decode_proposal(entry.payload)
            outcome = self.configuration.apply(
                entry.index, proposal.command, proposal.wall_ms
            )
        self._applied = entry.index
        self._applied_bytes += len(entry.payload)
        term, reply = self._waiting.pop(entry.index, (0, None))
        if reply is None:
            return
        if term == entry.term and outcome is not None:
            _resolve(reply, CommandReply("committed", encode_outcome(outcome)))
        else:
            _resolve(reply, CommandReply("not_leader"))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _change_leadership(self, effects: Effects) -> None:
        change = effects.leadership
        assert change is not None
        leader = change.leader.name if change.leader else ""
        log_event(LEADERSHIP, role=change.role, term=change.term, leader=leader)
        self._metrics.count(f"control.role.{change.role}")
        if change.role != "leader":
            self._fail_waiting()

    def _fail_waiting(self) -> None:
        for _, reply in self._waiting.values():
            _resolve(reply, CommandReply("unknown"))
        self._waiting.clear()

    def _compact_if_due(self) -> None:
        entries = self._applied - self._compacted
        if entries < COMPACT_ENTRIES and self._applied_bytes < COMPACT_BYTES:
            return
        effects = self._replica.compact(self._applied, self.configuration.snapshot())
        self._storage.persist(effects.persist, effects.synced)
        self._compacted = self._applied
        self._applied_bytes = 0


def _resolve(future: "asyncio.Future[Any]", value: object) -> None:
    if not future.done():
        future.set_result(value)
