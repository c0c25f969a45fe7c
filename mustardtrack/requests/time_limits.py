"""Time limits of a request and of its attempts."""

from dataclasses import dataclass
from enum import Enum


class TimeLimit(Enum):
    """Time limit that can end an attempt."""

    CALLER = "caller"
    ROUTE = "route"
    FIRST_EVENT = "first_event"
    EVENT_GAP = "event_gap"
    CONNECT = "connect"
    WEIGHTS = "weights"


@dataclass(frozen=True)
class RequestTimeLimit:
    """Time that a request has from its arrival, and what sets it.

    Examples:
        >>> RequestTimeLimit.of(route_ms=9000, caller_ms=5000)
        RequestTimeLimit(kind=<TimeLimit.CALLER: 'caller'>, limit_ms=5000)
        >>> RequestTimeLimit.of(route_ms=9000, caller_ms=None).kind.value
        'route'
    """

    kind: TimeLimit
    limit_ms: int

    @classmethod
    def of(cls, route_ms: int, caller_ms: int | None) -> "RequestTimeLimit":
        """Return the shorter of the route's and the caller's limit."""
        if caller_ms is not None and caller_ms < route_ms:
            return cls(TimeLimit.CALLER, caller_ms)
        return cls(TimeLimit.ROUTE, route_ms)
