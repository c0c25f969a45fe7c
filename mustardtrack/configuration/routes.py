"""Route table: maps requests to services, and keys to client accounts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from mustardtrack.admission.allotments import Allotment
from mustardtrack.configuration.cachesharing import ANONYMOUS
from mustardtrack.routing.cachesalts import own_cache, shared_cache


class RetrySafety(Enum):
    """Whether a request may be retried after it was sent to an endpoint."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """Service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Handling of the requests below a path prefix of a host name.

    Attributes:
        host: HTTP host name of the requests.
        timeout_ms: Maximum time that a caller waits for an answer.
        objective_ms: Latency objective for the first byte of an answer.
        objective_gap_ms: Latency objective for the gap between two events of a stream.
        rank: Priority class, 0 is the most urgent.
        shares: Services of the route with their weights in the traffic split.
        max_attempts: Maximum number of endpoints that a request may run on.
        is_public: Whether requests need no key.
        is_resumable: Whether an interrupted stream may resume at another endpoint. It
            has no meaning for other requests; see :attr:`may_resume`.
        has_prefix: Whether requests identify the parts of their prompt.
    """

    name: str
    host: str
    path_prefix: str
    retry_safety: RetrySafety
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
    def may_retry(self) -> bool:
        """Whether a request that may have run can be retried."""
        return self.retry_safety is RetrySafety.IDEMPOTENT or self.may_resume

    @property
    def may_resume(self) -> bool:
        """Whether another endpoint may continue an interrupted answer."""
        return self.is_stream and self.is_resumable

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self.retry_safety is RetrySafety.STREAM

    def choose_service(self, rng: Random) -> str:
        """Return the name of a service, drawn by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class EngineLimits:
    """Limits of the model engines of a service.

    Attributes:
        slots: Maximum batch size of an engine, in requests.
        memory_tokens: KV cache capacity in tokens, for running requests and cached
            prefixes.
        kv_bytes_per_token: Size of the KV cache of one token in bytes.
        models: Names of the models that the engines run.
        link_mbps: Bandwidth of an engine's network link in Mbit/s.
    """

    slots: int
    memory_tokens: int
    kv_bytes_per_token: int
    models: tuple[str, ...]
    link_mbps: float = 0.0


@dataclass(frozen=True)
class Service:
    """Group of endpoints that serve the same requests.

    Attributes:
        max_connections: Maximum connections of one endpoint from all hosts.
        engine: Limits of the model engines, None if there are none.
        kv_store_address: Address of the external KV cache store, if this is one.
        kv_store_zone: Availability zone of the store.
        kv_store_tokens: Capacity of the store in tokens.
        kv_store_link_mbps: Bandwidth of the store's network link in Mbit/s.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    kv_store_address: str | None = None
    kv_store_zone: str | None = None
    kv_store_tokens: int = 0
    kv_store_link_mbps: float = 0.0


@dataclass(frozen=True)
class RouteAccount:
    """Client account.

    Attributes:
        rank: Priority class of all its requests, None to use the route's.
        allotment: Rate limit over all routers, None if there is none.
    """

    name: str
    rank: int | None = None
    allotment: Allotment | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts of the requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RouteTable:
    """Routes, services and accounts of one configuration version.

    Attributes:
        routes: Routes by host name, those with the longest path prefix first.
        accounts: Accounts by key, None if requests need no key.
        isolated_accounts: Names of the accounts that share no cached prefixes.
        sharing_accounts: Names of the accounts that share them with each other.
        cache_generation: Generation of the cache that they share.
        allotments: Allotments by the name of their account.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, RouteAccount] | None
    limits: CallerLimits = field(default_factory=CallerLimits)
    isolated_accounts: frozenset[str] = frozenset()
    sharing_accounts: frozenset[str] = frozenset({ANONYMOUS})
    cache_generation: int = 0
    allotments: Mapping[str, Allotment] = field(default_factory=dict)

    @property
    def shares_capacity(self) -> bool:
        """Whether accounts share the endpoints fairly, as they have allotments."""
        return bool(self.allotments)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Examples:
            >>> RouteTable(1, {}, {}, None).match("a.example", "/x/") is None
            True
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def cache_of(self, account: RouteAccount | None) -> str:
        """Return the name of the cache whose prefixes a request may use and add to.

        A request may have been admitted under an earlier table. An account that this
        table does not name may be isolated in a later one, so it gets its own cache.

        Args:
            account: Account of the request, None for a caller without one.
        """
        if account is None or account.name in self.sharing_accounts:
            return shared_cache(self.cache_generation)
        return own_cache(account.name)

    def stores(self) -> list[Service]:
        """Return the external KV cache stores, in the order of the document."""
        return [
            service
            for service in self.services.values()
            if service.kv_store_address is not None
        ]
