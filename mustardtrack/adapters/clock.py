"""System clock adapter."""

import time

from mustardtrack.ports import Clock


class SystemClock(Clock):
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
