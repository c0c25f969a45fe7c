"""Time after which refused callers may return.

Load pattern: many callers are refused for the same reason at the same moment, and each
returns once after the time that it is given. Without jitter, they return together.
"""

import random

DEFAULT_RETRY_AFTER_S = 0.8
# Refusal reason of requests that crash the endpoints which run them.
CRASHES_ENDPOINTS = "crashes_endpoints"
# Refusal reason of prompts whose parts crash the engines that begin to answer them.
CRASHING_PARTS = "crashing_parts"
# Refusal reason of requests whose endpoints all named a pause.
ENDPOINTS_PAUSED = "endpoints_paused"
# A process waits about two seconds for control, and callers retry only once.
RETRY_AFTER_S = {
    "unconfirmed": 1.5,
    "no_endpoint": 1.0,
    "not_run": 0.8,
    "connections": 0.8,
    "hopeless": 2.0,
    CRASHES_ENDPOINTS: 10.0,
    CRASHING_PARTS: 10.0,
    # Other routers can take the request at once.
    "stopping": 0.1,
}
# Refusal reasons whose times are turns of a schedule; jitter would change their order.
SCHEDULED_REASONS = frozenset({"hopeless"})
# Relative jitter that keeps callers refused together from retrying together.
RETRY_AFTER_JITTER = 0.3
# Longest time by which callers return later than the end of a pause.
MAX_PAUSE_JITTER_S = 0.3


def choose_retry_after_s(
    reason: str, pause_ms: int | None, rng: random.Random
) -> float:
    """Return the time after which a refused caller may return.

    Args:
        reason: Refusal reason.
        pause_ms: Time until an endpoint can be used again or the turn of the caller
            comes, None if it is not known.
        rng: Source of the jitter.

    Examples:
        >>> 2.0 <= choose_retry_after_s("no_endpoint", 2000, random.Random(1)) <= 2.3
        True
    """
    if pause_ms is not None:
        pause_s = pause_ms / 1000
        if reason in SCHEDULED_REASONS:
            return pause_s
        return pause_s + rng.uniform(0, min(MAX_PAUSE_JITTER_S, pause_s))
    after_s = RETRY_AFTER_S.get(reason, DEFAULT_RETRY_AFTER_S)
    return after_s * (1 + rng.uniform(-RETRY_AFTER_JITTER, RETRY_AFTER_JITTER))
