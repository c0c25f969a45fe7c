"""Choice of an endpoint of a plain service.

Load pattern: short calls with objectives of about 100 ms on a few endpoints with
a handful of slots each, sent by many routers that each see a small part of the
load. The shortest estimated queue wins; the estimate joins the load that the
endpoint reported in its last answer with what this router has sent since.
"""

import random
from collections.abc import Collection, Sequence

from mustardtrack.routing.endpointstate import EndpointState

# Queue places that an endpoint of another zone must be shorter by; a hop between
# zones takes about a tenth of a call's work, and bytes between zones are paid for.
ZONE_PENALTY = 0.12
# Queue places that an endpoint is charged for failing all of its answers.
FAILURE_PENALTY = 4.0


def choose_endpoint(
    endpoints: Sequence[EndpointState],
    tried: Collection[str],
    zone: str,
    now_ms: int,
    rng: random.Random,
) -> EndpointState | None:
    """Return the endpoint with the shortest queue, None if all were tried.

    Endpoints that rest after a failure are used only if no other is left.
    """
    untried = [state for state in endpoints if state.id not in tried]
    usable = [state for state in untried if not state.is_resting(now_ms)] or untried
    if not usable:
        return None
    return min(usable, key=lambda state: _cost(state, zone, now_ms, rng))


def _cost(
    state: EndpointState, zone: str, now_ms: int, rng: random.Random
) -> tuple[float, float]:
    places = state.queue_length(now_ms) / max(1, state.listed.slots)
    if state.listed.zone != zone:
        places += ZONE_PENALTY
    places += FAILURE_PENALTY * max(0.0, state.failure_share - 0.1)
    return places, rng.random()
