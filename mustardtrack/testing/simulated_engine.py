"""Simulation of a model engine, without I/O."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mustardtrack.testing.batching import (
    CompletionRequest,
    ContinuousBatch,
    EngineRates,
    LoadHistory,
    LoadReport,
    Stream,
)
from mustardtrack.testing.prefix_cache import (
    CacheEventLog,
    CacheEventsResponse,
    CacheKey,
    PrefixCache,
)
from mustardtrack.testing.text import CHARS_PER_TOKEN, hash_prompt_blocks


@dataclass(frozen=True)
class EngineOptions:
    """Options of a stand-in engine.

    The help texts in :mod:`mustardtrack.testing.engine` describe them. ``load_ms`` is
    the time to load weights; ``load_lag_ms`` is the age of the reported load.
    """

    name: str
    models: dict[str, str]
    rates: EngineRates = field(default_factory=EngineRates)
    max_queue: int = 2000
    piece_chars: int = 4096
    cache_tokens: int = 262_144
    cache_idle_ms: int = 0
    event_delay_ms: int = 200
    event_gap_every: int = 0
    load_lag_ms: int = 200
    load_ms: int = 2000
    resume_window_ms: int = 5000
    kv_tokens_per_second: int = 500_000
    deterministic: bool = False
    checks_fencing: bool = True


class RequestError(Exception):
    """A request was refused and did not run.

    Attributes:
        status: HTTP status.
        code: Machine-readable error code.
    """

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


class HealthReport(msgspec.Struct, frozen=True):
    """Body of ``GET /health``."""

    incarnation: str
    state: str
    models: dict[str, str]
    load: LoadReport
    age_ms: int
    deterministic: bool = False


class LoadWeightsRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /orders/load``."""

    model: str
    weights_version: str | int
    fence: int


class KvBlock(msgspec.Struct, frozen=True):
    """MessagePack body of ``GET /kv/{digest}`` and ``PUT /kv/{digest}``.

    Stands for one block of the KV cache; it has no KV data, only the size.
    """

    digest: str
    cache_salt: str
    model: str
    weights_version: str
    tokens: int


class SimulatedEngine:
    """Simulated engine: batch, prefix cache, loaded weights and run counts.

    Args:
        options: Options of the engine.
        incarnation: Identifier of this process; differs after each restart.
        on_run: Called when a run has been counted, before it uses the prefix cache.
    """

    def __init__(
        self,
        options: EngineOptions,
        incarnation: str,
        on_run: Callable[[Stream], None] = lambda stream: None,
    ):
        self.options = options
        self.incarnation = incarnation
        self.models = dict(options.models)
        self.runs: Counter[str] = Counter()
        self.load_requests: list[dict[str, Any]] = []
        self._on_run = on_run
        self._events = CacheEventLog(options.event_delay_ms, options.event_gap_every)
        self._cache = PrefixCache(
            options.cache_tokens, options.cache_idle_ms, self._events
        )
        self._batch = ContinuousBatch(options.rates, self._admit)
        self._load_history = LoadHistory(options.load_lag_ms)
        self._streams: dict[str, Stream] = {}
        self._highest_fence = 0
        self._last_weight_load: LoadWeightsRequest | None = None
        self._weight_loads: list[tuple[int, LoadWeightsRequest]] = []

    def complete(self, request: CompletionRequest, now_ms: int) -> Stream:
        """Queue a completion, or resume the stream that it continues.

        Raises:
            RequestError: If the request is refused; it has not run.
        """
        self._check_request(request)
        if request.resume_from > 0:
            resumed = self._resume_stream(request)
            if resumed is not None:
                return resumed
        if self._batch.load().queued >= self.options.max_queue:
            raise RequestError(429, "queue_full", "queue is full; retry later")
        first = min(request.resume_from, request.max_tokens - 1)
        stream = Stream(request, request.attempt_id, now_ms, first)
        self._streams[request.attempt_id] = stream
        self._batch.submit(stream)
        return stream

    def mark_disconnected(self, stream: Stream, attempt_id: str, now_ms: int) -> None:
        """Record that the connection of an attempt has closed.

        The stream can be resumed until the resume window ends.
        """
        if stream.attempt_id == attempt_id:
            stream.disconnected_ms = now_ms

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return False if it is unknown or has ended."""
        stream = self._streams.pop(attempt_id, None)
        return stream is not None and self._batch.cancel(stream)

    def tick(self, now_ms: int) -> None:
        """Advance the batch, the weight loads and the timeouts."""
        self._batch.tick(now_ms)
        self._load_history.sample(self._batch.load(), now_ms)
        self._cache.evict_idle(now_ms)
        self._finish_weight_loads(now_ms)
        self._drop_expired_streams(now_ms)

    def health(self, state: str, now_ms: int) -> HealthReport:
        """Return the health report with the delayed load."""
        load, age_ms = self._load_history.report(now_ms)
        return HealthReport(
            self.incarnation,
            state,
            dict(self.models),
            load,
            age_ms,
            self.options.deterministic,
        )

    def events(self, after: int, now_ms: int) -> CacheEventsResponse:
        """Return the published cache events after a sequence number."""
        return self._events.read(self.incarnation, after, now_ms)

    def load_weights(self, request: LoadWeightsRequest, now_ms: int) -> None:
        """Start loading weights.

        Raises:
            RequestError: If the fencing token is stale and this engine checks it.
        """
        stale = request.fence < self._highest_fence
        reused = (
            request.fence == self._highest_fence and request != self._last_weight_load
        )
        accepted = not self.options.checks_fencing or not (stale or reused)
        self.load_requests.append(msgspec.to_builtins(request) | {"accepted": accepted})
        if not accepted:
            message = (
                f"fencing token {request.fence} is stale; "
                f"the highest accepted is {self._highest_fence}"
            )
            raise RequestError(409, "stale_fence", message)
        if request != self._last_weight_load:
            self._weight_loads.append((now_ms + self.options.load_ms, request))
        self._highest_fence = max(self._highest_fence, request.fence)
        self._last_weight_load = request

    def is_loading(self, request: LoadWeightsRequest) -> bool:
        """Return whether an accepted load request is still in progress."""
        return any(loading == request for _, loading in self._weight_loads)

    def export_block(self, digest: str) -> KvBlock:
        """Return a cached KV block.

        Raises:
            RequestError: If the block is not cached.
        """
        found = self._cache.find(digest)
        if found is None:
            raise RequestError(404, "not_cached", f"block {digest} is not cached")
        key, entry = found
        return KvBlock(
            key.digest, key.salt, key.model, key.weights_version, entry.tokens
        )

    def import_block(self, digest: str, block: KvBlock, now_ms: int) -> None:
        """Store a KV block that another engine exported.

        Raises:
            RequestError: If the digest or the weights version does not match.
        """
        if block.digest != digest:
            raise RequestError(
                400, "wrong_piece", f"digest of body is {block.digest}, not {digest}"
            )
        self._check_weights(block.model, block.weights_version)
        key = CacheKey(block.cache_salt, block.model, block.weights_version, digest)
        self._cache.store([(key, block.tokens)], now_ms)

    def _check_request(self, request: CompletionRequest) -> None:
        if request.max_tokens < 1 or not request.attempt_id:
            raise RequestError(
                400, "invalid", "attempt_id is required and max_tokens must be positive"
            )
        if request.model not in self.models:
            raise RequestError(404, "unknown_model", f"{request.model} is not loaded")
        if request.weights_version != "":
            self._check_weights(request.model, str(request.weights_version))

    def _check_weights(self, model: str, version: str) -> None:
        loaded = self.models.get(model)
        if loaded != version:
            raise RequestError(
                409, "wrong_weights", f"{model} has weights {loaded}, not {version}"
            )

    def _resume_stream(self, request: CompletionRequest) -> Stream | None:
        for stream in self._streams.values():
            if self._is_resumed_by(stream, request):
                del self._streams[stream.attempt_id]
                stream.attempt_id = request.attempt_id
                stream.disconnected_ms = None
                self._streams[stream.attempt_id] = stream
                return stream
        if self.options.deterministic:
            return None
        raise RequestError(
            409, "resume_unknown", "stream to resume not found; start again"
        )

    @staticmethod
    def _is_resumed_by(stream: Stream, request: CompletionRequest) -> bool:
        original = stream.request
        same_request = original.request_id == request.request_id
        same_parameters = (
            original.model,
            original.prompt,
            original.max_tokens,
            original.cache_salt,
        ) == (
            request.model,
            request.prompt,
            request.max_tokens,
            request.cache_salt,
        )
        return (
            same_request
            and same_parameters
            and stream.first_index <= request.resume_from
        )

    def _admit(self, stream: Stream, now_ms: int) -> int | None:
        required_version = str(stream.request.weights_version)
        if required_version not in ("", self.models[stream.request.model]):
            return None
        self.runs[stream.request.request_id] += 1
        self._on_run(stream)
        blocks = self._prefix_blocks(stream)
        cached = self._cache.match(blocks, now_ms)
        self._cache.store(blocks, now_ms)
        return min(cached, stream.prompt_tokens)

    def _prefix_blocks(self, stream: Stream) -> list[tuple[CacheKey, int]]:
        request = stream.request
        version = self.models[request.model]
        blocks = []
        start = 0
        for digest, end in self._block_digests(request):
            key = CacheKey(request.cache_salt, request.model, version, digest)
            blocks.append((key, (end - start) // CHARS_PER_TOKEN))
            start = end
        return blocks

    def _block_digests(self, request: CompletionRequest) -> list[tuple[str, int]]:
        digests = request.prefix_digests
        if not digests:
            return hash_prompt_blocks(
                request.cache_salt, request.prompt, self.options.piece_chars
            )
        ends = request.prefix_ends
        # Without one end for each digest, the blocks are assumed to be equally large.
        if len(ends) != len(digests):
            chars_per_block = len(request.prompt) / len(digests)
            ends = [int(chars_per_block * (index + 1)) for index in range(len(digests))]
        return list(zip(digests, ends, strict=True))

    def _finish_weight_loads(self, now_ms: int) -> None:
        due = [request for done_ms, request in self._weight_loads if done_ms <= now_ms]
        self._weight_loads = [item for item in self._weight_loads if item[0] > now_ms]
        for request in due:
            self.models[request.model] = str(request.weights_version)
            self._cache.evict_model(request.model, now_ms)

    def _drop_expired_streams(self, now_ms: int) -> None:
        for attempt_id, stream in list(self._streams.items()):
            disconnected_ms = stream.disconnected_ms
            if (
                disconnected_ms is None
                or now_ms - disconnected_ms <= self.options.resume_window_ms
            ):
                continue
            del self._streams[attempt_id]
            self._batch.cancel(stream)
