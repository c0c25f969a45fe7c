"""Guards against engines that stay on old weights after an order came late.

The leader's task that orders weight loads is real; the engines, the platform's list and
the replicated state are stand-ins, and virtual time runs them without waiting.
"""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.configuration.documents import ReleaseOrders
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.settings.seeded import Bounds, SeededTiming
from mustardtrack.testing.virtualtime import play
from mustardtrack.testing.weight_engines import (
    LIST_ADDRESS,
    MODEL,
    SERVICE,
    WeightEngines,
)

LIMIT_MS = 15_000
LOAD_MS = 1900
# A load that ends before an order without an answer is given up.
SHORT_LOAD_MS = 300
STEP_S = 0.05
ENGINES = 3


class Leader:
    """Control host that leads, with replicated state in memory."""

    name = "leader"

    def __init__(self):
        self.document_store = SimpleNamespace(weights={}, order_holder="")
        self.placements = PlacementTable(LIMIT_MS)
        self.published = None
        self.released_s = []

    def now_ms(self):
        """Return the virtual time."""
        return round(asyncio.get_running_loop().time() * 1000)

    def is_leader(self):
        """Return whether this host leads."""
        return True

    def term(self):
        """Return the term."""
        return 1

    async def commit(self, command):
        """Apply the claim of orders or its release."""
        is_release = isinstance(command, ReleaseOrders)
        if is_release:
            self.released_s.append(asyncio.get_running_loop().time())
        self.document_store.order_holder = "" if is_release else command.holder
        return True

    def publish_endpoints(self, endpoints):
        """Adopt a list."""
        self.published = endpoints
        self.placements.update(endpoints.endpoints)


class Rollout:
    """The leader's task, the engines and the virtual time."""

    def __init__(self, engines=ENGINES, load_ms=LOAD_MS):
        self.engines = WeightEngines(engines, load_ms)
        self.leader = Leader()
        settings = SimpleNamespace(
            bounds=Bounds(weights_ms=LIMIT_MS),
            host_list=LIST_ADDRESS,
            timing=SeededTiming(),
        )
        self.bounds = settings.bounds
        self._watch = EndpointWatch(self.leader, settings)
        self._watch._pool = self.engines

    def expected_load_ms(self):
        """Return the load time that the task has learned."""
        return self._watch._load_times.expected_ms(SERVICE)

    async def name_version(self, version, at_s):
        """Run the task until a time, and name a version then."""
        await self.run_until(at_s)
        self.leader.document_store.weights = {MODEL: version}

    async def run_until(self, time_s):
        """Run the task until a time of the loop."""
        while asyncio.get_running_loop().time() < time_s:
            await self._watch.advance()
            await asyncio.sleep(STEP_S)


@pytest.mark.parametrize("delay_ms", [2000, 4000, 6000, 9000, 12_000])
def test_order_that_is_carried_out_late_leaves_no_engine_on_old_weights(delay_ms):
    """Guards against an older order that undoes a newer one unnoticed."""

    async def scenario():
        rollout = Rollout()
        for engine in rollout.engines.engines.values():
            engine.late_orders = {0: delay_ms}
        await rollout.name_version(2, at_s=2)
        await rollout.name_version(3, at_s=5)
        await rollout.run_until(5 + 1.5 * LIMIT_MS / 1000)
        return rollout.engines.versions()

    assert play(scenario) == [3] * ENGINES


@pytest.mark.parametrize("delay_ms", [2000, 4000, 6000, 9000, 12_000])
def test_no_engine_goes_back_to_an_older_version(delay_ms):
    """Guards against an older order that is carried out after a newer one."""

    async def scenario():
        rollout = Rollout()
        for engine in rollout.engines.engines.values():
            engine.late_orders = {0: delay_ms}
        await rollout.name_version(2, at_s=2)
        await rollout.name_version(3, at_s=5)
        await rollout.run_until(5 + 1.5 * LIMIT_MS / 1000)
        return [
            [version for _, version in engine.history]
            for engine in rollout.engines.engines.values()
        ]

    for versions in play(scenario):
        assert versions == sorted(versions)


def test_unanswered_orders_do_not_delay_the_rollout_beyond_its_limit():
    """Guards against a rollout that waits for the effect of lost orders in turn."""

    async def scenario():
        rollout = Rollout(engines=9)
        for engine in rollout.engines.engines.values():
            engine.late_orders = {0: 12_000, 1: 12_000}
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(2 + LIMIT_MS / 1000)
        return rollout.engines.versions()

    assert play(scenario) == [2] * 9


def test_engine_that_returns_to_old_weights_is_ordered_again():
    """Guards against a report that hides an older version of the list for ever."""

    async def scenario():
        rollout = Rollout()
        await rollout.name_version(2, at_s=1)
        await rollout.run_until(10)
        loaded = rollout.engines.versions()
        rollout.engines.set_version("10.0.0.1:1", 1)
        await rollout.run_until(18)
        return loaded, rollout.engines.versions()

    assert play(scenario) == ([2] * ENGINES, [2] * ENGINES)


def test_order_is_not_sent_without_the_number_of_accepted_orders():
    """Guards against an order that undoes a newer one because a report was lost."""

    async def scenario():
        rollout = Rollout()
        for engine in rollout.engines.engines.values():
            engine.late_orders = {0: 9000}
            engine.reports_lost_until_s = 4.0
        await rollout.name_version(2, at_s=2)
        await rollout.name_version(3, at_s=5)
        await rollout.run_until(30)
        return [
            [version for _, version in engine.history]
            for engine in rollout.engines.engines.values()
        ]

    for versions in play(scenario):
        assert versions == sorted(versions)


def test_order_is_not_repeated_after_a_newer_one():
    """Guards against an unanswered order that is sent again after a newer one."""

    async def scenario():
        rollout = Rollout(engines=1, load_ms=SHORT_LOAD_MS)
        (engine,) = rollout.engines.engines.values()
        engine.late_orders = {0: 20, 1: 20, 2: 20}
        await rollout.name_version(2, at_s=2)
        await rollout.name_version(3, at_s=4.2)
        await rollout.run_until(20)
        return [version for _, version in engine.history]

    versions = play(scenario)
    assert versions == sorted(versions)


@pytest.mark.parametrize("report_s", [0.0, 0.9])
def test_claim_is_held_for_the_lease_after_the_last_order(report_s):
    """Guards against another host that sends orders within the lease of this one.

    The last order may be a repeated one, or one that waited for a report.
    """

    async def scenario():
        rollout = Rollout(engines=1, load_ms=SHORT_LOAD_MS)
        (engine,) = rollout.engines.engines.values()
        engine.late_orders = dict.fromkeys(range(4), 20) if not report_s else {}
        engine.report_s = report_s
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(15)
        sent_s = [at_s for at_s, _ in engine.received]
        lease_s = rollout.bounds.order_lease_ms / 1000
        return rollout.leader.released_s[0] - max(sent_s) - lease_s

    assert play(scenario) >= 0


def test_load_that_began_with_an_unanswered_order_is_not_learned_as_shorter():
    """Guards against a plan that takes loads for shorter than they are."""

    async def scenario():
        rollout = Rollout()
        for engine in rollout.engines.engines.values():
            engine.late_orders = {0: 20}
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(12)
        unknown_ms = LoadTimes().expected_ms(SERVICE)
        return rollout.expected_load_ms(), unknown_ms

    expected_ms, unknown_ms = play(scenario)
    assert expected_ms == unknown_ms or expected_ms >= LOAD_MS


@pytest.mark.parametrize("answers_reports", [False, True])
def test_engines_without_an_answer_do_not_delay_the_others(answers_reports):
    """Guards against engines without an answer that hold the places of others."""

    async def scenario():
        rollout = Rollout(engines=9)
        engines = list(rollout.engines.engines.values())
        for engine in engines[:3]:
            engine.is_silent = not answers_reports
            engine.late_orders = dict.fromkeys(range(99), 60_000)
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(2 + 0.75 * LIMIT_MS / 1000)
        return [engine.version for engine in engines[3:]]

    assert play(scenario) == [2] * 6


@pytest.mark.parametrize("silent", [2, 3, 4])
def test_silent_engines_do_not_delay_the_others_beyond_the_limit(silent):
    """Guards against engines that hold places among the loads without answering."""

    async def scenario():
        rollout = Rollout(engines=9)
        engines = list(rollout.engines.engines.values())
        for engine in engines[:silent]:
            engine.is_silent = True
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(2 + LIMIT_MS / 1000)
        return [engine.version for engine in engines[silent:]]

    assert play(scenario) == [2] * (9 - silent)


def test_report_of_another_engine_at_the_same_address_does_not_count():
    """Guards against a reused address while the list names the old engine."""

    async def scenario():
        rollout = Rollout(engines=1)
        await rollout.name_version(2, at_s=0.5)
        rollout.engines.engines["10.0.0.1:1"].instance = "i-other"
        rollout.engines.set_version("10.0.0.1:1", 2)
        # The list, which lags by 800 ms, still shows version 1.
        await rollout.run_until(1.2)
        (engine,) = rollout.leader.published.endpoints
        return engine.weights[MODEL]

    assert play(scenario) == 1
