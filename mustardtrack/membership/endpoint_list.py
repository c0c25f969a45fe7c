"""Endpoint list of the platform, replicated from the leader to all hosts."""

import msgspec


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the platform's endpoint list.

    Attributes:
        id: Identity that the endpoint reports; it may survive a restart.
        started_ms: Wall time of the start of the endpoint, 0 if not reported.
        is_draining: Whether the endpoint is about to leave and accepts no new
            requests.
        is_loading: Whether the endpoint was ordered to load other weights and
            refuses requests.
        weights: Weights version of each model that the endpoint serves.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    is_loading: bool
    weights: dict[str, int]


class EndpointList(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of all endpoints.

    Snapshots are ordered by (term, sequence): the term of the leader that read the
    list, and a number that this leader increments with each change.
    """

    term: int = 0
    sequence: int = 0
    endpoints: tuple[ListedEndpoint, ...] = ()

    @property
    def list_version(self) -> tuple[int, int]:
        """Term and sequence, by which lists are ordered."""
        return self.term, self.sequence


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of the prefix cache of one engine or cache store.

    Attributes:
        epoch: Identity of one process start; a different epoch means that the cache
            was lost.
        following: Event number to pass when requesting later events.
        has_gap: Whether events before these were lost.
        changes: Salt, digest and remaining tokens of each changed part of the cache.
    """

    epoch: str
    following: int
    has_gap: bool
    changes: list[tuple[str, str, int]]
