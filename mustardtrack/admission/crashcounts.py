"""Crash counts per request fingerprint, aggregated over all routers.

Load pattern: one request crashes each endpoint that begins to run it, and its caller
sends the same request again to any router. The losses of each fingerprint are counted
in the replicated state, so that they outlast the leader and a restart of all processes.
At a limit, all routers refuse the fingerprint, so that one caller cannot crash all
endpoints in turn. An endpoint that ends takes all equal streams with it that have
begun; these losses count once.

Times are wall-clock milliseconds, because monotonic times of different processes cannot
be compared. A clock that jumps shifts the end of a refusal by as much.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

# Crashes after which a request is refused; the requirements tolerate a third crash.
CRASH_LIMIT = 3
# Time after its last crash for which a fingerprint is retained. Callers abort within
# their time budget and repeat the same request a few times.
CRASH_RETENTION_MS = 60_000
# Losses at one endpoint within this time are one crash of it. The connections of a host
# that is gone end up to a TCP user timeout later; endpoints restart more slowly.
CRASH_SPREAD_MS = 1500
# Maximum numbers of fingerprints. When many distinct requests are lost, their counts
# evict each other, and not the refusals.
MAX_SUSPECTS = 10_000
MAX_REFUSED = 1000


class LostRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request whose endpoint closed the connection before the answer was complete.

    Attributes:
        fingerprint: Digest of the account, method, target and body.
        attempt: Identity of the attempt. A loss may be reported more than once.
        age_ms: Time since the connection was closed.
        counted_once_at: Id of the endpoint if the losses of one crash of it count once,
            empty if this loss counts by itself.
    """

    fingerprint: str
    attempt: str
    age_ms: int = 0
    counted_once_at: str = ""


class CrashCount(msgspec.Struct, array_like=True):
    """Crashes that lost one fingerprint.

    Attributes:
        attempts: First lost attempt of each crash.
        last_ms: Time of the last loss.
        endpoints: Endpoint and time of each crash whose losses count once.
    """

    attempts: list[str]
    last_ms: int
    endpoints: list[tuple[str, int]] = []

    def covers(self, loss: LostRequest, lost_ms: int) -> bool:
        """Return whether a loss belongs to a crash that has been counted."""
        return any(
            endpoint == loss.counted_once_at and abs(lost_ms - at_ms) < CRASH_SPREAD_MS
            for endpoint, at_ms in self.endpoints
        )

    def add(self, loss: LostRequest, lost_ms: int) -> None:
        """Count a loss, unless it belongs to a crash that has been counted."""
        self.last_ms = max(self.last_ms, lost_ms)
        if len(self.attempts) >= CRASH_LIMIT or self.covers(loss, lost_ms):
            return
        self.attempts.append(loss.attempt)
        if loss.counted_once_at:
            self.endpoints.append((loss.counted_once_at, lost_ms))


class CrashState(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of :class:`CrashCounter`, oldest records first."""

    suspects: list[tuple[str, CrashCount]] = []
    refused: list[tuple[str, CrashCount]] = []


class CrashCounter:
    """Counts crashes by fingerprint.

    Examples:
        >>> counter = CrashCounter()
        >>> lost = [LostRequest("f", str(number)) for number in range(CRASH_LIMIT)]
        >>> counter.record(lost[1:] + lost[1:], 0)
        []
        >>> counter.record(lost, 0)
        ['f']
        >>> counter.refused(10)
        ['f']
        >>> counter.refused(CRASH_RETENTION_MS)
        []
    """

    def __init__(self, state: CrashState | None = None) -> None:
        state = state or CrashState()
        self._suspects = OrderedDict(state.suspects)
        self._refused = OrderedDict(state.refused)

    def state(self) -> CrashState:
        """Return the encoded form."""
        return CrashState(list(self._suspects.items()), list(self._refused.items()))

    def record(self, lost: Iterable[LostRequest], wall_ms: int) -> list[str]:
        """Count losses that were not reported before.

        Returns:
            The fingerprints that are refused from now on and were not before.
        """
        self._evict_expired(wall_ms)
        newly_refused = []
        for loss in lost:
            if self.is_recorded(loss):
                continue
            fingerprint, last_ms = loss.fingerprint, wall_ms - loss.age_ms
            was_refused = fingerprint in self._refused
            count = self._take(fingerprint, wall_ms) or CrashCount([], last_ms)
            count.add(loss, last_ms)
            is_refused = len(count.attempts) >= CRASH_LIMIT
            (self._refused if is_refused else self._suspects)[fingerprint] = count
            if is_refused and not was_refused:
                newly_refused.append(fingerprint)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)
        return newly_refused

    def is_recorded(self, loss: LostRequest) -> bool:
        """Return whether a loss has been counted."""
        count = self._refused.get(loss.fingerprint)
        count = count or self._suspects.get(loss.fingerprint)
        return count is not None and loss.attempt in count.attempts

    def _take(self, fingerprint: str, wall_ms: int) -> CrashCount | None:
        """Remove and return a count, None if there is none or it has expired."""
        count = self._refused.pop(fingerprint, None)
        count = count or self._suspects.pop(fingerprint, None)
        return count if count is not None and _is_retained(count, wall_ms) else None

    def refused(self, wall_ms: int) -> list[str]:
        """Return the refused fingerprints."""
        return [
            fingerprint
            for fingerprint, count in self._refused.items()
            if _is_retained(count, wall_ms)
        ]

    def _evict_expired(self, wall_ms: int) -> None:
        for counts in (self._suspects, self._refused):
            while counts:
                fingerprint, count = next(iter(counts.items()))
                if _is_retained(count, wall_ms):
                    break
                del counts[fingerprint]


def _is_retained(count: CrashCount, wall_ms: int) -> bool:
    # A time in the far future was recorded while a clock was wrong.
    return abs(wall_ms - count.last_ms) < CRASH_RETENTION_MS
