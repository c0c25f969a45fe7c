"""Live routers and answers to discovery requests."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.membership.observers import Router

WITHDRAWN_DISCOVERED = define_event(
    4020, "ERROR", "discovery lists a host that is draining or gone"
)
HOST_RESTARTED = define_event(4021, "INFO", "router restarted its heartbeat sequence")

HostState = Literal["up", "draining", "gone"]

# More heartbeats than are sent in a lease, so a late message cannot look like a
# restart of the router.
RESTART_STEP = 16


@dataclass(frozen=True)
class HostHeartbeat:
    """Heartbeat of one router.

    Attributes:
        name: Name of the host.
        address: ``IP:PORT`` for callers.
        zone: Availability zone.
        state: ``draining`` during a planned stop.
        sequence: Increases with each heartbeat, starts at 0 after a restart.
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
    """Routers tracked by the lease of their heartbeats.

    A router passes its own heartbeats to its own table as well.

    Args:
        lease_ms: Time after receipt at which a heartbeat expires.
        ttl_ms: Time for which callers may use a discovery response.
        rng: Spreads callers over the hosts of a zone.

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
        """Renew the lease of a host; False if the message is out of order."""
        held = self._hosts.get(heartbeat.name)
        if held is not None and not self._supersedes(heartbeat, held, now_ms):
            return False
        self._hosts[heartbeat.name] = _Host(heartbeat, now_ms)
        return True

    def set_draining(self, name: str, draining: bool) -> None:
        """Apply an operator's drain or undrain command."""
        (self._draining.add if draining else self._draining.discard)(name)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Replace the hosts that the platform's list reports as leaving."""
        self._platform_leaving = frozenset(names)

    def remove(self, name: str) -> None:
        """Forget a host that was removed from the configuration."""
        self._hosts.pop(name, None)
        self._draining.discard(name)

    def state(self, name: str, now_ms: int) -> HostState:
        """Return the state of one host; an unknown host is gone."""
        host = self._hosts.get(name)
        if host is None or now_ms - host.received_ms >= self.lease_ms:
            return "gone"
        excluded = name in self._draining or name in self._platform_leaving
        return "draining" if excluded else host.heartbeat.state

    def views(self, now_ms: int) -> list[HostView]:
        """Return all hosts by name, including those that are gone."""
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
        """Return the routers that can observe endpoints, by name.

        Draining routers are not among them, so that others take over their
        endpoints before they stop.
        """
        views = self.views(now_ms)
        return [Router(one.name, one.zone) for one in views if one.state == "up"]

    def discover(self, zone: str, now_ms: int) -> list[HostAddress]:
        """Answer a discovery request.

        Args:
            zone: Availability zone of the caller.
            now_ms: Monotonic time.

        Returns:
            The live hosts in random order, those in ``zone`` first.
        """
        views = [one for one in self.views(now_ms) if one.state == "up"]
        self._rng.shuffle(views)
        views.sort(key=lambda one: one.zone != zone)
        for view in views:
            require_invariant(
                self.state(view.name, now_ms) == "up"
                and view.age_ms < self.lease_ms
                and view.name not in self._draining,
                WITHDRAWN_DISCOVERED,
                host=view.name,
            )
        return [HostAddress(one.name, one.zone, one.address) for one in views]

    def _supersedes(self, heartbeat: HostHeartbeat, held: _Host, now_ms: int) -> bool:
        if now_ms - held.received_ms >= self.lease_ms:
            return True
        step = heartbeat.sequence - held.heartbeat.sequence
        if step <= -RESTART_STEP:
            log_event(HOST_RESTARTED, host=heartbeat.name)
        return step > 0 or step <= -RESTART_STEP
