"""Task that updates the cache index from the cache events of engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import EndpointError, HttpEndpointClient
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock, Metrics
from mustardtrack.routing import CacheIndex

EVENTS_LOST = define_event(8470, "INFO", "cache events of an engine were lost")

POLL_PERIOD_MS = 250
MAX_ANSWER_BYTES = 4_194_304
STORED_EVENT_CONFIDENCE = 0.9


class CacheEventRow(msgspec.Struct):
    """Cache event of an engine."""

    seq: int
    op: str
    digest: str


class EventsBody(msgspec.Struct):
    """Body of ``GET /events``."""

    incarnation: str
    first: int
    last: int
    events: list[CacheEventRow]


@dataclass
class EventCursor:
    """Position in the events of one engine incarnation."""

    incarnation: str = ""
    sequence: int = 0


def apply_events(
    index: CacheIndex, endpoint: str, cursor: EventCursor, body: EventsBody, now_ms: int
) -> int:
    """Apply an answer to the index and advance the cursor.

    A new incarnation starts with an empty cache, so the endpoint's entries are
    cleared. Events are lost if the answer lacks sequence numbers that follow the
    cursor; the confidence in the endpoint's entries is then lowered.

    Returns:
        Number of lost events.
    """
    if body.incarnation != cursor.incarnation:
        index.clear(endpoint, body.incarnation)
        cursor.incarnation = body.incarnation
        cursor.sequence = 0
    new_events = [event for event in body.events if event.seq > cursor.sequence]
    lost = max(0, body.last - cursor.sequence - len(new_events))
    if lost:
        index.mark_gap(endpoint, now_ms)
    for event in new_events:
        try:
            digest = int(event.digest, 16)
        except ValueError:
            # Routers compute hexadecimal digests only, so no prompt matches this one.
            continue
        if event.op == "stored":
            index.record(
                endpoint, body.incarnation, digest, STORED_EVENT_CONFIDENCE, now_ms
            )
        else:
            index.evict(endpoint, digest)
    cursor.sequence = max(cursor.sequence, body.last)
    return lost


class CacheEventsTask:
    """Polls the cache events of the engines.

    Args:
        configuration: Current configuration.
        index: Cache index of this router.
        current_incarnation: Returns the current incarnation of an endpoint.
        http: HTTP client.
        clock: Clock.
        metrics: Metrics.
    """

    def __init__(
        self,
        configuration: ConfigurationCopy,
        index: CacheIndex,
        current_incarnation: Callable[[str], str],
        http: HttpEndpointClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self._configuration = configuration
        self._index = index
        self._current_incarnation = current_incarnation
        self._http = http
        self._clock = clock
        self._metrics = metrics
        self._cursors: dict[str, EventCursor] = {}

    async def run(self) -> None:
        """Poll events until cancelled."""
        while True:
            endpoints: Any = self._configuration.objects("endpoint").values()
            engines = [engine for engine in endpoints if engine.kind == "engine"]
            await asyncio.gather(*(self._read(engine) for engine in engines))
            await asyncio.sleep(POLL_PERIOD_MS / 1000)

    async def _read(self, engine: Any) -> None:
        cursor = self._cursors.setdefault(engine.name, EventCursor())
        try:
            answer = await self._http.call(
                engine.address,
                "GET",
                f"/events?after={cursor.sequence}",
                {},
                b"",
                POLL_PERIOD_MS * 4,
                MAX_ANSWER_BYTES,
                pooled=True,
            )
            body = msgspec.json.decode(answer.body, type=EventsBody)
        except (EndpointError, msgspec.DecodeError, RecursionError):
            # The decoder raises RecursionError for deeply nested bytes.
            self._metrics.count("cache_events.unreadable")
            return
        # The router has not observed this incarnation yet, or has observed a newer one.
        # The cursor stays, so that the events can be read again.
        if body.incarnation != self._current_incarnation(engine.name):
            return
        now_ms = self._clock.now_ms()
        lost = apply_events(self._index, engine.name, cursor, body, now_ms)
        self._metrics.count("cache_events.received", len(body.events))
        if lost:
            self._metrics.count("cache_events.lost", lost)
            log_event(EVENTS_LOST, endpoint=engine.name, lost=lost)
