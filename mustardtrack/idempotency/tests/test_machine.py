"""Guards against a second execution of a non-idempotent call.

It could follow from lost replies, resent commands, late duplicates, restarts of
control hosts or wrong clocks.
"""

from uuid import UUID

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from mustardtrack.configuration import Configuration, decode_command, encode_command
from mustardtrack.idempotency import (
    Claim,
    CompleteClaim,
    Completed,
    DispatchGuard,
    ExpireClaims,
    Granted,
    KeyExpired,
    OutcomeUnknown,
    ReleaseClaim,
    Released,
    Stored,
    build_stored_answer,
)

HOUR_MS = 3_600_000
SKEWS_MS = st.sampled_from(
    [0, 0, 0, -600_000, -25 * HOUR_MS, 20 * HOUR_MS, 30 * HOUR_MS]
)
PLANS = st.sampled_from([(), ("release",), ("dispatch",), ("dispatch", "complete")])
ANSWER = build_stored_answer(200, "text/plain", b"booked")


def make_key(created_ms, serial=0):
    return str(UUID(int=(created_ms << 80) | (7 << 76) | (2 << 62) | serial))


class _Attempt:
    """One attempt from the perspective of its router."""

    def __init__(self, claim, now_ms):
        self.claim = claim
        self.guard = DispatchGuard(now_ms, 2000)
        self.dispatched = False
        self.released = False


class _ClaimMachine(RuleBasedStateMachine):
    """Callers, routers that lose replies, and control hosts with wrong clocks."""

    keys = Bundle("keys")
    attempts = Bundle("attempts")

    def __init__(self):
        super().__init__()
        self.state = Configuration()
        self.index = 0
        self.now_ms = 1_700_000_000_000
        self.log = []
        self.grants = {}
        self.runs = {}
        self.settled = {}
        self.released = set()
        self.clock_ms = 0
        self.serial = 0

    def apply(self, command, skew_ms=0):
        self.index += 1
        self.log.append(command)
        command = decode_command(encode_command(command))
        return self.state.apply(self.index, command, self.now_ms + skew_ms)

    @rule(
        target=keys,
        age_ms=st.sampled_from([0, 0, -240_000, 22 * HOUR_MS, 24 * HOUR_MS]),
    )
    def create_key(self, age_ms):
        self.serial += 1
        return make_key(self.now_ms - age_ms, self.serial)

    @rule(step_ms=st.sampled_from([100, 1000, 40_000, HOUR_MS, 12 * HOUR_MS]))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @rule(target=attempts, key=keys, skew_ms=SKEWS_MS, plan=PLANS)
    def call(self, key, skew_ms, plan):
        """Claim a key and execute the planned steps of the attempt."""
        name = f"r{self.index}.1"
        attempt = _Attempt(Claim("acme", key, "digest", name, "router-1"), self.now_ms)
        self.send_claim(attempt.claim, skew_ms)
        for step in plan:
            getattr(self, step)(attempt)
        return attempt

    @rule(attempt=attempts, skew_ms=SKEWS_MS)
    def claim_again(self, attempt, skew_ms):
        self.send_claim(attempt.claim, skew_ms)

    def send_claim(self, claim, skew_ms):
        outcome = self.apply(claim, skew_ms)
        if isinstance(outcome, Granted):
            self.record_grant(claim, outcome)
        settled = self.settled.get(claim.key)
        if settled is not None and not isinstance(outcome, KeyExpired):
            allowed = Stored if settled is Stored else OutcomeUnknown | Stored
            assert isinstance(outcome, allowed)
        if isinstance(outcome, Stored | OutcomeUnknown):
            self.settled[claim.key] = type(outcome)

    def record_grant(self, claim, outcome):
        assert outcome.attempt == claim.attempt
        assert claim.attempt not in self.released
        fences = self.grants.setdefault(claim.key, {})
        assert fences.setdefault(claim.attempt, outcome.fence) == outcome.fence

    def dispatch(self, attempt):
        granted = self.grants.get(attempt.claim.key, {})
        if attempt.claim.attempt not in granted:
            return
        if attempt.dispatched or attempt.released:
            return
        if attempt.guard.allow(self.now_ms):
            attempt.dispatched = True
            runs = self.runs.setdefault(attempt.claim.key, [])
            runs.append(attempt.claim.attempt)

    def complete(self, attempt):
        claim = attempt.claim
        if attempt.dispatched:
            command = CompleteClaim(claim.account, claim.key, claim.attempt, ANSWER)
            if isinstance(self.apply(command), Completed):
                self.settled[claim.key] = Stored

    @rule(attempt=attempts, steps=PLANS)
    def continue_call(self, attempt, steps):
        for step in steps:
            getattr(self, step)(attempt)

    def release(self, attempt):
        claim = attempt.claim
        if not attempt.dispatched:
            attempt.released = True
            command = ReleaseClaim(claim.account, claim.key, claim.attempt)
            self.record_release(command, self.apply(command))

    def record_release(self, command, outcome):
        if isinstance(outcome, Released):
            self.released.add(command.attempt)
            self.grants[command.key].pop(command.attempt, None)

    @rule(data=st.data(), skew_ms=SKEWS_MS)
    def repeat_earlier_command(self, data, skew_ms):
        """Commit a late duplicate of an earlier command, whose reply is lost."""
        if self.log:
            command = data.draw(st.sampled_from(self.log))
            outcome = self.apply(command, skew_ms)
            if isinstance(command, ReleaseClaim):
                self.record_release(command, outcome)
            if isinstance(outcome, Granted):
                self.record_grant(command, outcome)

    @rule(skew_ms=SKEWS_MS)
    def expire(self, skew_ms):
        self.apply(ExpireClaims(), skew_ms)

    @rule()
    def restart(self):
        data = self.state.snapshot()
        self.state = Configuration.restore(data)
        assert self.state.snapshot() == data

    @rule()
    def new_key_is_granted_after_any_clock_skew(self):
        attempt = f"fresh{self.index}"
        claim = Claim("acme", self.create_new_key(), "digest", attempt, "router-1")
        assert isinstance(self.apply(claim), Granted)

    def create_new_key(self):
        self.serial += 1
        return make_key(self.now_ms, self.serial)

    @invariant()
    def each_key_runs_at_most_once(self):
        for key, runs in self.runs.items():
            assert len(runs) <= 1, key
        for granted in self.grants.values():
            assert len(granted) <= 1, granted

    @invariant()
    def clock_never_moves_backwards(self):
        assert self.state.claims.wall_ms >= self.clock_ms
        self.clock_ms = self.state.claims.wall_ms


_ClaimMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
test_claims = _ClaimMachine.TestCase
