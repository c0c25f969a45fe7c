"""Directory of live routers and selection of the addresses returned to callers."""

from dataclasses import dataclass

from mustardtrack.membership.routercounts import RouterNumbers
from mustardtrack.membership.routershares import (
    UNKNOWN_CAPACITY,
    RouterCapacity,
    count_places,
    weigh_routers,
)

# Callers use at most this many addresses of one response.
MAX_ADDRESSES = 64
# With fewer live routers in its zone, a caller also gets routers of other zones, so
# that one failure does not leave it without an address.
MIN_ZONE_ROUTERS = 2


@dataclass(frozen=True)
class RouterEntry:
    """Last reported state of one router; ``callers`` is its address for callers."""

    name: str
    zone: str
    callers: str
    is_ready: bool
    seen_ms: int
    capacity: RouterCapacity = UNKNOWN_CAPACITY


class RouterDirectory:
    """Routers whose last report is within its lease.

    Args:
        lease_ms: Time after its last report at which a router is excluded.
        memory_ms: Time after its last report for which a router counts as recent.
        complete_from_ms: Time from which all recent routers are known.

    Examples:
        >>> directory = RouterDirectory(lease_ms=1000)
        >>> directory.report(RouterEntry("r1", "a", "10.0.0.1:80", True, 0))
        >>> directory.choose("a", 500)
        ['10.0.0.1:80']
        >>> directory.choose("a", 1500)
        []
    """

    def __init__(self, lease_ms: int, memory_ms: int = 0, complete_from_ms: int = 0):
        self._lease_ms = lease_ms
        self._memory_ms = memory_ms
        self._complete_from_ms = complete_from_ms
        self._entries: dict[str, RouterEntry] = {}

    def report(self, entry: RouterEntry) -> None:
        """Store the report of a router."""
        self._entries[entry.name] = entry

    def live(self, now_ms: int) -> list[RouterEntry]:
        """Return the ready routers with a valid lease."""
        lease_cutoff_ms = now_ms - self._lease_ms
        return [
            entry
            for entry in self._entries.values()
            if entry.is_ready and entry.seen_ms > lease_cutoff_ms
        ]

    def count(self, now_ms: int) -> RouterNumbers:
        """Return the numbers of routers, and forget those that are not recent."""
        lease_cutoff_ms = now_ms - self._lease_ms
        memory_cutoff_ms = now_ms - max(self._lease_ms, self._memory_ms)
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.seen_ms > memory_cutoff_ms
        }
        alive = sum(entry.seen_ms > lease_cutoff_ms for entry in self._entries.values())
        is_complete = now_ms >= self._complete_from_ms
        return RouterNumbers(alive, len(self._entries) if is_complete else 0)

    def count_seen(self, since_ms: int) -> int:
        """Return the number of routers that reported after a time."""
        return sum(entry.seen_ms > since_ms for entry in self._entries.values())

    def choose(self, zone: str, now_ms: int) -> list[str]:
        """Return the addresses for a caller, who takes one of them at random.

        A router with a larger share of the connections is named several times.
        Routers of other zones are included only if the zone of the caller has fewer
        than ``MIN_ZONE_ROUTERS`` live routers.
        """
        live = self.live(now_ms)
        same_zone = [entry for entry in live if entry.zone == zone]
        chosen = same_zone if len(same_zone) >= MIN_ZONE_ROUTERS else live
        chosen = sorted(chosen, key=lambda entry: entry.callers)[:MAX_ADDRESSES]
        weights = weigh_routers([entry.capacity for entry in chosen])
        addresses: list[str] = []
        for entry, places in zip(
            chosen, count_places(weights, MAX_ADDRESSES), strict=True
        ):
            addresses += [entry.callers] * places
        return addresses
