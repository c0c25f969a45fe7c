"""Tasks of the leader that follow the cache events of engines and of the store."""

import asyncio
from typing import TYPE_CHECKING

from mustardtrack.adapters.upstream import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
)
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpointlist import CacheEvents
from mustardtrack.platform.endpoints import (
    CACHE_LIST_TARGET,
    EVENTS_WAIT_HEADER,
    events_target,
    read_cache_events,
    read_cache_list,
)

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess

EVENTS_LOST = define_event(8971, "WARNING", "cache events cannot be read")
EVENTS_REGAINED = define_event(8972, "INFO", "cache events are read")
CACHE_RESTARTED = define_event(8973, "INFO", "cache has started again empty")
CACHE_LISTED = define_event(8974, "INFO", "whole cache was read after lost events")
CACHE_NOT_LISTED = define_event(8975, "WARNING", "whole cache could not be read")

# The list delays the engine's work, so that it is not asked for at every lost event.
LIST_PERIOD_S = 5.0
# A call is held for up to this time until there are events; shorter ones are priced.
WAIT_MS = 1000
CALL_TIMEOUT_S = 1.6
CONNECT_TIMEOUT_S = 0.4
PERIOD_S = 0.25
# Events arrive in bursts; reading them together saves messages.
PAUSE_S = 0.15
RETRY_PAUSE_S = 0.5


class CacheWatch:
    """Follows the caches while this replica leads."""

    def __init__(self, control: "SeededControlProcess"):
        self._control = control
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.store_is_up = False

    async def run(self) -> None:
        """Work until cancelled."""
        from twisted.internet import reactor

        self._pool = ConnectionPool(reactor)
        try:
            while True:
                await asyncio.sleep(PERIOD_S)
                self._choose_sources()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _choose_sources(self) -> None:
        wanted: dict[str, str] = {}
        if self._control.leads():
            for endpoint in self._control.endpoints().endpoints:
                if endpoint.weights:
                    wanted[endpoint.id] = endpoint.address
            table = self._control.route_table()
            store = table.store() if table else None
            if store is not None and store.store_address is not None:
                wanted[""] = store.store_address
        for source in [one for one in self._tasks if one not in wanted]:
            self._tasks.pop(source).cancel()
        for source, address in wanted.items():
            if source not in self._tasks:
                coroutine = self._follow(source, address)
                self._tasks[source] = asyncio.ensure_future(coroutine)

    async def _follow(self, source: str, address: str) -> None:
        """Follow one engine, or the store if ``source`` is empty."""
        following, epoch, is_lost = 0, "", False
        clock = asyncio.get_running_loop().time
        list_at_s = clock()
        while True:
            try:
                events = await self._ask(address, following)
            except (ConnectError, ConnectionBrokenError, ValueError) as error:
                if not is_lost:
                    log_event(EVENTS_LOST, endpoint=source, error=str(error))
                is_lost = True
                self._note_store(source, False)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if is_lost:
                log_event(EVENTS_REGAINED, endpoint=source)
                is_lost = False
            if epoch and events.epoch != epoch:
                log_event(CACHE_RESTARTED, endpoint=source, epoch=events.epoch)
                self._forget(source)
            epoch, following = events.epoch, events.following
            self._apply(source, events)
            if events.has_gap and clock() >= list_at_s:
                list_at_s = clock() + LIST_PERIOD_S
                following = await self._list(source, address, following)
            self._note_store(source, True)
            await asyncio.sleep(PAUSE_S)

    async def _list(self, source: str, address: str, following: int) -> int:
        """Read the whole cache, and return the number after which events follow.

        A new leader misses most events, since sources keep only the newest.
        """
        try:
            status, body = await self._call(address, CACHE_LIST_TARGET, [])
            if status != 200:
                raise ValueError(f"status {status}")
            held = read_cache_list(body)
        except (ConnectError, ConnectionBrokenError, ValueError) as error:
            log_event(CACHE_NOT_LISTED, endpoint=source, error=str(error))
            return following
        log_event(CACHE_LISTED, endpoint=source, parts=len(held.changes))
        if source:
            self._control.placements.replace_cache(source, held.changes)
        else:
            self._control.placements.replace_store(held.changes)
        return held.following

    def _note_store(self, source: str, is_up: bool) -> None:
        if source == "":
            self.store_is_up = is_up

    def _forget(self, source: str) -> None:
        if source:
            self._control.placements.forget_cache(source)
        else:
            self._control.placements.forget_store()

    def _apply(self, source: str, events: CacheEvents) -> None:
        if source:
            self._control.placements.apply_events(source, events.changes)
        else:
            self._control.placements.apply_store_events(events.changes)

    async def _ask(self, address: str, since: int) -> CacheEvents:
        """Return the events after a number.

        Raises:
            ConnectError: If there is no connection.
            ConnectionBrokenError: If there is no answer.
            ValueError: If the answer cannot be read.
        """
        headers = [(EVENTS_WAIT_HEADER, b"%d" % WAIT_MS)]
        status, body = await self._call(address, events_target(since), headers)
        if status != 200:
            raise ValueError(f"status {status}")
        return read_cache_events(body)

    async def _call(
        self, address: str, target: bytes, headers: list[tuple[bytes, bytes]]
    ) -> tuple[int, bytes]:
        return await self._pool.call(
            address, b"GET", target, headers, b"", CONNECT_TIMEOUT_S, CALL_TIMEOUT_S
        )
