"""Scaling of endpoint selection, the cache index and prefix chains."""

import random
import time
from types import SimpleNamespace
from typing import Any

from bench.capacity_membership import make_observations
from bench.configuration import apply_all, make_objects
from bench.scaling import Result, Series, time_us, traced_bytes
from mustardtrack.configuration import (
    Configuration,
    ConfigurationCopy,
    encode_proposal,
)
from mustardtrack.membership import EndpointTable
from mustardtrack.process.model_queues import build_candidates
from mustardtrack.routing import CacheIndex, SelectionSettings, Selector
from mustardtrack.routing.choices import RouteRequest
from mustardtrack.routing.loads import Candidate
from mustardtrack.routing.prefixes import Salt, prefix_chain

SCALES = (0.1, 0.25, 0.5, 1.0)
ENDPOINTS = 11_000
MODELS = 12
ENTRY_COUNTS = (50_000, 100_000, 200_000, 400_000)
DECISIONS = 500
PROMPT_SIZES_KB = (4, 16, 64, 256)
PIECE_CHARS = 4096


def make_candidates(count: int) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(f"engine-{n}", "0" * 32, f"zone-{n % 12}") for n in range(count)
    )


def make_request(rng: random.Random, number: int) -> RouteRequest:
    """Return a request of 8 pieces in 3 levels, with one of 2,000 shared prefixes."""
    prefix_rng = random.Random(rng.randrange(2000))
    chain = [prefix_rng.getrandbits(128) for _ in range(6)]
    chain += [rng.getrandbits(128) for _ in range(2)]
    return RouteRequest(
        f"r{number}",
        "hotel",
        "urgent",
        0,
        tuple(chain),
        8000,
        200,
        zone="zone-1",
        level_ends=(3, 6, 8),
    )


def fill_index(entries: int, endpoints: int, rng: random.Random) -> CacheIndex:
    index = CacheIndex(entries)
    for _ in range(entries):
        name = f"engine-{rng.randrange(endpoints)}"
        index.record(name, "0" * 32, rng.getrandbits(128), 0.8, 0)
    return index


def dispatch_all(
    selector: Selector,
    requests: list[RouteRequest],
    candidates: tuple[Candidate, ...],
) -> None:
    for request in requests:
        choice: Any = selector.choose(request, candidates, 1000)
        selector.dispatched(choice, 1000)
        selector.finished(choice.attempt, 1000)


def measure_decisions(seed: int) -> list[Result]:
    """Measure endpoint selection against the number of candidates."""
    choice_cost = Series("choose, dispatched, finished", "us", "candidates")
    first_choice = Series("first choose on a new candidate list", "us", "candidates")
    headroom = Series("headroom_tokens", "us", "candidates")
    memory = Series("Selector state", "bytes", "candidates")
    for scale in SCALES:
        count = int(ENDPOINTS * scale)
        rng = random.Random(seed)
        candidates = make_candidates(count)
        index = fill_index(50_000, count, rng)
        settings = SelectionSettings()

        def build(
            index: CacheIndex = index,
            settings: SelectionSettings = settings,
            rng: random.Random = rng,
            candidates: tuple[Candidate, ...] = candidates,
        ) -> Selector:
            selector = Selector(index, settings, rng)
            selector.headroom_tokens(candidates, 1000)
            return selector

        selector, allocated = traced_bytes(build)
        memory.add(count, allocated)
        requests = [make_request(rng, n) for n in range(DECISIONS)]
        dispatch_all(selector, requests, candidates)
        choice_cost.add(
            count,
            time_us(lambda: dispatch_all(selector, requests, candidates), DECISIONS),  # noqa: B023
        )
        first_choice.add(
            count,
            time_us(lambda: selector.choose(requests[0], list(candidates), 1000)),  # noqa: B023
        )
        headroom.add(
            count,
            time_us(lambda: selector.headroom_tokens(candidates, 1000)),  # noqa: B023
        )
    return [choice_cost, first_choice, headroom, memory, *measure_candidate_lists()]


def measure_candidate_lists() -> list[Result]:
    """Measure building the candidate list of one of 12 models and of all endpoints."""
    one_model = Series("build_candidates, one of 12 models", "us", "endpoints")
    all_endpoints = Series("EndpointTable.candidates, all endpoints", "us", "endpoints")
    for scale in SCALES:
        objects = [encode_proposal(item) for item in make_objects(scale)]
        state = apply_all(Configuration(), objects)
        configuration = ConfigurationCopy()
        configuration.apply(state.revision, [], state.copy_snapshot())
        count = int(ENDPOINTS * scale)
        table = EndpointTable(3000)
        for observation in make_observations(count, 3):
            table.observe(observation, 0)
        shared_state: Any = SimpleNamespace(
            configuration=configuration, endpoints=table
        )
        one_model.add(
            count,
            time_us(lambda: build_candidates(shared_state, "engine", "model-1", 10)),  # noqa: B023
        )
        names = list(configuration.objects("endpoint"))
        all_endpoints.add(count, time_us(lambda: table.candidates(names, 10)))  # noqa: B023
    return [one_model, all_endpoints]


def measure_index(seed: int) -> list[Result]:
    """Measure the cache index against its number of entries."""
    memory = Series("CacheIndex", "bytes", "entries")
    record = Series("CacheIndex.record", "us", "entries")
    evict = Series("CacheIndex.evict", "us", "entries")
    match = Series("CacheIndex.match of 8 pieces", "us", "entries")
    choice_cost = Series("choose at 2,200 candidates", "us", "entries")
    candidates = make_candidates(2200)
    for entries in ENTRY_COUNTS:
        rng = random.Random(seed)
        index, allocated = traced_bytes(lambda: fill_index(entries, 2200, rng))  # noqa: B023
        memory.add(entries, allocated)
        digests = [rng.getrandbits(128) for _ in range(2000)]

        def record_all(index: CacheIndex = index, digests: Any = digests) -> None:
            for digest in digests:
                index.record("engine-7", "0" * 32, digest, 1.0, 1000)

        record.add(entries, time_us(record_all, len(digests)))
        chains = [tuple(digests[n : n + 8]) for n in range(0, 2000, 8)]

        def match_all(index: CacheIndex = index, chains: Any = chains) -> None:
            for chain in chains:
                index.match("engine-7", "0" * 32, chain, 1000)

        match.add(entries, time_us(match_all, len(chains)))

        min_s = float("inf")
        for _ in range(3):
            started = time.process_time()
            for digest in digests:
                index.evict("engine-7", digest)
            min_s = min(min_s, time.process_time() - started)
            record_all()
        evict.add(entries, min_s * 1e6 / len(digests))
        selector = Selector(index, SelectionSettings(), rng)
        requests = [make_request(rng, n) for n in range(DECISIONS)]
        choice_cost.add(
            entries,
            time_us(lambda: dispatch_all(selector, requests, candidates), DECISIONS),  # noqa: B023
        )
    return [memory, record, evict, match, choice_cost]


def measure_prefixes(seed: int) -> list[Result]:
    """Measure computing a prefix chain against the length of the prompt."""
    chain = Series("prefix_chain, 4,096 characters per piece", "us", "KB of prompt")
    salt = Salt("hotel", "model-1", "v1")
    rng = random.Random(seed)
    for size_kb in PROMPT_SIZES_KB:
        text = "".join(rng.choices("abcdefgh ", k=size_kb * 1024))
        call_count = 200

        def compute_all_chains(text: str = text, call_count: int = call_count) -> None:
            for _ in range(call_count):
                prefix_chain(salt, [text], PIECE_CHARS)

        chain.add(size_kb, time_us(compute_all_chains, call_count))
    return [chain]
