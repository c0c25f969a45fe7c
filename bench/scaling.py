"""Series of measurements over a size, their slope and their bend."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

REPEATS = 7


@dataclass
class Series:
    """One quantity measured at several sizes.

    Attributes:
        name: What was measured.
        unit: Unit of the values.
        per: What the sizes count.
        points: Pairs of size and value, by increasing size.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def add(self, size: float, value: float) -> None:
        """Add the value at a size."""
        self.points.append((size, value))

    def slope(self) -> float:
        """Return the least-squares slope, in ``unit`` for one more of ``per``."""
        return statistics.linear_regression(*zip(*self.points, strict=True)).slope

    def intercept(self) -> float:
        """Return the value of the fitted line at size 0."""
        return statistics.linear_regression(*zip(*self.points, strict=True)).intercept

    def bend(self) -> float | None:
        """Return the slope of the last interval over that of the first.

        About 1 is a line; well above 1 means that the extrapolation is too low.
        ``None`` if the first interval is level.
        """
        (x0, y0), (x1, y1) = self.points[:2]
        (x2, y2), (x3, y3) = self.points[-2:]
        first = (y1 - y0) / (x1 - x0)
        return (y3 - y2) / (x3 - x2) / first if first else None

    def describe(self) -> dict[str, Any]:
        """Return all figures for the JSON file."""
        return {
            **asdict(self),
            "slope": self.slope(),
            "intercept": self.intercept(),
            "bend": self.bend(),
        }


@dataclass
class Figure:
    """One value that is not measured over a size."""

    name: str
    unit: str
    value: float

    def describe(self) -> dict[str, Any]:
        """Return all figures for the JSON file."""
        return asdict(self)


Result = Series | Figure


def time_us(work: Callable[[], Any], count: int = 1) -> float:
    """Return the least CPU microseconds of a call, divided by ``count``.

    CPU time and the least of several calls are used because other processes of a
    shared machine changed medians of elapsed time by a factor of two.
    """
    durations = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        durations.append(time.process_time() - started)
    return min(durations) * 1e6 / count


def traced_bytes(build: Callable[[], Any]) -> tuple[Any, float]:
    """Return the result of a call and the bytes that it keeps allocated."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, used


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process from ``/proc/PID/status``."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1])


def processor_ticks(pid: int) -> int:
    """Return user and system time of a process from ``/proc/PID/stat``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def format_results(results: list[Result]) -> str:
    """Return a table with one line per result."""
    lines = []
    for one in results:
        if isinstance(one, Figure):
            lines.append(f"  {one.name}: {one.value:.6g} {one.unit}")
            continue
        points = "  ".join(f"{size:g}: {value:.4g}" for size, value in one.points)
        bend = one.bend()
        lines.append(f"  {one.name} [{one.unit}] by {one.per}: {points}")
        lines.append(
            f"    slope {one.slope():.4g}, intercept {one.intercept():.4g}, "
            f"bend {'-' if bend is None else f'{bend:.2f}'}"
        )
    return "\n".join(lines)
