"""Metrics adapters: an in-process table and StatsD over UDP."""

from collections import Counter

from statsd import StatsClient

from mustardtrack.ports import Metrics


class CounterTable(Metrics):
    """Keeps counters and gauges in memory so that operators can query them.

    Examples:
        >>> table = CounterTable()
        >>> table.count("refusal.deadline")
        >>> table.counters["refusal.deadline"]
        1
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Keep the number of timings and their sum in milliseconds."""
        self.counters[f"{name}.samples"] += 1
        self.counters[f"{name}.sum_ms"] += round(duration_ms)


class StatsdMetrics(CounterTable):
    """Counter table that also sends every value to a StatsD server."""

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
