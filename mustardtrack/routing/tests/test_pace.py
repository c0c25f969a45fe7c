"""Adaptive slow start under constructed load and failures."""

import pytest

from mustardtrack.configuration.routes import EngineLimits, Service
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.enginestate import EngineState
from mustardtrack.routing.pace import (
    LONGEST_CLOSED_MS,
    TAKEOVER_MS,
    AdaptivePace,
    FixedBackoff,
)
from mustardtrack.routing.pacemessages import PaceReport
from mustardtrack.routing.paceshares import OUT_OF_TOUCH_MS
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.routing.tests.test_placements import prompt
from mustardtrack.testing.pacesimulation import (
    SimulatedEndpoint,
    Simulation,
    make_endpoint,
)

SERVICE = Service("s", 370, EngineLimits(12, 160_000, 35_136, ("m",), 180_000.0))


def make_leader(listed, now_ms=0):
    """Return a leader that has seen an endpoint join."""
    leader = AdaptivePace()
    leader.begin_term(1, now_ms)
    leader.update([make_endpoint("other")], now_ms)
    leader.update([make_endpoint("other"), listed], now_ms)
    return leader


def simulate(routers=10, **model):
    endpoint = SimulatedEndpoint(make_endpoint(slots=12), **model)
    simulation = Simulation(endpoint, make_leader(endpoint.listed), routers)
    for shares in simulation.shares:
        shares.record_list([make_endpoint("other")], 0)
        shares.record_list([make_endpoint("other"), endpoint.listed], 0)
    return simulation


def test_routers_send_no_first_burst_to_an_endpoint_that_joined():
    """Guards against 50 routers that each flood an endpoint that looks idle."""
    simulation = simulate(routers=50, cold_answers=60, cold_factor=6.0)
    counts = simulation.run(0, 500)
    assert 1 <= counts.sent
    assert counts.most <= 12
    assert counts.unrepeatable_probes == 0


def test_a_cold_start_ends_when_health_is_shown():
    """Guards against an endpoint that stays below its share although it is healthy."""
    simulation = simulate(cold_answers=40, cold_factor=6.0)
    counts = simulation.run(0, 10_000)
    assert counts.full_ms is not None
    assert simulation.leader.shares("r0", 10_000) == {}


def test_a_slow_but_sound_endpoint_reaches_its_share():
    """Guards against taking the lasting speed of an endpoint for a fault."""
    counts = simulate(work_ms=250.0).run(0, 15_000)
    assert counts.full_ms is not None


def test_an_endpoint_that_fails_all_gets_single_probes():
    """Guards against an endpoint that answers fast, says it is well and fails all."""
    simulation = simulate(fails=lambda now_ms: True)
    counts = simulation.run(0, 20_000)
    assert counts.full_ms is None
    # The closed time doubles to its longest; each period may begin with one request
    # of the router that has the window and one of the router that had it before.
    assert counts.failed <= 2 * (20_000 / LONGEST_CLOSED_MS + 4)
    assert counts.unrepeatable_probes == 0


def test_an_endpoint_that_flaps_is_probed_less_with_each_relapse():
    """Guards against a full share for an endpoint that works for moments only."""
    simulation = simulate(fails=lambda now_ms: now_ms // 300 % 2 == 0)
    counts = simulation.run(0, 20_000)
    assert counts.sent < 0.25 * 12 * 20_000 / 70
    assert counts.failed < counts.sent


def test_one_router_that_cannot_reach_an_endpoint_hardly_limits_it():
    """Guards against a healthy endpoint that stays limited by a fault on one way."""
    leader = AdaptivePace()
    leader.update([make_endpoint()], 0)
    for start_ms in range(0, 40_000, 4000):
        leader.record_unreachable(["x"], start_ms)
        assert leader.window("x", start_ms + 200) == 1
        leader.record_reports({"x": PaceReport(1, [1.0])}, start_ms + 300)
        assert leader.window("x", start_ms + 300) >= 6
        leader.record_reports({"x": PaceReport(1, [1.0] * 6)}, start_ms + 400)
        assert not leader.is_paced("x")


def test_a_router_that_cannot_reach_an_endpoint_leaves_probes_to_others():
    """Guards against one cut link that takes an endpoint from all routers."""
    simulation = simulate(routers=1)
    shares, state = simulation.shares[0], simulation.states[0]
    shares.adopt(simulation.leader.shares("r0", 0), 0)
    assert shares.find_probe([state], True, 0) is state
    assert shares.find_probe([state], False, 0) is None
    state.record_unreachable(0)
    assert shares.find_probe([state], True, 1) is None


def engine(name, started_ms=1):
    return ListedEndpoint(
        name, started_ms, "s", f"{name}:1", "a", 12, False, False, {"m": 1}
    )


def place_all(table, count, now_ms, may_probe=True, **fields):
    placements = []
    for number in range(count):
        request = prompt(f"{now_ms}-{number}", f"o{number}", 200, **fields)
        request = type(request)(
            **{
                name: getattr(request, name)
                for name in request.__struct_fields__
                if name != "may_probe"
            },
            may_probe=may_probe,
        )
        placements.append(table.place(request, SERVICE, [], {"m": 1}, now_ms))
    return [one.endpoint for one in placements]


def test_a_third_of_the_engines_recovers_without_a_burst():
    """Guards against all prompts going to ten idle engines that have just recovered."""
    engines = [engine(f"e{number}") for number in range(9)]
    table = PlacementTable(15_000, AdaptivePace())
    table.update(engines, 0)
    silent = {"e0", "e1", "e2"}
    table.record_unreachable(silent, 1000)
    assert not silent & set(place_all(table, 30, 1001))
    chosen = place_all(table, 30, 1300)
    # One probe for each of them once the closed time is over.
    assert [chosen.count(name) for name in sorted(silent)] == [1, 1, 1]
    answers = {name: PaceReport(1, [1.0] * 11) for name in silent}
    table.pace.record_reports(answers, 1400)
    assert not any(table.pace.is_paced(name) for name in silent)


def test_prompts_that_may_not_be_repeated_do_not_probe():
    """Guards against losing a request that runs at most once at a broken engine."""
    table = PlacementTable(15_000, AdaptivePace())
    table.update([engine("e0")], 0)
    table.update([engine("e0"), engine("e1")], 0)
    assert set(place_all(table, 10, 10, may_probe=False)) == {"e0"}


def test_pace_never_leaves_a_prompt_without_an_engine():
    """Guards against refusals while all engines are being paced."""
    table = PlacementTable(15_000, AdaptivePace())
    table.update([engine("e0"), engine("e1")], 0)
    table.record_unreachable(["e0", "e1"], 0)
    assert all(place_all(table, 4, 10, may_probe=False))


def test_a_new_leader_goes_on_from_what_routers_hold():
    """Guards against a second first burst, or a restart from one, by a new leader."""
    simulation = simulate(work_ms=200.0)
    simulation.run(0, 700)
    before = simulation.leader.window("x", 700)
    assert before is not None and 2 <= before < 12
    new = AdaptivePace()
    new.update([make_endpoint("other"), simulation.endpoint.listed], 0)
    new.begin_term(2, 700)
    for shares in simulation.shares:
        shares.report_again()
        new.record_reports(shares.take_report(), 700)
    assert 1 <= new.window("x", 700) <= before + 1
    simulation.leader = new
    assert simulation.run(700, 12_000).full_ms is not None


def test_a_new_leader_forgets_what_joined_long_ago():
    """Guards against pacing healthy endpoints again because a leader has changed."""
    leader = make_leader(make_endpoint())
    leader.begin_term(2, TAKEOVER_MS + 1)
    assert not leader.is_paced("x")


def test_state_is_discarded_with_the_identity():
    """Guards against reports about an earlier incarnation of an endpoint."""
    leader = make_leader(make_endpoint())
    leader.record_reports({"x": PaceReport(1, [1.0] * 5)}, 10)
    assert leader.window("x", 10) == 6
    leader.update([make_endpoint("other"), make_endpoint(started_ms=2)], 20)
    leader.record_reports({"x": PaceReport(1, [1.0] * 20)}, 30)
    assert leader.window("x", 30) == 1


def test_two_routers_out_of_touch_go_on_from_their_shares():
    """Guards against routers that flood, or starve, an endpoint while cut off."""
    simulation = simulate(routers=10, work_ms=200.0)
    simulation.run(0, 1000)
    simulation.cut_off = {0, 1}
    simulation.run(1000, 1000 + OUT_OF_TOUCH_MS)
    for router in simulation.cut_off:
        shares, state = simulation.shares[router], simulation.states[router]
        now_ms = 1000 + 2 * OUT_OF_TOUCH_MS
        state.in_flight = 0
        assert state in shares.open_endpoints([state], True, now_ms)
        state.in_flight = 2
        other = simulation._other
        assert shares.open_endpoints([state, other], True, now_ms) == [other]
    assert simulation.run(1000 + OUT_OF_TOUCH_MS, 15_000).full_ms is not None


@pytest.mark.parametrize("count", [2, 7, 57])
def test_shares_add_up_to_the_window(count):
    """Guards against a first burst from shares that are rounded up."""
    leader = make_leader(make_endpoint())
    leader.record_reports({"x": PaceReport(1, [1.0] * 4)}, 0)
    for now_ms in (0, 500, 1000, 1700):
        for number in range(count):
            leader.shares(f"r{number}", now_ms)
        shares = [leader.shares(f"r{number}", now_ms)["x"] for number in range(count)]
        assert sum(share.share + share.extra for share in shares) == 5


def test_every_router_gets_its_turn():
    """Guards against an idle endpoint whose only probe belongs to a router at rest."""
    leader = make_leader(make_endpoint())
    turns = set()
    for now_ms in range(0, 10_000, 500):
        for number in range(10):
            leader.shares(f"r{number}", now_ms)
        for number in range(10):
            if leader.shares(f"r{number}", now_ms)["x"].extra:
                turns.add(number)
    assert turns == set(range(10))


def test_one_failed_answer_costs_half_a_share_for_a_moment():
    """Guards against one failure of a healthy endpoint that stops its traffic."""
    leader = AdaptivePace()
    leader.update([make_endpoint()], 0)
    leader.record_reports({"x": PaceReport(1, failed=1)}, 0)
    assert leader.window("x", 0) >= 3
    leader.record_reports({"x": PaceReport(1, [1.0] * 12)}, 100)
    assert not leader.is_paced("x")


def test_nothing_is_sent_or_changed_while_no_endpoint_is_paced():
    """Guards against a cost for deployments whose endpoints are all healthy."""
    simulation = simulate()
    simulation.leader = AdaptivePace()
    simulation.leader.update([simulation.endpoint.listed], 0)
    simulation.run(0, 1000)
    assert simulation.leader.shares("r0", 1000) == {}
    assert all(shares.take_report() == {} for shares in simulation.shares)


def test_fixed_backoff_ends_with_the_incarnation():
    """Guards against a change for deployments without adaptive slow start."""
    pace = FixedBackoff()
    one, other = engine("e0"), engine("e1")
    pace.update([one, other], 0)
    states = [EngineState(one), EngineState(other)]
    pace.record_unreachable(["e0"], 0)
    assert pace.select(states, False, 1499) == states[1:]
    assert pace.select(states, False, 1500) == states
    pace.record_unreachable(["e0"], 2000)
    pace.update([engine("e0", started_ms=2), other], 2000)
    assert pace.select([EngineState(engine("e0", 2)), states[1]], False, 2001)[0]


def test_start_reduction_and_end_are_logged():
    """Guards against a pace that operators cannot see."""
    seen = []

    def listen(event, fields):
        seen.append(event.number)

    add_event_listener(listen)
    try:
        leader = make_leader(make_endpoint())
        leader.record_reports({"x": PaceReport(1, failed=1)}, 10)
        leader.record_reports({"x": PaceReport(1, [1.0] * 12)}, 400)
    finally:
        remove_event_listener(listen)
    assert seen == [8844, 8846, 8845]
