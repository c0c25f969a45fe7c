"""Guards against starved classes and accounts, false refusals and retry storms."""

import pytest

from mustardtrack.admission import (
    ADMITTED,
    ClassShare,
    FairQueue,
    QueueItem,
    Refused,
    RetryBudget,
    Suspects,
)
from mustardtrack.logs import InvariantViolationError

SHARES = [ClassShare("urgent", 0), ClassShare("patient", 1, 0.2)]


def test_patient_work_keeps_its_minimum_share():
    queue = FairQueue(SHARES, {})
    for number in range(500):
        for name in ("urgent", "patient"):
            queue.offer(QueueItem(f"{name}{number}", "hotel", name, 100, 0))
    taken = queue.take(1, 40_000)
    patient = sum(each.item.class_name == "patient" for each in taken)
    assert 78 <= patient <= 82
    assert sum(each.promoted for each in taken) == patient


def test_expired_request_is_refused_and_never_taken():
    queue = FairQueue(SHARES, {})
    queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0, deadline_ms=10))
    assert queue.take(11, 1000) == []
    [(item, refused)] = queue.expired()
    assert (item.request_id, refused.reason) == ("r1", "deadline")


def test_taken_request_cannot_be_refused():
    queue = FairQueue(SHARES, {})
    queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0))
    queue.take(1, 1000)
    with pytest.raises(InvariantViolationError):
        queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0, deadline_ms=1))


def test_retries_stay_within_their_fraction_in_a_brown_out():
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.first_attempt("engine-1")
        retries += budget.allow_retry("engine-1", "timeout")
    assert 900 <= retries <= 1000 + 20


def test_suspects_run_one_at_a_time_and_are_cleared_by_completion():
    suspects = Suspects()
    suspects.started("a.1", "a", "engine-1", "x", 0)
    suspects.started("b.1", "b", "engine-1", "x", 0)
    suspects.started("c.1", "c", "engine-2", "x", 0)
    assert suspects.endpoint_died("engine-1", "x", 1) == ["a", "b"]
    assert not suspects.is_suspect("c")
    assert isinstance(suspects.check("a", frozenset(), 1000), Refused)
    assert suspects.check("a", frozenset(), 1001) == ADMITTED
    suspects.started("a.2", "a", "engine-2", "x", 1001)
    assert isinstance(suspects.check("b", frozenset(), 1002), Refused)
    with pytest.raises(InvariantViolationError):
        suspects.started("b.2", "b", "engine-3", "x", 1002)
    suspects.completed("a.2")
    assert not suspects.is_suspect("a")
    assert suspects.check("b", frozenset(), 1003) == ADMITTED
    assert suspects.check("b", frozenset({"b"}), 1003).reason == "quarantined"
