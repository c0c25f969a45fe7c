"""Control process: one replica, the operator API and configuration delivery."""

import asyncio
import random
from pathlib import Path

import msgspec

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.disk import DiskStorage
from mustardtrack.adapters.endpoint_client import HttpEndpointClient
from mustardtrack.adapters.processwatch import ProcessWatch
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.agreement import Replica, ReplicaId, Timing
from mustardtrack.configuration import (
    Configuration,
    decode_command,
    encode_changes,
)
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import (
    CommandReply,
    CommandRequest,
    FollowReply,
    FollowRequest,
    RouterHeartbeat,
)
from mustardtrack.process.control_client import ControlClient
from mustardtrack.process.formation import form_group, handle_form_request
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.metrics import create_metrics
from mustardtrack.process.operators import OperatorApi, RowSource
from mustardtrack.process.replica_task import ReplicaTask
from mustardtrack.process.weight_loads import WeightLoadTask
from mustardtrack.settings import Settings

TASK_FAILED = define_event(
    8311, "ERROR", "task of the control process failed, shutting down"
)
MAX_FOLLOW_WAIT_MS = 10_000


class ControlProcess(DaemonProcess):
    """One control replica with its adapters."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._own_peer = settings.own_control()
        self._clock = SystemClock()
        self._metrics = create_metrics(settings)
        self._addresses = {peer.name: peer.bus for peer in settings.control}
        self._bus = Bus(settings.name, self._own_peer.bus)
        self._names = {peer.bus: peer.name for peer in settings.control}
        self._process_watch = ProcessWatch(self._clock, self._record_end)
        self._bus.report_lost_connections(self._process_watch.record_lost_connection)
        self._router_heartbeats: dict[str, tuple[RouterHeartbeat, int]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Load the stored state, bind the ports and start the replica."""
        self._create_replica()
        self._bus.handle("agreement", self._receive_agreement)
        self._bus.handle("command", self._receive_command)
        self._bus.handle("follow", self._receive_follow)
        self._bus.handle("form", self._receive_form)
        self._bus.handle("heartbeat", self._receive_heartbeat)
        self._bus.start()
        self._http = HttpEndpointClient()
        self._client = ControlClient(self._bus, self._settings.control)
        self._api = OperatorApi(
            self._settings,
            self._client,
            self._create_row_source(),
            self._form_group,
            self._status,
        )
        self._api.listen(self._own_peer.operators)
        loads = WeightLoadTask(self._replica_task, self._client, self._http)
        for coroutine in (self._replica_task.run(), loads.run()):
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(self._on_task_done)
            self._tasks.append(task)

    def _create_replica(self) -> None:
        assert self._settings.data_folder is not None
        self._storage = DiskStorage(Path(self._settings.data_folder))
        stored = self._storage.load()
        replica_id = ReplicaId(self._settings.name, stored.disk)
        timing = Timing(
            heartbeat_ms=self._settings.timing.heartbeat_ms,
            election_timeout_ms=self._settings.timing.election_timeout_ms,
        )
        self._replica_id = replica_id
        peers = [peer.name for peer in self._settings.control]
        replica = Replica(
            replica_id, stored, timing, random.Random(), self._clock.now_ms()
        )
        replica.set_join_targets(peers)
        configuration = Configuration(self._settings.parallel_weight_loads)
        applied = 0
        if stored.snapshot is not None:
            configuration = self._restore_configuration(stored.snapshot.state)
            applied = stored.snapshot.index
        self._replica_task = ReplicaTask(
            replica_id,
            replica,
            self._storage,
            configuration,
            applied,
            self._send_agreement_message,
            self._clock,
            self._metrics,
            self._settings.timing.tick_ms,
            self._restore_configuration,
        )

    def _restore_configuration(self, state: bytes) -> Configuration:
        return Configuration.restore(state, self._settings.parallel_weight_loads)

    def _send_agreement_message(self, name: str, data: bytes) -> None:
        address = self._addresses.get(name)
        if address is not None:
            self._bus.post(address, "agreement", data)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or self._stopping:
            return
        log_event(TASK_FAILED, error=repr(task.exception()))
        # Without its replica or its disk the process must not answer any request.
        self.fail()

    async def _receive_agreement(self, sender: str, body: bytes) -> None:
        self._replica_task.receive_message(body)

    def _record_end(self, address: str, probed_ms: int) -> None:
        if address in self._names:
            self._replica_task.record_end(self._names[address], probed_ms)

    async def _receive_command(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=CommandRequest)
        if self._stopping:
            return msgspec.msgpack.encode(CommandReply("not_leader"))
        # Decoded first so that a malformed command fails this call, not the replica.
        command = decode_command(request.payload)
        return msgspec.msgpack.encode(await self._replica_task.submit(command))

    async def _receive_follow(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=FollowRequest)
        wait_ms = min(request.wait_ms, MAX_FOLLOW_WAIT_MS)
        await self._replica_task.wait_for_revision(request.have_revision, wait_ms)
        configuration = self._replica_task.state_machine
        changes = configuration.changes_since(request.have_revision)
        reply = FollowReply(
            revision=configuration.revision,
            changes=b"" if changes is None else encode_changes(changes),
            snapshot=configuration.copy_snapshot() if changes is None else b"",
            stale_ms=self._replica_task.status().stale_ms,
        )
        return msgspec.msgpack.encode(reply)

    async def _receive_form(self, sender: str, body: bytes) -> bytes:
        return await handle_form_request(self._replica_task, self._replica_id, body)

    async def _receive_heartbeat(self, sender: str, body: bytes) -> None:
        heartbeat = msgspec.msgpack.decode(body, type=RouterHeartbeat)
        known = self._router_heartbeats.get(heartbeat.name)
        if known is None or heartbeat.sequence >= known[0].sequence:
            self._router_heartbeats[heartbeat.name] = (heartbeat, self._clock.now_ms())

    async def _form_group(self) -> list[tuple[str, str]]:
        return await form_group(self._bus, self._addresses)

    def _status(self) -> dict[str, object]:
        status = self._replica_task.status()
        return {
            "role": "control",
            "name": self._settings.name,
            "replica": status.role,
            "term": status.term,
            "leader": status.leader.name if status.leader else None,
            "revision": self._replica_task.state_machine.revision,
            "commit_index": status.commit_index,
            "voters": [voter.name for voter in status.voters],
            "learners": [learner.name for learner in status.learners],
            "stale_ms": status.stale_ms,
            "refused": status.refused,
        }

    def _create_row_source(self) -> RowSource:
        return RowSource(
            objects=lambda kind: self._replica_task.state_machine.objects(kind),
            hosts=self._host_rows,
            endpoints=lambda: {},
            requests=list,
            counters=lambda: self._metrics.counters,
            revision=lambda: self._replica_task.state_machine.revision,
            stale_ms=lambda: self._replica_task.status().stale_ms,
            quarantined=lambda: self._replica_task.state_machine.quarantined(),
        )

    def _host_rows(self) -> list[dict[str, object]]:
        now_ms = self._clock.now_ms()
        lease_ms = self._settings.timing.lease_ms
        return [
            {
                "name": heartbeat.name,
                "address": heartbeat.address,
                "zone": heartbeat.zone,
                "state": heartbeat.state if now_ms - seen_ms < lease_ms else "gone",
                "revision": heartbeat.revision,
                "in_force": heartbeat.revision
                >= self._replica_task.state_machine.revision,
            }
            for heartbeat, seen_ms in self._router_heartbeats.values()
        ]

    async def stop(self) -> list[str]:
        """Complete open proposals, cancel the tasks and close the ports."""
        self._stopping = True
        await self._api.stop()
        await asyncio.sleep(self._settings.timing.tick_ms * 2 / 1000)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._storage.close()
        self._process_watch.stop()
        await self._http.close()
        await self._bus.stop()
        return []

    def open_requests(self) -> list[str]:
        """Return an empty list: senders retry proposals that were not answered."""
        return []

    def reload_certificates(self) -> None:
        """Reload the TLS files."""
        self._api.reload_certificates()
