"""Completion requests: admission, choice of endpoint, attempts and streaming."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from mustardtrack.adapters.http_endpoints import (
    Chunk,
    EndpointError,
    EngineStream,
    HttpEndpointClient,
)
from mustardtrack.admission import QueueItem, Refused, fingerprint
from mustardtrack.configuration import Account, Model
from mustardtrack.logs import InvariantViolationError
from mustardtrack.process.callers import (
    ParsedCompletion,
    ResponseWriter,
    SlowCallerError,
)
from mustardtrack.process.crashes import CrashWatch
from mustardtrack.process.lanes import Lanes
from mustardtrack.process.traffic import ExpectedError, Traffic
from mustardtrack.requests import (
    Attempt,
    Complete,
    Deliver,
    Duplicate,
    Refusal,
    StreamAssembler,
    StreamPiece,
    refuse,
)
from mustardtrack.routing import Choice, RouteRequest, Salt, level_ends, prefix_chain

MAX_ATTEMPTS = 4
CANCEL_TIMEOUT_MS = 1000
SELECTION_PAUSE_MS = 50


class RefusedError(ExpectedError):
    """The request gets a refusal as its answer."""

    def __init__(self, refusal: Refusal, detail: str = ""):
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.detail = detail


class AttemptFailedError(Exception):
    """One attempt failed; another one may follow.

    Attributes:
        reason: Short name for the counter ``retry.<reason>``.
        code: Reason of the refusal if no other attempt follows.
        may_have_run: False only if the endpoint cannot have run the attempt.
    """

    def __init__(self, reason: str, code: str, may_have_run: bool = True):
        super().__init__(reason)
        self.reason = reason
        self.code = code
        self.may_have_run = may_have_run


@dataclass
class CompletionJob:
    """One completion request on its way through the router."""

    request_id: str
    account: Account
    class_name: str
    rank: int
    arrived_ms: int
    deadline_ms: int
    completion: ParsedCompletion
    model: Model
    chain: tuple[int, ...]
    ends: tuple[int, ...]
    salt: Salt
    fingerprint: str
    assembler: StreamAssembler
    dispatched: bool = False
    attempts: int = 0
    excluded: set[str] = field(default_factory=set)
    priority: int = 0

    def route_request(self, zone: str, suspect: bool) -> RouteRequest:
        """Return the request in the terms of the selector."""
        return RouteRequest(
            request_id=self.request_id,
            account=self.account.name,
            class_name=self.class_name,
            rank=self.priority,
            chain=self.chain,
            prompt_tokens=self.completion.prompt_tokens,
            max_tokens=self.completion.max_tokens,
            deadline_ms=self.deadline_ms,
            zone=zone,
            level_ends=self.ends,
            attempt=self.attempts + 1,
            excluded=frozenset(self.excluded),
            suspect=suspect,
        )


class CompletionService:
    """Runs completion requests.

    Args:
        traffic: Shared state of this router's requests.
        lanes: Queues by model.
        crashes: Detection of requests that crash endpoints.
        http: Client for endpoints.
    """

    def __init__(
        self,
        traffic: Traffic,
        lanes: Lanes,
        crashes: CrashWatch,
        http: HttpEndpointClient,
    ):
        self._traffic = traffic
        self._lanes = lanes
        self._crashes = crashes
        self._http = http
        self._settings = traffic.settings

    def create_job(
        self,
        account: Account,
        class_name: str,
        deadline_ms: int | None,
        completion: ParsedCompletion,
        body: bytes,
    ) -> CompletionJob:
        """Build the job of a parsed request.

        Raises:
            RefusedError: If the class or the model does not exist.
        """
        copy = self._traffic.copy
        work_class: Any = copy.objects("class").get(class_name)
        if work_class is None:
            raise RefusedError(refuse("unknown_class", dispatched=False))
        model: Any = copy.objects("model").get(completion.model)
        if model is None:
            raise RefusedError(refuse("unknown_model", dispatched=False))
        salt = Salt(account.name, model.name, model.weights_version)
        piece_chars = self._settings.piece_chars
        request_id = self._traffic.new_request_id()
        limit_ms = deadline_ms or work_class.deadline_ms
        now_ms = self._traffic.clock.now_ms()
        return CompletionJob(
            request_id=request_id,
            account=account,
            class_name=class_name,
            rank=work_class.rank,
            arrived_ms=now_ms,
            deadline_ms=now_ms + limit_ms,
            completion=completion,
            model=model,
            chain=prefix_chain(salt, completion.levels, piece_chars),
            ends=level_ends(completion.levels, piece_chars),
            salt=salt,
            fingerprint=fingerprint(salt, body),
            # Lanes count two priorities for each class; the lower one until taken.
            priority=2 * work_class.rank + 1,
            assembler=StreamAssembler(request_id),
        )

    async def run(self, job: CompletionJob, writer: ResponseWriter) -> bytes:
        """Run a job and return the rest of the response body."""
        traffic = self._traffic
        if not traffic.stop.open(job.request_id, job.account.name):
            return self._refuse(job, writer, "stopping")
        admitted = False
        try:
            self._check_quarantine(job)
            tokens = job.completion.prompt_tokens + job.completion.max_tokens
            now_ms = traffic.clock.now_ms()
            outcome = traffic.limits.admit(job.account.name, tokens, now_ms)
            if isinstance(outcome, Refused):
                raise RefusedError(_from_admission(outcome))
            admitted = True
            await self._wait_for_turn(job)
            return await self._run_attempts(job, writer)
        except RefusedError as error:
            self._note_refusal(job, error.refusal)
            return writer.refuse(error.refusal, error.detail)
        except SlowCallerError:
            return self._refuse(job, writer, "slow_caller")
        except InvariantViolationError:
            return self._refuse(job, writer, "internal_error")
        finally:
            if admitted:
                traffic.limits.release(job.account.name)
            traffic.tracker.finish_request(job.request_id)
            traffic.stop.close(job.request_id)

    def _refuse(self, job: CompletionJob, writer: ResponseWriter, reason: str) -> bytes:
        refusal = refuse(reason, dispatched=job.dispatched)
        self._note_refusal(job, refusal)
        return writer.refuse(refusal)

    def _note_refusal(self, job: CompletionJob, refusal: Refusal) -> None:
        self._traffic.count_refusal(refusal)
        ran = refusal.ran != "not_run"
        self._traffic.measures.note_refused(job.class_name, job.account.name, ran)

    def _check_quarantine(self, job: CompletionJob) -> bool:
        """Return whether the request may be dispatched now.

        A suspect waits while another one is running.

        Raises:
            RefusedError: If the request is quarantined.
        """
        outcome = self._traffic.suspects.check(
            job.fingerprint,
            self._crashes.quarantined(),
            self._traffic.clock.now_ms(),
        )
        if isinstance(outcome, Refused) and outcome.reason == "quarantined":
            reason = "quarantined_after_run" if job.dispatched else "quarantined"
            raise RefusedError(refuse(reason, dispatched=job.dispatched))
        return not isinstance(outcome, Refused)

    async def _wait_for_turn(self, job: CompletionJob) -> None:
        lane = self._lanes.lane(job.model.name)
        now_ms = self._traffic.clock.now_ms()
        uncached = self._traffic.selector.expected_uncached_tokens(
            job.route_request(self._traffic.zone, suspect=False),
            lane.candidates(now_ms),
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
        outcome = await lane.wait(item)
        if isinstance(outcome, Refused):
            raise RefusedError(_from_admission(outcome))
        job.priority = outcome.priority

    async def _run_attempts(self, job: CompletionJob, writer: ResponseWriter) -> bytes:
        resume_at: Choice | None = None
        while True:
            choice = resume_at or await self._choose(job)
            attempt = self._start_attempt(job, choice)
            try:
                return await self._run_attempt(job, choice, attempt, writer)
            except AttemptFailedError as error:
                resume_at = await self._plan_retry(job, choice, attempt, error)

    async def _choose(self, job: CompletionJob) -> Choice:
        """Choose an endpoint, waiting for one until the deadline."""
        traffic = self._traffic
        lane = self._lanes.lane(job.model.name)
        while True:
            now_ms = traffic.clock.now_ms()
            choice = None
            if self._check_quarantine(job):
                suspect = traffic.suspects.is_suspect(job.fingerprint)
                request = job.route_request(traffic.zone, suspect)
                choice = traffic.selector.choose(
                    request, lane.candidates(now_ms), now_ms
                )
            if isinstance(choice, Choice):
                return choice
            if now_ms >= job.deadline_ms:
                code = "endpoint_refused" if job.dispatched else "no_endpoint"
                raise RefusedError(refuse(code, dispatched=job.dispatched))
            # An endpoint that failed once may be the only one that is left.
            job.excluded.clear()
            await asyncio.sleep(SELECTION_PAUSE_MS / 1000)

    def _start_attempt(self, job: CompletionJob, choice: Choice) -> Attempt:
        traffic = self._traffic
        now_ms = traffic.clock.now_ms()
        traffic.endpoints.require_usable(choice.endpoint, choice.incarnation, now_ms)
        attempt = traffic.tracker.start(
            job.request_id,
            job.account.name,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        job.assembler.begin(attempt.attempt_id, choice.endpoint, choice.incarnation)
        traffic.selector.dispatched(choice, now_ms)
        traffic.suspects.started(
            attempt.attempt_id,
            job.fingerprint,
            choice.endpoint,
            choice.incarnation,
            now_ms,
        )
        if job.attempts == 0:
            traffic.budget.first_attempt(choice.endpoint)
        job.attempts += 1
        job.dispatched = True
        traffic.stop.mark_dispatched(job.request_id)
        traffic.metrics.count("attempts")
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
            stream = await self._open(job, choice, attempt)
            last = await self._relay(job, attempt, stream, writer)
        except (EndpointError, AttemptFailedError) as error:
            # The engine keeps the attempt for a while, so that it can be resumed.
            self._close_attempt(attempt, stream)
            if isinstance(error, AttemptFailedError):
                raise
            code = _CODES.get(error.reason, "connection_lost")
            raise AttemptFailedError(error.reason, code, error.may_have_run) from error
        except BaseException:
            self._close_attempt(attempt, stream)
            self._cancel(choice, attempt)
            raise
        self._note_success(job, choice, attempt)
        self._traffic.measures.note_completed(
            job.class_name,
            job.account.name,
            job.completion.prompt_tokens,
            last.cached_tokens or 0,
            job.assembler.next_piece,
        )
        return writer.finish(job.assembler.next_piece, _usage(job, last))

    async def _open(
        self, job: CompletionJob, choice: Choice, attempt: Attempt
    ) -> EngineStream:
        endpoint: Any = self._traffic.copy.objects("endpoint").get(choice.endpoint)
        if endpoint is None:
            raise EndpointError("endpoint_removed", may_have_run=False)
        timing = self._settings.timing
        return await self._http.open_stream(
            endpoint.address,
            self._engine_body(job, attempt),
            timing.first_token_timeout_ms,
            self._settings.limits.stream_buffer_pieces,
        )

    def _engine_body(self, job: CompletionJob, attempt: Attempt) -> dict[str, Any]:
        completion = job.completion
        ends = []
        total = 0
        piece_chars = self._settings.piece_chars
        for level in completion.levels:
            for start in range(0, len(level), piece_chars):
                ends.append(total + min(len(level), start + piece_chars))
            total += len(level)
        return {
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": True,
            "request_id": job.request_id,
            "attempt_id": attempt.attempt_id,
            "cache_salt": job.salt.cache_salt(),
            "weights_version": job.model.weights_version,
            "priority": job.priority,
            "resume_from": job.assembler.next_piece,
            "prefix_digests": [f"{digest:032x}" for digest in job.chain],
            "prefix_ends": ends,
        }

    async def _relay(
        self,
        job: CompletionJob,
        attempt: Attempt,
        stream: EngineStream,
        writer: ResponseWriter,
    ) -> Chunk:
        """Pass the pieces of one attempt on until its final marker."""
        timing = self._settings.timing
        limit_ms = timing.first_token_timeout_ms
        final: Chunk | None = None
        while True:
            chunk = await stream.next_chunk(limit_ms)
            if chunk is None:
                return self._check_end(job, attempt, final)
            if limit_ms != timing.stream_idle_ms:
                limit_ms = timing.stream_idle_ms
                now_ms = self._traffic.clock.now_ms()
                self._traffic.selector.first_token(attempt.attempt_id, 0, now_ms)
            self._check_owner(job, attempt, chunk)
            if chunk.piece is not None:
                await self._deliver(job, chunk, writer)
            if chunk.piece_count is not None:
                final = chunk

    def _check_owner(self, job: CompletionJob, attempt: Attempt, chunk: Chunk) -> None:
        traffic = self._traffic
        own = chunk.attempt_id == attempt.attempt_id and traffic.tracker.accept(
            chunk.attempt_id, job.request_id, job.account.name
        )
        if not own:
            traffic.tracker.connection_closed(attempt.endpoint, job.request_id)
            traffic.metrics.count("answers.foreign")
            raise AttemptFailedError("foreign_answer", "mismatched_response")

    async def _deliver(
        self, job: CompletionJob, chunk: Chunk, writer: ResponseWriter
    ) -> None:
        assert chunk.piece is not None
        piece = StreamPiece(chunk.attempt_id, chunk.piece, chunk.content())
        result = job.assembler.receive(piece)
        if isinstance(result, Deliver):
            if result.piece == 0:
                elapsed_ms = self._traffic.clock.now_ms() - job.arrived_ms
                self._traffic.measures.note_first_token(
                    job.class_name, job.account.name, elapsed_ms
                )
            await writer.write_piece(result.piece, result.text)
        elif not isinstance(result, Duplicate):
            raise AttemptFailedError("piece_gap", "stream_incomplete")

    def _check_end(
        self, job: CompletionJob, attempt: Attempt, final: Chunk | None
    ) -> Chunk:
        if final is None or final.piece_count is None:
            raise AttemptFailedError("missing_marker", "stream_incomplete")
        result = job.assembler.finish(final.piece_count, attempt.attempt_id)
        if not isinstance(result, Complete):
            raise AttemptFailedError("truncated", "stream_incomplete")
        return final

    def _note_success(
        self, job: CompletionJob, choice: Choice, attempt: Attempt
    ) -> None:
        traffic = self._traffic
        if traffic.suspects.is_suspect(job.fingerprint):
            self._crashes.clear(job.fingerprint)
        now_ms = traffic.clock.now_ms()
        traffic.selector.finished(attempt.attempt_id, now_ms)
        traffic.suspects.completed(attempt.attempt_id)
        traffic.endpoints.report_local(
            choice.endpoint, choice.incarnation, True, now_ms
        )

    def _close_attempt(self, attempt: Attempt, stream: EngineStream | None) -> None:
        traffic = self._traffic
        traffic.tracker.finish(attempt.attempt_id)
        if stream is not None:
            stream.close()
        traffic.selector.failed(attempt.attempt_id, traffic.clock.now_ms())

    def _cancel(self, choice: Choice, attempt: Attempt) -> None:
        """Stop an attempt at the engine when nobody waits for it any more."""
        self._traffic.suspects.stopped(attempt.attempt_id, self._traffic.clock.now_ms())
        endpoint: Any = self._traffic.copy.objects("endpoint").get(choice.endpoint)
        if endpoint is not None:
            self._traffic.background(
                self._send_cancel(endpoint.address, attempt.attempt_id)
            )

    async def _send_cancel(self, address: str, attempt_id: str) -> None:
        body = msgspec.json.encode({"attempt_id": attempt_id})
        try:
            await self._http.call(
                address, "POST", "/cancel", {}, body, CANCEL_TIMEOUT_MS, 4096
            )
        except EndpointError:
            # The engine drops the attempt itself when its resume window ends.
            self._traffic.metrics.count("cancel.failed")

    async def _plan_retry(
        self,
        job: CompletionJob,
        choice: Choice,
        attempt: Attempt,
        error: AttemptFailedError,
    ) -> Choice | None:
        """Return the choice to resume at, or None to choose an endpoint again.

        Raises:
            RefusedError: If the request cannot or must not be tried again.
        """
        traffic = self._traffic
        if not error.may_have_run:
            # A request that never reached a dead endpoint is not a suspect.
            traffic.suspects.stopped(attempt.attempt_id, traffic.clock.now_ms())
        # A death must be counted before the request can reach another endpoint.
        result = await self._crashes.check(choice, error.reason)
        traffic.suspects.stopped(attempt.attempt_id, traffic.clock.now_ms())
        self._check_quarantine(job)
        started = job.assembler.next_piece > 0
        can_resume = started and not result.died and error.reason in _RESUME_REASONS
        refusal = self._check_retry(job, choice, error, result.counted)
        if refusal is None and started and not can_resume:
            refusal = refuse("stream_incomplete", dispatched=True)
        if refusal is not None:
            self._cancel(choice, attempt)
            raise RefusedError(refusal, error.reason)
        if started:
            number = f"{job.request_id}.{job.attempts + 1}"
            request = job.route_request(traffic.zone, suspect=False)
            return replace(choice, attempt=number, request=request)
        job.excluded.add(choice.endpoint)
        return None

    def _check_retry(
        self,
        job: CompletionJob,
        choice: Choice,
        error: AttemptFailedError,
        crash_counted: bool,
    ) -> Refusal | None:
        started = job.assembler.next_piece > 0
        late = not started and self._traffic.clock.now_ms() >= job.deadline_ms
        if job.attempts >= MAX_ATTEMPTS or late or not crash_counted:
            return refuse(error.code, dispatched=True)
        if not self._traffic.budget.allow_retry(choice.endpoint, error.reason):
            return refuse("retry_budget", dispatched=True)
        return None


_RESUME_REASONS = ("connection_lost", "idle_timeout", "piece_gap", "foreign_answer")
_CODES = {
    "idle_timeout": "endpoint_timeout",
    "timeout": "endpoint_timeout",
    "connect_failed": "endpoint_refused",
}


def _usage(job: CompletionJob, last: Chunk) -> dict[str, int]:
    prompt_tokens = job.completion.prompt_tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": job.assembler.next_piece,
        "total_tokens": prompt_tokens + job.assembler.next_piece,
        "cached_tokens": last.cached_tokens or 0,
    }


def _from_admission(outcome: Refused) -> Refusal:
    return refuse(
        outcome.reason, dispatched=False, retry_after_ms=outcome.retry_after_ms
    )
