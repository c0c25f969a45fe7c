"""Least-loaded endpoint selection for plain services.

Load pattern: short calls with objectives of about 100 ms on a few endpoints with
a handful of slots each, sent by many routers that each see a small part of the
load. The endpoint with the fewest estimated outstanding requests per slot is
selected. The estimate combines the load that the endpoint reported in its last
response with the requests that this router has sent since.
"""

import random
from collections.abc import Collection, Sequence

from mustardtrack.routing.endpointstate import EndpointState

# Outstanding requests per slot charged for an endpoint in another availability zone. A
# cross-zone hop takes about a tenth of the time of a call, and cross-zone traffic is
# billed.
ZONE_PENALTY = 0.12
# Outstanding requests per slot charged for an endpoint whose responses all fail.
FAILURE_PENALTY = 4.0


def choose_endpoint(
    endpoints: Sequence[EndpointState],
    tried: Collection[str],
    zone: str,
    now_ms: int,
    rng: random.Random,
) -> EndpointState | None:
    """Return the least-loaded endpoint, None if all were tried.

    Endpoints that are backing off after a failure are used only if no other is left.
    """
    untried = [state for state in endpoints if state.id not in tried]
    usable = [state for state in untried if not state.is_backing_off(now_ms)] or untried
    if not usable:
        return None
    return min(usable, key=lambda state: _cost(state, zone, now_ms, rng))


def _cost(
    state: EndpointState, zone: str, now_ms: int, rng: random.Random
) -> tuple[float, float]:
    slots = max(1, state.listed.slots)
    queue_cost = state.estimated_outstanding(now_ms) / slots
    # A slow endpoint takes longer for the requests before this one and for this one.
    slowdown = state.expected_slowdown(now_ms)
    queue_cost += (slowdown - 1) * (queue_cost + 1 / slots)
    if state.listed.zone != zone:
        queue_cost += ZONE_PENALTY
    queue_cost += FAILURE_PENALTY * max(0.0, state.failure_rate - 0.1)
    return queue_cost, rng.random()
