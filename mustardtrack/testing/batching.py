"""Simulated continuous batching of the stand-in engine."""

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
    """Endpoint load: running requests, queued requests and queued prompt tokens."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


@dataclass
class Stream:
    """One run of a completion request.

    Attributes:
        request: Request that started the run.
        attempt_id: Attempt that currently receives the output.
        submitted_ms: Time when the stream was queued.
        first_index: Index of the first token that this run generates.
        token_texts: Text of each generated token.
        state: ``queued``, ``running``, ``done``, ``cancelled`` or ``refused``.
        prefill_end_ms: Time when prefill is complete and decoding may start.
        cached_tokens: Prompt tokens found in the prefix cache.
        token_credit: Tokens that the stream may generate under its own rate limit.
        disconnected_ms: Time when the connection of the attempt ended, if it has.
    """

    request: CompletionRequest
    attempt_id: str
    submitted_ms: int
    first_index: int = 0
    token_texts: list[str] = field(default_factory=list)
    state: str = "queued"
    prefill_end_ms: int = 0
    cached_tokens: int = 0
    token_credit: float = 1.0
    disconnected_ms: int | None = None

    def __post_init__(self) -> None:
        self.seed = text_seed(self.request.model, self.request.prompt)
        self.prompt_tokens = count_tokens(self.request.prompt)

    @property
    def next_index(self) -> int:
        """Index of the next token to generate."""
        return self.first_index + len(self.token_texts)

    def generate_token(self) -> None:
        """Generate one token."""
        self.token_texts.append(token_text(self.seed, self.next_index))
        if self.next_index >= self.request.max_tokens:
            self.state = "done"


@dataclass(frozen=True)
class EngineRates:
    """Token rates and maximum batch size of an engine.

    Attributes:
        decode_tokens_per_s: Decode rate of the whole engine.
        stream_tokens_per_s: Decode rate of a single stream.
        prefill_tokens_per_s: Prefill rate; prompts are prefilled one at a time.
        max_batch: Maximum number of running streams.
    """

    decode_tokens_per_s: float = 6000.0
    stream_tokens_per_s: float = 100.0
    prefill_tokens_per_s: float = 50_000.0
    max_batch: int = 64


class ContinuousBatch:
    """Request queue and running batch of an engine.

    Prompts are prefilled one at a time, those with the lowest priority number first,
    and those with equal priority by arrival. Each running stream generates at most
    ``rates.stream_tokens_per_s`` and the batch at most ``rates.decode_tokens_per_s``.
    If the rate of the batch does not suffice for all streams, those with the lowest
    priority number receive tokens first; at equal priority, those with the fewest
    generated tokens.

    Args:
        rates: Token rates and batch size of the engine.
        admit: Called with the stream and the time when a stream leaves the queue;
            returns the number of cached prompt tokens, or None if the stream can
            no longer run.
    """

    def __init__(self, rates: EngineRates, admit: Callable[[Stream, int], int | None]):
        self.rates = rates
        self._admit = admit
        self._queue: list[tuple[int, int, Stream]] = []
        self._submit_count = 0
        self._running: list[Stream] = []
        self._prefill_busy_until_ms = 0.0
        self._token_budget = 0.0
        self._last_ms = 0

    def submit(self, stream: Stream) -> None:
        """Add a stream to the queue."""
        self._submit_count += 1
        entry = (stream.request.priority, self._submit_count, stream)
        heapq.heappush(self._queue, entry)

    def cancel(self, stream: Stream) -> bool:
        """Cancel a stream; return False if it has already ended."""
        if stream.state not in ("queued", "running"):
            return False
        stream.state = "cancelled"
        return True

    def tick(self, now_ms: int) -> None:
        """Start queued streams and generate the tokens that are due."""
        elapsed_s = (now_ms - self._last_ms) / 1000
        # The unused tokens of at most 100 ms carry over to the next tick, here for the
        # engine and in _generate for each stream, so that a pause causes no burst.
        limit = self.rates.decode_tokens_per_s * 0.1
        self._token_budget = min(
            self._token_budget + self.rates.decode_tokens_per_s * elapsed_s, limit
        )
        self._drop_ended()
        self._start_queued(now_ms)
        for stream in sorted(self._running, key=_decode_priority):
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
            if self._prefill_busy_until_ms > now_ms:
                return
            stream = heapq.heappop(self._queue)[2]
            if stream.state == "queued":
                self._prefill(stream, now_ms)

    def _prefill(self, stream: Stream, now_ms: int) -> None:
        cached_tokens = self._admit(stream, now_ms)
        if cached_tokens is None:
            stream.state = "refused"
            return
        stream.state = "running"
        stream.cached_tokens = cached_tokens
        uncached = stream.prompt_tokens - stream.cached_tokens
        begin_ms = max(self._prefill_busy_until_ms, stream.submitted_ms)
        self._prefill_busy_until_ms = (
            begin_ms + uncached * 1000 / self.rates.prefill_tokens_per_s
        )
        stream.prefill_end_ms = int(self._prefill_busy_until_ms)
        self._running.append(stream)

    def _generate(self, stream: Stream, now_ms: int) -> None:
        if stream.state != "running" or now_ms < stream.prefill_end_ms:
            return
        elapsed_ms = now_ms - max(self._last_ms, stream.prefill_end_ms)
        earned = self.rates.stream_tokens_per_s * elapsed_ms / 1000
        stream.token_credit = min(
            stream.token_credit + earned, 1 + self.rates.stream_tokens_per_s * 0.1
        )
        while (
            stream.token_credit >= 1
            and self._token_budget >= 1
            and stream.state == "running"
        ):
            stream.generate_token()
            stream.token_credit -= 1
            self._token_budget -= 1

    def _drop_ended(self) -> None:
        self._running = [
            stream for stream in self._running if stream.state == "running"
        ]


def _decode_priority(stream: Stream) -> tuple[int, int]:
    return stream.request.priority, len(stream.token_texts)


class LoadHistory:
    """Reports the load with a configured delay.

    Args:
        lag_ms: Minimum age of the reported load. While no sample is that old, the
            oldest sample is reported.
    """

    def __init__(self, lag_ms: int):
        self._lag_ms = lag_ms
        self._samples: deque[tuple[int, LoadReport]] = deque()

    def sample(self, load: LoadReport, now_ms: int) -> None:
        """Record the load and drop samples that are no longer needed."""
        self._samples.append((now_ms, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now_ms - self._lag_ms:
            self._samples.popleft()

    def report(self, now_ms: int) -> tuple[LoadReport, int]:
        """Return the delayed load and its age in milliseconds."""
        if not self._samples:
            return LoadReport(), 0
        sampled_ms, load = self._samples[0]
        return load, now_ms - sampled_ms
