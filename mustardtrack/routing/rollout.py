"""Which engine loads new weights next.

Load pattern: a new weights version is named every few seconds while long prompts
keep all engines busy. Each load takes an engine out of service for seconds, and
too many at once slow each other and leave too few engines for the traffic.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from mustardtrack.membership.endpointlist import ListedEndpoint
from mustardtrack.routing.namedweights import NamedWeights

# Part of the engines that may load at once; above it, loads slow each other on the
# users' sheets (2 of 5, 3 of 9 and 12 of 30 engines).
PARALLEL_SHARE = 0.4
MIN_PARALLEL = 2
# Average time to read what is placed on an engine above which the engines are needed
# for traffic, so that fewer of them load unless the time limit requires more.
BUSY_QUEUE_MS = 150.0
# Part of the usual number that loads at once then. Answers on replaced weights lose
# worth as well, so that a rollout must not wait for a calm moment.
BUSY_SHARE = 0.5
# Time of one load at a busy engine, with the requests that run before it.
BUSY_LOAD_MS = 3300
# Part of the time limit by which the plan brings an engine to new weights; loads at
# busy engines end later than planned.
FINISH_SHARE = 0.75
# An engine refuses requests that have not started when the order arrives, so that it
# gets no new ones for up to this time before.
LONGEST_DRAIN_MS = 700
# An order without an effect in the list after this time is given again. A load
# takes about 2 s after the running requests have ended.
ORDER_LIFETIME_MS = 8000


@dataclass(frozen=True)
class WeightsOrder:
    """Order to load a weights version."""

    endpoint: ListedEndpoint
    model: str
    version: int


@dataclass
class _Open:
    version: int
    begun_ms: int
    is_given: bool = False


class Rollout:
    """Brings every engine to the named weights, a few at a time.

    One instance belongs to one leadership; it starts without open orders.

    Args:
        limit_ms: Time after the naming of a version after which no request may
            begin on an older one.
    """

    def __init__(self, limit_ms: int) -> None:
        self._finish_ms = FINISH_SHARE * limit_ms
        self._open: dict[str, _Open] = {}
        self._named = NamedWeights()

    def loading(self) -> frozenset[str]:
        """Return the endpoints with an order that is not complete."""
        return frozenset(self._open)

    def has_work(
        self, endpoints: Sequence[ListedEndpoint], named: Mapping[str, int]
    ) -> bool:
        """Return whether an engine is to load, or is loading."""
        return bool(self._open) or any(
            endpoint.weights.get(model, version) < version
            for endpoint in endpoints
            for model, version in named.items()
        )

    def plan(
        self,
        endpoints: Sequence[ListedEndpoint],
        named: Mapping[str, int],
        unread: Callable[[str], int],
        queue_ms: float,
        now_ms: int,
    ) -> list[WeightsOrder]:
        """Return the orders to give now and count them as given.

        Args:
            endpoints: The endpoint list.
            named: Newest version of each model.
            unread: Returns the number of requests that have not started at an
                endpoint.
            queue_ms: Average time to read what is placed on an engine.
            now_ms: Monotonic time.
        """
        self._close_finished(endpoints, now_ms)
        behind = [
            (endpoint, model, version)
            for endpoint in endpoints
            for model, version in named.items()
            if endpoint.weights.get(model, version) < version
        ]
        # The oldest weights first: while versions follow each other quickly, an
        # engine late in a fixed order would never be reached.
        behind.sort(key=lambda item: item[0].weights[item[1]])
        engines = sum(1 for endpoint in endpoints if endpoint.weights)
        limit = max(MIN_PARALLEL, int(engines * PARALLEL_SHARE))
        self._named.update(named, now_ms)
        if queue_ms > BUSY_QUEUE_MS and self._has_slack(behind, limit, now_ms):
            limit = max(1, int(BUSY_SHARE * limit))
        for endpoint, _, version in behind:
            if len(self._open) >= limit:
                break
            if endpoint.id not in self._open and not endpoint.is_draining:
                self._open[endpoint.id] = _Open(version, now_ms)
        orders: list[WeightsOrder] = []
        for endpoint, model, version in behind:
            order = self._open.get(endpoint.id)
            if order is None or order.is_given:
                continue
            is_drained = unread(endpoint.id) == 0
            if is_drained or now_ms - order.begun_ms >= LONGEST_DRAIN_MS:
                order.version, order.is_given = version, True
                orders.append(WeightsOrder(endpoint, model, version))
        return orders

    def _has_slack(
        self,
        behind: Sequence[tuple[ListedEndpoint, str, int]],
        limit: int,
        now_ms: int,
    ) -> bool:
        """Return whether all engines can still load in time if they wait.

        The time limit of an engine begins with the first version that it lacks, not
        with the newest.
        """
        for place, (endpoint, model, _) in enumerate(behind):
            version = endpoint.weights[model]
            replaced_ms = self._named.replaced_ms(model, version, now_ms) or 0
            needed_ms = math.ceil((place + 1) / limit) * BUSY_LOAD_MS
            if replaced_ms + needed_ms >= self._finish_ms:
                return False
        return True

    def reject(self, endpoint_id: str) -> None:
        """Forget an order that the endpoint did not take."""
        self._open.pop(endpoint_id, None)

    def _close_finished(self, endpoints: Sequence[ListedEndpoint], now_ms: int) -> None:
        versions = {
            endpoint.id: max(endpoint.weights.values(), default=0)
            for endpoint in endpoints
        }
        for endpoint_id, order in list(self._open.items()):
            reached = versions.get(endpoint_id, order.version) >= order.version
            # An endpoint that left the list is forgotten as well.
            if reached or now_ms - order.begun_ms > ORDER_LIFETIME_MS:
                del self._open[endpoint_id]
