"""Guards against a failed request whose cause the logs hold and nobody finds."""

import json

from mustardtrack.command.explanation import explain_request, read_log


def line(second, event, **fields):
    time = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, "text": "x", **fields})


ROUTER = [
    line(1, 8941, version=3),
    line(2, 8942, sequence=7),
    line(4, 8952, request="r1", end="broken"),
    line(4.5, 8951, request="r2", status=200),
    line(5, 8951, request="r1", status=502),
    line(6, 8941, version=4),
    "ready",
    '{"time": "2026-12-04T10:00:06',
]
CONTROL = [
    line(0, 8301, role="leader", term=2),
    line(1.5, 8932, sequence=7, loading=["i-1"]),
]


def tell(request_id):
    lines = read_log("router-1", ROUTER) + read_log("control-1", CONTROL)
    return explain_request(request_id, lines)


def test_lines_of_a_request_follow_what_its_router_and_the_leader_believed():
    story = tell("r1")
    events = [text.split("[")[1][:4] for text in story]
    assert events == ["8301", "8941", "8932", "8942", "8952", "8951"]
    assert 'loading=["i-1"]' in story[2]
    assert "status=502" in story[-1]


def test_beliefs_after_the_request_are_left_out():
    assert not any("version=4" in text for text in tell("r1"))


def test_unknown_request_has_no_story():
    assert tell("r9") == []


def test_lines_that_begin_with_time_and_process_keep_that_name():
    found = read_log("all.log", [f"  12.5 edge-a-1 {line(1, 8951, request='r')}"])
    assert found[0].process == "edge-a-1"
