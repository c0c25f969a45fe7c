"""Calls of plain services; non-idempotent ones run at most once."""

from typing import Any

from mustardtrack.adapters.endpoint_client import (
    EndpointError,
    EndpointResponse,
    HttpEndpointClient,
)
from mustardtrack.admission import Refused
from mustardtrack.idempotency import KeyFormatError, parse_key
from mustardtrack.process.claimed_calls import ClaimedCall
from mustardtrack.process.completion_job import RefusedError
from mustardtrack.process.control_client import ControlClient
from mustardtrack.process.model_queues import build_candidates
from mustardtrack.process.service_requests import (
    ServiceAnswer,
    ServiceRequest,
    ServiceSender,
    convert_answer,
)
from mustardtrack.process.shared_state import SharedState
from mustardtrack.requests import refuse
from mustardtrack.routing import Candidate, Choice, RouteRequest

MAX_ATTEMPTS = 3


class ServiceCalls:
    """Runs calls of plain services.

    Args:
        shared: State shared by the requests of this router.
        control: Client of the control group.
        http: Client for endpoints.
    """

    def __init__(
        self, shared: SharedState, control: ControlClient, http: HttpEndpointClient
    ):
        self._shared = shared
        self._control = control
        self._sender = ServiceSender(shared, http)

    async def run(self, request: ServiceRequest) -> ServiceAnswer:
        """Run one call.

        Raises:
            RefusedError: If the caller gets a refusal.
        """
        shared = self._shared
        self._check_request(request)
        request_id = shared.new_request_id()
        if not shared.planned_stop.open(request_id, request.account.name):
            raise RefusedError(refuse("stopping", dispatched=False))
        admitted = False
        try:
            outcome = shared.limits.admit(
                request.account.name, 0, shared.clock.now_ms()
            )
            if isinstance(outcome, Refused):
                retry_ms = outcome.retry_after_ms
                raise RefusedError(
                    refuse(outcome.reason, dispatched=False, retry_after_ms=retry_ms)
                )
            admitted = True
            if request.safe:
                return await self._run_safe(request, request_id)
            # The call continues after the caller disconnects, so that its answer is
            # stored.
            return await self._run_claimed(request, request_id)
        finally:
            if admitted:
                shared.limits.release(request.account.name)
            shared.tracker.finish_request(request_id)
            shared.planned_stop.close(request_id)

    def _check_request(self, request: ServiceRequest) -> None:
        endpoints: Any = self._shared.configuration.objects("endpoint").values()
        if not any(
            endpoint.kind == "service" and request.service in endpoint.serves
            for endpoint in endpoints
        ):
            raise RefusedError(refuse("unknown_service", dispatched=False))
        if request.safe:
            return
        if not request.idempotency_key:
            raise RefusedError(refuse("key_missing", dispatched=False))
        try:
            parse_key(request.idempotency_key)
        except KeyFormatError as error:
            raise RefusedError(refuse("key_malformed", dispatched=False)) from error

    def _choose(
        self, request: ServiceRequest, request_id: str, excluded: frozenset[str]
    ) -> Choice | None:
        shared = self._shared
        now_ms = shared.clock.now_ms()
        candidates: tuple[Candidate, ...] = build_candidates(
            shared, "service", request.service, now_ms
        )
        route_request = RouteRequest(
            request_id=request_id,
            account=request.account.name,
            class_name="",
            rank=0,
            chain=(),
            prompt_tokens=1,
            max_tokens=1,
            zone=shared.zone,
            attempt=len(excluded) + 1,
            excluded=excluded,
        )
        choice = shared.selector.choose(route_request, candidates, now_ms)
        return choice if isinstance(choice, Choice) else None

    async def _run_safe(
        self, request: ServiceRequest, request_id: str
    ) -> ServiceAnswer:
        shared = self._shared
        excluded: frozenset[str] = frozenset()
        sent = False
        while True:
            choice = self._choose(request, request_id, excluded)
            if choice is None:
                reason = "endpoint_refused" if sent else "no_endpoint"
                raise RefusedError(refuse(reason, dispatched=sent))
            if not excluded:
                shared.retry_budget.first_attempt(choice.endpoint)
            try:
                return await self._attempt_safe(request, request_id, choice)
            except EndpointError as error:
                sent = sent or error.may_have_run
                excluded |= {choice.endpoint}
                if len(excluded) >= MAX_ATTEMPTS or not shared.retry_budget.allow_retry(
                    choice.endpoint, error.reason
                ):
                    reason = "connection_lost" if sent else "endpoint_unreachable"
                    raise RefusedError(refuse(reason, dispatched=sent)) from error

    async def _attempt_safe(
        self, request: ServiceRequest, request_id: str, choice: Choice
    ) -> ServiceAnswer:
        attempt_id = self._start_attempt(request, request_id, choice)
        self._shared.planned_stop.mark_dispatched(request_id)
        succeeded = False
        try:
            answer = await self._sender.send(request, choice, attempt_id, fence=0)
            self._check_attempt_id(request, choice, answer, attempt_id, request_id)
            succeeded = True
            return convert_answer(answer)
        finally:
            self._end_attempt(choice, attempt_id, succeeded)

    async def _run_claimed(
        self, request: ServiceRequest, request_id: str
    ) -> ServiceAnswer:
        choice = self._choose(request, request_id, frozenset())
        if choice is None:
            raise RefusedError(refuse("no_endpoint", dispatched=False))
        attempt_id = self._start_attempt(request, request_id, choice)
        claimed_call = ClaimedCall(
            self._shared, self._control, self._sender, request, choice, attempt_id
        )
        try:
            return await claimed_call.execute(request_id)
        finally:
            self._end_attempt(choice, attempt_id, claimed_call.answered)

    def _start_attempt(
        self, request: ServiceRequest, request_id: str, choice: Choice
    ) -> str:
        shared = self._shared
        now_ms = shared.clock.now_ms()
        attempt = shared.tracker.start(
            request_id,
            request.account.name,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        shared.selector.dispatched(choice, now_ms)
        return attempt.attempt_id

    def _end_attempt(self, choice: Choice, attempt_id: str, succeeded: bool) -> None:
        shared = self._shared
        now_ms = shared.clock.now_ms()
        shared.tracker.finish(attempt_id)
        if succeeded:
            shared.selector.finished(choice.attempt, now_ms)
        else:
            shared.selector.failed(choice.attempt, now_ms)

    def _check_attempt_id(
        self,
        request: ServiceRequest,
        choice: Choice,
        answer: EndpointResponse,
        attempt_id: str,
        request_id: str,
    ) -> None:
        """Reject an answer that does not echo its attempt id.

        Raises:
            RefusedError: If the id is missing or belongs to another attempt.
        """
        echoed = answer.headers.get("mustardtrack-attempt", "")
        tracker = self._shared.tracker
        if echoed == attempt_id and tracker.accept(
            echoed, request_id, request.account.name
        ):
            return
        tracker.connection_closed(choice.endpoint, request_id)
        self._shared.metrics.count("answers.foreign")
        raise RefusedError(refuse("mismatched_response", dispatched=True))
