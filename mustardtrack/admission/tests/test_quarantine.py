"""Guards against concurrent suspects and against counting a crash twice."""

import pytest

from mustardtrack.admission import ADMITTED, Refused, Suspects
from mustardtrack.logs import InvariantViolationError


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


def test_completion_elsewhere_does_not_clear_another_request():
    suspects = Suspects()
    suspects.started("a.1", "a", "engine-1", "x", 0)
    suspects.started("b.1", "b", "engine-2", "x", 0)
    suspects.endpoint_died("engine-1", "x", 1)
    suspects.completed("b.1")
    assert suspects.is_suspect("a")


def test_death_of_an_older_incarnation_is_not_counted():
    suspects = Suspects()
    suspects.started("a.1", "a", "engine-1", "y", 0)
    assert suspects.endpoint_died("engine-1", "x", 1) == []
    assert suspects.endpoint_died("engine-1", "y", 2) == ["a"]
    assert suspects.endpoint_died("engine-1", "y", 3) == []
