"""Placement on engines of different speeds, over drawn deployments.

Load pattern: engines of one service at 0.6 to 1.6 times the usual speed, each of them
several times slower for half a second at times, with more long prompts than memory.
"""

import random

import msgspec
import pytest

from mustardtrack.configuration.routes import EngineLimits, Service
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.ports.sync_messages import PromptProgress
from mustardtrack.routing.answertimes import AnswerTimes
from mustardtrack.routing.balancing import choose_endpoint
from mustardtrack.routing.cachesalts import shared_cache
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.enginespeeds import (
    BASE_FIRST_TOKEN_MS,
    SLOT_HOLD_MS,
    EngineSpeeds,
    LoadReport,
)
from mustardtrack.routing.localplacement import Prompt, choose_engine
from mustardtrack.routing.placementmessages import PlacementRequest
from mustardtrack.routing.placements import PlacementTable

USUAL = LoadReport(0, 0, 1.0)


def listed(name, version=1, zone="a"):
    return ListedEndpoint(
        name, 0, "s", f"{name}:1", zone, 32, False, False, {"m": version}
    )


def deployment(engines=4, zones=1, slots=32, memory_tokens=172_572):
    service = Service("s", 400, EngineLimits(slots, memory_tokens, 35_136, ("m",)))
    table = PlacementTable(20_000)
    table.update([listed(f"e{n}", 1, "abc"[n % zones]) for n in range(engines)])
    return table, service


def test_new_weights_are_used_for_a_prefix_that_many_prompts_share():
    """Guards against prompts that all stay on old weights, where their prefix is."""
    table, service = deployment(2)
    report(table, {"e0": 1.0, "e1": 1.0}, 0)
    names = [f"r{n}" for n in range(20)]

    def send(suffix, now_ms, newest):
        parts = [("shared", 13_300), (f"p{suffix}", 1000)]
        request = msgspec.structs.replace(
            prompt(suffix, 14_300), parts=parts, tried=["e1"] if newest == 1 else []
        )
        placed = table.place(request, service, [], {"m": newest}, now_ms)
        table.record_prefilled([suffix], now_ms + 10)
        table.record_end([suffix], now_ms + 20)
        return placed.endpoint

    assert {send(name, 20 * n, 1) for n, name in enumerate(names)} == {"e0"}
    report(table, {"e0": 1.0, "e1": 1.0}, 400)
    table.update([listed("e0", 1), listed("e1", 2)])
    assert send("early", 400, 2) == "e0"
    assert send("late", 1500, 2) == "e1"


def prompt(name, tokens=3000, output_tokens=30, zone="a", time_left_ms=13_000):
    return PlacementRequest(
        name, "s", "m", [(f"p{name}", tokens)], shared_cache(0), tokens, output_tokens,
        1, 884, time_left_ms, zone, [], "",
    )  # fmt: skip


def place(table, service, request, now_ms=0):
    return table.place(request, service, [], {"m": 1}, now_ms)


def report(table, slowdowns, now_ms, outstanding=None):
    loads = {
        name: LoadReport((outstanding or {}).get(name, table.outstanding(name)), 0, one)
        for name, one in slowdowns.items()
    }
    table.record_loads(loads, now_ms)


def test_engines_without_the_figure_keep_the_stated_constants():
    """Guards against other choices where engines are equal and report no speed."""
    speeds = EngineSpeeds(AnswerTimes())
    rng = random.Random(1)
    for number in range(2000):
        engine = f"e{number % 6}"
        speeds.record_answer("s", engine, 20, 200 * rng.uniform(0.7, 1.4), number)
        speeds.record_first_token("s", engine, 5.0, 9, number)
    assert not speeds.is_uneven("s", 2000)
    assert speeds.base_ms("s", 2000) == BASE_FIRST_TOKEN_MS
    assert speeds.slot_hold_ms("s", "e1", 20, 100, 2000) == SLOT_HOLD_MS
    assert speeds.step_factor("s", "e1", 2000) == 1.0
    assert speeds.slowdown_delay_ms("e1", 100, 2000) == 0.0


@pytest.mark.parametrize("seed", range(6))
def test_lasting_speed_of_steps_is_learned_where_engines_report(seed):
    """Guards against one token time for engines that differ by a factor of three.

    Without reports the choices stay as they were, however much answers differ.
    """
    rng = random.Random(seed)
    factors = {f"e{n}": rng.choice([0.6, 1.0, 1.6]) for n in range(9)}
    factors |= {"e0": 0.6, "e1": 0.6, "e2": 1.6, "e3": 1.6}
    times = AnswerTimes()
    speeds = EngineSpeeds(times)
    for number in range(4000):
        engine = rng.choice(sorted(factors))
        duration_ms = 30 * 10 * factors[engine] * rng.uniform(0.8, 1.25)
        times.record("s", 30, duration_ms)
        speeds.record_answer("s", engine, 30, duration_ms, number * 5)
    now_ms = 20_000
    assert not speeds.is_uneven("s", now_ms)
    speeds.record_load("s", "e1", LoadReport(1, 0, 1.0), now_ms)
    assert speeds.is_uneven("s", now_ms)
    for engine, factor in factors.items():
        token_ms = speeds.token_ms("s", engine, now_ms)
        assert 0.8 * factor <= token_ms / 10 <= 1.25 * factor
    # One that is slow because of a fault for a moment is not learned as slow for good.
    speeds.record_load("s", "e0", LoadReport(1, 0, 2.5), now_ms)
    before = speeds.token_ms("s", "e0", now_ms)
    speeds.record_answer("s", "e0", 30, 5000, now_ms + 10)
    assert speeds.token_ms("s", "e0", now_ms) == pytest.approx(before, rel=0.01)


def test_hold_time_and_base_time_replace_the_constants_as_they_are_learned():
    """Guards against refusals by constants of another deployment."""
    times = AnswerTimes()
    speeds = EngineSpeeds(times)
    speeds.record_load("s", "e", USUAL, 0)
    assert speeds.slot_hold_ms("s", "e", 30, 100, 0) == SLOT_HOLD_MS
    for number in range(400):
        times.record("s", 30, 240)
        speeds.record_answer("s", "e", 30, 240, number)
        speeds.record_first_token("s", "e", 5.0, 15, number)
    assert 300 < speeds.slot_hold_ms("s", "e", 30, 100, 400) < 420
    assert 9 < speeds.base_ms("s", 400) < 12


def test_momentary_slowdown_fades_and_only_the_newest_report_counts():
    """Guards against an engine that is avoided for a state that has ended."""
    speeds = EngineSpeeds(AnswerTimes())
    assert speeds.record_load("s", "e", LoadReport(3, 1, 2.5, 40), 1000) is not None
    assert speeds.record_load("s", "e", LoadReport(9, 9, 1.0, 90), 1010) is None
    delays = [speeds.slowdown_delay_ms("e", 200, at) for at in (960, 1200, 1400, 1460)]
    assert delays[0] == 300 and delays == sorted(delays, reverse=True)
    assert delays[-1] == 0


def test_prompts_avoid_an_engine_while_it_is_slow():
    table, service = deployment(3)
    report(table, {"e0": 2.5, "e1": 1.0, "e2": 1.0}, 0)
    chosen = [place(table, service, prompt(f"r{n}"), 1).endpoint for n in range(4)]
    assert "e0" not in chosen[:2]
    later = [place(table, service, prompt(f"l{n}"), 600).endpoint for n in range(3)]
    assert "e0" in later


def test_queue_that_an_engine_reports_corrects_the_count_of_the_leader():
    """Guards against a new leader that takes busy engines for idle ones."""
    table, service = deployment(2)
    report(table, {"e0": 1.0, "e1": 1.0}, 0, {"e0": 40, "e1": 0})
    chosen = [place(table, service, prompt(f"r{n}", 300), 10) for n in range(6)]
    assert {one.endpoint for one in chosen} == {"e1"}


@pytest.mark.parametrize("seed", range(12))
def test_engine_never_gets_more_than_its_memory_holds(seed):
    """Guards against engines that crash because their requests exceed their memory."""
    rng = random.Random(seed)
    memory = rng.choice([60_000, 143_828, 172_572])
    zones = rng.choice([1, 3])
    table, service = deployment(rng.randrange(2, 9), zones, rng.choice([8, 32]), memory)
    factors = {f"e{n}": rng.choice([0.6, 1.0, 1.6]) for n in range(8)}
    held, refused = {}, 0
    for number in range(400):
        now_ms = number * 5
        report(table, {name: rng.choice([1.0, 1.0, 2.5]) for name in factors}, now_ms)
        tokens = rng.choice([300, 3000, 17_000])
        request = prompt(f"r{number}", tokens, 30, rng.choice("abc"[:zones]))
        placed = place(table, service, request, now_ms)
        refused += not placed.endpoint
        if placed.endpoint:
            held[request.request_id] = placed.endpoint, tokens + 30
        for name in [one for one in held if rng.random() < 0.01]:
            table.record_prefilled([name], now_ms)
            table.record_end([name], now_ms)
            del held[name]
        for engine in factors:
            used = sum(tokens for one, tokens in held.values() if one == engine)
            assert used <= memory
    assert refused


def test_prompt_does_not_begin_on_an_engine_that_is_about_to_load():
    """Guards against work on weights that are replaced while it runs."""
    table, service = deployment(3)
    report(table, dict.fromkeys(("e0", "e1", "e2"), 1.0), 0)
    table.winding_down = frozenset({"e0", "e1"})
    chosen = {place(table, service, prompt(f"r{n}"), 1).endpoint for n in range(20)}
    assert chosen <= {"e2", ""}
    # With no engine left, a prompt is served by one that winds down.
    table.winding_down = frozenset({"e0", "e1", "e2"})
    assert place(table, service, prompt("x"), 1000).endpoint in {"e0", "e1"}


def test_router_uses_the_speed_for_its_own_choices_while_it_is_known():
    """Guards against calls and prompts at slow endpoints while others are idle."""
    slow, other = (EndpointState(listed(name)) for name in ("e0", "e1"))
    for state in (slow, other):
        state.record_load(4, 0, 0)
    request = Prompt("m", "", 0, 3000)

    def choices(now_ms):
        args = [slow, other], [], "a", now_ms
        calls = {choose_endpoint(*args, random.Random(n)).id for n in range(20)}
        prompts = {
            choose_engine(args[0], request, 1, [], "a", now_ms, random.Random(n)).id
            for n in range(20)
        }
        return calls, prompts

    both = {"e0", "e1"}
    assert choices(100) == (both, both)
    slow.record_load(4, 0, 0, 2.5)
    other.record_load(4, 0, 0, 1.0)
    assert choices(100) == ({"e1"}, {"e1"})
    assert choices(501) == (both, both)


def test_loads_reach_the_leader_with_their_age():
    """Guards against old reports that replace newer ones of other routers."""
    notices = EndpointNotices()
    notices.loads.record("e0", 30, 9, 2.5, 1000)
    notices.loads.record("e1", 3, 0, None, 1000)
    sent = PromptProgress([], [], [], loads=notices.loads.take_report(1030))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=PromptProgress)
    assert received.loads == {"e0": LoadReport(30, 9, 2.5, 30)}
    assert PromptProgress([], [], [], loads=notices.loads.take_report(1060)) == (
        PromptProgress([], [], [])
    )
    table, _ = deployment(2)
    table.record_loads({"e0": LoadReport(30, 9, 1.0, 5)}, 5010)
    table.record_loads(received.loads, 5010)
    assert table.speeds.slowdown_delay_ms("e0", 100, 5010) == 0.0
    table.record_loads({"gone": LoadReport(1, 1, 9.0)}, 5010)


def test_new_leader_and_lost_reports_leave_the_priors():
    """Guards against figures of an engine that nobody has reported for some time."""
    table, service = deployment(2)
    report(table, {"e0": 2.5, "e1": 1.0}, 0, {"e0": 60, "e1": 0})
    later_ms = 61_000
    assert not table.speeds.is_uneven("s", later_ms)
    other, _ = deployment(2)
    kept = [place(table, service, prompt(f"r{n}"), later_ms) for n in range(8)]
    fresh = [place(other, service, prompt(f"r{n}"), later_ms) for n in range(8)]
    assert kept == fresh
