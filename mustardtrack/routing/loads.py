"""Estimated load of endpoints between two load reports."""

import math
from collections import deque
from dataclasses import dataclass, field

RATE_WINDOW_MS = 2000.0
SLOWEST_SCALE = 4.0
FASTEST_SCALE = 0.25
SCALE_STEP = 0.1
SERVICE_STEP = 0.1
DEFAULT_SERVICE_MS = 3000.0
_KEPT_MS = 30_000


@dataclass(frozen=True)
class Candidate:
    """Endpoint that can serve a request, with its last load report.

    Attributes:
        state: ``up``, ``unverified``, ``leaving`` or ``down``.
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
class Estimate:
    """Requests and tokens expected to be ahead of a new request."""

    tokens: float
    queued: float
    running: float


@dataclass
class Running:
    """Attempt of this router at an endpoint."""

    endpoint: str
    incarnation: str
    rank: int
    tokens: int
    started_ms: int
    expected_ms: float
    first_token_ms: int = -1


@dataclass
class EndpointLoad:
    """Own dispatches to one endpoint, and what they showed about its speed."""

    incarnation: str
    restarted: bool = False
    recent: deque[tuple[int, int]] = field(default_factory=deque)
    waiting: dict[str, Running] = field(default_factory=dict)
    open: set[str] = field(default_factory=set)
    sent_tokens: float = 0.0
    sent_requests: float = 0.0
    sent_ms: int = 0
    scale: float = 1.0
    service_ms: float = DEFAULT_SERVICE_MS
    failed_ms: int = -1

    def dispatched(self, attempt: str, running: Running, now_ms: int) -> None:
        """Count a dispatch."""
        self.recent.append((now_ms, running.tokens))
        while self.recent and now_ms - self.recent[0][0] > _KEPT_MS:
            self.recent.popleft()
        self._decay(now_ms)
        self.sent_tokens += running.tokens
        self.sent_requests += 1.0
        self.waiting[attempt] = running
        self.open.add(attempt)

    def first_token(self, attempt: str, running: Running, now_ms: int) -> None:
        """Compare the measured time to first token with the estimate."""
        self.waiting.pop(attempt, None)
        running.first_token_ms = now_ms
        measured_ms = max(1.0, now_ms - running.started_ms)
        ratio = self.scale * measured_ms / max(20.0, running.expected_ms)
        target = min(SLOWEST_SCALE, max(FASTEST_SCALE, ratio))
        self.scale += SCALE_STEP * (target - self.scale)

    def ended(self, attempt: str, running: Running, now_ms: int) -> None:
        """Count the end of an attempt."""
        self.waiting.pop(attempt, None)
        self.open.discard(attempt)
        if running.first_token_ms >= 0:
            took_ms = now_ms - running.first_token_ms
            self.service_ms += SERVICE_STEP * (took_ms - self.service_ms)

    def estimate(
        self, candidate: Candidate, rank: int, now_ms: int, peers: int, rate: float
    ) -> Estimate:
        """Return the load expected now ahead of a request of this rank.

        The last report is reduced by the work done since then and increased by
        this router's dispatches since then and by the same rate of dispatches
        from each of ``peers`` other routers, which no report shows yet.

        Args:
            candidate: Endpoint and its report.
            rank: Rank of the class of the request, 0 most urgent.
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
        hidden = peers * age_ms / RATE_WINDOW_MS
        added_tokens = own_tokens + hidden * self.sent_tokens
        added = own_requests + hidden * self.sent_requests
        tokens = max(0.0, candidate.queued_tokens + added_tokens - rate * age_ms)
        part = self._part_ahead(rank)
        queued = (candidate.queued + added) * part
        return Estimate(tokens * part, queued, float(candidate.running))

    def _part_ahead(self, rank: int) -> float:
        """Return the part of the queue that an engine serves before this rank.

        Reports do not divide the queue by class, so this router's own waiting
        requests stand for all of them.
        """
        total = sum(each.tokens + 1 for each in self.waiting.values())
        if not total:
            return 1.0
        ahead = sum(
            each.tokens + 1 for each in self.waiting.values() if each.rank <= rank
        )
        return ahead / total

    def _decay(self, now_ms: int) -> None:
        if now_ms > self.sent_ms:
            factor = math.exp((self.sent_ms - now_ms) / RATE_WINDOW_MS)
            self.sent_tokens *= factor
            self.sent_requests *= factor
            self.sent_ms = now_ms
