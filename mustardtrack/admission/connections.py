"""This router's part of the connections that an endpoint accepts.

Load pattern: a burst of callers at many routers, each of which opens a connection for
every request in flight. An endpoint resets the connections beyond its limit, together
with the requests on them, and a request that must not repeat is then lost. Equal parts
keep the sum under the limit without messages.
"""

# Part of the limit that routers use; the rest covers control's own calls, connections
# of a router that has just been replaced and views that differ for a moment.
USED_SHARE = 0.85


def share_connections(max_connections: int, router_count: int) -> int:
    """Return the connections that one router may have open to an endpoint.

    Args:
        max_connections: Connections that the endpoint accepts from all hosts.
        router_count: Routers that are alive.

    Examples:
        >>> share_connections(370, 8), share_connections(110, 8)
        (39, 11)
        >>> share_connections(10, 100)
        1
    """
    return max(1, int(USED_SHARE * max_connections / max(1, router_count)))
