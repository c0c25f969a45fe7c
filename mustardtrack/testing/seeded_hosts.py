"""Daemons that are configured with seed addresses, as processes on loopback."""

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
# Logged by a daemon after it has opened its ports.
STARTED_EVENT = b'"event": 8201'
# A graceful shutdown takes at most its grace period; the rest is a margin for a busy
# machine.
STOP_TIMEOUT_S = 20
CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1


@dataclass
class SeededHosts:
    """Daemons of a deployment, one per loopback address.

    Each address stands for a host. The settings of every daemon list the control hosts
    as seeds.

    Attributes:
        folder: Folder for settings, logs and data.
        controls: Addresses of the control hosts, which also serve as seeds.
        routers: Addresses of the routers.
        host_list_address: Address of the stand-in for the platform's host list.
        running: Process of each host whose daemon runs or is paused.
        log_offsets: Size of each host's log file at the last start of its daemon.
        bounds: Settings under ``bounds`` that differ from their defaults.
        retries: Settings under ``retries`` that differ from their defaults.
        daemon_module: Module that runs the daemon.
        limits: Settings under ``limits``, the same for every host.
    """

    folder: Path
    controls: tuple[str, ...]
    routers: tuple[str, ...]
    host_list_address: str
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    log_offsets: dict[str, int] = field(default_factory=dict)
    bounds: dict[str, int] = field(default_factory=dict)
    retries: dict[str, float] = field(default_factory=dict)
    daemon_module: str = "mustardtrack.process.daemon"
    limits: dict[str, float] = field(default_factory=dict)

    def data_folder(self, host: str) -> Path:
        """Return the data folder of a control host."""
        return self.folder / host

    def start(self, host: str, bootstrap: bool = True) -> None:
        """Start the daemon of a host."""
        path = self.folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host, bootstrap)))
        arguments = ["-m", self.daemon_module, "--config", str(path)]
        with self._log_path(host).open("ab") as log:
            self.log_offsets[host] = log.tell()
            self.running[host] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log
            )

    def _log_path(self, host: str) -> Path:
        return self.folder / f"{host}.log"

    def read_log(self, host: str) -> str:
        """Return what the daemons of a host have logged."""
        return self._log_path(host).read_text(encoding="utf-8", errors="replace")

    def has_started(self, host: str) -> bool:
        """Return whether the daemon has opened its ports since its last start."""
        with self._log_path(host).open("rb") as log:
            log.seek(self.log_offsets[host])
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
            "host_list": self.host_list_address,
            "listen": {"operators": f"{host}:{OPERATOR_PORT}"},
            "bounds": self.bounds,
            "retries": self.retries,
            "limits": self.limits,
        }
        if host in self.routers:
            settings["listen"] = {
                "callers": f"{host}:{CALLER_PORT}",
                "readiness": f"{host}:{READY_PORT}",
            }
        else:
            settings["data_folder"] = str(self.data_folder(host))
        return settings

    def send_signal(self, host: str, signal_number: int) -> None:
        """Send a signal to the daemon of a host."""
        self.running[host].send_signal(signal_number)

    def stop(self, host: str, signal_number: int) -> int:
        """Send a terminating signal to the daemon and return its exit code.

        Raises:
            subprocess.TimeoutExpired: If the daemon does not exit in time.
        """
        process = self.running.pop(host)
        process.send_signal(signal_number)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def end(self) -> None:
        """Kill all running daemons."""
        for host in list(self.running):
            self.running[host].send_signal(signal.SIGCONT)
            self.stop(host, signal.SIGKILL)

    def is_ready(self, router: str) -> bool:
        """Return whether a router reports that it is ready."""
        address = f"{router}:{READY_PORT}"
        return call(address, "GET", "/v1/ready", timeout_s=CALL_TIMEOUT_S)[0] == 200


def holds_within(
    condition: Callable[[], Any],
    limit_s: float,
    expected: tuple[type[Exception], ...] = (OSError,),
) -> bool:
    """Poll a condition and return whether it became true within a time limit.

    Args:
        condition: Polled until it is true.
        limit_s: Time limit.
        expected: Errors to ignore, raised by calls to processes that do not listen
            yet or were killed.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return True
        except expected:
            pass  # The condition is polled again.
        time.sleep(POLL_INTERVAL_S)
    return False


def put_document(host: str, content: dict[str, Any]) -> int:
    """Send a configuration document to a control host and return the status."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/config/put"
    return call(address, "POST", path, content, timeout_s=CALL_TIMEOUT_S)[0]


def name_weights(host: str, model: str, version: int) -> int:
    """Name a weights version at a control host and return the status."""
    address = f"{host}:{OPERATOR_PORT}"
    body = {"model": model, "version": version}
    path = "/v1/version-put"
    return call(address, "POST", path, body, timeout_s=CALL_TIMEOUT_S)[0]


def read_document(host: str) -> Any:
    """Return the newest document, None if the host can't confirm that it is newest."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/config/get"
    status, document, _ = call(address, "GET", path, timeout_s=CALL_TIMEOUT_S)
    return document if status == 200 else None


def look_up_routers(host: str) -> list[str] | None:
    """Return the router addresses that a control host returns to callers."""
    address = f"{host}:{OPERATOR_PORT}"
    path = "/v1/lookup?zone=a"
    addresses = call(address, "GET", path, timeout_s=CALL_TIMEOUT_S)[1].get("addresses")
    return addresses if isinstance(addresses, list) else None
