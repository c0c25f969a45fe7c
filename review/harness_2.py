"""Stand-ins and processes of the scripts 6 to 10 of the second review.

A script starts three control hosts and some routers with the commands of the deploy
file, on loopback addresses of their own, with settings rendered from the template of
the deploy file. The platform, the engines and the clients are small stand-ins that run
in the script itself, on one event loop.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
MODULE = ["python3", "-m", "mustardtrack.process.daemon", "--config"]
OPERATOR_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT = 18783, 18780, 18782, 18789
BUS_PORT, METRICS_PORT = 17340, 9464
START_LIMIT_S = 30.0
HELD, BROKEN, UNUSABLE = 0, 1, 2
# Values of the sheet of stenaprav-host.
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
MAX_LAG_MS = 800
Headers = dict[str, str]


class UnusableError(Exception):
    """The case could not run; this says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path):
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self.began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def render_settings(fields: dict[str, Any]) -> str:
    """Fill in the template of the deploy file as the platform does."""
    template = (ROOT / "deploy" / "settings.yaml.tmpl").read_text()

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for key in match[1].split("."):
            found = found.get(key) if isinstance(found, dict) else None
        return json.dumps(found)

    return re.sub(r"\{\{([A-Za-z0-9_.-]+)\|json\}\}", value, template)


def free_subnet() -> str:
    """Return the first three octets of loopback addresses whose ports are free."""
    for octet in random.SystemRandom().sample(range(2, 250), 60):
        hosts = [f"127.0.{octet}.{last}" for last in (11, 12, 13, 14, 15, 21, 22)]
        ports = (OPERATOR_PORT, FRONT_PORT, READY_PORT, BUS_PORT, METRICS_PORT)
        try:
            for host in hosts:
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((host, port))
        except OSError:
            continue
        return f"127.0.{octet}"
    raise UnusableError("no free loopback addresses")


@dataclass
class Answer:
    """Answer to a call; status 0 if none came, ``is_whole`` if it was complete."""

    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a new channel and return the answer."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            answer.body = await read_body(reader, answer.headers)
            answer.is_whole = True
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    return answer


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


class Platform:
    """Stand-in of the platform's list of engines.

    Attributes:
        entries: Encoded entries by a name of their own; kept in this order.
        reads_s: Times at which the list was read.
    """

    def __init__(self, host: str, record: Record):
        self._host = host
        self._record = record
        self.entries: dict[str, bytes] = {}
        self.reads_s: list[float] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def put(self, name: str, entry: dict[str, Any] | bytes) -> None:
        """Set an entry of the list."""
        is_raw = isinstance(entry, bytes)
        self.entries[name] = entry if is_raw else json.dumps(entry).encode()
        self._record.add(f"list: entry {name} is {self.entries[name].decode()}")

    def remove(self, name: str) -> None:
        """Remove an entry from the list."""
        if self.entries.pop(name, None) is not None:
            self._record.add(f"list: entry {name} is gone")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await read_head(reader)
                self.reads_s.append(self._record.now_s())
                listed = b",".join(self.entries.values())
                body = b'{"instances":[' + listed + b'],"next-token":null}'
                length = {"Content-Length": str(len(body))}
                kind = {"Content-Type": "application/json"}
                writer.write(encode_head(200, {**kind, **length}) + body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass
class Arrival:
    """Request that reached an engine."""

    at_s: float
    engine: str
    instance: str
    line: str
    headers: Headers
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.headers.get("request-id", "")


class Engine:
    """Stand-in engine that answers whole and in time; cases override ``run``.

    Attributes:
        name: Name of its entry on the list.
        instance: Its id, new with each start.
        version: Weights version, None for a plain service.
        arrivals: Requests that reached all engines, shared.
    """

    slots = 6

    def __init__(
        self,
        name: str,
        service: str,
        platform: Platform,
        record: Record,
        arrivals: list[Arrival],
        host: str,
        version: int | None = None,
    ):
        self.name, self.service, self.version = name, service, version
        self.platform, self.record, self.arrivals = platform, record, arrivals
        self.boot = 0
        self.seq = 0
        self.state = "ready"
        self.address = ""
        self._host = host
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def instance(self) -> str:
        """Return the id of this start."""
        return f"i-{self.name}-{self.boot}"

    def entry(self) -> dict[str, Any]:
        """Return the entry of this engine on the platform's list."""
        models = [{"name": "m", "version": self.version, "adapters": []}]
        return {
            "id": self.instance,
            "service": self.service,
            "address": self.address,
            "zone": "sofia-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "stage": "colocated",
            "models": models if self.version is not None else [],
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Listen, and appear on the list."""
        self.boot += 1
        self.seq = 0
        self.born_ms = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{self._port}"
        self.record.add(f"engine {self.instance} starts at {self.address}")
        self.platform.put(self.name, self.entry())

    def crash(self, back_after_s: float) -> None:
        """Reset all channels, and come back as a new start."""
        if self._server is None:
            return
        self.record.add(f"engine {self.instance} crashes")
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        task = asyncio.ensure_future(self._return(back_after_s))
        TASKS.add(task)
        task.add_done_callback(TASKS.discard)

    def leave(self) -> None:
        """End for good."""
        if self._server is not None:
            self.record.add(f"engine {self.instance} has left")
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.close()

    async def _return(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._answer(line, headers, body, reader, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        line: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        echo = {"Request-Id": headers.get("request-id", "")}
        if headers.get("expect-instance", self.instance) != self.instance:
            refusal = {**echo, "Not-Executed": "1", "Content-Length": "0"}
            writer.write(encode_head(421, refusal))
            return
        if " /v1/" in line:
            await self.control(line, headers, body, writer)
            return
        arrival = Arrival(
            self.record.now_s(), self.name, self.instance, line, headers, body
        )
        self.arrivals.append(arrival)
        self.record.add(f"engine {self.instance} gets {arrival.request_id} {line}")
        await self.run(arrival, writer)

    async def control(
        self, line: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call of the leader: reports, events and lists of cached parts."""
        answer = {"boot-epoch": self.boot, "next-token": 0, "born": self.born_ms}
        if "/v1/report" in line:
            models = [{"name": "m", "version": self.version, "adapters": []}]
            answer = {"models": models, "busy": False, "seq": self.seq, **answer}
        elif "/v1/kv-events" in line:
            await asyncio.sleep(int(headers.get("wait-ms", "0")) / 1000)
            answer = {**answer, "lost": False, "events": []}
        elif "/v1/kv-list" in line:
            answer = {**answer, "held": []}
        data = json.dumps(answer).encode()
        kind = {"Content-Type": "application/json", "Content-Length": str(len(data))}
        writer.write(encode_head(200, kind) + data)

    async def run(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it whole."""
        await asyncio.sleep(0.015)
        self.answer_whole(arrival, writer, b"done")

    def answer_whole(
        self, arrival: Arrival, writer: asyncio.StreamWriter, body: bytes
    ) -> None:
        """Answer with a body of known length."""
        head = {**self.seal(arrival), "Content-Length": str(len(body))}
        writer.write(encode_head(200, head) + body)

    def seal(self, arrival: Arrival) -> Headers:
        """Return the headers of each answer of an engine."""
        return {"Request-Id": arrival.request_id, "Response-Seal": "3e1b.07"}

    def begin_stream(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Send the head of a stream."""
        head = {
            **self.seal(arrival),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, head))

    def send_event(self, number: int, writer: asyncio.StreamWriter) -> None:
        """Send one event of a stream."""
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))


TASKS: set[asyncio.Future[Any]] = set()


class Deployment:
    """Control hosts and routers of a small deployment."""

    def __init__(self, platform: Platform, record: Record, subnet: str, routers: int):
        self.platform, self.record = platform, record
        self.controls = [f"{subnet}.{last}" for last in (11, 12, 13)]
        self.routers = [f"{subnet}.{last}" for last in range(21, 21 + routers)]
        self._folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def folder(self) -> Path:
        """Return the temporary folder."""
        return Path(self._folder.name)

    def _fields(self, host: str, bootstrap: bool) -> dict[str, Any]:
        is_router = host in self.routers
        listen = {
            "front": f"{host}:{FRONT_PORT}",
            "ready": f"{host}:{READY_PORT}",
        }
        if not is_router:
            listen = {
                "control": f"{host}:{OPERATOR_PORT}",
                "directory": f"{host}:{DIRECTORY_PORT}",
            }
        return {
            "role": "router" if is_router else "control",
            "node-name": host,
            "zone": "sofia-a",
            "ip": host,
            "seeds": [f"{one}:{OPERATOR_PORT}" for one in self.controls],
            "bootstrap": bootstrap,
            "internal-ports": [BUS_PORT, BUS_PORT + 15],
            "data-dir": None if is_router else str(self.folder / host),
            "cloud": {"address": self.platform.address, "max-lag-ms": MAX_LAG_MS},
            "listen": listen,
            "fault-tolerance": {"machines": 1},
            "bounds": BOUNDS,
            "limits": {
                "memory-mb": 300 if is_router else 296,
                "max-fds": 4096,
                "link-mbps": 1000.0,
                "cpu-share": 1.0,
                "cores": 1,
            },
        }

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Start the process of a host with the command of the deploy file."""
        path = self.folder / f"{host}.yaml"
        path.write_text(render_settings(self._fields(host, bootstrap)))
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        python_path = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [*MODULE, str(path)],
                cwd=ROOT,
                env={**kept, "PYTHONPATH": python_path, "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"process of {host} starts")

    async def start_all(self, manifest: dict[str, Any]) -> None:
        """Start all processes, and wait until they serve under a manifest."""
        for host in (*self.controls, *self.routers):
            self.start(host, bootstrap=True)
        await self.until(lambda: self.put_manifest(manifest), "manifest acknowledged")
        await self.until(self.are_ready, "routers ready")

    async def until(self, condition: Callable[[], Any], what: str) -> None:
        """Wait until a condition holds.

        Raises:
            UnusableError: If it does not hold in time.
        """
        end_s = time.monotonic() + START_LIMIT_S
        while not await condition():
            if time.monotonic() > end_s:
                raise UnusableError(f"not in time: {what}")
            await asyncio.sleep(0.1)
        self.record.add(what)

    async def put_manifest(self, manifest: dict[str, Any]) -> bool:
        """Send a manifest; return whether a control host acknowledged it."""
        return await self.order("/v1/config/put", manifest)

    async def order(self, path: str, content: dict[str, Any]) -> bool:
        """Send an order of the operator; return whether it was acknowledged."""
        body = json.dumps(content).encode()
        for host in self.controls:
            address = f"{host}:{OPERATOR_PORT}"
            kind = {"Content-Type": "application/json"}
            answer = await call(address, "POST", path, kind, body, 2.0)
            if answer.status == 200:
                self.record.add(f"operator: {path} acknowledged by {host}")
                return True
        return False

    async def are_ready(self) -> bool:
        """Return whether all routers say that they are ready."""
        checks = [
            await call(f"{one}:{READY_PORT}", "GET", "/v1/ready", None, b"", 1.0)
            for one in self.routers
        ]
        return all(check.status == 200 for check in checks)

    def exited(self) -> list[str]:
        """Return the hosts whose process has ended by itself."""
        return [one for one, p in self.processes.items() if p.poll() is not None]

    def leader(self) -> str:
        """Return the running control host that became leader last, by the logs."""
        terms = {}
        for host in self.controls:
            log = (self.folder / f"{host}.log").read_text(errors="replace")
            found = re.findall(r'"role": "leader", "term": (\d+)', log)
            terms[host] = max(map(int, found), default=0)
        return max(terms, key=terms.__getitem__)

    def end(self) -> None:
        """Kill all processes that were started, and remove the folder."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
        if kept := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the manifest for the paths below ``/NAME/``."""
    return {
        "name": name,
        "host": "a.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 6000,
        "target-latency-ms": 1000,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "target-gap-ms": 400,
        **more,
    }


def manifest(
    version: int, routes: Iterable[dict[str, Any]], services: Iterable[dict[str, Any]]
) -> dict[str, Any]:
    """Return a manifest with one tenant."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "t1", "api-keys": ["key-of-t1"], "priority": 1, "isolated": False}
        ],
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without a model, as the manifest describes it."""
    return {"name": name, "health-path": "/health", "max-connections": 110}


def model_service(name: str) -> dict[str, Any]:
    """Return a service of model engines, as the manifest describes it."""
    engine = {
        "slots": 64,
        "kv-capacity-tokens": 168549,
        "kv-token-bytes": 35136,
        "link-mbps": 180000.0,
        "moves": True,
        "backups": True,
        "stride": 3,
        "max-in-flight": 12,
        "pin-ms": 4000.0,
        "hold-ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "max-connections": 370, "engine": engine}


def request_headers(request_id: str, deadline_ms: int, **more: str) -> Headers:
    """Return the headers of a client's request."""
    return {
        "Host": "a.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-of-t1",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def run_case(folder: Path, case: Callable[[Record], Any]) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)
    result = UNUSABLE
    try:
        result = asyncio.run(_run_limited(case, record))
    except (UnusableError, TimeoutError, OSError) as error:
        record.add(f"could not run: {error!r}")
    names = {HELD: "held", BROKEN: "BROKEN", UNUSABLE: "could not run"}
    record.add(f"result: {names[result]}")
    record.write()
    print(f"{folder.name}: {names[result]}")
    sys.exit(result)


async def _run_limited(case: Callable[[Record], Any], record: Record) -> int:
    async with asyncio.timeout(116):
        result = await case(record)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return int(result)
