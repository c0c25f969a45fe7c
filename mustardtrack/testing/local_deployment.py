"""Runs a complete example deployment as separate processes on loopback."""

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
from mustardtrack.testing.fleet import Fleet, FleetProcess

OPERATOR_TOKEN = "example-operator-token"
READY_LIMIT_S = 20.0
PARALLEL_STARTS = 6
ROOT = Path(__file__).parents[2]


def wait_until(condition: Callable[[], Any], limit_s: float = 60.0) -> None:
    """Poll until a condition is true.

    The default limit is far longer than a working system needs on a busy machine.

    Raises:
        TimeoutError: If the condition is still false at the limit.
    """
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition still false after {limit_s} s")
        time.sleep(0.05)


def new_idempotency_key() -> str:
    """Return a new idempotency key (a version 7 UUID)."""
    value = int(time.time() * 1000) << 80 | uuid.uuid4().int & ((1 << 80) - 1)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


@dataclass
class Deployment:
    """Processes of one example deployment on newly allocated loopback addresses.

    Args:
        fleet: Starts and stops the processes.
        name: Name of the example, ``stenaprav`` or ``zwolle``.
        controls: Number of control replicas.
        routers: Number of routers.
        settings: Overrides for keys of the example settings, such as ``timing``.
        router_data_folders: Whether routers cache the configuration in a data folder.
        engines: Maximum number of engines.
        services: Maximum number of plain services.
    """

    fleet: Fleet
    name: str = "stenaprav"
    controls: int = 3
    routers: int = 8
    settings: dict[str, Any] = field(default_factory=dict)
    router_data_folders: bool = False
    engines: int = 16
    services: int = 16
    members: dict[str, FleetProcess] = field(default_factory=dict)
    _assigned_addresses: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._base_settings = self._load_example_settings("router-1")
        self._base_settings["control"] = self._base_settings["control"][: self.controls]
        self._base_settings["routers"] = self._base_settings["routers"][: self.routers]
        for peer in self._base_settings["control"] + self._base_settings["routers"]:
            for key in ("bus", "operators", "callers"):
                if key in peer:
                    peer[key] = self._assign_address(peer[key])
        self._base_settings.pop("platform_hosts_url", None)
        self._base_settings.update(self.settings)

    def start_endpoints(self, *options: str) -> None:
        """Start the stand-in engines, with command-line options, and services."""
        lines = [
            line
            for line in self._object_commands()
            if line.startswith("create endpoint")
        ]
        with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
            members = pool.map(lambda line: self._start_endpoint(line, options), lines)
        self.members.update((member.name, member) for member in members)

    def _start_endpoint(self, line: str, options: tuple[str, ...]) -> FleetProcess:
        words = line.split()
        fields = dict(word.split("=", 1) for word in words[3:])
        address = self._assign_address(fields["address"])
        if fields["kind"] == "service":
            journal = str(self.fleet.folder / f"{words[2]}.journal")
            return self.fleet.start_service(
                words[2], "--journal", journal, address=address
            )
        model = ("--model", f"{fields['serves']}={self.weights_version}")
        return self.fleet.start_engine(words[2], *model, *options, address=address)

    def start_control(self) -> None:
        """Start the control replicas and form the cluster."""
        self._start_all("control", "control")
        self.run_tool("form")

    def start_routers(self) -> None:
        """Start the routers."""
        self._start_all("router", "routers")

    def _start_all(self, role: str, key: str) -> None:
        for peer in self._base_settings[key]:
            self.start_daemon(role, peer, wait=False)
        for peer in self._base_settings[key]:
            self.members[peer["name"]].wait_ready()

    def start_daemon(
        self, role: str, peer: dict[str, str], wait: bool = True
    ) -> FleetProcess:
        """Start one daemon; its data folder is reused after a restart."""
        settings = {**self._base_settings, "role": role, "name": peer["name"]}
        if role == "control" or self.router_data_folders:
            settings["data_folder"] = str(self.data_folder(peer["name"]))
        path = self.fleet.folder / f"{peer['name']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        address = peer.get("callers", peer["operators"])
        member = self.fleet.start_daemon(peer["name"], path, address, wait=wait)
        self.members[peer["name"]] = member
        return member

    def restart(self, name: str, wait: bool = True) -> FleetProcess:
        """Restart a daemon that has exited.

        Raises:
            KeyError: If the deployment has no daemon of this name.
        """
        for role, key in (("control", "control"), ("router", "routers")):
            for peer in self._base_settings[key]:
                if peer["name"] == name:
                    return self.start_daemon(role, peer, wait)
        raise KeyError(name)

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a daemon."""
        return self.fleet.folder / f"{name}.data"

    def configure(self) -> None:
        """Create the configuration objects of the example, with the new addresses."""
        path = self.fleet.folder / "objects.mt"
        lines = [self._replace_addresses(line) for line in self._object_commands()]
        path.write_text("\n".join(lines) + "\n")
        self.run_tool("apply", f"@{path}")

    def start(self, *engine_options: str) -> None:
        """Start all processes and wait until requests can be served."""
        self.start_endpoints(*engine_options)
        self.start_control()
        self.configure()
        self.start_routers()
        self.wait_until_up()

    def wait_until_up(self) -> None:
        """Wait until every router reports all endpoints and all routers as up.

        Raises:
            TimeoutError: If a router does not within ``READY_LIMIT_S``.
        """
        deadline = time.monotonic() + READY_LIMIT_S
        for peer in self._base_settings["routers"]:
            while not self._sees_all_up(peer["operators"]):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{peer['name']} does not report all endpoints and routers as "
                        f"up after {READY_LIMIT_S} s"
                    )
                time.sleep(0.1)

    def _sees_all_up(self, operators: str) -> bool:
        endpoints = self.query("show endpoints", operators)
        hosts = self.query("show hosts", operators)
        up = [row for row in hosts if row["state"] == "up"]
        return len(up) == self.routers and all(
            row["state"] == "up" for row in endpoints
        )

    def command(self, text: str, operators: str = "", command_id: str = "") -> Any:
        """Send a command or query and return the status and the decoded body."""
        address = operators or self._base_settings["control"][0]["operators"]
        body = {"text": text, "operator": "test"}
        body["command_id"] = command_id or str(uuid.uuid4())
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call(address, "POST", "/operator/command", body, headers)[:2]

    def query(self, text: str, operators: str = "") -> list[dict[str, Any]]:
        """Run a query and return its rows.

        Raises:
            RuntimeError: If the query is refused.
        """
        status, body = self.command(text, operators)
        if status != 200:
            raise RuntimeError(f"query {text!r} failed with status {status}: {body}")
        return list(body["rows"])

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of one daemon."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return dict(
            call(self.operators(name), "GET", "/operator/status", None, headers)[1]
        )

    def operators(self, name: str) -> str:
        """Return the operator address of a daemon."""
        peers = self._base_settings["control"] + self._base_settings["routers"]
        return str(next(peer["operators"] for peer in peers if peer["name"] == name))

    def bus(self, name: str) -> str:
        """Return the bus address of a daemon."""
        peers = self._base_settings["control"] + self._base_settings["routers"]
        return str(next(peer["bus"] for peer in peers if peer["name"] == name))

    def redirect_bus(self, name: str, address: str) -> None:
        """Make daemons started from now on use another bus address for a daemon."""
        for peer in self._base_settings["control"] + self._base_settings["routers"]:
            if peer["name"] == name:
                peer["bus"] = address

    def callers(self, number: int = 1) -> str:
        """Return the caller address of a router, numbered from 1."""
        return str(self._base_settings["routers"][number - 1]["callers"])

    def run_tool(self, *arguments: str, limit_s: float = 60) -> str:
        """Run the command-line tool and return its standard output.

        Raises:
            RuntimeError: If it exits with a status other than 0.
        """
        operators = ",".join(
            peer["operators"] for peer in self._base_settings["control"]
        )
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
        completed = subprocess.run(
            [sys.executable, "-c", code, *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=limit_s,
        )
        if completed.returncode:
            raise RuntimeError(
                f"mustardtrack {' '.join(arguments)} exited with "
                f"{completed.returncode}: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    @property
    def accounts(self) -> list[str]:
        """Names of all client accounts."""
        commands = [line.split() for line in self._object_commands()]
        return [words[2] for words in commands if words[:2] == ["create", "account"]]

    @property
    def model(self) -> str:
        """Name of the model that the engines serve."""
        commands = [line.split() for line in self._object_commands()]
        return next(words[2] for words in commands if words[:2] == ["create", "model"])

    @property
    def weights_version(self) -> str:
        """Weights version of the model."""
        line = next(
            command
            for command in self._object_commands()
            if command.startswith("create model")
        )
        return line.split("weights_version=")[1].split()[0]

    @property
    def service(self) -> str:
        """Name of the plain service."""
        line = next(
            command for command in self._object_commands() if "kind=service" in command
        )
        return line.split("serves=")[1].split()[0]

    def headers(self, account: str = "", **more: str) -> dict[str, str]:
        """Return the request headers of a client account, by default the first one."""
        key = f"example-key-{account or self.accounts[0]}"
        return {"Authorization": f"Bearer {key}", **more}

    def stream(
        self, prompt: str, tokens: int = 8, router: int = 1, **headers: str
    ) -> list[dict[str, Any]]:
        """Send a streaming completion request and return its events."""
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
        """Send a booking and return the status, body and headers of the response."""
        path = f"/v1/services/{urllib.parse.quote(self.service)}/bookings"
        all_headers = {
            **self.headers(**headers),
            "Idempotency-Key": key or new_idempotency_key(),
        }
        return call(self.callers(router), "POST", path, body, all_headers)

    def _load_example_settings(self, name: str) -> dict[str, Any]:
        path = ROOT / "examples" / self.name / f"{name}.yaml"
        return dict(yaml.safe_load(path.read_text()))

    def _object_commands(self) -> list[str]:
        """Return the example's commands, limited to the wanted endpoint counts."""
        path = ROOT / "examples" / self.name / "objects.mt"
        remaining = {"kind=engine": self.engines, "kind=service": self.services}
        lines = []
        for line in path.read_text().splitlines():
            kind = next((word for word in line.split() if word in remaining), None)
            if kind is not None:
                remaining[kind] -= 1
                if remaining[kind] < 0:
                    continue
            lines.append(line)
        return lines

    def _assign_address(self, address: str) -> str:
        """Return the allocated address that replaces an address of the examples."""
        if address not in self._assigned_addresses:
            self._assigned_addresses[address] = self.fleet.free_address()
        return self._assigned_addresses[address]

    def _replace_addresses(self, line: str) -> str:
        words = line.split()
        return " ".join(
            f"address={self._assign_address(word[8:])}"
            if word.startswith("address=")
            else word
            for word in words
        )
