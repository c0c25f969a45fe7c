"""Measures time, memory and encoded size per object, change and claim.

The baseline stores the same values in plain dictionaries, without validation,
versions, history or expiry. Times come from a first pass without tracemalloc, memory
from a second pass with it.

Run with ``python -m bench.configuration --seed 1``; ``--largest 0.1`` limits the
sizes to a tenth of those expected in two years.
"""

import argparse
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from uuid import UUID

from mustardtrack.configuration import (
    ChangeObject,
    Configuration,
    ConfigurationCopy,
    Proposal,
    decode_changes,
    decode_proposal,
    encode_changes,
    encode_proposal,
    hash_key,
)
from mustardtrack.idempotency import Claim, CompleteClaim, build_stored_answer
from mustardtrack.language import Table, render_table

ACCOUNTS = 15_000
ENDPOINTS = 11_000
CHANGES = 22_000
CLAIMS = 200_000
SCALES = (0.01, 0.03, 0.1, 0.3, 1.0)
DAY_MS = 86_400_000
START_MS = 1_700_000_000_000


@dataclass
class Cost:
    """Cost of one unit: time, memory and encoded size."""

    microseconds: float
    memory_bytes: float
    encoded_bytes: float


def measure(build: Callable[[], Any], count: int) -> tuple[Any, float, float]:
    """Return the result of a call, microseconds per unit and bytes per unit."""
    gc.collect()
    started = time.perf_counter()
    result = build()
    elapsed_s = time.perf_counter() - started
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return result, elapsed_s * 1e6 / count, used / count


def make_objects(scale: float) -> list[Proposal]:
    commands = [
        ChangeObject(
            f"a{n}",
            "ana",
            "create",
            "account",
            f"account-{n}",
            {"key_hashes": [hash_key(str(n))], "weight": 2.0},
        )
        for n in range(int(ACCOUNTS * scale))
    ]
    commands += [
        ChangeObject(
            f"e{n}",
            "ana",
            "create",
            "endpoint",
            f"engine-{n}",
            {
                "kind": "engine",
                "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000",
                "zone": f"zone-{n % 12}",
                "serves": [f"model-{n % 12}"],
            },
        )
        for n in range(int(ENDPOINTS * scale))
    ]
    return [Proposal(START_MS, command) for command in commands]


def make_changes(scale: float, rng: random.Random) -> list[Proposal]:
    endpoints = int(ENDPOINTS * scale)
    return [
        Proposal(
            START_MS,
            ChangeObject(
                f"c{n}",
                "bo",
                "set",
                "endpoint",
                f"engine-{rng.randrange(endpoints)}",
                {"zone": f"zone-{rng.randrange(12)}"},
            ),
        )
        for n in range(int(CHANGES * scale))
    ]


def make_claims(scale: float, rng: random.Random) -> list[Proposal]:
    """Return claims, each followed by its completion, spread over just under a day."""
    count = int(CLAIMS * scale)
    answer = build_stored_answer(200, "application/json", b"x" * 200)
    proposals = []
    for n in range(count):
        now_ms = START_MS + n * (DAY_MS - 1) // count
        uuid7_bits = (now_ms << 80) | (7 << 76) | (2 << 62) | rng.getrandbits(60)
        key, account = str(UUID(int=uuid7_bits)), f"account-{rng.randrange(15_000)}"
        claim = Claim(account, key, f"{n:032x}", f"r{n}.1", "entry-1", "desk-1")
        proposals.append(Proposal(now_ms, claim))
        done = CompleteClaim(account, key, f"r{n}.1", answer)
        proposals.append(Proposal(now_ms, done))
    return proposals


def apply_all(state: Configuration, entries: list[bytes]) -> Configuration:
    first_index = state.applied_index + 1
    for index, entry in enumerate(entries, first_index):
        proposal = decode_proposal(entry)
        state.apply(index, proposal.command, proposal.wall_ms)
    return state


def store_objects_in_dict(entries: list[bytes]) -> dict[Any, Any]:
    """Baseline that stores objects in a dictionary by kind and name."""
    stored = {}
    for entry in entries:
        command: Any = decode_proposal(entry).command
        stored[command.kind, command.name] = command.fields
    return stored


def store_claims_in_dict(entries: list[bytes]) -> dict[Any, Any]:
    """Baseline that stores claims in a dictionary by account and key."""
    stored = {}
    for entry in entries:
        command: Any = decode_proposal(entry).command
        value = getattr(command, "answer", None)
        stored[command.account, command.key] = (command.attempt, value)
    return stored


def measure_scale(scale: float, rng: random.Random) -> list[tuple[Any, ...]]:
    """Return one table row per kind of unit."""
    objects = [encode_proposal(item) for item in make_objects(scale)]
    changes = [encode_proposal(item) for item in make_changes(scale, rng)]
    claims = [encode_proposal(item) for item in make_claims(scale, rng)]
    rows = []

    def add_row(
        unit: str, count: int, time_us: float, memory_bytes: float, encoded_bytes: float
    ) -> None:
        formatted = (f"{time_us:.1f}", f"{memory_bytes:.0f}", f"{encoded_bytes:.0f}")
        rows.append((unit, count, *formatted))

    count = len(objects)
    state, time_us, memory_bytes = measure(
        lambda: apply_all(Configuration(), objects), count
    )
    add_row("object", count, time_us, memory_bytes, len(state.copy_snapshot()) / count)
    _, time_us, memory_bytes = measure(lambda: store_objects_in_dict(objects), count)
    add_row(
        "object, baseline", count, time_us, memory_bytes, sum(map(len, objects)) / count
    )

    base_revision, base_snapshot = state.revision, state.snapshot()
    base_copy_snapshot = state.copy_snapshot()
    started = time.perf_counter()
    apply_all(state, changes)
    time_us = (time.perf_counter() - started) * 1e6 / len(changes)
    encoded = encode_changes(state.changes_since(base_revision) or [])
    restored, _, base_memory = measure(lambda: Configuration.restore(base_snapshot), 1)
    _, _, memory_bytes = measure(
        lambda: apply_all(Configuration.restore(base_snapshot), changes), 1
    )
    per_change = (memory_bytes - base_memory) / len(changes)
    add_row("change", len(changes), time_us, per_change, len(encoded) / len(changes))

    def build_copy() -> ConfigurationCopy:
        copy = ConfigurationCopy()
        copy.apply(base_revision, [], base_copy_snapshot)
        copy.apply(state.revision, decode_changes(encoded))
        return copy

    copy, time_us, memory_bytes = measure(build_copy, count + len(changes))
    assert copy.snapshot() == state.copy_snapshot()
    add_row(
        "object or change in a copy", count + len(changes), time_us, memory_bytes, 0
    )

    count = len(claims) // 2
    state, time_us, memory_bytes = measure(
        lambda: apply_all(Configuration(), claims), count
    )
    data = state.snapshot()
    add_row("claim with completion", count, time_us, memory_bytes, len(data) / count)
    _, time_us, memory_bytes = measure(lambda: store_claims_in_dict(claims), count)
    add_row(
        "claim, baseline", count, time_us, memory_bytes, sum(map(len, claims)) / count
    )
    _, time_us, memory_bytes = measure(lambda: Configuration.restore(data), count)
    add_row("claim restored", count, time_us, memory_bytes, len(data) / count)
    started = time.perf_counter()
    state.snapshot()
    time_us = (time.perf_counter() - started) * 1e6 / count
    add_row("claim in a snapshot", count, time_us, 0, len(data) / count)
    return rows


def main() -> None:
    """Measure all scales and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--largest", type=float, default=1.0)
    arguments = parser.parse_args()
    rows = []
    for scale in SCALES:
        if scale <= arguments.largest:
            rng = random.Random(arguments.seed)
            rows += [(scale, *row) for row in measure_scale(scale, rng)]
    columns = ("scale", "unit", "count", "us", "memory bytes", "encoded bytes")
    print(render_table(Table(columns, tuple(sorted(rows, key=lambda row: row[1])))))


if __name__ == "__main__":
    main()
