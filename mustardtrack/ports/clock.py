"""Clock port."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time in milliseconds."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic time; only differences are meaningful."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""
