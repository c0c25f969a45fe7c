"""Estimated load and cache of one model engine.

Load pattern: many prompts that share openings run on an engine at the same time. The
engine holds each part once, however many running requests use it, so that memory is
counted by parts: a part in use cannot be evicted, others yield to new ones in the
order of their last use.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from mustardtrack.membership.endpointlist import ListedEndpoint
from mustardtrack.routing.enginepace import EnginePace

# Urgencies that engines know, 0 to 9.
URGENCIES = 10

# Time in which the weight of a refusal halves; faults of engines last some seconds, and
# a rare trial shows that one has ended.
REFUSAL_HALF_LIFE_MS = 1500.0

# Time for which a prompt holds its place in a batch: ten to thirty tokens, between
# which parts of other prompts are read.
PLACE_HELD_MS = 1000.0

# Salt and digest of one part of a prompt, and such parts with their tokens.
PartKey = tuple[str, str]
PartSizes = list[tuple[PartKey, int]]


@dataclass
class PlacedWork:
    """One placed prompt that has not ended.

    Attributes:
        output_tokens: Most tokens that it generates.
        placed_ms: Monotonic time of the placement.
        keys: Parts of the prompt, which stay in memory until it ends.
        is_read: Whether its first token has arrived.
    """

    engine: str
    read_tokens: int
    output_tokens: int
    urgency: int
    ends_ms: int
    placed_ms: int = 0
    keys: tuple[PartKey, ...] = ()
    is_read: bool = False


@dataclass
class TransferLink:
    """Link of an engine or store, which carries one transfer after another."""

    busy_until_ms: float = 0.0

    def wait_ms(self, now_ms: int) -> float:
        """Return the time until a new transfer starts."""
        return max(0.0, self.busy_until_ms - now_ms)

    def add(self, duration_ms: float, now_ms: int) -> None:
        """Count a transfer."""
        self.busy_until_ms = max(self.busy_until_ms, now_ms) + duration_ms


@dataclass
class EngineState:
    """Estimated state of one engine.

    Attributes:
        unread_tokens: Tokens still to be read, by urgency.
        cache: Parts in memory with their tokens, the one used last at the end.
        unread: Parts that have not been read to their end.
        pins: Number of running requests that use a part.
        kept_tokens: Tokens of all parts in memory.
        output_tokens: Tokens that running requests may generate.
        resting_until_ms: Time before which nothing is placed on it.
        refusals: Requests that it did not run, by weight at ``refused_ms``.
    """

    listed: ListedEndpoint
    work: dict[str, PlacedWork] = field(default_factory=dict)
    unread_tokens: list[int] = field(default_factory=lambda: [0] * URGENCIES)
    cache: OrderedDict[PartKey, int] = field(default_factory=OrderedDict)
    unread: set[PartKey] = field(default_factory=set)
    pins: Counter[PartKey] = field(default_factory=Counter)
    kept_tokens: int = 0
    pinned_tokens: int = 0
    output_tokens: int = 0
    resting_until_ms: int = 0
    refusals: float = 0.0
    refused_ms: int = 0
    link: TransferLink = field(default_factory=TransferLink)
    pace: EnginePace = field(default_factory=EnginePace)

    @property
    def memory_tokens(self) -> int:
        """Tokens of memory that cannot yield."""
        return self.pinned_tokens + self.output_tokens

    def record_refusal(self, now_ms: int) -> None:
        """Count a request that the engine did not run."""
        self.refusals = self.recent_refusals(now_ms) + 1.0
        self.refused_ms = now_ms

    def recent_refusals(self, now_ms: int) -> float:
        """Return the refusals of the last seconds, older ones with less weight."""
        if not self.refusals:
            return 0.0
        age = (now_ms - self.refused_ms) / REFUSAL_HALF_LIFE_MS
        return float(self.refusals * 0.5**age)

    def unread_before(self, urgency: int) -> int:
        """Tokens to be read before a prompt of this urgency."""
        return sum(self.unread_tokens[: urgency + 1])

    def place_wait_ms(self, slots: int) -> float:
        """Return the wait of a new prompt for a place in the batch."""
        if not slots:
            return 0.0
        return max(0, len(self.work) + 1 - slots) * PLACE_HELD_MS / slots

    def add(
        self, request_id: str, work: PlacedWork, parts: PartSizes, capacity_tokens: int
    ) -> None:
        """Count a prompt as placed, and evict what no longer fits."""
        self.work[request_id] = work
        self.unread_tokens[work.urgency] += work.read_tokens
        self.output_tokens += work.output_tokens
        for key, size in parts:
            self._keep(key, size)
            self.pins[key] += 1
            if self.pins[key] == 1:
                self.pinned_tokens += self.cache[key]
        if capacity_tokens:
            self._evict(capacity_tokens - self.output_tokens)

    def _keep(self, key: PartKey, size: int) -> None:
        before = self.cache.pop(key, 0)
        if not before:
            self.unread.add(key)
        # A part in use keeps the size under which it is counted as pinned.
        kept = before if before and self.pins[key] else size
        self.cache[key] = kept
        self.kept_tokens += kept - before

    def _evict(self, room_tokens: int) -> None:
        if self.kept_tokens <= room_tokens:
            return
        for key in [one for one in self.cache if not self.pins[one]]:
            if self.kept_tokens <= room_tokens:
                return
            self._drop(key)

    def _drop(self, key: PartKey) -> None:
        self.kept_tokens -= self.cache.pop(key, 0)
        self.unread.discard(key)

    def mark_read(self, work: PlacedWork, now_ms: int) -> None:
        """Count a prompt as read; others can fetch its parts."""
        if not work.is_read:
            self.pace.record_answer(work.urgency, work.placed_ms, now_ms)
            work.is_read = True
            self.unread_tokens[work.urgency] -= work.read_tokens
            self.unread.difference_update(work.keys)

    def remove(self, request_id: str) -> None:
        """Count a request as ended; its parts may yield from now on."""
        work = self.work.pop(request_id, None)
        if work is None:
            return
        self.output_tokens -= work.output_tokens
        if not work.is_read:
            self.unread_tokens[work.urgency] -= work.read_tokens
        for key in work.keys:
            self.pins[key] -= 1
            if not self.pins[key]:
                del self.pins[key]
                self.pinned_tokens -= self.cache.get(key, 0)

    def cached_prefix(self, parts: PartSizes) -> int:
        """Return the tokens of the leading parts that are in memory."""
        return sum_leading(parts, self.cache, ())

    def readable_prefix(self, parts: PartSizes) -> int:
        """Return the tokens of the leading parts that others can fetch."""
        return sum_leading(parts, self.cache, self.unread)

    def needed_tokens(self, parts: PartSizes, output_tokens: int) -> int:
        """Return the memory that cannot yield once a prompt runs here too."""
        new = sum(size for key, size in parts if not self.pins.get(key))
        return self.memory_tokens + new + output_tokens

    def correct(self, key: PartKey, tokens: int) -> None:
        """Store what the engine reports about one part."""
        if self.pins.get(key):
            # Reports are late; a running request has the part in memory again.
            return
        if tokens <= 0:
            self._drop(key)
            return
        self.kept_tokens += tokens - self.cache.get(key, 0)
        self.cache[key] = tokens
        self.unread.discard(key)

    def replace(self, held: Iterable[tuple[PartKey, int]]) -> None:
        """Adopt the whole content of the cache as the engine lists it.

        Parts of running requests stay, since the list may be older than they are.
        """
        for key in [one for one in self.cache if not self.pins.get(one)]:
            self._drop(key)
        for key, tokens in held:
            self.correct(key, tokens)

    def clear(self) -> None:
        """Forget the cache, which a restart or other weights have emptied."""
        for work in self.work.values():
            work.keys = ()
        self.cache.clear()
        self.unread.clear()
        self.pins.clear()
        self.kept_tokens = self.pinned_tokens = 0


def sum_leading(
    parts: PartSizes, held: Mapping[PartKey, int], pending: Collection[PartKey]
) -> int:
    """Return the tokens of the leading parts that are held and complete."""
    tokens = 0
    for key, size in parts:
        if key not in held or key in pending:
            break
        tokens += size
    return tokens
