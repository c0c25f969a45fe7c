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
# Time until the first token by which the preferred engine must be slower before the
# next one is used; fetching an opening takes about 50 ms, reading it 200 ms.
LEAVE_MARGIN_MS = 150.0
# Prompt tokens that an engine reads in a millisecond, on the users' sheets.
TOKENS_PER_MS = 60.0
# Delay that a running request adds to a new one's first token, and a waiting one.
RUNNING_MS = 10.0
WAITING_MS = 60.0
# A fifth of a long request's worth is lost on weights that have been replaced, nearly
# all of it when the first token is late, at about a second.
OLD_WEIGHTS_MS = 300.0
# Cost of bytes between availability zones, in the same measure.
ZONE_MS = 10.0
# Delay charged for failing all answers.
FAILURE_MS = 2000.0


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
        return _first_token_ms(state, prompt.model, newest, zone, now_ms)

    if prompt.follows_opening:
        by_id = {state.id: state for state in usable}
        digest = xxh3_64_intdigest(prompt.opening.encode())
        ranked = rank_endpoints(digest, list(by_id))[:OPENING_COPIES]
        preferred = min(
            range(len(ranked)),
            key=lambda place: cost(by_id[ranked[place]]) + place * LEAVE_MARGIN_MS,
        )
        return by_id[ranked[preferred]]
    return min(usable, key=lambda state: (cost(state), rng.random()))


def _first_token_ms(
    state: EndpointState, model: str, newest: int, zone: str, now_ms: int
) -> float:
    cost_ms = RUNNING_MS * state.queue_length(now_ms)
    cost_ms += WAITING_MS * state.reported_waiting(now_ms)
    cost_ms += state.unread_tokens / TOKENS_PER_MS
    if state.listed.weights.get(model, newest) < newest:
        cost_ms += OLD_WEIGHTS_MS
    if state.listed.zone != zone:
        cost_ms += ZONE_MS
    return cost_ms + FAILURE_MS * max(0.0, state.failure_share - 0.1)
