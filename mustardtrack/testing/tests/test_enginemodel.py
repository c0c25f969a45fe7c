"""Guards against stale orders, wrong weights and resumed streams that run twice."""

import pytest

from mustardtrack.testing.batching import CompletionRequest
from mustardtrack.testing.enginemodel import (
    EngineModel,
    EngineOptions,
    LoadOrder,
    RequestError,
)


def make_model(**options):
    return EngineModel(EngineOptions("e", {"m": "1"}, load_ms=2000, **options), "i")


def make_request(attempt="r.1", **fields):
    return CompletionRequest(
        "m", "x" * 8192, 5, request_id="r", attempt_id=attempt, **fields
    )


def advance(model, from_ms, to_ms):
    for now_ms in range(from_ms, to_ms + 1, 5):
        model.tick(now_ms)


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    ("fence", "version", "is_stale"),
    [(6, "3", False), (5, "2", False), (5, "3", True), (4, "3", True)],
)
def test_fencing_tokens_are_checked_or_ignored(checks, fence, version, is_stale):
    model = make_model(checks_fencing=checks)
    model.order_load(LoadOrder("m", "2", 5), 0)
    if checks and is_stale:
        with pytest.raises(RequestError, match="fence"):
            model.order_load(LoadOrder("m", version, fence), 0)
    else:
        model.order_load(LoadOrder("m", version, fence), 0)
    advance(model, 0, 2100)
    assert model.models["m"] == ("2" if checks and is_stale else version)


def test_load_takes_its_time_and_evicts_pieces_of_older_weights():
    model = make_model(event_delay_ms=0)
    model.complete(make_request(weights_version="1"), 0)
    advance(model, 0, 500)
    order = LoadOrder("m", "2", 1)
    model.order_load(order, 500)
    advance(model, 500, 2495)
    assert model.is_loading(order) and model.models["m"] == "1"
    advance(model, 2500, 2505)
    ops = [event.op for event in model.events(0, 2505).events]
    assert ops == ["stored", "stored", "evicted", "evicted"]
    with pytest.raises(RequestError) as caught:
        model.complete(make_request(weights_version="1"), 2505)
    assert (caught.value.status, model.runs["r"]) == (409, 1)


def test_request_queued_during_a_load_never_runs_on_the_new_weights():
    model = make_model()
    model.order_load(LoadOrder("m", "2", 1), 0)
    model.tick(1995)
    stream = model.complete(make_request(weights_version="1"), 1999)
    model._finish_loads(2000)
    model.tick(2005)
    assert (stream.state, model.runs["r"]) == ("refused", 0)


def test_resume_attaches_to_the_run_until_the_window_ends():
    model = make_model(resume_window_ms=1000)
    stream = model.complete(make_request(), 0)
    advance(model, 0, 500)
    model.detach(stream, "r.1", 500)
    assert model.complete(make_request("r.2", resume_from=3), 600) is stream
    assert not model.cancel("r.1"), "a late cancel must not stop the next attempt"
    model.detach(stream, "r.2", 700)
    model.tick(1705)
    with pytest.raises(RequestError, match="not held"):
        model.complete(make_request("r.3", resume_from=3), 1705)
    assert model.runs["r"] == 1


def test_resume_of_another_prompt_or_account_is_refused():
    model = make_model()
    model.complete(make_request(cache_salt="account-1"), 0)
    with pytest.raises(RequestError, match="not held"):
        model.complete(make_request("r.2", cache_salt="account-2", resume_from=1), 0)


def test_deterministic_engine_continues_a_stream_that_it_does_not_hold():
    model = make_model(deterministic=True)
    stream = model.complete(make_request(resume_from=3), 0)
    advance(model, 0, 500)
    full = make_model().complete(make_request(), 0)
    while full.state != "done":
        full.produce()
    assert stream.pieces == full.pieces[3:]
    assert model.health("up", 500).deterministic


def test_full_queue_refuses():
    model = make_model(max_queue=1)
    model.complete(make_request(), 0)
    with pytest.raises(RequestError, match="queue is full"):
        model.complete(make_request("r.2"), 0)


def test_router_digests_name_the_pieces():
    model = make_model(event_delay_ms=0)
    request = make_request(prefix_digests=["d1", "d2"], prefix_ends=[400, 800])
    model.complete(request, 0)
    advance(model, 0, 500)
    assert [event.digest for event in model.events(0, 500).events] == ["d2", "d1"]
    assert model.export_piece("d1").tokens == 100
