"""Non-blocking log output with a limit on lines and bytes per second."""

import os
import time
from collections.abc import Callable

# A router at twice its usual load of 25 requests/s writes about 150 lines per second.
MAX_LINES_PER_S = 400
MAX_BYTES_PER_S = 200_000
# Buffer for a reader that is briefly slow.
MAX_PENDING_BYTES = 262_144


class RateLimitedWriter:
    """Writes lines to a file descriptor; drops and counts lines over the limits.

    The descriptor is set to non-blocking mode. The first line after a gap is preceded
    by a line with the number of dropped lines.

    Args:
        descriptor: Open file descriptor, usually of standard output.
        now_s: Monotonic clock in seconds.
    """

    def __init__(self, descriptor: int, now_s: Callable[[], float] = time.monotonic):
        self._descriptor = descriptor
        self._now_s = now_s
        self._current_second = 0
        self._line_count = 0
        self._byte_count = 0
        self._pending = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write one line, or drop and count it if a limit is exceeded."""
        data = line.encode("utf-8", "replace")
        self._reset_counts_each_second()
        exceeds_rate = (
            self._line_count >= MAX_LINES_PER_S
            or self._byte_count + len(data) > MAX_BYTES_PER_S
        )
        if exceeds_rate or len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self._line_count += 1
        self._byte_count += len(data)
        if self.dropped_lines:
            notice = '{"event": null, "text": "log lines left out", "count": %d}\n'
            data = (notice % self.dropped_lines).encode() + data
            self.dropped_lines = 0
        self._pending += data
        self._write_pending()

    def flush(self) -> None:
        """Write as much buffered output as the reader accepts without blocking."""
        self._write_pending()

    def _reset_counts_each_second(self) -> None:
        second = int(self._now_s())
        if second != self._current_second:
            self._current_second = second
            self._line_count = self._byte_count = 0

    def _write_pending(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed; the process continues without logs.
                self._pending = b""
                return
            self._pending = self._pending[written:]
