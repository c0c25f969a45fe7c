"""System clock adapter."""

import time

from mustardtrack.ports import Clock


class SystemClock(Clock):
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds, including time spent suspended.

        ``CLOCK_MONOTONIC`` stops while the host is suspended, so a lease timed
        by it would last longer than granted.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
