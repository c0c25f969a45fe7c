"""Task that reads the cache events of engines and corrects the cache index."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.adapters.http_endpoints import EndpointError, HttpEndpointClient
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock, Metrics
from mustardtrack.routing import CacheIndex

EVENTS_LOST = define_event(8470, "INFO", "cache events of an engine were lost")

PERIOD_MS = 250
ANSWER_LIMIT_BYTES = 4_194_304
STORED_CONFIDENCE = 0.9


class CacheEventRow(msgspec.Struct):
    """One event."""

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
    """Apply one answer to the index and move the cursor.

    A new incarnation starts with an empty cache, so its entries are cleared. A
    number between the cursor and the last event without an event is lost: what is
    known of the engine gets less confidence.

    Returns:
        Number of lost events.
    """
    if body.incarnation != cursor.incarnation:
        index.clear(endpoint, body.incarnation)
        cursor.incarnation = body.incarnation
        cursor.sequence = 0
    fresh = [event for event in body.events if event.seq > cursor.sequence]
    lost = max(0, body.last - cursor.sequence - len(fresh))
    if lost:
        index.mark_gap(endpoint, now_ms)
    for event in fresh:
        try:
            digest = int(event.digest, 16)
        except ValueError:
            # A digest of the engine's own says nothing about the router's pieces.
            continue
        if event.op == "stored":
            index.record(endpoint, body.incarnation, digest, STORED_CONFIDENCE, now_ms)
        else:
            index.evict(endpoint, digest)
    cursor.sequence = max(cursor.sequence, body.last)
    return lost


class CacheEventsTask:
    """Reads the events of the engines.

    Args:
        copy: Configuration in force.
        index: Cache index of this router.
        incarnation: Returns the incarnation in use of an endpoint.
        http: HTTP client.
        clock: Clock.
        metrics: Metrics.
    """

    def __init__(
        self,
        copy: ConfigurationCopy,
        index: CacheIndex,
        incarnation: Callable[[str], str],
        http: HttpEndpointClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self._copy = copy
        self._index = index
        self._incarnation = incarnation
        self._http = http
        self._clock = clock
        self._metrics = metrics
        self._cursors: dict[str, EventCursor] = {}

    async def run(self) -> None:
        """Read events until cancelled."""
        while True:
            endpoints: Any = self._copy.objects("endpoint").values()
            engines = [one for one in endpoints if one.kind == "engine"]
            await asyncio.gather(*(self._read(one) for one in engines))
            await asyncio.sleep(PERIOD_MS / 1000)

    async def _read(self, engine: Any) -> None:
        cursor = self._cursors.setdefault(engine.name, EventCursor())
        try:
            answer = await self._http.call(
                engine.address,
                "GET",
                f"/events?after={cursor.sequence}",
                {},
                b"",
                PERIOD_MS * 4,
                ANSWER_LIMIT_BYTES,
                pooled=True,
            )
            body = msgspec.json.decode(answer.body, type=EventsBody)
        except (EndpointError, msgspec.DecodeError):
            self._metrics.count("cache_events.unreadable")
            return
        # Events of an incarnation that is not in use yet are read again later.
        if body.incarnation != self._incarnation(engine.name):
            return
        now_ms = self._clock.now_ms()
        lost = apply_events(self._index, engine.name, cursor, body, now_ms)
        self._metrics.count("cache_events.received", len(body.events))
        if lost:
            self._metrics.count("cache_events.lost", lost)
            log_event(EVENTS_LOST, endpoint=engine.name, lost=lost)
