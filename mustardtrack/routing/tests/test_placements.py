"""Placement of prompts under constructed load patterns."""

from collections import Counter, deque

from mustardtrack.configuration.routes import EngineLimits, Service
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.cachesalts import cache_salt, own_cache, shared_cache
from mustardtrack.routing.placementmessages import PlacementRequest
from mustardtrack.routing.placements import PlacementTable

SERVICE = Service("s", 370, EngineLimits(64, 160_000, 35_136, ("m",), 180_000.0))
SALT = cache_salt("m", 1, shared_cache(0))
STORE = Service(
    "k",
    90,
    kv_store_address="10.0.0.99:1",
    kv_store_zone="a",
    kv_store_tokens=1_000_000,
    kv_store_link_mbps=75_000.0,
)


def engine(name, zone="a", version=1, **state):
    return ListedEndpoint(
        id=name,
        started_ms=state.get("started_ms", 0),
        service="s",
        address=f"10.0.0.{name}:1",
        zone=zone,
        slots=64,
        is_draining=state.get("is_draining", False),
        is_loading=state.get("is_loading", False),
        weights={"m": version},
    )


def prompt(name, prefix="o", tokens=17_000, rank=0, **fields):
    shared = tokens * 3 // 4
    return PlacementRequest(
        request_id=name,
        service="s",
        model="m",
        parts=[(prefix, shared), (f"p{name}", tokens - shared)],
        cache=fields.get("cache", shared_cache(0)),
        tokens=tokens,
        output_tokens=40,
        rank=rank,
        objective_ms=fields.get("objective_ms", 1000),
        time_left_ms=12_000,
        zone=fields.get("zone", "a"),
        tried=fields.get("tried", []),
        router=fields.get("router", ""),
    )


def make(*names):
    table = PlacementTable(15_000)
    table.update([engine(name) for name in names])
    return table


def place(table, request, now_ms=0, store=None, weights=None):
    stores = [store] if store else []
    return table.place(request, SERVICE, stores, weights or {"m": 1}, now_ms)


def test_simultaneous_long_prompts_spread_over_idle_engines():
    """Guards against routers that all select the engine that looks idle."""
    table = make("1", "2", "3")
    chosen = [place(table, prompt(str(n), f"o{n}")).endpoint for n in range(6)]
    assert sorted(chosen) == ["1", "1", "2", "2", "3", "3"]


def test_same_prefix_is_placed_on_the_engine_that_cached_it():
    table = make("1", "2", "3")
    first = place(table, prompt("a")).endpoint
    table.record_prefilled(["a"], 0)
    table.record_end(["a"])
    assert place(table, prompt("b")).endpoint == first


def test_prefix_of_a_loaded_engine_is_fetched_by_another():
    """Guards against recomputing a prefix that another engine has cached."""
    table = make("1", "2")
    first = place(table, prompt("a")).endpoint
    table.record_prefilled(["a"], 0)
    other_requests = [prompt(f"x{n}", f"q{n}") for n in range(6)]
    for request in other_requests:
        table.place(request, SERVICE, [], {"m": 1}, 0)
    placements = [place(table, prompt(f"b{n}")) for n in range(4)]
    moved = [one for one in placements if one.endpoint != first]
    # Only the first one fetches; later ones find its parts in the cache.
    assert moved[0].fetch_from == f"10.0.0.{first}:1"


def test_prefix_whose_prefill_is_incomplete_is_no_source():
    """Guards against fetches that miss, so that the prefix is computed twice."""
    table = make("1", "2")
    place(table, prompt("a"))
    other = place(table, prompt("b", tried=["1"]))
    assert other.fetch_from == ""


def test_store_provides_a_prefix_that_all_engines_have_lost():
    """Guards against recomputing a prefix that the store holds."""
    table = make("1")
    assert place(table, prompt("a"), store=STORE).save_to == "10.0.0.99:1"
    table.record_prefilled(["a"], 0)
    table.update([engine("2")])
    again = place(table, prompt("c"), 1000, store=STORE)
    assert again.fetch_from == "10.0.0.99:1"
    assert again.save_to == ""


def test_saves_stay_within_the_capacity_of_the_store_link():
    """Guards against fetches that wait seconds behind saves on the store's link."""
    table = make("1", "2", "3")
    saves = 0
    for number in range(30):
        for use in range(2):
            request = prompt(f"{number}.{use}", f"o{number}")
            saves += bool(place(table, request, store=STORE).save_to)
    # One save occupies the link for 64 to 128 ms and may wait for at most 600 ms.
    assert 0 < saves <= 11


def test_short_prompts_do_not_use_the_store():
    table = make("1")
    requests = [prompt(str(n), tokens=400) for n in range(5)]
    assert not any(place(table, one, store=STORE).save_to for one in requests)


def test_new_leader_places_prefixes_on_the_same_engines():
    """Guards against recomputing all prefixes after a change of leader."""
    first, second = make("1", "2", "3"), make("1", "2", "3")
    for number in range(20):
        request = prompt(f"r{number}", f"o{number}")
        chosen = place(first, request, number * 5000).endpoint
        first.record_end([request.request_id])
        assert place(second, request, number * 5000).endpoint == chosen
        second.record_end([request.request_id])


def test_isolated_account_shares_no_cache():
    table = make("1", "2")
    place(table, prompt("a"))
    table.record_prefilled(["a"], 0)
    isolated = place(table, prompt("b", cache=own_cache("t"), tried=["1"]))
    assert isolated.fetch_from == ""


def test_restart_or_new_weights_clear_the_cache():
    """Guards against using cache entries of a restarted engine or older weights."""
    for changed in (engine("1", started_ms=5), engine("1", version=2)):
        table = make("1")
        place(table, prompt("a"))
        table.record_prefilled(["a"], 0)
        table.update([changed, engine("2", version=changed.weights["m"])])
        placed = place(table, prompt("b", tried=["1"]), weights=changed.weights)
        assert placed.fetch_from == ""


def test_loading_draining_and_tried_engines_get_no_prompts():
    table = PlacementTable(15_000)
    table.update(
        [engine("1", is_loading=True), engine("2", is_draining=True), engine("3")]
    )
    assert place(table, prompt("a")).endpoint == "3"
    assert place(table, prompt("b", tried=["3"])).endpoint == ""


def test_unreachable_engine_backs_off_for_all_routers():
    table = make("1", "2")
    table.record_unreachable(["1"], 0)
    assert {place(table, prompt(str(n)), 10).endpoint for n in range(4)} == {"2"}
    assert place(table, prompt("z"), 5000).endpoint == "1"


def test_superseded_weights_are_avoided_once_they_lose_value():
    """Guards against responses on old weights while updated engines are idle."""
    table = PlacementTable(15_000)
    table.update([engine("1", version=1), engine("2", zone="b", version=2)])
    assert place(table, prompt("a"), 0, weights={"m": 2}).endpoint == "1"
    assert place(table, prompt("b"), 2000, weights={"m": 2}).endpoint == "2"


def test_request_of_a_failed_router_expires():
    table = make("1")
    place(table, prompt("a"), 0)
    assert table.outstanding("1") == 1
    place(table, prompt("b"), 20_000)
    assert table.outstanding("1") == 1


def test_prompt_that_would_be_late_does_not_delay_those_behind_it():
    """Guards against a burst of long prompts that are all late instead of a few."""
    table = make("1")
    placements = [place(table, prompt(str(n), f"o{n}")) for n in range(3)]
    assert [one.urgency for one in placements[:1]] == [0]
    assert placements[-1].urgency > 0
    # A fourth prompt would be served after later ones and exceed its caller's timeout.
    assert place(table, prompt("3", "o3")).exceeds_caller_timeout
    table.record_prefilled(["0"], 0)
    table.record_end(["0"])
    assert place(table, prompt("z", "oz")).urgency == 0


def test_long_prompts_do_not_wait_behind_short_ones_with_more_time():
    """Guards against long prompts delayed by a burst of short ones of their class."""
    table = make("1")
    for number in range(60):
        request = prompt(f"s{number}", f"q{number}", tokens=400, objective_ms=2500)
        place(table, request)
    longer = place(table, prompt("long"))
    assert longer.expected_ms < 1000
    more_urgent = prompt("u", tokens=400, objective_ms=2500, rank=0)
    less_urgent = prompt("l", rank=1)
    urgencies = [place(table, one).urgency for one in (more_urgent, less_urgent)]
    assert longer.urgency < urgencies[0] < urgencies[1]


def test_short_prompts_spread_over_batches_while_long_ones_wait():
    """Guards against a full batch on the only engine that has no long prompts.

    Load pattern: a burst of short prompts while the other engines prefill long ones.
    The short ones have time to wait, while a full batch would delay the long prompts
    that follow.
    """
    names = ("1", "2", "3", "4")
    table = make(*names)
    for name in names[1:]:
        others = [other for other in names if other != name]
        place(table, prompt(f"long{name}", f"o{name}", tokens=20_000, tried=others))
    for number in range(60):
        request = prompt(f"s{number}", f"q{number}", tokens=400, objective_ms=2500)
        place(table, request)
        table.record_prefilled([request.request_id], 0)
    counts = [table.outstanding(name) for name in names]
    assert max(counts) <= 45, counts


def test_prompt_keeps_its_turn_at_an_engine_that_answers_others():
    """Guards against a backlog that grows because prompts are sent twice."""
    table = make("1")
    for number in range(4):
        place(table, prompt(str(number), f"o{number}"), 0)
    table.record_prefilled(["0"], 2000)
    assert table.is_queued("1", 2500)
    assert not table.is_queued("0", 2500)
    assert not table.is_queued("1", 5000)
    assert not table.is_queued("unknown", 2500)


def test_engine_that_has_just_come_back_is_not_overrun():
    """Guards against hundreds of short prompts on the only idle engine.

    Load pattern: engines return from loading new weights while the others are busy.
    """
    table = make("1", "2")
    place(table, prompt("long", tokens=20_000, tried=["2"]))
    for number in range(100):
        place(table, prompt(f"n{number}", f"r{number}", tokens=60))
    # A batch holds 64 prompts. The 600 ms of prefill on the other engine are less than
    # the wait for a slot in this batch.
    assert table.outstanding("2") < 90


def test_prompt_that_cannot_be_answered_in_time_is_refused_immediately():
    """Guards against queueing prompts beyond the timeout of their callers."""
    table = make("1")
    placements = [place(table, prompt(str(n), f"o{n}")) for n in range(12)]
    assert placements[-1].exceeds_caller_timeout
    assert table.outstanding("1") < 12


def test_engine_that_evicted_a_prefix_can_fetch_it():
    """Guards against an estimated cache that omits early evictions by engines."""
    table = make("1")
    place(table, prompt("a"), store=STORE)
    table.record_prefilled(["a"], 0)
    table.record_end(["a"])
    assert place(table, prompt("b"), store=STORE).fetch_from == "10.0.0.99:1"


def test_reported_eviction_updates_the_estimated_cache():
    """Guards against fetches from an engine that no longer holds the parts."""
    table = make("1", "2")
    first = place(table, prompt("a")).endpoint
    table.record_prefilled(["a"], 0)
    table.record_end(["a"])
    table.apply_events(first, [(SALT, "o", 0)])
    assert place(table, prompt("b", tried=[first])).fetch_from == ""


def test_reported_part_is_a_source_for_a_new_leader():
    table = make("1", "2")
    table.apply_events("1", [(SALT, "o", 12_750)])
    assert place(table, prompt("b", tried=["1"])).fetch_from == "10.0.0.1:1"


def test_store_that_restarted_is_no_source():
    table = make("1")
    table.stores.apply_events(STORE.kv_store_address, [(SALT, "o", 12_750)])
    assert place(table, prompt("a"), store=STORE).fetch_from == "10.0.0.99:1"
    table.stores.clear(STORE.kv_store_address)
    assert place(table, prompt("b"), store=STORE).fetch_from == ""


def test_engine_past_the_weights_limit_gets_no_request():
    """Guards against requests that begin on weights past their time limit."""
    table = make("1")
    assert place(table, prompt("a"), 0, weights={"m": 2}).endpoint == "1"
    # The limit is 15 s, and a prompt must begin 0.5 s before it.
    assert place(table, prompt("b"), 14_500, weights={"m": 3}).endpoint == ""


def test_request_that_would_wait_past_the_limit_of_old_weights_goes_elsewhere():
    """Guards against requests that are placed in time and begin too late."""
    table = make("1")
    place(table, prompt("first", tokens=400), 0, weights={"m": 2})
    for number in range(4):
        place(table, prompt(str(number), f"o{number}"), 4000, weights={"m": 2})
    # The limit is 15 s; the queue of four long prompts takes about 2 s.
    late = prompt("z", tokens=400, rank=2)
    assert place(table, late, 13_400, weights={"m": 2}).endpoint == ""
    assert place(table, late, 9000, weights={"m": 2}).endpoint == "1"


def test_running_prompts_that_share_an_opening_leave_room_for_others():
    """Guards against recomputing prefixes that an engine still holds."""
    table = make("1", "2")
    first = place(table, prompt("a")).endpoint
    table.record_prefilled(["a"], 0)
    table.record_end(["a"])
    other = {"1": "2", "2": "1"}[first]
    # Eight prompts of 17,000 tokens that share 12,750 take 46,750 of 160,000.
    for number in range(8):
        name = f"s{number}"
        assert place(table, prompt(name, "shared", tried=[other])).endpoint == first
        table.record_prefilled([name], 0)
    assert place(table, prompt("b", tried=[first])).fetch_from == f"10.0.0.{first}:1"


def test_each_router_sends_short_prompts_to_few_engines():
    """Guards against a new connection for nearly every prompt in a large deployment."""
    table = PlacementTable(15_000)
    table.update([engine(str(n), zone="abcd"[n % 4]) for n in range(32)])
    pairs = Counter()
    load = Counter()
    running = deque()
    for number in range(3000):
        router, zone = f"router-{number % 40}", "abcd"[number % 4]
        request = prompt(f"p{number}", tokens=400, rank=2, router=router, zone=zone)
        chosen = place(table, request, number).endpoint
        pairs[router, chosen] += 1
        load[chosen] += 1
        running.append(f"p{number}")
        if len(running) > 100:
            ended = running.popleft()
            table.record_prefilled([ended], 0)
            table.record_end([ended])
    assert len(pairs) <= 40 * 4
    counts = [load[name] for name in load]
    assert max(counts) <= 3 * sum(counts) / len(counts)


def test_engine_that_sheds_load_receives_few_requests():
    """Guards against preferring an engine that is idle because it refuses requests."""
    table = make("1", "2", "3")
    refused = Counter()
    placed = Counter()
    running = deque()
    for number in range(600):
        now_ms = number * 10
        name = f"p{number}"
        chosen = place(table, prompt(name, tokens=400, rank=2), now_ms).endpoint
        placed[chosen] += 1
        if chosen == "1" and number % 5 < 2:
            refused[chosen] += 1
            table.record_refusal([chosen], now_ms)
            table.record_end([name])
            continue
        running.append(name)
        if len(running) > 20:
            ended = running.popleft()
            table.record_prefilled([ended], 0)
            table.record_end([ended])
    assert refused["1"] <= 15
    # Some requests still reach the engine, so that the end of the fault is detected.
    assert placed["1"] > refused["1"] > 0


def place_at_rate(table, per_s, for_ms, engines):
    """Place short prompts at a constant rate; return the sends of each engine."""
    sends = {name: [] for name in engines}
    refused = 0
    for number in range(per_s * for_ms // 1000):
        now_ms = number * 1000 // per_s
        table.limits.observe("1", 4.0, now_ms)
        request = prompt(
            f"r{number}", f"o{number}", tokens=300, rank=1, objective_ms=2500
        )
        placement = place(table, request, now_ms)
        refused += placement.exceeds_caller_timeout
        if placement.endpoint:
            sends[placement.endpoint].append(now_ms + placement.delay_ms)
        table.record_prefilled([request.request_id], now_ms)
        table.record_end([f"r{number - per_s // 2}"])
    return sends, refused


def test_limited_engine_gets_its_limit_and_others_the_rest():
    """Guards against a queue for a limited engine while others have room."""
    sends, refused = place_at_rate(make("1", "2"), 40, 10_000, "12")
    windows = [sum(0 <= t - s < 4000 for t in sends["1"]) for s in sends["1"]]
    assert 8 <= max(windows) <= 1.5 * 4.0 * 4 + 5
    assert len(sends["2"]) >= 320
    assert refused == 0


def test_prompt_that_no_limited_engine_takes_in_time_is_refused_at_once():
    """Guards against prompts that wait for a token until their deadline."""
    sends, refused = place_at_rate(make("1"), 40, 10_000, "1")
    windows = [sum(0 <= t - s < 4000 for t in sends["1"]) for s in sends["1"]]
    assert max(windows) <= 1.5 * 4.0 * 4 + 5
    assert refused >= 250


def test_burst_at_fast_engines_is_not_refused():
    """Guards against refusals by the speed of another deployment.

    Engines that prefill 101 tokens per ms get prompts of 2,400 tokens at 85% of what
    they can prefill.
    """
    table, rate, period_ms = make("1", "2"), 101.0, 14
    free_ms = {"1": 0.0, "2": 0.0}
    pending = []
    results = Counter()
    for number in range(1500):
        now_ms = number * period_ms
        for name, done_ms in [one for one in pending if one[1] + 60 <= now_ms]:
            pending.remove((name, done_ms))
            table.record_prefilled([name], now_ms)
            table.record_end([name])
        request = prompt(f"r{number}", f"o{number}", tokens=2400, objective_ms=250)
        placed = place(table, request, now_ms)
        results[number // 500, bool(placed.endpoint), placed.urgency] += 1
        if placed.endpoint:
            begin_ms = max(free_ms[placed.endpoint], now_ms + 2)
            free_ms[placed.endpoint] = begin_ms + 2400 / rate
            pending.append((request.request_id, free_ms[placed.endpoint]))
    assert results[2, True, 0] == 500


def test_long_answers_avoid_an_engine_that_is_about_to_load_weights():
    """Guards against a load that waits for answers which began just before it."""
    table = make("1", "2")
    table.winding_down = frozenset({"1"})
    placed = [place(table, prompt(f"l{n}", f"o{n}", tokens=400)) for n in range(4)]
    assert {one.endpoint for one in placed} == {"2"}
    table.record_prefilled([f"l{n}" for n in range(4)], 100)
    assert table.remaining_answer_ms("2", 200) > table.remaining_answer_ms("1", 200)
    table.record_end([f"l{n}" for n in range(4)], 300)
    assert table.remaining_answer_ms("2", 300) == 0


def overload(table, count, rank, **fields):
    """Place prompts without a shared prefix until the engines hold so many."""
    placed = [
        place(table, prompt(f"{rank}.{n}", f"o{rank}.{n}", 400, rank, **fields))
        for n in range(count)
    ]
    return [placement for placement in placed if placement.endpoint]


def test_urgent_prompt_passes_waiting_prompts_of_lower_ranks():
    """Guards against urgent prompts that are refused for a queue that they pass."""
    table = make("1")
    assert len(overload(table, 300, rank=2, objective_ms=1900)) > 150
    urgent = place(table, prompt("u", "u", 400, rank=0, objective_ms=423))
    assert urgent.endpoint
    assert urgent.expected_ms < 1000


def test_late_prompt_stays_ahead_of_lower_ranks_under_contention():
    """Guards against late urgent prompts that are queued with those of rank 2."""
    table = make("1")
    placed = overload(table, 1200, rank=0, objective_ms=423)
    assert table.contention.is_contended("s")
    table.record_end([f"0.{n}" for n in range(900, 1200)])
    late = place(table, prompt("late", "l", 400, rank=0, objective_ms=423))
    assert len(placed) < 1200
    assert not late.endpoint or late.urgency < 2
    refused = place(table, prompt("r", "r", 400, rank=2, objective_ms=1900))
    assert refused.exceeds_caller_timeout
    assert refused.return_ms
