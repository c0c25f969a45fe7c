"""System clock adapter."""

import time

from mustardtrack.ports import Clock


class SystemClock(Clock):
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds that include time spent suspended.

        Leases must expire while the host is suspended, when the plain monotonic
        clock stands still.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
