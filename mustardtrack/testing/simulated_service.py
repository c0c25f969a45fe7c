"""Simulation of a plain service, without I/O."""

import heapq
from collections import Counter, deque
from dataclasses import dataclass

import msgspec

from mustardtrack.testing.batching import LoadHistory, LoadReport


@dataclass(frozen=True)
class ServiceOptions:
    """Options of a stand-in service."""

    name: str
    serves: tuple[str, ...] = ()
    work_ms: int = 20
    max_running: int = 16
    load_lag_ms: int = 200
    checks_fencing: bool = True


class RunRecord(msgspec.Struct, frozen=True):
    """Response body for a call that ran."""

    service: str
    method: str
    path: str
    key: str
    run: int
    body_chars: int


@dataclass
class ServiceCall:
    """One service call; ``record`` is set once the call has run."""

    method: str
    path: str
    key: str
    attempt: str
    fence: int | None
    body: str
    state: str = "queued"  # queued, running, done or abandoned
    record: RunRecord | None = None


class StaleFenceError(Exception):
    """The fencing token of a call is lower than one already seen for its key."""


class SimulatedService:
    """Simulated service: call queue, run counts and fencing tokens.

    The service does not deduplicate: a call that arrives twice runs twice, and
    ``runs`` counts both.

    Args:
        options: Options of the service.
        incarnation: Identifier of this process; differs after each restart.
    """

    def __init__(self, options: ServiceOptions, incarnation: str):
        self.options = options
        self.incarnation = incarnation
        self.runs: Counter[str] = Counter()
        self._fences: dict[str, int] = {}
        self._queue: deque[ServiceCall] = deque()
        self._running: list[tuple[int, int, ServiceCall]] = []
        self._start_count = 0
        self._load_history = LoadHistory(options.load_lag_ms)

    def submit(self, call: ServiceCall) -> None:
        """Queue a call.

        Raises:
            StaleFenceError: If the fencing token is stale and fencing is enabled.
        """
        highest = self._fences.get(call.key, -1)
        if call.fence is not None:
            if self.options.checks_fencing and call.fence < highest:
                raise StaleFenceError(
                    f"fencing token {call.fence} is stale; the highest is {highest}"
                )
            self._fences[call.key] = max(call.fence, highest)
        self._queue.append(call)

    def tick(self, now_ms: int) -> list[ServiceCall]:
        """Finish and start calls; return the calls that start now."""
        while self._running and self._running[0][0] <= now_ms:
            heapq.heappop(self._running)[2].state = "done"
        started = []
        while self._queue and len(self._running) < self.options.max_running:
            call = self._queue.popleft()
            if call.state == "queued":
                started.append(call)
                self._start_call(call, now_ms)
        self._load_history.sample(self._load(), now_ms)
        return started

    def run(self, call: ServiceCall) -> RunRecord:
        """Execute a call and count the run under its key."""
        self.runs[call.key] += 1
        call.record = RunRecord(
            self.options.name,
            call.method,
            call.path,
            call.key,
            self.runs[call.key],
            len(call.body),
        )
        return call.record

    def health(self, state: str, now_ms: int) -> dict[str, object]:
        """Return the health report with the delayed load."""
        load, age_ms = self._load_history.report(now_ms)
        return {
            "incarnation": self.incarnation,
            "state": state,
            "models": {name: "" for name in self.options.serves},
            "load": load,
            "age_ms": age_ms,
        }

    def _start_call(self, call: ServiceCall, now_ms: int) -> None:
        self._start_count += 1
        call.state = "running"
        end_ms = now_ms + self.options.work_ms
        heapq.heappush(self._running, (end_ms, self._start_count, call))

    def _load(self) -> LoadReport:
        return LoadReport(len(self._running), len(self._queue), 0)
