"""Guards against more retries than the budget while routers restart.

Control hosts and routers are real processes; the engines are stand-ins on loopback that
turn all requests away, so that every request is sent again within the budget.
"""

import signal
import threading
import time
from collections import Counter

import pytest

from mustardtrack.testing.prompt_callers import (
    LONGEST_WAIT_S,
    Callers,
    wait_until_serving,
)
from mustardtrack.testing.prompt_engines import PromptEngines
from mustardtrack.testing.seeded_hosts import SeededHosts
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22, 23, 24))
ENGINES = SUBNET.address(31)
ENGINE_COUNT = 4
# A small ratio lets the number that routers share decide.
RATIO, WINDOW_S, FLOOR = 0.05, 8.0, 60
# Time in which all routers are in touch and an earlier window has ended.
SETTLED_S = 10.0
GAP_S = 1.2
CALM_S = 2.0
REQUEST_PERIOD_S = 0.02

# Groups of hosts that end by a signal at the same moment, one group after the other.
RESTARTS = {
    "no process": (signal.SIGTERM, []),
    "routers stop in turn": (signal.SIGTERM, [[router] for router in ROUTERS]),
    "routers are killed in turn": (signal.SIGKILL, [[router] for router in ROUTERS]),
    "all processes are killed": (signal.SIGKILL, [(*CONTROLS, *ROUTERS)]),
    "control hosts, then routers": (
        signal.SIGKILL,
        [CONTROLS, *([router] for router in ROUTERS)],
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
    deployment = SeededHosts(
        tmp_path,
        CONTROLS,
        ROUTERS,
        engines.list_address,
        retries={"ratio": RATIO, "window_s": WINDOW_S, "floor": FLOOR},
    )
    for host in (*CONTROLS, *ROUTERS):
        deployment.start(host)
    wait_until_serving(deployment, "warm")
    yield deployment
    deployment.end()


def restart_later(hosts, group, signal_number):
    """End some hosts, and start each again as soon as it has ended."""
    for host in group:
        hosts.send_signal(host, signal_number)
    for host in group:
        hosts.running[host].wait(timeout=LONGEST_WAIT_S)
        hosts.start(host, bootstrap=False)


def find_retries(engines, since_s):
    """Return the times of all arrivals beyond the first of each request."""
    arrivals = [arrival for arrival in engines.arrivals if arrival.at_s >= since_s]
    seen = Counter()
    times_s = []
    for arrival in arrivals:
        seen[arrival.request_id] += 1
        if seen[arrival.request_id] > 1:
            times_s.append(arrival.at_s)
    return times_s


def count_between(times_s, begin_s):
    return sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s)


@pytest.mark.parametrize("name", RESTARTS)
def test_retries_stay_within_the_budget_of_all_routers(hosts, engines, name):
    """Guards against shares that are spent again, or by fewer routers than exist."""
    time.sleep(SETTLED_S)
    engines.refusing = set(range(ENGINE_COUNT))
    callers = Callers(ROUTERS)
    signal_number, groups = RESTARTS[name]
    began_s = time.monotonic()
    duration_s = CALM_S + GAP_S * len(groups) + WINDOW_S
    sending = threading.Thread(
        target=callers.send, args=(["account"], duration_s, REQUEST_PERIOD_S)
    )
    sending.start()
    time.sleep(CALM_S)
    restarting = []
    for group in groups:
        thread = threading.Thread(
            target=restart_later, args=(hosts, group, signal_number)
        )
        thread.start()
        restarting.append(thread)
        time.sleep(GAP_S)
    for thread in (sending, *restarting):
        thread.join()
    callers.join()
    retries_s = find_retries(engines, began_s)
    sent_s = [started_s for started_s, _, _ in callers.results]
    for begin_s in retries_s:
        requests = max(
            count_between(sent_s, begin_s - before_s)
            for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert count_between(retries_s, begin_s) <= RATIO * requests + FLOOR
    # The budget is used while no process restarts.
    if not groups:
        assert len(retries_s) >= FLOOR / 2
