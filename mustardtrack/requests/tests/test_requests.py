"""Fault cases of attempts, streams, refusals, calls and graceful shutdown."""

import pytest

from mustardtrack.logs import InvariantViolationError
from mustardtrack.requests import (
    REASONS,
    AttemptMismatch,
    AttemptTracker,
    BackpressureBuffer,
    CannotContinue,
    Complete,
    Continue,
    Deliver,
    Dispatch,
    Duplicate,
    GracefulShutdown,
    MissingPieces,
    NonIdempotentCall,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
    StreamAssembler,
    StreamPiece,
    Truncated,
    UnknownReasonError,
    refuse,
)
from mustardtrack.requests.calls import INPUT_NAMES

ATTEMPT_ID = "r1.1"
GRANT = ("granted", ATTEMPT_ID, 7)
ANSWER = ("answered", ATTEMPT_ID, b"booked")
CROSSED = ("answered", "r2.1", b"other")
SENT = [GRANT, ("write_started",)]
RELEASE = ReleaseClaim("acme", "key", ATTEMPT_ID)
STORE = StoreAnswer("acme", "key", ATTEMPT_ID, b"booked")
REPLY = Reply(b"booked", stored=False)

# One row per fault: name, inputs, actions after RequestClaim; a refusal is
# written as (reason, ran).
FAULTS = [
    ("no fault", [*SENT, ANSWER], [STORE, REPLY]),
    ("resend of a completed call", [("stored", b"old")], [Reply(b"old", stored=True)]),
    ("resend of a running call", [("in_progress", 5)], [("in_progress", "unknown")]),
    ("resend after a router was killed", [("outcome_unknown", "s1", 5, "GET /b")],
     [("outcome_unknown", "unknown")]),
    ("key reused", [("body_mismatch",)], [("body_mismatch", "not_run")]),
    ("key too old", [("key_expired",)], [("key_expired", "unknown")]),
    ("control lost", [("control_unavailable",)],
     [("control_unavailable", "not_run"), RELEASE]),
    ("control lost, late grant", [("control_unavailable",), GRANT],
     [("control_unavailable", "not_run"), RELEASE, RELEASE]),
    ("claim timed out, late grant", [("timed_out",), GRANT],
     [("claim_timeout", "not_run"), RELEASE, RELEASE]),
    ("caller gone while claiming", [("cancelled",)],
     [("cancelled", "not_run"), RELEASE]),
    ("paused process", [GRANT, ("guard_expired",)],
     [("dispatch_window", "not_run"), RELEASE]),
    ("connection lost before first byte", [GRANT, ("connection_lost",)],
     [("endpoint_unreachable", "not_run"), RELEASE]),
    ("silent connection before first byte", [GRANT, ("timed_out",)],
     [("claim_timeout", "not_run"), RELEASE]),
    ("caller gone before first byte", [GRANT, ("cancelled",)],
     [("cancelled", "not_run"), RELEASE]),
    ("connection lost after first byte", [*SENT, ("connection_lost",)],
     [("connection_lost", "unknown")]),
    ("silent connection after first byte", [*SENT, ("timed_out",)],
     [("endpoint_timeout", "unknown")]),
    ("caller gone after first byte", [*SENT, ("cancelled",), ANSWER],
     [("cancelled_in_flight", "unknown"), STORE]),
    ("late response", [*SENT, ("timed_out",), ANSWER, ANSWER],
     [("endpoint_timeout", "unknown"), STORE]),
    ("crossed response", [*SENT, CROSSED, ANSWER], [STORE, REPLY]),
    ("crossed response, then closed", [*SENT, CROSSED, ("connection_lost",)],
     [("connection_lost", "unknown")]),
    ("crossed late response", [*SENT, ("timed_out",), CROSSED],
     [("endpoint_timeout", "unknown")]),
    ("grant delivered twice", [GRANT, GRANT, ("write_started",), GRANT, ANSWER],
     [STORE, REPLY]),
    ("grant of another attempt", [("granted", "r2.1", 7), ("timed_out",)],
     [("claim_timeout", "not_run"), RELEASE]),
    ("clock jump after first byte", [*SENT, ("guard_expired",), ANSWER],
     [STORE, REPLY]),
]  # fmt: skip


def actions_of(inputs):
    call = NonIdempotentCall("acme", "key", "digest", ATTEMPT_ID)
    actions = call.begin()
    assert actions == [RequestClaim("acme", "key", "digest", ATTEMPT_ID)]
    for name, *arguments in inputs:
        actions += getattr(call, name)(*arguments)
    return [one for one in actions[1:] if not isinstance(one, Dispatch)]


def summarize(action):
    if isinstance(action, Refuse):
        return (action.refusal.reason, action.refusal.ran)
    return action


@pytest.mark.parametrize(
    ("inputs", "expected"), [row[1:] for row in FAULTS], ids=[row[0] for row in FAULTS]
)
def test_call_under_fault(inputs, expected):
    assert [summarize(action) for action in actions_of(inputs)] == expected


@pytest.mark.parametrize(
    "inputs",
    [[], [("timed_out",)], [GRANT, ("guard_expired",)], SENT, [*SENT, ANSWER]],
    ids=["unclaimed", "abandoned", "released", "sent", "finished"],
)
def test_first_byte_is_forbidden_without_an_unused_grant(inputs):
    with pytest.raises(InvariantViolationError):
        actions_of([*inputs, ("write_started",)])


def test_every_state_accepts_every_input():
    # A missing transition would abort a call when a late message arrives.
    arguments = {
        "granted": (ATTEMPT_ID, 7),
        "stored": (b"",),
        "in_progress": (0,),
        "outcome_unknown": ("s1", 0, "check"),
        "answered": (ATTEMPT_ID, b""),
    }
    prefixes = [[], [GRANT], SENT, [("timed_out",)], [*SENT, ("timed_out",)],
                [*SENT, ANSWER]]  # fmt: skip
    for prefix in prefixes:
        for name in sorted(set(INPUT_NAMES) - {"write_started"}):
            actions_of([*prefix, (name, *arguments.get(name, ()))])


def test_not_run_is_never_reported_after_dispatch():
    for code, row in REASONS.items():
        if row.ran == "unknown":
            assert refuse(code, dispatched=True).ran == "unknown"
            continue
        assert refuse(code, dispatched=False).ran == "not_run"
        with pytest.raises(InvariantViolationError):
            refuse(code, dispatched=True)


def test_refusal_body_has_the_fields_of_the_caller_protocol():
    refusal = refuse("deadline", dispatched=False, retry_after_ms=250)
    error = refusal.to_body("Deadline: 5 ms.")["error"]
    assert error["code"] == "deadline"
    assert error["retry_after_ms"] == 250
    assert set(error) == {
        "message", "type", "code", "ran", "retry_after_ms", "remedy"
    }  # fmt: skip
    assert (refusal.http_status, refusal.counter) == (503, "refusal.deadline")
    with pytest.raises(UnknownReasonError):
        refuse("no such reason", dispatched=False)


def test_crossed_and_late_responses_are_rejected_and_counted():
    tracker = AttemptTracker()
    first = tracker.start("r1", "acme", "e1", "a", 0)
    second = tracker.start("r1", "acme", "e2", "b", 5)
    other = tracker.start("r2", "zeta", "e1", "a", 5)
    assert [one.attempt_id for one in (first, second, other)] == [
        ATTEMPT_ID,
        "r1.2",
        "r2.1",
    ]
    assert tracker.open_attempts("e1") == [first, other]
    assert not tracker.accept("r2.1", "r1", "acme")
    assert not tracker.accept("r1.2", "r1", "zeta")
    assert not tracker.accept("r9.1", "r1", "acme")
    tracker.finish(ATTEMPT_ID)
    assert not tracker.accept(ATTEMPT_ID, "r1", "acme")
    tracker.connection_closed("e1", "r1")
    assert tracker.rejection_counts == {"foreign": 3, "late": 1, "connection_closed": 1}
    tracker.finish_request("r1")
    assert tracker.open_attempts() == [other]


def test_stream_classifies_every_fault_of_a_piece():
    stream = StreamAssembler("r1")
    stream.begin(ATTEMPT_ID, "e1", "a")
    assert stream.receive(StreamPiece(ATTEMPT_ID, 0, "x")) == Deliver(0, "x")
    assert stream.receive(StreamPiece(ATTEMPT_ID, 0, "x")) == Duplicate(0)
    assert stream.receive(StreamPiece(ATTEMPT_ID, 2, "z")) == MissingPieces(1, 2)
    assert stream.receive(StreamPiece("r2.1", 1, "y")) == AttemptMismatch("r2.1")
    assert stream.finish(1, "r2.1") == AttemptMismatch("r2.1")
    assert stream.finish(2) == Truncated(1, 2)
    assert stream.finish(0) == Truncated(1, 0)
    assert stream.finish(1) == Complete(1)
    assert stream.receive(StreamPiece(ATTEMPT_ID, 1, "y")) == AttemptMismatch(
        ATTEMPT_ID
    )


def test_stream_continues_only_at_an_endpoint_with_the_same_output():
    stream = StreamAssembler("r1")
    assert stream.begin(ATTEMPT_ID, "e1", "a") == 0
    assert stream.plan("e2", "b") == Continue(0)
    stream.receive(StreamPiece(ATTEMPT_ID, 0, "x"))
    assert stream.plan("e1", "a") == Continue(1)
    assert stream.plan("e1", "restarted") == CannotContinue(1)
    assert stream.plan("e2", "b", deterministic=True) == Continue(1)
    with pytest.raises(InvariantViolationError):
        stream.begin("r1.2", "e2", "b")
    assert stream.begin("r1.2", "e1", "a") == 1
    assert stream.receive(StreamPiece(ATTEMPT_ID, 1, "late")) == AttemptMismatch(
        ATTEMPT_ID
    )
    with pytest.raises(ValueError, match="another request"):
        stream.begin("r2.1", "e1", "a")


def test_slow_caller_buffer_is_bounded():
    buffer = BackpressureBuffer(8)
    flows = [buffer.push(str(n)) for n in range(8)]
    assert flows.index("pause") == 5
    with pytest.raises(InvariantViolationError):
        buffer.push("8")
    popped = [buffer.pop() for _ in range(9)]
    assert [text for text, _ in popped] == [*"01234567", None]
    assert [flow for _, flow in popped].count("resume") == 1


def start_shutdown(now_ms=5000, opened=("r1", "r2")):
    shutdown = GracefulShutdown(lease_ms=3000, discovery_ttl_ms=2000, limit_ms=60_000)
    for request_id in opened:
        shutdown.open(request_id, "acme")
    shutdown.begin(0)
    shutdown.advance(now_ms)
    return shutdown


def test_shutdown_accepts_requests_until_discovery_responses_expire():
    assert start_shutdown(4999).open("r3", "acme")
    shutdown = start_shutdown(5000)
    assert not shutdown.open("r3", "acme")
    assert not shutdown.discoverable
    shutdown.close("r1")
    assert shutdown.advance(59_999) == "refusing"
    shutdown.close("r2")
    assert shutdown.advance(59_999) == "finished"
    assert shutdown.forced is None


@pytest.mark.parametrize("cause", ["second_signal", "time_limit"])
def test_forced_shutdown_lists_exactly_the_open_requests(cause):
    shutdown = start_shutdown(opened=("r1", "r2", "r3"))
    shutdown.close("r3")
    shutdown.mark_dispatched("r2")
    if cause == "time_limit":
        shutdown.advance(60_000)
    forced = shutdown.force(cause)
    rows = [(one.request_id, one.refusal.ran) for one in forced.interrupted]
    assert rows == [("r1", "not_run"), ("r2", "unknown")]
    assert (forced.cause, forced.exit_status) == (cause, 1)
    assert shutdown.phase == "finished"
    assert shutdown.force("second_signal") is forced
    with pytest.raises(InvariantViolationError):
        shutdown.mark_dispatched("r1")  # contradicts its not_run report
