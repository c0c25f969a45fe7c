"""Stand-ins and process control that the cases of this review share.

It needs the standard library only. The daemons are started with the command of
``deploy/system.toml``, with settings rendered from the template of the deploy file,
on loopback addresses of a block that is drawn at each run. Each address stands for a
machine, so that all machines have the same ports, as on the platform.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
METRICS_PORT = 9464
START_LIMIT_S = 25.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Values of the sheet of the installation "Stenaprav Hosted Partition Hire Platform".
BOUNDS = {
    "grace-s": 8,
    "contact-ms": 3000,
    "revoke-ms": 5000,
    "lease-ms": 3000,
    "ttl_max_s": 5,
    "version-ms": 15_000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-min-retries": 56,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """File that lists what was sent, answered and run, with times in seconds."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the begin of the record."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _lookup(fields: dict[str, Any], key: str) -> Any:
    value: Any = fields
    for part in key.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def render_settings(fields: dict[str, Any]) -> str:
    """Render the settings template of the project as the platform does."""
    template = (ROOT / "deploy/settings.yaml.tmpl").read_text(encoding="utf-8")
    return re.sub(
        r"\{\{([^|}]+)\|json\}\}",
        lambda match: json.dumps(_lookup(fields, match[1])),
        template,
    )


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Machine:
    """One machine of the system and its process."""

    def __init__(self, system: "System", name: str, role: str, host: str, zone: str):
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self._system = system
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = system.folder / f"{name}.log"
        self.starts = 0

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    def start(self, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        system = self._system
        path = system.folder / f"{self.name}.yaml"
        path.write_text(render_settings(system.fields_of(self, bootstrap)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"][self.role]["run"].split()
        words = [sys.executable if word == "python3" else word for word in words]
        words = [str(path) if word.startswith("/etc/") else word for word in words]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(system.folder),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "MUSTARDTRACK_BOOT": str(path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        system.record.write(f"{self.name} started, pid {self.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self._system.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process exists."""
        return self.process is not None and self.process.poll() is None

    async def wait_exit(self, limit_s: float) -> int:
        """Wait for the end of the process and return its exit code."""
        end_s = time.monotonic() + limit_s
        while self.is_running():
            if time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} did not end within {limit_s} s")
            await asyncio.sleep(0.02)
        assert self.process is not None and self.process.returncode is not None
        code = self.process.returncode
        self._system.record.write(f"{self.name} ended, exit code {code}")
        return code

    def log_lines(self) -> list[str]:
        """Return the lines that the process has logged."""
        return self.log_path.read_text(errors="replace").splitlines()


class System:
    """The processes of a deployment, the platform's list and the operator."""

    def __init__(self, folder: Path, record: Record, bounds: dict[str, Any]):
        self.folder, self.record = folder, record
        self.bounds = BOUNDS | bounds
        self._rng = random.Random()
        self.controls: list[Machine] = []
        self.routers: list[Machine] = []
        self.engines: dict[str, dict[str, Any]] = {}
        self._server: asyncio.Server | None = None
        self._draw_addresses()

    def _draw_addresses(self) -> None:
        for _ in range(200):
            block = f"127.{self._rng.randint(16, 250)}.{self._rng.randint(1, 250)}"
            base = self._rng.randint(20_000, 30_000)
            ports = [METRICS_PORT, *range(base, base + 40)]
            hosts = [f"{block}.{number}" for number in (11, 12, 13, 21, 22, 99)]
            if all(_is_free(host, port) for host in hosts for port in ports):
                self.block, self.base = block, base
                return
        raise CannotRunError("no free loopback addresses")

    def fields_of(self, machine: Machine, bootstrap: bool) -> dict[str, Any]:
        """Return the fields that the platform fills into the template."""
        is_control = machine.role == "control"
        listen = {
            "front": f"{machine.host}:{self.base}",
            "ready": f"{machine.host}:{self.base + 1}",
        }
        if is_control:
            listen = {
                "control": f"{machine.host}:{self.base + 2}",
                "directory": f"{machine.host}:{self.base + 3}",
            }
        fields: dict[str, Any] = {
            "node-name": machine.name,
            "role": machine.role,
            "zone": machine.zone,
            "ip": machine.host,
            "seeds": [f"{one.host}:{self.base + 2}" for one in self.controls[:3]],
            "bootstrap": bootstrap,
            "internal-ports": [self.base + 10, self.base + 25],
            "listen": listen,
            "fault-tolerance": {"machines": 1},
            "bounds": self.bounds,
            "cloud": {"address": self.list_address, "max-lag-ms": 800},
        }
        if is_control:
            fields["data-dir"] = str(self.folder / f"data-{machine.name}")
        return fields

    @property
    def list_address(self) -> str:
        """Address of the platform's list of engines."""
        return f"{self.block}.99:{self.base + 4}"

    async def start(self, routers: int) -> None:
        """Start the list, three control machines and some routers."""
        host, port = self.list_address.split(":")
        self._server = await asyncio.start_server(self._serve_list, host, int(port))
        zones = ("zone-a", "zone-b", "zone-c")
        for number in range(3):
            host, zone = f"{self.block}.{11 + number}", zones[number]
            self.controls.append(
                Machine(self, f"core-{number + 1}", "control", host, zone)
            )
        for number in range(routers):
            host, zone = f"{self.block}.{21 + number}", zones[number % 3]
            self.routers.append(
                Machine(self, f"edge-{number + 1}", "router", host, zone)
            )
        for machine in (*self.controls, *self.routers):
            machine.start(bootstrap=True)

    async def end(self) -> None:
        """End all processes that were started."""
        for machine in (*self.controls, *self.routers):
            if machine.is_running():
                assert machine.process is not None
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in (*self.controls, *self.routers):
            if machine.process is not None:
                machine.process.wait(10)
        if self._server is not None:
            self._server.close()

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_request(reader) is not None:
                entries = list(self.engines.values())
                body = json.dumps({"instances": entries, "next-token": None}).encode()
                writer.write(encode_response(200, [], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def put_manifest(self, manifest: dict[str, Any], limit_s: float) -> None:
        """Send a manifest to one control machine after another until it is acked."""
        body = json.dumps(manifest).encode()
        end_s = time.monotonic() + limit_s
        for number in range(10_000):
            machine = self.controls[number % 3]
            try:
                status, _, _ = await asyncio.wait_for(
                    call(
                        machine.host,
                        self.base + 2,
                        "POST",
                        "/v1/config/put",
                        [("Content-Type", "application/json")],
                        body,
                    ),
                    1.0,
                )
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                version = manifest["version"]
                self.record.write(f"{machine.name} acks manifest {version}")
                return
            if time.monotonic() > end_s:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError("no control machine acknowledges the manifest")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a router answers the platform's question with 200."""
        try:
            status, _, _ = await asyncio.wait_for(
                call(machine.host, self.base + 1, "GET", "/v1/ready", [], b""), 1.0
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self) -> None:
        """Wait until all routers are ready.

        Raises:
            CannotRunError: If they are not ready in time.
        """
        end_s = time.monotonic() + START_LIMIT_S
        for machine in self.routers:
            while not await self.is_ready(machine):
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{machine.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.write("all routers are ready")

    def leader(self) -> Machine | None:
        """Return the control machine that leads, as its log says."""
        found: tuple[int, Machine] | None = None
        for machine in self.controls:
            if not machine.is_running():
                continue
            for line in machine.log_lines():
                if '"event": 8301' not in line:
                    continue
                is_leader = '"role": "leader"' in line
                term = re.search(r'"term": (\d+)', line)
                number = int(term[1]) if term else 0
                if is_leader and (found is None or number > found[0]):
                    found = (number, machine)
        return found[1] if found else None


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes, reason: str = "X"
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Request:
    """A request as a stand-in received it; header names are in lower case."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a channel, None at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new channel and return the answer.

    Raises:
        EOFError: If the channel ends without a complete answer.
        OSError: If the channel breaks.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {host}:{port}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await _read_head(reader)
        if head is None:
            raise EOFError("the channel ended without an answer")
        status = int(head[0].split(" ", 2)[1])
        content = await reader.readexactly(int(head[1].get("content-length", "0")))
        return status, head[1], content
    finally:
        writer.close()


class Engine:
    """Stand-in for an engine of a plain service.

    It works on ``slots`` requests at once, queues a few more and rejects others with
    503 and ``Not-Executed``. A request that is in ``poison`` crashes it as soon as it
    begins to run: all channels are reset, and it starts again after ``down_s`` with a
    new id at the same address.
    """

    def __init__(
        self,
        system: System,
        name: str,
        number: int,
        service: str,
        slots: int,
        queue: int,
        work_s: float,
        poison: str = "",
        down_s: float = 2.0,
    ):
        self.system, self.name, self.service = system, name, service
        self.host, self.port = f"{system.block}.{31 + number}", system.base + 30
        self.slots, self.work_s = slots, work_s
        self.poison, self.down_s = poison, down_s
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[tuple[float, str]] = []
        self._queue = queue
        self._waiting = 0
        self._running = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.id = ""

    async def start(self) -> None:
        """Start a new boot, which the platform's list shows."""
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self._free, self._waiting, self._running = asyncio.Semaphore(self.slots), 0, 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.system.engines.pop(self.name, None)
        self.system.engines[self.name] = {
            "id": self.id,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "born": int(time.time() * 1000),
        }
        self.system.record.write(f"{self.name} serves as {self.id}")

    async def stop(self) -> None:
        """End the engine and reset its channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def _crash(self, request: Request) -> None:
        self.crashes.append((self.system.record.now_s(), request.id))
        lost = self._running + self._waiting - 1
        self.system.record.write(
            f"{self.name} begins {request.id} and crashes; {lost} others are lost"
        )
        task = asyncio.ensure_future(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await self.stop()
        await asyncio.sleep(self.down_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        boot = self.id
        echo = [("Request-Id", request.id)]
        if request.headers.get("expect-instance", boot) != boot:
            headers = [*echo, ("Not-Executed", "1"), ("Instance-Id", boot)]
            writer.write(encode_response(421, headers, b""))
            return
        self.arrivals.append((self.system.record.now_s(), request.id))
        load = f"{self._running},{self._waiting},{self.slots}"
        if self._running >= self.slots and self._waiting >= self._queue:
            self.system.record.write(f"{self.name} rejects {request.id}")
            headers = [*echo, ("Not-Executed", "1"), ("Instance-Load", load)]
            writer.write(encode_response(503, headers, b""))
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            if self.poison and request.target == self.poison:
                self._crash(request)
                await asyncio.sleep(3600)
            self.system.record.write(f"{self.name} runs {request.id}")
            await asyncio.sleep(self.work_s)
            self._running -= 1
        load = f"{self._running},{self._waiting},{self.slots}"
        headers = [*echo, ("Response-Seal", f"{boot}.{request.id}")]
        headers.append(("Instance-Load", load))
        if boot == self.id:
            writer.write(encode_response(200, headers, f"done {request.id}".encode()))
            await writer.drain()


def new_id() -> str:
    """Return a new id of a client attempt."""
    return uuid.uuid4().hex[:16]


def play(case: Path, main: Callable[[System, Record, bool], Awaitable[int]]) -> int:
    """Play a case and return the exit code of its script.

    Args:
        case: Folder of the case.
        main: Plays the case; its last argument is whether the disruption happens.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        return NOT_RUN

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            system = System(Path(folder), record, {})
            try:
                return await asyncio.wait_for(main(system, record, with_trouble), 110)
            finally:
                await system.end()

    try:
        code = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.close()
    return code
