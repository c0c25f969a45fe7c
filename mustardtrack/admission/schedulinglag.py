"""Delay with which a process gets the processor, and what it can still do in time.

Load pattern: a router with a fraction of a core gets more work than it can do, so that
it reads requests and notices time limits hundreds of milliseconds late. A caller then
waits past the time limit of its route, for requests that the router would have refused
at once had it known.

Delays are measured by a task that sleeps for a fixed time and notes how late it wakes.
"""

from collections import deque

# Period for which measured delays count. At least two measurements fall into it as
# long as requests with the shortest usual time limits can still be served.
LAG_WINDOW_MS = 2000
# Part of a route's time limit beyond which an answer may still come without harm: half
# of the half second within which a final answer is due after the limit.
TOLERATED_DELAY_MS = 250


class SchedulingLag:
    """Recent delay of a process.

    A single large delay does not count: it is a pause of the process, after which new
    requests are read in time. The delay is the second largest of the window.

    Examples:
        >>> lag = SchedulingLag()
        >>> lag.record(4000, now_ms=0)
        >>> lag.value_ms(0)
        0
        >>> lag.record(300, now_ms=400)
        >>> lag.value_ms(400), lag.value_ms(2100), lag.value_ms(2500)
        (300, 0, 0)
    """

    def __init__(self) -> None:
        self._delays: deque[tuple[int, int]] = deque()

    def record(self, delay_ms: int, now_ms: int) -> None:
        """Record how late the process noticed a time."""
        self._drop_old(now_ms)
        self._delays.append((now_ms, max(0, delay_ms)))

    def value_ms(self, now_ms: int) -> int:
        """Return the delay, 0 if fewer than two were measured."""
        self._drop_old(now_ms)
        largest = second = 0
        for _, delay_ms in self._delays:
            if delay_ms > largest:
                largest, second = delay_ms, largest
            elif delay_ms > second:
                second = delay_ms
        return second

    def _drop_old(self, now_ms: int) -> None:
        while self._delays and now_ms - self._delays[0][0] > LAG_WINDOW_MS:
            self._delays.popleft()


def shorten_limit(limit_ms: int, lag_ms: int) -> int:
    """Return the time limit that a request gets on a process with a delay.

    The request may have waited for as long as the delay before it was read, and its end
    will be noticed as late. What goes beyond the tolerated delay is taken off.

    Args:
        limit_ms: Time limit of the route, from the arrival of the request.
        lag_ms: Recent delay of the process.

    Returns:
        The time limit, 0 or less if the request cannot be answered in time.

    Examples:
        >>> shorten_limit(1500, 100), shorten_limit(1500, 400), shorten_limit(400, 400)
        (1500, 950, -150)
    """
    return limit_ms - max(0, 2 * lag_ms - TOLERATED_DELAY_MS)
