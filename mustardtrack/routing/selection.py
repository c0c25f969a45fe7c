"""Choice of an endpoint by estimated time to first token."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from mustardtrack.logs.events import define_event, require_invariant
from mustardtrack.routing.choices import (
    Choice,
    Refusal,
    RouteRequest,
    SelectionSettings,
)
from mustardtrack.routing.index import NO_MATCH, CacheIndex, Match
from mustardtrack.routing.loads import Candidate, EndpointLoad, Estimate, Running
from mustardtrack.routing.placement import Placement, rank_endpoints

__all__ = [
    "Candidate",
    "Choice",
    "Refusal",
    "RouteRequest",
    "SelectionSettings",
    "Selector",
]

FAILURE_AVOIDED_MS = 1000
RETRY_MS = 1000
SUSPECT_RETRY_MS = 500
SUSPECT_HOLD_MS = 2000
PREDICTED_CONFIDENCE = 0.8
MEASURED_CONFIDENCE = 1.0

WORK_FOR_LEAVING_ENDPOINT = define_event(
    5000, "ERROR", "work would be sent to a leaving or dead endpoint"
)
MATCH_OF_OTHER_INCARNATION = define_event(
    5001, "ERROR", "cache match belongs to another incarnation of the endpoint"
)
SUSPECT_NOT_ALONE = define_event(
    5002, "ERROR", "suspect request would share an endpoint with other requests"
)


@dataclass
class _Pool:
    """Usable candidates of one call, with their placement."""

    source: Sequence[Candidate]
    by_name: dict[str, Candidate]
    names: list[str]
    placement: Placement


@dataclass(frozen=True)
class _Reservation:
    """Endpoint kept free for a suspect; ``until_ms`` is -1 while it runs."""

    request_id: str
    until_ms: int = -1


class Selector:
    """Chooses endpoints and tracks this router's own dispatches.

    A caller that passes the same tuple of candidates again while no view has
    changed saves the preparation of the pool.

    Examples:
        >>> selector = Selector(CacheIndex(1000), SelectionSettings(), random.Random(1))
        >>> request = RouteRequest("r1", "hotel", "urgent", 0, (11, 12), 2000, 100)
        >>> choice = selector.choose(request, (Candidate("engine-1", "a", "z1"),), 0)
        >>> choice.endpoint, choice.attempt
        ('engine-1', 'r1.1')
        >>> selector.dispatched(choice, 0)
        >>> selector.first_token("r1.1", 0, 250)
        >>> selector.finished("r1.1", 900)
    """

    def __init__(
        self, index: CacheIndex, settings: SelectionSettings, rng: random.Random
    ):
        self.index = index
        self._settings = settings
        self._rng = rng
        self._loads: dict[str, EndpointLoad] = {}
        self._running: dict[str, tuple[Choice, Running]] = {}
        self._reserved: dict[str, _Reservation] = {}
        self._pool: _Pool | None = None
        self._placed: list[str] = []
        self._placement = Placement([])
        self._started_ms: int | None = None

    def choose(
        self, request: RouteRequest, candidates: Sequence[Candidate], now_ms: int
    ) -> Choice | Refusal:
        """Choose the endpoint with the least estimated cost.

        Returns:
            ``Refusal`` with reason ``no_endpoint`` or ``suspect_waiting``.

        Raises:
            InvariantViolationError: If the choice would break P1 or P7.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        pool = self._usable(candidates)
        if request.suspect:
            return self._choose_alone(request, pool, now_ms)
        best: Choice | None = None
        best_cost = 0.0
        for name, home in self._shortlist(request, pool, now_ms).items():
            choice, cost = self._consider(request, pool, name, home, now_ms)
            if best is None or cost < best_cost:
                best, best_cost = choice, cost
        if best is None:
            return Refusal("no_endpoint", RETRY_MS)
        self._check(best, pool)
        return best

    def dispatched(self, choice: Choice, now_ms: int) -> None:
        """Record that an attempt was sent."""
        request = choice.request
        load = self._load(choice.endpoint, choice.incarnation)
        holder = self._reserved.get(choice.endpoint)
        require_invariant(
            (holder is None or holder.request_id == request.request_id)
            and not (request.suspect and load.open),
            SUSPECT_NOT_ALONE,
            endpoint=choice.endpoint,
        )
        if request.suspect:
            self._reserved[choice.endpoint] = _Reservation(request.request_id)
        uncached = max(0, request.prompt_tokens - choice.cached_tokens)
        running = Running(
            choice.endpoint,
            choice.incarnation,
            request.rank,
            uncached,
            now_ms,
            choice.expected_ms,
        )
        load.dispatched(choice.attempt, running, now_ms)
        self._running[choice.attempt] = (choice, running)
        self._record(choice, PREDICTED_CONFIDENCE, now_ms)

    def first_token(self, attempt: str, cached_tokens: int, now_ms: int) -> None:
        """Record the first token and the cached tokens the engine reported."""
        entry = self._running.get(attempt)
        if entry is None:
            return
        choice, running = entry
        load = self._loads[choice.endpoint]
        if load.incarnation != choice.incarnation:
            return
        load.first_token(attempt, running, now_ms)
        if not self._settings.learn_speed:
            load.scale = 1.0
        self._record(choice, MEASURED_CONFIDENCE, now_ms)

    def finished(self, attempt: str, now_ms: int) -> None:
        """Record the complete end of an attempt."""
        self._end(attempt, now_ms)

    def failed(self, attempt: str, now_ms: int) -> None:
        """Record a failed attempt; the endpoint is avoided for a short time."""
        ended = self._end(attempt, now_ms)
        if ended is None:
            return
        load = self._loads[ended.endpoint]
        if load.incarnation == ended.incarnation:
            load.failed_ms = now_ms

    def expected_uncached_tokens(
        self, request: RouteRequest, candidates: Sequence[Candidate], now_ms: int
    ) -> int:
        """Return the prompt tokens to compute at the best cache match.

        Used as the prompt part of the cost in the fair queue.
        """
        choice = self.choose(request, candidates, now_ms)
        cached = choice.cached_tokens if isinstance(choice, Choice) else 0
        return max(0, request.prompt_tokens - cached)

    def headroom_tokens(
        self, candidates: Sequence[Candidate], now_ms: int
    ) -> tuple[int, ...]:
        """Return the tokens that keep the queues of engines short, per kind.

        Work beyond it waits in the routers, where fairness and minimum shares
        apply, and not in the engines. The kinds are those of
        ``admission.Capacity``.
        """
        pool = self._usable(candidates)
        settings = self._settings
        per_ms = settings.prefill_tokens_per_s / 1000
        totals = [0.0] * len(settings.headroom_ms)
        for name, candidate in pool.by_name.items():
            if self._is_reserved(name, now_ms):
                continue
            load = self._load(name, candidate.incarnation)
            rate = self._rate(load)
            ahead = load.estimate(candidate, 1 << 30, now_ms, self._peers(), rate)
            slots = ahead.running + ahead.queued
            kinds = zip(settings.headroom_ms, settings.slot_parts, strict=True)
            for kind, (target_ms, part) in enumerate(kinds):
                if slots < settings.slots * part:
                    totals[kind] += max(0.0, target_ms * per_ms - ahead.tokens)
        return tuple(int(total) for total in totals)

    def _usable(self, candidates: Sequence[Candidate]) -> _Pool:
        if self._pool is not None and self._pool.source is candidates:
            return self._pool
        up = {each.name: each for each in candidates if each.state == "up"}
        if not up:
            up = {each.name: each for each in candidates if each.state == "unverified"}
        names = list(up)
        if names != self._placed:
            self._placed, self._placement = names, Placement(names)
        pool = _Pool(candidates, up, names, self._placement)
        # A list could change between calls, so only tuples are kept.
        self._pool = pool if isinstance(candidates, tuple) else None
        return pool

    def _shortlist(
        self, request: RouteRequest, pool: _Pool, now_ms: int
    ) -> dict[str, int]:
        """Return endpoints to compare, with the pieces they are the home of."""
        shortlist: dict[str, int] = {}
        for pieces in self._placement_pieces(request):
            digest = request.chain[pieces - 1]
            names = pool.placement.top(digest, self._settings.home_choices)
            for position, name in enumerate(names):
                shortlist.setdefault(name, pieces if position == 0 else 0)
            for name in self.index.holders(digest):
                shortlist.setdefault(name, 0)
        for _ in range(min(self._settings.random_choices, len(pool.names))):
            shortlist.setdefault(self._rng.choice(pool.names), 0)
        usable = self._filter(shortlist, request, pool, now_ms)
        if usable or not pool.names:
            return usable
        return self._filter(dict.fromkeys(pool.names, 0), request, pool, now_ms)

    def _filter(
        self,
        shortlist: dict[str, int],
        request: RouteRequest,
        pool: _Pool,
        now_ms: int,
    ) -> dict[str, int]:
        present = {
            name: home
            for name, home in shortlist.items()
            if name in pool.by_name
            and name not in request.excluded
            and not self._is_reserved(name, now_ms)
        }
        working = {
            name: home
            for name, home in present.items()
            if not self._failed_lately(name, now_ms)
        }
        return working or present

    def _is_reserved(self, name: str, now_ms: int) -> bool:
        holder = self._reserved.get(name)
        if holder is not None and 0 <= holder.until_ms < now_ms:
            del self._reserved[name]
            return False
        return holder is not None

    def _failed_lately(self, name: str, now_ms: int) -> bool:
        load = self._loads.get(name)
        return (
            load is not None
            and load.failed_ms >= 0
            and now_ms - load.failed_ms < FAILURE_AVOIDED_MS
        )

    def _placement_pieces(self, request: RouteRequest) -> list[int]:
        """Return the prefix lengths that determine placement, longest first.

        The second level (customer or case file) decides, so that one tenant
        spreads over endpoints; the first level is the fallback.
        """
        if not request.chain:
            return []
        ends = request.level_ends or (max(1, len(request.chain) - 1),)
        shared = ends[:2] if len(ends) > 2 else ends[:1]
        return sorted({min(len(request.chain), max(1, end)) for end in shared})[::-1]

    def _consider(
        self, request: RouteRequest, pool: _Pool, name: str, home: int, now_ms: int
    ) -> tuple[Choice, float]:
        candidate = pool.by_name[name]
        load = self._load(name, candidate.incarnation)
        match = self._expected_match(request, candidate, home, now_ms)
        cached = self._tokens(request, match.pieces) * match.confidence
        settings = self._settings
        rate = self._rate(load)
        ahead = load.estimate(candidate, request.rank, now_ms, self._peers(), rate)
        wait_ms = ahead.tokens / rate + self._slot_wait_ms(ahead, load)
        if request.zone and request.zone != candidate.zone:
            wait_ms += 2 * settings.zone_ms
        compute_ms = (request.prompt_tokens - cached) / rate
        source, pieces, import_ms = self._import(
            request, pool, candidate, match, now_ms
        )
        if source and import_ms < compute_ms:
            compute_ms = import_ms
            cached = float(self._tokens(request, pieces))
        else:
            source, pieces = "", 0
        cost = wait_ms + compute_ms * (1.0 + settings.recompute_weight)
        choice = Choice(
            f"{request.request_id}.{request.attempt}",
            name,
            candidate.incarnation,
            request,
            wait_ms + compute_ms,
            int(cached),
            source,
            pieces,
        )
        return choice, cost

    def _expected_match(
        self, request: RouteRequest, candidate: Candidate, home: int, now_ms: int
    ) -> Match:
        match = self.index.match(
            candidate.name, candidate.incarnation, request.chain, now_ms
        )
        load = self._load(candidate.name, candidate.incarnation)
        if match.pieces >= home or self._started_ms is None or load.restarted:
            return match
        age = (now_ms - self._started_ms) / self._settings.prior_half_life_ms
        prior = max(self._settings.prior_floor, self._settings.home_prior * 0.5**age)
        if prior * home <= match.pieces * match.confidence:
            return match
        return Match(home, prior)

    def _import(
        self,
        request: RouteRequest,
        pool: _Pool,
        candidate: Candidate,
        match: Match,
        now_ms: int,
    ) -> tuple[str, int, float]:
        """Return source, pieces and time of the best KV cache import."""
        rate = self._settings.import_tokens_per_s / 1000
        if not rate or not request.chain:
            return "", 0, 0.0
        best = NO_MATCH
        source = ""
        for pieces in self._placement_pieces(request)[:1]:
            for name in self.index.holders(request.chain[pieces - 1], 2):
                other = pool.by_name.get(name)
                if other is None or name == candidate.name:
                    continue
                held = self.index.match(name, other.incarnation, request.chain, now_ms)
                if held.pieces > best.pieces and held.confidence > 0.5:
                    best, source = held, name
        if best.pieces <= match.pieces:
            return "", 0, 0.0
        moved = self._tokens(request, best.pieces) - self._tokens(request, match.pieces)
        rest = request.prompt_tokens - self._tokens(request, best.pieces)
        time_ms = self._settings.import_fixed_ms + moved / rate
        load = self._load(candidate.name, candidate.incarnation)
        return source, best.pieces, time_ms + rest / self._rate(load)

    def _choose_alone(
        self, request: RouteRequest, pool: _Pool, now_ms: int
    ) -> Choice | Refusal:
        """Place a suspect on the endpoint that all routers derive from its chain.

        Equal copies that reach several routers at once therefore share one
        endpoint, however many routers receive them.
        """
        names = [name for name in pool.names if name not in request.excluded]
        if not names:
            return Refusal("no_endpoint", RETRY_MS)
        digest = request.chain[-1] if request.chain else 0
        name = rank_endpoints(digest, names)[0]
        holder = self._reserved.get(name)
        if self._is_reserved(name, now_ms) and holder is not None:
            if holder.request_id != request.request_id:
                return Refusal("suspect_waiting", SUSPECT_RETRY_MS)
        if self._load(name, pool.by_name[name].incarnation).open:
            # New work avoids the endpoint from now on, so it becomes free.
            until_ms = now_ms + SUSPECT_HOLD_MS
            self._reserved[name] = _Reservation(request.request_id, until_ms)
            return Refusal("suspect_waiting", SUSPECT_RETRY_MS)
        choice, _ = self._consider(request, pool, name, 0, now_ms)
        self._check(choice, pool)
        return choice

    def _check(self, choice: Choice, pool: _Pool) -> None:
        candidate = pool.by_name.get(choice.endpoint)
        require_invariant(
            candidate is not None and candidate.state in ("up", "unverified"),
            WORK_FOR_LEAVING_ENDPOINT,
            endpoint=choice.endpoint,
        )
        require_invariant(
            candidate is not None and candidate.incarnation == choice.incarnation,
            MATCH_OF_OTHER_INCARNATION,
            endpoint=choice.endpoint,
        )

    def _record(self, choice: Choice, confidence: float, now_ms: int) -> None:
        for digest in choice.request.chain:
            self.index.record(
                choice.endpoint, choice.incarnation, digest, confidence, now_ms
            )

    def _end(self, attempt: str, now_ms: int) -> Choice | None:
        entry = self._running.pop(attempt, None)
        if entry is None:
            return None
        choice, running = entry
        load = self._loads[choice.endpoint]
        if load.incarnation == choice.incarnation:
            load.ended(attempt, running, now_ms)
        holder = self._reserved.get(choice.endpoint)
        if holder is not None and holder.request_id == choice.request.request_id:
            del self._reserved[choice.endpoint]
        return choice

    def _load(self, name: str, incarnation: str) -> EndpointLoad:
        load = self._loads.get(name)
        if load is None or load.incarnation != incarnation:
            load = EndpointLoad(incarnation, restarted=load is not None)
            self._loads[name] = load
        return load

    def _slot_wait_ms(self, ahead: Estimate, load: EndpointLoad) -> float:
        over = ahead.running + ahead.queued - self._settings.slots + 1
        return max(0.0, over) * load.service_ms / self._settings.slots

    def _rate(self, load: EndpointLoad) -> float:
        return self._settings.prefill_tokens_per_s / 1000 / load.scale

    def _peers(self) -> int:
        return self._settings.routers - 1 if self._settings.count_peers else 0

    def _tokens(self, request: RouteRequest, pieces: int) -> int:
        if not request.chain:
            return 0
        return request.prompt_tokens * pieces // len(request.chain)
