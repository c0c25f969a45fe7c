"""Guards against processes that disagree on the time limit of superseded weights."""

import random

import pytest

from mustardtrack.routing.weightsversions import (
    ROUNDING_MS,
    WeightsVersionHistory,
)

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
    expected_ms = [8000, 8000, 2000]
    assert superseded_ms == [age_ms - ROUNDING_MS for age_ms in expected_ms]


def test_exchange_of_ages_between_rounded_clocks_does_not_lengthen_them():
    """Guards against an age that grows with each exchange on a fast network.

    Clocks of two hosts tick at different times; messages take less than a millisecond.
    """
    histories = WeightsVersionHistory(), WeightsVersionHistory()
    phases_ms = 0.0, 0.5

    def now_ms(host, time_ms):
        return int(time_ms + phases_ms[host])

    histories[0].update({"m": 2}, now_ms(0, 1000.0))
    for exchange in range(200):
        time_ms = 1000.0 + exchange
        for sender, sent_ms in ((0, time_ms), (1, time_ms + 0.6)):
            ages = histories[sender].ages(HORIZON_MS, now_ms(sender, sent_ms))
            received_ms = now_ms(1 - sender, sent_ms + 0.05)
            histories[1 - sender].adopt(ages, received_ms)
    known_ms = histories[0].superseded_for_ms("m", 1, now_ms(0, 1200.0))
    # Each clock rounds by up to one millisecond.
    assert known_ms <= 200 + 1
