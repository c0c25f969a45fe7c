"""Guards against a prompt part that crashes one engine after the other.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
crash when they begin to answer a prompt with one of its parts.
"""

import threading

import pytest
from cleo.testers.command_tester import CommandTester

from mustardtrack.command.refused_parts import RefusedPartsCommand
from mustardtrack.testing.client import call
from mustardtrack.testing.prompt_callers import (
    Callers,
    send_prompt,
    wait_until_serving,
)
from mustardtrack.testing.prompt_engines import MODEL, PromptEngines
from mustardtrack.testing.seeded_hosts import (
    OPERATOR_PORT,
    SeededHosts,
    holds_within,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 6

# Time after the fifth crash in which hosts learn of each other's reports.
CONTACT_S = 3.0
# Requests with the part that may reach engines after that time.
ALLOWED_REQUESTS = 3
SOUND_PERIOD_S = 0.05
CRASHING_PERIOD_S = 0.4
CRASHING_PART = "bad"
FIRST_PART = "account"


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


def test_part_that_crashes_engines_is_refused_and_its_neighbours_are_not(
    hosts, engines
):
    """Guards against a count by whole requests, of which no two are alike."""
    wait_until_serving(hosts, FIRST_PART)
    engines.crashing_parts.add(CRASHING_PART)
    callers = Callers(ROUTERS)
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
