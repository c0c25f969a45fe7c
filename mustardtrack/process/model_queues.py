"""Per-model queues of requests that wait for engine capacity."""

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
from mustardtrack.process.shared_state import SharedState
from mustardtrack.routing import Candidate

RELEASE_PERIOD_MS = 10
CANDIDATES_LIFETIME_MS = 20


class ModelQueue:
    """Fair queue in front of the engines of one model.

    Args:
        shared: State shared by the requests of this router.
        model: Name of the model.
        rng: Random source of the fair queue.
    """

    def __init__(self, shared: SharedState, model: str, rng: random.Random):
        self._shared = shared
        self._model = model
        self._rng = rng
        self._waiting: dict[
            str, tuple[QueueItem, asyncio.Future[DequeuedItem | Refused]]
        ] = {}
        self._shares: list[ClassShare] = []
        self._queue = self._create_queue()
        self._candidates: tuple[Candidate, ...] = ()
        self._candidates_ms = -CANDIDATES_LIFETIME_MS

    def candidates(self, now_ms: int) -> tuple[Candidate, ...]:
        """Return the engines that serve the model.

        The result is cached for ``CANDIDATES_LIFETIME_MS``, since building it costs
        more than choosing one of the engines.
        """
        if now_ms - self._candidates_ms >= CANDIDATES_LIFETIME_MS:
            self._candidates_ms = now_ms
            self._candidates = build_candidates(
                self._shared, "engine", self._model, now_ms
            )
        return self._candidates

    def invalidate_candidates(self) -> None:
        """Invalidate the cached candidates."""
        self._candidates_ms = -CANDIDATES_LIFETIME_MS

    async def wait(self, item: QueueItem) -> DequeuedItem | Refused:
        """Queue a request and wait until it may be dispatched or is refused."""
        self._update_classes()
        self._queue.set_weight(item.account, self._weight(item.account))
        outcome = self._queue.offer(item)
        if isinstance(outcome, Refused):
            return outcome
        future: asyncio.Future[DequeuedItem | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[item.request_id] = (item, future)
        self.release_ready()
        try:
            return await future
        finally:
            if self._waiting.pop(item.request_id, None) is not None:
                self._queue.cancel(item.request_id)

    def release_ready(self) -> None:
        """Release queued requests up to the available capacity."""
        if not self._waiting:
            return
        now_ms = self._shared.clock.now_ms()
        headroom = self._shared.selector.headroom_tokens(
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
        account_object: Any = self._shared.configuration.objects("account").get(account)
        return account_object.weight if account_object is not None else 1.0

    def _create_queue(self) -> FairQueue:
        self._shares = class_shares(self._shared)
        return FairQueue(self._shares, {}, self._rng)

    def _update_classes(self) -> None:
        """Rebuild the fair queue if the configured classes have changed."""
        if class_shares(self._shared) == self._shares:
            return
        self._queue = self._create_queue()
        for request_id, (item, _) in list(self._waiting.items()):
            outcome = self._queue.offer(item)
            if isinstance(outcome, Refused):
                self._resolve(request_id, outcome)


class ModelQueues:
    """Queues of one router by model."""

    def __init__(self, shared: SharedState, rng: random.Random):
        self._shared = shared
        self._rng = rng
        self._queues: dict[str, ModelQueue] = {}

    def model_queue(self, model: str) -> ModelQueue:
        """Return the queue of a model."""
        if model not in self._queues:
            self._queues[model] = ModelQueue(self._shared, model, self._rng)
        return self._queues[model]

    def queued(self) -> dict[str, int]:
        """Return the number of waiting requests by model."""
        return {
            model: model_queue.queued() for model, model_queue in self._queues.items()
        }

    async def run(self) -> None:
        """Release requests from all queues periodically until cancelled."""
        while True:
            for model_queue in self._queues.values():
                model_queue.release_ready()
            await asyncio.sleep(RELEASE_PERIOD_MS / 1000)


def class_shares(shared: SharedState) -> list[ClassShare]:
    """Return the minimum shares of the configured classes."""
    classes: Any = shared.configuration.objects("class").values()
    return [ClassShare(cls.name, cls.rank, cls.floor_share) for cls in classes]


def build_candidates(
    shared: SharedState, kind: str, serves: str, now_ms: int
) -> tuple[Candidate, ...]:
    """Return the endpoints of a kind that serve a model or service."""
    endpoints: Any = shared.configuration.objects("endpoint")
    zones = {
        name: endpoint.zone
        for name, endpoint in endpoints.items()
        if endpoint.kind == kind and serves in endpoint.serves and not endpoint.draining
    }
    views = shared.endpoints.candidates(zones, now_ms)
    return tuple(_to_candidate(view, zones[view.name]) for view in views)


def _to_candidate(view: EndpointView, zone: str) -> Candidate:
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
