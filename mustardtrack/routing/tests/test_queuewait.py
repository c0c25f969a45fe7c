"""Refusals of requests that would wait past their time limit in a reported queue."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.queuewait import estimate_waits, is_queue_full

SLOTS = 12


def endpoint(name="e", running=11, waiting=36, place_ms=80.0, reported_ms=0):
    state = EndpointState(
        ListedEndpoint(name, 0, "s", f"10.0.0.1:{name}", "a", SLOTS, False, False, {})
    )
    state.record_load(SLOTS, waiting, reported_ms)
    if place_ms:
        state.record_answer(0, place_ms * (SLOTS + waiting))
    state.record_load(running, waiting, reported_ms)
    return state


def test_request_that_would_wait_past_its_limit_is_not_sent():
    """Guards against requests that wait in a queue until their caller gives up."""
    waits = estimate_waits([endpoint()], 0, 3176, 50)
    assert waits.in_time == []
    assert waits.first_begin_ms == 36 * 80 - 50


def test_shorter_queue_is_used():
    """Guards against refusals while one endpoint can serve the request."""
    long, short = endpoint("1"), endpoint("2", waiting=3)
    assert estimate_waits([long, short], 0, 3176, 0).in_time == [short]


def test_full_queue_is_not_sent_to():
    """Guards against the 3,187 prompts that were sent to full queues in one day."""
    full = endpoint(waiting=37, place_ms=10.0)
    full.queue_history.record_refusal(36)
    assert is_queue_full(full, 0, 5)
    assert estimate_waits([full], 0, 3176, 5).in_time == []
    full.queue_history.record_accepted(37)
    assert not is_queue_full(full, 0, 5)


def test_refusal_by_an_endpoint_without_a_queue_means_no_full_queue():
    """Guards against an endpoint that counts as full since it left or restarted."""
    state = endpoint(waiting=0)
    state.queue_history.record_refusal(0)
    assert not is_queue_full(state, 0, 0)


def test_nothing_changes_without_a_queue():
    """Guards against effects while demand is below capacity."""
    idle = [endpoint("1", waiting=0), endpoint("2", running=0, waiting=0)]
    assert estimate_waits(idle, 0, 1, 0).in_time is idle


def test_stale_report_refuses_nothing():
    """Guards against refusals by routers that get no reports any more."""
    state = endpoint()
    state.queue_history.record_refusal(36)
    assert estimate_waits([state], 0, 3176, 36 * 80).in_time == [state]


def test_unknown_speed_is_taken_from_other_endpoints():
    """Guards against a flood of the endpoint that has not answered this router yet."""
    known, unknown = endpoint("1"), endpoint("2", place_ms=0.0)
    assert estimate_waits([known, unknown], 0, 3176, 0).in_time == []


@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 5000)), max_size=8),
    st.integers(0, 60),
    st.integers(0, 4000),
    st.integers(1, 7000),
    st.one_of(st.none(), st.integers(1, 60)),
)
def test_urgent_requests_are_never_refused_before_less_urgent_ones(
    answers, waiting, age_ms, left_ms, places
):
    """Guards against less urgent requests that are served better than urgent ones."""
    state = endpoint(waiting=waiting, place_ms=0.0)
    state.queue_history.places = places
    for rank, elapsed_ms in answers:
        state.record_answer(rank, elapsed_ms)
    served = [
        bool(estimate_waits([state], rank, left_ms, age_ms).in_time)
        for rank in range(3)
    ]
    assert served == sorted(served, reverse=True)


@given(st.integers(0, 60), st.integers(0, 4000), st.integers(0, 4000))
def test_estimate_falls_with_the_age_of_the_report(waiting, age_ms, older_ms):
    """Guards against old reports that keep an endpoint from being used."""
    state = endpoint(waiting=waiting)
    newer = estimate_waits([state], 0, 3000, age_ms)
    older = estimate_waits([state], 0, 3000, age_ms + older_ms)
    assert older.first_begin_ms <= newer.first_begin_ms
    assert len(older.in_time) >= len(newer.in_time)
