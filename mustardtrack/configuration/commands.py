"""Commands of the replicated state machine and their encoding."""

from typing import Literal

import msgspec

from mustardtrack.configuration.documents import (
    ClaimOrders,
    NameWeights,
    PutDocument,
    RecordLostRequests,
    ReleaseOrders,
)
from mustardtrack.idempotency import Claim, CompleteClaim, ExpireClaims, ReleaseClaim

FieldValue = str | int | float | bool | list[str]


class ChangeObject(msgspec.Struct, frozen=True, tag="change"):
    """Creates, changes or removes one object.

    ``if_version`` is the version that the object must have; 0 means that it must
    not exist.
    """

    command_id: str
    operator: str
    action: Literal["create", "set", "remove"]
    kind: str
    name: str
    fields: dict[str, FieldValue] = {}
    if_version: int | None = None


class Drain(msgspec.Struct, frozen=True, tag="drain"):
    """Drains an endpoint or host, or ends its drain."""

    command_id: str
    operator: str
    kind: Literal["endpoint", "host"]
    name: str
    draining: bool
    if_version: int | None = None


class LoadModel(msgspec.Struct, frozen=True, tag="load"):
    """Orders an engine to load weights.

    ``if_version`` refers to the endpoint; the command increases its version.
    """

    command_id: str
    operator: str
    model: str
    weights_version: str
    endpoint: str
    if_version: int | None = None


class ReleaseFingerprint(msgspec.Struct, frozen=True, tag="release_fingerprint"):
    """Ends the quarantine of a request fingerprint."""

    command_id: str
    operator: str
    fingerprint: str


class ReportCrash(msgspec.Struct, frozen=True, tag="crash"):
    """Counts the crash of an endpoint incarnation against a fingerprint."""

    fingerprint: str
    endpoint: str
    incarnation: str


class ClearCrashes(msgspec.Struct, frozen=True, tag="clear_crashes"):
    """Clears the crash count of a fingerprint after its request completed elsewhere."""

    fingerprint: str


class FinishLoad(msgspec.Struct, frozen=True, tag="finish_load"):
    """Reports the end of a weight load; ``ok`` is false on failure or timeout."""

    endpoint: str
    fence: int
    ok: bool


OperatorCommand = ChangeObject | Drain | LoadModel | ReleaseFingerprint
Command = (
    ChangeObject
    | Drain
    | LoadModel
    | ReleaseFingerprint
    | ReportCrash
    | ClearCrashes
    | FinishLoad
    | Claim
    | CompleteClaim
    | ReleaseClaim
    | ExpireClaims
    | PutDocument
    | NameWeights
    | ClaimOrders
    | ReleaseOrders
    | RecordLostRequests
)


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """Payload of a log entry.

    The wall time is part of the entry, so that every replica applies the command
    with the same time.
    """

    wall_ms: int
    command: Command


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)
_PROPOSAL_DECODER = msgspec.msgpack.Decoder(Proposal)


def encode_command(command: Command) -> bytes:
    """Encode a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command.

    Raises:
        msgspec.DecodeError: If the bytes are not an encoded command.

    Examples:
        >>> decode_command(encode_command(ReportCrash("f1", "engine-1", "i7"))).endpoint
        'engine-1'
    """
    return _DECODER.decode(data)


def encode_proposal(proposal: Proposal) -> bytes:
    """Encode the payload of a log entry."""
    return _ENCODER.encode(proposal)


def decode_proposal(data: bytes) -> Proposal:
    """Decode the payload of a log entry.

    Raises:
        msgspec.DecodeError: If the bytes are not an encoded proposal.
    """
    return _PROPOSAL_DECODER.decode(data)
