"""Messages between the processes of the system.

Every frame on the bus is one MessagePack-encoded :class:`Envelope`. Its
``topic`` selects the handler at the receiver and the type of ``body``.
"""

import msgspec


class Envelope(msgspec.Struct, frozen=True):
    """Frame between two processes.

    ``request_id`` is 0 for one-way messages; a reply carries the request's id.
    """

    sender: str
    topic: str
    body: bytes
    request_id: int = 0
    is_reply: bool = False


class CommandRequest(msgspec.Struct, frozen=True):
    """Asks a control replica to commit one encoded command."""

    payload: bytes


class CommandReply(msgspec.Struct, frozen=True):
    """Answer to a command.

    ``status`` is ``committed`` (``outcome`` holds the encoded outcome),
    ``not_leader`` (``leader`` names the replica to ask, if known) or
    ``unknown`` (the entry may or may not commit; resend with the same identity).
    """

    status: str
    outcome: bytes = b""
    leader: str = ""


class FollowRequest(msgspec.Struct, frozen=True):
    """Asks for configuration changes after a revision.

    The reply may be held back up to ``wait_ms`` until there is a change.
    """

    have_revision: int
    wait_ms: int = 0


class FollowReply(msgspec.Struct, frozen=True):
    """Configuration changes, or a whole snapshot if the changes are compacted.

    ``stale_ms`` is the time since the source last heard from a leader.
    """

    revision: int
    changes: bytes = b""
    snapshot: bytes = b""
    stale_ms: int = 0


class RouterHeartbeat(msgspec.Struct, frozen=True):
    """Liveness, revision in force and endpoint observations of one router.

    ``state`` is ``up`` or ``draining``. ``observations`` holds encoded
    ``membership.Observation`` values; ``account_use`` holds the requests and
    tokens admitted for each client account since the last heartbeat.
    """

    name: str
    address: str
    zone: str
    state: str
    revision: int
    sequence: int
    observations: bytes = b""
    account_use: dict[str, tuple[int, int]] = {}


class SuspectNotice(msgspec.Struct, frozen=True):
    """Tells other routers of requests that ran on an endpoint when it died.

    ``quarantined`` lists those that must not be run any more.
    """

    suspects: list[str]
    quarantined: list[str]


class FormRequest(msgspec.Struct, frozen=True):
    """Formation step: a probe if ``voters`` is empty, else the voter set."""

    voters: list[tuple[str, str]] = []


class FormReply(msgspec.Struct, frozen=True):
    """Identity of the replica and the voters it was formed with."""

    name: str
    disk: str
    formed: bool
    voters: list[tuple[str, str]] = []
