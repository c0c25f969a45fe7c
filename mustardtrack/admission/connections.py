"""Division of an endpoint's connection limit among the routers.

Load pattern: a burst of callers at many routers, each of which opens a connection for
every request in flight. An endpoint resets the connections beyond its limit together
with the requests on them, and a request that must not be retried is then lost. Equal
shares keep the sum below the limit without messages between routers.
"""

# Fraction of the limit that routers use. The rest covers calls of the control process,
# connections of a router that was just replaced and temporarily different views of the
# number of routers.
USED_FRACTION = 0.85


def connections_per_router(max_connections: int, router_count: int) -> int:
    """Return the number of connections that one router may open to an endpoint.

    Args:
        max_connections: Connections that the endpoint accepts from all hosts.
        router_count: Routers that are alive.

    Examples:
        >>> connections_per_router(370, 8), connections_per_router(110, 8)
        (39, 11)
        >>> connections_per_router(10, 100)
        1
    """
    return max(1, int(USED_FRACTION * max_connections / max(1, router_count)))
