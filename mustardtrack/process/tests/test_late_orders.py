"""Guards against engines that stay on old weights after an order came late.

The leader's task that orders weight loads is real; the engines, the platform's list and
the replicated state are stand-ins, and virtual time runs them without waiting.
"""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.configuration.documents import ClaimOrders
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.settings.seeded import Bounds, SeededTiming
from mustardtrack.testing.virtualtime import VirtualTimeLoop
from mustardtrack.testing.weight_engines import LIST_ADDRESS, MODEL, WeightEngines

LIMIT_MS = 15_000
STEP_S = 0.05
ENGINES = 3


class Leader:
    """Control host that leads, with replicated state in memory."""

    name = "leader"

    def __init__(self):
        self.document_store = SimpleNamespace(weights={}, order_holder="")
        self.placements = PlacementTable(LIMIT_MS)
        self.released_s = None

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
        """Apply a claim of orders or its release."""
        if isinstance(command, ClaimOrders):
            self.document_store.order_holder = command.holder
        else:
            self.document_store.order_holder = ""
            self.released_s = asyncio.get_running_loop().time()
        return True

    def publish_endpoints(self, endpoints):
        """Adopt a list."""
        self.placements.update(endpoints.endpoints)


class Rollout:
    """The leader's task, the engines and the virtual time."""

    def __init__(self, engines=ENGINES, load_ms=1900):
        self.engines = WeightEngines(engines, load_ms)
        self.leader = Leader()
        settings = SimpleNamespace(
            bounds=Bounds(weights_ms=LIMIT_MS),
            host_list=LIST_ADDRESS,
            timing=SeededTiming(),
        )
        self._watch = EndpointWatch(self.leader, settings)
        self._watch._pool = self.engines

    async def name_version(self, version, at_s):
        """Run the task until a time, and name a version then."""
        await self.run_until(at_s)
        self.leader.document_store.weights = {MODEL: version}

    async def run_until(self, time_s):
        """Run the task until a time of the loop."""
        while asyncio.get_running_loop().time() < time_s:
            await self._watch.advance()
            await asyncio.sleep(STEP_S)


def play(scenario):
    """Run a scenario in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


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


@pytest.mark.parametrize("answers_reports", [False, True])
def test_silent_engines_do_not_delay_the_others(answers_reports):
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


def test_claim_of_orders_is_kept_for_a_lease_after_the_last_send():
    """Guards against two hosts whose orders to one engine follow each other closely."""

    async def scenario():
        rollout = Rollout(engines=1, load_ms=300)
        engine = rollout.engines.engines["10.0.0.1:1"]
        engine.late_orders = dict.fromkeys(range(3), 12_000)
        await rollout.name_version(2, at_s=2)
        await rollout.run_until(20)
        assert rollout.engines.versions() == [2]
        return rollout.leader.released_s - engine.received[-1][0]

    assert play(scenario) >= Bounds().order_lease_ms / 1000


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
