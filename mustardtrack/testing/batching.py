"""Continuous batching of the stand-in engine."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from mustardtrack.testing.text import count_tokens, text_seed, token_text


class CompletionRequest(msgspec.Struct):
    """Body of ``POST /v1/completions``; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    request_id: str = ""
    attempt_id: str = ""
    cache_salt: str = ""
    weights_version: str | int = ""
    priority: int = 100
    resume_from: int = 0
    prefix_digests: list[str] = []
    prefix_ends: list[int] = []


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an endpoint: running and queued requests, queued prompt tokens."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


@dataclass
class Stream:
    """One run of a request. ``pieces`` holds one token of text each."""

    request: CompletionRequest
    attempt_id: str
    queued_ms: int
    first_piece: int = 0
    pieces: list[str] = field(default_factory=list)
    state: str = "queued"  # queued, running, done, cancelled or refused
    ready_ms: int = 0
    cached_tokens: int = 0
    credit: float = 1.0
    detached_ms: int | None = None

    def __post_init__(self) -> None:
        self.seed = text_seed(self.request.model, self.request.prompt)
        self.prompt_tokens = count_tokens(self.request.prompt)

    @property
    def next_piece(self) -> int:
        """Number of the next piece to generate."""
        return self.first_piece + len(self.pieces)

    def produce(self) -> None:
        """Generate one piece."""
        self.pieces.append(token_text(self.seed, self.next_piece))
        if self.next_piece >= self.request.max_tokens:
            self.state = "done"


@dataclass(frozen=True)
class Rates:
    """Speed of an engine in tokens per second, and the size of its batch."""

    total: float = 6000.0
    stream: float = 100.0
    prefill: float = 50_000.0
    max_batch: int = 64


class Batch:
    """Queue and running batch.

    Prompts are prefilled one after another in order of priority, then of
    arrival. Each running stream generates at most ``rates.stream`` tokens/s,
    all together at most ``rates.total``; when that is short, the streams with
    the lowest priority number get their tokens first.

    Args:
        rates: Speed of the engine.
        start: Called when a stream leaves the queue; returns the cached tokens
            of its prompt, or None if the stream can no longer run.
    """

    def __init__(self, rates: Rates, start: Callable[[Stream, int], int | None]):
        self.rates = rates
        self._start = start
        self._queue: list[tuple[int, int, Stream]] = []
        self._order = 0
        self._running: list[Stream] = []
        self._prefill_free_ms = 0.0
        self._budget = 0.0
        self._last_ms = 0

    def submit(self, stream: Stream) -> None:
        """Append a stream to the queue."""
        self._order += 1
        entry = (stream.request.priority, self._order, stream)
        heapq.heappush(self._queue, entry)

    def cancel(self, stream: Stream) -> bool:
        """Stop a stream; False if it has already ended."""
        if stream.state not in ("queued", "running"):
            return False
        stream.state = "cancelled"
        return True

    def tick(self, now_ms: int) -> None:
        """Start queued streams and generate the pieces that are due."""
        elapsed_s = (now_ms - self._last_ms) / 1000
        limit = self.rates.total * 0.1
        self._budget = min(self._budget + self.rates.total * elapsed_s, limit)
        self._drop_ended()
        self._start_queued(now_ms)
        for stream in sorted(self._running, key=_urgency):
            self._generate(stream, now_ms)
        self._drop_ended()
        self._last_ms = now_ms

    def load(self) -> LoadReport:
        """Return the current load."""
        waiting = [entry[2] for entry in self._queue if entry[2].state == "queued"]
        tokens = sum(stream.prompt_tokens for stream in waiting)
        return LoadReport(len(self._running), len(waiting), tokens)

    def _start_queued(self, now_ms: int) -> None:
        while self._queue and len(self._running) < self.rates.max_batch:
            if self._prefill_free_ms > now_ms:
                return
            stream = heapq.heappop(self._queue)[2]
            if stream.state == "queued":
                self._prefill(stream, now_ms)

    def _prefill(self, stream: Stream, now_ms: int) -> None:
        cached_tokens = self._start(stream, now_ms)
        if cached_tokens is None:
            stream.state = "refused"
            return
        stream.state = "running"
        stream.cached_tokens = cached_tokens
        uncached = stream.prompt_tokens - stream.cached_tokens
        begin_ms = max(self._prefill_free_ms, stream.queued_ms)
        self._prefill_free_ms = begin_ms + uncached * 1000 / self.rates.prefill
        stream.ready_ms = int(self._prefill_free_ms)
        self._running.append(stream)

    def _generate(self, stream: Stream, now_ms: int) -> None:
        if stream.state != "running" or now_ms < stream.ready_ms:
            return
        since_ms = now_ms - max(self._last_ms, stream.ready_ms)
        earned = self.rates.stream * since_ms / 1000
        stream.credit = min(stream.credit + earned, 1 + self.rates.stream * 0.1)
        while stream.credit >= 1 and self._budget >= 1 and stream.state == "running":
            stream.produce()
            stream.credit -= 1
            self._budget -= 1

    def _drop_ended(self) -> None:
        self._running = [one for one in self._running if one.state == "running"]


def _urgency(stream: Stream) -> tuple[int, int]:
    return stream.request.priority, len(stream.pieces)


class LoadHistory:
    """Reports the load of some time ago.

    Args:
        lag_ms: Age of the reported load.
    """

    def __init__(self, lag_ms: int):
        self._lag_ms = lag_ms
        self._samples: deque[tuple[int, LoadReport]] = deque()

    def sample(self, load: LoadReport, now_ms: int) -> None:
        """Remember the load and drop samples that are no longer needed."""
        self._samples.append((now_ms, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now_ms - self._lag_ms:
            self._samples.popleft()

    def report(self, now_ms: int) -> tuple[LoadReport, int]:
        """Return the lagging load and its age in milliseconds."""
        if not self._samples:
            return LoadReport(), 0
        at_ms, load = self._samples[0]
        return load, now_ms - at_ms
