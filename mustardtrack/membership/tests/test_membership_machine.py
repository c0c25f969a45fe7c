"""Observers, routers and endpoints that fail in any order.

Guards against a state that outlives its lease, requests to a leaving endpoint, state
inherited from a dead incarnation and an endpoint marked as down by one observer.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mustardtrack.membership import (
    EndpointTable,
    HostHeartbeat,
    HostTable,
    Load,
    ProbeAnswer,
    ProbeTable,
    decode_observations,
    encode_observations,
)

ENDPOINT = "engine-1"
LEASE_MS = 3000
PROBE_MS = 500
OBSERVERS = ("x", "y", "z")
OBSERVER = st.sampled_from(OBSERVERS)


class _Observer:
    """A router that probes the endpoint; its clock has a separate origin."""

    def __init__(self, name, number):
        self.probes = ProbeTable(name, max_age_ms=2 * PROBE_MS)
        self.clock_offset_ms = -7919 * number
        self.isolated = self.paused = False
        self.in_transit = []
        self.delivered = []


class _EndpointMachine(RuleBasedStateMachine):
    """One router tracks one endpoint through three observers."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.table = EndpointTable(LEASE_MS)
        self.observers = {name: _Observer(name, 0) for name in OBSERVERS}
        self.start_count = 1
        self.state = "up"
        self.local_failure_ms = -LEASE_MS
        self.received = []  # (time, observation) that the table accepted
        self.leaving_seen = False

    @property
    def incarnation(self):
        return f"i{self.start_count}"

    @rule(steps=st.integers(1, 3), delivering=st.sets(OBSERVER))
    def probe(self, steps, delivering):
        for _ in range(steps):
            self.now_ms += PROBE_MS
            for one in self.observers.values():
                if not one.paused:
                    self.probe_once(one)
            for name in sorted(delivering):
                self.deliver(name, lost=False)

    def probe_once(self, one):
        clock_ms = self.now_ms + one.clock_offset_ms
        alive = self.state != "dead" and not one.isolated
        load = Load(running=self.start_count)
        answer = ProbeAnswer(self.incarnation, self.state, load) if alive else None
        one.probes.record(ENDPOINT, answer, clock_ms)
        one.in_transit.extend(one.probes.report(clock_ms))

    @rule(name=OBSERVER, lost=st.booleans())
    def deliver(self, name, lost):
        one = self.observers[name]
        for observation in decode_observations(encode_observations(one.in_transit)):
            if not lost:
                one.delivered.append(observation)
                self.observe(observation)
        one.in_transit.clear()

    def observe(self, observation):
        if not self.table.observe(observation, self.now_ms):
            return False
        self.received.append((self.now_ms, observation))
        if observation.state == "up":
            self.local_failure_ms = -LEASE_MS
            self.leaving_seen = False
        elif observation.state == "leaving":
            self.leaving_seen = observation.incarnation == self.incarnation
        return True

    @rule(name=OBSERVER)
    def deliver_again_late(self, name):
        for observation in self.observers[name].delivered[:1]:
            held = self.leased().get(name)
            accepted = self.observe(observation)
            assert not accepted or not held or held.sent_ms <= observation.sent_ms

    @rule(name=OBSERVER, fault=st.sampled_from(("isolated", "paused")))
    def toggle_observer_fault(self, name, fault):
        one = self.observers[name]
        setattr(one, fault, not getattr(one, fault))

    @rule(name=OBSERVER, number=st.integers(1, 3))
    def restart_observer(self, name, number):
        self.observers[name] = _Observer(name, number)

    @rule()
    def restart_router(self):
        self.table = EndpointTable(LEASE_MS)
        self.received = []
        self.local_failure_ms = -LEASE_MS
        self.leaving_seen = False

    @rule(state=st.sampled_from(("dead", "leaving", "up", "restarted")))
    def change_endpoint(self, state):
        if self.state == "dead" or state == "restarted":
            self.start_count += 1
            state = "up"
        self.state = state
        self.leaving_seen = False

    @rule(isolated=st.booleans())
    def attempt(self, isolated):
        ok = self.state != "dead" and not isolated
        known = self.table.view(ENDPOINT, self.now_ms).incarnation
        self.table.record_attempt_result(ENDPOINT, known, ok, self.now_ms)
        self.local_failure_ms = -LEASE_MS if ok else self.now_ms

    @rule()
    def clock_jumps(self):
        self.now_ms += 10 * LEASE_MS

    def leased(self):
        """Return the newest report of each observer that may still count."""
        self.received = [
            (at_ms, one)
            for at_ms, one in self.received
            if at_ms + LEASE_MS > self.now_ms
        ]
        return {one.observer: one for _, one in self.received}

    @invariant()
    def no_state_outlives_the_lease_of_its_observer(self):
        view = self.table.view(ENDPOINT, self.now_ms)
        leased = self.leased()
        assert set(view.observers) <= set(leased)
        if not view.observers and self.local_failure_ms + LEASE_MS <= self.now_ms:
            assert view.state == "unverified"
        assert view.state in ("down", "unverified") or view.state in {
            leased[name].state for name in view.observers
        }

    @invariant()
    def new_incarnation_inherits_nothing(self):
        view = self.table.view(ENDPOINT, self.now_ms)
        leased = self.leased()
        for name in view.observers:
            assert leased[name].incarnation in ("", view.incarnation)
        assert view.load is None or f"i{view.load.running}" == view.incarnation

    @invariant()
    def leaving_endpoint_receives_no_requests(self):
        # Holds from the first valid report until an observer reports it as up again.
        if self.state == "leaving" and self.leaving_seen:
            assert self.table.candidates([ENDPOINT], self.now_ms) == []

    @invariant()
    def isolated_observer_alone_marks_nothing_as_down(self):
        down = [one for one in self.leased().values() if one.state == "down"]
        if len(down) < 2 and self.local_failure_ms + LEASE_MS <= self.now_ms:
            assert self.table.view(ENDPOINT, self.now_ms).state != "down"

    @precondition(lambda self: self.state != "dead")
    @rule()
    def agreeing_observers_decide(self):
        # Without this rule, a table that excludes every endpoint would pass.
        for one in self.observers.values():
            one.isolated = one.paused = False
            one.in_transit.clear()
        for _ in range(2 * LEASE_MS // PROBE_MS):
            self.probe(1, OBSERVERS)
        view = self.table.view(ENDPOINT, self.now_ms)
        assert view.state == self.state
        assert view.incarnation == self.incarnation
        assert view.observers == OBSERVERS


class _HostMachine(RuleBasedStateMachine):
    """Routers send heartbeats, restart, drain and lose their leases."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.table = HostTable(LEASE_MS, 2000, random.Random(1))
        self.sequence = dict.fromkeys(OBSERVERS, 0)
        self.last = {}
        self.draining = set()

    @rule(name=OBSERVER, state=st.sampled_from(("up", "up", "draining")))
    def heartbeat(self, name, state):
        self.sequence[name] += 1
        zone = "a" if name == "x" else "b"
        beat = HostHeartbeat(name, f"{name}:1", zone, state, self.sequence[name])
        assert self.table.heartbeat(beat, self.now_ms)
        self.last[name] = (self.now_ms, beat)

    @precondition(lambda self: self.last)
    @rule(name=OBSERVER)
    def heartbeat_repeated(self, name):
        at_ms, beat = self.last.get(name, (-LEASE_MS, None))
        if at_ms + LEASE_MS > self.now_ms:
            assert not self.table.heartbeat(beat, self.now_ms)

    @rule(name=OBSERVER, draining=st.booleans())
    def drain(self, name, draining):
        self.table.set_draining(name, draining)
        (self.draining.add if draining else self.draining.discard)(name)

    @rule(elapsed_ms=st.sampled_from((1, 500, LEASE_MS)))
    def time_passes(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @invariant()
    def discovery_lists_exactly_the_live_hosts(self):
        listed = [one.host for one in self.table.discover("a", self.now_ms)]
        live = {
            name
            for name, (at_ms, beat) in self.last.items()
            if at_ms + LEASE_MS > self.now_ms
            and beat.state == "up"
            and name not in self.draining
        }
        assert len(listed) == len(set(listed))
        assert set(listed) == live
        assert "x" not in listed or listed[0] == "x"


TestEndpointMachine = _EndpointMachine.TestCase
TestEndpointMachine.settings = settings(max_examples=300)
TestHostMachine = _HostMachine.TestCase
