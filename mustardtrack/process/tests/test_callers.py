"""Guards against wrong, ambiguous or malformed answers to callers."""

import threading

import pytest
from openai import APIStatusError, OpenAI

from mustardtrack.testing import call, expected_text, open_request
from mustardtrack.testing.local_deployment import new_idempotency_key, wait_until

OLD_KEY = "018b0000-0000-7000-8000-000000000000"


def read_error(answer):
    status, body, _ = answer
    return status, body["error"]["code"], body["error"]["ran"]


def complete(deployment, body, **headers):
    return call(
        deployment.callers(),
        "POST",
        "/v1/completions",
        body,
        {**deployment.headers(), **headers},
    )


def test_openai_client_reads_streamed_and_complete_answers(deployment):
    client = OpenAI(
        base_url=f"http://{deployment.callers()}/v1",
        api_key=deployment.headers()["Authorization"].removeprefix("Bearer "),
        max_retries=0,
    )
    assert [model.id for model in client.models.list()] == [deployment.model]
    chunks = client.completions.create(
        model=deployment.model, prompt="a frame", max_tokens=5, stream=True
    )
    text = "".join(chunk.choices[0].text for chunk in chunks)
    assert text == expected_text(deployment.model, "a frame", 5)
    answer = client.chat.completions.create(
        model=deployment.model,
        messages=[{"role": "user", "content": "a frame"}],
        max_tokens=4,
    )
    expected = expected_text(deployment.model, "user: a frame\n", 4)
    assert answer.choices[0].message.content == expected
    with pytest.raises(APIStatusError) as caught:
        client.completions.create(model="unknown", prompt="a")
    assert caught.value.status_code == 404


BAD_BODIES = [
    (b"{", 400, "invalid_body"),
    (b'{"model": 3, "prompt": "x"}', 400, "invalid_body"),
    (b'{"model": "note-writer", "prompt": ""}', 400, "invalid_body"),
    (b'{"model": "note-writer", "prompt": "x", "max_tokens": -1}', 400, "invalid_body"),
    (b'{"model": "none", "prompt": "x"}', 404, "unknown_model"),
    (b"[" * 100_000, 400, "invalid_body"),
    (b'{"x": ' * 50_000, 400, "invalid_body"),
    (b'{"model": "note-writer", "prompt": "\xff"}', 400, "invalid_body"),
]


@pytest.mark.parametrize(("body", "status", "code"), BAD_BODIES)
def test_malformed_body_is_refused_as_not_run(deployment, body, status, code):
    assert read_error(complete(deployment, body)) == (status, code, "not_run")


def test_oversized_body_is_refused_as_not_run(deployment):
    body = {"model": deployment.model, "prompt": "x" * 4_500_000}
    assert read_error(complete(deployment, body)) == (413, "body_too_large", "not_run")


def test_unknown_key_is_refused_and_not_echoed(deployment):
    headers = {"Authorization": "Bearer secret-typo"}
    answer = complete(deployment, {"model": deployment.model, "prompt": "x"}, **headers)
    assert read_error(answer) == (401, "unauthenticated", "not_run")
    logs = "".join(member.log() for member in deployment.members.values())
    assert "secret-typo" not in logs


BAD_HEADERS = [
    ({"Mustardtrack-Class": "none"}, "unknown_class"),
    ({"Mustardtrack-Deadline-Ms": "soon"}, "invalid_header"),
    ({"Mustardtrack-Deadline-Ms": "0"}, "invalid_header"),
]


@pytest.mark.parametrize(("headers", "code"), BAD_HEADERS)
def test_malformed_header_is_refused(deployment, headers, code):
    body = {"model": deployment.model, "prompt": "x"}
    assert read_error(complete(deployment, body, **headers)) == (400, code, "not_run")


def test_discovery_puts_the_zone_of_the_caller_first(deployment):
    status, body, _ = call(
        deployment.callers(), "GET", "/v1/discovery?zone=zwolle-b", timeout_s=5
    )
    assert status == 200
    assert [one["zone"] for one in body["addresses"]] == ["zwolle-b", "zwolle-a"]
    assert body["ttl_ms"] > 0


def test_booking_without_key_is_refused(deployment):
    path = f"/v1/services/{deployment.service}/bookings"
    answer = call(deployment.callers(), "POST", path, {}, deployment.headers())
    assert read_error(answer) == (400, "key_missing", "not_run")
    headers = deployment.headers() | {"Idempotency-Key": "not-a-uuid"}
    answer = call(deployment.callers(), "POST", path, {}, headers)
    assert read_error(answer) == (400, "key_malformed", "not_run")


def test_old_key_and_key_with_another_body_are_refused(deployment):
    assert read_error(deployment.book({"a": 1}, OLD_KEY))[:2] == (409, "key_expired")
    key = new_idempotency_key()
    assert deployment.book({"a": 1}, key)[0] == 201
    assert read_error(deployment.book({"a": 2}, key, router=2)) == (
        422,
        "body_mismatch",
        "not_run",
    )


def test_same_key_of_another_account_is_another_call(deployment):
    key = new_idempotency_key()
    first = deployment.book({"a": 1}, key)
    second = deployment.book({"a": 1}, key, account=deployment.accounts[1])
    assert first[0] == second[0] == 201
    assert "Mustardtrack-Stored" not in second[2]


def test_concurrent_sends_of_one_booking_run_once(deployment):
    key = new_idempotency_key()
    results = []

    def send(router):
        results.append(deployment.book({"a": 1}, key, router=router)[0])

    threads = [threading.Thread(target=send, args=(1 + n % 2,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert 201 in results
    assert set(results) <= {201, 409}
    assert deployment.book({"a": 1}, key)[0] == 201
    assert count_runs_of_key(deployment, key) == 1


def test_disconnecting_caller_cancels_its_request_at_the_engine(deployment):
    body = {
        "model": deployment.model,
        "prompt": "leave early",
        "max_tokens": 4000,
        "stream": True,
    }
    connection, answer = open_request(
        deployment.callers(), "POST", "/v1/completions", body, deployment.headers()
    )
    assert answer.readline().startswith(b"data: ")
    connection.close()
    answer.close()
    operators = deployment.operators("router-1")
    wait_until(lambda: not deployment.query("show requests", operators))


def test_get_request_is_forwarded_to_a_service(deployment):
    path = f"/v1/services/{deployment.service}/stock?item=frame"
    status, body, _ = call(
        deployment.callers(), "GET", path, None, deployment.headers()
    )
    assert (status, body["path"]) == (200, "/stock")


def count_runs_of_key(deployment, key):
    return sum(
        member.get("/runs")["runs"].get(key, 0)
        for name, member in deployment.members.items()
        if name.startswith(deployment.service)
    )


def test_booking_of_a_disconnected_caller_is_still_stored(deployment):
    services = [
        member
        for name, member in deployment.members.items()
        if name.startswith(deployment.service)
    ]
    for service in services:
        service.post("/faults", {"late_ms": 1500})
    key = new_idempotency_key()
    try:
        with pytest.raises(TimeoutError):
            abandon_booking(deployment, key)
        wait_until(lambda: deployment.book({"a": 1}, key, router=2)[0] == 201, 20)
    finally:
        for service in services:
            service.post("/faults", {"late_ms": 0})
    stored = deployment.book({"a": 1}, key)
    assert stored[2]["Mustardtrack-Stored"] == "true"
    assert count_runs_of_key(deployment, key) == 1


def abandon_booking(deployment, key):
    path = f"/v1/services/{deployment.service}/bookings"
    headers = deployment.headers() | {"Idempotency-Key": key}
    call(deployment.callers(), "POST", path, {"a": 1}, headers, timeout_s=0.5)
