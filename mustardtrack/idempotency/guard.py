"""Last check before the first byte of a non-idempotent call is written."""

from mustardtrack.logs import define_event, log_event, require_invariant

DISPATCH_REFUSED = define_event(
    3001, "WARNING", "dispatch window passed, call not dispatched"
)
SECOND_DISPATCH = define_event(3002, "ERROR", "claim dispatched a second time")


class DispatchGuard:
    """Allows one dispatch of a granted claim within the dispatch window.

    Args:
        granted_at_ms: Monotonic time of this router, read before the claim was
            first requested.
        dispatch_window_ms: Length of the window.

    Examples:
        >>> guard = DispatchGuard(granted_at_ms=1000, dispatch_window_ms=2000)
        >>> guard.allow(now_ms=2999)
        True
    """

    def __init__(self, granted_at_ms: int, dispatch_window_ms: int):
        self.granted_at_ms = granted_at_ms
        self.dispatch_window_ms = dispatch_window_ms
        self.dispatched = False

    def allow(self, now_ms: int) -> bool:
        """Return whether the call may be written now, at most once.

        A router that was paused for longer than the window gets False.

        Raises:
            InvariantViolationError: If the claim was dispatched before.
        """
        require_invariant(not self.dispatched, SECOND_DISPATCH, now_ms=now_ms)
        elapsed_ms = now_ms - self.granted_at_ms
        self.dispatched = 0 <= elapsed_ms < self.dispatch_window_ms
        if not self.dispatched:
            log_event(DISPATCH_REFUSED, elapsed_ms=elapsed_ms)
        return self.dispatched
