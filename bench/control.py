"""Times of the control group, measured through real processes.

    PYTHONPATH=. python bench/control.py --seed 1

Measures a change from its acknowledgement until it is in force on every router,
the time from the death of the leader to the next acknowledged change, the restart
of a replica after many changes, and the recovery of a lost disk.
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

from mustardtrack.testing.deployment import Deployment, wait_until
from mustardtrack.testing.fleet import Fleet

CONTROLS = ("control-1", "control-2", "control-3")


def now_ms() -> float:
    return time.monotonic() * 1000


class Rows:
    """Table of measured times in milliseconds."""

    def __init__(self) -> None:
        self._rows: dict[str, HdrHistogram] = {}

    def add(self, name: str, value_ms: float) -> None:
        """Record one time under a name."""
        histogram = self._rows.setdefault(name, HdrHistogram(1, 600_000, 3))
        histogram.record_value(max(1, round(value_ms)))

    def show(self) -> None:
        """Print the table."""
        print(f"{'time in ms':44} {'n':>5} {'p50':>8} {'p99':>8} {'max':>8}")
        for name, one in self._rows.items():
            values = [one.get_value_at_percentile(part) for part in (50, 99)]
            count = one.get_total_count()
            largest = one.get_max_value()
            print(f"{name:44} {count:5} {values[0]:8} {values[1]:8} {largest:8}")


def change(deployment: Deployment, number: int, operators: str) -> int:
    """Change an object until it is acknowledged and return the revision."""
    text = f"set account {deployment.accounts[0]} weight={1 + number % 900}"
    answers: list[tuple[int, Any]] = []

    def send() -> bool:
        answers.append(deployment.command(text, operators, f"change-{number}"))
        return bool(answers[-1][0] == 200)

    wait_until(send)
    return int(answers[-1][1]["revision"])


def find_leader(deployment: Deployment, names: tuple[str, ...]) -> str:
    found: list[str] = []

    def search() -> bool:
        rows = [deployment.status(name) for name in names]
        found[:] = [row["name"] for row in rows if row["replica"] == "leader"]
        return bool(found)

    wait_until(search)
    return found[0]


def measure_propagation(deployment: Deployment, rows: Rows, changes: int) -> None:
    routers = [f"router-{number + 1}" for number in range(deployment.routers)]
    operators = deployment.operators("router-1")
    for number in range(changes):
        started = now_ms()
        revision = change(deployment, number, operators)
        acknowledged = now_ms()
        rows.add("command sent to acknowledged", acknowledged - started)
        waiting = set(routers)
        while waiting:
            for name in sorted(waiting):
                if deployment.status(name)["revision"] >= revision:
                    waiting.discard(name)
                    rows.add(
                        "acknowledged to in force, one router", since(acknowledged)
                    )
        rows.add("acknowledged to in force, all routers", since(acknowledged))


def since(started_ms: float) -> float:
    return now_ms() - started_ms


def measure_leader_loss(
    deployment: Deployment, rows: Rows, rng: random.Random, rounds: int
) -> None:
    for number in range(rounds):
        leader = find_leader(deployment, CONTROLS)
        rest = [name for name in CONTROLS if name != leader]
        deployment.members[leader].kill()
        started = now_ms()
        operators = deployment.operators(rng.choice(rest))
        change(deployment, 10_000 + number, operators)
        rows.add("leader killed to next acknowledged change", since(started))
        deployment.restart(leader)
        time.sleep(2)


def measure_restart(deployment: Deployment, rows: Rows, name: str, label: str) -> None:
    goal = max(deployment.status(one)["revision"] for one in CONTROLS)
    started = now_ms()
    deployment.members[name].kill()
    deployment.restart(name)
    rows.add(f"{label}: process ready", since(started))
    wait_until(lambda: deployment.status(name)["revision"] >= goal)
    rows.add(f"{label}: has all changes", since(started))


def measure_lost_disk(deployment: Deployment, rows: Rows) -> None:
    name = "control-1"
    deployment.members[name].kill()
    shutil.rmtree(deployment.data_folder(name))
    started = now_ms()
    deployment.restart(name)
    leader = find_leader(deployment, CONTROLS[1:])
    states = ("leader", "follower")

    def is_voter() -> bool:
        voters = sorted(deployment.status(leader)["voters"])
        own = deployment.status(name)["replica"]
        return voters == sorted(CONTROLS) and own in states

    wait_until(is_voter)
    rows.add("lost disk: voter again", since(started))


def fill(deployment: Deployment, changes: int) -> None:
    """Apply many changes with the command-line tool."""
    path = deployment.fleet.folder / "many.mt"
    name = deployment.accounts[1]
    lines = [f"set account {name} weight={1 + one % 900}" for one in range(changes)]
    path.write_text("\n".join(lines) + "\n")
    deployment.tool("apply", f"@{path}", limit_s=600)


def run(folder: Path, seed: int, changes: int, many: int) -> Rows:
    rows = Rows()
    rng = random.Random(seed)
    with Fleet(folder) as fleet:
        deployment = Deployment(fleet, "stenaprav")
        deployment.start()
        steps: list[Callable[[], None]] = [
            lambda: measure_propagation(deployment, rows, changes),
            lambda: measure_leader_loss(deployment, rows, rng, 5),
            lambda: measure_restart(
                deployment, rows, "control-2", "restart, few changes"
            ),
            lambda: fill(deployment, many),
            lambda: measure_restart(
                deployment, rows, "control-2", f"restart after {many} changes"
            ),
            lambda: measure_restart(
                deployment, rows, "control-3", f"restart after {many} changes"
            ),
            lambda: measure_lost_disk(deployment, rows),
        ]
        for step in steps:
            step()
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--many", type=int, default=10_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run(Path(folder), options.seed, options.changes, options.many).show()


if __name__ == "__main__":
    main()
