"""Guards against engines that stay out of service long after they loaded weights."""

import random

import pytest

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.rollout import Rollout
from mustardtrack.routing.weightslimit import WeightsLimit

STEP_MS = 50
REPORT_LAG_MS = 200


@pytest.mark.parametrize("load_ms", [300, 700, 1900, 6000])
@pytest.mark.parametrize("earlier_ms", [300, 1900, 6000])
def test_expected_time_follows_the_loads(load_ms, earlier_ms):
    """Guards against figures of another deployment that are never replaced."""
    times = LoadTimes()
    for load in [earlier_ms] + [load_ms] * 6:
        waited_ms = 0.0
        for time_ms in times.report_times_ms("s", 60_000):
            if time_ms >= load:
                times.record("s", waited_ms, time_ms)
                break
            waited_ms = time_ms
    assert times.expected_ms("s") == pytest.approx(load_ms, rel=0.25)


@pytest.mark.parametrize("load_ms", [300, 1900, 6000])
def test_load_of_a_known_service_needs_few_reports(load_ms):
    """Guards against calls to engines, which are priced."""
    times = LoadTimes()
    times.record("s", 0, load_ms)
    before = [time for time in times.report_times_ms("s", 60_000) if time < load_ms]
    assert len(before) <= 3


def test_services_learn_separately():
    times = LoadTimes()
    times.record("fast", 0, 300)
    times.record("slow", 0, 6000)
    assert (times.expected_ms("fast"), times.expected_ms("slow")) == (300, 6000)


def test_reports_end_with_the_limit():
    assert max(LoadTimes().report_times_ms("s", 3000)) < 3000


class SimulatedRollout:
    """Engines that load weights as a :class:`Rollout` orders, with lagging reports."""

    def __init__(self, engines, load_ms, limit_ms, queue_ms):
        self.versions = {f"e{n}": 1 for n in range(engines)}
        self.times = LoadTimes()
        self.rollout = Rollout(WeightsLimit(limit_ms), self.times)
        self.load_ms = load_ms
        self.queue_ms = queue_ms
        self.limit_ms = limit_ms
        self.most_loading = 0
        self.loads = []

    def run(self, version, start_ms):
        """Name a version and return the time until all engines have reported it."""
        now_ms = start_ms
        while any(known < version for known in self.versions.values()):
            self._report(now_ms)
            endpoints = [
                ListedEndpoint(
                    name, 0, "s", "10.0.0.1:1", "a", 8, False, False, {"m": known}
                )
                for name, known in self.versions.items()
            ]
            for order in self.rollout.plan(
                endpoints,
                {"m": version},
                lambda name: 1,
                lambda name: 1,
                self.queue_ms,
                now_ms,
            ):
                report_times = self.times.report_times_ms("s", self.limit_ms)
                self.loads.append([order, now_ms, 0.0, report_times, None])
                self.loads[-1][4] = next(report_times)
            self.most_loading = max(self.most_loading, len(self.loads))
            now_ms += STEP_MS
            assert now_ms < start_ms + 10 * self.limit_ms
        return now_ms - start_ms

    def _report(self, now_ms):
        for load in list(self.loads):
            order, sent_ms, waited_ms, report_times, due_ms = load
            if due_ms is None or now_ms - sent_ms < due_ms:
                continue
            elapsed_ms = now_ms - sent_ms
            if elapsed_ms >= self.load_ms + REPORT_LAG_MS:
                self.versions[order.endpoint.id] = order.version
                self.times.record("s", waited_ms, elapsed_ms)
                self.loads.remove(load)
            else:
                load[2], load[4] = elapsed_ms, next(report_times, None)


@pytest.mark.parametrize("seed", range(12))
def test_all_engines_are_updated_within_the_limit(seed):
    """Guards against a limit that a deployment with short loads could keep."""
    rng = random.Random(seed)
    load_ms = rng.choice([290, 600, 1900, 4000])
    engines = rng.choice([3, 5, 6, 9, 36, 50])
    # The shortest limits of the deployments are 8 to 20 loads long.
    limit_ms = max(6000, rng.randint(8, 12) * load_ms)
    simulated = SimulatedRollout(engines, load_ms, limit_ms, rng.choice([0, 500]))
    now_ms = 0
    for version in (2, 3, 4):
        assert simulated.run(version, now_ms) <= limit_ms
        now_ms += 2 * limit_ms
    assert simulated.most_loading <= max(2, 0.4 * engines)
