"""Guards against answers of faulty engines that callers cannot tell from whole ones.

Control hosts and the router are real processes. The engines are raw TCP servers on
loopback that send scripted bytes; the path of a request names the script.
"""

import json
import socket
import struct
import threading
import time
from collections import Counter
from http.client import HTTPException

import pytest

from mustardtrack.testing.client import call
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROLS = tuple(SUBNET.address(number) for number in (11, 12, 13))
ROUTER = SUBNET.address(21)
ENGINES = tuple(SUBNET.address(number) for number in (31, 32))
LIST_HOST = SUBNET.address(33)
LONGEST_WAIT_S = 20.0
LINGER_RESET = struct.pack("ii", 1, 0)
EVENTS = [b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(1, 5)]
CLOSE, RESET, KEEP = "close", "reset", "keep"
# Ends of answers that an engine sends before it has read an upload. An engine takes the
# upload before or after it ends its sending, or ends its sending and then resets.
TAKE, END_THEN_TAKE, END_THEN_RESET = "take", "end, take", "end, reset"
EARLY = "early-"
UPLOAD = bytes(3_000_000)


def head(request_id, *fields, status=200, is_signed=True):
    lines = [f"HTTP/1.1 {status} X", *fields]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    if is_signed:
        lines.append("Response-Seal: s")
    return "\r\n".join([*lines, "", ""]).encode()


STREAM_TYPE = "Content-Type: text/event-stream"


def unframed(request_id, body):
    return head(request_id, STREAM_TYPE) + body


def chunked(request_id, body):
    return head(
        request_id, STREAM_TYPE, "Transfer-Encoding: chunked"
    ) + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def whole(request_id, body):
    return head(request_id, f"Content-Length: {len(body)}") + body


ODD_STATUSES = ("000", "099", "1000", "20")


def odd_status(request_id, status):
    return head(request_id, "Content-Length: 6", status=status) + b"answer"


def refusal(request_id):
    return head(
        request_id,
        "Not-Executed: 1",
        "Content-Length: 0",
        status=503,
        is_signed=False,
    )


def failure(request_id):
    body = b"engine failed"
    return head(request_id, f"Content-Length: {len(body)}", status=500) + body


def resume(request_id, last_event_id):
    return chunked(request_id, b"".join(EVENTS[last_event_id:]))


class ScriptedEngines:
    """Raw servers that answer by the first part of the path.

    Attributes:
        runs: Requests that were run, by id.
        sent: Requests that arrived, as pairs of script and engine.
    """

    def __init__(self):
        self.runs = Counter()
        self.sent = []
        self._refused = {}
        self._servers = [socket.create_server((host, 0)) for host in ENGINES]
        self._list = socket.create_server((LIST_HOST, 0))
        threads = [(self._list, self._answer_list, None)]
        threads += [(server, self._serve, n) for n, server in enumerate(self._servers)]
        for server, handler, number in threads:
            arguments = (server, handler, number)
            threading.Thread(target=self._accept, args=arguments, daemon=True).start()

    @property
    def list_address(self):
        """Address of the platform's list of endpoints."""
        return f"{LIST_HOST}:{self._list.getsockname()[1]}"

    def stop(self):
        """Close all listening sockets."""
        for server in (*self._servers, self._list):
            server.close()

    def _accept(self, server, handler, number):
        while True:
            try:
                connection = server.accept()[0]
            except OSError:
                return  # The test is over.
            arguments = (connection, number)
            threading.Thread(target=handler, args=arguments, daemon=True).start()

    def _answer_list(self, connection, number):
        read_request(connection.makefile("rb"))
        entries = [
            {
                "id": f"i-{n}",
                "service": "s1",
                "address": f"{host}:{self._servers[n].getsockname()[1]}",
                "zone": "a",
                "slots": 6,
                "state": "ready",
            }
            for n, host in enumerate(ENGINES)
        ]
        body = json.dumps({"instances": entries}).encode()
        connection.sendall(whole("", body))
        connection.close()

    def _serve(self, connection, number):
        reader = connection.makefile("rb")
        while request := read_request(reader):
            script, headers = request
            if not script:
                connection.sendall(head("", "Content-Length: 0", status=404))
                continue
            self.sent.append((script, number))
            data, end = self._answer(script, headers, number)
            connection.sendall(data)
            if end in (TAKE, END_THEN_TAKE):
                if end == END_THEN_TAKE:
                    connection.shutdown(socket.SHUT_WR)
                reader.read(int(headers["content-length"]))
            if end == END_THEN_RESET:
                connection.shutdown(socket.SHUT_WR)
            if end in (RESET, END_THEN_RESET):
                time.sleep(0.1 if end == RESET else 0.002)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            if end != KEEP:
                reader.close()
                connection.close()
                return

    def _answer(self, script, headers, number):
        request_id = headers["request-id"]
        last_event_id = int(headers.get("last-event-id", "0"))
        if script == "repeated":
            return self._repeat_refusal(request_id, headers, number)
        self.runs[request_id] += 1
        if last_event_id and script == "failing":
            return failure(request_id), KEEP
        if last_event_id:
            return resume(request_id, last_event_id), KEEP
        begun, inside = b"".join(EVENTS[:2]), b"".join(EVENTS[:2]) + b"id: 3\nda"
        answers = {
            "whole": (chunked(request_id, b"".join(EVENTS)), KEEP),
            "unframed": (unframed(request_id, b"".join(EVENTS)), CLOSE),
            "empty": (unframed(request_id, b""), CLOSE),
            "inside": (unframed(request_id, inside), CLOSE),
            "chunked-inside": (chunked(request_id, inside), KEEP),
            "reset": (unframed(request_id, begun), RESET),
            "failing": (unframed(request_id, begun), RESET),
            "unframed-call": (head(request_id) + b"answer", CLOSE),
            "reset-call": (head(request_id) + b"ans", RESET),
            "early-taken": (unframed(request_id, b"".join(EVENTS)), TAKE),
            "early-ended": (unframed(request_id, b"".join(EVENTS)), END_THEN_TAKE),
            "early-reset": (unframed(request_id, begun), RESET),
            "early-length": (whole(request_id, begun + bytes(9))[:-9], RESET),
            "early-ended-reset": (unframed(request_id, begun), END_THEN_RESET),
            **{
                f"status-{status}": (odd_status(request_id, status), KEEP)
                for status in ODD_STATUSES
            },
            **{
                f"status-{status}-unframed": (
                    head(request_id, STREAM_TYPE, status=status) + begun,
                    CLOSE,
                )
                for status in ODD_STATUSES
            },
            "half-head": (whole(request_id, b"answer")[:40], CLOSE),
            "half-length": (b"HTTP/1.1 200 OK\r\nContent-Length: 1", CLOSE),
            "head-without-end": (whole(request_id, b"")[:-2], CLOSE),
        }
        return answers[script]

    def _repeat_refusal(self, request_id, headers, number):
        """Refuse the first request on a connection, and again the one after it."""
        earlier = self._refused.pop(number, None)
        if earlier is None:
            self._refused[number] = request_id
            return refusal(request_id), KEEP
        self.runs[request_id] += 1
        repeated = refusal("" if headers["x-case"] == "no-id" else earlier)
        return repeated + whole(request_id, b"answer"), KEEP


def read_request(reader):
    """Return the script and the headers of a request, None at the end."""
    try:
        line = reader.readline().decode("latin-1")
        headers = {}
        while field := reader.readline().decode("latin-1").strip():
            name, _, value = field.partition(":")
            headers[name.lower()] = value.strip()
        _, _, script = line.partition(" HTTP/")[0].rpartition("/")
        if not script.startswith(EARLY):
            reader.read(int(headers.get("content-length", "0")))
    except OSError:
        return None
    if not line:
        return None
    return (script if line.startswith("POST") else ""), headers


def document():
    kinds = {
        "stream": True,
        "call": False,
        "safe": False,
        "resumable": True,
        "marked-call": False,
    }
    routes = [
        {
            "name": kind,
            "host": "a.example",
            "path-prefix": f"/{kind}/",
            "kind": "streaming"
            if is_stream
            else "idempotent"
            if kind == "safe"
            else "non_idempotent",
            "timeout-ms": 4000,
            "target-latency-ms": 1000,
            "service": "s1",
            "max-attempts": 2,
            "resumable": kind in ("resumable", "marked-call"),
        }
        for kind, is_stream in kinds.items()
    ]
    services = [{"name": "s1", "max-connections": 50}]
    return {"version": 1, "routes": routes, "services": services}


@pytest.fixture(scope="module")
def engines(tmp_path_factory):
    """Return engines behind a running router."""
    engines = ScriptedEngines()
    folder = tmp_path_factory.mktemp("faulty")
    hosts = SeededHosts(folder, CONTROLS, (ROUTER,), engines.list_address)
    for host in (*CONTROLS, ROUTER):
        hosts.start(host)
    wait_s = LONGEST_WAIT_S
    assert holds_within(lambda: put_document(CONTROLS[0], document()) == 200, wait_s)
    assert holds_within(lambda: hosts.is_ready(ROUTER), wait_s)
    yield engines
    hosts.end()
    engines.stop()


NUMBERS = iter(range(1, 1000))


def send(kind, script, case="id", body=b"p"):
    """Return the request's id, the status and the body; None if it is incomplete."""
    request_id = f"q{next(NUMBERS)}"
    headers = {
        "Host": "a.example",
        "Request-Id": request_id,
        "Deadline-Ms": "3000",
        "X-Case": case,
    }
    # Equal requests that engines break off are refused after some time.
    address, path = f"{ROUTER}:{CALLER_PORT}", f"/{kind}/{request_id}/{script}"
    try:
        status, answer, _ = call(address, "POST", path, body, headers, timeout_s=5.0)
    except (OSError, HTTPException):
        return request_id, None, None
    return request_id, status, answer


def runs_at(engines, script):
    return sum(name == script for name, _ in engines.sent)


@pytest.mark.parametrize("kind", ["stream", "resumable"])
@pytest.mark.parametrize("script", ["whole", "unframed"])
def test_stream_that_ends_with_its_connection_is_whole(engines, kind, script):
    request_id, status, body = send(kind, script)
    assert (status, body) == (200, b"".join(EVENTS))
    assert engines.runs[request_id] == 1


def test_stream_that_ends_before_its_first_event_is_not_whole(engines):
    """Guards against an empty success when an engine closes after its headers."""
    assert send("stream", "empty")[1] == 502


@pytest.mark.parametrize("script", ["inside", "chunked-inside", "reset"])
def test_stream_that_ends_inside_an_event_is_not_whole(engines, script):
    """Guards against a broken stream that its caller takes for a complete one."""
    request_id, status, _ = send("stream", script)
    assert status is None
    assert engines.runs[request_id] == 1


@pytest.mark.parametrize("script", ["inside", "chunked-inside", "reset"])
def test_stream_that_ends_inside_an_event_is_resumed(engines, script):
    request_id, status, body = send("resumable", script)
    assert (status, body) == (200, b"".join(EVENTS))
    assert engines.runs[request_id] == 2


def test_error_after_a_stream_has_begun_is_not_put_into_it(engines):
    """Guards against the text of an error in the middle of a stream."""
    address = (ROUTER, CALLER_PORT)
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(
            b"POST /resumable/failing HTTP/1.1\r\nHost: a.example\r\n"
            b"Request-Id: f1\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        )
        received = read_until_end(connection)
    assert engines.runs["f1"] == 2
    assert EVENTS[0] in received and EVENTS[1] in received
    assert received.count(b"HTTP/1.1") == 1
    assert b"failed" not in received
    assert not received.endswith(b"0\r\n\r\n")


def read_until_end(connection):
    received = b""
    try:
        while data := connection.recv(65_536):
            received += data
    except ConnectionResetError:
        pass  # A reset ends an answer that is not complete.
    return received


def test_call_that_ends_with_its_connection_is_whole(engines):
    assert send("call", "unframed-call")[1:] == (200, b"answer")


@pytest.mark.parametrize(
    "script", ["reset-call", "half-head", "half-length", "head-without-end"]
)
def test_answer_cut_in_its_head_or_body_is_no_success(engines, script):
    """Guards against a success whose body is empty or short."""
    request_id, status, _ = send("call", script)
    assert (status, engines.runs[request_id]) == (502, 1)
    request_id, status, _ = send("safe", script)
    assert (status, engines.runs[request_id]) == (502, 2)
    assert send("stream", script)[1] in (None, 502)


@pytest.mark.parametrize(
    "script", ["reset-call", "half-head", "half-length", "head-without-end"]
)
def test_call_on_a_resumable_route_runs_once(engines, script):
    """Guards against bookings that run again because of a flag of streams."""
    request_id, status, _ = send("marked-call", script)
    assert (status, engines.runs[request_id]) == (502, 1)


@pytest.mark.parametrize("case", ["id", "no-id"])
def test_refusal_that_is_sent_again_refuses_no_other_request(engines, case):
    """Guards against 'not run' for a request that an engine runs, and a second run."""
    for _ in range(3):
        request_id, status, body = send("call", "repeated", case)
        if engines.runs[request_id]:
            assert engines.runs[request_id] == 1
            assert (status, body) == (200, b"answer") or status == 502
        else:
            assert status == 503
    assert any(engines.runs[f"q{n}"] for n in range(int(request_id[1:]) - 2, 1000))


KINDS = ["call", "safe", "stream"]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("script", ["early-taken", "early-ended"])
def test_answer_before_the_end_of_an_upload_is_whole_if_that_is_taken(
    engines, kind, script
):
    """Guards against sound early answers that count as broken off."""
    request_id, status, body = send(kind, script, body=UPLOAD)
    assert (status, body) == (200, b"".join(EVENTS))
    assert engines.runs[request_id] == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("script", ["early-reset", "early-length", "early-ended-reset"])
def test_answer_of_an_engine_that_breaks_off_an_upload_is_no_success(
    engines, kind, script
):
    """Guards against a part of an answer that its caller takes for the whole one."""
    for _ in range(5):
        request_id, status, _ = send(kind, script, body=UPLOAD)
        assert status in (None, 502)
        assert engines.runs[request_id] == (2 if kind == "safe" else 1)


@pytest.mark.parametrize("kind", [*KINDS, "resumable"])
@pytest.mark.parametrize("ending", ["", "-unframed"])
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_answer_with_an_impossible_status_is_no_answer(engines, status, ending, kind):
    """Guards against a status such as 000 that reaches a caller."""
    assert send(kind, f"status-{status}{ending}")[1] == 502
