"""Failures caused in real processes by SIGKILL, SIGSTOP and lost data folders."""

import shutil

import pytest

from mustardtrack.testing import expected_text
from mustardtrack.testing.campaign import count_runs
from mustardtrack.testing.campaigns import run_campaign
from mustardtrack.testing.deployment import Deployment, new_key, wait_until
from mustardtrack.testing.fleet import Fleet, set_mode

CONTROLS = ("control-1", "control-2", "control-3")
SEED = 11


def small(fleet, **options):
    """Return a deployment with few endpoints, which starts faster."""
    return Deployment(fleet, "zwolle", engines=4, services=2, **options)


@pytest.fixture
def own(tmp_path):
    """Return a deployment of its own for a test that breaks it."""
    with Fleet(tmp_path) as fleet:
        deployment = small(fleet, routers=2)
        deployment.start()
        yield deployment


def find_leader(deployment, names=CONTROLS):
    """Return the control replica that leads."""
    found = []

    def search():
        rows = [deployment.status(name) for name in names]
        found[:] = [row["name"] for row in rows if row["replica"] == "leader"]
        return found

    wait_until(search)
    return found[0]


def is_whole(deployment, prompt, router=1):
    events = deployment.stream(prompt, 4, router=router)
    text = "".join(one["choices"][0]["text"] for one in events if "piece" in one)
    expected = expected_text(deployment.model, prompt, 4)
    return text == expected and events[-1] == {"done": True}


def sees_all_up(deployment, router):
    rows = deployment.query("show endpoints", deployment.operators(router))
    return bool(rows) and all(row["state"] == "up" for row in rows)


def change(deployment, weight, operators):
    """Change an object, sending the command again until it is answered."""
    command_id = f"change-{weight}"
    answers = []

    def send():
        answers.append(
            deployment.command(
                f"set account {deployment.accounts[0]} weight={weight}",
                operators,
                command_id,
            )
        )
        return answers[-1][0] == 200

    wait_until(send)
    return answers[-1][1]["revision"]


def weight_at(deployment, name):
    text = f"show accounts where name = {deployment.accounts[0]}"
    rows = deployment.query(text, deployment.operators(name))
    # A replica that has just restarted does not know yet what is committed.
    return rows[0]["weight"] if rows else None


def test_acknowledged_change_survives_the_death_of_each_leader(own):
    operators = own.operators("router-1")
    for weight in (2, 3, 4):
        change(own, weight, operators)
        leader = find_leader(own)
        own.members[leader].kill()
        rest = [name for name in CONTROLS if name != leader]
        wait_until(lambda: weight_at(own, find_leader(own, rest)) == weight)  # noqa: B023
        change(own, weight + 10, operators)
        own.restart(leader)
        wait_until(lambda: weight_at(own, leader) == weight + 10)  # noqa: B023
    wait_until(lambda: weight_at(own, "router-1") == 14)


def test_second_host_lost_right_after_a_repair_loses_nothing(own):
    operators = own.operators("router-1")
    change(own, 5, operators)
    own.members["control-1"].kill()
    shutil.rmtree(own.data_folder("control-1"))
    own.restart("control-1")
    leader = find_leader(own, CONTROLS[1:])

    def is_repaired():
        status = own.status(leader)
        replica = own.status("control-1")["replica"]
        names = sorted(status["voters"])
        return names == sorted(CONTROLS) and replica in ("follower", "leader")

    wait_until(is_repaired)
    change(own, 6, operators)
    own.members["control-2"].kill()
    shutil.rmtree(own.data_folder("control-2"))
    change(own, 7, operators)
    for name in ("control-1", "control-3"):
        wait_until(lambda: weight_at(own, name) == 7)  # noqa: B023
    own.restart("control-2")
    wait_until(lambda: weight_at(own, "control-2") == 7)


def test_isolated_control_replica_accepts_nothing_and_says_its_age(own):
    for name in ("control-2", "control-3"):
        own.members[name].pause()
    address = own.operators("control-1")

    def is_stale():
        status, body = own.command("show accounts", address)
        return status == 200 and body["stale_ms"] > 3000

    wait_until(is_stale)
    text = f"set account {own.accounts[0]} weight=9"
    status, body = own.command(text, address)
    assert status == 503
    assert "same command_id" in body["error"]["remedy"]
    status, body, _ = own.book({"a": 1})
    assert (status, body["error"]["ran"]) == (503, "not_run")
    assert is_whole(own, "streams need no control")
    for name in ("control-2", "control-3"):
        own.members[name].resume()
    change(own, 9, address)


def test_router_that_restarts_without_control_serves_from_a_peer(own):
    for name in CONTROLS:
        own.members[name].kill()
    own.members["router-1"].kill()
    own.restart("router-1")
    wait_until(lambda: own.status("router-1")["revision"] > 0)
    wait_until(lambda: sees_all_up(own, "router-1"))
    assert is_whole(own, "served from the configuration of a peer")


def test_routers_serve_from_their_cache_files_after_everything_was_down(tmp_path):
    with Fleet(tmp_path) as fleet:
        own = small(fleet, routers=2, router_folders=True)
        own.start()
        routers = ("router-1", "router-2")
        for name in CONTROLS + routers:
            own.members[name].kill()
        for name in routers:
            own.restart(name)
            wait_until(lambda: sees_all_up(own, name))  # noqa: B023
        assert is_whole(own, "served from the cache file", router=1)
        assert is_whole(own, "served from the cache file", router=2)


def test_host_on_the_platform_list_of_leaving_hosts_gets_no_new_work(tmp_path):
    with Fleet(tmp_path) as fleet:
        platform = fleet.start_platform("platform")
        settings = {"platform_hosts_url": f"http://{platform.address}/hosts"}
        own = small(fleet, routers=1, settings=settings)
        own.start()
        engine = own.members["engine-1"]
        rows = [{"address": engine.address, "state": "leaving"}]
        assert platform.post("/hosts", {"hosts": rows})[0] == 200
        operators = own.operators("router-1")
        text = "show endpoints where name = engine-1"
        wait_until(lambda: own.query(text, operators)[0]["state"] == "leaving")
        before = engine.get("/runs")["runs"]
        for number in range(30):
            assert is_whole(own, f"not for the leaving host {number}")
        assert engine.get("/runs")["runs"] == before


def test_booking_is_stored_over_the_death_of_its_router(own):
    key = new_key()
    first = own.book({"a": 1}, key)
    own.members["router-1"].kill()
    second = own.book({"a": 1}, key, router=2)
    assert second[:2] == first[:2]
    assert second[2]["Mustardtrack-Stored"] == "true"
    assert count_runs(own)[key] == 1


BOOKING_FAULTS = [
    ({"crash_before": True}, 0),
    ({"crash_after": True}, 1),
    ({"close_after": True}, 1),
]


@pytest.mark.parametrize(("faults", "runs"), BOOKING_FAULTS)
def test_booking_that_may_have_run_is_never_sent_again(own, faults, runs):
    services = [name for name in own.members if name.startswith(own.service)]
    for name in services:
        own.members[name].post("/faults", faults)
    key = new_key()
    status, body, _ = own.book({"a": 1}, key)
    assert (status, body["error"]["ran"]) == (502, "unknown")
    if "crash_before" in faults or "crash_after" in faults:
        # The connection of a process that crashes ends a moment before the process.
        wait_until(
            lambda: not all(own.members[name].is_alive() for name in services), 10.0
        )
    for name in services:
        if not own.members[name].is_alive():
            own.members[name].start()
        own.members[name].post("/faults", {"crash_before": False, "close_after": False})
    status, body, _ = own.book({"a": 1}, key, router=2)
    assert (status, body["error"]["ran"]) == (409, "unknown")
    assert count_runs(own)[key] == runs


def test_request_that_crashes_engines_takes_at_most_two(own):
    engines = [name for name in own.members if name.startswith("engine")]
    for name in engines:
        own.members[name].post("/faults", {"crash_text": "poison"})
    codes = []
    for number in range(8):
        try:
            events = own.stream("a poison prompt", 4, router=1 + number % 2)
            codes.append(events[-1]["error"]["code"])
        except RuntimeError as error:
            codes.append(str(error))
    dead = [name for name in engines if not own.members[name].is_alive()]
    assert len(dead) <= 2
    assert "quarantined" in codes[-1]
    assert is_whole(own, "a harmless prompt")
    text = "show requests where state = quarantined"
    row = own.query(text, own.operators("router-1"))[0]
    assert own.command(f"release fingerprint {row['fingerprint']}")[0] == 200


def test_engine_that_dies_in_mid_stream_gives_no_normal_end(own):
    for name, member in own.members.items():
        if name.startswith("engine"):
            member.post("/faults", {"close_after_pieces": 3})
    events = own.stream("cut in the middle", 8)
    text = "".join(one["choices"][0]["text"] for one in events if "piece" in one)
    expected = expected_text(own.model, "cut in the middle", 8)
    assert expected.startswith(text)
    whole = text == expected and events[-1] == {"done": True}
    assert whole or "error" in events[-1]


def test_stalled_engine_keeps_no_request_beyond_its_deadline(own):
    for name, member in own.members.items():
        if name.startswith("engine"):
            member.post("/faults", {"stall": True})
    with pytest.raises(RuntimeError, match="endpoint_timeout"):
        own.stream("stalled", 4, **{"Mustardtrack-Deadline-Ms": "1500"})


def test_crossed_answers_reach_no_caller(own):
    for name, member in own.members.items():
        if name.startswith(("engine", own.service)):
            member.post("/faults", {"crossed": True})
    with pytest.raises(RuntimeError, match="mismatched_response"):
        own.stream("crossed", 4)
    status, body, _ = own.book({"a": 1})
    assert (status, body["error"]["ran"]) == (502, "unknown")


def test_silent_bus_connections_are_replaced(tmp_path):
    """Drops bytes on the open connections to control; new connections work."""
    with Fleet(tmp_path) as fleet:
        deployment = small(fleet, controls=1, routers=1)
        deployment.start()
        target = deployment.bus("control-1")
        forwarder = fleet.start_forwarder("forwarder", target)
        deployment.move_bus("control-1", forwarder.address)
        deployment.members["router-1"].kill()
        deployment.restart("router-1")
        wait_until(lambda: deployment.status("router-1")["revision"] > 0)
        set_mode(forwarder, "drop", existing_only=True)
        revision = change(deployment, 8, deployment.operators("control-1"))
        wait_until(lambda: deployment.status("router-1")["revision"] >= revision)


def test_short_campaign_of_all_faults_breaks_no_promise(tmp_path):
    kinds = (
        "kill_control",
        "kill_endpoint",
        "kill_router",
        "pause_control",
        "pause_router",
        "stop_router",
    )
    findings = run_campaign(tmp_path, SEED, 12, kinds, routers=3, callers=6)
    assert findings.violations == []
    assert findings.counts["runs.1"] > 0
    assert findings.counts["stream.whole"] > 0


def test_planned_restart_of_every_daemon_cuts_no_request(tmp_path):
    findings = run_campaign(tmp_path, SEED, 0, (), routers=2, callers=6)
    assert findings.violations == []
    assert findings.counts["planned_stop"] == 5
    assert findings.counts["stream.whole"] > 0
