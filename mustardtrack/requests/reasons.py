"""Table of refusal reasons."""

from dataclasses import dataclass
from typing import Literal

RunStatus = Literal["not_run", "unknown"]


@dataclass(frozen=True)
class Reason:
    """One row of the table of refusal reasons.

    Attributes:
        code: Stable code in the reply and in the counter ``refusal.<code>``.
        http_status: Status of the HTTP reply.
        ran: Whether the refused request may have run.
        message: One sentence that describes the condition.
        remedy: What the caller should do.
        retry_after_ms: Default delay before a resend; ``None`` if an unchanged
            resend cannot succeed.
    """

    code: str
    http_status: int
    ran: RunStatus
    message: str
    remedy: str
    retry_after_ms: int | None = None


_RESEND_SAME_KEY = "Resend with the same idempotency key."
_CHECK_SERVICE = "Check at the service whether the call ran before using a new key."
_RESEND_ELSEWHERE = (
    "Resend later, if possible to another address of the discovery response."
)

_REASONS = (
    # Invalid requests.
    Reason(
        "unauthenticated",
        401,
        "not_run",
        "The key is missing or unknown.",
        "Send a valid key in the Authorization header.",
    ),
    Reason(
        "forbidden",
        403,
        "not_run",
        "The client account may not use this resource.",
        "Ask an operator for access.",
    ),
    Reason(
        "invalid_body",
        400,
        "not_run",
        "The request body is malformed.",
        "Correct the field that the message names.",
    ),
    Reason(
        "invalid_header",
        400,
        "not_run",
        "A request header is malformed.",
        "Correct the header that the message names.",
    ),
    Reason(
        "body_too_large",
        413,
        "not_run",
        "The request body exceeds the configured limit.",
        "Send a smaller body.",
    ),
    Reason(
        "unknown_path",
        404,
        "not_run",
        "The path does not exist.",
        "Use a path of the caller protocol.",
    ),
    Reason(
        "method_not_allowed",
        405,
        "not_run",
        "The path does not accept this method.",
        "Use a method that the path accepts.",
    ),
    Reason(
        "unknown_class",
        400,
        "not_run",
        "The class of work does not exist.",
        "Set Mustardtrack-Class to a configured class.",
    ),
    Reason(
        "unknown_model",
        404,
        "not_run",
        "The model is not configured.",
        "Use a model listed by GET /v1/models.",
    ),
    Reason(
        "unknown_service",
        404,
        "not_run",
        "The service is not configured.",
        "Use a configured service name.",
    ),
    Reason(
        "key_missing",
        400,
        "not_run",
        "The call needs an Idempotency-Key header.",
        "Send a version 7 UUID, and the same one in every resend.",
    ),
    Reason(
        "key_malformed",
        400,
        "not_run",
        "The idempotency key is not a version 7 UUID.",
        "Send a version 7 UUID, and the same one in every resend.",
    ),
    # Rate limits, overload and quarantine.
    Reason(
        "queue_full",
        503,
        "not_run",
        "The queue of this class of work is full.",
        _RESEND_ELSEWHERE,
        1000,
    ),
    Reason(
        "deadline",
        503,
        "not_run",
        "The request cannot be started before its deadline.",
        "Resend later or with a longer deadline.",
        1000,
    ),
    Reason(
        "request_rate",
        429,
        "not_run",
        "The client account exceeds its request rate.",
        "Send fewer requests.",
        1000,
    ),
    Reason(
        "token_rate",
        429,
        "not_run",
        "The client account exceeds its token rate.",
        "Send fewer or shorter requests.",
        1000,
    ),
    Reason(
        "concurrency",
        429,
        "not_run",
        "The client account has too many open requests.",
        "Wait until open requests complete.",
        500,
    ),
    Reason(
        "connections",
        503,
        "not_run",
        "The router has too many open connections.",
        _RESEND_ELSEWHERE,
        1000,
    ),
    Reason(
        "quarantined",
        422,
        "not_run",
        "Endpoints crashed while running this request.",
        "Change the request, or ask an operator to release its fingerprint.",
    ),
    Reason(
        "quarantined_after_run",
        422,
        "unknown",
        "Endpoints crashed while running this request.",
        "Change the request, or ask an operator to release its fingerprint.",
    ),
    # Failures before dispatch.
    Reason(
        "no_endpoint",
        503,
        "not_run",
        "No endpoint can serve the request.",
        _RESEND_ELSEWHERE,
        1000,
    ),
    Reason(
        "endpoint_unreachable",
        503,
        "not_run",
        "No connection to an endpoint could be opened.",
        _RESEND_ELSEWHERE,
        500,
    ),
    Reason(
        "no_configuration",
        503,
        "not_run",
        "The router has not received a configuration yet.",
        _RESEND_ELSEWHERE,
        1000,
    ),
    Reason(
        "stopping",
        503,
        "not_run",
        "The router is stopping.",
        "Resend to another address of a new discovery response.",
        0,
    ),
    Reason(
        "stopped_before_dispatch",
        503,
        "not_run",
        "The router stopped before it dispatched the request.",
        "Resend to another address of a new discovery response.",
        0,
    ),
    Reason(
        "cancelled",
        499,
        "not_run",
        "The caller cancelled the request before dispatch.",
        _RESEND_SAME_KEY,
        0,
    ),
    # Non-idempotent calls.
    Reason(
        "control_unavailable",
        503,
        "not_run",
        "The call could not be claimed and will not be dispatched by this send.",
        _RESEND_SAME_KEY,
        2000,
    ),
    Reason(
        "dispatch_window",
        503,
        "not_run",
        "The router was paused for longer than the dispatch window.",
        _RESEND_SAME_KEY,
        500,
    ),
    Reason(
        "claim_timeout",
        504,
        "not_run",
        "The call timed out before it was dispatched.",
        _RESEND_SAME_KEY,
        1000,
    ),
    Reason(
        "body_mismatch",
        422,
        "not_run",
        "The idempotency key was already used with another body.",
        "Send the original body or use a new key.",
    ),
    Reason(
        "key_expired",
        409,
        "unknown",
        "The key's creation time is outside the accepted range; its claim may be gone.",
        _CHECK_SERVICE,
    ),
    Reason(
        "in_progress",
        409,
        "unknown",
        "Another send with the same key is in progress.",
        _RESEND_SAME_KEY,
        1000,
    ),
    Reason(
        "outcome_unknown",
        409,
        "unknown",
        "An earlier send with the same key was dispatched and not answered.",
        _CHECK_SERVICE,
    ),
    # Failures after dispatch.
    Reason(
        "connection_lost",
        502,
        "unknown",
        "The connection to the endpoint was lost after dispatch.",
        "Resend; a non-idempotent call with the same key.",
        1000,
    ),
    Reason(
        "endpoint_timeout",
        504,
        "unknown",
        "The endpoint did not answer in time.",
        "Resend; a non-idempotent call with the same key.",
        1000,
    ),
    Reason(
        "endpoint_refused",
        503,
        "unknown",
        "Every endpoint that was tried refused the request.",
        _RESEND_ELSEWHERE,
        1000,
    ),
    Reason(
        "retry_budget",
        503,
        "unknown",
        "The endpoint failed and the retry budget is used up.",
        _RESEND_ELSEWHERE,
        2000,
    ),
    Reason(
        "mismatched_response",
        502,
        "unknown",
        "The endpoint sent a response that belongs to another request.",
        "Resend; a non-idempotent call with the same key.",
        500,
    ),
    Reason(
        "response_too_large",
        502,
        "unknown",
        "The response exceeds the configured limit.",
        "Request a smaller response.",
    ),
    Reason(
        "stream_incomplete",
        502,
        "unknown",
        "The stream ended before all pieces were received.",
        "Resend the request and discard the partial response.",
        500,
    ),
    Reason(
        "slow_caller",
        408,
        "unknown",
        "The caller did not read the response in time.",
        "Resend and read the response without long pauses.",
    ),
    Reason(
        "cancelled_in_flight",
        499,
        "unknown",
        "The caller cancelled the request after dispatch.",
        "A non-idempotent call continues; resend with the same key for its answer.",
        1000,
    ),
    Reason(
        "stopped_in_flight",
        502,
        "unknown",
        "The router was stopped while the request was running.",
        "Resend to another address; a non-idempotent call with the same key.",
        0,
    ),
    Reason(
        "internal_error",
        500,
        "unknown",
        "The router aborted the request because an invariant was violated.",
        "Report the request id to an operator.",
    ),
)

REASONS: dict[str, Reason] = {row.code: row for row in _REASONS}
