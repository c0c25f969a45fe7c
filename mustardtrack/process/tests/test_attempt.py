"""Guards against abandoning attempts whose endpoint is still working on an answer."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.upstream import ResponseData
from mustardtrack.process.attempt import QUEUE_RECHECK_MS, Attempt, Outcome
from mustardtrack.requests.forwarding import AttemptFailure
from mustardtrack.requests.time_limits import TimeLimit

TIME_LEFT_MS = 5000
EVENT_TIMEOUT_MS = 1500


class FakeConnection:
    """Fake connection whose next event arrives after a delay."""

    def __init__(self, delay_s):
        self.closed = False
        self._delay_s = delay_s

    async def next_event(self, timeout_s):
        """Return the event if it arrives within the time-out."""
        self._delay_s -= timeout_s
        return ResponseData(b"x") if self._delay_s <= 0 else None

    def abort(self):
        """Record the close."""
        self.closed = True


def make_attempt(may_retry, queue_answers=()):
    """Return an attempt whose leader gives these answers about its queue state."""
    answers = iter(queue_answers)

    async def is_queued(admitted):
        return next(answers, False)

    clock = SimpleNamespace(now_ms=lambda: 0)
    forwarder = SimpleNamespace(
        clock=clock,
        may_retry_elsewhere=lambda *arguments: may_retry,
        is_queued=is_queued,
    )
    admitted = SimpleNamespace(
        exchange=SimpleNamespace(is_disconnected=False),
        prompt=None,
        deadline_ms=TIME_LEFT_MS,
    )
    endpoint = SimpleNamespace(record_unreachable=lambda now_ms: None)
    return Attempt(forwarder, admitted, endpoint, SimpleNamespace())


@pytest.mark.parametrize(
    ("may_retry", "ends_at_limit", "is_abandoned"),
    [(True, False, True), (False, False, False), (False, True, True)],
)
def test_stalled_attempt_is_abandoned_only_if_a_retry_is_allowed(
    may_retry, ends_at_limit, is_abandoned
):
    connection = FakeConnection(delay_s=2 * EVENT_TIMEOUT_MS / 1000)
    attempt = make_attempt(may_retry)
    event = asyncio.run(
        attempt._next_event(
            connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP, ends_at_limit
        )
    )
    assert connection.closed is is_abandoned
    if is_abandoned:
        assert event == Outcome(
            AttemptFailure.TIMED_OUT,
            note="no data before the time-out",
            limit=TimeLimit.EVENT_GAP,
            limit_ms=EVENT_TIMEOUT_MS,
        )
    else:
        assert event == ResponseData(b"x")


@pytest.mark.parametrize(
    ("queue_answers", "is_abandoned"), [([True] * 5, False), ([True], True)]
)
def test_queued_prompt_is_not_moved_to_another_engine(queue_answers, is_abandoned):
    """Guards against a second prefill of a prompt that is queued at its engine."""
    connection = FakeConnection(
        delay_s=(EVENT_TIMEOUT_MS + 3 * QUEUE_RECHECK_MS) / 1000
    )
    attempt = make_attempt(may_retry=True, queue_answers=queue_answers)
    event = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert connection.closed is is_abandoned
    assert isinstance(event, Outcome) is is_abandoned


def test_attempt_ends_when_its_caller_disconnects():
    """Guards against endpoints that work for callers that have disconnected."""
    connection = FakeConnection(delay_s=2 * EVENT_TIMEOUT_MS / 1000)
    attempt = make_attempt(may_retry=False)
    attempt._exchange.is_disconnected = True
    event = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert event == Outcome(note="caller disconnected")
    assert connection.closed
    # A single wait, ended by the disconnect.
    assert connection._delay_s > 0
