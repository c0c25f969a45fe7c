"""Guards against more retries than the budget of all routers together.

The decisions of routers and control hosts are real; time and messages are simulated.
"""

import random
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission.sharedretries import USED_FRACTION, SharedRetryBudget
from mustardtrack.membership.directory import RouterDirectory, RouterEntry
from mustardtrack.membership.routercounts import REPORT_LIFETIME_MS, RouterCounts

RATIO, WINDOW_MS, FLOOR = 0.2, 10_000, 56
LEASE_MS, MEMORY_MS = 1400, 15_000
STEP_MS, SYNC_MS = 100, 400
# Time in which a stopping router still works on requests, and until a process that
# ended starts again.
STOPPING_MS, DOWN_MS = 6800, 500
SETTLED_MS = MEMORY_MS + REPORT_LIFETIME_MS
EVENTS = st.lists(
    st.tuples(
        st.integers(0, 200),
        st.sampled_from(
            ["kill", "stop", "remove", "add", "kill control", "kill controls", "all"]
        ),
        st.integers(0, 9),
    ),
    max_size=12,
)


@dataclass
class Router:
    """One process of a router."""

    name: str
    started_ms: int
    ends_ms: int | None = None
    counts: RouterCounts = field(init=False)
    budget: SharedRetryBudget = field(init=False)

    def __post_init__(self):
        self.counts = RouterCounts(self.started_ms, WINDOW_MS, self.started_ms == 0)
        self.budget = SharedRetryBudget(RATIO, WINDOW_MS, FLOOR)


class Deployment:
    """Routers that send every request again as often as their budgets allow."""

    def __init__(self, routers, seed=0):
        self._rng = random.Random(seed)
        self.now_ms = 0
        self.routers = [Router(f"r{number}", 0) for number in range(routers)]
        self.controls = [RouterDirectory(LEASE_MS, MEMORY_MS, 0) for _ in range(3)]
        self.starts = []
        self.requests_ms = []
        self.retries_ms = []

    def run(self, for_ms, requests_per_s):
        """Let time pass."""
        for _ in range(0, for_ms, STEP_MS):
            self.now_ms += STEP_MS
            self._start_and_end()
            for router in self.routers:
                if (self.now_ms - router.started_ms) % SYNC_MS == STEP_MS:
                    self._sync(router)
                if self._rng.random() < requests_per_s * STEP_MS / 1000:
                    router.budget.record_request(self.now_ms)
                    self.requests_ms.append(self.now_ms)
                self._retry(router)

    def _sync(self, router):
        is_ready = router.ends_ms is None
        entry = RouterEntry(router.name, "a", router.name, is_ready, self.now_ms)
        for number, control in enumerate(self.controls):
            control.report(entry)
            router.counts.record(str(number), control.count(self.now_ms), self.now_ms)

    def _retry(self, router):
        sharers = router.counts.retry_sharers(self.now_ms)
        while router.budget.allow_retry(self.now_ms, sharers):
            self.retries_ms.append(self.now_ms)

    def _start_and_end(self):
        for router in list(self.routers):
            if router.ends_ms is not None and router.ends_ms <= self.now_ms:
                self._end(router)
        for at_ms, name in list(self.starts):
            if at_ms <= self.now_ms:
                self.starts.remove((at_ms, name))
                self.routers.append(Router(name, self.now_ms))

    def _end(self, router, returns=True):
        self.routers.remove(router)
        if returns:
            self.starts.append((self.now_ms + DOWN_MS, router.name))

    def play(self, kind, number):
        """Play one event."""
        router = self.routers[number % len(self.routers)] if self.routers else None
        if kind == "add":
            self.routers.append(Router(f"new{self.now_ms}-{number}", self.now_ms))
        elif kind == "kill control":
            self._restart_control(number % len(self.controls))
        elif kind in ("kill controls", "all"):
            for control in range(len(self.controls)):
                self._restart_control(control)
            for one in list(self.routers) if kind == "all" else ():
                self._end(one)
        elif router is not None and kind == "stop":
            router.ends_ms = router.ends_ms or self.now_ms + STOPPING_MS
        elif router is not None:
            self._end(router, returns=kind == "kill")

    def _restart_control(self, number):
        complete_from_ms = self.now_ms + MEMORY_MS
        self.controls[number] = RouterDirectory(LEASE_MS, MEMORY_MS, complete_from_ms)

    def check_budget(self):
        """Check all windows."""
        for begin_ms in sorted(set(self.retries_ms)):
            requests = count_between(self.requests_ms, begin_ms)
            retries = count_between(self.retries_ms, begin_ms)
            assert retries <= RATIO * requests + FLOOR


def count_between(times_ms, begin_ms):
    return sum(begin_ms <= at_ms < begin_ms + WINDOW_MS for at_ms in times_ms)


@given(st.integers(1, 6), EVENTS, st.integers(0, 99))
def test_budget_holds_for_all_routers_in_any_order_of_restarts(routers, events, seed):
    """Guards against shares spent again, and by routers that are not counted."""
    deployment = Deployment(routers, seed)
    deployment.run(SETTLED_MS, requests_per_s=3)
    for wait_steps, kind, number in events:
        deployment.run((wait_steps % 40) * STEP_MS, requests_per_s=3)
        deployment.play(kind, number)
    deployment.run(2 * WINDOW_MS, requests_per_s=3)
    deployment.check_budget()


def test_single_router_in_calm_has_the_whole_budget():
    """Guards against shares for routers that do not exist."""
    deployment = Deployment(1)
    deployment.run(SETTLED_MS, requests_per_s=0)
    begin_ms = deployment.now_ms
    deployment.run(WINDOW_MS, requests_per_s=1)
    retries = sum(at_ms > begin_ms for at_ms in deployment.retries_ms)
    assert retries + 1 >= int(USED_FRACTION * FLOOR)


def test_first_start_of_a_deployment_has_its_budget_at_once():
    """Guards against streams that are not resumed because nothing was sent before."""
    deployment = Deployment(2)
    deployment.run(2 * SYNC_MS, requests_per_s=0)
    assert len(deployment.retries_ms) >= int(USED_FRACTION * FLOOR) - 2


def test_share_of_a_router_that_has_left_is_used_again():
    """Guards against a share that is lost for good."""
    deployment = Deployment(2)
    deployment.run(SETTLED_MS, requests_per_s=0)
    deployment.play("remove", 0)
    deployment.run(MEMORY_MS + SYNC_MS, requests_per_s=0)
    assert deployment.routers[0].counts.retry_sharers(deployment.now_ms) == 1
