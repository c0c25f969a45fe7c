"""Estimation of endpoint load between two load reports."""

import math
from collections import deque
from dataclasses import dataclass, field

# Time constant of the exponential decay of dispatched tokens and requests.
RATE_WINDOW_MS = 2000.0
MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.25
SLOWDOWN_EWMA_WEIGHT = 0.1
SERVICE_TIME_EWMA_WEIGHT = 0.1
DEFAULT_SERVICE_TIME_MS = 3000.0
_DISPATCH_HISTORY_MS = 30_000


@dataclass(frozen=True)
class Candidate:
    """Endpoint that can serve a request, with its last load report.

    Attributes:
        state: ``up``, ``unverified``, ``leaving`` or ``down``.
        running: Requests that the endpoint runs.
        queued: Requests that wait for prefill.
        queued_tokens: Uncached prompt tokens that wait for prefill.
        load_age_ms: Age of the report when the candidate was built.
    """

    name: str
    incarnation: str
    zone: str
    state: str = "up"
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    load_age_ms: int = 0


@dataclass(frozen=True)
class LoadEstimate:
    """Requests and tokens expected to be ahead of a new request."""

    tokens: float
    queued: float
    running: float


@dataclass
class RunningAttempt:
    """Attempt of this router that is running at an endpoint.

    Attributes:
        prefill_tokens: Prompt tokens expected not to be cached.
    """

    endpoint: str
    incarnation: str
    priority: int
    prefill_tokens: int
    started_ms: int
    expected_ms: float
    first_token_ms: int = -1


@dataclass
class EndpointLoad:
    """This router's dispatches to one endpoint and the speed measured from them.

    Attributes:
        restarted: Whether an earlier incarnation of the endpoint was known.
        recent: Times and tokens of recent dispatches.
        waiting: Attempts without a first token.
        open: Attempts that have not ended.
        window_tokens: Dispatched tokens, exponentially decayed.
        window_requests: Dispatched requests, exponentially decayed.
        decayed_ms: Time up to which both are decayed.
        slowdown: Moving ratio of measured to estimated time to first token.
        service_ms: Moving average of the time from first token to end.
        failed_ms: Time of the last failure, -1 before the first.
    """

    incarnation: str
    restarted: bool = False
    recent: deque[tuple[int, int]] = field(default_factory=deque)
    waiting: dict[str, RunningAttempt] = field(default_factory=dict)
    open: set[str] = field(default_factory=set)
    window_tokens: float = 0.0
    window_requests: float = 0.0
    decayed_ms: int = 0
    slowdown: float = 1.0
    service_ms: float = DEFAULT_SERVICE_TIME_MS
    failed_ms: int = -1

    def record_dispatch(
        self, attempt: str, running: RunningAttempt, now_ms: int
    ) -> None:
        """Record a dispatch."""
        self.recent.append((now_ms, running.prefill_tokens))
        while self.recent and now_ms - self.recent[0][0] > _DISPATCH_HISTORY_MS:
            self.recent.popleft()
        self._decay(now_ms)
        self.window_tokens += running.prefill_tokens
        self.window_requests += 1.0
        self.waiting[attempt] = running
        self.open.add(attempt)

    def record_first_token(
        self, attempt: str, running: RunningAttempt, now_ms: int
    ) -> None:
        """Update the slowdown by the measured time to first token."""
        self.waiting.pop(attempt, None)
        running.first_token_ms = now_ms
        measured_ms = max(1.0, now_ms - running.started_ms)
        ratio = self.slowdown * measured_ms / max(20.0, running.expected_ms)
        target = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        self.slowdown += SLOWDOWN_EWMA_WEIGHT * (target - self.slowdown)

    def record_end(self, attempt: str, running: RunningAttempt, now_ms: int) -> None:
        """Record the end of an attempt."""
        self.waiting.pop(attempt, None)
        self.open.discard(attempt)
        if running.first_token_ms >= 0:
            took_ms = now_ms - running.first_token_ms
            self.service_ms += SERVICE_TIME_EWMA_WEIGHT * (took_ms - self.service_ms)

    def estimate(
        self, candidate: Candidate, priority: int, now_ms: int, peers: int, rate: float
    ) -> LoadEstimate:
        """Return the load expected ahead of a request of this priority.

        The last report is reduced by the prefill done since then. It is increased
        by this router's dispatches since then and by an equal rate of dispatches
        from each of ``peers`` other routers, which no report contains yet.

        Args:
            candidate: Endpoint and its report.
            priority: Priority of the request, 0 most urgent.
            now_ms: Current time.
            peers: Number of other routers.
            rate: Prefill rate in tokens per ms.
        """
        age_ms = candidate.load_age_ms
        own_tokens = 0
        own_requests = 0
        for sent_ms, sent_tokens in reversed(self.recent):
            if sent_ms <= now_ms - age_ms:
                break
            own_tokens += sent_tokens
            own_requests += 1
        self._decay(now_ms)
        # In a steady state the decayed sums equal the dispatches of one window.
        unreported_windows = peers * age_ms / RATE_WINDOW_MS
        added_tokens = own_tokens + unreported_windows * self.window_tokens
        added = own_requests + unreported_windows * self.window_requests
        tokens = max(0.0, candidate.queued_tokens + added_tokens - rate * age_ms)
        fraction = self._fraction_ahead(priority)
        queued = (candidate.queued + added) * fraction
        return LoadEstimate(tokens * fraction, queued, float(candidate.running))

    def _fraction_ahead(self, priority: int) -> float:
        """Return the fraction of the queue that an engine serves before this priority.

        Load reports do not divide the queue by class, so this router's own waiting
        requests serve as a sample of the queue.
        """
        total = sum(each.prefill_tokens + 1 for each in self.waiting.values())
        if not total:
            return 1.0
        ahead = sum(
            each.prefill_tokens + 1
            for each in self.waiting.values()
            if each.priority <= priority
        )
        return ahead / total

    def _decay(self, now_ms: int) -> None:
        if now_ms > self.decayed_ms:
            factor = math.exp((self.decayed_ms - now_ms) / RATE_WINDOW_MS)
            self.window_tokens *= factor
            self.window_requests *= factor
            self.decayed_ms = now_ms
