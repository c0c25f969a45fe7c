"""Measures how the cost of each role grows with its load, for docs/CAPACITY.md.

Run with ``python -m bench.capacity --seed 1``; ``--only SECTION`` runs one section.
The results of each section that ran replace its entry in bench/results/capacity.json.
Memory of data structures is measured by tracemalloc, memory of processes as VmRSS.
"""

import argparse
import json
import time
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from bench.capacity_membership import (
    measure_heartbeats,
    measure_hosts,
    measure_tables,
)
from bench.capacity_processes import (
    measure_idle,
    measure_imports,
    measure_overhead,
    measure_probes,
)
from bench.capacity_routing import (
    measure_decisions,
    measure_index,
    measure_prefixes,
)
from bench.capacity_state import (
    measure_changes,
    measure_claims,
    measure_commits,
    measure_copies,
    measure_limits,
    measure_queue,
)
from bench.scaling import Result, format_results

OUTPUT = Path(__file__).parent / "results" / "capacity.json"
SECTIONS: dict[str, Callable[[int], list[Result]]] = {
    "decisions": measure_decisions,
    "index": measure_index,
    "prefixes": measure_prefixes,
    "tables": measure_tables,
    "heartbeats": measure_heartbeats,
    "hosts": measure_hosts,
    "copies": measure_copies,
    "changes": measure_changes,
    "claims": measure_claims,
    "commits": measure_commits,
    "limits": measure_limits,
    "queue": measure_queue,
    "imports": measure_imports,
    "idle": measure_idle,
    "probes": measure_probes,
    "overhead": measure_overhead,
}


def save_section(name: str, seed: int, seconds: float, results: list[Result]) -> None:
    """Replace the entry of one section in the JSON file."""
    sections = json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    sections[name] = {
        "command": f"python -m bench.capacity --seed {seed} --only {name}",
        "seconds": round(seconds, 1),
        "results": [one.to_json_fields() for one in results],
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(sections, indent=1) + "\n")


def main() -> None:
    """Run the selected sections, print their results and save them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=SECTIONS, metavar="SECTION")
    arguments = parser.parse_args()
    logger.remove()
    for name in [arguments.only] if arguments.only else SECTIONS:
        started = time.monotonic()
        results = SECTIONS[name](arguments.seed)
        elapsed_s = time.monotonic() - started
        print(f"{name} ({elapsed_s:.1f} s)\n{format_results(results)}", flush=True)
        save_section(name, arguments.seed, elapsed_s, results)


if __name__ == "__main__":
    main()
