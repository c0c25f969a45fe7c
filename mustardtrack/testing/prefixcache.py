"""Prefix cache of the stand-in engine, with its cache events."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the cache. ``op`` is ``stored`` or ``evicted``."""

    seq: int
    op: str
    digest: str


class EventsAnswer(msgspec.Struct, frozen=True):
    """Body of ``GET /events``.

    ``first`` is the oldest sequence number that is still kept, ``last`` the
    newest that this answer covers. A number between them without an event is
    lost.
    """

    incarnation: str
    first: int
    last: int
    events: list[CacheEvent]


class EventLog:
    """Numbers cache events and publishes them late and with gaps.

    Args:
        delay_ms: Time between an event and its publication.
        gap_every: Every n-th event is never published; 0 publishes all.
        kept: Number of events kept for readers.
    """

    def __init__(self, delay_ms: int = 0, gap_every: int = 0, kept: int = 10_000):
        self.delay_ms = delay_ms
        self.gap_every = gap_every
        self._last = 0
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=kept)

    def add(self, op: str, digest: str, now_ms: int) -> None:
        """Append an event."""
        self._last += 1
        self._events.append((now_ms, CacheEvent(self._last, op, digest)))

    def read(
        self, incarnation: str, after: int, now_ms: int, limit: int = 2000
    ) -> EventsAnswer:
        """Return published events with sequence numbers above ``after``."""
        visible = [
            event for at_ms, event in self._events if at_ms + self.delay_ms <= now_ms
        ]
        first = self._events[0][1].seq if self._events else self._last + 1
        wanted = [event for event in visible if event.seq > after][:limit]
        newest = visible[-1].seq if visible else 0
        last = wanted[-1].seq if wanted else newest
        published = [event for event in wanted if not self._is_gap(event)]
        return EventsAnswer(incarnation, first, last, published)

    def _is_gap(self, event: CacheEvent) -> bool:
        return self.gap_every > 0 and event.seq % self.gap_every == 0


@dataclass(frozen=True)
class CacheKey:
    """Identity of a cached piece: entries never match across these fields."""

    salt: str
    model: str
    weights_version: str
    digest: str


@dataclass
class CacheEntry:
    """Size in tokens and time of the last use of one piece."""

    tokens: int
    used_ms: int


class PrefixCache:
    """Pieces of prompt prefixes in limited memory; least recently used go first.

    Args:
        capacity_tokens: Memory of the cache.
        idle_ms: A piece unused for this time is evicted; 0 disables this.
        events: Receives one event for each stored or evicted piece.
    """

    def __init__(self, capacity_tokens: int, idle_ms: int, events: EventLog):
        self._capacity_tokens = capacity_tokens
        self._idle_ms = idle_ms
        self._events = events
        self._entries: OrderedDict[CacheKey, CacheEntry] = OrderedDict()
        self.used_tokens = 0

    def match(self, chain: Sequence[tuple[CacheKey, int]], now_ms: int) -> int:
        """Return the tokens of the longest cached prefix of a chain."""
        self.evict_idle(now_ms)
        tokens = 0
        for key, size in chain:
            if key not in self._entries:
                break
            tokens += size
        return tokens

    def store(self, chain: Sequence[tuple[CacheKey, int]], now_ms: int) -> None:
        """Store all pieces of a chain as just used.

        The pieces are visited from the last to the first, so that a piece is
        always evicted before those that it depends on.
        """
        for key, tokens in reversed(chain):
            self.add(key, tokens, now_ms)
        self._shrink(now_ms)

    def add(self, key: CacheKey, tokens: int, now_ms: int) -> None:
        """Store one piece, or mark it as used."""
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = CacheEntry(tokens, now_ms)
            self.used_tokens += tokens
            self._events.add("stored", key.digest, now_ms)
        else:
            entry.used_ms = now_ms
            self._entries.move_to_end(key)

    def find(self, digest: str) -> tuple[CacheKey, CacheEntry] | None:
        """Return the entry with a digest."""
        for key, entry in self._entries.items():
            if key.digest == digest:
                return key, entry
        return None

    def evict_idle(self, now_ms: int) -> None:
        """Evict pieces that were unused for longer than the idle time."""
        while self._idle_ms and self._entries:
            key, entry = next(iter(self._entries.items()))
            if now_ms - entry.used_ms <= self._idle_ms:
                return
            self._evict(key, now_ms)

    def evict_model(self, model: str, now_ms: int) -> None:
        """Evict all pieces of a model whose weights were replaced."""
        for key in [key for key in self._entries if key.model == model]:
            self._evict(key, now_ms)

    def _shrink(self, now_ms: int) -> None:
        while self.used_tokens > self._capacity_tokens:
            self._evict(next(iter(self._entries)), now_ms)

    def _evict(self, key: CacheKey, now_ms: int) -> None:
        self.used_tokens -= self._entries.pop(key).tokens
        self._events.add("evicted", key.digest, now_ms)
