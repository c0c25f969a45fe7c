"""Rolling update of engines to new weights versions.

Load pattern: a new weights version is named as the newest every few seconds while
long prompts keep all engines busy. Each load takes an engine out of service for
seconds; too many concurrent loads slow each other and leave too few engines for the
traffic.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.loadtimes import LoadTimes
from mustardtrack.routing.versionpace import expected_life_ms, is_worth_loading
from mustardtrack.routing.weightslimit import WeightsLimit

# Fraction of the engines that may load concurrently. The platform names no bound; more
# concurrent loads slow each other and leave too few engines for the traffic.
MAX_LOADING_FRACTION = 0.4
MIN_PARALLEL_LOADS = 2
# Concurrent loads, as a multiple of the usual ones, while some of the engines are past
# the time limit of their weights. Those get no requests, so that they lose nothing by
# loading, but each further load slows the others.
OUT_OF_SERVICE_FACTOR = 2
# Mean time to prefill the prompts placed on an engine, above which the engines are
# needed for traffic: fewer of them load unless the time limit requires more.
BUSY_QUEUE_MS = 150.0
# Fraction of the usual concurrency that is used while engines are busy. Responses on
# superseded weights lose value, so that a rollout must not wait for the load to drop.
BUSY_LIMIT_FACTOR = 0.5
# Fraction of the time limit in which an engine is planned to reach new weights, since
# loads at busy engines end later than planned.
COMPLETION_FRACTION = 0.75
# Longest drain before an order is issued, during which the engine gets no new requests.
# An engine refuses requests that have not started when the order arrives.
MAX_DRAIN_MS = 700
# Time after which an order without an effect in the endpoint list is issued again, in
# expected load times. Running requests must end before a load begins.
ORDER_TIMEOUT_LOADS = 4.0
MIN_ORDER_TIMEOUT_MS = 2000
# Fraction of the time limit after which such an order is issued again at the latest.
ORDER_TIMEOUT_FRACTION = 0.5
# Time of running answers, as a fraction of a load, up to which an engine is ordered to
# load. Until then it stays in service for short answers.
READY_LOAD_FRACTION = 0.5
# Longest time for which an engine winds down, as a fraction of the time limit.
MAX_WIND_DOWN_FRACTION = 0.2
# Engines that wind down or load, as a multiple of the concurrent loads, if answers last
# longer than a load. Otherwise only engines that can load at once wind down.
WIND_DOWN_FACTOR = 1.5
# Time in which no order goes to an engine that could not be reached. It doubles with
# each further failure, since such an engine holds the place of another one.
UNREACHABLE_PAUSE_MS = 1000
# Longest such time, as a fraction of the time limit.
MAX_UNREACHABLE_PAUSE_FRACTION = 0.2


@dataclass(frozen=True)
class WeightsOrder:
    """Order to an endpoint to load a weights version of a model."""

    endpoint: ListedEndpoint
    model: str
    version: int


@dataclass
class _PendingOrder:
    model: str
    version: int
    drain_started_ms: int
    is_issued: bool = False


@dataclass
class _Deferral:
    failures: int
    until_ms: int


class Rollout:
    """Updates all engines to the newest weights with limited concurrency.

    One instance serves for one leadership term and starts without pending orders.

    Args:
        weights_limit: Time that is left to begin requests on each version.
        load_times: Learned load times of the engines.
        is_paced: Function that returns whether loads of a service at a monotonic time
            in ms wait for the next version if the newest is about to be superseded.
    """

    def __init__(
        self,
        weights_limit: WeightsLimit,
        load_times: LoadTimes,
        is_paced: Callable[[str, int], bool] = lambda service, now_ms: False,
    ) -> None:
        self._weights_limit = weights_limit
        self._limit_ms = weights_limit.limit_ms
        self._completion_limit_ms = COMPLETION_FRACTION * self._limit_ms
        self._load_times = load_times
        self._is_paced = is_paced
        self._pending: dict[str, _PendingOrder] = {}
        self._deferrals: dict[str, _Deferral] = {}
        self._winding_down_ms: dict[str, int] = {}

    def pending_endpoints(self) -> frozenset[str]:
        """Return the endpoints that drain for an order or have not completed it."""
        return frozenset(self._pending)

    def winding_down(self) -> frozenset[str]:
        """Return the endpoints that get an order when their long answers end."""
        return frozenset(self._winding_down_ms)

    def has_work(
        self, endpoints: Sequence[ListedEndpoint], newest_versions: Mapping[str, int]
    ) -> bool:
        """Return whether any engine is loading or has yet to load."""
        return bool(self._pending) or any(
            endpoint.weights.get(model, version) < version
            for endpoint in endpoints
            for model, version in newest_versions.items()
        )

    def plan(
        self,
        endpoints: Sequence[ListedEndpoint],
        newest_versions: Mapping[str, int],
        count_not_started: Callable[[str], int],
        remaining_ms: Callable[[str], float],
        mean_queue_ms: float,
        now_ms: int,
        may_order: bool = True,
    ) -> list[WeightsOrder]:
        """Return the orders to issue now and record them as issued.

        Args:
            endpoints: The endpoint list.
            newest_versions: Newest version of each model.
            count_not_started: Function that returns the number of requests that
                have not started at an endpoint.
            remaining_ms: Function that returns the expected time until all requests
                of an endpoint have ended.
            mean_queue_ms: Mean time to prefill the prompts placed on an engine.
            now_ms: Monotonic time.
            may_order: Whether orders may be issued; if not, engines only wind down.
        """
        self._remove_completed(endpoints, now_ms)
        outdated = [
            (endpoint, model, version)
            for endpoint in endpoints
            for model, version in newest_versions.items()
            if endpoint.weights.get(model, version) < version
        ]
        # The oldest weights go first: in a fixed order, engines at the end would never
        # be updated while new versions follow each other quickly. A load begins when
        # the running requests have ended. Engines that could not be reached repeatedly
        # go last, or they would hold the places of those that can load.
        outdated.sort(
            key=lambda item: (
                self._is_repeatedly_deferred(item[0].id),
                item[0].weights[item[1]],
                remaining_ms(item[0].id),
            )
        )
        engines = sum(1 for endpoint in endpoints if endpoint.weights)
        limit = max(MIN_PARALLEL_LOADS, int(engines * MAX_LOADING_FRACTION))
        self._weights_limit.update(newest_versions, now_ms)
        if mean_queue_ms > BUSY_QUEUE_MS and self._has_slack(outdated, limit, now_ms):
            limit = max(1, int(BUSY_LIMIT_FACTOR * limit))
        due = [item for item in outdated if self._is_due(item[0], item[1], now_ms)]
        self._wind_down(due, limit, remaining_ms, now_ms)
        if not may_order:
            return []
        for endpoint, model, version in due:
            is_idle = self._is_out_of_service(endpoint, now_ms)
            most = OUT_OF_SERVICE_FACTOR * limit if is_idle else limit
            if len(self._pending) >= most:
                continue
            if is_idle or self._is_ready(endpoint, remaining_ms, now_ms):
                self._winding_down_ms.pop(endpoint.id, None)
                self._pending[endpoint.id] = _PendingOrder(model, version, now_ms)
        orders: list[WeightsOrder] = []
        for endpoint, model, version in outdated:
            order = self._pending.get(endpoint.id)
            if order is None or order.is_issued:
                continue
            is_drained = count_not_started(endpoint.id) == 0
            if is_drained or now_ms - order.drain_started_ms >= MAX_DRAIN_MS:
                order.model, order.version, order.is_issued = model, version, True
                orders.append(WeightsOrder(endpoint, model, version))
        return orders

    def _is_due(self, endpoint: ListedEndpoint, model: str, now_ms: int) -> bool:
        """Return whether an engine loads the newest version, not only the next."""
        service, limit = endpoint.service, self._weights_limit
        if not self._is_paced(service, now_ms):
            return True
        return is_worth_loading(
            expected_life_ms(limit.naming_times(model), now_ms),
            self._load_times.expected_ms(service),
            limit.superseded_for_ms(model, endpoint.weights[model], now_ms) or 0,
            self._completion_limit_ms,
        )

    def _wind_down(
        self,
        outdated: Sequence[tuple[ListedEndpoint, str, int]],
        limit: int,
        remaining_ms: Callable[[str], float],
        now_ms: int,
    ) -> None:
        """Choose the engines that are ordered to load next."""
        eligible = {
            endpoint.id: endpoint.service
            for endpoint, _, _ in outdated
            if self._may_load(endpoint, now_ms)
        }
        known = self._winding_down_ms
        self._winding_down_ms = {
            endpoint_id: since_ms
            for endpoint_id, since_ms in known.items()
            if endpoint_id in eligible
        }
        most = math.ceil(WIND_DOWN_FACTOR * limit)
        for endpoint_id, service in eligible.items():
            busy = len(self._pending) + len(self._winding_down_ms)
            if busy >= most:
                return
            load_ms = self._load_times.expected_ms(service)
            if busy < limit or remaining_ms(endpoint_id) > load_ms:
                self._winding_down_ms.setdefault(endpoint_id, now_ms)

    def _is_out_of_service(self, endpoint: ListedEndpoint, now_ms: int) -> bool:
        """Return whether an engine gets no requests until it has loaded."""
        return self._may_load(endpoint, now_ms) and not any(
            self._weights_limit.left_to_send_ms(model, version, now_ms)
            for model, version in endpoint.weights.items()
        )

    def _is_ready(
        self,
        endpoint: ListedEndpoint,
        remaining_ms: Callable[[str], float],
        now_ms: int,
    ) -> bool:
        """Return whether an engine that winds down is ordered to load now."""
        since_ms = self._winding_down_ms.get(endpoint.id)
        if since_ms is None:
            return False
        load_ms = self._load_times.expected_ms(endpoint.service)
        is_overdue = now_ms - since_ms >= MAX_WIND_DOWN_FRACTION * self._limit_ms
        return is_overdue or remaining_ms(endpoint.id) <= READY_LOAD_FRACTION * load_ms

    def _has_slack(
        self,
        outdated: Sequence[tuple[ListedEndpoint, str, int]],
        limit: int,
        now_ms: int,
    ) -> bool:
        """Return whether all engines could still load in time at the full ``limit``.

        The time limit of an engine begins with the first version that it lacks, not
        with the newest one.
        """
        for position, (endpoint, model, _) in enumerate(outdated):
            version = endpoint.weights[model]
            superseded_for_ms = (
                self._weights_limit.superseded_for_ms(model, version, now_ms) or 0
            )
            load_ms = MAX_DRAIN_MS + self._load_times.expected_ms(endpoint.service)
            needed_ms = math.ceil((position + 1) / limit) * load_ms
            if superseded_for_ms + needed_ms >= self._completion_limit_ms:
                return False
        return True

    def order_timeout_ms(self, service: str) -> float:
        """Return the time after which an order without an effect is issued again."""
        loads_ms = ORDER_TIMEOUT_LOADS * self._load_times.expected_ms(service)
        return min(
            max(MIN_ORDER_TIMEOUT_MS, loads_ms),
            ORDER_TIMEOUT_FRACTION * self._limit_ms,
        )

    def discard_order(self, endpoint_id: str) -> None:
        """Discard an order that the endpoint did not accept or has lost."""
        self._pending.pop(endpoint_id, None)

    def renew_order(self, endpoint_id: str, now_ms: int) -> None:
        """Record that an endpoint is carrying out its order or gets it again."""
        if endpoint_id in self._pending:
            self._pending[endpoint_id].drain_started_ms = now_ms

    def defer_order(self, endpoint_id: str, now_ms: int) -> None:
        """Discard the order of an endpoint that could not be reached.

        Its place is free for other engines, and its next order waits for a while.
        """
        self._pending.pop(endpoint_id, None)
        previous = self._deferrals.get(endpoint_id)
        failures = previous.failures + 1 if previous else 1
        pause_ms = min(
            UNREACHABLE_PAUSE_MS * 2 ** (failures - 1),
            round(MAX_UNREACHABLE_PAUSE_FRACTION * self._limit_ms),
        )
        self._deferrals[endpoint_id] = _Deferral(failures, now_ms + pause_ms)

    def record_reached(self, endpoint_id: str) -> None:
        """Record that an endpoint has answered."""
        self._deferrals.pop(endpoint_id, None)

    def end_wind_down(self) -> None:
        """Forget the engines that wind down, as all have the newest weights."""
        self._winding_down_ms.clear()

    def _is_repeatedly_deferred(self, endpoint_id: str) -> bool:
        deferral = self._deferrals.get(endpoint_id)
        return deferral is not None and deferral.failures > 1

    def _may_load(self, endpoint: ListedEndpoint, now_ms: int) -> bool:
        deferral = self._deferrals.get(endpoint.id)
        is_deferred = deferral is not None and now_ms < deferral.until_ms
        is_pending = endpoint.id in self._pending
        return not is_pending and not is_deferred and not endpoint.is_draining

    def _remove_completed(
        self, endpoints: Sequence[ListedEndpoint], now_ms: int
    ) -> None:
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id, order in list(self._pending.items()):
            endpoint = listed.get(endpoint_id)
            if endpoint is None or self._is_completed(order, endpoint, now_ms):
                del self._pending[endpoint_id]
        for endpoint_id in self._deferrals.keys() - listed.keys():
            del self._deferrals[endpoint_id]

    def _is_completed(
        self, order: _PendingOrder, endpoint: ListedEndpoint, now_ms: int
    ) -> bool:
        version = endpoint.weights.get(order.model, order.version)
        timeout_ms = MAX_DRAIN_MS + self.order_timeout_ms(endpoint.service)
        is_overdue = now_ms - order.drain_started_ms > timeout_ms
        return version >= order.version or is_overdue
