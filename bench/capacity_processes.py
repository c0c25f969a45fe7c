"""Memory, CPU time and bus traffic of real processes."""

import argparse
import asyncio
import math
import os
import subprocess
import sys
import tempfile
import time
from typing import Any

from bench import overhead
from bench.scaling import (
    Result,
    Scalar,
    Series,
    cpu_ticks,
    resident_kb,
)
from mustardtrack.testing.batching import EngineRates
from mustardtrack.testing.fleet import Fleet
from mustardtrack.testing.local_deployment import Deployment

ROUTER_COUNTS = (1, 2, 4, 8)
SETTLE_S = 3.0
IDLE_WINDOW_S = 8.0
PROBE_WINDOW_S = 5.0
OBSERVED_ENDPOINT_COUNTS = (8, 24, 48, 96)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
IMPORTS = {
    "bare interpreter": "pass",
    "asyncio, msgspec, zmq, xxhash": "import asyncio, msgspec, zmq, xxhash",
    "domain packages (with pydantic)": (
        "import mustardtrack.membership, mustardtrack.routing, "
        "mustardtrack.admission, mustardtrack.configuration, "
        "mustardtrack.requests"
    ),
    "domain packages and bus": (
        "import mustardtrack.membership, mustardtrack.routing, "
        "mustardtrack.admission, mustardtrack.configuration, "
        "mustardtrack.requests, mustardtrack.adapters.zeromq"
    ),
    "control process": "import mustardtrack.process.control",
    "router process": "import mustardtrack.process.router",
}
# Token rate and batch size high enough not to hide the latency that a router adds.
ENGINE_OPTIONS = ("--tokens-per-second", "12000", "--max-batch", "256")


def measure_imports(seed: int) -> list[Result]:
    """Measure the resident memory of an interpreter after imports only."""
    results: list[Result] = []
    for name, code in IMPORTS.items():
        print_status = "print(open('/proc/self/status').read())"
        process = subprocess.run(
            [sys.executable, "-c", f"{code}\n{print_status}"],
            capture_output=True,
            text=True,
            check=True,
        )
        lines = process.stdout.splitlines()
        kb = int(next(one for one in lines if one.startswith("VmRSS:")).split()[1])
        results.append(Scalar(f"resident, {name}", "KB", kb))
    return results


def sample_process(deployment: Deployment, name: str) -> tuple[float, ...]:
    """Sample the time, CPU ticks, resident KB and bus bytes sent and received."""
    status = deployment.status(name)
    pid = deployment.members[name].pid
    return (
        time.monotonic(),
        cpu_ticks(pid),
        resident_kb(pid),
        status.get("bus_bytes_sent", math.nan),
        status.get("bus_bytes_received", math.nan),
    )


def usage_between(
    before: tuple[float, ...], after: tuple[float, ...]
) -> tuple[float, ...]:
    """Return percent of a core, resident KB, and bus bytes/s sent and received."""
    elapsed_s = after[0] - before[0]
    cpu_percent = (after[1] - before[1]) / TICKS_PER_S / elapsed_s * 100
    sent, received = ((after[n] - before[n]) / elapsed_s for n in (3, 4))
    return cpu_percent, after[2], sent, received


def measure_idle(seed: int) -> list[Result]:
    """Measure idle routers and control replicas against the number of routers."""
    quantities = ("CPU", "resident", "bus sent", "bus received")
    units = ("% of a core", "KB", "bytes/s", "bytes/s")
    series = {
        role: [
            Series(f"{role}, {quantity}", unit, "routers")
            for quantity, unit in zip(quantities, units, strict=True)
        ]
        for role in ("router", "control replica")
    }
    for count in ROUTER_COUNTS:
        with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
            deployment = Deployment(fleet, routers=count)
            deployment.start()
            time.sleep(SETTLE_S)
            names = [n for n in deployment.members if n.startswith(("router", "con"))]
            before = {name: sample_process(deployment, name) for name in names}
            time.sleep(IDLE_WINDOW_S)
            rows = {
                name: usage_between(before[name], sample_process(deployment, name))
                for name in names
            }
        # Control replicas do not report bus bytes; their NaN series are dropped below.
        for role, role_series in series.items():
            prefix = role.split()[0]
            group = [usage for name, usage in rows.items() if name.startswith(prefix)]
            for n, one in enumerate(role_series):
                one.add(count, sum(usage[n] for usage in group) / len(group))
    all_series = [one for role_series in series.values() for one in role_series]
    return [one for one in all_series if not math.isnan(one.points[0][1])]


def measure_probes(seed: int) -> list[Result]:
    """Measure one router against the endpoints that it probes twice a second.

    The added endpoints reuse the addresses of the stand-in engines, to limit the
    number of processes.
    """
    cpu = Series("router, CPU", "% of a core", "observed endpoints")
    memory = Series("router, resident", "KB", "observed endpoints")
    sent = Series("router, bus sent to 3 control replicas", "bytes/s", cpu.per)
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        deployment = Deployment(fleet, routers=1)
        deployment.start()
        engines = [n for n in deployment.members if n.startswith("engine")]
        existing = 8
        for endpoint_count in OBSERVED_ENDPOINT_COUNTS:
            while existing < endpoint_count:
                address = deployment.members[engines[existing % len(engines)]].address
                status, body = deployment.command(
                    f"create endpoint extra-{existing} kind=engine address={address} "
                    "zone=sofia-a serves=other-model checks_fencing=true"
                )
                assert status == 200, body
                existing += 1
            time.sleep(SETTLE_S)
            before = sample_process(deployment, "router-1")
            time.sleep(PROBE_WINDOW_S)
            usage = usage_between(before, sample_process(deployment, "router-1"))
            for series, value in zip((cpu, memory, sent), usage[:3], strict=True):
                series.add(endpoint_count, value)
    return [cpu, memory, sent]


def measure_overhead(seed: int) -> list[Result]:
    """Measure one router at the load of one host, generated by bench/overhead.py."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        # Default batch size of the stand-in engines (64). With a lower limit the
        # measured latency would include time in the queue of the router.
        limits = {"limits": {"endpoint_concurrency": EngineRates.max_batch}}
        deployment = Deployment(fleet, routers=1, settings=limits)
        deployment.start(*ENGINE_OPTIONS, *overhead.NO_PREFILL_OPTIONS)
        args = argparse.Namespace(
            seed=seed,
            router=[f"http://{deployment.callers()}"],
            key=deployment.headers()["Authorization"].removeprefix("Bearer "),
            work_class="urgent",
            model=deployment.model,
            rate=24.0,
            tokens_per_second=5200.0,
            seconds=20.0,
            warmup=4.0,
        )
        direct = [
            f"http://{member.address}"
            for name, member in deployment.members.items()
            if name.startswith("engine")
        ]
        idle_kb = resident_kb(deployment.members["router-1"].pid)
        rows = [asyncio.run(overhead.measure(args, "direct", direct, {}))]
        headers = {
            "Authorization": f"Bearer {args.key}",
            "Content-Type": "application/json",
            "Mustardtrack-Class": args.work_class,
        }
        before = sample_process(deployment, "router-1")
        rows.append(asyncio.run(overhead.measure(args, "router", args.router, headers)))
        cpu_percent, loaded_kb, *_ = usage_between(
            before, sample_process(deployment, "router-1")
        )
    overhead.print_table(args, rows)
    return describe_overhead(args, rows) + [
        Scalar("router CPU under load", "% of a core", cpu_percent),
        Scalar("router resident, idle", "KB", idle_kb),
        Scalar("router resident, after the load", "KB", loaded_kb),
    ]


def describe_overhead(args: argparse.Namespace, rows: list[Any]) -> list[Result]:
    """Return the metrics of both paths and the latency that the router adds."""
    results: list[Result] = []
    window_s = args.seconds - args.warmup
    for row in rows:
        results += [
            Scalar(f"{row.path}: requests completed", "requests", row.completed),
            Scalar(f"{row.path}: failed", "requests", sum(row.failed.values())),
            Scalar(
                f"{row.path}: completed in the window",
                "requests/s",
                row.requests_in_window / window_s,
            ),
            Scalar(f"{row.path}: tokens", "tokens/s", row.tokens_in_window / window_s),
        ]
    for metric in ("first_us", "between_us"):
        for percentile in (50, 95, 99):
            values = [
                getattr(row, metric).get_value_at_percentile(percentile) / 1000
                for row in rows
            ]
            label = "first token" if metric == "first_us" else "between tokens"
            name = f"added {label}, p{percentile}"
            results.append(Scalar(name, "ms", values[1] - values[0]))
    return results
