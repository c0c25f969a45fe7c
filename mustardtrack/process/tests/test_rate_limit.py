"""Guards against sending an engine more requests than the limit that it has named.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
name limits in their answers.
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
LIMIT_PER_S = 4.0
WINDOW_S = 4.0
# Requests that an engine may get in a window, from CONTACT_S after it named its limit.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CONTACT_S = 3.0
LIMITED_S = 10.0
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


def largest_window(engines, engine, since_s, until_s):
    """Return the most requests that an engine got in any window of this time."""
    times_s = [
        arrival.at_s
        for arrival in engines.arrivals
        if arrival.engine == engine and since_s <= arrival.at_s < until_s
    ]
    return max(
        (
            sum(start <= at_s < start + WINDOW_S for at_s in times_s)
            for start in times_s
        ),
        default=0,
    )


@pytest.mark.parametrize("limited", [(0, 1), (0, 1, 2)])
def test_limited_engines_get_no_more_than_they_take(hosts, engines, limited):
    """Guards against routers that each stay below a limit which their sum exceeds."""
    wait_until_serving(hosts, "account")
    callers = Callers(ROUTERS)
    began_s = time.monotonic()
    engines.limits = dict.fromkeys(limited, LIMIT_PER_S)
    sending = threading.Thread(
        target=callers.send,
        args=(["account", "s{number}"], LIMITED_S + 5.0, PROMPT_PERIOD_S),
    )
    sending.start()
    time.sleep(LIMITED_S)
    engines.limits = {}
    ended_s = time.monotonic()
    sending.join()
    callers.join()
    for engine in limited:
        most = largest_window(engines, engine, began_s + CONTACT_S, ended_s)
        assert LIMIT_PER_S * WINDOW_S / 2 <= most <= ALLOWED
    statuses = [status for at_s, _, status in callers.results if at_s < ended_s]
    after = [status for at_s, _, status in callers.results if at_s > ended_s + 2.0]
    if len(limited) < ENGINE_COUNT:
        assert statuses.count(200) >= 0.99 * len(statuses)
    else:
        assert set(statuses) == {200, 503}
    assert after.count(200) >= 0.99 * len(after)
    unlimited = largest_window(engines, limited[0], ended_s + 1.0, ended_s + 5.0)
    assert unlimited > ALLOWED
