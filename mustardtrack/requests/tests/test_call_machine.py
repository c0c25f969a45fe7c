"""Interleavings of sends of a non-idempotent call through several routers.

Guards against a second execution of a call, a false ``not_run`` and an answer to
another request. The claim table and the service are minimal fakes; messages between
them and the calls are delayed, duplicated, crossed or lost.
"""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mustardtrack.requests import (
    Dispatch,
    NonIdempotentCall,
    Refuse,
    ReleaseClaim,
    Reply,
    RequestClaim,
    StoreAnswer,
)

DISPATCH_WINDOW_MS = 2000
SERVICE_TIMEOUT_MS = 3000
UNKNOWN_AFTER_MS = DISPATCH_WINDOW_MS + SERVICE_TIMEOUT_MS
KEYS = ("k1", "k1", "k2")
FAULTS = ("control_unavailable", "connection_lost", "timed_out", "cancelled")
INDEX = st.integers(0, 1000)


class _FakeClaims:
    """One claim per idempotency key."""

    def __init__(self):
        # Attempt, body digest, time of the grant and answer by idempotency key.
        self.held = {}

    def claim(self, request, now_ms):
        held = self.held.get(request.key)
        if held is None:
            held = [request.attempt, request.body_digest, now_ms, None]
            self.held[request.key] = held
        attempt, digest, since_ms, answer = held
        if digest != request.body_digest:
            return ("body_mismatch",)
        if answer is not None:
            return ("stored", answer)
        if now_ms - since_ms >= UNKNOWN_AFTER_MS:
            return ("outcome_unknown", "s1", since_ms, "GET /bookings")
        if attempt == request.attempt:
            return ("granted", attempt, 1)
        return ("in_progress", since_ms)

    def complete(self, action):
        held = self.held.get(action.key)
        if held and held[0] == action.attempt:
            held[3] = action.answer

    def release(self, action, now_ms):
        # An unknown outcome must not change, because a caller may have acted on it.
        held = self.held.get(action.key)
        if not held or now_ms - held[2] >= UNKNOWN_AFTER_MS:
            return
        if held[0] == action.attempt and held[3] is None:
            del self.held[action.key]


class Send:
    """One send by a caller and the resulting actions of its router."""

    def __init__(self, number, key, body, now_ms):
        self.call = NonIdempotentCall("acme", key, body, f"r{number}.1")
        self.key, self.body, self.began_ms = key, body, now_ms
        self.attempt = self.call.record.attempt
        self.may_write = False
        self.alive = True
        self.refusal = None
        self.replies = 0


class _CallMachine(RuleBasedStateMachine):
    """Callers resend while routers, control plane, network and service fail."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.claims = _FakeClaims()
        self.sends = []
        self.to_control = []
        self.to_calls = []
        self.to_service = []
        self.responses = []
        self.runs = Counter()
        self.abandoned_keys = set()
        self.runs_of_attempt = Counter()

    def deliver_input(self, send, name, *arguments):
        if not send.alive:
            return
        for action in getattr(send.call, name)(*arguments):
            if isinstance(action, RequestClaim | StoreAnswer | ReleaseClaim):
                self.to_control.append((send, action))
            elif isinstance(action, Dispatch):
                send.may_write = True
            elif isinstance(action, Reply):
                assert action.answer == f"{send.key} {send.body}".encode()
                send.replies += 1
            elif isinstance(action, Refuse):
                send.refusal = action.refusal
                send.may_write = False
                send.replies += 1

    def pick(self, items, number):
        return items[number % len(items)]

    @rule(
        key=st.sampled_from(KEYS),
        body=st.sampled_from(("b1", "b1", "b1", "b2")),
        steps=st.integers(0, 4),
        fault=st.sampled_from((None, None, *FAULTS)),
    )
    def send(self, key, body, steps, fault):
        send = Send(len(self.sends), key, body, self.now_ms)
        self.sends.append(send)
        self.deliver_input(send, "begin")
        self.advance(send, steps)
        if fault is not None:
            self.deliver_input(send, fault)
            self.advance(send, 2)

    @precondition(lambda self: self.to_control)
    @rule(number=INDEX, is_duplicate=st.booleans())
    def control_applies(self, number, is_duplicate):
        send, action = self.pick(self.to_control, number)
        if not is_duplicate:
            self.to_control.remove((send, action))
        if isinstance(action, RequestClaim):
            result = self.claims.claim(action, self.now_ms)
            self.to_calls.append((send, result))
            if result[0] == "outcome_unknown" and not self.runs[send.key]:
                # The caller finds no execution at the service and uses a new key.
                self.abandoned_keys.add(send.key)
        elif isinstance(action, StoreAnswer):
            self.claims.complete(action)
        else:
            self.claims.release(action, self.now_ms)

    @precondition(lambda self: self.sends)
    @rule(number=INDEX, steps=st.integers(1, 4))
    def advance_one_send(self, number, steps):
        self.advance(self.pick(self.sends, number), steps)

    def advance(self, send, steps):
        # Single random steps rarely complete a call, so that a second execution
        # would not be reached.
        for _ in range(steps):
            requests = [one for one in self.to_control if one[0] is send]
            results = [one for one in self.to_calls if one[0] is send]
            if requests:
                self.control_applies(self.to_control.index(requests[0]), False)
            elif results:
                self.claim_result_arrives(self.to_calls.index(results[0]), False)
            elif send.may_write:
                writing = [one for one in self.sends if one.may_write]
                self.router_writes(writing.index(send))
            elif send in self.to_service:
                self.service_runs(self.to_service.index(send))

    @precondition(lambda self: self.to_control)
    @rule(number=INDEX)
    def control_message_lost(self, number):
        self.to_control.remove(self.pick(self.to_control, number))

    @precondition(lambda self: self.to_calls)
    @rule(number=INDEX, is_duplicate=st.booleans())
    def claim_result_arrives(self, number, is_duplicate):
        send, result = self.pick(self.to_calls, number)
        if not is_duplicate:
            self.to_calls.remove((send, result))
        self.deliver_input(send, *result)

    @precondition(lambda self: any(one.may_write for one in self.sends))
    @rule(number=INDEX)
    def router_writes(self, number):
        send = self.pick([one for one in self.sends if one.may_write], number)
        send.may_write = False
        if self.now_ms - send.began_ms >= DISPATCH_WINDOW_MS:
            self.deliver_input(send, "guard_expired")
        else:
            self.deliver_input(send, "write_started")
            self.to_service.append(send)
            send.written_ms = self.now_ms

    @precondition(lambda self: self.to_service)
    @rule(number=INDEX)
    def service_runs(self, number):
        send = self.pick(self.to_service, number)
        self.to_service.remove(send)
        if self.now_ms - send.written_ms >= SERVICE_TIMEOUT_MS:
            return  # the service timed out
        assert send.key not in self.abandoned_keys
        self.runs[send.key] += 1
        self.runs_of_attempt[send.attempt] += 1
        self.responses.append((send.attempt, f"{send.key} {send.body}".encode()))

    @precondition(lambda self: self.responses)
    @rule(response=INDEX, number=INDEX, crossed=st.booleans())
    def response_arrives(self, response, number, crossed):
        attempt, answer = self.pick(self.responses, response)
        owner = next(one for one in self.sends if one.attempt == attempt)
        receiver = self.pick(self.sends, number) if crossed else owner
        self.deliver_input(receiver, "answered", attempt, answer)

    @precondition(lambda self: self.sends)
    @rule(number=INDEX, fault=st.sampled_from(FAULTS))
    def fault_at_router(self, number, fault):
        self.deliver_input(self.pick(self.sends, number), fault)

    @precondition(lambda self: self.sends)
    @rule(number=INDEX)
    def router_killed(self, number):
        # Its messages that are already in transit still arrive.
        killed = self.pick(self.sends, number)
        killed.may_write = killed.alive = False
        self.to_calls = [one for one in self.to_calls if one[0] is not killed]

    @rule(elapsed_ms=st.sampled_from((1, DISPATCH_WINDOW_MS, UNKNOWN_AFTER_MS)))
    def time_passes(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @invariant()
    def each_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def refusals_and_replies_are_true(self):
        for send in self.sends:
            assert send.replies <= 1
            if send.refusal and send.refusal.ran == "not_run":
                assert self.runs_of_attempt[send.attempt] == 0
                assert send not in self.to_service


TestCallMachine = _CallMachine.TestCase
TestCallMachine.settings = settings(max_examples=300)
