"""Simulation of routers with the production decision code and simulated engines."""

import random
from collections import deque
from dataclasses import dataclass, field, replace

from bench.baselines import BASELINES, Baseline, OracleIndex
from bench.engine import (
    BATCH_SLOTS,
    KV_IMPORT_TOKENS_PER_MS,
    PREFILL_TOKENS_PER_MS,
    Engine,
    Job,
    SimulatedRequest,
    VirtualClock,
)
from bench.workload import Deployment, Scenario
from mustardtrack.admission import (
    ADMITTED,
    Capacity,
    ClassShare,
    FairQueue,
    QueueItem,
    Refused,
    RetryBudget,
    Suspects,
)
from mustardtrack.routing import (
    CacheIndex,
    Candidate,
    Choice,
    RouteRequest,
    SelectionSettings,
    Selector,
)

RETAINED_EVENTS_PER_ENGINE, EVENT_REPLAY_DELAY_MS = 300, 500.0
LOAD_REPORT_PERIOD_MS, LOAD_REPORT_DELAY_MS = 500.0, 250.0
DISPATCH_PERIOD_MS = 20.0
CRASH_COMMIT_MS, CRASH_PROPAGATION_MS = 30.0, 150.0
MAX_CALLER_RETRIES, CALLER_RETRY_DELAY_MS = 20, 300.0
SETTINGS = SelectionSettings(
    routers=8,
    prefill_tokens_per_s=PREFILL_TOKENS_PER_MS * 1000,
    import_tokens_per_s=KV_IMPORT_TOKENS_PER_MS * 1000,
    slots=BATCH_SLOTS,
)
ROUTER_POLICY, ORACLE_POLICY = "this policy", "exact knowledge"
POLICIES = (ROUTER_POLICY, ORACLE_POLICY, *BASELINES)


@dataclass(frozen=True)
class PolicyVariant:
    """Routing policy of a run and the mechanisms that are switched off in it."""

    policy: str = ROUTER_POLICY
    disabled: frozenset[str] = frozenset()


@dataclass
class Simulation:
    """One run of a scenario with several routers and engines."""

    deployment: Deployment
    scenario: Scenario
    variant: PolicyVariant
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    quarantined: frozenset[str] = frozenset()
    crash_counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        zones = self.deployment.zones
        self.engines: list[Engine] = []
        for i in range(self.deployment.engines):
            zone = f"zone-{i % zones}"
            engine = Engine(
                f"engine-{i}", zone, self.clock, self.engines, self.publish_cache_event
            )
            self.engines.append(engine)
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        retained = RETAINED_EVENTS_PER_ENGINE * self.deployment.engines
        self.retained_events: deque[tuple[str, str, str, int]] = deque(maxlen=retained)
        self.lost_events: dict[str, int] = {}
        self.reports = {
            engine.name: (0.0, Candidate(engine.name, "1", engine.zone))
            for engine in self.engines
        }
        self.cached_candidates: tuple[float, tuple[Candidate, ...]] = (-1.0, ())
        router_class = (
            RouterUnderTest
            if self.variant.policy in (ROUTER_POLICY, ORACLE_POLICY)
            else BaselineRouter
        )
        self.routers = [router_class(self, i) for i in range(self.deployment.routers)]

    def run(self) -> None:
        """Run the scenario to its end."""
        scenario = self.scenario
        for sim_request in scenario.requests:
            self.clock.call_later(
                sim_request.arrival_ms, self.send_to_router, sim_request
            )
        for engine in self.engines:
            self.clock.call_later(
                self.rng.uniform(0, LOAD_REPORT_PERIOD_MS),
                self.send_load_report,
                engine,
            )
        if scenario.restart_routers_at_ms >= 0:
            self.clock.call_later(scenario.restart_routers_at_ms, self.restart_routers)
        if scenario.crash_engine_at_ms >= 0:
            self.clock.call_later(
                scenario.crash_engine_at_ms, self.engines[0].crash, 5000.0
            )
        self.clock.run_until(scenario.duration_ms + 20_000.0)

    def send_to_router(self, sim_request: SimulatedRequest, retries: int = 0) -> None:
        """Send a request to a random router."""
        router = self.rng.choice(self.routers)
        router.accept(sim_request)
        if sim_request.crashes_engine and retries < MAX_CALLER_RETRIES:
            # The caller retries through a random router after a short fixed delay,
            # without waiting for the outcome of the previous try.
            copy = replace(
                sim_request, request_id=f"{sim_request.request_id}-{retries}"
            )
            self.clock.call_later(
                CALLER_RETRY_DELAY_MS, self.send_to_router, copy, retries + 1
            )

    def restart_routers(self) -> None:
        """Restart all routers at once."""
        for router in self.routers:
            router.restart()
        if "event replay" not in self.variant.disabled:
            self.clock.call_later(EVENT_REPLAY_DELAY_MS, self.replay_events)

    def replay_events(self) -> None:
        """Deliver all retained cache events, as for a request with ``after=0``."""
        for name, incarnation, op, digest in list(self.retained_events):
            self.deliver_cache_event(name, incarnation, op, digest, 0)

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the latest load reports with their current age."""
        if self.cached_candidates[0] != self.clock.now_ms:
            current = tuple(
                Candidate(
                    each.name,
                    each.incarnation,
                    each.zone,
                    each.state,
                    each.running,
                    each.queued,
                    each.queued_tokens,
                    int(self.clock.now_ms - reported_ms),
                )
                for reported_ms, each in self.reports.values()
            )
            self.cached_candidates = (self.clock.now_ms, current)
        return self.cached_candidates[1]

    def send_load_report(self, engine: Engine) -> None:
        """Read the load of an engine and send it to the routers with a delay."""
        running, queued, tokens = engine.load()
        report = Candidate(
            engine.name,
            str(engine.incarnation),
            engine.zone,
            "up" if engine.is_up else "down",
            running,
            queued,
            tokens,
        )
        self.clock.call_later(
            LOAD_REPORT_DELAY_MS, self.deliver_load_report, self.clock.now_ms, report
        )
        self.clock.call_later(LOAD_REPORT_PERIOD_MS, self.send_load_report, engine)

    def deliver_load_report(self, reported_ms: float, report: Candidate) -> None:
        """Deliver a load report to all routers."""
        self.reports[report.name] = (reported_ms, report)
        self.cached_candidates = (-1.0, ())

    def publish_cache_event(self, engine: Engine, op: str, digest: int) -> None:
        """Send a cache event with a delay, or lose it at the event loss rate."""
        if self.rng.random() < self.scenario.event_loss:
            self.lost_events[engine.name] = self.lost_events.get(engine.name, 0) + 1
            return
        delay_ms = self.rng.uniform(*self.scenario.event_delay_ms)
        self.retained_events.append((engine.name, str(engine.incarnation), op, digest))
        gap = self.lost_events.pop(engine.name, 0)
        incarnation = str(engine.incarnation)
        self.clock.call_later(
            delay_ms,
            self.deliver_cache_event,
            engine.name,
            incarnation,
            op,
            digest,
            gap,
        )

    def deliver_cache_event(
        self, name: str, incarnation: str, op: str, digest: int, gap: int
    ) -> None:
        """Deliver a cache event to all routers."""
        now_ms = int(self.clock.now_ms)
        for router in self.routers:
            if gap:
                router.index.mark_gap(name, now_ms)
            if op == "stored":
                router.index.record(name, incarnation, digest, 0.95, now_ms)
            else:
                router.index.evict(name, digest, now_ms)

    def report_crash(self, fingerprints: list[str]) -> None:
        """Count crashes per fingerprint as the control group does, after its delays."""

        def count_crashes() -> None:
            for each in fingerprints:
                self.crash_counts[each] = self.crash_counts.get(each, 0) + 1
            self.clock.call_later(CRASH_PROPAGATION_MS, propagate_quarantine)

        def propagate_quarantine() -> None:
            counts = self.crash_counts.items()
            self.quarantined = frozenset(name for name, count in counts if count > 1)
            for router in self.routers:
                router.add_suspects(fingerprints)

        self.clock.call_later(CRASH_COMMIT_MS, count_crashes)

    def one_way_delay_ms(self, zone: str, engine: Engine) -> float:
        """Return the one-way network delay to an engine in ms."""
        return 0.2 if zone == engine.zone else self.deployment.zone_ms


class BaselineRouter:
    """Router with a baseline policy, immediate dispatch and up to two retries."""

    def __init__(self, simulation: Simulation, number: int):
        self.simulation = simulation
        self.zone = f"zone-{number % simulation.deployment.zones}"
        self.rng = random.Random(simulation.seed * 100 + number)
        self.index = CacheIndex(100_000)
        self.policy: Baseline = BASELINES[simulation.variant.policy](
            self.rng, self.index
        )

    def restart(self) -> None:
        """Discard all state of the router."""
        self.index = CacheIndex(100_000)
        self.policy = type(self.policy)(self.rng, self.index)

    def accept(
        self, sim_request: SimulatedRequest, retries: int = 0, excluded: str = ""
    ) -> None:
        """Dispatch a request to an available engine, or refuse it if there is none."""
        now_ms = int(self.simulation.clock.now_ms)
        reported = self.simulation.candidates()
        available = [
            each for each in reported if each.state == "up" and each.name != excluded
        ]
        if not available:
            sim_request.outcome = "refused"
            return
        policy = self.policy
        name = policy.assign(sim_request, available, now_ms)
        engine = self.simulation.engines_by_name[name]
        delay_ms = self.simulation.one_way_delay_ms(self.zone, engine)

        def on_first_token(job: Job) -> None:
            sim_request.first_token_ms = self.simulation.clock.now_ms + delay_ms
            sim_request.cached_tokens, sim_request.recomputed_tokens = (
                job.cached_tokens,
                job.recomputed_tokens,
            )

        def on_completed(job: Job) -> None:
            policy.release(name)
            sim_request.completed_ms, sim_request.outcome = (
                self.simulation.clock.now_ms,
                "done",
            )

        def on_failed(job: Job, was_accepted: bool) -> None:
            policy.release(name)
            if sim_request.first_token_ms >= 0 or retries >= 2:
                sim_request.outcome = "failed"
            else:
                self.simulation.clock.call_later(
                    1.0, self.accept, sim_request, retries + 1, name
                )

        job = Job(
            sim_request, sim_request.rank, on_first_token, on_completed, on_failed
        )
        self.simulation.clock.call_later(delay_ms, engine.submit, job)
        self.simulation.clock.call_later(
            max(0.0, sim_request.deadline_ms - self.simulation.clock.now_ms),
            self._cancel_if_waiting,
            job,
        )

    def _cancel_if_waiting(self, job: Job) -> None:
        if (
            job.request.first_token_ms < 0
            and job.remaining_prefill_tokens < 0
            and not job.cancelled
        ):
            job.cancelled = True
            job.request.outcome = "late"


class RouterUnderTest:
    """Router that uses the routing and admission packages."""

    def __init__(self, simulation: Simulation, number: int):
        self.simulation = simulation
        self.number = number
        self.zone = f"zone-{number % simulation.deployment.zones}"
        self.disabled = simulation.variant.disabled
        self.restart()

    def restart(self) -> None:
        """Discard all state of the router and build it anew."""
        simulation, disabled = self.simulation, self.disabled
        changes = {
            key: value for key, value in DISABLED_SETTINGS.items() if key in disabled
        }.values()
        settings = replace(SETTINGS, zone_ms=simulation.deployment.zone_ms)
        for change in changes:
            settings = replace(settings, **change)
        seed = simulation.seed * 100 + self.number
        uses_oracle = simulation.variant.policy == ORACLE_POLICY
        self.index = (
            OracleIndex(simulation.engines_by_name)
            if uses_oracle
            else CacheIndex(100_000)
        )
        if "eviction grace" in disabled:
            self.index.evict_grace_ms = 0
        if "index" in disabled:
            self.index = CacheIndex(0)
        self.selector = Selector(self.index, settings, random.Random(seed))
        minimum_share = 0.0 if "minimum share" in disabled else 0.2
        shares = [ClassShare("urgent", 0), ClassShare("patient", 1, minimum_share)]
        self.queue = FairQueue(shares, {}, random.Random(seed + 1))
        self.budget = RetryBudget()
        self.suspects = Suspects()
        self.queued_requests: dict[str, tuple[SimulatedRequest, RouteRequest]] = {}
        self.dispatch_scheduled = False
        self.suspect_waits: deque[tuple[SimulatedRequest, RouteRequest]] = deque()

    def accept(self, sim_request: SimulatedRequest) -> None:
        """Apply the quarantine, then queue a request or refuse it."""
        now_ms = int(self.simulation.clock.now_ms)
        checked = self.check_quarantine(sim_request, now_ms)
        if isinstance(checked, Refused):
            sim_request.outcome = "refused"
            return
        request = RouteRequest(
            sim_request.request_id,
            sim_request.account,
            sim_request.class_name,
            sim_request.rank,
            sim_request.chain,
            sim_request.prompt_tokens,
            sim_request.output_tokens,
            int(sim_request.deadline_ms),
            self.zone,
            sim_request.level_ends,
            suspect=self.suspects.is_suspect(request_fingerprint(sim_request)),
        )
        if "fair queue" in self.disabled:
            self.dispatch(sim_request, request, 2 * sim_request.rank + 1)
            return
        uncached = self.selector.expected_uncached_tokens(
            request, self.simulation.candidates(), now_ms
        )
        item = QueueItem(
            sim_request.request_id,
            "all" if "account fairness" in self.disabled else sim_request.account,
            sim_request.class_name,
            uncached + sim_request.output_tokens,
            now_ms,
            int(sim_request.deadline_ms) if "early refusal" not in self.disabled else 0,
        )
        if self.queue.offer(item) != ADMITTED:
            sim_request.outcome = "refused"
            return
        self.queued_requests[sim_request.request_id] = (sim_request, request)
        if not self.dispatch_scheduled:
            self.dispatch_queued()

    def add_suspects(self, fingerprints: list[str]) -> None:
        """Mark the fingerprints of a counted crash as suspects."""
        if not self.disabled & {"quarantine", "shared suspects"}:
            self.suspects.add(fingerprints, int(self.simulation.clock.now_ms))

    def check_quarantine(self, sim_request: SimulatedRequest, now_ms: int) -> object:
        """Return whether the quarantine admits the request, or its refusal."""
        if "quarantine" in self.disabled:
            return ADMITTED
        return self.suspects.check(
            request_fingerprint(sim_request), self.simulation.quarantined, now_ms
        )

    def dispatch_queued(self) -> None:
        """Dispatch as many queued requests as the headroom of the engines allows."""
        now_ms = int(self.simulation.clock.now_ms)
        capacity = Capacity(*[1 << 40] * 3)
        if "headroom" not in self.disabled:
            tokens = self.selector.headroom_tokens(self.simulation.candidates(), now_ms)
            capacity = Capacity(*tokens)
            if "light accounts" in self.disabled:
                capacity = Capacity(tokens[1], tokens[1], tokens[2])
        for taken in self.queue.take(now_ms, capacity):
            sim_request, request = self.queued_requests.pop(taken.item.request_id)
            priority = taken.priority
            if "light accounts" in self.disabled:
                priority |= 1
            self.dispatch(sim_request, request, priority)
        for item, _ in self.queue.expired():
            self.queued_requests.pop(item.request_id)[0].outcome = "refused"
        self.dispatch_scheduled = len(self.queue) > 0
        if self.dispatch_scheduled:
            self.simulation.clock.call_later(DISPATCH_PERIOD_MS, self.dispatch_queued)

    def dispatch(
        self, sim_request: SimulatedRequest, request: RouteRequest, priority: int
    ) -> None:
        """Choose an endpoint and dispatch the request to it."""
        now_ms = int(self.simulation.clock.now_ms)
        fingerprint = request_fingerprint(sim_request)
        checked = self.check_quarantine(sim_request, now_ms)
        if isinstance(checked, Refused):
            self.retry_later_or_refuse(sim_request, request, checked.reason)
            return
        suspect = "quarantine" not in self.disabled and self.suspects.is_suspect(
            fingerprint
        )
        rank = (
            priority if "priority estimate" not in self.disabled else sim_request.rank
        )
        request = replace(request, suspect=suspect, rank=rank)
        choice = self.selector.choose(request, self.simulation.candidates(), now_ms)
        if not isinstance(choice, Choice):
            self.retry_later_or_refuse(sim_request, request, choice.reason)
            return
        self.selector.dispatched(choice, now_ms)
        self.suspects.started(
            choice.attempt, fingerprint, choice.endpoint, choice.incarnation, now_ms
        )
        if request.attempt == 1:
            self.budget.first_attempt(choice.endpoint)
        self.submit_to_engine(sim_request, choice, priority)

    def retry_later_or_refuse(
        self, sim_request: SimulatedRequest, request: RouteRequest, reason: str
    ) -> None:
        """Dispatch again later, or refuse if quarantined or past the deadline."""
        if (
            reason == "quarantined"
            or self.simulation.clock.now_ms > sim_request.deadline_ms
        ):
            sim_request.outcome = "refused"
        else:
            self.simulation.clock.call_later(
                100.0, self.dispatch, sim_request, request, 2 * sim_request.rank + 1
            )

    def submit_to_engine(
        self, sim_request: SimulatedRequest, choice: Choice, priority: int
    ) -> None:
        """Send the request to the chosen engine."""
        clock = self.simulation.clock
        engine = self.simulation.engines_by_name[choice.endpoint]
        delay_ms = self.simulation.one_way_delay_ms(self.zone, engine)
        selector, suspects = self.selector, self.suspects

        def on_first_token(job: Job) -> None:
            sim_request.first_token_ms = clock.now_ms + delay_ms
            sim_request.cached_tokens, sim_request.recomputed_tokens = (
                job.cached_tokens,
                job.recomputed_tokens,
            )
            selector.first_token(
                choice.attempt, job.cached_tokens, int(clock.now_ms + delay_ms)
            )

        def on_completed(job: Job) -> None:
            sim_request.completed_ms, sim_request.outcome = clock.now_ms, "done"
            selector.finished(choice.attempt, int(clock.now_ms))
            suspects.completed(choice.attempt)

        def on_failed(job: Job, was_accepted: bool) -> None:
            self.handle_failure(sim_request, choice, was_accepted)

        source = self.simulation.engines_by_name.get(choice.import_from)
        job = Job(
            sim_request,
            priority,
            on_first_token,
            on_completed,
            on_failed,
            source,
            choice.import_pieces,
        )
        clock.call_later(delay_ms, engine.submit, job)
        clock.call_later(
            max(0.0, sim_request.deadline_ms - clock.now_ms),
            self.cancel_if_waiting,
            job,
            choice,
        )

    def handle_failure(
        self, sim_request: SimulatedRequest, choice: Choice, was_accepted: bool
    ) -> None:
        """Report a possible crash and retry within the retry budget."""
        now_ms = int(self.simulation.clock.now_ms)
        if was_accepted and "quarantine" not in self.disabled:
            fingerprints = self.suspects.endpoint_died(
                choice.endpoint, choice.incarnation, now_ms
            )
            if fingerprints:
                self.simulation.report_crash(fingerprints)
        self.suspects.stopped(choice.attempt, now_ms)
        self.selector.failed(choice.attempt, now_ms)
        request = choice.request
        if sim_request.first_token_ms >= 0 or not self.budget.allow_retry(
            choice.endpoint, "lost"
        ):
            sim_request.outcome = "failed"
            return
        retry_request = replace(
            request,
            attempt=request.attempt + 1,
            excluded=request.excluded | {choice.endpoint},
        )
        self.simulation.clock.call_later(
            1.0, self.dispatch, sim_request, retry_request, 2 * sim_request.rank + 1
        )

    def cancel_if_waiting(self, job: Job, choice: Choice) -> None:
        """Cancel a request that is past its deadline and still queued at the engine."""
        if (
            job.request.first_token_ms < 0
            and job.remaining_prefill_tokens < 0
            and not job.cancelled
        ):
            job.cancelled = True
            job.request.outcome = "late"
            self.selector.finished(choice.attempt, int(self.simulation.clock.now_ms))
            self.suspects.stopped(choice.attempt, int(self.simulation.clock.now_ms))


def request_fingerprint(sim_request: SimulatedRequest) -> str:
    return str(sim_request.chain[-1])


# Settings that switch each mechanism off. Without "fixed speed", the selector learns
# the speed instead.
DISABLED_SETTINGS: dict[str, dict[str, object]] = {
    "peer estimate": {"count_peers": False},
    "fixed speed": {"learn_speed": True},
    "KV import": {"import_tokens_per_s": 0.0},
    "recompute weight": {"recompute_weight": 0.0},
    "home prior": {"home_prior": 0.0, "prior_floor": 0.0},
    "prior floor": {"prior_floor": 0.0},
    "even slots": {"slot_parts": (1.0, 1.0, 1.0)},
    "home choices": {"home_choices": 0, "home_prior": 0.0, "prior_floor": 0.0},
    "random choices": {"random_choices": 0},
}
MECHANISMS = (
    *DISABLED_SETTINGS,
    "index",
    "eviction grace",
    "event replay",
    "fair queue",
    "account fairness",
    "light accounts",
    "priority estimate",
    "headroom",
    "minimum share",
    "early refusal",
    "shared suspects",
    "quarantine",
)
