"""Choice of the metrics adapter."""

from mustardtrack.adapters.metrics import CounterTable, StatsdMetrics
from mustardtrack.logs import add_event_listener
from mustardtrack.settings import Settings, split_address


def create_metrics(settings: Settings) -> CounterTable:
    """Return the metrics of a process; each numbered event has a counter."""
    if settings.statsd is None:
        metrics = CounterTable()
    else:
        host, port = split_address(settings.statsd)
        prefix = f"mustardtrack.{settings.deployment}.{settings.name}"
        metrics = StatsdMetrics(host, port, prefix)
    add_event_listener(lambda event, fields: metrics.count(f"event.{event.number}"))
    return metrics
