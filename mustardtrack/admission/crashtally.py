"""Requests that break every endpoint that runs them, counted over all routers.

Load pattern: one request crashes each endpoint that begins to run it, and its caller
sends the same request again, to any router. The leader counts the breaks of each
fingerprint; after a few, all routers refuse it, so that one caller cannot take all
endpoints down in turn. Unlike :mod:`mustardtrack.admission.quarantine`, nothing is
replicated: a tally that is lost with its leader costs a few more crashes, and callers
here expect no answer for days.
"""

from collections import OrderedDict

# Breaks after which a request is refused; the users allow a third crash.
BREAKS = 3
# Time for which breaks are remembered; callers give up within their time budget and
# send the same request again a few times.
MEMORY_MS = 60_000
# Fingerprints that are remembered; the oldest are forgotten.
MAX_FINGERPRINTS = 10_000


class CrashTally:
    """Counts breaks by fingerprint.

    Examples:
        >>> tally = CrashTally()
        >>> for _ in range(BREAKS):
        ...     tally.record(["f"], 0)
        >>> tally.refused(10)
        ['f']
        >>> tally.refused(MEMORY_MS + 1)
        []
    """

    def __init__(self) -> None:
        self._breaks: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record(self, fingerprints: list[str], now_ms: int) -> None:
        """Count one break of each fingerprint."""
        for fingerprint in fingerprints:
            count, _ = self._breaks.pop(fingerprint, (0, 0))
            self._breaks[fingerprint] = (count + 1, now_ms)
        while len(self._breaks) > MAX_FINGERPRINTS:
            self._breaks.popitem(last=False)

    def refused(self, now_ms: int) -> list[str]:
        """Return the fingerprints that are refused, and forget old breaks."""
        horizon_ms = now_ms - MEMORY_MS
        while self._breaks:
            fingerprint, (_, last_ms) = next(iter(self._breaks.items()))
            if last_ms >= horizon_ms:
                break
            del self._breaks[fingerprint]
        return [key for key, (count, _) in self._breaks.items() if count >= BREAKS]
