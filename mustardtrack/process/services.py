"""Calls of plain services; non-idempotent ones run at most once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from mustardtrack.adapters.http_endpoints import (
    EndpointAnswer,
    EndpointError,
    HttpEndpointClient,
)
from mustardtrack.admission import Refused
from mustardtrack.configuration import Account
from mustardtrack.idempotency import (
    Answer,
    BodyMismatch,
    Claim,
    CompleteClaim,
    DispatchGuard,
    Granted,
    InProgress,
    KeyExpired,
    KeyFormatError,
    OutcomeUnknown,
    Stored,
    parse_key,
    store_answer,
)
from mustardtrack.idempotency import ReleaseClaim as ReleaseClaimCommand
from mustardtrack.logs import define_event, log_event
from mustardtrack.process.completions import RefusedError
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.process.lanes import build_candidates
from mustardtrack.process.traffic import Traffic
from mustardtrack.requests import (
    Action,
    Call,
    Dispatch,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
    refuse,
)
from mustardtrack.routing import Candidate, Choice, RouteRequest

CLAIM_NOT_CLOSED = define_event(8621, "ERROR", "claim could not be closed")
GUARD_REFUSED = define_event(8622, "WARNING", "call not dispatched after a pause")

CLAIM_MARGIN_MS = 5000
CLOSE_TIMEOUT_MS = 60_000
STORE_WAIT_MS = 2000
SAFE_METHODS = ("GET", "HEAD")
MAX_ATTEMPTS = 3

# Headers that describe one connection, or that the router sets itself.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True)
class ServiceRequest:
    """Call of a plain service by a caller."""

    account: Account
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str | None

    @property
    def safe(self) -> bool:
        """Whether the call may be repeated."""
        return self.method in SAFE_METHODS

    def digest(self) -> str:
        """Return a digest of what the call would do."""
        parts = (self.service, self.method, self.path)
        digest = blake2b(msgspec.msgpack.encode(parts), digest_size=32)
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class ServiceAnswer:
    """Answer to the caller; ``stored`` if an earlier send produced it."""

    status: int
    content_type: str
    body: bytes
    stored: bool = False


class _GuardExpiredError(Exception):
    """The dispatch guard refused at the last step before the first byte."""


class ServiceCalls:
    """Runs calls of plain services.

    Args:
        traffic: Shared state of the router.
        control: Client of the control group.
        http: Client for endpoints.
    """

    def __init__(
        self, traffic: Traffic, control: ControlClient, http: HttpEndpointClient
    ):
        self._traffic = traffic
        self._control = control
        self._http = http

    async def run(self, request: ServiceRequest) -> ServiceAnswer:
        """Run one call.

        Raises:
            RefusedError: If the caller gets a refusal.
        """
        traffic = self._traffic
        self._check(request)
        request_id = traffic.new_request_id()
        if not traffic.stop.open(request_id, request.account.name):
            raise RefusedError(refuse("stopping", dispatched=False))
        admitted = False
        try:
            outcome = traffic.limits.admit(
                request.account.name, 0, traffic.clock.now_ms()
            )
            if isinstance(outcome, Refused):
                retry_ms = outcome.retry_after_ms
                raise RefusedError(
                    refuse(outcome.reason, dispatched=False, retry_after_ms=retry_ms)
                )
            admitted = True
            if request.safe:
                return await self._run_safe(request, request_id)
            # The call goes on when the caller leaves, so that its answer is stored.
            return await self._run_once(request, request_id)
        finally:
            if admitted:
                traffic.limits.release(request.account.name)
            traffic.tracker.finish_request(request_id)
            traffic.stop.close(request_id)

    def _check(self, request: ServiceRequest) -> None:
        endpoints: Any = self._traffic.copy.objects("endpoint").values()
        if not any(
            one.kind == "service" and request.service in one.serves for one in endpoints
        ):
            raise RefusedError(refuse("unknown_service", dispatched=False))
        if request.safe:
            return
        if not request.key:
            raise RefusedError(refuse("key_missing", dispatched=False))
        try:
            parse_key(request.key)
        except KeyFormatError as error:
            raise RefusedError(refuse("key_malformed", dispatched=False)) from error

    def _choose(
        self, request: ServiceRequest, request_id: str, excluded: frozenset[str]
    ) -> Choice | None:
        traffic = self._traffic
        now_ms = traffic.clock.now_ms()
        candidates: tuple[Candidate, ...] = build_candidates(
            traffic, "service", request.service, now_ms
        )
        route = RouteRequest(
            request_id=request_id,
            account=request.account.name,
            class_name="",
            rank=0,
            chain=(),
            prompt_tokens=1,
            max_tokens=1,
            zone=traffic.zone,
            attempt=len(excluded) + 1,
            excluded=excluded,
        )
        choice = traffic.selector.choose(route, candidates, now_ms)
        return choice if isinstance(choice, Choice) else None

    async def _run_safe(
        self, request: ServiceRequest, request_id: str
    ) -> ServiceAnswer:
        traffic = self._traffic
        excluded: frozenset[str] = frozenset()
        sent = False
        while True:
            choice = self._choose(request, request_id, excluded)
            if choice is None:
                code = "endpoint_refused" if sent else "no_endpoint"
                raise RefusedError(refuse(code, dispatched=sent))
            if not excluded:
                traffic.budget.first_attempt(choice.endpoint)
            try:
                return await self._attempt_safe(request, request_id, choice)
            except EndpointError as error:
                sent = sent or error.may_have_run
                excluded |= {choice.endpoint}
                if len(excluded) >= MAX_ATTEMPTS or not traffic.budget.allow_retry(
                    choice.endpoint, error.reason
                ):
                    code = "connection_lost" if sent else "endpoint_unreachable"
                    raise RefusedError(refuse(code, dispatched=sent)) from error

    async def _attempt_safe(
        self, request: ServiceRequest, request_id: str, choice: Choice
    ) -> ServiceAnswer:
        attempt = self._start(request, request_id, choice)
        self._traffic.stop.mark_dispatched(request_id)
        succeeded = False
        try:
            answer = await self._send(request, choice, attempt, fence=0)
            self._check_owner(request, choice, answer, attempt, request_id)
            succeeded = True
            return _convert(answer)
        finally:
            self._end(choice, attempt, succeeded)

    async def _run_once(
        self, request: ServiceRequest, request_id: str
    ) -> ServiceAnswer:
        choice = self._choose(request, request_id, frozenset())
        if choice is None:
            raise RefusedError(refuse("no_endpoint", dispatched=False))
        attempt = self._start(request, request_id, choice)
        run = _OneCall(self._traffic, self._control, self, request, choice, attempt)
        try:
            return await run.execute(request_id)
        finally:
            self._end(choice, attempt, run.answered)

    def _start(self, request: ServiceRequest, request_id: str, choice: Choice) -> str:
        traffic = self._traffic
        now_ms = traffic.clock.now_ms()
        attempt = traffic.tracker.start(
            request_id,
            request.account.name,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        traffic.selector.dispatched(choice, now_ms)
        return attempt.attempt_id

    def _end(self, choice: Choice, attempt: str, succeeded: bool) -> None:
        traffic = self._traffic
        now_ms = traffic.clock.now_ms()
        traffic.tracker.finish(attempt)
        if succeeded:
            traffic.selector.finished(choice.attempt, now_ms)
        else:
            traffic.selector.failed(choice.attempt, now_ms)

    async def _send(
        self,
        request: ServiceRequest,
        choice: Choice,
        attempt: str,
        fence: int,
        before_send: Callable[[], None] | None = None,
    ) -> EndpointAnswer:
        endpoint: Any = self._traffic.copy.objects("endpoint").get(choice.endpoint)
        if endpoint is None:
            raise EndpointError("endpoint_removed", may_have_run=False)
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        }
        headers["Mustardtrack-Attempt"] = attempt
        if fence:
            headers["Mustardtrack-Fence"] = str(fence)
            headers["Idempotency-Key"] = request.key or ""
        return await self._http.call(
            endpoint.address,
            request.method,
            request.path,
            headers,
            request.body,
            self._traffic.settings.timing.service_timeout_ms,
            self._traffic.settings.limits.answer_bytes,
            before_send=before_send,
        )

    def _check_owner(
        self,
        request: ServiceRequest,
        choice: Choice,
        answer: EndpointAnswer,
        attempt: str,
        request_id: str,
    ) -> None:
        """Refuse an answer that does not carry the id of its attempt."""
        echoed = answer.headers.get("mustardtrack-attempt", "")
        tracker = self._traffic.tracker
        if echoed == attempt and tracker.accept(
            echoed, request_id, request.account.name
        ):
            return
        tracker.connection_closed(choice.endpoint, request_id)
        self._traffic.metrics.count("answers.foreign")
        raise RefusedError(refuse("mismatched_response", dispatched=True))


class _OneCall:
    """Carries out the actions of one non-idempotent call."""

    def __init__(
        self,
        traffic: Traffic,
        control: ControlClient,
        calls: ServiceCalls,
        request: ServiceRequest,
        choice: Choice,
        attempt: str,
    ):
        self._traffic = traffic
        self._control = control
        self._calls = calls
        self._request = request
        self._choice = choice
        self._attempt = attempt
        self._call = Call(
            request.account.name, request.key or "", request.digest(), attempt
        )
        timing = traffic.settings.timing
        # The window counts from before the claim was requested.
        self._guard = DispatchGuard(traffic.clock.now_ms(), timing.dispatch_window_ms)
        self._unknown_after_ms = (
            timing.dispatch_window_ms + timing.service_timeout_ms + CLAIM_MARGIN_MS
        )
        self._whole: ServiceAnswer | None = None
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
            following: list[Action] = []
            for action in actions:
                if isinstance(action, RequestClaim):
                    following += await self._claim()
                elif isinstance(action, Dispatch):
                    following += await self._dispatch(action)
                elif isinstance(action, StoreAnswer):
                    await self._store(action.answer)
                elif isinstance(action, ReleaseClaim):
                    self._traffic.background(self._close(self._release_command()))
                elif isinstance(action, Reply):
                    # This send has the whole body even if it is too large to store.
                    result = self._whole or _decode_answer(action.answer)
                elif isinstance(action, Refuse):
                    result = RefusedError(action.refusal)
            actions = following
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
            self._traffic.settings.name,
            self._choice.endpoint,
            self._unknown_after_ms,
        )
        window_ms = self._traffic.settings.timing.dispatch_window_ms
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
            answer = await self._calls._send(
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
            self._traffic.tracker.connection_closed(
                self._choice.endpoint, self._request_id
            )
            self._traffic.metrics.count("answers.foreign")
            return self._call.connection_lost()
        self.answered = True
        self._whole = _convert(answer)
        stored = store_answer(
            self._whole.status,
            self._whole.content_type,
            self._whole.body,
            self._traffic.settings.limits.stored_answer_bytes,
        )
        return self._call.answered(echoed, msgspec.msgpack.encode(stored))

    def _before_send(self) -> None:
        """Check the guard as the last step before the first byte is written."""
        if not self._guard.allow(self._traffic.clock.now_ms()):
            raise _GuardExpiredError
        self._call.bytes_sent()
        self._traffic.stop.mark_dispatched(self._request_id)

    async def _store(self, data: bytes) -> None:
        """Store the answer; wait for it a short time, then go on in background."""
        record = self._call.record
        answer = msgspec.msgpack.decode(data, type=Answer)
        command = CompleteClaim(record.account, record.key, record.attempt, answer)
        done = asyncio.Event()
        self._traffic.background(self._close(command, done))
        try:
            await asyncio.wait_for(done.wait(), STORE_WAIT_MS / 1000)
        except TimeoutError:
            self._traffic.metrics.count("claims.stored_late")

    def _release_command(self) -> ReleaseClaimCommand:
        record = self._call.record
        return ReleaseClaimCommand(record.account, record.key, record.attempt)

    async def _close(
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


def _convert(answer: EndpointAnswer) -> ServiceAnswer:
    content_type = answer.headers.get("content-type", "application/octet-stream")
    return ServiceAnswer(answer.status, content_type, answer.body)


def _decode_answer(data: bytes) -> ServiceAnswer:
    """Return the answer of an earlier send."""
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
