"""Guards against small routers that get as many callers as large ones.

Load pattern: three of four routers have a third of the resources of the others, and
callers choose at random among the addresses of an answer.
"""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.membership.directory import (
    MAX_ADDRESSES,
    RouterDirectory,
    RouterEntry,
)
from mustardtrack.membership.routershares import (
    RouterCapacity,
    count_places,
    weigh_routers,
)

SMALL = RouterCapacity(387, 160, 1638, 3750)
LARGE = RouterCapacity(1290, 440, 10_250, 12_500)
LEASE_MS = 1400


def build_directory(capacities, zone="a"):
    directory = RouterDirectory(LEASE_MS)
    for number, capacity in enumerate(capacities):
        directory.report(
            RouterEntry(f"r{number}", zone, f"r{number}", True, 0, capacity)
        )
    return directory


def test_connections_follow_the_resources():
    """Guards against overloaded small routers beside idle large ones."""
    directory = build_directory([SMALL] * 14 + [LARGE] * 4)
    rng = random.Random(1)
    answer = directory.choose("a", 100)
    chosen = Counter(rng.choice(answer) for _ in range(40_000))
    small = sum(chosen[f"r{number}"] for number in range(14)) / 14
    large = sum(chosen[f"r{number}"] for number in range(14, 18)) / 4
    # Memory is the resource of which the large ones have least in proportion.
    assert 2.2 < large / small < 3.4


@pytest.mark.parametrize(
    "capacities",
    [
        [RouterCapacity()] * 5,
        [SMALL] * 5,
        [RouterCapacity(387, 160), RouterCapacity(400, 170)],
        [SMALL, RouterCapacity()],
    ],
)
def test_routers_that_are_alike_or_not_known_are_named_once(capacities):
    """Guards against a change where a deployment has equal routers."""
    answer = build_directory(capacities).choose("a", 100)
    assert answer == sorted(f"r{number}" for number in range(len(capacities)))


def test_router_near_a_bound_gets_fewer_connections_and_stays_named():
    """Guards against callers that close connections to a router under load."""
    pressed = RouterCapacity(1290, 440, 10_250, 12_500, 95)
    counts = Counter(build_directory([LARGE, LARGE, pressed]).choose("a", 100))
    assert 0 < counts["r2"] < counts["r0"] == counts["r1"]


def test_frozen_router_leaves_the_answers_and_the_others_take_its_share():
    directory = build_directory([SMALL, LARGE])
    assert set(directory.choose("a", LEASE_MS - 1)) == {"r0", "r1"}
    directory.report(RouterEntry("r0", "a", "r0", True, LEASE_MS, SMALL))
    assert directory.choose("a", LEASE_MS + 1) == ["r0"]


CAPACITIES = st.builds(
    RouterCapacity,
    st.integers(0, 10_000),
    st.integers(0, 100_000),
    st.integers(0, 10**6),
    st.integers(0, 10**7),
    st.integers(0, 1000),
)


@given(st.lists(CAPACITIES, max_size=80))
def test_every_ready_router_is_named_within_the_size_of_an_answer(capacities):
    answer = build_directory(capacities).choose("a", 100)
    assert len(answer) <= MAX_ADDRESSES
    assert len(set(answer)) == min(len(capacities), MAX_ADDRESSES)


@given(st.lists(st.floats(0.01, 100), min_size=1, max_size=64))
def test_places_grow_with_the_weights(weights):
    places = count_places(weights, MAX_ADDRESSES)
    assert sum(places) <= MAX_ADDRESSES and min(places) >= 1
    for weight, count in zip(weights, places, strict=True):
        if weight == max(weights):
            assert count >= max(places) - 1


def test_weights_of_no_router_are_none():
    assert weigh_routers([]) == [] and count_places([], 64) == []
