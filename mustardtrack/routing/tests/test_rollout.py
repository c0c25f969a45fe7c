"""Guards against engines that are updated to new weights late or never."""

import msgspec

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing import rollout as rollout_module
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.rollout import BUSY_QUEUE_MS, MAX_DRAIN_MS
from mustardtrack.routing.weightslimit import WeightsLimit

LIMIT_MS = 15_000
LOAD_MS = 2600


def Rollout(limit_ms, weights_limit=None):  # noqa: N802
    load_times = LoadTimes()
    load_times.record("s", 0, LOAD_MS)
    return rollout_module.Rollout(weights_limit or WeightsLimit(limit_ms), load_times)


def engine(name, version):
    return ListedEndpoint(
        name, 0, "s", "10.0.0.1:1", "a", 8, False, False, {"m": version}
    )


def idle(endpoint_id):
    return 0


def names(orders):
    return [order.endpoint.id for order in orders]


def test_oldest_weights_load_first_when_versions_follow_quickly():
    """Guards against engines at the end of the list that are never updated."""
    engines = [engine("a", 3), engine("b", 3), engine("c", 2), engine("d", 1)]
    assert names(Rollout(LIMIT_MS).plan(engines, {"m": 4}, idle, idle, 0, 0)) == [
        "d",
        "c",
    ]


def test_concurrent_loads_stay_within_the_limit():
    engines = [engine(f"e{n}", 1) for n in range(9)]
    rollout = Rollout(LIMIT_MS)
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, 0, 0)) == 3
    assert rollout.plan(engines, {"m": 2}, idle, idle, 0, 10) == []


def test_engine_is_drained_before_its_order():
    """Guards against placing prompts on an engine that is about to load weights."""
    rollout = Rollout(LIMIT_MS)
    assert rollout.plan([engine("a", 1)], {"m": 2}, lambda name: 1, idle, 0, 0) == []
    assert rollout.pending_endpoints() == {"a"}
    orders = rollout.plan(
        [engine("a", 1)], {"m": 2}, lambda name: 1, idle, 0, MAX_DRAIN_MS
    )
    assert names(orders) == ["a"]


def test_lost_order_is_issued_again():
    rollout = Rollout(LIMIT_MS)
    rollout.plan([engine("a", 1)], {"m": 2}, idle, idle, 0, 0)
    later_ms = MAX_DRAIN_MS + int(rollout.order_timeout_ms("s")) + 1
    assert names(rollout.plan([engine("a", 1)], {"m": 2}, idle, idle, 0, later_ms)) == [
        "a"
    ]


def test_order_of_one_model_is_not_completed_by_another_model():
    """Guards against orders that are sent again while an engine loads."""
    rollout = Rollout(LIMIT_MS)
    newest = {"m": 2, "n": 5}
    old = msgspec.structs.replace(engine("a", 1), weights={"m": 1, "n": 5})
    assert names(rollout.plan([old], newest, idle, idle, 0, 0)) == ["a"]
    assert rollout.plan([old], newest, idle, idle, 0, 100) == []
    new = msgspec.structs.replace(old, weights=newest)
    assert rollout.plan([new], newest, idle, idle, 0, 200) == []
    assert rollout.pending_endpoints() == frozenset()


def test_updated_and_removed_engines_free_capacity_for_further_loads():
    rollout = Rollout(LIMIT_MS)
    engines = [engine(f"e{n}", 1) for n in range(4)]
    first = names(rollout.plan(engines, {"m": 2}, idle, idle, 0, 0))
    assert len(first) == 2
    rest = [engine(first[0], 2)] + [one for one in engines if one.id not in first]
    assert len(rollout.plan(rest, {"m": 2}, idle, idle, 0, 10)) == 2


def test_busy_engines_load_one_by_one_while_the_time_limit_allows():
    """Guards against a traffic burst while a third of the engines are loading."""
    engines = [engine(f"e{n}", 1) for n in range(9)]
    rollout = Rollout(LIMIT_MS)
    busy_ms = BUSY_QUEUE_MS + 1
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, 0)) == 1
    assert rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, 1000) == []
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, LIMIT_MS // 2)) == 2


def test_time_limit_begins_with_the_first_version_that_an_engine_lacks():
    """Guards against deferring the oldest engines while versions keep arriving."""
    engines = [engine(f"e{n}", 1) for n in range(9)]
    rollout = Rollout(LIMIT_MS)
    busy_ms = BUSY_QUEUE_MS + 1
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, 0)) == 1
    assert len(rollout.plan(engines, {"m": 3}, idle, idle, busy_ms, LIMIT_MS // 2)) == 2


def test_new_leader_counts_the_time_limit_from_the_naming():
    """Guards against a leader that takes its first plan for the time of a naming."""
    engines = [engine(f"e{n}", 1) for n in range(9)]
    weights_limit = WeightsLimit(LIMIT_MS)
    weights_limit.adopt({"m": {2: LIMIT_MS // 2}}, 0)
    rollout = Rollout(LIMIT_MS, weights_limit)
    busy_ms = BUSY_QUEUE_MS + 1
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, 0)) == 3


def test_engines_past_the_time_limit_of_their_weights_do_not_wait_for_a_place():
    """Guards against engines that neither take requests nor load."""
    engines = [engine(f"e{n}", 1) for n in range(6)] + [engine("new", 2)] * 3
    weights_limit = WeightsLimit(LIMIT_MS)
    weights_limit.adopt({"m": {2: LIMIT_MS}}, 0)
    rollout = Rollout(LIMIT_MS, weights_limit)
    busy = {"remaining_ms": lambda name: 3000.0, "mean_queue_ms": 2 * BUSY_QUEUE_MS}
    orders = rollout.plan(engines, {"m": 2}, idle, now_ms=0, **busy)
    assert sorted(names(orders)) == [f"e{n}" for n in range(6)]


def test_many_busy_engines_load_several_at_a_time():
    """Guards against 30 engines that load one by one and then all at once."""
    engines = [engine(f"e{n}", 1) for n in range(30)]
    rollout = Rollout(LIMIT_MS)
    busy_ms = BUSY_QUEUE_MS + 1
    assert len(rollout.plan(engines, {"m": 2}, idle, idle, busy_ms, 0)) == 6


def test_engine_whose_answers_end_first_loads_first():
    """Guards against waiting for long answers while another engine is nearly idle."""
    engines = [engine("a", 1), engine("b", 1), engine("c", 1)]
    remaining = {"a": 900, "b": 0, "c": 400}.__getitem__
    orders = Rollout(LIMIT_MS).plan(engines, {"m": 2}, idle, remaining, 0, 0)
    assert names(orders) == ["b", "c"]


def test_engine_stays_in_service_until_its_long_answers_end():
    """Guards against engines that refuse all prompts while they decode for seconds."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine(f"e{n}", 1) for n in range(6)]
    remaining = {one.id: 4 * LOAD_MS for one in engines}
    assert rollout.plan(engines, {"m": 2}, idle, remaining.get, 0, 0) == []
    assert rollout.pending_endpoints() == frozenset()
    chosen = rollout.winding_down()
    assert len(chosen) == 3
    first = sorted(chosen)[0]
    remaining[first] = 100
    assert names(rollout.plan(engines, {"m": 2}, idle, remaining.get, 0, 500)) == [
        first
    ]
    # The others are not waited for without end.
    later_ms = int(rollout_module.MAX_WIND_DOWN_FRACTION * LIMIT_MS)
    orders = rollout.plan(engines, {"m": 2}, idle, remaining.get, 0, later_ms)
    assert len(orders) == 1
    assert rollout.pending_endpoints() >= {first}


def test_unreachable_engine_leaves_its_place_to_another():
    """Guards against a crashed engine that holds one of the concurrent loads."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine(f"e{n}", 1) for n in range(4)]
    first = names(rollout.plan(engines, {"m": 2}, idle, idle, 0, 0))
    rollout.defer_order(first[0], 100)
    others = names(rollout.plan(engines, {"m": 2}, idle, idle, 0, 100))
    assert len(others) == 1 and first[0] not in others
    rollout.discard_order(first[1])
    rollout.discard_order(others[0])
    later_ms = 100 + rollout_module.UNREACHABLE_PAUSE_MS
    assert first[0] in names(rollout.plan(engines, {"m": 2}, idle, idle, 0, later_ms))


def test_order_in_progress_is_not_issued_again():
    """Guards against a second load of an engine that waits for long answers."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine("a", 1)]
    rollout.plan(engines, {"m": 2}, idle, idle, 0, 0)
    for now_ms in range(0, 3 * LIMIT_MS, 500):
        rollout.renew_order("a", now_ms)
        assert rollout.plan(engines, {"m": 2}, idle, idle, 0, now_ms) == []


def test_engines_wind_down_while_no_orders_may_be_issued():
    """Guards against a new leader that loses the time until its first order."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine(f"e{n}", 1) for n in range(6)]

    def plan(now_ms, may_order):
        long = 4 * LOAD_MS
        return rollout.plan(
            engines, {"m": 2}, idle, lambda name: long, 0, now_ms, may_order
        )

    assert plan(0, may_order=False) == []
    assert len(rollout.winding_down()) == 3
    later_ms = int(rollout_module.MAX_WIND_DOWN_FRACTION * LIMIT_MS)
    assert plan(later_ms, may_order=False) == []
    assert len(plan(later_ms, may_order=True)) == 2


def test_next_version_does_not_find_engines_that_wound_down_before():
    """Guards against orders without a wind-down for the next version."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine("a", 1), engine("b", 1)]

    def plan(version, now_ms):
        long = 4 * LOAD_MS
        return rollout.plan(
            engines, {"m": version}, idle, lambda name: long, 0, now_ms, False
        )

    plan(2, 0)
    rollout.end_wind_down()
    engines = [engine("a", 2), engine("b", 2)]
    plan(3, 10 * LIMIT_MS)
    orders = rollout.plan(
        engines, {"m": 3}, idle, lambda name: 4 * LOAD_MS, 0, 10 * LIMIT_MS + 50
    )
    assert orders == []


def test_engines_with_short_answers_wind_down_only_for_a_free_place():
    """Guards against a fleet that keeps long prompts off engines for no reason."""
    rollout = Rollout(LIMIT_MS)
    engines = [engine(f"e{n}", 1) for n in range(10)]
    short = LOAD_MS / 4
    orders = rollout.plan(engines, {"m": 2}, idle, lambda name: short, 0, 0)
    assert len(orders) == 4
    rollout.plan(engines, {"m": 2}, idle, lambda name: short, 0, 100)
    assert rollout.winding_down() == frozenset()
