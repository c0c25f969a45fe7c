"""Retry decisions for forwarded requests.

A request is refused as not run only if no endpoint can have run it. The same condition
limits retries on a route that does not allow a request to run more than once.
"""

from dataclasses import dataclass, field
from enum import Enum

from mustardtrack.configuration.routes import RetrySafety, Route
from mustardtrack.logs import define_event, require_invariant
from mustardtrack.routing.placementmessages import Placement

REFUSED_AFTER_RUN = define_event(
    7101, "ERROR", "refusal reports not_run although the request may have run"
)
UNSAFE_RETRY = define_event(
    7102, "ERROR", "request that must run at most once sent again after it may have run"
)

# Sends allowed beyond the route's maximum number of attempts while every response
# states that the request did not run.
MAX_EXTRA_UNEXECUTED_SENDS = 1


class AttemptFailure(Enum):
    """Reason why an attempt produced no answer for the caller."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    CONNECTION_LOST = "broken"
    TIMED_OUT = "timed_out"


class NextStep(Enum):
    """Step that follows an attempt without an answer.

    ``REFUSE`` reports the request as not run; ``FAIL`` is for one that may have run.
    """

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class RetryObstacle(Enum):
    """Reason why a stalled attempt goes on instead of being retried elsewhere.

    ``STREAM_STARTED`` is for a stream that the caller is receiving: another endpoint
    may refuse to resume it, so silence of a listed endpoint does not end it.
    """

    QUEUED = "queued"
    RETRY_BUDGET = "retry_budget"
    NO_ENDPOINT = "no_endpoint"
    HOPELESS = "hopeless"
    NOT_CONNECTED = "not_connected"
    STREAM_STARTED = "stream_started"


# Interval at which a retry of a stalled attempt is considered again.
STALL_RECHECK_MS = 500
# Obstacles that are found without a search for another endpoint.
_FOUND_WITHOUT_SEARCH = {
    RetryObstacle.QUEUED,
    RetryObstacle.RETRY_BUDGET,
    RetryObstacle.STREAM_STARTED,
}


class StallRecheck:
    """Intervals at which a retry of a stalled attempt is considered again.

    The interval doubles with each search for another endpoint that found none, since
    many attempts stall at once under an overload.

    Examples:
        >>> recheck = StallRecheck()
        >>> [recheck.next_ms(RetryObstacle.HOPELESS) for _ in range(3)]
        [500, 1000, 2000]
        >>> recheck.next_ms(RetryObstacle.QUEUED)
        500
    """

    def __init__(self) -> None:
        self._after_search_ms = STALL_RECHECK_MS

    def next_ms(self, obstacle: RetryObstacle | None) -> int:
        """Return the time until the next check after an obstacle."""
        if obstacle is None or obstacle in _FOUND_WITHOUT_SEARCH:
            return STALL_RECHECK_MS
        interval_ms = self._after_search_ms
        self._after_search_ms *= 2
        return interval_ms


_MAY_HAVE_RUN = {
    AttemptFailure.FAILED,
    AttemptFailure.CONNECTION_LOST,
    AttemptFailure.TIMED_OUT,
}
_DID_NOT_RUN = {AttemptFailure.NOT_SENT, AttemptFailure.NOT_RUN}


@dataclass
class ForwardedRequest:
    """Progress of one request across its attempts.

    Attributes:
        sends: Attempts for which bytes were sent to an endpoint.
        may_have_run: Whether an endpoint can have started to run the request.
        is_outcome_open: Whether the last send has no outcome yet.
        possible_runs: Number of attempts that may have run the request.
        tried: Endpoints that the request was sent to or that could not be reached.
        resume_after: Id of the last event that the caller received, None before the
            first.
        placement: Placement advice for the current attempt, None if the router
            selected the endpoint itself.
        status: Status that the caller received, 0 before the response.
        first_ms: Time from arrival of the request to the first relayed byte of the
            response, None before it.
        events: Events of a stream that were relayed.
    """

    route: Route
    sends: int = 0
    may_have_run: bool = False
    is_outcome_open: bool = False
    possible_runs: int = 0
    tried: list[str] = field(default_factory=list)
    resume_after: bytes | None = None
    placement: Placement | None = None
    status: int = 0
    first_ms: int | None = None
    events: int = 0

    def record_relayed(self, status: int, elapsed_ms: int, events: int = 0) -> None:
        """Record that a part of the response was relayed to the caller."""
        if self.first_ms is None:
            self.status, self.first_ms = status, elapsed_ms
        self.events += events

    def record_send(self) -> None:
        """Count a send.

        Raises:
            InvariantViolationError: If the request may have run, or may still be
                running, and must not be repeated.
        """
        # Without ``Route.may_retry``, on which the decision to retry rests: an error
        # in it would otherwise pass this check too.
        is_repeatable = {
            RetrySafety.IDEMPOTENT: True,
            RetrySafety.AT_MOST_ONCE: False,
            RetrySafety.STREAM: self.route.is_resumable,
        }
        is_second_run = self.may_have_run or self.is_outcome_open
        require_invariant(
            not is_second_run or is_repeatable[self.route.retry_safety],
            UNSAFE_RETRY,
            route=self.route.name,
            sends=self.sends,
        )
        self.sends += 1
        self.is_outcome_open = True

    def step_after(self, failure: AttemptFailure) -> NextStep:
        """Return the step after an attempt, before the retry budget is checked."""
        self.is_outcome_open = False
        if failure in _MAY_HAVE_RUN:
            self.may_have_run = True
            self.possible_runs += 1
        if self._may_retry():
            return NextStep.RETRY
        return self.final_step()

    def may_abandon_attempt(self) -> bool:
        """Return whether another attempt may follow if this one is abandoned.

        A stalled last attempt is not abandoned, since no other attempt can replace
        it, nor is one whose replacement would be the last send, since an endpoint can
        refuse that.
        """
        is_last_run = self.possible_runs + 1 >= self.route.max_attempts
        return self.route.may_retry and not is_last_run and self._sends_left() > 1

    def was_refused_after_run(self, failure: AttemptFailure | None) -> bool:
        """Return whether the last attempt did not run a request that ran before."""
        return self.may_have_run and failure in _DID_NOT_RUN

    def final_step(self) -> NextStep:
        """Return the step for a request that is not retried."""
        return NextStep.FAIL if self.may_have_run else NextStep.REFUSE

    def require_not_run(self) -> None:
        """Check that the request can be refused as not run.

        Raises:
            InvariantViolationError: If the request may have run.
        """
        require_invariant(
            not self.may_have_run,
            REFUSED_AFTER_RUN,
            route=self.route.name,
            sends=self.sends,
        )

    def _may_retry(self) -> bool:
        if self.may_have_run and not self.route.may_retry:
            return False
        if self.possible_runs >= self.route.max_attempts:
            return False
        return self._sends_left() > 0

    def _sends_left(self) -> int:
        return self.route.max_attempts + MAX_EXTRA_UNEXECUTED_SENDS - self.sends
