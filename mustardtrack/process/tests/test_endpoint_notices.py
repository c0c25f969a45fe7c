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


PAUSE_S = 6.0
# Time after the first refusal from which the pause binds a router.
BINDING_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


@pytest.mark.parametrize("paused", [{0}, {0, 1, 2}])
def test_engine_that_turns_requests_away_is_left_alone(hosts, engines, paused):
    """Guards against routers that send on to an engine which named a pause."""
    wait_until_serving(hosts, "account")
    callers = Callers(ROUTERS)
    sending = send_for(callers, PAUSE_S + 2 * SETTLE_S)
    time.sleep(SETTLE_S)
    first_s = time.monotonic()
    engines.pauses_s = dict.fromkeys(paused, f"{PAUSE_S:.1f}")
    time.sleep(SETTLE_S)
    # Every router has been turned away by now.
    engines.pauses_s = {}
    sending.join()
    callers.join()
    for engine in paused:
        arrivals = arrivals_at(
            engines, engine, first_s + SETTLE_S / 2, first_s + PAUSE_S
        )
        assert len(arrivals) <= MAX_REQUESTS_IN_PAUSE * len(ROUTERS)
    in_pause = [
        status
        for at_s, _, status in callers.results
        if first_s + SETTLE_S <= at_s < first_s + PAUSE_S - BINDING_S
    ]
    after = [
        status
        for at_s, _, status in callers.results
        if at_s >= first_s + PAUSE_S + SETTLE_S
    ]
    expected = 503 if len(paused) == ENGINE_COUNT else 200
    assert in_pause.count(expected) >= 0.99 * len(in_pause)
    assert after.count(200) >= 0.99 * len(after)
