"""Passes the pieces of one attempt from an engine to the caller."""

from mustardtrack.adapters.http_endpoints import Chunk, EngineStream
from mustardtrack.process.callers import ResponseWriter
from mustardtrack.process.jobs import AttemptFailedError, CompletionJob
from mustardtrack.process.traffic import Traffic
from mustardtrack.requests import (
    Attempt,
    Complete,
    Deliver,
    Duplicate,
    StreamPiece,
)


class StreamRelay:
    """Checks and passes on the pieces of attempts.

    Args:
        traffic: Shared state of this router's requests.
    """

    def __init__(self, traffic: Traffic):
        self._traffic = traffic

    async def run(
        self,
        job: CompletionJob,
        attempt: Attempt,
        stream: EngineStream,
        writer: ResponseWriter,
    ) -> Chunk:
        """Pass the pieces of one attempt on and return its final marker.

        Raises:
            AttemptFailedError: If a piece is missing or belongs to another attempt.
            EndpointError: If the connection is lost or silent for too long.
        """
        timing = self._traffic.settings.timing
        limit_ms = self.first_token_limit_ms(job)
        waiting = True
        final: Chunk | None = None
        while True:
            chunk = await stream.next_chunk(limit_ms)
            if chunk is None:
                return self._check_end(job, attempt, final)
            if waiting:
                waiting = False
                limit_ms = timing.stream_idle_ms
                now_ms = self._traffic.clock.now_ms()
                self._traffic.selector.first_token(attempt.attempt_id, 0, now_ms)
            self._check_owner(job, attempt, chunk)
            if chunk.piece is not None:
                await self._deliver(job, chunk, writer)
            if chunk.piece_count is not None:
                final = chunk

    def first_token_limit_ms(self, job: CompletionJob) -> int:
        """Return the limit for the first piece of an attempt.

        A first token after the deadline is of no use to the caller; a stream that
        has begun has no deadline.
        """
        timing = self._traffic.settings.timing
        if job.assembler.next_piece > 0:
            return timing.stream_idle_ms
        left_ms = job.deadline_ms - self._traffic.clock.now_ms()
        return max(1, min(timing.first_token_timeout_ms, left_ms))

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
