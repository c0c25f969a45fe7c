"""HTTP face of the stand-in engine."""

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
from mustardtrack.testing.enginemodel import (
    EngineModel,
    EngineOptions,
    ExportedPiece,
    LoadOrder,
    RequestError,
)
from mustardtrack.testing.schedule import PieceSchedule
from mustardtrack.testing.server import (
    FAULTS_CHANGED,
    Journal,
    answer_error,
    answer_json,
    crash,
    cut_connection,
    new_incarnation,
    now_ms,
    reset_connection,
    run_periodically,
)
from mustardtrack.testing.switches import EngineFaults, merge_faults, take_faults

TICK_MS = 5


class Answer:
    """One connected completion.

    Args:
        request: HTTP request.
        completion: Decoded body.
        stream: Run that the answer follows.
        faults: Switches that apply to this answer.
        shown_id: Attempt id that the answer carries.
        incarnation: Incarnation of the engine.
    """

    def __init__(
        self,
        request: Any,
        completion: CompletionRequest,
        stream: Stream,
        faults: EngineFaults,
        shown_id: str,
        incarnation: str,
    ):
        self.request = request
        self.completion = completion
        self.stream = stream
        self.done: Deferred[bytes] = Deferred()
        self.ended = False
        self._faults = faults
        self._shown_id = shown_id
        self._incarnation = incarnation
        first = max(completion.resume_from, stream.first_piece)
        self._schedule = PieceSchedule(first, faults)
        self._sent = 0
        self._texts: list[str] = []

    def advance(self) -> None:
        """Send the pieces that are due and end the answer when the stream ends."""
        if self.ended:
            return
        if self.stream.attempt_id != self.completion.attempt_id:
            self.ended = True
            reset_connection(self.request)  # another attempt has resumed the stream
            return
        self._send_due()
        if self._is_cut():
            self.ended = True
            cut_connection(self.request)
            return
        make_end = self._ENDS.get(self.stream.state)
        if make_end is not None:
            self.ended = True
            self.done.callback(make_end(self))

    def _is_cut(self) -> bool:
        limit = self._faults.close_after_pieces
        return limit is not None and self._sent >= limit

    def _send_due(self) -> None:
        lines = []
        done = self.stream.state == "done"
        for piece in self._schedule.due(self.stream.next_piece, done):
            if self._is_cut():
                break
            self._sent += 1
            lines.append(self._line(piece))
        if lines and self.completion.stream:
            if self._sent == len(lines):
                self.request.setHeader("Content-Type", "text/event-stream")
            self.request.write(b"".join(lines))

    def _line(self, piece: int) -> bytes:
        text = self.stream.pieces[piece - self.stream.first_piece]
        self._texts.append(text)
        last = piece + 1 == self.completion.max_tokens
        return self._event(self._chunk(text, last) | {"piece": piece})

    def _chunk(self, text: str, last: bool) -> dict[str, Any]:
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
            "attempt_id": self._shown_id,
        }
        return chunk | self._totals() if last else chunk

    def _totals(self) -> dict[str, Any]:
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

    def _end_done(self) -> bytes:
        if self.completion.stream:
            return b"data: [DONE]\n\n"
        return answer_json(self.request, self._chunk("".join(self._texts), True))

    def _end_cancelled(self) -> bytes:
        error = {"code": "cancelled", "message": "the attempt was cancelled"}
        body = {"error": error, "attempt_id": self._shown_id}
        if self.completion.stream and self._sent:
            return self._event(body)
        return answer_json(self.request, body, 499)

    def _end_refused(self) -> bytes:
        message = "the weights changed while the request was queued"
        return answer_error(self.request, 409, "wrong_weights", message)

    _ENDS = {
        "done": _end_done,
        "cancelled": _end_cancelled,
        "refused": _end_refused,
    }

    def _event(self, body: dict[str, Any]) -> bytes:
        return b"data: " + msgspec.json.encode(body) + b"\n\n"


class EngineFace:
    """Routes of the stand-in engine.

    Args:
        options: Options of the engine.
        faults: Fault switches at start.
        journal: Receives each run.
    """

    app = Klein()

    def __init__(self, options: EngineOptions, faults: EngineFaults, journal: Journal):
        self.faults = faults
        self._journal = journal
        self.model = EngineModel(options, new_incarnation(), self._note_run)
        self._answers: list[Answer] = []
        self._last_attempt = "0.0"

    def start(self) -> Any:
        """Start the periodic work and return the web resource."""
        run_periodically(self._tick, TICK_MS)
        return self.app.resource()

    @app.route("/v1/completions", methods=["POST"])
    async def complete(self, request: Any) -> bytes:
        """Answer a completion."""
        completion = msgspec.json.decode(request.content.read(), type=CompletionRequest)
        faults = take_faults(self.faults)
        stream = self.model.complete(completion, now_ms())
        request.setHeader("Mustardtrack-Attempt", completion.attempt_id)
        answer = Answer(
            request,
            completion,
            stream,
            faults,
            self._shown_id(completion.attempt_id, faults),
            self.model.incarnation,
        )
        try:
            await self._wait(faults.late_ms)
            self._answers.append(answer)
            answer.advance()
            return await answer.done
        finally:
            answer.ended = True
            self._release(answer)

    @app.route("/cancel", methods=["POST"])
    def cancel(self, request: Any) -> bytes:
        """Stop an attempt."""
        attempt_id = msgspec.json.decode(request.content.read())["attempt_id"]
        return answer_json(request, {"cancelled": self.model.cancel(attempt_id)})

    @app.route("/health", methods=["GET"])
    async def health(self, request: Any) -> bytes:
        """Report incarnation, state, models and the lagging load."""
        if self.faults.stall_health:
            await Deferred()
        state = "leaving" if self.faults.leaving else "up"
        return answer_json(request, self.model.health(state, now_ms()))

    @app.route("/events", methods=["GET"])
    def events(self, request: Any) -> bytes:
        """Return cache events after a sequence number."""
        after = int(request.args.get(b"after", [b"0"])[0])
        return answer_json(request, self.model.events(after, now_ms()))

    @app.route("/orders/load", methods=["POST"])
    async def order_load(self, request: Any) -> bytes:
        """Load weights and answer once they are loaded."""
        order = msgspec.json.decode(request.content.read(), type=LoadOrder)
        self.model.order_load(order, now_ms())
        while self.model.is_loading(order):
            await self._wait(TICK_MS)
        return answer_json(request, order)

    @app.route("/orders", methods=["GET"])
    def orders(self, request: Any) -> bytes:
        """List the received load orders."""
        return answer_json(request, {"orders": self.model.orders})

    @app.route("/kv/<digest>", methods=["GET"])
    async def export_piece(self, request: Any, digest: str) -> bytes:
        """Export a cached piece."""
        piece = self.model.export_piece(digest)
        await self._transfer(piece)
        request.setHeader("Content-Type", "application/octet-stream")
        return msgspec.msgpack.encode(piece)

    @app.route("/kv/<digest>", methods=["PUT"])
    async def import_piece(self, request: Any, digest: str) -> bytes:
        """Import a piece that another engine exported."""
        piece = msgspec.msgpack.decode(request.content.read(), type=ExportedPiece)
        await self._transfer(piece)
        self.model.import_piece(digest, piece, now_ms())
        return answer_json(request, {"digest": digest})

    @app.route("/runs", methods=["GET"])
    def runs(self, request: Any) -> bytes:
        """Return how many times each request ran."""
        body = {"incarnation": self.model.incarnation, "runs": dict(self.model.runs)}
        return answer_json(request, body)

    @app.route("/faults", methods=["GET"])
    def show_faults(self, request: Any) -> bytes:
        """Return the fault switches."""
        return answer_json(request, self.faults)

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Change some fault switches."""
        changes = msgspec.json.decode(request.content.read(), type=dict[str, Any])
        self.faults = merge_faults(self.faults, changes)
        log_event(FAULTS_CHANGED, changes=changes)
        return answer_json(request, self.faults)

    @app.handle_errors(RequestError)
    def refuse(self, request: Any, failure: Any) -> bytes:
        """Answer a request that was refused as not run."""
        error = failure.value
        return answer_error(request, error.status, error.code, str(error))

    @app.handle_errors(msgspec.DecodeError, ValueError, KeyError)
    def refuse_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request whose body cannot be decoded."""
        return answer_error(request, 400, "invalid", str(failure.value))

    def _tick(self) -> None:
        if self.faults.stall:
            return
        self.model.tick(now_ms())
        # The end of an answer may start the next request of its connection, which
        # changes the list.
        for answer in list(self._answers):
            answer.advance()

    def _note_run(self, stream: Stream) -> None:
        request = stream.request
        self._journal.write(request_id=request.request_id, attempt=request.attempt_id)
        text = self.faults.crash_text
        if text is not None and text in request.prompt:
            crash(f"prompt of {request.request_id} contains the crash text")

    def _shown_id(self, attempt_id: str, faults: EngineFaults) -> str:
        other, self._last_attempt = self._last_attempt, attempt_id
        return other if faults.crossed else attempt_id

    def _release(self, answer: Answer) -> None:
        if answer in self._answers:
            self._answers.remove(answer)
        # Finished streams stay resumable as well: their end may be lost on the way.
        attempt_id = answer.completion.attempt_id
        self.model.detach(answer.stream, attempt_id, now_ms())

    async def _transfer(self, piece: ExportedPiece) -> None:
        rate = self.model.options.kv_tokens_per_second
        await self._wait(piece.tokens * 1000 / rate)

    async def _wait(self, delay_ms: float) -> None:
        if delay_ms > 0:
            nothing: Callable[[], None] = lambda: None  # noqa: E731
            await deferLater(reactor, delay_ms / 1000, nothing)  # type: ignore
