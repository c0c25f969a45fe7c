"""Metrics of a process in the Prometheus text exposition format."""

import re
from collections.abc import Iterator
from typing import Any

from mustardtrack.adapters.h11_server import Exchange, HttpServer
from mustardtrack.adapters.metrics import BUCKETS_MS, InMemoryMetrics

METRICS_PATH = "/metrics"
PREFIX = "mustardtrack_"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


def render_metrics(metrics: InMemoryMetrics) -> bytes:
    """Return all metrics of a process in the text exposition format.

    Counters that share the part before the first dot, such as
    ``refusal.no_endpoint``, become one metric with the label ``name``.
    """
    # Imported lazily to keep process start-up fast.
    from prometheus_client.exposition import generate_latest
    from prometheus_client.registry import CollectorRegistry

    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Prometheus collector that reads the metrics of a process."""

    def __init__(self, metrics: InMemoryMetrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Yield the metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters: dict[str, Any] = {}
        for name, value in sorted(self._metrics.counters.items()):
            base, label = _split_metric_name(name)
            family = counters.get(base)
            if family is None:
                family = CounterMetricFamily(PREFIX + base, base, labels=["name"])
                counters[base] = family
            family.add_metric([label], value)
        yield from counters.values()
        for name, gauge_value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(
                PREFIX + _sanitize_name(name), name, value=gauge_value
            )
        family = HistogramMetricFamily(
            f"{PREFIX}duration_ms", "Durations in milliseconds", labels=["name"]
        )
        for name, histogram in sorted(self._metrics.histograms.items()):
            cumulative, buckets = 0, []
            for bound, count in zip(
                (*BUCKETS_MS, "+Inf"), histogram.counts, strict=True
            ):
                cumulative += count
                buckets.append((str(bound), cumulative))
            family.add_metric([name], buckets, histogram.sum_ms)
        yield family


def _split_metric_name(name: str) -> tuple[str, str]:
    base, _, label = name.partition(".")
    return _sanitize_name(base), label


def _sanitize_name(name: str) -> str:
    return re.sub(r"[^a-zA-Z0-9_]", "_", name)


def serve_metrics(reactor: Any, host: str, port: int, metrics: InMemoryMetrics) -> None:
    """Serve the metrics of a process over HTTP at ``/metrics``."""

    def handle_request(exchange: Exchange) -> None:
        if exchange.path == METRICS_PATH:
            exchange.respond(200, [CONTENT_TYPE], render_metrics(metrics))
        else:
            exchange.respond(404, [], b"")

    HttpServer(handle_request).listen(reactor, host, port)
