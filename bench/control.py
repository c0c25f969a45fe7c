"""Measures latencies of the control group with real processes.

    PYTHONPATH=. python bench/control.py --seed 1

Measures the time from the acknowledgement of a change until it is in force on every
router, the time from the death of the leader to the next acknowledged change, the
restart of a replica after many changes, and the recovery from a lost disk.
"""

import argparse
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from mustardtrack.testing.fleet import Fleet
from mustardtrack.testing.local_deployment import Deployment, wait_until

CONTROL_REPLICAS = ("control-1", "control-2", "control-3")


def now_ms() -> float:
    return time.monotonic() * 1000


class LatencyTable:
    """Histograms of named latencies in milliseconds."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, value_ms: float) -> None:
        """Record one latency under a name."""
        histogram = self._histograms.setdefault(name, HdrHistogram(1, 600_000, 3))
        histogram.record_value(max(1, round(value_ms)))

    def print_table(self) -> None:
        """Print count, percentiles and maximum of each latency."""
        print(f"{'time in ms':44} {'n':>5} {'p50':>8} {'p99':>8} {'max':>8}")
        for name, histogram in self._histograms.items():
            values = [
                histogram.get_value_at_percentile(percentile) for percentile in (50, 99)
            ]
            count = histogram.get_total_count()
            max_ms = histogram.get_max_value()
            print(f"{name:44} {count:5} {values[0]:8} {values[1]:8} {max_ms:8}")


def commit_change(deployment: Deployment, number: int, operators: str) -> int:
    """Retry a change until it is acknowledged, and return its revision."""
    command = f"set account {deployment.accounts[0]} weight={1 + number % 900}"
    responses: list[tuple[int, Any]] = []

    def send() -> bool:
        responses.append(deployment.command(command, operators, f"change-{number}"))
        return bool(responses[-1][0] == 200)

    wait_until(send)
    return int(responses[-1][1]["revision"])


def find_leader(deployment: Deployment, names: tuple[str, ...]) -> str:
    leaders: list[str] = []

    def has_leader() -> bool:
        statuses = [deployment.status(name) for name in names]
        leaders[:] = [
            status["name"] for status in statuses if status["replica"] == "leader"
        ]
        return bool(leaders)

    wait_until(has_leader)
    return leaders[0]


def measure_propagation(
    deployment: Deployment, latencies: LatencyTable, changes: int
) -> None:
    routers = [f"router-{number + 1}" for number in range(deployment.routers)]
    operators = deployment.operators("router-1")
    for number in range(changes):
        started_ms = now_ms()
        revision = commit_change(deployment, number, operators)
        acknowledged_ms = now_ms()
        latencies.add("command sent to acknowledged", acknowledged_ms - started_ms)
        pending_routers = set(routers)
        while pending_routers:
            for name in sorted(pending_routers):
                if deployment.status(name)["revision"] >= revision:
                    pending_routers.discard(name)
                    latencies.add(
                        "acknowledged to in force, one router",
                        elapsed_ms(acknowledged_ms),
                    )
        latencies.add(
            "acknowledged to in force, all routers", elapsed_ms(acknowledged_ms)
        )


def elapsed_ms(started_ms: float) -> float:
    return now_ms() - started_ms


def measure_leader_loss(
    deployment: Deployment, latencies: LatencyTable, rng: random.Random, rounds: int
) -> None:
    for number in range(rounds):
        leader = find_leader(deployment, CONTROL_REPLICAS)
        survivors = [name for name in CONTROL_REPLICAS if name != leader]
        deployment.members[leader].kill()
        started_ms = now_ms()
        operators = deployment.operators(rng.choice(survivors))
        commit_change(deployment, 10_000 + number, operators)
        latencies.add(
            "leader killed to next acknowledged change", elapsed_ms(started_ms)
        )
        deployment.restart(leader)
        time.sleep(2)


def measure_restart(
    deployment: Deployment, latencies: LatencyTable, name: str, label: str
) -> None:
    target_revision = max(
        deployment.status(one)["revision"] for one in CONTROL_REPLICAS
    )
    started_ms = now_ms()
    deployment.members[name].kill()
    deployment.restart(name)
    latencies.add(f"{label}: process ready", elapsed_ms(started_ms))
    wait_until(lambda: deployment.status(name)["revision"] >= target_revision)
    latencies.add(f"{label}: has all changes", elapsed_ms(started_ms))


def measure_lost_disk(deployment: Deployment, latencies: LatencyTable) -> None:
    name = "control-1"
    deployment.members[name].kill()
    shutil.rmtree(deployment.data_folder(name))
    started_ms = now_ms()
    deployment.restart(name)
    leader = find_leader(deployment, CONTROL_REPLICAS[1:])
    voting_roles = ("leader", "follower")

    def is_voter() -> bool:
        voters = sorted(deployment.status(leader)["voters"])
        own_role = deployment.status(name)["replica"]
        return voters == sorted(CONTROL_REPLICAS) and own_role in voting_roles

    wait_until(is_voter)
    latencies.add("lost disk: voter again", elapsed_ms(started_ms))


def apply_many_changes(deployment: Deployment, changes: int) -> None:
    """Apply many changes through the command-line tool."""
    path = deployment.fleet.folder / "many.mt"
    name = deployment.accounts[1]
    lines = [
        f"set account {name} weight={1 + number % 900}" for number in range(changes)
    ]
    path.write_text("\n".join(lines) + "\n")
    deployment.run_tool("apply", f"@{path}", limit_s=600)


def run_measurements(
    folder: Path, seed: int, changes: int, many_changes: int
) -> LatencyTable:
    latencies = LatencyTable()
    rng = random.Random(seed)
    with Fleet(folder) as fleet:
        deployment = Deployment(fleet, "stenaprav")
        deployment.start()
        steps: list[Callable[[], None]] = [
            lambda: measure_propagation(deployment, latencies, changes),
            lambda: measure_leader_loss(deployment, latencies, rng, 5),
            lambda: measure_restart(
                deployment, latencies, "control-2", "restart, few changes"
            ),
            lambda: apply_many_changes(deployment, many_changes),
            lambda: measure_restart(
                deployment,
                latencies,
                "control-2",
                f"restart after {many_changes} changes",
            ),
            lambda: measure_restart(
                deployment,
                latencies,
                "control-3",
                f"restart after {many_changes} changes",
            ),
            lambda: measure_lost_disk(deployment, latencies),
        ]
        for step in steps:
            step()
    return latencies


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--many", type=int, default=10_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run_measurements(
            Path(folder), options.seed, options.changes, options.many
        ).print_table()


if __name__ == "__main__":
    main()
