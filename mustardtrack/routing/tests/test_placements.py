"""Loads that prompt placement answers, built by hand."""

from mustardtrack.configuration.routes import EngineLimits, Service
from mustardtrack.membership.endpointlist import ListedEndpoint
from mustardtrack.routing.placements import PlacementRequest, PlacementTable

SERVICE = Service("s", 370, EngineLimits(64, 160_000, 35_136, ("m",)))
STORE = Service("k", 90, store_address="10.0.0.99:1", store_tokens=1_000_000)


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


def prompt(name, opening="o", tokens=17_000, rank=0, **fields):
    shared = tokens * 3 // 4
    return PlacementRequest(
        request_id=name,
        service="s",
        model="m",
        parts=[(opening, shared), (f"p{name}", tokens - shared)],
        wall=fields.get("wall", ""),
        tokens=tokens,
        output_tokens=40,
        rank=rank,
        objective_ms=1000,
        time_left_ms=12_000,
        zone="a",
        tried=fields.get("tried", []),
    )


def make(*names):
    table = PlacementTable()
    table.update([engine(name) for name in names])
    return table


def place(table, request, now_ms=0, store=None, weights=None):
    return table.place(request, SERVICE, store, weights or {"m": 1}, now_ms)


def test_simultaneous_long_prompts_spread_over_idle_engines():
    """Guards against routers that all send to the engine that looks idle."""
    table = make("1", "2", "3")
    chosen = [place(table, prompt(str(n), f"o{n}")).endpoint for n in range(6)]
    assert sorted(chosen) == ["1", "1", "2", "2", "3", "3"]


def test_same_opening_returns_to_the_engine_that_read_it():
    table = make("1", "2", "3")
    first = place(table, prompt("a")).endpoint
    table.record_read(["a"])
    table.record_end(["a"])
    assert place(table, prompt("b")).endpoint == first


def test_loaded_engine_hands_its_opening_over_by_a_fetch():
    """Guards against reading an opening again that another engine holds."""
    table = make("1", "2")
    first = place(table, prompt("a")).endpoint
    table.record_read(["a"])
    place_others = [prompt(f"x{n}", f"q{n}") for n in range(6)]
    for request in place_others:
        table.place(request, SERVICE, None, {"m": 1}, 0)
    placements = [place(table, prompt(f"b{n}")) for n in range(4)]
    moved = [one for one in placements if one.endpoint != first]
    # Later ones find the parts that the first one brought.
    assert moved[0].fetch_from == f"10.0.0.{first}:1"


def test_opening_that_is_still_being_read_is_no_source():
    """Guards against fetches that miss and read the opening a second time."""
    table = make("1", "2")
    place(table, prompt("a"))
    other = place(table, prompt("b", tried=["1"]))
    assert other.fetch_from == ""


def test_store_is_a_source_once_the_parts_are_read():
    table = make("1")
    assert place(table, prompt("a"), store=STORE).save_to == "10.0.0.99:1"
    table.record_read(["a"])
    table.update([engine("2")])
    again = place(table, prompt("b"), store=STORE)
    assert again.fetch_from == "10.0.0.99:1"
    assert again.save_to == ""


def test_isolated_account_shares_nothing():
    table = make("1", "2")
    place(table, prompt("a"))
    table.record_read(["a"])
    walled = place(table, prompt("b", wall="t", tried=["1"]))
    assert walled.fetch_from == ""


def test_restart_and_other_weights_empty_the_cache():
    """Guards against relying on entries of a dead engine or of older weights."""
    for changed in (engine("1", started_ms=5), engine("1", version=2)):
        table = make("1")
        place(table, prompt("a"))
        table.record_read(["a"])
        table.update([changed, engine("2", version=changed.weights["m"])])
        placed = place(table, prompt("b", tried=["1"]), weights=changed.weights)
        assert placed.fetch_from == ""


def test_loading_draining_and_tried_engines_get_nothing():
    table = PlacementTable()
    table.update(
        [engine("1", is_loading=True), engine("2", is_draining=True), engine("3")]
    )
    assert place(table, prompt("a")).endpoint == "3"
    assert place(table, prompt("b", tried=["3"])).endpoint == ""


def test_silent_engine_rests_for_all_routers():
    table = make("1", "2")
    table.record_silence(["1"], 0)
    assert {place(table, prompt(str(n)), 10).endpoint for n in range(4)} == {"2"}
    assert place(table, prompt("z"), 5000).endpoint == "1"


def test_replaced_weights_are_avoided_once_they_lose_worth():
    """Guards against answers on old weights while engines with new ones idle."""
    table = PlacementTable()
    table.update([engine("1", version=1), engine("2", zone="b", version=2)])
    assert place(table, prompt("a"), 0, weights={"m": 2}).endpoint == "1"
    assert place(table, prompt("b"), 2000, weights={"m": 2}).endpoint == "2"


def test_request_of_a_lost_router_is_forgotten():
    table = make("1")
    place(table, prompt("a"), 0)
    assert table.outstanding("1") == 1
    place(table, prompt("b"), 20_000)
    assert table.outstanding("1") == 1
