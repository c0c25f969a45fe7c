"""Guards against abandoning attempts whose endpoint is still working on an answer."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.upstream import ResponseData, ResponseEnd, ResponseHead
from mustardtrack.process.attempt import Attempt
from mustardtrack.process.attempt_state import Outcome, PlannedAttempt
from mustardtrack.requests.forwarding import (
    STALL_RECHECK_MS,
    AttemptFailure,
    RetryObstacle,
)
from mustardtrack.requests.time_limits import RequestTimeLimit, TimeLimit

TIME_LEFT_MS = 5000
EVENT_TIMEOUT_MS = 1500
# Cycles of the event loop in which a preparation without waits completes.
WAKE_CYCLES = 5
REPLACEMENT = PlannedAttempt(SimpleNamespace(id="e2"), None, {})


class FakeConnection:
    """Fake connection whose next event arrives after a delay."""

    def __init__(self, delay_s):
        self.closed = False
        self._delay_s = delay_s
        self._is_woken = False

    async def next_event(self, timeout_s):
        """Return the event if it arrives within the time-out, None if woken before."""
        self._is_woken = False
        for _ in range(WAKE_CYCLES):
            await asyncio.sleep(0)
        if self._is_woken:
            return None
        self._delay_s -= timeout_s
        return ResponseData(b"x") if self._delay_s <= 0 else None

    def wake(self):
        """End the wait."""
        self._is_woken = True

    def abort(self):
        """Record the close."""
        self.closed = True


def make_attempt(preparations, may_abandon=True, now_ms=0):
    """Return an attempt for which these retries are prepared, one after another."""
    results = iter(preparations)

    async def prepare_retry(admitted, progress):
        return next(results)

    clock = SimpleNamespace(now_ms=lambda: now_ms)
    forwarder = SimpleNamespace(
        clock=clock,
        prepare_retry=prepare_retry,
        take_retry=lambda admitted, planned: True,
        must_continue=lambda admitted, endpoint: False,
    )
    limit = RequestTimeLimit(TimeLimit.ROUTE, TIME_LEFT_MS)
    admitted = SimpleNamespace(
        exchange=SimpleNamespace(is_disconnected=False),
        prompt=None,
        request_id="q",
        received_ms=0,
        time_limit=limit,
        deadline_ms=TIME_LEFT_MS,
    )
    endpoint = SimpleNamespace(id="e1", record_unreachable=lambda now_ms: None)
    progress = SimpleNamespace(may_abandon_attempt=lambda: may_abandon)
    planned = PlannedAttempt(endpoint, None, {})
    return Attempt(forwarder, admitted, planned, progress)


@pytest.mark.parametrize(
    ("preparations", "may_abandon", "ends_at_limit", "is_abandoned"),
    [
        ([REPLACEMENT], True, False, True),
        ([], False, False, False),
        *([[obstacle] * 5, True, False, False] for obstacle in RetryObstacle),
        ([], False, True, True),
    ],
)
def test_stalled_attempt_is_abandoned_only_for_a_prepared_one(
    preparations, may_abandon, ends_at_limit, is_abandoned
):
    connection = FakeConnection(delay_s=2 * EVENT_TIMEOUT_MS / 1000)
    attempt = make_attempt(preparations, may_abandon)
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
            replacement=preparations[0] if preparations else None,
        )
    else:
        assert event == ResponseData(b"x")


@pytest.mark.parametrize(
    ("preparations", "is_abandoned"),
    [([RetryObstacle.QUEUED] * 5, False), ([RetryObstacle.QUEUED, REPLACEMENT], True)],
)
def test_queued_prompt_is_not_moved_to_another_engine(preparations, is_abandoned):
    """Guards against a second prefill of a prompt that is queued at its engine."""
    connection = FakeConnection(
        delay_s=(EVENT_TIMEOUT_MS + 3 * STALL_RECHECK_MS) / 1000
    )
    attempt = make_attempt(preparations)
    event = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert connection.closed is is_abandoned
    assert isinstance(event, Outcome) is is_abandoned


def test_attempt_ends_when_its_caller_disconnects():
    """Guards against endpoints that work for callers that have disconnected."""
    connection = FakeConnection(delay_s=2 * EVENT_TIMEOUT_MS / 1000)
    attempt = make_attempt([], may_abandon=False)
    attempt._exchange.is_disconnected = True
    event = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert event == Outcome(note="caller disconnected")
    assert connection.closed
    # A single wait, ended by the disconnect.
    assert connection._delay_s > 0


class BusyConnection(FakeConnection):
    """Fake connection that always has an event."""

    def __init__(self, event):
        super().__init__(delay_s=0)
        self._event = event

    async def next_event(self, timeout_s):
        """Return the event."""
        return self._event


@pytest.mark.parametrize("event", [ResponseHead(200, []), ResponseData(b"x")])
def test_data_that_keeps_coming_ends_at_the_deadline(event):
    """Guards against an answer that is relayed for ever after its time limit."""
    connection = BusyConnection(event)
    attempt = make_attempt([], now_ms=TIME_LEFT_MS)
    outcome = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert outcome == Outcome(
        AttemptFailure.TIMED_OUT,
        note="data still arriving at the time limit",
        limit=TimeLimit.ROUTE,
        limit_ms=TIME_LEFT_MS,
    )
    assert connection.closed


def test_answer_that_is_complete_at_the_deadline_is_not_cut():
    connection = BusyConnection(ResponseEnd())
    attempt = make_attempt([], now_ms=TIME_LEFT_MS)
    event = asyncio.run(
        attempt._next_event(connection, EVENT_TIMEOUT_MS, TimeLimit.EVENT_GAP)
    )
    assert event == ResponseEnd()
    assert not connection.closed
