"""Fair queueing between work classes and client accounts."""

import heapq
import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mustardtrack.admission.outcomes import ADMITTED, Admitted, Refused
from mustardtrack.logs.events import define_event, require_invariant
from mustardtrack.ports.metrics import Metrics

# Time constant of the decay of account usage, and period of the service rate.
RATE_WINDOW_MS = 5000
MIN_RETRY_MS = 200
MAX_RETRY_MS = 30_000
DEFAULT_MAX_QUEUED_PER_ACCOUNT = 1000
MAX_TAKEN_REQUEST_IDS = 10_000

REFUSED_AFTER_DISPATCH = define_event(
    6002, "ERROR", "request that was dispatched would be refused as not run"
)


@dataclass(frozen=True)
class ClassShare:
    """Rank and guaranteed minimum share of a work class.

    Attributes:
        rank: Rank of the class, 0 most urgent.
        floor_share: Fraction of the service that is guaranteed to the class.
    """

    name: str
    rank: int
    floor_share: float = 0.0


@dataclass(frozen=True)
class QueueItem:
    """Request waiting for dispatch.

    Attributes:
        cost_tokens: Expected uncached prompt tokens plus output tokens.
        deadline_ms: Monotonic time by which the first token is needed; 0: none.
    """

    request_id: str
    account: str
    class_name: str
    cost_tokens: int
    arrived_ms: int
    deadline_ms: int = 0


@dataclass(frozen=True)
class DequeuedItem:
    """Request to dispatch now.

    Attributes:
        promoted: Whether it was taken under the minimum share of its class while
            more urgent work was waiting.
        priority: Priority at the engine, 0 most urgent: twice the position of
            the class in rank order, plus 1 unless the account uses less than its
            fair share. Promoted work has the priority of the most urgent class;
            otherwise it would wait behind that class again in the engine.
    """

    item: QueueItem
    promoted: bool
    priority: int = 0


@dataclass(frozen=True)
class Capacity:
    """Tokens that may be dispatched now, by kind of work.

    The limits are nested: ``normal`` and ``other_classes`` are at most ``light``.
    The difference is reserved for light accounts, which use less than their fair
    share, so that their requests do not wait for a busy engine.

    Attributes:
        light: Most urgent class, light accounts.
        normal: Most urgent class, other accounts, and promoted work.
        other_classes: Classes other than the most urgent.
    """

    light: int
    normal: int
    other_classes: int


@dataclass
class _AccountQueue:
    name: str
    weight: float
    items: deque[QueueItem] = field(default_factory=deque)
    tokens: int = 0
    finish_tag: float = 0.0
    decayed_tokens: float = 0.0
    decayed_ms: int = 0

    def usage(self, now_ms: int) -> float:
        """Return the recent service in tokens, with exponential decay."""
        if now_ms > self.decayed_ms:
            self.decayed_tokens *= math.exp((self.decayed_ms - now_ms) / RATE_WINDOW_MS)
            self.decayed_ms = now_ms
        return self.decayed_tokens


@dataclass
class _ClassQueue:
    share: ClassShare
    accounts: dict[str, _AccountQueue] = field(default_factory=dict)
    heads: list[tuple[float, int, str]] = field(default_factory=list)
    virtual_time: float = 0.0
    credit: float = 0.0
    tokens: int = 0
    sequence: int = 0


class FairQueue:
    """Fair queue of one router.

    The most urgent class is served first. Every class with a minimum share earns
    credit from all service while it has requests queued. It is served ahead of
    the most urgent class when its credit after the next urgent request would
    cover its own next request. Within a class, accounts share service by
    start-time fair queueing over tokens, weighted by account: over any period in
    which an account is backlogged, it receives its weighted share of the class
    up to one request per account.

    Examples:
        >>> shares = [ClassShare("urgent", 0), ClassShare("patient", 1, 0.2)]
        >>> queue = FairQueue(shares, {})
        >>> queue.offer(QueueItem("r1", "hotel", "patient", 100, 0))
        Admitted()
        >>> queue.offer(QueueItem("r2", "hotel", "urgent", 100, 0))
        Admitted()
        >>> [taken.item.request_id for taken in queue.take(1, 500)]
        ['r2', 'r1']
    """

    def __init__(
        self,
        shares: Sequence[ClassShare],
        weights: Mapping[str, float],
        rng: random.Random | None = None,
        queued_per_account: int = DEFAULT_MAX_QUEUED_PER_ACCOUNT,
        metrics: Metrics | None = None,
    ):
        self._weights = dict(weights)
        self._rng = rng or random.Random(0)
        self._queued_per_account = queued_per_account
        self._metrics = metrics
        ordered = sorted(shares, key=lambda share: share.rank)
        self._classes = {share.name: _ClassQueue(share) for share in ordered}
        self._rate_per_ms = 0.0
        self._rate_since_ms = 0
        self._idle_sweep_ms = 0
        self._queued: dict[str, QueueItem] = {}
        self._expired: list[tuple[QueueItem, Refused]] = []
        self._taken: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def set_weight(self, account: str, weight: float) -> None:
        """Change the weight of an account for its subsequent requests."""
        self._weights[account] = weight
        for queue in self._classes.values():
            if account in queue.accounts:
                queue.accounts[account].weight = weight

    def offer(self, item: QueueItem) -> Admitted | Refused:
        """Queue a request, or refuse it before any dispatch.

        Retries bypass the queue: a request that was taken before may have run, so
        it cannot be refused as not run.

        Returns:
            ``Refused`` with reason ``deadline`` if the expected wait exceeds the
            deadline, ``queue_full``, or ``unknown_class``.

        Raises:
            InvariantViolationError: If the request is queued or was taken.
        """
        require_invariant(
            item.request_id not in self._queued and item.request_id not in self._taken,
            REFUSED_AFTER_DISPATCH,
            request_id=item.request_id,
        )
        queue = self._classes.get(item.class_name)
        if queue is None:
            return self._refuse(item, "unknown_class", 0.0)
        wait_ms = self._expected_wait_ms(queue, item)
        if item.deadline_ms and item.arrived_ms + wait_ms > item.deadline_ms:
            return self._refuse(item, "deadline", wait_ms)
        account = self._account(queue, item.account)
        if len(account.items) >= self._queued_per_account:
            return self._refuse(item, "queue_full", wait_ms)
        account.items.append(item)
        account.tokens += item.cost_tokens
        queue.tokens += item.cost_tokens
        self._queued[item.request_id] = item
        if len(account.items) == 1:
            self._push(queue, account)
        return ADMITTED

    def take(self, now_ms: int, capacity: int | Capacity) -> list[DequeuedItem]:
        """Remove the next requests until their cost reaches the capacity.

        The last request may exceed the capacity. Requests whose deadline has
        passed are moved to :meth:`expired` instead. An integer capacity applies
        to all kinds of work.
        """
        if isinstance(capacity, int):
            capacity = Capacity(capacity, capacity, capacity)
        taken: list[DequeuedItem] = []
        served = 0
        while self._queued:
            found = self._next(now_ms, capacity, served)
            if found is None:
                break
            queue, promoted, light = found
            item = self._pop(queue)
            if self._queued.get(item.request_id) is not item:
                continue
            del self._queued[item.request_id]
            if item.deadline_ms and now_ms > item.deadline_ms:
                self._expired.append((item, self._refuse(item, "deadline", 0.0)))
                continue
            self._serve(queue, item, now_ms)
            self._remember_taken(item.request_id)
            rank = 0 if promoted else self._class_index(queue)
            taken.append(DequeuedItem(item, promoted, 2 * rank + (not light)))
            served += item.cost_tokens
        self._update_rate(now_ms, served)
        if now_ms - self._idle_sweep_ms > RATE_WINDOW_MS:
            self._idle_sweep_ms = now_ms
            for queue in self._classes.values():
                self._remove_idle_accounts(queue, now_ms)
        return taken

    def expired(self) -> list[tuple[QueueItem, Refused]]:
        """Return the queued requests that expired since the last call."""
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, request_id: str) -> bool:
        """Remove a queued request and return whether it was still queued."""
        return self._queued.pop(request_id, None) is not None

    def queued_tokens(self, class_name: str) -> int:
        """Return the cost of the requests queued in a class."""
        return self._classes[class_name].tokens

    def _remember_taken(self, request_id: str) -> None:
        self._taken[request_id] = None
        if len(self._taken) > MAX_TAKEN_REQUEST_IDS:
            del self._taken[next(iter(self._taken))]

    def _account(self, queue: _ClassQueue, name: str) -> _AccountQueue:
        account = queue.accounts.get(name)
        if account is None:
            account = _AccountQueue(name, self._weights.get(name, 1.0))
            queue.accounts[name] = account
        return account

    def _push(self, queue: _ClassQueue, account: _AccountQueue) -> None:
        start = max(queue.virtual_time, account.finish_tag)
        queue.sequence += 1
        heapq.heappush(queue.heads, (start, queue.sequence, account.name))

    def _pop(self, queue: _ClassQueue) -> QueueItem:
        start, _, name = heapq.heappop(queue.heads)
        account = queue.accounts[name]
        item = account.items.popleft()
        account.tokens -= item.cost_tokens
        queue.tokens -= item.cost_tokens
        if self._queued.get(item.request_id) is item:
            queue.virtual_time = max(queue.virtual_time, start)
            account.finish_tag = start + item.cost_tokens / account.weight
        if account.items:
            self._push(queue, account)
        return item

    def _next(
        self, now_ms: int, capacity: Capacity, served: int
    ) -> tuple[_ClassQueue, bool, bool] | None:
        """Return class, promoted flag and light flag of the next request."""
        waiting = [queue for queue in self._classes.values() if queue.heads]
        if served < capacity.normal:
            for queue in reversed(waiting[1:]):
                if self._is_due(queue, waiting[0]):
                    return queue, True, False
        for queue in waiting:
            light = self._is_light(queue, now_ms)
            if self._class_index(queue) > 0:
                limit = capacity.other_classes
            else:
                limit = capacity.light if light else capacity.normal
            if served < limit:
                return queue, False, light
        return None

    def _class_index(self, queue: _ClassQueue) -> int:
        return list(self._classes.values()).index(queue)

    def _is_light(self, queue: _ClassQueue, now_ms: int) -> bool:
        """Return whether the next account has used less than its fair share."""
        head = queue.accounts[queue.heads[0][2]]
        total = weights = 0.0
        for account in queue.accounts.values():
            usage = account.usage(now_ms)
            if usage >= 1.0 or account.items:
                total += usage
                weights += account.weight
        return head.usage(now_ms) * weights < total * head.weight

    def _is_due(self, queue: _ClassQueue, urgent: _ClassQueue) -> bool:
        """Return whether one more urgent request would break the minimum share."""
        floor = queue.share.floor_share
        earned = queue.credit + floor * self._head_cost(urgent)
        return floor > 0.0 and earned >= self._head_cost(queue)

    def _head_cost(self, queue: _ClassQueue) -> int:
        return queue.accounts[queue.heads[0][2]].items[0].cost_tokens

    def _serve(self, queue: _ClassQueue, item: QueueItem, now_ms: int) -> None:
        cost = item.cost_tokens
        account = queue.accounts[item.account]
        account.decayed_tokens = account.usage(now_ms) + cost
        for other in self._classes.values():
            if other.heads or other is queue:
                other.credit += cost * other.share.floor_share
            else:
                # Idle classes must not accumulate credit for a later burst.
                other.credit = 0.0
        # The lower bound of zero ignores spare capacity used while nothing else waited;
        # a negative credit would starve the class at the start of an overload.
        queue.credit = max(0.0, queue.credit - cost)

    def _remove_idle_accounts(self, queue: _ClassQueue, now_ms: int) -> None:
        idle = [
            name
            for name, account in queue.accounts.items()
            if not account.items and account.usage(now_ms) < 1.0
        ]
        for name in idle:
            del queue.accounts[name]

    def _update_rate(self, now_ms: int, served_tokens: int) -> None:
        elapsed_ms = max(1, now_ms - self._rate_since_ms)
        if not self._rate_since_ms:
            elapsed_ms = RATE_WINDOW_MS
        self._rate_since_ms = now_ms
        fraction = min(1.0, elapsed_ms / RATE_WINDOW_MS)
        self._rate_per_ms += fraction * (served_tokens / elapsed_ms - self._rate_per_ms)

    def _expected_wait_ms(self, queue: _ClassQueue, item: QueueItem) -> float:
        """Return the expected wait at the recent service rate.

        The wait of an account is bounded by its own backlog at its weighted
        share and by the backlog of its class.
        """
        if not self._queued or self._rate_per_ms <= 0.0:
            return 0.0
        weight = self._weights.get(item.account, 1.0)
        own_account = queue.accounts.get(item.account)
        active = [each for each in queue.accounts.values() if each.items]
        others = sum(each.weight for each in active if each is not own_account)
        own_tokens = own_account.tokens if own_account is not None else 0
        by_share = (own_tokens + item.cost_tokens) * (others + weight) / weight
        ahead = min(by_share, queue.tokens)
        return ahead / (self._rate_per_ms * self._class_fraction(queue))

    def _class_fraction(self, queue: _ClassQueue) -> float:
        waiting = [each for each in self._classes.values() if each.heads]
        others = [each for each in waiting if each is not queue]
        if not others:
            return 1.0
        if queue.share.rank <= min(each.share.rank for each in others):
            return 1.0 - sum(each.share.floor_share for each in others)
        return max(queue.share.floor_share, 0.01)

    def _refuse(self, item: QueueItem, reason: str, wait_ms: float) -> Refused:
        require_invariant(
            item.request_id not in self._taken,
            REFUSED_AFTER_DISPATCH,
            request_id=item.request_id,
        )
        if self._metrics is not None:
            self._metrics.count(f"refusal.{reason}")
        jitter = self._rng.uniform(0.75, 1.25)
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)) * jitter
        return Refused(reason, int(retry_ms))
