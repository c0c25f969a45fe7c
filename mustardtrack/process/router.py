"""Router process that serves callers and has its peers listed in the settings."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.endpoint_client import HttpEndpointClient
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.admission import AccountLimits, Limit, RetryBudget, Suspects
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership import (
    EndpointTable,
    HostTable,
    LatestPlatformHostList,
    PlatformHostList,
    ProbeTable,
)
from mustardtrack.process.cache_events import CacheEventsTask
from mustardtrack.process.caller_api import CallerApi
from mustardtrack.process.completions import CompletionService
from mustardtrack.process.configuration_follower import ConfigurationFollower
from mustardtrack.process.control_client import ControlClient
from mustardtrack.process.crash_detector import CrashDetector
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.membership_tasks import (
    EndpointProbeTask,
    HeartbeatTask,
    PlatformListTask,
)
from mustardtrack.process.metrics import create_metrics
from mustardtrack.process.model_queues import ModelQueues
from mustardtrack.process.operators import OperatorApi, RowSource
from mustardtrack.process.services import ServiceCalls
from mustardtrack.process.shared_state import SharedState
from mustardtrack.requests import AttemptTracker, GracefulShutdown
from mustardtrack.routing import CacheIndex, SelectionSettings, Selector
from mustardtrack.settings import Settings

TASK_FAILED = define_event(8801, "ERROR", "router task failed; the process exits")

CACHE_INDEX_ENTRIES = 200_000
# Probe periods after which a probe result expires.
PROBE_RESULT_LIFETIME_PERIODS = 3
STOP_POLL_MS = 20
BACKGROUND_TIMEOUT_MS = 5000
CONFIGURATION_TIMEOUT_MS = 1500
APPLY_PERIOD_MS = 200


class RouterProcess(DaemonProcess):
    """Router process with its adapters and background tasks."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._own_peer = settings.own_router()
        self._clock = SystemClock()
        self._metrics = create_metrics(settings)
        self._rng = random.Random()
        self._configuration = ConfigurationCopy(settings.parallel_weight_loads)
        self._bus = Bus(settings.name, self._own_peer.bus)
        self._tasks: list[asyncio.Task[None]] = []
        self._platform_hosts = LatestPlatformHostList()
        self._stopping = False

    async def start(self) -> None:
        """Fetch the configuration, open the ports and start the tasks."""
        self._http = HttpEndpointClient()
        self._shared = self._create_shared_state()
        self._control = ControlClient(self._bus, self._settings.control)
        self._create_tasks()
        self._bus.handle("heartbeat", self._heartbeats.receive)
        self._bus.handle("follow", lambda sender, body: self._follower.answer(body))
        self._bus.start()
        self._start_task(self._follower.run())
        await self._follower.wait_until_ready(CONFIGURATION_TIMEOUT_MS)
        self._apply_configuration()
        self._create_apis()
        self._operator_api.listen(self._own_peer.operators)
        self._caller_api.listen(self._own_peer.callers)
        self._start_task(self._endpoint_probes.run())
        self._start_task(self._heartbeats.run())
        self._start_task(self._queues.run())
        self._start_task(self._cache_events.run())
        self._start_task(self._apply_revisions())
        if self._settings.platform_hosts_url:
            url = self._settings.platform_hosts_url
            task = PlatformListTask(url, self._receive_host_list, self._http)
            self._start_task(task.run())

    def _create_shared_state(self) -> SharedState:
        settings = self._settings
        timing = settings.timing
        index = CacheIndex(CACHE_INDEX_ENTRIES)
        selection = SelectionSettings(
            routers=len(settings.routers), slots=settings.limits.endpoint_concurrency
        )
        return SharedState(
            settings=settings,
            configuration=self._configuration,
            clock=self._clock,
            metrics=self._metrics,
            planned_stop=GracefulShutdown(
                timing.lease_ms, timing.discovery_ttl_ms, timing.stop_limit_ms
            ),
            limits=AccountLimits(len(settings.routers)),
            suspects=Suspects(),
            tracker=AttemptTracker(),
            selector=Selector(index, selection, self._rng),
            # A crashed endpoint fails at most this many concurrent requests.
            retry_budget=RetryBudget(
                initial_balance=settings.limits.endpoint_concurrency,
                metrics=self._metrics,
            ),
            endpoints=EndpointTable(timing.lease_ms),
            hosts=HostTable(timing.lease_ms, timing.discovery_ttl_ms, self._rng),
        )

    def _create_tasks(self) -> None:
        settings = self._settings
        timing = settings.timing
        shared = self._shared
        zone = self._own_peer.zone
        others = [peer for peer in settings.routers if peer.name != settings.name]
        control = sorted(settings.control, key=lambda peer: peer.zone != zone)
        probes = ProbeTable(
            settings.name, timing.observe_ms * PROBE_RESULT_LIFETIME_PERIODS
        )
        cache_file = None
        if settings.data_folder is not None:
            folder = Path(settings.data_folder)
            folder.mkdir(parents=True, exist_ok=True)
            cache_file = folder / "configuration.cache"
        self._follower = ConfigurationFollower(
            self._bus,
            self._configuration,
            [peer.bus for peer in control],
            [peer.bus for peer in others],
            self._clock,
            self._rng,
            cache_file,
        )
        self._endpoint_probes = EndpointProbeTask(
            settings.name,
            self._configuration,
            shared.hosts,
            probes,
            self._http,
            self._clock,
            timing.observe_ms,
        )
        self._heartbeats = HeartbeatTask(
            self._own_peer,
            [peer.bus for peer in others] + [peer.bus for peer in control],
            self._bus,
            shared.hosts,
            shared.endpoints,
            probes,
            self._clock,
            self._metrics,
            timing.router_heartbeat_ms,
            lambda: self._configuration.revision,
            shared.limits.announce,
            shared.limits.record_peer_usage,
        )
        self._queues = ModelQueues(shared, self._rng)
        self._cache_events = CacheEventsTask(
            self._configuration,
            shared.selector.index,
            lambda name: shared.endpoints.view(name, self._clock.now_ms()).incarnation,
            self._http,
            self._clock,
            self._metrics,
        )

    def _create_apis(self) -> None:
        peers = {
            peer.name: peer.bus
            for peer in self._settings.routers
            if peer.name != self._settings.name
        }
        self._crash_detector = CrashDetector(
            self._shared, self._control, self._http, self._bus, peers
        )
        self._bus.handle("suspect", self._crash_detector.receive_notice)
        completions = CompletionService(
            self._shared, self._queues, self._crash_detector, self._http
        )
        services = ServiceCalls(self._shared, self._control, self._http)
        self._caller_api = CallerApi(self._shared, completions, services)
        self._operator_api = OperatorApi(
            self._settings, self._control, self._create_row_source(), None, self._status
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or self._stopping:
            return
        log_event(TASK_FAILED, error=repr(task.exception()))
        # Without one of its tasks the router would serve from stale state.
        self.fail()

    async def _apply_revisions(self) -> None:
        """Apply each new configuration revision to the tables until cancelled."""
        applied = -1
        while True:
            if self._configuration.revision != applied:
                applied = self._configuration.revision
                self._apply_configuration()
            await asyncio.sleep(APPLY_PERIOD_MS / 1000)

    def _apply_configuration(self) -> None:
        shared = self._shared
        now_ms = self._clock.now_ms()
        accounts: Any = self._configuration.objects("account")
        for account in accounts.values():
            limit = Limit(
                account.requests_per_second,
                account.tokens_per_second,
                account.max_concurrent,
            )
            shared.limits.set_limit(account.name, limit, now_ms)
        endpoints: Any = self._configuration.objects("endpoint")
        for endpoint in endpoints.values():
            shared.endpoints.set_draining(endpoint.name, endpoint.draining)
        hosts: Any = self._configuration.objects("host")
        for peer in self._settings.routers:
            host = hosts.get(peer.name)
            shared.hosts.set_draining(peer.name, bool(host and host.draining))
        self._apply_platform_host_list()

    def _receive_host_list(self, host_list: PlatformHostList) -> None:
        if self._platform_hosts.update(host_list, self._clock.now_ms()):
            self._apply_platform_host_list()

    def _apply_platform_host_list(self) -> None:
        endpoints: Any = self._configuration.objects("endpoint")
        addresses = {name: endpoint.address for name, endpoint in endpoints.items()}
        self._shared.endpoints.set_platform_leaving(
            self._platform_hosts.leaving_names(addresses)
        )
        callers = {peer.name: peer.callers for peer in self._settings.routers}
        self._shared.hosts.set_platform_leaving(
            self._platform_hosts.leaving_names(callers)
        )

    def _status(self) -> dict[str, Any]:
        return {
            "role": "router",
            "name": self._settings.name,
            "phase": self._shared.planned_stop.phase,
            "revision": self._configuration.revision,
            "stale_ms": self._follower.stale_ms,
            "open_requests": self._shared.planned_stop.open_requests,
            "queued": self._queues.queued(),
            "measures": self._shared.service_stats.summarize(),
            "bus_bytes_sent": self._bus.bytes_sent,
            "bus_bytes_received": self._bus.bytes_received,
        }

    def _create_row_source(self) -> RowSource:
        return RowSource(
            objects=self._configuration.objects,
            hosts=self._host_rows,
            endpoints=self._endpoint_rows,
            requests=self._request_rows,
            counters=lambda: self._metrics.counters,
            revision=lambda: self._configuration.revision,
            stale_ms=lambda: self._follower.stale_ms,
            quarantined=self._crash_detector.quarantined,
        )

    def _host_rows(self) -> list[dict[str, Any]]:
        revisions = self._heartbeats.revisions
        return [
            {
                "name": view.name,
                "address": view.address,
                "zone": view.zone,
                "state": view.state,
                "age_ms": view.age_ms,
                "revision": revisions.get(view.name, 0),
                "in_force": revisions.get(view.name, 0) >= self._configuration.revision,
            }
            for view in self._shared.hosts.views(self._clock.now_ms())
        ]

    def _endpoint_rows(self) -> dict[str, dict[str, Any]]:
        rows = {}
        for name in self._configuration.objects("endpoint"):
            view = self._shared.endpoints.view(name, self._clock.now_ms())
            rows[name] = {
                "state": view.state,
                "incarnation": view.incarnation,
                "running": view.load.running if view.load else None,
                "queued": view.load.queued if view.load else None,
                "age_ms": view.age_ms,
                "observers": list(view.observers),
            }
        return rows

    def _request_rows(self) -> list[dict[str, Any]]:
        now_ms = self._clock.now_ms()
        return [
            {
                "request": request_id,
                "state": row.state,
                "account": row.account,
                "class": row.class_name,
                "endpoint": row.endpoint,
                "age_ms": now_ms - row.arrived_ms,
                "fingerprint": row.fingerprint,
            }
            for request_id, row in self._shared.open_request_rows.items()
        ]

    async def stop(self) -> list[str]:
        """Withdraw from discovery, drain the open requests and close."""
        planned_stop = self._shared.planned_stop
        planned_stop.begin(self._clock.now_ms())
        self._heartbeats.is_draining = True
        self._heartbeats.send()
        while planned_stop.advance(self._clock.now_ms()) != "finished":
            await asyncio.sleep(STOP_POLL_MS / 1000)
        interrupted = planned_stop.forced.interrupted if planned_stop.forced else ()
        self._caller_api.stop_listening()
        await self._shared.wait_for_background(BACKGROUND_TIMEOUT_MS)
        self._stopping = True
        await self._operator_api.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.close()
        await self._bus.stop()
        return [request.request_id for request in interrupted]

    def open_requests(self) -> list[str]:
        """Force the stop and return the ids of the interrupted requests."""
        forced = self._shared.planned_stop.force("second_signal")
        return [request.request_id for request in forced.interrupted]

    def reload_certificates(self) -> None:
        """Read the TLS files again."""
        self._caller_api.reload_certificates()
        self._operator_api.reload_certificates()
