"""HTTP API of the stand-in service."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mustardtrack.logs import log_event
from mustardtrack.testing.fault_injection import (
    ServiceFaults,
    consume_faults,
    merge_faults,
)
from mustardtrack.testing.server import (
    FAULTS_CHANGED,
    RunJournal,
    crash,
    error_response,
    json_response,
    new_incarnation,
    now_ms,
    reset_connection,
    run_periodically,
)
from mustardtrack.testing.simulated_service import (
    ServiceCall,
    ServiceOptions,
    SimulatedService,
    StaleFenceError,
)

TICK_MS = 5


class ServiceApi:
    """HTTP routes of the stand-in service.

    Args:
        options: Options of the service.
        faults: Initial fault settings.
        run_journal: Records each run.
    """

    app = Klein()

    def __init__(
        self, options: ServiceOptions, faults: ServiceFaults, run_journal: RunJournal
    ):
        self.faults = faults
        self.service = SimulatedService(options, new_incarnation())
        self._run_journal = run_journal
        self._pending_calls: list[
            tuple[ServiceCall, ServiceFaults, Deferred[None]]
        ] = []
        self._previous_attempt_id = "0.0"

    def start(self) -> Any:
        """Start the periodic tick and return the web resource."""
        run_periodically(self._tick, TICK_MS)
        return self.app.resource()

    @app.route("/health", methods=["GET"])
    async def health(self, request: Any) -> bytes:
        """Report incarnation, state, served names and the delayed load."""
        if self.faults.stall_health:
            await Deferred()
        state = "leaving" if self.faults.leaving else "up"
        return json_response(request, self.service.health(state, now_ms()))

    @app.route("/runs", methods=["GET"])
    def runs(self, request: Any) -> bytes:
        """Return the number of runs of each idempotency key."""
        body = {
            "incarnation": self.service.incarnation,
            "runs": dict(self.service.runs),
        }
        return json_response(request, body)

    @app.route("/faults", methods=["GET"])
    def get_faults(self, request: Any) -> bytes:
        """Return the fault injection settings."""
        return json_response(request, self.faults)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update some of the fault injection settings."""
        changes = msgspec.json.decode(request.content.read(), type=dict[str, Any])
        self.faults = merge_faults(self.faults, changes)
        log_event(FAULTS_CHANGED, changes=changes)
        return json_response(request, self.faults)

    @app.route("/", branch=True)
    async def handle_call(self, request: Any) -> bytes:
        """Run a call to any other path."""
        call = _parse_call(request)
        faults = consume_faults(self.faults)
        reported_attempt_id = self._reported_attempt_id(call.attempt, faults)
        request.setHeader("Mustardtrack-Attempt", reported_attempt_id)
        if faults.stall:
            await Deferred()
        self.service.submit(call)
        done: Deferred[None] = Deferred()
        self._pending_calls.append((call, faults, done))
        await done
        return await self._respond(request, call, faults)

    async def _respond(
        self, request: Any, call: ServiceCall, faults: ServiceFaults
    ) -> bytes:
        if faults.late_ms:
            await deferLater(reactor, faults.late_ms / 1000, lambda: None)  # type: ignore
        if faults.stall_after:
            await Deferred()
        if faults.close_after:
            reset_connection(request)
            await Deferred()
        return json_response(request, call.record, 200 if call.method == "GET" else 201)

    @app.handle_errors(StaleFenceError)
    def handle_stale_fence(self, request: Any, failure: Any) -> bytes:
        """Respond to a call with a stale fencing token; it has not run."""
        return error_response(request, 409, "stale_fence", str(failure.value))

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def handle_invalid_request(self, request: Any, failure: Any) -> bytes:
        """Respond to a request that cannot be decoded."""
        return error_response(request, 400, "invalid", str(failure.value))

    def _tick(self) -> None:
        started = {id(call) for call in self.service.tick(now_ms())}
        for call, faults, _ in self._pending_calls:
            if id(call) in started:
                self._run_call(call, faults)
        finished_calls = [
            item for item in self._pending_calls if item[0].state == "done"
        ]
        self._pending_calls = [
            item for item in self._pending_calls if item[0].state != "done"
        ]
        for _, _, done in finished_calls:
            if not done.called:
                done.callback(None)

    def _run_call(self, call: ServiceCall, faults: ServiceFaults) -> None:
        text = faults.crash_text
        if faults.crash_before or (text is not None and text in call.body):
            crash(f"injected crash before attempt {call.attempt} ran")
        self.service.run(call)
        self._run_journal.write(key=call.key, attempt=call.attempt)
        if faults.crash_after:
            crash(f"injected crash after attempt {call.attempt} ran")

    def _reported_attempt_id(self, attempt: str, faults: ServiceFaults) -> str:
        other, self._previous_attempt_id = self._previous_attempt_id, attempt
        return other if faults.crossed else attempt


def _parse_call(request: Any) -> ServiceCall:
    fence = request.getHeader("Mustardtrack-Fence")
    return ServiceCall(
        request.method.decode(),
        request.path.decode(),
        request.getHeader("Idempotency-Key") or "",
        request.getHeader("Mustardtrack-Attempt") or "",
        int(fence) if fence else None,
        request.content.read().decode("utf-8", "replace"),
    )
