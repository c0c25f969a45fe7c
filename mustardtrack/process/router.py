"""Router process: serves callers on one entry host."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.http_endpoints import HttpEndpointClient
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.admission import AccountLimits, Limit, RetryBudget, Suspects
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership import (
    EndpointTable,
    HostTable,
    PlatformHostList,
    PlatformHosts,
    ProbeTable,
)
from mustardtrack.process.cache_events import CacheEventsTask
from mustardtrack.process.caller_api import CallerApi
from mustardtrack.process.completions import CompletionService
from mustardtrack.process.configuration_follower import ConfigurationFollower
from mustardtrack.process.control_client import ControlClient
from mustardtrack.process.crashes import CrashWatch
from mustardtrack.process.lanes import Lanes
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.membership_tasks import (
    EndpointProbeTask,
    HeartbeatTask,
    PlatformListTask,
)
from mustardtrack.process.metrics import create_metrics
from mustardtrack.process.operators import OperatorApi, RowSource
from mustardtrack.process.services import ServiceCalls
from mustardtrack.process.traffic import Traffic
from mustardtrack.requests import AttemptTracker, GracefulShutdown
from mustardtrack.routing import CacheIndex, SelectionSettings, Selector
from mustardtrack.settings import Settings

TASK_FAILED = define_event(8801, "ERROR", "router task failed, process ends")

INDEX_ENTRIES = 200_000
FRESH_PERIODS = 3
STOP_POLL_MS = 20
BACKGROUND_LIMIT_MS = 5000
READY_WAIT_MS = 1500
APPLY_PERIOD_MS = 200


class RouterProcess(DaemonProcess):
    """One router with its adapters."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._peer = settings.own_router()
        self._clock = SystemClock()
        self._metrics = create_metrics(settings)
        self._rng = random.Random()
        self._copy = ConfigurationCopy(settings.parallel_weight_loads)
        self._bus = Bus(settings.name, self._peer.bus)
        self._tasks: list[asyncio.Task[None]] = []
        self._platform = PlatformHosts()
        self._stopping = False

    async def start(self) -> None:
        """Fetch the configuration, open the ports and start the tasks."""
        self._http = HttpEndpointClient()
        self._traffic = self._create_traffic()
        self._control = ControlClient(self._bus, self._settings.control)
        self._create_tasks()
        self._bus.handle("heartbeat", self._heartbeats.receive)
        self._bus.handle("follow", lambda sender, body: self._follower.answer(body))
        self._bus.start()
        self._run(self._follower.run())
        await self._follower.wait_until_ready(READY_WAIT_MS)
        self._apply_configuration()
        self._create_apis()
        self._operators.listen(self._peer.operators)
        self._callers.listen(self._peer.callers)
        self._run(self._observer.run())
        self._run(self._heartbeats.run())
        self._run(self._lanes.run())
        self._run(self._cache_events.run())
        self._run(self._apply_forever())
        if self._settings.platform_hosts_url:
            url = self._settings.platform_hosts_url
            task = PlatformListTask(url, self._receive_listing, self._http)
            self._run(task.run())

    def _create_traffic(self) -> Traffic:
        settings = self._settings
        timing = settings.timing
        index = CacheIndex(INDEX_ENTRIES)
        selection = SelectionSettings(
            routers=len(settings.routers), slots=settings.limits.endpoint_concurrency
        )
        return Traffic(
            settings=settings,
            copy=self._copy,
            clock=self._clock,
            metrics=self._metrics,
            stop=GracefulShutdown(
                timing.lease_ms, timing.discovery_ttl_ms, timing.stop_limit_ms
            ),
            limits=AccountLimits(len(settings.routers)),
            suspects=Suspects(),
            tracker=AttemptTracker(),
            selector=Selector(index, selection, self._rng),
            # An endpoint that dies loses at most what it runs at once.
            budget=RetryBudget(
                reserve=settings.limits.endpoint_concurrency, metrics=self._metrics
            ),
            endpoints=EndpointTable(timing.lease_ms),
            hosts=HostTable(timing.lease_ms, timing.discovery_ttl_ms, self._rng),
        )

    def _create_tasks(self) -> None:
        settings = self._settings
        timing = settings.timing
        traffic = self._traffic
        zone = self._peer.zone
        others = [peer for peer in settings.routers if peer.name != settings.name]
        control = sorted(settings.control, key=lambda peer: peer.zone != zone)
        probes = ProbeTable(settings.name, timing.observe_ms * FRESH_PERIODS)
        cache_file = None
        if settings.data_folder is not None:
            folder = Path(settings.data_folder)
            folder.mkdir(parents=True, exist_ok=True)
            cache_file = folder / "configuration.cache"
        self._follower = ConfigurationFollower(
            self._bus,
            self._copy,
            [peer.bus for peer in control],
            [peer.bus for peer in others],
            self._clock,
            self._rng,
            cache_file,
        )
        self._observer = EndpointProbeTask(
            settings.name,
            self._copy,
            traffic.hosts,
            probes,
            self._http,
            self._clock,
            timing.observe_ms,
        )
        self._heartbeats = HeartbeatTask(
            self._peer,
            [peer.bus for peer in others] + [peer.bus for peer in control],
            self._bus,
            traffic.hosts,
            traffic.endpoints,
            probes,
            self._clock,
            self._metrics,
            timing.router_heartbeat_ms,
            lambda: self._copy.revision,
            traffic.limits.announce,
            traffic.limits.peer_use,
        )
        self._lanes = Lanes(traffic, self._rng)
        self._cache_events = CacheEventsTask(
            self._copy,
            traffic.selector.index,
            lambda name: traffic.endpoints.view(name, self._clock.now_ms()).incarnation,
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
        self._crashes = CrashWatch(
            self._traffic, self._control, self._http, self._bus, peers
        )
        self._bus.handle("suspect", self._crashes.receive_notice)
        completions = CompletionService(
            self._traffic, self._lanes, self._crashes, self._http
        )
        services = ServiceCalls(self._traffic, self._control, self._http)
        self._callers = CallerApi(self._traffic, completions, services)
        self._operators = OperatorApi(
            self._settings, self._control, self._rows(), None, self._status
        )

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or self._stopping:
            return
        log_event(TASK_FAILED, error=repr(task.exception()))
        # A router without one of its tasks would serve from state that ages.
        self.fail()

    async def _apply_forever(self) -> None:
        """Apply each new revision of the configuration to the tables."""
        applied = -1
        while True:
            if self._copy.revision != applied:
                applied = self._copy.revision
                self._apply_configuration()
            await asyncio.sleep(APPLY_PERIOD_MS / 1000)

    def _apply_configuration(self) -> None:
        traffic = self._traffic
        now_ms = self._clock.now_ms()
        accounts: Any = self._copy.objects("account")
        for account in accounts.values():
            limit = Limit(
                account.requests_per_second,
                account.tokens_per_second,
                account.max_concurrent,
            )
            traffic.limits.set_limit(account.name, limit, now_ms)
        endpoints: Any = self._copy.objects("endpoint")
        for endpoint in endpoints.values():
            traffic.endpoints.set_draining(endpoint.name, endpoint.draining)
        hosts: Any = self._copy.objects("host")
        for peer in self._settings.routers:
            host = hosts.get(peer.name)
            traffic.hosts.set_draining(peer.name, bool(host and host.draining))
        self._apply_platform()

    def _receive_listing(self, listing: PlatformHostList) -> None:
        if self._platform.update(listing, self._clock.now_ms()):
            self._apply_platform()

    def _apply_platform(self) -> None:
        endpoints: Any = self._copy.objects("endpoint")
        addresses = {name: one.address for name, one in endpoints.items()}
        self._traffic.endpoints.set_platform_leaving(
            self._platform.leaving_names(addresses)
        )
        callers = {peer.name: peer.callers for peer in self._settings.routers}
        self._traffic.hosts.set_platform_leaving(self._platform.leaving_names(callers))

    def _status(self) -> dict[str, Any]:
        return {
            "role": "router",
            "name": self._settings.name,
            "phase": self._traffic.stop.phase,
            "revision": self._copy.revision,
            "stale_ms": self._follower.stale_ms,
            "open_requests": self._traffic.stop.open_requests,
            "queued": self._lanes.queued(),
            "measures": self._traffic.measures.summarize(),
            "bus_bytes_sent": self._bus.bytes_sent,
            "bus_bytes_received": self._bus.bytes_received,
        }

    def _rows(self) -> RowSource:
        return RowSource(
            objects=self._copy.objects,
            hosts=self._host_rows,
            endpoints=self._endpoint_rows,
            requests=self._request_rows,
            counters=lambda: self._metrics.counters,
            revision=lambda: self._copy.revision,
            stale_ms=lambda: self._follower.stale_ms,
            quarantined=self._crashes.quarantined,
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
                "in_force": revisions.get(view.name, 0) >= self._copy.revision,
            }
            for view in self._traffic.hosts.views(self._clock.now_ms())
        ]

    def _endpoint_rows(self) -> dict[str, dict[str, Any]]:
        rows = {}
        for name in self._copy.objects("endpoint"):
            view = self._traffic.endpoints.view(name, self._clock.now_ms())
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
            for request_id, row in self._traffic.open_rows.items()
        ]

    async def stop(self) -> list[str]:
        """Withdraw from discovery, finish the open requests and close."""
        stop = self._traffic.stop
        stop.begin(self._clock.now_ms())
        self._heartbeats.is_draining = True
        self._heartbeats.send()
        while stop.advance(self._clock.now_ms()) != "finished":
            await asyncio.sleep(STOP_POLL_MS / 1000)
        interrupted = stop.forced.interrupted if stop.forced else ()
        self._callers.stop_listening()
        await self._traffic.finish_background(BACKGROUND_LIMIT_MS)
        self._stopping = True
        await self._operators.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.close()
        await self._bus.stop()
        return [one.request_id for one in interrupted]

    def open_requests(self) -> list[str]:
        """Return the requests that a forced stop interrupts."""
        forced = self._traffic.stop.force("second_signal")
        return [one.request_id for one in forced.interrupted]

    def reload_certificates(self) -> None:
        """Read the TLS files again."""
        self._callers.reload_certificates()
        self._operators.reload_certificates()
