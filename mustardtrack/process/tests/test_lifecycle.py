"""Guards against a process that never ends after SIGTERM."""

import asyncio

from mustardtrack.process.lifecycle import (
    EXIT_TASK_FAILED,
    DaemonProcess,
    Lifecycle,
)


class FailingProcess(DaemonProcess):
    """Process whose planned stop fails."""

    async def start(self):
        """Do nothing."""

    async def stop(self):
        """Fail."""
        raise ValueError("stop")

    def open_requests(self):
        """Return no requests."""
        return []

    def reload_certificates(self):
        """Do nothing."""


def test_process_exits_although_its_planned_stop_fails():
    lifecycle = Lifecycle(FailingProcess(), "n")
    asyncio.run(lifecycle._stop())
    assert lifecycle.exit_code == EXIT_TASK_FAILED
