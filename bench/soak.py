"""Long runs of all hypothesis state machines.

Every class under ``mustardtrack`` that derives from ``RuleBasedStateMachine`` and
is defined in a test module is run in turn, with a new seed in each round, until the
time is used up. The exit status is 1 if a machine failed; the seed of the failing
round is printed, and ``--seed`` with that value and ``--only`` with the name that
the table shows repeats it first.
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
class Totals:
    """Counts of one machine."""

    rounds: int = 0
    runs: int = 0
    steps: int = 0
    failures: int = 0


def find_machines(folder: Path) -> list[type[RuleBasedStateMachine]]:
    """Import the test modules and return their state machines by name.

    Raises:
        ImportError: If a test module cannot be imported; its machines would
            otherwise be left out silently.
    """
    machines = []
    for path in sorted(folder.rglob("tests/test_*.py")):
        name = MODULE_PREFIX + "_".join(path.relative_to(folder).with_suffix("").parts)
        spec = importlib.util.spec_from_file_location(name, path)
        if spec is None or spec.loader is None:
            raise ImportError(f"{path} is not a Python module, rename or remove it")
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
    """Return package and class name, such as ``requests.CallMachine``."""
    package = machine.__module__.removeprefix(MODULE_PREFIX).partition("_tests_")[0]
    return f"{package}.{machine.__name__.lstrip('_')}"


def run_round(
    machine: type[RuleBasedStateMachine], number: int, totals: Totals
) -> None:
    """Run one machine with one seed and add to its totals."""

    class Counted(machine):  # type: ignore[misc,valid-type]
        def __init__(self) -> None:
            super().__init__()
            totals.runs += 1
            totals.steps -= 1  # the invariants are also checked before the first step

        @invariant()
        def count_step(self) -> None:
            totals.steps += 1

    Counted.__name__ = machine.__name__
    Counted.__qualname__ = machine.__qualname__
    totals.rounds += 1
    profile = settings(
        max_examples=EXAMPLES_PER_ROUND,
        stateful_step_count=STEPS_PER_RUN,
        derandomize=False,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(number)(Counted), settings=profile)


def soak(
    machines: list[type[RuleBasedStateMachine]], first_seed: int, minutes: float
) -> dict[str, Totals]:
    """Run the machines in turn until the time is used up, at least once each."""
    ends = time.monotonic() + minutes * 60
    totals = {short_name(machine): Totals() for machine in machines}
    number = first_seed
    while number == first_seed or time.monotonic() < ends:
        for machine in machines:
            if number > first_seed and time.monotonic() >= ends:
                break
            try:
                run_round(machine, number, totals[short_name(machine)])
            except Exception:
                totals[short_name(machine)].failures += 1
                print(f"{short_name(machine)} failed with --seed {number}")
                traceback.print_exc(limit=-3)
        number += 1
    return totals


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
        print("no state machine found, check --only", file=sys.stderr)
        return 2
    totals = soak(machines, options.seed, options.minutes)
    print(f"{'machine':<32}{'rounds':>8}{'runs':>10}{'steps':>12}{'failures':>10}")
    for name, row in totals.items():
        print(
            f"{name:<32}{row.rounds:>8}{row.runs:>10}{row.steps:>12}{row.failures:>10}"
        )
    sums = [sum(getattr(row, key) for row in totals.values()) for key in vars(Totals())]
    print(f"{'total':<32}{sums[0]:>8}{sums[1]:>10}{sums[2]:>12}{sums[3]:>10}")
    return 1 if sums[3] else 0


if __name__ == "__main__":
    raise SystemExit(main())
