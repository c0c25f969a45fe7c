"""Approximate index of the prefixes in the KV cache of each endpoint."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

CONFIDENCE_STEPS = 255
DEFAULT_HALF_LIFE_MS = 60_000
EVICT_GRACE_MS = 5000
GAP_CONFIDENCE_FACTOR = 0.9
MIN_CONFIDENCE = 0.05
_NUMBER_BITS = 32
_TIME_BITS = 48


@dataclass(frozen=True)
class Match:
    """Number of leading pieces expected in a cache, and their mean probability."""

    pieces: int
    confidence: float


NO_MATCH = Match(0, 0.0)


@dataclass
class _EndpointBinding:
    """Number by which entries refer to one incarnation of an endpoint."""

    number: int
    endpoint: str
    incarnation: str
    gap_ms: int = -1


class CacheIndex:
    """Bounded index from digest to the endpoint incarnations that hold it.

    An entry is one digest at one endpoint, packed into one integer of binding
    number, time in ms and confidence. Two generations approximate
    least-recently-recorded eviction in constant time: the older one is emptied
    entry by entry, so that no call has to free a large dictionary at once.

    Examples:
        >>> index = CacheIndex(1000)
        >>> index.record("engine-1", "a", 77, 1.0, now_ms=0)
        >>> index.match("engine-1", "a", (77, 78), now_ms=0).pieces
        1
        >>> index.match("engine-1", "b", (77, 78), now_ms=0).pieces
        0
    """

    def __init__(self, capacity: int, half_life_ms: int = DEFAULT_HALF_LIFE_MS):
        self.capacity = capacity
        self.half_life_ms = half_life_ms
        self.evict_grace_ms = EVICT_GRACE_MS
        self._recent: dict[int, int | dict[int, int]] = {}
        self._older: dict[int, int | dict[int, int]] = {}
        self._bindings: dict[str, _EndpointBinding] = {}
        self._by_number: dict[int, _EndpointBinding] = {}
        self._next_number = 1
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def record(
        self,
        endpoint: str,
        incarnation: str,
        digest: int,
        confidence: float,
        now_ms: int,
    ) -> None:
        """Record that an endpoint probably holds the piece with this digest."""
        binding = self._current_binding(endpoint, incarnation)
        steps = int(min(max(confidence, 0.0), 1.0) * CONFIDENCE_STEPS)
        packed = (binding.number << _TIME_BITS | now_ms) << 8 | steps
        held = self._lookup(digest)
        if isinstance(held, dict):
            self._size += binding.number not in held
            held[binding.number] = packed
        elif held is None or _binding_number(held) == binding.number:
            self._size += held is None
            held = packed
        else:
            self._size += 1
            held = {_binding_number(held): held, binding.number: packed}
        self._older.pop(digest, None)
        self._recent[digest] = held
        self._enforce_capacity()

    def evict(self, endpoint: str, digest: int, now_ms: int | None = None) -> None:
        """Remove one piece after an eviction event.

        Args:
            endpoint: Endpoint that evicted the piece.
            digest: Digest of the piece.
            now_ms: Time of receipt. If given, an entry recorded within
                ``EVICT_GRACE_MS`` is kept: engines evict the least recently
                used blocks, so the event is older than the entry.
        """
        binding = self._bindings.get(endpoint)
        held = self._lookup(digest)
        if binding is None or held is None:
            return
        if now_ms is not None:
            entry = held.get(binding.number, 0) if isinstance(held, dict) else held
            if now_ms - _recorded_ms(entry) < self.evict_grace_ms:
                return
        if isinstance(held, dict):
            self._size -= held.pop(binding.number, None) is not None
            if held:
                return
        elif _binding_number(held) != binding.number:
            return
        else:
            self._size -= 1
        self._recent.pop(digest, None)
        self._older.pop(digest, None)

    def clear(self, endpoint: str, incarnation: str) -> None:
        """Invalidate all entries of an endpoint and bind it to an incarnation.

        Invalid entries become unreachable at once; their memory is freed as the
        generations rotate.
        """
        previous = self._bindings.pop(endpoint, None)
        if previous is not None:
            del self._by_number[previous.number]
        binding = _EndpointBinding(self._next_number, endpoint, incarnation)
        self._next_number = (self._next_number + 1) % (1 << _NUMBER_BITS)
        self._bindings[endpoint] = binding
        self._by_number[binding.number] = binding

    def mark_gap(self, endpoint: str, now_ms: int | None = None) -> None:
        """Lower the confidence in entries recorded before a gap in the events.

        Args:
            endpoint: Endpoint whose event stream has a gap.
            now_ms: Time of the gap; None covers all entries of the incarnation,
                including those recorded later.
        """
        binding = self._bindings.get(endpoint)
        if binding is not None:
            binding.gap_ms = (1 << _TIME_BITS) if now_ms is None else now_ms

    def match(
        self, endpoint: str, incarnation: str, chain: Sequence[int], now_ms: int
    ) -> Match:
        """Return the leading pieces of a chain that an endpoint holds."""
        binding = self._bindings.get(endpoint)
        if binding is None or binding.incarnation != incarnation:
            return NO_MATCH
        pieces = 0
        total = 0.0
        for digest in chain:
            confidence = self._confidence(binding, digest, now_ms)
            if confidence < MIN_CONFIDENCE:
                break
            pieces += 1
            total += confidence
        return Match(pieces, total / pieces) if pieces else NO_MATCH

    def holders(self, digest: int, limit: int = 8) -> Iterator[str]:
        """Yield up to ``limit`` endpoints that hold a piece, first recorded first."""
        held = self._lookup(digest)
        if held is None:
            return
        numbers = list(held) if isinstance(held, dict) else [_binding_number(held)]
        for number in numbers[-limit:]:
            binding = self._by_number.get(number)
            if binding is not None:
                yield binding.endpoint

    def _current_binding(self, endpoint: str, incarnation: str) -> _EndpointBinding:
        binding = self._bindings.get(endpoint)
        if binding is None or binding.incarnation != incarnation:
            self.clear(endpoint, incarnation)
            binding = self._bindings[endpoint]
        return binding

    def _lookup(self, digest: int) -> int | dict[int, int] | None:
        held = self._recent.get(digest)
        return self._older.get(digest) if held is None else held

    def _confidence(self, binding: _EndpointBinding, digest: int, now_ms: int) -> float:
        held = self._lookup(digest)
        if isinstance(held, dict):
            held = held.get(binding.number)
        if held is None or _binding_number(held) != binding.number:
            return 0.0
        recorded_ms = _recorded_ms(held)
        confidence = (held & 0xFF) / CONFIDENCE_STEPS
        if recorded_ms <= binding.gap_ms:
            confidence *= GAP_CONFIDENCE_FACTOR
        age_ms = max(0, now_ms - recorded_ms)
        return float(confidence * 0.5 ** (age_ms / self.half_life_ms))

    def _enforce_capacity(self) -> None:
        while self._size > self.capacity:
            if not self._older:
                self._older, self._recent = self._recent, {}
            _, held = self._older.popitem()
            self._size -= len(held) if isinstance(held, dict) else 1


def _recorded_ms(packed: int) -> int:
    return packed >> 8 & ((1 << _TIME_BITS) - 1)


def _binding_number(packed: int) -> int:
    return packed >> (_TIME_BITS + 8)
