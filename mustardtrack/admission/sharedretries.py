"""This router's part of the retry budget that all routers share.

Load pattern: endpoints fail or refuse for many callers at once, and every router
wants to retry. The budget of a window is a fraction of the requests plus a floor;
each router takes the fraction of its own requests and an equal part of the floor,
so that the sum over all routers stays within the budget without messages.
"""

from collections import deque

# Part of the budget that is used, since windows of others are cut differently and
# a retry may arrive in a later window than it was allowed in.
USED_SHARE = 0.7


class SharedRetryBudget:
    """Counts requests and retries of one service in a sliding window.

    Args:
        ratio: Retries per request that all routers together may send.
        window_ms: Length of the window.
        floor: Retries of all routers beyond the ratio.

    Examples:
        >>> budget = SharedRetryBudget(0.2, 10_000, 10)
        >>> [budget.allow(now_ms, router_count=5) for now_ms in (0, 1)]
        [True, False]
    """

    def __init__(self, ratio: float, window_ms: int, floor: int):
        self._ratio = ratio
        self._window_ms = window_ms
        self._floor = floor
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_request(self, now_ms: int) -> None:
        """Count a caller's request."""
        self._requests.append(now_ms)
        self._forget(now_ms)

    def has_room(self, now_ms: int, router_count: int) -> bool:
        """Return whether the budget has a retry, without taking it."""
        self._forget(now_ms)
        allowed = self._ratio * len(self._requests) + self._floor / max(1, router_count)
        return len(self._retries) + 1 <= USED_SHARE * allowed

    def allow(self, now_ms: int, router_count: int) -> bool:
        """Take one retry if the budget has one."""
        if not self.has_room(now_ms, router_count):
            return False
        self._retries.append(now_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        horizon_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= horizon_ms:
                times.popleft()
