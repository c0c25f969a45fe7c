"""Leader task that reads the platform's endpoint list and orders weight loads."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from mustardtrack.adapters.upstream import ConnectionPool
from mustardtrack.configuration.documents import ClaimOrders, ReleaseOrders
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint
from mustardtrack.platform.endpoints import (
    WEIGHTS_ORDER_TARGET,
    WEIGHTS_REPORT_TARGET,
    WeightsReport,
    decode_endpoint_list_page,
    decode_weights_report,
    endpoint_list_target,
)
from mustardtrack.platform.headers import expect_instance_header
from mustardtrack.process.load_orders import (
    UNREADABLE_ERRORS,
    LeaderCalls,
    LoadOrders,
)
from mustardtrack.routing.engineweights import EngineWeights
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.rollout import Rollout, WeightsOrder

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess
    from mustardtrack.settings import SeededSettings

LIST_READ_FAILED = define_event(
    8931, "WARNING", "platform's endpoint list could not be read"
)
LIST_CHANGED = define_event(8932, "INFO", "endpoint list changed")
ENTRIES_SKIPPED = define_event(
    8935, "WARNING", "entries of the platform's list name no usable endpoint"
)
WEIGHTS_RETURNED = define_event(
    8936, "WARNING", "engine has older weights than it had before"
)

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
WATCH_PERIOD_S = 0.05
# An answer may arrive in parts over this time.
CALL_DURATION_S = 2.0
MAX_PAGE_BYTES = 4_194_304
# Answers to orders, and reports, which are kept.
MAX_ENGINE_ANSWER_BYTES = 65_536
MAX_LIST_PAGES = 1000
# Sum over the pages; 50,000 entries take about half of it.
MAX_LIST_BYTES = 16_777_216
MAX_LISTED_ENDPOINTS = 50_000
LIST_TIMEOUT_S = 4.0
# Unchanged lists are resent at this period for replicas that missed them.
PUBLISH_PERIOD_MS = 1000
# Added to the order lease before a new leader sends its first order, to cover orders
# of the previous leader that are still in flight.
ORDER_LEASE_MARGIN_MS = 500


class EndpointWatch(LeaderCalls):
    """Reads the endpoint list and sends load orders while this replica is leader."""

    def __init__(self, control: "SeededControlProcess", settings: "SeededSettings"):
        self._control = control
        self._settings = settings
        self._load_times = LoadTimes()
        self._term = 0
        self._leader_since_ms = 0
        self._last_order_ms = 0
        self._list_sequence = 0
        self._next_list_read_ms = 0
        self._platform_entries: tuple[ListedEndpoint, ...] = ()
        self._endpoints: tuple[ListedEndpoint, ...] = ()
        self._skipped_entries = 0
        self._has_list = False
        self._last_published: tuple[ListedEndpoint, ...] = ()
        self._next_publish_ms = 0
        self._begin_rollout()

    async def run(self) -> None:
        """Read the list and send orders until cancelled."""
        from twisted.internet import reactor

        self._pool = ConnectionPool(reactor)
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            await self.advance()

    async def advance(self) -> None:
        """Read the list if it is due, send the due orders and publish the list."""
        if not self._control.is_leader() or self._settings.host_list is None:
            return
        self._reset_for_new_term()
        now_ms = self._control.now_ms()
        if now_ms >= self._next_list_read_ms:
            self._next_list_read_ms = now_ms + self._settings.timing.list_period_ms
            await self._read_list()
        if self._has_list and self._control.is_leader():
            self._merge_engine_state()
            await self._manage_weight_loads()
            self._publish()

    def _reset_for_new_term(self) -> None:
        term = self._control.term()
        if term == self._term:
            return
        self._term = term
        self._leader_since_ms = self._last_order_ms = self._control.now_ms()
        self._list_sequence = 0
        self._begin_rollout()
        self._has_list = False
        self._last_published = ()

    def _begin_rollout(self) -> None:
        """Forget the orders and reports of an earlier term."""
        bounds = self._settings.bounds
        self._rollout = Rollout(
            self._control.placements.weights_limit,
            self._load_times,
            self._control.placements.speeds.is_uneven,
        )
        self._engine_weights = EngineWeights(bounds.list_lag_ms)
        self._load_orders = LoadOrders(
            self,
            self._term,
            self._rollout,
            self._load_times,
            self._engine_weights,
            bounds.weights_ms,
        )

    async def _read_list(self) -> None:
        read_ms = self._control.now_ms()
        try:
            entries = await asyncio.wait_for(self._fetch_pages(), LIST_TIMEOUT_S)
        except TimeoutError:
            log_event(LIST_READ_FAILED, error=f"not read within {LIST_TIMEOUT_S} s")
            return
        except UNREADABLE_ERRORS as error:
            log_event(LIST_READ_FAILED, error=str(error))
            return
        self._platform_entries = tuple(sorted(entries, key=lambda entry: entry.id))
        for found in self._engine_weights.record_list(self._platform_entries, read_ms):
            log_event(
                WEIGHTS_RETURNED,
                endpoint=found.endpoint_id,
                model=found.model,
                version=found.version,
                previous_version=found.previous_version,
            )
        self._has_list = True

    async def _fetch_pages(self) -> list[ListedEndpoint]:
        """Return the entries of all pages.

        Raises:
            ConnectError: If the connection cannot be opened.
            ConnectionBrokenError: If the connection breaks before the answer.
            ValueError: If a page is malformed, or the list has no end.
        """
        address = self._settings.host_list
        assert address is not None
        entries: list[ListedEndpoint] = []
        tokens: set[str] = set()
        page: str | None = None
        skipped = size = 0
        for _ in range(MAX_LIST_PAGES):
            target = endpoint_list_target(page)
            status, body = await self._call(
                address, b"GET", target, b"", MAX_PAGE_BYTES
            )
            if status != 200:
                raise ValueError(f"status {status}")
            size += len(body)
            if size > MAX_LIST_BYTES:
                raise ValueError(f"more than {MAX_LIST_BYTES} bytes")
            decoded = decode_endpoint_list_page(body)
            page = decoded.next_token
            entries += decoded.entries
            skipped += decoded.skipped
            if page is None:
                self._log_skipped_entries(skipped)
                return entries
            if page in tokens:
                raise ValueError("a page of the list comes again")
            if len(entries) > MAX_LISTED_ENDPOINTS:
                raise ValueError(f"more than {MAX_LISTED_ENDPOINTS} endpoints")
            tokens.add(page)
        raise ValueError(f"more than {MAX_LIST_PAGES} pages")

    def _log_skipped_entries(self, skipped: int) -> None:
        """Log the number of unusable entries whenever it changes."""
        if skipped != self._skipped_entries:
            self._skipped_entries = skipped
            log_event(ENTRIES_SKIPPED, skipped=skipped)

    def _merge_engine_state(self) -> None:
        """Merge the platform's list with what engines report and announce.

        Endpoints that announced to a router that they leave count as draining.
        """
        notices, now_ms = self._control.placements.notices, self._control.now_ms()
        self._endpoints = tuple(
            _with_announcement(
                self._engine_weights.merge(entry), notices.is_leaving(entry, now_ms)
            )
            for entry in self._platform_entries
        )

    def _publish(self) -> None:
        loading = self._rollout.pending_endpoints()
        listed = tuple(
            _with_loading(endpoint, endpoint.id in loading)
            for endpoint in self._endpoints
        )
        now_ms = self._control.now_ms()
        is_changed = listed != self._last_published
        if not is_changed and now_ms < self._next_publish_ms:
            return
        self._next_publish_ms = now_ms + PUBLISH_PERIOD_MS
        if is_changed:
            self._list_sequence += 1
            self._last_published = listed
            log_event(
                LIST_CHANGED,
                term=self._term,
                sequence=self._list_sequence,
                endpoints=len(listed),
                draining=[one.id for one in listed if one.is_draining],
                loading=[one.id for one in listed if one.is_loading],
                outdated=self._outdated_weights(listed),
            )
        self._control.publish_endpoints(
            EndpointList(self._term, self._list_sequence, listed)
        )

    def _outdated_weights(
        self, listed: tuple[ListedEndpoint, ...]
    ) -> dict[str, dict[str, int]]:
        """Return the versions of the engines that do not have the newest ones."""
        newest = self._control.document_store.weights
        return {
            one.id: one.weights
            for one in listed
            if any(
                one.weights.get(model, last) < last for model, last in newest.items()
            )
        }

    def _holds_order_claim(self) -> bool:
        return self._control.document_store.order_holder == self._control.name

    async def _acquire_order_claim(self) -> bool:
        """Return whether this leader may send orders now.

        If another host holds the claim, the first order waits for the order lease,
        since that host may have sent an order just before it lost leadership.
        """
        control = self._control
        if self._holds_order_claim():
            return True
        holder = control.document_store.order_holder
        now_ms = control.now_ms()
        wait_ms = self._settings.bounds.order_lease_ms + ORDER_LEASE_MARGIN_MS
        if holder and now_ms - self._leader_since_ms < wait_ms:
            return False
        outcome = await control.commit(ClaimOrders(control.name))
        return outcome is not None and control.is_leader()

    async def _release_order_claim(self) -> None:
        control = self._control
        if not self._holds_order_claim():
            return
        if self._load_orders.has_open_orders:
            return  # An order without an answer may be sent again.
        wait_ms = self._settings.bounds.order_lease_ms + ORDER_LEASE_MARGIN_MS
        if control.now_ms() - self._last_order_ms >= wait_ms:
            await control.commit(ReleaseOrders(control.name))

    async def _manage_weight_loads(self) -> None:
        weights = self._control.document_store.weights
        if not self._rollout.has_work(self._endpoints, weights):
            self._rollout.end_wind_down()
            self._control.placements.winding_down = frozenset()
            await self._release_order_claim()
        else:
            self._send_due_orders(may_order=await self._acquire_order_claim())

    def _send_due_orders(self, may_order: bool) -> None:
        now_ms = self._control.now_ms()
        weights = self._control.document_store.weights
        placements = self._control.placements
        orders = self._rollout.plan(
            self._endpoints,
            weights,
            placements.count_not_started,
            lambda endpoint_id: placements.remaining_answer_ms(endpoint_id, now_ms),
            placements.mean_queue_ms(now_ms),
            now_ms,
            may_order,
        )
        placements.winding_down = self._rollout.winding_down()
        for order in orders:
            self._load_orders.send(order)

    # Calls that the delivery of orders makes

    @property
    def name(self) -> str:
        """Name of this control host."""
        return self._control.name

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return self._control.now_ms()

    def leads_in(self, term: int) -> bool:
        """Return whether this host leads in a term."""
        return self._control.is_leader() and self._control.term() == term

    async def send_order(self, order: WeightsOrder, body: bytes, term: int) -> int:
        """Send an order while this host leads in a term, and return the status."""

        def may_send() -> bool:
            # Leadership or the claim may end while the connection is opened.
            self._last_order_ms = self.now_ms()
            return self.leads_in(term) and self._holds_order_claim()

        status, _ = await self._call(
            order.endpoint.address,
            b"POST",
            WEIGHTS_ORDER_TARGET,
            body,
            MAX_ENGINE_ANSWER_BYTES,
            [expect_instance_header(order.endpoint.id)],
            may_send,
        )
        return status

    async def read_report(self, endpoint: ListedEndpoint) -> WeightsReport:
        """Return the report of an engine."""
        status, body = await self._call(
            endpoint.address,
            b"GET",
            WEIGHTS_REPORT_TARGET,
            b"",
            MAX_ENGINE_ANSWER_BYTES,
            [expect_instance_header(endpoint.id)],
        )
        if status != 200:
            raise ValueError(f"status {status}")
        return decode_weights_report(body)

    async def _call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        body: bytes,
        max_answer_bytes: int,
        headers: list[tuple[bytes, bytes]] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        return await self._pool.call(
            address,
            method,
            target,
            headers or [],
            body,
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
            CALL_DURATION_S,
            max_answer_bytes,
            may_send,
        )


def _with_loading(endpoint: ListedEndpoint, is_loading: bool) -> ListedEndpoint:
    if not is_loading:
        return endpoint
    return msgspec.structs.replace(endpoint, is_loading=True)


def _with_announcement(endpoint: ListedEndpoint, is_leaving: bool) -> ListedEndpoint:
    if not is_leaving or endpoint.is_draining:
        return endpoint
    return msgspec.structs.replace(endpoint, is_draining=True)
