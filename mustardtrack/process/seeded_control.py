"""Control process that learns its peers from seeds."""

import asyncio
import random
import zlib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.disk import DiskLog
from mustardtrack.adapters.exposition import serve_metrics
from mustardtrack.adapters.http_exchange import HttpServer
from mustardtrack.adapters.metrics import CounterTable
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.admission.crashtally import CrashTally
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
    DocumentKept,
    DocumentStore,
    PutDocument,
)
from mustardtrack.configuration.outcomes import decode_outcome
from mustardtrack.configuration.routes import RouteTable
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.directory import RouterDirectory, RouterEntry
from mustardtrack.membership.endpointlist import EndpointList
from mustardtrack.membership.listchanges import ListHistory
from mustardtrack.platform.manifests import read_manifest
from mustardtrack.ports import CommandReply, CommandRequest
from mustardtrack.ports.synchronization import (
    ControlHosts,
    Progress,
    ReadReply,
    SyncReply,
    SyncRequest,
)
from mustardtrack.process.cache_watch import CacheWatch
from mustardtrack.process.control_calls import ControlCalls
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.process.formation import answer_form, form_group
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.metrics import count_events
from mustardtrack.process.replica_task import ReplicaTask
from mustardtrack.process.settings_watch import SettingsWatch
from mustardtrack.routing.placements import (
    Placement,
    PlacementRequest,
    PlacementTable,
)
from mustardtrack.settings import SeededSettings, split_address

REPLICA_FAILED = define_event(8911, "ERROR", "replica task failed, process ends")
FORMED = define_event(8912, "INFO", "control group formed")
DOCUMENT_KEPT = define_event(8913, "INFO", "configuration command committed")
COMMAND_UNDECIDED = define_event(
    8914, "WARNING", "configuration command has no outcome yet"
)

# A router that has not been heard for this long is not given to callers. Routers
# report every 0.4 s, so that three lost reports remove one.
ROUTER_LEASE_MS = 1400
# Age reported by a replica that cannot vouch for its state.
UNCONFIRMED_MS = 1_000_000_000
FORM_RETRY_S = 0.2
FORM_TIMEOUT_MS = 500
# Operators move on after one second without an answer.
COMMAND_TIMEOUT_MS = 700
COMMAND_RETRY_S = 0.05
# Whole documents are large; a slow replica gets a snapshot instead of old ones.
KEPT_ENTRIES = 20


class SeededControlProcess(DaemonProcess):
    """One control replica, the directory and the calls of operators."""

    def __init__(self, settings: SeededSettings, path: str):
        self._settings = settings
        self._settings_watch = SettingsWatch(path, self._adopt_settings)
        self._name = settings.bus_address
        self._clock = SystemClock()
        self.metrics = CounterTable()
        count_events(self.metrics)
        self._bus = Bus(self._name, self._name)
        self.directory = RouterDirectory(ROUTER_LEASE_MS)
        self.placements = PlacementTable(settings.bounds.weights_ms)
        self._crashes = CrashTally()
        self._table: RouteTable | None = None
        self._endpoints = EndpointList()
        self._lists = ListHistory()
        self._controls: list[str] = settings.seed_names()
        self._controls_term = 0
        self._changed = asyncio.Event()
        self._compressed: tuple[int, bytes] = (0, b"")
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Load the stored state, bind the ports and start the replica."""
        self._open_replica()
        for topic, handler in (
            ("agreement", self._receive_agreement),
            ("command", self._receive_command),
            ("read", self._receive_read),
            ("form", self._receive_form),
            ("sync", self._receive_sync),
            ("hosts", self._receive_hosts),
            ("place", self._receive_place),
            ("queued", self._receive_queued),
            ("progress", self._receive_progress),
        ):
            self._bus.handle(topic, handler)
        self._bus.start()
        voters = [voter.name for voter in self._task.status().voters]
        self._bus.connect({*voters, *self._settings.seed_names()})
        calls = ControlCalls(self, self._settings.bounds)
        self._watch = EndpointWatch(self, self._settings)
        self._listen(calls)
        self._caches = CacheWatch(self)
        for coroutine in (
            self._task.run(),
            self._follow_state(),
            self._watch.run(),
            self._caches.run(),
            self._settings_watch.run(),
        ):
            self._spawn(coroutine)
        if self._settings.bootstrap and self._name in self._settings.seed_names():
            self._spawn(self._form_group(), may_end=True)

    def _listen(self, calls: ControlCalls) -> None:
        from twisted.internet import reactor

        listen = self._settings.listen
        servers = {}
        for address in (listen.operators, listen.directory):
            if address is not None and address not in servers:
                host, port = split_address(address)
                servers[address] = HttpServer(calls.handle)
                servers[address].listen(reactor, host, port)
        self._servers = list(servers.values())
        metrics_port = self._settings.metrics_port
        if metrics_port is not None:
            serve_metrics(reactor, self._settings.host, metrics_port, self.metrics)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None], may_end: bool = False
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        if not may_end:
            task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def _open_replica(self) -> None:
        settings = self._settings
        assert settings.data_folder is not None
        self._storage = DiskLog(Path(settings.data_folder) / "replica")
        stored = self._storage.load()
        self._me = ReplicaId(self._name, stored.disk)
        timing = Timing(
            heartbeat_ms=settings.timing.heartbeat_ms,
            election_timeout_ms=settings.timing.election_timeout_ms,
            kept_entries=KEPT_ENTRIES,
            target_voters=2 * settings.tolerated_losses + 1,
        )
        replica = Replica(
            self._me, stored, timing, random.Random(), self._clock.now_ms()
        )
        replica.join(settings.seed_names())
        self._replica = replica
        store, applied = DocumentStore(), 0
        if stored.snapshot is not None:
            store = DocumentStore.restore(stored.snapshot.state)
            applied = stored.snapshot.index
        self._task = ReplicaTask(
            self._me,
            replica,
            self._storage,
            store,
            applied,
            self._post,
            self._clock,
            self.metrics,
            settings.timing.tick_ms,
            DocumentStore.restore,
        )

    def _post(self, name: str, data: bytes) -> None:
        self._bus.post(name, "agreement", data)

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or self._stopping:
            return
        log_event(REPLICA_FAILED, error=repr(task.exception()))
        # Without its replica or its disk the process must not answer anything.
        self.fail()

    # State that other tasks of the process read.

    @property
    def name(self) -> str:
        """Bus address, which names this replica."""
        return self._name

    @property
    def store(self) -> DocumentStore:
        """State built from the committed commands."""
        return self._task.configuration

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return self._clock.now_ms()

    def leads(self) -> bool:
        """Return whether this replica leads with a valid lease."""
        return self._task.leads()

    def term(self) -> int:
        """Return the current term."""
        return self._task.status().term

    def endpoints(self) -> EndpointList:
        """Return the newest endpoint list that is known."""
        return self._endpoints

    def publish(self, endpoints: EndpointList) -> None:
        """Adopt a list that this leader read, and copy it to the other replicas."""
        status = self._task.status()
        names = [replica.name for replica in (*status.voters, *status.learners)]
        self._controls, self._controls_term = sorted(set(names)), status.term
        self._adopt(endpoints)
        message = ControlHosts(status.term, self._controls, endpoints)
        body = msgspec.msgpack.encode(message)
        for name in self._controls:
            if name != self._name:
                self._bus.post(name, "hosts", body)

    def _adopt(self, endpoints: EndpointList) -> None:
        if endpoints.order > self._endpoints.order:
            self._endpoints = endpoints
            self._lists.add(endpoints)
            self.placements.update(endpoints.endpoints)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _follow_state(self) -> None:
        while True:
            await self._task.wait_for_revision(self.store.revision, 10_000)
            self._notify()

    # Formation

    async def _form_group(self) -> None:
        names = self._settings.seed_names()
        while not self._task.status().formed:
            try:
                await form_group(
                    self._bus, {name: name for name in names}, FORM_TIMEOUT_MS
                )
            except FormationRefusedError:
                await asyncio.sleep(FORM_RETRY_S)
        log_event(FORMED, voters=[voter.name for voter in self._task.status().voters])

    async def _receive_form(self, sender: str, body: bytes) -> bytes:
        return await answer_form(self._task, self._me, body)

    # Bus

    async def _receive_agreement(self, sender: str, body: bytes) -> None:
        self._task.deliver(body)

    async def _receive_hosts(self, sender: str, body: bytes) -> None:
        hosts = msgspec.msgpack.decode(body, type=ControlHosts)
        if hosts.term >= self._controls_term:
            self._controls, self._controls_term = hosts.names, hosts.term
        self._adopt(hosts.endpoints)

    async def _receive_sync(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=SyncRequest)
        self.directory.report(
            RouterEntry(
                name=request.name,
                zone=request.zone,
                callers=request.callers,
                is_ready=request.is_ready,
                seen_ms=self.now_ms(),
            )
        )
        if not self._is_newer(request):
            try:
                async with asyncio.timeout(request.hold_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass  # The reply then only renews what the router has.
        return msgspec.msgpack.encode(self._sync_reply(request))

    def _is_newer(self, request: SyncRequest) -> bool:
        known = (request.list_term, request.list_sequence)
        return self.store.revision > request.revision or self._endpoints.order > known

    def _sync_reply(self, request: SyncRequest) -> SyncReply:
        store = self.store
        document = store.document
        has_older = request.document_version < document.version
        known = (request.list_term, request.list_sequence)
        is_newer_list = self._endpoints.order > known
        change = self._lists.change_since(known) if is_newer_list else None
        status = self._task.status()
        leader = status.leader
        stale_ms = status.stale_ms if self.leads() else UNCONFIRMED_MS
        return SyncReply(
            stale_ms=stale_ms,
            revision=store.revision,
            document_version=document.version,
            content=self._compress() if has_older else b"",
            weights=store.weights,
            endpoints=self._endpoints if is_newer_list and not change else None,
            controls=self._controls,
            router_count=len(self.directory.live(self.now_ms())),
            leader=leader.name if leader else "",
            refused=self._crashes.refused(self.now_ms()),
            change=change,
        )

    def _compress(self) -> bytes:
        document = self.store.document
        if self._compressed[0] != document.version:
            self._compressed = (document.version, zlib.compress(document.content, 6))
        return self._compressed[1]

    # Placement of prompts

    async def _receive_place(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=PlacementRequest)
        placement = Placement()
        table = self.route_table()
        if self.leads() and table is not None:
            service = table.services.get(request.service)
            if service is not None:
                placement = self.placements.place(
                    request,
                    service,
                    table.store() if self._caches.store_is_up else None,
                    self.store.weights,
                    self.now_ms(),
                )
        return msgspec.msgpack.encode(placement)

    async def _receive_queued(self, sender: str, body: bytes) -> bytes:
        request_id = msgspec.msgpack.decode(body, type=str)
        is_queued = self.leads() and self.placements.is_queued(
            request_id, self.now_ms()
        )
        return msgspec.msgpack.encode(is_queued)

    async def _receive_progress(self, sender: str, body: bytes) -> None:
        progress = msgspec.msgpack.decode(body, type=Progress)
        self.placements.record_read(progress.read, self.now_ms())
        self.placements.record_end(progress.ended)
        self.placements.record_silence(progress.silent, self.now_ms())
        self.placements.record_refusal(progress.refused, self.now_ms())
        self._crashes.record(progress.broken, self.now_ms())

    def route_table(self) -> RouteTable | None:
        """Return the newest route table, None before the first."""
        document = self.store.document
        if not document.version:
            return None
        if self._table is None or self._table.version != document.version:
            self._table = read_manifest(document.content)
        return self._table

    # Commands and reads

    async def _receive_command(self, sender: str, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=CommandRequest)
        if self._stopping:
            return msgspec.msgpack.encode(CommandReply("not_leader"))
        command = decode_command(request.payload)
        return msgspec.msgpack.encode(await self._task.submit(command))

    async def put(self, command: DocumentCommand) -> DocumentKept | None:
        """Commit a command through the leader.

        Returns:
            The outcome, or None if there is none in time; the command may still
            commit, and sending it again is safe.
        """
        deadline_ms = self.now_ms() + COMMAND_TIMEOUT_MS
        while self.now_ms() < deadline_ms and not self._stopping:
            reply = await self._submit(command, deadline_ms - self.now_ms())
            if reply is not None and reply.status == "committed":
                outcome = decode_outcome(reply.outcome)
                assert isinstance(outcome, DocumentKept)
                log_event(
                    DOCUMENT_KEPT,
                    command=type(command).__name__,
                    content=_describe_command(command),
                    in_force=outcome.version,
                    changed=outcome.changed,
                )
                return outcome
            await asyncio.sleep(COMMAND_RETRY_S)
        log_event(
            COMMAND_UNDECIDED,
            command=type(command).__name__,
            content=_describe_command(command),
        )
        return None

    async def _submit(self, command: Command, timeout_ms: int) -> CommandReply | None:
        status = self._task.status()
        if status.leader is None:
            return None
        try:
            if status.leader.name == self._name:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._task.submit(command)
            body = msgspec.msgpack.encode(CommandRequest(encode_command(command)))
            answer = await self._bus.request(
                status.leader.name, "command", body, timeout_ms
            )
        except (BusTimeoutError, TimeoutError):
            return None
        return msgspec.msgpack.decode(answer, type=CommandReply)

    async def read(self) -> ReadReply:
        """Return the newest document, if a leader can vouch for it."""
        own = self._read_own()
        leader = self._task.status().leader
        if own.is_sure or leader is None or leader.name == self._name:
            return own
        try:
            answer = await self._bus.request(
                leader.name, "read", b"", COMMAND_TIMEOUT_MS
            )
        except BusTimeoutError:
            return own
        return msgspec.msgpack.decode(answer, type=ReadReply)

    async def _receive_read(self, sender: str, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self._read_own())

    def _read_own(self) -> ReadReply:
        document = self.store.document
        if not self.leads():
            return ReadReply(False)
        return ReadReply(True, document.version, document.content)

    async def stop(self) -> list[str]:
        """Finish open calls and close the ports."""
        self._stopping = True
        for server in self._servers:
            server.is_stopping = True
        await asyncio.sleep(0.3)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._storage.close()
        await self._bus.stop()
        return []

    def open_requests(self) -> list[str]:
        """Return nothing: commands without an answer are sent again."""
        return []

    def reload_certificates(self) -> None:
        """Read the settings again; this role uses no certificates."""
        self._settings_watch.reload()

    def _adopt_settings(self, settings: SeededSettings) -> None:
        names = {*settings.seed_names(), *self._controls}
        self._replica.join(sorted(names))


def _describe_command(command: DocumentCommand) -> str:
    """Return what a command changes, without the document itself."""
    if isinstance(command, PutDocument):
        return f"version {command.version}, {len(command.content)} bytes"
    return repr(command)
