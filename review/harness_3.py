"""Harness of the cases of the third review: deployment, platform, engines, client.

It uses the standard library only. The daemons are separate processes that are started
with the command of the deploy file, with settings rendered from its template. Engines
and the platform's list are stand-ins in a thread of the script; every address is a
loopback address.
"""

import asyncio
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TEMPLATE = ROOT / "deploy" / "settings.yaml.tmpl"
COMMAND = ("-m", "mustardtrack.process.daemon", "--config")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, DIRECTORY, BUS = 18782, 18789, 18783, 18780, 17340
RESERVATION = 18701
ENGINE_PORT = 18080
ROUTE_HOST, KEY = "desk.example", "k1"
# Bounds of the small sites, as their pages state them.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-timeout-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "downgrade-slack-ms": 250,
    "max-skew-ms": 5000,
    "strict-revocation": True,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-min-retries": 56,
    "recovery-s": 12,
    "transit-ms": 120,
    "reuse-window-s": 10,
    "fencing-required": False,
    "lease-ms": 3000,
    "thaw-slack-ms": 300,
    "version-ms": 15000,
    "version-all-ms": 21000,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, in ``record.txt`` beside the script."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the script."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
            self._file.flush()


def render(fields: dict[str, Any]) -> str:
    """Render the settings template; it has only ``{{path}}`` and ``{{path|json}}``."""

    def replace(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: Any = fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, TEMPLATE.read_text())


class Deployment:
    """Three control hosts and some routers, one loopback address each."""

    def __init__(self, record: Record, router_count: int):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._reserve()
        self.controls = [self.address(number) for number in (11, 12, 13)]
        self.routers = [self.address(21 + number) for number in range(router_count)]
        self.list_address = f"{self.address(31)}:18784"
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.seeds = [f"{control}:{CONTROL}" for control in self.controls]

    def _reserve(self) -> None:
        for octet in range(10, 250):
            try:
                address = (f"127.0.{octet}.1", RESERVATION)
                self._reservation = socket.create_server(address)
            except OSError:
                continue
            self._octet = octet
            return
        raise CannotRunError("no free loopback subnet")

    def address(self, number: int) -> str:
        """Return the address of a host of the subnet."""
        return f"127.0.{self._octet}.{number}"

    def data_folder(self, host: str) -> Path:
        """Return the data folder of a control host."""
        return self.folder / f"data-{host}"

    def _fields(self, host: str, is_first: bool) -> dict[str, Any]:
        is_router = host in self.routers
        listen = {"control": f"{host}:{CONTROL}", "directory": f"{host}:{DIRECTORY}"}
        if is_router:
            listen = {"front": f"{host}:{FRONT}", "ready": f"{host}:{READY}"}
        data = None if is_router else str(self.data_folder(host))
        return {
            "role": "router" if is_router else "control",
            "node-name": host,
            "zone": "a",
            "ip": host,
            "seeds": self.seeds,
            "bootstrap": is_first,
            "internal-ports": [BUS, BUS + 15],
            "data-dir": data,
            "cloud": {
                "address": self.list_address,
                "rate-per-s": 44.0,
                "max-lag-ms": 800,
            },
            "listen": listen,
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "limits": {
                "memory-mb": 300,
                "max-fds": 4096,
                "link-mbps": 1000.0,
                "cpu-share": 1.0,
                "cores": 1,
            },
        }

    def start(self, host: str, is_first: bool = True) -> None:
        """Start the daemon of a host."""
        path = self.folder / f"{host}.yaml"
        path.write_text(render(self._fields(host, is_first)))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        with (self.folder / f"{host}.log").open("ab") as log:
            self.running[host] = subprocess.Popen(
                [sys.executable, *COMMAND, str(path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_all(self, manifest: dict[str, Any]) -> None:
        """Start all daemons, put the first manifest and wait until routers serve."""
        for host in (*self.controls, *self.routers):
            self.start(host)
        self.put(manifest)
        wait_until(lambda: all(self.is_ready(one) for one in self.routers), 20)
        time.sleep(1.0)

    def put(self, manifest: dict[str, Any]) -> None:
        """Put a manifest as the operator does, until it is acknowledged."""
        self._order("/v1/config/put", manifest)
        version = manifest["version"]
        self.record.write(f"operator: manifest {version} acknowledged")

    def name_weights(self, model: str, version: int) -> None:
        """Name new weights as the operator does, until it is acknowledged."""
        self._order("/v1/version-put", {"model": model, "version": version})
        self.record.write(f"operator: weights {model} {version} acknowledged")

    def _order(self, path: str, body: dict[str, Any]) -> None:
        deadline_s = time.monotonic() + 20
        number = 0
        while time.monotonic() < deadline_s:
            host = self.controls[number % len(self.controls)]
            number += 1
            try:
                status, _, _ = call(
                    host, CONTROL, "POST", path, json.dumps(body).encode(), {}, 1.0
                )
            except (OSError, http.client.HTTPException):
                status = 0
            if 200 <= status < 300:
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRunError(f"{path} was refused with {status}")
            time.sleep(0.2)
        raise CannotRunError(f"{path} was not acknowledged")

    def is_ready(self, router: str) -> bool:
        """Return whether a router says that it is ready."""
        try:
            return call(router, READY, "GET", "/v1/ready", b"", {}, 1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def end(self) -> None:
        """End all daemons and remove the folder."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if "KEEP" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._reservation.close()


def wait_until(condition: Callable[[], bool], limit_s: float) -> None:
    """Poll a condition until it is true.

    Raises:
        CannotRunError: If it is not true in time.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(0.1)
    raise CannotRunError("the deployment did not get ready")


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> tuple[int, bytes, dict[str, str]]:
    """Send one request on a new channel; return status, body and headers."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, data, {k.lower(): v for k, v in response.getheaders()}
    finally:
        connection.close()


def build_route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a manifest to the service ``desk``."""
    route = {
        "name": f"r-{kind}",
        "host": ROUTE_HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 1000,
        "target-latency-ms": 125,
        "priority": 2,
        "service": "desk",
        "max-attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {**route, **changes}


def build_service(name: str = "desk", **changes: Any) -> dict[str, Any]:
    """Return a service of a manifest."""
    service = {
        "name": name,
        "health-path": "/health",
        "max-connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    return {**service, **changes}


def build_manifest(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the first manifest of a deployment with one tenant."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t1", "api-keys": [KEY], "priority": 1}],
    }


def build_entry(engine_id: str, address: str, **changes: Any) -> dict[str, Any]:
    """Return the platform's entry of an engine of the service ``desk``."""
    entry = {
        "id": engine_id,
        "service": "desk",
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-remaining-ms": 0,
        "born": 1700000000000,
    }
    return {**entry, **changes}


class Client:
    """Sends requests on channels of their own and records the answers."""

    def __init__(self, record: Record, routers: list[str]):
        self._record = record
        self._routers = routers
        self._threads: list[threading.Thread] = []
        self.sent = 0
        self.failed = 0

    def send(
        self,
        name: str,
        number: int,
        target: str,
        method: str = "POST",
        deadline_ms: int = 1000,
        headers: dict[str, str] | None = None,
        patience_s: float | None = None,
    ) -> int:
        """Send one request and return its status, 0 if it has no answer.

        Args:
            name: Request id.
            number: Selects the router.
            target: Path and query.
            method: HTTP method.
            deadline_ms: Time budget.
            headers: Further headers.
            patience_s: Time after which the client leaves, None for its time budget.
        """
        fields = {
            "Host": ROUTE_HOST,
            "Request-Id": name,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        router = self._routers[number % len(self._routers)]
        body = b"" if method == "GET" else b"{}"
        limit_s = deadline_ms / 1000 + 1 if patience_s is None else patience_s
        self._record.write(f"client: sends {name} to {router}")
        try:
            status, _, _ = call(router, FRONT, method, target, body, fields, limit_s)
            self._record.write(f"client: {name} is answered {status}")
        except (OSError, http.client.HTTPException) as error:
            status = 0
            self._record.write(f"client: {name} has no answer: {error!r}")
        self.sent += 1
        self.failed += status != 200
        return status

    def begin(self, *arguments: Any, **options: Any) -> None:
        """Send one request in the background."""
        self.start(lambda: self.send(*arguments, **options))

    def start(self, work: Callable[[], Any]) -> None:
        """Run a function in the background."""
        thread = threading.Thread(target=work)
        thread.start()
        self._threads.append(thread)

    def join(self) -> None:
        """Wait until all work in the background has ended."""
        for thread in self._threads:
            thread.join()


@dataclass
class Request:
    """Request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = field(default_factory=time.monotonic)


Answer = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class StandIns:
    """HTTP stand-ins in a thread of their own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._servers: dict[tuple[str, int], asyncio.Server] = {}
        self._writers: dict[tuple[str, int], set[asyncio.StreamWriter]] = {}

    def listen(self, host: str, port: int, answer: Answer) -> None:
        """Start a stand-in at an address."""
        self._call(self.open(host, port, answer))

    def _call(self, work: Any) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    async def open(self, host: str, port: int, answer: Answer) -> None:
        """Start a stand-in from its own thread."""
        key = (host, port)
        writers = self._writers.setdefault(key, set())

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.add(writer)
            try:
                while True:
                    await answer(await read_request(reader), writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writers.discard(writer)
                writer.close()

        self._servers[key] = await asyncio.start_server(
            serve, host, port, reuse_address=True
        )

    def crash(self, host: str, port: int) -> None:
        """Close a stand-in and reset its channels; call it in its own thread."""
        server = self._servers.pop((host, port), None)
        if server is not None:
            server.close()
        for writer in list(self._writers.get((host, port), ())):
            reset(writer)

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the thread of the stand-ins."""
        asyncio.run_coroutine_threadsafe(work, self._loop)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel; a close without unread bytes would end it in order."""
    handle = writer.get_extra_info("socket")
    if handle is not None:
        linger = struct.pack("ii", 1, 0)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a body of a known length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> None:
    """Write a complete response with a length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode("latin-1") + body)


def respond_booked(writer: asyncio.StreamWriter, request: Request) -> None:
    """Write the answer of a sound engine that ran a request."""
    name = request.headers.get("request-id", "")
    fields = [("Request-Id", name), ("Response-Seal", f"s-{name}")]
    respond(writer, 200, fields, b"done")


async def answer_soundly(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer as a sound engine whose identity isn't checked."""
    respond_booked(writer, request)
    await writer.drain()


def respond_not_executed(
    writer: asyncio.StreamWriter, status: int, request: Request
) -> None:
    """Write the answer of an engine that does not run a request."""
    name = request.headers.get("request-id", "")
    respond(writer, status, [("Not-Executed", "1"), ("Request-Id", name)], b"")


def respond_json(writer: asyncio.StreamWriter, status: int, data: Any) -> None:
    """Write a response with a JSON body."""
    body = json.dumps(data).encode()
    respond(writer, status, [("Content-Type", "application/json")], body)


class PlatformList:
    """The platform's list of instances.

    Args:
        entries: Returns what it shows; bytes are an entry as another writer left it.
    """

    def __init__(self, entries: Callable[[], Sequence[dict[str, Any] | bytes]]):
        self._entries = entries

    def listen(self, deployment: Deployment, stand_ins: StandIns) -> None:
        """Serve the list at the address in the settings."""
        host, _, port = deployment.list_address.partition(":")
        stand_ins.listen(host, int(port), self.answer)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        encoded = [
            entry if isinstance(entry, bytes) else json.dumps(entry).encode()
            for entry in self._entries()
        ]
        body = b'{"instances": [%s], "next-token": null}' % b", ".join(encoded)
        respond(writer, 200, [("Content-Type", "application/json")], body)
        await writer.drain()


def run_case(main: Callable[[Record, Deployment, StandIns], bool], path: str) -> int:
    """Run a case and return its exit code.

    Args:
        main: Runs the case with a deployment and returns whether the rule held.
        path: Path of the script.
    """
    record = Record(Path(path).resolve().parent)
    record.write(f"TROUBLE={int(HAS_TROUBLE)}")
    deployment = None
    try:
        deployment = Deployment(record, router_count=4)
        has_held = main(record, deployment, StandIns())
    except (CannotRunError, OSError) as error:
        record.write(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        if deployment is not None:
            deployment.end()
    record.write("rule held" if has_held else "rule BROKEN")
    return HELD if has_held else BROKEN
