"""Guards against loads that hold a place for nothing, or are ordered twice."""

from mustardtrack.routing.loadprogress import (
    MAX_IDLE_REPORTS,
    MAX_MISSING_REPORTS,
    LoadProgress,
    LoadStep,
)

OLD, NEW = {"m": 1}, {"m": 2}


def steps(*reports):
    progress = LoadProgress("m", 2)
    return [progress.record_report(*report) for report in reports]


def test_engine_that_waits_for_running_requests_is_waited_for():
    """Guards against a second order to an engine that decodes long answers."""
    reports = [(OLD, True, 500 * n) for n in range(1, 20)]
    assert set(steps(*reports)) == {LoadStep.IN_PROGRESS}
    assert steps(*reports, (NEW, False, 9900))[-1] is LoadStep.COMPLETED


def test_crashed_engine_gives_up_its_place():
    """Guards against a crashed engine that delays the loads of the others."""
    missing = [(None, False, 100 * n) for n in range(1, 1 + MAX_MISSING_REPORTS)]
    assert steps(*missing)[-1] is LoadStep.UNREACHABLE
    assert LoadStep.UNREACHABLE not in steps(missing[0], (OLD, True, 500), missing[0])


def test_order_without_an_effect_is_lost():
    """Guards against waiting for an order that the engine never received."""
    early = [(OLD, False, 100 * n) for n in range(1, 9)]
    late = [(OLD, False, 1000 + 200 * n) for n in range(MAX_IDLE_REPORTS)]
    assert LoadStep.LOST not in steps(*early)
    assert steps(*early, *late)[-1] is LoadStep.LOST


def test_engine_that_does_not_say_whether_it_is_busy_keeps_its_order():
    """Guards against an order every second to an engine that loads for long."""
    reports = [(OLD, None, 500 * n) for n in range(1, 20)]
    assert set(steps(*reports)) == {LoadStep.UNCLEAR}
