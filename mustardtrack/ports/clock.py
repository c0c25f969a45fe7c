"""Interface of the clock."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time in milliseconds."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic time; only differences between values are meaningful."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump when the clock is set."""
