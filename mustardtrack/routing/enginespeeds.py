"""Lasting and momentary speeds of engines, learned from answers and their loads.

Load pattern: engines of one service differ in speed by a factor of nearly three, and
each is several times slower for about half a second at times. With one speed for all,
slow engines get queues that make prompts late while fast ones are idle.

The estimates take effect for services whose engines report how long work takes. For all
others the stated priors hold: steps of equal engines differ by chance, too.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from mustardtrack.logs import define_event, log_event
from mustardtrack.routing.answertimes import AnswerTimes

SPEED_REPORTED = define_event(8833, "INFO", "engines of a service report their speed")

# Time to first token at an idle engine, without prefill, until it is learned.
BASE_FIRST_TOKEN_MS = 40.0
MIN_BASE_MS, MAX_BASE_MS = 1.0, 400.0
# Weight of a first token in the average of that time, and the largest difference that
# one sample counts for: the first token may have waited for other causes.
BASE_WEIGHT = 0.05
MAX_BASE_ERROR_MS = 40.0
# Prefill of a prompt up to which its first token says how long the rest takes.
MAX_BASE_PREFILL_MS = 20.0
# Time for which a request occupies a batch slot until answers have been learned: ten to
# thirty output tokens, interleaved with prefill chunks of other prompts.
SLOT_HOLD_MS = 1000.0
# Answers that count as much as that prior.
PRIOR_ANSWERS = 20
# Weight of an answer in the deviation of its engine, and the largest change that one
# answer can ask for, as a logarithm.
STEP_WEIGHT = 0.02
MAX_LOG_ERROR = 0.7
# Limits of that deviation, as a logarithm: a factor of 4.
MAX_DEVIATION = math.log(4)
# Half-life of the deviation of an engine that gives no answers. The speed of an engine
# is a property of its hardware and outlasts pauses of some seconds.
DEVIATION_HALF_LIFE_MS = 60_000.0
# Time within which a momentary speed changes. A report has no weight after it.
SLOWDOWN_LIFETIME_MS = 500
# Time since the last report for which a service counts as one that reports its speed.
REPORTING_LIFETIME_MS = 60_000
# Speed figure up to which answers show the lasting speed of an engine.
MAX_USUAL_SLOWDOWN = 1.2
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.1, 20.0
MAX_ENGINES = 50_000


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load that an engine reported in an answer.

    Attributes:
        running: Requests that it ran.
        waiting: Requests that it had queued.
        slowdown: Duration of work as a multiple of the usual one.
        age_ms: Time since the answer.
    """

    running: int
    waiting: int
    slowdown: float
    age_ms: int = 0


@dataclass(frozen=True)
class KnownLoad:
    """Newest load of an engine, and the monotonic time of the answer."""

    outstanding: int
    slowdown: float
    observed_ms: int


@dataclass
class _EngineSteps:
    log_factor: float = 0.0
    count: int = 0
    updated_ms: int = 0

    def value(self, now_ms: int) -> float:
        age = max(0, now_ms - self.updated_ms) / DEVIATION_HALF_LIFE_MS
        return float(self.log_factor * 0.5**age)


@dataclass
class _ServiceSpeeds:
    engines: dict[str, _EngineSteps] = field(default_factory=dict)
    base_ms: float = BASE_FIRST_TOKEN_MS
    answers: int = 0
    reported_ms: int | None = None


class NewLoads:
    """Loads of engines that a router has not reported to the leader yet.

    Only those of engines that report how long work takes are kept.

    Examples:
        >>> loads = NewLoads()
        >>> loads.record("e", 3, 1, 2.5, 100)
        >>> loads.record("f", 3, 1, None, 100)
        >>> loads.take_report(130)
        {'e': LoadReport(running=3, waiting=1, slowdown=2.5, age_ms=30)}
        >>> loads.take_report(160)
        {}
    """

    def __init__(self) -> None:
        self._loads: dict[str, tuple[LoadReport, int]] = {}

    def record(
        self,
        engine: str,
        running: int,
        waiting: int,
        slowdown: float | None,
        now_ms: int,
    ) -> None:
        """Record the load in an answer, which replaces an earlier one."""
        if slowdown is not None:
            self._loads[engine] = LoadReport(running, waiting, slowdown), now_ms

    def take_report(self, now_ms: int) -> dict[str, LoadReport]:
        """Return the loads with their ages, and forget them."""
        loads, self._loads = self._loads, {}
        return {
            engine: msgspec.structs.replace(load, age_ms=now_ms - observed_ms)
            for engine, (load, observed_ms) in loads.items()
        }


class EngineSpeeds:
    """Speeds of engines by service, and the loads that engines report.

    Times are monotonic milliseconds.

    Args:
        answer_times: Learned time of an output token of each service.
    """

    def __init__(self, answer_times: AnswerTimes) -> None:
        self._answer_times = answer_times
        self._services: dict[str, _ServiceSpeeds] = {}
        self._loads: dict[str, KnownLoad] = {}

    def record_load(
        self, service: str, engine: str, report: LoadReport, now_ms: int
    ) -> KnownLoad | None:
        """Record a load that a router reports; None if a newer one is known."""
        observed_ms = now_ms - max(0, report.age_ms)
        known = self._loads.get(engine)
        if known is not None and known.observed_ms >= observed_ms:
            return None
        if known is None and len(self._loads) >= MAX_ENGINES:
            self._loads.clear()
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, report.slowdown))
        outstanding = max(0, report.running) + max(0, report.waiting)
        load = self._loads[engine] = KnownLoad(outstanding, slowdown, observed_ms)
        if self._of(service).reported_ms is None:
            log_event(SPEED_REPORTED, service=service, engine=engine)
        self._of(service).reported_ms = now_ms
        return load

    def record_answer(
        self,
        service: str,
        engine: str,
        output_tokens: int,
        duration_ms: float,
        now_ms: int,
    ) -> None:
        """Record the time from the first token of an answer to its end.

        Answers of an engine that states that it is slow at the moment don't count.
        """
        if output_tokens < 2 or duration_ms <= 0 or self.is_unusual(engine, now_ms):
            return
        known = self._of(service)
        known.answers += 1
        if engine not in known.engines and len(known.engines) >= MAX_ENGINES:
            known.engines.clear()
        steps = known.engines.setdefault(engine, _EngineSteps())
        mean_ms = self._answer_times.token_ms(service)
        log_factor = steps.value(now_ms)
        error = math.log(duration_ms / output_tokens / mean_ms) - log_factor
        weight = max(STEP_WEIGHT, 1 / (steps.count + 2))
        log_factor += weight * min(MAX_LOG_ERROR, max(-MAX_LOG_ERROR, error))
        steps.log_factor = min(MAX_DEVIATION, max(-MAX_DEVIATION, log_factor))
        steps.count += 1
        steps.updated_ms = now_ms

    def record_first_token(
        self, service: str, engine: str, prefill_ms: float, elapsed_ms: int, now_ms: int
    ) -> None:
        """Record a first token of a prompt that found its engine idle.

        Args:
            service: Service of the engine.
            engine: Engine that answered.
            prefill_ms: Expected prefill of the prompt.
            elapsed_ms: Time since the placement.
            now_ms: Monotonic time.
        """
        if prefill_ms > MAX_BASE_PREFILL_MS or self.is_unusual(engine, now_ms):
            return
        known = self._of(service)
        error_ms = elapsed_ms - prefill_ms - known.base_ms
        error_ms = min(MAX_BASE_ERROR_MS, max(-MAX_BASE_ERROR_MS, error_ms))
        base_ms = known.base_ms + BASE_WEIGHT * error_ms
        known.base_ms = min(MAX_BASE_MS, max(MIN_BASE_MS, base_ms))

    def is_uneven(self, service: str, now_ms: int) -> bool:
        """Return whether engines of a service report their speed.

        Steps of equal engines differ by chance as well, so that what was learned alone
        does not change the choices of a deployment that reports no speeds.
        """
        known = self._services.get(service)
        if known is None:
            return False
        reported_ms = known.reported_ms
        return reported_ms is not None and now_ms - reported_ms < REPORTING_LIFETIME_MS

    def base_ms(self, service: str, now_ms: int) -> float:
        """Return the time to first token at an idle engine, without prefill."""
        if not self.is_uneven(service, now_ms):
            return BASE_FIRST_TOKEN_MS
        return self._services[service].base_ms

    def step_factor(self, service: str, engine: str, now_ms: int) -> float:
        """Return the lasting time of a step, as a multiple of that of the service."""
        return math.exp(self.step_deviation(service, engine, now_ms))

    def step_deviation(self, service: str, engine: str, now_ms: int) -> float:
        """Return the logarithm of the lasting time of a step as such a multiple."""
        if not self.is_uneven(service, now_ms):
            return 0.0
        steps = self._services[service].engines.get(engine)
        return steps.value(now_ms) if steps is not None else 0.0

    def token_ms(self, service: str, engine: str, now_ms: int) -> float:
        """Return the expected time of an output token at an engine."""
        factor = self.step_factor(service, engine, now_ms)
        return factor * self._answer_times.token_ms(service)

    def slot_hold_ms(
        self,
        service: str,
        engine: str,
        output_tokens: float,
        prefill_ms: float,
        now_ms: int,
    ) -> float:
        """Return the time for which a request occupies a batch slot.

        Args:
            service: Service of the engine.
            engine: Engine that runs the request.
            output_tokens: Mean output limit of the requests on the engine.
            prefill_ms: Mean prefill of them.
            now_ms: Monotonic time.
        """
        if not self.is_uneven(service, now_ms):
            return SLOT_HOLD_MS
        answers = self._services[service].answers
        weight = answers / (answers + PRIOR_ANSWERS)
        learned_ms = output_tokens * self.token_ms(service, engine, now_ms) + prefill_ms
        return weight * learned_ms + (1 - weight) * SLOT_HOLD_MS

    def slowdown_delay_ms(self, engine: str, work_ms: float, now_ms: int) -> float:
        """Return the time that work takes longer because of the momentary speed.

        The reported speed holds until its report is half a second old. Work that lasts
        longer continues at the usual speed. Negative if the engine is faster.
        """
        load = self._loads.get(engine)
        if load is None or load.slowdown == 1.0:
            return 0.0
        return delay_by_slowdown_ms(load.slowdown, now_ms - load.observed_ms, work_ms)

    def forget_engines(self, engines: Mapping[str, object]) -> None:
        """Drop what is known of engines that are not among those listed."""
        for engine in [one for one in self._loads if one not in engines]:
            del self._loads[engine]
        for known in self._services.values():
            for engine in [one for one in known.engines if one not in engines]:
                del known.engines[engine]

    def _of(self, service: str) -> _ServiceSpeeds:
        return self._services.setdefault(service, _ServiceSpeeds())

    def is_unusual(self, engine: str, now_ms: int) -> bool:
        """Return whether an engine states that it is or was just slower than usual."""
        load = self._loads.get(engine)
        if load is None or now_ms - load.observed_ms > 2 * SLOWDOWN_LIFETIME_MS:
            return False
        return load.slowdown > MAX_USUAL_SLOWDOWN


def expected_slowdown(slowdown: float, age_ms: int) -> float:
    """Return the expected duration of work that begins now.

    Args:
        slowdown: Reported duration of work as a multiple of the usual one.
        age_ms: Age of the report.

    Examples:
        >>> expected_slowdown(2.0, 0), expected_slowdown(2.0, 250)
        (2.0, 1.5)
        >>> expected_slowdown(2.0, 500)
        1.0
    """
    weight = 1 - max(0, age_ms) / SLOWDOWN_LIFETIME_MS
    bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
    return 1 + (bounded - 1) * max(0.0, weight)


def delay_by_slowdown_ms(slowdown: float, age_ms: int, work_ms: float) -> float:
    """Return the time that work takes longer than at the usual speed.

    Args:
        slowdown: Reported duration of work as a multiple of the usual one.
        age_ms: Age of the report.
        work_ms: Duration of the work at the usual speed.

    Examples:
        >>> delay_by_slowdown_ms(2.5, 0, 100.0)
        150.0
        >>> delay_by_slowdown_ms(2.5, 0, 1000.0)
        300.0
        >>> delay_by_slowdown_ms(2.5, 500, 100.0)
        0.0
    """
    left_ms = max(0, SLOWDOWN_LIFETIME_MS - max(0, age_ms))
    done_ms = min(work_ms, left_ms / slowdown)
    return (slowdown - 1) * done_ms
