"""Lifecycle of a daemon process: start, planned stop and signals."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

from mustardtrack.logs import define_event, log_event

STARTED = define_event(8201, "INFO", "process is ready")
STOP_REQUESTED = define_event(8202, "INFO", "planned stop started")
STOPPED = define_event(8203, "INFO", "process stopped, no request was interrupted")
STOP_FORCED = define_event(8204, "ERROR", "stop interrupted open requests")
STOP_FAILED = define_event(8206, "ERROR", "planned stop failed; the process exits")
START_FAILED = define_event(8205, "ERROR", "process could not start")

EXIT_OK = 0
EXIT_INTERRUPTED = 1
EXIT_START_FAILED = 3
EXIT_TASK_FAILED = 4


class DaemonProcess(ABC):
    """One role of the daemon.

    Attributes:
        on_failure: Called when a task of the process failed and cannot continue.
    """

    on_failure: Callable[[], None] | None = None

    def fail(self) -> None:
        """Report that a task failed, which ends the process."""
        if self.on_failure is not None:
            self.on_failure()

    @abstractmethod
    async def start(self) -> None:
        """Open sockets and start the tasks."""

    @abstractmethod
    async def stop(self) -> list[str]:
        """Perform a planned stop.

        Returns:
            Ids of the requests that were still open when the time limit of the stop
            expired; empty if none was interrupted.
        """

    def force_stop(self) -> bool:
        """Shorten a planned stop to the answers that open requests must get.

        Returns:
            Whether ``stop`` returns soon; if not, the process is ended at once.
        """
        return False

    @abstractmethod
    def open_requests(self) -> list[str]:
        """Return the ids of the requests that are open now."""

    @abstractmethod
    def reload_certificates(self) -> None:
        """Reload the TLS files."""


class Lifecycle:
    """Starts a process and stops it on signals."""

    def __init__(self, process: DaemonProcess, name: str):
        self._process = process
        process.on_failure = lambda: self._exit(EXIT_TASK_FAILED)
        self._name = name
        self._stopping = False
        self.exit_code = EXIT_OK

    async def start(self) -> None:
        """Start the process and print ``ready`` on standard output."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._receive_signal)
        loop.add_signal_handler(signal.SIGHUP, self._process.reload_certificates)
        try:
            await self._process.start()
        except Exception as error:
            log_event(START_FAILED, error=str(error) or repr(error))
            self._exit(EXIT_START_FAILED)
            return
        log_event(STARTED, name=self._name)
        print("ready", flush=True)

    def _receive_signal(self) -> None:
        if self._stopping:
            if self._process.force_stop():
                return
            interrupted = self._process.open_requests()
            log_event(STOP_FORCED, interrupted=interrupted)
            self._exit(EXIT_INTERRUPTED if interrupted else EXIT_OK)
            return
        self._stopping = True
        log_event(STOP_REQUESTED, name=self._name)
        asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        try:
            interrupted = await self._process.stop()
        except Exception as error:
            log_event(STOP_FAILED, error=repr(error))
            self._exit(EXIT_TASK_FAILED)
            return
        if interrupted:
            log_event(STOP_FORCED, interrupted=interrupted)
        else:
            log_event(STOPPED, name=self._name)
        self._exit(EXIT_INTERRUPTED if interrupted else EXIT_OK)

    def _exit(self, code: int) -> None:
        self.exit_code = code
        from twisted.internet import reactor as installed_reactor

        reactor = cast(Any, installed_reactor)
        if reactor.running:
            reactor.stop()
