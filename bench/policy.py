"""Compare the routing policy with baselines on fake engines.

Run ``python -m bench.policy --seeds 10``; ``--ablate`` switches each mechanism
off in turn with the same seeds.
"""

import argparse
import statistics
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from loguru import logger

from bench.engine import Work
from bench.fleet import EXACT, MECHANISMS, OURS, POLICIES, Fleet, Options
from bench.workload import DEPLOYMENTS, SCENARIOS, Deployment, build

Row = dict[str, float]
RESTART_MS = 80_000.0
COLUMNS = {
    "hit": ("hit %", 1),
    "urgent_p95": ("urgent p95 ms", 0),
    "patient_p95": ("patient p95 ms", 0),
    "wasted": ("wasted %", 1),
    "urgent_served": ("urgent served %", 1),
    "patient_served": ("patient served %", 1),
    "patient_share": ("patient share %", 1),
    "small_p95": ("small p95 ms", 0),
    "lost": ("engines lost", 1),
    "failed": ("failed %", 2),
}


def percentile(values: Iterable[float], part: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def hit_rate(works: Iterable[Work]) -> float:
    ran = [work for work in works if work.first >= 0]
    total = sum(work.prompt_tokens for work in ran)
    return 100 * sum(work.cached for work in ran) / total if total else float("nan")


def measure(fleet: Fleet) -> Row:
    """Return the measures of one run."""
    scenario = fleet.scenario
    works = [work for work in scenario.works if work.arrived >= scenario.measure_from]
    ran = [work for work in works if work.first >= 0]
    urgent = [work for work in works if work.rank == 0]
    patient = [work for work in works if work.rank == 1]
    prompt = sum(work.prompt_tokens for work in ran) or 1
    # Service is counted in the window in which both classes arrive.
    start, end = scenario.measure_from, scenario.duration_ms
    window = [work for work in scenario.works if start <= work.first <= end]
    served = [served_tokens(work) for work in window]
    patient_served = sum(served_tokens(work) for work in window if work.rank == 1)
    row = {
        "hit": hit_rate(works),
        "urgent_p95": ttft_p95(urgent),
        "patient_p95": ttft_p95(patient),
        "wasted": 100 * sum(work.wasted for work in ran) / prompt,
        "urgent_served": served_part(urgent),
        "patient_served": served_part(patient),
        "patient_share": 100 * patient_served / (sum(served) or 1),
        "small_p95": ttft_p95([w for w in works if w.account == "account-1"]),
        "lost": float(sum(engine.crashes for engine in fleet.engines)),
        "failed": 100 * sum(w.outcome == "failed" for w in works) / max(1, len(works)),
    }
    if scenario.restart_routers_at >= 0:
        row["hit_before"] = hit_rate(between(works, 20_000.0, RESTART_MS))
        row["hit_after"] = hit_rate(between(works, RESTART_MS, RESTART_MS + 60_000.0))
    return row


def between(works: Iterable[Work], start: float, end: float) -> list[Work]:
    return [work for work in works if start <= work.arrived < end]


def served_tokens(work: Work) -> int:
    return work.prompt_tokens - work.cached + work.output_tokens


def ttft_p95(works: Iterable[Work]) -> float:
    return percentile((w.first - w.arrived for w in works if w.first >= 0), 0.95)


def served_part(works: list[Work]) -> float:
    return 100 * sum(work.first >= 0 for work in works) / (len(works) or 1)


def run(task: tuple[Deployment, str, Options, int]) -> Row:
    deployment, scenario, options, seed = task
    logger.remove()
    fleet = Fleet(deployment, build(scenario, deployment, seed), options, seed)
    fleet.run()
    return measure(fleet)


Results = dict[tuple[str, Options], list[Row]]


def run_all(
    deployment: Deployment,
    scenarios: list[str],
    options: list[Options],
    seeds: int,
    jobs: int,
) -> Results:
    tasks = [
        (deployment, scenario, option, seed)
        for scenario in scenarios
        for option in options
        for seed in range(1, seeds + 1)
    ]
    results: Results = {}
    with ProcessPoolExecutor(jobs) as pool:
        for task, row in zip(tasks, pool.map(run, tasks, chunksize=1), strict=True):
            results.setdefault((task[1], task[2]), []).append(row)
    return results


def show(rows: list[Row], key: str, digits: int) -> str:
    values = [row[key] for row in rows if row[key] == row[key]]
    if not values:
        return "-"
    spread = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):.{digits}f} ± {spread:.{digits}f}"


def print_table(title: str, lines: list[tuple[str, list[Row]]]) -> None:
    print(f"\n### {title}\n")
    print("| policy | " + " | ".join(label for label, _ in COLUMNS.values()) + " |")
    print("| --- " * (len(COLUMNS) + 1) + "|")
    for name, rows in lines:
        cells = [show(rows, key, digits) for key, (_, digits) in COLUMNS.items()]
        print(f"| {name} | " + " | ".join(cells) + " |")


def ratio(
    results: Results, option: Options, over: tuple[str, str], base: tuple[str, str]
) -> list[float]:
    rows = zip(results[over[0], option], results[base[0], option], strict=True)
    return [a[over[1]] / b[base[1]] for a, b in rows]


def exact_ratio(results: Results, option: Options, scenario: str) -> list[float]:
    exact = Options(EXACT)
    rows = zip(results[scenario, option], results[scenario, exact], strict=True)
    return [a["hit"] / b["hit"] for a, b in rows]


Target = tuple[str, float, bool, Callable[[Results, Options], list[float]]]
TARGETS: list[Target] = [
    (
        "urgent p95, overload of patient work / calm",
        1.2,
        False,
        lambda r, o: ratio(
            r, o, ("patient_overload", "urgent_p95"), ("calm", "urgent_p95")
        ),
    ),
    (
        "patient share of service in an overload of urgent work, %",
        20.0,
        True,
        lambda r, o: [row["patient_share"] for row in r["urgent_overload", o]],
    ),
    (
        "small account p95, with heavy account / alone",
        1.2,
        False,
        lambda r, o: ratio(
            r, o, ("heavy_account", "small_p95"), ("small_alone", "small_p95")
        ),
    ),
    (
        "small account p95, with heavy account / with six small ones",
        1.2,
        False,
        lambda r, o: ratio(
            r, o, ("heavy_account", "small_p95"), ("seven_small", "small_p95")
        ),
    ),
    *(
        (
            f"hit rate / exact knowledge, {scenario}",
            0.95,
            True,
            lambda r, o, scenario=scenario: exact_ratio(r, o, scenario),
        )
        for scenario in ("day", "hot_shift", "engine_crash", "late_events")
    ),
    (
        "hit rate in the first minute after restart / before",
        0.95,
        True,
        lambda r, o: [row["hit_after"] / row["hit_before"] for row in r["restart", o]],
    ),
    (
        "engines lost to one request",
        2.0,
        False,
        lambda r, o: [row["lost"] for row in r["crashing_request", o]],
    ),
]


def print_targets(results: Results, options: list[Options]) -> None:
    print("\n### Targets of section 1.2 (mean ± spread over seeds)\n")
    print("| target | bound | " + " | ".join(each.policy for each in options) + " |")
    print("| --- " * (len(options) + 2) + "|")
    for name, bound, least, values in TARGETS:
        cells = []
        for option in options:
            try:
                found = values(results, option)
            except KeyError:
                cells.append("not run")
                continue
            mean = statistics.mean(found)
            spread = statistics.stdev(found) if len(found) > 1 else 0.0
            met = mean >= bound if least else mean <= bound
            cells.append(f"{mean:.2f} ± {spread:.2f} {'met' if met else 'MISSED'}")
        sign = "≥" if least else "≤"
        print(f"| {name} | {sign} {bound:g} | " + " | ".join(cells) + " |")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--deployments", nargs="*", default=["Stenaprav", "Zwolle"])
    parser.add_argument("--ablate", action="store_true")
    parser.add_argument("--off", nargs="*", default=[])
    parser.add_argument("--targets-only", action="store_true")
    arguments = parser.parse_args()
    print(f"command: {' '.join(sys.argv[1:])}; seeds 1 to {arguments.seeds}")
    options = [Options(policy) for policy in arguments.policies]
    if arguments.ablate:
        options = [Options(OURS), Options(EXACT)]
        options += [Options(OURS, frozenset({name})) for name in MECHANISMS]
    if arguments.off:
        options.append(Options(OURS, frozenset(arguments.off)))
    for deployment in DEPLOYMENTS:
        if deployment.name not in arguments.deployments:
            continue
        results = run_all(
            deployment,
            arguments.scenarios,
            options,
            arguments.seeds,
            arguments.jobs,
        )
        print(f"\n## {deployment.name}: {deployment.engines} engines, 8 routers")
        for scenario in () if arguments.targets_only else arguments.scenarios:
            lines = [(label(each), results[scenario, each]) for each in options]
            print_table(scenario, lines)
        print_targets(results, options)


def label(option: Options) -> str:
    return f"without {', '.join(sorted(option.off))}" if option.off else option.policy


if __name__ == "__main__":
    main()
