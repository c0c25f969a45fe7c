"""Guards against usage beyond an allotment while a leader is lost and a router pauses.

One account sends four times its allotment through all routers, another one stays below
its own. Control hosts and routers are real processes; the engines are stand-ins on
loopback that record what reaches them.
"""

import json
import signal
import threading
import time
from dataclasses import dataclass
from http.client import HTTPException

import pytest

from mustardtrack.testing.client import call
from mustardtrack.testing.prompt_callers import LONGEST_WAIT_S, build_document
from mustardtrack.testing.prompt_engines import MODEL, PromptEngines
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTERS = tuple(SUBNET.address(number) for number in (21, 22, 23))
ENGINES = SUBNET.address(31)
LEADERSHIP_CHANGED = '"event": 8301,'
WINDOW_S, OVERSHOOT, SLACK = 4.0, 0.1, 20.0
RATE_PER_S, BURST = 15.0, 10.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
LARGE, SMALL = "k1", "k2"
LARGE_PERIOD_S, SMALL_PERIOD_S = 1 / (4 * RATE_PER_S), 0.1
# Time between two events, which a window does not outlast.
PHASE_S = 3.0
PAUSE_S = 1.5


@dataclass(frozen=True)
class Answered:
    """Answer to a request; status 0 if there was none."""

    request_id: str
    key: str
    router: str
    status: int
    retry_after: str


class Senders:
    """Sends prompts of both accounts at constant rates.

    Attributes:
        answers: What callers received.
        paused: Router to which the small account sends nothing.
    """

    def __init__(self):
        self.answers = []
        self.paused = ""
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(LARGE, LARGE_PERIOD_S)),
            threading.Thread(target=self._send, args=(SMALL, SMALL_PERIOD_S)),
        ]

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def end(self):
        """Stop sending and wait for all answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _send(self, key, period_s):
        calls, number = [], 0
        while not self._ended.wait(period_s):
            number += 1
            router = ROUTERS[number % len(ROUTERS)]
            if key == LARGE or router != self.paused:
                arguments = (router, f"{key}-{number}", key)
                calls.append(threading.Thread(target=self._call, args=arguments))
                calls[-1].start()
        for one in calls:
            one.join()

    def _call(self, router, request_id, key):
        self.answers.append(send(router, request_id, key))

    def statuses(self, key):
        """Return the statuses of one account."""
        return [answer.status for answer in self.answers if answer.key == key]


def send(router, request_id, key):
    headers = {
        "Host": "a.example",
        "Request-Id": request_id,
        "Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
        "Model": MODEL,
        "Token-Usage": "300,20",
        "Prefix-Hash": f"shared:100,{request_id}:200",
    }
    address, status, fields = f"{router}:{CALLER_PORT}", 0, {}
    try:
        status, _, fields = call(address, "POST", "/x/1", b"p", headers, timeout_s=5.0)
    except (OSError, HTTPException):
        pass  # Counted as status 0.
    names = {name.lower(): value for name, value in fields.items()}
    return Answered(request_id, key, router, status, names.get("retry-after", ""))


@pytest.fixture
def engines():
    engines = PromptEngines(ENGINES, 2)
    engines.start()
    yield engines
    engines.stop()


@pytest.fixture
def hosts(tmp_path, engines):
    bounds = {
        "allotment_window_s": WINDOW_S,
        "allotment_overshoot": OVERSHOOT,
        "allotment_slack": SLACK,
    }
    deployment = SeededHosts(
        tmp_path, CONTROLS, ROUTERS, engines.list_address, bounds=bounds
    )
    for host in (*CONTROLS, *ROUTERS):
        deployment.start(host)
    document = build_document()
    limits = {"rate-per-s": RATE_PER_S, "burst": BURST}
    below = {"rate-per-s": 4 / SMALL_PERIOD_S, "burst": 4 / SMALL_PERIOD_S}
    document["tenants"] = [
        {"name": "large", "api-keys": [LARGE], **limits},
        {"name": "small", "api-keys": [SMALL], **below},
    ]
    for condition in (
        lambda: put_document(CONTROLS[0], document) == 200,
        lambda: all(deployment.is_ready(router) for router in ROUTERS),
        lambda: send(ROUTERS[0], "first", SMALL).status == 200,
    ):
        assert holds_within(condition, LONGEST_WAIT_S)
    yield deployment
    deployment.end()


def find_leader(hosts):
    """Return the control host that became leader last."""
    terms = {}
    for host in CONTROLS:
        for line in hosts.read_log(host).splitlines():
            if LEADERSHIP_CHANGED in line and '"role": "leader"' in line:
                terms[json.loads(line)["term"]] = host
    return terms[max(terms)]


def largest_window(engines):
    """Return the most requests of the large account that arrived in any window."""
    times_s = [one.at_s for one in engines.arrivals if one.account == "large"]
    return max(
        sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s)
        for begin_s in times_s
    )


def test_usage_stays_within_the_allotment_of_all_routers(hosts, engines):
    """Guards against buckets and shares that add up when a leader is lost."""
    senders = Senders()
    senders.start()
    time.sleep(PHASE_S)
    hosts.stop(find_leader(hosts), signal.SIGKILL)
    time.sleep(PHASE_S)
    senders.paused = ROUTERS[0]
    hosts.send_signal(ROUTERS[0], signal.SIGSTOP)
    time.sleep(PAUSE_S)
    hosts.send_signal(ROUTERS[0], signal.SIGCONT)
    time.sleep(PHASE_S)
    senders.end()
    assert largest_window(engines) <= ALLOWED
    large, small = senders.statuses(LARGE), senders.statuses(SMALL)
    # Half of the rate, without its burst, while the leader is replaced.
    sending_s = 3 * PHASE_S + PAUSE_S
    assert large.count(200) >= RATE_PER_S * sending_s / 2
    assert small.count(200) >= 0.9 * len(small)
    refused = [answer for answer in senders.answers if answer.status == 429]
    assert len(refused) >= len(large) / 3
    assert all(float(answer.retry_after) > 0 for answer in refused)
    arrived = {arrival.request_id for arrival in engines.arrivals}
    assert not arrived & {answer.request_id for answer in refused}
