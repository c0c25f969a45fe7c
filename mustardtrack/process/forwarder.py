"""Forwarding of caller requests to endpoints."""

import asyncio
import random
from typing import Any

from mustardtrack.adapters.h11_server import Exchange
from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.upstream import ConnectError, ConnectionPool
from mustardtrack.admission.partcrashes import LostPrompt
from mustardtrack.admission.retryafter import (
    CRASHES_ENDPOINTS,
    CRASHING_PARTS,
    ENDPOINTS_PAUSED,
    choose_retry_after_s,
)
from mustardtrack.admission.schedulinglag import SchedulingLag
from mustardtrack.admission.sharedretries import SharedRetryBudget
from mustardtrack.configuration.routes import Service
from mustardtrack.logs import define_event, log_event
from mustardtrack.platform.endpoints import encode_error
from mustardtrack.platform.headers import (
    RequestMetadata,
    decode_request_headers,
    retry_after_header,
)
from mustardtrack.ports import Clock
from mustardtrack.process.allotment_client import (
    OVER_ALLOTMENT,
    OVER_ALLOTMENT_STATUS,
    AllotmentClient,
)
from mustardtrack.process.attempt import (
    CONNECT_TIMEOUT_MS,
    Attempt,
    open_attempt_connection,
)
from mustardtrack.process.attempt_log import (
    describe_choice,
    describe_limits,
    describe_load,
)
from mustardtrack.process.attempt_state import (
    AdmittedRequest,
    AttemptHost,
    NoAttempt,
    Outcome,
    PlannedAttempt,
    decode_id,
)
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.endpoint_choice import EndpointChooser
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.process.request_admission import (
    MIN_TIME_LEFT_MS,
    Rejection,
    RequestAdmission,
)
from mustardtrack.requests.connection_reuse import IdleReuseLimit
from mustardtrack.requests.forwarding import (
    AttemptFailure,
    ForwardedRequest,
    NextStep,
    RetryObstacle,
    StallRecheck,
)
from mustardtrack.requests.shutdown_window import (
    InterruptedAnswer,
    ShutdownWindow,
    choose_interrupted_answer,
)
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placementmessages import Placement
from mustardtrack.settings import SeededSettings

REQUEST_ENDED = define_event(8951, "INFO", "request ended")
ATTEMPT_ENDED = define_event(8952, "INFO", "attempt ended without an answer")
REFUSAL_STARTED = define_event(
    8954, "INFO", "stopping router refuses requests that cannot end in time"
)
ATTEMPT_WITHDRAWN = define_event(
    8956, "INFO", "attempt withdrawn: the parts of its prompt crash engines"
)

MAX_ENDPOINTS_TRIED = 4
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


# Reason in the log of a request that ends after an attempt which allows no other.
_REASON_WITHOUT_OBSTACLE = {
    NextStep.REFUSE: "not_run",
    NextStep.FAIL: "last_attempt",
}


class Forwarder(AttemptHost):
    """Routes, admits, places and sends the requests of one router."""

    def __init__(
        self,
        settings: SeededSettings,
        control_sync: ControlSync,
        pool: ConnectionPool,
        clock: Clock,
        metrics: InMemoryMetrics,
        placements: PlacementClient,
        rng: random.Random | None = None,
    ):
        self._placements = placements
        self._settings = settings
        self._control_sync = control_sync
        self.pool = pool
        self.clock = clock
        self.metrics = metrics
        self.reuse_limit = IdleReuseLimit()
        self.limits = control_sync.view.limits
        self.notices = control_sync.view.endpoints.notices
        self.weights_limit = control_sync.view.weights_limit
        self.pace = control_sync.view.pace
        self.cache_of = control_sync.view.cache_of
        self._rng = rng or random.Random()
        self.lag = SchedulingLag()
        self.admission = RequestAdmission(control_sync, self.lag, self._rng)
        self._chooser = EndpointChooser(
            settings, control_sync, pool, clock, placements, self._rng
        )
        self._allotments = AllotmentClient(
            settings.bounds, control_sync, placements, clock
        )
        self._retry_budgets: dict[str, SharedRetryBudget] = {}
        # References protect the tasks from garbage collection.
        self._discarded: set[asyncio.Future[PlannedAttempt | RetryObstacle]] = set()
        self._shutdown: ShutdownWindow | None = None
        self._open: dict[asyncio.Task[None], AdmittedRequest] = {}
        control_sync.view.parts.on_refusal = self.withdraw_refused

    def withdraw_refused(self) -> None:
        """End the attempts of prompts whose parts are refused since they began.

        An engine drops a waiting prompt when its connection closes, and would crash
        if it began to answer.
        """
        parts = self._control_sync.view.parts
        for admitted in self._open.values():
            connection = admitted.connection
            if connection is None or admitted.exchange.is_started:
                continue
            refusal = parts.find_refused(admitted.part_names)
            if refusal is not None and not connection.is_aborted:
                self.metrics.count("attempt.withdrawn")
                log_event(
                    ATTEMPT_WITHDRAWN,
                    request=admitted.request_id,
                    parts=refusal.parts,
                    crashes=refusal.crashes,
                )
                connection.abort()

    def begin_stop(self, window: ShutdownWindow) -> None:
        """Refuse the requests that cannot end within the window."""
        self._shutdown = window
        self.admission.begin_stop(window)

    def log_refusal_start(self) -> None:
        """Log that the stopping router has begun to refuse requests."""
        log_event(REFUSAL_STARTED, stopping_ms=self._stopping_ms())

    def _stopping_ms(self) -> int | None:
        """Return the time since the stop began, None if the router is not stopping."""
        if self._shutdown is None:
            return None
        return self._shutdown.elapsed_ms(self.clock.now_ms())

    async def handle(self, exchange: Exchange) -> None:
        """Handle one caller request."""
        now_ms = self.clock.now_ms()
        metadata = decode_request_headers(exchange.target, exchange.headers)
        admitted = self.admission.admit(exchange, metadata, now_ms)
        if isinstance(admitted, Rejection):
            self._reject(exchange, metadata, admitted)
            return
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = admitted
        try:
            await self._send_with_retries(admitted)
        except asyncio.CancelledError:
            self._answer_interrupted(admitted)
        finally:
            del self._open[task]

    def open_requests(self) -> list[str]:
        """Return the ids of the requests whose callers wait for an answer."""
        return sorted(
            admitted.request_id
            for admitted in self._open.values()
            if not admitted.exchange.is_disconnected
        )

    async def interrupt_requests(self) -> list[str]:
        """End all open requests with a last answer and return their ids.

        None of them is sent to an endpoint afterwards, and the endpoints that work on
        them are told to stop by an abort of their connections.
        """
        # Handlers of requests that were just read have not run yet.
        await asyncio.sleep(0)
        interrupted = self.open_requests()
        tasks = list(self._open)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return interrupted

    def _answer_interrupted(self, admitted: AdmittedRequest) -> None:
        exchange, progress = admitted.exchange, admitted.progress
        self._placements.record_end(admitted.request_id)
        left_ms = admitted.deadline_ms - self.clock.now_ms()
        fields: dict[str, Any] = {
            "route": admitted.route.name,
            "sends": progress.sends,
            "left_ms": left_ms,
            "note": "interrupted by the planned stop",
        }
        if exchange.is_disconnected:
            fields["note"] = "caller disconnected"
        may_have_run = progress.may_have_run or progress.is_outcome_open
        answer = choose_interrupted_answer(may_have_run, exchange.is_started)
        if answer is InterruptedAnswer.REFUSE:
            progress.require_not_run()
            self._allotments.give_back(admitted)
            self._refuse(exchange, admitted.metadata, "stopping", **fields)
            return
        if answer is InterruptedAnswer.RESET:
            self._count_answer(progress.status, is_cut=True)
            self._log_end(
                request=admitted.request_id,
                status=progress.status,
                first_ms=progress.first_ms,
                events=progress.events,
                is_cut=not exchange.is_disconnected,
                **fields,
            )
            exchange.abort()
            return
        status = 502
        self.metrics.count(f"failure.{status}")
        self._log_end(request=admitted.request_id, status=status, **fields)
        body = encode_error("the router stopped before the endpoint answered")
        exchange.respond(status, [JSON_CONTENT_TYPE], body)

    def _count_answer(self, status: int, is_cut: bool) -> None:
        self.metrics.count(f"answer.{'cut' if is_cut else status}")

    async def _send_with_retries(self, admitted: AdmittedRequest) -> None:
        budget = self._retry_budget(admitted.service.name)
        budget.record_request(admitted.received_ms)
        progress = admitted.progress
        step = NextStep.RETRY
        obstacle: NoAttempt | None = None
        outcome = Outcome()
        recheck = StallRecheck()
        while step is NextStep.RETRY:
            planned = outcome.replacement or await self._plan_attempt(
                admitted, progress
            )
            if isinstance(planned, NoAttempt):
                if self._may_resume_later(admitted, progress, outcome):
                    await self._wait_to_resume(admitted, recheck)
                    continue
                obstacle = planned
                step = progress.final_step()
                break
            endpoint = planned.endpoint
            progress.tried.append(endpoint.id)
            progress.placement = planned.placement
            outcome = await Attempt(self, admitted, planned, progress).run()
            self._record_evidence(admitted, endpoint, outcome)
            if outcome.is_final:
                self._placements.record_end(admitted.request_id)
                self._log_answer(admitted, planned, progress, outcome)
                return
            assert outcome.end is not None
            # A time-out at the caller's deadline does not indicate an endpoint fault.
            was_abandoned = outcome.replacement is not None
            if was_abandoned or outcome.end is AttemptFailure.NOT_SENT:
                self._placements.record_unresponsive(endpoint.id)
            if outcome.end is AttemptFailure.NOT_RUN:
                endpoint.record_response(is_failure=True)
                self._placements.record_not_run(endpoint.id)
            step = progress.step_after(outcome.end)
            self._log_failed_attempt(admitted, endpoint, progress, outcome, step)
        self._placements.record_end(admitted.request_id)
        obstacle = obstacle or NoAttempt(_REASON_WITHOUT_OBSTACLE[step])
        self._answer_failure(admitted, progress, step, obstacle, outcome)

    def _record_evidence(
        self, admitted: AdmittedRequest, endpoint: EndpointState, outcome: Outcome
    ) -> None:
        """Record a request as lost with its endpoint, or a prompt as answered whole.

        A lost request counts even if its caller gets no further attempt, for example
        because a stream has begun.
        """
        if outcome.is_broken_off:
            # Streams that have begun last, so that an endpoint may take many equal ones
            # with it; these count once for the endpoint.
            counted_once_at = endpoint.id if outcome.is_final else ""
            self._placements.record_broken_connection(
                admitted.fingerprint(), counted_once_at
            )
        if admitted.prompt is None:
            return
        if outcome.lost is not None:
            now_ms = self.clock.now_ms()
            lost = LostPrompt(
                request_id=admitted.request_id,
                endpoint=endpoint.id,
                parts=admitted.part_names,
                sent_age_ms=now_ms - outcome.lost.sent_ms,
                lost_age_ms=0,
                has_output=outcome.lost.has_output,
            )
            self._placements.record_lost_prompt(lost)
        elif outcome.is_final and not outcome.is_cut and 200 <= outcome.status < 300:
            self._placements.record_answer(admitted.part_names)

    def _may_resume_later(
        self, admitted: AdmittedRequest, progress: ForwardedRequest, outcome: Outcome
    ) -> bool:
        """Return whether a started stream waits for another attempt.

        Its attempt ended and the next one was refused, so that no endpoint works on it
        and the caller would lose what it received.
        """
        exchange = admitted.exchange
        is_waiting = exchange.is_started and not exchange.is_disconnected
        has_untried = len(progress.tried) < MAX_ENDPOINTS_TRIED
        is_refused = progress.was_refused_after_run(outcome.end)
        return is_waiting and has_untried and is_refused and self._has_time(admitted)

    async def _wait_to_resume(
        self, admitted: AdmittedRequest, recheck: StallRecheck
    ) -> None:
        left_ms = admitted.deadline_ms - self.clock.now_ms()
        recheck_ms = recheck.next_ms(RetryObstacle.NO_ENDPOINT)
        await asyncio.sleep(min(recheck_ms, left_ms) / 1000)

    async def _plan_attempt(
        self, admitted: AdmittedRequest, progress: ForwardedRequest
    ) -> PlannedAttempt | NoAttempt:
        """Choose the endpoint of the next attempt and take a retry if it is one."""
        endpoint, placement = await self._choose_untried(admitted, progress)
        if placement is not None and placement.exceeds_caller_timeout:
            return NoAttempt("hopeless", placement.expected_ms, placement.return_ms)
        over_allotment = await self._allotments.count(admitted, placement)
        if over_allotment is not None:
            return over_allotment
        endpoint = await self._wait_for_limit(admitted, endpoint, placement)
        now_ms = self.clock.now_ms()
        budget = self._retry_budget(admitted.service.name)
        count = self._control_sync.view.retry_sharers
        is_retry = progress.sends > 0
        if not self._has_time(admitted):
            return NoAttempt("time_left")
        if admitted.is_refused(self._control_sync.view.refused):
            return NoAttempt(CRASHES_ENDPOINTS)
        if self._control_sync.view.parts.find_refused(admitted.part_names) is not None:
            return NoAttempt(CRASHING_PARTS)
        if endpoint is None or (is_retry and not budget.allow_retry(now_ms, count)):
            reason = self._chooser.no_send_reason(admitted, endpoint)
            is_paused = reason == ENDPOINTS_PAUSED
            pause_ms = self._chooser.pause_ms(admitted) if is_paused else None
            return NoAttempt(reason, pause_ms=pause_ms)
        fields = describe_choice(admitted, endpoint, placement, now_ms)
        return PlannedAttempt(endpoint, placement, fields)

    async def _wait_for_limit(
        self,
        admitted: AdmittedRequest,
        endpoint: EndpointState | None,
        placement: Placement | None,
    ) -> EndpointState | None:
        """Wait until the engine of a placement takes another request.

        Returns:
            The endpoint, None if it accepts no new requests any more.
        """
        if endpoint is None or placement is None or not placement.delay_ms:
            return endpoint
        await asyncio.sleep(placement.delay_ms / 1000)
        is_accepted = endpoint in self._chooser.accepting_endpoints(admitted)
        return endpoint if is_accepted else None

    async def _choose_untried(
        self, admitted: AdmittedRequest, progress: ForwardedRequest
    ) -> tuple[EndpointState | None, Placement | None]:
        """Choose an endpoint unless the time or the number of attempts is used up."""
        if len(progress.tried) >= MAX_ENDPOINTS_TRIED or not self._has_time(admitted):
            return None, None
        now_ms = self.clock.now_ms()
        return await self._chooser.choose(admitted, progress.tried, now_ms)

    def _has_time(self, admitted: AdmittedRequest) -> bool:
        return admitted.deadline_ms - self.clock.now_ms() >= MIN_TIME_LEFT_MS

    def connection_limit(self, service: Service) -> int:
        """Return this router's connection limit for one endpoint."""
        return self._chooser.connection_limit(service)

    def must_continue(self, admitted: AdmittedRequest, endpoint: EndpointState) -> bool:
        """Return whether a stalled attempt may not be abandoned for another one."""
        is_listed = self._control_sync.view.endpoints.is_listed(endpoint)
        return admitted.exchange.is_started and is_listed

    async def prepare_retry(
        self, admitted: AdmittedRequest, progress: ForwardedRequest
    ) -> PlannedAttempt | RetryObstacle:
        """Prepare another attempt for a stalled one, or return what prevents it.

        The stalled attempt may end only after :meth:`take_retry` returned true.
        """
        now_ms = self.clock.now_ms()
        count = self._control_sync.view.retry_sharers
        if not self._retry_budget(admitted.service.name).can_retry(now_ms, count):
            return RetryObstacle.RETRY_BUDGET
        if await self._is_queued(admitted):
            return RetryObstacle.QUEUED
        endpoint, placement = await self._choose_untried(admitted, progress)
        if placement is not None and placement.exceeds_caller_timeout:
            return RetryObstacle.HOPELESS
        endpoint = await self._wait_for_limit(admitted, endpoint, placement)
        if endpoint is None:
            return RetryObstacle.NO_ENDPOINT
        now_ms = self.clock.now_ms()
        fields = describe_choice(admitted, endpoint, placement, now_ms)
        timeout_ms = max(0, min(CONNECT_TIMEOUT_MS, admitted.deadline_ms - now_ms))
        try:
            connection = await open_attempt_connection(
                self, admitted, endpoint, timeout_ms
            )
        except ConnectError:
            endpoint.record_unreachable(self.clock.now_ms())
            self._placements.record_unresponsive(endpoint.id)
            self._placements.record_end(admitted.request_id)
            progress.tried.append(endpoint.id)
            return RetryObstacle.NOT_CONNECTED
        return PlannedAttempt(endpoint, placement, fields, connection)

    def take_retry(self, admitted: AdmittedRequest, planned: PlannedAttempt) -> bool:
        """Take the retry of a prepared attempt, or release it if it cannot begin."""
        budget = self._retry_budget(admitted.service.name)
        count = self._control_sync.view.retry_sharers
        is_open = planned.connection is not None and not planned.connection.is_lost
        is_refused = admitted.is_refused(self._control_sync.view.refused)
        if (
            is_open
            and not is_refused
            and budget.allow_retry(self.clock.now_ms(), count)
        ):
            return True
        self._release(admitted, planned)
        return False

    def discard_preparation(
        self,
        admitted: AdmittedRequest,
        preparation: "asyncio.Future[PlannedAttempt | RetryObstacle]",
    ) -> None:
        """Release a prepared attempt that is not needed, once it is complete."""

        def release(
            completed: "asyncio.Future[PlannedAttempt | RetryObstacle]",
        ) -> None:
            self._discarded.discard(completed)
            prepared = completed.result()
            if isinstance(prepared, PlannedAttempt):
                self._release(admitted, prepared)

        self._discarded.add(preparation)
        preparation.add_done_callback(release)

    def _release(self, admitted: AdmittedRequest, planned: PlannedAttempt) -> None:
        if planned.connection is not None:
            self.pool.put(planned.endpoint.id, planned.connection)
        self._placements.record_end(admitted.request_id)

    async def _is_queued(self, admitted: AdmittedRequest) -> bool:
        """Return whether a prompt without output is still queued at its engine."""
        if admitted.prompt is None:
            return False
        return await self._placements.is_queued(admitted.request_id)

    def record_first_token(self, admitted: AdmittedRequest) -> None:
        """Report the first token of a prompt to the placement client."""
        if admitted.prompt is not None:
            self._placements.record_first_token(admitted.request_id)

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            limits = self._settings.retries
            budget = SharedRetryBudget(
                limits.ratio, int(limits.window_s * 1000), limits.floor
            )
            self._retry_budgets[service] = budget
        return budget

    def _answer_failure(
        self,
        admitted: AdmittedRequest,
        progress: ForwardedRequest,
        step: NextStep,
        obstacle: NoAttempt,
        outcome: Outcome,
    ) -> None:
        """Refuse or fail a request, or cut its response if that has begun."""
        exchange = admitted.exchange
        left_ms = admitted.deadline_ms - self.clock.now_ms()
        if step is NextStep.REFUSE:
            self._allotments.give_back(admitted)
        if step is NextStep.REFUSE and not exchange.is_disconnected:
            progress.require_not_run()
            is_over = obstacle.reason == OVER_ALLOTMENT
            self._refuse(
                exchange,
                admitted.metadata,
                obstacle.reason,
                pause_ms=obstacle.pause_ms,
                status=OVER_ALLOTMENT_STATUS if is_over else 503,
                route=admitted.route.name,
                sends=progress.sends,
                expected_ms=obstacle.expected_ms,
                left_ms=left_ms,
            )
            return
        note = outcome.note
        if exchange.is_disconnected:
            status, note, counter = 0, "caller disconnected", "answer.0"
        elif exchange.is_started:
            status, counter = progress.status, "answer.cut"
        else:
            status = 504 if left_ms <= MIN_TIME_LEFT_MS else 502
            counter = f"failure.{status}"
        self.metrics.count(counter)
        self._log_end(
            request=admitted.request_id,
            route=admitted.route.name,
            status=status,
            reason=obstacle.reason,
            sends=progress.sends,
            elapsed_ms=self.clock.now_ms() - admitted.received_ms,
            left_ms=left_ms,
            first_ms=progress.first_ms,
            is_cut=exchange.is_started and not exchange.is_disconnected,
            note=note,
            **describe_limits(admitted, progress, outcome),
        )
        if exchange.is_started:
            exchange.abort()
        elif not exchange.is_disconnected:
            body = encode_error("no endpoint answered")
            exchange.respond(status, [JSON_CONTENT_TYPE], body)

    def _log_end(self, **fields: object) -> None:
        log_event(REQUEST_ENDED, **fields, stopping_ms=self._stopping_ms())

    def _refuse(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        reason: str,
        pause_ms: int | None = None,
        status: int = 503,
        **inputs: object,
    ) -> None:
        """Respond that the request did not run, and when the caller may return."""
        self.metrics.count(f"refusal.{reason}")
        self._log_end(
            request=decode_id(metadata.request_id),
            status=status,
            reason=reason,
            confirmed_age_ms=self._control_sync.view.confirmation_age_ms(
                self.clock.now_ms()
            ),
            list=self._control_sync.view.endpoints.list_version,
            **inputs,
        )
        after_s = choose_retry_after_s(reason, pause_ms, self._rng)
        headers = [JSON_CONTENT_TYPE, retry_after_header(after_s)]
        exchange.respond(status, headers, encode_error(reason))

    def _reject(
        self, exchange: Exchange, metadata: RequestMetadata, rejection: Rejection
    ) -> None:
        """Respond to a request that is not admitted."""
        if rejection.has_retry_after:
            self._refuse(
                exchange,
                metadata,
                rejection.reason,
                rejection.pause_ms,
                rejection.status,
                **rejection.fields,
            )
            return
        self.metrics.count(f"refusal.{rejection.status}")
        table = self._control_sync.view.table
        self._log_end(
            request=decode_id(metadata.request_id),
            status=rejection.status,
            reason=rejection.reason,
            table_version=table.version if table else None,
            confirmed_age_ms=self._control_sync.view.confirmation_age_ms(
                self.clock.now_ms()
            ),
        )
        body = encode_error(rejection.reason)
        exchange.respond(rejection.status, [JSON_CONTENT_TYPE], body)

    def _log_answer(
        self,
        admitted: AdmittedRequest,
        planned: PlannedAttempt,
        progress: ForwardedRequest,
        outcome: Outcome,
    ) -> None:
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - admitted.received_ms
        self._count_answer(outcome.status, outcome.is_cut)
        self.metrics.timing(f"route_rank.{admitted.route.rank}", elapsed_ms)
        self._log_end(
            request=decode_id(admitted.metadata.request_id),
            route=admitted.route.name,
            endpoint=planned.endpoint.id,
            status=outcome.status,
            sends=progress.sends,
            elapsed_ms=elapsed_ms,
            first_ms=progress.first_ms,
            is_cut=outcome.is_cut,
            table_version=admitted.table.version,
            note=outcome.note,
            parts=admitted.shared_parts if outcome.is_cut else None,
            **describe_limits(admitted, progress, outcome),
            **planned.choice_fields,
        )

    def _log_failed_attempt(
        self,
        admitted: AdmittedRequest,
        endpoint: EndpointState,
        progress: ForwardedRequest,
        outcome: Outcome,
        step: NextStep,
    ) -> None:
        now_ms = self.clock.now_ms()
        end = outcome.end or AttemptFailure.CONNECTION_LOST
        self.metrics.count(f"attempt.{end.value}")
        log_event(
            ATTEMPT_ENDED,
            request=decode_id(admitted.metadata.request_id),
            route=admitted.route.name,
            endpoint=endpoint.id,
            end=end.value,
            note=outcome.note,
            next=step.value,
            parts=admitted.shared_parts,
            elapsed_ms=now_ms - admitted.received_ms,
            first_ms=progress.first_ms,
            **describe_limits(admitted, progress, outcome),
            **describe_load(endpoint, now_ms),
        )
