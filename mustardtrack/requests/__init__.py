"""Attempts, streams, refusals, non-idempotent calls and graceful shutdown."""

from mustardtrack.requests.actions import (
    Action,
    CallRecord,
    Dispatch,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
)
from mustardtrack.requests.attempts import Attempt, AttemptTracker
from mustardtrack.requests.calls import NonIdempotentCall
from mustardtrack.requests.graceful_shutdown import (
    ForcedShutdown,
    GracefulShutdown,
    InterruptedRequest,
)
from mustardtrack.requests.reasons import REASONS, Reason, RunStatus
from mustardtrack.requests.refusals import Refusal, UnknownReasonError, refuse
from mustardtrack.requests.streams import (
    AttemptMismatch,
    BackpressureBuffer,
    CannotContinue,
    Complete,
    Continue,
    Deliver,
    Duplicate,
    MissingPieces,
    StreamAssembler,
    StreamPiece,
    Truncated,
)

__all__ = [
    "REASONS",
    "Action",
    "Attempt",
    "AttemptMismatch",
    "AttemptTracker",
    "BackpressureBuffer",
    "NonIdempotentCall",
    "CallRecord",
    "CannotContinue",
    "Complete",
    "Continue",
    "Deliver",
    "Dispatch",
    "Duplicate",
    "ForcedShutdown",
    "InterruptedRequest",
    "MissingPieces",
    "GracefulShutdown",
    "Reason",
    "Refusal",
    "Refuse",
    "ReleaseClaim",
    "Reply",
    "RequestClaim",
    "RunStatus",
    "StoreAnswer",
    "StreamAssembler",
    "StreamPiece",
    "Truncated",
    "UnknownReasonError",
    "refuse",
]
