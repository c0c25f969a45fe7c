"""Outcomes of claim commands."""

from typing import Literal

import msgspec

from mustardtrack.idempotency.answers import Answer


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """The attempt may be dispatched within its dispatch window.

    A resent claim of the same attempt returns the same value. ``fence`` is the
    fencing token, the log index of the grant.
    """

    attempt: str
    fence: int


class Stored(msgspec.Struct, frozen=True, tag="stored"):
    """The call has completed; its stored answer is replayed."""

    answer: Answer


class InProgress(msgspec.Struct, frozen=True, tag="in_progress"):
    """Another attempt has held the claim since ``since_wall_ms``."""

    since_wall_ms: int


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="outcome_unknown"):
    """The call may have run and is never run again.

    ``check`` tells the caller how to determine the outcome.
    """

    endpoint: str
    since_wall_ms: int
    check: str


class BodyMismatch(msgspec.Struct, frozen=True, tag="body_mismatch"):
    """The key was already used with another body; a new key is required."""


class KeyExpired(msgspec.Struct, frozen=True, tag="key_expired"):
    """The creation time of the key is outside the accepted period.

    ``ran`` is ``unknown`` for an old key, whose claim may have been dropped, and
    ``not_run`` for a key with a creation time in the future, which was never accepted.
    """

    reason: Literal["too_old", "in_future"]
    ran: Literal["not_run", "unknown"]
    remedy: str


class KeyInvalid(msgspec.Struct, frozen=True, tag="key_invalid"):
    """The key is not a version 7 UUID; the call was not run."""

    remedy: str


class AttemptEnded(msgspec.Struct, frozen=True, tag="attempt_ended"):
    """The attempt has released the claim and must not be dispatched."""

    attempt: str


class Completed(msgspec.Struct, frozen=True, tag="completed"):
    """The answer is stored."""


class Released(msgspec.Struct, frozen=True, tag="released"):
    """The claim is free for another attempt."""


class NotHeld(msgspec.Struct, frozen=True, tag="not_held"):
    """The attempt does not hold the claim; nothing was changed."""

    reason: str


class Expired(msgspec.Struct, frozen=True, tag="expired"):
    """Expired claims were dropped; ``count`` is their number."""

    count: int


ClaimOutcome = (
    Granted
    | Stored
    | InProgress
    | OutcomeUnknown
    | BodyMismatch
    | KeyExpired
    | KeyInvalid
    | AttemptEnded
)
ClaimUpdateOutcome = Completed | Released | NotHeld | Expired
