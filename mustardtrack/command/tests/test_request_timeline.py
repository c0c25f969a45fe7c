"""Guards against timelines that omit or misplace log lines about a request."""

import json

from mustardtrack.command.request_timeline import explain_request, read_log


def log_line(second, event, **fields):
    time = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, "text": "x", **fields})


ROUTER = [
    log_line(1, 8941, version=3),
    log_line(2, 8942, sequence=7),
    log_line(4, 8952, request="r1", end="broken"),
    log_line(4.5, 8951, request="r2", status=200),
    log_line(5, 8951, request="r1", status=502),
    log_line(6, 8941, version=4),
    "ready",
    '{"time": "2026-12-04T10:00:06',
]
CONTROL = [
    log_line(0, 8301, role="leader", term=2),
    log_line(1.5, 8932, sequence=7, loading=["i-1"]),
]


def explain(request_id):
    lines = read_log("router-1", ROUTER) + read_log("control-1", CONTROL)
    return explain_request(request_id, lines)


def test_request_lines_follow_the_state_of_the_router_and_the_leader():
    timeline = explain("r1")
    events = [text.split("[")[1][:4] for text in timeline]
    assert events == ["8301", "8941", "8932", "8942", "8952", "8951"]
    assert 'loading=["i-1"]' in timeline[2]
    assert "status=502" in timeline[-1]


def test_state_after_the_last_request_line_is_omitted():
    assert not any("version=4" in text for text in explain("r1"))


def test_unknown_request_has_an_empty_timeline():
    assert explain("r9") == []


def test_process_name_at_line_start_overrides_the_log_name():
    lines = read_log("all.log", [f"  12.5 edge-a-1 {log_line(1, 8951, request='r')}"])
    assert lines[0].process == "edge-a-1"
