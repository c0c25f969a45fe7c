"""Tests of the daemon's start and stop.

Guards against a start with invalid settings, and against a forced stop that does not
log the interrupted requests.
"""

import json
import socket
import subprocess
import sys

import pytest
import yaml

from mustardtrack.testing import Fleet, open_request
from mustardtrack.testing.local_deployment import ROOT, Deployment, wait_until


def run_daemon(path):
    command = [sys.executable, "-m", "mustardtrack.process.daemon", "--config", path]
    return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)


def example(**changes):
    path = ROOT / "examples" / "zwolle" / "router-1.yaml"
    return yaml.safe_load(path.read_text()) | changes


def write(folder, settings):
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    return str(path)


BAD_SETTINGS = [
    ({"tmings": {}}, "tmings: unknown key"),
    ({"timing": {"lease_ms": "3 s"}}, "timing.lease_ms"),
    ({"name": "router-77"}, "is not listed under the peers"),
]


@pytest.mark.parametrize(("change", "message"), BAD_SETTINGS)
def test_invalid_settings_prevent_the_start(tmp_path, change, message):
    done = run_daemon(write(tmp_path, example(**change)))
    assert done.returncode == 2
    assert message in done.stderr
    assert "ready" not in done.stdout


def test_address_in_use_fails_the_start(tmp_path):
    settings = example()
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings["routers"][0]["bus"] = address
        done = run_daemon(write(tmp_path, settings))
    assert done.returncode == 3
    assert "ready" not in done.stdout
    assert '"event": 8205' in done.stderr


def test_second_signal_names_the_interrupted_request(tmp_path):
    with Fleet(tmp_path) as fleet:
        own = Deployment(fleet, "zwolle", controls=1, routers=1, engines=1, services=1)
        own.start()
        body = {"model": own.model, "prompt": "x", "max_tokens": 8000, "stream": True}
        connection, answer = open_request(
            own.callers(), "POST", "/v1/completions", body, own.headers()
        )
        request_id = answer.headers["Mustardtrack-Request"]
        answer.readline()
        router = own.members["router-1"]
        router.terminate()
        wait_until(lambda: '"event": 8202' in router.log())
        router.terminate()
        assert router.wait() == 1
        answer.close()
        connection.close()
        rows = [json.loads(line) for line in router.log().splitlines()]
        forced = [row for row in rows if row.get("event") == 8204]
        assert forced[-1]["interrupted"] == [request_id]
