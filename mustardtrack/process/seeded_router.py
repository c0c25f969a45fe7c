"""Router process that learns its peers from seeds and forwards requests."""

import asyncio
from typing import Any, cast

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.exposition import serve_metrics
from mustardtrack.adapters.http_exchange import Exchange, HttpServer
from mustardtrack.adapters.metrics import CounterTable
from mustardtrack.adapters.upstream import ConnectionPool
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.configuration.routes import RouteTable
from mustardtrack.platform.endpoints import READY_TARGET
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.forwarder import Forwarder
from mustardtrack.process.lifecycle import DaemonProcess
from mustardtrack.process.metrics import count_events
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.process.settings_watch import SettingsWatch
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.settings import SeededSettings, split_address

# Time before the end of the grace at which the process ends, so that it is not
# killed while it closes its connections.
STOP_MARGIN_S = 0.8
# Callers keep directory answers for some seconds and still come to a stopping router.
MIN_STOP_S = 4.0
STOP_POLL_S = 0.05


class SeededRouterProcess(DaemonProcess):
    """One router on an entry host."""

    def __init__(self, settings: SeededSettings, path: str):
        self._settings = settings
        self._watch = SettingsWatch(path, self._adopt_settings)
        self._clock = SystemClock()
        self.metrics = CounterTable()
        count_events(self.metrics)
        self._stopping = False

    async def start(self) -> None:
        """Open the ports; requests are refused until control has answered."""
        from twisted.internet import reactor as installed_reactor

        reactor = cast(Any, installed_reactor)
        settings = self._settings
        # A router only dials, so that its bus has no port of its own.
        self._bus = Bus(settings.name, settings.bus_address)
        self._pool = ConnectionPool(reactor)
        self._links = ControlSync(
            settings,
            self._bus,
            self._clock,
            self._is_ready,
            self._forget,
            self._adopt_table,
        )
        self._placements = PlacementClient(self._bus, self._links, self.metrics)
        self._forwarder = Forwarder(
            settings,
            self._links,
            self._pool,
            self._clock,
            self.metrics,
            self._placements,
        )
        self._callers = HttpServer(self._forwarder.handle)
        self._readiness = HttpServer(self._answer_readiness)
        assert settings.listen.callers is not None
        self._callers.listen(reactor, *split_address(settings.listen.callers))
        if settings.listen.readiness is not None:
            address = split_address(settings.listen.readiness)
            self._readiness.listen(reactor, *address)
        if settings.metrics_port is not None:
            serve_metrics(reactor, settings.host, settings.metrics_port, self.metrics)
        self._watch_task = asyncio.ensure_future(self._watch.run())
        self._links.start()
        self._placements.start()

    def _is_ready(self) -> bool:
        return not self._stopping and self._links.is_confirmed()

    def _adopt_table(self, table: RouteTable) -> None:
        self._callers.limits = table.limits

    def _forget(self, state: EndpointState) -> None:
        self._pool.drop(state.id)

    def _answer_readiness(self, exchange: Exchange) -> None:
        status = (
            404 if exchange.path != READY_TARGET else 200 if self._is_ready() else 503
        )
        exchange.respond(status, [], b"")

    async def stop(self) -> list[str]:
        """Leave the directory, then answer what callers still send."""
        self._stopping = True
        self._callers.is_stopping = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        end_s = started_s + self._settings.bounds.grace_s - STOP_MARGIN_S
        await self._links.sync_now()
        while loop.time() < end_s:
            is_busy = bool(self._callers.open_exchanges())
            is_busy = is_busy or self._callers.has_partial_requests()
            if loop.time() - started_s >= MIN_STOP_S and not is_busy:
                break
            await asyncio.sleep(STOP_POLL_S)
        self._callers.stop_listening()
        interrupted = self.open_requests()
        self._callers.close_connections()
        self._readiness.stop_listening()
        self._watch_task.cancel()
        await self._placements.stop()
        await self._links.stop()
        await asyncio.sleep(STOP_POLL_S)
        return interrupted

    def open_requests(self) -> list[str]:
        """Return the targets of the requests that are not answered."""
        open_now = self._callers.open_exchanges()
        return [exchange.target.decode("latin-1") for exchange in open_now]

    def reload_certificates(self) -> None:
        """Read the settings again; this role uses no certificates."""
        self._watch.reload()

    def _adopt_settings(self, settings: SeededSettings) -> None:
        self._links.add_seeds(settings.seed_names())
