"""Choice of the routers that observe an endpoint."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True)
class Router:
    """A live router that can observe endpoints."""

    name: str
    zone: str


def choose_observers(
    endpoint: str, routers: Iterable[Router], count: int = 3
) -> list[Router]:
    """Choose the observers of an endpoint by rendezvous hashing.

    Every router computes the same result from the same set of live routers. A
    change of one router moves only the endpoints that it gains or loses, except
    where the preference for different zones changes with it.

    Args:
        endpoint: Name of the endpoint.
        routers: The live routers.
        count: Number of observers.

    Returns:
        Up to ``count`` routers, the best of each availability zone first.

    Examples:
        >>> routers = [Router(f"r{n}", f"z{n % 3}") for n in range(8)]
        >>> len({one.zone for one in choose_observers("engine-1", routers)})
        3
    """
    ranked = sorted(routers, key=lambda one: _weight(endpoint, one.name), reverse=True)
    chosen: list[Router] = []
    others: list[Router] = []
    zones: set[str] = set()
    for router in ranked:
        if len(chosen) == count:
            break
        (others if router.zone in zones else chosen).append(router)
        zones.add(router.zone)
    return (chosen + others)[:count]


def observed_endpoints(
    me: str, endpoints: Sequence[str], routers: Sequence[Router], count: int = 3
) -> list[str]:
    """Return the endpoints that router ``me`` observes.

    The cost is one hash per endpoint and router; call it when the set of
    endpoints or live routers changes, not per probe.
    """
    return [
        endpoint
        for endpoint in endpoints
        if any(one.name == me for one in choose_observers(endpoint, routers, count))
    ]


def _weight(endpoint: str, router: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{router}".encode()), router
