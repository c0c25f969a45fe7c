"""Turns of refused callers."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission.returns import ReturnSchedule

REFUSALS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 200), st.integers(300, 20_000)),
    min_size=2,
    max_size=60,
)


def test_callers_that_are_refused_together_return_one_after_the_other():
    """Guards against a second burst of the callers of the first."""
    turns = ReturnSchedule()
    told = [turns.next_ms(0, 200, 25.0, 6000, 0) for _ in range(40)]
    assert told == [200 + 25 * number for number in range(40)]


def test_caller_that_returns_at_once_gets_a_later_turn():
    """Guards against callers that gain by not waiting as told."""
    turns = ReturnSchedule()
    first, second = (turns.next_ms(0, 200, 25.0, 6000, 0) for _ in range(2))
    returned = 10 + turns.next_ms(0, 200, 25.0, 6000, 10)
    assert first < second < returned


def test_turns_begin_anew_once_the_refused_callers_had_theirs():
    """Guards against waits that outlast the contention."""
    turns = ReturnSchedule()
    for _ in range(40):
        turns.next_ms(0, 200, 25.0, 6000, 0)
    assert turns.next_ms(0, 50, 25.0, 6000, 5000) == 50


@given(REFUSALS, st.floats(1, 500))
def test_turns_keep_the_order_of_ranks_and_refusals(refusals, interval_ms):
    """Guards against callers that are overtaken by later or less urgent ones."""
    turns = ReturnSchedule()
    now_ms, last = 0, {0: 0, 1: 0, 2: 0}
    for rank, pause_ms, left_ms in refusals:
        now_ms += pause_ms
        told = turns.next_ms(rank, 100, interval_ms, left_ms, now_ms)
        assert 1 <= told <= left_ms / 3 + 1
        if told < int(left_ms / 3):
            assert now_ms + told + 1 >= max(last[other] for other in range(rank + 1))
            last[rank] = now_ms + told
