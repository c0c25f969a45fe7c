"""Attempts, streams, refusals, non-idempotent calls and planned stops."""

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
from mustardtrack.requests.calls import Call
from mustardtrack.requests.reasons import REASONS, Ran, Reason
from mustardtrack.requests.refusals import Refusal, UnknownReasonError, refuse
from mustardtrack.requests.stops import ForcedStop, Interrupted, PlannedStop
from mustardtrack.requests.streams import (
    CannotContinue,
    Complete,
    Continue,
    Deliver,
    Duplicate,
    Foreign,
    Gap,
    SlowCallerBuffer,
    StreamAssembler,
    StreamPiece,
    Truncated,
)

__all__ = [
    "REASONS",
    "Action",
    "Attempt",
    "AttemptTracker",
    "Call",
    "CallRecord",
    "CannotContinue",
    "Complete",
    "Continue",
    "Deliver",
    "Dispatch",
    "Duplicate",
    "ForcedStop",
    "Foreign",
    "Gap",
    "Interrupted",
    "PlannedStop",
    "Ran",
    "Reason",
    "Refusal",
    "Refuse",
    "ReleaseClaim",
    "Reply",
    "RequestClaim",
    "SlowCallerBuffer",
    "StoreAnswer",
    "StreamAssembler",
    "StreamPiece",
    "Truncated",
    "UnknownReasonError",
    "refuse",
]
