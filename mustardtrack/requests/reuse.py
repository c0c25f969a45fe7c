"""How long a connection may have been idle when it carries an at-most-once request.

Load pattern: many routers that each send a request to an endpoint every few seconds.
A new connection for each of them costs the endpoint work, but an endpoint may have
forgotten an idle connection without notice; the request on it is then lost, since it
may have run. The router trusts the idle time that endpoints state until a reused
connection is reset, and then only much fresher ones for a while.
"""

import math

# Part of the idle time of a reset connection that is trusted after the reset.
TRUSTED_SHARE = 0.25
# Time without a reset after which stated idle times are trusted again, longer than the
# pauses between requests of one router.
DISTRUST_MS = 10_000


class IdleTrust:
    """Limit of the idle time of reused connections at one router.

    Examples:
        >>> trust = IdleTrust()
        >>> trust.longest_idle_s(0)
        inf
        >>> trust.record_reset(2.0, 0)
        >>> trust.longest_idle_s(9_000), trust.longest_idle_s(10_000)
        (0.5, inf)
    """

    def __init__(self) -> None:
        self._limit_s = math.inf
        self._until_ms = 0

    def longest_idle_s(self, now_ms: int) -> float:
        """Return the idle time below which a connection may be reused."""
        if now_ms >= self._until_ms:
            self._limit_s = math.inf
        return self._limit_s

    def record_reset(self, idle_s: float, now_ms: int) -> None:
        """Record a reused connection that broke before its answer began."""
        limit_s = min(self.longest_idle_s(now_ms), idle_s * TRUSTED_SHARE)
        self._limit_s = limit_s
        self._until_ms = now_ms + DISTRUST_MS
