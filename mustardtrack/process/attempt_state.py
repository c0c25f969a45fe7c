"""State of a forwarded request and of its attempts.

The forwarder and the attempts share these types; neither of them is imported here.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from dataclasses import dataclass

from xxhash import xxh3_128_hexdigest

from mustardtrack.adapters.h11_server import Exchange
from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.upstream import ConnectionPool, UpstreamConnection
from mustardtrack.admission.partcrashes import part_name
from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.admission.schedulinglag import SchedulingLag
from mustardtrack.configuration.routes import Route, RouteAccount, RouteTable, Service
from mustardtrack.platform.headers import RequestMetadata
from mustardtrack.ports import Clock
from mustardtrack.requests.connection_reuse import IdleReuseLimit
from mustardtrack.requests.forwarding import (
    AttemptFailure,
    ForwardedRequest,
    RetryObstacle,
)
from mustardtrack.requests.time_limits import RequestTimeLimit, TimeLimit
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.localplacement import Prompt
from mustardtrack.routing.paceshares import PaceShares
from mustardtrack.routing.placementmessages import Placement
from mustardtrack.routing.weightslimit import WeightsLimit


@dataclass
class AdmittedRequest:
    """A request that matched a route, with the inputs of its attempts.

    Attributes:
        time_limit: Time that it has from its arrival.
        progress: Progress of the request across its attempts.
        weights_version: Newest weights version of its model.
        rank: Priority class; the rank of the account overrides that of the route.
        connection: Connection of the current attempt, None if none has begun.
        allotment_amount: What it counts against the allotment of its account, 0 if the
            account has none.
        is_counted: Whether it was counted.
        count_id: Id under which the leader was asked to count it, empty unless its
            answer is outstanding or did not arrive.
    """

    exchange: Exchange
    metadata: RequestMetadata
    table: RouteTable
    route: Route
    account: RouteAccount | None
    service: Service
    prompt: Prompt | None
    received_ms: int
    time_limit: RequestTimeLimit
    progress: ForwardedRequest
    weights_version: int
    rank: int
    connection: UpstreamConnection | None = None
    allotment_amount: int = 0
    is_counted: bool = False
    count_id: str = ""

    def begin_count(self) -> str:
        """Return the id of the open count, a new one if none is open.

        Callers choose the ids of their requests and may use one again, so that counts
        have ids of their own.
        """
        self.count_id = self.count_id or f"{random.getrandbits(64):016x}"
        return self.count_id

    @property
    def request_id(self) -> str:
        """Id of this attempt of the caller, empty if not stated."""
        return decode_id(self.metadata.request_id)

    @property
    def deadline_ms(self) -> int:
        """Monotonic time by which it must be answered."""
        return self.received_ms + self.time_limit.limit_ms

    @property
    def shared_parts(self) -> list[str]:
        """Digests of the prompt parts that other requests may share, in order."""
        if self.prompt is None:
            return []
        return [part.digest for part in self.metadata.parts[:-1]]

    @property
    def part_names(self) -> list[str]:
        """Names of the shared parts, for the counts of crashes."""
        model = self.metadata.model
        return [part_name(model, digest) for digest in self.shared_parts]

    def fingerprint(self) -> str:
        """Return a digest of the account, method, target and body."""
        return compute_fingerprint(self.exchange, self.account)

    def is_refused(self, refused: Collection[str]) -> bool:
        """Return whether its fingerprint is among the refused ones."""
        return bool(refused) and self.fingerprint() in refused


@dataclass
class PlannedAttempt:
    """Endpoint of an attempt that has not begun.

    Attributes:
        placement: Placement advice, None if the router selected the endpoint itself.
        choice_fields: Inputs of the choice for the log.
        connection: Open connection to the endpoint, None if it is not open yet.
    """

    endpoint: EndpointState
    placement: Placement | None
    choice_fields: dict[str, object]
    connection: UpstreamConnection | None = None


@dataclass(frozen=True)
class NoAttempt:
    """Why no further attempt is made.

    Attributes:
        expected_ms: Time to first token that the leader expects.
        pause_ms: Time until an endpoint that named a pause can be used again.
    """

    reason: str
    expected_ms: float | None = None
    pause_ms: int | None = None


@dataclass(frozen=True)
class LostConnection:
    """Connection that the endpoint closed before the answer was complete.

    Attributes:
        sent_ms: Time at which the request was sent.
        has_output: Whether a part of the answer had arrived.
    """

    sent_ms: int
    has_output: bool


@dataclass
class Outcome:
    """Result of an attempt.

    Attributes:
        end: How the attempt failed, None if the request needs no further attempt.
        status: HTTP status sent to the caller, 0 if none was sent.
        note: Detail for the log.
        is_cut: Whether the response to the caller was aborted.
        limit: Time limit that ended the attempt, None if none did.
        limit_ms: Length of this limit.
        silent_ms: Time since the last byte from the endpoint, or since the send.
        replacement: Next attempt, for which a stalled one was abandoned.
        lost: Connection that the endpoint closed too early, None if it did not.
        is_broken_off: Whether the endpoint broke off the connection or the answer. It
            is evidence against the request whether or not another attempt may follow.
    """

    end: AttemptFailure | None = None
    status: int = 0
    note: str = ""
    is_cut: bool = False
    limit: TimeLimit | None = None
    limit_ms: int | None = None
    silent_ms: int | None = None
    replacement: PlannedAttempt | None = None
    lost: LostConnection | None = None
    is_broken_off: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the request needs no further attempt."""
        return self.end is None


class AttemptHost(ABC):
    """What an attempt needs of the forwarder that runs it."""

    pool: ConnectionPool
    clock: Clock
    metrics: InMemoryMetrics
    reuse_limit: IdleReuseLimit
    limits: RateLimits
    notices: EndpointNotices
    weights_limit: WeightsLimit
    pace: PaceShares
    lag: SchedulingLag
    cache_of: Callable[[RouteAccount | None], str]

    @abstractmethod
    def connection_limit(self, service: Service) -> int:
        """Return this router's connection limit for one endpoint."""

    @abstractmethod
    def must_continue(self, admitted: AdmittedRequest, endpoint: EndpointState) -> bool:
        """Return whether a stalled attempt may not be abandoned for another one."""

    @abstractmethod
    async def prepare_retry(
        self, admitted: AdmittedRequest, progress: ForwardedRequest
    ) -> PlannedAttempt | RetryObstacle:
        """Prepare another attempt for a stalled one, or return what prevents it."""

    @abstractmethod
    def take_retry(self, admitted: AdmittedRequest, planned: PlannedAttempt) -> bool:
        """Take the retry of a prepared attempt, or release it if it cannot begin."""

    @abstractmethod
    def discard_preparation(
        self,
        admitted: AdmittedRequest,
        preparation: "asyncio.Future[PlannedAttempt | RetryObstacle]",
    ) -> None:
        """Release a prepared attempt that is not needed, once it is complete."""

    @abstractmethod
    def record_first_token(self, admitted: AdmittedRequest) -> None:
        """Report the first token of a prompt to the placement client."""


def compute_fingerprint(exchange: Exchange, account: RouteAccount | None) -> str:
    """Return a digest of the account, method, target and body."""
    name = account.name.encode() if account else b""
    content = b"\0".join((name, exchange.method, exchange.target, exchange.body))
    return xxh3_128_hexdigest(content)


def decode_id(value: bytes | None) -> str:
    """Return a request id as text, empty if the header is missing."""
    return value.decode("latin-1") if value else ""
