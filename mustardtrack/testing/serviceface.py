"""HTTP face of the stand-in service."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mustardtrack.logs import log_event
from mustardtrack.testing.server import (
    FAULTS_CHANGED,
    Journal,
    answer_error,
    answer_json,
    crash,
    new_incarnation,
    now_ms,
    reset_connection,
    run_periodically,
)
from mustardtrack.testing.servicemodel import (
    Call,
    ServiceModel,
    ServiceOptions,
    StaleFenceError,
)
from mustardtrack.testing.switches import ServiceFaults, merge_faults, take_faults

TICK_MS = 5


class ServiceFace:
    """Routes of the stand-in service.

    Args:
        options: Options of the service.
        faults: Fault switches at start.
        journal: Receives each run.
    """

    app = Klein()

    def __init__(
        self, options: ServiceOptions, faults: ServiceFaults, journal: Journal
    ):
        self.faults = faults
        self.model = ServiceModel(options, new_incarnation())
        self._journal = journal
        self._waiting: list[tuple[Call, ServiceFaults, Deferred[None]]] = []
        self._last_attempt = "0.0"

    def start(self) -> Any:
        """Start the periodic work and return the web resource."""
        run_periodically(self._tick, TICK_MS)
        return self.app.resource()

    @app.route("/health", methods=["GET"])
    async def health(self, request: Any) -> bytes:
        """Report incarnation, state and the lagging load."""
        if self.faults.stall_health:
            await Deferred()
        state = "leaving" if self.faults.leaving else "up"
        return answer_json(request, self.model.health(state, now_ms()))

    @app.route("/runs", methods=["GET"])
    def runs(self, request: Any) -> bytes:
        """Return how many times each idempotency key ran."""
        body = {"incarnation": self.model.incarnation, "runs": dict(self.model.runs)}
        return answer_json(request, body)

    @app.route("/faults", methods=["GET"])
    def show_faults(self, request: Any) -> bytes:
        """Return the fault switches."""
        return answer_json(request, self.faults)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change some fault switches."""
        changes = msgspec.json.decode(request.content.read(), type=dict[str, Any])
        self.faults = merge_faults(self.faults, changes)
        log_event(FAULTS_CHANGED, changes=changes)
        return answer_json(request, self.faults)

    @app.route("/", branch=True)
    async def serve(self, request: Any) -> bytes:
        """Run any other call."""
        call = _read_call(request)
        faults = take_faults(self.faults)
        shown_id = self._shown_id(call.attempt, faults)
        request.setHeader("Mustardtrack-Attempt", shown_id)
        if faults.stall:
            await Deferred()
        self.model.submit(call)
        done: Deferred[None] = Deferred()
        self._waiting.append((call, faults, done))
        await done
        return await self._answer(request, call, faults)

    async def _answer(self, request: Any, call: Call, faults: ServiceFaults) -> bytes:
        if faults.late_ms:
            await deferLater(reactor, faults.late_ms / 1000, lambda: None)  # type: ignore
        if faults.stall_after:
            await Deferred()
        if faults.close_after:
            reset_connection(request)
            await Deferred()
        return answer_json(request, call.record, 200 if call.method == "GET" else 201)

    @app.handle_errors(StaleFenceError)
    def refuse_stale(self, request: Any, failure: Any) -> bytes:
        """Answer a call with a stale fencing token; it has not run."""
        return answer_error(request, 409, "stale_fence", str(failure.value))

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def refuse_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that cannot be decoded."""
        return answer_error(request, 400, "invalid", str(failure.value))

    def _tick(self) -> None:
        started = {id(call) for call in self.model.tick(now_ms())}
        for call, faults, _ in self._waiting:
            if id(call) in started:
                self._run(call, faults)
        ended = [item for item in self._waiting if item[0].state == "done"]
        self._waiting = [item for item in self._waiting if item[0].state != "done"]
        for _, _, done in ended:
            if not done.called:
                done.callback(None)

    def _run(self, call: Call, faults: ServiceFaults) -> None:
        text = faults.crash_text
        if faults.crash_before or (text is not None and text in call.body):
            crash(f"before the run of {call.attempt}")
        self.model.run(call)
        self._journal.write(key=call.key, attempt=call.attempt)
        if faults.crash_after:
            crash(f"after the run of {call.attempt}")

    def _shown_id(self, attempt: str, faults: ServiceFaults) -> str:
        other, self._last_attempt = self._last_attempt, attempt
        return other if faults.crossed else attempt


def _read_call(request: Any) -> Call:
    fence = request.getHeader("Mustardtrack-Fence")
    return Call(
        request.method.decode(),
        request.path.decode(),
        request.getHeader("Idempotency-Key") or "",
        request.getHeader("Mustardtrack-Attempt") or "",
        int(fence) if fence else None,
        request.content.read().decode("utf-8", "replace"),
    )
