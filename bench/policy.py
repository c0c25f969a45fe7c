"""Compares the routing policy with baselines on simulated engines.

Run with ``python -m bench.policy --seeds 10``. ``--ablate`` switches the mechanisms
off one at a time, with the same seeds.
"""

import argparse
import statistics
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from loguru import logger

from bench.engine import SimulatedRequest
from bench.fleet import (
    MECHANISMS,
    ORACLE_POLICY,
    POLICIES,
    ROUTER_POLICY,
    PolicyVariant,
    Simulation,
)
from bench.workload import DEPLOYMENTS, SCENARIOS, Deployment, build_scenario

Metrics = dict[str, float]
ROUTER_RESTART_MS = 80_000.0
COLUMNS = {
    "hit": ("hit %", 1),
    "urgent_p95": ("urgent p95 ms", 0),
    "patient_p95": ("patient p95 ms", 0),
    "wasted": ("recomputed %", 1),
    "urgent_served": ("urgent served %", 1),
    "patient_served": ("patient served %", 1),
    "patient_share": ("patient share %", 1),
    "small_p95": ("small p95 ms", 0),
    "lost": ("engines lost", 1),
    "failed": ("failed %", 2),
}


def percentile(values: Iterable[float], fraction: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def hit_percent(requests: Iterable[SimulatedRequest]) -> float:
    started = [request for request in requests if request.first_token_ms >= 0]
    total = sum(request.prompt_tokens for request in started)
    return (
        100 * sum(request.cached_tokens for request in started) / total
        if total
        else float("nan")
    )


def compute_metrics(simulation: Simulation) -> Metrics:
    """Return the metrics of one finished run."""
    scenario = simulation.scenario
    requests = [
        request
        for request in scenario.requests
        if request.arrival_ms >= scenario.measure_from_ms
    ]
    started = [request for request in requests if request.first_token_ms >= 0]
    urgent = [request for request in requests if request.rank == 0]
    patient = [request for request in requests if request.rank == 1]
    total_prompt_tokens = sum(request.prompt_tokens for request in started) or 1
    # Served tokens are counted in the window in which requests of both classes arrive.
    start_ms, end_ms = scenario.measure_from_ms, scenario.duration_ms
    window = [
        request
        for request in scenario.requests
        if start_ms <= request.first_token_ms <= end_ms
    ]
    served = [served_tokens(request) for request in window]
    patient_served = sum(
        served_tokens(request) for request in window if request.rank == 1
    )
    row = {
        "hit": hit_percent(requests),
        "urgent_p95": ttft_p95(urgent),
        "patient_p95": ttft_p95(patient),
        "wasted": 100
        * sum(request.recomputed_tokens for request in started)
        / total_prompt_tokens,
        "urgent_served": served_percent(urgent),
        "patient_served": served_percent(patient),
        "patient_share": 100 * patient_served / (sum(served) or 1),
        "small_p95": ttft_p95(
            [request for request in requests if request.account == "account-1"]
        ),
        "lost": float(sum(engine.crash_count for engine in simulation.engines)),
        "failed": 100
        * sum(request.outcome == "failed" for request in requests)
        / max(1, len(requests)),
    }
    if scenario.restart_routers_at_ms >= 0:
        row["hit_before"] = hit_percent(
            arrived_between(requests, 20_000.0, ROUTER_RESTART_MS)
        )
        row["hit_after"] = hit_percent(
            arrived_between(requests, ROUTER_RESTART_MS, ROUTER_RESTART_MS + 60_000.0)
        )
    return row


def arrived_between(
    requests: Iterable[SimulatedRequest], start_ms: float, end_ms: float
) -> list[SimulatedRequest]:
    return [request for request in requests if start_ms <= request.arrival_ms < end_ms]


def served_tokens(request: SimulatedRequest) -> int:
    return request.prompt_tokens - request.cached_tokens + request.output_tokens


def ttft_p95(requests: Iterable[SimulatedRequest]) -> float:
    return percentile(
        (
            request.first_token_ms - request.arrival_ms
            for request in requests
            if request.first_token_ms >= 0
        ),
        0.95,
    )


def served_percent(requests: list[SimulatedRequest]) -> float:
    return (
        100
        * sum(request.first_token_ms >= 0 for request in requests)
        / (len(requests) or 1)
    )


def run_task(task: tuple[Deployment, str, PolicyVariant, int]) -> Metrics:
    deployment, scenario, variant, seed = task
    logger.remove()
    simulation = Simulation(
        deployment, build_scenario(scenario, deployment, seed), variant, seed
    )
    simulation.run()
    return compute_metrics(simulation)


Results = dict[tuple[str, PolicyVariant], list[Metrics]]


def run_simulations(
    deployment: Deployment,
    scenarios: list[str],
    variants: list[PolicyVariant],
    seeds: int,
    jobs: int,
) -> Results:
    tasks = [
        (deployment, scenario, variant, seed)
        for scenario in scenarios
        for variant in variants
        for seed in range(1, seeds + 1)
    ]
    results: Results = {}
    with ProcessPoolExecutor(jobs) as pool:
        for task, row in zip(
            tasks, pool.map(run_task, tasks, chunksize=1), strict=True
        ):
            results.setdefault((task[1], task[2]), []).append(row)
    return results


def format_cell(rows: list[Metrics], key: str, digits: int) -> str:
    values = [row[key] for row in rows if row[key] == row[key]]
    if not values:
        return "-"
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):.{digits}f} ± {deviation:.{digits}f}"


def print_table(title: str, lines: list[tuple[str, list[Metrics]]]) -> None:
    print(f"\n### {title}\n")
    print("| policy | " + " | ".join(label for label, _ in COLUMNS.values()) + " |")
    print("| --- " * (len(COLUMNS) + 1) + "|")
    for name, rows in lines:
        cells = [format_cell(rows, key, digits) for key, (_, digits) in COLUMNS.items()]
        print(f"| {name} | " + " | ".join(cells) + " |")


def ratio_between_scenarios(
    results: Results,
    variant: PolicyVariant,
    numerator: tuple[str, str],
    denominator: tuple[str, str],
) -> list[float]:
    rows = zip(
        results[numerator[0], variant], results[denominator[0], variant], strict=True
    )
    return [a[numerator[1]] / b[denominator[1]] for a, b in rows]


def hit_rate_over_oracle(
    results: Results, variant: PolicyVariant, scenario: str
) -> list[float]:
    oracle = PolicyVariant(ORACLE_POLICY)
    rows = zip(results[scenario, variant], results[scenario, oracle], strict=True)
    return [a["hit"] / b["hit"] for a, b in rows]


Target = tuple[str, float, bool, Callable[[Results, PolicyVariant], list[float]]]
TARGETS: list[Target] = [
    (
        "urgent p95, overload of patient requests / calm",
        1.2,
        False,
        lambda r, o: ratio_between_scenarios(
            r, o, ("patient_overload", "urgent_p95"), ("calm", "urgent_p95")
        ),
    ),
    (
        "patient share of served tokens in an overload of urgent requests, %",
        20.0,
        True,
        lambda r, o: [row["patient_share"] for row in r["urgent_overload", o]],
    ),
    (
        "small account p95, with heavy account / alone",
        1.2,
        False,
        lambda r, o: ratio_between_scenarios(
            r, o, ("heavy_account", "small_p95"), ("small_alone", "small_p95")
        ),
    ),
    (
        "small account p95, with heavy account / with six small ones",
        1.2,
        False,
        lambda r, o: ratio_between_scenarios(
            r, o, ("heavy_account", "small_p95"), ("seven_small", "small_p95")
        ),
    ),
    *(
        (
            f"hit rate / exact knowledge, {scenario}",
            0.95,
            True,
            lambda r, o, scenario=scenario: hit_rate_over_oracle(r, o, scenario),
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


def print_targets(results: Results, variants: list[PolicyVariant]) -> None:
    print("\n### Targets (mean ± standard deviation over seeds)\n")
    print(
        "| target | bound | "
        + " | ".join(variant.policy for variant in variants)
        + " |"
    )
    print("| --- " * (len(variants) + 2) + "|")
    for name, bound, is_lower_bound, get_samples in TARGETS:
        cells = []
        for variant in variants:
            try:
                samples = get_samples(results, variant)
            except KeyError:
                cells.append("not run")
                continue
            mean = statistics.mean(samples)
            deviation = statistics.stdev(samples) if len(samples) > 1 else 0.0
            met = mean >= bound if is_lower_bound else mean <= bound
            cells.append(f"{mean:.2f} ± {deviation:.2f} {'met' if met else 'MISSED'}")
        sign = "≥" if is_lower_bound else "≤"
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
    variants = [PolicyVariant(policy) for policy in arguments.policies]
    if arguments.ablate:
        variants = [PolicyVariant(ROUTER_POLICY), PolicyVariant(ORACLE_POLICY)]
        variants += [
            PolicyVariant(ROUTER_POLICY, frozenset({name})) for name in MECHANISMS
        ]
    if arguments.off:
        variants.append(PolicyVariant(ROUTER_POLICY, frozenset(arguments.off)))
    for deployment in DEPLOYMENTS:
        if deployment.name not in arguments.deployments:
            continue
        results = run_simulations(
            deployment,
            arguments.scenarios,
            variants,
            arguments.seeds,
            arguments.jobs,
        )
        print(f"\n## {deployment.name}: {deployment.engines} engines, 8 routers")
        for scenario in () if arguments.targets_only else arguments.scenarios:
            lines = [
                (variant_label(variant), results[scenario, variant])
                for variant in variants
            ]
            print_table(scenario, lines)
        print_targets(results, variants)


def variant_label(variant: PolicyVariant) -> str:
    return (
        f"without {', '.join(sorted(variant.disabled))}"
        if variant.disabled
        else variant.policy
    )


if __name__ == "__main__":
    main()
