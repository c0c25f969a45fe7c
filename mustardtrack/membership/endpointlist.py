"""Endpoints as the platform lists them, copied from the leader to all hosts."""

import msgspec


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint of the platform's list.

    Attributes:
        id: Identity that the endpoint itself states.
        started_ms: Wall time of its start, 0 if it is not stated. A restart may
            keep the id.
        is_draining: Whether it is about to leave and takes no new work.
        is_loading: Whether it was ordered to load other weights and refuses work.
        weights: Version of each model that it runs.
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
    """All endpoints at one time.

    Lists are ordered by (term, sequence): the term of the leader that read the
    list, and a number that it increases with each change.
    """

    term: int = 0
    sequence: int = 0
    endpoints: tuple[ListedEndpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Position among all lists."""
        return self.term, self.sequence


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of the prefix cache of one engine or store.

    Attributes:
        epoch: Identity of one start; another one means that the cache was lost.
        following: Number after which to ask for further events.
        has_gap: Whether events before these were lost.
        changes: Salt, digest and remaining tokens of each changed part.
    """

    epoch: str
    following: int
    has_gap: bool
    changes: list[tuple[str, str, int]]
