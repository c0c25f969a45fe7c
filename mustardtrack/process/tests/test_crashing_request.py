"""Guards against a crashing request that returns after processes have restarted.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
crash when they begin to answer a request for one target.
"""

import http.client
import signal
import time
from itertools import count

import pytest

from mustardtrack.testing.prompt_callers import (
    LONGEST_WAIT_S,
    UNRESUMABLE_PREFIX,
    send_prompt,
    wait_until_serving,
)
from mustardtrack.testing.prompt_engines import RESTART_S, PromptEngines
from mustardtrack.testing.seeded_hosts import SeededHosts, holds_within, read_document
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 6
TARGET = "/x/crash"
UNRESUMABLE_TARGET = f"{UNRESUMABLE_PREFIX}crash"
# Crashes after which the request is refused, and requests that may reach engines later
# than a time in which hosts learn of the crashes.
CRASH_LIMIT = 3
CONTACT_S = 3.0
ALLOWED_REQUESTS = 3
# Time after which the processes that remain have a leader.
ELECTION_S = 2.0
EXPECTED = (OSError, http.client.HTTPException)
REPEATS = 6
REPEAT_PERIOD_S = 0.15

# Groups of hosts that end by a signal at the same moment, one group after the other.
RESTARTS = {
    "control hosts stop in turn": (signal.SIGTERM, [[host] for host in CONTROLS]),
    "control hosts are killed in turn": (signal.SIGKILL, [[host] for host in CONTROLS]),
    "routers stop in turn, then control hosts": (
        signal.SIGTERM,
        [[host] for host in (*ROUTERS, *CONTROLS)],
    ),
    "all processes are killed, twice": (
        signal.SIGKILL,
        [(*CONTROLS, *ROUTERS)] * 2,
    ),
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
    engines.crashing_targets.update((TARGET, UNRESUMABLE_TARGET))
    yield deployment
    deployment.end()


NUMBERS = count(100)


def repeat_request(times=REPEATS, target=TARGET):
    """Send the crashing request to one router after the other; return the statuses."""
    statuses = []
    for _ in range(times):
        number = next(NUMBERS)
        router = ROUTERS[number % len(ROUTERS)]
        statuses.append(send_prompt(router, number, [], target=target)[0])
        time.sleep(REPEAT_PERIOD_S)
    return statuses


def crash_engines():
    """Send the request until it is refused, and let the engines return."""
    statuses = repeat_request(CRASH_LIMIT + 1)
    assert statuses[-1] == 503
    time.sleep(CONTACT_S)


def restart(hosts, group, signal_number):
    """Stop some hosts at the same moment, start them again and wait until all serve."""
    for host in group:
        hosts.send_signal(host, signal_number)
    for host in group:
        hosts.running.pop(host).wait(timeout=LONGEST_WAIT_S)
    for host in group:
        hosts.start(host, bootstrap=False)
    time.sleep(ELECTION_S)
    for router in ROUTERS:
        assert holds_within(lambda: hosts.is_ready(router), LONGEST_WAIT_S)  # noqa: B023


def count_arrivals(engines, target=TARGET):
    return sum(1 for arrival in engines.arrivals if arrival.target == target)


@pytest.mark.parametrize("name", RESTARTS)
def test_refused_request_stays_refused_after_restarts(hosts, engines, name):
    """Guards against counts that end with the process that holds them."""
    crash_engines()
    arrivals = count_arrivals(engines)
    signal_number, groups = RESTARTS[name]
    for group in groups:
        restart(hosts, group, signal_number)
        repeat_request()
    assert count_arrivals(engines) - arrivals <= ALLOWED_REQUESTS
    # Other requests are still served.
    assert send_prompt(ROUTERS[0], next(NUMBERS), [])[0] == 200


def test_crashes_before_a_restart_count_after_it(hosts, engines):
    """Guards against counts below the limit that begin anew with each leader."""
    for host in CONTROLS:
        if len(engines.crashes_s) < CRASH_LIMIT:
            send_prompt(ROUTERS[0], next(NUMBERS), [], target=TARGET)
            time.sleep(RESTART_S)
        restart(hosts, [host], signal.SIGKILL)
    statuses = repeat_request()
    assert statuses[-1] == 503
    assert count_arrivals(engines) <= CRASH_LIMIT + 2


@pytest.mark.parametrize("target", [TARGET, UNRESUMABLE_TARGET])
@pytest.mark.parametrize("restarted", [(), ROUTERS], ids=["no restart", "routers"])
def test_stream_that_crashes_engines_after_its_first_event_is_refused(
    hosts, engines, target, restarted
):
    """Guards against crashes that do not count since the stream cannot be repeated.

    The routers restart after each of the first crashes.
    """
    engines.events_before_crash = 1
    for _ in range(CRASH_LIMIT):
        repeat_request(1, target)
        if restarted:
            restart(hosts, restarted, signal.SIGTERM)
    time.sleep(CONTACT_S)
    arrivals = count_arrivals(engines, target)
    statuses = repeat_request(target=target)
    assert count_arrivals(engines, target) - arrivals <= ALLOWED_REQUESTS
    assert statuses[-1] == 503
    # Other streams of the same route are still served.
    other = f"{UNRESUMABLE_PREFIX}other"
    assert send_prompt(ROUTERS[0], next(NUMBERS), [], target=other)[0] == 200


# Hosts that stop as planned right after each crash, in this order without a pause.
STOPS_AT_A_CRASH = {
    "control host": ["control"],
    "control host, then router": ["control", "router"],
    "router, then control host": ["router", "control"],
}


def is_led():
    """Return whether the only control host leads, so that its reads are confirmed."""
    return read_document(CONTROLS[0]) is not None


@pytest.mark.parametrize("name", STOPS_AT_A_CRASH)
def test_crash_just_before_planned_stops_is_counted(tmp_path, engines, name):
    """Guards against losses that a router reported to a leader that was ending.

    The only control host leads again after its restart, so that no change of leader
    makes the router repeat what it has reported.
    """
    hosts_by_role = {"control": CONTROLS[0], "router": ROUTERS[0]}
    hosts = SeededHosts(tmp_path, CONTROLS[:1], ROUTERS[:1], engines.list_address)
    order = [hosts_by_role[role] for role in STOPS_AT_A_CRASH[name]]
    try:
        for host in hosts_by_role.values():
            hosts.start(host)
        wait_until_serving(hosts, "warm")
        engines.crashing_targets.add(TARGET)
        for _ in range(CRASH_LIMIT):
            send_prompt(ROUTERS[0], next(NUMBERS), [], target=TARGET)
            for host in order:
                hosts.send_signal(host, signal.SIGTERM)
            for host in sorted(order):
                hosts.running.pop(host).wait(timeout=LONGEST_WAIT_S)
                hosts.start(host, bootstrap=False)
            time.sleep(ELECTION_S)
            assert holds_within(is_led, LONGEST_WAIT_S, EXPECTED)
            assert holds_within(lambda: hosts.is_ready(ROUTERS[0]), LONGEST_WAIT_S)
            time.sleep(RESTART_S)
        arrivals = count_arrivals(engines)
        statuses = [
            send_prompt(ROUTERS[0], next(NUMBERS), [], target=TARGET)[0]
            for _ in range(REPEATS)
        ]
        assert statuses == [503] * REPEATS
        assert count_arrivals(engines) == arrivals
    finally:
        hosts.end()
