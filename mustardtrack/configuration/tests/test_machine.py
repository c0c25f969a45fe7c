"""Guards against lost updates, commands applied twice and copies that revert."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from mustardtrack.configuration import (
    KINDS,
    Accepted,
    ChangeObject,
    Configuration,
    ConfigurationCopy,
    Conflict,
    Drain,
    Exists,
    FinishLoad,
    Invalid,
    LoadModel,
    ReportCrash,
    UnknownObject,
    decode_changes,
    decode_command,
    decode_outcome,
    encode_changes,
    encode_command,
    encode_outcome,
)

NAMES = st.sampled_from(["e", "f"])
ACTIONS = st.sampled_from(["create", "set", "remove", "drain", "load"])
OPERATORS = st.sampled_from(["ana", "bo"])
ENGINE = {"kind": "engine", "address": "127.0.0.1:9", "zone": "a"}
CREATE_MODEL = ChangeObject(
    "m", "ana", "create", "model", "m", {"weights_version": "1"}
)


def read_objects(state):
    return {kind: dict(state.objects(kind)) for kind in KINDS}


class _ConfigurationWithCopies(RuleBasedStateMachine):
    """Concurrent operators, resent commands, restarts and copies on lossy links."""

    def __init__(self):
        super().__init__()
        self.state = Configuration()
        self.index = 0
        self.versions = {}
        self.fences = []
        self.removals = {}
        self.sent = []
        self.replies = []
        self.copies = [ConfigurationCopy() for _ in range(3)]
        self.revisions = [0, 0, 0]
        self.history = {0: read_objects(self.state)}
        self.apply(CREATE_MODEL)

    def apply(self, command):
        self.index += 1
        command = decode_command(encode_command(command))
        outcome = self.state.apply(self.index, command, wall_ms=0)
        self.history[self.state.revision] = read_objects(self.state)
        return decode_outcome(encode_outcome(outcome))

    @rule(
        name=NAMES,
        steps=st.lists(st.tuples(OPERATORS, ACTIONS), min_size=1, max_size=4),
        conditional=st.booleans(),
    )
    def send_concurrently(self, name, steps, conditional):
        """Several operators send commands conditional on the same version."""
        version = self.versions.get(name, (0, ""))[0]
        for operator, action in steps:
            self.send(operator, name, action, version if conditional else None)

    def send(self, operator, name, action, if_version):
        command_id = f"c{self.index}"
        if action == "drain":
            command = Drain(command_id, operator, "endpoint", name, True, if_version)
        elif action == "load":
            command = LoadModel(command_id, operator, "m", "2", name, if_version)
        else:
            fields = ENGINE if action == "create" else {}
            command = ChangeObject(
                command_id, operator, action, "endpoint", name, fields, if_version
            )
        outcome = self.apply(command)
        self.check(command, action, outcome, if_version)
        self.sent.append((command, outcome))

    def check(self, command, action, outcome, if_version):
        """Compare the outcome with the versions and operators that the test expects."""
        name = command.endpoint if action == "load" else command.name
        version, operator = self.versions.get(name, (0, ""))
        exists = version > 0
        removed_version, removed_by = self.removals.get(name, (0, ""))
        known = exists or removed_version > 0
        if if_version not in (None, version) and known:
            assert outcome == Conflict(version, operator if exists else removed_by)
        elif action == "create" and exists:
            assert outcome == Exists("endpoint", name, version)
        elif action != "create" and not exists:
            assert outcome == UnknownObject("endpoint", name)
        else:
            assert isinstance(outcome, Accepted)
            assert outcome.revision == self.index == self.state.revision
            last_version = max(version, removed_version)
            assert outcome.version > last_version or action == "remove"
            self.versions[name] = (outcome.version, command.operator)
            if action == "remove":
                del self.versions[name]
                self.removals[name] = (version, command.operator)
            if outcome.fence:
                assert outcome.fence > max(self.fences, default=0)
                self.fences.append(outcome.fence)

    @rule(choice=st.integers(0, 99), operator=st.sampled_from(["same", "other"]))
    def resend(self, choice, operator):
        if not self.sent:
            return
        command, outcome = self.sent[choice % len(self.sent)]
        before = self.state.copy_snapshot()
        if operator == "same":
            assert self.apply(command) == outcome
        else:
            changed = msgspec.structs.replace(command, operator="eve")
            assert isinstance(self.apply(changed), Invalid)
        assert self.state.copy_snapshot() == before

    @rule()
    def restart(self):
        data = self.state.snapshot()
        self.state = Configuration.restore(data)
        assert self.state.snapshot() == data

    @rule(incarnation=st.integers(0, 3), name=NAMES)
    def crash(self, incarnation, name):
        self.apply(ReportCrash("fp", name, str(incarnation)))

    @rule(choice=st.integers(0, 9), ok=st.booleans())
    def finish_load(self, choice, ok):
        before = self.state.deliverable_loads()
        if choice < len(before):
            self.apply(FinishLoad(before[choice].endpoint, before[choice].fence, ok))
            after = self.state.deliverable_loads()
            del before[choice]
            assert [load for load in after if load in before] == before

    @invariant()
    def loads_are_limited(self):
        loads = self.state.deliverable_loads()
        assert len(loads) <= 2
        assert len({load.endpoint for load in loads}) == len(loads)

    @rule(
        source=st.integers(-1, 2),
        requester=st.integers(0, 2),
        send_snapshot=st.booleans(),
        deliveries=st.lists(
            st.tuples(st.integers(0, 99), st.integers(0, 2)), max_size=5
        ),
    )
    def exchange(self, source, requester, send_snapshot, deliveries):
        """Create a reply; deliver replies late, repeatedly and to other copies."""
        sender = self.state if source < 0 else self.copies[source]
        base = self.copies[requester].revision
        changes = sender.changes_since(base)
        if send_snapshot or changes is None:
            reply = (0, sender.revision, b"", sender.copy_snapshot())
        else:
            reply = (base, sender.revision, encode_changes(changes), b"")
        self.replies.append(reply)
        for age, copy in deliveries:
            self.deliver(self.replies[-1 - age % len(self.replies)], self.copies[copy])

    def deliver(self, reply, copy):
        base, revision, changes, snapshot = reply
        before = copy.snapshot()
        older = revision < copy.revision
        applied = copy.apply(
            revision, decode_changes(changes) if changes else [], snapshot
        )
        assert not (applied and older)
        assert applied or older or base > copy.revision
        if not applied:
            assert copy.snapshot() == before

    @rule(data=st.data(), copy=st.integers(0, 2))
    def deliver_with_a_gap(self, data, copy):
        """Deliver a reply with missing changes; it is ignored or consistent."""
        changes = self.state.changes_since(self.copies[copy].revision) or []
        revisions = sorted({change.revision for change in changes})
        kept = [number for number in revisions if data.draw(st.booleans())]
        part = [change for change in changes if change.revision in kept]
        self.copies[copy].apply(self.state.revision, part)

    @invariant()
    def copies_equal_the_state_at_their_revision(self):
        for number, copy in enumerate(self.copies):
            assert copy.revision >= self.revisions[number]
            self.revisions[number] = copy.revision
            assert read_objects(copy) == self.history[copy.revision]


_ConfigurationWithCopies.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40
)
test_configuration_and_its_copies = _ConfigurationWithCopies.TestCase
