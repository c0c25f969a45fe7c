"""Guards against requests that are lost on connections an endpoint has forgotten."""

import random

from mustardtrack.requests.reuse import IdleTrust

DAY_MS = 30_000
# Time between two requests of one router to one endpoint.
MEAN_PAUSE_MS = 400
FORGOTTEN_AFTER_S = 0.3


def play(forgets):
    """Return requests, lost requests and new connections of one router."""
    rng = random.Random(4)
    trust = IdleTrust()
    requests = lost = opened = 0
    now_ms = 0
    while now_ms < DAY_MS:
        pause_ms = int(rng.expovariate(1 / MEAN_PAUSE_MS)) + 1
        now_ms += pause_ms
        requests += 1
        idle_s = pause_ms / 1000
        if idle_s >= trust.longest_idle_s(now_ms):
            opened += 1
        elif forgets and idle_s > FORGOTTEN_AFTER_S:
            lost += 1
            trust.record_reset(idle_s, now_ms)
    return requests, lost, opened


def test_endpoints_that_keep_connections_get_no_new_ones():
    assert play(forgets=False)[1:] == (0, 0)


def test_endpoints_that_forget_connections_lose_few_requests():
    requests, lost, _ = play(forgets=True)
    assert lost <= 6 < requests / 10
