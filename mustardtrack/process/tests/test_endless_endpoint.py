"""Guards against a router that runs out of memory while an endpoint sends without end.

The bench cannot play such an endpoint.
"""

import json
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
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

# Memory that a router may use.
MAX_ROUTER_BYTES = 128 * 1000 * 1000
LONGEST_WAIT_S = 20.0
DEADLINE_MS = 2500
CALLERS = 12
# At once, for the peak of the memory only. Together, bodies below the limit of a single
# one would not fit into the memory.
MANY_CALLERS = 200
# Memory that a control host may use.
MAX_CONTROL_BYTES = 150 * 1000 * 1000
ENDLESS_ENGINES = 60
CONTROL_WATCH_S = 12.0
TRICKLE_PERIOD_S = 0.3
# A time limit ends a request at the deadline; the rest is a margin for a busy machine.
TRICKLE_LIMIT_S = 2.5 + 1.0
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: x\r\n"
KIB = b"x" * 1024
# The rest of the head and the part that is repeated, by the prefix of the path.
ENDLESS = {
    b"/length/": (b"Content-Length: 1000000000000\r\n\r\n", KIB),
    b"/plain/": (b"\r\n", KIB),
    b"/event/": (b"Content-Type: text/event-stream\r\n\r\n", b"data: x\n"),
    b"/trickled-header/": (b"x-filler: ", b"x"),
    b"/trickled-headers/": (b"", b"x-filler: x\r\n"),
    b"/trickled-chunk-size/": (b"Transfer-Encoding: chunked\r\n\r\n1;", b"x"),
    b"/trickled-body/": (b"\r\n", b"x"),
    b"/trickled-event/": (b"Content-Type: text/event-stream\r\n\r\n", b"data: x\n"),
    # Calls of the leader for reports and cache events.
    b"/v1/": (b"\r\n", KIB),
}
TRICKLES = {
    "/trickled-header/": "idempotent",
    "/trickled-headers/": "non_idempotent",
    "/trickled-chunk-size/": "idempotent",
    "/trickled-body/": "non_idempotent",
    "/trickled-event/": "streaming",
}


class EndlessEndpoint:
    """Endpoint that sends until its peer closes the connection.

    Attributes:
        targets: Targets of the requests that it received.
    """

    def __init__(self, host: str):
        self.targets: set[bytes] = set()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._answer, args=[connection], daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        try:
            request = connection.recv(65_536)
            request_id = re.search(rb"(?i)request-id: *(\S+)", request)
            path = request.split(b" ")[1]
            self.targets.add(path)
            head, part = next(
                answer for prefix, answer in ENDLESS.items() if path.startswith(prefix)
            )
            connection.sendall(HEAD % (request_id[1] if request_id else b"") + head)
            while path.startswith(b"/trickled-"):
                connection.sendall(part)
                time.sleep(TRICKLE_PERIOD_S)
            while True:
                connection.sendall(part * (16_384 // len(part)))
        except (OSError, IndexError):
            connection.close()


class ListHandler(BaseHTTPRequestHandler):
    """Platform's endpoint list and a sound endpoint."""

    protocol_version = "HTTP/1.1"
    entries: list[dict[str, object]] = []

    def do_GET(self):  # noqa: N802
        """Answer the list of endpoints."""
        self._send(json.dumps({"instances": self.entries}).encode(), {})

    def do_POST(self):  # noqa: N802
        """Answer a request."""
        body = self.rfile.read(int(self.headers["content-length"] or 0))
        seal = {"Request-Id": self.headers["Request-Id"], "Response-Seal": "x"}
        self._send(body, seal)

    def _send(self, body, headers):
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Suppress the request log of the server."""


class ListServer(ThreadingHTTPServer):
    """Server that accepts the connections of all callers at once."""

    request_queue_size = 128


def list_entry(name, service, address):
    return {
        "id": name,
        "service": service,
        "address": address,
        "zone": "a",
        "slots": 6,
        "state": "ready",
    }


def build_route(prefix, kind, service):
    return {
        "name": f"r{prefix.replace('/', '-')}{service}",
        "host": f"{service}.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 500,
        "target-gap-ms": 400,
        "service": service,
        "max-attempts": 2,
    }


def send(router, service, prefix, number):
    """Send a request and return its status and duration."""
    headers = {
        "Host": f"{service}.example",
        "Request-Id": f"{service}{prefix}{number}".replace("/", "-"),
        "Deadline-Ms": str(DEADLINE_MS),
    }
    started_s = time.monotonic()
    try:
        status, _, _ = call(
            f"{router}:{CALLER_PORT}",
            "POST",
            f"{prefix}{number}",
            {"number": number},
            headers=headers,
            timeout_s=2 * DEADLINE_MS / 1000,
        )
    except (OSError, ValueError) as error:
        status = repr(error)
    return status, time.monotonic() - started_s


def send_many(router, service, prefix, count):
    with ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(send, router, service, prefix, number)
            for number in range(1, count + 1)
        ]
        return [one.result() for one in calls]


def peak_memory_bytes(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


def play(folder):
    """Send requests to endless endpoints and return what callers and router saw."""
    with Subnet() as subnet:
        endless = EndlessEndpoint(subnet.address(31))
        server = ListServer((subnet.address(32), 0), ListHandler)
        sound = f"{subnet.address(32)}:{server.server_address[1]}"
        ListHandler.entries = [
            list_entry("i-1", "alone", endless.address),
            list_entry("i-2", "mixed", endless.address),
            list_entry("i-3", "mixed", sound),
        ]
        threading.Thread(target=server.serve_forever, daemon=True).start()
        control, router = subnet.address(11), subnet.address(21)
        hosts = SeededHosts(Path(folder), (control,), (router,), sound)
        routes = [
            build_route("/length/", "idempotent", service)
            for service in ("alone", "mixed")
        ]
        routes.append(build_route("/plain/", "non_idempotent", "alone"))
        routes.append(build_route("/event/", "streaming", "alone"))
        routes += [build_route(path, TRICKLES[path], "alone") for path in TRICKLES]
        services = [
            {"name": name, "max-connections": 300} for name in ("alone", "mixed")
        ]
        document = {"version": 1, "routes": routes, "services": services, "limits": {}}
        try:
            hosts.start(control)
            hosts.start(router)
            assert holds_within(
                lambda: put_document(control, document) == 200, LONGEST_WAIT_S
            )
            assert holds_within(
                lambda: send(router, "mixed", "/length/", 0)[0] in (200, 502),
                LONGEST_WAIT_S,
            )
            pid = hosts.running[router].pid
            results = {"before": peak_memory_bytes(pid)}
            for route in routes:
                service, prefix = route["service"], route["path-prefix"]
                key = f"{service}{prefix}"
                results[key] = send_many(router, service, prefix, CALLERS)
            results["many"] = send_many(router, "alone", "/length/", MANY_CALLERS)
            results["peak"] = peak_memory_bytes(pid)
            results["runs"] = hosts.running[router].poll() is None
            return results
        finally:
            hosts.end()
            server.shutdown()


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    return play(tmp_path_factory.mktemp("endless"))


def test_router_stays_within_its_memory(results):
    assert results["runs"]
    assert results["peak"] < MAX_ROUTER_BYTES, results


def test_requests_end_before_their_deadline(results):
    """Guards against callers held while an answer without end is read."""
    for key in ("alone/length/", "alone/plain/", "alone/event/", "mixed/length/"):
        for status, duration_s in results[key]:
            assert status in (200, 502, 503), results[key]
            assert duration_s < DEADLINE_MS / 1000, results[key]


def test_repeatable_requests_are_answered_by_the_sound_endpoint(results):
    answered = [status for status, _ in results["mixed/length/"] if status == 200]
    assert answered, results["mixed/length/"]


def test_answer_that_trickles_ends_at_the_deadline(results):
    """Guards against callers held by an endpoint that sends a byte now and then."""
    for prefix in TRICKLES:
        for status, duration_s in results[f"alone{prefix}"]:
            assert isinstance(status, int), results[f"alone{prefix}"]
            assert status in (502, 503, 504), results[f"alone{prefix}"]
            assert duration_s < TRICKLE_LIMIT_S, results[f"alone{prefix}"]


def test_control_host_stays_within_its_memory(tmp_path):
    """Guards against a leader whose calls to engines get answers without end."""
    with Subnet() as subnet:
        endless = EndlessEndpoint(subnet.address(31))
        server = ListServer((subnet.address(32), 0), ListHandler)
        platform = f"{subnet.address(32)}:{server.server_address[1]}"
        models = [{"name": "m", "version": 1}]
        ListHandler.entries = [
            {**list_entry(f"i-{number}", "alone", endless.address), "models": models}
            for number in range(ENDLESS_ENGINES)
        ]
        threading.Thread(target=server.serve_forever, daemon=True).start()
        control = subnet.address(11)
        hosts = SeededHosts(tmp_path, (control,), (), platform)
        document = {
            "version": 1,
            "routes": [build_route("/length/", "idempotent", "alone")],
            "services": [{"name": "alone", "max-connections": 300}],
            "limits": {},
        }
        try:
            hosts.start(control)
            assert holds_within(
                lambda: put_document(control, document) == 200, LONGEST_WAIT_S
            )
            operators = f"{control}:{OPERATOR_PORT}"
            order = {"model": "m", "version": 2}
            status, _, _ = call(operators, "POST", "/v1/version-put", order)
            assert status == 200
            time.sleep(CONTROL_WATCH_S)
            assert put_document(control, {**document, "version": 2}) == 200
            assert peak_memory_bytes(hosts.running[control].pid) < MAX_CONTROL_BYTES
            assert endless.targets >= {b"/v1/report", b"/v1/kv-events?since=0"}
        finally:
            hosts.end()
            server.shutdown()
