"""State machine for one send of a non-idempotent call.

The state machine performs no I/O: each input returns the actions that the router
executes in order. One instance handles one send by a caller and makes at most one
attempt. A resend gets its own instance, and the claim decides which of them may
dispatch.
"""

from collections.abc import Callable
from typing import Any, Protocol

from automat import TypeMachineBuilder

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.requests.actions import (
    Action,
    CallRecord,
    Dispatch,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
)
from mustardtrack.requests.refusals import refuse

RELEASE_AFTER_SEND = define_event(
    7030, "ERROR", "claim released after the first byte was sent"
)
DISPATCH_NOT_ALLOWED = define_event(
    7031, "ERROR", "call bytes sent without a claim or after a refusal"
)
SECOND_DISPATCH = define_event(
    7032, "ERROR", "call dispatched twice by the same attempt"
)
SECOND_REPLY = define_event(7033, "ERROR", "second reply sent for the same call")
CALL_INPUT_MISMATCHED = define_event(
    7034, "ERROR", "input for another attempt ignored by a call"
)


class CallInputs(Protocol):
    """Inputs of the state machine; each returns the actions to execute."""

    def begin(self) -> list[Action]:
        """Start the call."""

    def granted(self, attempt: str, fence: int) -> list[Action]:
        """The control plane granted the claim to an attempt."""

    def stored(self, answer: bytes) -> list[Action]:
        """The control plane holds the stored answer of an earlier send."""

    def in_progress(self, since_wall_ms: int) -> list[Action]:
        """Another send holds the claim."""

    def outcome_unknown(
        self, endpoint: str, since_wall_ms: int, check: str
    ) -> list[Action]:
        """An earlier send was not completed or released within ``unknown_after_ms``."""

    def body_mismatch(self) -> list[Action]:
        """The idempotency key was already used with another body."""

    def key_expired(self) -> list[Action]:
        """The creation time of the key is outside the accepted range."""

    def control_unavailable(self) -> list[Action]:
        """The claim request got no response; it may or may not have committed."""

    def guard_expired(self) -> list[Action]:
        """The dispatch guard rejected the dispatch."""

    def write_started(self) -> list[Action]:
        """The first byte is about to be written to the endpoint."""

    def answered(self, attempt: str, answer: bytes) -> list[Action]:
        """A complete response arrived; ``attempt`` is the id that it echoes."""

    def connection_lost(self) -> list[Action]:
        """The connection to the endpoint failed or could not be opened."""

    def timed_out(self) -> list[Action]:
        """The time limit of the current step elapsed."""

    def cancelled(self) -> list[Action]:
        """The caller closed its connection."""


INPUT_NAMES = tuple(
    name for name in vars(CallInputs) if not name.startswith("_") and name != "begin"
)


def _release(record: CallRecord) -> ReleaseClaim:
    require_invariant(
        not record.first_byte_sent, RELEASE_AFTER_SEND, attempt=record.attempt
    )
    return ReleaseClaim(record.account, record.key, record.attempt)


def _mark_replied(record: CallRecord) -> None:
    require_invariant(not record.replied, SECOND_REPLY, attempt=record.attempt)
    record.replied = True


def _refuse(record: CallRecord, reason: str, remedy: str | None = None) -> Refuse:
    _mark_replied(record)
    return Refuse(refuse(reason, dispatched=record.first_byte_sent, remedy=remedy))


def _is_from_other_attempt(record: CallRecord, attempt: str) -> bool:
    if attempt == record.attempt:
        return False
    log_event(CALL_INPUT_MISMATCHED, attempt=record.attempt, received=attempt)
    return True


_builder = TypeMachineBuilder(CallInputs, CallRecord)
_idle = _builder.state("idle")
_claiming = _builder.state("claiming")
_granted = _builder.state("granted")
_sent = _builder.state("sent")
_abandoned = _builder.state("abandoned")
_unresolved = _builder.state("unresolved")
_finished = _builder.state("finished")


@_idle.upon(CallInputs.begin).to(_claiming)
def _request_claim(inputs: CallInputs, record: CallRecord) -> list[Action]:
    return [
        RequestClaim(record.account, record.key, record.body_digest, record.attempt)
    ]


@_claiming.upon(CallInputs.granted).to(_granted)
def _dispatch(
    inputs: CallInputs, record: CallRecord, attempt: str, fence: int
) -> list[Action]:
    require_invariant(
        attempt == record.attempt and not record.replied,
        DISPATCH_NOT_ALLOWED,
        attempt=record.attempt,
        received=attempt,
    )
    require_invariant(not record.dispatched, SECOND_DISPATCH, attempt=record.attempt)
    record.dispatched = True
    return [Dispatch(attempt, fence)]


@_claiming.upon(CallInputs.stored).to(_finished)
def _reply_stored(
    inputs: CallInputs, record: CallRecord, answer: bytes
) -> list[Action]:
    _mark_replied(record)
    return [Reply(answer, stored=True)]


@_claiming.upon(CallInputs.in_progress).to(_finished)
def _refuse_in_progress(
    inputs: CallInputs, record: CallRecord, since_wall_ms: int
) -> list[Action]:
    return [_refuse(record, "in_progress")]


@_claiming.upon(CallInputs.outcome_unknown).to(_finished)
def _refuse_outcome_unknown(
    inputs: CallInputs,
    record: CallRecord,
    endpoint: str,
    since_wall_ms: int,
    check: str,
) -> list[Action]:
    remedy = f"Check at {endpoint} whether the call ran: {check}"
    return [_refuse(record, "outcome_unknown", remedy)]


@_claiming.upon(CallInputs.body_mismatch).to(_finished)
def _refuse_body_mismatch(inputs: CallInputs, record: CallRecord) -> list[Action]:
    return [_refuse(record, "body_mismatch")]


@_claiming.upon(CallInputs.key_expired).to(_finished)
def _refuse_key_expired(inputs: CallInputs, record: CallRecord) -> list[Action]:
    return [_refuse(record, "key_expired")]


def _refuse_and_release(reason: str) -> Callable[..., list[Action]]:
    # The claim may have committed. Releasing it is safe because this attempt
    # never dispatches. Without the release, resends would be refused until an
    # operator resolves a call that never ran.
    def output(inputs: CallInputs, record: CallRecord) -> list[Action]:
        return [_refuse(record, reason), _release(record)]

    return output


_claiming.upon(CallInputs.control_unavailable).to(_abandoned)(
    _refuse_and_release("control_unavailable")
)
_claiming.upon(CallInputs.timed_out).to(_abandoned)(
    _refuse_and_release("claim_timeout")
)
_claiming.upon(CallInputs.cancelled).to(_abandoned)(_refuse_and_release("cancelled"))


@_abandoned.upon(CallInputs.granted).loop()
def _release_late_grant(
    inputs: CallInputs, record: CallRecord, attempt: str, fence: int
) -> list[Action]:
    return [] if _is_from_other_attempt(record, attempt) else [_release(record)]


_granted.upon(CallInputs.guard_expired).to(_finished)(
    _refuse_and_release("dispatch_window")
)
_granted.upon(CallInputs.connection_lost).to(_finished)(
    _refuse_and_release("endpoint_unreachable")
)
_granted.upon(CallInputs.timed_out).to(_finished)(_refuse_and_release("claim_timeout"))
_granted.upon(CallInputs.cancelled).to(_finished)(_refuse_and_release("cancelled"))


@_granted.upon(CallInputs.write_started).to(_sent)
def _mark_first_byte_sent(inputs: CallInputs, record: CallRecord) -> list[Action]:
    require_invariant(
        record.dispatched and not record.replied and not record.first_byte_sent,
        DISPATCH_NOT_ALLOWED,
        attempt=record.attempt,
    )
    record.first_byte_sent = True
    return []


def _reject_send(inputs: CallInputs, record: CallRecord) -> list[Action]:
    require_invariant(False, DISPATCH_NOT_ALLOWED, attempt=record.attempt)
    return []


for _state in (_idle, _claiming, _sent, _abandoned, _unresolved, _finished):
    _state.upon(CallInputs.write_started).loop()(_reject_send)


@_sent.upon(CallInputs.answered).to(_finished)
def _reply_answer(
    inputs: CallInputs, record: CallRecord, attempt: str, answer: bytes
) -> list[Action]:
    _mark_replied(record)
    store = StoreAnswer(record.account, record.key, record.attempt, answer)
    return [store, Reply(answer, stored=False)]


def _refuse_and_keep_claim(reason: str) -> Callable[..., list[Action]]:
    # The claim is kept because the endpoint may have run the call.
    def output(inputs: CallInputs, record: CallRecord) -> list[Action]:
        return [_refuse(record, reason)]

    return output


_sent.upon(CallInputs.connection_lost).to(_unresolved)(
    _refuse_and_keep_claim("connection_lost")
)
_sent.upon(CallInputs.timed_out).to(_unresolved)(
    _refuse_and_keep_claim("endpoint_timeout")
)
_sent.upon(CallInputs.cancelled).to(_unresolved)(
    _refuse_and_keep_claim("cancelled_in_flight")
)


@_unresolved.upon(CallInputs.answered).to(_finished)
def _store_late_answer(
    inputs: CallInputs, record: CallRecord, attempt: str, answer: bytes
) -> list[Action]:
    return [StoreAnswer(record.account, record.key, record.attempt, answer)]


def _ignore(
    inputs: CallInputs, record: CallRecord, *args: Any, **kwargs: Any
) -> list[Action]:
    return []


# Inputs that a state accepts without effect, because messages from the control
# plane, the endpoint and the caller can arrive after a state transition.
_CLAIM_RESULTS = (
    "stored",
    "in_progress",
    "outcome_unknown",
    "body_mismatch",
    "key_expired",
    "control_unavailable",
)
_LATE_INPUTS = (
    *_CLAIM_RESULTS,
    "guard_expired",
    "connection_lost",
    "timed_out",
    "cancelled",
)
_IGNORED_INPUTS = (
    (_claiming, ("guard_expired", "answered", "connection_lost")),
    (_granted, (*_CLAIM_RESULTS, "granted", "answered")),
    (_sent, (*_CLAIM_RESULTS, "granted", "guard_expired")),
    (_abandoned, (*_LATE_INPUTS, "answered")),
    (_unresolved, (*_LATE_INPUTS, "granted")),
    (_finished, (*_LATE_INPUTS, "granted", "answered")),
)
for _state, _names in _IGNORED_INPUTS:
    for _name in _names:
        _state.upon(getattr(CallInputs, _name)).loop()(_ignore)

_machine = _builder.build()


class NonIdempotentCall:
    """One send of a non-idempotent call.

    Inputs that carry an attempt id are validated before they reach the state
    machine: a grant or a response for another attempt has no effect.

    Examples:
        >>> call = NonIdempotentCall("acme", "key", "digest", "r1.1")
        >>> call.begin()
        [RequestClaim(account='acme', key='key', body_digest='digest', attempt='r1.1')]
        >>> call.granted("r1.1", fence=7)
        [Dispatch(attempt='r1.1', fence=7)]
        >>> call.write_started()
        []
        >>> call.answered("r1.2", b"crossed")
        []
        >>> call.answered("r1.1", b"booked")[1]
        Reply(answer=b'booked', stored=False)
    """

    def __init__(self, account: str, key: str, body_digest: str, attempt: str):
        self.record = CallRecord(account, key, body_digest, attempt)
        self._machine: CallInputs = _machine(self.record)

    def granted(self, attempt: str, fence: int) -> list[Action]:
        """See :meth:`CallInputs.granted`."""
        if _is_from_other_attempt(self.record, attempt):
            return []
        return self._machine.granted(attempt, fence)

    def answered(self, attempt: str, answer: bytes) -> list[Action]:
        """See :meth:`CallInputs.answered`."""
        if _is_from_other_attempt(self.record, attempt):
            return []
        return self._machine.answered(attempt, answer)

    def begin(self) -> list[Action]:
        """See :meth:`CallInputs.begin`."""
        return self._machine.begin()

    def stored(self, answer: bytes) -> list[Action]:
        """See :meth:`CallInputs.stored`."""
        return self._machine.stored(answer)

    def in_progress(self, since_wall_ms: int) -> list[Action]:
        """See :meth:`CallInputs.in_progress`."""
        return self._machine.in_progress(since_wall_ms)

    def outcome_unknown(
        self, endpoint: str, since_wall_ms: int, check: str
    ) -> list[Action]:
        """See :meth:`CallInputs.outcome_unknown`."""
        return self._machine.outcome_unknown(endpoint, since_wall_ms, check)

    def body_mismatch(self) -> list[Action]:
        """See :meth:`CallInputs.body_mismatch`."""
        return self._machine.body_mismatch()

    def key_expired(self) -> list[Action]:
        """See :meth:`CallInputs.key_expired`."""
        return self._machine.key_expired()

    def control_unavailable(self) -> list[Action]:
        """See :meth:`CallInputs.control_unavailable`."""
        return self._machine.control_unavailable()

    def guard_expired(self) -> list[Action]:
        """See :meth:`CallInputs.guard_expired`."""
        return self._machine.guard_expired()

    def write_started(self) -> list[Action]:
        """See :meth:`CallInputs.write_started`.

        Raises:
            InvariantViolationError: If the call may not be sent. In that case the
                byte must not be written.
        """
        return self._machine.write_started()

    def connection_lost(self) -> list[Action]:
        """See :meth:`CallInputs.connection_lost`."""
        return self._machine.connection_lost()

    def timed_out(self) -> list[Action]:
        """See :meth:`CallInputs.timed_out`."""
        return self._machine.timed_out()

    def cancelled(self) -> list[Action]:
        """See :meth:`CallInputs.cancelled`."""
        return self._machine.cancelled()
