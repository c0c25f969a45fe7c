"""Process tests of a router that gets SIGTERM while callers send requests.

Guards against requests that a stopping router accepts and then cuts.
"""

import http.client
import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    STOP_TIMEOUT_S,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

SUBNET = Subnet()
CONTROL = SUBNET.address(11)
ROUTER = SUBNET.address(21)
ENDPOINT = SUBNET.address(31)
START_LIMIT_S = 20.0
STREAM_LIMIT_MS = 12_000
GRACE_S = 8.0
EVENT_INTERVAL_S = 0.25
# Larger than the socket buffers of both sides.
# A little below the limit of an endpoint's response.
LARGE_BODY = b"x" * 4_190_000
READ_BYTES = 65_536
# Calls at every moment of the grace period, and the time that each takes.
STEP_S = 0.1
CALL_S = 0.5
CALL_LIMIT_MS = 1500
# Time for which a stopping router accepts every call.
WITHDRAWAL_S = 2.0


class SlowEndpoint(BaseHTTPRequestHandler):
    """Endpoint whose answers take the seconds given in the request body."""

    protocol_version = "HTTP/1.1"
    address = ""
    ran: list[str] = []
    disconnected: dict[str, float] = {}

    def do_GET(self):  # noqa: N802
        """Answer the list of endpoints."""
        entry = {
            "id": "i-1",
            "service": "s1",
            "address": self.address,
            "zone": "a",
            "slots": 20,
            "state": "ready",
        }
        self._respond(json.dumps({"instances": [entry]}).encode())

    def do_POST(self):  # noqa: N802
        """Run a request."""
        seconds = float(self.rfile.read(int(self.headers["content-length"])))
        request_id = self.headers["Request-Id"]
        self.ran.append(request_id)
        if self.path.startswith("/stream/"):
            self._stream(seconds)
        else:
            self._wait(seconds)
            self._respond(LARGE_BODY if self.path.endswith("large") else b"done")

    def _stream(self, seconds):
        self.send_response(200)
        self._send_identity()
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, int(seconds / EVENT_INTERVAL_S) + 1):
            self._write_chunk(b"id: %d\ndata: x\n\n" % number)
            self._wait(EVENT_INTERVAL_S)
        self._write_chunk(b"")

    def _wait(self, seconds):
        """Wait for some time, or until the router closes the connection."""
        self.connection.settimeout(max(seconds, 0.01))
        try:
            self.connection.recv(1)
        except TimeoutError:
            self.connection.settimeout(None)
            return
        except OSError:
            pass  # The router reset the connection.
        self.disconnected[self.headers["Request-Id"]] = time.monotonic()
        raise ConnectionAbortedError

    def _write_chunk(self, data):
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _send_identity(self):
        self.send_header("Request-Id", self.headers["Request-Id"] or "")
        self.send_header("Response-Seal", "x")

    def _respond(self, body):
        self.send_response(200)
        self._send_identity()
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Suppress the request log of the server."""


class QuietServer(ThreadingHTTPServer):
    """Server that does not report closed connections."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore the error."""


class Caller:
    """Caller with one kept connection to the router."""

    def __init__(self):
        self.connection = http.client.HTTPConnection(ROUTER, CALLER_PORT, timeout=20)

    def send(self, request_id, path, seconds, deadline_ms=STREAM_LIMIT_MS):
        """Send a request; return status, body and headers, or the error."""
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": "Bearer k1",
        }
        try:
            body = str(seconds).encode()
            self.connection.request("POST", path, body, headers)
            response = self.connection.getresponse()
            return response.status, response.read(), dict(response.headers)
        except (OSError, http.client.HTTPException) as error:
            return None, repr(error), {}


def document():
    kinds = {"/stream/": "streaming", "/call/": "non_idempotent"}
    routes = [
        {
            "name": f"r{prefix.strip('/')}",
            "host": "a.example",
            "path-prefix": prefix,
            "kind": kind,
            "timeout-ms": STREAM_LIMIT_MS,
            "service": "s1",
            "max-attempts": 1,
        }
        for prefix, kind in kinds.items()
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": "s1", "max-connections": 50}],
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    }


def stream(seconds):
    """Return the body of a whole stream."""
    count = int(seconds / EVENT_INTERVAL_S)
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, count + 1))


def log_lines(hosts, event):
    """Return the router's log lines of an event."""
    text = (hosts.folder / f"{ROUTER}.log").read_text()
    return [json.loads(line) for line in text.splitlines() if f": {event}," in line]


@pytest.fixture
def hosts(tmp_path):
    server = QuietServer((ENDPOINT, 0), SlowEndpoint)
    SlowEndpoint.address = f"{ENDPOINT}:{server.server_address[1]}"
    SlowEndpoint.ran = []
    SlowEndpoint.disconnected = {}
    threading.Thread(target=server.serve_forever, daemon=True).start()
    deployment = SeededHosts(tmp_path, (CONTROL,), (ROUTER,), SlowEndpoint.address)
    for host in (CONTROL, ROUTER):
        deployment.start(host)
    try:
        assert holds_within(
            lambda: put_document(CONTROL, document()) == 200, START_LIMIT_S
        )
        assert holds_within(lambda: deployment.is_ready(ROUTER), START_LIMIT_S)
        yield deployment
    finally:
        deployment.end()
        server.shutdown()
        server.server_close()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(10) as executor:
        yield executor


def test_late_request_that_cannot_end_in_time_is_refused(hosts, pool):
    """Guards against streams that begin late in a planned stop and are cut by it."""
    assert Caller().send("warm", "/call/1", 0)[0] == 200
    connected = Caller()
    connected.connection.connect()
    hosts.send_signal(ROUTER, signal.SIGTERM)
    time.sleep(1.0)
    early = pool.submit(Caller().send, "early", "/stream/1", 5.0)
    time.sleep(3.0)
    late = [
        pool.submit(connected.send, "late-connected", "/stream/1", 5.0),
        pool.submit(Caller().send, "late-new", "/stream/1", 5.0),
    ]
    short = pool.submit(Caller().send, "short", "/call/1", 1.0, 1800)
    for answer in late:
        status, _, headers = answer.result()
        assert status == 503
        assert headers["connection"].lower() == "close"
        assert float(headers["retry-after"]) < 1
    assert short.result()[:2] == (200, b"done")
    assert early.result()[:2] == (200, stream(5.0))
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 0
    assert sorted(SlowEndpoint.ran) == ["early", "short", "warm"]
    ended = {line["request"]: line for line in log_lines(hosts, 8951)}
    assert ended["late-new"]["reason"] == "stopping"
    assert ended["late-new"]["stopping_ms"] >= 3900
    assert ended["early"]["stopping_ms"] >= 5900
    assert ended["warm"]["stopping_ms"] is None
    assert len(log_lines(hosts, 8954)) == 1


def test_kept_connections_are_closed_once_the_router_is_withdrawn(hosts):
    """Guards against callers that use a stopping router while others could serve."""
    kept, unused = Caller(), socket.create_connection((ROUTER, CALLER_PORT))
    assert kept.send("warm", "/call/1", 0)[0] == 200
    hosts.send_signal(ROUTER, signal.SIGTERM)
    kept_socket = kept.connection.sock
    kept_socket.settimeout(2.0)
    assert kept_socket.recv(1) == b""
    # A caller that has just connected is about to send its request.
    unused.settimeout(0.5)
    with pytest.raises(TimeoutError):
        unused.recv(1)
    unused.close()
    assert Caller().send("new", "/call/1", 0)[:2] == (200, b"done")
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 0


def test_request_that_outlasts_the_stop_gets_an_explicit_answer(hosts, pool):
    """Guards against sent requests whose connection is closed without an answer."""
    hosts.send_signal(ROUTER, signal.SIGTERM)
    time.sleep(1.0)
    call = pool.submit(Caller().send, "call", "/call/1", 10.0)
    cut = pool.submit(Caller().send, "cut", "/stream/1", 10.0)
    assert call.result()[0] == 502
    status, error, _ = cut.result()
    assert status is None
    assert "IncompleteRead" in error or "ConnectionReset" in error
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 1
    answered_s = time.monotonic()
    assert sorted(SlowEndpoint.disconnected) == ["call", "cut"]
    assert max(SlowEndpoint.disconnected.values()) < answered_s
    assert log_lines(hosts, 8204)[0]["interrupted"] == ["call", "cut"]
    notes = {line["request"]: line["note"] for line in log_lines(hosts, 8951)}
    assert set(notes) == {"call", "cut"}
    assert all("planned stop" in note for note in notes.values())


@contextmanager
def request_large_response():
    """Send a request for a large response and return the connection."""
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
        connection.settimeout(10)
        connection.connect((ROUTER, CALLER_PORT))
        connection.sendall(
            b"POST /call/large HTTP/1.1\r\nHost: a.example\r\nRequest-Id: large\r\n"
            b"Deadline-Ms: 2800\r\nAuthorization: Bearer k1\r\n"
            b"Content-Length: 1\r\n\r\n0"
        )
        yield connection


def read_slowly(seconds):
    """Send a request for a large response and read it in about these seconds."""
    with request_large_response() as connection:
        received = bytearray()
        started_s = time.monotonic()
        while data := connection.recv(READ_BYTES):
            received += data
            due_s = started_s + seconds * len(received) / len(LARGE_BODY)
            time.sleep(max(0.0, due_s - time.monotonic()))
    return bytes(received)


def test_response_that_is_still_being_sent_is_completed(hosts, pool):
    """Guards against responses cut because the process ends while it sends them."""
    hosts.send_signal(ROUTER, signal.SIGTERM)
    # A router without open requests ends 4 s after the signal; about 15% of the
    # response are still in its buffers then.
    time.sleep(3.8)
    received = pool.submit(read_slowly, 2.8).result()
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) == len(LARGE_BODY)
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 0


def test_response_that_the_caller_does_not_read_counts_as_interrupted(hosts):
    """Guards against a stop that waits without end or reports a cut as clean."""
    with request_large_response():
        hosts.send_signal(ROUTER, signal.SIGTERM)
        started_s = time.monotonic()
        assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 1
        assert time.monotonic() - started_s < GRACE_S
    assert log_lines(hosts, 8955)[0]["requests"] == ["large"]
    assert log_lines(hosts, 8204)[0]["interrupted"] == ["large"]


def test_second_signal_answers_open_requests_before_the_process_ends(hosts, pool):
    """Guards against open requests that a second signal ends without an answer."""
    call = pool.submit(Caller().send, "call", "/call/1", 6.0)
    assert holds_within(lambda: "call" in SlowEndpoint.ran, START_LIMIT_S)
    hosts.send_signal(ROUTER, signal.SIGTERM)
    time.sleep(1.0)
    hosts.send_signal(ROUTER, signal.SIGTERM)
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 1
    assert call.result()[0] == 502
    assert log_lines(hosts, 8204)[0]["interrupted"] == ["call"]
    assert log_lines(hosts, 8951)[0]["stopping_ms"] < 2000


def test_two_signals_at_once_end_an_idle_router(hosts):
    """Guards against a second signal that fails because the stop has not begun."""
    hosts.send_signal(ROUTER, signal.SIGTERM)
    hosts.send_signal(ROUTER, signal.SIGINT)
    assert hosts.running[ROUTER].wait(timeout=3) == 0
    assert not log_lines(hosts, 8204)


def send_during_grace(number, is_connected_before):
    """Send a call after a tenth of a second per number; return its answer.

    The answer is None if no connection could be opened.
    """
    caller = Caller()
    start_s = number * STEP_S
    try:
        if is_connected_before:
            time.sleep(max(0.0, start_s - STEP_S))
            caller.connection.connect()
            time.sleep(min(start_s, STEP_S))
        else:
            time.sleep(start_s)
            caller.connection.connect()
    except ConnectionRefusedError:
        return None
    return caller.send(f"n{number}", "/call/1", CALL_S, CALL_LIMIT_MS)


@pytest.mark.parametrize("is_connected_before", [False, True])
def test_calls_at_every_moment_of_the_grace_are_answered(hosts, is_connected_before):
    """Guards against calls that are taken late in a planned stop and then cut."""
    count = round(GRACE_S / STEP_S)
    with ThreadPoolExecutor(count) as callers:
        hosts.send_signal(ROUTER, signal.SIGTERM)
        pending = [
            callers.submit(send_during_grace, number, is_connected_before)
            for number in range(count)
        ]
        answers = [answer.result() for answer in pending]
    assert hosts.running[ROUTER].wait(timeout=STOP_TIMEOUT_S) == 0
    statuses = {
        f"n{number}": answer[0] for number, answer in enumerate(answers) if answer
    }
    unanswered = {
        number: answer[1]
        for number, answer in enumerate(answers)
        if answer and answer[0] is None
    }
    assert not unanswered
    served = {name for name, status in statuses.items() if status == 200}
    refused = {name for name, status in statuses.items() if status == 503}
    assert served <= set(SlowEndpoint.ran)
    assert not refused.intersection(SlowEndpoint.ran)
    # Calls that can end in time are served after the withdrawal too.
    assert any(int(name[1:]) * STEP_S > WITHDRAWAL_S for name in served)
