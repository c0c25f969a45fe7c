"""Health probe results of one observer."""

from dataclasses import dataclass
from typing import Literal

from mustardtrack.membership.observations import Load, Observation, ObservedState


@dataclass(frozen=True)
class ProbeAnswer:
    """Parsed response to ``GET /health``."""

    incarnation: str
    state: Literal["up", "leaving"]
    load: Load | None = None


@dataclass
class _ProbeResult:
    probed_ms: int
    failures: int = 0
    answer: ProbeAnswer | None = None


class ProbeTable:
    """Converts probe results into observations.

    An observation is reported only while its probe result is fresh, so that a
    stalled probe loop cannot renew the lease of a state.

    Args:
        observer: Name of this router.
        max_age_ms: Maximum age of a result that is reported.
        down_after_failures: Consecutive failed probes after which the endpoint is
            reported as down; more than one, to tolerate a lost packet.

    Examples:
        >>> table = ProbeTable("r1", max_age_ms=1000)
        >>> table.record("engine-1", ProbeAnswer("a", "up"), now_ms=0)
        >>> table.report(now_ms=1000)[0].state, table.report(now_ms=1001)
        ('up', [])
    """

    def __init__(self, observer: str, max_age_ms: int, down_after_failures: int = 2):
        self._observer = observer
        self._max_age_ms = max_age_ms
        self._down_after_failures = down_after_failures
        self._results: dict[str, _ProbeResult] = {}

    def record(self, endpoint: str, answer: ProbeAnswer | None, now_ms: int) -> None:
        """Record one probe; ``answer`` is ``None`` if the probe failed or timed out."""
        result = self._results.setdefault(endpoint, _ProbeResult(now_ms))
        result.probed_ms = now_ms
        if answer is None:
            result.failures += 1
        else:
            result.failures = 0
            result.answer = answer

    def forget(self, endpoint: str) -> None:
        """Stop reporting an endpoint that is now assigned to another observer."""
        self._results.pop(endpoint, None)

    def report(self, now_ms: int) -> list[Observation]:
        """Return an observation for each endpoint with a fresh result."""
        reports = []
        for endpoint, result in self._results.items():
            state = self._state(result)
            if now_ms - result.probed_ms > self._max_age_ms or state is None:
                continue
            answer = result.answer
            incarnation = answer.incarnation if answer else ""
            load = answer.load if answer and state == "up" else None
            reports.append(
                Observation(endpoint, incarnation, state, load, self._observer, now_ms)
            )
        return reports

    def _state(self, result: _ProbeResult) -> ObservedState | None:
        if result.failures >= self._down_after_failures:
            return "down"
        return result.answer.state if result.answer else None
