"""Placement of prompts on model engines with the knowledge of all routers.

Load pattern: many routers that each see a small part of the traffic place long
prompts, of which an engine reads only a few a second, on the same engines. With
local knowledge they all choose the engine that looks idle, and openings are read
again on engine after engine. One process, the leading control host, therefore
places all prompts of a deployment: it knows what every engine has still to read,
and which openings each engine read last and has not yet had to evict.

The table only advises. A router that gets no answer in time places the prompt by
itself (:mod:`mustardtrack.routing.openings`).
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from xxhash import xxh3_64_intdigest

from mustardtrack.configuration.routes import Service
from mustardtrack.membership.endpointlist import ListedEndpoint
from mustardtrack.routing.enginestate import (
    URGENCIES,
    EngineState,
    PartKey,
    PartSizes,
    PlacedWork,
    TransferLink,
    sum_leading,
)
from mustardtrack.routing.namedweights import NamedWeights
from mustardtrack.routing.placement import rank_endpoints

# Prompt tokens that an engine reads in a millisecond beside other work; the sheets
# state twice as much for an engine that does nothing else.
TOKENS_PER_MS = 33.0
# Time from the arrival of a prompt at an idle engine to its first token, without
# reading.
BASE_MS = 40.0
# Delay that each running request adds to the first token of another.
RUNNING_MS = 2.0
# Moves between availability zones take this many times as long.
ZONE_MOVE_FACTOR = 2
# Longest wait for a link; reading an opening takes about this long.
LONGEST_LINK_WAIT_MS = 300
# Cached tokens below which a fetch from an engine costs more than reading them.
MIN_FETCH_TOKENS = 64
# Shared tokens below which the store is not used; its link serves all engines.
MIN_STORE_TOKENS = 1024
# Longest wait of a save for the store's link; saves may wait longer than fetches, for
# which a first token waits.
LONGEST_SAVE_WAIT_MS = 600
# Delay charged for an engine other than the one that rendezvous hashing prefers for an
# opening. A new leader then finds openings where the one before it left them.
AWAY_MS = 40.0
# Reading a long opening again costs most of the worth of its request, which is as bad
# as half a second of delay.
READ_AGAIN_MS_PER_TOKEN = 0.04
# Part of an objective after which an estimate counts as late, since it is rough.
LATE_SHARE = 0.7
# Delay charged for each millisecond beyond that.
LATE_FACTOR = 3.0
# A fifth of the worth is lost on weights that have been replaced for some time.
OLD_WEIGHTS_MS = 450.0
# Time after which an answer on replaced weights begins to lose worth, less the time
# until a placed prompt begins to run.
OLD_WEIGHTS_GRACE_MS = 1000
# Delay charged when an engine's memory would be exceeded, so that it must evict
# running requests.
MEMORY_MS = 1500.0
# Engines that a router prefers for prompts without a long opening, so that it finds
# an open connection: it sends a few of them a second, and connections rest for seconds.
PREFERRED_ENGINES = 3
# Delay charged for other engines; such a prompt is on time for seconds, and a new
# connection costs an endpoint about as much as reading this long.
OTHER_ENGINE_MS = 40.0
# Bytes between zones are paid for.
ZONE_MS = 8.0
# Time without placements on an engine that a router could not reach.
REST_MS = 1500
# Delay charged for each request that an engine has just refused to run. An engine that
# sheds a part of its work looks idle, and draws work that is refused again.
REFUSAL_MS = 120.0
# Memory of an engine that placements may fill; outputs are estimates.
MEMORY_SHARE = 0.92
EXPIRY_PERIOD_MS = 500
# Time before the limit on old weights at which an engine gets no more prompts; a
# placed prompt may wait before it begins.
WEIGHTS_MARGIN_MS = 2000
# Steps of urgency between classes of work.
URGENCY_STEP = 2
# Objective from which a prompt may wait behind those of its class with shorter ones:
# twice the objective of long prompts on the sheets.
PATIENT_OBJECTIVE_MS = 2000
# Part of a wait that is charged for such a prompt. Engines without a queue would draw
# all short prompts otherwise, which fill their batches.
PATIENT_WAIT_SHARE = 0.25
# Delay charged for an engine whose batch is full. It grows with the square of the part
# of the places that are taken.
FULL_BATCH_MS = 300.0
# Urgency of a prompt that would be late in its own class; there it would only make
# the prompts behind it late as well.
LATE_URGENCY = 4
# Waits of such a prompt are this many times as long as what is ahead of it now, since
# most prompts that arrive later go before it.
DEMOTED_WAIT_FACTOR = 2.0
# Part of the objective beyond which an estimate shows that a prompt will be late.
LATE_CERTAIN = 1.25
# Callers give a stream up when its first event takes this many objectives or this
# long, whichever is more.
PATIENCE_OBJECTIVES = 4
PATIENCE_MS = 2000
# Part of a caller's patience after which a prompt is refused; estimates are rough and
# the caller may come back.
PATIENCE_SHARE = 0.9


def cache_salt(model: str, version: int | None, wall: str) -> str:
    """Return the text under which engines share cached parts.

    Args:
        model: Model of the prompt.
        version: Weights version that reads the parts, None if it is not known.
        wall: Account whose parts are not shared, empty if they are.
    """
    return f"{model}.{version}.{wall}"


def rank_urgency(rank: int, objective_ms: int) -> int:
    """Return the urgency that an engine is told for a class of work.

    Within a class, prompts that may wait longer go behind the others.
    """
    return min(URGENCIES - 1, rank * URGENCY_STEP + _is_patient(objective_ms))


def _is_patient(objective_ms: int) -> bool:
    return objective_ms >= PATIENT_OBJECTIVE_MS


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True):
    """A prompt to be placed.

    Attributes:
        parts: Digest and tokens of each part of the prompt, in order; the last
            belongs to the request alone.
        wall: Account whose cached parts are not shared, empty if they are.
        tokens: Tokens of the whole prompt.
        output_tokens: Most tokens that are generated.
        rank: Class of work, 0 is the most urgent.
        time_left_ms: Time after which the request has ended in any case.
        tried: Engines that did not run it.
        router: Router that sends it.
    """

    request_id: str
    service: str
    model: str
    parts: list[tuple[str, int]]
    wall: str
    tokens: int
    output_tokens: int
    rank: int
    objective_ms: int
    time_left_ms: int
    zone: str
    tried: list[str]
    router: str = ""


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Where a prompt goes.

    Attributes:
        endpoint: Engine, empty if there is none to use.
        fetch_from: Address that holds more of the prompt than the engine.
        save_to: Store that is to receive the parts.
        expected_ms: Estimated time until the first token.
        read_tokens: Tokens that the engine is expected to read.
        urgency: Order of admission at the engine, 0 is first.
        is_hopeless: Whether no engine can answer while the caller waits.
        is_known: Whether the sender leads and knows engines of the service.
    """

    endpoint: str = ""
    fetch_from: str = ""
    save_to: str = ""
    expected_ms: float = 0.0
    read_tokens: int = 0
    urgency: int = 0
    is_hopeless: bool = False
    is_known: bool = False


@dataclass(frozen=True)
class _Source:
    """Where parts of a prompt can be fetched from."""

    address: str = ""
    held_tokens: int = 0
    move_ms: float = 0.0
    link: TransferLink | None = None


NO_SOURCE = _Source()


class PlacementTable:
    """Engines of a deployment with their estimated load and caches.

    Times are monotonic milliseconds of the process that keeps the table.

    Args:
        weights_limit_ms: Time after the naming of a version after which no request
            may begin on an older one.
    """

    def __init__(self, weights_limit_ms: int) -> None:
        self._weights_limit_ms = weights_limit_ms - WEIGHTS_MARGIN_MS
        self._engines: dict[str, EngineState] = {}
        self._work: dict[str, PlacedWork] = {}
        self._stored: OrderedDict[PartKey, int] = OrderedDict()
        self._unsaved: set[PartKey] = set()
        self._stored_tokens = 0
        self._store_link = TransferLink()
        self._named = NamedWeights()
        self._next_expiry_ms = 0

    def update(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Adopt the endpoint list."""
        engines: dict[str, EngineState] = {}
        for listed in endpoints:
            if not listed.weights:
                continue
            engine = self._engines.pop(listed.id, None)
            if engine is None or engine.listed.started_ms != listed.started_ms:
                engine = EngineState(listed)
            elif engine.listed.weights != listed.weights:
                engine.clear()
            engine.listed = listed
            engines[listed.id] = engine
        for gone in self._engines.values():
            for request_id in gone.work:
                self._work.pop(request_id, None)
        self._engines = engines

    def place(
        self,
        request: PlacementRequest,
        service: Service,
        store: Service | None,
        weights: Mapping[str, int],
        now_ms: int,
    ) -> Placement:
        """Choose an engine and count the prompt as placed on it.

        Args:
            request: The prompt.
            service: Service whose engines may run it.
            store: Store of kept KV cache, if it can be used.
            weights: Newest version of each model.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        self._named.update(weights, now_ms)
        question = _Question(request, service, store, weights, now_ms)
        usable = self._usable(question)
        if not usable:
            return Placement(is_known=self._knows(request.service))
        question.home = _find_home(question, usable)
        if not question.home and request.router:
            question.preferred = _find_preferred(request, usable)
        urgency = question.urgency
        estimate = self._find_best(question, usable, urgency)
        is_late = estimate.first_ms > LATE_CERTAIN * request.objective_ms
        if is_late and urgency < LATE_URGENCY:
            urgency = LATE_URGENCY
            estimate = self._find_best(question, usable, urgency)
        if math.isinf(estimate.cost_ms):
            # It would begin on weights whose time limit is over by then.
            return Placement(is_known=True)
        patience_ms = max(PATIENCE_MS, PATIENCE_OBJECTIVES * request.objective_ms)
        patience_ms = min(patience_ms, request.time_left_ms)
        if estimate.first_ms > PATIENCE_SHARE * patience_ms:
            return Placement(
                expected_ms=round(estimate.first_ms), is_hopeless=True, is_known=True
            )
        return self._commit(question, estimate, urgency)

    def record_read(self, request_ids: Iterable[str], now_ms: int) -> None:
        """Count prompts as read: their first token has arrived."""
        for request_id in request_ids:
            work = self._work.get(request_id)
            if work is None:
                continue
            engine = self._engines.get(work.engine)
            if engine is not None:
                engine.mark_read(work, now_ms)
            self._unsaved.difference_update(work.keys)

    def is_queued(self, request_id: str, now_ms: int) -> bool:
        """Return whether a prompt still has its turn on the engine that has it."""
        work = self._work.get(request_id)
        engine = self._engines.get(work.engine) if work else None
        if work is None or engine is None or work.is_read:
            return False
        return engine.pace.has_turn_ahead(work.urgency, work.placed_ms, now_ms)

    def record_end(self, request_ids: Iterable[str]) -> None:
        """Count requests as ended."""
        for request_id in request_ids:
            self._remove(request_id)

    def record_silence(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Place nothing for a while on engines that a router could not reach."""
        for endpoint_id in endpoint_ids:
            engine = self._engines.get(endpoint_id)
            if engine is not None:
                engine.resting_until_ms = now_ms + REST_MS

    def record_refusal(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Count requests that engines did not run, one for each mention."""
        for endpoint_id in endpoint_ids:
            engine = self._engines.get(endpoint_id)
            if engine is not None:
                engine.record_refusal(now_ms)

    def apply_events(
        self, endpoint_id: str, changes: Iterable[tuple[str, str, int]]
    ) -> None:
        """Correct the estimated cache of an engine by what it reports."""
        engine = self._engines.get(endpoint_id)
        if engine is None:
            return
        for salt, digest, tokens in changes:
            engine.correct((salt, digest), tokens)

    def replace_cache(
        self, endpoint_id: str, held: Iterable[tuple[str, str, int]]
    ) -> None:
        """Adopt everything that an engine lists as cached."""
        engine = self._engines.get(endpoint_id)
        if engine is not None:
            engine.replace(((salt, digest), tokens) for salt, digest, tokens in held)

    def replace_store(self, held: Iterable[tuple[str, str, int]]) -> None:
        """Adopt everything that the store lists."""
        self.forget_store()
        self.apply_store_events(held)

    def apply_store_events(self, changes: Iterable[tuple[str, str, int]]) -> None:
        """Correct what the store is believed to hold."""
        for salt, digest, tokens in changes:
            key = (salt, digest)
            self._stored_tokens += tokens - self._stored.pop(key, 0)
            self._unsaved.discard(key)
            if tokens > 0:
                self._stored[key] = tokens

    def forget_cache(self, endpoint_id: str) -> None:
        """Forget the cache of an engine that has started again."""
        engine = self._engines.get(endpoint_id)
        if engine is not None:
            engine.clear()

    def forget_store(self) -> None:
        """Forget what the store holds; it has restarted empty."""
        self._stored.clear()
        self._unsaved.clear()
        self._stored_tokens = 0

    def outstanding(self, endpoint_id: str) -> int:
        """Return the number of requests on an engine."""
        engine = self._engines.get(endpoint_id)
        return len(engine.work) if engine else 0

    def unread(self, endpoint_id: str) -> int:
        """Return the number of requests on an engine without a first token."""
        engine = self._engines.get(endpoint_id)
        works = engine.work.values() if engine else ()
        return sum(1 for work in works if not work.is_read)

    def queue_ms(self) -> float:
        """Return the time that the engines take to read what is placed, on average."""
        engines = [one for one in self._engines.values() if not one.listed.is_loading]
        unread = sum(sum(engine.unread_tokens) for engine in engines)
        return unread / TOKENS_PER_MS / max(1, len(engines))

    def _usable(self, question: "_Question") -> list[EngineState]:
        request = question.request
        candidates = [
            engine
            for engine in self._engines.values()
            if engine.listed.service == request.service
            and not engine.listed.is_draining
            and not engine.listed.is_loading
            and engine.listed.id not in request.tried
            and not self._is_overdue(engine, question)
        ]
        rested = [one for one in candidates if one.resting_until_ms <= question.now_ms]
        return rested or candidates

    def _knows(self, service: str) -> bool:
        engines = self._engines.values()
        return any(engine.listed.service == service for engine in engines)

    def _is_overdue(self, engine: EngineState, question: "_Question") -> bool:
        """Return whether no request may begin on the weights of an engine any more."""
        version = engine.listed.weights.get(question.request.model, 0)
        replaced_ms = self._replaced_ms(question, version)
        return replaced_ms is not None and replaced_ms >= self._weights_limit_ms

    def _replaced_ms(self, question: "_Question", version: int) -> int | None:
        """Return for how long a version has been replaced, None if it is not."""
        if version not in question.replaced_ms:
            question.replaced_ms[version] = self._named.replaced_ms(
                question.request.model, version, question.now_ms
            )
        return question.replaced_ms[version]

    def _find_best(
        self, question: "_Question", usable: list[EngineState], urgency: int
    ) -> "_Estimate":
        return min(
            (self._estimate(engine, question, urgency) for engine in usable),
            key=lambda estimate: estimate.cost_ms,
        )

    def _estimate(
        self, engine: EngineState, question: "_Question", urgency: int
    ) -> "_Estimate":
        request = question.request
        version = engine.listed.weights.get(request.model, question.newest)
        shared = question.shared(version)
        cached = engine.cached_prefix(shared)
        source = self._find_source(engine, question, version, cached)
        held = max(cached, source.held_tokens)
        read = max(1, request.tokens - held)
        first_ms = BASE_MS + read / TOKENS_PER_MS
        first_ms += _wait_ms(engine, question, urgency)
        first_ms += source.move_ms + RUNNING_MS * len(engine.work)
        late_ms = first_ms - LATE_SHARE * request.objective_ms
        cost_ms = question.wait_share * first_ms
        cost_ms += LATE_FACTOR * max(0.0, late_ms)
        cost_ms += READ_AGAIN_MS_PER_TOKEN * max(0, question.shared_tokens - held)
        replaced_ms = self._replaced_ms(question, version)
        if replaced_ms is not None and replaced_ms >= OLD_WEIGHTS_GRACE_MS:
            cost_ms += OLD_WEIGHTS_MS
        if replaced_ms is not None and replaced_ms + first_ms > self._weights_limit_ms:
            cost_ms = math.inf
        cost_ms += REFUSAL_MS * engine.recent_refusals(question.now_ms)
        if engine.listed.zone != request.zone:
            cost_ms += ZONE_MS
        if question.home and engine.listed.id != question.home:
            cost_ms += AWAY_MS
        if question.preferred and engine.listed.id not in question.preferred:
            cost_ms += OTHER_ENGINE_MS
        cost_ms += _crowding_ms(engine, question)
        cost_ms += _memory_ms(engine, question, version)
        return _Estimate(cost_ms, first_ms, engine, source, read, version)

    def _find_source(
        self, engine: EngineState, question: "_Question", version: int, cached: int
    ) -> _Source:
        """Return the engine, or else the store, that holds most of the parts."""
        limits = question.service.engine
        if limits is None or question.shared_tokens - cached < MIN_FETCH_TOKENS:
            return NO_SOURCE
        for held, other in self._holders(question, version):
            if held < cached + MIN_FETCH_TOKENS:
                break
            if other is engine:
                continue
            found = _plan_move(
                other.listed.address,
                held,
                (held - cached) * limits.token_bytes,
                limits.link_mbps,
                other.listed.zone == engine.listed.zone,
                (other.link, engine.link),
                question.now_ms,
            )
            if found is not None:
                return found
        return self._find_in_store(engine, question, version, cached)

    def _holders(
        self, question: "_Question", version: int
    ) -> list[tuple[int, EngineState]]:
        """Return the engines that hold parts to fetch, the most tokens first."""
        holders = question.holders.get(version)
        if holders is None:
            shared = question.shared(version)
            found = (
                (engine.readable_prefix(shared), engine)
                for engine in self._engines.values()
                if not engine.listed.is_loading
            )
            holders = [item for item in found if item[0] >= MIN_FETCH_TOKENS]
            holders.sort(key=lambda item: -item[0])
            question.holders[version] = holders
        return holders

    def _find_in_store(
        self, engine: EngineState, question: "_Question", version: int, cached: int
    ) -> _Source:
        store, limits = question.store, question.service.engine
        if store is None or limits is None:
            return NO_SOURCE
        held = self._stored_prefix(question, version)
        if held < cached + MIN_STORE_TOKENS:
            return NO_SOURCE
        found = _plan_move(
            store.store_address or "",
            held,
            (held - cached) * limits.token_bytes,
            store.store_link_mbps,
            store.store_zone == engine.listed.zone,
            (self._store_link, engine.link),
            question.now_ms,
        )
        return found or NO_SOURCE

    def _commit(
        self, question: "_Question", estimate: "_Estimate", urgency: int
    ) -> Placement:
        request, now_ms = question.request, question.now_ms
        engine, source = estimate.engine, estimate.source
        self._remove(request.request_id)
        keys = question.parts(estimate.version)
        work = PlacedWork(
            engine=engine.listed.id,
            read_tokens=estimate.read_tokens,
            output_tokens=request.output_tokens,
            urgency=urgency,
            ends_ms=now_ms + request.time_left_ms,
            placed_ms=now_ms,
            keys=tuple(key for key, _ in keys),
        )
        self._work[request.request_id] = work
        limits = question.service.engine
        capacity_tokens = limits.memory_tokens if limits is not None else 0
        engine.add(request.request_id, work, keys, capacity_tokens)
        if source.link is not None:
            source.link.add(source.move_ms, now_ms)
            engine.link.add(source.move_ms, now_ms)
        return Placement(
            endpoint=engine.listed.id,
            fetch_from=source.address or self._find_spare(question, estimate.version),
            save_to=self._plan_save(keys, engine, question),
            expected_ms=round(estimate.first_ms, 1),
            read_tokens=estimate.read_tokens,
            urgency=urgency,
            is_known=True,
        )

    def _find_spare(self, question: "_Question", version: int) -> str:
        """Return the store if it holds an opening that the engine should have.

        Engines evict by rules of their own, and fetching from a source costs nothing
        while they hold the parts themselves.
        """
        store = question.store
        if store is None:
            return ""
        held = self._stored_prefix(question, version)
        return (store.store_address or "") if held >= MIN_STORE_TOKENS else ""

    def _stored_prefix(self, question: "_Question", version: int) -> int:
        """Return the tokens of the leading parts that the store gives back."""
        return sum_leading(question.shared(version), self._stored, self._unsaved)

    def _plan_save(
        self,
        keys: PartSizes,
        engine: EngineState,
        question: "_Question",
    ) -> str:
        """Return the store if it lacks the opening and its link has room."""
        store, limits = question.store, question.service.engine
        if store is None or limits is None:
            return ""
        shared = keys[:-1]
        if all(key in self._stored for key, _ in shared):
            for key, _ in shared:
                self._stored.move_to_end(key)
            return ""
        if self._store_link.wait_ms(question.now_ms) > LONGEST_SAVE_WAIT_MS:
            return ""
        size_bytes = sum(size for _, size in keys) * limits.token_bytes
        is_near = store.store_zone == engine.listed.zone
        duration_ms = _move_ms(size_bytes, store.store_link_mbps, is_near)
        self._store_link.add(duration_ms, question.now_ms)
        for key, size in shared:
            if key not in self._stored:
                self._unsaved.add(key)
                self._stored[key] = size
                self._stored_tokens += size
        while self._stored_tokens > store.store_tokens and self._stored:
            key, size = self._stored.popitem(last=False)
            self._unsaved.discard(key)
            self._stored_tokens -= size
        return store.store_address or ""

    def _remove(self, request_id: str) -> None:
        work = self._work.pop(request_id, None)
        if work is not None and work.engine in self._engines:
            self._engines[work.engine].remove(request_id)

    def _expire(self, now_ms: int) -> None:
        """Forget requests whose routers never reported their end."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_PERIOD_MS
        ended = [key for key, work in self._work.items() if work.ends_ms < now_ms]
        self.record_end(ended)


@dataclass(frozen=True)
class _Estimate:
    cost_ms: float
    first_ms: float
    engine: EngineState
    source: _Source
    read_tokens: int
    version: int


class _Question:
    """A prompt to be placed, with what is the same for all engines."""

    def __init__(
        self,
        request: PlacementRequest,
        service: Service,
        store: Service | None,
        weights: Mapping[str, int],
        now_ms: int,
    ):
        self.request = request
        self.service = service
        self.shared_tokens = sum(tokens for _, tokens in request.parts[:-1])
        # Short openings leave the store's link to long ones.
        is_long = self.shared_tokens >= MIN_STORE_TOKENS
        has_store = store is not None and bool(store.store_address)
        self.store = store if has_store and is_long else None
        self.newest = weights.get(request.model, 1)
        self.now_ms = now_ms
        self.slots = service.engine.slots if service.engine is not None else 0
        self.urgency = rank_urgency(request.rank, request.objective_ms)
        is_patient = _is_patient(request.objective_ms)
        self.wait_share = PATIENT_WAIT_SHARE if is_patient else 1.0
        self.home = ""
        self.preferred: frozenset[str] = frozenset()
        self.holders: dict[int, list[tuple[int, EngineState]]] = {}
        self.replaced_ms: dict[int, int | None] = {}
        self._parts: dict[int, PartSizes] = {}
        self._shared: dict[int, PartSizes] = {}

    def parts(self, version: int) -> PartSizes:
        """Return all parts as engines cache them under a weights version."""
        parts = self._parts.get(version)
        if parts is None:
            parts = part_keys(self.request, version)
            self._parts[version] = parts
        return parts

    def shared(self, version: int) -> PartSizes:
        """Return the shared parts as they are cached under a weights version."""
        shared = self._shared.get(version)
        if shared is None:
            shared = self.parts(version)[:-1]
            self._shared[version] = shared
        return shared


def _wait_ms(engine: EngineState, question: _Question, urgency: int) -> float:
    """Return the estimated time until an engine begins to read a prompt."""
    wait_ms = engine.unread_before(urgency) / TOKENS_PER_MS
    wait_ms += engine.place_wait_ms(question.slots)
    if urgency > question.urgency:
        wait_ms *= DEMOTED_WAIT_FACTOR
    return wait_ms


def _crowding_ms(engine: EngineState, question: _Question) -> float:
    """Return the delay charged for the places of a batch that are taken."""
    if not question.slots:
        return 0.0
    return FULL_BATCH_MS * (len(engine.work) / question.slots) ** 2


def _memory_ms(engine: EngineState, question: _Question, version: int) -> float:
    """Return the delay charged if a prompt does not fit beside the running ones."""
    request, limits = question.request, question.service.engine
    if limits is None or not limits.memory_tokens:
        return 0.0
    room = MEMORY_SHARE * limits.memory_tokens
    needed = engine.memory_tokens + request.tokens + request.output_tokens
    if needed > room:
        # The opening may be in memory for a running request already.
        parts = question.parts(version)
        needed = engine.needed_tokens(parts, request.output_tokens)
    return MEMORY_MS * needed / room if needed > room else 0.0


def _find_home(question: "_Question", engines: list[EngineState]) -> str:
    """Return the engine that rendezvous hashing prefers for a long opening."""
    if question.shared_tokens < MIN_STORE_TOKENS:
        return ""
    digest = xxh3_64_intdigest(question.request.parts[-2][0].encode())
    return rank_endpoints(digest, [engine.listed.id for engine in engines])[0]


def _find_preferred(
    request: PlacementRequest, engines: list[EngineState]
) -> frozenset[str]:
    """Return the engines to which a router keeps connections, in its zone if any."""
    names = [one.listed.id for one in engines if one.listed.zone == request.zone]
    names = names or [one.listed.id for one in engines]
    digest = xxh3_64_intdigest(request.router.encode())
    return frozenset(rank_endpoints(digest, names)[:PREFERRED_ENGINES])


def _move_ms(size_bytes: int, link_mbps: float, is_near: bool) -> float:
    if link_mbps <= 0:
        return 0.0
    duration_ms = size_bytes * 8 / (link_mbps * 1000)
    return duration_ms if is_near else duration_ms * ZONE_MOVE_FACTOR


def _plan_move(
    address: str,
    held_tokens: int,
    size_bytes: int,
    link_mbps: float,
    is_near: bool,
    links: tuple[TransferLink, TransferLink],
    now_ms: int,
) -> _Source | None:
    """Return a source with its delay, None if a link is busy for too long."""
    wait_ms = max(link.wait_ms(now_ms) for link in links)
    if wait_ms > LONGEST_LINK_WAIT_MS:
        return None
    move_ms = wait_ms + _move_ms(size_bytes, link_mbps, is_near)
    return _Source(address, held_tokens, move_ms, links[0])


def part_keys(request: PlacementRequest, version: int) -> PartSizes:
    """Return the parts of a prompt as engines cache them under a version."""
    salt = cache_salt(request.model, version, request.wall)
    return [((salt, digest), tokens) for digest, tokens in request.parts]
