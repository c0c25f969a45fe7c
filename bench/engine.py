"""Small fake engine on a virtual clock."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

PREFILL_TOKENS_PER_MS = 8.0
IMPORT_TOKENS_PER_MS = 40.0
IMPORT_FIXED_MS = 30.0
CHUNK_TOKENS = 1500
SLOTS = 32
DECODE_MS = 25.0
CACHE_TOKENS = 200_000
CRASH_AFTER_MS = 100.0


class Clock:
    """Event loop on virtual time in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay."""
        event = (self.now + delay, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)


@dataclass
class Work:
    """Prompt and output of one request."""

    request_id: str
    account: str
    class_name: str
    rank: int
    chain: tuple[int, ...]
    level_ends: tuple[int, ...]
    piece_tokens: tuple[int, ...]
    output_tokens: int
    arrived: float
    deadline: float
    crashes: bool = False
    first: float = -1.0
    done: float = -1.0
    cached: int = 0
    wasted: int = 0
    outcome: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt length."""
        return sum(self.piece_tokens)


@dataclass
class Job:
    """One attempt of a request at an engine."""

    work: Work
    priority: int
    on_first: Callable[["Job"], None]
    on_done: Callable[["Job"], None]
    on_fail: Callable[["Job", bool], None]
    source: "Engine | None" = None
    source_pieces: int = 0
    remaining: float = -1.0
    cached: int = 0
    wasted: int = 0
    cancelled: bool = False
    order: int = 0


@dataclass
class Engine:
    """Engine with priority prefill in chunks, decode slots and an LRU cache."""

    name: str
    zone: str
    clock: Clock
    fleet: list["Engine"]
    publish: Callable[["Engine", str, int], None]
    incarnation: int = 1
    alive: bool = True
    running: int = 0
    crashes: int = 0
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    _new: list[tuple[int, int, Job]] = field(default_factory=list)
    _started: list[tuple[int, int, Job]] = field(default_factory=list)
    _decoding: list[Job] = field(default_factory=list)
    _current: Job | None = None
    _order: Any = field(default_factory=itertools.count)

    def submit(self, job: Job) -> None:
        """Queue a job, or fail it if the engine is down."""
        if not self.alive:
            job.on_fail(job, False)
            return
        job.order = next(self._order)
        heapq.heappush(self._new, (job.priority, job.order, job))
        self._step()

    def load(self) -> tuple[int, int, int]:
        """Return running, queued and queued uncached tokens."""
        waiting = [job for _, _, job in self._new if not job.cancelled]
        tokens = 0.0
        for job in waiting:
            local = self.matched(job.work.chain)
            tokens += sum(job.work.piece_tokens[local:])
        tokens += sum(job.remaining for _, _, job in self._started)
        if self._current is not None:
            tokens += max(0.0, self._current.remaining)
        return self.running, len(waiting), int(tokens)

    def matched(self, chain: tuple[int, ...]) -> int:
        """Return the leading pieces found in the cache."""
        for pieces, digest in enumerate(chain):
            if digest not in self.cache:
                return pieces
        return len(chain)

    def crash(self, restart_ms: float) -> None:
        """Lose all work and the cache, and come back empty."""
        lost = [job for _, _, job in self._new + self._started] + self._decoding
        if self._current is not None:
            lost.append(self._current)
        self.alive = False
        self.crashes += 1
        self._new, self._started, self._decoding = [], [], []
        self._current = None
        self.running = 0
        self.cache.clear()
        self.cached_tokens = 0
        for job in lost:
            job.on_fail(job, True)
        self.clock.after(restart_ms, self._restart)

    def _restart(self) -> None:
        self.incarnation += 1
        self.alive = True

    def _step(self) -> None:
        if self._current is not None:
            return
        job = self._next()
        if job is None:
            return
        self._current = job
        if job.remaining < 0:
            self._start(job)
        step = min(job.remaining, CHUNK_TOKENS)
        job.remaining -= step
        took = step / PREFILL_TOKENS_PER_MS * (1 + 0.01 * self.running)
        self.clock.after(max(1.0, took), self._chunk_done, job, self.incarnation)

    def _next(self) -> Job | None:
        while self._new and self._new[0][2].cancelled:
            heapq.heappop(self._new)
        free = self.running < SLOTS
        if self._new and free and not (self._started and self._started < self._new):
            return heapq.heappop(self._new)[2]
        return heapq.heappop(self._started)[2] if self._started else None

    def _start(self, job: Job) -> None:
        work = job.work
        self.running += 1
        local = self.matched(work.chain)
        elsewhere = max(
            (other.matched(work.chain) for other in self.fleet if other.alive),
            default=0,
        )
        job.cached = sum(work.piece_tokens[:local])
        job.remaining = float(sum(work.piece_tokens[local:]))
        if job.source is not None and job.source.alive:
            held = min(job.source_pieces, job.source.matched(work.chain))
            if held > local:
                moved = sum(work.piece_tokens[local:held])
                job.cached += moved
                # The import occupies the engine like the equivalent prefill.
                as_prefill = PREFILL_TOKENS_PER_MS / IMPORT_TOKENS_PER_MS
                job.remaining += moved * (as_prefill - 1)
                job.remaining += IMPORT_FIXED_MS * PREFILL_TOKENS_PER_MS
                local = held
        job.wasted = sum(work.piece_tokens[local : max(local, elsewhere)])
        if work.crashes:
            self.clock.after(CRASH_AFTER_MS, self._crash_by, job, self.incarnation)

    def _crash_by(self, job: Job, incarnation: int) -> None:
        if self.alive and self.incarnation == incarnation:
            self.crash(5000.0)

    def _chunk_done(self, job: Job, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        self._current = None
        if job.remaining > 0:
            heapq.heappush(self._started, (job.priority, job.order, job))
        else:
            self._store(job.work)
            self._decoding.append(job)
            job.on_first(job)
            took = job.work.output_tokens * DECODE_MS * (1 + 0.02 * self.running)
            self.clock.after(took, self._decoded, job, incarnation)
        self._step()

    def _decoded(self, job: Job, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        self._decoding.remove(job)
        self.running -= 1
        job.on_done(job)
        self._step()

    def _store(self, work: Work) -> None:
        # Leaf first, so that eviction removes the end of a prefix before its start.
        pairs = list(zip(work.chain, work.piece_tokens, strict=True))
        for digest, tokens in reversed(pairs):
            if digest not in self.cache:
                self.cached_tokens += tokens
                self.cache[digest] = tokens
                self.publish(self, "stored", digest)
            self.cache.move_to_end(digest)
        while self.cached_tokens > CACHE_TOKENS:
            digest, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens
            self.publish(self, "evicted", digest)
