"""HTTP API of the stand-in engine."""

import time
from collections.abc import Callable
from typing import Any

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mustardtrack.logs import log_event
from mustardtrack.testing.batching import CompletionRequest, Stream
from mustardtrack.testing.chunk_schedule import ChunkSchedule
from mustardtrack.testing.fault_injection import (
    EngineFaults,
    consume_faults,
    merge_faults,
)
from mustardtrack.testing.server import (
    FAULTS_CHANGED,
    RunJournal,
    close_connection,
    crash,
    error_response,
    json_response,
    new_incarnation,
    now_ms,
    reset_connection,
    run_periodically,
)
from mustardtrack.testing.simulated_engine import (
    EngineOptions,
    KvBlock,
    LoadWeightsRequest,
    RequestError,
    SimulatedEngine,
)

TICK_MS = 5


class CompletionResponse:
    """HTTP response to one completion request.

    Args:
        request: HTTP request.
        completion: Decoded request body.
        stream: Run whose output is sent.
        faults: Faults injected into this response.
        reported_attempt_id: Attempt id in the response body; the fault ``crossed``
            replaces it by the id of another attempt.
        incarnation: Incarnation of the engine.

    Attributes:
        done: Fires with the last bytes of the body if the response ends normally.
        finished: Whether nothing more is sent, also after a closed connection.
    """

    def __init__(
        self,
        request: Any,
        completion: CompletionRequest,
        stream: Stream,
        faults: EngineFaults,
        reported_attempt_id: str,
        incarnation: str,
    ):
        self.request = request
        self.completion = completion
        self.stream = stream
        self.done: Deferred[bytes] = Deferred()
        self.finished = False
        self._faults = faults
        self._reported_attempt_id = reported_attempt_id
        self._incarnation = incarnation
        first = max(completion.resume_from, stream.first_index)
        self._schedule = ChunkSchedule(first, faults)
        self._sent_chunks = 0
        self._sent_texts: list[str] = []

    def advance(self) -> None:
        """Send the chunks that are due; finish when the stream has ended."""
        if self.finished:
            return
        if self.stream.attempt_id != self.completion.attempt_id:
            self.finished = True
            reset_connection(self.request)  # another attempt resumed the stream
            return
        self._send_due_chunks()
        if self._is_closed_by_fault():
            self.finished = True
            close_connection(self.request)
            return
        finish = self._FINISHERS.get(self.stream.state)
        if finish is not None:
            self.finished = True
            self.done.callback(finish(self))

    def _is_closed_by_fault(self) -> bool:
        limit = self._faults.close_after_pieces
        return limit is not None and self._sent_chunks >= limit

    def _send_due_chunks(self) -> None:
        lines = []
        done = self.stream.state == "done"
        for index in self._schedule.due(self.stream.next_index, done):
            if self._is_closed_by_fault():
                break
            self._sent_chunks += 1
            lines.append(self._token_event(index))
        if lines and self.completion.stream:
            if self._sent_chunks == len(lines):
                self.request.setHeader("Content-Type", "text/event-stream")
            self.request.write(b"".join(lines))

    def _token_event(self, index: int) -> bytes:
        text = self.stream.token_texts[index - self.stream.first_index]
        self._sent_texts.append(text)
        last = index + 1 == self.completion.max_tokens
        return self._sse_event(self._chunk_body(text, last) | {"piece": index})

    def _chunk_body(self, text: str, last: bool) -> dict[str, Any]:
        choice = {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": "length" if last else None,
        }
        chunk = {
            "id": f"cmpl-{self.completion.request_id}",
            "object": "text_completion",
            "created": int(time.time()),
            "model": self.completion.model,
            "choices": [choice],
            "attempt_id": self._reported_attempt_id,
        }
        return chunk | self._final_fields() if last else chunk

    def _final_fields(self) -> dict[str, Any]:
        prompt_tokens = self.stream.prompt_tokens
        generated = self.completion.max_tokens
        return {
            "piece_count": generated,
            "cached_tokens": self.stream.cached_tokens,
            "incarnation": self._incarnation,
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": generated,
                "total_tokens": prompt_tokens + generated,
            },
        }

    def _finish_completed(self) -> bytes:
        if self.completion.stream:
            return b"data: [DONE]\n\n"
        return json_response(
            self.request, self._chunk_body("".join(self._sent_texts), True)
        )

    def _finish_cancelled(self) -> bytes:
        error = {"code": "cancelled", "message": "the attempt was cancelled"}
        body = {"error": error, "attempt_id": self._reported_attempt_id}
        if self.completion.stream and self._sent_chunks:
            return self._sse_event(body)
        return json_response(self.request, body, 499)

    def _finish_refused(self) -> bytes:
        message = "the weights changed while the request was queued"
        return error_response(self.request, 409, "wrong_weights", message)

    _FINISHERS = {
        "done": _finish_completed,
        "cancelled": _finish_cancelled,
        "refused": _finish_refused,
    }

    def _sse_event(self, body: dict[str, Any]) -> bytes:
        return b"data: " + msgspec.json.encode(body) + b"\n\n"


class EngineApi:
    """HTTP routes of the stand-in engine.

    Args:
        options: Options of the engine.
        faults: Initial fault settings.
        run_journal: Records each run.
    """

    app = Klein()

    def __init__(
        self, options: EngineOptions, faults: EngineFaults, run_journal: RunJournal
    ):
        self.faults = faults
        self._run_journal = run_journal
        self.engine = SimulatedEngine(options, new_incarnation(), self._record_run)
        self._responses: list[CompletionResponse] = []
        self._previous_attempt_id = "0.0"

    def start(self) -> Any:
        """Start the periodic tick and return the web resource."""
        run_periodically(self._tick, TICK_MS)
        return self.app.resource()

    @app.route("/v1/completions", methods=["POST"])
    async def complete(self, request: Any) -> bytes:
        """Run a completion and send its response."""
        completion = msgspec.json.decode(request.content.read(), type=CompletionRequest)
        faults = consume_faults(self.faults)
        stream = self.engine.complete(completion, now_ms())
        request.setHeader("Mustardtrack-Attempt", completion.attempt_id)
        response = CompletionResponse(
            request,
            completion,
            stream,
            faults,
            self._reported_attempt_id(completion.attempt_id, faults),
            self.engine.incarnation,
        )
        try:
            await self._sleep(faults.late_ms)
            self._responses.append(response)
            response.advance()
            return await response.done
        finally:
            response.finished = True
            self._disconnect(response)

    @app.route("/cancel", methods=["POST"])
    def cancel(self, request: Any) -> bytes:
        """Cancel an attempt."""
        attempt_id = msgspec.json.decode(request.content.read())["attempt_id"]
        return json_response(request, {"cancelled": self.engine.cancel(attempt_id)})

    @app.route("/health", methods=["GET"])
    async def health(self, request: Any) -> bytes:
        """Report incarnation, state, models and the delayed load."""
        if self.faults.stall_health:
            await Deferred()
        state = "leaving" if self.faults.leaving else "up"
        return json_response(request, self.engine.health(state, now_ms()))

    @app.route("/events", methods=["GET"])
    def events(self, request: Any) -> bytes:
        """Return the cache events after a sequence number."""
        after = int(request.args.get(b"after", [b"0"])[0])
        return json_response(request, self.engine.events(after, now_ms()))

    @app.route("/orders/load", methods=["POST"])
    async def load_weights(self, request: Any) -> bytes:
        """Load weights and respond once they are loaded."""
        load_request = msgspec.json.decode(
            request.content.read(), type=LoadWeightsRequest
        )
        self.engine.load_weights(load_request, now_ms())
        while self.engine.is_loading(load_request):
            await self._sleep(TICK_MS)
        return json_response(request, load_request)

    @app.route("/orders", methods=["GET"])
    def list_load_requests(self, request: Any) -> bytes:
        """List the weight load requests received so far."""
        return json_response(request, {"orders": self.engine.load_requests})

    @app.route("/kv/<digest>", methods=["GET"])
    async def export_block(self, request: Any, digest: str) -> bytes:
        """Export a cached KV block."""
        block = self.engine.export_block(digest)
        await self._simulate_kv_transfer(block)
        request.setHeader("Content-Type", "application/octet-stream")
        return msgspec.msgpack.encode(block)

    @app.route("/kv/<digest>", methods=["PUT"])
    async def import_block(self, request: Any, digest: str) -> bytes:
        """Import a KV block that another engine exported."""
        block = msgspec.msgpack.decode(request.content.read(), type=KvBlock)
        await self._simulate_kv_transfer(block)
        self.engine.import_block(digest, block, now_ms())
        return json_response(request, {"digest": digest})

    @app.route("/runs", methods=["GET"])
    def runs(self, request: Any) -> bytes:
        """Return the number of runs of each request."""
        body = {"incarnation": self.engine.incarnation, "runs": dict(self.engine.runs)}
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

    @app.handle_errors(RequestError)
    def handle_request_error(self, request: Any, failure: Any) -> bytes:
        """Respond to a request that was refused before it ran."""
        error = failure.value
        return error_response(request, error.status, error.code, str(error))

    @app.handle_errors(msgspec.DecodeError, ValueError, KeyError)
    def handle_invalid_request(self, request: Any, failure: Any) -> bytes:
        """Respond to a request that cannot be decoded."""
        return error_response(request, 400, "invalid", str(failure.value))

    def _tick(self) -> None:
        if self.faults.stall:
            return
        self.engine.tick(now_ms())
        # Iterate over a copy: finishing a response may start the next request on the
        # same connection, which modifies the list.
        for response in list(self._responses):
            response.advance()

    def _record_run(self, stream: Stream) -> None:
        request = stream.request
        self._run_journal.write(
            request_id=request.request_id, attempt=request.attempt_id
        )
        text = self.faults.crash_text
        if text is not None and text in request.prompt:
            crash(f"prompt of {request.request_id} contains the crash text")

    def _reported_attempt_id(self, attempt_id: str, faults: EngineFaults) -> str:
        other, self._previous_attempt_id = self._previous_attempt_id, attempt_id
        return other if faults.crossed else attempt_id

    def _disconnect(self, response: CompletionResponse) -> None:
        if response in self._responses:
            self._responses.remove(response)
        # A completed stream can be resumed as well, since its last chunks may be lost
        # in transit; the resume window ends it like any other stream.
        attempt_id = response.completion.attempt_id
        self.engine.mark_disconnected(response.stream, attempt_id, now_ms())

    async def _simulate_kv_transfer(self, block: KvBlock) -> None:
        rate = self.engine.options.kv_tokens_per_second
        await self._sleep(block.tokens * 1000 / rate)

    async def _sleep(self, delay_ms: float) -> None:
        if delay_ms > 0:
            noop: Callable[[], None] = lambda: None  # noqa: E731
            await deferLater(reactor, delay_ms / 1000, noop)  # type: ignore
