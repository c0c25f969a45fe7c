"""Guards against metrics that Prometheus cannot parse."""

from mustardtrack.adapters.exposition import render_metrics
from mustardtrack.adapters.metrics import InMemoryMetrics


def test_counters_and_histograms_are_rendered():
    metrics = InMemoryMetrics()
    metrics.count("refusal.no_endpoint")
    metrics.gauge("routers", 3)
    metrics.timing("route_rank.0", 30)
    metrics.timing("route_rank.0", 99_999)
    text = render_metrics(metrics).decode()
    assert 'mustardtrack_refusal_total{name="no_endpoint"} 1.0' in text
    assert "mustardtrack_routers 3.0" in text
    assert 'mustardtrack_duration_ms_bucket{le="50",name="route_rank.0"} 1.0' in text
    assert 'mustardtrack_duration_ms_count{name="route_rank.0"} 2.0' in text
