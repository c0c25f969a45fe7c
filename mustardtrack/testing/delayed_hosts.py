"""Delayed list of live and leaving hosts, without I/O."""

from collections import deque
from typing import Literal

import msgspec


class HostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One host in the list."""

    address: str
    state: Literal["live", "leaving"] = "live"


class HostList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``GET /hosts`` and ``POST /hosts``."""

    hosts: list[HostEntry] = []


class DelayedHostList:
    """Host list whose changes become visible after a delay.

    Args:
        hosts: Initial list, visible immediately.
        lag_ms: Delay until a change becomes visible.

    Examples:
        >>> hosts = DelayedHostList(HostList(), lag_ms=100)
        >>> hosts.replace(HostList([HostEntry("127.0.0.1:1")]), now_ms=0)
        >>> [len(hosts.read(now_ms).hosts) for now_ms in (99, 100)]
        [0, 1]
    """

    def __init__(self, hosts: HostList, lag_ms: int):
        self._visible = hosts
        self._lag_ms = lag_ms
        self._pending: deque[tuple[int, HostList]] = deque()

    def replace(self, hosts: HostList, now_ms: int) -> None:
        """Replace the complete list after the delay."""
        self._pending.append((now_ms + self._lag_ms, hosts))

    def read(self, now_ms: int) -> HostList:
        """Return the list that is visible at ``now_ms``."""
        while self._pending and self._pending[0][0] <= now_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible
