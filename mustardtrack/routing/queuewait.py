"""Estimate of when an endpoint would begin a request, from its reported queue.

Load pattern: demand is two to three times the capacity, the queues of all endpoints are
long, and a router hears of each queue only with its own answers, some of which are
seconds old. A request sent into such a queue waits until its time limit, or is turned
away because the queue has no place left.

A queue that was reported some time ago has moved on by that time even if every later
request of others joined it behind. What is left of it is the least that a new request
waits. The estimate therefore loses weight with the age of the report, down to nothing,
and a router without recent reports refuses nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from mustardtrack.routing.endpointstate import EndpointState


@dataclass(frozen=True)
class QueueWaits:
    """Endpoints that begin a request in time, and the wait at the others.

    Attributes:
        in_time: Endpoints with a place in their queue from which the request begins
            early enough to end within its time limit.
        first_begin_ms: Shortest time until an endpoint would begin the request.
        room_ms: Time until an endpoint could serve it in time, 0 if one can.
        place_ms: Mean time in which one endpoint serves one request, 0 if not known.
    """

    in_time: Sequence[EndpointState]
    first_begin_ms: float = 0.0
    room_ms: float = 0.0
    place_ms: float = 0.0


@dataclass(frozen=True)
class _Wait:
    begin_ms: float
    end_ms: float
    full_for_ms: float = 0.0
    is_full: bool = False

    def room_ms(self, time_left_ms: float) -> float:
        """Return the time until the request could be served in time, 0 if it can."""
        if self.is_full:
            return max(1.0, self.end_ms - time_left_ms, self.full_for_ms)
        return max(0.0, self.end_ms - time_left_ms) if self.begin_ms else 0.0


def estimate_waits(
    endpoints: Sequence[EndpointState], rank: int, time_left_ms: float, now_ms: int
) -> QueueWaits:
    """Return which endpoints begin a request of this rank early enough.

    Args:
        endpoints: Endpoints that the request may be sent to.
        rank: Rank of the request, 0 most urgent.
        time_left_ms: Time in which it must have been answered.
        now_ms: Monotonic time.
    """
    if not any(state.waiting for state in endpoints):
        return QueueWaits(endpoints)
    place_ms = _mean_place_ms(endpoints, rank)
    waits = [_wait(state, rank, place_ms, now_ms) for state in endpoints]
    in_time = [
        state
        for state, wait in zip(endpoints, waits, strict=True)
        if not wait.room_ms(time_left_ms)
    ]
    first_begin_ms = min(wait.begin_ms for wait in waits)
    room_ms = min(wait.room_ms(time_left_ms) for wait in waits)
    return QueueWaits(in_time, first_begin_ms, room_ms, place_ms)


def is_queue_full(state: EndpointState, rank: int, now_ms: int) -> bool:
    """Return whether the queue of an endpoint has no place for a request."""
    if not state.waiting or state.queue_history.places is None:
        return False
    return _wait(state, rank, 0.0, now_ms).is_full


def _wait(state: EndpointState, rank: int, mean_place_ms: float, now_ms: int) -> _Wait:
    if not state.waiting:
        return _Wait(0.0, 0.0)
    history = state.queue_history
    place_ms = history.place_ms(rank) or mean_place_ms
    if place_ms:
        age_ms = max(0, now_ms - state.load_reported_ms)
        queued = state.waiting + state.sent_since_load - age_ms / place_ms
    else:
        queued = state.estimated_queued(now_ms)
    begin_ms = max(0.0, queued * place_ms)
    end_ms = begin_ms + state.running * place_ms
    if history.places is None or queued < history.places:
        return _Wait(begin_ms, end_ms)
    full_for_ms = (queued - history.places + 1) * place_ms
    return _Wait(begin_ms, end_ms, full_for_ms, is_full=True)


def _mean_place_ms(endpoints: Sequence[EndpointState], rank: int) -> float:
    """Return the mean for endpoints that this router has no answers of."""
    known = [
        place_ms
        for state in endpoints
        if (place_ms := state.queue_history.place_ms(rank))
    ]
    return sum(known) / len(known) if known else 0.0
