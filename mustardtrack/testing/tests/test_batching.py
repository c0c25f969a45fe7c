"""Guards against an engine that exceeds its token rates or ignores priorities."""

import pytest

from mustardtrack.testing.batching import (
    CompletionRequest,
    ContinuousBatch,
    EngineRates,
    LoadHistory,
    LoadReport,
    Stream,
)


def make_stream(priority=0, tokens=1000, prompt="x" * 400):
    request = CompletionRequest("m", prompt, tokens, priority=priority)
    return Stream(request, "r.1", 0)


def run_ticks(batch, until_ms, step_ms=5):
    for now_ms in range(0, until_ms + 1, step_ms):
        batch.tick(now_ms)


@pytest.mark.parametrize(
    ("streams", "tokens"),
    [
        (1, 100),  # limited by the rate of each stream
        (4, 200),  # limited by the rate of the engine
    ],
)
def test_token_rates_limit_generation(streams, tokens):
    batch = ContinuousBatch(
        EngineRates(
            decode_tokens_per_s=200, stream_tokens_per_s=100, prefill_tokens_per_s=1e9
        ),
        lambda *_: 0,
    )
    all_streams = [make_stream() for _ in range(streams)]
    for stream in all_streams:
        batch.submit(stream)
    run_ticks(batch, 1000)
    generated = sum(len(stream.token_texts) for stream in all_streams)
    assert tokens * 0.95 <= generated <= tokens * 1.15
    counts = [len(stream.token_texts) for stream in all_streams]
    assert max(counts) - min(counts) <= 2


def test_high_priority_streams_are_prefilled_and_decoded_first():
    batch = ContinuousBatch(
        EngineRates(
            decode_tokens_per_s=100, stream_tokens_per_s=100, prefill_tokens_per_s=1000
        ),
        lambda *_: 0,
    )
    low_priority = [make_stream(priority=10) for _ in range(3)]
    high_priority = make_stream(priority=0)
    for stream in [*low_priority, high_priority]:
        batch.submit(stream)
    run_ticks(batch, 1000)
    assert high_priority.prefill_end_ms < min(
        stream.prefill_end_ms for stream in low_priority
    )
    assert len(high_priority.token_texts) > 3 * sum(
        len(stream.token_texts) for stream in low_priority
    )


def test_only_uncached_prompt_tokens_are_prefilled():
    cached = {"cold": 0, "warm": 90}
    batch = ContinuousBatch(
        EngineRates(prefill_tokens_per_s=100),
        lambda stream, _: cached[stream.attempt_id],
    )
    cold, warm = make_stream(), make_stream()
    cold.attempt_id, warm.attempt_id = "cold", "warm"
    batch.submit(cold)
    batch.submit(warm)
    run_ticks(batch, 1200)
    assert (cold.prefill_end_ms, warm.prefill_end_ms - cold.prefill_end_ms) == (
        1000,
        100,
    )


def test_cancelled_streams_are_removed_from_queue_and_batch():
    batch = ContinuousBatch(EngineRates(max_batch=1), lambda *_: 0)
    running, queued, successor = (make_stream() for _ in range(3))
    for stream in (running, queued, successor):
        batch.submit(stream)
    run_ticks(batch, 100)
    assert batch.load() == LoadReport(1, 2, 200)
    assert batch.cancel(running) and batch.cancel(queued)
    assert not batch.cancel(running)
    run_ticks(batch, 200)
    assert (queued.state, successor.state) == ("cancelled", "running")
    assert batch.load() == LoadReport(1, 0, 0)


def test_reported_load_has_the_configured_lag():
    history = LoadHistory(lag_ms=200)
    for now_ms in range(0, 1001, 50):
        history.sample(LoadReport(running=now_ms), now_ms)
    assert history.report(1000) == (LoadReport(running=800), 200)
