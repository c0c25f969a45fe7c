"""Bound on the memory of an engine, for running and for waiting requests.

Load pattern: more long prompts than the engines have memory for. An engine whose
requests exceed its memory preempts running ones, or crashes and loses all of them.
"""

import math
from collections.abc import Callable

from mustardtrack.configuration.routes import EngineLimits
from mustardtrack.routing.enginestate import EngineState, PartSizes

# Delay charged when a prompt would exceed the memory of an engine, which would then
# have to preempt running requests.
MEMORY_PENALTY_MS = 1500.0
# Fraction of an engine's memory that placements may fill, since output lengths are
# estimates.
MAX_MEMORY_FRACTION = 0.92


def memory_cost_ms(
    engine: EngineState,
    limits: EngineLimits | None,
    tokens: int,
    output_tokens: int,
    parts: Callable[[], PartSizes],
    is_bound: bool,
    now_ms: int,
) -> float:
    """Return the delay charged if a prompt does not fit beside the placed ones.

    Args:
        engine: Engine with its placed prompts, those that wait included.
        limits: Limits of the engines of the service.
        tokens: Tokens of the prompt.
        output_tokens: Tokens that it may generate.
        parts: Function that returns the parts of the prompt as the engine caches them.
        is_bound: Whether the memory is a bound, so that the result is infinite.
        now_ms: Monotonic time.
    """
    if limits is None or not limits.memory_tokens:
        return 0.0
    room = MAX_MEMORY_FRACTION * limits.memory_tokens
    unknown = engine.unknown_tokens(now_ms) if is_bound else 0.0
    needed = engine.unevictable_tokens + unknown + tokens + output_tokens
    if needed > room:
        # The prefix may already be in memory for a running request.
        needed = unknown + engine.memory_needed(parts(), output_tokens)
    if needed <= room:
        return 0.0
    if not is_bound:
        return MEMORY_PENALTY_MS * needed / room
    # A prompt that needs nearly the whole memory runs on an engine without others.
    is_alone = not engine.placed and not unknown
    return 0.0 if is_alone and needed <= limits.memory_tokens else math.inf
