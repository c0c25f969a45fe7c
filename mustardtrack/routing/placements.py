"""Central placement of prompts on model engines for all routers.

Load pattern: many routers that each see a small part of the traffic place long
prompts, of which an engine prefills only a few per second, on the same engines. With
local information they all select the engine that looks idle, and shared prefixes are
recomputed on one engine after another. Therefore one process, the leading control
host, places all prompts of a deployment. It tracks the pending prefill of each engine
and the prefixes that each engine has computed and not yet evicted.

The table is advisory. A router that receives no answer in time places the prompt
locally (:mod:`mustardtrack.routing.localplacement`).
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.configuration.routes import Service
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.answertimes import AnswerTimes
from mustardtrack.routing.cachesalts import cache_salt
from mustardtrack.routing.contention import Contention
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.enginememory import memory_cost_ms
from mustardtrack.routing.enginespeeds import EngineSpeeds, LoadReport
from mustardtrack.routing.enginestate import (
    URGENCY_LEVELS,
    EngineState,
    PartSizes,
    PlacedPrompt,
)
from mustardtrack.routing.firsttoken import (
    PrefillPlan,
    batch_penalty_ms,
    estimate_first_token_ms,
    record_first_token,
    wind_down_cost_ms,
)
from mustardtrack.routing.kvstores import MIN_STORE_TOKENS, KvStores
from mustardtrack.routing.pace import FixedBackoff, PlacementPace
from mustardtrack.routing.placementmessages import Placement, PlacementRequest
from mustardtrack.routing.preferredengines import find_affine_engine, find_preferred
from mustardtrack.routing.prefillrates import PrefillRates
from mustardtrack.routing.prefixdemand import PrefixDemand
from mustardtrack.routing.transfers import (
    NO_FETCH_SOURCE,
    FetchSource,
    choose_source,
    plan_transfer,
)
from mustardtrack.routing.weightslimit import WeightsLimit

# Fraction of the learned prefill rate with which engines are planned. A late prompt
# loses more than an early one gains, and running answers slow prefill at times.
PLANNED_RATE_FRACTION = 0.6
# Time for which a planned rate is used again. Deviations have a half-life of seconds.
PLANNED_RATE_LIFETIME_MS = 50
# Cached tokens below which a fetch from an engine costs more than recomputing them.
MIN_FETCH_TOKENS = 64
# Delay charged for an engine other than the one that rendezvous hashing prefers for a
# prefix. A new leader then finds prefixes where the previous leader placed them.
AFFINITY_PENALTY_MS = 40.0
# Delay charged for recomputing cached tokens, as a multiple of the time it takes. It
# occupies an engine that other prompts wait for.
RECOMPUTE_WEIGHT = 1.3
# Fraction of the objective beyond which an estimate counts as late, since estimates are
# rough.
LATE_OBJECTIVE_FRACTION = 0.7
# Delay charged for each millisecond beyond that fraction.
LATENESS_WEIGHT = 3.0
# Delay charged for weights superseded for some time, which reduce the value of a
# request by a fifth.
OLD_WEIGHTS_PENALTY_MS = 450.0
# Time after which a response on superseded weights loses value, less the time until a
# placed prompt begins to run.
OLD_WEIGHTS_GRACE_MS = 1000
# Delay charged for a prompt without a long shared prefix on an engine that the router
# does not prefer. Such prompts have objectives of seconds, and a new connection costs
# an engine about as much as prefill of this duration.
NEW_CONNECTION_PENALTY_MS = 40.0
# Delay charged for traffic between availability zones, which is billed.
ZONE_PENALTY_MS = 8.0
# Delay charged for each recent refusal of an engine. An engine that sheds load looks
# idle and would attract requests that it refuses again.
REFUSAL_PENALTY_MS = 120.0
EXPIRY_PERIOD_MS = 500
# Weight of the time until an engine takes a request under the limit that it names. With
# the weight of relaxed objectives alone, such requests would queue for seconds.
LIMIT_WAIT_WEIGHT = 2.0
# Multiple of an estimate after which a prompt has begun in nearly all cases.
BEGIN_UNCERTAINTY_FACTOR = 1.5
# Urgency levels per work class.
URGENCY_STEP = 2
# Objective from which a prompt is queued behind those of its class with shorter
# objectives: twice the specified objective of long prompts.
RELAXED_OBJECTIVE_MS = 2000
# Weight of the time to first token in the cost of a prompt with a relaxed objective.
# Otherwise engines without a queue would attract all short prompts, which would fill
# their batches.
RELAXED_WAIT_WEIGHT = 0.25
# Urgency of a prompt that would be late in its own class, where it would only delay the
# prompts behind it as well.
DEMOTED_URGENCY = 4
# Multiple of the objective beyond which an estimate causes a prompt to be demoted.
DEMOTION_OBJECTIVE_FACTOR = 1.25


def engine_urgency(rank: int, objective_ms: int) -> int:
    """Return the urgency that is sent to an engine for a work class.

    Within a class, prompts with relaxed objectives are queued behind the others.
    """
    return min(URGENCY_LEVELS - 1, rank * URGENCY_STEP + _is_relaxed(objective_ms))


def _is_relaxed(objective_ms: int) -> bool:
    return objective_ms >= RELAXED_OBJECTIVE_MS


class PlacementTable:
    """Engines of a deployment with their estimated loads and caches.

    Times are monotonic milliseconds of the process that owns the table.

    Attributes:
        limits: Limits that engines name for the requests of all hosts together.
        notices: What the endpoints announced to the routers.
        rates: Learned prefill rates of the engines.
        answer_times: Learned times of answers.
        speeds: Lasting and momentary speeds of the engines.
        stores: Estimated contents of the KV cache stores.
        weights_limit: Time that is left to begin requests on each weights version.
        contention: Order of admission while demand exceeds the capacity.
        winding_down: Engines that are about to load weights when their answers end.

    Args:
        weights_limit_ms: Time limit to begin requests on superseded weights.
        pace: Decides which engines may get another prompt.
    """

    def __init__(
        self, weights_limit_ms: int, pace: PlacementPace | None = None
    ) -> None:
        self.pace = FixedBackoff() if pace is None else pace
        self.limits = RateLimits("")
        self.notices = EndpointNotices()
        self.rates = PrefillRates()
        self.answer_times = AnswerTimes()
        self.speeds = EngineSpeeds(self.answer_times)
        self.contention = Contention()
        self.winding_down: frozenset[str] = frozenset()
        self._engines: dict[str, EngineState] = {}
        self._placed: dict[str, PlacedPrompt] = {}
        self.stores = KvStores()
        self.weights_limit = WeightsLimit(weights_limit_ms)
        self._prefix_demand = PrefixDemand()
        self._next_expiry_ms = 0

    def update(self, endpoints: Sequence[ListedEndpoint], now_ms: int = 0) -> None:
        """Adopt the endpoint list."""
        self.pace.update(endpoints, now_ms)
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
        self.rates.forget_engines(set(engines))
        self.speeds.forget_engines(engines)
        for removed in self._engines.values():
            for request_id in removed.placed:
                self._placed.pop(request_id, None)
        self._engines = engines

    def place(
        self,
        request: PlacementRequest,
        service: Service,
        stores: Sequence[Service],
        newest_versions: Mapping[str, int],
        now_ms: int,
    ) -> Placement:
        """Choose an engine and record the prompt as placed on it.

        Args:
            request: Prompt to place.
            service: Service whose engines may run it.
            stores: KV cache stores that can be reached.
            newest_versions: Newest weights version of each model.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        self.weights_limit.update(newest_versions, now_ms)
        context = _PlacementContext(request, service, stores, newest_versions, now_ms)
        usable = self._find_usable(context)
        if not usable:
            return Placement(is_authoritative=self._has_engines(request.service))
        context.base_ms = self.speeds.base_ms(request.service, now_ms)
        context.is_uneven = self.speeds.is_uneven(request.service, now_ms)
        if context.is_uneven:
            context.avoids_winding_down = any(
                engine.listed.id not in self.winding_down for engine in usable
            )
            self._prefix_demand.record(request, now_ms)
        if context.shared_tokens >= MIN_STORE_TOKENS:
            context.affine_engine = find_affine_engine(request, usable)
        elif request.router:
            context.preferred = find_preferred(request, usable)
        urgency = context.urgency
        estimate = self._find_best(context, usable, urgency)
        demoted = self._demoted_urgency(request)
        is_late = (
            estimate.first_token_ms > DEMOTION_OBJECTIVE_FACTOR * request.objective_ms
        )
        if is_late and urgency < demoted:
            urgency = demoted
            estimate = self._find_best(context, usable, urgency)
        if math.isinf(estimate.cost_ms):
            # It would exceed the memory of each engine, or begin on weights whose time
            # limit has expired by then.
            no_room = context.lacks_memory
            return Placement(
                exceeds_caller_timeout=no_room,
                is_authoritative=True,
                lacks_memory=no_room,
            )
        refusal = self.contention.check(request, estimate.first_token_ms, now_ms)
        if refusal is not None:
            return refusal
        return self._commit(context, estimate, urgency)

    def _demoted_urgency(self, request: PlacementRequest) -> int:
        """Return the urgency of a late prompt, under contention within its rank."""
        if not self.contention.is_contended(request.service):
            return DEMOTED_URGENCY
        return min(DEMOTED_URGENCY, request.rank * URGENCY_STEP + URGENCY_STEP - 1)

    def record_prefilled(self, request_ids: Iterable[str], now_ms: int) -> None:
        """Record the end of prefill for prompts whose first token has arrived."""
        for request_id in request_ids:
            prompt = self._placed.get(request_id)
            if prompt is None:
                continue
            engine = self._engines.get(prompt.engine)
            if engine is not None:
                record_first_token(engine, prompt, self.speeds, self.rates, now_ms)
            self.stores.end_saves(prompt.keys)

    def record_loads(self, loads: Mapping[str, LoadReport], now_ms: int) -> None:
        """Record the loads that engines reported to a router."""
        for endpoint_id in loads.keys() & self._engines.keys():
            engine, report = self._engines[endpoint_id], loads[endpoint_id]
            service = engine.listed.service
            load = self.speeds.record_load(service, endpoint_id, report, now_ms)
            if load is not None:
                engine.record_queue(load.outstanding, load.observed_ms)

    def is_queued(self, request_id: str, now_ms: int) -> bool:
        """Return whether a prompt still waits in the queue of its engine."""
        prompt = self._placed.get(request_id)
        engine = self._engines.get(prompt.engine) if prompt else None
        if prompt is None or engine is None or prompt.is_prefilled:
            return False
        return engine.progress.is_waiting_in_queue(
            prompt.urgency, prompt.placed_ms, now_ms
        )

    def record_end(self, request_ids: Iterable[str], now_ms: int | None = None) -> None:
        """Remove requests that have ended, at a known time if it is given."""
        for request_id in request_ids:
            if now_ms is not None:
                self._learn_answer_time(request_id, now_ms)
            self._remove(request_id)

    def _learn_answer_time(self, request_id: str, now_ms: int) -> None:
        prompt = self._placed.get(request_id)
        engine = self._engines.get(prompt.engine) if prompt else None
        if prompt is None or engine is None or prompt.first_token_ms is None:
            return
        duration_ms = now_ms - prompt.first_token_ms
        service, tokens = engine.listed.service, prompt.output_tokens
        self.answer_times.record(service, tokens, duration_ms)
        name = engine.listed.id
        self.speeds.record_answer(service, name, tokens, duration_ms, now_ms)

    def record_unreachable(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Record endpoints that a router could not reach."""
        self.pace.record_unreachable(endpoint_ids, now_ms)

    def record_refusal(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Count refused requests, one for each occurrence of an engine."""
        for endpoint_id in endpoint_ids:
            engine = self._engines.get(endpoint_id)
            if engine is not None:
                engine.record_refusal(now_ms)

    def apply_events(
        self, endpoint_id: str, changes: Iterable[tuple[str, str, int]]
    ) -> None:
        """Apply cache events of an engine to its estimated cache."""
        engine = self._engines.get(endpoint_id)
        if engine is None:
            return
        for salt, digest, tokens in changes:
            engine.apply_cache_event((salt, digest), tokens)

    def replace_cache(
        self, endpoint_id: str, held: Iterable[tuple[str, str, int]]
    ) -> None:
        """Replace the estimated cache of an engine by the content that it lists."""
        engine = self._engines.get(endpoint_id)
        if engine is not None:
            engine.replace(((salt, digest), tokens) for salt, digest, tokens in held)

    def clear_cache(self, endpoint_id: str) -> None:
        """Clear the estimated cache of an engine that has restarted."""
        engine = self._engines.get(endpoint_id)
        if engine is not None:
            engine.clear()

    def outstanding(self, endpoint_id: str) -> int:
        """Return the number of requests on an engine."""
        engine = self._engines.get(endpoint_id)
        return len(engine.placed) if engine else 0

    def count_not_started(self, endpoint_id: str) -> int:
        """Return the number of requests on an engine without a first token."""
        engine = self._engines.get(endpoint_id)
        prompts = engine.placed.values() if engine else ()
        return sum(1 for prompt in prompts if not prompt.is_prefilled)

    def remaining_answer_ms(self, endpoint_id: str, now_ms: int) -> float:
        """Return the expected time until all requests on an engine have ended."""
        engine = self._engines.get(endpoint_id)
        if engine is None:
            return 0.0
        service = engine.listed.service
        token_ms = self.speeds.token_ms(service, endpoint_id, now_ms)
        return engine.remaining_answer_ms(token_ms, now_ms)

    def mean_queue_ms(self, now_ms: int) -> float:
        """Return the mean time in which engines prefill their placed prompts."""
        engines = [
            engine for engine in self._engines.values() if not engine.listed.is_loading
        ]
        queues_ms = (
            sum(engine.pending_prefill_tokens) / self._tokens_per_ms(engine, now_ms)
            for engine in engines
        )
        return sum(queues_ms) / max(1, len(engines))

    def _tokens_per_ms(self, engine: EngineState, now_ms: int) -> float:
        """Return the prefill rate with which an engine is planned.

        It changes slowly, and computing it for each prompt and engine takes an eighth
        of the time of a placement.
        """
        if now_ms < engine.planned_rate_until_ms:
            return engine.planned_rate
        listed = engine.listed
        lasting = -self.speeds.step_deviation(listed.service, listed.id, now_ms)
        learned = self.rates.tokens_per_ms(listed.service, listed.id, now_ms, lasting)
        engine.planned_rate = PLANNED_RATE_FRACTION * learned
        engine.planned_rate_until_ms = now_ms + PLANNED_RATE_LIFETIME_MS
        return engine.planned_rate

    def _find_usable(self, context: "_PlacementContext") -> list[EngineState]:
        request = context.request
        candidates = [
            engine
            for engine in self._engines.values()
            if engine.listed.service == request.service
            and not engine.listed.is_draining
            and not engine.listed.is_loading
            and engine.listed.id not in request.tried
            and not self._is_past_weights_limit(engine, context)
        ]
        return self.pace.select(candidates, request.may_probe, context.now_ms)

    def _has_engines(self, service: str) -> bool:
        engines = self._engines.values()
        return any(engine.listed.service == service for engine in engines)

    def _is_past_weights_limit(
        self, engine: EngineState, context: "_PlacementContext"
    ) -> bool:
        """Return whether requests may no longer begin on an engine's weights."""
        version = engine.listed.weights.get(context.request.model, 0)
        return self._left_to_send_ms(context, version) <= 0

    def _left_to_send_ms(self, context: "_PlacementContext", version: int) -> float:
        """Return the time in which the prompt must begin on a weights version."""
        if version not in context.left_to_send_ms:
            context.left_to_send_ms[version] = self.weights_limit.left_to_send_ms(
                context.request.model, version, context.now_ms
            )
        return context.left_to_send_ms[version]

    def _superseded_for_ms(
        self, context: "_PlacementContext", version: int
    ) -> int | None:
        """Return the time since a newer version was named, None if there is none."""
        if version not in context.superseded_for_ms:
            context.superseded_for_ms[version] = self.weights_limit.superseded_for_ms(
                context.request.model, version, context.now_ms
            )
        return context.superseded_for_ms[version]

    def _find_best(
        self, context: "_PlacementContext", usable: list[EngineState], urgency: int
    ) -> "_Estimate":
        return min(
            (self._estimate(engine, context, urgency) for engine in usable),
            key=lambda estimate: estimate.cost_ms,
        )

    def _estimate(
        self, engine: EngineState, context: "_PlacementContext", urgency: int
    ) -> "_Estimate":
        request = context.request
        version = engine.listed.weights.get(request.model, context.newest_version)
        shared = context.shared(version)
        cached = engine.cached_prefix(shared)
        source = self._find_source(engine, context, version, cached)
        held = max(cached, source.held_tokens)
        uncached_tokens = max(1, request.tokens - held)
        tokens_per_ms = self._tokens_per_ms(engine, context.now_ms)
        plan = PrefillPlan(
            uncached_tokens,
            tokens_per_ms,
            source.transfer_ms,
            urgency,
            urgency > context.urgency,
            context.slots,
            engine.outstanding(context.now_ms),
            context.base_ms,
            self.contention.is_enabled,
        )
        first_token_ms = estimate_first_token_ms(
            engine, self.speeds, plan, context.now_ms
        )
        delay_ms = self.limits.wait_ms(engine.listed.id, 1, context.now_ms)
        first_token_ms += delay_ms
        late_ms = first_token_ms - LATE_OBJECTIVE_FRACTION * request.objective_ms
        cost_ms = context.wait_weight * first_token_ms + LIMIT_WAIT_WEIGHT * delay_ms
        cost_ms += LATENESS_WEIGHT * max(0.0, late_ms)
        recompute_ms = max(0, context.shared_tokens - held) / tokens_per_ms
        cost_ms += self._recompute_weight(context, version) * recompute_ms
        superseded_for_ms = self._superseded_for_ms(context, version)
        if superseded_for_ms is not None and superseded_for_ms >= OLD_WEIGHTS_GRACE_MS:
            cost_ms += OLD_WEIGHTS_PENALTY_MS
        begin_ms = BEGIN_UNCERTAINTY_FACTOR * first_token_ms
        if begin_ms > self._left_to_send_ms(context, version):
            cost_ms = math.inf
        if engine.listed.id in self.winding_down:
            cost_ms += wind_down_cost_ms(
                engine,
                self.speeds,
                request.output_tokens,
                first_token_ms,
                context.avoids_winding_down,
                context.now_ms,
            )
        cost_ms += REFUSAL_PENALTY_MS * engine.recent_refusals(context.now_ms)
        if engine.listed.zone != request.zone:
            cost_ms += ZONE_PENALTY_MS
        if context.affine_engine and engine.listed.id != context.affine_engine:
            cost_ms += AFFINITY_PENALTY_MS
        if context.preferred and engine.listed.id not in context.preferred:
            cost_ms += NEW_CONNECTION_PENALTY_MS
        cost_ms += batch_penalty_ms(plan.outstanding, context.slots)
        memory_ms = memory_cost_ms(
            engine,
            context.service.engine,
            request.tokens,
            request.output_tokens,
            lambda: context.parts(version),
            context.is_uneven,
            context.now_ms,
        )
        cost_ms += memory_ms
        context.lacks_memory |= math.isinf(memory_ms)
        return _Estimate(
            cost_ms, first_token_ms, engine, source, uncached_tokens, version, delay_ms
        )

    def _recompute_weight(self, context: "_PlacementContext", version: int) -> float:
        weight = context.recompute_weights.get(version)
        if weight is None:
            weight, shared = RECOMPUTE_WEIGHT, context.shared(version)
            if context.is_uneven:
                holders = (one.cached_prefix(shared) for one in self._engines.values())
                weight *= self._prefix_demand.share_of_copy(
                    context.request, holders, context.now_ms
                )
            context.recompute_weights[version] = weight
        return weight

    def _find_source(
        self,
        engine: EngineState,
        context: "_PlacementContext",
        version: int,
        cached: int,
    ) -> FetchSource:
        """Return the engine that holds most of the parts, or else the store."""
        limits = context.service.engine
        if limits is None or context.shared_tokens - cached < MIN_FETCH_TOKENS:
            return NO_FETCH_SOURCE
        found = self._find_engine_sources(engine, context, version, cached)
        is_zoned = len(context.stores) > 1
        if not is_zoned and found:
            return found[0]
        found += self.stores.find_sources(
            context.stores,
            context.shared(version),
            cached,
            limits.kv_bytes_per_token,
            engine.listed.zone,
            engine.link,
            context.now_ms,
        )
        return choose_source(found)

    def _find_engine_sources(
        self,
        engine: EngineState,
        context: "_PlacementContext",
        version: int,
        cached: int,
    ) -> list[FetchSource]:
        """Return the engines to fetch from: the first of each zone distance."""
        limits = context.service.engine
        assert limits is not None
        found: dict[bool, FetchSource] = {}
        for held, other in self._holders(context, version):
            if held < cached + MIN_FETCH_TOKENS:
                break
            is_same_zone = other.listed.zone == engine.listed.zone
            if other is engine or is_same_zone in found:
                continue
            source = plan_transfer(
                other.listed.address,
                held,
                (held - cached) * limits.kv_bytes_per_token,
                limits.link_mbps,
                is_same_zone,
                (other.link, engine.link),
                context.now_ms,
            )
            if source is not None:
                found[is_same_zone] = source
                if len(context.stores) <= 1:
                    break
        return list(found.values())

    def _holders(
        self, context: "_PlacementContext", version: int
    ) -> list[tuple[int, EngineState]]:
        """Return the engines that hold fetchable parts, most tokens first."""
        holders = context.holders.get(version)
        if holders is None:
            shared = context.shared(version)
            found = (
                (engine.fetchable_prefix(shared), engine)
                for engine in self._engines.values()
                if not engine.listed.is_loading
            )
            holders = [item for item in found if item[0] >= MIN_FETCH_TOKENS]
            holders.sort(key=lambda item: -item[0])
            context.holders[version] = holders
        return holders

    def _commit(
        self, context: "_PlacementContext", estimate: "_Estimate", urgency: int
    ) -> Placement:
        request, now_ms = context.request, context.now_ms
        engine, source = estimate.engine, estimate.source
        self._remove(request.request_id)
        parts = context.parts(estimate.version)
        prompt = PlacedPrompt(
            engine=engine.listed.id,
            prefill_tokens=estimate.prefill_tokens,
            output_tokens=request.output_tokens,
            urgency=urgency,
            expires_ms=now_ms + request.time_left_ms,
            placed_ms=now_ms,
            keys=tuple(key for key, _ in parts),
        )
        self._placed[request.request_id] = prompt
        self.limits.reserve(engine.listed.id, now_ms)
        limits = context.service.engine
        capacity_tokens = limits.memory_tokens if limits is not None else 0
        engine.add(request.request_id, prompt, parts, capacity_tokens)
        if source.link is not None:
            source.link.add(source.transfer_ms, now_ms)
            engine.link.add(source.transfer_ms, now_ms)
            self.stores.record_fetch(source, len(context.stores) > 1)
        return Placement(
            endpoint=engine.listed.id,
            fetch_from=source.address
            or self.stores.find_backup(
                context.stores, context.shared(estimate.version), engine.listed.zone
            ),
            save_to=self.stores.plan_save(
                context.stores,
                parts,
                limits.kv_bytes_per_token if limits is not None else 0,
                engine.listed.zone,
                now_ms,
            ),
            expected_ms=round(estimate.first_token_ms, 1),
            prefill_tokens=estimate.prefill_tokens,
            urgency=urgency,
            is_authoritative=True,
            delay_ms=math.ceil(estimate.delay_ms),
            is_paced=self.pace.is_paced(engine.listed.id),
        )

    def _remove(self, request_id: str) -> None:
        prompt = self._placed.pop(request_id, None)
        if prompt is not None and prompt.engine in self._engines:
            self._engines[prompt.engine].remove(request_id)

    def _expire(self, now_ms: int) -> None:
        """Remove requests whose end no router has reported."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_PERIOD_MS
        ended = [
            key for key, prompt in self._placed.items() if prompt.expires_ms < now_ms
        ]
        self.record_end(ended)


@dataclass(frozen=True)
class _Estimate:
    cost_ms: float
    first_token_ms: float
    engine: EngineState
    source: FetchSource
    prefill_tokens: int
    version: int
    delay_ms: float


class _PlacementContext:
    """Prompt to be placed, with the values that are the same for all engines."""

    def __init__(
        self,
        request: PlacementRequest,
        service: Service,
        stores: Sequence[Service],
        newest_versions: Mapping[str, int],
        now_ms: int,
    ):
        self.request = request
        self.service = service
        self.shared_tokens = sum(tokens for _, tokens in request.parts[:-1])
        # The links of stores are reserved for long prefixes.
        is_long = self.shared_tokens >= MIN_STORE_TOKENS
        can_store = is_long and service.engine is not None
        self.stores = stores if can_store else ()
        self.newest_version = newest_versions.get(request.model, 1)
        self.now_ms = now_ms
        self.slots = service.engine.slots if service.engine is not None else 0
        self.urgency = engine_urgency(request.rank, request.objective_ms)
        is_relaxed = _is_relaxed(request.objective_ms)
        self.wait_weight = RELAXED_WAIT_WEIGHT if is_relaxed else 1.0
        self.base_ms = 0.0
        self.is_uneven = False
        self.lacks_memory = False
        self.avoids_winding_down = False
        self.recompute_weights: dict[int, float] = {}
        self.affine_engine = ""
        self.preferred: frozenset[str] = frozenset()
        self.holders: dict[int, list[tuple[int, EngineState]]] = {}
        self.superseded_for_ms: dict[int, int | None] = {}
        self.left_to_send_ms: dict[int, float] = {}
        self._parts: dict[int, PartSizes] = {}
        self._shared: dict[int, PartSizes] = {}

    def parts(self, version: int) -> PartSizes:
        """Return all salted parts as cached under a weights version."""
        parts = self._parts.get(version)
        if parts is None:
            parts = salted_parts(self.request, version)
            self._parts[version] = parts
        return parts

    def shared(self, version: int) -> PartSizes:
        """Return the shared salted parts as cached under a weights version."""
        shared = self._shared.get(version)
        if shared is None:
            shared = self.parts(version)[:-1]
            self._shared[version] = shared
        return shared


def salted_parts(request: PlacementRequest, version: int) -> PartSizes:
    """Return the parts of a prompt as engines cache them under a version."""
    salt = cache_salt(request.model, version, request.cache)
    return [((salt, digest), tokens) for digest, tokens in request.parts]
