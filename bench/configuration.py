"""Measures bytes and microseconds per object, change and claim.

The baseline keeps the same values in plain dictionaries without validation,
versions, history or expiry. Memory is what tracemalloc counts in a second pass;
times are from a first pass without it.

Run with ``python -m bench.configuration --seed 1``; ``--largest 0.1`` limits the
sizes to a tenth of the two-year scale.
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
    """Cost of one unit: time, memory and size of its encoded form."""

    microseconds: float
    memory_bytes: float
    encoded_bytes: float


def measure(build: Callable[[], Any], count: int) -> tuple[Any, float, float]:
    """Return the result, microseconds per unit and bytes of memory per unit."""
    gc.collect()
    started = time.perf_counter()
    result = build()
    elapsed = time.perf_counter() - started
    gc.collect()
    tracemalloc.start()
    second = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del second
    return result, elapsed * 1e6 / count, used / count


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
    """Return claims with their completions, spread over less than a day."""
    count = int(CLAIMS * scale)
    answer = build_stored_answer(200, "application/json", b"x" * 200)
    proposals = []
    for n in range(count):
        now_ms = START_MS + n * (DAY_MS - 1) // count
        bits = (now_ms << 80) | (7 << 76) | (2 << 62) | rng.getrandbits(60)
        key, account = str(UUID(int=bits)), f"account-{rng.randrange(15_000)}"
        claim = Claim(account, key, f"{n:032x}", f"r{n}.1", "entry-1", "desk-1")
        proposals.append(Proposal(now_ms, claim))
        done = CompleteClaim(account, key, f"r{n}.1", answer)
        proposals.append(Proposal(now_ms, done))
    return proposals


def apply_all(state: Configuration, entries: list[bytes]) -> Configuration:
    first = state.applied_index + 1
    for index, entry in enumerate(entries, first):
        proposal = decode_proposal(entry)
        state.apply(index, proposal.command, proposal.wall_ms)
    return state


def keep_objects(entries: list[bytes]) -> dict[Any, Any]:
    """Baseline: objects in a dictionary by kind and name."""
    kept = {}
    for entry in entries:
        command: Any = decode_proposal(entry).command
        kept[command.kind, command.name] = command.fields
    return kept


def keep_claims(entries: list[bytes]) -> dict[Any, Any]:
    """Baseline: claims in a dictionary by account and key."""
    kept = {}
    for entry in entries:
        command: Any = decode_proposal(entry).command
        value = getattr(command, "answer", None)
        kept[command.account, command.key] = (command.attempt, value)
    return kept


def measure_scale(scale: float, rng: random.Random) -> list[tuple[Any, ...]]:
    """Return one row per kind of unit."""
    objects = [encode_proposal(item) for item in make_objects(scale)]
    changes = [encode_proposal(item) for item in make_changes(scale, rng)]
    claims = [encode_proposal(item) for item in make_claims(scale, rng)]
    rows = []

    def add(unit: str, count: int, us: float, memory: float, size: float) -> None:
        figures = (f"{us:.1f}", f"{memory:.0f}", f"{size:.0f}")
        rows.append((unit, count, *figures))

    count = len(objects)
    state, us, memory = measure(lambda: apply_all(Configuration(), objects), count)
    add("object", count, us, memory, len(state.copy_snapshot()) / count)
    _, us, memory = measure(lambda: keep_objects(objects), count)
    add("object, baseline", count, us, memory, sum(map(len, objects)) / count)

    before, whole = state.revision, state.snapshot()
    first = state.copy_snapshot()
    started = time.perf_counter()
    apply_all(state, changes)
    us = (time.perf_counter() - started) * 1e6 / len(changes)
    encoded = encode_changes(state.changes_since(before) or [])
    restored, _, base_memory = measure(lambda: Configuration.restore(whole), 1)
    _, _, memory = measure(lambda: apply_all(Configuration.restore(whole), changes), 1)
    per_change = (memory - base_memory) / len(changes)
    add("change", len(changes), us, per_change, len(encoded) / len(changes))

    def follow() -> ConfigurationCopy:
        copy = ConfigurationCopy()
        copy.apply(before, [], first)
        copy.apply(state.revision, decode_changes(encoded))
        return copy

    copy, us, memory = measure(follow, count + len(changes))
    assert copy.snapshot() == state.copy_snapshot()
    add("object or change in a copy", count + len(changes), us, memory, 0)

    count = len(claims) // 2
    state, us, memory = measure(lambda: apply_all(Configuration(), claims), count)
    data = state.snapshot()
    add("claim with completion", count, us, memory, len(data) / count)
    _, us, memory = measure(lambda: keep_claims(claims), count)
    add("claim, baseline", count, us, memory, sum(map(len, claims)) / count)
    _, us, memory = measure(lambda: Configuration.restore(data), count)
    add("claim restored", count, us, memory, len(data) / count)
    started = time.perf_counter()
    state.snapshot()
    us = (time.perf_counter() - started) * 1e6 / count
    add("claim in a snapshot", count, us, 0, len(data) / count)
    return rows


def main() -> None:
    """Print the table."""
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
