"""Guards against a control group without a leader after hosts were replaced.

The control hosts are real processes; two of the first three go for good while two
successors have run for longer than they need to catch up.
"""

import http.client
import shutil
import signal
import time

import pytest

from mustardtrack.testing.faulty_endpoints import EndpointThread
from mustardtrack.testing.seeded_hosts import (
    SeededHosts,
    holds_within,
    put_document,
    read_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
SUCCESSORS = tuple(SUBNET.address(number) for number in (14, 15))
START_LIMIT_S = 20.0
# catch-up-s, after which a successor counts.
CATCH_UP_S = 4.0
PAUSE_S = 1.0
# The group is stable contact-ms after the last stop, and acknowledges orders within
# ack-timeout-ms of that.
ACKNOWLEDGED_WITHIN_S = 3.0 + 4.0
# Time from the removal of one host to the loss of another one's disk.
REMOVAL_TO_LOSS_S = 0.3
EXPECTED = (OSError, http.client.HTTPException)


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
            lambda: put_document(CONTROLS[0], document(7)) == 200, START_LIMIT_S
        )
        yield deployment
    finally:
        deployment.end()
        endpoints.stop()


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("kept", range(len(CONTROLS)))
def test_two_of_three_control_hosts_can_be_replaced(hosts, kept, signal_number):
    """Guards against a group of which one voter is left though three hosts run."""
    for host in SUCCESSORS:
        hosts.start(host, bootstrap=False)
    assert holds_within(lambda: all(map(hosts.has_started, SUCCESSORS)), START_LIMIT_S)
    time.sleep(CATCH_UP_S)
    for host in CONTROLS:
        if host != CONTROLS[kept]:
            hosts.stop(host, signal_number)
            time.sleep(PAUSE_S)
    assert_documents_are_kept((CONTROLS[kept], *SUCCESSORS))


@pytest.mark.parametrize("removed", range(len(CONTROLS)))
def test_host_is_removed_and_another_loses_its_disk(hosts, removed):
    """Guards against a group without a leader though two hosts hold everything."""
    hosts.start(SUCCESSORS[0], bootstrap=False)
    assert holds_within(lambda: hosts.has_started(SUCCESSORS[0]), START_LIMIT_S)
    time.sleep(CATCH_UP_S)
    wiped, kept = (host for host in CONTROLS if host != CONTROLS[removed])
    hosts.stop(CONTROLS[removed], signal.SIGKILL)
    time.sleep(REMOVAL_TO_LOSS_S)
    hosts.stop(wiped, signal.SIGKILL)
    shutil.rmtree(hosts.data_folder(wiped))
    time.sleep(PAUSE_S)
    hosts.start(wiped, bootstrap=False)
    assert_documents_are_kept((kept, SUCCESSORS[0], wiped))


def assert_documents_are_kept(remaining):
    """Check that hosts give back document 7 in time, and that document 8 is taken."""
    stopped_s = time.monotonic()
    for host in remaining:
        left_s = ACKNOWLEDGED_WITHIN_S - (time.monotonic() - stopped_s)
        content = []

        def is_read(host=host, content=content):
            content[:] = [read_document(host)]
            return content[0] is not None

        assert holds_within(is_read, left_s, EXPECTED)
        assert content[0]["version"] == 7
    assert holds_within(
        lambda: put_document(remaining[0], document(8)) == 200,
        ACKNOWLEDGED_WITHIN_S - (time.monotonic() - stopped_s),
        EXPECTED,
    )
