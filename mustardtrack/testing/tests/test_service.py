"""HTTP contract of the stand-in service process, including each injectable fault."""

import json
import time

import pytest

from mustardtrack.testing import Fleet, call
from mustardtrack.testing.server import CRASH_EXIT_CODE


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        yield fleet


@pytest.fixture(scope="module")
def service(fleet):
    return fleet.start_service("hire-1", "--serves", "hire")


def book(service, key, attempt="r.1", fence=None, **options):
    headers = {"Idempotency-Key": key, "Mustardtrack-Attempt": attempt}
    if fence is not None:
        headers["Mustardtrack-Fence"] = str(fence)
    body = {"item": "POISON" if key == "poison" else "ladder"}
    return call(service.address, "POST", "/bookings", body, headers, **options)


def count_runs(service, key):
    return service.get("/runs")["runs"].get(key, 0)


def test_each_received_call_runs_and_is_counted(service):
    assert book(service, "twice")[0] == 201
    status, body, headers = book(service, "twice", "r.2")
    assert (status, body["run"], body["service"]) == (201, 2, "hire-1")
    assert headers["Mustardtrack-Attempt"] == "r.2"
    assert count_runs(service, "twice") == 2
    assert call(service.address, "GET", "/availability?day=1")[0] == 200
    assert list(service.get("/health")["models"]) == ["hire"]


def test_stale_fence_is_refused_for_its_key_only(service):
    assert book(service, "fenced", fence=5)[0] == 201
    status, body, _ = book(service, "fenced", fence=4)
    assert (status, body["error"]["ran"]) == (409, "not_run")
    assert book(service, "other", fence=4)[0] == 201
    assert count_runs(service, "fenced") == 1


def test_stale_fence_is_accepted_when_fencing_is_ignored(fleet):
    service = fleet.start_service("ignoring", "--fencing", "ignored")
    assert [book(service, "k", fence=fence)[0] for fence in (5, 4)] == [201, 201]


@pytest.mark.parametrize(
    ("fault", "runs"), [("stall", 0), ("stall_after", 1), ("close_after", 1)]
)
def test_run_count_of_unanswered_call(service, fault, runs):
    service.post("/faults", {fault: True, "times": 1})
    with pytest.raises((TimeoutError, ConnectionError)):
        book(service, fault, timeout_s=0.4)
    assert count_runs(service, fault) == runs
    service.post("/faults", {fault: False, "times": None})


def test_late_and_crossed_responses(service):
    service.post("/faults", {"late_ms": 300, "crossed": True, "times": 1})
    begin = time.monotonic()
    headers = book(service, "late", "r.9")[2]
    assert time.monotonic() - begin >= 0.3
    assert headers["Mustardtrack-Attempt"] != "r.9"
    assert book(service, "late", "r.10")[2]["Mustardtrack-Attempt"] == "r.10"
    service.post("/faults", {"late_ms": 0, "crossed": False, "times": None})


def test_leaving_service_still_answers_calls(service):
    # Faults of the reported state are independent of ``times``.
    service.post("/faults", {"leaving": True, "times": 0})
    assert service.get("/health")["state"] == "leaving"
    assert book(service, "leaving")[0] == 201
    assert service.get("/health")["state"] == "leaving"
    service.post("/faults", {"leaving": False, "stall_health": True, "times": None})
    with pytest.raises(TimeoutError):
        call(service.address, "GET", "/health", timeout_s=0.3)
    service.post("/faults", {"stall_health": False})
    assert service.get("/health")["state"] == "up"


@pytest.mark.parametrize(
    ("faults", "runs"),
    [
        ({"crash_before": True}, 0),
        ({"crash_after": True}, 1),
        ({"crash_text": "POISON"}, 0),
    ],
)
def test_crash_before_or_after_the_run(fleet, tmp_path, faults, runs):
    journal = tmp_path / "runs"
    name = "crash-" + "-".join(faults).replace("_", "-")
    service = fleet.start_service(name, "--journal", str(journal), **faults)
    with pytest.raises(ConnectionError):
        book(service, "poison")
    assert service.wait() == CRASH_EXIT_CODE
    lines = [json.loads(line) for line in journal.read_text().splitlines()]
    assert [line["key"] for line in lines] == ["poison"] * runs


def test_calls_beyond_max_running_are_queued(fleet):
    options = ("--work-ms", "400", "--max-running", "1", "--load-lag-ms", "0")
    service = fleet.start_service("slow", *options)
    for key in ("a", "b"):
        with pytest.raises(TimeoutError):
            book(service, key, timeout_s=0.05)
    load = service.get("/health")["load"]
    assert (load["running"], load["queued"]) == (1, 1)
