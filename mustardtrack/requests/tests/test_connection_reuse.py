"""Guards against losing requests on idle connections that an endpoint dropped."""

import random

from mustardtrack.requests.connection_reuse import IdleReuseLimit

DURATION_MS = 30_000
# Mean interval between requests of one router to one endpoint.
MEAN_INTERVAL_MS = 400
ENDPOINT_IDLE_TIMEOUT_S = 0.3


def simulate(drops_idle):
    """Return the number of requests, lost requests and new connections."""
    rng = random.Random(4)
    limit = IdleReuseLimit()
    requests = lost = opened = 0
    now_ms = 0
    while now_ms < DURATION_MS:
        interval_ms = int(rng.expovariate(1 / MEAN_INTERVAL_MS)) + 1
        now_ms += interval_ms
        requests += 1
        idle_s = interval_ms / 1000
        if idle_s >= limit.max_idle_s(now_ms):
            opened += 1
        elif drops_idle and idle_s > ENDPOINT_IDLE_TIMEOUT_S:
            lost += 1
            limit.record_reset(idle_s, now_ms)
    return requests, lost, opened


def test_endpoints_that_keep_idle_connections_get_no_new_ones():
    assert simulate(drops_idle=False)[1:] == (0, 0)


def test_endpoints_that_drop_idle_connections_lose_few_requests():
    requests, lost, _ = simulate(drops_idle=True)
    assert lost <= 6 < requests / 10
