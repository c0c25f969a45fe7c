"""Reassembly of streamed responses and backpressure for slow callers."""

from collections import deque
from dataclasses import dataclass
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant

PIECE_MISMATCHED = define_event(
    7020, "ERROR", "stream piece for another attempt rejected"
)
PIECE_OUT_OF_ORDER = define_event(7021, "ERROR", "stream piece delivered out of order")
STREAM_WRONG_COUNT = define_event(
    7022, "ERROR", "stream reported as complete with a wrong number of pieces"
)
STREAM_CONTINUED_ELSEWHERE = define_event(
    7023, "ERROR", "stream continued by an endpoint that cannot reproduce it"
)
STREAM_TRUNCATED = define_event(7024, "WARNING", "stream ended with missing pieces")
BUFFER_OVERFLOW = define_event(
    7025, "ERROR", "backpressure buffer of a slow caller overflowed"
)


@dataclass(frozen=True)
class StreamPiece:
    """One piece of a stream; the endpoint numbers pieces from 0."""

    attempt_id: str
    piece: int
    text: str


@dataclass(frozen=True)
class Deliver:
    """The piece is in order; its text goes to the caller."""

    piece: int
    text: str


@dataclass(frozen=True)
class Duplicate:
    """The piece was already delivered and is ignored."""

    piece: int


@dataclass(frozen=True)
class MissingPieces:
    """Pieces were lost; close the connection and resume at ``expected``."""

    expected: int
    received: int


@dataclass(frozen=True)
class AttemptMismatch:
    """The piece or final marker is of another attempt; close the connection."""

    attempt_id: str


@dataclass(frozen=True)
class Complete:
    """All pieces were delivered."""

    count: int


@dataclass(frozen=True)
class Truncated:
    """The piece count of the final marker differs from the delivered pieces."""

    received: int
    expected: int


@dataclass(frozen=True)
class Continue:
    """Dispatch a new attempt that starts at piece ``resume_from``."""

    resume_from: int


@dataclass(frozen=True)
class CannotContinue:
    """Send an explicit error; the caller already has ``delivered`` pieces."""

    delivered: int


class StreamAssembler:
    """Delivers the pieces of one response in order and exactly once.

    Examples:
        >>> assembler = StreamAssembler("r1")
        >>> assembler.begin("r1.1", "engine-1", "a")
        0
        >>> assembler.receive(StreamPiece("r1.1", 0, "Hello"))
        Deliver(piece=0, text='Hello')
        >>> assembler.receive(StreamPiece("r1.1", 2, "!"))
        MissingPieces(expected=1, received=2)
        >>> assembler.plan("engine-2", "b")
        CannotContinue(delivered=1)
        >>> assembler.finish(2)
        Truncated(received=1, expected=2)
    """

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.next_piece = 0
        self.completed = False
        self._attempt_id: str | None = None
        self._source: tuple[str, str] | None = None

    def plan(
        self, endpoint: str, incarnation: str, deterministic: bool = False
    ) -> Continue | CannotContinue:
        """Return whether an endpoint may start or continue the stream.

        Args:
            endpoint: Name of the endpoint.
            incarnation: Current incarnation of the endpoint.
            deterministic: Whether the engine declares that it produces the same
                pieces as any other engine with the same weights.
        """
        is_same_source = self._source == (endpoint, incarnation)
        if self.next_piece == 0 or is_same_source or deterministic:
            return Continue(self.next_piece)
        return CannotContinue(self.next_piece)

    def begin(
        self,
        attempt_id: str,
        endpoint: str,
        incarnation: str,
        deterministic: bool = False,
    ) -> int:
        """Bind the stream to a new attempt; pieces of earlier attempts are rejected.

        Returns:
            The piece to request as ``resume_from``.

        Raises:
            ValueError: If the attempt belongs to another request.
            InvariantViolationError: If the endpoint cannot continue the stream or
                the stream is already complete.
        """
        if attempt_id.rpartition(".")[0] != self.request_id:
            raise ValueError(
                f"attempt {attempt_id!r} belongs to another request than "
                f"{self.request_id!r}, use an attempt of this request"
            )
        is_same_source = self._source == (endpoint, incarnation)
        require_invariant(
            not self.completed
            and (self.next_piece == 0 or is_same_source or deterministic),
            STREAM_CONTINUED_ELSEWHERE,
            request=self.request_id,
            endpoint=endpoint,
            delivered=self.next_piece,
        )
        self._attempt_id = attempt_id
        self._source = (endpoint, incarnation)
        return self.next_piece

    def receive(
        self, piece: StreamPiece
    ) -> Deliver | Duplicate | MissingPieces | AttemptMismatch:
        """Classify one piece of the response."""
        if piece.attempt_id != self._attempt_id or self.completed:
            return self._reject(piece.attempt_id)
        if piece.piece < self.next_piece:
            return Duplicate(piece.piece)
        if piece.piece > self.next_piece:
            return MissingPieces(self.next_piece, piece.piece)
        return self._deliver(piece)

    def finish(
        self, count: int, attempt_id: str | None = None
    ) -> Complete | Truncated | AttemptMismatch:
        """Classify the final marker, which ends a response and states its piece count.

        Args:
            count: Number of pieces according to the marker.
            attempt_id: The attempt id that the marker carries, if it carries one.
        """
        if attempt_id is not None and attempt_id != self._attempt_id:
            return self._reject(attempt_id)
        if count != self.next_piece:
            log_event(
                STREAM_TRUNCATED,
                request=self.request_id,
                received=self.next_piece,
                expected=count,
            )
            return Truncated(self.next_piece, count)
        return self._complete(count)

    def _deliver(self, piece: StreamPiece) -> Deliver:
        require_invariant(
            piece.piece == self.next_piece and piece.attempt_id == self._attempt_id,
            PIECE_OUT_OF_ORDER,
            request=self.request_id,
            expected=self.next_piece,
            received=piece.piece,
        )
        self.next_piece += 1
        return Deliver(piece.piece, piece.text)

    def _complete(self, count: int) -> Complete:
        require_invariant(
            count == self.next_piece,
            STREAM_WRONG_COUNT,
            request=self.request_id,
            received=self.next_piece,
            expected=count,
        )
        self.completed = True
        return Complete(count)

    def _reject(self, attempt_id: str) -> AttemptMismatch:
        log_event(PIECE_MISMATCHED, request=self.request_id, attempt=attempt_id)
        return AttemptMismatch(attempt_id)


FlowControl = Literal["pause", "resume"]


class BackpressureBuffer:
    """Bounded queue of pieces between an endpoint and a slow caller.

    Reading from the endpoint pauses at a high watermark of three quarters of the
    capacity, because pieces in transit still arrive after the pause, and resumes at
    a low watermark of one quarter.

    Args:
        capacity_pieces: Largest number of pieces held, at least 4.

    Examples:
        >>> buffer = BackpressureBuffer(4)
        >>> [buffer.push(text) for text in "abc"]
        [None, None, 'pause']
        >>> [buffer.pop() for _ in range(2)]
        [('a', None), ('b', 'resume')]
    """

    def __init__(self, capacity_pieces: int):
        if capacity_pieces < 4:
            raise ValueError(
                f"capacity of {capacity_pieces} pieces is too small, use at least 4"
            )
        self.capacity_pieces = capacity_pieces
        self.reading = True
        self._high_watermark = capacity_pieces * 3 // 4
        self._low_watermark = capacity_pieces // 4
        self._pieces: deque[str] = deque()

    def __len__(self) -> int:
        return len(self._pieces)

    def push(self, text: str) -> FlowControl | None:
        """Append one piece; ``pause`` means to stop reading from the endpoint.

        Raises:
            InvariantViolationError: If the buffer is full. Abort the stream with
                an explicit error to the caller.
        """
        require_invariant(
            len(self._pieces) < self.capacity_pieces,
            BUFFER_OVERFLOW,
            capacity_pieces=self.capacity_pieces,
        )
        self._pieces.append(text)
        if self.reading and len(self._pieces) >= self._high_watermark:
            self.reading = False
            return "pause"
        return None

    def pop(self) -> tuple[str | None, FlowControl | None]:
        """Remove the oldest piece; ``resume`` means to read from the endpoint again.

        Returns:
            The piece, ``None`` if the buffer is empty, and the flow control change.
        """
        text = self._pieces.popleft() if self._pieces else None
        if not self.reading and len(self._pieces) <= self._low_watermark:
            self.reading = True
            return text, "resume"
        return text, None
