"""Lagging list of live and leaving hosts, without I/O."""

from collections import deque
from typing import Literal

import msgspec


class HostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One host of the list."""

    address: str
    state: Literal["live", "leaving"] = "live"


class HostList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``GET /hosts`` and ``POST /hosts``."""

    hosts: list[HostEntry] = []


class LaggingHosts:
    """Shows each change of the list after a delay.

    Args:
        hosts: List at start, visible at once.
        lag_ms: Delay of a change.

    Examples:
        >>> hosts = LaggingHosts(HostList(), lag_ms=100)
        >>> hosts.replace(HostList([HostEntry("127.0.0.1:1")]), now_ms=0)
        >>> [len(hosts.read(now_ms).hosts) for now_ms in (99, 100)]
        [0, 1]
    """

    def __init__(self, hosts: HostList, lag_ms: int):
        self._shown = hosts
        self._lag_ms = lag_ms
        self._pending: deque[tuple[int, HostList]] = deque()

    def replace(self, hosts: HostList, now_ms: int) -> None:
        """Replace the whole list after the delay."""
        self._pending.append((now_ms + self._lag_ms, hosts))

    def read(self, now_ms: int) -> HostList:
        """Return the list that readers see."""
        while self._pending and self._pending[0][0] <= now_ms:
            self._shown = self._pending.popleft()[1]
        return self._shown
