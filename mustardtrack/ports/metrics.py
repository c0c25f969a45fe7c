"""Interface of the metrics sink."""

from abc import ABC, abstractmethod


class Metrics(ABC):
    """Sink for counters, gauges and timings.

    Metric names are in lower case with dots, such as ``refusal.deadline``.
    """

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""

    @abstractmethod
    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
