"""Leader tasks that follow the cache events of engines and of the KV store."""

import asyncio
from typing import TYPE_CHECKING

from mustardtrack.adapters.upstream import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
)
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


class CacheWatch:
    """Follows the cache events of engines and KV store while this replica is leader."""

    def __init__(self, control: "SeededControlProcess"):
        self._control = control
        self._source_tasks: dict[str, asyncio.Task[None]] = {}
        self._snapshot_slots = asyncio.Semaphore(MAX_CONCURRENT_SNAPSHOTS)
        self.is_kv_store_reachable = False

    async def run(self) -> None:
        """Start and stop one task for each engine and the KV store until cancelled."""
        from twisted.internet import reactor

        self._pool = ConnectionPool(reactor)
        try:
            while True:
                await asyncio.sleep(SOURCE_UPDATE_PERIOD_S)
                self._update_sources()
        finally:
            for task in self._source_tasks.values():
                task.cancel()

    def _update_sources(self) -> None:
        wanted: dict[str, str] = {}
        if self._control.is_leader():
            for endpoint in self._control.endpoints().endpoints:
                if endpoint.weights:
                    wanted[endpoint.id] = endpoint.address
            table = self._control.route_table()
            kv_store = table.store() if table else None
            if kv_store is not None and kv_store.kv_store_address is not None:
                wanted[""] = kv_store.kv_store_address
        for source in [one for one in self._source_tasks if one not in wanted]:
            self._source_tasks.pop(source).cancel()
        for source, address in wanted.items():
            if source not in self._source_tasks:
                coroutine = self._follow_events(source, address)
                self._source_tasks[source] = asyncio.ensure_future(coroutine)

    async def _follow_events(self, source: str, address: str) -> None:
        """Follow the events of an engine, or of the KV store if ``source`` is empty."""
        position, epoch, is_unreadable = 0, "", False
        clock = asyncio.get_running_loop().time
        next_resync_s = clock()
        while True:
            try:
                events = await self._fetch_events(address, position)
            except UNREADABLE_ERRORS as error:
                if not is_unreadable:
                    log_event(EVENTS_UNREADABLE, endpoint=source, error=str(error))
                is_unreadable = True
                self._record_kv_store_state(source, False)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if is_unreadable:
                log_event(EVENTS_READABLE, endpoint=source)
                is_unreadable = False
            if epoch and events.epoch != epoch:
                log_event(CACHE_RESTARTED, endpoint=source, epoch=events.epoch)
                self._clear_source(source)
            epoch, position = events.epoch, events.following
            self._apply_changes(source, events)
            if events.has_gap and clock() >= next_resync_s:
                next_resync_s = clock() + MIN_RESYNC_INTERVAL_S
                position = await self._resync(source, address, position)
            self._record_kv_store_state(source, True)
            await asyncio.sleep(BATCH_DELAY_S)

    async def _resync(self, source: str, address: str, position: int) -> int:
        """Replace the known cache contents, and return the position to continue from.

        A new leader misses most events, since engines retain only the newest. If the
        contents cannot be read, ``position`` is returned unchanged.
        """
        try:
            snapshot = await self._fetch_snapshot(address)
        except UNREADABLE_ERRORS as error:
            log_event(CACHE_RESYNC_FAILED, endpoint=source, error=str(error))
            return position
        log_event(CACHE_RESYNCED, endpoint=source, parts=len(snapshot.changes))
        if source:
            self._control.placements.replace_cache(source, snapshot.changes)
        else:
            self._control.placements.replace_store(snapshot.changes)
        return snapshot.following

    async def _fetch_snapshot(self, address: str) -> CacheEvents:
        async with self._snapshot_slots:
            status, body = await self._call(
                address, CACHE_SNAPSHOT_TARGET, [], MAX_SNAPSHOT_BYTES
            )
        if status != 200:
            raise ValueError(f"status {status}")
        return decode_cache_snapshot(body)

    def _record_kv_store_state(self, source: str, is_reachable: bool) -> None:
        if source == "":
            self.is_kv_store_reachable = is_reachable

    def _clear_source(self, source: str) -> None:
        if source:
            self._control.placements.clear_cache(source)
        else:
            self._control.placements.clear_store()

    def _apply_changes(self, source: str, events: CacheEvents) -> None:
        if source:
            self._control.placements.apply_events(source, events.changes)
        else:
            self._control.placements.apply_store_events(events.changes)

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
