"""Daemons of one seeded deployment on loopback, as separate processes."""

import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from mustardtrack.testing.client import call

OPERATOR_PORT, CALLER_PORT, READY_PORT, BUS_PORT = 18783, 18782, 18789, 17340
# Log line of a daemon that has opened its ports.
STARTED_EVENT = b'"event": 8201'
# A planned stop lasts at most its grace; a busy machine delays the exit.
STOP_TIMEOUT_S = 20
CALL_TIMEOUT_S = 5.0
POLL_S = 0.1


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
        address = f"{router}:{READY_PORT}"
        return call(address, "GET", "/v1/ready", timeout_s=CALL_TIMEOUT_S)[0] == 200


def holds_within(
    condition: Callable[[], Any],
    limit_s: float,
    expected: tuple[type[Exception], ...] = (OSError,),
) -> bool:
    """Return whether a condition comes to hold while processes start or restart.

    Args:
        condition: Asked until it is true.
        limit_s: Longest time to ask.
        expected: Errors of processes that do not listen yet, or were killed.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return True
        except expected:
            pass  # It is asked again until the limit.
        time.sleep(POLL_S)
    return False


def put_document(host: str, content: dict[str, Any]) -> int:
    """Send a configuration document to a control host and return the status."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/config/put"
    return call(address, "POST", path, content, timeout_s=CALL_TIMEOUT_S)[0]


def read_document(host: str) -> Any:
    """Return the newest document, None if the host is not sure of it."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/config/get"
    status, document, _ = call(address, "GET", path, timeout_s=CALL_TIMEOUT_S)
    return document if status == 200 else None


def look_up(host: str) -> list[str] | None:
    """Return the addresses that a control host names to callers."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/lookup?zone=a"
    found = call(address, "GET", path, timeout_s=CALL_TIMEOUT_S)[1].get("addresses")
    return found if isinstance(found, list) else None
