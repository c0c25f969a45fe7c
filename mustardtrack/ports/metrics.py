"""Metrics port."""

from abc import ABC, abstractmethod


class Metrics(ABC):
    """Receiver of counters, gauges and timings.

    Names are dotted and in lower case, such as ``refusal.deadline``.
    """

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""

    @abstractmethod
    def timing(self, name: str, duration_ms: float) -> None:
        """Record one duration in milliseconds."""
