"""Expected time to first token of a prompt at an engine."""

import math
from dataclasses import dataclass

from mustardtrack.routing.enginespeeds import EngineSpeeds
from mustardtrack.routing.enginestate import (
    URGENCY_LEVELS,
    EngineState,
    PlacedPrompt,
)
from mustardtrack.routing.prefillrates import PrefillRates

# Delay that each running request adds to the time to first token of another.
RUNNING_REQUEST_MS = 2.0
# Delay charged for an engine whose batch is full. It grows with the square of the
# fraction of occupied slots.
FULL_BATCH_PENALTY_MS = 300.0
# Ratio of the wait of a demoted prompt to the wait for the prompts currently ahead of
# it. It exceeds 1 because most prompts that arrive later are served first.
DEMOTED_WAIT_FACTOR = 2.0


@dataclass(slots=True)
class PrefillPlan:
    """What an engine would have to do for a prompt.

    Attributes:
        uncached_tokens: Tokens to prefill.
        tokens_per_ms: Planned prefill rate of the engine.
        transfer_ms: Time of a fetch of cached parts.
        urgency: Urgency that is sent to the engine.
        is_demoted: Whether that urgency is lower than the one of its class.
        slots: Batch slots of the engine, 0 if not known.
        outstanding: Estimated requests on the engine.
        base_ms: Time to first token at an idle engine, without prefill.
        passes_waiting: Whether it passes waiting prompts of a lower urgency.
    """

    uncached_tokens: int
    tokens_per_ms: float
    transfer_ms: float
    urgency: int
    is_demoted: bool
    slots: int
    outstanding: float
    base_ms: float
    passes_waiting: bool = False


def estimate_first_token_ms(
    engine: EngineState, speeds: EngineSpeeds, plan: PrefillPlan, now_ms: int
) -> float:
    """Return the expected time from the placement of a prompt to its first token."""
    expected_ms = plan.base_ms + plan.uncached_tokens / plan.tokens_per_ms
    expected_ms += _wait_ms(engine, speeds, plan, now_ms)
    expected_ms += plan.transfer_ms + RUNNING_REQUEST_MS * plan.outstanding
    name = engine.listed.id
    return expected_ms + speeds.slowdown_delay_ms(name, expected_ms, now_ms)


def _wait_ms(
    engine: EngineState, speeds: EngineSpeeds, plan: PrefillPlan, now_ms: int
) -> float:
    """Return the estimated time until an engine begins to prefill a prompt."""
    wait_ms = engine.prefill_tokens_ahead(plan.urgency) / plan.tokens_per_ms
    wait_ms = max(0.0, wait_ms - engine.unreported_work_ms(now_ms))
    if plan.outstanding + 1 > plan.slots:
        wait_ms += slot_wait_ms(engine, speeds, plan, now_ms)
    return wait_ms * DEMOTED_WAIT_FACTOR if plan.is_demoted else wait_ms


def slot_wait_ms(
    engine: EngineState, speeds: EngineSpeeds, plan: PrefillPlan, now_ms: int
) -> float:
    """Return the estimated wait of a new prompt for a batch slot."""
    urgency = plan.urgency if plan.passes_waiting else URGENCY_LEVELS - 1
    excess = engine.excess_requests(plan.slots, now_ms, urgency)
    if not excess:
        return 0.0
    hold_ms = speeds.slot_hold_ms(
        engine.listed.service,
        engine.listed.id,
        engine.mean_output_tokens(),
        engine.mean_prefill_tokens() / plan.tokens_per_ms,
        now_ms,
    )
    return excess * hold_ms / plan.slots


def batch_penalty_ms(outstanding: float, slots: int) -> float:
    """Return the delay charged for the occupied slots of a batch."""
    if not slots:
        return 0.0
    return FULL_BATCH_PENALTY_MS * (outstanding / slots) ** 2


def wind_down_cost_ms(
    engine: EngineState,
    speeds: EngineSpeeds,
    output_tokens: int,
    first_token_ms: float,
    is_excluded: bool,
    now_ms: int,
) -> float:
    """Return the delay charged for an engine that loads weights when answers end.

    Args:
        engine: Engine that winds down.
        speeds: Speeds of the engines.
        output_tokens: Tokens that the prompt may generate.
        first_token_ms: Expected time to its first token.
        is_excluded: Whether only prompts that end before the others there may run.
        now_ms: Monotonic time.
    """
    token_ms = speeds.token_ms(engine.listed.service, engine.listed.id, now_ms)
    answer_ms = token_ms * output_tokens
    ends_ms = engine.remaining_answer_ms(token_ms, now_ms)
    return (
        math.inf if is_excluded and first_token_ms + answer_ms > ends_ms else answer_ms
    )


def record_first_token(
    engine: EngineState,
    prompt: PlacedPrompt,
    speeds: EngineSpeeds,
    rates: PrefillRates,
    now_ms: int,
) -> None:
    """Learn from a first token, and mark its prompt as prefilled."""
    service, name = engine.listed.service, engine.listed.id
    if prompt.found_idle and not prompt.is_prefilled:
        prefill_ms = prompt.prefill_tokens / rates.tokens_per_ms(service, name, now_ms)
        elapsed_ms = now_ms - prompt.placed_ms
        speeds.record_first_token(service, name, prefill_ms, elapsed_ms, now_ms)
    base_ms = speeds.base_ms(service, now_ms)
    sample = engine.mark_prefilled(prompt, base_ms, now_ms)
    if sample is not None and not speeds.is_unusual(name, now_ms):
        rates.record(service, name, *sample, now_ms)
