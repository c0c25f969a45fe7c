"""Seeded request streams and faults of the simulated scenarios."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.engine import SimulatedRequest

PREFIX_PIECE_TOKENS = 1500
QUESTION_TOKENS = 600
ACCOUNT_PIECES = 3
CASE_PIECES = 3
CASES = 40
URGENT_OUTPUT_TOKENS, PATIENT_OUTPUT_TOKENS = 80, 250
URGENT_TIMEOUT_MS, PATIENT_TIMEOUT_MS = 15_000.0, 45_000.0
# Requests per second at which prefill or the decode slots of one engine are saturated.
ENGINE_CAPACITY_PER_S = 3.0
MODERATE_ENGINE_LOAD_PER_S = 1.4


@dataclass(frozen=True)
class Deployment:
    """Size and network delay of one simulated deployment."""

    name: str
    engines: int
    zone_ms: float
    zones: int = 3
    routers: int = 8


DEPLOYMENTS = (Deployment("Stenaprav", 5, 1.5), Deployment("Zwolle", 9, 1.0))


@dataclass
class Scenario:
    """Request stream and faults of one run."""

    duration_ms: float
    requests: list[SimulatedRequest]
    measure_from_ms: float = 20_000.0
    restart_routers_at_ms: float = -1.0
    crash_engine_at_ms: float = -1.0
    event_loss: float = 0.0
    event_delay_ms: tuple[float, float] = (200.0, 800.0)


@dataclass
class RequestGenerator:
    """Generator of requests with nested prompt prefixes."""

    rng: random.Random
    serial: int = 0
    popularity_offset: int = 0
    requests: list[SimulatedRequest] = field(default_factory=list)

    def draw_account(self) -> int:
        """Draw an account; a few accounts send most of the requests."""
        return self.rng.choices(range(8), (8, 4, 2, 1, 1, 1, 1, 1))[0]

    def add_request(
        self, at_ms: float, urgent: bool, account: int | None = None
    ) -> SimulatedRequest:
        """Add one request that arrives at the given time."""
        account = self.draw_account() if account is None else account
        popularity_rank = min(CASES - 1, int(self.rng.paretovariate(0.7)) - 1)
        case = (popularity_rank + self.popularity_offset) % 1000
        self.serial += 1
        account_base = (account + 1) << 100
        account_prefix = [account_base + i for i in range(ACCOUNT_PIECES)]
        case_base = account_base + ((case + 1) << 64)
        chain = [*account_prefix, *(case_base + i for i in range(CASE_PIECES))]
        chain.append(case_base + (self.serial << 16))
        piece_tokens = [PREFIX_PIECE_TOKENS] * (len(chain) - 1) + [QUESTION_TOKENS]
        mean_output_tokens = URGENT_OUTPUT_TOKENS if urgent else PATIENT_OUTPUT_TOKENS
        timeout_ms = URGENT_TIMEOUT_MS if urgent else PATIENT_TIMEOUT_MS
        request = SimulatedRequest(
            f"r{self.serial}",
            f"account-{account}",
            "urgent" if urgent else "patient",
            0 if urgent else 1,
            tuple(_hash_128(digest) for digest in chain),
            (ACCOUNT_PIECES, ACCOUNT_PIECES + CASE_PIECES, len(chain)),
            tuple(piece_tokens),
            max(8, int(self.rng.gauss(mean_output_tokens, mean_output_tokens / 4))),
            at_ms,
            at_ms + timeout_ms,
        )
        self.requests.append(request)
        return request

    def add_poisson_stream(
        self,
        rate_per_second: Callable[[float], float],
        urgent: bool,
        end_ms: float,
        account: int | None = None,
    ) -> None:
        """Add Poisson arrivals, with the rate sampled at each arrival."""
        at_ms = 0.0
        while True:
            rate = rate_per_second(at_ms)
            at_ms += self.rng.expovariate(rate / 1000 if rate > 0 else 0.001)
            if at_ms >= end_ms:
                return
            if rate > 0:
                self.add_request(at_ms, urgent, account)


def _hash_128(value: int) -> int:
    """Map structured numbers to uniform 128-bit values, as a digest does."""
    mask = (1 << 128) - 1
    value = (value ^ value >> 67) * 0x9E3779B97F4A7C15F39CC0605CEDC835 & mask
    return (value ^ value >> 59) * 0xD1342543DE82EF95D1342543DE82EF95 & mask


def build_scenario(name: str, deployment: Deployment, seed: int) -> Scenario:
    """Build a scenario; a seed gives the same request stream for every policy."""
    return _BUILDERS[name](deployment.engines, seed)


def _steady(
    engines: int, seed: int, end_ms: float, urgent: float = 0.5, patient: float = 0.5
) -> RequestGenerator:
    # Separate generators keep the urgent stream identical in scenarios that differ
    # only in patient requests.
    total = engines * MODERATE_ENGINE_LOAD_PER_S
    generator = RequestGenerator(random.Random(seed))
    generator.add_poisson_stream(lambda _: total * urgent, True, end_ms)
    other_generator = RequestGenerator(random.Random(seed + 1000), serial=1_000_000)
    other_generator.add_poisson_stream(lambda _: total * patient, False, end_ms)
    generator.requests += other_generator.requests
    return generator


def _calm(engines: int, seed: int) -> Scenario:
    return Scenario(60_000.0, _steady(engines, seed, 60_000.0).requests)


def _day(engines: int, seed: int) -> Scenario:
    """A daily load curve with low load, a peak at 80 s and low load again."""
    end_ms = 150_000.0
    generator = RequestGenerator(random.Random(seed))

    def rate(at_ms: float) -> float:
        peak = math.exp(-(((at_ms - 80_000.0) / 20_000.0) ** 2))
        return engines * MODERATE_ENGINE_LOAD_PER_S * (0.3 + 0.6 * peak)

    generator.add_poisson_stream(rate, True, end_ms)
    generator.add_poisson_stream(rate, False, end_ms)
    return Scenario(end_ms, generator.requests)


def _patient_overload(engines: int, seed: int) -> Scenario:
    end_ms = 60_000.0
    generator = _steady(engines, seed, end_ms, patient=0.0)
    other_generator = RequestGenerator(random.Random(seed + 1000), serial=1_000_000)
    rate = 5 * ENGINE_CAPACITY_PER_S * engines
    other_generator.add_poisson_stream(lambda _: rate, False, end_ms)
    generator.requests += other_generator.requests
    return Scenario(end_ms, generator.requests)


def _urgent_overload(engines: int, seed: int) -> Scenario:
    end_ms = 60_000.0
    generator = _steady(engines, seed, end_ms, urgent=0.0, patient=2.0)
    other_generator = RequestGenerator(random.Random(seed + 1000), serial=4_000_000)
    rate = 5 * ENGINE_CAPACITY_PER_S * engines
    other_generator.add_poisson_stream(lambda _: rate, True, end_ms)
    generator.requests += other_generator.requests
    return Scenario(end_ms, generator.requests)


def _hot_shift(engines: int, seed: int) -> Scenario:
    """The most frequent prefixes of all accounts change every 30 s."""
    end_ms = 120_000.0
    generator = RequestGenerator(random.Random(seed))
    rng = random.Random(seed + 1000)
    at_ms = 0.0
    while at_ms < end_ms:
        generator.popularity_offset = int(at_ms // 30_000.0) * 200
        generator.add_request(at_ms, rng.random() < 0.5)
        at_ms += rng.expovariate(engines * MODERATE_ENGINE_LOAD_PER_S / 1000)
    return Scenario(end_ms, generator.requests)


def _restart(engines: int, seed: int) -> Scenario:
    requests = _steady(engines, seed, 140_000.0).requests
    return Scenario(140_000.0, requests, restart_routers_at_ms=80_000.0)


def _engine_crash(engines: int, seed: int) -> Scenario:
    requests = _steady(engines, seed, 90_000.0).requests
    return Scenario(90_000.0, requests, crash_engine_at_ms=45_000.0)


def _late_events(engines: int, seed: int) -> Scenario:
    requests = _steady(engines, seed, 90_000.0).requests
    return Scenario(90_000.0, requests, event_loss=0.3, event_delay_ms=(2000.0, 8000.0))


def _small_alone(engines: int, seed: int) -> Scenario:
    generator = RequestGenerator(random.Random(seed))
    generator.add_poisson_stream(lambda _: 0.1 * engines, True, 120_000.0, account=1)
    return Scenario(120_000.0, generator.requests)


def _seven_small(engines: int, seed: int) -> Scenario:
    """Seven accounts that each use less than their fair share of the capacity."""
    requests = _small_alone(engines, seed).requests
    for account in range(2, 8):
        other_generator = RequestGenerator(
            random.Random(seed + 100 * account), serial=account * 100_000
        )
        other_generator.add_poisson_stream(
            lambda _: 0.1 * engines, True, 120_000.0, account=account
        )
        requests += other_generator.requests
    return Scenario(120_000.0, requests)


def _heavy_account(engines: int, seed: int) -> Scenario:
    """One account offers twice the capacity beside seven small ones."""
    requests = _seven_small(engines, seed).requests
    heavy_generator = RequestGenerator(random.Random(seed + 7777), serial=2_000_000)
    heavy_generator.add_poisson_stream(
        lambda _: 2 * ENGINE_CAPACITY_PER_S * engines, True, 120_000.0, 0
    )
    return Scenario(120_000.0, requests + heavy_generator.requests)


def _crashing_request(engines: int, seed: int) -> Scenario:
    requests = _steady(engines, seed, 60_000.0).requests
    crashing = RequestGenerator(random.Random(seed + 5), serial=3_000_000).add_request(
        30_000.0, True, 3
    )
    crashing.crashes_engine = True
    return Scenario(60_000.0, [*requests, crashing])


_BUILDERS: dict[str, Callable[[int, int], Scenario]] = {
    "calm": _calm,
    "day": _day,
    "patient_overload": _patient_overload,
    "urgent_overload": _urgent_overload,
    "hot_shift": _hot_shift,
    "restart": _restart,
    "engine_crash": _engine_crash,
    "late_events": _late_events,
    "small_alone": _small_alone,
    "seven_small": _seven_small,
    "heavy_account": _heavy_account,
    "crashing_request": _crashing_request,
}
SCENARIOS = tuple(_BUILDERS)
