"""Guards against requests to engines that announced that they want none.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
make their announcements in answers.
"""

import threading
import time

import pytest

from mustardtrack.testing.prompt_callers import Callers, wait_until_serving
from mustardtrack.testing.prompt_engines import PromptEngines
from mustardtrack.testing.seeded_hosts import SeededHosts
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22, 23))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 3
# Time after an announcement by which no router may send a new request.
DRAIN_S = 3.0
SETTLE_S = 2.0
PROMPT_PERIOD_S = 0.02


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


def send_for(callers, for_s):
    """Send prompts to all routers in another thread."""
    arguments = (["account", "s{number}"], for_s, PROMPT_PERIOD_S)
    sending = threading.Thread(target=callers.send, args=arguments)
    sending.start()
    return sending


def arrivals_at(engines, engine, since_s, until_s):
    """Return the arrival times at an engine within a time span."""
    return [
        arrival.at_s
        for arrival in engines.arrivals
        if arrival.engine == engine and since_s <= arrival.at_s < until_s
    ]


def test_engine_that_announces_its_leave_gets_no_more_prompts(hosts, engines):
    """Guards against relying on the list, which names a leaving engine as ready."""
    wait_until_serving(hosts, "account")
    callers = Callers(ROUTERS)
    sending = send_for(callers, 2 * DRAIN_S + 2 * SETTLE_S)
    time.sleep(SETTLE_S)
    engines.leaving = {0}
    announced_s = time.monotonic()
    time.sleep(2 * DRAIN_S)
    replaced_s = time.monotonic()
    engines.replace(0)
    sending.join()
    callers.join()
    assert arrivals_at(engines, 0, 0, announced_s)
    assert arrivals_at(engines, 0, announced_s + DRAIN_S, replaced_s) == []
    assert arrivals_at(engines, 0, replaced_s, replaced_s + SETTLE_S)
    statuses = [status for _, _, status in callers.results]
    assert statuses.count(200) >= 0.99 * len(statuses)
