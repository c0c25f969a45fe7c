"""Process tests of control hosts whose disks are full one after another."""

import random
import shutil
import signal
import threading
import time
from http.client import HTTPException

import pytest

from mustardtrack.process.lifecycle import EXIT_START_FAILED, EXIT_TASK_FAILED
from mustardtrack.testing.faulty_endpoints import EndpointThread
from mustardtrack.testing.full_disk_daemon import full_disk_marker
from mustardtrack.testing.seeded_hosts import (
    SeededHosts,
    holds_within,
    name_weights,
    put_document,
    read_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
LONGEST_WAIT_S = 20.0
# Bounds of a deployment: a change is acknowledged within the first of them once every
# disk has had room for the second.
ACK_TIMEOUT_S = 4.0
CATCH_UP_S = 4.0
FULL_S = 2.0
RESTART_S = 0.3
POLL_S = 0.05


class Supervisor:
    """Starts the daemon of a host again after it has ended."""

    def __init__(self, hosts):
        self.exits = []
        self._hosts = hosts
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(POLL_S):
            for host, process in list(self._hosts.running.items()):
                if process.poll() is not None:
                    self.exits.append((host, process.returncode))
                    time.sleep(RESTART_S)
                    self._hosts.start(host, bootstrap=False)


class Operator:
    """Sends one change after another and waits until each is acknowledged."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self.version = 0

    def change(self):
        """Send a new document, or name new weights, until a host acknowledges it.

        Returns:
            Time from the first send to the acknowledgement in seconds.
        """
        self.version += 1
        sent_s = time.monotonic()
        send = self._name_weights if self.version % 3 == 0 else self._put_document
        assert holds_within(send, LONGEST_WAIT_S, (OSError, HTTPException)), (
            f"change {self.version} is not acknowledged"
        )
        return time.monotonic() - sent_s

    def _put_document(self):
        return put_document(self._pick(), document(self.version)) == 200

    def _name_weights(self):
        return name_weights(self._pick(), "m1", self.version) == 200

    def _pick(self):
        return self._rng.choice(CONTROLS)


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
    deployment.daemon_module = "mustardtrack.testing.full_disk_daemon"
    try:
        for host in CONTROLS:
            deployment.start(host)
        yield deployment
    finally:
        deployment.end()
        endpoints.stop()


@pytest.mark.parametrize("seed", [1, 2])
def test_changes_are_acknowledged_after_disks_were_full_in_turn(hosts, seed):
    """Guards against a group of running processes that refuses every later change."""
    operator = Operator(seed)
    with Supervisor(hosts) as supervisor:
        operator.change()
        for host in random.Random(seed).sample(CONTROLS, len(CONTROLS)):
            marker = full_disk_marker(hosts.data_folder(host))
            marker.touch()
            end_s = time.monotonic() + FULL_S
            while time.monotonic() < end_s:
                operator.change()
            marker.unlink()
        time.sleep(CATCH_UP_S)
        assert max(operator.change() for _ in range(4)) <= ACK_TIMEOUT_S
        newest = operator.version - (operator.version % 3 == 0)

        def all_hosts_hold_the_newest_document():
            versions = {(read_document(host) or {}).get("version") for host in CONTROLS}
            return versions == {newest}

        assert holds_within(
            all_hosts_hold_the_newest_document, LONGEST_WAIT_S, (OSError, HTTPException)
        )
    codes = {code for _, code in supervisor.exits}
    assert {host for host, _ in supervisor.exits} == set(CONTROLS)
    assert codes <= {EXIT_TASK_FAILED, EXIT_START_FAILED}


def test_host_with_an_empty_full_disk_joins_once_there_is_room(hosts):
    """Guards against a data folder that a refused format leaves unusable."""
    operator = Operator(1)
    operator.change()
    host = CONTROLS[0]
    hosts.stop(host, signal.SIGKILL)
    shutil.rmtree(hosts.data_folder(host))
    marker = full_disk_marker(hosts.data_folder(host))
    marker.touch()
    hosts.start(host, bootstrap=False)
    with Supervisor(hosts) as supervisor:
        assert holds_within(lambda: len(supervisor.exits) >= 2, LONGEST_WAIT_S)
        operator.change()
        marker.unlink()

        assert holds_within(lambda: hosts.has_started(host), LONGEST_WAIT_S)
        time.sleep(CATCH_UP_S)
        # The majority now needs the host that has joined.
        hosts.send_signal(CONTROLS[1], signal.SIGSTOP)
        operator.change()
    assert set(supervisor.exits) == {(host, EXIT_START_FAILED)}
