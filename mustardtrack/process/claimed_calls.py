"""Non-idempotent calls, dispatched at most once under a claimed idempotency key."""

import asyncio

import msgspec

from mustardtrack.adapters.endpoint_client import EndpointError
from mustardtrack.idempotency import (
    Answer,
    BodyMismatch,
    Claim,
    CompleteClaim,
    DispatchGuard,
    Granted,
    InProgress,
    KeyExpired,
    OutcomeUnknown,
    Stored,
    build_stored_answer,
)
from mustardtrack.idempotency import ReleaseClaim as ReleaseClaimCommand
from mustardtrack.logs import define_event, log_event
from mustardtrack.process.completion_job import RefusedError
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.process.service_requests import (
    ServiceAnswer,
    ServiceRequest,
    ServiceSender,
    convert_answer,
)
from mustardtrack.process.shared_state import SharedState
from mustardtrack.requests import (
    Action,
    Dispatch,
    NonIdempotentCall,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
    refuse,
)
from mustardtrack.routing import Choice

CLAIM_NOT_CLOSED = define_event(
    8621, "ERROR", "claim could not be completed or released"
)
GUARD_REFUSED = define_event(
    8622, "WARNING", "call not dispatched because its dispatch window expired"
)

# Added to the longest duration of a call before its outcome is reported as unknown.
CLAIM_MARGIN_MS = 5000
CLOSE_TIMEOUT_MS = 60_000
STORE_TIMEOUT_MS = 2000


class _GuardExpiredError(Exception):
    """The dispatch window expired before the first byte was written."""


class ClaimedCall:
    """Carries out the actions of one request for a non-idempotent call.

    Args:
        shared: State shared by the requests of this router.
        control: Client of the control group.
        sender: Sends the call to the endpoint.
        request: Call to run.
        choice: Chosen endpoint.
        attempt_id: Attempt id of this request.

    Attributes:
        answered: Whether the endpoint answered this attempt.
    """

    def __init__(
        self,
        shared: SharedState,
        control: ControlClient,
        sender: ServiceSender,
        request: ServiceRequest,
        choice: Choice,
        attempt_id: str,
    ):
        self._shared = shared
        self._control = control
        self._sender = sender
        self._request = request
        self._choice = choice
        self._call = NonIdempotentCall(
            request.account.name,
            request.idempotency_key or "",
            request.digest(),
            attempt_id,
        )
        timing = shared.settings.timing
        # The dispatch window starts before the claim is requested, so that it ends
        # before the outcome of the claim becomes unknown.
        self._guard = DispatchGuard(shared.clock.now_ms(), timing.dispatch_window_ms)
        self._unknown_after_ms = (
            timing.dispatch_window_ms + timing.service_timeout_ms + CLAIM_MARGIN_MS
        )
        self._full_answer: ServiceAnswer | None = None
        self.answered = False

    async def execute(self, request_id: str) -> ServiceAnswer:
        """Run the call and return the answer to the caller.

        Raises:
            RefusedError: If the caller gets a refusal.
        """
        self._request_id = request_id
        actions = self._call.begin()
        result: ServiceAnswer | RefusedError | None = None
        while actions:
            next_actions: list[Action] = []
            for action in actions:
                if isinstance(action, RequestClaim):
                    next_actions += await self._claim()
                elif isinstance(action, Dispatch):
                    next_actions += await self._dispatch(action)
                elif isinstance(action, StoreAnswer):
                    await self._store(action.answer)
                elif isinstance(action, ReleaseClaim):
                    self._shared.run_in_background(
                        self._submit_close(self._release_command())
                    )
                elif isinstance(action, Reply):
                    # The full body is known here even if it was too large to store.
                    result = self._full_answer or _decode_answer(action.answer)
                elif isinstance(action, Refuse):
                    result = RefusedError(action.refusal)
            actions = next_actions
        if isinstance(result, ServiceAnswer):
            return result
        raise result or RefusedError(refuse("internal_error", dispatched=True))

    async def _claim(self) -> list[Action]:
        record = self._call.record
        command = Claim(
            record.account,
            record.key,
            record.body_digest,
            record.attempt,
            self._shared.settings.name,
            self._choice.endpoint,
            self._unknown_after_ms,
        )
        window_ms = self._shared.settings.timing.dispatch_window_ms
        try:
            outcome = await self._control.submit(command, window_ms)
        except ControlUnavailableError:
            return self._call.control_unavailable()
        match outcome:
            case Granted(attempt, fence):
                return self._call.granted(attempt, fence)
            case Stored(answer):
                return self._call.stored(msgspec.msgpack.encode(answer))
            case InProgress(since_wall_ms):
                return self._call.in_progress(since_wall_ms)
            case OutcomeUnknown(endpoint, since_wall_ms, check):
                return self._call.outcome_unknown(endpoint, since_wall_ms, check)
            case BodyMismatch():
                return self._call.body_mismatch()
            case KeyExpired():
                return self._call.key_expired()
        return self._call.control_unavailable()

    async def _dispatch(self, action: Dispatch) -> list[Action]:
        try:
            answer = await self._sender.send(
                self._request,
                self._choice,
                action.attempt,
                action.fence,
                self._before_send,
            )
        except _GuardExpiredError:
            log_event(GUARD_REFUSED, attempt=action.attempt)
            return self._call.guard_expired()
        except EndpointError as error:
            if error.reason == "timeout":
                return self._call.timed_out()
            return self._call.connection_lost()
        echoed = answer.headers.get("mustardtrack-attempt", "")
        if echoed != action.attempt:
            self._shared.tracker.connection_closed(
                self._choice.endpoint, self._request_id
            )
            self._shared.metrics.count("answers.foreign")
            return self._call.connection_lost()
        self.answered = True
        self._full_answer = convert_answer(answer)
        stored = build_stored_answer(
            self._full_answer.status,
            self._full_answer.content_type,
            self._full_answer.body,
            self._shared.settings.limits.stored_answer_bytes,
        )
        return self._call.answered(echoed, msgspec.msgpack.encode(stored))

    def _before_send(self) -> None:
        """Check the dispatch window immediately before the first byte is written."""
        if not self._guard.allow(self._shared.clock.now_ms()):
            raise _GuardExpiredError
        self._call.write_started()
        self._shared.planned_stop.mark_dispatched(self._request_id)

    async def _store(self, data: bytes) -> None:
        """Store the answer, waiting up to ``STORE_TIMEOUT_MS`` for completion."""
        record = self._call.record
        answer = msgspec.msgpack.decode(data, type=Answer)
        command = CompleteClaim(record.account, record.key, record.attempt, answer)
        done = asyncio.Event()
        self._shared.run_in_background(self._submit_close(command, done))
        try:
            async with asyncio.timeout(STORE_TIMEOUT_MS / 1000):
                await done.wait()
        except TimeoutError:
            self._shared.metrics.count("claims.stored_late")

    def _release_command(self) -> ReleaseClaimCommand:
        record = self._call.record
        return ReleaseClaimCommand(record.account, record.key, record.attempt)

    async def _submit_close(
        self,
        command: CompleteClaim | ReleaseClaimCommand,
        done: asyncio.Event | None = None,
    ) -> None:
        try:
            await self._control.submit(command, CLOSE_TIMEOUT_MS)
        except ControlUnavailableError as error:
            log_event(CLAIM_NOT_CLOSED, attempt=command.attempt, error=str(error))
            return
        if done is not None:
            done.set()


def _decode_answer(data: bytes) -> ServiceAnswer:
    """Return the stored answer to an earlier request with the same key."""
    answer = msgspec.msgpack.decode(data, type=Answer)
    if answer.kept:
        return ServiceAnswer(answer.status, answer.content_type, answer.body, True)
    body = msgspec.json.encode(
        {
            "error": {
                "message": "The call ran; its answer was too large to be stored.",
                "type": "refusal",
                "code": "answer_not_stored",
                "ran": "ran",
                "status": answer.status,
                "body_bytes": answer.length,
                "body_digest": answer.digest,
                "remedy": "Ask the service for the result of the call.",
            }
        }
    )
    return ServiceAnswer(409, "application/json", body, True)
