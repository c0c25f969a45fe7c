"""Creation of the metrics adapter."""

from typing import TYPE_CHECKING

from mustardtrack.adapters.metrics import InMemoryMetrics, StatsdMetrics
from mustardtrack.logs import add_event_listener
from mustardtrack.settings import split_address

if TYPE_CHECKING:
    from mustardtrack.settings import Settings


def create_metrics(settings: "Settings") -> InMemoryMetrics:
    """Return the metrics adapter of a process, which counts numbered log events."""
    if settings.statsd is None:
        metrics = InMemoryMetrics()
    else:
        host, port = split_address(settings.statsd)
        prefix = f"mustardtrack.{settings.deployment}.{settings.name}"
        metrics = StatsdMetrics(host, port, prefix)
    count_events(metrics)
    return metrics


def count_events(metrics: InMemoryMetrics) -> None:
    """Count each numbered log event in a metric of its own."""
    add_event_listener(lambda event, fields: metrics.count(f"event.{event.number}"))
