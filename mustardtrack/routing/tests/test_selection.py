"""Guards against herding, stale or shared cache matches and co-located suspects."""

import random
from dataclasses import replace

import pytest

from mustardtrack.logs import InvariantViolationError
from mustardtrack.routing import (
    CacheIndex,
    Candidate,
    RouteRequest,
    Salt,
    SelectionSettings,
    Selector,
    prefix_chain,
    rank_endpoints,
)

ENGINES = tuple(Candidate(f"engine-{i}", "a", f"z{i % 3}") for i in range(5))


def aged(candidates, age_ms):
    return tuple(replace(each, load_age_ms=age_ms) for each in candidates)


def selector(seed=0, **changes):
    settings = SelectionSettings(**changes)
    return Selector(CacheIndex(10_000), settings, random.Random(seed))


def request(number, chain=(1, 2, 3), **changes):
    fields = {"prompt_tokens": 12_000, "max_tokens": 100} | changes
    return RouteRequest(f"r{number}", "hotel", "urgent", 0, chain, **fields)


@pytest.mark.parametrize("state", ["leaving", "down"])
def test_no_work_for_an_endpoint_that_is_not_up(state):
    candidates = (Candidate("engine-1", "a", "z1", state),)
    assert selector().choose(request(1), candidates, 0).reason == "no_endpoint"


def test_unverified_endpoint_serves_only_when_none_is_up():
    unverified = Candidate("engine-9", "a", "z1", "unverified")
    assert selector().choose(request(1), (unverified,), 0).endpoint == "engine-9"
    both = (unverified, *ENGINES)
    used = {selector(i).choose(request(i, (i,)), both, 0).endpoint for i in range(50)}
    assert "engine-9" not in used


def test_routers_do_not_herd_between_two_load_reports():
    """Eight routers with the same load report must not all pick one idle endpoint."""
    routers = [selector(i) for i in range(8)]
    busy = tuple(
        Candidate(each.name, "a", each.zone, queued_tokens=4000 * i)
        for i, each in enumerate(ENGINES)
    )
    counts = dict.fromkeys([each.name for each in ENGINES], 0)
    for number in range(40):
        router = routers[number % 8]
        reported = aged(busy, number + 1)
        choice = router.choose(request(number, (number,)), reported, number)
        router.dispatched(choice, number)
        counts[choice.endpoint] += 1
    assert max(counts.values()) <= 20


def test_hot_prefix_gains_replicas_and_loses_them_again():
    router = selector(routers=1)
    loaded_choices = []
    for number in range(30):
        choice = router.choose(request(number), aged(ENGINES, 1), 0)
        router.dispatched(choice, 0)
        loaded_choices.append(choice.endpoint)
    assert len(set(loaded_choices)) > 1
    idle_choices = set()
    for number in range(100, 130):
        now_ms = 60_000 + number * 3000
        choice = router.choose(request(number), ENGINES, now_ms)
        router.dispatched(choice, now_ms)
        router.first_token(choice.attempt, choice.cached_tokens, now_ms + 100)
        router.finished(choice.attempt, now_ms + 200)
        idle_choices.add(choice.endpoint)
    assert len(idle_choices) < len(set(loaded_choices))


def test_restarted_router_makes_the_same_choice_as_its_peers():
    """A router with an empty index must not spread known prefixes."""
    names = [each.name for each in ENGINES]
    for number in range(50):
        asked = request(number, (number, number + 1000), level_ends=(1, 2))
        choice = selector(number).choose(asked, ENGINES, 0)
        assert choice.endpoint == rank_endpoints(number, names)[0]


def test_new_incarnation_has_no_match():
    router = selector(home_prior=0.0)
    first = router.choose(request(1), ENGINES, 0)
    router.dispatched(first, 0)
    restarted = tuple(Candidate(each.name, "b", each.zone) for each in ENGINES)
    assert router.choose(request(2), ENGINES, 5).cached_tokens > 0
    assert router.choose(request(3), restarted, 5).cached_tokens == 0


def test_suspect_runs_exclusively_on_one_endpoint_for_all_routers():
    chosen = {
        selector(seed).choose(request(1, suspect=True), ENGINES, 0).endpoint
        for seed in range(8)
    }
    assert len(chosen) == 1
    router = selector()
    exclusive = router.choose(request(1, suspect=True), ENGINES, 0)
    router.dispatched(exclusive, 0)
    for number in range(2, 40):
        other = router.choose(request(number, (number,)), ENGINES, 0)
        assert other.endpoint != exclusive.endpoint
        router.dispatched(other, 0)
    waiting = router.choose(request(50, suspect=True), ENGINES, 0)
    assert waiting.reason == "suspect_waiting"
    router.finished(exclusive.attempt, 10)
    assert router.choose(request(50, suspect=True), ENGINES, 10).endpoint in chosen


def test_dispatch_to_a_reserved_endpoint_is_a_violation():
    router = selector()
    ordinary = router.choose(request(2), ENGINES[:1], 0)
    router.dispatched(router.choose(request(1, suspect=True), ENGINES[:1], 0), 0)
    with pytest.raises(InvariantViolationError):
        router.dispatched(ordinary, 0)


@pytest.mark.parametrize(
    "other",
    [Salt("inn", "m", "1"), Salt("hotel", "n", "1"), Salt("hotel", "m", "2")],
)
def test_no_match_across_accounts_models_or_weights(other):
    levels = ["rules " * 50, "case"]
    mine = prefix_chain(Salt("hotel", "m", "1"), levels, 16)
    index = CacheIndex(1000)
    for digest in mine:
        index.record("engine-1", "a", digest, 1.0, 0)
    assert index.match("engine-1", "a", mine, 0).pieces == len(mine)
    theirs = prefix_chain(other, levels, 16)
    assert index.match("engine-1", "a", theirs, 0).pieces == 0


def test_level_boundaries_are_part_of_the_identity():
    salt = Salt("hotel", "m", "1")
    assert prefix_chain(salt, ["ab", "c"], 4)[-1] != prefix_chain(salt, ["abc"], 4)[-1]
