"""The platform's list of live and leaving hosts."""

from collections.abc import Mapping
from dataclasses import dataclass

from mustardtrack.logs import define_event, log_event

# An older list is accepted after this time, so that one list with a creation time
# in the future does not block all later ones.
OLDER_LISTING_HOLD_MS = 60_000

LISTING_OLD = define_event(4030, "WARNING", "older list of the platform ignored")


@dataclass(frozen=True)
class PlatformListing:
    """One state of the list.

    Attributes:
        as_of_wall_ms: Time at which the platform created the list.
        live: Live hosts, as IP address or as ``IP:PORT`` of one process.
        leaving: Hosts that are about to be taken away, in the same form.
    """

    as_of_wall_ms: int
    live: frozenset[str]
    leaving: frozenset[str]


class PlatformHosts:
    """The newest list received.

    The list is updated with a delay, so it serves for exclusion only: a host that
    it calls live may be dead, and a host that it does not contain may be new.

    Examples:
        >>> hosts = PlatformHosts()
        >>> hosts.update(PlatformListing(5, frozenset(), frozenset({"10.0.0.1"})), 0)
        True
        >>> hosts.leaving_names({"engine-1": "10.0.0.1:8000", "r1": "10.0.0.2:80"})
        {'engine-1'}
        >>> hosts.update(PlatformListing(4, frozenset({"10.0.0.1"}), frozenset()), 0)
        False
    """

    def __init__(self) -> None:
        self._listing: PlatformListing | None = None
        self._received_ms = 0

    def update(self, listing: PlatformListing, now_ms: int) -> bool:
        """Replace the list unless a newer one was received recently."""
        held = self._listing
        recent = now_ms - self._received_ms < OLDER_LISTING_HOLD_MS
        if held and recent and listing.as_of_wall_ms < held.as_of_wall_ms:
            log_event(
                LISTING_OLD, held=held.as_of_wall_ms, received=listing.as_of_wall_ms
            )
            return False
        self._listing = listing
        self._received_ms = now_ms
        return True

    def leaving_names(self, addresses: Mapping[str, str]) -> set[str]:
        """Return the names whose ``IP:PORT`` is leaving or on a leaving host."""
        leaving = self._listing.leaving if self._listing else frozenset()
        return {
            name
            for name, address in addresses.items()
            if address in leaving or address.rpartition(":")[0].strip("[]") in leaving
        }

    def age_ms(self, wall_ms: int) -> int | None:
        """Return the age of the list, ``None`` if none was received."""
        return wall_ms - self._listing.as_of_wall_ms if self._listing else None
