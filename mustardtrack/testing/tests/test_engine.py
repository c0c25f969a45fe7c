"""HTTP contract of the stand-in engine process, including each injectable fault."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from mustardtrack.testing import Fleet, call, expected_text, open_request, read_stream
from mustardtrack.testing.server import CRASH_EXIT_CODE

MODEL = "example-model"
PROMPT = "x" * 8192
NO_FAULTS = {"crash_text": None, "late_ms": 0, "crossed": False, "stall": False}
NO_FAULTS |= {"close_after_pieces": None, "swap_piece": None, "times": None}
NO_FAULTS |= {"duplicate_piece": None, "drop_piece": None, "stall_health": False}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        yield fleet


@pytest.fixture(scope="module")
def shared(fleet):
    return fleet.start_engine("shared", "--load-ms", "200", "--event-delay-ms", "0")


@pytest.fixture
def engine(shared):
    yield shared
    shared.post("/faults", NO_FAULTS)


def make_request(request_id, attempt=1, **fields):
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 8, "stream": True}
    ids = {"request_id": request_id, "attempt_id": f"{request_id}.{attempt}"}
    return body | ids | fields


def stream_completion(engine, body, **options):
    return list(read_stream(engine.address, "/v1/completions", body, **options))


def chunk_indexes(chunks):
    return [chunk["piece"] for chunk in chunks if "piece" in chunk]


def joined_text(chunks):
    return "".join(chunk["choices"][0]["text"] for chunk in chunks if "piece" in chunk)


def read_until_closed(engine, body):
    chunks = []
    with pytest.raises((ConnectionError, TimeoutError)):
        chunks.extend(read_stream(engine.address, "/v1/completions", body))
        raise ConnectionError("stream ended without an exception")
    return chunks


def test_stream_is_complete_and_ends_with_token_counts(engine):
    chunks = stream_completion(engine, make_request("full"))
    assert joined_text(chunks) == expected_text(MODEL, PROMPT, 8)
    assert chunk_indexes(chunks) == list(range(8))
    assert {chunk["attempt_id"] for chunk in chunks[:-1]} == {"full.1"}
    last = chunks[-2]
    assert (last["piece_count"], last["cached_tokens"]) == (8, 0)
    assert last["incarnation"] == engine.get("/health")["incarnation"]
    assert chunks[-1] == {"done": True}


def test_streams_that_finish_in_one_tick_all_complete(engine):
    # Finishing one response must not make the engine skip the next one.
    bodies = [make_request(f"many{number}", max_tokens=20) for number in range(30)]
    with ThreadPoolExecutor(30) as threads:
        responses = list(
            threads.map(lambda body: stream_completion(engine, body), bodies)
        )
    assert {joined_text(chunks) for chunks in responses} == {
        expected_text(MODEL, PROMPT, 20)
    }


def test_unstreamed_response_has_full_text_and_cached_tokens(engine):
    stream_completion(engine, make_request("warm", cache_salt="w"))
    body = make_request("whole", stream=False, cache_salt="w")
    status, response = engine.post("/v1/completions", body)
    assert status == 200
    assert response["choices"][0]["text"] == expected_text(MODEL, PROMPT, 8)
    assert response["cached_tokens"] == 2048
    assert response["attempt_id"] == "whole.1"


@pytest.mark.parametrize(
    ("faults", "indexes"),
    [
        ({"swap_piece": 2}, [0, 1, 3, 2, 4, 5, 6, 7]),
        ({"swap_piece": 7}, [0, 1, 2, 3, 4, 5, 6, 7]),
        ({"duplicate_piece": 2}, [0, 1, 2, 2, 3, 4, 5, 6, 7]),
        ({"drop_piece": 2}, [0, 1, 3, 4, 5, 6, 7]),
    ],
)
def test_chunk_faults_change_the_chunk_sequence(engine, faults, indexes):
    engine.post("/faults", faults | {"times": 1})
    assert chunk_indexes(stream_completion(engine, make_request("order"))) == indexes
    assert chunk_indexes(stream_completion(engine, make_request("order"))) == list(
        range(8)
    )


def test_crossed_response_carries_the_id_of_another_attempt(engine):
    stream_completion(engine, make_request("first"))
    engine.post("/faults", {"crossed": True})
    chunks = stream_completion(engine, make_request("second"))
    assert {chunk["attempt_id"] for chunk in chunks[:-1]} == {"first.1"}


def test_late_response_arrives_after_the_delay(engine):
    engine.post("/faults", {"late_ms": 300})
    begin = time.monotonic()
    assert stream_completion(engine, make_request("late"))[-1] == {"done": True}
    assert time.monotonic() - begin >= 0.3
    with pytest.raises(TimeoutError):
        stream_completion(engine, make_request("given-up"), timeout_s=0.1)
    assert engine.get("/runs")["runs"]["given-up"] == 1
    assert engine.post("/cancel", {"attempt_id": "given-up.1"})[0] == 200


def test_closed_stream_resumes_without_a_second_run(engine):
    engine.post("/faults", {"close_after_pieces": 3, "times": 1})
    chunks = read_until_closed(engine, make_request("cut"))
    assert chunk_indexes(chunks) == [0, 1, 2]
    chunks += stream_completion(engine, make_request("cut", 2, resume_from=3))
    assert joined_text(chunks) == expected_text(MODEL, PROMPT, 8)
    assert engine.get("/runs")["runs"]["cut"] == 1


def test_stalled_engine_sends_no_chunks_but_reports_health(engine):
    engine.post("/faults", {"stall": True})
    with pytest.raises(TimeoutError):
        stream_completion(engine, make_request("stalled"), timeout_s=0.3)
    assert engine.get("/health")["state"] == "up"
    engine.post("/faults", {"stall": False, "stall_health": True})
    with pytest.raises(TimeoutError):
        call(engine.address, "GET", "/health", timeout_s=0.3)


def test_cancel_ends_the_stream_without_done_marker(engine):
    chunks = read_stream(
        engine.address, "/v1/completions", make_request("c", max_tokens=900)
    )
    next(chunks)
    assert engine.post("/cancel", {"attempt_id": "c.1"}) == (200, {"cancelled": True})
    last = list(chunks)[-1]
    assert (last["error"]["code"], last["attempt_id"]) == ("cancelled", "c.1")
    assert engine.post("/cancel", {"attempt_id": "c.1"}) == (200, {"cancelled": False})


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({"weights_version": "0"}, 409, "wrong_weights"),
        ({"resume_from": 2}, 409, "resume_unknown"),
        ({"model": "other"}, 404, "unknown_model"),
        ({"max_tokens": 0}, 400, "invalid"),
        ({"prompt": 5}, 400, "invalid"),
    ],
)
def test_refused_completion_does_not_run(engine, fields, status, code):
    response = engine.post("/v1/completions", make_request("refused") | fields)
    assert response[0] == status
    assert (response[1]["error"]["code"], response[1]["error"]["ran"]) == (
        code,
        "not_run",
    )
    assert "refused" not in engine.get("/runs")["runs"]


def test_unknown_fault_setting_is_refused(engine):
    status, response = engine.post("/faults", {"stal": True})
    assert status == 400 and "stal" in response["error"]["message"]


def test_exported_block_is_a_cache_hit_on_the_importing_engine(fleet, engine):
    stream_completion(engine, make_request("export", cache_salt="kv"))
    importer = fleet.start_engine("importer", "--event-delay-ms", "0")
    for event in engine.get("/events?after=0")["events"]:
        block = call(engine.address, "GET", f"/kv/{event['digest']}")[1]
        status, *_ = call(importer.address, "PUT", f"/kv/{event['digest']}", block)
        assert status == 200
        assert call(importer.address, "PUT", "/kv/other", block)[0] == 400
    body = make_request("imported", stream=False, cache_salt="kv")
    assert importer.post("/v1/completions", body)[1]["cached_tokens"] == 2048
    assert call(importer.address, "GET", "/kv/unknown")[0] == 404
    assert len(importer.get("/events?after=0")["events"]) >= 2


def test_crash_exits_and_restart_has_an_empty_cache(fleet, tmp_path):
    journal = tmp_path / "runs"
    options = ("--journal", str(journal))
    engine = fleet.start_engine("crashing", *options, crash_text="POISON")
    stream_completion(engine, make_request("good"))
    incarnation = engine.get("/health")["incarnation"]
    with pytest.raises((ConnectionError, RuntimeError)):
        stream_completion(engine, make_request("bad", prompt="a POISON b"))
    assert engine.wait() == CRASH_EXIT_CODE
    engine.start()
    assert engine.get("/health")["incarnation"] != incarnation
    assert stream_completion(engine, make_request("good", 2))[-2]["cached_tokens"] == 0
    lines = [json.loads(line) for line in journal.read_text().splitlines()]
    assert [line["request_id"] for line in lines] == ["good", "bad", "good"]


def test_load_request_responds_when_the_weights_are_loaded(fleet):
    options = ("--load-ms", "300", "--fencing", "ignored")
    engine = fleet.start_engine("loading", *options)
    load_request = {"model": MODEL, "weights_version": "2", "fence": 7}
    begin = time.monotonic()
    assert engine.post("/orders/load", load_request)[0] == 200
    assert time.monotonic() - begin >= 0.3
    assert engine.get("/health")["models"] == {MODEL: "2"}
    assert engine.post("/orders/load", load_request | {"fence": 6})[0] == 200
    assert [entry["accepted"] for entry in engine.get("/orders")["orders"]] == [
        True
    ] * 2


def test_lost_connection_cancels_the_run_after_the_resume_window(fleet):
    options = ("--resume-window-ms", "200", "--load-lag-ms", "0")
    engine = fleet.start_engine("abandoned", *options)
    body = make_request("gone", max_tokens=5000)
    connection, response = open_request(engine.address, "POST", "/v1/completions", body)
    response.readline()
    response.close()
    connection.close()
    deadline = time.monotonic() + 3
    while engine.get("/health")["load"]["running"]:
        assert time.monotonic() < deadline, "the disconnected stream is still running"
        time.sleep(0.02)
