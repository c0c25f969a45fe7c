"""Task of the leader that reads the platform's list and orders weight loads."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from mustardtrack.adapters.upstream import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
)
from mustardtrack.configuration.documents import ClaimOrders, ReleaseOrders
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpointlist import EndpointList, ListedEndpoint
from mustardtrack.platform.endpoints import (
    ORDER_TARGET,
    REPORT_TARGET,
    encode_weights_order,
    list_target,
    read_list_page,
    read_report,
)
from mustardtrack.platform.headers import expect_instance
from mustardtrack.routing.rollout import Rollout, WeightsOrder

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess
    from mustardtrack.settings import SeededSettings

LIST_FAILED = define_event(8931, "WARNING", "platform's list could not be read")
LIST_CHANGED = define_event(8932, "INFO", "endpoint list changed")
REPORT_FAILED = define_event(8934, "WARNING", "engine's report could not be read")
ORDER_GIVEN = define_event(8933, "INFO", "weights order answered")

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
WATCH_PERIOD_S = 0.05
# A load takes about 2 s on the users' sheets; reports before that are wasted calls.
FIRST_REPORT_S = 1.9
REPORT_PERIOD_S = 0.3
# Reports asked for one load, about as long as the lifetime of an order.
MAX_REPORTS = 20
MAX_PAGES = 1000
# An unchanged list is repeated for replicas that missed it.
PUBLISH_PERIOD_MS = 1000
# Added to the order lease before a new leader gives its first order, for orders of
# the leader before it that are still on their way.
LEASE_MARGIN_MS = 500


class EndpointWatch:
    """Reads the list and gives orders while this replica leads."""

    def __init__(self, control: "SeededControlProcess", settings: "SeededSettings"):
        self._control = control
        self._settings = settings
        self._rollout = Rollout(settings.bounds.weights_ms)
        self._term = 0
        self._leads_since_ms = 0
        self._last_order_ms = 0
        self._sequence = 0
        self._list_at_ms = 0
        self._entries: tuple[ListedEndpoint, ...] = ()
        self._listed: tuple[ListedEndpoint, ...] = ()
        self._reported: dict[str, dict[str, int]] = {}
        self._has_list = False
        self._last_published: tuple[ListedEndpoint, ...] = ()
        self._publish_at_ms = 0
        self._orders: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Work until cancelled."""
        from twisted.internet import reactor

        self._pool = ConnectionPool(reactor)
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            if not self._control.leads() or self._settings.host_list is None:
                continue
            self._enter_term()
            now_ms = self._control.now_ms()
            if now_ms >= self._list_at_ms:
                self._list_at_ms = now_ms + self._settings.timing.list_period_ms
                await self._read_list()
            if self._has_list and self._control.leads():
                self._merge_reports()
                await self._manage_loads()
                self._publish()

    def _enter_term(self) -> None:
        term = self._control.term()
        if term == self._term:
            return
        self._term = term
        self._leads_since_ms = self._last_order_ms = self._control.now_ms()
        self._sequence = 0
        self._rollout = Rollout(self._settings.bounds.weights_ms)
        self._has_list = False
        self._reported = {}
        self._last_published = ()

    async def _read_list(self) -> None:
        entries: list[ListedEndpoint] = []
        page: str | None = None
        address = self._settings.host_list
        assert address is not None
        try:
            for _ in range(MAX_PAGES):
                status, body = await self._call(address, b"GET", list_target(page), b"")
                if status != 200:
                    raise ValueError(f"status {status}")
                found, page = read_list_page(body)
                entries += found
                if page is None:
                    break
        except (ConnectionBrokenError, ConnectError, ValueError) as error:
            log_event(LIST_FAILED, error=str(error))
            return
        self._entries = tuple(sorted(entries, key=lambda entry: entry.id))
        self._has_list = True

    def _merge_reports(self) -> None:
        """Join the list with newer weights that engines have reported."""
        known = {entry.id for entry in self._entries}
        for endpoint_id in [one for one in self._reported if one not in known]:
            del self._reported[endpoint_id]
        self._listed = tuple(
            _with_weights(entry, self._reported.get(entry.id))
            for entry in self._entries
        )

    def _publish(self) -> None:
        loading = self._rollout.loading()
        listed = tuple(
            _with_loading(endpoint, endpoint.id in loading) for endpoint in self._listed
        )
        now_ms = self._control.now_ms()
        is_changed = listed != self._last_published
        if not is_changed and now_ms < self._publish_at_ms:
            return
        self._publish_at_ms = now_ms + PUBLISH_PERIOD_MS
        if is_changed:
            self._sequence += 1
            self._last_published = listed
            log_event(
                LIST_CHANGED,
                term=self._term,
                sequence=self._sequence,
                endpoints=len(listed),
                draining=[one.id for one in listed if one.is_draining],
                loading=[one.id for one in listed if one.is_loading],
            )
        self._control.publish(EndpointList(self._term, self._sequence, listed))

    async def _claim_orders(self) -> bool:
        """Return whether this leader may give orders now.

        Another host's claim delays the first order by the order lease, since that
        host may have given an order just before it lost its leadership.
        """
        control = self._control
        holder = control.store.order_holder
        if holder == control.name:
            return True
        now_ms = control.now_ms()
        wait_ms = self._settings.bounds.order_lease_ms + LEASE_MARGIN_MS
        if holder and now_ms - self._leads_since_ms < wait_ms:
            return False
        outcome = await control.put(ClaimOrders(control.name))
        return outcome is not None and control.leads()

    async def _release_orders(self) -> None:
        control = self._control
        if control.store.order_holder != control.name:
            return
        wait_ms = self._settings.bounds.order_lease_ms + LEASE_MARGIN_MS
        if control.now_ms() - self._last_order_ms >= wait_ms:
            await control.put(ReleaseOrders(control.name))

    async def _manage_loads(self) -> None:
        weights = self._control.store.weights
        if not self._rollout.has_work(self._listed, weights):
            await self._release_orders()
        elif await self._claim_orders():
            self._give_orders()

    def _give_orders(self) -> None:
        now_ms = self._control.now_ms()
        weights = self._control.store.weights
        placements = self._control.placements
        orders = self._rollout.plan(
            self._listed, weights, placements.unread, placements.queue_ms(), now_ms
        )
        for order in orders:
            self._last_order_ms = now_ms
            task = asyncio.ensure_future(self._give(order, self._term))
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    async def _give(self, order: WeightsOrder, term: int) -> None:
        body = encode_weights_order(
            order.model, order.version, self._control.name, term
        )
        headers = [expect_instance(order.endpoint.id)]
        error = ""
        status = 0
        try:
            status, _ = await self._call(
                order.endpoint.address, b"POST", ORDER_TARGET, body, headers
            )
        except (ConnectionBrokenError, ConnectError) as failure:
            error = str(failure)
        log_event(
            ORDER_GIVEN,
            endpoint=order.endpoint.id,
            model=order.model,
            version=order.version,
            fence=term,
            status=status,
            error=error,
        )
        if status in (0, 200, 202):
            await self._await_load(order, term)
        elif term == self._term:
            self._rollout.reject(order.endpoint.id)

    async def _await_load(self, order: WeightsOrder, term: int) -> None:
        """Ask the engine until it has loaded, since the list lags behind it."""
        await asyncio.sleep(FIRST_REPORT_S)
        for _ in range(MAX_REPORTS):
            if term != self._term or not self._control.leads():
                return
            try:
                status, body = await self._call(
                    order.endpoint.address, b"GET", REPORT_TARGET, b""
                )
                weights = read_report(body) if status == 200 else {}
            except (ConnectionBrokenError, ConnectError, ValueError) as error:
                log_event(REPORT_FAILED, endpoint=order.endpoint.id, error=str(error))
                weights = {}
            if weights.get(order.model, 0) >= order.version:
                self._reported[order.endpoint.id] = weights
                return
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        body: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> tuple[int, bytes]:
        return await self._pool.call(
            address,
            method,
            target,
            headers or [],
            body,
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
        )


def _with_loading(endpoint: ListedEndpoint, is_loading: bool) -> ListedEndpoint:
    if not is_loading:
        return endpoint
    return msgspec.structs.replace(endpoint, is_loading=True)


def _with_weights(
    endpoint: ListedEndpoint, reported: dict[str, int] | None
) -> ListedEndpoint:
    if not reported:
        return endpoint
    newest = {
        model: max(version, reported.get(model, 0))
        for model, version in endpoint.weights.items()
    }
    return msgspec.structs.replace(endpoint, weights=newest)
