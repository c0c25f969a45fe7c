"""Messages between the processes of the system.

Every frame on the bus is one MessagePack-encoded :class:`Envelope`. Its
``topic`` selects the handler at the receiver and the type of ``body``.
"""

import msgspec


class Envelope(msgspec.Struct, frozen=True):
    """Message between two processes.

    ``request_id`` is 0 for one-way messages; a reply carries the id of its request.
    """

    sender: str
    topic: str
    body: bytes
    request_id: int = 0
    is_reply: bool = False


class CommandRequest(msgspec.Struct, frozen=True):
    """Request to a control replica to commit one encoded command."""

    payload: bytes


class CommandReply(msgspec.Struct, frozen=True):
    """Reply to a :class:`CommandRequest`.

    ``status`` is ``committed`` (``outcome`` holds the encoded outcome),
    ``not_leader`` (``leader`` names the replica to ask, if known) or
    ``unknown`` (the entry may or may not be committed; resend the command with the
    same identity).
    """

    status: str
    outcome: bytes = b""
    leader: str = ""


class FollowRequest(msgspec.Struct, frozen=True):
    """Long-poll request for configuration changes after ``have_revision``.

    The reply may be delayed by up to ``wait_ms`` until there is a change.
    """

    have_revision: int
    wait_ms: int = 0


class FollowReply(msgspec.Struct, frozen=True):
    """Configuration changes, or a full snapshot if the changes were compacted.

    ``stale_ms`` is the time since the sender last heard from a leader.
    """

    revision: int
    changes: bytes = b""
    snapshot: bytes = b""
    stale_ms: int = 0


class RouterHeartbeat(msgspec.Struct, frozen=True):
    """Heartbeat of a router with its active revision and endpoint observations.

    ``state`` is ``up`` or ``draining``. ``observations`` holds encoded
    ``membership.Observation`` values; ``account_use`` holds the numbers of
    requests and tokens admitted for each client account since the last heartbeat.
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
    """Notifies other routers of requests that were running on a crashed endpoint.

    ``suspects`` and ``quarantined`` hold fingerprints. Quarantined requests must not
    be run again.
    """

    suspects: list[str]
    quarantined: list[str]


class FormRequest(msgspec.Struct, frozen=True):
    """Step of group formation: a probe if ``voters`` is empty, else the voter set."""

    voters: list[tuple[str, str]] = []


class FormReply(msgspec.Struct, frozen=True):
    """Identity of a replica and the voters of its group, if it is formed."""

    name: str
    disk: str
    formed: bool
    voters: list[tuple[str, str]] = []
