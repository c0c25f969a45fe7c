"""Starts a whole example deployment as separate processes on loopback."""

import os
import subprocess
import sys
import time
import urllib.parse
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from mustardtrack.testing.client import call, read_stream
from mustardtrack.testing.fleet import Fleet, Member

OPERATOR_TOKEN = "example-operator-token"
READY_LIMIT_S = 20.0
PARALLEL_STARTS = 6
ROOT = Path(__file__).parents[2]


def wait_until(condition: Callable[[], Any], limit_s: float = 60.0) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold within the limit, which is far above any
            time that a working system needs on a busy machine.
    """
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("condition does not hold")
        time.sleep(0.05)


def new_key() -> str:
    """Return a new idempotency key, a UUID of version 7."""
    value = int(time.time() * 1000) << 80 | uuid.uuid4().int & ((1 << 80) - 1)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


@dataclass
class Deployment:
    """Processes of one deployment, with addresses of its own.

    Args:
        fleet: Starts and ends the processes.
        name: ``stenaprav`` or ``zwolle``.
        controls: Number of control replicas.
        routers: Number of routers.
        settings: Replaces keys of the example settings, for example ``timing``.
        router_folders: Whether routers keep a cache file of the configuration.
    """

    fleet: Fleet
    name: str = "stenaprav"
    controls: int = 3
    routers: int = 8
    settings: dict[str, Any] = field(default_factory=dict)
    router_folders: bool = False
    members: dict[str, Member] = field(default_factory=dict)
    _moved: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._base = self._read("router-1")
        self._base["control"] = self._base["control"][: self.controls]
        self._base["routers"] = self._base["routers"][: self.routers]
        for peer in self._base["control"] + self._base["routers"]:
            for key in ("bus", "operators", "callers"):
                if key in peer:
                    peer[key] = self._move(peer[key])
        self._base.pop("platform_hosts_url", None)
        self._base.update(self.settings)

    def start_endpoints(self, *options: str) -> None:
        """Start the stand-in engines and services."""
        lines = [line for line in self._lines() if line.startswith("create endpoint")]
        with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
            members = pool.map(lambda line: self._start_endpoint(line, options), lines)
        self.members.update((member.name, member) for member in members)

    def _start_endpoint(self, line: str, options: tuple[str, ...]) -> Member:
        words = line.split()
        fields = dict(word.split("=", 1) for word in words[3:])
        address = self._move(fields["address"])
        if fields["kind"] == "service":
            journal = str(self.fleet.folder / f"{words[2]}.journal")
            return self.fleet.start_service(
                words[2], "--journal", journal, address=address
            )
        model = ("--model", f"{fields['serves']}={self.weights_version}")
        return self.fleet.start_engine(words[2], *model, *options, address=address)

    def start_control(self) -> None:
        """Start the control replicas and form their group."""
        self._start_all("control", "control")
        self.tool("form")

    def start_routers(self) -> None:
        """Start the routers."""
        self._start_all("router", "routers")

    def _start_all(self, role: str, key: str) -> None:
        for peer in self._base[key]:
            self.start_daemon(role, peer, wait=False)
        for peer in self._base[key]:
            self.members[peer["name"]].wait_ready()

    def start_daemon(
        self, role: str, peer: dict[str, str], wait: bool = True
    ) -> Member:
        """Start one daemon; its data folder stays the same over restarts."""
        settings = {**self._base, "role": role, "name": peer["name"]}
        if role == "control" or self.router_folders:
            settings["data_folder"] = str(self.data_folder(peer["name"]))
        path = self.fleet.folder / f"{peer['name']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        address = peer.get("callers", peer["operators"])
        member = self.fleet.start_daemon(peer["name"], path, address, wait=wait)
        self.members[peer["name"]] = member
        return member

    def restart(self, name: str, wait: bool = True) -> Member:
        """Start an ended daemon again."""
        for role, key in (("control", "control"), ("router", "routers")):
            for peer in self._base[key]:
                if peer["name"] == name:
                    return self.start_daemon(role, peer, wait)
        raise KeyError(name)

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a control replica."""
        return self.fleet.folder / f"{name}.data"

    def configure(self) -> None:
        """Apply the example objects with the addresses in use."""
        path = self.fleet.folder / "objects.mt"
        lines = [self._translate(line) for line in self._lines()]
        path.write_text("\n".join(lines) + "\n")
        self.tool("apply", f"@{path}")

    def start(self, *engine_options: str) -> None:
        """Start everything and wait until requests can be served."""
        self.start_endpoints(*engine_options)
        self.start_control()
        self.configure()
        self.start_routers()
        self.wait_until_up()

    def wait_until_up(self) -> None:
        """Wait until each router sees all endpoints and all routers up."""
        deadline = time.monotonic() + READY_LIMIT_S
        for peer in self._base["routers"]:
            while not self._sees_all(peer["operators"]):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{peer['name']} does not see everything up")
                time.sleep(0.1)

    def _sees_all(self, operators: str) -> bool:
        endpoints = self.query("show endpoints", operators)
        hosts = self.query("show hosts", operators)
        up = [row for row in hosts if row["state"] == "up"]
        return len(up) == self.routers and all(
            row["state"] == "up" for row in endpoints
        )

    def command(self, text: str, operators: str = "", command_id: str = "") -> Any:
        """Send one command or query; returns status and decoded body."""
        address = operators or self._base["control"][0]["operators"]
        body = {"text": text, "operator": "test"}
        body["command_id"] = command_id or str(uuid.uuid4())
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call(address, "POST", "/operator/command", body, headers)[:2]

    def query(self, text: str, operators: str = "") -> list[dict[str, Any]]:
        """Return the rows of a query."""
        status, body = self.command(text, operators)
        if status != 200:
            raise RuntimeError(f"{text}: {body}")
        return list(body["rows"])

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of one daemon."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return dict(
            call(self.operators(name), "GET", "/operator/status", None, headers)[1]
        )

    def operators(self, name: str) -> str:
        """Return the operator address of a daemon."""
        peers = self._base["control"] + self._base["routers"]
        return str(next(peer["operators"] for peer in peers if peer["name"] == name))

    def bus(self, name: str) -> str:
        """Return the bus address of a daemon."""
        peers = self._base["control"] + self._base["routers"]
        return str(next(peer["bus"] for peer in peers if peer["name"] == name))

    def move_bus(self, name: str, address: str) -> None:
        """Let daemons that start from now on reach a daemon at another address."""
        for peer in self._base["control"] + self._base["routers"]:
            if peer["name"] == name:
                peer["bus"] = address

    def callers(self, number: int = 1) -> str:
        """Return the caller address of a router, numbered from 1."""
        return str(self._base["routers"][number - 1]["callers"])

    def tool(self, *arguments: str, limit_s: float = 60) -> str:
        """Run the command-line tool and return its output.

        Raises:
            RuntimeError: If it fails.
        """
        operators = ",".join(peer["operators"] for peer in self._base["control"])
        environment = {
            **os.environ,
            "MUSTARDTRACK_OPERATORS": operators,
            "MUSTARDTRACK_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "PYTHONPATH": str(ROOT),
        }
        code = (
            "import sys; from mustardtrack.command.application import main;"
            "sys.exit(main())"
        )
        done = subprocess.run(
            [sys.executable, "-c", code, *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=limit_s,
        )
        if done.returncode:
            raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
        return done.stdout

    @property
    def accounts(self) -> list[str]:
        """Names of the client accounts."""
        words = [line.split() for line in self._lines()]
        return [word[2] for word in words if word[:2] == ["create", "account"]]

    @property
    def model(self) -> str:
        """Name of the model."""
        words = [line.split() for line in self._lines()]
        return next(word[2] for word in words if word[:2] == ["create", "model"])

    @property
    def weights_version(self) -> str:
        """Version of the weights."""
        line = next(one for one in self._lines() if one.startswith("create model"))
        return line.split("weights_version=")[1].split()[0]

    @property
    def service(self) -> str:
        """Name of the plain service."""
        line = next(one for one in self._lines() if "kind=service" in one)
        return line.split("serves=")[1].split()[0]

    def headers(self, account: str = "", **more: str) -> dict[str, str]:
        """Return the headers of a caller of a client account."""
        key = f"example-key-{account or self.accounts[0]}"
        return {"Authorization": f"Bearer {key}", **more}

    def stream(
        self, prompt: str, tokens: int = 8, router: int = 1, **headers: str
    ) -> list[dict[str, Any]]:
        """Send a streamed completion and return its events."""
        body = {
            "model": self.model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        return list(
            read_stream(
                self.callers(router), "/v1/completions", body, self.headers(**headers)
            )
        )

    def book(
        self, body: Any, key: str = "", router: int = 1, **headers: str
    ) -> tuple[int, Any, dict[str, str]]:
        """Send a booking and return status, body and headers."""
        path = f"/v1/services/{urllib.parse.quote(self.service)}/bookings"
        all_headers = {**self.headers(**headers), "Idempotency-Key": key or new_key()}
        return call(self.callers(router), "POST", path, body, all_headers)

    def _read(self, name: str) -> dict[str, Any]:
        path = ROOT / "examples" / self.name / f"{name}.yaml"
        return dict(yaml.safe_load(path.read_text()))

    def _lines(self) -> list[str]:
        path = ROOT / "examples" / self.name / "objects.mt"
        return path.read_text().splitlines()

    def _move(self, address: str) -> str:
        """Return the free address that stands for an address of the examples."""
        if address not in self._moved:
            self._moved[address] = self.fleet.free_address()
        return self._moved[address]

    def _translate(self, line: str) -> str:
        words = line.split()
        return " ".join(
            f"address={self._move(word[8:])}" if word.startswith("address=") else word
            for word in words
        )
