"""Streams over failing connections to restarting engines, and graceful shutdown.

Guards against reordered, repeated or missing text, text of another request, streams
reported as complete after a loss, and requests interrupted without a refusal.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mustardtrack.logs import InvariantViolationError
from mustardtrack.requests import (
    AttemptMismatch,
    AttemptTracker,
    BackpressureBuffer,
    Complete,
    Continue,
    Deliver,
    GracefulShutdown,
    MissingPieces,
    StreamAssembler,
    StreamPiece,
    Truncated,
)

LENGTH = 6
CAPACITY = 4
ENGINES = ("e1", "e2")


class _StreamMachine(RuleBasedStateMachine):
    """One caller reads a stream while engines and connections fail."""

    @initialize(deterministic=st.booleans())
    def start(self, deterministic):
        self.deterministic = deterministic
        self.tracker = AttemptTracker()
        self.other = self.tracker.start("r2", "zeta", "e1", "e1-0", 0)
        self.stream = StreamAssembler("r1")
        self.buffer = BackpressureBuffer(CAPACITY)
        self.restarts = dict.fromkeys(ENGINES, 0)
        self.attempt = None
        self.connection = []
        self.old_pieces = []
        self.reading = True
        self.sources = set()
        self.read_by_caller = []
        self.completed = False

    def text(self, incarnation, number):
        # Without deterministic output each incarnation produces different text.
        return f"r1 {'same' if self.deterministic else incarnation} {number}"

    @precondition(lambda self: self.attempt is None and not self.completed)
    @rule(engine=st.sampled_from(ENGINES))
    def dispatch(self, engine):
        incarnation = f"{engine}-{self.restarts[engine]}"
        plan = self.stream.plan(engine, incarnation, self.deterministic)
        attempt = self.tracker.start("r1", "acme", engine, incarnation, 0)
        if not isinstance(plan, Continue):
            with pytest.raises(InvariantViolationError):
                self.stream.begin(attempt.attempt_id, engine, incarnation)
            self.tracker.finish(attempt.attempt_id)
            return
        resume = self.stream.begin(
            attempt.attempt_id, engine, incarnation, self.deterministic
        )
        assert resume == plan.resume_from
        self.attempt = attempt
        self.connection = [
            StreamPiece(attempt.attempt_id, number, self.text(incarnation, number))
            for number in range(resume, LENGTH)
        ]

    @precondition(lambda self: self.attempt is not None and self.connection)
    @rule(fault=st.sampled_from(("none", "none", "none", "repeat", "skip")))
    def piece_arrives(self, fault):
        if not self.reading:
            return
        index = 1 if fault == "skip" and len(self.connection) > 1 else 0
        piece = self.connection[index]
        del self.connection[: index + (fault != "repeat")]
        self.old_pieces.append(piece)
        result = self.stream.receive(piece)
        if isinstance(result, Deliver):
            self.sources.add(self.attempt.incarnation)
            self.reading = self.buffer.push(result.text) != "pause"
        elif isinstance(result, MissingPieces):
            assert result.expected == self.stream.next_piece
            self.lose_connection()

    @precondition(lambda self: self.attempt is not None)
    @rule(late=st.booleans())
    def mismatched_piece_arrives(self, late):
        piece = StreamPiece(self.other.attempt_id, self.stream.next_piece, "r2 text")
        if late and self.old_pieces:
            piece = self.old_pieces[-1]
        if piece.attempt_id == self.attempt.attempt_id:
            return
        assert not self.tracker.accept(piece.attempt_id, "r1", "acme")
        assert isinstance(self.stream.receive(piece), AttemptMismatch)
        assert isinstance(self.stream.finish(LENGTH, piece.attempt_id), AttemptMismatch)

    @precondition(lambda self: self.attempt is not None)
    @rule()
    def lose_connection(self):
        self.tracker.finish(self.attempt.attempt_id)
        assert not self.tracker.accept(self.attempt.attempt_id, "r1", "acme")
        self.attempt = None
        self.connection = []

    @rule(engine=st.sampled_from(ENGINES))
    def engine_restarts(self, engine):
        self.restarts[engine] += 1
        if self.attempt is not None and self.attempt.endpoint == engine:
            self.lose_connection()

    @precondition(lambda self: self.attempt is not None)
    @rule()
    def marker_arrives(self):
        result = self.stream.finish(LENGTH, self.attempt.attempt_id)
        if isinstance(result, Complete):
            self.completed = True
            self.attempt = None
        else:
            assert result == Truncated(self.stream.next_piece, LENGTH)
            self.lose_connection()

    @rule()
    def caller_reads(self):
        text, flow = self.buffer.pop()
        if text is not None:
            self.read_by_caller.append(text)
        self.reading = self.reading or flow == "resume"

    @invariant()
    def caller_reads_a_prefix_of_one_source(self):
        assert self.deterministic or len(self.sources) <= 1
        source = min(self.sources, default="")
        expected = [self.text(source, number) for number in range(LENGTH)]
        delivered = [*self.read_by_caller, *self.buffer._pieces]
        assert delivered == expected[: len(delivered)]
        assert not self.completed or len(delivered) == LENGTH

    @invariant()
    def buffer_is_bounded_and_reading_follows_it(self):
        assert len(self.buffer) <= CAPACITY
        assert self.reading == self.buffer.reading
        assert self.reading or len(self.buffer) > 0


class _ShutdownMachine(RuleBasedStateMachine):
    """Requests open and close while a router shuts down."""

    def __init__(self):
        super().__init__()
        self.shutdown = GracefulShutdown(
            lease_ms=3000, discovery_ttl_ms=2000, limit_ms=20_000
        )
        self.now_ms = 0
        self.began_ms = None
        self.opened = 0
        self.running = {}

    @rule()
    def open(self):
        self.opened += 1
        request_id = f"r{self.opened}"
        accepted = self.shutdown.open(request_id, "acme")
        elapsed_ms = 0 if self.began_ms is None else self.now_ms - self.began_ms
        # A caller with a valid discovery response must not be refused.
        assert accepted or elapsed_ms >= 5000 or self.shutdown.forced
        if accepted:
            self.running[request_id] = "not_run"

    @precondition(lambda self: self.running)
    @rule(done=st.booleans())
    def progress(self, done):
        request_id = next(iter(self.running))
        if done:
            del self.running[request_id]
            self.shutdown.close(request_id)
        else:
            self.running[request_id] = "unknown"
            self.shutdown.mark_dispatched(request_id)

    @rule()
    def signal(self):
        self.shutdown.begin(self.now_ms)
        if self.began_ms is None:
            self.began_ms = self.now_ms

    @precondition(lambda self: self.began_ms is not None)
    @rule()
    def second_signal(self):
        self.check_forced(self.shutdown.force("second_signal"))

    @rule(elapsed_ms=st.sampled_from((1, 2500, 5000, 30_000)))
    def time_passes(self, elapsed_ms):
        self.now_ms += elapsed_ms
        phase = self.shutdown.advance(self.now_ms)
        if self.shutdown.forced:
            self.check_forced(self.shutdown.forced)
        elif phase == "finished":
            assert not self.running

    def check_forced(self, forced):
        listed = {one.request_id: one.ran for one in forced.interrupted}
        assert self.running in ({}, listed)
        assert forced.exit_status == (1 if listed else 0)
        self.running = {}

    @invariant()
    def withdrawn_router_is_not_discoverable(self):
        assert self.shutdown.discoverable == (self.began_ms is None)


TestStreamMachine = _StreamMachine.TestCase
TestShutdownMachine = _ShutdownMachine.TestCase
