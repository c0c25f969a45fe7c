"""Log fields that describe attempts and the choices behind them."""

from mustardtrack.process.attempt_state import AdmittedRequest, Outcome
from mustardtrack.requests.forwarding import ForwardedRequest
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placementmessages import Placement


def describe_choice(
    admitted: AdmittedRequest,
    endpoint: EndpointState,
    placement: Placement | None,
    now_ms: int,
) -> dict[str, object]:
    """Return the inputs of an endpoint choice and their age as log fields."""
    prompt = admitted.prompt
    weights = endpoint.listed.weights.get(prompt.model) if prompt else None
    account = admitted.account
    return {
        "account": account.name if account else None,
        "tokens": prompt.tokens if prompt else 0,
        "output_tokens": admitted.metadata.max_output_tokens if prompt else 0,
        "opening": prompt.prefix_id.rpartition(",")[2] if prompt else None,
        "opening_tokens": prompt.prefix_tokens if prompt else 0,
        **describe_load(endpoint, now_ms),
        "unread_tokens": endpoint.pending_prefill_tokens,
        "expected_ms": placement.expected_ms if placement else None,
        "read_tokens": placement.prefill_tokens if placement else None,
        "urgency": placement.urgency if placement else None,
        "fetch_from": placement.fetch_from if placement else None,
        "weights": weights,
        "newest": admitted.weights_version if prompt else None,
    }


def describe_load(endpoint: EndpointState, now_ms: int) -> dict[str, object]:
    """Return the load of an endpoint and its age as log fields."""
    return {
        "running": endpoint.running,
        "waiting": endpoint.waiting,
        "load_age_ms": now_ms - endpoint.load_reported_ms,
        "in_flight": endpoint.in_flight,
    }


def describe_limits(
    admitted: AdmittedRequest, progress: ForwardedRequest, outcome: Outcome
) -> dict[str, object]:
    """Return how far an answer came and which time limit ended its last attempt."""
    return {
        "events": progress.events,
        "limit": outcome.limit.value if outcome.limit else None,
        "limit_ms": outcome.limit_ms,
        "silent_ms": outcome.silent_ms,
        "request_limit": admitted.time_limit.kind.value,
        "request_limit_ms": admitted.time_limit.limit_ms,
    }
