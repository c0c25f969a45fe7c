"""Guards against stale load requests, wrong weights and duplicate runs on resume."""

import pytest

from mustardtrack.testing.batching import CompletionRequest
from mustardtrack.testing.simulated_engine import (
    EngineOptions,
    LoadWeightsRequest,
    RequestError,
    SimulatedEngine,
)


def make_engine(**options):
    return SimulatedEngine(EngineOptions("e", {"m": "1"}, load_ms=2000, **options), "i")


def make_request(attempt="r.1", **fields):
    return CompletionRequest(
        "m", "x" * 8192, 5, request_id="r", attempt_id=attempt, **fields
    )


def advance(engine, from_ms, to_ms):
    for now_ms in range(from_ms, to_ms + 1, 5):
        engine.tick(now_ms)


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize(
    ("fence", "version", "is_stale"),
    [(6, "3", False), (5, "2", False), (5, "3", True), (4, "3", True)],
)
def test_fencing_tokens_are_checked_or_ignored(
    checks_fencing, fence, version, is_stale
):
    engine = make_engine(checks_fencing=checks_fencing)
    engine.load_weights(LoadWeightsRequest("m", "2", 5), 0)
    if checks_fencing and is_stale:
        with pytest.raises(RequestError, match="fencing token"):
            engine.load_weights(LoadWeightsRequest("m", version, fence), 0)
    else:
        engine.load_weights(LoadWeightsRequest("m", version, fence), 0)
    advance(engine, 0, 2100)
    assert engine.models["m"] == ("2" if checks_fencing and is_stale else version)


def test_load_takes_load_ms_and_evicts_blocks_of_old_weights():
    engine = make_engine(event_delay_ms=0)
    engine.complete(make_request(weights_version="1"), 0)
    advance(engine, 0, 500)
    request = LoadWeightsRequest("m", "2", 1)
    engine.load_weights(request, 500)
    advance(engine, 500, 2495)
    assert engine.is_loading(request) and engine.models["m"] == "1"
    advance(engine, 2500, 2505)
    ops = [event.op for event in engine.events(0, 2505).events]
    assert ops == ["stored", "stored", "evicted", "evicted"]
    with pytest.raises(RequestError) as caught:
        engine.complete(make_request(weights_version="1"), 2505)
    assert (caught.value.status, engine.runs["r"]) == (409, 1)


def test_request_queued_during_a_load_never_runs_on_new_weights():
    engine = make_engine()
    engine.load_weights(LoadWeightsRequest("m", "2", 1), 0)
    engine.tick(1995)
    stream = engine.complete(make_request(weights_version="1"), 1999)
    # The load ends after the request was queued and before it leaves the queue.
    engine._finish_weight_loads(2000)
    engine.tick(2005)
    assert (stream.state, engine.runs["r"]) == ("refused", 0)


def test_resume_attaches_to_the_run_within_the_resume_window():
    engine = make_engine(resume_window_ms=1000)
    stream = engine.complete(make_request(), 0)
    advance(engine, 0, 500)
    engine.mark_disconnected(stream, "r.1", 500)
    assert engine.complete(make_request("r.2", resume_from=3), 600) is stream
    assert not engine.cancel("r.1"), "a late cancel must not stop the next attempt"
    engine.mark_disconnected(stream, "r.2", 700)
    engine.tick(1705)
    with pytest.raises(RequestError, match="stream to resume not found"):
        engine.complete(make_request("r.3", resume_from=3), 1705)
    assert engine.runs["r"] == 1


def test_resume_of_another_prompt_or_account_is_refused():
    engine = make_engine()
    engine.complete(make_request(cache_salt="account-1"), 0)
    with pytest.raises(RequestError, match="stream to resume not found"):
        engine.complete(make_request("r.2", cache_salt="account-2", resume_from=1), 0)


def test_deterministic_engine_resumes_an_unknown_stream():
    engine = make_engine(deterministic=True)
    stream = engine.complete(make_request(resume_from=3), 0)
    advance(engine, 0, 500)
    full = make_engine().complete(make_request(), 0)
    while full.state != "done":
        full.generate_token()
    assert stream.token_texts == full.token_texts[3:]
    assert engine.health("up", 500).deterministic


def test_full_queue_refuses_requests():
    engine = make_engine(max_queue=1)
    engine.complete(make_request(), 0)
    with pytest.raises(RequestError, match="queue is full"):
        engine.complete(make_request("r.2"), 0)


def test_block_digests_of_the_router_are_used():
    engine = make_engine(event_delay_ms=0)
    request = make_request(prefix_digests=["d1", "d2"], prefix_ends=[400, 800])
    engine.complete(request, 0)
    advance(engine, 0, 500)
    assert [event.digest for event in engine.events(0, 500).events] == ["d2", "d1"]
    assert engine.export_block("d1").tokens == 100
