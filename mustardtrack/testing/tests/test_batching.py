"""Guards against a stand-in engine that is faster or fairer than its rates."""

import pytest

from mustardtrack.testing.batching import (
    Batch,
    CompletionRequest,
    LoadHistory,
    LoadReport,
    Rates,
    Stream,
)


def make_stream(priority=0, tokens=1000, prompt="x" * 400):
    request = CompletionRequest("m", prompt, tokens, priority=priority)
    return Stream(request, "r.1", 0)


def run(batch, until_ms, step_ms=5):
    for now_ms in range(0, until_ms + 1, step_ms):
        batch.tick(now_ms)


@pytest.mark.parametrize(
    ("streams", "tokens"),
    [
        (1, 100),  # limited by the rate of a stream
        (4, 200),  # limited by the rate of the engine
    ],
)
def test_rates_limit_the_tokens_of_a_second(streams, tokens):
    batch = Batch(Rates(total=200, stream=100, prefill=1e9), lambda *_: 0)
    all_streams = [make_stream() for _ in range(streams)]
    for stream in all_streams:
        batch.submit(stream)
    run(batch, 1000)
    produced = sum(len(stream.pieces) for stream in all_streams)
    assert tokens * 0.95 <= produced <= tokens * 1.15
    counts = [len(stream.pieces) for stream in all_streams]
    assert max(counts) - min(counts) <= 2


def test_urgent_work_is_prefilled_and_decoded_first():
    batch = Batch(Rates(total=100, stream=100, prefill=1000), lambda *_: 0)
    patient = [make_stream(priority=10) for _ in range(3)]
    urgent = make_stream(priority=0)
    for stream in [*patient, urgent]:
        batch.submit(stream)
    run(batch, 1000)
    assert urgent.ready_ms < min(stream.ready_ms for stream in patient)
    assert len(urgent.pieces) > 3 * sum(len(stream.pieces) for stream in patient)


def test_only_the_uncached_part_is_prefilled():
    cached = {"cold": 0, "warm": 90}
    batch = Batch(Rates(prefill=100), lambda stream, _: cached[stream.attempt_id])
    cold, warm = make_stream(), make_stream()
    cold.attempt_id, warm.attempt_id = "cold", "warm"
    batch.submit(cold)
    batch.submit(warm)
    run(batch, 1200)
    assert (cold.ready_ms, warm.ready_ms - cold.ready_ms) == (1000, 100)


def test_cancelled_streams_leave_the_queue_and_the_batch():
    batch = Batch(Rates(max_batch=1), lambda *_: 0)
    running, waiting, next_one = (make_stream() for _ in range(3))
    for stream in (running, waiting, next_one):
        batch.submit(stream)
    run(batch, 100)
    assert batch.load() == LoadReport(1, 2, 200)
    assert batch.cancel(running) and batch.cancel(waiting)
    assert not batch.cancel(running)
    run(batch, 200)
    assert (waiting.state, next_one.state) == ("cancelled", "running")
    assert batch.load() == LoadReport(1, 0, 0)


def test_reported_load_is_as_old_as_configured():
    history = LoadHistory(lag_ms=200)
    for now_ms in range(0, 1001, 50):
        history.sample(LoadReport(running=now_ms), now_ms)
    assert history.report(1000) == (LoadReport(running=800), 200)
