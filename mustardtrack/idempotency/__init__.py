"""Claims that prevent a non-idempotent call from running twice."""

from mustardtrack.idempotency.answers import (
    MAX_STORED_ANSWER_BYTES,
    Answer,
    build_stored_answer,
)
from mustardtrack.idempotency.claims import (
    CLAIM_RETENTION_MS,
    MAX_KEY_AGE_MS,
    MAX_KEY_FUTURE_MS,
    ClaimTable,
)
from mustardtrack.idempotency.commands import (
    Claim,
    ClaimCommand,
    CompleteClaim,
    ExpireClaims,
    ReleaseClaim,
)
from mustardtrack.idempotency.guard import DispatchGuard
from mustardtrack.idempotency.keys import (
    KEY_REMEDY,
    IdempotencyKey,
    KeyFormatError,
    parse_key,
)
from mustardtrack.idempotency.outcomes import (
    AttemptEnded,
    BodyMismatch,
    ClaimOutcome,
    ClaimUpdateOutcome,
    Completed,
    Expired,
    Granted,
    InProgress,
    KeyExpired,
    KeyInvalid,
    NotHeld,
    OutcomeUnknown,
    Released,
    Stored,
)

__all__ = [
    "KEY_REMEDY",
    "MAX_KEY_AGE_MS",
    "MAX_KEY_FUTURE_MS",
    "CLAIM_RETENTION_MS",
    "MAX_STORED_ANSWER_BYTES",
    "Answer",
    "AttemptEnded",
    "BodyMismatch",
    "Claim",
    "ClaimCommand",
    "ClaimOutcome",
    "ClaimTable",
    "ClaimUpdateOutcome",
    "CompleteClaim",
    "Completed",
    "DispatchGuard",
    "ExpireClaims",
    "Expired",
    "Granted",
    "IdempotencyKey",
    "InProgress",
    "KeyExpired",
    "KeyFormatError",
    "KeyInvalid",
    "NotHeld",
    "OutcomeUnknown",
    "ReleaseClaim",
    "Released",
    "Stored",
    "parse_key",
    "build_stored_answer",
]
