"""Request streams of the scenarios of section 1.2."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.engine import Work

PIECE_TOKENS = 1500
QUESTION_TOKENS = 600
TENANT_PIECES = 3
CASE_PIECES = 3
CASES = 40
URGENT_OUTPUT, PATIENT_OUTPUT = 80, 250
URGENT_DEADLINE_MS, PATIENT_DEADLINE_MS = 15_000.0, 45_000.0
# Requests per second of one engine at which prefill or decode slots are full.
CAPACITY_PER_ENGINE = 3.0
CALM_PER_ENGINE = 1.4


@dataclass(frozen=True)
class Deployment:
    """One deployment of section 1.3."""

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
    works: list[Work]
    measure_from: float = 20_000.0
    restart_routers_at: float = -1.0
    crash_engine_at: float = -1.0
    event_loss: float = 0.0
    event_delay: tuple[float, float] = (200.0, 800.0)


@dataclass
class Source:
    """Generator of requests with nested prefixes."""

    rng: random.Random
    serial: int = 0
    hot_offset: int = 0
    works: list[Work] = field(default_factory=list)

    def account(self) -> int:
        """Draw an account."""
        # A few accounts are large: weights 8, 4, 2, 1, 1, 1, 1, 1.
        return self.rng.choices(range(8), (8, 4, 2, 1, 1, 1, 1, 1))[0]

    def add(self, at: float, urgent: bool, account: int | None = None) -> Work:
        """Add one request."""
        account = self.account() if account is None else account
        rank = min(CASES - 1, int(self.rng.paretovariate(0.7)) - 1)
        case = (rank + self.hot_offset) % 1000
        self.serial += 1
        base = (account + 1) << 100
        tenant = [base + i for i in range(TENANT_PIECES)]
        case_base = base + ((case + 1) << 64)
        chain = [*tenant, *(case_base + i for i in range(CASE_PIECES))]
        chain.append(case_base + (self.serial << 16))
        sizes = [PIECE_TOKENS] * (len(chain) - 1) + [QUESTION_TOKENS]
        output = URGENT_OUTPUT if urgent else PATIENT_OUTPUT
        deadline = URGENT_DEADLINE_MS if urgent else PATIENT_DEADLINE_MS
        work = Work(
            f"r{self.serial}",
            f"account-{account}",
            "urgent" if urgent else "patient",
            0 if urgent else 1,
            tuple(_mixed(digest) for digest in chain),
            (TENANT_PIECES, TENANT_PIECES + CASE_PIECES, len(chain)),
            tuple(sizes),
            max(8, int(self.rng.gauss(output, output / 4))),
            at,
            at + deadline,
        )
        self.works.append(work)
        return work

    def stream(
        self,
        per_second: Callable[[float], float],
        urgent: bool,
        end: float,
        account: int | None = None,
    ) -> None:
        """Add Poisson arrivals; the rate is read at each arrival."""
        at = 0.0
        while True:
            rate = per_second(at)
            at += self.rng.expovariate(rate / 1000 if rate > 0 else 0.001)
            if at >= end:
                return
            if rate > 0:
                self.add(at, urgent, account)


def _mixed(value: int) -> int:
    """Spread structured numbers over 128 bits, as a digest does."""
    mask = (1 << 128) - 1
    value = (value ^ value >> 67) * 0x9E3779B97F4A7C15F39CC0605CEDC835 & mask
    return (value ^ value >> 59) * 0xD1342543DE82EF95D1342543DE82EF95 & mask


def build(name: str, deployment: Deployment, seed: int) -> Scenario:
    """Build a scenario; equal seeds give all policies the same stream."""
    return _BUILDERS[name](deployment.engines, seed)


def _steady(
    engines: int, seed: int, end: float, urgent: float = 0.5, patient: float = 0.5
) -> Source:
    # Separate generators keep the urgent stream equal in runs that differ only
    # in patient work.
    total = engines * CALM_PER_ENGINE
    source = Source(random.Random(seed))
    source.stream(lambda _: total * urgent, True, end)
    other = Source(random.Random(seed + 1000), serial=1_000_000)
    other.stream(lambda _: total * patient, False, end)
    source.works += other.works
    return source


def _calm(engines: int, seed: int) -> Scenario:
    return Scenario(60_000.0, _steady(engines, seed, 60_000.0).works)


def _day(engines: int, seed: int) -> Scenario:
    """Night, a dawn peak at 80 s and the day after it."""
    end = 150_000.0
    source = Source(random.Random(seed))

    def rate(at: float) -> float:
        peak = math.exp(-(((at - 80_000.0) / 20_000.0) ** 2))
        return engines * CALM_PER_ENGINE * (0.3 + 0.6 * peak)

    source.stream(rate, True, end)
    source.stream(rate, False, end)
    return Scenario(end, source.works)


def _patient_overload(engines: int, seed: int) -> Scenario:
    end = 60_000.0
    source = _steady(engines, seed, end, patient=0.0)
    other = Source(random.Random(seed + 1000), serial=1_000_000)
    rate = 5 * CAPACITY_PER_ENGINE * engines
    other.stream(lambda _: rate, False, end)
    source.works += other.works
    return Scenario(end, source.works)


def _urgent_overload(engines: int, seed: int) -> Scenario:
    end = 60_000.0
    source = _steady(engines, seed, end, urgent=0.0, patient=2.0)
    other = Source(random.Random(seed + 1000), serial=4_000_000)
    rate = 5 * CAPACITY_PER_ENGINE * engines
    other.stream(lambda _: rate, True, end)
    source.works += other.works
    return Scenario(end, source.works)


def _hot_shift(engines: int, seed: int) -> Scenario:
    """The hot case files of all accounts change every 30 s."""
    end = 120_000.0
    source = Source(random.Random(seed))
    rng = random.Random(seed + 1000)
    at = 0.0
    while at < end:
        source.hot_offset = int(at // 30_000.0) * 200
        source.add(at, rng.random() < 0.5)
        at += rng.expovariate(engines * CALM_PER_ENGINE / 1000)
    return Scenario(end, source.works)


def _restart(engines: int, seed: int) -> Scenario:
    works = _steady(engines, seed, 140_000.0).works
    return Scenario(140_000.0, works, restart_routers_at=80_000.0)


def _engine_crash(engines: int, seed: int) -> Scenario:
    works = _steady(engines, seed, 90_000.0).works
    return Scenario(90_000.0, works, crash_engine_at=45_000.0)


def _late_events(engines: int, seed: int) -> Scenario:
    works = _steady(engines, seed, 90_000.0).works
    return Scenario(90_000.0, works, event_loss=0.3, event_delay=(2000.0, 8000.0))


def _small_alone(engines: int, seed: int) -> Scenario:
    source = Source(random.Random(seed))
    source.stream(lambda _: 0.1 * engines, True, 120_000.0, account=1)
    return Scenario(120_000.0, source.works)


def _seven_small(engines: int, seed: int) -> Scenario:
    """Seven accounts that each use less than their fair share."""
    works = _small_alone(engines, seed).works
    for account in range(2, 8):
        other = Source(random.Random(seed + 100 * account), serial=account * 100_000)
        other.stream(lambda _: 0.1 * engines, True, 120_000.0, account=account)
        works += other.works
    return Scenario(120_000.0, works)


def _heavy_account(engines: int, seed: int) -> Scenario:
    """One account sends twice the capacity next to seven small ones."""
    works = _seven_small(engines, seed).works
    heavy = Source(random.Random(seed + 7777), serial=2_000_000)
    heavy.stream(lambda _: 2 * CAPACITY_PER_ENGINE * engines, True, 120_000.0, 0)
    return Scenario(120_000.0, works + heavy.works)


def _crashing_request(engines: int, seed: int) -> Scenario:
    works = _steady(engines, seed, 60_000.0).works
    bad = Source(random.Random(seed + 5), serial=3_000_000).add(30_000.0, True, 3)
    bad.crashes = True
    return Scenario(60_000.0, [*works, bad])


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
