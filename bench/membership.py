"""Compare ways to decide whether an endpoint is alive, and their cost.

Usage: ``python -m bench.membership --seed N [--trials N]``.

The observers run the real :class:`ProbeTable`, the assignment is the real rendezvous
hashing, and agreement is the real :class:`EndpointTable`; time and the network are
simulated. Own attempts of the following router are left out, because they shorten
all times alike. Probes and heartbeats run every 500 ms with random phases, a probe
of a dead endpoint times out after 500 ms, and a message takes 1 to 3 ms.

Alternatives:

- ``owner``: one observer, and its last status holds until it sends another one;
- ``expiry 1``: one observer, an ``up`` report holds for one lease, no down reports;
- ``expiry 3``: the same with three observers, any of which renews the status;
- ``agreement``: three observers with leases and a majority of down reports.
"""

import argparse
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from mustardtrack.membership import (
    EndpointTable,
    Load,
    Observation,
    ProbeAnswer,
    ProbeTable,
    Router,
    choose_observers,
    encode_observations,
    observed_endpoints,
)

LEASE_MS = 3000
PERIOD_MS = 500
PROBE_TIMEOUT_MS = 500
FAULT_MS = 5000
LIMIT_MS = 30_000
SAMPLE_MS = 20
HEARTBEATS_PER_SECOND = 1000 // PERIOD_MS
ANSWER = ProbeAnswer("a", "up", Load(running=8, queued=2, queued_tokens=4000))


class StatusTable(Protocol):
    """What the alternatives have in common."""

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Store an observation."""
        ...

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether work is sent to the endpoint."""
        ...


class OwnerTable:
    """The last status holds until the owner sends another one."""

    def __init__(self) -> None:
        self._state: dict[str, str] = {}

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Keep the status."""
        self._state[observation.endpoint] = observation.state
        return True

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the last status is ``up``."""
        return self._state.get(name) == "up"


class ExpiryTable:
    """An ``up`` report of any observer holds for one lease."""

    def __init__(self) -> None:
        self._up_ms: dict[str, int] = {}

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Renew the lease if the report is ``up``."""
        if observation.state == "up":
            self._up_ms[observation.endpoint] = now_ms
        return True

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the lease holds."""
        return now_ms - self._up_ms.get(name, -LEASE_MS) < LEASE_MS


class AgreementTable(EndpointTable):
    """The table of the product."""

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the state is ``up``."""
        return self.view(name, now_ms).state == "up"


@dataclass(frozen=True)
class Alternative:
    """A status rule and its number of observers."""

    name: str
    observers: int
    create: Callable[[], StatusTable]


ALTERNATIVES = (
    Alternative("owner", 1, OwnerTable),
    Alternative("expiry 1", 1, ExpiryTable),
    Alternative("expiry 3", 3, ExpiryTable),
    Alternative("agreement", 3, lambda: AgreementTable(LEASE_MS)),
)


@dataclass(frozen=True)
class Fault:
    """What happens at ``FAULT_MS``; observer faults hit the first observer."""

    endpoint_dies: bool = False
    observer_dies: bool = False
    probes_lost: bool = False
    all_lost: bool = False


def messages(
    router: Router, first: bool, fault: Fault, endpoint: str, rng: random.Random
) -> Iterator[tuple[int, Observation]]:
    """Yield the arrival times and observations of one observer's heartbeats."""
    probes = ProbeTable(router.name, max_age_ms=2 * PERIOD_MS + PROBE_TIMEOUT_MS)
    events = []
    for kind in ("probe", "heartbeat"):
        phase_ms = rng.randrange(PERIOD_MS)
        times = range(phase_ms, FAULT_MS + LIMIT_MS, PERIOD_MS)
        events += [(at_ms, kind) for at_ms in times]
    results: list[tuple[int, ProbeAnswer | None]] = []
    for at_ms, kind in sorted(events):
        faulty = at_ms >= FAULT_MS
        if faulty and first and fault.observer_dies:
            return
        if kind == "probe":
            cut = first and (fault.probes_lost or fault.all_lost)
            lost = faulty and (fault.endpoint_dies or cut)
            results.append(
                (at_ms + (PROBE_TIMEOUT_MS if lost else 2), None if lost else ANSWER)
            )
            continue
        while results and results[0][0] <= at_ms:
            done_ms, answer = results.pop(0)
            probes.record(endpoint, answer, done_ms)
        if not (faulty and first and fault.all_lost):
            for observation in probes.report(at_ms):
                yield at_ms + rng.randint(1, 3), observation


def removal_ms(
    alternative: Alternative,
    fault: Fault,
    endpoint: str,
    observers: list[Router],
    rng: random.Random,
) -> int | None:
    """Return the time from the fault until the endpoint is not up, if ever."""
    arrivals = [
        arrival
        for number, router in enumerate(observers)
        for arrival in messages(router, number == 0, fault, endpoint, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival[0], reverse=True)
    table = alternative.create()
    for now_ms in range(0, FAULT_MS + LIMIT_MS, SAMPLE_MS):
        while arrivals and arrivals[-1][0] <= now_ms:
            at_ms, observation = arrivals.pop()
            table.observe(observation, at_ms)
        if now_ms >= FAULT_MS and not table.is_up(endpoint, now_ms):
            return now_ms - FAULT_MS
    return None


def make_routers(count: int, zones: int) -> list[Router]:
    return [Router(f"router-{n}", f"zone-{n % zones}") for n in range(count)]


def print_detection(trials: int, seed: int) -> None:
    print(f"\nTime in ms that work still goes to a dead endpoint ({trials} trials)")
    print(f"{'alternative':<12}{'fault':<28}{'median':>8}{'p99':>8}{'never':>8}")
    cases = (
        ("endpoint dies", Fault(endpoint_dies=True)),
        ("its first observer too", Fault(endpoint_dies=True, observer_dies=True)),
        ("first observer isolated", Fault(endpoint_dies=True, all_lost=True)),
    )
    routers = make_routers(8, 3)
    for alternative in ALTERNATIVES:
        for name, fault in cases:
            rng = random.Random(seed)
            times = []
            for number in range(trials):
                endpoint = f"engine-{number}"
                chosen = choose_observers(endpoint, routers, alternative.observers)
                times.append(removal_ms(alternative, fault, endpoint, chosen, rng))
            print(f"{alternative.name:<12}{name:<28}{_summary(times)}")


def _summary(times: list[int | None]) -> str:
    ordered = sorted(LIMIT_MS if one is None else one for one in times)
    middle = ordered[len(ordered) // 2]
    high = ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)]
    shown = [f">{LIMIT_MS}" if one == LIMIT_MS else str(one) for one in (middle, high)]
    return f"{shown[0]:>8}{shown[1]:>8}{times.count(None):>8}"


def print_wrong_removals(endpoints: int, seed: int) -> None:
    print(
        f"\nLive endpoints wrongly removed within {LIMIT_MS // 1000} s of a partition "
        f"of 1 of 8 routers ({endpoints} endpoints)"
    )
    print(
        f"{'alternative':<12}{'partition':<28}{'observed':>9}{'removed':>9}{'rate':>8}"
    )
    cases = (
        ("from all endpoints", Fault(probes_lost=True)),
        ("from endpoints and routers", Fault(all_lost=True)),
    )
    routers = make_routers(8, 3)
    for alternative in ALTERNATIVES:
        for name, fault in cases:
            rng = random.Random(seed)
            observed = removed = 0
            for number in range(endpoints):
                endpoint = f"engine-{number}"
                chosen = choose_observers(endpoint, routers, alternative.observers)
                if routers[0] not in chosen:
                    continue
                observed += 1
                chosen.sort(key=lambda one: one != routers[0])
                took_ms = removal_ms(alternative, fault, endpoint, chosen, rng)
                removed += took_ms is not None
            rate = removed / endpoints
            print(
                f"{alternative.name:<12}{name:<28}{observed:>9}{removed:>9}{rate:>8.1%}"
            )


def print_cost() -> None:
    print(
        "\nCost per router with all-to-all heartbeats in a region (11,000 endpoints: "
        "370 routers and 5 regions;\nfewer: 8 routers, 1 region); messages are probes, "
        "their answers and heartbeats, sent and received"
    )
    print(
        f"{'alternative':<12}{'endpoints':>10}{'observed':>9}{'messages/s':>12}"
        f"{'KB/s sent':>11}{'assign ms':>11}{'observe us':>12}"
    )
    for alternative in ALTERNATIVES:
        for total in (10, 100, 1000, 11_000):
            regions, routers = (5, 74) if total == 11_000 else (1, 8)
            row = measure_cost(alternative, total // regions, routers)
            print(f"{alternative.name:<12}{total:>10}{row}")


def measure_cost(alternative: Alternative, endpoints: int, count: int) -> str:
    routers = make_routers(count, 3)
    names = [f"engine-{number}" for number in range(endpoints)]
    began = time.perf_counter()
    observed = observed_endpoints(
        routers[0].name, names, routers, alternative.observers
    )
    assign_ms = (time.perf_counter() - began) * 1000
    probes = ProbeTable(routers[0].name, max_age_ms=2 * PERIOD_MS)
    for name in observed:
        probes.record(name, ANSWER, 0)
    reports = probes.report(0)
    peers = count - 1
    per_second = HEARTBEATS_PER_SECOND * 2 * (len(observed) + peers)
    sent = len(encode_observations(reports)) * peers * HEARTBEATS_PER_SECOND / 1000
    table = alternative.create()
    began = time.perf_counter()
    for now_ms in range(10):
        for report in reports:
            table.observe(report, now_ms)
    observe_us = (time.perf_counter() - began) * 1e6 / max(1, 10 * len(reports))
    return (
        f"{len(observed):>9}{per_second:>12}{sent:>11.1f}{assign_ms:>11.1f}"
        f"{observe_us:>12.2f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="Compare endpoint status rules.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trials", type=int, default=200)
    options = parser.parse_args()
    logger.remove()
    print(f"seed {options.seed}")
    print_detection(options.trials, options.seed)
    print_wrong_removals(options.trials, options.seed)
    print_cost()


if __name__ == "__main__":
    main()
