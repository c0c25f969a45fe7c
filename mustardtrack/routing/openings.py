"""Choice of a model engine by cached opening and load.

Load pattern: long prompts of which most tokens are an opening shared with other
requests, beside many short prompts that share almost nothing, on the same
engines. Every router ranks the engines of an opening alike, without messages, so
that its requests meet on one engine; they leave it only while it is clearly more
loaded than the next one.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placement import rank_endpoints

# Openings below this size are cheaper to read again than to follow.
MIN_OPENING_TOKENS = 1024
# Engines on which an opening is looked for and left behind under load.
OPENING_COPIES = 2
# Queue places by which the preferred engine must be longer before the next is used.
# Reading an opening again delays an engine by about this many short requests.
LEAVE_MARGIN = 6.0
# Tokens of unread prompt that count as one queue place.
TOKENS_PER_PLACE = 2000
# Queue places charged for weights older than the newest: a late request costs more
# than an answer on old weights.
OLD_WEIGHTS_PENALTY = 3.0
# Queue places charged for another availability zone.
ZONE_PENALTY = 0.4
# Queue places charged for failing all answers.
FAILURE_PENALTY = 40.0


@dataclass(frozen=True)
class Prompt:
    """Prompt of one request as far as placement needs it.

    Attributes:
        opening: Identity of the shared parts, empty if there is none.
        opening_tokens: Tokens of the shared parts.
        tokens: Tokens of the whole prompt.
    """

    model: str
    opening: str
    opening_tokens: int
    tokens: int

    @property
    def follows_opening(self) -> bool:
        """Whether the request should meet others with the same opening."""
        return bool(self.opening) and self.opening_tokens >= MIN_OPENING_TOKENS


def choose_engine(
    engines: Sequence[EndpointState],
    prompt: Prompt,
    newest: int,
    tried: Collection[str],
    zone: str,
    now_ms: int,
    rng: random.Random,
) -> EndpointState | None:
    """Return the engine for a prompt, None if all were tried.

    Args:
        engines: Engines that take new work.
        prompt: What the request asks to be read.
        newest: Newest weights version of the prompt's model.
        tried: Engines that did not answer this request.
        zone: Availability zone of this router.
        now_ms: Monotonic time.
        rng: Breaks ties between engines.
    """
    untried = [state for state in engines if state.id not in tried]
    usable = [state for state in untried if not state.is_resting(now_ms)] or untried
    if not usable:
        return None

    def cost(state: EndpointState) -> float:
        return _places(state, prompt.model, newest, zone, now_ms)

    if prompt.follows_opening:
        by_id = {state.id: state for state in usable}
        digest = xxh3_64_intdigest(prompt.opening.encode())
        ranked = rank_endpoints(digest, list(by_id))[:OPENING_COPIES]
        preferred = min(
            range(len(ranked)),
            key=lambda place: cost(by_id[ranked[place]]) + place * LEAVE_MARGIN,
        )
        return by_id[ranked[preferred]]
    return min(usable, key=lambda state: (cost(state), rng.random()))


def _places(
    state: EndpointState, model: str, newest: int, zone: str, now_ms: int
) -> float:
    places = state.queue_length(now_ms) + 3.0 * state.reported_waiting(now_ms)
    places += state.unread_tokens / TOKENS_PER_PLACE
    if state.listed.weights.get(model, newest) < newest:
        places += OLD_WEIGHTS_PENALTY
    if state.listed.zone != zone:
        places += ZONE_PENALTY
    return places + FAILURE_PENALTY * max(0.0, state.failure_share - 0.1)
