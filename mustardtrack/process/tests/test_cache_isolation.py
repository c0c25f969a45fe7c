"""Guards against cached prompt parts shared with an account that became isolated.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
keep all parts and note which account's request computed each of them.
"""

import signal
import time
from itertools import count

import pytest

from mustardtrack.testing.prompt_callers import (
    LONGEST_WAIT_S,
    build_document,
    send_prompt,
    wait_until_serving,
)
from mustardtrack.testing.prompt_engines import PromptEngines
from mustardtrack.testing.seeded_hosts import SeededHosts, holds_within, put_document
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 2
# Time after an acknowledgement in which all routers apply a configuration.
APPLY_S = 2.0
SHARED_PART = "opening"
ROUNDS = 4

# Whether each account is isolated, by configuration; accounts that are not named are
# not part of it.
ALL_SHARED = {"a": False, "b": False, "c": False}
A_ISOLATED = {"a": True, "b": False, "c": False}
A_REMOVED = {"b": False, "c": False}
CONFIGURATIONS = {
    "isolated": [ALL_SHARED, A_ISOLATED],
    "isolated, shared and isolated again": [ALL_SHARED, A_ISOLATED] * 2,
    "removed and added as isolated": [ALL_SHARED, A_REMOVED, A_ISOLATED],
    "isolated one after the other": [ALL_SHARED, A_ISOLATED, {**A_ISOLATED, "b": True}],
}


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
    wait_until_serving(deployment, "warm")
    yield deployment
    deployment.end()


class Configurations:
    """Configurations that follow each other, and the prompts sent under each."""

    def __init__(self, engines):
        self._engines = engines
        self._versions = count(10)
        self._numbers = count(1)

    def apply(self, accounts):
        """Put a configuration with these accounts in force."""
        document = build_document() | {
            "version": next(self._versions),
            "tenants": [
                {"name": name, "api-keys": [f"key-{name}"], "isolated": is_isolated}
                for name, is_isolated in accounts.items()
            ],
        }
        assert holds_within(
            lambda: put_document(CONTROLS[0], document) == 200, LONGEST_WAIT_S
        )
        time.sleep(APPLY_S)

    def send_prompts(self, accounts):
        """Send prompts with one shared part and return the arrivals at engines."""
        first = len(self._engines.arrivals)
        for _ in range(ROUNDS):
            for account in accounts:
                for router in ROUTERS:
                    number = next(self._numbers)
                    key = f"key-{account}"
                    prompt = [SHARED_PART]
                    assert send_prompt(router, number, prompt, key)[0] == 200
        return self._engines.arrivals[first:]


def find_shared(arrivals):
    """Return the pairs of accounts of which one used a part that the other made."""
    return {
        frozenset((arrival.account, maker))
        for arrival in arrivals
        for maker in arrival.part_makers
        if maker != arrival.account
    }


def check_isolation(accounts, arrivals):
    """Check that isolated accounts share nothing and all others share."""
    isolated = {name for name, is_isolated in accounts.items() if is_isolated}
    shared = find_shared(arrivals)
    assert not [pair for pair in shared if pair & isolated]
    if len(accounts) - len(isolated) > 1:
        assert shared


@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_account_that_becomes_isolated_shares_no_part(hosts, engines, name):
    """Guards against parts that stay shared after a change of the configuration."""
    configurations = Configurations(engines)
    for accounts in CONFIGURATIONS[name]:
        configurations.apply(accounts)
        check_isolation(accounts, configurations.send_prompts(accounts))


def test_isolation_outlasts_a_restart_of_all_processes(hosts, engines):
    """Guards against a generation of the cache that only running processes know."""
    configurations = Configurations(engines)
    for accounts in (ALL_SHARED, A_ISOLATED):
        configurations.apply(accounts)
        configurations.send_prompts(accounts)
    for host in (*CONTROLS, *ROUTERS):
        hosts.stop(host, signal.SIGKILL)
    for host in (*CONTROLS, *ROUTERS):
        hosts.start(host, bootstrap=False)
    for router in ROUTERS:
        assert holds_within(lambda: hosts.is_ready(router), LONGEST_WAIT_S)  # noqa: B023
    check_isolation(A_ISOLATED, configurations.send_prompts(A_ISOLATED))


def test_other_changes_keep_shared_parts(hosts, engines):
    """Guards against shared parts that are lost although no account left them."""
    configurations = Configurations(engines)
    configurations.apply(ALL_SHARED)
    salts = {arrival.salt for arrival in configurations.send_prompts(ALL_SHARED)}
    assert len(salts) == 1
    for accounts in (ALL_SHARED, ALL_SHARED | {"new": True}, A_REMOVED):
        configurations.apply(accounts)
        arrivals = configurations.send_prompts(["b", "c"])
        assert {arrival.salt for arrival in arrivals} == salts
