"""Division of a deployment-wide retry budget among the routers.

Load pattern: endpoints fail or refuse requests of many callers at once, and every
router would retry. The budget of a window is a fraction of the requests plus a fixed
number. Each router uses the fraction of its own requests and an equal share of that
number. The sum over all routers stays within the budget if the shares are counted by
all routers that may have used one within the window, also those that have stopped, and
a router that has started has none until the window has passed
(:mod:`mustardtrack.membership.routercounts`).
"""

from collections import deque

# Fraction of the budget that is used, since the windows of other observers have other
# boundaries and a retry may arrive in a later window than it was allowed in.
USED_FRACTION = 0.7


class SharedRetryBudget:
    """Retry budget of one service over a sliding window.

    Args:
        ratio: Retries per request that all routers together may send.
        window_ms: Length of the window.
        extra_retries: Retries per window that all routers together may send in
            addition.

    Examples:
        >>> budget = SharedRetryBudget(0.2, 10_000, 10)
        >>> [budget.allow_retry(now_ms, router_count=5) for now_ms in (0, 1)]
        [True, False]
    """

    def __init__(self, ratio: float, window_ms: int, extra_retries: int):
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra_retries = extra_retries
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_request(self, now_ms: int) -> None:
        """Count a request of a caller."""
        self._requests.append(now_ms)
        self._drop_expired(now_ms)

    def can_retry(self, now_ms: int, router_count: int) -> bool:
        """Return whether the budget allows a retry, without taking it.

        Args:
            now_ms: Monotonic time.
            router_count: Routers with a share of the extra retries, 0 if this router
                has none.
        """
        self._drop_expired(now_ms)
        allowed = self._ratio * len(self._requests)
        if router_count:
            allowed += self._extra_retries / router_count
        return len(self._retries) + 1 <= USED_FRACTION * allowed

    def allow_retry(self, now_ms: int, router_count: int) -> bool:
        """Take one retry if the budget allows it."""
        if not self.can_retry(now_ms, router_count):
            return False
        self._retries.append(now_ms)
        return True

    def _drop_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest_ms:
                times.popleft()
