"""Limit on the idle time of connections reused for at-most-once requests.

Load pattern: many routers that each send a request to an endpoint every few seconds.
Opening a connection for each request is costly for the endpoint. But an endpoint may
drop an idle connection without notice, and a request sent on it is then lost, because
it cannot be retried once it may have run. The idle timeout that endpoints announce
applies until a reused connection is reset; after that a much shorter limit applies
for some time.
"""

import math

# Fraction of the idle time of a reset connection that becomes the new limit.
IDLE_LIMIT_FRACTION = 0.25
# Time without a reset after which the limit is lifted. It exceeds the interval between
# requests of one router.
IDLE_LIMIT_DURATION_MS = 10_000


class IdleReuseLimit:
    """Adaptive limit on the idle time of reused connections of one router.

    Examples:
        >>> limit = IdleReuseLimit()
        >>> limit.max_idle_s(0)
        inf
        >>> limit.record_reset(2.0, 0)
        >>> limit.max_idle_s(9_000), limit.max_idle_s(10_000)
        (0.5, inf)
    """

    def __init__(self) -> None:
        self._limit_s = math.inf
        self._limited_until_ms = 0

    def max_idle_s(self, now_ms: int) -> float:
        """Return the idle time below which a connection may be reused."""
        if now_ms >= self._limited_until_ms:
            self._limit_s = math.inf
        return self._limit_s

    def record_reset(self, idle_s: float, now_ms: int) -> None:
        """Lower the limit after a reused connection failed before its response."""
        limit_s = min(self.max_idle_s(now_ms), idle_s * IDLE_LIMIT_FRACTION)
        self._limit_s = limit_s
        self._limited_until_ms = now_ms + IDLE_LIMIT_DURATION_MS
