"""Actions and per-call record of the non-idempotent call state machine."""

from dataclasses import dataclass

from mustardtrack.requests.refusals import Refusal


@dataclass(frozen=True)
class RequestClaim:
    """Request the claim on the idempotency key from the control plane."""

    account: str
    key: str
    body_digest: str
    attempt: str


@dataclass(frozen=True)
class Dispatch:
    """Connect to the endpoint, check the dispatch guard and send the call.

    ``write_started`` must be called immediately before the first byte is written,
    and the byte must not be written if it raises.
    """

    attempt: str
    fence: int


@dataclass(frozen=True)
class StoreAnswer:
    """Store the answer in the claim, retrying until the control plane accepts it."""

    account: str
    key: str
    attempt: str
    answer: bytes


@dataclass(frozen=True)
class ReleaseClaim:
    """Release the claim, retrying until the control plane responds.

    The control plane keeps a claim whose outcome it already reports as unknown.
    """

    account: str
    key: str
    attempt: str


@dataclass(frozen=True)
class Reply:
    """Send the answer to the caller; ``stored`` marks the replay of a stored one."""

    answer: bytes
    stored: bool


@dataclass(frozen=True)
class Refuse:
    """Send the refusal to the caller."""

    refusal: Refusal


Action = RequestClaim | Dispatch | StoreAnswer | ReleaseClaim | Reply | Refuse


@dataclass
class CallRecord:
    """Identity and progress of one send of a call, checked by the invariants.

    Attributes:
        account: The client account.
        key: The idempotency key.
        body_digest: Digest of method, path and body.
        attempt: The attempt id, unique across all routers.
        dispatched: Whether ``Dispatch`` was returned.
        first_byte_sent: Whether a byte may have reached the endpoint.
        replied: Whether an answer or a refusal was sent to the caller.
    """

    account: str
    key: str
    body_digest: str
    attempt: str
    dispatched: bool = False
    first_byte_sent: bool = False
    replied: bool = False
