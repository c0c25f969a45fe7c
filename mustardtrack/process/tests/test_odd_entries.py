"""Guards against a list that is not followed because of entries of another writer.

Control hosts and a router are real processes; the list is served by stand-in engines.
"""

import json

import pytest

from mustardtrack.platform.tests.test_bad_input import ENTRY, ODD_ENTRIES, changed
from mustardtrack.testing.prompt_callers import send_prompt, wait_until_serving
from mustardtrack.testing.prompt_engines import PromptEngines
from mustardtrack.testing.seeded_hosts import SeededHosts, holds_within
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTER = SUBNET.address(21)
# A leader reads the list several times within this time.
FOLLOWED_WITHIN_S = 6.0

OUT_OF_RANGE = {
    "port 0": changed(ENTRY, ["address"], "10.0.0.1:0"),
    "port 70000": changed(ENTRY, ["address"], "10.0.0.1:70000"),
    "start time": changed(ENTRY, ["born"], 2**70),
    "slots": changed(ENTRY, ["slots"], -1),
}
ENTRIES = [
    *ODD_ENTRIES.values(),
    *(json.dumps(one).encode() for one in OUT_OF_RANGE.values()),
]


@pytest.fixture
def engines():
    engines = PromptEngines(SUBNET.address(31), 1)
    engines.start()
    yield engines
    engines.stop()


@pytest.fixture
def hosts(tmp_path, engines):
    deployment = SeededHosts(tmp_path, CONTROLS, (ROUTER,), engines.list_address)
    for host in (*CONTROLS, ROUTER):
        deployment.start(host)
    yield deployment
    deployment.end()


def test_changes_are_followed_beside_odd_entries(hosts, engines):
    """Guards against an old list that stays in force as long as an odd entry."""
    wait_until_serving(hosts, "account")
    number = iter(range(1, 10_000))

    def is_served():
        return send_prompt(ROUTER, next(number), ["account", "s"])[0] == 200

    for odd in ENTRIES:
        engines.odd_entries = [odd]
        engines.replace(0)
        # Requests to the old identity are refused, so a new list has been adopted.
        assert holds_within(is_served, FOLLOWED_WITHIN_S), odd[:40]
    engines.odd_entries = []
    engines.replace(0)
    assert holds_within(is_served, FOLLOWED_WITHIN_S)
    assert all(process.poll() is None for process in hosts.running.values())
