"""What happens to a forwarded request after each attempt at an endpoint.

A request that must not be repeated is sent again only while no endpoint can have
run it, and is refused as not run only then too.
"""

from dataclasses import dataclass
from enum import Enum

from mustardtrack.configuration.routes import Route
from mustardtrack.logs import define_event, require_invariant
from mustardtrack.routing.placements import Placement

REFUSED_AFTER_RUN = define_event(
    7101, "ERROR", "refusal says not run although the request may have run"
)
SENT_TWICE = define_event(7102, "ERROR", "request that must not repeat is sent again")

# An endpoint is tried at most this often beyond the route's attempts while every
# answer states that the request did not run.
EXTRA_UNRUN_SENDS = 1


class AttemptEnd(Enum):
    """How an attempt ended without an answer for the caller."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


class NextStep(Enum):
    """What to do after an attempt without an answer."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


_MAY_HAVE_RUN = {AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT}


@dataclass
class ForwardedRequest:
    """Progress of one caller's request over its attempts.

    Attributes:
        sends: Attempts for which bytes were sent to an endpoint.
        may_have_run: Whether an endpoint can have begun to run it.
        ran_on: Attempts that may have run.
        resume_after: Last event that the caller received, None before the first.
        placement: Advice for the present attempt, None if the router chose alone.
    """

    route: Route
    sends: int = 0
    may_have_run: bool = False
    ran_on: int = 0
    resume_after: bytes | None = None
    placement: Placement | None = None

    def record_send(self) -> None:
        """Count a send; it must be allowed by the steps before."""
        require_invariant(
            not self.may_have_run or self.route.may_repeat,
            SENT_TWICE,
            route=self.route.name,
            sends=self.sends,
        )
        self.sends += 1

    def decide(self, end: AttemptEnd) -> NextStep:
        """Return the step after an attempt, before the retry budget is asked."""
        if end in _MAY_HAVE_RUN:
            self.may_have_run = True
            self.ran_on += 1
        if self._may_try_again():
            return NextStep.RETRY
        return self.give_up()

    def may_move(self) -> bool:
        """Return whether another attempt may follow if this one is given up.

        Silence of the last endpoint is no reason to end its answer early.
        """
        is_last = self.ran_on + 1 >= self.route.max_attempts
        return self.route.may_repeat and not is_last and self._has_sends_left()

    def give_up(self) -> NextStep:
        """Return how to answer a request that is not tried again."""
        return NextStep.FAIL if self.may_have_run else NextStep.REFUSE

    def check_refusal(self) -> None:
        """Stop a refusal that would be false."""
        require_invariant(
            not self.may_have_run,
            REFUSED_AFTER_RUN,
            route=self.route.name,
            sends=self.sends,
        )

    def _may_try_again(self) -> bool:
        if self.may_have_run and not self.route.may_repeat:
            return False
        if self.ran_on >= self.route.max_attempts:
            return False
        return self._has_sends_left()

    def _has_sends_left(self) -> bool:
        return self.sends < self.route.max_attempts + EXTRA_UNRUN_SENDS
