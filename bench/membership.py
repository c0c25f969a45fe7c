"""Compares failure detection rules for endpoints and their cost.

Run with ``python -m bench.membership --seed N [--trials N]``.

Observers use the production :class:`ProbeTable`, observers are assigned by the
production rendezvous hashing, and ``agreement`` is the production
:class:`EndpointTable`; time and the network are simulated. A router also detects dead
endpoints by its own request attempts. These are not simulated, because they shorten
detection equally under every rule. Probes and heartbeats run every 500 ms with random
phases, a probe of a dead endpoint times out after 500 ms, and a message takes 1 to
3 ms.

Rules:

- ``owner``: one observer, whose last status holds until it sends another one;
- ``expiry 1``: one observer, an ``up`` report holds for one lease, no down reports;
- ``expiry 3``: the same with three observers, any of which renews the lease;
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
FAULT_AT_MS = 5000
OBSERVED_AFTER_FAULT_MS = 30_000
SAMPLE_PERIOD_MS = 20
HEARTBEATS_PER_SECOND = 1000 // PERIOD_MS
ANSWER = ProbeAnswer("a", "up", Load(running=8, queued=2, queued_tokens=4000))


class StatusTable(Protocol):
    """Endpoint status table of one detection rule."""

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Record an observation."""
        ...

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether requests are sent to the endpoint."""
        ...


class OwnerTable:
    """Table in which the last status holds until the observer sends another one."""

    def __init__(self) -> None:
        self._state: dict[str, str] = {}

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Store the status."""
        self._state[observation.endpoint] = observation.state
        return True

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the last status is ``up``."""
        return self._state.get(name) == "up"


class ExpiryTable:
    """Table in which an ``up`` report of any observer holds for one lease."""

    def __init__(self) -> None:
        self._up_ms: dict[str, int] = {}

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Renew the lease if the report is ``up``."""
        if observation.state == "up":
            self._up_ms[observation.endpoint] = now_ms
        return True

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the lease is valid."""
        return now_ms - self._up_ms.get(name, -LEASE_MS) < LEASE_MS


class AgreementTable(EndpointTable):
    """The production table: leases and a majority of down reports."""

    def is_up(self, name: str, now_ms: int) -> bool:
        """Return whether the state is ``up``."""
        return self.view(name, now_ms).state == "up"


@dataclass(frozen=True)
class DetectionRule:
    """A detection rule and its number of observers."""

    name: str
    observers: int
    create: Callable[[], StatusTable]


DETECTION_RULES = (
    DetectionRule("owner", 1, OwnerTable),
    DetectionRule("expiry 1", 1, ExpiryTable),
    DetectionRule("expiry 3", 3, ExpiryTable),
    DetectionRule("agreement", 3, lambda: AgreementTable(LEASE_MS)),
)


@dataclass(frozen=True)
class Fault:
    """Faults injected at ``FAULT_AT_MS``; observer faults hit the first observer."""

    endpoint_dies: bool = False
    observer_dies: bool = False
    observer_probes_lost: bool = False
    observer_isolated: bool = False


def heartbeat_observations(
    router: Router,
    is_first_observer: bool,
    fault: Fault,
    endpoint: str,
    rng: random.Random,
) -> Iterator[tuple[int, Observation]]:
    """Yield the arrival time and content of each observation of one observer."""
    probes = ProbeTable(router.name, max_age_ms=2 * PERIOD_MS + PROBE_TIMEOUT_MS)
    events = []
    for kind in ("probe", "heartbeat"):
        phase_ms = rng.randrange(PERIOD_MS)
        times = range(phase_ms, FAULT_AT_MS + OBSERVED_AFTER_FAULT_MS, PERIOD_MS)
        events += [(at_ms, kind) for at_ms in times]
    results: list[tuple[int, ProbeAnswer | None]] = []
    for at_ms, kind in sorted(events):
        fault_active = at_ms >= FAULT_AT_MS
        if fault_active and is_first_observer and fault.observer_dies:
            return
        if kind == "probe":
            probes_fail = is_first_observer and (
                fault.observer_probes_lost or fault.observer_isolated
            )
            probe_fails = fault_active and (fault.endpoint_dies or probes_fail)
            results.append(
                (
                    at_ms + (PROBE_TIMEOUT_MS if probe_fails else 2),
                    None if probe_fails else ANSWER,
                )
            )
            continue
        while results and results[0][0] <= at_ms:
            done_ms, answer = results.pop(0)
            probes.record(endpoint, answer, done_ms)
        if not (fault_active and is_first_observer and fault.observer_isolated):
            for observation in probes.report(at_ms):
                yield at_ms + rng.randint(1, 3), observation


def detection_ms(
    rule: DetectionRule,
    fault: Fault,
    endpoint: str,
    observers: list[Router],
    rng: random.Random,
) -> int | None:
    """Return the time from the fault until the endpoint is not up, or ``None``."""
    arrivals = [
        arrival
        for number, router in enumerate(observers)
        for arrival in heartbeat_observations(router, number == 0, fault, endpoint, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival[0], reverse=True)
    table = rule.create()
    for now_ms in range(0, FAULT_AT_MS + OBSERVED_AFTER_FAULT_MS, SAMPLE_PERIOD_MS):
        while arrivals and arrivals[-1][0] <= now_ms:
            at_ms, observation = arrivals.pop()
            table.observe(observation, at_ms)
        if now_ms >= FAULT_AT_MS and not table.is_up(endpoint, now_ms):
            return now_ms - FAULT_AT_MS
    return None


def make_routers(count: int, zones: int) -> list[Router]:
    return [Router(f"router-{n}", f"zone-{n % zones}") for n in range(count)]


def print_detection_times(trials: int, seed: int) -> None:
    print(
        f"\nTime in ms until requests stop going to a dead endpoint ({trials} trials)"
    )
    print(f"{'alternative':<12}{'fault':<28}{'median':>8}{'p99':>8}{'never':>8}")
    cases = (
        ("endpoint dies", Fault(endpoint_dies=True)),
        ("with its first observer", Fault(endpoint_dies=True, observer_dies=True)),
        ("first observer isolated", Fault(endpoint_dies=True, observer_isolated=True)),
    )
    routers = make_routers(8, 3)
    for rule in DETECTION_RULES:
        for name, fault in cases:
            rng = random.Random(seed)
            times = []
            for number in range(trials):
                endpoint = f"engine-{number}"
                chosen = choose_observers(endpoint, routers, rule.observers)
                times.append(detection_ms(rule, fault, endpoint, chosen, rng))
            print(f"{rule.name:<12}{name:<28}{_format_percentiles(times)}")


def _format_percentiles(times: list[int | None]) -> str:
    sorted_times = sorted(
        OBSERVED_AFTER_FAULT_MS if one is None else one for one in times
    )
    median_ms = sorted_times[len(sorted_times) // 2]
    p99_ms = sorted_times[min(len(sorted_times) - 1, len(sorted_times) * 99 // 100)]
    cells = [
        f">{OBSERVED_AFTER_FAULT_MS}" if one == OBSERVED_AFTER_FAULT_MS else str(one)
        for one in (median_ms, p99_ms)
    ]
    return f"{cells[0]:>8}{cells[1]:>8}{times.count(None):>8}"


def print_wrong_removals(endpoints: int, seed: int) -> None:
    print(
        "\nLive endpoints wrongly removed within "
        f"{OBSERVED_AFTER_FAULT_MS // 1000} s of a partition of 1 of 8 routers "
        f"({endpoints} endpoints)"
    )
    print(
        f"{'alternative':<12}{'partition':<28}{'observed':>9}{'removed':>9}{'rate':>8}"
    )
    cases = (
        ("from all endpoints", Fault(observer_probes_lost=True)),
        ("from endpoints and routers", Fault(observer_isolated=True)),
    )
    routers = make_routers(8, 3)
    for rule in DETECTION_RULES:
        for name, fault in cases:
            rng = random.Random(seed)
            observed = removed = 0
            for number in range(endpoints):
                endpoint = f"engine-{number}"
                chosen = choose_observers(endpoint, routers, rule.observers)
                if routers[0] not in chosen:
                    continue
                observed += 1
                chosen.sort(key=lambda one: one != routers[0])
                removed_after_ms = detection_ms(rule, fault, endpoint, chosen, rng)
                removed += removed_after_ms is not None
            rate = removed / endpoints
            print(f"{rule.name:<12}{name:<28}{observed:>9}{removed:>9}{rate:>8.1%}")


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
    for rule in DETECTION_RULES:
        for total in (10, 100, 1000, 11_000):
            regions, routers = (5, 74) if total == 11_000 else (1, 8)
            row = measure_cost(rule, total // regions, routers)
            print(f"{rule.name:<12}{total:>10}{row}")


def measure_cost(rule: DetectionRule, endpoints: int, router_count: int) -> str:
    routers = make_routers(router_count, 3)
    names = [f"engine-{number}" for number in range(endpoints)]
    started = time.perf_counter()
    observed = observed_endpoints(routers[0].name, names, routers, rule.observers)
    assign_ms = (time.perf_counter() - started) * 1000
    probes = ProbeTable(routers[0].name, max_age_ms=2 * PERIOD_MS)
    for name in observed:
        probes.record(name, ANSWER, 0)
    reports = probes.report(0)
    peers = router_count - 1
    messages_per_second = HEARTBEATS_PER_SECOND * 2 * (len(observed) + peers)
    kb_per_second = (
        len(encode_observations(reports)) * peers * HEARTBEATS_PER_SECOND / 1000
    )
    table = rule.create()
    started = time.perf_counter()
    for now_ms in range(10):
        for report in reports:
            table.observe(report, now_ms)
    observe_us = (time.perf_counter() - started) * 1e6 / max(1, 10 * len(reports))
    return (
        f"{len(observed):>9}{messages_per_second:>12}{kb_per_second:>11.1f}{assign_ms:>11.1f}"
        f"{observe_us:>12.2f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="Compare failure detection rules.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trials", type=int, default=200)
    options = parser.parse_args()
    logger.remove()
    print(f"seed {options.seed}")
    print_detection_times(options.trials, options.seed)
    print_wrong_removals(options.trials, options.seed)
    print_cost()


if __name__ == "__main__":
    main()
