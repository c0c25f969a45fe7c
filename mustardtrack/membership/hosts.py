"""Leases of routers and responses to discovery requests.

A router is identified by the name of the host that it runs on.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.membership.observers import Router

UNAVAILABLE_HOST_DISCOVERED = define_event(
    4020, "ERROR", "discovery response lists a draining or gone host"
)
HOST_RESTARTED = define_event(4021, "INFO", "heartbeat sequence of a router restarted")

HostState = Literal["up", "draining", "gone"]

# Decrease of the heartbeat sequence that counts as a restart of the router. It exceeds
# the heartbeats sent during one lease, so a late message is not taken for a restart.
RESTART_SEQUENCE_GAP = 16


@dataclass(frozen=True)
class HostHeartbeat:
    """Heartbeat of one router.

    Attributes:
        name: Name of the host.
        address: ``IP:PORT`` for callers.
        zone: Availability zone.
        state: ``draining`` during a graceful shutdown.
        sequence: Increases with each heartbeat and restarts at 0 with the process.
    """

    name: str
    address: str
    zone: str
    state: Literal["up", "draining"]
    sequence: int


@dataclass(frozen=True)
class HostAddress:
    """One entry of a discovery response."""

    host: str
    zone: str
    address: str


@dataclass(frozen=True)
class HostView:
    """State of one host for status queries."""

    name: str
    zone: str
    address: str
    state: HostState
    age_ms: int


@dataclass
class _Host:
    heartbeat: HostHeartbeat
    received_ms: int


class HostTable:
    """Routers tracked by heartbeat leases.

    A router also records its own heartbeats in its table.

    Args:
        lease_ms: Time after receipt at which a heartbeat expires.
        ttl_ms: Time to live of a discovery response.
        rng: Random source that spreads callers over the hosts of a zone.

    Examples:
        >>> table = HostTable(3000, 2000, random.Random(1))
        >>> for name, zone in (("r1", "a"), ("r2", "b")):
        ...     beat = HostHeartbeat(name, "127.0.0.1:80", zone, "up", 0)
        ...     _ = table.heartbeat(beat, now_ms=0)
        >>> [one.host for one in table.discover("b", now_ms=2999)]
        ['r2', 'r1']
        >>> table.discover("b", now_ms=3000)
        []
    """

    def __init__(self, lease_ms: int, ttl_ms: int, rng: random.Random):
        self.lease_ms = lease_ms
        self.ttl_ms = ttl_ms
        self._rng = rng
        self._hosts: dict[str, _Host] = {}
        self._draining: set[str] = set()
        self._platform_leaving: frozenset[str] = frozenset()

    def heartbeat(self, heartbeat: HostHeartbeat, now_ms: int) -> bool:
        """Renew the lease of a host; return False if the message is out of order."""
        known = self._hosts.get(heartbeat.name)
        if known is not None and not self._supersedes(heartbeat, known, now_ms):
            return False
        self._hosts[heartbeat.name] = _Host(heartbeat, now_ms)
        return True

    def set_draining(self, name: str, draining: bool) -> None:
        """Apply an operator's drain or undrain command."""
        (self._draining.add if draining else self._draining.discard)(name)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Replace the set of hosts that the platform reports as leaving."""
        self._platform_leaving = frozenset(names)

    def remove(self, name: str) -> None:
        """Drop the state of a host removed from the configuration."""
        self._hosts.pop(name, None)
        self._draining.discard(name)

    def state(self, name: str, now_ms: int) -> HostState:
        """Return the state of one host; unknown hosts are ``gone``."""
        host = self._hosts.get(name)
        if host is None or now_ms - host.received_ms >= self.lease_ms:
            return "gone"
        excluded = name in self._draining or name in self._platform_leaving
        return "draining" if excluded else host.heartbeat.state

    def views(self, now_ms: int) -> list[HostView]:
        """Return all hosts sorted by name, including those that are gone."""
        return [
            HostView(
                name,
                host.heartbeat.zone,
                host.heartbeat.address,
                self.state(name, now_ms),
                now_ms - host.received_ms,
            )
            for name, host in sorted(self._hosts.items())
        ]

    def live_routers(self, now_ms: int) -> list[Router]:
        """Return the routers that can observe endpoints, sorted by name.

        Draining routers are excluded, so that others take over their endpoints
        before they stop.
        """
        views = self.views(now_ms)
        return [Router(view.name, view.zone) for view in views if view.state == "up"]

    def discover(self, zone: str, now_ms: int) -> list[HostAddress]:
        """Answer a discovery request.

        Args:
            zone: Availability zone of the caller.
            now_ms: Monotonic time.

        Returns:
            The live hosts in random order, those in ``zone`` first.
        """
        views = [view for view in self.views(now_ms) if view.state == "up"]
        self._rng.shuffle(views)
        views.sort(key=lambda view: view.zone != zone)
        for view in views:
            require_invariant(
                self.state(view.name, now_ms) == "up"
                and view.age_ms < self.lease_ms
                and view.name not in self._draining,
                UNAVAILABLE_HOST_DISCOVERED,
                host=view.name,
            )
        return [HostAddress(view.name, view.zone, view.address) for view in views]

    def _supersedes(self, heartbeat: HostHeartbeat, known: _Host, now_ms: int) -> bool:
        if now_ms - known.received_ms >= self.lease_ms:
            return True
        increase = heartbeat.sequence - known.heartbeat.sequence
        if increase <= -RESTART_SEQUENCE_GAP:
            log_event(HOST_RESTARTED, host=heartbeat.name)
        return increase > 0 or increase <= -RESTART_SEQUENCE_GAP
