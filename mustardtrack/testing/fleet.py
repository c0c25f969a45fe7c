"""Starts and stops real processes for tests and scripts.

Only test support starts processes; the system itself never does.
"""

import atexit
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from mustardtrack.testing import reaper
from mustardtrack.testing.client import Headers, call

ROOT = Path(__file__).parents[2]

# Below the usual ephemeral port range (32768 and up), so that an unrelated outgoing
# connection does not take a free port before the process binds it.
FIRST_PORT = 20_000
LAST_PORT = 32_000

READY_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0


class FleetError(Exception):
    """A process failed to start or stop; the message contains its log."""


class FleetProcess:
    """One process of a fleet, which may be restarted.

    Attributes:
        name: Name in the fleet.
        address: Address that the process listens on, empty if unknown.
        command: Command line of the process.
        out_path: File to which each start appends its standard output.
        err_path: File to which each start appends its standard error.
    """

    def __init__(
        self,
        name: str,
        address: str,
        command: list[str],
        folder: Path,
        on_spawn: Callable[[int], None] = lambda pid: None,
    ):
        self.name = name
        self.address = address
        self.command = command
        self.out_path = folder / f"{name}.out"
        self.err_path = folder / f"{name}.err"
        self._on_spawn = on_spawn
        self._process: subprocess.Popen[bytes] | None = None
        self._output_offset = 0

    def start(self, ready_limit_s: float = READY_LIMIT_S) -> "FleetProcess":
        """Start the process and wait until it prints ``ready``.

        Raises:
            FleetError: If it exits or does not print the line within the limit.
        """
        self.spawn()
        self.wait_ready(ready_limit_s)
        return self

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        self._output_offset = (
            self.out_path.stat().st_size if self.out_path.exists() else 0
        )
        with self.out_path.open("ab") as out, self.err_path.open("ab") as err:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=_make_environment(),
            )
        self._on_spawn(self._process.pid)

    def wait_ready(self, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until the current start of the process prints the line ``ready``.

        Raises:
            FleetError: If it exits or does not print the line within the limit.
        """
        deadline = time.monotonic() + limit_s
        while "ready" not in self.output().splitlines():
            if not self.is_alive():
                raise FleetError(f"{self.name} exited at start:\n{self.log()}")
            if time.monotonic() > deadline:
                raise FleetError(
                    f"{self.name} is not ready after {limit_s} s:\n{self.log()}"
                )
            time.sleep(0.02)

    @property
    def pid(self) -> int:
        """Process id of the current start."""
        return self._require_process().pid

    def is_alive(self) -> bool:
        """Return whether the process exists, running or paused."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self._send_signal(signal.SIGKILL)
        self._require_process().wait(STOP_LIMIT_S)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM without waiting."""
        self._send_signal(signal.SIGTERM)

    def stop(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Resume the process, send SIGTERM and return its exit status."""
        self.resume()
        self.terminate()
        return self.wait(limit_s)

    def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait until the process exits and return its exit status.

        Raises:
            FleetError: If it is still running after the limit.
        """
        try:
            return self._require_process().wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(
                f"{self.name} is still running after {limit_s} s:\n{self.log()}"
            ) from error

    def output(self) -> str:
        """Return the standard output of the current start."""
        if not self.out_path.exists():
            return ""
        return self.out_path.read_bytes()[self._output_offset :].decode(
            errors="replace"
        )

    def log(self) -> str:
        """Return the standard error of all starts."""
        if not self.err_path.exists():
            return ""
        return self.err_path.read_text(errors="replace")

    def get(self, path: str, headers: Headers = None) -> Any:
        """Return the decoded body of a GET request."""
        return call(self.address, "GET", path, None, headers)[1]

    def post(self, path: str, body: Any, headers: Headers = None) -> tuple[int, Any]:
        """Send a POST request and return its status and decoded body."""
        return call(self.address, "POST", path, body, headers)[:2]

    def _send_signal(self, number: int) -> None:
        if self.is_alive():
            os.kill(self.pid, number)

    def _require_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise FleetError(f"{self.name} has not been started, call start()")
        return self._process


class Fleet:
    """Processes of one test, all of which are stopped at the end of the ``with`` block.

    Args:
        folder: Folder for the output of the processes.

    Examples:
        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        ...     fleet.start_engine("engine-1").get("/health")["state"]
        'up'
    """

    def __init__(self, folder: str | Path):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.members: dict[str, FleetProcess] = {}
        self._ports: set[int] = set()
        self._rng = random.Random(os.getpid() ^ time.monotonic_ns())
        self._reaper: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "Fleet":
        """Return the fleet; it is also closed when the interpreter exits."""
        atexit.register(self.close)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.close()

    def close(self) -> None:
        """Stop all processes with SIGTERM, and with SIGKILL after a time limit."""
        atexit.unregister(self.close)
        for member in self.members.values():
            member.resume()
            member.terminate()
        deadline = time.monotonic() + STOP_LIMIT_S
        for member in self.members.values():
            while member.is_alive() and time.monotonic() < deadline:
                time.sleep(0.01)
            if member.is_alive():
                member.kill()
        self._stop_reaper()

    def free_address(self) -> str:
        """Return a loopback address with a free port that was not returned before."""
        while True:
            port = self._rng.randint(FIRST_PORT, LAST_PORT)
            if port in self._ports or not _is_free(port):
                continue
            self._ports.add(port)
            return f"127.0.0.1:{port}"

    def start_engine(
        self,
        name: str,
        *options: str,
        address: str = "",
        wait: bool = True,
        **faults: Any,
    ) -> FleetProcess:
        """Start a stand-in engine with command-line options and fault settings."""
        return self._start_stand_in("engine", name, options, address, faults, wait)

    def start_service(
        self,
        name: str,
        *options: str,
        address: str = "",
        wait: bool = True,
        **faults: Any,
    ) -> FleetProcess:
        """Start a stand-in service with command-line options and fault settings."""
        return self._start_stand_in("service", name, options, address, faults, wait)

    def start_forwarder(
        self, name: str, target: str, address: str = ""
    ) -> FleetProcess:
        """Start a TCP forwarder to ``target``, controlled by :func:`set_mode`."""
        control = self.free_address()
        options = ("--target", target, "--control", control)
        return self._start_stand_in("forwarder", name, options, address, {})

    def start_platform(
        self, name: str, *options: str, address: str = ""
    ) -> FleetProcess:
        """Start the stand-in for the platform's host list."""
        return self._start_stand_in("platform", name, options, address, {})

    def start_daemon(
        self, name: str, config: str | Path, address: str = "", wait: bool = True
    ) -> FleetProcess:
        """Start ``mustardtrackd``.

        Args:
            name: Name in the fleet.
            config: Settings file.
            address: Address that ``get`` and ``post`` of the member use.
            wait: Whether to wait until the daemon prints ``ready``.
        """
        module = "mustardtrack.process.daemon"
        return self.start_module(name, module, ["--config", str(config)], address, wait)

    def wait_ready(self, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until all processes that were started with ``wait=False`` are ready."""
        for member in self.members.values():
            member.wait_ready(limit_s)

    def start_module(
        self,
        name: str,
        module: str,
        arguments: list[str],
        address: str = "",
        wait: bool = True,
    ) -> FleetProcess:
        """Start ``python -m module``; a member of this name that exited is replaced.

        Raises:
            FleetError: If a member of this name is still running.
        """
        existing = self.members.get(name)
        if existing is not None and existing.is_alive():
            raise FleetError(f"{name} is already running, choose another name")
        command = [sys.executable, "-m", module, *arguments]
        member = FleetProcess(
            name, address, command, self.folder, self._register_with_reaper
        )
        self.members[name] = member
        member.spawn()
        if wait:
            member.wait_ready()
        return member

    def _register_with_reaper(self, pid: int) -> None:
        if self._reaper is None:
            command = [sys.executable, "-I", reaper.__file__]
            self._reaper = subprocess.Popen(command, stdin=subprocess.PIPE)
        assert self._reaper.stdin is not None
        line = f"{pid} {reaper.read_start_time(pid)}\n"
        self._reaper.stdin.write(line.encode())
        self._reaper.stdin.flush()

    def _stop_reaper(self) -> None:
        if self._reaper is not None and self._reaper.stdin is not None:
            self._reaper.stdin.close()
            self._reaper.wait(STOP_LIMIT_S)
            self._reaper = None

    def _start_stand_in(
        self,
        kind: str,
        name: str,
        options: tuple[str, ...],
        address: str,
        faults: dict[str, Any],
        wait: bool = True,
    ) -> FleetProcess:
        address = address or self.free_address()
        arguments = ["--name", name, "--address", address, *options]
        if faults:
            arguments += ["--faults", json.dumps(faults)]
        module = f"mustardtrack.testing.{kind}"
        return self.start_module(name, module, arguments, address, wait)


def set_mode(forwarder: FleetProcess, mode: str, existing_only: bool = False) -> None:
    """Set the mode of a forwarder.

    Args:
        forwarder: The forwarder.
        mode: ``pass``, ``drop`` or ``close``.
        existing_only: Whether connections opened later are forwarded normally.

    Raises:
        FleetError: If the forwarder refuses the mode.
    """
    control = forwarder.command[forwarder.command.index("--control") + 1]
    body = {"mode": mode, "existing_only": existing_only}
    status, answer, _ = call(control, "POST", "/mode", body)
    if status != 200:
        raise FleetError(f"{forwarder.name} refused mode {mode!r}: {answer}")


def _make_environment() -> dict[str, str]:
    paths = [str(ROOT), os.environ.get("PYTHONPATH", "")]
    return os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, paths))}


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
