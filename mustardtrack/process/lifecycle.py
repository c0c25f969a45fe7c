"""Life of one daemon process: start, planned stop and signals."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

from mustardtrack.logs import define_event, log_event

STARTED = define_event(8201, "INFO", "process is ready")
STOP_REQUESTED = define_event(8202, "INFO", "planned stop began")
STOPPED = define_event(8203, "INFO", "process stopped, no request was interrupted")
STOP_FORCED = define_event(8204, "ERROR", "stop interrupted open requests")
START_FAILED = define_event(8205, "ERROR", "process could not start")

EXIT_OK = 0
EXIT_INTERRUPTED = 1
EXIT_START = 3
EXIT_FAILED = 4


class DaemonProcess(ABC):
    """One role of the daemon.

    Attributes:
        on_failure: Called when a task of the process failed for good.
    """

    on_failure: Callable[[], None] | None = None

    def fail(self) -> None:
        """End the process, because one of its tasks failed."""
        if self.on_failure is not None:
            self.on_failure()

    @abstractmethod
    async def start(self) -> None:
        """Open sockets and start the tasks."""

    @abstractmethod
    async def stop(self) -> list[str]:
        """Perform a planned stop.

        Returns:
            Identities of requests that were open when the time limit ended the
            stop; empty if nothing was interrupted.
        """

    @abstractmethod
    def open_requests(self) -> list[str]:
        """Return the identities of the requests that are open now."""

    @abstractmethod
    def reload_certificates(self) -> None:
        """Read the TLS files again."""


class Lifecycle:
    """Starts one process, and stops it on signals."""

    def __init__(self, process: DaemonProcess, name: str):
        self._process = process
        process.on_failure = lambda: self._finish(EXIT_FAILED)
        self._name = name
        self._stopping = False
        self.exit_code = EXIT_OK

    async def start(self) -> None:
        """Start the process and report that it is ready."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._receive_signal)
        loop.add_signal_handler(signal.SIGHUP, self._process.reload_certificates)
        try:
            await self._process.start()
        except Exception as error:
            log_event(START_FAILED, error=str(error) or repr(error))
            self._finish(EXIT_START)
            return
        log_event(STARTED, name=self._name)
        print("ready", flush=True)

    def _receive_signal(self) -> None:
        if self._stopping:
            interrupted = self._process.open_requests()
            log_event(STOP_FORCED, interrupted=interrupted)
            self._finish(EXIT_INTERRUPTED if interrupted else EXIT_OK)
            return
        self._stopping = True
        log_event(STOP_REQUESTED, name=self._name)
        asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        interrupted = await self._process.stop()
        if interrupted:
            log_event(STOP_FORCED, interrupted=interrupted)
        else:
            log_event(STOPPED, name=self._name)
        self._finish(EXIT_INTERRUPTED if interrupted else EXIT_OK)

    def _finish(self, code: int) -> None:
        self.exit_code = code
        from twisted.internet import reactor as installed_reactor

        reactor = cast(Any, installed_reactor)
        if reactor.running:
            reactor.stop()
