"""Relay of the pieces of an attempt from an engine to the caller."""

from mustardtrack.adapters.endpoint_client import Chunk, EngineStream
from mustardtrack.process.callers import ResponseWriter
from mustardtrack.process.completion_job import AttemptFailedError, CompletionJob
from mustardtrack.process.shared_state import SharedState
from mustardtrack.requests import (
    Attempt,
    Complete,
    Deliver,
    Duplicate,
    StreamPiece,
)

# Text of one answer, which is kept until its end unless it is streamed.
MAX_ANSWER_CHARS = 4_194_304
# An engine makes no more tokens than it was asked for. Pieces beyond twice their number
# and this are an answer without end, as are chunks without a new piece.
MAX_EXCESS_PIECES = 256


class StreamRelay:
    """Checks and relays the pieces of attempts.

    Args:
        shared: State shared by the requests of this router.
    """

    def __init__(self, shared: SharedState):
        self._shared = shared

    async def run(
        self,
        job: CompletionJob,
        attempt: Attempt,
        stream: EngineStream,
        writer: ResponseWriter,
    ) -> Chunk:
        """Relay the pieces of an attempt and return its final marker.

        Raises:
            AttemptFailedError: If a piece is missing or belongs to another attempt, or
                the answer has too many pieces or too much text.
            EndpointError: If the connection is lost or idle for too long.
        """
        timing = self._shared.settings.timing
        limit_ms = self.first_token_limit_ms(job)
        is_awaiting_first_chunk = True
        final: Chunk | None = None
        chunks = chars = 0
        # A resumed attempt may begin with the pieces that were delivered.
        most = job.assembler.next_piece + 2 * job.completion.max_tokens
        most += MAX_EXCESS_PIECES
        while True:
            chunk = await stream.next_chunk(limit_ms)
            if chunk is None:
                return self._check_final_marker(job, attempt, final)
            if is_awaiting_first_chunk:
                is_awaiting_first_chunk = False
                limit_ms = timing.stream_idle_ms
                now_ms = self._shared.clock.now_ms()
                self._shared.selector.first_token(attempt.attempt_id, 0, now_ms)
            self._check_attempt_id(job, attempt, chunk)
            chunks += 1
            chars += len(chunk.content())
            if chunks > most or chars > MAX_ANSWER_CHARS:
                raise AttemptFailedError("answer_too_large", "stream_incomplete")
            if chunk.piece is not None:
                await self._deliver(job, chunk, writer)
            if chunk.piece_count is not None:
                final = chunk

    def first_token_limit_ms(self, job: CompletionJob) -> int:
        """Return the time limit for the first piece of an attempt.

        A first token after the deadline is of no use to the caller. A stream that
        has begun has no deadline and is limited by its idle time.
        """
        timing = self._shared.settings.timing
        if job.assembler.next_piece > 0:
            return timing.stream_idle_ms
        left_ms = job.deadline_ms - self._shared.clock.now_ms()
        return max(1, min(timing.first_token_timeout_ms, left_ms))

    def _check_attempt_id(
        self, job: CompletionJob, attempt: Attempt, chunk: Chunk
    ) -> None:
        shared = self._shared
        is_own_attempt = (
            chunk.attempt_id == attempt.attempt_id
            and shared.tracker.accept(
                chunk.attempt_id, job.request_id, job.account.name
            )
        )
        if not is_own_attempt:
            shared.tracker.connection_closed(attempt.endpoint, job.request_id)
            shared.metrics.count("answers.foreign")
            raise AttemptFailedError("foreign_answer", "mismatched_response")

    async def _deliver(
        self, job: CompletionJob, chunk: Chunk, writer: ResponseWriter
    ) -> None:
        assert chunk.piece is not None
        piece = StreamPiece(chunk.attempt_id, chunk.piece, chunk.content())
        result = job.assembler.receive(piece)
        if isinstance(result, Deliver):
            if result.piece == 0:
                elapsed_ms = self._shared.clock.now_ms() - job.arrived_ms
                self._shared.service_stats.record_first_token(
                    job.class_name, job.account.name, elapsed_ms
                )
            await writer.write_piece(result.piece, result.text)
        elif not isinstance(result, Duplicate):
            raise AttemptFailedError("piece_gap", "stream_incomplete")

    def _check_final_marker(
        self, job: CompletionJob, attempt: Attempt, final: Chunk | None
    ) -> Chunk:
        if final is None or final.piece_count is None:
            raise AttemptFailedError("missing_marker", "stream_incomplete")
        result = job.assembler.finish(final.piece_count, attempt.attempt_id)
        if not isinstance(result, Complete):
            raise AttemptFailedError("truncated", "stream_incomplete")
        return final
