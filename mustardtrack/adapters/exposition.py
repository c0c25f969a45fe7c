"""Counters and histograms in the text format that Prometheus reads."""

import re
from collections.abc import Iterator
from typing import Any

from mustardtrack.adapters.http_exchange import Exchange, HttpServer
from mustardtrack.adapters.metrics import BUCKETS_MS, CounterTable

METRICS_PATH = "/metrics"
PREFIX = "mustardtrack_"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


def render_metrics(table: CounterTable) -> bytes:
    """Return all metrics of a process.

    Names with a variable last part, such as ``refusal.no_endpoint``, become one
    metric with the label ``name``.
    """
    # Imported on the first call, since the import would delay every restart.
    from prometheus_client.exposition import generate_latest
    from prometheus_client.registry import CollectorRegistry

    registry = CollectorRegistry()
    registry.register(_Collector(table))
    return generate_latest(registry)


class _Collector:
    """Presents a counter table to the library."""

    def __init__(self, table: CounterTable):
        self._table = table

    def collect(self) -> Iterator[Any]:
        """Return the metrics as the library's families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters: dict[str, Any] = {}
        for name, value in sorted(self._table.counters.items()):
            base, label = _split(name)
            family = counters.get(base)
            if family is None:
                family = CounterMetricFamily(PREFIX + base, base, labels=["name"])
                counters[base] = family
            family.add_metric([label], value)
        yield from counters.values()
        for name, level in sorted(self._table.gauges.items()):
            yield GaugeMetricFamily(PREFIX + _clean(name), name, value=level)
        family = HistogramMetricFamily(
            f"{PREFIX}duration_ms", "Durations in milliseconds", labels=["name"]
        )
        for name, histogram in sorted(self._table.histograms.items()):
            total, buckets = 0, []
            for bound, count in zip(
                (*BUCKETS_MS, "+Inf"), histogram.counts, strict=True
            ):
                total += count
                buckets.append((str(bound), total))
            family.add_metric([name], buckets, histogram.sum_ms)
        yield family


def _split(name: str) -> tuple[str, str]:
    base, _, label = name.partition(".")
    return _clean(base), label


def _clean(name: str) -> str:
    return re.sub(r"[^a-zA-Z0-9_]", "_", name)


def serve_metrics(reactor: Any, host: str, port: int, table: CounterTable) -> None:
    """Serve the metrics of a process."""

    def answer(exchange: Exchange) -> None:
        if exchange.path == METRICS_PATH:
            exchange.respond(200, [CONTENT_TYPE], render_metrics(table))
        else:
            exchange.respond(404, [], b"")

    HttpServer(answer).listen(reactor, host, port)
