"""Results of an observer's own probes."""

from dataclasses import dataclass
from typing import Literal

from mustardtrack.membership.observations import Load, Observation, ObservedState


@dataclass(frozen=True)
class ProbeAnswer:
    """Answer of ``GET /health``."""

    incarnation: str
    state: Literal["up", "leaving"]
    load: Load | None = None


@dataclass
class _Probed:
    last_ms: int
    failures: int = 0
    answer: ProbeAnswer | None = None


class ProbeTable:
    """Turns probe results into observations.

    An observation is produced only while its probe result is fresh, so a stalled
    probe loop cannot renew a status.

    Args:
        observer: Name of this router.
        fresh_ms: Age up to which a result is reported.
        failures_down: Consecutive failed probes after which the endpoint is
            reported as down; one lost packet is not enough.

    Examples:
        >>> table = ProbeTable("r1", fresh_ms=1000)
        >>> table.record("engine-1", ProbeAnswer("a", "up"), now_ms=0)
        >>> table.report(now_ms=1000)[0].state, table.report(now_ms=1001)
        ('up', [])
    """

    def __init__(self, observer: str, fresh_ms: int, failures_down: int = 2):
        self._observer = observer
        self._fresh_ms = fresh_ms
        self._failures_down = failures_down
        self._probed: dict[str, _Probed] = {}

    def record(self, endpoint: str, answer: ProbeAnswer | None, now_ms: int) -> None:
        """Record one probe; ``answer`` is ``None`` if it failed or timed out."""
        probed = self._probed.setdefault(endpoint, _Probed(now_ms))
        probed.last_ms = now_ms
        if answer is None:
            probed.failures += 1
        else:
            probed.failures = 0
            probed.answer = answer

    def forget(self, endpoint: str) -> None:
        """Stop reporting an endpoint that another router observes now."""
        self._probed.pop(endpoint, None)

    def report(self, now_ms: int) -> list[Observation]:
        """Return an observation for each endpoint with a fresh result."""
        reports = []
        for endpoint, probed in self._probed.items():
            state = self._state(probed)
            if now_ms - probed.last_ms > self._fresh_ms or state is None:
                continue
            answer = probed.answer
            incarnation = answer.incarnation if answer else ""
            load = answer.load if answer and state == "up" else None
            reports.append(
                Observation(endpoint, incarnation, state, load, self._observer, now_ms)
            )
        return reports

    def _state(self, probed: _Probed) -> ObservedState | None:
        if probed.failures >= self._failures_down:
            return "down"
        return probed.answer.state if probed.answer else None
