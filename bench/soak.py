"""Runs all Hypothesis state machines repeatedly for a given time.

Every ``RuleBasedStateMachine`` defined in a test module under ``mustardtrack`` is run
in turn, with a new seed in each round, until the time is up. The exit status is 1 if
a machine failed. The seed of a failing round is printed; ``--seed`` with that value
and ``--only`` with the name from the table run that round first.
"""

import argparse
import importlib.util
import sys
import time
import traceback
from dataclasses import dataclass
from pathlib import Path

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    run_state_machine_as_test,
)
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES_PER_ROUND = 20
STEPS_PER_RUN = 50
MODULE_PREFIX = "soak_"


@dataclass
class RunCounts:
    """Run counts of one state machine."""

    rounds: int = 0
    runs: int = 0
    steps: int = 0
    failures: int = 0


def find_machines(folder: Path) -> list[type[RuleBasedStateMachine]]:
    """Import the test modules and return their state machines, sorted by name.

    Raises:
        ImportError: If a test module cannot be imported, since its state machines
            would otherwise be skipped silently.
    """
    machines = []
    for path in sorted(folder.rglob("tests/test_*.py")):
        name = MODULE_PREFIX + "_".join(path.relative_to(folder).with_suffix("").parts)
        spec = importlib.util.spec_from_file_location(name, path)
        if spec is None or spec.loader is None:
            raise ImportError(
                f"cannot import {path} as a Python module; rename or remove it"
            )
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
        machines += [
            value
            for value in vars(module).values()
            if isinstance(value, type)
            and issubclass(value, RuleBasedStateMachine)
            and value.__module__ == name
        ]
    return sorted(machines, key=short_name)


def short_name(machine: type[RuleBasedStateMachine]) -> str:
    """Return the package and class name, such as ``requests.CallMachine``."""
    package = machine.__module__.removeprefix(MODULE_PREFIX).partition("_tests_")[0]
    return f"{package}.{machine.__name__.lstrip('_')}"


def run_round(
    machine: type[RuleBasedStateMachine], seed_number: int, counts: RunCounts
) -> None:
    """Run one state machine with one seed and add to its counts."""

    class CountingMachine(machine):  # type: ignore[misc,valid-type]
        def __init__(self) -> None:
            super().__init__()
            counts.runs += 1
            counts.steps -= 1  # invariants are also checked before the first step

        @invariant()
        def count_step(self) -> None:
            counts.steps += 1

    CountingMachine.__name__ = machine.__name__
    CountingMachine.__qualname__ = machine.__qualname__
    counts.rounds += 1
    profile = settings(
        max_examples=EXAMPLES_PER_ROUND,
        stateful_step_count=STEPS_PER_RUN,
        derandomize=False,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(seed_number)(CountingMachine), settings=profile)


def run_machines(
    machines: list[type[RuleBasedStateMachine]], first_seed: int, minutes: float
) -> dict[str, RunCounts]:
    """Run the state machines in turn until the time is up, at least once each."""
    end_s = time.monotonic() + minutes * 60
    counts = {short_name(machine): RunCounts() for machine in machines}
    seed_number = first_seed
    while seed_number == first_seed or time.monotonic() < end_s:
        for machine in machines:
            if seed_number > first_seed and time.monotonic() >= end_s:
                break
            try:
                run_round(machine, seed_number, counts[short_name(machine)])
            except Exception:
                counts[short_name(machine)].failures += 1
                print(f"{short_name(machine)} failed with --seed {seed_number}")
                traceback.print_exc(limit=-3)
        seed_number += 1
    return counts


def main() -> int:
    parser = argparse.ArgumentParser(description="Run all state machines.")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, required=True)
    parser.add_argument("--only", help="run one machine, such as requests.CallMachine")
    options = parser.parse_args()
    logger.remove()
    machines = find_machines(ROOT / "mustardtrack")
    if options.only:
        machines = [one for one in machines if short_name(one) == options.only]
    if not machines:
        print("no state machine found; check the name in --only", file=sys.stderr)
        return 2
    counts = run_machines(machines, options.seed, options.minutes)
    print(f"{'machine':<32}{'rounds':>8}{'runs':>10}{'steps':>12}{'failures':>10}")
    for name, row in counts.items():
        print(
            f"{name:<32}{row.rounds:>8}{row.runs:>10}{row.steps:>12}{row.failures:>10}"
        )
    column_sums = [
        sum(getattr(row, key) for row in counts.values()) for key in vars(RunCounts())
    ]
    print(
        f"{'total':<32}{column_sums[0]:>8}{column_sums[1]:>10}{column_sums[2]:>12}{column_sums[3]:>10}"
    )
    return 1 if column_sums[3] else 0


if __name__ == "__main__":
    raise SystemExit(main())
