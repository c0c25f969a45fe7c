"""Control process that discovers its peers through seed addresses."""

import asyncio
import contextlib
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.disk import DiskStorage
from mustardtrack.adapters.exposition import serve_metrics
from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.processwatch import ProcessWatch
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.admission.partcrashes import (
    SEARCH_PERIOD_MS,
    PartCrashes,
    RefusedParts,
)
from mustardtrack.admission.partwatch import PartReport
from mustardtrack.agreement import (
    FormationRefusedError,
    Replica,
    ReplicaId,
    Timing,
)
from mustardtrack.configuration.commands import (
    Command,
    decode_command,
    encode_command,
)
from mustardtrack.configuration.documents import (
    DocumentCommand,
    DocumentOutcome,
    DocumentStore,
    summarize_command,
)
from mustardtrack.configuration.outcomes import decode_outcome
from mustardtrack.configuration.routes import RouteTable, Service
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.directory import RouterEntry
from mustardtrack.membership.endpoint_list import EndpointList
from mustardtrack.membership.endpoint_list_changes import EndpointListHistory
from mustardtrack.platform.manifests import decode_manifest
from mustardtrack.ports import CommandReply, CommandRequest
from mustardtrack.ports.sync_messages import (
    UNCONFIRMED_STALE_MS,
    ControlHosts,
    DocumentReadReply,
    PromptProgress,
    SyncReply,
    SyncRequest,
)
from mustardtrack.ports.syncdetails import omit_known
from mustardtrack.process.cache_watch import CacheWatch
from mustardtrack.process.compressed_document import CompressedDocument
from mustardtrack.process.control_api import ControlApi
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.process.formation import form_group, handle_form_request
from mustardtrack.process.host_resources import open_listeners
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.lost_requests import LostRequestRecorder
from mustardtrack.process.metrics import count_events
from mustardtrack.process.placement_service import PlacementService
from mustardtrack.process.replica_task import ReplicaTask
from mustardtrack.process.router_directory import create_directory
from mustardtrack.process.settings_watch import SettingsWatch
from mustardtrack.process.vote_hand_over import hand_over_vote
from mustardtrack.routing.pace import create_pace
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.settings import SeededSettings

TASK_FAILED = define_event(
    8911, "ERROR", "task of the control process failed, shutting down"
)
GROUP_FORMED = define_event(8912, "INFO", "control group formed")
COMMAND_COMMITTED = define_event(8913, "INFO", "configuration command committed")
COMMAND_UNCONFIRMED = define_event(
    8914, "WARNING", "configuration command was not confirmed in time"
)
PART_RELEASED = define_event(
    8915, "INFO", "an operator has released a refused prompt part"
)

FORM_RETRY_S = 0.2
FORM_TIMEOUT_MS = 500
# Operators give up on a host after one second without an answer.
COMMAND_TIMEOUT_MS = 700
COMMAND_RETRY_S = 0.05
# Time during which a stopping host still accepts calls.
MIN_DRAIN_S = 0.3
# Calls last as long as a command; the rest is for sending the answers.
MAX_CALL_S = COMMAND_TIMEOUT_MS / 1000 + 0.5
# Entries hold whole documents, which are large; a slow replica gets a snapshot
# instead of old entries.
RETAINED_LOG_ENTRIES = 20


class SeededControlProcess(DaemonProcess):
    """One control replica with the router directory and the operators' HTTP API."""

    def __init__(self, settings: SeededSettings, path: str):
        self._settings = settings
        self._settings_watch = SettingsWatch(path, self._apply_settings)
        self._name = settings.bus_address
        self._clock = SystemClock()
        self.metrics = InMemoryMetrics()
        count_events(self.metrics)
        self._bus = Bus(self._name, self._name)
        self._process_watch = ProcessWatch(self._clock, self._record_end)
        self._bus.report_lost_connections(self._process_watch.record_lost_connection)
        pace = create_pace(settings.bounds.adaptive_start)
        self.placements = PlacementTable(settings.bounds.weights_ms, pace)
        self._placement_service = PlacementService(self, settings.bounds)
        self._lost_requests = LostRequestRecorder(self)
        self.part_crashes = PartCrashes(f"{self._name}/{random.getrandbits(32):08x}")
        self._evidence_revision = ""
        self._evidence_timer: asyncio.TimerHandle | None = None
        self._route_table: RouteTable | None = None
        self._endpoints = EndpointList()
        self._list_history = EndpointListHistory()
        self._control_names: list[str] = settings.seed_bus_addresses()
        self._control_names_term = 0
        self._changed = asyncio.Event()
        self._compressed_document = CompressedDocument()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Load the stored state, bind the ports and start the replica."""
        self._create_replica()
        is_formed = self._replica_task.status().formed
        self.directory = create_directory(self._settings, is_formed, self.now_ms())
        for topic, handler in (
            ("agreement", self._receive_agreement),
            ("command", self._receive_command),
            ("read", self._receive_read),
            ("form", self._receive_form),
            ("sync", self._receive_sync),
            ("hosts", self._receive_hosts),
            ("place", self._placement_service.place),
            ("allot", self._placement_service.allot),
            ("queued", self._placement_service.is_queued),
            ("progress", self._receive_progress),
            ("record_losses", self._lost_requests.receive),
            ("refused_parts", self._receive_refused_parts),
            ("release_part", self._receive_release_part),
        ):
            self._bus.handle(topic, handler)
        self._bus.start()
        voters = [voter.name for voter in self._replica_task.status().voters]
        self._bus.connect({*voters, *self._settings.seed_bus_addresses()})
        api = ControlApi(self, self._settings.bounds)
        self._endpoint_watch = EndpointWatch(self, self._settings)
        self._listen(api)
        self._cache_watch = CacheWatch(self)
        for coroutine in (
            self._replica_task.run(),
            self._notify_on_revision(),
            self._endpoint_watch.run(),
            self._cache_watch.run(),
            self._lost_requests.run(),
            self._settings_watch.run(),
        ):
            self._spawn(coroutine)
        if (
            self._settings.bootstrap
            and self._name in self._settings.seed_bus_addresses()
        ):
            self._spawn(self._form_group(), may_finish=True)

    def _listen(self, api: ControlApi) -> None:
        from twisted.internet import reactor

        listen = self._settings.listen
        addresses, limits = (listen.operators, listen.directory), self._settings.limits
        self._servers = open_listeners(reactor, addresses, api.handle, limits)
        metrics_port = self._settings.metrics_port
        if metrics_port is not None:
            serve_metrics(reactor, self._settings.host, metrics_port, self.metrics)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None], may_finish: bool = False
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        if not may_finish:
            task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _create_replica(self) -> None:
        settings = self._settings
        assert settings.data_folder is not None
        self._storage = DiskStorage(Path(settings.data_folder) / "replica")
        stored = self._storage.load()
        self._replica_id = ReplicaId(self._name, stored.disk)
        timing = Timing(
            heartbeat_ms=settings.timing.heartbeat_ms,
            election_timeout_ms=settings.timing.election_timeout_ms,
            retained_entries=RETAINED_LOG_ENTRIES,
            target_voters=2 * settings.tolerated_losses + 1,
        )
        replica = Replica(
            self._replica_id, stored, timing, random.Random(), self._clock.now_ms()
        )
        replica.set_join_targets(settings.seed_bus_addresses())
        self._replica = replica
        store, applied = DocumentStore(), 0
        if stored.snapshot is not None:
            store = DocumentStore.restore(stored.snapshot.state)
            applied = stored.snapshot.index
        self._replica_task = ReplicaTask(
            self._replica_id,
            replica,
            self._storage,
            store,
            applied,
            self._send_agreement_message,
            self._clock,
            self.metrics,
            settings.timing.tick_ms,
            DocumentStore.restore,
        )

    def _send_agreement_message(self, name: str, data: bytes) -> None:
        self._bus.post(name, "agreement", data)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or self._stopping:
            return
        log_event(TASK_FAILED, error=repr(task.exception()))
        # Without its replica or its disk the process must not answer any request.
        self.fail()

    # State read by the other tasks of the process

    @property
    def name(self) -> str:
        """Bus address of this replica, which is also its name."""
        return self._name

    @property
    def document_store(self) -> DocumentStore:
        """State built from the committed commands."""
        return self._replica_task.state_machine

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return self._clock.now_ms()

    def wall_ms(self) -> int:
        """Return wall-clock milliseconds."""
        return self._clock.wall_ms()

    def is_leader(self) -> bool:
        """Return whether this replica is the leader and its lease is valid."""
        return self._replica_task.is_leader()

    def term(self) -> int:
        """Return the current term."""
        return self._replica_task.status().term

    def endpoints(self) -> EndpointList:
        """Return the newest known endpoint list."""
        return self._endpoints

    def publish_endpoints(self, endpoints: EndpointList) -> None:
        """Apply a list that this leader built, and send it to the other replicas."""
        status = self._replica_task.status()
        names = [replica.name for replica in (*status.voters, *status.learners)]
        self._control_names, self._control_names_term = sorted(set(names)), status.term
        self._apply_endpoint_list(endpoints)
        rates = self.placements.rates.service_rates()
        ages = self.placements.weights_limit.ages(self.now_ms())
        message = ControlHosts(status.term, self._control_names, endpoints, rates, ages)
        body = msgspec.msgpack.encode(message)
        for name in self._control_names:
            if name != self._name:
                self._bus.post(name, "hosts", body)

    def _apply_endpoint_list(self, endpoints: EndpointList) -> None:
        if endpoints.list_version > self._endpoints.list_version:
            self._endpoints = endpoints
            self._list_history.add(endpoints)
            self.placements.update(endpoints.endpoints, self.now_ms())
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _notify_on_revision(self) -> None:
        while True:
            await self._replica_task.wait_for_revision(
                self.document_store.revision, 10_000
            )
            limit = self.placements.weights_limit
            limit.update(self.document_store.weights, self.now_ms())
            self._notify_waiters()

    # Formation

    async def _form_group(self) -> None:
        names = self._settings.seed_bus_addresses()
        while not self._replica_task.status().formed:
            try:
                await form_group(
                    self._bus, {name: name for name in names}, FORM_TIMEOUT_MS
                )
            except FormationRefusedError:
                await asyncio.sleep(FORM_RETRY_S)
        log_event(
            GROUP_FORMED,
            voters=[voter.name for voter in self._replica_task.status().voters],
        )

    async def _receive_form(self, sender: str, body: bytes) -> bytes:
        return await handle_form_request(self._replica_task, self._replica_id, body)

    # Bus messages

    async def _receive_agreement(self, sender: str, body: bytes) -> None:
        self._replica_task.receive_message(body)

    def _record_end(self, name: str, probed_ms: int) -> None:
        self._replica_task.record_end(name, probed_ms)

    async def _receive_hosts(self, sender: str, body: bytes) -> None:
        hosts = msgspec.msgpack.decode(body, type=ControlHosts)
        self.placements.weights_limit.adopt(hosts.weights_ages, self.now_ms())
        if hosts.term >= self._control_names_term:
            self.placements.rates.adopt(hosts.prefill_rates)
            self._control_names, self._control_names_term = hosts.names, hosts.term
        self._apply_endpoint_list(hosts.endpoints)

    async def _receive_sync(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=SyncRequest)
        self.directory.report(
            RouterEntry(
                name=request.name,
                zone=request.zone,
                callers=request.callers,
                is_ready=request.is_ready,
                seen_ms=self.now_ms(),
                capacity=request.capacity,
            )
        )
        self.part_crashes.adopt(request.refused_parts, self.now_ms())
        self.placements.weights_limit.adopt(request.weights_ages, self.now_ms())
        self._placement_service.observe_term()
        if not self._has_updates_for(request):
            with contextlib.suppress(TimeoutError):  # Then confirms what is known.
                async with asyncio.timeout(request.hold_ms / 1000):
                    await self._changed.wait()
        reply = omit_known(self._sync_reply(request), request.details_digest)
        return msgspec.msgpack.encode(reply)

    def _has_updates_for(self, request: SyncRequest) -> bool:
        known_order = (request.list_term, request.list_sequence)
        return (
            self.document_store.revision > request.revision
            or self._endpoints.list_version > known_order
            or self._has_crash_evidence_for(request)
        )

    def _has_crash_evidence_for(self, request: SyncRequest) -> bool:
        revision = self.part_crashes.revision(self.now_ms())
        return self.is_leader() and revision != request.crash_revision

    def _sync_reply(self, request: SyncRequest) -> SyncReply:
        store = self.document_store
        document = store.document
        is_outdated = request.document_version < document.version
        known_order = (request.list_term, request.list_sequence)
        is_newer_list = self._endpoints.list_version > known_order
        change = self._list_history.change_since(known_order) if is_newer_list else None
        status = self._replica_task.status()
        leader = status.leader
        is_leader, placements, now_ms = self.is_leader(), self.placements, self.now_ms()
        stale_ms = status.stale_ms if is_leader else UNCONFIRMED_STALE_MS
        routers = self.directory.count(self.now_ms())
        return SyncReply(
            stale_ms=stale_ms,
            revision=store.revision,
            document_version=document.version,
            content=self._compressed_document.compress(document)
            if is_outdated
            else b"",
            weights=store.weights,
            endpoints=self._endpoints if is_newer_list and not change else None,
            controls=self._control_names,
            router_count=routers.alive,
            leader=leader.name if leader else "",
            refused=store.crashes.refused(self.wall_ms()),
            change=change,
            crash_evidence=self.part_crashes.evidence(self.now_ms())
            if self._has_crash_evidence_for(request)
            else None,
            limits=placements.limits.due_observations(now_ms) if is_leader else {},
            prefill_rates=placements.rates.service_rates() if is_leader else {},
            weights_ages=placements.weights_limit.ages(now_ms),
            cache_generation=store.cache_sharing.generation,
            recent_router_count=routers.recent,
            pace_shares=self._placement_service.pace_shares(request.name),
        )

    # Prompt placement

    def usable_stores(self) -> list[Service]:
        """Return the KV cache stores whose events can be read."""
        return self._cache_watch.usable_stores()

    async def _receive_progress(self, sender: str, body: bytes) -> None:
        progress = msgspec.msgpack.decode(body, type=PromptProgress)
        self._placement_service.record_progress(progress)
        self._record_parts(progress.parts)

    def _record_parts(self, report: PartReport) -> None:
        now_ms, crashes = self.now_ms(), self.part_crashes
        crashes.record_answers(report.answer_count, report.answered, now_ms)
        crashes.record_lost(report.lost, now_ms)
        if report.lost or report.answered:
            self._publish_evidence()
            if self._evidence_timer is None:
                loop = asyncio.get_running_loop()
                delay_s = SEARCH_PERIOD_MS / 1000
                self._evidence_timer = loop.call_later(delay_s, self._recheck_evidence)

    def _recheck_evidence(self) -> None:
        """Publish what the reports since the last search show."""
        self._evidence_timer = None
        self._publish_evidence()

    def _publish_evidence(self) -> None:
        revision = self.part_crashes.revision(self.now_ms())
        if revision != self._evidence_revision:
            self._evidence_revision = revision
            self._notify_waiters()

    # Refused prompt parts, which the leader knows

    async def read_refused_parts(self) -> list[RefusedParts] | None:
        """Return what the leader refuses, None if it does not answer."""
        answer = await self._ask_leader("refused_parts", b"")
        if answer is None:
            return None
        return msgspec.msgpack.decode(answer, type=list[RefusedParts])

    async def release_part(self, part: str) -> bool | None:
        """Release a part; return whether it was refused, None without an answer."""
        answer = await self._ask_leader("release_part", msgspec.msgpack.encode(part))
        return None if answer is None else msgspec.msgpack.decode(answer, type=bool)

    async def _ask_leader(self, topic: str, body: bytes) -> bytes | None:
        leader = self._replica_task.status().leader
        if leader is None:
            return None
        try:
            return await self._bus.request(leader.name, topic, body, COMMAND_TIMEOUT_MS)
        except BusTimeoutError:
            return None

    async def _receive_refused_parts(self, sender: str, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.part_crashes.refused(self.now_ms()))

    async def _receive_release_part(self, sender: str, body: bytes) -> bytes:
        part = msgspec.msgpack.decode(body, type=str)
        is_released = self.part_crashes.release(part, self.now_ms())
        log_event(PART_RELEASED, part=part, was_refused=is_released)
        self._publish_evidence()
        return msgspec.msgpack.encode(is_released)

    def route_table(self) -> RouteTable | None:
        """Return the newest route table, None if there is no document yet."""
        document = self.document_store.document
        if not document.version:
            return None
        if self._route_table is None or self._route_table.version != document.version:
            self._route_table = decode_manifest(document.content)
        return self._route_table

    # Commands and reads

    async def _receive_command(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=CommandRequest)
        if self._stopping:
            return msgspec.msgpack.encode(CommandReply("not_leader"))
        command = decode_command(request.payload)
        return msgspec.msgpack.encode(await self._replica_task.submit(command))

    async def commit(self, command: DocumentCommand) -> DocumentOutcome | None:
        """Submit a command to the leader until it is committed.

        Returns:
            The outcome, or None if the command was not confirmed in time. It may
            still be committed later, and resending it is safe.
        """
        deadline_ms = self.now_ms() + COMMAND_TIMEOUT_MS
        while self.now_ms() < deadline_ms and not self._stopping:
            reply = await self._submit_to_leader(command, deadline_ms - self.now_ms())
            if reply is not None and reply.status == "committed":
                outcome = decode_outcome(reply.outcome)
                assert isinstance(outcome, DocumentOutcome)
                log_event(
                    COMMAND_COMMITTED,
                    command=type(command).__name__,
                    content=summarize_command(command),
                    in_force=outcome.version,
                    changed=outcome.changed,
                )
                return outcome
            await asyncio.sleep(COMMAND_RETRY_S)
        log_event(
            COMMAND_UNCONFIRMED,
            command=type(command).__name__,
            content=summarize_command(command),
        )
        return None

    async def _submit_to_leader(
        self, command: Command, timeout_ms: int
    ) -> CommandReply | None:
        status = self._replica_task.status()
        if status.leader is None:
            return None
        try:
            if status.leader.name == self._name:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._replica_task.submit(command)
            body = msgspec.msgpack.encode(CommandRequest(encode_command(command)))
            answer = await self._bus.request(
                status.leader.name, "command", body, timeout_ms
            )
        except (BusTimeoutError, TimeoutError):
            return None
        return msgspec.msgpack.decode(answer, type=CommandReply)

    async def read_document(self) -> DocumentReadReply:
        """Return the document; linearizable if a leader with a valid lease read it."""
        local_reply = self._read_local()
        leader = self._replica_task.status().leader
        if local_reply.is_linearizable or leader is None or leader.name == self._name:
            return local_reply
        known = self.document_store.document
        body = msgspec.msgpack.encode(known.version)
        try:
            answer = await self._bus.request(
                leader.name, "read", body, COMMAND_TIMEOUT_MS
            )
        except BusTimeoutError:
            return local_reply
        reply = msgspec.msgpack.decode(answer, type=DocumentReadReply)
        return reply.with_known(known.version, known.content)

    async def _receive_read(self, sender: str, body: bytes) -> bytes:
        known_version = msgspec.msgpack.decode(body, type=int) if body else 0
        return msgspec.msgpack.encode(self._read_local().without(known_version))

    def _read_local(self) -> DocumentReadReply:
        document = self.document_store.document
        if not self.is_leader():
            return DocumentReadReply(False)
        return DocumentReadReply(True, document.version, document.content)

    async def stop(self) -> list[str]:
        """Complete open calls, hand over the vote, and end all tasks."""
        self._stopping = True
        grace_s = self._settings.bounds.grace_s
        hand_over = asyncio.ensure_future(
            hand_over_vote(self._replica, self._clock, grace_s)
        )
        for server in self._servers:
            server.is_stopping = True
        await asyncio.sleep(MIN_DRAIN_S)
        for server in self._servers:
            server.stop_listening()
            server.close_connections()
        unanswered = await self._wait_closed(MAX_CALL_S)
        await hand_over
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._storage.close()
        self._process_watch.stop()
        await self._bus.stop()
        return unanswered

    async def _wait_closed(self, timeout_s: float) -> list[str]:
        """Wait until all calls are answered; return the paths of the others."""
        open_exchanges = await asyncio.gather(
            *(server.wait_closed(timeout_s) for server in self._servers)
        )
        return [exchange.path for open_now in open_exchanges for exchange in open_now]

    def open_requests(self) -> list[str]:
        """Return an empty list: senders retry commands that were not answered."""
        return []

    def reload_certificates(self) -> None:
        """Reload the settings; this role uses no certificates."""
        self._settings_watch.reload()

    def _apply_settings(self, settings: SeededSettings) -> None:
        names = {*settings.seed_bus_addresses(), *self._control_names}
        self._replica.set_join_targets(sorted(names))
