"""Guards against requests without an answer at the end of a planned stop."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.admission.partwatch import PartWatch
from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.configuration.routes import (
    EngineLimits,
    RetrySafety,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.process.forwarder import Forwarder
from mustardtrack.requests.shutdown_window import ShutdownWindow
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.paceshares import PaceShares
from mustardtrack.routing.weightslimit import WeightsLimit
from mustardtrack.settings.seeded import Bounds, RetryBudgetSettings

ENDPOINT = ListedEndpoint("i-1", 0, "s1", "10.0.0.1:80", "a", 4, False, False, {"m": 1})
WINDOW = ShutdownWindow(began_ms=0, withdrawal_ms=2000, limit_ms=7000)
ROUTE = Route(
    name="r1",
    host="a.example",
    path_prefix="/",
    retry_safety=RetrySafety.AT_MOST_ONCE,
    timeout_ms=12_000,
    objective_ms=1000,
    objective_gap_ms=0,
    rank=0,
    shares=(ServiceShare("s1", 1.0),),
    max_attempts=1,
    is_resumable=False,
)
SERVICE = Service("s1", 10, EngineLimits(4, 1000, 1, ("m",)))


class FakeExchange:
    """Exchange that records its end."""

    def __init__(self, is_started=False):
        self.method, self.target, self.body = b"POST", b"/x/1", b""
        self.headers = [(b"host", b"a.example"), (b"request-id", b"q1")]
        self.is_disconnected = False
        self.is_started = is_started
        self.on_disconnect = None
        self.ends = []

    def header(self, name):
        """Return the value of a header."""
        return dict(self.headers).get(name)

    def respond(self, status, headers, body):
        """Record the status of the response."""
        self.ends.append(status)

    def abort(self):
        """Record the abort."""
        self.ends.append("aborted")


class FakeConnection:
    """Connection to an endpoint that never answers."""

    def __init__(self):
        self.is_sent = self.is_aborted = False
        self.idle_before_request_s = 0.0

    def send(self, *arguments):
        """Record the request."""
        self.is_sent = True

    def wake(self):
        """Ignore the call."""

    def abort(self):
        """Record the abort."""
        self.is_aborted = True

    async def next_event(self, timeout_s):
        """Wait forever."""
        await asyncio.Event().wait()


class FakePlacements:
    """Placement client that may never answer."""

    def __init__(self, is_blocked):
        self._is_blocked = is_blocked

    async def request_placement(self, request):
        """Leave the placement to the router, or wait forever."""
        if self._is_blocked:
            await asyncio.Event().wait()

    def record_first_token(self, request_id):
        """Ignore the call."""

    def record_end(self, request_id):
        """Ignore the call."""


class FakePool:
    """Pool with one connection, which may never open."""

    def __init__(self, is_blocked):
        self._is_blocked = is_blocked
        self.connection = FakeConnection()

    def take(self, key, max_idle_s):
        """Return no idle connection."""

    def open_count(self, address):
        """Return no open connections."""
        return 0

    async def open(self, address, timeout_s):
        """Return the connection, or wait forever."""
        if self._is_blocked:
            await asyncio.Event().wait()
        return self.connection


def make_forwarder(blocked, has_engine):
    service = SERVICE if has_engine else Service("s1", 10)
    view = SimpleNamespace(
        table=RouteTable(1, {"a.example": (ROUTE,)}, {"s1": service}, None),
        cache_of=lambda account: view.table.cache_of(account),
        endpoints=SimpleNamespace(
            accepting_endpoints=lambda name, now_ms: [EndpointState(ENDPOINT)],
            withheld_endpoints=lambda name, now_ms: set(),
            notices=EndpointNotices(),
            list_version=(1, 1),
        ),
        refused=frozenset(),
        parts=PartWatch(),
        limits=RateLimits("r1"),
        router_count=1,
        retry_sharers=1,
        weights={},
        weights_limit=WeightsLimit(15_000),
        pace=PaceShares(False),
        prefill_rates={},
        confirmation_age_ms=lambda now_ms: 0,
    )
    settings = SimpleNamespace(
        name="n", zone="a", retries=RetryBudgetSettings(), bounds=Bounds()
    )
    pool = FakePool(blocked == "connection")
    forwarder = Forwarder(
        settings,
        SimpleNamespace(view=view, is_confirmed=lambda: True),
        pool,
        SimpleNamespace(now_ms=lambda: 7000),
        InMemoryMetrics(),
        FakePlacements(blocked == "placement"),
    )
    return forwarder, pool.connection


async def interrupt(blocked, is_started=False):
    """Interrupt a request that waits; return the exchange and its connection."""
    forwarder, connection = make_forwarder(blocked, has_engine=blocked == "placement")
    exchange = FakeExchange(is_started)
    if blocked == "placement":
        exchange.headers += [(b"model", b"m"), (b"token-usage", b"10,5")]
    task = asyncio.ensure_future(forwarder.handle(exchange))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not exchange.ends
    forwarder.begin_stop(WINDOW)
    assert forwarder.open_requests() == ["q1"]
    assert await forwarder.interrupt_requests() == ["q1"]
    assert task.done()
    assert forwarder.open_requests() == []
    return exchange, connection


@pytest.mark.parametrize("blocked", ["placement", "connection"])
def test_request_that_was_not_sent_is_refused_and_stays_unsent(blocked):
    """Guards against requests that run after they were refused as not run."""
    exchange, connection = asyncio.run(interrupt(blocked))
    assert exchange.ends == [503]
    assert not connection.is_sent


def test_sent_request_fails_and_its_endpoint_is_disconnected():
    """Guards against endpoints that work for a router that has stopped."""
    exchange, connection = asyncio.run(interrupt("response"))
    assert connection.is_sent
    assert exchange.ends == [502]
    assert connection.is_aborted


def test_stream_in_progress_is_reset():
    """Guards against a cut stream that looks complete."""
    exchange, connection = asyncio.run(interrupt("response", is_started=True))
    assert exchange.ends == ["aborted"]
    assert connection.is_aborted


def test_request_read_after_the_end_of_the_stop_is_refused():
    """Guards against requests that are read while the last answers are sent."""
    forwarder, connection = make_forwarder("response", has_engine=False)
    forwarder.begin_stop(WINDOW)
    exchange = FakeExchange()
    asyncio.run(forwarder.handle(exchange))
    assert exchange.ends == [503]
    assert not connection.is_sent
