"""Queues of requests that wait for capacity, one for each model."""

import asyncio
import random
from typing import Any

from mustardtrack.admission import (
    Capacity,
    ClassShare,
    DequeuedItem,
    FairQueue,
    QueueItem,
    Refused,
)
from mustardtrack.membership import EndpointView
from mustardtrack.process.traffic import Traffic
from mustardtrack.routing import Candidate

PUMP_PERIOD_MS = 10
CANDIDATES_MS = 20


class Lane:
    """Fair queue in front of the engines of one model.

    Args:
        traffic: Shared state of the router.
        model: Name of the model.
        rng: Source of jitter.
    """

    def __init__(self, traffic: Traffic, model: str, rng: random.Random):
        self._traffic = traffic
        self._model = model
        self._rng = rng
        self._waiting: dict[
            str, tuple[QueueItem, asyncio.Future[DequeuedItem | Refused]]
        ] = {}
        self._shares: list[ClassShare] = []
        self._queue = self._create_queue()
        self._candidates: tuple[Candidate, ...] = ()
        self._candidates_ms = -CANDIDATES_MS

    def candidates(self, now_ms: int) -> tuple[Candidate, ...]:
        """Return the engines that serve the model.

        The same tuple is returned for ``CANDIDATES_MS``, since building views for
        each decision costs more than the decision.
        """
        if now_ms - self._candidates_ms >= CANDIDATES_MS:
            self._candidates_ms = now_ms
            self._candidates = build_candidates(
                self._traffic, "engine", self._model, now_ms
            )
        return self._candidates

    def forget_candidates(self) -> None:
        """Build the candidates anew on the next call."""
        self._candidates_ms = -CANDIDATES_MS

    async def wait(self, item: QueueItem) -> DequeuedItem | Refused:
        """Queue a request and wait until it may be dispatched or is refused."""
        self._refresh()
        self._queue.set_weight(item.account, self._weight(item.account))
        outcome = self._queue.offer(item)
        if isinstance(outcome, Refused):
            return outcome
        future: asyncio.Future[DequeuedItem | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[item.request_id] = (item, future)
        self.pump()
        try:
            return await future
        finally:
            if self._waiting.pop(item.request_id, None) is not None:
                self._queue.cancel(item.request_id)

    def pump(self) -> None:
        """Release the requests for which there is capacity."""
        if not self._waiting:
            return
        now_ms = self._traffic.clock.now_ms()
        headroom = self._traffic.selector.headroom_tokens(
            self.candidates(now_ms), now_ms
        )
        for taken in self._queue.take(now_ms, Capacity(*headroom)):
            self._resolve(taken.item.request_id, taken)
        for item, refused in self._queue.expired():
            self._resolve(item.request_id, refused)

    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def _resolve(self, request_id: str, outcome: DequeuedItem | Refused) -> None:
        item_future = self._waiting.pop(request_id, None)
        if item_future is not None and not item_future[1].done():
            item_future[1].set_result(outcome)

    def _weight(self, account: str) -> float:
        found: Any = self._traffic.copy.objects("account").get(account)
        return found.weight if found is not None else 1.0

    def _create_queue(self) -> FairQueue:
        self._shares = class_shares(self._traffic)
        return FairQueue(self._shares, {}, self._rng)

    def _refresh(self) -> None:
        """Rebuild the queue after a change of the classes."""
        if class_shares(self._traffic) == self._shares:
            return
        self._queue = self._create_queue()
        for request_id, (item, _) in list(self._waiting.items()):
            outcome = self._queue.offer(item)
            if isinstance(outcome, Refused):
                self._resolve(request_id, outcome)


class Lanes:
    """All lanes of one router."""

    def __init__(self, traffic: Traffic, rng: random.Random):
        self._traffic = traffic
        self._rng = rng
        self._lanes: dict[str, Lane] = {}

    def lane(self, model: str) -> Lane:
        """Return the lane of a model."""
        if model not in self._lanes:
            self._lanes[model] = Lane(self._traffic, model, self._rng)
        return self._lanes[model]

    def queued(self) -> dict[str, int]:
        """Return the number of waiting requests by model."""
        return {model: lane.queued() for model, lane in self._lanes.items()}

    async def run(self) -> None:
        """Pump all lanes until cancelled."""
        while True:
            for lane in self._lanes.values():
                lane.pump()
            await asyncio.sleep(PUMP_PERIOD_MS / 1000)


def class_shares(traffic: Traffic) -> list[ClassShare]:
    """Return the shares of the configured classes."""
    classes: Any = traffic.copy.objects("class").values()
    return [ClassShare(one.name, one.rank, one.floor_share) for one in classes]


def build_candidates(
    traffic: Traffic, kind: str, serves: str, now_ms: int
) -> tuple[Candidate, ...]:
    """Return the endpoints of a kind that serve a model or service."""
    endpoints: Any = traffic.copy.objects("endpoint")
    zones = {
        name: endpoint.zone
        for name, endpoint in endpoints.items()
        if endpoint.kind == kind and serves in endpoint.serves and not endpoint.draining
    }
    views = traffic.endpoints.candidates(zones, now_ms)
    return tuple(_convert(view, zones[view.name]) for view in views)


def _convert(view: EndpointView, zone: str) -> Candidate:
    load = view.load
    return Candidate(
        view.name,
        view.incarnation,
        zone,
        view.state,
        load.running if load else 0,
        load.queued if load else 0,
        load.queued_tokens if load else 0,
        view.age_ms,
    )
