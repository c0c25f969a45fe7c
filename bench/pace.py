"""Compares rules for the pace of an endpoint that joins under load.

    python -m bench.pace

Twenty routers with 400 requests per second share an endpoint of 12 slots for 10 s. The
simulation uses no network and a fixed seed.
"""

from collections.abc import Callable

from loguru import logger

from mustardtrack.routing.pace import (
    LATE_FACTOR,
    PROBE_WINDOW,
    AdaptivePace,
    EndpointPace,
)
from mustardtrack.testing.pacesimulation import (
    SimulatedEndpoint,
    Simulation,
    make_endpoint,
)

ROUTERS = 20
END_MS = 10_000
STEP_MS = 100
SHORT_MS = 3000


class AdditiveIncrease(EndpointPace):
    """Adds one request per window of answers, whatever time they take."""

    def record_answer(self, ratio: float, now_ms: int) -> None:
        """Record an answer."""
        before = self.window
        super().record_answer(1.0, now_ms)
        self.window = before + 1 / max(PROBE_WINDOW, before)


class ServiceTimes(EndpointPace):
    """Compares each answer with the time of the service only."""

    def record_answer(self, ratio: float, now_ms: int) -> None:
        """Record an answer."""
        before = self.window
        super().record_answer(1.0, now_ms)
        if ratio > LATE_FACTOR:
            self.window = max(PROBE_WINDOW, before / 2)


RULES: dict[str, type[EndpointPace] | None] = {
    "full share at once": None,
    "additive increase": AdditiveIncrease,
    "times of the service": ServiceTimes,
    "own times (chosen)": EndpointPace,
}
ENDPOINTS: dict[str, Callable[[], SimulatedEndpoint]] = {
    "healthy": lambda: SimulatedEndpoint(make_endpoint()),
    "cold": lambda: SimulatedEndpoint(
        make_endpoint(), cold_answers=60, cold_factor=12.0
    ),
    "slow, sound": lambda: SimulatedEndpoint(make_endpoint(), work_ms=250.0),
    "fails all": lambda: SimulatedEndpoint(make_endpoint(), fails=lambda _: True),
    "flaps": lambda: SimulatedEndpoint(
        make_endpoint(), fails=lambda now_ms: now_ms // 300 % 2 == 0
    ),
}


def start(rule: type[EndpointPace] | None, endpoint: SimulatedEndpoint) -> Simulation:
    """Return the simulation of an endpoint that has just joined."""
    listed, other = endpoint.listed, make_endpoint("other")
    leader = AdaptivePace(rule or EndpointPace)
    leader.begin_term(1, 0)
    first = [other] if rule is not None else [other, listed]
    leader.update(first, 0)
    leader.update([other, listed], 0)
    simulation = Simulation(endpoint, leader, ROUTERS, adapts=rule is not None)
    for shares in simulation.shares:
        shares.record_list(first, 0)
        shares.record_list([other, listed], 0)
    return simulation


def run_start(simulation: Simulation) -> str:
    """Simulate until the full share and return the row of the table."""
    counts = simulation.counts
    for now_ms in range(0, END_MS, STEP_MS):
        simulation.run(now_ms, now_ms + STEP_MS)
        if now_ms + STEP_MS == SHORT_MS:
            short = f"{counts.late + counts.failed}"
    full = "never" if counts.full_ms is None else f"{counts.full_ms}"
    return f"{full} | {counts.sent} | {counts.most} | {short} | {counts.failed}"


def main() -> None:
    """Print the table."""
    logger.remove()
    print("| endpoint | rule | full share after ms | sent | most at once |", end="")
    print(" late or failed in 3 s | failed in 10 s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, make in ENDPOINTS.items():
        for rule_name, rule in RULES.items():
            print(f"| {name} | {rule_name} | {run_start(start(rule, make()))} |")


if __name__ == "__main__":
    main()
