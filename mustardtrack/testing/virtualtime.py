"""Event loop whose clock is simulated, for scenarios of seconds that run at once."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


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


def play(scenario: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run a scenario in virtual time, cancel its other tasks and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_play(scenario))
    finally:
        loop.close()


async def _play(scenario: Callable[[], Awaitable[ResultT]]) -> ResultT:
    try:
        return await scenario()
    finally:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
