"""Guards against orders of two control hosts around a hand-over of the leadership.

Engines check which host sends them orders: an order of another host within the order
lease of the last one is one of a second holder. Both hosts run the real task; engines,
the platform's list and the replicated state are stand-ins in virtual time.
"""

import asyncio
import json
import math
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.upstream import ConnectError
from mustardtrack.configuration.documents import ClaimOrders
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.settings.seeded import Bounds, SeededTiming
from mustardtrack.testing.virtualtime import play
from mustardtrack.testing.weight_engines import LIST_ADDRESS, MODEL, WeightEngines

LIMIT_MS = 15_000
ORDER_LEASE_S = Bounds().order_lease_ms / 1000
ENGINES = 9
STEP_S = 0.05
COMMIT_S = 0.03
CONNECT_S = 0.01


class Group:
    """Replicated state of the control hosts, and the orders that reached engines."""

    def __init__(self, engines=ENGINES, load_ms=1900):
        self.store = SimpleNamespace(weights={}, order_holder="")
        self.engines = WeightEngines(engines, load_ms=load_ms)
        self.orders = []

    def gaps_s(self):
        """Return the times between an order and one of another holder after it."""
        pairs = zip(self.orders, self.orders[1:], strict=False)
        return [
            later_s - earlier_s
            for (earlier_s, earlier), (later_s, later) in pairs
            if earlier["holder"] != later["holder"]
        ]

    def holders(self):
        """Return the holders in the order of their first orders."""
        return list(dict.fromkeys(order["holder"] for _, order in self.orders))


class Host:
    """Control host that leads in one term, and may be paused.

    Args:
        group: Its control group.
        name: Its name.
        term: Term in which it leads.
        leads_s: Time from which and time up to which it takes itself for the leader.
        paused_s: Time from which and time up to which its process does not run.
    """

    def __init__(self, group, name, term, leads_s, paused_s=(math.inf, math.inf)):
        self.name = name
        self.document_store = group.store
        self.placements = PlacementTable(LIMIT_MS)
        self._group = group
        self._term = term
        self._leads_s = leads_s
        self._paused_s = paused_s
        settings = SimpleNamespace(
            bounds=Bounds(weights_ms=LIMIT_MS),
            host_list=LIST_ADDRESS,
            timing=SeededTiming(),
        )
        self._watch = EndpointWatch(self, settings)
        self._watch._pool = self

    def now_ms(self):
        """Return the virtual time."""
        return round(asyncio.get_running_loop().time() * 1000)

    def is_leader(self):
        """Return whether this host takes itself for the leader."""
        return self._leads_s[0] <= asyncio.get_running_loop().time() < self._leads_s[1]

    def term(self):
        """Return the term."""
        return self._term

    async def commit(self, command):
        """Apply a claim, or the end of an own claim."""
        await asyncio.sleep(COMMIT_S)
        store = self._group.store
        if isinstance(command, ClaimOrders):
            store.order_holder = command.holder
        elif store.order_holder == command.holder:
            store.order_holder = ""
        return True

    def publish_endpoints(self, endpoints):
        """Adopt a list."""
        self.placements.update(endpoints.endpoints)

    async def run_until(self, time_s):
        """Run the task of this host until a time, except while it is paused."""
        while asyncio.get_running_loop().time() < time_s:
            await self._wait_for_resumption()
            await self._watch.advance()
            await asyncio.sleep(STEP_S)

    async def _wait_for_resumption(self):
        now_s = asyncio.get_running_loop().time()
        if self._paused_s[0] <= now_s < self._paused_s[1]:
            await asyncio.sleep(self._paused_s[1] - now_s)

    async def call(self, address, method, target, headers, body, *limits):
        """Send a call to the engines as the connection pool does."""
        may_send = limits[-1]
        await asyncio.sleep(CONNECT_S)
        await self._wait_for_resumption()
        if not may_send():
            raise ConnectError("not sent: the permission has ended")
        if method == b"POST":
            order = json.loads(body)
            self._group.orders.append((asyncio.get_running_loop().time(), order))
        return await self._group.engines.call(
            address, method, target, headers, body, *limits
        )


@pytest.mark.parametrize("overlap_s", [0.0, 0.2, 0.4])
@pytest.mark.parametrize("change_s", [2.2, 2.5, 3.0, 4.0, 5.0])
def test_new_leader_orders_nothing_while_orders_of_the_old_one_may_arrive(
    overlap_s, change_s
):
    """Guards against orders that go out twice while both hosts act."""

    async def scenario():
        group = Group()
        old = Host(group, "old", 1, (0.0, change_s + overlap_s))
        new = Host(group, "new", 2, (change_s, math.inf))
        hosts = [asyncio.ensure_future(host.run_until(30.0)) for host in (old, new)]
        await asyncio.sleep(2.0)
        group.store.weights = {MODEL: 2}
        await asyncio.gather(*hosts)
        return group

    group = play(scenario)
    assert group.holders() == ["old", "new"]
    assert min(group.gaps_s()) >= ORDER_LEASE_S
    assert group.engines.versions() == [2] * ENGINES
    received = [len(engine.received) for engine in group.engines.engines.values()]
    assert received == [1] * ENGINES


@pytest.mark.parametrize("pause_s", [2.03, 2.08, 2.12, 3.9, 4.0, 4.1])
def test_leader_that_was_paused_before_it_sends_sends_no_order(pause_s):
    """Guards against an order sent with a permission that ended during a pause."""

    async def scenario():
        group = Group()
        resumed_s = pause_s + 6.0
        old = Host(group, "old", 1, (0.0, pause_s + 0.48), (pause_s, resumed_s))
        new = Host(group, "new", 2, (pause_s + 0.7, math.inf))
        hosts = [asyncio.ensure_future(host.run_until(30.0)) for host in (old, new)]
        await asyncio.sleep(2.0)
        group.store.weights = {MODEL: 2}
        await asyncio.gather(*hosts)
        return group

    group = play(scenario)
    assert group.holders()[-1] == "new"
    assert min(group.gaps_s(), default=math.inf) >= ORDER_LEASE_S
    assert group.engines.versions() == [2] * ENGINES


@pytest.mark.parametrize("change_s", [5.0, 5.6, 5.8, 6.0, 7.0, 9.0])
def test_claim_is_kept_while_an_order_is_sent_again(change_s):
    """Guards against a claim that ends although its host still sends orders."""

    async def scenario():
        group = Group(engines=1, load_ms=300)
        (engine,) = group.engines.engines.values()
        engine.late_orders = {number: 50 for number in range(4)}
        old = Host(group, "old", 1, (0.0, change_s))
        new = Host(group, "new", 2, (change_s, math.inf))
        hosts = [asyncio.ensure_future(host.run_until(30.0)) for host in (old, new)]
        await asyncio.sleep(2.0)
        group.store.weights = {MODEL: 2}
        await asyncio.sleep(change_s - 2.0)
        group.store.weights = {MODEL: 3}
        await asyncio.gather(*hosts)
        return group

    group = play(scenario)
    assert group.holders() == ["old", "new"]
    assert min(group.gaps_s()) >= ORDER_LEASE_S
    assert group.engines.versions() == [3]
