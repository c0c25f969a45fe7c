"""Guards against estimates that hold for the engines of another deployment only."""

import math
import random

import pytest

from mustardtrack.routing.prefillrates import (
    PRIOR_TOKENS_PER_MS,
    PrefillRates,
    PrefillSampler,
)

OVERHEAD_MS = 40.0
# First tokens of prompts of some thousand tokens after which an estimate must hold.
CONVERGED_AFTER = 60
TOLERANCE = 0.25


def answer_prompts(rates, rate, rng, count, mean_pause_ms=50.0, engine="e", start_ms=0):
    """Play prompts on an engine of this rate; reports arrive every 30 ms."""
    sampler = PrefillSampler()
    free_ms = arrival_ms = float(start_ms)
    for _ in range(count):
        arrival_ms += rng.expovariate(1 / mean_pause_ms)
        tokens = rng.randint(1000, 8000)
        begin_ms = max(free_ms, arrival_ms)
        free_ms = begin_ms + tokens / rate
        reported_ms = 30 * math.ceil((free_ms + OVERHEAD_MS) / 30)
        sample = sampler.record_first_token(
            tokens, round(arrival_ms), OVERHEAD_MS, reported_ms
        )
        if sample is not None:
            rates.record("s", engine, *sample, reported_ms)
    return round(free_ms)


@pytest.mark.parametrize("rate", [10, 20, 33, 62, 101])
@pytest.mark.parametrize("seed", range(3))
def test_rate_of_a_busy_engine_is_learned(rate, seed):
    """Guards against a prior that outlives the first minute of a deployment."""
    rates, rng = PrefillRates(), random.Random(seed)
    # Prompts of 4,500 tokens on average arrive faster than they are prefilled.
    pause_ms = 0.8 * 4500 / rate
    end_ms = answer_prompts(rates, rate, rng, CONVERGED_AFTER, pause_ms)
    learned = rates.tokens_per_ms("s", "e", end_ms)
    assert learned == pytest.approx(rate, rel=TOLERANCE)


@pytest.mark.parametrize("seed", range(20))
def test_rates_of_drawn_engines_are_learned(seed):
    rng = random.Random(seed)
    rate = math.exp(rng.uniform(math.log(8), math.log(120)))
    rates = PrefillRates()
    answer_prompts(rates, rate, rng, CONVERGED_AFTER, 0.9 * 4500 / rate)
    learned = rates.service_rates()["s"]
    assert learned == pytest.approx(rate, rel=TOLERANCE)


def test_stalls_do_not_mislead():
    """Guards against one stalled engine that makes the others look slow."""
    rates, rng = PrefillRates(), random.Random(1)
    answer_prompts(rates, 60, rng, CONVERGED_AFTER)
    before = rates.service_rates()["s"]
    for number in range(3):
        rates.record("s", "stalled", 5000, 60_000.0, number)
    assert rates.service_rates()["s"] > 0.9 * before


def test_slow_engine_is_told_from_its_service():
    """Guards against placing as much on an engine that became slow."""
    rates, rng = PrefillRates(), random.Random(2)
    now_ms = answer_prompts(rates, 60, rng, CONVERGED_AFTER)
    for _ in range(20):
        rates.record("s", "fast", 6000, 100.0, now_ms)
        rates.record("s", "slow", 6000, 600.0, now_ms)
    slow = rates.tokens_per_ms("s", "slow", now_ms)
    assert slow < 0.5 * rates.tokens_per_ms("s", "fast", now_ms)
    # Without prompts, it is assumed to recover.
    assert rates.tokens_per_ms("s", "slow", now_ms + 60_000) > 1.5 * slow


def test_unusable_values_change_nothing():
    rates = PrefillRates()
    rates.record("s", "e", 5000, 0.0, 0)
    rates.record("s", "e", 5000, -1.0, 0)
    assert rates.service_rates() == {}
    assert rates.tokens_per_ms("s", "e", 0) == PRIOR_TOKENS_PER_MS


def test_rates_survive_a_change_of_leader():
    """Guards against a new leader that estimates with the prior again."""
    old, new = PrefillRates(), PrefillRates()
    answer_prompts(old, 100, random.Random(3), 2 * CONVERGED_AFTER)
    new.adopt(old.service_rates())
    assert new.tokens_per_ms("s", "e", 0) == pytest.approx(
        old.service_rates()["s"], rel=0.01
    )
    new.adopt({"s": math.inf, "t": 0.0})
    assert math.isfinite(new.tokens_per_ms("s", "e", 0))
    assert new.tokens_per_ms("t", "e", 0) > 0
