"""Guards against prompts on superseded weights after processes have restarted.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
refuse all orders and so keep their weights.
"""

import signal
import threading
import time

import pytest

from mustardtrack.testing.prompt_callers import Callers, wait_until_serving
from mustardtrack.testing.prompt_engines import MODEL, PromptEngines
from mustardtrack.testing.seeded_hosts import (
    SeededHosts,
    holds_within,
    name_weights,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 3
LIMIT_S = 6.0
RESTART_S = 2.0
# Time in which the processes that restarted serve again.
RECOVERY_S = 8.0
PROMPT_PERIOD_S = 0.05

RESTARTED = {
    "no process": (),
    "routers": (ROUTERS[:1], ROUTERS[1:]),
    "one control host after the other": (CONTROLS[:1], CONTROLS[1:2], CONTROLS[2:]),
    "all control hosts": (CONTROLS,),
    "routers and two control hosts": (CONTROLS[:1], (*ROUTERS, CONTROLS[1])),
}


@pytest.fixture
def engines():
    engines = PromptEngines(ENGINES, ENGINE_COUNT)
    engines.start()
    yield engines
    engines.stop()


@pytest.fixture
def hosts(tmp_path, engines):
    deployment = SeededHosts(
        tmp_path,
        CONTROLS,
        ROUTERS,
        engines.list_address,
        bounds={"weights_ms": round(LIMIT_S * 1000)},
    )
    for host in (*CONTROLS, *ROUTERS):
        deployment.start(host)
    yield deployment
    deployment.end()


@pytest.mark.parametrize("restarted", RESTARTED)
def test_time_limit_of_old_weights_does_not_begin_anew(hosts, engines, restarted):
    """Guards against processes that take their start for the time of a naming."""
    wait_until_serving(hosts, "account")
    callers = Callers(ROUTERS)
    control = CONTROLS[2]
    assert holds_within(lambda: name_weights(control, MODEL, 2) == 200, 5.0)
    named_s = time.monotonic()
    sending = threading.Thread(
        target=callers.send,
        args=(["account", "s{number}"], LIMIT_S + RECOVERY_S, PROMPT_PERIOD_S),
    )
    sending.start()
    time.sleep(RESTART_S)
    for group in RESTARTED[restarted]:
        for host in group:
            hosts.stop(host, signal.SIGKILL)
        for host in group:
            hosts.start(host, bootstrap=False)
        time.sleep(1.0)
    sending.join()
    callers.join()
    late_s = [
        round(arrival.at_s - named_s, 2)
        for arrival in engines.arrivals
        if arrival.at_s > named_s + LIMIT_S
    ]
    assert late_s == []
