"""Host list of the platform, with live and leaving hosts."""

from collections.abc import Mapping
from dataclasses import dataclass

from mustardtrack.logs import define_event, log_event

# Time after the last accepted list for which older lists are rejected. It is limited,
# so that one list with a creation time in the future does not block all later ones.
OLDER_LIST_REJECTION_MS = 60_000

OLDER_LIST_IGNORED = define_event(
    4030, "WARNING", "platform host list older than the current one ignored"
)


@dataclass(frozen=True)
class PlatformHostList:
    """Snapshot of the host list.

    Attributes:
        as_of_wall_ms: Time at which the platform created the list.
        live: Live hosts, as IP address or as ``IP:PORT`` of one process.
        leaving: Hosts that the platform is about to remove, in the same form.
    """

    as_of_wall_ms: int
    live: frozenset[str]
    leaving: frozenset[str]


class LatestPlatformHostList:
    """Most recent host list received from the platform.

    The list is updated with a delay, so it is used for exclusion only: a host listed
    as live may be dead, and a host that is not listed may be new.

    Examples:
        >>> hosts = LatestPlatformHostList()
        >>> hosts.update(PlatformHostList(5, frozenset(), frozenset({"10.0.0.1"})), 0)
        True
        >>> hosts.leaving_names({"engine-1": "10.0.0.1:8000", "r1": "10.0.0.2:80"})
        {'engine-1'}
        >>> hosts.update(PlatformHostList(4, frozenset({"10.0.0.1"}), frozenset()), 0)
        False
    """

    def __init__(self) -> None:
        self._host_list: PlatformHostList | None = None
        self._received_ms = 0

    def update(self, host_list: PlatformHostList, now_ms: int) -> bool:
        """Replace the list unless a newer one was received recently."""
        current = self._host_list
        is_recent = now_ms - self._received_ms < OLDER_LIST_REJECTION_MS
        if current and is_recent and host_list.as_of_wall_ms < current.as_of_wall_ms:
            log_event(
                OLDER_LIST_IGNORED,
                held=current.as_of_wall_ms,
                received=host_list.as_of_wall_ms,
            )
            return False
        self._host_list = host_list
        self._received_ms = now_ms
        return True

    def leaving_names(self, addresses: Mapping[str, str]) -> set[str]:
        """Return the names of the processes that are listed as leaving.

        Args:
            addresses: ``IP:PORT`` of each process by name. An IP address in the list
                stands for all processes of the host.
        """
        leaving = self._host_list.leaving if self._host_list else frozenset()
        return {
            name
            for name, address in addresses.items()
            if address in leaving or address.rpartition(":")[0].strip("[]") in leaving
        }

    def age_ms(self, wall_ms: int) -> int | None:
        """Return the age of the list, ``None`` if none was received."""
        return wall_ms - self._host_list.as_of_wall_ms if self._host_list else None
