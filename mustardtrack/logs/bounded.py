"""Log output that never blocks and is bounded in lines and bytes a second."""

import os
import time
from collections.abc import Callable

# A router at twice its usual load of 25 requests a second writes about 150 lines.
LINES_PER_S = 400
BYTES_PER_S = 200_000
# Bytes that wait for a reader that is slow for a moment.
PENDING_BYTES = 262_144


class BoundedWriter:
    """Writes lines to a descriptor; lines beyond the bounds are left out and counted.

    The descriptor becomes non-blocking. The first line after a gap says how many
    lines were left out.

    Args:
        descriptor: Open file descriptor, usually of standard output.
        now_s: Monotonic clock in seconds.
    """

    def __init__(self, descriptor: int, now_s: Callable[[], float] = time.monotonic):
        self._descriptor = descriptor
        self._now_s = now_s
        self._second = 0
        self._lines = 0
        self._bytes = 0
        self._pending = b""
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write one line, or count it as left out."""
        data = line.encode("utf-8", "replace")
        self._enter_second()
        is_over = self._lines >= LINES_PER_S or self._bytes + len(data) > BYTES_PER_S
        if is_over or len(self._pending) + len(data) > PENDING_BYTES:
            self.left_out += 1
            return
        self._lines += 1
        self._bytes += len(data)
        if self.left_out:
            note = '{"event": null, "text": "log lines left out", "count": %d}\n'
            data = (note % self.left_out).encode() + data
            self.left_out = 0
        self._pending += data
        self._send()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._send()

    def _enter_second(self) -> None:
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._lines = self._bytes = 0

    def _send(self) -> None:
        while self._pending:
            try:
                sent = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without logs.
                self._pending = b""
                return
            self._pending = self._pending[sent:]
