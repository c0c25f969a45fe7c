"""Tests of the fleet helper, the forwarder and the platform stand-in."""

import os
import subprocess
import sys
import time

import pytest

from mustardtrack.testing import Fleet, call, open_request
from mustardtrack.testing.fleet import FleetError, set_mode
from mustardtrack.testing.reaper import read_start_time


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path / "fleet") as fleet:
        yield fleet


@pytest.fixture
def forwarder(fleet):
    service = fleet.start_service("service", wait=False)
    forwarder = fleet.start_forwarder("forwarder", service.address)
    fleet.wait_ready()
    return forwarder


def get_health(connection):
    connection.request("GET", "/health")
    return connection.getresponse().read()


def connect(forwarder, timeout_s=0.4):
    connection, answer = open_request(
        forwarder.address, "GET", "/health", timeout_s=timeout_s
    )
    answer.read()
    return connection


def test_every_stand_in_prints_ready_and_exits_with_0(fleet):
    engine = fleet.start_engine("engine", wait=False)
    members = [
        engine,
        fleet.start_service("service", wait=False),
        fleet.start_forwarder("forwarder", engine.address),
        fleet.start_platform("platform"),
    ]
    fleet.wait_ready()
    assert [member.stop() for member in members] == [0] * 4
    assert [member.output() for member in members] == ["ready\n"] * 4


def test_paused_process_does_not_respond_until_it_resumes(fleet):
    service = fleet.start_service("service")
    service.pause()
    with pytest.raises(TimeoutError):
        call(service.address, "GET", "/health", timeout_s=0.3)
    service.resume()
    assert service.get("/health")["state"] == "up"
    service.kill()
    with pytest.raises(ConnectionError):
        service.get("/health")


def test_close_stops_paused_and_killed_processes(tmp_path):
    with Fleet(tmp_path) as fleet:
        members = [
            fleet.start_service(f"service-{number}", wait=False) for number in range(3)
        ]
        fleet.wait_ready()
        pids = [member.pid for member in members]
        members[0].pause()
        members[1].kill()
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_processes_are_killed_after_the_process_that_started_them(tmp_path):
    script = (
        "import os, signal\n"
        "from mustardtrack.testing import Fleet\n"
        f"fleet = Fleet({str(tmp_path / 'inner')!r}).__enter__()\n"
        "member = fleet.start_service('service')\n"
        "member.pause()\n"
        "print(member.pid, flush=True)\n"
        "os.kill(os.getpid(), signal.SIGKILL)\n"
    )
    command = [sys.executable, "-c", script]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=False, timeout=30)
    pid = int(done.stdout)
    deadline = time.monotonic() + 5
    while read_start_time(pid):
        assert time.monotonic() < deadline, f"process {pid} is still running"
        time.sleep(0.02)


def test_error_of_a_failed_start_contains_the_log(fleet):
    with pytest.raises(FleetError, match="unrecognized arguments: --bogus"):
        fleet.start_engine("engine", "--bogus")
    fleet.start_service("service")
    with pytest.raises(FleetError, match="already running"):
        fleet.start_service("service")


def test_forwarder_relays_both_directions_and_removes_closed_connections(forwarder):
    connection = connect(forwarder)
    body = {"data": "x" * 1_000_000}
    assert forwarder.post("/bookings", body)[1]["body_chars"] > 1_000_000
    connection.close()
    control = forwarder.command[-1]
    deadline = time.monotonic() + 2
    while call(control, "GET", "/mode")[1]["links"]:
        assert time.monotonic() < deadline, (
            "a connection remains after both sides have closed"
        )


@pytest.mark.parametrize("existing_only", [True, False])
def test_mode_drop_blackholes_existing_connections_permanently(
    forwarder, existing_only
):
    old = connect(forwarder)
    set_mode(forwarder, "drop", existing_only)
    with pytest.raises(TimeoutError):
        get_health(old)
    if existing_only:
        assert b"up" in get_health(connect(forwarder))
    else:
        with pytest.raises(TimeoutError):
            connect(forwarder)
    set_mode(forwarder, "pass")
    assert b"up" in get_health(connect(forwarder))
    with pytest.raises(Exception, match="Request-sent|timed out"):
        get_health(old)


@pytest.mark.parametrize("existing_only", [True, False])
def test_mode_close_resets_connections(forwarder, existing_only):
    old = connect(forwarder)
    set_mode(forwarder, "close", existing_only)
    with pytest.raises(ConnectionError):
        get_health(old)
    if existing_only:
        assert b"up" in get_health(connect(forwarder))
    else:
        with pytest.raises(ConnectionError):
            connect(forwarder)


def test_forwarder_resets_the_connection_if_the_target_is_down(fleet, forwarder):
    fleet.members["service"].kill()
    with pytest.raises(ConnectionError):
        connect(forwarder)


def test_platform_shows_changes_after_the_lag(fleet):
    platform = fleet.start_platform("platform", "--host", "127.0.0.1:1", "--lag-ms=300")
    hosts = {"hosts": [{"address": "127.0.0.1:1", "state": "leaving"}]}
    begin = time.monotonic()
    assert platform.post("/hosts", hosts)[0] == 200
    while platform.get("/hosts") != hosts:
        assert platform.get("/hosts")["hosts"][0]["state"] in ("live", "leaving")
        assert time.monotonic() - begin < 3
    assert time.monotonic() - begin >= 0.3
    wrong = {"hosts": [{"address": "127.0.0.1:1", "state": "gone"}]}
    assert platform.post("/hosts", wrong)[0] == 400
