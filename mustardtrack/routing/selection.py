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
from mustardtrack.routing.loads import (
    Candidate,
    EndpointLoad,
    LoadEstimate,
    RunningAttempt,
)
from mustardtrack.routing.rendezvous import GroupedRendezvous, rank_endpoints

__all__ = [
    "Candidate",
    "Choice",
    "Refusal",
    "RouteRequest",
    "SelectionSettings",
    "Selector",
]

FAILURE_AVOIDANCE_MS = 1000
NO_ENDPOINT_RETRY_MS = 1000
SUSPECT_RETRY_MS = 500
SUSPECT_RESERVATION_MS = 2000
PREDICTED_CONFIDENCE = 0.8
MEASURED_CONFIDENCE = 1.0

WORK_FOR_LEAVING_ENDPOINT = define_event(
    5000, "ERROR", "request would be sent to an endpoint that is leaving or down"
)
MATCH_OF_OTHER_INCARNATION = define_event(
    5001, "ERROR", "cache match belongs to another incarnation of the endpoint"
)
SUSPECT_NOT_ALONE = define_event(
    5002, "ERROR", "suspect request would share an endpoint with other requests"
)


@dataclass
class _Pool:
    """Usable endpoints of a sequence of candidates, and their rendezvous ranking."""

    candidates: Sequence[Candidate]
    by_name: dict[str, Candidate]
    names: list[str]
    rendezvous: GroupedRendezvous


@dataclass(frozen=True)
class _Reservation:
    """Endpoint reserved for a suspect; ``until_ms`` is -1 while it runs."""

    request_id: str
    until_ms: int = -1


class Selector:
    """Selects endpoints and tracks this router's own dispatches.

    A caller that passes the same tuple object of candidates again, as long as they
    are unchanged, avoids rebuilding the pool.

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
        self._running: dict[str, tuple[Choice, RunningAttempt]] = {}
        self._reservations: dict[str, _Reservation] = {}
        self._pool: _Pool | None = None
        self._rendezvous_names: list[str] = []
        self._rendezvous = GroupedRendezvous([])
        self._started_ms: int | None = None

    def choose(
        self, request: RouteRequest, candidates: Sequence[Candidate], now_ms: int
    ) -> Choice | Refusal:
        """Select the endpoint with the lowest estimated cost.

        Returns:
            ``Refusal`` with reason ``no_endpoint`` or ``suspect_waiting``.

        Raises:
            InvariantViolationError: If the chosen endpoint is leaving or down, or the
                choice belongs to another incarnation of it.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        pool = self._prepare_pool(candidates)
        if request.suspect:
            return self._choose_exclusively(request, pool, now_ms)
        best: Choice | None = None
        best_cost = 0.0
        for name, affine_pieces in self._shortlist(request, pool, now_ms).items():
            choice, cost = self._evaluate(request, pool, name, affine_pieces, now_ms)
            if best is None or cost < best_cost:
                best, best_cost = choice, cost
        if best is None:
            return Refusal("no_endpoint", NO_ENDPOINT_RETRY_MS)
        self._check_invariants(best, pool)
        return best

    def dispatched(self, choice: Choice, now_ms: int) -> None:
        """Record that an attempt was sent."""
        request = choice.request
        load = self._load_of(choice.endpoint, choice.incarnation)
        reservation = self._reservations.get(choice.endpoint)
        require_invariant(
            (reservation is None or reservation.request_id == request.request_id)
            and not (request.suspect and load.open),
            SUSPECT_NOT_ALONE,
            endpoint=choice.endpoint,
        )
        if request.suspect:
            self._reservations[choice.endpoint] = _Reservation(request.request_id)
        uncached = max(0, request.prompt_tokens - choice.cached_tokens)
        running = RunningAttempt(
            choice.endpoint,
            choice.incarnation,
            request.rank,
            uncached,
            now_ms,
            choice.expected_ms,
        )
        load.record_dispatch(choice.attempt, running, now_ms)
        self._running[choice.attempt] = (choice, running)
        self._record(choice, PREDICTED_CONFIDENCE, now_ms)

    def first_token(self, attempt: str, cached_tokens: int, now_ms: int) -> None:
        """Record the first token of an attempt.

        ``cached_tokens``, the number that the engine reported, is not used.
        """
        entry = self._running.get(attempt)
        if entry is None:
            return
        choice, running = entry
        load = self._loads[choice.endpoint]
        if load.incarnation != choice.incarnation:
            return
        load.record_first_token(attempt, running, now_ms)
        if not self._settings.learn_speed:
            load.slowdown = 1.0
        self._record(choice, MEASURED_CONFIDENCE, now_ms)

    def finished(self, attempt: str, now_ms: int) -> None:
        """Record the complete response of an attempt."""
        self._close_attempt(attempt, now_ms)

    def failed(self, attempt: str, now_ms: int) -> None:
        """Record a failed attempt; the endpoint is avoided for a short time."""
        ended = self._close_attempt(attempt, now_ms)
        if ended is None:
            return
        load = self._loads[ended.endpoint]
        if load.incarnation == ended.incarnation:
            load.failed_ms = now_ms

    def expected_uncached_tokens(
        self, request: RouteRequest, candidates: Sequence[Candidate], now_ms: int
    ) -> int:
        """Return the prompt tokens that the selected endpoint must prefill.

        This is the prompt part of the cost of a request in the fair queue.
        """
        choice = self.choose(request, candidates, now_ms)
        cached = choice.cached_tokens if isinstance(choice, Choice) else 0
        return max(0, request.prompt_tokens - cached)

    def headroom_tokens(
        self, candidates: Sequence[Candidate], now_ms: int
    ) -> tuple[int, ...]:
        """Return the tokens that may be dispatched now, per kind of work.

        The limits keep the queues of the engines short. Further work waits in the
        routers, where fair queueing and minimum shares apply. The kinds are those
        of ``admission.Capacity``.
        """
        pool = self._prepare_pool(candidates)
        settings = self._settings
        per_ms = settings.prefill_tokens_per_s / 1000
        totals = [0.0] * len(settings.headroom_ms)
        for name, candidate in pool.by_name.items():
            if self._is_reserved(name, now_ms):
                continue
            load = self._load_of(name, candidate.incarnation)
            rate = self._rate(load)
            # The lowest possible priority: the whole queue counts as ahead.
            ahead = load.estimate(candidate, 1 << 30, now_ms, self._peer_count(), rate)
            slots = ahead.running + ahead.queued
            kinds = zip(settings.headroom_ms, settings.slot_parts, strict=True)
            for kind, (target_ms, part) in enumerate(kinds):
                if slots < settings.slots * part:
                    totals[kind] += max(0.0, target_ms * per_ms - ahead.tokens)
        return tuple(int(total) for total in totals)

    def _prepare_pool(self, candidates: Sequence[Candidate]) -> _Pool:
        if self._pool is not None and self._pool.candidates is candidates:
            return self._pool
        up = {each.name: each for each in candidates if each.state == "up"}
        if not up:
            up = {each.name: each for each in candidates if each.state == "unverified"}
        names = list(up)
        if names != self._rendezvous_names:
            self._rendezvous_names, self._rendezvous = names, GroupedRendezvous(names)
        pool = _Pool(candidates, up, names, self._rendezvous)
        # A list may be mutated between calls, so only tuples are cached.
        self._pool = pool if isinstance(candidates, tuple) else None
        return pool

    def _shortlist(
        self, request: RouteRequest, pool: _Pool, now_ms: int
    ) -> dict[str, int]:
        """Return the endpoints to evaluate, each with its number of affine pieces.

        Affine pieces are those of the longest prefix for which rendezvous hashing
        ranks the endpoint first; 0 if there is none.
        """
        shortlist: dict[str, int] = {}
        for pieces in self._rendezvous_prefix_lengths(request):
            digest = request.chain[pieces - 1]
            names = pool.rendezvous.top(digest, self._settings.home_choices)
            for position, name in enumerate(names):
                shortlist.setdefault(name, pieces if position == 0 else 0)
            for name in self.index.holders(digest):
                shortlist.setdefault(name, 0)
        for _ in range(min(self._settings.random_choices, len(pool.names))):
            shortlist.setdefault(self._rng.choice(pool.names), 0)
        usable = self._filter_eligible(shortlist, request, pool, now_ms)
        if usable or not pool.names:
            return usable
        return self._filter_eligible(
            dict.fromkeys(pool.names, 0), request, pool, now_ms
        )

    def _filter_eligible(
        self,
        shortlist: dict[str, int],
        request: RouteRequest,
        pool: _Pool,
        now_ms: int,
    ) -> dict[str, int]:
        eligible = {
            name: affine_pieces
            for name, affine_pieces in shortlist.items()
            if name in pool.by_name
            and name not in request.excluded
            and not self._is_reserved(name, now_ms)
        }
        healthy = {
            name: affine_pieces
            for name, affine_pieces in eligible.items()
            if not self._failed_recently(name, now_ms)
        }
        return healthy or eligible

    def _is_reserved(self, name: str, now_ms: int) -> bool:
        reservation = self._reservations.get(name)
        if reservation is not None and 0 <= reservation.until_ms < now_ms:
            del self._reservations[name]
            return False
        return reservation is not None

    def _failed_recently(self, name: str, now_ms: int) -> bool:
        load = self._loads.get(name)
        return (
            load is not None
            and load.failed_ms >= 0
            and now_ms - load.failed_ms < FAILURE_AVOIDANCE_MS
        )

    def _rendezvous_prefix_lengths(self, request: RouteRequest) -> list[int]:
        """Return the prefix lengths used for rendezvous hashing, longest first.

        The second level (customer or case file) is used first, so that one account
        spreads over several endpoints; the first level is the fallback.
        """
        if not request.chain:
            return []
        ends = request.level_ends or (max(1, len(request.chain) - 1),)
        shared = ends[:2] if len(ends) > 2 else ends[:1]
        return sorted({min(len(request.chain), max(1, end)) for end in shared})[::-1]

    def _evaluate(
        self,
        request: RouteRequest,
        pool: _Pool,
        name: str,
        affine_pieces: int,
        now_ms: int,
    ) -> tuple[Choice, float]:
        candidate = pool.by_name[name]
        load = self._load_of(name, candidate.incarnation)
        match = self._expected_match(request, candidate, affine_pieces, now_ms)
        cached = self._tokens_of_pieces(request, match.pieces) * match.confidence
        settings = self._settings
        rate = self._rate(load)
        ahead = load.estimate(candidate, request.rank, now_ms, self._peer_count(), rate)
        wait_ms = ahead.tokens / rate + self._slot_wait_ms(ahead, load)
        if request.zone and request.zone != candidate.zone:
            wait_ms += 2 * settings.zone_ms
        compute_ms = (request.prompt_tokens - cached) / rate
        source, pieces, import_ms = self._plan_import(
            request, pool, candidate, match, now_ms
        )
        if source and import_ms < compute_ms:
            compute_ms = import_ms
            cached = float(self._tokens_of_pieces(request, pieces))
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
        self,
        request: RouteRequest,
        candidate: Candidate,
        affine_pieces: int,
        now_ms: int,
    ) -> Match:
        """Return the indexed match, or a longer one assumed from affinity.

        Soon after the start of a router its index is incomplete. Affine pieces are
        then assumed to be cached with the prior probability.
        """
        match = self.index.match(
            candidate.name, candidate.incarnation, request.chain, now_ms
        )
        load = self._load_of(candidate.name, candidate.incarnation)
        if match.pieces >= affine_pieces or self._started_ms is None or load.restarted:
            return match
        age = (now_ms - self._started_ms) / self._settings.prior_half_life_ms
        prior = max(self._settings.prior_floor, self._settings.home_prior * 0.5**age)
        if prior * affine_pieces <= match.pieces * match.confidence:
            return match
        return Match(affine_pieces, prior)

    def _plan_import(
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
        for pieces in self._rendezvous_prefix_lengths(request)[:1]:
            for name in self.index.holders(request.chain[pieces - 1], 2):
                other = pool.by_name.get(name)
                if other is None or name == candidate.name:
                    continue
                held = self.index.match(name, other.incarnation, request.chain, now_ms)
                if held.pieces > best.pieces and held.confidence > 0.5:
                    best, source = held, name
        if best.pieces <= match.pieces:
            return "", 0, 0.0
        moved = self._tokens_of_pieces(request, best.pieces) - self._tokens_of_pieces(
            request, match.pieces
        )
        rest = request.prompt_tokens - self._tokens_of_pieces(request, best.pieces)
        time_ms = self._settings.import_fixed_ms + moved / rate
        load = self._load_of(candidate.name, candidate.incarnation)
        return source, best.pieces, time_ms + rest / self._rate(load)

    def _choose_exclusively(
        self, request: RouteRequest, pool: _Pool, now_ms: int
    ) -> Choice | Refusal:
        """Select the endpoint that all routers derive from the suspect's chain.

        Identical copies of a suspect that reach several routers at once are
        therefore sent to the same endpoint.
        """
        names = [name for name in pool.names if name not in request.excluded]
        if not names:
            return Refusal("no_endpoint", NO_ENDPOINT_RETRY_MS)
        digest = request.chain[-1] if request.chain else 0
        name = rank_endpoints(digest, names)[0]
        reservation = self._reservations.get(name)
        if self._is_reserved(name, now_ms) and reservation is not None:
            if reservation.request_id != request.request_id:
                return Refusal("suspect_waiting", SUSPECT_RETRY_MS)
        if self._load_of(name, pool.by_name[name].incarnation).open:
            # The reservation keeps new work away, so that the endpoint becomes idle.
            until_ms = now_ms + SUSPECT_RESERVATION_MS
            self._reservations[name] = _Reservation(request.request_id, until_ms)
            return Refusal("suspect_waiting", SUSPECT_RETRY_MS)
        choice, _ = self._evaluate(request, pool, name, 0, now_ms)
        self._check_invariants(choice, pool)
        return choice

    def _check_invariants(self, choice: Choice, pool: _Pool) -> None:
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

    def _close_attempt(self, attempt: str, now_ms: int) -> Choice | None:
        entry = self._running.pop(attempt, None)
        if entry is None:
            return None
        choice, running = entry
        load = self._loads[choice.endpoint]
        if load.incarnation == choice.incarnation:
            load.record_end(attempt, running, now_ms)
        reservation = self._reservations.get(choice.endpoint)
        if (
            reservation is not None
            and reservation.request_id == choice.request.request_id
        ):
            del self._reservations[choice.endpoint]
        return choice

    def _load_of(self, name: str, incarnation: str) -> EndpointLoad:
        load = self._loads.get(name)
        if load is None or load.incarnation != incarnation:
            load = EndpointLoad(incarnation, restarted=load is not None)
            self._loads[name] = load
        return load

    def _slot_wait_ms(self, ahead: LoadEstimate, load: EndpointLoad) -> float:
        excess = ahead.running + ahead.queued - self._settings.slots + 1
        return max(0.0, excess) * load.service_ms / self._settings.slots

    def _rate(self, load: EndpointLoad) -> float:
        return self._settings.prefill_tokens_per_s / 1000 / load.slowdown

    def _peer_count(self) -> int:
        return self._settings.routers - 1 if self._settings.count_peers else 0

    def _tokens_of_pieces(self, request: RouteRequest, pieces: int) -> int:
        if not request.chain:
            return 0
        return request.prompt_tokens * pieces // len(request.chain)
