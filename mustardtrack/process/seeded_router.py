"""Router process that finds the control hosts from seeds and forwards requests."""

import asyncio
from typing import Any, cast

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.exposition import serve_metrics
from mustardtrack.adapters.h11_server import Exchange, HttpServer
from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.upstream import ConnectionPool
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.configuration.routes import RouteTable
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.routershares import RouterCapacity
from mustardtrack.platform.endpoints import READY_TARGET
from mustardtrack.platform.headers import REQUEST_ID
from mustardtrack.process.control_api import MAX_DIRECTORY_TTL_S
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.forwarder import Forwarder
from mustardtrack.process.host_resources import MemoryCheck, open_account
from mustardtrack.process.lag_monitor import monitor_lag
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.metrics import count_events
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.process.router_capacity import measure_capacity
from mustardtrack.process.settings_watch import SettingsWatch
from mustardtrack.requests.shutdown_window import ShutdownWindow
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.settings import SeededSettings, split_address

RESPONSES_UNSENT = define_event(
    8955, "ERROR", "router ended before callers received their whole responses"
)

# Part of the grace period reserved for sending the last answers and ending the process.
# Requests may be interrupted only in the last sixth of the period, so it is less.
CLOSE_FRACTION = 0.15
# Part of the grace period reserved for ending the process before it is killed.
EXIT_FRACTION = 0.1
# Time for sending the last answers after a second signal.
FORCED_SEND_S = 0.5
# Callers cache directory answers for some seconds and still reach a stopping router.
MIN_DRAIN_MS = 4000
STOP_POLL_S = 0.05


class SeededRouterProcess(DaemonProcess):
    """One router that forwards requests of callers to endpoints."""

    def __init__(self, settings: SeededSettings, path: str):
        self._settings = settings
        self._settings_watch = SettingsWatch(path, self._add_seeds)
        self._clock = SystemClock()
        self.metrics = InMemoryMetrics()
        count_events(self.metrics)
        self._stopping = False
        self._is_forced = False

    async def start(self) -> None:
        """Open the ports; requests are refused until a control host has answered."""
        from twisted.internet import reactor as installed_reactor

        reactor = cast(Any, installed_reactor)
        settings = self._settings
        # A router only opens connections, so its bus has no port.
        self._bus = Bus(settings.name, settings.bus_address)
        self._account = open_account(settings.limits)
        self._pool = ConnectionPool(reactor, self._account)
        self._control_sync = ControlSync(
            settings,
            self._bus,
            self._clock,
            self._is_ready,
            self._drop_connections,
            self._apply_limits,
        )
        self._placements = PlacementClient(
            self._bus, self._control_sync, self.metrics, self._clock
        )
        self._forwarder = Forwarder(
            settings,
            self._control_sync,
            self._pool,
            self._clock,
            self.metrics,
            self._placements,
        )
        self._control_sync.capacity = self._measure_capacity
        account = self._account
        self._forwarder.admission.checks.append(MemoryCheck(account))
        self._caller_server = HttpServer(self._forwarder.handle, account=account)
        self._readiness_server = HttpServer(self._handle_readiness, account=account)
        assert settings.listen.callers is not None
        self._caller_server.listen(reactor, *split_address(settings.listen.callers))
        if settings.listen.readiness is not None:
            address = split_address(settings.listen.readiness)
            self._readiness_server.listen(reactor, *address)
        if settings.metrics_port is not None:
            serve_metrics(reactor, settings.host, settings.metrics_port, self.metrics)
        self._watch_task = asyncio.ensure_future(self._settings_watch.run())
        self._lag_task = asyncio.ensure_future(
            monitor_lag(self._forwarder.lag, self._clock, self.metrics)
        )
        self._control_sync.start()
        self._placements.start()

    def _measure_capacity(self, now_ms: int) -> RouterCapacity:
        limits, lag = self._settings.limits, self._forwarder.lag
        capacity = measure_capacity(limits, lag, now_ms)
        self.metrics.gauge("router.pressure_percent", capacity.pressure_percent)
        self.metrics.gauge("router.held_bytes", self._account.total_bytes)
        return capacity

    def _is_ready(self) -> bool:
        return not self._stopping and self._control_sync.is_confirmed()

    def _apply_limits(self, table: RouteTable) -> None:
        self._caller_server.limits = table.limits

    def _drop_connections(self, state: EndpointState) -> None:
        self._pool.close_idle(state.id)

    def _handle_readiness(self, exchange: Exchange) -> None:
        status = (
            404 if exchange.path != READY_TARGET else 200 if self._is_ready() else 503
        )
        exchange.respond(status, [], b"")

    async def stop(self) -> list[str]:
        """Withdraw from the directory, then drain the remaining requests."""
        self._stopping = True
        self._caller_server.is_stopping = True
        self._set_shutdown_window(self._shutdown_window())
        if self._is_forced:
            self._end_shutdown_window()
        await self._control_sync.sync_now()
        # Their callers ask the directory again, which no longer lists this router.
        self._caller_server.close_kept_connections()
        is_withdrawn = False
        while not self._window.is_over(now_ms := self._clock.now_ms()):
            if self._window.is_withdrawn(now_ms) and not is_withdrawn:
                is_withdrawn = True
                self._forwarder.log_refusal_start()
            has_open_work = bool(self._caller_server.open_exchanges())
            has_open_work = has_open_work or self._caller_server.has_partial_requests()
            if self._window.elapsed_ms(now_ms) >= MIN_DRAIN_MS and not has_open_work:
                break
            await asyncio.sleep(STOP_POLL_S)
        self._end_shutdown_window()
        self._caller_server.stop_listening()
        interrupted = set(await self._forwarder.interrupt_requests())
        self._caller_server.close_connections()
        self._readiness_server.stop_listening()
        interrupted.update(await self._wait_until_sent())
        self._watch_task.cancel()
        self._lag_task.cancel()
        await self._placements.stop(self._left_to_exit_s())
        await self._control_sync.stop()
        await self._bus.stop()
        return sorted(interrupted)

    def force_stop(self) -> bool:
        """End the stop now; open requests get their last answers."""
        if self._is_forced:
            return False
        self._is_forced = True
        if self._stopping:
            self._end_shutdown_window()
        return True

    def _end_shutdown_window(self) -> None:
        """Refuse all further requests."""
        self._set_shutdown_window(self._window.ended_at(self._clock.now_ms()))

    def _set_shutdown_window(self, window: ShutdownWindow) -> None:
        self._window = window
        self._forwarder.begin_stop(window)

    async def _wait_until_sent(self) -> list[str]:
        """Wait until the responses are sent, at most for the grace period.

        Returns:
            Ids of the requests whose response was not completely sent.
        """
        left_s = self._left_to_exit_s()
        exchanges = await self._caller_server.wait_closed(left_s)
        request_ids = [
            (exchange.header(REQUEST_ID) or b"").decode("latin-1")
            for exchange in exchanges
        ]
        if request_ids:
            log_event(RESPONSES_UNSENT, requests=request_ids)
        return request_ids

    def _left_to_exit_s(self) -> float:
        """Return the time until this stopping process must begin to end."""
        elapsed_s = self._window.elapsed_ms(self._clock.now_ms()) / 1000
        left_s = self._settings.bounds.grace_s * (1 - EXIT_FRACTION) - elapsed_s
        return min(left_s, FORCED_SEND_S) if self._is_forced else left_s

    def _shutdown_window(self) -> ShutdownWindow:
        """Return the window of a planned stop that begins now."""
        bounds = self._settings.bounds
        ttl_s = min(MAX_DIRECTORY_TTL_S, bounds.directory_ttl_s)
        return ShutdownWindow(
            began_ms=self._clock.now_ms(),
            withdrawal_ms=int(ttl_s * 1000),
            limit_ms=int(bounds.grace_s * (1 - CLOSE_FRACTION) * 1000),
        )

    def open_requests(self) -> list[str]:
        """Return the ids of the requests that are not completely answered."""
        return self._forwarder.open_requests()

    def reload_certificates(self) -> None:
        """Reload the settings; this role uses no certificates."""
        self._settings_watch.reload()

    def _add_seeds(self, settings: SeededSettings) -> None:
        self._control_sync.add_seeds(settings.seed_bus_addresses())
