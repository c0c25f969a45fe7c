"""Claim commands of the replicated state machine."""

import msgspec

from mustardtrack.idempotency.answers import Answer

DEFAULT_UNKNOWN_AFTER_MS = 37_000


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Requests the exclusive right to run one non-idempotent call.

    Attributes:
        account: Client account that sent the call.
        key: The caller's idempotency key.
        body_digest: Digest of method, path and body.
        attempt: Attempt id, unique for every dispatch; unchanged when the command
            is resent.
        router: Router that will dispatch the call.
        endpoint: Endpoint that the router intends to use, reported to the caller if
            the outcome remains unknown.
        unknown_after_ms: Time after the grant at which the outcome of a claim that is
            neither complete nor released counts as unknown: dispatch window plus
            service timeout plus margin. It is part of the command so that replicas
            with different settings agree.
    """

    account: str
    key: str
    body_digest: str
    attempt: str
    router: str
    endpoint: str = ""
    unknown_after_ms: int = DEFAULT_UNKNOWN_AFTER_MS


class CompleteClaim(msgspec.Struct, frozen=True, tag="complete"):
    """Stores the answer of the attempt that holds the claim."""

    account: str
    key: str
    attempt: str
    answer: Answer


class ReleaseClaim(msgspec.Struct, frozen=True, tag="release"):
    """Releases the claim; proposed only if no byte of the call has been sent."""

    account: str
    key: str
    attempt: str


class ExpireClaims(msgspec.Struct, frozen=True, tag="expire"):
    """Drops the claims whose retention period has ended."""


ClaimCommand = Claim | CompleteClaim | ReleaseClaim | ExpireClaims
