"""Guards against repeated execution and false not_run reports."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.configuration.routes import RetrySafety, Route, ServiceShare
from mustardtrack.logs import InvariantViolationError
from mustardtrack.requests.event_stream import EventStreamSplitter
from mustardtrack.requests.forwarding import AttemptFailure, ForwardedRequest, NextStep


def route(kind, attempts=2, resumable=False):
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        retry_safety=kind,
        timeout_ms=1000,
        objective_ms=100,
        objective_gap_ms=0,
        rank=0,
        shares=(ServiceShare("s", 1.0),),
        max_attempts=attempts,
        is_resumable=resumable,
    )


@pytest.mark.parametrize(
    "failure",
    [AttemptFailure.CONNECTION_LOST, AttemptFailure.FAILED, AttemptFailure.TIMED_OUT],
)
@pytest.mark.parametrize("kind", [RetrySafety.AT_MOST_ONCE, RetrySafety.STREAM])
def test_request_that_may_have_run_is_not_sent_again(kind, failure):
    progress = ForwardedRequest(route(kind))
    progress.record_send()
    assert progress.step_after(failure) is NextStep.FAIL
    with pytest.raises(InvariantViolationError):
        progress.record_send()
    with pytest.raises(InvariantViolationError):
        progress.require_not_run()


@pytest.mark.parametrize("is_outcome_open", [False, True])
def test_call_on_a_route_with_flags_of_streams_runs_once(is_outcome_open):
    """Guards against bookings that run again because their route is resumable."""
    progress = ForwardedRequest(route(RetrySafety.AT_MOST_ONCE, resumable=True))
    progress.record_send()
    assert not progress.may_abandon_attempt()
    if not is_outcome_open:
        step = progress.step_after(AttemptFailure.CONNECTION_LOST)
        assert step is NextStep.FAIL
    with pytest.raises(InvariantViolationError):
        progress.record_send()


@pytest.mark.parametrize(
    "kind, resumable",
    [(RetrySafety.AT_MOST_ONCE, True), (RetrySafety.STREAM, False)],
)
def test_second_run_is_stopped_even_if_the_route_says_that_it_may_be_retried(
    kind, resumable, monkeypatch
):
    """Guards against a check that shares a wrong answer with the decision."""
    monkeypatch.setattr(Route, "may_retry", True)
    progress = ForwardedRequest(route(kind, resumable=resumable))
    progress.record_send()
    assert progress.step_after(AttemptFailure.CONNECTION_LOST) is NextStep.RETRY
    with pytest.raises(InvariantViolationError):
        progress.record_send()


def test_request_that_did_not_run_is_retried_and_then_refused():
    progress = ForwardedRequest(route(RetrySafety.AT_MOST_ONCE, attempts=1))
    progress.record_send()
    assert progress.step_after(AttemptFailure.NOT_RUN) is NextStep.RETRY
    progress.record_send()
    assert progress.step_after(AttemptFailure.NOT_RUN) is NextStep.REFUSE
    progress.require_not_run()


def test_resumable_stream_continues_elsewhere_within_its_attempts():
    progress = ForwardedRequest(route(RetrySafety.STREAM, 2, resumable=True))
    progress.record_send()
    assert progress.step_after(AttemptFailure.CONNECTION_LOST) is NextStep.RETRY
    progress.record_send()
    assert progress.step_after(AttemptFailure.CONNECTION_LOST) is NextStep.FAIL


ENDS = st.lists(st.sampled_from(AttemptFailure), max_size=6)
KINDS = st.sampled_from(RetrySafety)


@given(KINDS, st.integers(1, 3), st.booleans(), ENDS)
def test_attempts_are_bounded_and_refused_requests_did_not_run(
    kind, attempts, resumable, ends
):
    progress = ForwardedRequest(route(kind, attempts, resumable))
    ran = 0
    for failure in ends:
        if failure is not AttemptFailure.NOT_SENT:
            progress.record_send()
        ran += failure not in (AttemptFailure.NOT_SENT, AttemptFailure.NOT_RUN)
        step = progress.step_after(failure)
        if step is NextStep.REFUSE:
            assert ran == 0
        if step is not NextStep.RETRY:
            break
    assert ran <= attempts
    if kind is RetrySafety.AT_MOST_ONCE or (
        kind is RetrySafety.STREAM and not resumable
    ):
        assert ran <= 1


# A line is empty if it ends right after the end of another line.
EMPTY_LINE_ENDS = (b"\n\n", b"\r\r", b"\n\r", b"\n\r\n", b"\r\r\n")
STREAM_TEXT = st.binary(max_size=6) | st.text("a:\r\n", max_size=6).map(str.encode)


@given(st.lists(STREAM_TEXT, max_size=8))
def test_splitter_returns_every_byte_once_and_only_complete_events(chunks):
    splitter = EventStreamSplitter()
    out = b"".join(splitter.feed(chunk) for chunk in chunks)
    whole = b"".join(chunks)
    assert out + splitter.rest == whole
    assert not out or out.endswith(EMPTY_LINE_ENDS)
    if b"\r" not in whole:
        assert not out or out.endswith(b"\n\n")
        assert b"\n\n" not in splitter.rest


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 3, 1000])
def test_splitter_accepts_every_line_end_of_the_format(line_end, size):
    """Guards against events that are held back until the end of their stream."""
    events = [
        b"id: %d" % number + line_end + b"data: x" + line_end * 2 for number in range(3)
    ]
    stream = b"".join(events)
    splitter = EventStreamSplitter()
    out = b""
    for start in range(0, len(stream), size):
        out += splitter.feed(stream[start : start + size])
        # Every event that has arrived whole was returned.
        arrived = stream[: start + size].count(line_end * 2)
        assert out.count(b"data: x") >= arrived
    assert (out + splitter.rest).startswith(stream)
    assert not splitter.rest.strip(b"\n")
    assert splitter.last_event_id == b"2"


def test_last_attempt_of_a_stalled_stream_is_not_abandoned():
    """Guards against truncating an answer when no further attempt is allowed."""
    progress = ForwardedRequest(route(RetrySafety.STREAM, 2, resumable=True))
    progress.record_send()
    assert progress.may_abandon_attempt()
    assert progress.step_after(AttemptFailure.TIMED_OUT) is NextStep.RETRY
    progress.record_send()
    assert not progress.may_abandon_attempt()


def test_stalled_stream_that_must_not_repeat_is_not_abandoned():
    progress = ForwardedRequest(route(RetrySafety.STREAM, 2))
    progress.record_send()
    assert not progress.may_abandon_attempt()


def test_stalled_attempt_is_not_abandoned_for_the_last_send():
    """Guards against cutting an answer because the endpoint of the retry refuses it."""
    progress = ForwardedRequest(route(RetrySafety.STREAM, 2, resumable=True))
    progress.record_send()
    assert progress.step_after(AttemptFailure.NOT_RUN) is NextStep.RETRY
    progress.record_send()
    assert not progress.may_abandon_attempt()


@given(KINDS, st.integers(1, 4), st.booleans(), ENDS)
def test_abandoned_attempt_leaves_room_for_one_that_is_refused(
    kind, attempts, resumable, ends
):
    """Guards against an abandoned attempt whose retry is refused without another."""
    progress = ForwardedRequest(route(kind, attempts, resumable))
    for failure in ends:
        if failure is not AttemptFailure.NOT_SENT:
            progress.record_send()
        if progress.may_abandon_attempt():
            following = copy.deepcopy(progress)
            assert following.step_after(AttemptFailure.TIMED_OUT) is NextStep.RETRY
            following.record_send()
            assert following.step_after(AttemptFailure.NOT_RUN) is NextStep.RETRY
            following.record_send()
            assert following.possible_runs + 1 <= attempts
        if progress.step_after(failure) is not NextStep.RETRY:
            break


@pytest.mark.parametrize("failure", AttemptFailure)
def test_only_a_refused_retry_of_a_run_is_tried_again_later(failure):
    """Guards against waits for a request that never ran or whose endpoint broke."""
    progress = ForwardedRequest(route(RetrySafety.STREAM, 3, resumable=True))
    progress.record_send()
    progress.step_after(AttemptFailure.NOT_RUN)
    assert not progress.was_refused_after_run(AttemptFailure.NOT_RUN)
    progress.record_send()
    progress.step_after(AttemptFailure.TIMED_OUT)
    progress.record_send()
    progress.step_after(failure)
    is_refused = failure in (AttemptFailure.NOT_RUN, AttemptFailure.NOT_SENT)
    assert progress.was_refused_after_run(failure) is is_refused
