"""Eight routers with the real decision code in front of fake engines."""

import random
from collections import deque
from dataclasses import dataclass, field, replace

from bench.baselines import BASELINES, Baseline, ExactIndex
from bench.engine import (
    IMPORT_TOKENS_PER_MS,
    PREFILL_TOKENS_PER_MS,
    SLOTS,
    Clock,
    Engine,
    Job,
    Work,
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

RETAINED_EVENTS_PER_ENGINE, REPLAY_MS = 300, 500.0
REPORT_MS, REPORT_DELAY_MS = 500.0, 250.0
PUMP_MS = 20.0
COMMIT_MS, FOLLOW_MS = 30.0, 150.0
CALLER_RETRIES, CALLER_RETRY_MS = 20, 300.0
SETTINGS = SelectionSettings(
    routers=8,
    prefill_tokens_per_s=PREFILL_TOKENS_PER_MS * 1000,
    import_tokens_per_s=IMPORT_TOKENS_PER_MS * 1000,
    slots=SLOTS,
)
OURS, EXACT = "this policy", "exact knowledge"
POLICIES = (OURS, EXACT, *BASELINES)


@dataclass(frozen=True)
class Options:
    """Policy under test; ``off`` names mechanisms that are switched off."""

    policy: str = OURS
    off: frozenset[str] = frozenset()


@dataclass
class Fleet:
    """One run."""

    deployment: Deployment
    scenario: Scenario
    options: Options
    seed: int
    clock: Clock = field(default_factory=Clock)
    quarantined: frozenset[str] = frozenset()
    crash_counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        zones = self.deployment.zones
        self.engines: list[Engine] = []
        for i in range(self.deployment.engines):
            zone = f"zone-{i % zones}"
            engine = Engine(f"engine-{i}", zone, self.clock, self.engines, self.publish)
            self.engines.append(engine)
        self.by_name = {engine.name: engine for engine in self.engines}
        retained = RETAINED_EVENTS_PER_ENGINE * self.deployment.engines
        self.history: deque[tuple[str, str, str, int]] = deque(maxlen=retained)
        self.gaps: dict[str, int] = {}
        self.reports = {
            engine.name: (0.0, Candidate(engine.name, "1", engine.zone))
            for engine in self.engines
        }
        self.snapshot: tuple[float, tuple[Candidate, ...]] = (-1.0, ())
        make = RouterUnderTest if self.options.policy in (OURS, EXACT) else PlainRouter
        self.routers = [make(self, i) for i in range(self.deployment.routers)]

    def run(self) -> None:
        """Run the scenario to its end."""
        scenario = self.scenario
        for work in scenario.works:
            self.clock.after(work.arrived, self.enter, work)
        for engine in self.engines:
            self.clock.after(self.rng.uniform(0, REPORT_MS), self.report, engine)
        if scenario.restart_routers_at >= 0:
            self.clock.after(scenario.restart_routers_at, self.restart_routers)
        if scenario.crash_engine_at >= 0:
            self.clock.after(scenario.crash_engine_at, self.engines[0].crash, 5000.0)
        self.clock.run(scenario.duration_ms + 20_000.0)

    def enter(self, work: Work, tries: int = 0) -> None:
        """Send a request to a random entry host."""
        router = self.rng.choice(self.routers)
        router.arrive(work)
        if work.crashes and tries < CALLER_RETRIES:
            # The caller retries through another entry host without waiting.
            copy = replace(work, request_id=f"{work.request_id}-{tries}")
            self.clock.after(CALLER_RETRY_MS, self.enter, copy, tries + 1)

    def restart_routers(self) -> None:
        """Restart all routers at once."""
        for router in self.routers:
            router.restart()
        if "event replay" not in self.options.off:
            self.clock.after(REPLAY_MS, self.replay)

    def replay(self) -> None:
        """Deliver the events that the engines retain, as ``after=0`` returns them."""
        for name, incarnation, op, digest in list(self.history):
            self.event(name, incarnation, op, digest, 0)

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the reports with their present age."""
        if self.snapshot[0] != self.clock.now:
            aged = tuple(
                Candidate(
                    each.name,
                    each.incarnation,
                    each.zone,
                    each.state,
                    each.running,
                    each.queued,
                    each.queued_tokens,
                    int(self.clock.now - at),
                )
                for at, each in self.reports.values()
            )
            self.snapshot = (self.clock.now, aged)
        return self.snapshot[1]

    def report(self, engine: Engine) -> None:
        """Take a load report and send it with its delay."""
        running, queued, tokens = engine.load()
        report = Candidate(
            engine.name,
            str(engine.incarnation),
            engine.zone,
            "up" if engine.alive else "down",
            running,
            queued,
            tokens,
        )
        self.clock.after(REPORT_DELAY_MS, self.reported, self.clock.now, report)
        self.clock.after(REPORT_MS, self.report, engine)

    def reported(self, at: float, report: Candidate) -> None:
        """Deliver a load report to all routers."""
        self.reports[report.name] = (at, report)
        self.snapshot = (-1.0, ())

    def publish(self, engine: Engine, op: str, digest: int) -> None:
        """Send a cache event, or lose it."""
        if self.rng.random() < self.scenario.event_loss:
            self.gaps[engine.name] = self.gaps.get(engine.name, 0) + 1
            return
        delay = self.rng.uniform(*self.scenario.event_delay)
        self.history.append((engine.name, str(engine.incarnation), op, digest))
        gap = self.gaps.pop(engine.name, 0)
        incarnation = str(engine.incarnation)
        self.clock.after(delay, self.event, engine.name, incarnation, op, digest, gap)

    def event(
        self, name: str, incarnation: str, op: str, digest: int, gap: int
    ) -> None:
        """Deliver a cache event to all routers."""
        now = int(self.clock.now)
        for router in self.routers:
            if gap:
                router.index.mark_gap(name, now)
            if op == "stored":
                router.index.record(name, incarnation, digest, 0.95, now)
            else:
                router.index.evict(name, digest, now)

    def report_crash(self, fingerprints: list[str]) -> None:
        """Count crashes in the whole system after a commit delay."""

        def commit() -> None:
            for each in fingerprints:
                self.crash_counts[each] = self.crash_counts.get(each, 0) + 1
            self.clock.after(FOLLOW_MS, follow)

        def follow() -> None:
            counts = self.crash_counts.items()
            self.quarantined = frozenset(name for name, count in counts if count > 1)
            for router in self.routers:
                router.told(fingerprints)

        self.clock.after(COMMIT_MS, commit)

    def delay(self, zone: str, engine: Engine) -> float:
        """Return the one-way delay to an engine."""
        return 0.2 if zone == engine.zone else self.deployment.zone_ms


class PlainRouter:
    """Router with a baseline policy: immediate dispatch, two retries."""

    def __init__(self, fleet: Fleet, number: int):
        self.fleet = fleet
        self.zone = f"zone-{number % fleet.deployment.zones}"
        self.rng = random.Random(fleet.seed * 100 + number)
        self.index = CacheIndex(100_000)
        self.policy: Baseline = BASELINES[fleet.options.policy](self.rng, self.index)

    def restart(self) -> None:
        """Lose all state of the router."""
        self.index = CacheIndex(100_000)
        self.policy = type(self.policy)(self.rng, self.index)

    def arrive(self, work: Work, tries: int = 0, excluded: str = "") -> None:
        """Accept a request."""
        now = int(self.fleet.clock.now)
        known = self.fleet.candidates()
        up = [each for each in known if each.state == "up" and each.name != excluded]
        if not up:
            work.outcome = "refused"
            return
        policy = self.policy
        name = policy.pick(work, up, now)
        engine = self.fleet.by_name[name]
        delay = self.fleet.delay(self.zone, engine)

        def first(job: Job) -> None:
            work.first = self.fleet.clock.now + delay
            work.cached, work.wasted = job.cached, job.wasted

        def done(job: Job) -> None:
            policy.ended(name)
            work.done, work.outcome = self.fleet.clock.now, "done"

        def fail(job: Job, was_running: bool) -> None:
            policy.ended(name)
            if work.first >= 0 or tries >= 2:
                work.outcome = "failed"
            else:
                self.fleet.clock.after(1.0, self.arrive, work, tries + 1, name)

        job = Job(work, work.rank, first, done, fail)
        self.fleet.clock.after(delay, engine.submit, job)
        self.fleet.clock.after(
            max(0.0, work.deadline - self.fleet.clock.now), self._give_up, job
        )

    def _give_up(self, job: Job) -> None:
        if job.work.first < 0 and job.remaining < 0 and not job.cancelled:
            job.cancelled = True
            job.work.outcome = "late"


class RouterUnderTest:
    """Router with the packages routing and admission."""

    def __init__(self, fleet: Fleet, number: int):
        self.fleet = fleet
        self.number = number
        self.zone = f"zone-{number % fleet.deployment.zones}"
        self.off = fleet.options.off
        self.restart()

    def restart(self) -> None:
        """Lose all state of the router."""
        fleet, off = self.fleet, self.off
        changes = {
            key: value for key, value in OFF_SETTINGS.items() if key in off
        }.values()
        settings = replace(SETTINGS, zone_ms=fleet.deployment.zone_ms)
        for change in changes:
            settings = replace(settings, **change)
        seed = fleet.seed * 100 + self.number
        exact = fleet.options.policy == EXACT
        self.index = ExactIndex(fleet.by_name) if exact else CacheIndex(100_000)
        if "eviction grace" in off:
            self.index.evict_grace_ms = 0
        if "index" in off:
            self.index = CacheIndex(0)
        self.selector = Selector(self.index, settings, random.Random(seed))
        floor = 0.0 if "minimum share" in off else 0.2
        shares = [ClassShare("urgent", 0), ClassShare("patient", 1, floor)]
        self.queue = FairQueue(shares, {}, random.Random(seed + 1))
        self.budget = RetryBudget()
        self.suspects = Suspects()
        self.works: dict[str, tuple[Work, RouteRequest]] = {}
        self.pumping = False
        self.suspect_waits: deque[tuple[Work, RouteRequest]] = deque()

    def arrive(self, work: Work) -> None:
        """Accept a request."""
        now = int(self.fleet.clock.now)
        checked = self.check(work, now)
        if isinstance(checked, Refused):
            work.outcome = "refused"
            return
        request = RouteRequest(
            work.request_id,
            work.account,
            work.class_name,
            work.rank,
            work.chain,
            work.prompt_tokens,
            work.output_tokens,
            int(work.deadline),
            self.zone,
            work.level_ends,
            suspect=self.suspects.is_suspect(fingerprint_of(work)),
        )
        if "fair queue" in self.off:
            self.send(work, request, 2 * work.rank + 1)
            return
        uncached = self.selector.expected_uncached_tokens(
            request, self.fleet.candidates(), now
        )
        item = QueueItem(
            work.request_id,
            "all" if "account fairness" in self.off else work.account,
            work.class_name,
            uncached + work.output_tokens,
            now,
            int(work.deadline) if "early refusal" not in self.off else 0,
        )
        if self.queue.offer(item) != ADMITTED:
            work.outcome = "refused"
            return
        self.works[work.request_id] = (work, request)
        if not self.pumping:
            self.pump()

    def told(self, fingerprints: list[str]) -> None:
        """Take in the fingerprints of a counted crash."""
        if not self.off & {"quarantine", "shared suspects"}:
            self.suspects.add(fingerprints, int(self.fleet.clock.now))

    def check(self, work: Work, now: int) -> object:
        """Apply the quarantine."""
        if "quarantine" in self.off:
            return ADMITTED
        return self.suspects.check(fingerprint_of(work), self.fleet.quarantined, now)

    def pump(self) -> None:
        """Dispatch queued requests into the headroom."""
        now = int(self.fleet.clock.now)
        capacity = Capacity(*[1 << 40] * 3)
        if "headroom" not in self.off:
            tokens = self.selector.headroom_tokens(self.fleet.candidates(), now)
            capacity = Capacity(*tokens)
            if "light accounts" in self.off:
                capacity = Capacity(tokens[1], tokens[1], tokens[2])
        for taken in self.queue.take(now, capacity):
            work, request = self.works.pop(taken.item.request_id)
            priority = taken.priority
            if "light accounts" in self.off:
                priority |= 1
            self.send(work, request, priority)
        for item, _ in self.queue.expired():
            self.works.pop(item.request_id)[0].outcome = "refused"
        self.pumping = len(self.queue) > 0
        if self.pumping:
            self.fleet.clock.after(PUMP_MS, self.pump)

    def send(self, work: Work, request: RouteRequest, priority: int) -> None:
        """Choose an endpoint and dispatch."""
        now = int(self.fleet.clock.now)
        fingerprint = fingerprint_of(work)
        checked = self.check(work, now)
        if isinstance(checked, Refused):
            self.wait_or_refuse(work, request, checked.reason)
            return
        suspect = "quarantine" not in self.off and self.suspects.is_suspect(fingerprint)
        rank = priority if "priority estimate" not in self.off else work.rank
        request = replace(request, suspect=suspect, rank=rank)
        choice = self.selector.choose(request, self.fleet.candidates(), now)
        if not isinstance(choice, Choice):
            self.wait_or_refuse(work, request, choice.reason)
            return
        self.selector.dispatched(choice, now)
        self.suspects.started(
            choice.attempt, fingerprint, choice.endpoint, choice.incarnation, now
        )
        if request.attempt == 1:
            self.budget.first_attempt(choice.endpoint)
        self.submit(work, choice, priority)

    def wait_or_refuse(self, work: Work, request: RouteRequest, reason: str) -> None:
        """Wait for the endpoint of a suspect, or refuse."""
        if reason == "quarantined" or self.fleet.clock.now > work.deadline:
            work.outcome = "refused"
        else:
            self.fleet.clock.after(100.0, self.send, work, request, 2 * work.rank + 1)

    def submit(self, work: Work, choice: Choice, priority: int) -> None:
        """Send the job to the engine."""
        clock = self.fleet.clock
        engine = self.fleet.by_name[choice.endpoint]
        delay = self.fleet.delay(self.zone, engine)
        selector, suspects = self.selector, self.suspects

        def first(job: Job) -> None:
            work.first = clock.now + delay
            work.cached, work.wasted = job.cached, job.wasted
            selector.first_token(choice.attempt, job.cached, int(clock.now + delay))

        def done(job: Job) -> None:
            work.done, work.outcome = clock.now, "done"
            selector.finished(choice.attempt, int(clock.now))
            suspects.completed(choice.attempt)

        def fail(job: Job, was_running: bool) -> None:
            self.failed(work, choice, was_running)

        source = self.fleet.by_name.get(choice.import_from)
        job = Job(work, priority, first, done, fail, source, choice.import_pieces)
        clock.after(delay, engine.submit, job)
        clock.after(max(0.0, work.deadline - clock.now), self.give_up, job, choice)

    def failed(self, work: Work, choice: Choice, was_running: bool) -> None:
        """Report the crash and retry within the budget."""
        now = int(self.fleet.clock.now)
        if was_running and "quarantine" not in self.off:
            lost = self.suspects.endpoint_died(choice.endpoint, choice.incarnation, now)
            if lost:
                self.fleet.report_crash(lost)
        self.suspects.stopped(choice.attempt, now)
        self.selector.failed(choice.attempt, now)
        request = choice.request
        if work.first >= 0 or not self.budget.allow_retry(choice.endpoint, "lost"):
            work.outcome = "failed"
            return
        again = replace(
            request,
            attempt=request.attempt + 1,
            excluded=request.excluded | {choice.endpoint},
        )
        self.fleet.clock.after(1.0, self.send, work, again, 2 * work.rank + 1)

    def give_up(self, job: Job, choice: Choice) -> None:
        """Cancel a request that is late and still waiting."""
        if job.work.first < 0 and job.remaining < 0 and not job.cancelled:
            job.cancelled = True
            job.work.outcome = "late"
            self.selector.finished(choice.attempt, int(self.fleet.clock.now))
            self.suspects.stopped(choice.attempt, int(self.fleet.clock.now))


def fingerprint_of(work: Work) -> str:
    return str(work.chain[-1])


# Not a removal: --off "fixed speed" turns the speed estimate on.
OFF_SETTINGS: dict[str, dict[str, object]] = {
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
    *OFF_SETTINGS,
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
