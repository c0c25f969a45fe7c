"""Assignment of observing routers to endpoints."""

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

    Every router computes the same result from the same set of live routers. Adding
    or removing a router reassigns only the endpoints that it gains or loses, except
    where the preference for distinct zones changes other assignments.

    Args:
        endpoint: Name of the endpoint.
        routers: The live routers.
        count: Number of observers.

    Returns:
        Up to ``count`` routers, the highest ranked of each availability zone first.

    Examples:
        >>> routers = [Router(f"r{n}", f"z{n % 3}") for n in range(8)]
        >>> len({router.zone for router in choose_observers("engine-1", routers)})
        3
    """
    ranked = sorted(
        routers, key=lambda router: _weight(endpoint, router.name), reverse=True
    )
    chosen: list[Router] = []
    repeated_zone: list[Router] = []
    zones: set[str] = set()
    for router in ranked:
        if len(chosen) == count:
            break
        (repeated_zone if router.zone in zones else chosen).append(router)
        zones.add(router.zone)
    return (chosen + repeated_zone)[:count]


def observed_endpoints(
    router_name: str,
    endpoints: Sequence[str],
    routers: Sequence[Router],
    count: int = 3,
) -> list[str]:
    """Return the endpoints that router ``router_name`` observes.

    The cost is one hash per endpoint and router. Call it when the set of endpoints
    or live routers changes, not per probe.
    """
    return [
        endpoint
        for endpoint in endpoints
        if any(
            router.name == router_name
            for router in choose_observers(endpoint, routers, count)
        )
    ]


def _weight(endpoint: str, router: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{router}".encode()), router
