"""State of the stand-in engine, without I/O."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mustardtrack.testing.batching import (
    Batch,
    CompletionRequest,
    LoadHistory,
    LoadReport,
    Rates,
    Stream,
)
from mustardtrack.testing.prefixcache import (
    CacheKey,
    EventLog,
    EventsAnswer,
    PrefixCache,
)
from mustardtrack.testing.text import CHARS_PER_TOKEN, cut_prompt


@dataclass(frozen=True)
class EngineOptions:
    """Options of one stand-in engine."""

    name: str
    models: dict[str, str]
    rates: Rates = field(default_factory=Rates)
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
    """A request is refused; nothing has run.

    Attributes:
        status: HTTP status.
        code: Machine-readable reason.
    """

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


class HealthAnswer(msgspec.Struct, frozen=True):
    """Body of ``GET /health``."""

    incarnation: str
    state: str
    models: dict[str, str]
    load: LoadReport
    age_ms: int
    deterministic: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /orders/load``."""

    model: str
    weights_version: str | int
    fence: int


class ExportedPiece(msgspec.Struct, frozen=True):
    """Body of ``GET /kv/{digest}`` and ``PUT /kv/{digest}``, in MessagePack."""

    digest: str
    cache_salt: str
    model: str
    weights_version: str
    tokens: int


class EngineModel:
    """Batch, cache, loaded weights and run counts of one engine.

    Args:
        options: Options of the engine.
        incarnation: Identity of this process; differs after each restart.
        on_run: Called when a run starts, before it has any effect.
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
        self.orders: list[dict[str, Any]] = []
        self._on_run = on_run
        self._events = EventLog(options.event_delay_ms, options.event_gap_every)
        self._cache = PrefixCache(
            options.cache_tokens, options.cache_idle_ms, self._events
        )
        self._batch = Batch(options.rates, self._start)
        self._history = LoadHistory(options.load_lag_ms)
        self._streams: dict[str, Stream] = {}
        self._fence = 0
        self._fenced: LoadOrder | None = None
        self._loading: list[tuple[int, LoadOrder]] = []

    def complete(self, request: CompletionRequest, now_ms: int) -> Stream:
        """Queue a completion, or attach to the stream that it resumes.

        Raises:
            RequestError: If the request is refused as not run.
        """
        self._check(request)
        if request.resume_from > 0:
            resumed = self._resume(request)
            if resumed is not None:
                return resumed
        if self._batch.load().queued >= self.options.max_queue:
            raise RequestError(429, "queue_full", "the queue is full, retry later")
        first = min(request.resume_from, request.max_tokens - 1)
        stream = Stream(request, request.attempt_id, now_ms, first)
        self._streams[request.attempt_id] = stream
        self._batch.submit(stream)
        return stream

    def detach(self, stream: Stream, attempt_id: str, now_ms: int) -> None:
        """Note that the connection of an attempt has ended.

        The stream can be resumed until the resume window ends.
        """
        if stream.attempt_id == attempt_id:
            stream.detached_ms = now_ms

    def cancel(self, attempt_id: str) -> bool:
        """Stop an attempt; False if it is unknown or has ended."""
        stream = self._streams.pop(attempt_id, None)
        return stream is not None and self._batch.cancel(stream)

    def tick(self, now_ms: int) -> None:
        """Advance the batch, weight loads and timers."""
        self._batch.tick(now_ms)
        self._history.sample(self._batch.load(), now_ms)
        self._cache.evict_idle(now_ms)
        self._finish_loads(now_ms)
        self._forget_detached(now_ms)

    def health(self, state: str, now_ms: int) -> HealthAnswer:
        """Return the health report with the lagging load."""
        load, age_ms = self._history.report(now_ms)
        return HealthAnswer(
            self.incarnation,
            state,
            dict(self.models),
            load,
            age_ms,
            self.options.deterministic,
        )

    def events(self, after: int, now_ms: int) -> EventsAnswer:
        """Return the published cache events after a sequence number."""
        return self._events.read(self.incarnation, after, now_ms)

    def order_load(self, order: LoadOrder, now_ms: int) -> None:
        """Start to load weights.

        Raises:
            RequestError: If the fencing token is stale and this engine checks it.
        """
        stale = order.fence < self._fence
        reused = order.fence == self._fence and order != self._fenced
        accepted = not self.options.checks_fencing or not (stale or reused)
        self.orders.append(msgspec.to_builtins(order) | {"accepted": accepted})
        if not accepted:
            message = f"fence {order.fence} is stale, {self._fence} was accepted"
            raise RequestError(409, "stale_fence", message)
        if order != self._fenced:
            self._loading.append((now_ms + self.options.load_ms, order))
        self._fence = max(self._fence, order.fence)
        self._fenced = order

    def is_loading(self, order: LoadOrder) -> bool:
        """Return whether an accepted load order is still in progress."""
        return any(loading == order for _, loading in self._loading)

    def export_piece(self, digest: str) -> ExportedPiece:
        """Return a cached piece.

        Raises:
            RequestError: If the piece is not cached.
        """
        found = self._cache.find(digest)
        if found is None:
            raise RequestError(404, "not_cached", f"piece {digest} is not cached")
        key, entry = found
        return ExportedPiece(
            key.digest, key.salt, key.model, key.weights_version, entry.tokens
        )

    def import_piece(self, digest: str, piece: ExportedPiece, now_ms: int) -> None:
        """Store a piece that another engine exported.

        Raises:
            RequestError: If it is another piece or belongs to other weights.
        """
        if piece.digest != digest:
            raise RequestError(400, "wrong_piece", "the body holds another digest")
        self._check_weights(piece.model, piece.weights_version)
        key = CacheKey(piece.cache_salt, piece.model, piece.weights_version, digest)
        self._cache.store([(key, piece.tokens)], now_ms)

    def _check(self, request: CompletionRequest) -> None:
        if request.max_tokens < 1 or not request.attempt_id:
            raise RequestError(
                400, "invalid", "attempt_id and max_tokens above 0 are required"
            )
        if request.model not in self.models:
            raise RequestError(404, "unknown_model", f"{request.model} is not loaded")
        if request.weights_version != "":
            self._check_weights(request.model, str(request.weights_version))

    def _check_weights(self, model: str, version: str) -> None:
        loaded = self.models.get(model)
        if loaded != version:
            raise RequestError(
                409, "wrong_weights", f"{model} has version {loaded}, not {version}"
            )

    def _resume(self, request: CompletionRequest) -> Stream | None:
        for stream in self._streams.values():
            if self._continues(stream, request):
                del self._streams[stream.attempt_id]
                stream.attempt_id = request.attempt_id
                stream.detached_ms = None
                self._streams[stream.attempt_id] = stream
                return stream
        if self.options.deterministic:
            return None
        raise RequestError(
            409, "resume_unknown", "the stream to resume is not held, start again"
        )

    @staticmethod
    def _continues(stream: Stream, request: CompletionRequest) -> bool:
        held = stream.request
        same_request = held.request_id == request.request_id
        same_work = (held.model, held.prompt, held.max_tokens, held.cache_salt) == (
            request.model,
            request.prompt,
            request.max_tokens,
            request.cache_salt,
        )
        return same_request and same_work and stream.first_piece <= request.resume_from

    def _start(self, stream: Stream, now_ms: int) -> int | None:
        wanted = str(stream.request.weights_version)
        if wanted not in ("", self.models[stream.request.model]):
            return None
        self.runs[stream.request.request_id] += 1
        self._on_run(stream)
        chain = self._chain(stream)
        cached = self._cache.match(chain, now_ms)
        self._cache.store(chain, now_ms)
        return min(cached, stream.prompt_tokens)

    def _chain(self, stream: Stream) -> list[tuple[CacheKey, int]]:
        request = stream.request
        version = self.models[request.model]
        chain = []
        begin = 0
        for digest, end in self._pieces(request):
            key = CacheKey(request.cache_salt, request.model, version, digest)
            chain.append((key, (end - begin) // CHARS_PER_TOKEN))
            begin = end
        return chain

    def _pieces(self, request: CompletionRequest) -> list[tuple[str, int]]:
        digests = request.prefix_digests
        if not digests:
            return cut_prompt(
                request.cache_salt, request.prompt, self.options.piece_chars
            )
        ends = request.prefix_ends
        if len(ends) != len(digests):
            share = len(request.prompt) / len(digests)
            ends = [int(share * (count + 1)) for count in range(len(digests))]
        return list(zip(digests, ends, strict=True))

    def _finish_loads(self, now_ms: int) -> None:
        due = [order for at_ms, order in self._loading if at_ms <= now_ms]
        self._loading = [item for item in self._loading if item[0] > now_ms]
        for order in due:
            self.models[order.model] = str(order.weights_version)
            self._cache.evict_model(order.model, now_ms)

    def _forget_detached(self, now_ms: int) -> None:
        for attempt_id, stream in list(self._streams.items()):
            lost_ms = stream.detached_ms
            if lost_ms is None or now_ms - lost_ms <= self.options.resume_window_ms:
                continue
            del self._streams[attempt_id]
            self._batch.cancel(stream)
