"""Guards against wrong sums in the report and failures on unreachable processes."""

from mustardtrack.command.report import merge_service_stats, render_report

ROW = {
    "completed": 3,
    "refused": 1,
    "failed": 0,
    "prompt_tokens": 100,
    "output_tokens": 9,
    "hit_rate": 0.5,
    "first_token_p99_ms": 40,
}


def test_counts_are_summed_and_hit_rates_weighted_by_tokens():
    other = ROW | {"prompt_tokens": 300, "hit_rate": 0.9, "first_token_p99_ms": 90}
    merged = merge_service_stats([{"urgent": ROW}, {"urgent": other}])["urgent"]
    assert merged["completed"] == 6
    assert merged["hit_rate"] == 0.8
    assert merged["first_token_p99_ms"] == 90


def test_report_shows_unreachable_processes_and_missing_traffic():
    page = render_report(
        [
            {"address": "127.0.0.1:9", "error": "connect_failed"},
            {"name": "r1", "role": "router", "measures": {"classes": {"urgent": ROW}}},
        ]
    )
    assert "connect_failed" in page
    assert "| urgent | 3 | 1 |" in page
    assert "No request has been served yet." in page
