"""Simulation of routers that share an endpoint whose pace the leader finds.

It uses no network and no clock. Routers sync every 400 ms and report every 30 ms. A
request that does not go to the endpoint is served by others, which are not simulated.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.pace import AdaptivePace
from mustardtrack.routing.paceshares import PaceShares

STEP_MS = 10
SYNC_STEPS = 40
REPORT_STEPS = 3


def make_endpoint(
    name: str = "x", slots: int = 12, started_ms: int = 1
) -> ListedEndpoint:
    """Return an endpoint of a plain service."""
    return ListedEndpoint(
        name, started_ms, "s", f"{name}:1", "a", slots, False, False, {}
    )


@dataclass
class SimulatedEndpoint:
    """Endpoint that runs as many requests at once as it has slots, and queues others.

    Attributes:
        listed: Its entry of the endpoint list.
        work_ms: Time of a request when it is warm.
        cold_answers: Answers until it is warm.
        cold_factor: Multiple of the time that a request takes while it is cold and all
            slots are in use.
        fails: Returns whether requests that end at a time fail.
    """

    listed: ListedEndpoint
    work_ms: float = 70.0
    cold_answers: int = 0
    cold_factor: float = 1.0
    fails: Callable[[int], bool] = lambda _: False
    answered: int = 0
    requests: list[list[float]] = field(default_factory=list)

    def send(self, router: int, now_ms: int) -> None:
        """Accept a request of a router."""
        self.requests.append([self.work_ms, router, now_ms])

    def advance(self, now_ms: int) -> list[tuple[int, int]]:
        """Work for one step; return the router and the time of ended requests."""
        running = self.requests[: self.listed.slots]
        coldness = max(0.0, 1 - self.answered / max(1, self.cold_answers))
        load = max(0, len(running) - 1) / max(1, self.listed.slots)
        slowdown = 1 + (self.cold_factor - 1) * coldness * load
        for request in running:
            request[0] -= STEP_MS / slowdown
        ended = [request for request in running if request[0] <= 0]
        self.requests = [request for request in self.requests if request[0] > 0]
        self.answered += len(ended)
        return [(int(router), now_ms - int(sent)) for _, router, sent in ended]


@dataclass
class Counts:
    """Results of a simulation.

    Attributes:
        sent: Requests sent to the endpoint.
        late: Answers that took longer than the objective.
        failed: Requests that failed.
        most: Largest number of requests at the endpoint at once.
        full_ms: Time at which its pace was no longer limited, None if it stayed so.
        unrepeatable_probes: Requests that may not be repeated and were sent to it
            before it had answered.
    """

    sent: int = 0
    late: int = 0
    failed: int = 0
    most: int = 0
    full_ms: int | None = None
    unrepeatable_probes: int = 0


class Simulation:
    """Routers with requests for one endpoint.

    Args:
        endpoint: Endpoint to be paced.
        leader: Owner of the windows.
        routers: Number of routers.
        rate_per_s: Requests per second of all routers.
        repeatable: Fraction of the requests that may be repeated.
        expected_ms: Expected time of an answer.
        objective_ms: Objective of the requests.
        adapts: Whether routers have adaptive slow start.
    """

    def __init__(
        self,
        endpoint: SimulatedEndpoint,
        leader: AdaptivePace,
        routers: int = 10,
        rate_per_s: float = 400.0,
        repeatable: float = 0.4,
        expected_ms: float = 80.0,
        objective_ms: int = 350,
        adapts: bool = True,
    ) -> None:
        self.endpoint = endpoint
        self.leader = leader
        self.shares = [PaceShares(adapts) for _ in range(routers)]
        self.states = [EndpointState(endpoint.listed) for _ in range(routers)]
        self.cut_off: set[int] = set()
        self.counts = Counts()
        self._rate_per_s = rate_per_s
        self._repeatable = repeatable
        self._expected_ms = expected_ms
        self._objective_ms = objective_ms
        self._rng = Random(1)
        self._other = EndpointState(make_endpoint("other"))

    def run(self, start_ms: int, end_ms: int) -> Counts:
        """Simulate until a time."""
        for now_ms in range(start_ms, end_ms, STEP_MS):
            self._exchange(now_ms)
            for router in range(len(self.shares)):
                if self._rng.random() < self._rate_per_s * STEP_MS / 1000 / len(
                    self.shares
                ):
                    self._route(router, now_ms)
            self.counts.most = max(self.counts.most, len(self.endpoint.requests))
            for router, taken_ms in self.endpoint.advance(now_ms):
                self._record(router, taken_ms, now_ms)
            if self.counts.full_ms is None and not self.leader.is_paced(
                self.endpoint.listed.id
            ):
                self.counts.full_ms = now_ms
        return self.counts

    def _exchange(self, now_ms: int) -> None:
        step = now_ms // STEP_MS
        for router, shares in enumerate(self.shares):
            if router in self.cut_off:
                continue
            if (step + router * 7) % SYNC_STEPS == 0:
                shares.adopt(self.leader.shares(f"r{router}", now_ms), now_ms)
            if step % REPORT_STEPS == 0:
                self.leader.record_reports(shares.take_report(), now_ms)

    def _route(self, router: int, now_ms: int) -> None:
        state, shares = self.states[router], self.shares[router]
        may_probe = self._rng.random() < self._repeatable
        usable = shares.open_endpoints([state, self._other], may_probe, now_ms)
        probe = shares.find_probe([state], may_probe, now_ms)
        if probe is None and (state not in usable or self._is_busy(state)):
            return
        window = self.leader.window(state.id, now_ms)
        if not may_probe and window == 1 and not self.endpoint.answered:
            self.counts.unrepeatable_probes += 1
        state.record_send(0)
        self.counts.sent += 1
        self.endpoint.send(router, now_ms)

    def _is_busy(self, state: EndpointState) -> bool:
        """Return whether a router's requests fill its part of the slots."""
        return state.in_flight >= max(1, state.listed.slots // len(self.shares))

    def _record(self, router: int, taken_ms: int, now_ms: int) -> None:
        shares, listed = self.shares[router], self.endpoint.listed
        self.states[router].record_end()
        if self.endpoint.fails(now_ms):
            self.counts.failed += 1
            shares.record_failed(listed, now_ms)
            return
        self.counts.late += taken_ms > self._objective_ms
        shares.record_answer(
            listed, taken_ms, self._expected_ms, self._objective_ms, now_ms
        )
