"""Fault cases of endpoint states, host leases, discovery and platform host lists."""

import random

import pytest

from mustardtrack.logs import InvariantViolationError
from mustardtrack.membership import (
    EndpointTable,
    HostHeartbeat,
    HostTable,
    InvalidObservationsError,
    LatestPlatformHostList,
    Load,
    Observation,
    PlatformHostList,
    ProbeAnswer,
    ProbeTable,
    Router,
    choose_observers,
    decode_observations,
    observed_endpoints,
)

ENDPOINT = "engine-1"


def seen(observer, state="up", incarnation="a", sent_ms=0):
    load = Load(running=1) if state == "up" else None
    return Observation(ENDPOINT, incarnation, state, load, observer, sent_ms)


def up(observer, at_ms=0, incarnation="a"):
    return (at_ms, "observe", seen(observer, "up", incarnation, at_ms))


def down(observer, at_ms=0, incarnation="a"):
    return (at_ms, "observe", seen(observer, "down", incarnation, at_ms))


def leaving(observer, at_ms=0):
    return (at_ms, "observe", seen(observer, "leaving", "a", at_ms))


def local(ok, at_ms=0, incarnation="a"):
    return (at_ms, "local", (incarnation, ok))


# One row per fault: name, inputs, time of the view, expected state.
FAULTS = [
    ("killed: two of three agree", [up("x"), down("y"), down("z")], 1, "down"),
    ("isolated observer among three", [up("x"), up("y"), down("z")], 1, "up"),
    ("isolated observer is the only one left", [down("z")], 1, "unverified"),
    ("two observers disagree", [up("x"), down("y")], 1, "up"),
    ("never reached by an observer", [down("x", 0, ""), down("y", 0, "")], 1, "down"),
    ("connection lost by local attempt", [up("x"), local(False, 5)], 6, "down"),
    ("up again after local failure", [local(False, 5), up("x", 6)], 7, "up"),
    ("local failure, then success",
     [up("x"), local(False, 5), local(True, 6)], 7, "up"),
    ("local failure expires", [up("x"), local(False, 5)], 3005, "unverified"),
    ("local failure of the old incarnation",
     [up("x", 0, "b"), local(False, 5)], 6, "up"),
    ("no reports: lease expired", [up("x"), up("y")], 3000, "unverified"),
    ("no reports: lease still valid", [up("x"), up("y")], 2999, "up"),
    ("clock jumps over all leases", [up("x"), down("y")], 10**9, "unverified"),
    ("observer paused, others renew", [down("z"), up("x", 3000)], 3001, "up"),
    ("leaving, one report", [up("x"), up("y"), leaving("z")], 1, "leaving"),
    ("leaving, then killed", [leaving("x"), down("y"), down("z")], 1, "leaving"),
    ("report out of order",
     [down("x", 5), down("y", 5), (6, "observe", seen("x"))], 7, "down"),
    ("late report of an old incarnation",
     [up("x"), up("x", 5, "b"), (6, "observe", seen("y", "leaving"))], 7, "up"),
    ("late down report after a restart",
     [up("x", 5), up("y", 5), up("z", 6, "b"), down("x", 1, ""), down("y", 1, "")],
     7, "up"),
    ("restart clears down", [down("x"), down("y"), up("z", 5, "b")], 6, "up"),
    ("restart clears leaving", [leaving("x"), up("y", 5, "b")], 6, "up"),
    ("old observers still report down",
     [up("x", 0, "b"), down("y", 1), down("z", 1)], 2, "up"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("inputs", "at_ms", "state"),
    [row[1:] for row in FAULTS],
    ids=[f[0] for f in FAULTS],
)
def test_endpoint_state_under_fault(inputs, at_ms, state):
    table = EndpointTable(lease_ms=3000)
    table.observe(seen("first", "up", "a", 0), -3000)  # expired before the case starts
    for now_ms, kind, value in inputs:
        if kind == "observe":
            table.observe(value, now_ms)
        else:
            table.record_attempt_result(ENDPOINT, *value, now_ms)
    assert table.view(ENDPOINT, at_ms).state == state


@pytest.mark.parametrize("source", ["set_draining", "set_platform_leaving"])
def test_drain_and_platform_exclude_across_restart_of_the_endpoint(source):
    # A restarted engine on a host that the platform is removing must stay excluded.
    table = EndpointTable()
    getattr(table, source)(
        *((ENDPOINT, True) if source == "set_draining" else ([ENDPOINT],))
    )
    table.observe(seen("x", "up", "b"), 0)
    assert table.view(ENDPOINT, 0).state == "leaving"
    assert table.candidates([ENDPOINT], 0) == []
    getattr(table, source)(*((ENDPOINT, False) if source == "set_draining" else ([],)))
    assert table.view(ENDPOINT, 0).state == "up"


def test_unverified_endpoint_is_only_the_last_resort():
    table = EndpointTable()
    table.observe(seen("x"), 0)
    assert [one.name for one in table.candidates([ENDPOINT, "engine-2"], 1)] == [
        ENDPOINT
    ]
    assert [one.name for one in table.candidates(["engine-2"], 1)] == ["engine-2"]


def test_wrongly_retired_incarnation_is_accepted_again():
    # If incarnations were retired permanently, a report delayed past its lease would
    # exclude a live endpoint forever.
    table = EndpointTable()
    for sent_ms, incarnation in ((0, "new"), (4000, "old"), (8000, "new")):
        table.observe(seen("x", "up", incarnation, sent_ms), sent_ms)
    assert table.view(ENDPOINT, 8000).incarnation == "old"
    assert table.observe(seen("x", "up", "new", 64_000), 64_000)
    assert table.view(ENDPOINT, 64_000).incarnation == "new"


def test_local_failure_does_not_count_against_the_first_known_incarnation():
    table = EndpointTable()
    table.record_attempt_result(ENDPOINT, "", False, 5)
    assert table.view(ENDPOINT, 6).state == "down"
    table.observe(seen("x", "down"), 6)
    assert table.view(ENDPOINT, 6).state == "unverified"


def test_late_report_of_an_observer_does_not_retire_the_live_incarnation():
    table = EndpointTable()
    table.observe(seen("x", "up", "new", 10_000), 0)
    table.observe(seen("x", "up", "old", 9_000), 4000)
    assert table.observe(seen("x", "up", "new", 14_000), 4100)
    assert table.view(ENDPOINT, 4100).incarnation == "new"


def test_memory_does_not_grow_with_replaced_observers_and_restarts():
    table = EndpointTable()
    for number in range(200):
        at_ms = number * 60_000
        table.observe(seen(f"x{number}", "up", f"i{number}", at_ms), at_ms)
        table.observe(seen("y", "up", f"i{number}", at_ms), at_ms)
    endpoint = table._endpoints[ENDPOINT]
    assert (
        max(
            map(len, (endpoint.reports, endpoint.last_incarnation, endpoint.retired_ms))
        )
        <= 9
    )


def test_load_belongs_to_the_new_incarnation_and_ages():
    table = EndpointTable()
    table.observe(seen("x"), 0)
    table.observe(Observation(ENDPOINT, "b", "up", Load(7, age_ms=100), "y", 0), 50)
    view = table.view(ENDPOINT, 80)
    assert (view.load, view.age_ms, view.observers) == (
        Load(7, age_ms=100),
        130,
        ("y",),
    )


@pytest.mark.parametrize("change", [seen("x", "leaving"), seen("x", "up", "b")])
def test_dispatch_is_rejected_after_selection_became_stale(change):
    table = EndpointTable()
    table.observe(seen("x"), 0)
    table.require_usable(ENDPOINT, "a", 0)
    table.observe(change, 1)
    assert not table.is_usable(ENDPOINT, "a", 1)
    with pytest.raises(InvariantViolationError):
        table.require_usable(ENDPOINT, "a", 1)


def test_malformed_observations_raise_a_typed_error():
    assert decode_observations(b"") == []
    with pytest.raises(InvalidObservationsError):
        decode_observations(b"\x93\x01")


def test_one_failed_probe_is_not_down_and_a_stalled_probe_loop_reports_nothing():
    table = ProbeTable("x", max_age_ms=1000)
    table.record(ENDPOINT, ProbeAnswer("a", "up"), 0)
    table.record(ENDPOINT, None, 500)
    assert [one.state for one in table.report(500)] == ["up"]
    table.record(ENDPOINT, None, 1000)
    assert [one.state for one in table.report(1000)] == ["down"]
    assert table.report(2001) == []


ROUTERS = [Router(f"r{n}", f"z{n % 3}") for n in range(8)]


def test_lost_router_reassigns_few_observers_and_zones_stay_distinct():
    # If every loss reassigned all observers, all endpoint states would expire at once.
    names = [f"engine-{n}" for n in range(300)]
    before = {name: choose_observers(name, ROUTERS) for name in names}
    after = {name: choose_observers(name, ROUTERS[1:]) for name in names}
    lost = [name for name in names if ROUTERS[0] in before[name]]
    assert all(before[name] == after[name] for name in names if name not in lost)
    assert all(len({one.zone for one in after[name]}) == 3 for name in names)
    assert set(observed_endpoints("r0", names, ROUTERS)) == set(lost)


def test_observers_are_filled_up_from_one_zone():
    routers = [Router(f"r{n}", "z") for n in range(2)]
    assert set(choose_observers(ENDPOINT, routers)) == set(routers)


def beat(name, sequence, state="up", zone="a"):
    return HostHeartbeat(name, f"127.0.0.1:{len(name)}", zone, state, sequence)


def test_discovery_excludes_draining_leaving_and_gone_hosts():
    table = HostTable(3000, 2000, random.Random(1))
    for name in ("gone", "operator", "platform", "stopping", "live"):
        table.heartbeat(beat(name, 1), 0 if name == "gone" else 2000)
    table.heartbeat(beat("stopping", 2, "draining"), 2100)
    table.set_draining("operator", True)
    table.set_platform_leaving(["platform"])
    assert [one.host for one in table.discover("a", 3000)] == ["live"]
    assert [one.name for one in table.live_routers(3000)] == ["live"]
    assert [one.name for one in table.views(3000) if one.state == "gone"] == ["gone"]


def test_late_heartbeat_does_not_return_a_draining_host():
    table = HostTable(3000, 2000, random.Random(1))
    table.heartbeat(beat("r1", 20, "draining"), 0)
    assert not table.heartbeat(beat("r1", 19), 10)
    assert table.discover("a", 20) == []


def test_restarted_router_is_discovered_at_once():
    table = HostTable(3000, 2000, random.Random(1))
    table.heartbeat(beat("r1", 500, "draining"), 0)
    assert table.heartbeat(beat("r1", 0), 10)
    assert [one.host for one in table.discover("a", 20)] == ["r1"]


def test_host_list_from_the_future_does_not_block_later_ones():
    hosts = LatestPlatformHostList()
    leaving = frozenset({"10.0.0.1"})
    hosts.update(PlatformHostList(10**15, frozenset(), frozenset()), 0)
    assert not hosts.update(PlatformHostList(5, frozenset(), leaving), 59_999)
    assert hosts.update(PlatformHostList(5, frozenset(), leaving), 60_000)
    assert hosts.leaving_names({"e": "10.0.0.1:1", "f": "10.0.0.2:1"}) == {"e"}
