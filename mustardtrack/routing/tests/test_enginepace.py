"""Guards against prompts that leave an engine shortly before their turn."""

from mustardtrack.routing.enginepace import PASSED_OVER_MS, SILENT_MS, EnginePace

URGENT, PATIENT = 0, 4


def test_engine_that_answered_nothing_is_silent():
    assert not EnginePace().has_turn_ahead(URGENT, 0, 0)


def test_prompt_behind_a_backlog_keeps_its_turn():
    """A busy engine answers earlier prompts while this one waits for seconds."""
    pace = EnginePace()
    for number in range(10):
        pace.record_answer(URGENT, 100 * number, 400 * number)
        assert pace.has_turn_ahead(URGENT, 1000, 400 * number)
    assert not pace.has_turn_ahead(URGENT, 1000, 3600 + SILENT_MS + 1)


def test_prompt_that_later_ones_pass_has_lost_its_turn():
    """Guards against waiting for an answer that was lost on its way."""
    pace = EnginePace()
    pace.record_answer(URGENT, PASSED_OVER_MS, 2000)
    assert pace.has_turn_ahead(URGENT, 0, 2000)
    pace.record_answer(URGENT, PASSED_OVER_MS + 1, 2000)
    assert not pace.has_turn_ahead(URGENT, 0, 2000)


def test_more_urgent_prompts_pass_by_right():
    pace = EnginePace()
    pace.record_answer(URGENT, 5000, 5500)
    assert pace.has_turn_ahead(PATIENT, 1000, 5500)
    pace.record_answer(PATIENT, 5000, 5500)
    assert not pace.has_turn_ahead(PATIENT, 1000, 5500)


def test_late_report_does_not_move_the_turn_back():
    pace = EnginePace()
    pace.record_answer(URGENT, 3000, 4000)
    pace.record_answer(URGENT, 100, 4000)
    assert not pace.has_turn_ahead(URGENT, 500, 4000)
