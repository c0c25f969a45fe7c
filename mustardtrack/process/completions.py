"""Completion requests: admission, endpoint selection, attempts and streaming."""

import asyncio
from dataclasses import replace
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import (
    EndpointError,
    EngineStream,
    HttpEndpointClient,
)
from mustardtrack.admission import QueueItem, Refused, fingerprint
from mustardtrack.configuration import Account
from mustardtrack.logs import InvariantViolationError
from mustardtrack.process.callers import (
    ParsedCompletion,
    ResponseWriter,
    SlowCallerError,
)
from mustardtrack.process.completion_job import (
    AttemptFailedError,
    CompletionJob,
    RefusedError,
)
from mustardtrack.process.crash_detector import CrashDetector
from mustardtrack.process.model_queues import ModelQueues
from mustardtrack.process.relay import StreamRelay
from mustardtrack.process.shared_state import OpenRequest, SharedState
from mustardtrack.requests import Attempt, Refusal, StreamAssembler, refuse
from mustardtrack.routing import Choice, Salt, level_ends, prefix_chain

MAX_ATTEMPTS = 4
CANCEL_TIMEOUT_MS = 1000
SELECTION_RETRY_MS = 50


class CompletionService:
    """Runs completion requests.

    Args:
        shared: State shared by the requests of this router.
        queues: Admission queues by model.
        crash_detector: Detects requests that crash endpoints.
        http: Client for endpoints.
    """

    def __init__(
        self,
        shared: SharedState,
        queues: ModelQueues,
        crash_detector: CrashDetector,
        http: HttpEndpointClient,
    ):
        self._shared = shared
        self._queues = queues
        self._crash_detector = crash_detector
        self._http = http
        self._relay = StreamRelay(shared)
        self._settings = shared.settings

    def create_job(
        self,
        account: Account,
        class_name: str,
        deadline_ms: int | None,
        completion: ParsedCompletion,
        body: bytes,
    ) -> CompletionJob:
        """Create the job of a parsed request.

        Raises:
            RefusedError: If the class or the model does not exist.
        """
        configuration = self._shared.configuration
        work_class: Any = configuration.objects("class").get(class_name)
        if work_class is None:
            raise RefusedError(refuse("unknown_class", dispatched=False))
        model: Any = configuration.objects("model").get(completion.model)
        if model is None:
            raise RefusedError(refuse("unknown_model", dispatched=False))
        salt = Salt(account.name, model.name, model.weights_version)
        piece_chars = self._settings.piece_chars
        request_id = self._shared.new_request_id()
        limit_ms = deadline_ms or work_class.deadline_ms
        now_ms = self._shared.clock.now_ms()
        return CompletionJob(
            request_id=request_id,
            account=account,
            class_name=class_name,
            arrived_ms=now_ms,
            deadline_ms=now_ms + limit_ms,
            completion=completion,
            model=model,
            chain=prefix_chain(salt, completion.levels, piece_chars),
            level_ends=level_ends(completion.levels, piece_chars),
            salt=salt,
            fingerprint=fingerprint(salt, body),
            # Each class has two priorities; a queued request has the lower one.
            priority=2 * work_class.rank + 1,
            assembler=StreamAssembler(request_id),
        )

    async def run(self, job: CompletionJob, writer: ResponseWriter) -> bytes:
        """Run a job and return the remaining response body."""
        shared = self._shared
        if not shared.planned_stop.open(job.request_id, job.account.name):
            return self._refuse(job, writer, "stopping")
        admitted = False
        shared.open_request_rows[job.request_id] = OpenRequest(
            job.account.name, job.class_name, job.fingerprint, job.arrived_ms
        )
        try:
            self._check_may_dispatch(job)
            tokens = job.completion.prompt_tokens + job.completion.max_tokens
            now_ms = shared.clock.now_ms()
            outcome = shared.limits.admit(job.account.name, tokens, now_ms)
            if isinstance(outcome, Refused):
                raise RefusedError(_to_refusal(outcome))
            admitted = True
            await self._wait_in_queue(job)
            return await self._run_attempts(job, writer)
        except RefusedError as error:
            self._record_refusal(job, error.refusal)
            return writer.refuse(error.refusal, error.detail)
        except SlowCallerError:
            return self._refuse(job, writer, "slow_caller")
        except InvariantViolationError:
            return self._refuse(job, writer, "internal_error")
        finally:
            if admitted:
                shared.limits.release(job.account.name)
            shared.tracker.finish_request(job.request_id)
            del shared.open_request_rows[job.request_id]
            shared.planned_stop.close(job.request_id)

    def _refuse(self, job: CompletionJob, writer: ResponseWriter, reason: str) -> bytes:
        refusal = refuse(reason, dispatched=job.dispatched)
        self._record_refusal(job, refusal)
        return writer.refuse(refusal)

    def _record_refusal(self, job: CompletionJob, refusal: Refusal) -> None:
        self._shared.count_refusal(refusal)
        may_have_run = refusal.ran != "not_run"
        self._shared.service_stats.record_refused(
            job.class_name, job.account.name, may_have_run
        )

    def _check_may_dispatch(self, job: CompletionJob) -> bool:
        """Return whether the request may be dispatched now.

        Of the requests that are suspected of crashing endpoints, only one runs at a
        time; the others wait.

        Raises:
            RefusedError: If the request is quarantined.
        """
        outcome = self._shared.suspects.check(
            job.fingerprint,
            self._crash_detector.quarantined(),
            self._shared.clock.now_ms(),
        )
        if isinstance(outcome, Refused) and outcome.reason == "quarantined":
            reason = "quarantined_after_run" if job.dispatched else "quarantined"
            raise RefusedError(refuse(reason, dispatched=job.dispatched))
        return not isinstance(outcome, Refused)

    async def _wait_in_queue(self, job: CompletionJob) -> None:
        model_queue = self._queues.model_queue(job.model.name)
        now_ms = self._shared.clock.now_ms()
        uncached = self._shared.selector.expected_uncached_tokens(
            job.route_request(self._shared.zone, suspect=False),
            model_queue.candidates(now_ms),
            now_ms,
        )
        item = QueueItem(
            request_id=job.request_id,
            account=job.account.name,
            class_name=job.class_name,
            cost_tokens=uncached + job.completion.max_tokens,
            arrived_ms=now_ms,
            deadline_ms=job.deadline_ms,
        )
        outcome = await model_queue.wait(item)
        if isinstance(outcome, Refused):
            raise RefusedError(_to_refusal(outcome))
        job.priority = outcome.priority

    async def _run_attempts(self, job: CompletionJob, writer: ResponseWriter) -> bytes:
        resume_at: Choice | None = None
        while True:
            choice = resume_at or await self._choose(job)
            attempt = self._start_attempt(job, choice, resumed=resume_at is not None)
            try:
                return await self._run_attempt(job, choice, attempt, writer)
            except AttemptFailedError as error:
                resume_at = await self._plan_retry(job, choice, attempt, error)

    async def _choose(self, job: CompletionJob) -> Choice:
        """Choose an endpoint, polling until the deadline if there is none."""
        shared = self._shared
        model_queue = self._queues.model_queue(job.model.name)
        while True:
            now_ms = shared.clock.now_ms()
            choice = None
            if self._check_may_dispatch(job):
                suspect = shared.suspects.is_suspect(job.fingerprint)
                request = job.route_request(shared.zone, suspect)
                choice = shared.selector.choose(
                    request, model_queue.candidates(now_ms), now_ms
                )
            if isinstance(choice, Choice):
                if shared.endpoints.is_usable(
                    choice.endpoint, choice.incarnation, now_ms
                ):
                    return choice
                model_queue.invalidate_candidates()
                continue
            if now_ms >= job.deadline_ms:
                reason = "endpoint_refused" if job.dispatched else "no_endpoint"
                raise RefusedError(refuse(reason, dispatched=job.dispatched))
            # The excluded endpoints may be the only ones that remain.
            job.excluded.clear()
            await asyncio.sleep(SELECTION_RETRY_MS / 1000)

    def _start_attempt(
        self, job: CompletionJob, choice: Choice, resumed: bool
    ) -> Attempt:
        shared = self._shared
        now_ms = shared.clock.now_ms()
        if not resumed:
            # An endpoint in state ``leaving`` finishes its streams, so a resume is
            # allowed.
            shared.endpoints.require_usable(choice.endpoint, choice.incarnation, now_ms)
        attempt = shared.tracker.start(
            job.request_id,
            job.account.name,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        job.assembler.begin(attempt.attempt_id, choice.endpoint, choice.incarnation)
        shared.selector.dispatched(choice, now_ms)
        shared.suspects.started(
            attempt.attempt_id,
            job.fingerprint,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        if job.attempts == 0:
            shared.retry_budget.first_attempt(choice.endpoint)
        row = shared.open_request_rows[job.request_id]
        row.state, row.endpoint = "running", choice.endpoint
        job.attempts += 1
        job.dispatched = True
        shared.planned_stop.mark_dispatched(job.request_id)
        shared.metrics.count("attempts")
        return attempt

    async def _run_attempt(
        self,
        job: CompletionJob,
        choice: Choice,
        attempt: Attempt,
        writer: ResponseWriter,
    ) -> bytes:
        stream: EngineStream | None = None
        try:
            stream = await self._open_stream(job, choice, attempt)
            last = await self._relay.run(job, attempt, stream, writer)
        except (EndpointError, AttemptFailedError) as error:
            # The engine keeps the attempt for a while so that it can be resumed.
            self._close_attempt(attempt, stream)
            if isinstance(error, AttemptFailedError):
                raise
            refusal_reason = _REFUSAL_REASONS.get(error.reason, "connection_lost")
            raise AttemptFailedError(
                error.reason, refusal_reason, error.may_have_run
            ) from error
        except BaseException:
            self._close_attempt(attempt, stream)
            self._cancel(choice, attempt)
            raise
        self._record_success(job, choice, attempt)
        self._shared.service_stats.record_completed(
            job.class_name,
            job.account.name,
            job.completion.prompt_tokens,
            last.cached_tokens or 0,
            job.assembler.next_piece,
        )
        return writer.finish(job.assembler.next_piece, job.usage(last))

    async def _open_stream(
        self, job: CompletionJob, choice: Choice, attempt: Attempt
    ) -> EngineStream:
        endpoint: Any = self._shared.configuration.objects("endpoint").get(
            choice.endpoint
        )
        if endpoint is None:
            raise EndpointError("endpoint_removed", may_have_run=False)
        return await self._http.open_stream(
            endpoint.address,
            job.engine_body(attempt, self._settings.piece_chars),
            self._relay.first_token_limit_ms(job),
            self._settings.limits.stream_buffer_pieces,
        )

    def _record_success(
        self, job: CompletionJob, choice: Choice, attempt: Attempt
    ) -> None:
        shared = self._shared
        if shared.suspects.is_suspect(job.fingerprint):
            self._crash_detector.clear(job.fingerprint)
        now_ms = shared.clock.now_ms()
        shared.selector.finished(attempt.attempt_id, now_ms)
        shared.suspects.completed(attempt.attempt_id)
        shared.endpoints.record_attempt_result(
            choice.endpoint, choice.incarnation, True, now_ms
        )

    def _close_attempt(self, attempt: Attempt, stream: EngineStream | None) -> None:
        shared = self._shared
        shared.tracker.finish(attempt.attempt_id)
        if stream is not None:
            stream.close()
        shared.selector.failed(attempt.attempt_id, shared.clock.now_ms())

    def _cancel(self, choice: Choice, attempt: Attempt) -> None:
        """Cancel an attempt at the engine once its result is no longer needed."""
        self._shared.suspects.stopped(attempt.attempt_id, self._shared.clock.now_ms())
        endpoint: Any = self._shared.configuration.objects("endpoint").get(
            choice.endpoint
        )
        if endpoint is not None:
            self._shared.run_in_background(
                self._send_cancel(endpoint.address, attempt.attempt_id)
            )

    async def _send_cancel(self, address: str, attempt_id: str) -> None:
        body = msgspec.json.encode({"attempt_id": attempt_id})
        try:
            await self._http.call(
                address, "POST", "/cancel", {}, body, CANCEL_TIMEOUT_MS, 4096
            )
        except EndpointError:
            # The engine discards the attempt when its resume window ends.
            self._shared.metrics.count("cancel.failed")

    async def _plan_retry(
        self,
        job: CompletionJob,
        choice: Choice,
        attempt: Attempt,
        error: AttemptFailedError,
    ) -> Choice | None:
        """Return the choice to resume, or None to choose another endpoint.

        Raises:
            RefusedError: If the request cannot or must not be retried.
        """
        shared = self._shared
        if not error.may_have_run:
            # A request that never reached the endpoint cannot have crashed it.
            shared.suspects.stopped(attempt.attempt_id, shared.clock.now_ms())
        # A crash must be counted before the request can reach another endpoint.
        result = await self._crash_detector.check(choice, error.reason)
        shared.suspects.stopped(attempt.attempt_id, shared.clock.now_ms())
        self._check_may_dispatch(job)
        started = job.assembler.next_piece > 0
        now_ms = shared.clock.now_ms()
        view = shared.endpoints.view(choice.endpoint, now_ms)
        can_resume = (
            not result.crashed
            and error.reason in _RESUME_REASONS
            and view.incarnation == choice.incarnation
        )
        refusal = self._retry_refusal(job, choice, error, result.counted)
        if refusal is None and started and not can_resume:
            refusal = refuse("stream_incomplete", dispatched=True)
        if refusal is not None:
            self._cancel(choice, attempt)
            raise RefusedError(refusal, error.reason)
        if started:
            next_attempt = f"{job.request_id}.{job.attempts + 1}"
            request = job.route_request(shared.zone, suspect=False)
            return replace(choice, attempt=next_attempt, request=request)
        job.excluded.add(choice.endpoint)
        return None

    def _retry_refusal(
        self,
        job: CompletionJob,
        choice: Choice,
        error: AttemptFailedError,
        crash_counted: bool,
    ) -> Refusal | None:
        """Return the refusal of a request, None if it may be retried."""
        started = job.assembler.next_piece > 0
        late = not started and self._shared.clock.now_ms() >= job.deadline_ms
        if job.attempts >= MAX_ATTEMPTS or late or not crash_counted:
            return refuse(error.refusal_reason, dispatched=True)
        if not self._shared.retry_budget.allow_retry(choice.endpoint, error.reason):
            return refuse("retry_budget", dispatched=True)
        return None


_REFUSAL_REASONS = {
    "idle_timeout": "endpoint_timeout",
    "timeout": "endpoint_timeout",
    "connect_failed": "endpoint_refused",
}
_RESUME_REASONS = ("connection_lost", "idle_timeout", "piece_gap", "foreign_answer")


def _to_refusal(outcome: Refused) -> Refusal:
    return refuse(
        outcome.reason, dispatched=False, retry_after_ms=outcome.retry_after_ms
    )
