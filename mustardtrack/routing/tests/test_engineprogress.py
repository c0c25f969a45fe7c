"""Guards against retrying a prompt that is about to leave the engine's queue."""

from mustardtrack.routing.engineprogress import (
    OVERTAKEN_MARGIN_MS,
    STALL_TIMEOUT_MS,
    EngineProgress,
)

URGENT, RELAXED = 0, 4


def test_engine_without_a_first_token_counts_as_stalled():
    assert not EngineProgress().is_waiting_in_queue(URGENT, 0, 0)


def test_prompt_behind_a_backlog_counts_as_queued():
    """A busy engine answers earlier prompts while this one waits for seconds."""
    progress = EngineProgress()
    for number in range(10):
        progress.record_first_token(URGENT, 100 * number, 400 * number)
        assert progress.is_waiting_in_queue(URGENT, 1000, 400 * number)
    assert not progress.is_waiting_in_queue(URGENT, 1000, 3600 + STALL_TIMEOUT_MS + 1)


def test_prompt_overtaken_by_later_prompts_is_no_longer_queued():
    """Guards against waiting for a response that was lost in transit."""
    progress = EngineProgress()
    progress.record_first_token(URGENT, OVERTAKEN_MARGIN_MS, 2000)
    assert progress.is_waiting_in_queue(URGENT, 0, 2000)
    progress.record_first_token(URGENT, OVERTAKEN_MARGIN_MS + 1, 2000)
    assert not progress.is_waiting_in_queue(URGENT, 0, 2000)


def test_more_urgent_prompts_do_not_count_as_overtaking():
    progress = EngineProgress()
    progress.record_first_token(URGENT, 5000, 5500)
    assert progress.is_waiting_in_queue(RELAXED, 1000, 5500)
    progress.record_first_token(RELAXED, 5000, 5500)
    assert not progress.is_waiting_in_queue(RELAXED, 1000, 5500)


def test_late_report_does_not_lower_the_latest_placement():
    progress = EngineProgress()
    progress.record_first_token(URGENT, 3000, 4000)
    progress.record_first_token(URGENT, 100, 4000)
    assert not progress.is_waiting_in_queue(URGENT, 500, 4000)
