"""Guards against callers that end a process by its memory or its descriptors.

The crowd is small and the limits are those of the test's own settings. No test checks
times or a share of served requests.
"""

import json
import re
import selectors
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from mustardtrack.testing.client import call
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    OPERATOR_PORT,
    SeededHosts,
    holds_within,
    put_document,
)
from mustardtrack.testing.subnets import Subnet

pytestmark = pytest.mark.alone

# A router takes about 56 MB at rest, a control process about 60 MB.
MEMORY_MB = 100
MAX_DESCRIPTORS = 200
LIMITS = {"memory_mb": MEMORY_MB, "descriptors": MAX_DESCRIPTORS}
LONGEST_WAIT_S = 20.0
# Time for which a crowd sends, unless all of it is sent before.
CROWD_S = 8.0
# After a crowd has sent everything, the process answers and keeps the answers.
SETTLE_S = 3.0
POLL_S = 0.02
DEADLINE_MS = 20_000
LARGE_BYTES = 3_000_000
MAX_BODY_BYTES = 4_194_304
EVENT = b"data: " + b"x" * 4000 + b"\n\n"


class EndpointHandler(BaseHTTPRequestHandler):
    """Platform's endpoint list, and an endpoint whose answers depend on the path."""

    protocol_version = "HTTP/1.1"
    entries: list[dict[str, object]] = []

    def do_GET(self):  # noqa: N802
        """Answer the list of endpoints, or a request of a caller."""
        if self.headers["Request-Id"] is None:
            self._send(json.dumps({"instances": self.entries}).encode())
        elif self.path.startswith("/event/"):
            self._stream()
        else:
            is_large = self.path.startswith("/large/")
            self._send(b"x" * (LARGE_BYTES if is_large else 10))

    def do_POST(self):  # noqa: N802
        """Answer with the size of the body."""
        left = size = int(self.headers["content-length"] or 0)
        while left:
            left -= len(self.rfile.read(min(left, 65_536)))
        self._send(b"%d" % size)

    def _begin(self):
        self.send_response(200)
        if self.headers["Request-Id"] is not None:
            self.send_header("Request-Id", self.headers["Request-Id"])
            self.send_header("Response-Seal", "x")

    def _send(self, body):
        self._begin()
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self):
        self._begin()
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        while True:
            self.wfile.write(EVENT)

    def handle(self):
        """Serve a connection until the router closes it."""
        try:
            super().handle()
        except OSError:
            pass  # The router has reset the connection.

    def log_message(self, *arguments):
        """Suppress the request log of the server."""


class EndpointServer(ThreadingHTTPServer):
    """Server that accepts the connections of a crowd at once."""

    request_queue_size = 256
    daemon_threads = True


def build_route(prefix, kind):
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": "alone.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 5000,
        "target-gap-ms": 4000,
        "service": "alone",
        "max-attempts": 1,
    }


DOCUMENT = {
    "version": 1,
    "routes": [
        build_route("/large/", "non_idempotent"),
        build_route("/small/", "idempotent"),
        build_route("/event/", "streaming"),
    ],
    "services": [{"name": "alone", "max-connections": 150}],
    "limits": {},
}


def request_head(method, path, *headers):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: alone.example",
        f"Request-Id: crowd{path}".replace("/", "-"),
        f"Deadline-Ms: {DEADLINE_MS}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def body_stopped_short(number):
    head = request_head("POST", "/small/1", f"Content-Length: {MAX_BODY_BYTES}")
    # Every second one stops within its head.
    if number % 2:
        return head[:-2] + b"x-filler: " + b"x" * 15_000
    return head + b"x" * (MAX_BODY_BYTES - 1)


def one_byte_chunks(number):
    head = request_head("POST", "/small/1", "Transfer-Encoding: chunked")
    return head + b"1\r\nx\r\n" * 400_000


# What each connection of a crowd sends without reading, and their number.
CROWDS = {
    "ahead-on-few": (8, lambda number: request_head("GET", "/large/1") * 200),
    "ahead-on-many": (60, lambda number: request_head("GET", "/large/1") * 20),
    "large-answers": (60, lambda number: request_head("GET", "/large/1")),
    "streams": (110, lambda number: request_head("GET", "/event/1")),
    "stopped-short": (60, body_stopped_short),
    "one-byte-chunks": (3, one_byte_chunks),
    "many-headers": (
        60,
        lambda number: (
            request_head("GET", "/event/1")[:-2] + b"a:\r\n" * 3900 + b"\r\n"
        ),
    ),
    "connections": (300, lambda number: b""),
}


class Crowd:
    """Connections that send without reading.

    Args:
        address: Address ``(host, port)`` of the process.
        count: Number of connections.
        build: Returns what the connection with a number sends.
    """

    def __init__(self, address, count, build):
        self._selector = selectors.DefaultSelector()
        self._sockets = []
        for number in range(count):
            one = socket.socket()
            # Small, so that the answers stay in the process.
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            one.setblocking(False)
            one.connect_ex(address)
            self._sockets.append(one)
            data = memoryview(build(number))
            if data:
                self._selector.register(one, selectors.EVENT_WRITE, [data])

    def play(self):
        """Send until everything is sent or the time has passed."""
        ends_s = time.monotonic() + CROWD_S
        while self._selector.get_map() and time.monotonic() < ends_s:
            for key, _ in self._selector.select(POLL_S):
                try:
                    sent = key.fileobj.send(key.data[0][:65_536])
                except BlockingIOError:
                    continue
                except OSError:
                    sent = len(key.data[0])
                key.data[0] = key.data[0][sent:]
                if not key.data[0]:
                    self._selector.unregister(key.fileobj)
        time.sleep(SETTLE_S)

    def close(self):
        """Close all connections."""
        for one in self._sockets:
            one.close()
        self._selector.close()


class ProcessWatch:
    """Peaks of the memory and of the open descriptors of a process."""

    def __init__(self, pid):
        self._folder = Path(f"/proc/{pid}")
        self.descriptors = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._ended.wait(POLL_S):
            try:
                count = len(list((self._folder / "fd").iterdir()))
            except OSError:
                return
            self.descriptors = max(self.descriptors, count)

    def end(self):
        """Return the peak memory in bytes."""
        self._ended.set()
        self._thread.join()
        status = (self._folder / "status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


class Deployment:
    """One control process, one router and one endpoint."""

    def __init__(self, folder):
        self._subnet = Subnet()
        self.control, self.router = (self._subnet.address(n) for n in (11, 21))
        self._server = EndpointServer((self._subnet.address(31), 0), EndpointHandler)
        address = f"{self._subnet.address(31)}:{self._server.server_address[1]}"
        EndpointHandler.entries = [
            {
                "id": "i-1",
                "service": "alone",
                "address": address,
                "zone": "a",
                "slots": 200,
                "state": "ready",
            }
        ]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.hosts = SeededHosts(
            Path(folder), (self.control,), (self.router,), address, limits=dict(LIMITS)
        )

    def __enter__(self):
        self.hosts.start(self.control)
        self.hosts.start(self.router)
        assert holds_within(
            lambda: put_document(self.control, DOCUMENT) == 200, LONGEST_WAIT_S
        )
        assert self.answers_a_request()
        return self

    def __exit__(self, *exception):
        self.hosts.end()
        self._server.shutdown()
        self._server.server_close()
        self._subnet.release()

    def send(self, body, path="/small/1"):
        """Send an ordinary request and return its status and answer."""
        headers = {
            "Host": "alone.example",
            "Request-Id": "ordinary",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        address = f"{self.router}:{CALLER_PORT}"
        return call(address, "POST", path, body, headers, 5.0)[:2]

    def answers_a_request(self):
        """Return whether one ordinary request is answered."""
        expected = (OSError, ValueError)
        return holds_within(
            lambda: self.send(b"x" * 1000) == (200, b"1000"), LONGEST_WAIT_S, expected
        )

    def answers_an_operator(self):
        """Return whether a control process answers an operator."""
        document = {**DOCUMENT, "version": 2}
        return holds_within(
            lambda: put_document(self.control, document) == 200,
            LONGEST_WAIT_S,
            (OSError, ValueError),
        )


def play(deployment, host, port, crowd, answers):
    """Play a crowd against a process and check its bounds while the crowd stays."""
    process = deployment.hosts.running[host]
    watch = ProcessWatch(process.pid)
    callers = Crowd((host, port), *CROWDS[crowd])
    try:
        callers.play()
        is_alive = process.poll() is None
        is_answered = answers()
        memory = watch.end()
    finally:
        callers.close()
    seen = f"{crowd}: {memory / 1e6:.1f} MB, {watch.descriptors} descriptors"
    print(seen)
    assert is_alive, seen
    assert memory < MEMORY_MB * 1_000_000, seen
    assert watch.descriptors <= MAX_DESCRIPTORS, seen
    assert is_answered, seen


@pytest.mark.parametrize("crowd", CROWDS)
def test_router_stays_within_its_limits(crowd, tmp_path):
    """Guards against a router that keeps whatever callers send or leave unread."""
    with Deployment(tmp_path) as deployment:
        router = deployment.router
        answers = deployment.answers_a_request
        play(deployment, router, CALLER_PORT, crowd, answers)


@pytest.mark.parametrize("crowd", ["stopped-short", "connections"])
def test_control_process_stays_within_its_limits(crowd, tmp_path):
    """Guards against a control process whose listener keeps whatever callers send."""
    with Deployment(tmp_path) as deployment:
        control = deployment.control
        answers = deployment.answers_an_operator
        play(deployment, control, OPERATOR_PORT, crowd, answers)


def test_single_request_within_the_limits_is_served(tmp_path):
    """Guards against bounds that refuse the largest request of an ordinary caller."""
    with Deployment(tmp_path) as deployment:
        body = b"x" * MAX_BODY_BYTES
        assert deployment.send(body) == (200, str(MAX_BODY_BYTES).encode())
