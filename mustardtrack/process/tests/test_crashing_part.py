"""Guards against a prompt part that crashes one engine after the other.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
crash when they begin to answer a prompt with one of its parts.
"""

import threading
import time
from http.client import HTTPException
from itertools import count

import pytest
from cleo.testers.command_tester import CommandTester

from mustardtrack.command.refused_parts import RefusedPartsCommand
from mustardtrack.testing.client import call
from mustardtrack.testing.prompt_engines import MODEL, SERVICE, PromptEngines
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    OPERATOR_PORT,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 6
LONGEST_WAIT_S = 20.0
# Time after the fifth crash in which hosts learn of each other's reports.
CONTACT_S = 3.0
# Requests with the part that may reach engines after that time.
ALLOWED_REQUESTS = 3
SOUND_PERIOD_S = 0.05
CRASHING_PERIOD_S = 0.4
CRASHING_PART = "bad"
FIRST_PART = "account"


def document():
    route = {
        "name": "r1",
        "host": "a.example",
        "path-prefix": "/x/",
        "kind": "streaming",
        "timeout-ms": 6000,
        "target-latency-ms": 1000,
        "service": SERVICE,
        "max-attempts": 2,
        "sticky": True,
        "resumable": True,
    }
    limits = {"slots": 64, "kv-capacity-tokens": 100_000, "kv-token-bytes": 1000}
    engine = {**limits, "link-mbps": 10_000.0, "models": [{"name": MODEL}]}
    service = {"name": SERVICE, "max-connections": 300, "engine": engine}
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    }


def send_prompt(router, number, parts):
    """Send a prompt and return the status and body, status 0 if it was cut."""
    headers = {
        "Host": "a.example",
        "Request-Id": f"id{number}",
        "Deadline-Ms": "4000",
        "Authorization": "Bearer k1",
        "Model": MODEL,
        "Token-Usage": "300,20",
        "Prefix-Hash": ",".join(f"{part}:100" for part in (*parts, f"own{number}")),
    }
    address = f"{router}:{CALLER_PORT}"
    try:
        return call(address, "POST", f"/x/{number}", b"p", headers, timeout_s=5.0)[:2]
    except (OSError, HTTPException):
        return 0, b""


class Callers:
    """Callers that send prompts at a constant rate and record the statuses."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._numbers = count(1)
        self._threads = []
        self.results = []

    def send(self, parts, for_s, period_s):
        """Send prompts for some time, each from a thread of its own."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            number = next(self._numbers)
            thread = threading.Thread(target=self._send_one, args=(number, parts))
            thread.start()
            self._threads.append(thread)
            time.sleep(period_s)

    def _send_one(self, number, parts):
        started_s = time.monotonic()
        shared = [part.format(number=number % 20) for part in parts]
        router = ROUTERS[number % len(ROUTERS)]
        status, _ = send_prompt(router, number, shared)
        self.results.append((started_s, tuple(shared), status))

    def join(self):
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()


@pytest.fixture
def engines():
    engines = PromptEngines(ENGINES, ENGINE_COUNT)
    engines.start()
    yield engines
    engines.stop()


@pytest.fixture
def hosts(tmp_path, engines):
    deployment = SeededHosts(tmp_path, CONTROLS, ROUTERS, engines.list_address)
    for host in (*CONTROLS, *ROUTERS):
        deployment.start(host)
    yield deployment
    deployment.end()


def wait_until_serving(hosts):
    wait_s = LONGEST_WAIT_S
    assert holds_within(lambda: put_document(CONTROLS[0], document()) == 200, wait_s)
    for router in ROUTERS:
        assert holds_within(lambda router=router: hosts.is_ready(router), wait_s)
    sound = [FIRST_PART, "warm"]
    assert holds_within(lambda: send_prompt(ROUTERS[0], 0, sound)[0] == 200, wait_s)


def test_part_that_crashes_engines_is_refused_and_its_neighbours_are_not(
    hosts, engines
):
    """Guards against a count by whole requests, of which no two are alike."""
    wait_until_serving(hosts)
    engines.crashing_parts.add(CRASHING_PART)
    callers = Callers(hosts)
    sound = threading.Thread(
        target=callers.send, args=([FIRST_PART, "s{number}"], 10.0, SOUND_PERIOD_S)
    )
    sound.start()
    callers.send([FIRST_PART, CRASHING_PART], 10.0, CRASHING_PERIOD_S)
    sound.join()
    callers.join()
    assert len(engines.crashes_s) >= ALLOWED_REQUESTS
    if len(engines.crashes_s) >= 5:
        limit_s = engines.crashes_s[4] + CONTACT_S
        late = {
            arrival
            for arrival in engines.arrivals
            if CRASHING_PART in arrival.parts and arrival.at_s > limit_s
        }
        assert len(late) <= ALLOWED_REQUESTS
    last_s = engines.crashes_s[-1] + 1.0
    after = [
        status
        for started_s, parts, status in callers.results
        if started_s > last_s and CRASHING_PART not in parts
    ]
    assert after.count(200) >= 0.9 * len(after) >= 18
    refused = [result for result in callers.results if CRASHING_PART in result[1]]
    assert refused[-1][2] == 503
    check_release(engines)


def check_release(engines):
    """Release the part through any control host, after the engines were mended."""
    address = f"{CONTROLS[1]}:{OPERATOR_PORT}"
    name = f"{MODEL}:{CRASHING_PART}"
    listed = call(address, "GET", "/v1/refused-parts")[1]["refused"]
    assert [refusal["parts"] for refusal in listed] == [[name]]
    assert call(address, "DELETE", "/v1/refused-parts?part=other")[0] == 404
    engines.crashing_parts.clear()
    tester = CommandTester(RefusedPartsCommand())
    assert tester.execute(f"{address} --release {name}") == 0
    prompt = [FIRST_PART, CRASHING_PART]
    assert holds_within(lambda: send_prompt(ROUTERS[1], 9999, prompt)[0] == 200, 5.0)
    assert call(address, "GET", "/v1/refused-parts")[1] == {"refused": []}
