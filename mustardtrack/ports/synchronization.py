"""Messages by which routers and control hosts keep each other up to date."""

import msgspec

from mustardtrack.membership.endpoint_list import EndpointList
from mustardtrack.membership.endpoint_list_changes import EndpointListChange


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a router is and has; renews its entry in the directory."""

    name: str
    zone: str
    callers: str
    is_ready: bool
    document_version: int
    revision: int
    list_term: int
    list_sequence: int
    hold_ms: int


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """What is newer than the router has.

    ``stale_ms`` is the time since a majority confirmed the state of the sender.
    ``leader`` is the replica that leads, as far as the sender knows.
    ``refused`` holds fingerprints of requests that crash the endpoints they run on.
    ``change`` leads from the router's list to the newest; ``endpoints`` is the whole
    list if the sender does not remember the router's.
    ``content`` is the compressed document, empty if the router has it already.
    """

    stale_ms: int
    revision: int
    document_version: int
    content: bytes
    weights: dict[str, int]
    endpoints: EndpointList | None
    controls: list[str]
    router_count: int
    leader: str = ""
    refused: list[str] = []
    change: EndpointListChange | None = None


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """Newest document as read by the leader; ``is_sure`` is false without a lease."""

    is_sure: bool
    version: int = 0
    content: bytes = b""


class ControlHosts(msgspec.Struct, frozen=True, array_like=True):
    """All control hosts as the leader sees them, sent to the other replicas."""

    term: int
    names: list[str]
    endpoints: EndpointList


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """What became of placed prompts since the last message of a router.

    ``read`` and ``ended`` hold request ids, ``silent`` the engines that the router
    could not reach, ``broken`` the fingerprints of requests whose endpoint broke the
    connection while it ran them, ``refused`` an engine for each request that it did not
    run.
    """

    read: list[str]
    ended: list[str]
    silent: list[str]
    broken: list[str] = []
    refused: list[str] = []
