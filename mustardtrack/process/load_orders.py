"""Delivery of orders to load weights, and observation of the loads."""

import asyncio
from abc import ABC, abstractmethod

from mustardtrack.adapters.upstream import ConnectError, ConnectionBrokenError
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.platform.endpoints import (
    WEIGHTS_ORDER_TARGET,
    WEIGHTS_REPORT_TARGET,
    WeightsReport,
    decode_weights_report,
    encode_weights_order,
)
from mustardtrack.platform.headers import expect_instance_header
from mustardtrack.routing.engineweights import EngineWeights
from mustardtrack.routing.loadprogress import LoadProgress, LoadStep
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.rollout import Rollout, WeightsOrder

REPORT_READ_FAILED = define_event(
    8934, "WARNING", "engine's weights report could not be read"
)
ORDER_ANSWERED = define_event(8933, "INFO", "weight load order answered or failed")

# The JSON decoder raises RecursionError for deeply nested bytes.
UNREADABLE_ERRORS = (ConnectError, ConnectionBrokenError, ValueError, RecursionError)
NO_ANSWER_STATUS = 0
IN_PROGRESS_STATUS = 409
# Answers to an order after which its effect is awaited. Without an answer, the engine
# may have received the order.
AWAITED_STATUSES = frozenset({NO_ANSWER_STATUS, 200, 202, IN_PROGRESS_STATUS})
# Stands for the status of an order that could not be sent.
NOT_SENT_STATUS = -1
# Sends of an order that gets no answer. The engine then waits as one without an effect.
MAX_SENDS = 4


class LeaderCalls(ABC):
    """What the delivery of orders needs of the leader's task."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the control host, which engines see as the sender of orders."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic milliseconds."""

    @abstractmethod
    def leads_in(self, term: int) -> bool:
        """Return whether this host leads in a term."""

    @abstractmethod
    async def call_engine(
        self,
        address: str,
        method: bytes,
        target: bytes,
        body: bytes,
        headers: list[tuple[bytes, bytes]],
        term: int,
    ) -> tuple[int, bytes]:
        """Call an engine, while this host leads in a term.

        Raises:
            ConnectError: If the call was not sent.
            ConnectionBrokenError: If no complete answer arrived.
        """


class LoadOrders:
    """Sends the orders of one leadership term and follows their loads.

    Args:
        calls: Calls to engines.
        term: Term of the leadership; the fencing token of its orders.
        rollout: Plan to which the ends of orders are reported.
        load_times: Learned load times of the engines.
        engine_weights: Known versions, to which completed loads are added.
        limit_ms: Longest time for which a load is followed.
    """

    def __init__(
        self,
        calls: LeaderCalls,
        term: int,
        rollout: Rollout,
        load_times: LoadTimes,
        engine_weights: EngineWeights,
        limit_ms: int,
    ) -> None:
        self._calls = calls
        self._term = term
        self._rollout = rollout
        self._load_times = load_times
        self._engine_weights = engine_weights
        self._limit_ms = limit_ms
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_open_orders(self) -> bool:
        """Whether an order is being sent or its load followed."""
        return bool(self._tasks)

    def send(self, order: WeightsOrder) -> None:
        """Send an order and follow it in the background."""
        task = asyncio.ensure_future(self._send(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, order: WeightsOrder) -> None:
        """Send an order until it is answered, and follow its load.

        An order that names the accepted orders is carried out at most once, however
        often it is sent.
        """
        endpoint_id = order.endpoint.id
        for _ in range(MAX_SENDS):
            report = await self._read_report(order.endpoint)
            if report is not None and report.is_busy:
                status = IN_PROGRESS_STATUS
                break
            accepted_orders = report.accepted_orders if report else None
            status = await self._deliver(order, accepted_orders)
            if status != NO_ANSWER_STATUS or accepted_orders is None:
                break
            self._rollout.renew_order(endpoint_id, self._calls.now_ms())
        if status in AWAITED_STATUSES:
            await self.wait_for_load(order)
        elif status == NOT_SENT_STATUS:
            self._rollout.defer_order(endpoint_id, self._calls.now_ms())
        else:
            self._rollout.discard_order(endpoint_id)

    async def _deliver(self, order: WeightsOrder, accepted_orders: int | None) -> int:
        """Send an order and return the status of the answer.

        Args:
            order: Order to send.
            accepted_orders: Orders that the engine has accepted. An order without an
                answer may be carried out after a newer one; the engine then refuses it.
        """
        body = encode_weights_order(
            order.model, order.version, self._calls.name, self._term, accepted_orders
        )
        headers = [expect_instance_header(order.endpoint.id)]
        error = ""
        status = NO_ANSWER_STATUS
        try:
            status, _ = await self._calls.call_engine(
                order.endpoint.address,
                b"POST",
                WEIGHTS_ORDER_TARGET,
                body,
                headers,
                self._term,
            )
        except ConnectionBrokenError as failure:
            error = str(failure)
        except ConnectError as failure:
            error, status = str(failure), NOT_SENT_STATUS
        log_event(
            ORDER_ANSWERED,
            endpoint=order.endpoint.id,
            model=order.model,
            version=order.version,
            fence=self._term,
            accepted_orders=accepted_orders,
            status=status,
            error=error,
        )
        return status

    async def wait_for_load(self, order: WeightsOrder) -> None:
        """Poll the engine until it reports the load, since the platform's list lags."""
        endpoint = order.endpoint
        clock = asyncio.get_running_loop().time
        start_s = clock()
        waited_ms = 0.0
        progress = LoadProgress(order.model, order.version)
        times_ms = self._load_times.report_times_ms(endpoint.service, self._limit_ms)
        for time_ms in times_ms:
            await asyncio.sleep(max(0.0, start_s + time_ms / 1000 - clock()))
            if not self._calls.leads_in(self._term):
                return
            report = await self._read_report(endpoint)
            elapsed_ms = (clock() - start_s) * 1000
            weights = report.weights if report else None
            is_busy = report.is_busy if report else None
            step = progress.record_report(weights, is_busy, elapsed_ms)
            if step is LoadStep.COMPLETED:
                assert weights is not None
                self._load_times.record(endpoint.service, waited_ms, elapsed_ms)
                self._engine_weights.record_report(
                    endpoint.id, weights, self._calls.now_ms()
                )
            if not self._apply_step(step, endpoint.id):
                return
            waited_ms = elapsed_ms

    def _apply_step(self, step: LoadStep, endpoint_id: str) -> bool:
        """Tell the rollout of a report and return whether to ask for another one."""
        now_ms = self._calls.now_ms()
        if step is LoadStep.LOST:
            self._rollout.discard_order(endpoint_id)
        elif step is LoadStep.UNREACHABLE:
            self._rollout.defer_order(endpoint_id, now_ms)
        elif step is LoadStep.IN_PROGRESS:
            self._rollout.renew_order(endpoint_id, now_ms)
        return step in (LoadStep.IN_PROGRESS, LoadStep.UNCLEAR)

    async def _read_report(self, endpoint: ListedEndpoint) -> WeightsReport | None:
        """Return the report of an engine, None if it cannot be read."""
        try:
            status, body = await self._calls.call_engine(
                endpoint.address, b"GET", WEIGHTS_REPORT_TARGET, b"", [], self._term
            )
            if status != 200:
                raise ValueError(f"status {status}")
            return decode_weights_report(body)
        except UNREADABLE_ERRORS as error:
            log_event(REPORT_READ_FAILED, endpoint=endpoint.id, error=str(error))
            return None
