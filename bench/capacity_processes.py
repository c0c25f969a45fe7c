"""Memory, CPU and bus bytes of real processes."""

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
    Figure,
    Result,
    Series,
    processor_ticks,
    resident_kb,
)
from mustardtrack.testing.batching import EngineRates
from mustardtrack.testing.deployment import Deployment
from mustardtrack.testing.fleet import Fleet

ROUTERS = (1, 2, 4, 8)
SETTLE_S = 3.0
IDLE_S = 8.0
PROBED_S = 5.0
OBSERVED = (8, 24, 48, 96)
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
# Prefill and batch limits that do not hide the time a router adds.
ENGINE_OPTIONS = ("--tokens-per-second", "12000", "--max-batch", "256")


def measure_imports(seed: int) -> list[Result]:
    """Measure resident memory after imports only."""
    results: list[Result] = []
    for name, code in IMPORTS.items():
        read = "print(open('/proc/self/status').read())"
        done = subprocess.run(
            [sys.executable, "-c", f"{code}\n{read}"],
            capture_output=True,
            text=True,
            check=True,
        )
        lines = done.stdout.splitlines()
        kb = int(next(one for one in lines if one.startswith("VmRSS:")).split()[1])
        results.append(Figure(f"resident, {name}", "KB", kb))
    return results


def read_daemon(deployment: Deployment, name: str) -> tuple[float, ...]:
    """Return time, CPU ticks, resident KB and bytes sent and received."""
    status = deployment.status(name)
    pid = deployment.members[name].pid
    return (
        time.monotonic(),
        processor_ticks(pid),
        resident_kb(pid),
        status.get("bus_bytes_sent", math.nan),
        status.get("bus_bytes_received", math.nan),
    )


def compare(before: tuple[float, ...], after: tuple[float, ...]) -> tuple[float, ...]:
    """Return percent of a core, resident KB and bytes/s sent and received."""
    passed_s = after[0] - before[0]
    cpu = (after[1] - before[1]) / TICKS_PER_S / passed_s * 100
    sent, received = ((after[n] - before[n]) / passed_s for n in (3, 4))
    return cpu, after[2], sent, received


def measure_idle(seed: int) -> list[Result]:
    """Measure idle routers and control replicas against the number of routers."""
    kinds = ("CPU", "resident", "bus sent", "bus received")
    units = ("% of a core", "KB", "bytes/s", "bytes/s")
    series = {
        role: [
            Series(f"{role}, {kind}", unit, "routers")
            for kind, unit in zip(kinds, units, strict=True)
        ]
        for role in ("router", "control replica")
    }
    for count in ROUTERS:
        with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
            deployment = Deployment(fleet, routers=count)
            deployment.start()
            time.sleep(SETTLE_S)
            names = [n for n in deployment.members if n.startswith(("router", "con"))]
            before = {name: read_daemon(deployment, name) for name in names}
            time.sleep(IDLE_S)
            rows = {
                name: compare(before[name], read_daemon(deployment, name))
                for name in names
            }
        # Control replicas do not report the bytes of their bus.
        for role, some in series.items():
            prefix = role.split()[0]
            group = [row for name, row in rows.items() if name.startswith(prefix)]
            for n, one in enumerate(some):
                one.add(count, sum(row[n] for row in group) / len(group))
    all_series = [one for some in series.values() for one in some]
    return [one for one in all_series if not math.isnan(one.points[0][1])]


def measure_probes(seed: int) -> list[Result]:
    """Measure one router against the endpoints that it probes twice a second.

    The added endpoints share the addresses of the stand-in engines, so that few
    processes are needed.
    """
    cpu = Series("router, CPU", "% of a core", "observed endpoints")
    memory = Series("router, resident", "KB", "observed endpoints")
    sent = Series("router, bus sent to 3 control replicas", "bytes/s", cpu.per)
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        deployment = Deployment(fleet, routers=1)
        deployment.start()
        engines = [n for n in deployment.members if n.startswith("engine")]
        count = 8
        for target in OBSERVED:
            while count < target:
                address = deployment.members[engines[count % len(engines)]].address
                status, body = deployment.command(
                    f"create endpoint extra-{count} kind=engine address={address} "
                    "zone=sofia-a serves=other-model checks_fencing=true"
                )
                assert status == 200, body
                count += 1
            time.sleep(SETTLE_S)
            before = read_daemon(deployment, "router-1")
            time.sleep(PROBED_S)
            row = compare(before, read_daemon(deployment, "router-1"))
            for series, value in zip((cpu, memory, sent), row[:3], strict=True):
                series.add(target, value)
    return [cpu, memory, sent]


def measure_overhead(seed: int) -> list[Result]:
    """Send the load of one node through one router, as bench/overhead.py does."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        # The stand-in engines run 64 requests at once; with a lower setting the
        # router would hold requests back, which is policy and not overhead.
        limits = {"limits": {"endpoint_concurrency": EngineRates.max_batch}}
        deployment = Deployment(fleet, routers=1, settings=limits)
        deployment.start(*ENGINE_OPTIONS, *overhead.NO_PREFILL)
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
        idle = resident_kb(deployment.members["router-1"].pid)
        rows = [asyncio.run(overhead.measure(args, "direct", direct, {}))]
        headers = {
            "Authorization": f"Bearer {args.key}",
            "Content-Type": "application/json",
            "Mustardtrack-Class": args.work_class,
        }
        before = read_daemon(deployment, "router-1")
        rows.append(asyncio.run(overhead.measure(args, "router", args.router, headers)))
        cpu, loaded, *_ = compare(before, read_daemon(deployment, "router-1"))
    overhead.print_table(args, rows)
    return describe_overhead(args, rows) + [
        Figure("router CPU under load", "% of a core", cpu),
        Figure("router resident, idle", "KB", idle),
        Figure("router resident, after the load", "KB", loaded),
    ]


def describe_overhead(args: argparse.Namespace, rows: list[Any]) -> list[Result]:
    """Return the figures of the direct path and of the path through a router."""
    results: list[Result] = []
    window_s = args.seconds - args.warmup
    for row in rows:
        results += [
            Figure(f"{row.path}: requests completed", "requests", row.completed),
            Figure(f"{row.path}: failed", "requests", sum(row.failed.values())),
            Figure(
                f"{row.path}: completed in the window",
                "requests/s",
                row.requests_in_window / window_s,
            ),
            Figure(f"{row.path}: tokens", "tokens/s", row.tokens_in_window / window_s),
        ]
    for kind in ("first_us", "between_us"):
        for percentile in (50, 95, 99):
            values = [
                getattr(row, kind).get_value_at_percentile(percentile) / 1000
                for row in rows
            ]
            label = "first token" if kind == "first_us" else "between tokens"
            name = f"added {label}, p{percentile}"
            results.append(Figure(name, "ms", values[1] - values[0]))
    return results
