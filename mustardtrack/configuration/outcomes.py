"""Outcomes of commands and their encoding."""

import msgspec

from mustardtrack.configuration.documents import DocumentOutcome
from mustardtrack.idempotency import (
    AttemptEnded,
    BodyMismatch,
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


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The command took effect at ``revision``.

    ``fence`` is the fencing token of an order to an endpoint, else 0.
    """

    revision: int
    version: int
    fence: int = 0


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The object's version differs from the condition of the command.

    ``current_version`` is 0 if the object was removed, and ``set_by`` is the
    operator who last changed or removed it.
    """

    current_version: int
    set_by: str


class UnknownObject(msgspec.Struct, frozen=True, tag="unknown_object"):
    """The object does not exist."""

    kind: str
    name: str


class Exists(msgspec.Struct, frozen=True, tag="exists"):
    """The object to create already exists; use ``set``."""

    kind: str
    name: str
    version: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The command is not valid; ``remedy`` tells how to correct it."""

    path: str
    reason: str
    remedy: str


class CrashCounted(msgspec.Struct, frozen=True, tag="crash_counted"):
    """Number of crashes counted against the fingerprint."""

    deaths: int
    quarantined: bool


ConfigurationOutcome = (
    Accepted | Conflict | UnknownObject | Exists | Invalid | CrashCounted
)
Outcome = (
    Accepted
    | Conflict
    | UnknownObject
    | Exists
    | Invalid
    | CrashCounted
    | Granted
    | Stored
    | InProgress
    | OutcomeUnknown
    | BodyMismatch
    | KeyExpired
    | KeyInvalid
    | AttemptEnded
    | Completed
    | Released
    | NotHeld
    | Expired
    | DocumentOutcome
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Outcome)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome as MessagePack."""
    return _ENCODER.encode(outcome)


def decode_outcome(data: bytes) -> Outcome:
    """Decode an outcome.

    Raises:
        msgspec.DecodeError: If the bytes are not an encoded outcome.

    Examples:
        >>> decode_outcome(encode_outcome(Conflict(3, "ana")))
        Conflict(current_version=3, set_by='ana')
    """
    return _DECODER.decode(data)
