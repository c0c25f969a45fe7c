"""State of the stand-in service, without I/O."""

import heapq
from collections import Counter, deque
from dataclasses import dataclass

import msgspec

from mustardtrack.testing.batching import LoadHistory, LoadReport


@dataclass(frozen=True)
class ServiceOptions:
    """Options of one stand-in service."""

    name: str
    serves: tuple[str, ...] = ()
    work_ms: int = 20
    max_running: int = 16
    load_lag_ms: int = 200
    checks_fencing: bool = True


class RunRecord(msgspec.Struct, frozen=True):
    """Answer of the service to a call that ran."""

    service: str
    method: str
    path: str
    key: str
    run: int
    body_chars: int


@dataclass
class Call:
    """One call. ``record`` is set when it has run, ``state`` follows it."""

    method: str
    path: str
    key: str
    attempt: str
    fence: int | None
    body: str
    state: str = "queued"  # queued, running, done or abandoned
    record: RunRecord | None = None


class StaleFenceError(Exception):
    """The fencing token of a call is older than one seen for its key."""


class ServiceModel:
    """Queue, run counts and fencing of one service.

    The service does not deduplicate: a call that arrives twice runs twice, and
    ``runs`` shows it.

    Args:
        options: Options of the service.
        incarnation: Identity of this process; differs after each restart.
    """

    def __init__(self, options: ServiceOptions, incarnation: str):
        self.options = options
        self.incarnation = incarnation
        self.runs: Counter[str] = Counter()
        self._fences: dict[str, int] = {}
        self._queue: deque[Call] = deque()
        self._running: list[tuple[int, int, Call]] = []
        self._order = 0
        self._history = LoadHistory(options.load_lag_ms)

    def submit(self, call: Call) -> None:
        """Queue a call.

        Raises:
            StaleFenceError: If its fencing token is stale and tokens are checked.
        """
        newest = self._fences.get(call.key, -1)
        if call.fence is not None:
            if self.options.checks_fencing and call.fence < newest:
                raise StaleFenceError(f"fence {call.fence} is below {newest}")
            self._fences[call.key] = max(call.fence, newest)
        self._queue.append(call)

    def tick(self, now_ms: int) -> list[Call]:
        """Finish and start calls; return the calls that start to run now."""
        while self._running and self._running[0][0] <= now_ms:
            heapq.heappop(self._running)[2].state = "done"
        started = []
        while self._queue and len(self._running) < self.options.max_running:
            call = self._queue.popleft()
            if call.state == "queued":
                started.append(call)
                self._push(call, now_ms)
        self._history.sample(self._load(), now_ms)
        return started

    def run(self, call: Call) -> RunRecord:
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
        """Return the health report with the lagging load."""
        load, age_ms = self._history.report(now_ms)
        return {
            "incarnation": self.incarnation,
            "state": state,
            "models": {name: "" for name in self.options.serves},
            "load": load,
            "age_ms": age_ms,
        }

    def _push(self, call: Call, now_ms: int) -> None:
        self._order += 1
        call.state = "running"
        end_ms = now_ms + self.options.work_ms
        heapq.heappush(self._running, (end_ms, self._order, call))

    def _load(self) -> LoadReport:
        return LoadReport(len(self._running), len(self._queue), 0)
