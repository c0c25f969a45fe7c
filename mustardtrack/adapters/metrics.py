"""Metrics adapters: in memory and to StatsD over UDP."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from statsd import StatsClient

from mustardtrack.ports import Metrics

# Upper bounds of the histogram buckets, from a fast service call up to the longest
# request deadline of any caller (12 s).
BUCKETS_MS = (10, 25, 50, 100, 150, 250, 500, 1000, 1500, 2500, 5000, 12_000)


@dataclass
class Histogram:
    """Histogram of durations; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    sum_ms: float = 0.0

    def observe(self, duration_ms: float) -> None:
        """Record one duration."""
        self.counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class InMemoryMetrics(Metrics):
    """In-memory counters, gauges and histograms that operators can query.

    Examples:
        >>> metrics = InMemoryMetrics()
        >>> metrics.count("refusal.deadline")
        >>> metrics.counters["refusal.deadline"]
        1
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a timing in a histogram and in counters for number and sum."""
        self.histograms.setdefault(name, Histogram()).observe(duration_ms)
        self.counters[f"{name}.samples"] += 1
        self.counters[f"{name}.sum_ms"] += round(duration_ms)


class StatsdMetrics(InMemoryMetrics):
    """In-memory metrics that are also sent to a StatsD server."""

    def __init__(self, host: str, port: int, prefix: str):
        super().__init__()
        self._client = StatsClient(host=host, port=port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter and send it."""
        super().count(name, value)
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge and send it."""
        super().gauge(name, value)
        self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a timing and send it."""
        super().timing(name, duration_ms)
        self._client.timing(name, duration_ms)
