"""Time window in which a stopping router accepts and answers requests."""

from dataclasses import dataclass, replace
from enum import Enum


class InterruptedAnswer(Enum):
    """Last answer to a request that outlasts a planned stop.

    ``REFUSE`` promises that the request has not run and never will; ``FAIL`` promises
    nothing; ``RESET`` keeps a part of a response from looking complete.
    """

    REFUSE = "refuse"
    FAIL = "fail"
    RESET = "reset"


def choose_interrupted_answer(
    may_have_run: bool, is_started: bool
) -> InterruptedAnswer:
    """Return the answer to a request that is still open at the end of a planned stop.

    Args:
        may_have_run: Whether an endpoint may have run the request or may still run it.
        is_started: Whether a part of a response was sent to the caller.

    Examples:
        >>> choose_interrupted_answer(may_have_run=False, is_started=False).name
        'REFUSE'
        >>> choose_interrupted_answer(may_have_run=True, is_started=False).name
        'FAIL'
    """
    if is_started:
        return InterruptedAnswer.RESET
    return InterruptedAnswer.FAIL if may_have_run else InterruptedAnswer.REFUSE


@dataclass(frozen=True)
class ShutdownWindow:
    """Time limits of a planned stop, on the clock of the request deadlines.

    Callers that hold a directory response with this router keep sending requests for
    a while after it has withdrawn, and these are all accepted. A later request is
    accepted only if its deadline passes before the connections are closed; refused, it
    can still run on another router.

    Attributes:
        began_ms: Time at which the stop began.
        withdrawal_ms: Duration from the begin in which every request is accepted.
        limit_ms: Duration after which the remaining connections are closed.

    Examples:
        >>> window = ShutdownWindow(began_ms=0, withdrawal_ms=2000, limit_ms=7000)
        >>> window.accepts(now_ms=1999, deadline_ms=9000)
        True
        >>> window.accepts(now_ms=2000, deadline_ms=7000)
        False
        >>> window.accepts(now_ms=2000, deadline_ms=6999)
        True
    """

    began_ms: int
    withdrawal_ms: int
    limit_ms: int

    def elapsed_ms(self, now_ms: int) -> int:
        """Return the time since the stop began."""
        return now_ms - self.began_ms

    def is_withdrawn(self, now_ms: int) -> bool:
        """Return whether callers have stopped using old directory responses."""
        return self.elapsed_ms(now_ms) >= min(self.withdrawal_ms, self.limit_ms)

    def is_over(self, now_ms: int) -> bool:
        """Return whether the remaining connections must be closed."""
        return self.elapsed_ms(now_ms) >= self.limit_ms

    def ended_at(self, now_ms: int) -> "ShutdownWindow":
        """Return the window of the same stop if it is over now."""
        return replace(self, limit_ms=min(self.limit_ms, self.elapsed_ms(now_ms)))

    def accepts(self, now_ms: int, deadline_ms: int) -> bool:
        """Return whether a request with this deadline can be accepted."""
        if not self.is_withdrawn(now_ms):
            return True
        return self.elapsed_ms(deadline_ms) < self.limit_ms
