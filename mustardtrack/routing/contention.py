"""Order in which prompts are admitted when demand exceeds the capacity of the engines.

Load pattern: demand of two to three times the capacity, one account with a multiple of
its usual demand, short prompts of the most urgent rank beside long ones of lower ranks.
Without an order, prompts with the longest time limits fill the queues, and the urgent
ones, whose callers give up sooner, are refused.

Contention of a service begins when a prompt cannot be answered before its caller gives
up, and ends when none was refused for the longest time limit seen. Before it begins and
after it ends nothing is kept and no prompt is refused for the sake of others. During
contention a prompt is refused in two further cases: it would wait longer than the
objective of a more urgent rank that has been served worse than its own, and whose
refused callers have yet to return; or it would
miss its own objective, and its account, or its shared prefix among those of the
account, has got more than its max-min fair share.
"""

from dataclasses import dataclass, field

from mustardtrack.admission.returns import MAX_WAIT_PART, ReturnSchedule
from mustardtrack.logs import define_event, log_event
from mustardtrack.routing.fairshares import FairShares
from mustardtrack.routing.placementmessages import Placement, PlacementRequest

CONTENTION_BEGAN = define_event(
    8841, "INFO", "engines cannot serve all prompts; ranks and fair shares apply"
)
CONTENTION_ENDED = define_event(8842, "INFO", "engines can serve all prompts again")

# Callers abort a stream when its first event takes longer than this many objectives and
# longer than this minimum.
CALLER_TIMEOUT_OBJECTIVES = 4
MIN_CALLER_TIMEOUT_MS = 2000
# Fraction of the caller's timeout beyond which an estimate leads to a refusal, since
# estimates are rough and the caller may retry.
CALLER_TIMEOUT_FRACTION = 0.7
# Weight that usage keeps after half of the longest time limit.
DECAY_FACTOR = 0.5


def longest_wait_ms(request: PlacementRequest) -> float:
    """Return the estimated time to first token beyond which a prompt is refused."""
    timeout_ms = max(
        MIN_CALLER_TIMEOUT_MS, CALLER_TIMEOUT_OBJECTIVES * request.objective_ms
    )
    return CALLER_TIMEOUT_FRACTION * min(timeout_ms, request.time_left_ms)


@dataclass
class _RankDemand:
    """Demand of one rank, by account and by shared prefix of each account.

    Attributes:
        objective_ms: Shortest objective of its prompts.
        awaited_until_ms: Time until which callers that were refused return.
    """

    objective_ms: int
    awaited_until_ms: float = 0.0
    accounts: FairShares = field(default_factory=FairShares)
    prefixes: dict[str, FairShares] = field(default_factory=dict)

    def ask(self, request: PlacementRequest) -> None:
        """Count a request before it is decided."""
        amount = _amount(request)
        self.accounts.ask(request.client, amount)
        self._prefixes_of(request.client).ask(_prefix(request), amount)

    def serve(self, request: PlacementRequest) -> None:
        """Count a request that is admitted."""
        amount = _amount(request)
        self.accounts.serve(request.client, amount)
        self._prefixes_of(request.client).serve(_prefix(request), amount)

    def is_over_share(self, request: PlacementRequest) -> bool:
        """Return whether the account or shared prefix got more than its share."""
        if self.accounts.is_over(request.client):
            return True
        return self._prefixes_of(request.client).is_over(_prefix(request))

    def _prefixes_of(self, account: str) -> FairShares:
        return self.prefixes.setdefault(account, FairShares())

    def decay(self, factor: float) -> None:
        """Give less weight to what was counted so far."""
        self.accounts.decay(factor)
        for shares in self.prefixes.values():
            shares.decay(factor)
        self.prefixes = {
            account: shares
            for account, shares in self.prefixes.items()
            if not shares.is_empty
        }


class _ContendedService:
    """Demand for the engines of one service since its contention began."""

    def __init__(self, now_ms: int) -> None:
        self.refused_ms = now_ms
        self.window_ms = 0
        self.returns = ReturnSchedule()
        self._ranks: dict[int, _RankDemand] = {}
        self._served = 0.0
        self._decayed_ms = now_ms

    @property
    def _decay_period_ms(self) -> float:
        return max(1.0, self.window_ms / 2)

    def admit(
        self,
        request: PlacementRequest,
        first_token_ms: float,
        is_hopeless: bool,
        now_ms: int,
    ) -> bool:
        """Count a request and return whether it is admitted."""
        self.window_ms = max(self.window_ms, request.time_left_ms)
        self._decay(now_ms)
        demand = self._ranks.setdefault(request.rank, _RankDemand(request.objective_ms))
        demand.objective_ms = min(demand.objective_ms, request.objective_ms)
        is_admitted = not is_hopeless
        if not request.is_retry:
            demand.ask(request)
            yields = self._yields_to_others(request, first_token_ms, now_ms)
            is_admitted = is_admitted and not yields
        if is_admitted and not request.is_retry:
            self._served += 1
            demand.serve(request)
        if not is_admitted:
            # Callers wait as told and return once.
            returns_ms = now_ms + MAX_WAIT_PART * request.time_left_ms
            demand.awaited_until_ms = max(demand.awaited_until_ms, returns_ms)
            self.refused_ms = now_ms
        return is_admitted

    def _decay(self, now_ms: int) -> None:
        if now_ms - self._decayed_ms < self._decay_period_ms:
            return
        self._decayed_ms = now_ms
        self._served *= DECAY_FACTOR
        for demand in self._ranks.values():
            demand.decay(DECAY_FACTOR)

    def _yields_to_others(
        self, request: PlacementRequest, first_token_ms: float, now_ms: int
    ) -> bool:
        """Return whether a prompt that would wait leaves its place to others."""
        return self._is_outranked(request, first_token_ms, now_ms) or (
            first_token_ms > request.objective_ms
            and self._ranks[request.rank].is_over_share(request)
        )

    def _is_outranked(
        self, request: PlacementRequest, first_token_ms: float, now_ms: int
    ) -> bool:
        accounts = self._ranks[request.rank].accounts
        served = accounts.served_part(_amount(request))
        return any(
            now_ms < other.awaited_until_ms
            and first_token_ms > other.objective_ms
            and other.accounts.served_part() < served
            for rank, other in self._ranks.items()
            if rank < request.rank
        )

    def interval_ms(self, now_ms: int) -> float:
        """Return the mean time between two admitted prompts."""
        counted_ms = self._decay_period_ms + now_ms - self._decayed_ms
        return counted_ms / max(1.0, self._served)


class Contention:
    """Decides which requests are admitted under contention.

    The leader decides for the prompts that it places, each router for the requests
    whose endpoint it chooses without the leader, among the accounts that it sees. A new
    leader begins without contention; it learns of it with the first prompt that cannot
    be answered in time.

    A request that was sent before is not refused for the sake of others, since work on
    it would be lost.

    Attributes:
        is_enabled: Whether ranks and shares apply. Otherwise only what cannot be served
            in time is refused.
    """

    def __init__(self) -> None:
        self.is_enabled = True
        self._services: dict[str, _ContendedService] = {}

    def enable(self, is_enabled: bool) -> None:
        """Turn ranks and shares on, or off with all that was counted."""
        if not is_enabled:
            self._services.clear()
        self.is_enabled = is_enabled

    def is_contended(self, service: str) -> bool:
        """Return whether the engines of a service cannot serve all prompts."""
        return service in self._services

    def check(
        self,
        request: PlacementRequest,
        first_token_ms: float,
        now_ms: int,
        longest_ms: float | None = None,
        interval_ms: float | None = None,
    ) -> Placement | None:
        """Return the refusal of a request, None if it is admitted.

        Args:
            request: Request to place.
            first_token_ms: Estimated time to its first token, or until it begins.
            now_ms: Monotonic time.
            longest_ms: Longest such time with which it can be served, None if it
                follows from its objective and time limit.
            interval_ms: Time in which one more request can be served, None if it
                follows from those that were admitted.
        """
        if longest_ms is None:
            longest_ms = longest_wait_ms(request)
        is_hopeless = first_token_ms > longest_ms
        if not self.is_enabled:
            return _refuse(first_token_ms, None) if is_hopeless else None
        service = self._find(request.service, is_hopeless, now_ms)
        if service is None:
            return None
        if service.admit(request, first_token_ms, is_hopeless, now_ms):
            return None
        awaited_ms = longest_ms if is_hopeless else request.objective_ms
        return_ms = service.returns.next_ms(
            request.rank,
            max(0.0, first_token_ms - awaited_ms),
            interval_ms or service.interval_ms(now_ms),
            request.time_left_ms,
            now_ms,
        )
        return _refuse(first_token_ms, return_ms)

    def _find(
        self, name: str, is_hopeless: bool, now_ms: int
    ) -> _ContendedService | None:
        service = self._services.get(name)
        if service is None:
            if is_hopeless:
                log_event(CONTENTION_BEGAN, service=name)
                service = self._services[name] = _ContendedService(now_ms)
        elif not is_hopeless and now_ms - service.refused_ms > service.window_ms:
            log_event(CONTENTION_ENDED, service=name)
            del self._services[name]
            service = None
        return service


def _refuse(first_token_ms: float, return_ms: int | None) -> Placement:
    return Placement(
        expected_ms=round(first_token_ms),
        exceeds_caller_timeout=True,
        is_authoritative=True,
        return_ms=return_ms,
    )


def _amount(request: PlacementRequest) -> int:
    return max(1, request.tokens + request.output_tokens)


def _prefix(request: PlacementRequest) -> str:
    """Return the digest of the last shared part, empty if there is none."""
    return request.parts[-2][0] if len(request.parts) > 1 else ""
