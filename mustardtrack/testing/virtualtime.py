"""Event loop whose clock is simulated, for scenarios of seconds that run at once."""

import asyncio
from typing import Any


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        selector: Any = self._selector  # type: ignore[attr-defined]
        self._select = selector.select
        selector.select = self._skip

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _skip(self, timeout_s: float | None = None) -> Any:
        if timeout_s is None:
            raise AssertionError("the scenario waits without a timer")
        # The loop runs a timer that is due within the resolution of its clock.
        self._now_s += max(0.0, timeout_s)
        return self._select(0)
