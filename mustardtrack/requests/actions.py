"""Actions and record of a non-idempotent call."""

from dataclasses import dataclass

from mustardtrack.requests.refusals import Refusal


@dataclass(frozen=True)
class RequestClaim:
    """Ask control for the claim of the key."""

    account: str
    key: str
    body_digest: str
    attempt: str


@dataclass(frozen=True)
class Dispatch:
    """Connect to the endpoint, check the dispatch guard and send the call.

    ``bytes_sent`` must be called immediately before the first byte is written,
    and the byte must not be written if it raises.
    """

    attempt: str
    fence: int


@dataclass(frozen=True)
class StoreAnswer:
    """Complete the claim with the answer, retrying until control accepts it."""

    account: str
    key: str
    attempt: str
    answer: bytes


@dataclass(frozen=True)
class ReleaseClaim:
    """Release the claim, retrying until control answers.

    Control keeps the claim if its outcome is already reported as unknown.
    """

    account: str
    key: str
    attempt: str


@dataclass(frozen=True)
class Reply:
    """Send the answer to the caller; ``stored`` if an earlier send produced it."""

    answer: bytes
    stored: bool


@dataclass(frozen=True)
class Refuse:
    """Send the refusal to the caller."""

    refusal: Refusal


Action = RequestClaim | Dispatch | StoreAnswer | ReleaseClaim | Reply | Refuse


@dataclass
class CallRecord:
    """Identity of a send and the facts that the invariants check.

    Attributes:
        account: The client account.
        key: The idempotency key.
        body_digest: Digest of the request body.
        attempt: The attempt id, unique among all routers.
        dispatched: Whether ``Dispatch`` was returned.
        first_byte_sent: Whether a byte may have reached the endpoint.
        replied: Whether the caller got an answer or a refusal.
    """

    account: str
    key: str
    body_digest: str
    attempt: str
    dispatched: bool = False
    first_byte_sent: bool = False
    replied: bool = False
