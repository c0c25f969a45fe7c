"""Rates at which engines prefill prompts, learned from first tokens.

Load pattern: nothing states how fast an engine is, and deployments differ by a factor
of ten. With a rate that is too low, a burst is refused or served late although engines
have room; with one that is too high, prompts wait behind each other.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

# Assumed until prompts have been answered.
PRIOR_TOKENS_PER_MS = 55.0
MIN_TOKENS_PER_MS = 0.5
MAX_TOKENS_PER_MS = 5000.0
# Tokens of a sample. Smaller prompts say more of the way than of the engine.
SAMPLE_TOKENS = 4096
# Largest change that one sample can ask for, as a logarithm. Stalls and prompts whose
# cached parts were misjudged are far off.
MAX_LOG_ERROR = 0.7
# Weight of a sample in the average of a service: the first ones replace the prior.
MIN_SERVICE_WEIGHT = 0.03
PRIOR_SAMPLES = 3
# Weight of a sample in the deviation of its engine from the service.
ENGINE_WEIGHT = 0.1
# Limits of that deviation, as logarithms of 1/8 and 2.
MIN_DEVIATION, MAX_DEVIATION = -math.log(8), math.log(2)
# Half-life of the deviation of an engine that gives no samples, so that one that was
# slow for a while gets prompts again.
DEVIATION_HALF_LIFE_MS = 10_000.0
MAX_ENGINES = 50_000


@dataclass
class PrefillSampler:
    """Measures the prefill of one engine between first tokens.

    An engine works without a pause while a prompt waits that was placed before its
    last first token. Reports arrive in batches, which sums over several prompts even
    out.

    Attributes:
        last_ms: Time of the last first token, None before the first one.
    """

    last_ms: int | None = None
    _tokens: int = 0
    _elapsed_ms: float = 0.0

    def record_first_token(
        self, tokens: int, placed_ms: int, overhead_ms: float, now_ms: int
    ) -> tuple[int, float] | None:
        """Record a first token.

        Args:
            tokens: Tokens that were to be prefilled.
            placed_ms: Time of the placement.
            overhead_ms: Time to a first token at an idle engine, without prefill.
            now_ms: Monotonic time.

        Returns:
            Tokens and milliseconds of a sample once it is large enough.
        """
        is_queued = self.last_ms is not None and placed_ms <= self.last_ms
        begin_ms = self.last_ms if is_queued else placed_ms + overhead_ms
        assert begin_ms is not None
        self.last_ms = now_ms
        self._tokens += tokens
        self._elapsed_ms += max(0.0, now_ms - begin_ms)
        if self._tokens < SAMPLE_TOKENS:
            return None
        sample = self._tokens, self._elapsed_ms
        self._tokens, self._elapsed_ms = 0, 0.0
        return sample


@dataclass
class _EngineDeviation:
    log_factor: float = 0.0
    updated_ms: int = 0

    def value(self, now_ms: int, lasting: float = 0.0) -> float:
        age = max(0, now_ms - self.updated_ms) / DEVIATION_HALF_LIFE_MS
        return float(lasting + (self.log_factor - lasting) * 0.5**age)


@dataclass
class _ServiceRate:
    log_rate: float = math.log(PRIOR_TOKENS_PER_MS)
    count: int = 0
    engines: dict[str, _EngineDeviation] = field(default_factory=dict)


class PrefillRates:
    """Learned prefill rates by service and engine.

    Examples:
        >>> rates = PrefillRates()
        >>> for _ in range(40):
        ...     rates.record("s", "e", 5000, 50.0, 0)
        >>> 80 < rates.tokens_per_ms("s", "e", 0) < 120
        True
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceRate] = {}

    def tokens_per_ms(
        self, service: str, engine: str, now_ms: int, lasting: float = 0.0
    ) -> float:
        """Return the expected prefill rate of an engine beside its other work.

        Args:
            service: Service of the engine.
            engine: Name of the engine.
            now_ms: Monotonic time.
            lasting: Lasting speed of the engine as a multiple of that of its service,
                as a logarithm. It counts in place of samples as they age.
        """
        known = self._services.get(service)
        if known is None:
            return PRIOR_TOKENS_PER_MS * math.exp(lasting)
        deviation = known.engines.get(engine)
        log_factor = lasting
        if deviation is not None:
            log_factor = deviation.value(now_ms, lasting)
        return math.exp(known.log_rate + log_factor)

    def record(
        self, service: str, engine: str, tokens: int, elapsed_ms: float, now_ms: int
    ) -> None:
        """Record a sample of an engine."""
        if elapsed_ms <= 0:
            return
        known = self._services.setdefault(service, _ServiceRate())
        measured = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, tokens / elapsed_ms))
        if engine not in known.engines and len(known.engines) >= MAX_ENGINES:
            known.engines.clear()
        deviation = known.engines.setdefault(engine, _EngineDeviation())
        log_factor = deviation.value(now_ms)
        service_error = math.log(measured) - known.log_rate
        engine_error = service_error - log_factor
        weight = max(MIN_SERVICE_WEIGHT, 1 / (known.count + 1 + PRIOR_SAMPLES))
        known.log_rate += weight * _bound_error(service_error)
        known.count += 1
        log_factor += ENGINE_WEIGHT * _bound_error(engine_error)
        deviation.log_factor = min(MAX_DEVIATION, max(MIN_DEVIATION, log_factor))
        deviation.updated_ms = now_ms

    def service_rates(self) -> dict[str, float]:
        """Return the rate of each service of which there are samples."""
        return {
            service: math.exp(known.log_rate)
            for service, known in self._services.items()
            if known.count
        }

    def adopt(self, rates: Mapping[str, float]) -> None:
        """Adopt the rates of a leader as a prior for the time after its term."""
        for service, rate in rates.items():
            bounded = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, rate))
            known = self._services.setdefault(service, _ServiceRate())
            known.log_rate = math.log(bounded)
            known.count = max(known.count, PRIOR_SAMPLES)

    def forget_engines(self, engines: set[str]) -> None:
        """Drop the deviations of engines that are no longer listed."""
        for known in self._services.values():
            for engine in [one for one in known.engines if one not in engines]:
                del known.engines[engine]


def _bound_error(log_error: float) -> float:
    return min(MAX_LOG_ERROR, max(-MAX_LOG_ERROR, log_error))
