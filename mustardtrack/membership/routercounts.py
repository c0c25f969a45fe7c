"""Numbers of routers among which a router divides what all of them share.

Control hosts know different routers for a while after one of them, or a router, has
started or stopped. A number that is too small lets all routers together exceed a limit,
so that the largest current number counts.
"""

from dataclasses import dataclass

# Control hosts answer each router at least every 0.4 s.
REPORT_LIFETIME_MS = 1000
# At the first start of a deployment, hosts start within 0.3 s of each other. Nothing
# was spent before, and the second report of each router names all of them.
FIRST_START_WAIT_MS = 500


@dataclass(frozen=True)
class RouterNumbers:
    """Routers that a control host knows.

    Attributes:
        alive: Routers that work on requests, also those that start or stop.
        recent: Routers that may have sent requests within the window of the retry
            budget, 0 while the control host cannot know all of them.
    """

    alive: int
    recent: int


class RouterCounts:
    """Numbers of routers as seen by one of them.

    Args:
        started_ms: Time at which this router started.
        window_ms: Window of the retry budget.
        is_first_start: Whether the whole deployment starts for the first time.

    Examples:
        >>> counts = RouterCounts(started_ms=0, window_ms=10_000)
        >>> counts.record("c1", RouterNumbers(4, 0), 11_000)
        >>> counts.record("c2", RouterNumbers(3, 5), 11_000)
        >>> counts.alive, counts.retry_sharers(10_999), counts.retry_sharers(11_000)
        (4, 0, 5)
    """

    def __init__(
        self, started_ms: int, window_ms: int, is_first_start: bool = False
    ) -> None:
        # The predecessor of this router may have used its share until the start, and
        # the others learn of a further router within the lifetime of a report.
        wait_ms = window_ms + REPORT_LIFETIME_MS
        if is_first_start:
            wait_ms = FIRST_START_WAIT_MS
        self._shares_from_ms = started_ms + wait_ms
        self._reports: dict[str, tuple[RouterNumbers, int]] = {}
        self._recent = 0
        self.alive = 1

    def record(self, control: str, numbers: RouterNumbers, now_ms: int) -> None:
        """Record what a control host knows now."""
        self._reports[control] = (numbers, now_ms)
        self._reports = {
            name: (numbers, at_ms)
            for name, (numbers, at_ms) in self._reports.items()
            if now_ms - at_ms < REPORT_LIFETIME_MS
        }
        current = [numbers for numbers, _ in self._reports.values()]
        self.alive = max(1, *(numbers.alive for numbers in current))
        # Without a control host that knows all routers, the last number remains.
        # Routers that have started since have no share yet.
        self._recent = max(numbers.recent for numbers in current) or self._recent

    def retry_sharers(self, now_ms: int) -> int:
        """Return among how many routers extra retries are divided.

        Returns:
            The number, or 0 while this router has no share.
        """
        return self._recent if now_ms >= self._shares_from_ms else 0
