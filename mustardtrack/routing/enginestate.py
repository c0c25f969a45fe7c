"""Estimated load and KV cache content of one model engine.

Load pattern: many prompts with shared prefixes run on an engine at the same time. The
engine holds the KV cache of each prompt part once, however many running requests use
it. Memory is therefore accounted per part: a part in use is pinned, the others are
evicted in least-recently-used order.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.engineprogress import EngineProgress
from mustardtrack.routing.prefillrates import PrefillSampler

# Urgency levels that engines accept, 0 to 9.
URGENCY_LEVELS = 10

# Half-life of the weight of a refusal. Engine faults last some seconds, and an
# occasional request must still reach the engine to show that a fault has ended.
REFUSAL_HALF_LIFE_MS = 1500.0

# Time on the way from the placement of a prompt to its engine. A load that an engine
# reports includes the prompts that were placed before that.
SEND_MS = 20
# Time after which a reported queue has no weight left.
QUEUE_LIFETIME_MS = 700

# Longest work since the last first token that counts as done.
MAX_UNREPORTED_WORK_MS = 200
# Time without a first token after which a busy engine may have stalled, so that none of
# its work counts as done.
MAX_SILENCE_MS = 1000

# Cache salt and digest of one prompt part, and a list of parts with their tokens.
PartKey = tuple[str, str]
PartSizes = list[tuple[PartKey, int]]


@dataclass
class PlacedPrompt:
    """Prompt placed on an engine whose request has not ended.

    Attributes:
        prefill_tokens: Tokens that the engine is expected to prefill.
        output_tokens: Maximum number of tokens that it generates.
        expires_ms: Monotonic time after which the request has ended in any case.
        placed_ms: Monotonic time of the placement.
        keys: Parts of the prompt, which stay in memory until the request ends.
        first_token_ms: Monotonic time of its first token, None before it.
        found_idle: Whether the engine had nothing to prefill at the placement.
    """

    engine: str
    prefill_tokens: int
    output_tokens: int
    urgency: int
    expires_ms: int
    placed_ms: int = 0
    keys: tuple[PartKey, ...] = ()
    first_token_ms: int | None = None
    found_idle: bool = False

    @property
    def is_prefilled(self) -> bool:
        """Whether its first token has arrived."""
        return self.first_token_ms is not None

    def answered_for_ms(self, now_ms: int) -> int:
        """Return the time since the first token, 0 before it."""
        return 0 if self.first_token_ms is None else now_ms - self.first_token_ms


@dataclass
class TransferLink:
    """Network link of an engine or store, which serializes transfers."""

    busy_until_ms: float = 0.0

    def wait_ms(self, now_ms: int) -> float:
        """Return the time until a new transfer starts."""
        return max(0.0, self.busy_until_ms - now_ms)

    def add(self, duration_ms: float, now_ms: int) -> None:
        """Append a transfer to the link's schedule."""
        self.busy_until_ms = max(self.busy_until_ms, now_ms) + duration_ms


@dataclass
class EngineState:
    """Estimated state of one engine.

    Attributes:
        placed: Placed prompts by request id.
        pending_prefill_tokens: Tokens still to be prefilled, by urgency.
        not_begun: Placed prompts without a first token, by urgency.
        cache: Parts in memory with their tokens, least recently used first.
        incomplete: Parts whose prefill has not finished.
        pins: Number of running requests that use each part.
        resident_tokens: Tokens of all parts in memory.
        pinned_tokens: Tokens of the parts that running requests use.
        output_tokens: Tokens that running requests may generate.
        refusals: Decayed number of refused requests at ``refused_ms``.
        sampler: Measures its prefill rate.
        busy_since_ms: Time of the last first token or, if later, of the placement that
            ended its idleness.
        planned_rate: Prefill rate for plans, in tokens per ms, until
            ``planned_rate_until_ms``.
        unknown_requests: Requests that the engine reported at ``reported_ms`` beyond
            the placed ones, negative if it held fewer.
        reported_ms: Time of that report.
    """

    listed: ListedEndpoint
    placed: dict[str, PlacedPrompt] = field(default_factory=dict)
    pending_prefill_tokens: list[int] = field(
        default_factory=lambda: [0] * URGENCY_LEVELS
    )
    not_begun: list[int] = field(default_factory=lambda: [0] * URGENCY_LEVELS)
    cache: OrderedDict[PartKey, int] = field(default_factory=OrderedDict)
    incomplete: set[PartKey] = field(default_factory=set)
    pins: Counter[PartKey] = field(default_factory=Counter)
    resident_tokens: int = 0
    pinned_tokens: int = 0
    output_tokens: int = 0
    refusals: float = 0.0
    refused_ms: int = 0
    link: TransferLink = field(default_factory=TransferLink)
    progress: EngineProgress = field(default_factory=EngineProgress)
    sampler: PrefillSampler = field(default_factory=PrefillSampler)
    busy_since_ms: int = 0
    planned_rate: float = 0.0
    planned_rate_until_ms: int = 0
    unknown_requests: int = 0
    reported_ms: int = 0

    @property
    def unevictable_tokens(self) -> int:
        """Tokens of memory that cannot be evicted."""
        return self.pinned_tokens + self.output_tokens

    def record_refusal(self, now_ms: int) -> None:
        """Count a request that the engine refused to run."""
        self.refusals = self.recent_refusals(now_ms) + 1.0
        self.refused_ms = now_ms

    def recent_refusals(self, now_ms: int) -> float:
        """Return the number of refusals, exponentially decayed by age."""
        if not self.refusals:
            return 0.0
        age = (now_ms - self.refused_ms) / REFUSAL_HALF_LIFE_MS
        return float(self.refusals * 0.5**age)

    def prefill_tokens_ahead(self, urgency: int) -> int:
        """Return the tokens to be prefilled before a prompt of this urgency."""
        return sum(self.pending_prefill_tokens[: urgency + 1])

    def remaining_answer_ms(self, token_ms: float, now_ms: int) -> float:
        """Return the expected time until all placed requests have ended.

        Args:
            token_ms: Expected time of an output token.
            now_ms: Monotonic time.
        """
        remaining_ms = (
            token_ms * prompt.output_tokens - prompt.answered_for_ms(now_ms)
            for prompt in self.placed.values()
        )
        return max(0.0, max(remaining_ms, default=0.0))

    def unreported_work_ms(self, now_ms: int) -> int:
        """Return the time of prefill that no first token has shown yet."""
        silent_ms = now_ms - self.busy_since_ms
        if silent_ms > MAX_SILENCE_MS or not any(self.pending_prefill_tokens):
            return 0
        return min(MAX_UNREPORTED_WORK_MS, max(0, silent_ms))

    def record_queue(self, outstanding: int, observed_ms: int) -> None:
        """Record the number of requests that the engine held, as it reported it.

        Routers that place prompts alone, a change of leader and ends that are not
        reported yet make it differ from the number of placed prompts.
        """
        sent_ms = observed_ms - SEND_MS
        arrived = sum(1 for one in self.placed.values() if one.placed_ms <= sent_ms)
        self.unknown_requests = outstanding - arrived
        self.reported_ms = observed_ms

    def _unknown_requests(self, now_ms: int) -> float:
        if not self.unknown_requests:
            return 0.0
        age = (now_ms - self.reported_ms) / QUEUE_LIFETIME_MS
        if age >= 1.0:
            self.unknown_requests = 0
            return 0.0
        return self.unknown_requests * (1.0 - max(0.0, age))

    def outstanding(self, now_ms: int) -> float:
        """Return the estimated number of requests on the engine."""
        if not self.unknown_requests:
            return len(self.placed)
        return max(0.0, len(self.placed) + self._unknown_requests(now_ms))

    def unknown_tokens(self, now_ms: int) -> float:
        """Return the estimated memory of requests that are not among the placed."""
        if self.unknown_requests <= 0 or not self.placed:
            return 0.0
        mean = self.unevictable_tokens / len(self.placed)
        return mean * self._unknown_requests(now_ms)

    def excess_requests(
        self, slots: int, now_ms: int, urgency: int = URGENCY_LEVELS - 1
    ) -> float:
        """Return the requests, with a further one, for which there is no slot.

        A prompt passes those with a lower urgency that have not begun.
        """
        outstanding = self.outstanding(now_ms)
        if not slots or outstanding < slots:
            return 0.0
        passed = sum(self.not_begun[urgency + 1 :])
        return max(0.0, outstanding - passed + 1 - slots)

    def mean_output_tokens(self) -> float:
        """Return the mean output limit of the placed prompts."""
        return self.output_tokens / max(1, len(self.placed))

    def mean_prefill_tokens(self) -> float:
        """Return the mean prefill of the placed prompts."""
        tokens = sum(prompt.prefill_tokens for prompt in self.placed.values())
        return tokens / max(1, len(self.placed))

    def add(
        self,
        request_id: str,
        prompt: PlacedPrompt,
        parts: PartSizes,
        capacity_tokens: int,
    ) -> None:
        """Record a placed prompt, and evict parts that no longer fit."""
        self.placed[request_id] = prompt
        if not any(self.pending_prefill_tokens):
            self.busy_since_ms = prompt.placed_ms
            prompt.found_idle = True
        self.pending_prefill_tokens[prompt.urgency] += prompt.prefill_tokens
        self.not_begun[prompt.urgency] += 1
        self.output_tokens += prompt.output_tokens
        for key, size in parts:
            self._insert(key, size)
            self.pins[key] += 1
            if self.pins[key] == 1:
                self.pinned_tokens += self.cache[key]
        if capacity_tokens:
            self._evict(capacity_tokens - self.output_tokens)

    def _insert(self, key: PartKey, size: int) -> None:
        before = self.cache.pop(key, 0)
        if not before:
            self.incomplete.add(key)
        # A pinned part keeps its size, since pinned_tokens includes that size.
        resident_size = before if before and self.pins[key] else size
        self.cache[key] = resident_size
        self.resident_tokens += resident_size - before

    def _evict(self, room_tokens: int) -> None:
        if self.resident_tokens <= room_tokens:
            return
        for key in [key for key in self.cache if not self.pins[key]]:
            if self.resident_tokens <= room_tokens:
                return
            self._discard(key)

    def _discard(self, key: PartKey) -> None:
        self.resident_tokens -= self.cache.pop(key, 0)
        self.incomplete.discard(key)

    def mark_prefilled(
        self, prompt: PlacedPrompt, overhead_ms: float, now_ms: int
    ) -> tuple[int, float] | None:
        """Record the end of a prefill; other engines can fetch the parts now.

        Args:
            prompt: Prompt whose first token has arrived.
            overhead_ms: Time to a first token at an idle engine, without prefill.
            now_ms: Monotonic time.

        Returns:
            Tokens and milliseconds of a sample of the prefill rate, None without one.
        """
        sample = None
        if not prompt.is_prefilled:
            sample = self.sampler.record_first_token(
                prompt.prefill_tokens, prompt.placed_ms, overhead_ms, now_ms
            )
            self.busy_since_ms = now_ms
            self.progress.record_first_token(prompt.urgency, prompt.placed_ms, now_ms)
            prompt.first_token_ms = now_ms
            self.pending_prefill_tokens[prompt.urgency] -= prompt.prefill_tokens
            self.not_begun[prompt.urgency] -= 1
            self.incomplete.difference_update(prompt.keys)
        return sample

    def remove(self, request_id: str) -> None:
        """Record the end of a request and unpin its parts."""
        prompt = self.placed.pop(request_id, None)
        if prompt is None:
            return
        self.output_tokens -= prompt.output_tokens
        if not prompt.is_prefilled:
            self.pending_prefill_tokens[prompt.urgency] -= prompt.prefill_tokens
            self.not_begun[prompt.urgency] -= 1
        for key in prompt.keys:
            self.pins[key] -= 1
            if not self.pins[key]:
                del self.pins[key]
                self.pinned_tokens -= self.cache.get(key, 0)

    def cached_prefix(self, parts: PartSizes) -> int:
        """Return the tokens of the leading parts that are in memory."""
        return sum_leading_parts(parts, self.cache, ())

    def fetchable_prefix(self, parts: PartSizes) -> int:
        """Return the tokens of the leading parts that other engines can fetch."""
        return sum_leading_parts(parts, self.cache, self.incomplete)

    def memory_needed(self, parts: PartSizes, output_tokens: int) -> int:
        """Return the unevictable memory once a further prompt runs here."""
        new = sum(size for key, size in parts if not self.pins.get(key))
        return self.unevictable_tokens + new + output_tokens

    def apply_cache_event(self, key: PartKey, tokens: int) -> None:
        """Apply a cache event that the engine reports about one part."""
        if self.pins.get(key):
            # Events arrive late: a running request has loaded the part again.
            return
        if tokens <= 0:
            self._discard(key)
            return
        self.resident_tokens += tokens - self.cache.get(key, 0)
        self.cache[key] = tokens
        self.incomplete.discard(key)

    def replace(self, held: Iterable[tuple[PartKey, int]]) -> None:
        """Replace the estimated cache by the content that the engine lists.

        Parts of running requests stay, since they may be newer than the list.
        """
        for key in [key for key in self.cache if not self.pins.get(key)]:
            self._discard(key)
        for key, tokens in held:
            self.apply_cache_event(key, tokens)

    def clear(self) -> None:
        """Clear the cache after a restart or a change of weights."""
        for prompt in self.placed.values():
            prompt.keys = ()
        self.cache.clear()
        self.incomplete.clear()
        self.pins.clear()
        self.resident_tokens = self.pinned_tokens = 0


def sum_leading_parts(
    parts: PartSizes, held: Mapping[PartKey, int], pending: Collection[PartKey]
) -> int:
    """Return the tokens of the leading parts that are held and not pending."""
    tokens = 0
    for key, size in parts:
        if key not in held or key in pending:
            break
        tokens += size
    return tokens
