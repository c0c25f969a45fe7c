"""Guards against loads of versions that are superseded as soon as they are loaded."""

import random

import pytest

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.rollout import Rollout
from mustardtrack.routing.versionpace import GRACE_MS, is_worth_loading
from mustardtrack.routing.weightslimit import WeightsLimit

STEP_MS = 50
DRAIN_MS = 200


def play(is_paced, load_ms, period_ms, engines, limit_ms, seed):
    """Return the shares of engine time on current weights and out of service.

    The third result is the longest time for which an engine served old weights.
    """
    rng = random.Random(seed)
    times = LoadTimes()
    times.record("s", 0, load_ms)
    rollout = Rollout(WeightsLimit(limit_ms), times, lambda service, now_ms: is_paced)
    versions = dict.fromkeys((f"e{n}" for n in range(engines)), 1)
    named_ms, next_ms = [0], float(period_ms)
    loads, drained_ms = {}, {}
    current = out = total = oldest_ms = 0
    for now_ms in range(0, 20 * period_ms, STEP_MS):
        if now_ms >= next_ms:
            named_ms.append(now_ms)
            next_ms += period_ms * rng.uniform(0.7, 1.3)
        for name, (end_ms, version) in list(loads.items()):
            if now_ms >= end_ms:
                versions[name] = version
                del loads[name]
        listed = [
            ListedEndpoint(name, 0, "s", "", "a", 8, False, False, {"m": version})
            for name, version in versions.items()
        ]

        def not_started(name, now_ms=now_ms, drained_ms=drained_ms):
            return int(drained_ms.get(name, now_ms + DRAIN_MS) > now_ms)

        orders = rollout.plan(
            listed, {"m": len(named_ms)}, not_started, lambda name: 100, 0, now_ms
        )
        pending = rollout.pending_endpoints()
        drained_ms = {name: drained_ms.get(name, now_ms + DRAIN_MS) for name in pending}
        for order in orders:
            loads[order.endpoint.id] = now_ms + load_ms, order.version
        for name, version in versions.items():
            total += 1
            age_ms = now_ms - named_ms[version] if version < len(named_ms) else 0
            out += name in pending
            if name not in pending:
                current += age_ms < GRACE_MS
                oldest_ms = max(oldest_ms, age_ms)
    return current / total, out / total, oldest_ms


@pytest.mark.parametrize("seed", range(4))
def test_versions_every_four_seconds_leave_more_time_on_current_weights(seed):
    """Guards against engines that load all the time and are never current."""
    current, out, _ = play(False, 2500, 4000, 30, 20_000, seed)
    paced_current, paced_out, oldest_ms = play(True, 2500, 4000, 30, 20_000, seed)
    assert paced_current > current and paced_out < out
    assert oldest_ms < 20_000


@pytest.mark.parametrize("seed", range(12))
def test_paced_engines_reach_new_weights_within_the_limit(seed):
    """Guards against postponed loads that end after the time limit of the weights."""
    rng = random.Random(seed)
    load_ms = rng.choice([100, 400, 1000, 2500])
    limit_ms = rng.choice([6000, 10_000, 20_000])
    engines, period_ms = rng.randrange(2, 31), rng.choice([3000, 4000, 8000])
    plain = play(False, load_ms, period_ms, engines, limit_ms, seed)
    paced = play(True, load_ms, period_ms, engines, limit_ms, seed)
    assert paced[2] <= max(limit_ms, plain[2])
    assert paced[1] <= plain[1] + 0.01


def test_load_is_not_postponed_without_known_namings_or_near_the_limit():
    assert is_worth_loading(None, 2500, 0, 15_000)
    assert not is_worth_loading(1000, 2500, 3000, 15_000)
    assert is_worth_loading(1000, 2500, 9000, 15_000)
