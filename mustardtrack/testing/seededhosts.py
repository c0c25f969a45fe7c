"""Daemons of one seeded deployment on loopback, as separate processes."""

import http.client
import json
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

OPERATOR_PORT, CALLER_PORT, READY_PORT, BUS_PORT = 18783, 18782, 18789, 17340
# Log line of a daemon that has opened its ports.
STARTED_EVENT = b'"event": 8201'
# A planned stop lasts at most its grace; a busy machine delays the exit.
STOP_TIMEOUT_S = 20
CALL_TIMEOUT_S = 5.0


@dataclass
class SeededHosts:
    """Processes of a deployment, one for each address.

    Attributes:
        folder: Folder of settings, logs and data.
        controls: Addresses of the control hosts, which are the seeds too.
        routers: Addresses of the routers.
        list_address: Address of the stand-in of the platform's list.
    """

    folder: Path
    controls: tuple[str, ...]
    routers: tuple[str, ...]
    list_address: str
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    log_starts: dict[str, int] = field(default_factory=dict)

    def data_folder(self, host: str) -> Path:
        """Return the folder that a control host keeps its state in."""
        return self.folder / host

    def start(self, host: str, bootstrap: bool = True) -> None:
        """Start the daemon of a host."""
        path = self.folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host, bootstrap)))
        arguments = ["-m", "mustardtrack.process.daemon", "--config", str(path)]
        with self._log(host).open("ab") as log:
            self.log_starts[host] = log.tell()
            self.running[host] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log
            )

    def _log(self, host: str) -> Path:
        return self.folder / f"{host}.log"

    def has_started(self, host: str) -> bool:
        """Return whether the daemon that was started last has opened its ports."""
        with self._log(host).open("rb") as log:
            log.seek(self.log_starts[host])
            return STARTED_EVENT in log.read()

    def _settings(self, host: str, bootstrap: bool) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "role": "router" if host in self.routers else "control",
            "name": host,
            "zone": "a",
            "host": host,
            "seeds": [f"{control}:{OPERATOR_PORT}" for control in self.controls],
            "bootstrap": bootstrap,
            "internal_ports": [BUS_PORT, BUS_PORT + 9],
            "host_list": self.list_address,
            "listen": {"operators": f"{host}:{OPERATOR_PORT}"},
        }
        if host in self.routers:
            settings["listen"] = {
                "callers": f"{host}:{CALLER_PORT}",
                "readiness": f"{host}:{READY_PORT}",
            }
        else:
            settings["data_folder"] = str(self.data_folder(host))
        return settings

    def send(self, host: str, number: int) -> None:
        """Send a signal to the daemon of a host."""
        self.running[host].send_signal(number)

    def stop(self, host: str, number: int) -> int:
        """Send a signal that ends the daemon and return the exit code.

        Raises:
            subprocess.TimeoutExpired: If the daemon does not end.
        """
        process = self.running.pop(host)
        process.send_signal(number)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def end(self) -> None:
        """Kill all daemons that are running."""
        for host in list(self.running):
            self.running[host].send_signal(signal.SIGCONT)
            self.stop(host, signal.SIGKILL)

    def is_ready(self, router: str) -> bool:
        """Return whether a router says that it is ready."""
        return call(router, READY_PORT, "GET", "/v1/ready")[0] == 200


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one call on a connection of its own and return status and body."""
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def put_document(host: str, content: dict[str, Any]) -> int:
    """Send a configuration document to a control host and return the status."""
    path, body = "/v1/config/put", json.dumps(content).encode()
    return call(host, OPERATOR_PORT, "POST", path, body)[0]


def read_document(host: str) -> Any:
    """Return the newest document, None if the host is not sure of it."""
    status, body = call(host, OPERATOR_PORT, "GET", "/v1/config/get")
    return json.loads(body) if status == 200 else None


def look_up(host: str) -> list[str] | None:
    """Return the addresses that a control host names to callers."""
    addresses = json.loads(call(host, OPERATOR_PORT, "GET", "/v1/lookup?zone=a")[1])
    found = addresses.get("addresses")
    return found if isinstance(found, list) else None
