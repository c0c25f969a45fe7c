"""Division of the rate limits of endpoints among hosts.

Load pattern: an endpoint in need names the requests per second that it takes from all
hosts together, while callers of many routers send several times as many. The leading
control host, which places all prompts, holds one bucket of the whole limit for each
endpoint. A router that chooses an endpoint itself holds a bucket of its share, so that
the shares add up to the limit whatever the number of routers, without messages between
them. An endpoint without a token is not chosen, and a request for which no endpoint has
one is refused at once.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from mustardtrack.logs import define_event, log_event

LIMIT_NAMED = define_event(8821, "INFO", "endpoint names a limit of requests")
LIMIT_ENDED = define_event(8822, "INFO", "endpoint names no limit of requests any more")

# A limit that no answer has named for this long no longer holds; the endpoint had no
# traffic, or its answers no longer name it.
LIMIT_LIFETIME_MS = 10_000
# Observations of a limit are repeated to the leader after this time.
RENEWAL_MS = 1000
# Routers ask for news at least this often; an unchanged limit is sent to them in one of
# the slots, so that they get it several times within its lifetime.
SPREAD_SLOT_MS = 400
SPREAD_SLOTS = 8
# Requests that are sent in spite of a limit of 0, so that its end is noticed.
MIN_RATE_PER_S = 0.25
# Time for which an unused share is kept.
BURST_S = 1.0
# If shares are less than one request in this time, a part of the hosts is selected
# instead, since each host with a share can use a token at any moment.
MIN_SHARE_PERIOD_S = 2.0
# Share of a selected host.
SELECTED_PER_S = 1.0
# Part of the limit that selected hosts use together; how many are selected varies.
USED_FRACTION = 0.75
MAX_LIMITS = 20_000

# Limit in requests per second, None if there is none, and the age of the answer.
Observation = tuple[float | None, int]


@dataclass
class _Limit:
    """Limit of one endpoint as last observed, and the bucket that enforces it.

    Attributes:
        slot: Time slot in which routers are sent the limit again.
    """

    rate_per_s: float | None
    observed_ms: int
    slot: int = 0
    changed_ms: int = 0
    reported_ms: int | None = None
    tokens: float = 1.0
    filled_ms: int = 0

    def is_current(self, now_ms: int) -> bool:
        return (
            self.rate_per_s is not None
            and now_ms - self.observed_ms <= LIMIT_LIFETIME_MS
        )


class RateLimits:
    """Limits of endpoints and what one host may send to them.

    Args:
        name: Name of the host.

    Examples:
        >>> limits = RateLimits("r1")
        >>> limits.observe("e", 2.0, 0)
        >>> [limits.take("e", 1, now_ms) for now_ms in (0, 0, 500)]
        [True, False, True]
        >>> limits.take("other", 1, 0)
        True
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._limits: OrderedDict[str, _Limit] = OrderedDict()

    def observe(
        self, endpoint: str, rate_per_s: float | None, now_ms: int, age_ms: int = 0
    ) -> None:
        """Record the limit that an answer named; the newest answer counts."""
        observed_ms = now_ms - age_ms
        limit = self._limits.get(endpoint)
        if limit is None:
            if rate_per_s is None:
                return
            slot = xxh3_64_intdigest(endpoint.encode()) % SPREAD_SLOTS
            limit = _Limit(None, observed_ms, slot=slot, filled_ms=now_ms)
            self._limits[endpoint] = limit
            if len(self._limits) > MAX_LIMITS:
                self._limits.popitem(last=False)
        elif observed_ms < limit.observed_ms:
            return
        if limit.rate_per_s != rate_per_s:
            event = LIMIT_ENDED if rate_per_s is None else LIMIT_NAMED
            log_event(event, endpoint=endpoint, rate_per_s=rate_per_s, age_ms=age_ms)
            limit.reported_ms = None
            limit.changed_ms = now_ms
        limit.rate_per_s, limit.observed_ms = rate_per_s, observed_ms

    def merge(self, observed: Mapping[str, Observation], now_ms: int) -> None:
        """Record what other hosts observed; it is not reported again."""
        for endpoint, (rate_per_s, age_ms) in observed.items():
            known = self._limits.get(endpoint)
            if known is not None and now_ms - age_ms <= known.observed_ms:
                continue
            self.observe(endpoint, rate_per_s, now_ms, age_ms)
            if endpoint in self._limits:
                self._limits[endpoint].reported_ms = now_ms

    def take_report(self, now_ms: int) -> dict[str, Observation]:
        """Return the limits that changed or were not reported for some time."""
        report: dict[str, Observation] = {}
        for endpoint, limit in self._limits.items():
            reported_ms = limit.reported_ms
            if reported_ms is not None and limit.observed_ms < reported_ms + RENEWAL_MS:
                continue
            limit.reported_ms = now_ms
            report[endpoint] = (limit.rate_per_s, now_ms - limit.observed_ms)
        return report

    def report_again(self) -> None:
        """Report all limits with the next report, which goes to another leader."""
        for limit in self._limits.values():
            limit.reported_ms = None

    def due_observations(self, now_ms: int) -> dict[str, Observation]:
        """Return what routers must know now: new limits, and others in turn.

        Sending all of them each time would cost megabytes per second where many
        endpoints name limits to many routers.
        """
        self._drop_old(now_ms)
        slot = now_ms // SPREAD_SLOT_MS % SPREAD_SLOTS
        return {
            endpoint: (limit.rate_per_s, now_ms - limit.observed_ms)
            for endpoint, limit in self._limits.items()
            if now_ms - limit.changed_ms <= 2 * SPREAD_SLOT_MS or limit.slot == slot
        }

    def _drop_old(self, now_ms: int) -> None:
        old = [
            endpoint
            for endpoint, limit in self._limits.items()
            if now_ms - limit.observed_ms > LIMIT_LIFETIME_MS
        ]
        for endpoint in old:
            del self._limits[endpoint]

    def rate_per_s(self, endpoint: str, now_ms: int) -> float | None:
        """Return the limit of an endpoint, None if it has none."""
        limit = self._limits.get(endpoint)
        return limit.rate_per_s if limit and limit.is_current(now_ms) else None

    def tokens(self, endpoint: str, host_count: int, now_ms: int) -> float:
        """Return the requests that may be sent at once, infinite without a limit.

        Args:
            endpoint: Endpoint.
            host_count: Hosts among which the limit is divided.
            now_ms: Monotonic time.
        """
        rate_per_s = self.rate_per_s(endpoint, now_ms)
        if rate_per_s is None:
            return math.inf
        limit = self._limits[endpoint]
        share = self._share_per_s(endpoint, rate_per_s, host_count)
        # Unused tokens of many hosts would add up to a burst.
        capacity = 1 + BURST_S * share if host_count == 1 else 1.0
        added = (now_ms - limit.filled_ms) / 1000 * share
        limit.tokens = min(capacity, limit.tokens + added)
        limit.filled_ms = now_ms
        return limit.tokens if share else 0.0

    def wait_ms(self, endpoint: str, host_count: int, now_ms: int) -> float:
        """Return the time until a request may be sent, infinite without a share."""
        if endpoint not in self._limits:
            return 0.0
        missing = 1 - self.tokens(endpoint, host_count, now_ms)
        rate_per_s = self.rate_per_s(endpoint, now_ms)
        if rate_per_s is None or missing <= 0:
            return 0.0
        share = self._share_per_s(endpoint, rate_per_s, host_count)
        return 1000 * missing / share if share else math.inf

    def take(self, endpoint: str, host_count: int, now_ms: int) -> bool:
        """Take a token; return False if there is none."""
        if self.tokens(endpoint, host_count, now_ms) < 1:
            return False
        if self.rate_per_s(endpoint, now_ms) is not None:
            self._limits[endpoint].tokens -= 1
        return True

    def reserve(self, endpoint: str, now_ms: int) -> None:
        """Take the token that is there after :meth:`wait_ms` for the only host."""
        if self.tokens(endpoint, 1, now_ms) < math.inf:
            self._limits[endpoint].tokens -= 1

    def _share_per_s(self, endpoint: str, rate_per_s: float, host_count: int) -> float:
        """Return the requests per second that this host may send."""
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        if host_count <= max(1, rate_per_s * MIN_SHARE_PERIOD_S):
            return rate_per_s / host_count
        fraction = USED_FRACTION * rate_per_s / (SELECTED_PER_S * host_count)
        digest = xxh3_64_intdigest(f"{self._name} {endpoint}".encode())
        return SELECTED_PER_S if digest < fraction * 2**64 else 0.0
