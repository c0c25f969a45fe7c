"""Delivery of orders to load weights, and observation of the loads."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from mustardtrack.adapters.upstream import ConnectError, ConnectionBrokenError
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.platform.endpoints import (
    WeightsReport,
    encode_weights_order,
)
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
# Stands for the status of an order that could not be sent.
NOT_SENT_STATUS = -1
# Sends of an order that gets no answer, after which another engine takes its place.
MAX_SENDS = 2


class Delivery(Enum):
    """Result of sending an order to an engine."""

    ACCEPTED = "accepted"
    IN_PROGRESS = "in progress"
    COMPLETED = "completed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


# With 409, an earlier order is in progress; its end is awaited before another one.
DELIVERY_BY_STATUS = {
    200: Delivery.IN_PROGRESS,
    202: Delivery.ACCEPTED,
    409: Delivery.IN_PROGRESS,
    NOT_SENT_STATUS: Delivery.UNREACHABLE,
}


@dataclass(frozen=True)
class _ReportAnswer:
    """Whether an engine answered a call for its report, and the report if readable."""

    has_arrived: bool
    report: WeightsReport | None = None


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
    async def send_order(self, order: WeightsOrder, body: bytes, term: int) -> int:
        """Send an order while this host leads in a term, and return the status.

        Raises:
            ConnectError: If the order was not sent.
            ConnectionBrokenError: If no complete answer arrived.
        """

    @abstractmethod
    async def read_report(self, endpoint: ListedEndpoint) -> WeightsReport:
        """Return the report of an engine.

        Raises:
            ConnectError: If the call was not sent.
            ConnectionBrokenError: If no complete answer arrived.
            ValueError: If the answer is no report.
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
        endpoint_id, now_ms = order.endpoint.id, self._calls.now_ms
        delivery = await self._send_repeatedly(order)
        if delivery in (Delivery.ACCEPTED, Delivery.IN_PROGRESS):
            self._rollout.record_reached(endpoint_id)
            await self.wait_for_load(order, is_timed=delivery is Delivery.ACCEPTED)
        elif delivery is Delivery.UNREACHABLE:
            self._rollout.defer_order(endpoint_id, now_ms())
        else:
            self._rollout.discard_order(endpoint_id)

    async def _send_repeatedly(self, order: WeightsOrder) -> Delivery:
        """Send an order until it is answered.

        An order that names the accepted orders is carried out at most once, however
        often it is sent.
        """
        for _ in range(MAX_SENDS):
            answer = await self._read_report(order.endpoint)
            if not answer.has_arrived:
                return Delivery.UNREACHABLE
            report = answer.report
            if report is not None and report.is_busy:
                return Delivery.IN_PROGRESS
            if report is not None and _shows(report, order):
                self._record_weights(order.endpoint.id, report.weights)
                return Delivery.COMPLETED
            accepted_orders = report.accepted_orders if report else None
            status = await self._deliver(order, accepted_orders)
            if status != NO_ANSWER_STATUS:
                return DELIVERY_BY_STATUS.get(status, Delivery.REFUSED)
            if accepted_orders is None:
                # The engine may have received the order, and may carry out each copy.
                return Delivery.IN_PROGRESS
            self._rollout.renew_order(order.endpoint.id, self._calls.now_ms())
        return Delivery.UNREACHABLE

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
        error = ""
        status = NO_ANSWER_STATUS
        try:
            status = await self._calls.send_order(order, body, self._term)
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

    async def wait_for_load(self, order: WeightsOrder, is_timed: bool = True) -> None:
        """Poll the engine until it reports the load, since the platform's list lags.

        Args:
            order: Order that the engine carries out.
            is_timed: Whether the load begins now, so that its time is learned.
        """
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
            report = (await self._read_report(endpoint)).report
            elapsed_ms = (clock() - start_s) * 1000
            weights = report.weights if report else None
            is_busy = report.is_busy if report else None
            step = progress.record_report(weights, is_busy, elapsed_ms)
            if step is LoadStep.COMPLETED:
                assert weights is not None
                if is_timed:
                    self._load_times.record(endpoint.service, waited_ms, elapsed_ms)
                self._record_weights(endpoint.id, weights)
            if not self._apply_step(step, endpoint.id):
                return
            waited_ms = elapsed_ms

    def _record_weights(self, endpoint_id: str, weights: Mapping[str, int]) -> None:
        self._engine_weights.record_report(endpoint_id, weights, self._calls.now_ms())

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

    async def _read_report(self, endpoint: ListedEndpoint) -> _ReportAnswer:
        error: Exception
        try:
            report = await self._calls.read_report(endpoint)
            return _ReportAnswer(has_arrived=True, report=report)
        except (ConnectError, ConnectionBrokenError) as failure:
            error, has_arrived = failure, False
        except (ValueError, RecursionError) as failure:
            error, has_arrived = failure, True
        log_event(REPORT_READ_FAILED, endpoint=endpoint.id, error=str(error))
        return _ReportAnswer(has_arrived)


def _shows(report: WeightsReport, order: WeightsOrder) -> bool:
    """Return whether a report shows the effect of an order."""
    return report.weights.get(order.model, 0) >= order.version
