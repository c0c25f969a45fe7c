"""Allotments of client accounts: rate limits with a burst over all routers.

Load pattern: one account sends several times what it is allotted, through all routers
at once, while the others stay below. What the account has must be served, nothing may
be served beyond it, and that must hold while routers start, stop, freeze or are cut
off and while the leader changes.

The leading control host holds one token bucket for each account. A router that cannot
ask the leader uses its share of the rate from the moment at which it last heard from
it; what routers may use in this way is kept back from the bucket of the leader. Usage
in any window is therefore at most the rate times the window, the burst, and the margin
by which the deployment lets an allotment be exceeded.

``AccountLimits`` serves the product's own caller interface, whose routers have no
leader to ask: they divide the limits of an account by what each of them used lately.
Both faces count with the same ``Bucket``.

Times are monotonic milliseconds of the process that calls.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mustardtrack.admission.outcomes import ADMITTED, Admitted, Refused
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports.metrics import Metrics

ALLOTMENT_CHANGED = define_event(
    8823, "INFO", "allotment of a client account has changed"
)
ACCOUNT_LIMITED = define_event(
    8824, "INFO", "client account has used its allotment, requests are refused"
)

# Parts of the margin, which add up to one in each window. A bucket is larger than the
# burst by the first one, so that requests which arrive in another order than they were
# sent are not refused. A new leader does not know what others admitted and begins with
# the second one, or after several changes in one window with what a series of halves
# leaves of the third one. Routers may use the last one before they are held missing.
LENIENCY = 0.25
NEW_LEADER_PART = 0.375
FURTHER_LEADERS_PART = 0.125
MISSED_PART = 0.25
# Longest time after which a refused caller is told to return.
MAX_WAIT_MS = 60_000
# Time between two log lines on the same account.
LOG_PERIOD_MS = 5000
# Slots in which the usage of a window is counted.
USAGE_SLOTS = 16
# Part of the rate that missing routers may use before it is kept back.
IGNORED_MISSING = 0.02
# A router that was heard from within this time asks the leader. Routers report every
# 0.4 s.
PRESENT_MS = 1000
# A withdrawn count arrives within the time-out of a request to the leader, the period
# of progress messages and the delay of the link, all below 0.1 s on a sound link.
COUNT_LIFETIME_MS = 2000
# Bounds the memory for counts; older ones can't be withdrawn any more.
MAX_COUNTS = 20_000
EXCHANGE_INTERVAL_MS = 1000
PEER_LEASE_MS = 3000
BURST_MS = 2000
EVEN_FRACTION = 0.25


@dataclass(frozen=True)
class Allotment:
    """Rate limit of one account.

    Attributes:
        rate_per_s: Requests or tokens per second.
        burst: Requests or tokens beyond the rate.
        counts_tokens: Whether tokens are counted instead of requests.
        tokens_without_usage: Tokens of a request that does not state its size.

    Examples:
        >>> Allotment(100.0, 50.0, True, 200).amount(30, 5)
        35
        >>> Allotment(100.0, 50.0, True, 200).amount(0, 0)
        200
        >>> Allotment(100.0, 50.0, False, 200).amount(30, 5)
        1
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    tokens_without_usage: int = 0

    def amount(self, prompt_tokens: int, output_tokens: int) -> int:
        """Return what a request counts.

        Args:
            prompt_tokens: Stated tokens of the prompt, 0 if it states none.
            output_tokens: Stated maximum of generated tokens.
        """
        if not self.counts_tokens:
            return 1
        return prompt_tokens + output_tokens or self.tokens_without_usage


@dataclass(frozen=True)
class AllotmentTerms:
    """By how much a deployment lets allotments be exceeded.

    Attributes:
        window_s: Length of the window in which usage is counted.
        overshoot: Part of the allotment of a window by which it may be exceeded.
        slack: Amount by which it may be exceeded in addition.
    """

    window_s: float = 10.0
    overshoot: float = 0.0
    slack: float = 0.0

    @classmethod
    def of(
        cls, window_s: float | None, overshoot: float | None, slack: float | None
    ) -> "AllotmentTerms":
        """Return terms with the defaults for values that are not set."""
        return cls(window_s or cls.window_s, overshoot or 0.0, slack or 0.0)

    def margin(self, allotment: Allotment) -> float:
        """Return by how much usage in one window may exceed the allotment."""
        in_window = allotment.rate_per_s * self.window_s + allotment.burst
        return self.overshoot * in_window + self.slack


def new_leader_part(changes: int) -> float:
    """Return the part of the margin with which a new leader begins.

    Args:
        changes: Changes of the leader within one window, with the last one.

    Examples:
        >>> [new_leader_part(changes) for changes in (1, 2, 3)]
        [0.375, 0.0625, 0.03125]
    """
    if changes <= 1:
        return NEW_LEADER_PART
    return FURTHER_LEADERS_PART * 0.5 ** min(changes - 1, 60)


class LeaderTerms:
    """Terms that a control host has seen, to count changes of the leader.

    A term has one leader at most. Before the process has run for a window, each term
    may have begun within it.

    Args:
        window_ms: Time in which changes are counted.

    Examples:
        >>> terms = LeaderTerms(8000)
        >>> terms.observe(1, 0), terms.changes(0)
        (None, 1)
        >>> terms.observe(2, 9000), terms.changes(9000)
        (None, 1)
        >>> terms.observe(4, 9050), terms.changes(9050)
        (None, 3)
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._seen: list[tuple[int, int]] = []

    def observe(self, term: int, now_ms: int) -> None:
        """Record the current term."""
        if not self._seen or term > self._seen[-1][1]:
            self._forget(now_ms)
            self._seen.append((now_ms, term))

    def changes(self, now_ms: int) -> int:
        """Return how many terms may have begun within the window."""
        self._forget(now_ms)
        if not self._seen:
            return 0
        is_first_old = self._seen[0][0] < now_ms - self._window_ms
        return self._seen[-1][1] - (self._seen[0][1] if is_first_old else 0)

    def _forget(self, now_ms: int) -> None:
        while len(self._seen) > 1 and self._seen[1][0] < now_ms - self._window_ms:
            del self._seen[0]


@dataclass(slots=True)
class Bucket:
    """Token bucket, which takes up what a rate gives.

    Attributes:
        level: What may be used now, below 0 after it was overdrawn.
        filled_ms: Time up to which the rate has been taken up.

    Examples:
        >>> bucket = Bucket(level=0.0, filled_ms=1000)
        >>> bucket.fill(rate_per_s=10.0, capacity=50.0, now_ms=3000), bucket.level
        (2000, 20.0)
        >>> bucket.fill(rate_per_s=10.0, capacity=50.0, now_ms=0), bucket.level
        (0, 20.0)
    """

    level: float
    filled_ms: int

    def fill(self, rate_per_s: float, capacity: float, now_ms: int) -> int:
        """Take up the rate until now and return the time since the last call in ms."""
        elapsed_ms = max(0, now_ms - self.filled_ms)
        self.filled_ms += elapsed_ms
        self.level = min(capacity, self.level + rate_per_s * elapsed_ms / 1000)
        return elapsed_ms


class _WindowUsage:
    """Usage in the last window, counted in slots and at most one slot too much."""

    def __init__(self, window_ms: float) -> None:
        self._slot_ms = window_ms / USAGE_SLOTS
        self._slots = [0.0] * (USAGE_SLOTS + 1)
        self._newest = 0

    def add(self, amount: float, now_ms: int) -> None:
        self._advance(now_ms)
        self._slots[self._newest % len(self._slots)] += amount

    def total(self, now_ms: int) -> float:
        self._advance(now_ms)
        return sum(self._slots)

    def _advance(self, now_ms: int) -> None:
        newest = max(self._newest, int(now_ms // self._slot_ms))
        for slot in range(
            newest - min(newest - self._newest, len(self._slots)), newest
        ):
            self._slots[(slot + 1) % len(self._slots)] = 0.0
        self._newest = newest


@dataclass
class _AccountBucket(Bucket):
    """Bucket of one account.

    Attributes:
        usage: What was used in the last window.
        known_from_ms: Time from which all usage is known.
        promised: What refused callers were told to return for.
        withheld: What was kept back for missing routers and is not reported as used.
        withheld_ms: Time at which routers were missing last.
    """

    allotment: Allotment
    capacity: float
    usage: _WindowUsage
    known_from_ms: int
    promised: float = 0.0
    logged_ms: int = -LOG_PERIOD_MS
    withheld: float = 0.0
    withheld_ms: int = 0

    def fill_part(self, known_part: float, now_ms: int) -> None:
        rate_per_s = self.allotment.rate_per_s
        elapsed_ms = self.fill(known_part * rate_per_s, self.capacity, now_ms)
        given = rate_per_s * elapsed_ms / 1000
        added = known_part * given
        if known_part < 1:
            self.withheld += given - added
            self.withheld_ms = self.filled_ms
        elif self.filled_ms - self.withheld_ms > PRESENT_MS:
            self.withheld = 0.0
        self.promised = max(0.0, self.promised - added)


class Allotments:
    """Buckets of the process that admits for all routers.

    Args:
        terms: By how much allotments may be exceeded.

    Examples:
        >>> allotments = Allotments(AllotmentTerms())
        >>> allotments.update({"hotel": Allotment(1.0, 2.0)}, now_ms=0)
        >>> allotments.update({"hotel": Allotment(1.0, 2.0)}, now_ms=5000)
        >>> [allotments.take("hotel", 1, 5000) for _ in range(3)]
        [0, 0, 1000]
    """

    def __init__(self, terms: AllotmentTerms) -> None:
        self._terms = terms
        self._window_ms = terms.window_s * 1000
        self._buckets: dict[str, _AccountBucket] = {}
        self._has_adopted = False
        self._known_part = 1.0

    def update(self, allotments: Mapping[str, Allotment], now_ms: int) -> None:
        """Adopt the allotments of a configuration.

        A bucket of the first configuration begins with what the margin allows, since
        another leader may have admitted a burst just before. Other new accounts begin
        with their burst.
        """
        for account in self._buckets.keys() - allotments.keys():
            del self._buckets[account]
            log_event(ALLOTMENT_CHANGED, account=account, rate_per_s=None, burst=None)
        for account, allotment in allotments.items():
            bucket = self._buckets.get(account)
            if bucket is not None and bucket.allotment == allotment:
                continue
            margin = self._terms.margin(allotment)
            capacity = allotment.burst + LENIENCY * margin
            if bucket is None:
                level = capacity if self._has_adopted else NEW_LEADER_PART * margin
                usage = _WindowUsage(self._window_ms)
                level = min(capacity, level)
                bucket = _AccountBucket(
                    level, now_ms, allotment, capacity, usage, now_ms
                )
                self._buckets[account] = bucket
            else:
                self._fill(bucket, now_ms)
                bucket.allotment, bucket.capacity = allotment, capacity
                bucket.level = min(bucket.level, capacity)
            log_event(
                ALLOTMENT_CHANGED,
                account=account,
                rate_per_s=allotment.rate_per_s,
                burst=allotment.burst,
            )
        self._has_adopted = True

    def forget_usage(self, now_ms: int, changes: int = 1) -> None:
        """Begin again as a new leader, which does not know what others admitted.

        Args:
            now_ms: Monotonic time.
            changes: Changes of the leader within one window, with the last one.
        """
        part = new_leader_part(changes)
        for bucket in self._buckets.values():
            self._fill(bucket, now_ms)
            margin = self._terms.margin(bucket.allotment)
            bucket.level = min(bucket.level, part * margin)
            bucket.promised, bucket.known_from_ms = 0.0, now_ms
            bucket.withheld = 0.0

    def resume(self, now_ms: int) -> None:
        """Continue as the leader of the next term, between which no other one led.

        What the allotment gave meanwhile was left to the routers.
        """
        for bucket in self._buckets.values():
            bucket.filled_ms = max(now_ms, bucket.filled_ms)
            bucket.known_from_ms = now_ms
            bucket.withheld = 0.0

    def record_routers(self, present: int, known: int) -> None:
        """Keep back the shares of routers that may admit without the leader.

        Args:
            present: Routers heard from lately.
            known: These, and those that may still work on their own.
        """
        missing = 1 - present / known if known > 0 else 0.0
        self._known_part = 1 - missing if missing > IGNORED_MISSING else 1.0

    def take(self, account: str, amount: float, now_ms: int) -> int:
        """Count a request, or return when its caller may return.

        Returns:
            0 if the request is admitted, otherwise the time in ms after which the
            allotment has room for it behind the callers that were refused before.
        """
        bucket = self._buckets.get(account)
        if bucket is None or amount <= 0:
            return 0
        self._fill(bucket, now_ms)
        excess = self._excess(bucket, amount, now_ms)
        needed = self._needed_level(bucket, amount)
        if excess <= 0 and bucket.level >= needed:
            bucket.level -= amount
            bucket.usage.add(amount, now_ms)
            return 0
        if now_ms - bucket.logged_ms >= LOG_PERIOD_MS:
            bucket.logged_ms = now_ms
            log_event(
                ACCOUNT_LIMITED, account=account, level=bucket.level, amount=amount
            )
        rate_per_ms = max(1e-9, self._rate_per_ms(bucket))
        if excess > 0:
            return max(1, round(min(MAX_WAIT_MS, excess / rate_per_ms)))
        missing = needed - bucket.level + bucket.promised
        bucket.promised = min(bucket.promised + amount, rate_per_ms * MAX_WAIT_MS)
        return max(1, min(MAX_WAIT_MS, round(missing / rate_per_ms)))

    def _needed_level(self, bucket: _AccountBucket, amount: float) -> float:
        """Return the level from which a request is admitted.

        It is the same for small and large requests up to the lenient part of the
        margin. Otherwise small requests would keep the level of an account at its
        limit below what a large one needs, so that no large one would be served.
        """
        reserve = 0.0
        if bucket.allotment.counts_tokens:
            reserve = LENIENCY * self._terms.margin(bucket.allotment)
        return min(max(amount, reserve), bucket.capacity)

    def record_usage(self, account: str, amount: float, now_ms: int) -> None:
        """Count what a router admitted on its own, or give back what did not run.

        An amount that is not finite is ignored; it would lock the bucket, or fill it,
        for all later requests.

        Args:
            account: Account.
            amount: What was used, negative for what is given back.
            now_ms: Monotonic time.
        """
        bucket = self._buckets.get(account)
        if bucket is not None and math.isfinite(amount):
            self._fill(bucket, now_ms)
            # What was kept back for missing routers does not count a second time.
            kept_back = min(bucket.withheld, max(0.0, amount))
            bucket.withheld -= kept_back
            bucket.level = min(bucket.capacity, bucket.level - amount + kept_back)
            # What is given back may have been used before the window.
            bucket.usage.add(max(0.0, amount), now_ms)

    def _excess(self, bucket: _AccountBucket, amount: float, now_ms: int) -> float:
        """Return by how much a request larger than the bucket exceeds its window.

        Others may have used the rate and a bucket before all usage was known.
        """
        if amount <= bucket.capacity:
            return 0.0
        rate_per_s, capacity = bucket.allotment.rate_per_s, bucket.capacity
        used = bucket.usage.total(now_ms)
        unknown_ms = bucket.known_from_ms + self._window_ms - now_ms
        if unknown_ms > 0:
            used += capacity + rate_per_s * unknown_ms / 1000
        return used + amount - rate_per_s * self._terms.window_s - capacity

    def _fill(self, bucket: _AccountBucket, now_ms: int) -> None:
        most = bucket.allotment.rate_per_s * self._terms.window_s
        # Usage before the window does not count; the unit may have changed, too.
        bucket.level = max(bucket.level, -most)
        bucket.fill_part(self._known_part, now_ms)
        bucket.withheld = min(most, bucket.withheld)

    def _rate_per_ms(self, bucket: _AccountBucket) -> float:
        return self._known_part * bucket.allotment.rate_per_s / 1000


class CountedRequests:
    """Requests that the leader counted lately, so that each is counted once.

    A router that got no answer withdraws the count, which may arrive before the request
    to count.

    Examples:
        >>> counted = CountedRequests()
        >>> counted.add("c1", "hotel", 5, now_ms=0)
        >>> counted.knows("c1", now_ms=10), counted.remove("c1")
        (True, ('hotel', 5))
        >>> counted.withdraw("c2", now_ms=10), counted.knows("c2", now_ms=20)
        (None, True)
    """

    def __init__(self) -> None:
        self._requests: dict[str, tuple[int, str, float]] = {}

    def knows(self, count_id: str, now_ms: int) -> bool:
        """Return whether a request was counted or withdrawn lately."""
        while self._requests:
            oldest = next(iter(self._requests))
            is_old = self._requests[oldest][0] < now_ms - COUNT_LIFETIME_MS
            if not is_old and len(self._requests) < MAX_COUNTS:
                break
            del self._requests[oldest]
        return count_id in self._requests

    def add(self, count_id: str, account: str, amount: float, now_ms: int) -> None:
        """Record a request that was counted."""
        if count_id:
            self._requests[count_id] = (now_ms, account, amount)

    def remove(self, count_id: str) -> tuple[str, float] | None:
        """Forget a request and return its account and amount, None if not known."""
        found = self._requests.pop(count_id, None)
        return found and found[1:]

    def withdraw(self, count_id: str, now_ms: int) -> tuple[str, float] | None:
        """Return the account and amount to give back, None if not counted.

        The request is not counted any more if it arrives later.
        """
        removed = self.remove(count_id)
        self.knows(count_id, now_ms)
        self.add(count_id, "", 0, now_ms)
        return removed

    def clear(self) -> None:
        """Forget all requests."""
        self._requests.clear()


class AllotmentShare:
    """Share of a router that cannot ask the process that admits for all.

    The share grows from the moment at which the router last heard from the leader. Two
    routers that take over requests of one account can therefore not use, in addition,
    what they did not use while the leader admitted.

    Args:
        terms: By how much allotments may be exceeded.

    Examples:
        >>> share = AllotmentShare(AllotmentTerms(slack=100.0))
        >>> hotel = Allotment(10.0, 20.0)
        >>> share.take("hotel", hotel, 1, routers=2, alone_since_ms=0, now_ms=100)
        100
        >>> share.take("hotel", hotel, 1, routers=2, alone_since_ms=0, now_ms=200)
        0
    """

    def __init__(self, terms: AllotmentTerms) -> None:
        self._terms = terms
        self._alone_since_ms = -1
        self._used: dict[str, float] = {}
        self._unreported: dict[str, float] = {}

    def take(
        self,
        account: str,
        allotment: Allotment,
        amount: float,
        routers: int,
        alone_since_ms: int,
        now_ms: int,
    ) -> int:
        """Count a request, or return when its caller may return.

        Args:
            account: Account of the request.
            allotment: Its allotment.
            amount: What the request counts.
            routers: Routers that share the allotment.
            alone_since_ms: Time at which this router last heard from the leader.
            now_ms: Monotonic time.

        Returns:
            0 if the request is admitted, otherwise a time in ms.
        """
        if alone_since_ms != self._alone_since_ms:
            self._alone_since_ms = alone_since_ms
            self._used.clear()
        rate_per_ms = allotment.rate_per_s / 1000 / max(1, routers)
        unnoticed = self._unnoticed(allotment, routers)
        alone_ms = max(0, now_ms - alone_since_ms)
        earned = min(unnoticed, rate_per_ms * alone_ms)
        earned += rate_per_ms * max(0, alone_ms - PRESENT_MS)
        used = self._used.get(account, 0.0)
        # What was not used for a whole window may not be used in the next one, and
        # nothing larger fits into it.
        at_most = rate_per_ms * self._terms.window_s * 1000
        if amount > at_most:
            return MAX_WAIT_MS
        if earned - used > at_most:
            used = earned - at_most
        needed = used + amount
        if earned < needed:
            earned_after_ms = needed / max(1e-9, rate_per_ms)
            if needed > unnoticed:
                earned_after_ms += PRESENT_MS - unnoticed / max(1e-9, rate_per_ms)
            return max(1, min(MAX_WAIT_MS, math.ceil(earned_after_ms - alone_ms)))
        self._used[account] = used + amount
        self.record(account, amount)
        return 0

    def _unnoticed(self, allotment: Allotment, routers: int) -> float:
        """Return what may be used before the leader holds this router missing.

        Until then the leader gives the whole rate to the others.
        """
        earned = allotment.rate_per_s / 1000 * PRESENT_MS
        margin = MISSED_PART * self._terms.margin(allotment)
        return min(earned, margin) / max(1, routers)

    def record(self, account: str, amount: float) -> None:
        """Note usage for the leader, negative for a request that did not run."""
        self._unreported[account] = self._unreported.get(account, 0.0) + amount

    def take_report(self) -> dict[str, float]:
        """Return the usage since the last report."""
        report, self._unreported = self._unreported, {}
        return report


# Admitted requests and tokens, by account.
Usage = Mapping[str, tuple[int, int]]


@dataclass(frozen=True)
class Limit:
    """Limits of one account; 0 means unlimited."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    max_concurrent: int = 0


@dataclass
class _AccountState:
    requests: Bucket
    tokens: Bucket
    concurrent: int = 0
    unannounced: tuple[int, int] = (0, 0)
    announced_usage: float = 0.0
    effective_usage: float = 0.0
    share: float = 0.0


@dataclass
class _Peer:
    last_heard_ms: int
    usage: dict[str, float] = field(default_factory=dict)


class AccountLimits:
    """This router's share of the limits of each account.

    Of ``routers`` configured routers, those heard from within ``PEER_LEASE_MS``
    and this one form a group of ``k``. The group uses ``k / routers`` of each
    limit; within it a quarter is divided evenly and the rest by recent usage. The
    shares of groups separated by a partition therefore add up to at most one limit.

    Error bound: a change of demand is visible to peers one exchange later, so the
    shares add up to one only when all routers use the same announcements. This
    router applies its own announcement one exchange late, when its peers have
    received it too. While announcements are lost or delayed by more than
    ``EXCHANGE_INTERVAL_MS``, the sum of the shares is below two when demand moves
    between routers, and each router can spend ``BURST_MS`` of its share at once.
    The concurrency share is rounded up, so the sum can exceed the limit by one
    request per router.

    Examples:
        >>> limits = AccountLimits(routers=1)
        >>> limits.set_limit("hotel", Limit(requests_per_second=1.0), now_ms=0)
        >>> [limits.admit("hotel", 10, now_ms=0) for _ in range(3)][-1].reason
        'request_rate'
    """

    def __init__(self, routers: int, metrics: Metrics | None = None):
        self._routers = routers
        self._metrics = metrics
        self._limits: dict[str, Limit] = {}
        self._accounts: dict[str, _AccountState] = {}
        self._peers: dict[str, _Peer] = {}

    def set_limit(self, account: str, limit: Limit, now_ms: int) -> None:
        """Set or change the limits of an account."""
        is_known = account in self._limits
        self._limits[account] = limit
        if not is_known:
            router_burst_s = BURST_MS / 1000 / self._routers
            self._accounts[account] = _AccountState(
                requests=Bucket(
                    max(1.0, limit.requests_per_second * router_burst_s), now_ms
                ),
                tokens=Bucket(limit.tokens_per_second * router_burst_s, now_ms),
                share=1.0 / self._routers,
            )

    def remove_limit(self, account: str) -> None:
        """Remove the limits of an account."""
        self._limits.pop(account, None)
        self._accounts.pop(account, None)

    def admit(self, account: str, tokens: int, now_ms: int) -> Admitted | Refused:
        """Admit one request of ``tokens`` and charge it, or refuse it.

        A request is admitted while the token balance is positive and may overdraw
        it; otherwise a request larger than the burst would always be refused.
        """
        limit = self._limits.get(account)
        if limit is None:
            return ADMITTED
        state = self._accounts[account]
        self._refill(state, limit, now_ms)
        refused = self._find_exceeded_limit(state, limit)
        if refused is not None:
            return refused
        state.requests.level -= 1.0
        state.tokens.level -= tokens
        state.concurrent += 1
        state.unannounced = (state.unannounced[0] + 1, state.unannounced[1] + tokens)
        return ADMITTED

    def release(self, account: str) -> None:
        """Record the end of an admitted request."""
        state = self._accounts.get(account)
        if state is not None and state.concurrent > 0:
            state.concurrent -= 1

    def announce(self, now_ms: int) -> dict[str, tuple[int, int]]:
        """Return requests and tokens admitted per account since the last call.

        Must be called once per exchange, with the result sent to all peers.
        """
        result = {}
        for account, state in self._accounts.items():
            if state.unannounced != (0, 0):
                result[account] = state.unannounced
            # The previous announcement takes effect now; see the error bound above.
            state.effective_usage = state.announced_usage
            state.announced_usage = _smooth(state.announced_usage, state.unannounced)
            state.unannounced = (0, 0)
            state.share = self._share(account, state, now_ms)
        return result

    def record_peer_usage(self, peer: str, usage: Usage, now_ms: int) -> None:
        """Record the announcement of a peer; an empty one renews its lease."""
        peer_state = self._peers.setdefault(peer, _Peer(now_ms))
        peer_state.last_heard_ms = now_ms
        for account in peer_state.usage.keys() | usage.keys():
            peer_state.usage[account] = _smooth(
                peer_state.usage.get(account, 0.0), usage.get(account, (0, 0))
            )

    def share(self, account: str) -> float:
        """Return the fraction of the account's limits that this router may use."""
        state = self._accounts.get(account)
        return state.share if state is not None else 1.0

    def _share(self, account: str, state: _AccountState, now_ms: int) -> float:
        heard = [
            peer
            for peer in self._peers.values()
            if now_ms - peer.last_heard_ms <= PEER_LEASE_MS
        ]
        group_size = min(self._routers, 1 + len(heard))
        total = state.effective_usage + sum(
            peer.usage.get(account, 0.0) for peer in heard
        )
        by_usage = state.effective_usage / total if total > 1e-3 else 1.0 / group_size
        share_in_group = EVEN_FRACTION / group_size + (1 - EVEN_FRACTION) * by_usage
        return group_size / self._routers * share_in_group

    def _refill(self, state: _AccountState, limit: Limit, now_ms: int) -> None:
        rates = (limit.requests_per_second, limit.tokens_per_second)
        request_rate, token_rate = (rate * state.share for rate in rates)
        burst_s = BURST_MS / 1000
        state.requests.fill(request_rate, max(1.0, request_rate * burst_s), now_ms)
        state.tokens.fill(token_rate, token_rate * burst_s, now_ms)

    def _find_exceeded_limit(
        self, state: _AccountState, limit: Limit
    ) -> Refused | None:
        concurrent = -(-limit.max_concurrent * state.share // 1)
        if limit.max_concurrent and state.concurrent >= max(1, concurrent):
            return self._refuse("concurrency", EXCHANGE_INTERVAL_MS)
        if limit.requests_per_second and state.requests.level < 1.0:
            rate = limit.requests_per_second * state.share
            return self._refuse(
                "request_rate", _wait_ms(1.0 - state.requests.level, rate)
            )
        if limit.tokens_per_second and state.tokens.level <= 0.0:
            rate = limit.tokens_per_second * state.share
            return self._refuse("token_rate", _wait_ms(1.0 - state.tokens.level, rate))
        return None

    def _refuse(self, reason: str, retry_after_ms: int) -> Refused:
        if self._metrics is not None:
            self._metrics.count(f"refusal.{reason}")
        return Refused(reason, retry_after_ms)


def _smooth(before: float, admitted: tuple[int, int]) -> float:
    # A request counts as 100 tokens, so that limits on requests alone are also
    # divided by usage.
    return 0.5 * before + 0.5 * (admitted[1] + 100 * admitted[0])


def _wait_ms(amount: float, per_second: float) -> int:
    return min(MAX_WAIT_MS, int(1000 * amount / max(per_second, 1e-6)) + 1)
