"""Requests of plain services under more demand than their endpoints serve.

Endpoints are stand-ins: queues that this test fills and whose state it reports.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest

from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.configuration.routes import RouteAccount, Service
from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint
from mustardtrack.platform.headers import decode_request_headers
from mustardtrack.process.endpoint_choice import EndpointChooser
from mustardtrack.routing.endpointstate import EndpointTable
from mustardtrack.routing.paceshares import PaceShares
from mustardtrack.settings.seeded import Bounds

SLOTS = 6
WORK_MS = 60
PLACES = 30
TIME_LEFT_MS = 1600


class Router:
    """Chooser of one router with endpoints that serve 100 requests a second each."""

    def __init__(self, endpoints=2):
        self.now_ms = 0
        self.table = EndpointTable()
        listed = (
            ListedEndpoint(
                f"e{n}", 0, "s", f"10.0.0.{n}:1", "a", SLOTS, False, False, {}
            )
            for n in range(endpoints)
        )
        self.table.update(EndpointList(1, 1, tuple(listed)))
        self.held = Counter()
        view = SimpleNamespace(
            endpoints=self.table,
            limits=RateLimits("r"),
            router_count=1,
            cache_of=lambda account: "",
            pace=PaceShares(False),
        )
        self.chooser = EndpointChooser(
            SimpleNamespace(zone="a", name="r", bounds=Bounds(fair_admission=True)),
            SimpleNamespace(view=view),
            SimpleNamespace(open_count=lambda address: 0, has_idle=lambda name: True),
            SimpleNamespace(now_ms=lambda: self.now_ms),
            None,
            random.Random(1),
        )

    @property
    def states(self):
        """States of all endpoints."""
        return self.table.accepting_endpoints("s", self.now_ms)

    def request(self, account):
        """Return the endpoint and refusal of a request, and queue it there."""
        admitted = SimpleNamespace(
            service=Service("s", 100),
            prompt=None,
            rank=2,
            request_id="q",
            account=RouteAccount(account),
            metadata=decode_request_headers(b"/x", []),
            route=SimpleNamespace(objective_ms=200, may_retry=True),
            deadline_ms=self.now_ms + TIME_LEFT_MS,
            progress=SimpleNamespace(sends=0),
            is_counted=False,
            allotment_amount=0,
            table=SimpleNamespace(shares_capacity=True),
        )
        chosen, refusal = asyncio.run(self.chooser.choose(admitted, [], self.now_ms))
        if chosen is not None:
            self.held[chosen.id] += 1
            chosen.record_send(0)
        return chosen, refusal

    def work(self, for_ms=10):
        """Answer what the endpoints serve in this time and report their load."""
        self.now_ms += for_ms
        for state in self.states:
            if self.held[state.id]:
                self.held[state.id] -= 1
                held = self.held[state.id]
                self.report(state, held)
                state.record_end()
                state.record_answer(2, max(WORK_MS, held * WORK_MS / SLOTS))

    def report(self, state, held):
        """Report the load of an endpoint."""
        state.record_load(min(SLOTS, held), max(0, held - SLOTS), self.now_ms)


def test_burst_of_one_account_is_not_borne_by_the_others():
    """Guards against calls of small accounts that are refused for a large one."""
    router = Router()
    asked, served = Counter(), Counter()
    for step in range(2000):
        accounts = ["large"] * 4 + ["small"] * (step % 4 == 0)
        for account in accounts:
            asked[account] += 1
            chosen, _ = router.request(account)
            served[account] += chosen is not None
        router.work()
    part = {account: served[account] / asked[account] for account in asked}
    assert part["small"] > 0.9
    assert part["large"] < 0.6
    assert sum(served.values()) > 0.95 * 2000 * 2


@pytest.mark.parametrize("age_ms", [0, 5000])
def test_call_is_refused_from_reported_queues_while_they_are_known(age_ms):
    """Guards against calls sent into full queues; stale reports refuse nothing."""
    router = Router()
    for state in router.states:
        state.record_answer(2, 10 * WORK_MS)
        router.report(state, SLOTS + PLACES)
        state.queue_history.record_refusal(PLACES)
    router.now_ms = age_ms
    chosen, refusal = router.request("a")
    assert (chosen is None) == (age_ms == 0)
    assert (refusal is None) == (age_ms > 0)


def test_calls_that_are_refused_together_get_different_turns():
    """Guards against callers that return together and are refused again."""
    router = Router()
    for state in router.states:
        state.record_answer(2, 100 * WORK_MS)
        router.report(state, SLOTS + PLACES)
    turns = [router.request("a")[1].return_ms for _ in range(5)]
    assert turns == sorted(turns)
    assert turns[0] <= TIME_LEFT_MS / 3


def test_nothing_is_refused_without_a_queue():
    """Guards against effects while demand is below capacity."""
    router = Router()
    for _ in range(500):
        assert router.request("a")[0] is not None
        router.work()
    assert not router.chooser._contention.is_contended("s")
