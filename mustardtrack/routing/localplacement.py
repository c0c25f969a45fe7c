"""Router-local choice of a model engine by prefix affinity and load.

Load pattern: long prompts of which most tokens are a prefix shared with other
requests, beside many short prompts that share almost nothing, on the same
engines. All routers rank the engines for a prefix by the same rendezvous hash,
without exchanging messages, so that requests with that prefix reach the same
engine. The second engine is used only while the first is clearly more loaded.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.prefillrates import PRIOR_TOKENS_PER_MS
from mustardtrack.routing.rendezvous import rank_endpoints

# Shared prefixes below this size are cheaper to recompute than to route by affinity.
MIN_PREFIX_TOKENS = 1024
# Engines considered for a prefix; under load it is cached on each of them.
AFFINITY_ENGINES = 2
# Difference in time to first token beyond which the next engine is used instead of
# the preferred one. Fetching a cached prefix takes about 50 ms, prefill 200 ms.
AFFINITY_MARGIN_MS = 150.0
# Delay that each running and each waiting request adds to the time to first token.
RUNNING_REQUEST_MS = 10.0
WAITING_REQUEST_MS = 60.0
# Delay charged for superseded weights. They reduce the value of a long request by a
# fifth; a late first token, at about one second, reduces it by nearly all.
OLD_WEIGHTS_PENALTY_MS = 300.0
# Delay charged for traffic between availability zones.
ZONE_PENALTY_MS = 10.0
# Delay charged for an engine whose responses all fail.
FAILURE_PENALTY_MS = 2000.0


@dataclass(frozen=True)
class Prompt:
    """Properties of a prompt that determine its placement.

    Attributes:
        model: Model of the request.
        prefix_id: Identity of the shared prefix, empty if there is none.
        prefix_tokens: Tokens of the shared prefix.
        tokens: Tokens of the whole prompt.
    """

    model: str
    prefix_id: str
    prefix_tokens: int
    tokens: int

    @property
    def uses_prefix_affinity(self) -> bool:
        """Whether the prompt is routed by prefix affinity."""
        return bool(self.prefix_id) and self.prefix_tokens >= MIN_PREFIX_TOKENS


def choose_engine(
    engines: Sequence[EndpointState],
    prompt: Prompt,
    newest_version: int,
    tried: Collection[str],
    zone: str,
    now_ms: int,
    rng: random.Random,
    tokens_per_ms: float = PRIOR_TOKENS_PER_MS,
) -> EndpointState | None:
    """Return the engine for a prompt, None if all were tried.

    Args:
        engines: Engines that accept new requests.
        prompt: Prompt of the request.
        newest_version: Newest weights version of the prompt's model.
        tried: Engines on which this request has already been attempted.
        zone: Availability zone of this router.
        now_ms: Monotonic time.
        rng: Breaks ties between engines.
        tokens_per_ms: Prefill rate of the engines.
    """
    untried = [state for state in engines if state.id not in tried]
    usable = [state for state in untried if not state.is_backing_off(now_ms)] or untried
    if not usable:
        return None

    def cost(state: EndpointState) -> float:
        cost_ms = _cost_ms(state, prompt.model, newest_version, zone, now_ms)
        prefill_ms = (state.pending_prefill_tokens + prompt.tokens) / tokens_per_ms
        extra_ms = (state.expected_slowdown(now_ms) - 1) * prefill_ms
        return cost_ms + state.pending_prefill_tokens / tokens_per_ms + extra_ms

    if prompt.uses_prefix_affinity:
        by_id = {state.id: state for state in usable}
        digest = xxh3_64_intdigest(prompt.prefix_id.encode())
        ranked = rank_endpoints(digest, list(by_id))[:AFFINITY_ENGINES]
        preferred = min(
            range(len(ranked)),
            key=lambda position: (
                cost(by_id[ranked[position]]) + position * AFFINITY_MARGIN_MS
            ),
        )
        return by_id[ranked[preferred]]
    return min(usable, key=lambda state: (cost(state), rng.random()))


def _cost_ms(
    state: EndpointState, model: str, newest_version: int, zone: str, now_ms: int
) -> float:
    cost_ms = RUNNING_REQUEST_MS * state.estimated_outstanding(now_ms)
    cost_ms += WAITING_REQUEST_MS * state.estimated_queued(now_ms)
    cost_ms *= state.expected_slowdown(now_ms)
    if state.listed.weights.get(model, newest_version) < newest_version:
        cost_ms += OLD_WEIGHTS_PENALTY_MS
    if state.listed.zone != zone:
        cost_ms += ZONE_PENALTY_MS
    return cost_ms + FAILURE_PENALTY_MS * max(0.0, state.failure_rate - 0.1)
