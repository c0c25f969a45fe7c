"""Final check before the first byte of a non-idempotent call is written."""

from mustardtrack.logs import define_event, log_event, require_invariant

DISPATCH_WINDOW_EXPIRED = define_event(
    3001, "WARNING", "call not dispatched because its dispatch window expired"
)
SECOND_DISPATCH = define_event(3002, "ERROR", "second dispatch of the same claim")


class DispatchGuard:
    """Allows a single dispatch of a granted claim within its dispatch window.

    Args:
        window_start_ms: Monotonic time of this router, read before the claim was
            first requested.
        dispatch_window_ms: Length of the dispatch window.

    Examples:
        >>> guard = DispatchGuard(window_start_ms=1000, dispatch_window_ms=2000)
        >>> guard.allow(now_ms=2999)
        True
    """

    def __init__(self, window_start_ms: int, dispatch_window_ms: int):
        self.window_start_ms = window_start_ms
        self.dispatch_window_ms = dispatch_window_ms
        self.dispatched = False

    def allow(self, now_ms: int) -> bool:
        """Return whether the call may be written now; True at most once.

        Returns False if the router was paused for longer than the window.

        Raises:
            InvariantViolationError: If the claim was already dispatched.
        """
        require_invariant(not self.dispatched, SECOND_DISPATCH, now_ms=now_ms)
        elapsed_ms = now_ms - self.window_start_ms
        self.dispatched = 0 <= elapsed_ms < self.dispatch_window_ms
        if not self.dispatched:
            log_event(DISPATCH_WINDOW_EXPIRED, elapsed_ms=elapsed_ms)
        return self.dispatched
