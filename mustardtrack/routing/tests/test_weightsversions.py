"""Guards against processes that disagree on the time limit of superseded weights."""

import random

import pytest

from mustardtrack.routing.weightsversions import WeightsVersionHistory

PROCESSES = 4
STEPS = 400
STEP_MS = 50
MAX_DELAY_MS = 300
HORIZON_MS = 3000


@pytest.mark.parametrize("seed", range(12))
def test_exchanged_ages_are_never_longer_than_the_true_ones(seed):
    """Guards against requests refused because messages were delayed or repeated."""
    rng = random.Random(seed)
    histories = [WeightsVersionHistory() for _ in range(PROCESSES)]
    named_ms, in_flight, newest = {}, [], 1
    for now_ms in range(0, STEPS * STEP_MS, STEP_MS):
        if rng.random() < 0.02:
            newest += 1
            named_ms[newest] = now_ms
        one = rng.randrange(PROCESSES)
        if rng.random() < 0.03:
            histories[one] = WeightsVersionHistory()
        if rng.random() < 0.7:
            histories[one].update({"m": newest}, now_ms)
        ages = histories[one].ages(HORIZON_MS, now_ms)
        for _ in range(rng.choice((0, 1, 2))):
            arrives_ms = now_ms + rng.randrange(MAX_DELAY_MS)
            in_flight.append((arrives_ms, rng.randrange(PROCESSES), ages))
        for arrives_ms, to, message in list(in_flight):
            if arrives_ms <= now_ms:
                in_flight.remove((arrives_ms, to, message))
                histories[to].adopt(message, now_ms)
        for history in histories:
            for version in range(1, newest):
                known_ms = history.superseded_for_ms("m", version, now_ms)
                assert (known_ms or 0) <= now_ms - named_ms[version + 1]


def test_process_that_starts_anew_adopts_what_limits_every_older_version():
    """Guards against a process that never saw a version and counts from the next."""
    known, started = WeightsVersionHistory(), WeightsVersionHistory()
    for version, at_ms in ((2, 0), (3, 6000), (4, 12_000)):
        known.update({"m": version}, at_ms)
    started.update({"m": 4}, 14_000)
    ages = known.ages(5000, 14_000)
    started.adopt(ages, 14_000)
    # Version 2 was named long before the horizon, so that its time is not needed.
    assert ages == {"m": {4: 2000, 3: 8000}}
    superseded_ms = [started.superseded_for_ms("m", one, 14_000) for one in (1, 2, 3)]
    assert superseded_ms == [8000, 8000, 2000]
