"""Guards against operator commands that are lost, applied twice or misread."""

import asyncio
import contextlib
import threading
import uuid

import msgspec
import pytest

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.ports import CommandRequest
from mustardtrack.testing import call, open_request
from mustardtrack.testing.local_deployment import OPERATOR_TOKEN, wait_until


def test_missing_and_wrong_tokens_are_refused(deployment):
    address = deployment.operators("router-1")
    body = {"text": "show hosts"}
    for headers in ({}, {"Authorization": "Bearer wrong"}, deployment.headers()):
        status, answer, _ = call(address, "POST", "/operator/command", body, headers)
        assert status == 401
        assert "token" in answer["error"]["message"]


def test_syntax_error_reports_column_and_expected_tokens(deployment):
    status, body = deployment.command("show endpoint")
    assert status == 400
    assert body["error"]["column"] == 6
    assert any("endpoints" in one for one in body["error"]["expected"])
    assert deployment.command("show endpoints")[0] == 200


def test_unknown_field_in_a_query_reports_its_column(deployment):
    status, body = deployment.command("show endpoints where colour = red")
    assert (status, body["error"]["column"]) == (400, 22)


def test_only_one_of_two_concurrent_commands_with_the_same_version_is_accepted(
    deployment,
):
    row = deployment.query("show accounts order by name limit 1")[0]
    results = []

    def change(weight):
        text = f"set account {row['name']} weight={weight} if version {row['version']}"
        address = deployment.operators(f"router-{weight}")
        results.append(deployment.command(text, address))

    threads = [threading.Thread(target=change, args=(n,)) for n in (1, 2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(status for status, _ in results) == [200, 409]
    refused = next(body for status, body in results if status == 409)
    assert refused["error"]["outcome"]["current_version"] == row["version"] + 1
    assert refused["error"]["outcome"]["set_by"] == "test"


def test_resent_command_takes_effect_once(deployment):
    command_id = str(uuid.uuid4())
    text = "create account resent weight=2"
    first = deployment.command(text, deployment.operators("router-1"), command_id)
    second = deployment.command(text, deployment.operators("control-2"), command_id)
    assert first[0] == 200
    assert second == first
    assert deployment.command(text)[0] == 409


def test_accepted_change_reaches_every_router(deployment):
    status, body = deployment.command("set account resent weight=3")
    assert status == 200
    for name in ("router-1", "router-2"):
        wait_for_revision(deployment, name, body["revision"])
        rows = deployment.query(
            "show accounts where name = resent", deployment.operators(name)
        )
        assert rows[0]["weight"] == 3


def wait_for_revision(deployment, name, revision):
    wait_until(lambda: deployment.status(name)["revision"] >= revision)


def wait_for_leaving(deployment, name):
    wait_until(lambda: state_at(deployment, name) == "leaving")


def state_at(deployment, router):
    text = "show endpoints where name = engine-1"
    return deployment.query(text, deployment.operators(router))[0]["state"]


def test_drained_endpoint_gets_no_new_requests_after_three_seconds(deployment):
    assert deployment.command("drain endpoint engine-1")[0] == 200
    for name in ("router-1", "router-2"):
        wait_for_leaving(deployment, name)
    engine = deployment.members["engine-1"]
    before = engine.get("/runs")["runs"]
    for number in range(20):
        deployment.stream(f"after the drain {number}", 2, router=1 + number % 2)
    assert engine.get("/runs")["runs"] == before
    assert deployment.command("undrain endpoint engine-1")[0] == 200


def test_weight_load_reaches_the_engine_with_its_fencing_token(deployment):
    text = f"load model {deployment.model} version v9 on engine-9"
    status, body = deployment.command(text)
    assert status == 200
    engine = deployment.members["engine-9"]
    wait_until(lambda: engine.get("/health")["models"][deployment.model] == "v9")
    assert engine.get("/health")["models"] == {deployment.model: "v9"}
    orders = engine.get("/orders")["orders"]
    assert [order["fence"] for order in orders] == [body["fence"]]


def test_repeated_formation_returns_the_existing_voters(deployment):
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    address = deployment.operators("control-1")
    status, body, _ = call(address, "POST", "/operator/form", {}, headers)
    assert status == 200
    assert len(body["voters"]) == 3


def test_tool_prints_tables_json_and_errors(deployment):
    assert "engine-1" in deployment.run_tool("query", "show endpoints")
    assert '"rows"' in deployment.run_tool("query", "show endpoints", "--json")
    assert "replica=" in deployment.run_tool("status")
    deployment.stream("a request for the report", 2)
    operators = deployment.operators("router-1")
    assert "| patient | " in deployment.run_tool("report", "--operators", operators)
    try:
        deployment.run_tool("query", "show nothing")
    except RuntimeError as error:
        assert "column 6" in str(error)
    else:
        raise AssertionError("a syntax error must fail")


def test_repeated_tool_command_is_applied_once(deployment):
    command = ("apply", "create account repeated weight=1", "--command-id", "run-7")
    assert deployment.run_tool(*command) == deployment.run_tool(*command)
    with pytest.raises(RuntimeError, match="exists"):
        deployment.run_tool("apply", "create account repeated weight=1")


def test_open_request_is_shown_with_its_class_and_endpoint(deployment):
    body = {"model": deployment.model, "prompt": "shown", "max_tokens": 4000}
    headers = deployment.headers(**{"Mustardtrack-Class": "urgent"})
    connection, answer = open_request(
        deployment.callers(),
        "POST",
        "/v1/completions",
        body | {"stream": True},
        headers,
    )
    assert answer.readline().startswith(b"data: ")
    text = "show requests where class = urgent"
    row = deployment.query(text, deployment.operators("router-1"))[0]
    answer.close()
    connection.close()
    assert row["state"] == "running"
    assert row["endpoint"].startswith("engine-")


TOPICS = ("agreement", "command", "follow", "form", "heartbeat", "suspect", "unknown")


@pytest.mark.parametrize("name", ["control-1", "control-2", "control-3", "router-1"])
def test_malformed_bus_messages_end_no_process(deployment, name):
    bodies = (b"", b"\xc1", msgspec.msgpack.encode(CommandRequest(b"\xc1")))

    async def send_all():
        bus = Bus("test", deployment.fleet.free_address())
        bus.start()
        for topic in TOPICS:
            for body in bodies:
                with contextlib.suppress(BusTimeoutError):
                    await bus.request(deployment.bus(name), topic, body, 100)
        await bus.stop()

    asyncio.run(send_all())
    assert deployment.members[name].is_alive()
    status, _ = deployment.command("set account resent weight=4")
    assert status == 200
