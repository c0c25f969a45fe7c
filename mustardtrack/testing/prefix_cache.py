"""Prefix cache of the stand-in engine and its cache events."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec


class CacheEvent(msgspec.Struct, frozen=True):
    """One cache change; ``op`` is ``stored`` or ``evicted``."""

    seq: int
    op: str
    digest: str


class CacheEventsResponse(msgspec.Struct, frozen=True):
    """Body of ``GET /events``.

    ``first`` is the oldest retained sequence number and ``last`` the newest that
    this response covers. A sequence number in this range without an event was lost.
    """

    incarnation: str
    first: int
    last: int
    events: list[CacheEvent]


class CacheEventLog:
    """Numbers cache events and publishes them with a delay and with gaps.

    Args:
        delay_ms: Delay between an event and its publication.
        gap_every: Every n-th event is never published; 0 publishes all.
        retained: Number of events retained for readers.
    """

    def __init__(self, delay_ms: int = 0, gap_every: int = 0, retained: int = 10_000):
        self.delay_ms = delay_ms
        self.gap_every = gap_every
        self._last = 0
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=retained)

    def add(self, op: str, digest: str, now_ms: int) -> None:
        """Append an event."""
        self._last += 1
        self._events.append((now_ms, CacheEvent(self._last, op, digest)))

    def read(
        self, incarnation: str, after: int, now_ms: int, limit: int = 2000
    ) -> CacheEventsResponse:
        """Return published events with sequence numbers above ``after``."""
        due = [
            event
            for added_ms, event in self._events
            if added_ms + self.delay_ms <= now_ms
        ]
        first = self._events[0][1].seq if self._events else self._last + 1
        selected = [event for event in due if event.seq > after][:limit]
        newest = due[-1].seq if due else 0
        last = selected[-1].seq if selected else newest
        published = [event for event in selected if not self._is_gap(event)]
        return CacheEventsResponse(incarnation, first, last, published)

    def _is_gap(self, event: CacheEvent) -> bool:
        return self.gap_every > 0 and event.seq % self.gap_every == 0


@dataclass(frozen=True)
class CacheKey:
    """Identity of a cached block; blocks that differ in any field never match."""

    salt: str
    model: str
    weights_version: str
    digest: str


@dataclass
class CacheEntry:
    """Size in tokens and time of last use of a cached block."""

    tokens: int
    last_used_ms: int


class PrefixCache:
    """LRU cache of prompt prefix blocks with limited capacity.

    Args:
        capacity_tokens: Capacity of the cache in tokens.
        idle_ms: Blocks unused for longer are evicted; 0 disables idle eviction.
        events: Receives one event for each stored or evicted block.
    """

    def __init__(self, capacity_tokens: int, idle_ms: int, events: CacheEventLog):
        self._capacity_tokens = capacity_tokens
        self._idle_ms = idle_ms
        self._events = events
        self._entries: OrderedDict[CacheKey, CacheEntry] = OrderedDict()
        self.used_tokens = 0

    def match(self, blocks: Sequence[tuple[CacheKey, int]], now_ms: int) -> int:
        """Return the number of tokens in the longest cached prefix of ``blocks``."""
        self.evict_idle(now_ms)
        tokens = 0
        for key, size in blocks:
            if key not in self._entries:
                break
            tokens += size
        return tokens

    def store(self, blocks: Sequence[tuple[CacheKey, int]], now_ms: int) -> None:
        """Store all blocks of a prefix and mark them as just used.

        The blocks are visited from last to first, so that a block is always
        evicted before the blocks that precede it in the prefix.
        """
        for key, tokens in reversed(blocks):
            self.add(key, tokens, now_ms)
        self._evict_over_capacity(now_ms)

    def add(self, key: CacheKey, tokens: int, now_ms: int) -> None:
        """Store one block or mark it as used, without enforcing the capacity."""
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = CacheEntry(tokens, now_ms)
            self.used_tokens += tokens
            self._events.add("stored", key.digest, now_ms)
        else:
            entry.last_used_ms = now_ms
            self._entries.move_to_end(key)

    def find(self, digest: str) -> tuple[CacheKey, CacheEntry] | None:
        """Return the first entry with the given digest, or None."""
        for key, entry in self._entries.items():
            if key.digest == digest:
                return key, entry
        return None

    def evict_idle(self, now_ms: int) -> None:
        """Evict blocks that have been unused for longer than the idle time."""
        while self._idle_ms and self._entries:
            key, entry = next(iter(self._entries.items()))
            if now_ms - entry.last_used_ms <= self._idle_ms:
                return
            self._evict(key, now_ms)

    def evict_model(self, model: str, now_ms: int) -> None:
        """Evict all blocks of a model whose weights have been replaced."""
        for key in [key for key in self._entries if key.model == model]:
            self._evict(key, now_ms)

    def _evict_over_capacity(self, now_ms: int) -> None:
        while self.used_tokens > self._capacity_tokens:
            self._evict(next(iter(self._entries)), now_ms)

    def _evict(self, key: CacheKey, now_ms: int) -> None:
        self.used_tokens -= self._entries.pop(key).tokens
        self._events.add("evicted", key.digest, now_ms)
