"""Simulated model engine on a virtual clock."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

PREFILL_TOKENS_PER_MS = 8.0
KV_IMPORT_TOKENS_PER_MS = 40.0
KV_IMPORT_FIXED_MS = 30.0
PREFILL_CHUNK_TOKENS = 1500
BATCH_SLOTS = 32
DECODE_MS_PER_TOKEN = 25.0
KV_CACHE_CAPACITY_TOKENS = 200_000
CRASH_DELAY_MS = 100.0


class VirtualClock:
    """Event loop on virtual time in ms."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_numbers = itertools.count()

    def call_later(
        self, delay_ms: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay in ms."""
        event = (self.now_ms + delay_ms, next(self._sequence_numbers), callback, args)
        heapq.heappush(self._events, event)

    def run_until(self, until_ms: float) -> None:
        """Run all events up to a point in virtual time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback, args = heapq.heappop(self._events)
            callback(*args)


@dataclass
class SimulatedRequest:
    """One simulated request: its prompt, limits and measured result.

    Attributes:
        chain: Digests of the nested prompt prefixes.
        level_ends: Index in ``chain`` after each level of shared prefixes.
        crashes_engine: Whether prefill of this request crashes the engine.
        cached_tokens: Prompt tokens served from the KV cache.
        recomputed_tokens: Prompt tokens computed although an engine had them cached.
    """

    request_id: str
    account: str
    class_name: str
    rank: int
    chain: tuple[int, ...]
    level_ends: tuple[int, ...]
    piece_tokens: tuple[int, ...]
    output_tokens: int
    arrival_ms: float
    deadline_ms: float
    crashes_engine: bool = False
    first_token_ms: float = -1.0
    completed_ms: float = -1.0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    outcome: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt length in tokens."""
        return sum(self.piece_tokens)


@dataclass
class Job:
    """One attempt of a request at an engine.

    Attributes:
        on_failed: Called with the job and whether the engine had accepted it.
    """

    request: SimulatedRequest
    priority: int
    on_first_token: Callable[["Job"], None]
    on_completed: Callable[["Job"], None]
    on_failed: Callable[["Job", bool], None]
    import_source: "Engine | None" = None
    import_pieces: int = 0
    remaining_prefill_tokens: float = -1.0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    cancelled: bool = False
    sequence_number: int = 0


@dataclass
class Engine:
    """Engine with chunked prefill by priority, batch slots and an LRU KV cache."""

    name: str
    zone: str
    clock: VirtualClock
    engines: list["Engine"]
    publish_cache_event: Callable[["Engine", str, int], None]
    incarnation: int = 1
    is_up: bool = True
    running: int = 0
    crash_count: int = 0
    kv_cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    _waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    _partly_prefilled: list[tuple[int, int, Job]] = field(default_factory=list)
    _decoding: list[Job] = field(default_factory=list)
    _prefilling: Job | None = None
    _sequence_numbers: Any = field(default_factory=itertools.count)

    def submit(self, job: Job) -> None:
        """Queue a job, or fail it if the engine is down."""
        if not self.is_up:
            job.on_failed(job, False)
            return
        job.sequence_number = next(self._sequence_numbers)
        heapq.heappush(self._waiting, (job.priority, job.sequence_number, job))
        self._start_next_chunk()

    def load(self) -> tuple[int, int, int]:
        """Return running requests, queued requests and tokens still to prefill."""
        waiting = [job for _, _, job in self._waiting if not job.cancelled]
        tokens = 0.0
        for job in waiting:
            local_pieces = self.cached_prefix_pieces(job.request.chain)
            tokens += sum(job.request.piece_tokens[local_pieces:])
        tokens += sum(
            job.remaining_prefill_tokens for _, _, job in self._partly_prefilled
        )
        if self._prefilling is not None:
            tokens += max(0.0, self._prefilling.remaining_prefill_tokens)
        return self.running, len(waiting), int(tokens)

    def cached_prefix_pieces(self, chain: tuple[int, ...]) -> int:
        """Return how many leading prefix pieces are in the KV cache."""
        for pieces, digest in enumerate(chain):
            if digest not in self.kv_cache:
                return pieces
        return len(chain)

    def crash(self, restart_ms: float) -> None:
        """Fail all requests, clear the KV cache and restart with a new incarnation."""
        interrupted = [
            job for _, _, job in self._waiting + self._partly_prefilled
        ] + self._decoding
        if self._prefilling is not None:
            interrupted.append(self._prefilling)
        self.is_up = False
        self.crash_count += 1
        self._waiting, self._partly_prefilled, self._decoding = [], [], []
        self._prefilling = None
        self.running = 0
        self.kv_cache.clear()
        self.cached_tokens = 0
        for job in interrupted:
            job.on_failed(job, True)
        self.clock.call_later(restart_ms, self._restart)

    def _restart(self) -> None:
        self.incarnation += 1
        self.is_up = True

    def _start_next_chunk(self) -> None:
        if self._prefilling is not None:
            return
        job = self._pop_next_job()
        if job is None:
            return
        self._prefilling = job
        if job.remaining_prefill_tokens < 0:
            self._begin_prefill(job)
        chunk_tokens = min(job.remaining_prefill_tokens, PREFILL_CHUNK_TOKENS)
        job.remaining_prefill_tokens -= chunk_tokens
        duration_ms = chunk_tokens / PREFILL_TOKENS_PER_MS * (1 + 0.01 * self.running)
        self.clock.call_later(
            max(1.0, duration_ms), self._finish_chunk, job, self.incarnation
        )

    def _pop_next_job(self) -> Job | None:
        while self._waiting and self._waiting[0][2].cancelled:
            heapq.heappop(self._waiting)
        has_free_slot = self.running < BATCH_SLOTS
        if (
            self._waiting
            and has_free_slot
            and not (self._partly_prefilled and self._partly_prefilled < self._waiting)
        ):
            return heapq.heappop(self._waiting)[2]
        return (
            heapq.heappop(self._partly_prefilled)[2] if self._partly_prefilled else None
        )

    def _begin_prefill(self, job: Job) -> None:
        request = job.request
        self.running += 1
        local_pieces = self.cached_prefix_pieces(request.chain)
        best_pieces = max(
            (
                other.cached_prefix_pieces(request.chain)
                for other in self.engines
                if other.is_up
            ),
            default=0,
        )
        job.cached_tokens = sum(request.piece_tokens[:local_pieces])
        job.remaining_prefill_tokens = float(sum(request.piece_tokens[local_pieces:]))
        if job.import_source is not None and job.import_source.is_up:
            source_cached_pieces = min(
                job.import_pieces, job.import_source.cached_prefix_pieces(request.chain)
            )
            if source_cached_pieces > local_pieces:
                imported_tokens = sum(
                    request.piece_tokens[local_pieces:source_cached_pieces]
                )
                job.cached_tokens += imported_tokens
                # Import time is charged as prefill tokens, because an import
                # occupies the engine like a prefill of the same duration.
                import_to_prefill_ratio = (
                    PREFILL_TOKENS_PER_MS / KV_IMPORT_TOKENS_PER_MS
                )
                job.remaining_prefill_tokens += imported_tokens * (
                    import_to_prefill_ratio - 1
                )
                job.remaining_prefill_tokens += (
                    KV_IMPORT_FIXED_MS * PREFILL_TOKENS_PER_MS
                )
                local_pieces = source_cached_pieces
        job.recomputed_tokens = sum(
            request.piece_tokens[local_pieces : max(local_pieces, best_pieces)]
        )
        if request.crashes_engine:
            self.clock.call_later(
                CRASH_DELAY_MS, self._crash_unless_restarted, job, self.incarnation
            )

    def _crash_unless_restarted(self, job: Job, incarnation: int) -> None:
        if self.is_up and self.incarnation == incarnation:
            self.crash(5000.0)

    def _finish_chunk(self, job: Job, incarnation: int) -> None:
        if not self.is_up or incarnation != self.incarnation:
            return
        self._prefilling = None
        if job.remaining_prefill_tokens > 0:
            heapq.heappush(
                self._partly_prefilled, (job.priority, job.sequence_number, job)
            )
        else:
            self._cache_prefix(job.request)
            self._decoding.append(job)
            job.on_first_token(job)
            duration_ms = (
                job.request.output_tokens
                * DECODE_MS_PER_TOKEN
                * (1 + 0.02 * self.running)
            )
            self.clock.call_later(duration_ms, self._finish_decode, job, incarnation)
        self._start_next_chunk()

    def _finish_decode(self, job: Job, incarnation: int) -> None:
        if not self.is_up or incarnation != self.incarnation:
            return
        self._decoding.remove(job)
        self.running -= 1
        job.on_completed(job)
        self._start_next_chunk()

    def _cache_prefix(self, request: SimulatedRequest) -> None:
        # Inserted from the last piece to the first, so that LRU eviction removes the
        # end of a prefix before its start.
        pairs = list(zip(request.chain, request.piece_tokens, strict=True))
        for digest, tokens in reversed(pairs):
            if digest not in self.kv_cache:
                self.cached_tokens += tokens
                self.kv_cache[digest] = tokens
                self.publish_cache_event(self, "stored", digest)
            self.kv_cache.move_to_end(digest)
        while self.cached_tokens > KV_CACHE_CAPACITY_TOKENS:
            digest, tokens = self.kv_cache.popitem(last=False)
            self.cached_tokens -= tokens
            self.publish_cache_event(self, "evicted", digest)
