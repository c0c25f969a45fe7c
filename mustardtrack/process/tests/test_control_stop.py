"""Process tests of a control host that gets SIGTERM while calls are open.

Guards against calls that a stopping control host reads and does not answer.
"""

import http.client
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from mustardtrack.testing.faulty_endpoints import EndpointThread
from mustardtrack.testing.seeded_hosts import (
    STOP_TIMEOUT_S,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
START_LIMIT_S = 20.0


def document(version):
    return {
        "version": version,
        "routes": [],
        "services": [{"name": "s1", "max-connections": 10}],
        "tenants": [],
    }


@pytest.fixture
def hosts(tmp_path):
    endpoints = EndpointThread(SUBNET.address(31), {"s1": 1}, seed=1)
    endpoints.start()
    deployment = SeededHosts(tmp_path, CONTROLS, (), endpoints.host_list_address)
    try:
        for host in CONTROLS:
            deployment.start(host)
        assert holds_within(
            lambda: put_document(CONTROLS[0], document(1)) == 200, START_LIMIT_S
        )
        yield deployment
    finally:
        deployment.end()
        endpoints.stop()


@pytest.mark.parametrize("number", range(len(CONTROLS)))
def test_open_command_is_answered_before_the_host_ends(hosts, number):
    """Guards against commands whose connection is closed before the commit ends."""
    stopped = CONTROLS[number]
    for host in CONTROLS:
        if host != stopped:
            hosts.send_signal(host, signal.SIGSTOP)

    def put():
        try:
            return put_document(stopped, document(2))
        except (OSError, http.client.HTTPException) as error:
            return repr(error)

    with ThreadPoolExecutor(1) as executor:
        answer = executor.submit(put)
        time.sleep(0.1)
        hosts.send_signal(stopped, signal.SIGTERM)
        assert answer.result() == 503
    assert hosts.running[stopped].wait(timeout=STOP_TIMEOUT_S) == 0
