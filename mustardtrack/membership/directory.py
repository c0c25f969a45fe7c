"""Directory of the live routers, and which of them a caller is told to use."""

from dataclasses import dataclass

# Callers take at most this many addresses from one answer.
MAX_ADDRESSES = 64
# With fewer live routers in its zone a caller is also told those of other zones,
# so that one failure does not leave it without an address.
MIN_ZONE_ROUTERS = 2


@dataclass(frozen=True)
class RouterEntry:
    """State of one router as it last reported it."""

    name: str
    zone: str
    callers: str
    is_ready: bool
    seen_ms: int


class RouterDirectory:
    """Routers that have reported within their lease.

    Args:
        lease_ms: Time after which a router that is not heard is left out.

    Examples:
        >>> directory = RouterDirectory(lease_ms=1000)
        >>> directory.report(RouterEntry("r1", "a", "10.0.0.1:80", True, 0))
        >>> directory.choose("a", 500)
        ['10.0.0.1:80']
        >>> directory.choose("a", 1500)
        []
    """

    def __init__(self, lease_ms: int):
        self._lease_ms = lease_ms
        self._entries: dict[str, RouterEntry] = {}

    def report(self, entry: RouterEntry) -> None:
        """Record what a router reported."""
        self._entries[entry.name] = entry

    def live(self, now_ms: int) -> list[RouterEntry]:
        """Return the routers that serve callers."""
        horizon_ms = now_ms - self._lease_ms
        return [
            entry
            for entry in self._entries.values()
            if entry.is_ready and entry.seen_ms > horizon_ms
        ]

    def choose(self, zone: str, now_ms: int) -> list[str]:
        """Return addresses for a caller, those of its zone only if they suffice."""
        live = self.live(now_ms)
        near = [entry for entry in live if entry.zone == zone]
        chosen = near if len(near) >= MIN_ZONE_ROUTERS else live
        return sorted(entry.callers for entry in chosen)[:MAX_ADDRESSES]
