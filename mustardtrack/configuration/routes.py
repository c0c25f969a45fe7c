"""Route table: which requests are served, by which service, for which account."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Repeatability(Enum):
    """What may be repeated after a request was sent to an endpoint."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """Service of a route with its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Rules of the requests below one path prefix of one host.

    Attributes:
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: Time to the first byte within which an answer is on time.
        objective_gap_ms: Longest pause between events that is still on time.
        rank: Class of work, 0 is the most urgent.
        max_attempts: Endpoints that one request may run on.
        is_public: Whether requests need no key.
        is_resumable: Whether a broken stream may go on at another endpoint.
        has_prefix: Whether requests name the parts of their prompt.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_ms: int
    objective_ms: int
    objective_gap_ms: int
    rank: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_public: bool = False
    is_resumable: bool = False
    has_prefix: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run once."""
        return self.repeatability is Repeatability.IDEMPOTENT or self.is_resumable

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self.repeatability is Repeatability.STREAM


@dataclass(frozen=True)
class EngineLimits:
    """Limits of the model engines of a service.

    Attributes:
        slots: Requests that an engine batches.
        memory_tokens: Tokens of running requests and cached prefixes.
        token_bytes: Bytes of KV cache per token.
        link_mbps: Megabits a second that an engine's link carries.
        models: Names of the models that the engines run.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    models: tuple[str, ...]
    link_mbps: float = 0.0


@dataclass(frozen=True)
class Service:
    """Group of endpoints that answer the same requests.

    Attributes:
        max_connections: Connections that one endpoint accepts from all hosts.
        store_address: Address of the store of kept KV cache, if this is one.
        store_zone: Availability zone of that store.
        store_tokens: Tokens that it keeps.
        store_link_mbps: Megabits a second that its link carries.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    store_address: str | None = None
    store_zone: str | None = None
    store_tokens: int = 0
    store_link_mbps: float = 0.0


@dataclass(frozen=True)
class Account:
    """Client account.

    Attributes:
        rank: Class of work of all its requests, None to use the route's.
        is_isolated: Whether it shares no cached prefix with other accounts.
    """

    name: str
    rank: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RouteTable:
    """One configuration, indexed for requests.

    Attributes:
        routes: Routes of each host, the longest path prefix first.
        accounts: Account of each key, None if requests need no keys.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Examples:
            >>> RouteTable(1, {}, {}, None).match("a.example", "/x/") is None
            True
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def store(self) -> Service | None:
        """Return the store of kept KV cache, if the deployment has one."""
        for service in self.services.values():
            if service.store_address is not None:
                return service
        return None
