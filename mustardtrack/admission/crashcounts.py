"""Crash counts per request fingerprint, aggregated over all routers.

Load pattern: one request crashes each endpoint that begins to run it, and its caller
sends the same request again to any router. The leader counts the crashes of each
fingerprint. At a limit, all routers refuse the fingerprint, so that one caller cannot
crash all endpoints in turn. Unlike :mod:`mustardtrack.admission.quarantine`, nothing
is replicated: losing the counts with the leader costs only a few more crashes, since
the callers of these endpoints do not wait days for a response.
"""

from collections import OrderedDict

# Crashes after which a request is refused; the requirements tolerate a third crash.
CRASH_LIMIT = 3
# Time after its last crash for which a fingerprint is retained. Callers abort within
# their time budget and repeat the same request a few times.
CRASH_RETENTION_MS = 60_000
# Maximum number of retained fingerprints; the oldest are evicted.
MAX_FINGERPRINTS = 10_000


class CrashCounter:
    """Counts crashes by fingerprint.

    Examples:
        >>> counter = CrashCounter()
        >>> for _ in range(CRASH_LIMIT):
        ...     counter.record(["f"], 0)
        >>> counter.refused(10)
        ['f']
        >>> counter.refused(CRASH_RETENTION_MS + 1)
        []
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record(self, fingerprints: list[str], now_ms: int) -> None:
        """Count one crash of each fingerprint."""
        for fingerprint in fingerprints:
            count, _ = self._crashes.pop(fingerprint, (0, 0))
            self._crashes[fingerprint] = (count + 1, now_ms)
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)

    def refused(self, now_ms: int) -> list[str]:
        """Return the refused fingerprints after evicting expired ones."""
        oldest_ms = now_ms - CRASH_RETENTION_MS
        while self._crashes:
            fingerprint, (_, last_ms) = next(iter(self._crashes.items()))
            if last_ms >= oldest_ms:
                break
            del self._crashes[fingerprint]
        return [
            key for key, (count, _) in self._crashes.items() if count >= CRASH_LIMIT
        ]
