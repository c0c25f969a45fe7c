"""Leader tasks that follow the cache events of engines and of KV stores."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mustardtrack.adapters.upstream import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
)
from mustardtrack.configuration.routes import Service
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import CacheEvents
from mustardtrack.platform.endpoints import (
    CACHE_EVENTS_WAIT_HEADER,
    CACHE_SNAPSHOT_TARGET,
    cache_events_target,
    decode_cache_events,
    decode_cache_snapshot,
)

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess

EVENTS_UNREADABLE = define_event(8971, "WARNING", "cache events cannot be read")
EVENTS_READABLE = define_event(8972, "INFO", "cache events can be read again")
CACHE_RESTARTED = define_event(8973, "INFO", "cache was restarted empty")
CACHE_RESYNCED = define_event(
    8974, "INFO", "cache contents were read after lost events"
)
CACHE_RESYNC_FAILED = define_event(8975, "WARNING", "cache contents could not be read")

# The JSON decoder raises RecursionError for deeply nested bytes, and the conversion
# raises TypeError for values of another type.
UNREADABLE_ERRORS = (
    ConnectError,
    ConnectionBrokenError,
    ValueError,
    TypeError,
    RecursionError,
)

# Listing the contents delays the engine's work, so it is not done at every gap.
MIN_RESYNC_INTERVAL_S = 5.0
# An engine or KV store holds a call for up to this time until there are events. Calls
# with a shorter wait are priced.
LONG_POLL_WAIT_MS = 1000
CALL_TIMEOUT_S = 1.6
# An answer may arrive in parts over this time.
CALL_DURATION_S = 3.2
MAX_EVENTS_BYTES = 4_194_304
# The contents of a KV store of some million tokens.
MAX_SNAPSHOT_BYTES = 8_388_608
MAX_CONCURRENT_SNAPSHOTS = 2
CONNECT_TIMEOUT_S = 0.4
SOURCE_UPDATE_PERIOD_S = 0.25
# Events arrive in bursts; reading a burst with one call saves messages.
BATCH_DELAY_S = 0.15
RETRY_DELAY_S = 0.5


@dataclass(frozen=True)
class CacheSource:
    """Engine or KV store; a store is named by its address."""

    name: str
    is_store: bool = False


class CacheWatch:
    """Follows the cache events of engines and KV stores while this replica leads.

    Attributes:
        reachable_stores: Addresses of the KV stores whose events can be read.
    """

    def __init__(self, control: "SeededControlProcess"):
        self._control = control
        self._source_tasks: dict[CacheSource, asyncio.Task[None]] = {}
        self._snapshot_slots = asyncio.Semaphore(MAX_CONCURRENT_SNAPSHOTS)
        self.reachable_stores: set[str] = set()

    async def run(self) -> None:
        """Start and stop one task for each engine and KV store until cancelled."""
        from twisted.internet import reactor

        self._pool = ConnectionPool(reactor)
        try:
            while True:
                await asyncio.sleep(SOURCE_UPDATE_PERIOD_S)
                self._update_sources()
        finally:
            for task in self._source_tasks.values():
                task.cancel()

    def usable_stores(self) -> list[Service]:
        """Return the KV stores of the route table whose events can be read."""
        table = self._control.route_table()
        return [
            store
            for store in (table.stores() if table else [])
            if store.kv_store_address in self.reachable_stores
        ]

    def _update_sources(self) -> None:
        wanted: dict[CacheSource, str] = {}
        if self._control.is_leader():
            for endpoint in self._control.endpoints().endpoints:
                if endpoint.weights:
                    wanted[CacheSource(endpoint.id)] = endpoint.address
            table = self._control.route_table()
            for store in table.stores() if table else []:
                address = store.kv_store_address or ""
                wanted[CacheSource(address, is_store=True)] = address
        self.reachable_stores &= {one.name for one in wanted if one.is_store}
        stores = self._control.placements.stores
        self._control.metrics.gauge("stores.avoided_bytes", stores.avoided_bytes)
        self._control.metrics.gauge("stores.crossed_bytes", stores.crossed_bytes)
        for source in [one for one in self._source_tasks if one not in wanted]:
            self._source_tasks.pop(source).cancel()
        for source, address in wanted.items():
            if source not in self._source_tasks:
                coroutine = self._follow_events(source, address)
                self._source_tasks[source] = asyncio.ensure_future(coroutine)

    async def _follow_events(self, source: CacheSource, address: str) -> None:
        """Follow the events of an engine or of a KV store."""
        position, epoch, is_unreadable = 0, "", False
        clock = asyncio.get_running_loop().time
        next_resync_s = clock()
        while True:
            try:
                events = await self._fetch_events(address, position)
            except UNREADABLE_ERRORS as error:
                if not is_unreadable:
                    log_event(EVENTS_UNREADABLE, endpoint=source.name, error=str(error))
                is_unreadable = True
                self._record_kv_store_state(source, False)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if is_unreadable:
                log_event(EVENTS_READABLE, endpoint=source.name)
                is_unreadable = False
            if epoch and events.epoch != epoch:
                log_event(CACHE_RESTARTED, endpoint=source.name, epoch=events.epoch)
                self._clear_source(source)
            epoch, position = events.epoch, events.following
            self._apply_changes(source, events)
            if events.has_gap and clock() >= next_resync_s:
                next_resync_s = clock() + MIN_RESYNC_INTERVAL_S
                position = await self._resync(source, address, position)
            self._record_kv_store_state(source, True)
            await asyncio.sleep(BATCH_DELAY_S)

    async def _resync(self, source: CacheSource, address: str, position: int) -> int:
        """Replace the known cache contents, and return the position to continue from.

        A new leader misses most events, since engines retain only the newest. If the
        contents cannot be read, ``position`` is returned unchanged.
        """
        try:
            snapshot = await self._fetch_snapshot(address)
        except UNREADABLE_ERRORS as error:
            log_event(CACHE_RESYNC_FAILED, endpoint=source.name, error=str(error))
            return position
        log_event(CACHE_RESYNCED, endpoint=source.name, parts=len(snapshot.changes))
        placements = self._control.placements
        if source.is_store:
            placements.stores.replace(source.name, snapshot.changes)
        else:
            placements.replace_cache(source.name, snapshot.changes)
        return snapshot.following

    async def _fetch_snapshot(self, address: str) -> CacheEvents:
        async with self._snapshot_slots:
            status, body = await self._call(
                address, CACHE_SNAPSHOT_TARGET, [], MAX_SNAPSHOT_BYTES
            )
        if status != 200:
            raise ValueError(f"status {status}")
        return decode_cache_snapshot(body)

    def _record_kv_store_state(self, source: CacheSource, is_reachable: bool) -> None:
        if source.is_store and is_reachable:
            self.reachable_stores.add(source.name)
        elif source.is_store:
            self.reachable_stores.discard(source.name)

    def _clear_source(self, source: CacheSource) -> None:
        placements = self._control.placements
        if source.is_store:
            placements.stores.clear(source.name)
        else:
            placements.clear_cache(source.name)

    def _apply_changes(self, source: CacheSource, events: CacheEvents) -> None:
        placements = self._control.placements
        if source.is_store:
            placements.stores.apply_events(source.name, events.changes)
        else:
            placements.apply_events(source.name, events.changes)

    async def _fetch_events(self, address: str, position: int) -> CacheEvents:
        """Return the events after ``position``.

        Raises:
            ConnectError: If the connection cannot be opened.
            ConnectionBrokenError: If the connection breaks before the answer.
            ValueError: If the answer has an error status or is malformed.
            TypeError: If the answer has values of another type.
            RecursionError: If the answer is nested deeply.
        """
        headers = [(CACHE_EVENTS_WAIT_HEADER, b"%d" % LONG_POLL_WAIT_MS)]
        status, body = await self._call(
            address, cache_events_target(position), headers, MAX_EVENTS_BYTES
        )
        if status != 200:
            raise ValueError(f"status {status}")
        return decode_cache_events(body)

    async def _call(
        self,
        address: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        max_body_bytes: int,
    ) -> tuple[int, bytes]:
        return await self._pool.call(
            address,
            b"GET",
            target,
            headers,
            b"",
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
            CALL_DURATION_S,
            max_body_bytes,
        )
