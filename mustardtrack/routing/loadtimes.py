"""Time that the engines of a service take to load weights, learned from their loads.

Load pattern: new weights are named while requests run, and nothing states how long a
load takes. Deployments differ by a factor of twenty. An engine whose load is noticed
late stays out of service for longer than its load and delays the engines after it; one
that is asked too often answers calls that are priced.
"""

from collections.abc import Iterator
from dataclasses import dataclass

# Assumed until the first load has ended.
PRIOR_LOAD_MS = 1000.0
MIN_LOAD_MS = 50.0
MAX_LOAD_MS = 60_000.0
# Weight of the newest load in the moving average.
LOAD_EWMA_WEIGHT = 0.35
# Weight of a load that had ended before the first report.
SHORT_LOAD_EWMA_WEIGHT = 0.6
# The first report is due after this fraction of the expected time, so that shorter
# loads are noticed as well.
FIRST_REPORT_FRACTION = 0.75
# First report of a service whose loads are not known, as a fraction of the prior.
UNKNOWN_FIRST_REPORT_FRACTION = 0.25
# Time between two reports as a fraction of the time waited so far.
REPORT_PERIOD_FRACTION = 0.15
MIN_REPORT_PERIOD_MS = 100.0


@dataclass
class _ServiceLoads:
    expected_ms: float = PRIOR_LOAD_MS
    count: int = 0


class LoadTimes:
    """Learned load times by service.

    Examples:
        >>> times = LoadTimes()
        >>> times.record("s", 0, 300)
        >>> times.expected_ms("s")
        300.0
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceLoads] = {}

    def expected_ms(self, service: str) -> float:
        """Return the expected time from an order to the report that it is complete."""
        return self._loads(service).expected_ms

    def record(self, service: str, waited_ms: float, reported_ms: float) -> None:
        """Record a load that ended between two reports.

        Args:
            service: Service of the engine.
            waited_ms: Time from the order to the last report before the end, 0 if the
                first report showed the end.
            reported_ms: Time from the order to the report that showed the end.
        """
        loads = self._loads(service)
        sample_ms, weight = reported_ms, 1.0
        if loads.count:
            sample_ms = (waited_ms + reported_ms) / 2
            weight = LOAD_EWMA_WEIGHT if waited_ms else SHORT_LOAD_EWMA_WEIGHT
        sample_ms = min(MAX_LOAD_MS, max(MIN_LOAD_MS, sample_ms))
        loads.expected_ms += weight * (sample_ms - loads.expected_ms)
        loads.count += 1

    def report_times_ms(self, service: str, limit_ms: float) -> Iterator[float]:
        """Return the times after an order at which to ask an engine for a report."""
        loads = self._loads(service)
        fraction = (
            FIRST_REPORT_FRACTION if loads.count else (UNKNOWN_FIRST_REPORT_FRACTION)
        )
        time_ms = fraction * loads.expected_ms
        while time_ms < limit_ms:
            yield time_ms
            time_ms += max(MIN_REPORT_PERIOD_MS, REPORT_PERIOD_FRACTION * time_ms)

    def _loads(self, service: str) -> _ServiceLoads:
        return self._services.setdefault(service, _ServiceLoads())
