"""Guards against answers that the router cuts while their endpoint works on them."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.upstream import AnswerData
from mustardtrack.process.attempt import RECHECK_MS, Attempt, Outcome
from mustardtrack.requests.forwarding import AttemptFailure

LEFT_MS = 5000
STALL_MS = 1500


class Connection:
    """Connection whose next event comes after a silence."""

    def __init__(self, silence_s):
        self.closed = False
        self._silence_s = silence_s

    async def next_event(self, timeout_s):
        """Return the event if it comes within the timeout."""
        self._silence_s -= timeout_s
        return AnswerData(b"x") if self._silence_s <= 0 else None

    def close(self):
        """Remember the close."""
        self.closed = True


def make_attempt(may_move, turns=()):
    """Return an attempt whose leader gives these answers about its turn."""
    answers = iter(turns)

    async def is_queued(admitted):
        return next(answers, False)

    clock = SimpleNamespace(now_ms=lambda: 0)
    forwarder = SimpleNamespace(
        clock=clock, may_move=lambda *arguments: may_move, is_queued=is_queued
    )
    admitted = SimpleNamespace(
        exchange=SimpleNamespace(is_gone=False), prompt=None, deadline_ms=LEFT_MS
    )
    endpoint = SimpleNamespace(record_unreachable=lambda now_ms: None)
    return Attempt(forwarder, admitted, endpoint, SimpleNamespace())


@pytest.mark.parametrize(
    ("may_move", "is_final", "is_given_up"),
    [(True, False, True), (False, False, False), (False, True, True)],
)
def test_silent_attempt_is_given_up_only_for_another_one(
    may_move, is_final, is_given_up
):
    connection = Connection(silence_s=2 * STALL_MS / 1000)
    attempt = make_attempt(may_move)
    event = asyncio.run(attempt._next(connection, STALL_MS, is_final))
    assert connection.closed is is_given_up
    if is_given_up:
        assert event == Outcome(AttemptFailure.TIMED_OUT, note="no data in time")
    else:
        assert event == AnswerData(b"x")


@pytest.mark.parametrize(
    ("turns", "is_given_up"), [([True] * 5, False), ([True], True)]
)
def test_silent_prompt_stays_where_it_still_has_its_turn(turns, is_given_up):
    """Guards against reading a prompt twice that waits behind a backlog."""
    connection = Connection(silence_s=(STALL_MS + 3 * RECHECK_MS) / 1000)
    attempt = make_attempt(may_move=True, turns=turns)
    event = asyncio.run(attempt._next(connection, STALL_MS))
    assert connection.closed is is_given_up
    assert isinstance(event, Outcome) is is_given_up


def test_attempt_ends_at_once_when_its_caller_leaves():
    """Guards against endpoints that work on for callers that have gone."""
    connection = Connection(silence_s=2 * STALL_MS / 1000)
    attempt = make_attempt(may_move=False)
    attempt._exchange.is_gone = True
    event = asyncio.run(attempt._next(connection, STALL_MS))
    assert event == Outcome(note="caller gone")
    assert connection.closed
    # One wait only, which the leaving caller ends.
    assert connection._silence_s > 0
