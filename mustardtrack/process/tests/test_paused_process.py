"""Guards against processes that act on a permission that ended while they were paused.

Control hosts and a router are real processes, paused by signals for longer than their
permissions last. Calls that reach a paused process wait in its sockets, so it handles
them first when it goes on.
"""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from mustardtrack.testing.client import call
from mustardtrack.testing.prompt_callers import (
    LONGEST_WAIT_S,
    build_document,
    send_prompt,
    wait_until_serving,
)
from mustardtrack.testing.prompt_engines import PromptEngines
from mustardtrack.testing.seeded_hosts import (
    OPERATOR_PORT,
    SeededHosts,
    holds_within,
    put_document,
    read_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTER = SUBNET.address(21)
LEADERSHIP_CHANGED = '"event": 8301,'
WAITING_READS = 4
# Longer than the router's confirmations are valid (bounds.revoke_ms).
ROUTER_PAUSE_S = 6.0


@pytest.fixture
def hosts(tmp_path):
    engines = PromptEngines(SUBNET.address(31), 1)
    engines.start()
    deployment = SeededHosts(tmp_path, CONTROLS, (ROUTER,), engines.list_address)
    for host in (*CONTROLS, ROUTER):
        deployment.start(host)
    yield deployment
    deployment.end()
    engines.stop()


def find_leader(hosts):
    """Return the control host that became leader last."""
    terms = {}
    for host in CONTROLS:
        for line in hosts.read_log(host).splitlines():
            if LEADERSHIP_CHANGED in line and '"role": "leader"' in line:
                terms[json.loads(line)["term"]] = host
    return terms[max(terms)]


def read_version(host):
    """Return the status of a read, and the version of the document if it was read."""
    path = "/v1/config/get"
    address = f"{host}:{OPERATOR_PORT}"
    status, content, _ = call(address, "GET", path, timeout_s=LONGEST_WAIT_S)
    return status, content["version"] if status == 200 else None


def test_paused_leader_returns_no_document_that_was_replaced_meanwhile(hosts):
    """Guards against reads on a lease that ran out during a pause."""
    version = 3
    document = {**build_document(), "version": version}
    assert holds_within(
        lambda: put_document(CONTROLS[0], document) == 200, LONGEST_WAIT_S
    )
    for _ in range(3):
        leader = find_leader(hosts)
        other = next(host for host in CONTROLS if host != leader)
        version += 1
        replacement = {**document, "version": version}
        hosts.send_signal(leader, signal.SIGSTOP)
        try:
            assert holds_within(
                lambda: put_document(other, replacement) == 200,  # noqa: B023
                LONGEST_WAIT_S,
            )
            with ThreadPoolExecutor(WAITING_READS) as pool:
                reads = [
                    pool.submit(read_version, leader) for _ in range(WAITING_READS)
                ]
                time.sleep(0.5)
                hosts.send_signal(leader, signal.SIGCONT)
                answers = [read.result() for read in reads]
        finally:
            hosts.send_signal(leader, signal.SIGCONT)
        assert set(answers) <= {(200, version), (503, None)}, answers
        assert holds_within(
            lambda: (read_document(CONTROLS[0]) or {}).get("version") == version,  # noqa: B023
            LONGEST_WAIT_S,
        )


def test_paused_router_does_not_serve_an_account_that_was_removed_meanwhile(hosts):
    """Guards against requests with a key that was revoked during a pause."""
    wait_until_serving(hosts, "account")
    answers = []
    without_account = {**build_document(), "version": 2, "tenants": []}
    hosts.send_signal(ROUTER, signal.SIGSTOP)
    try:
        paused_s = time.monotonic()
        assert holds_within(
            lambda: put_document(CONTROLS[0], without_account) == 200, LONGEST_WAIT_S
        )
        time.sleep(max(0.0, paused_s + ROUTER_PAUSE_S - time.monotonic()))
        callers = [
            threading.Thread(
                target=lambda number: answers.append(
                    send_prompt(ROUTER, number, ["account"])[0]
                ),
                args=(number,),
            )
            for number in range(100, 104)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
    finally:
        hosts.send_signal(ROUTER, signal.SIGCONT)
    for caller in callers:
        caller.join()
    assert len(answers) == 4
    assert set(answers) <= {401, 503}, answers
