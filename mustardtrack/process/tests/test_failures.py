"""Failures of real processes caused by SIGKILL, SIGSTOP and lost data folders."""

import shutil

import pytest

from mustardtrack.testing import expected_text
from mustardtrack.testing.campaigns import run_campaign
from mustardtrack.testing.fault_campaign import count_runs
from mustardtrack.testing.fleet import Fleet, set_mode
from mustardtrack.testing.local_deployment import (
    Deployment,
    new_idempotency_key,
    wait_until,
)

CONTROLS = ("control-1", "control-2", "control-3")
SEED = 11


def create_small_deployment(fleet, **options):
    """Return a deployment with few endpoints, which starts quickly."""
    return Deployment(fleet, "zwolle", engines=4, services=2, **options)


@pytest.fixture
def cluster(tmp_path):
    """Return a deployment that only one test uses, since the test damages it."""
    with Fleet(tmp_path) as fleet:
        deployment = create_small_deployment(fleet, routers=2)
        deployment.start()
        yield deployment


def find_leader(deployment, names=CONTROLS):
    """Return the name of the leading control replica."""
    found = []

    def search():
        rows = [deployment.status(name) for name in names]
        found[:] = [row["name"] for row in rows if row["replica"] == "leader"]
        return found

    wait_until(search)
    return found[0]


def is_streamed_completely(deployment, prompt, router=1):
    events = deployment.stream(prompt, 4, router=router)
    text = "".join(event["choices"][0]["text"] for event in events if "piece" in event)
    expected = expected_text(deployment.model, prompt, 4)
    return text == expected and events[-1] == {"done": True}


def reports_all_endpoints_up(deployment, router):
    rows = deployment.query("show endpoints", deployment.operators(router))
    return bool(rows) and all(row["state"] == "up" for row in rows)


def change_weight(deployment, weight, operators):
    """Change the weight of an account, resending the command until it succeeds."""
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


def read_weight(deployment, name):
    text = f"show accounts where name = {deployment.accounts[0]}"
    rows = deployment.query(text, deployment.operators(name))
    # A replica that has just restarted does not know the commit index yet.
    return rows[0]["weight"] if rows else None


def test_acknowledged_change_survives_the_crash_of_each_leader(cluster):
    operators = cluster.operators("router-1")
    for weight in (2, 3, 4):
        change_weight(cluster, weight, operators)
        leader = find_leader(cluster)
        cluster.members[leader].kill()
        rest = [name for name in CONTROLS if name != leader]
        wait_until(lambda: read_weight(cluster, find_leader(cluster, rest)) == weight)  # noqa: B023
        change_weight(cluster, weight + 10, operators)
        cluster.restart(leader)
        wait_until(lambda: read_weight(cluster, leader) == weight + 10)  # noqa: B023
    wait_until(lambda: read_weight(cluster, "router-1") == 14)


def test_loss_of_a_second_host_after_a_repair_keeps_all_changes(cluster):
    operators = cluster.operators("router-1")
    change_weight(cluster, 5, operators)
    cluster.members["control-1"].kill()
    shutil.rmtree(cluster.data_folder("control-1"))
    cluster.restart("control-1")
    leader = find_leader(cluster, CONTROLS[1:])

    def is_repaired():
        status = cluster.status(leader)
        replica = cluster.status("control-1")["replica"]
        names = sorted(status["voters"])
        return names == sorted(CONTROLS) and replica in ("follower", "leader")

    wait_until(is_repaired)
    change_weight(cluster, 6, operators)
    cluster.members["control-2"].kill()
    shutil.rmtree(cluster.data_folder("control-2"))
    change_weight(cluster, 7, operators)
    for name in ("control-1", "control-3"):
        wait_until(lambda: read_weight(cluster, name) == 7)  # noqa: B023
    cluster.restart("control-2")
    wait_until(lambda: read_weight(cluster, "control-2") == 7)


def test_isolated_control_replica_refuses_changes_and_reports_staleness(cluster):
    for name in ("control-2", "control-3"):
        cluster.members[name].pause()
    address = cluster.operators("control-1")

    def is_stale():
        status, body = cluster.command("show accounts", address)
        return status == 200 and body["stale_ms"] > 3000

    wait_until(is_stale)
    text = f"set account {cluster.accounts[0]} weight=9"
    status, body = cluster.command(text, address)
    assert status == 503
    assert "same command_id" in body["error"]["remedy"]
    status, body, _ = cluster.book({"a": 1})
    assert (status, body["error"]["ran"]) == (503, "not_run")
    assert is_streamed_completely(cluster, "streams need no control")
    for name in ("control-2", "control-3"):
        cluster.members[name].resume()
    change_weight(cluster, 9, address)


def test_router_restarted_without_control_loads_configuration_from_peer(cluster):
    for name in CONTROLS:
        cluster.members[name].kill()
    cluster.members["router-1"].kill()
    cluster.restart("router-1")
    wait_until(lambda: cluster.status("router-1")["revision"] > 0)
    wait_until(lambda: reports_all_endpoints_up(cluster, "router-1"))
    assert is_streamed_completely(cluster, "served from the configuration of a peer")


def test_routers_serve_from_cache_files_after_a_full_outage(tmp_path):
    with Fleet(tmp_path) as fleet:
        cluster = create_small_deployment(fleet, routers=2, router_data_folders=True)
        cluster.start()
        routers = ("router-1", "router-2")
        for name in CONTROLS + routers:
            cluster.members[name].kill()
        for name in routers:
            cluster.restart(name)
            wait_until(lambda: reports_all_endpoints_up(cluster, name))  # noqa: B023
        assert is_streamed_completely(cluster, "served from the cache file", router=1)
        assert is_streamed_completely(cluster, "served from the cache file", router=2)


def test_host_that_the_platform_lists_as_leaving_gets_no_new_work(tmp_path):
    with Fleet(tmp_path) as fleet:
        platform = fleet.start_platform("platform")
        settings = {"platform_hosts_url": f"http://{platform.address}/hosts"}
        cluster = create_small_deployment(fleet, routers=1, settings=settings)
        cluster.start()
        engine = cluster.members["engine-1"]
        rows = [{"address": engine.address, "state": "leaving"}]
        assert platform.post("/hosts", {"hosts": rows})[0] == 200
        operators = cluster.operators("router-1")
        text = "show endpoints where name = engine-1"
        wait_until(lambda: cluster.query(text, operators)[0]["state"] == "leaving")
        before = engine.get("/runs")["runs"]
        for number in range(30):
            assert is_streamed_completely(cluster, f"not for the leaving host {number}")
        assert engine.get("/runs")["runs"] == before


def test_stored_booking_survives_the_crash_of_its_router(cluster):
    key = new_idempotency_key()
    first = cluster.book({"a": 1}, key)
    cluster.members["router-1"].kill()
    second = cluster.book({"a": 1}, key, router=2)
    assert second[:2] == first[:2]
    assert second[2]["Mustardtrack-Stored"] == "true"
    assert count_runs(cluster)[key] == 1


BOOKING_FAULTS = [
    ({"crash_before": True}, 0),
    ({"crash_after": True}, 1),
    ({"close_after": True}, 1),
]


@pytest.mark.parametrize(("faults", "runs"), BOOKING_FAULTS)
def test_booking_that_may_have_run_is_never_sent_again(cluster, faults, runs):
    services = [name for name in cluster.members if name.startswith(cluster.service)]
    for name in services:
        cluster.members[name].post("/faults", faults)
    key = new_idempotency_key()
    status, body, _ = cluster.book({"a": 1}, key)
    assert (status, body["error"]["ran"]) == (502, "unknown")
    if "crash_before" in faults or "crash_after" in faults:
        # The connection of a crashing process closes shortly before the process ends.
        wait_until(
            lambda: not all(cluster.members[name].is_alive() for name in services), 10.0
        )
    for name in services:
        if not cluster.members[name].is_alive():
            cluster.members[name].start()
        cluster.members[name].post(
            "/faults", {"crash_before": False, "close_after": False}
        )
    status, body, _ = cluster.book({"a": 1}, key, router=2)
    assert (status, body["error"]["ran"]) == (409, "unknown")
    assert count_runs(cluster)[key] == runs


def test_request_that_crashes_engines_crashes_at_most_two(cluster):
    engines = [name for name in cluster.members if name.startswith("engine")]
    for name in engines:
        cluster.members[name].post("/faults", {"crash_text": "poison"})
    codes = []
    for number in range(8):
        try:
            events = cluster.stream("a poison prompt", 4, router=1 + number % 2)
            codes.append(events[-1]["error"]["code"])
        except RuntimeError as error:
            codes.append(str(error))
    crashed_engines = [name for name in engines if not cluster.members[name].is_alive()]
    assert len(crashed_engines) <= 2
    assert "quarantined" in codes[-1]
    assert is_streamed_completely(cluster, "a harmless prompt")
    text = "show requests where state = quarantined"
    row = cluster.query(text, cluster.operators("router-1"))[0]
    assert cluster.command(f"release fingerprint {row['fingerprint']}")[0] == 200


def test_truncated_engine_stream_is_not_reported_as_complete(cluster):
    for name, member in cluster.members.items():
        if name.startswith("engine"):
            member.post("/faults", {"close_after_pieces": 3})
    events = cluster.stream("cut in the middle", 8)
    text = "".join(event["choices"][0]["text"] for event in events if "piece" in event)
    expected = expected_text(cluster.model, "cut in the middle", 8)
    assert expected.startswith(text)
    is_complete = text == expected and events[-1] == {"done": True}
    assert is_complete or "error" in events[-1]


def test_stalled_engine_does_not_hold_a_request_beyond_its_deadline(cluster):
    for name, member in cluster.members.items():
        if name.startswith("engine"):
            member.post("/faults", {"stall": True})
    with pytest.raises(RuntimeError, match="endpoint_timeout"):
        cluster.stream("stalled", 4, **{"Mustardtrack-Deadline-Ms": "1500"})


def test_mismatched_answers_reach_no_caller(cluster):
    for name, member in cluster.members.items():
        if name.startswith(("engine", cluster.service)):
            member.post("/faults", {"crossed": True})
    with pytest.raises(RuntimeError, match="mismatched_response"):
        cluster.stream("crossed", 4)
    status, body, _ = cluster.book({"a": 1})
    assert (status, body["error"]["ran"]) == (502, "unknown")


def test_stalled_bus_connections_are_replaced(tmp_path):
    """Open connections to control drop all bytes; new connections work."""
    with Fleet(tmp_path) as fleet:
        deployment = create_small_deployment(fleet, controls=1, routers=1)
        deployment.start()
        target = deployment.bus("control-1")
        forwarder = fleet.start_forwarder("forwarder", target)
        deployment.redirect_bus("control-1", forwarder.address)
        deployment.members["router-1"].kill()
        deployment.restart("router-1")
        wait_until(lambda: deployment.status("router-1")["revision"] > 0)
        set_mode(forwarder, "drop", existing_only=True)
        revision = change_weight(deployment, 8, deployment.operators("control-1"))
        wait_until(lambda: deployment.status("router-1")["revision"] >= revision)


def test_short_fault_campaign_violates_no_guarantee(tmp_path):
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


def test_planned_restart_of_every_daemon_interrupts_no_request(tmp_path):
    findings = run_campaign(tmp_path, SEED, 0, (), routers=2, callers=6)
    assert findings.violations == []
    assert findings.counts["planned_stop"] == 5
    assert findings.counts["stream.whole"] > 0
