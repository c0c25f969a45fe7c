"""Guards against lost, repeated or reverted operator commands."""

import msgspec
import pytest

from mustardtrack.configuration import (
    Accepted,
    ChangeObject,
    Configuration,
    ConfigurationCopy,
    Conflict,
    CrashCounted,
    Exists,
    FinishLoad,
    Invalid,
    LoadModel,
    Model,
    ObjectChange,
    ReportCrash,
    SnapshotFormatError,
    UnknownObject,
    hash_key,
)
from mustardtrack.configuration.changes import ChangeLog
from mustardtrack.language import parse
from mustardtrack.logs import InvariantViolationError


class CommandSender:
    """Sends text commands with consecutive log indexes."""

    def __init__(self):
        self.state = Configuration()
        self.index = 0

    def send(self, text, command_id="", operator="ana"):
        """Apply one command at the next index."""
        self.index += 1
        command = parse(text, command_id or f"c{self.index}", operator)
        return self.state.apply(self.index, command, wall_ms=0)


@pytest.fixture
def command_sender():
    sender = CommandSender()
    sender.send("create model m weights_version=v1")
    sender.send("create endpoint e kind=engine address=127.0.0.1:9 zone=a serves=m")
    return sender


def test_conflict_names_the_operator_who_set_the_current_version(command_sender):
    assert (
        command_sender.send("drain endpoint e if version 1", operator="ana").version
        == 2
    )
    for text in ("set endpoint e zone=b", "remove endpoint e", "undrain endpoint e"):
        assert command_sender.send(f"{text} if version 1") == Conflict(2, "ana")
    assert command_sender.send("remove endpoint e if version 2") == Accepted(6 + 1, 2)
    assert command_sender.send("remove endpoint e if version 2") == Conflict(0, "ana")


def test_version_of_a_removed_object_does_not_match_a_new_object_of_its_name(
    command_sender,
):
    command_sender.send("remove model m")
    assert command_sender.send("create model m weights_version=v2").version == 2
    assert (
        command_sender.send("set model m weights_version=v1 if version 1").set_by
        == "ana"
    )


@pytest.mark.parametrize(
    ("text", "outcome"),
    [
        ("create model m weights_version=v9", Exists("model", "m", 1)),
        ("set model n weights_version=v9", UnknownObject("model", "n")),
        ("drain host h", UnknownObject("host", "h")),
        ("load model n version v on e", UnknownObject("model", "n")),
        ("load model m version v on f", UnknownObject("endpoint", "f")),
        ("release fingerprint f", UnknownObject("fingerprint", "f")),
    ],
)
def test_refused_commands_change_nothing(command_sender, text, outcome):
    before = command_sender.state.copy_snapshot()
    assert command_sender.send(text) == outcome
    assert command_sender.state.copy_snapshot() == before


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("create account a weight=0", "weight"),
        ("create class c", "rank"),
        ("create class c rank=1 floor_share=0.5", "floor_share"),
        ("create host h address=example:1 zone=a", "address"),
        ("create endpoint x kind=other address=127.0.0.1:9 zone=a", "kind"),
        (f"create account a key_hashes={hash_key('k')}", "key_hashes"),
        ("remove model m weights_version=v", "weights_version"),
    ],
)
def test_invalid_fields_are_refused_with_their_path(command_sender, text, path):
    command_sender.send("create class urgent rank=0 floor_share=0.6")
    command_sender.send(f"create account owner key_hashes={hash_key('k')}")
    if path == "weights_version":
        command = ChangeObject("c9", "ana", "remove", "model", "m", {path: "v"})
        assert isinstance(command_sender.state.apply(9, command, 0), Invalid)
    else:
        assert command_sender.send(text).path == path


def test_command_id_is_bound_to_one_command(command_sender):
    assert command_sender.send("set model m weights_version=v2", "same").version == 2
    assert command_sender.send("set model m weights_version=v2", "same").version == 2
    assert (
        command_sender.send("set model m weights_version=v3", "same").path
        == "command_id"
    )
    assert command_sender.state.apply(
        90, LoadModel("", "", "m", "v", "e"), 0
    ) == Invalid("command_id", "empty", "send a unique command id")


def test_index_applied_twice_is_an_invariant_violation(command_sender):
    command = ReportCrash("f", "e", "i")
    with pytest.raises(InvariantViolationError, match="event 2001"):
        command_sender.state.apply(command_sender.index, command, 0)


def test_quarantine_counts_each_incarnation_once(command_sender):
    state = command_sender.state
    crash = ReportCrash("f", "e", "i1")
    assert state.apply(10, crash, 0) == CrashCounted(1, False)
    assert state.apply(11, crash, 0) == CrashCounted(1, False)
    state = Configuration.restore(state.snapshot())
    second = ReportCrash("f", "e", "i2")
    assert state.apply(12, second, 0) == CrashCounted(2, True)
    assert state.quarantined() == {"f"}
    release = parse("release fingerprint f", "r1", "ana")
    assert state.apply(13, release, 0).revision == 13
    assert state.quarantined() == frozenset()


def test_loads_are_delivered_in_fence_order_within_the_limit(command_sender):
    for name in ("f", "g"):
        command_sender.send(
            f"create endpoint {name} kind=engine address=127.0.0.1:9 zone=a"
        )
    loads = [command_sender.send(f"load model m version v2 on {e}") for e in "eefg"]
    state = command_sender.state
    assert all(load.fence == load.revision for load in loads)
    fences = [load.fence for load in loads]
    assert [load.fence for load in state.deliverable_loads()] == [fences[0], fences[2]]
    assert state.apply(90, FinishLoad("e", fences[0], False), 0).fence == fences[0]
    assert isinstance(
        state.apply(91, FinishLoad("e", fences[0], True), 0), UnknownObject
    )
    assert [load.fence for load in state.deliverable_loads()] == fences[1:3]
    state.apply(92, parse("remove endpoint e", "r", "ana"), 0)
    assert [load.fence for load in state.deliverable_loads()] == fences[2:]


def test_changes_after_a_dropped_revision_are_not_returned():
    changes = [ObjectChange(n, n - 1, "model", "m", None) for n in (4, 5, 6)]
    log = ChangeLog(base=3, limit=2)
    log.extend(changes)
    assert log.since(3) is None
    assert log.since(4) == changes[1:]
    assert log.since(6) == log.since(9) == []


def test_copy_refuses_an_object_older_than_the_one_it_holds():
    copy = ConfigurationCopy()
    newer = ObjectChange(4, 0, "model", "m", Model("m", 2, "v2"))
    older = ObjectChange(5, 4, "model", "m", Model("m", 1, "v1"))
    assert copy.apply(4, [newer])
    with pytest.raises(InvariantViolationError, match="event 2011"):
        copy.apply(5, [older])
    assert (copy.revision, copy.objects("model")["m"].version) == (4, 2)


def test_snapshot_that_is_damaged_or_of_another_format_is_refused(command_sender):
    data = command_sender.state.snapshot()
    fields = msgspec.msgpack.decode(data)
    newer = msgspec.msgpack.encode([99, *fields[1:]])
    damaged = msgspec.msgpack.encode([*fields[:3], fields[3][:-1], *fields[4:]])
    for bad in (b"", data[:-1], newer, damaged):
        with pytest.raises(SnapshotFormatError):
            Configuration.restore(bad)
