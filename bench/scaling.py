"""Measurements over a range of sizes, with linear regression and output."""

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
        """Return the least-squares slope, in ``unit`` per one of ``per``."""
        return statistics.linear_regression(*zip(*self.points, strict=True)).slope

    def intercept(self) -> float:
        """Return the least-squares intercept, the value at size 0."""
        return statistics.linear_regression(*zip(*self.points, strict=True)).intercept

    def slope_ratio(self) -> float | None:
        """Return the slope of the last interval over that of the first.

        About 1 means linear growth; well above 1 means that a linear extrapolation is
        too low. ``None`` if the first interval has slope 0.
        """
        (x0, y0), (x1, y1) = self.points[:2]
        (x2, y2), (x3, y3) = self.points[-2:]
        first = (y1 - y0) / (x1 - x0)
        return (y3 - y2) / (x3 - x2) / first if first else None

    def to_json_fields(self) -> dict[str, Any]:
        """Return the fields for the JSON file."""
        return {
            **asdict(self),
            "slope": self.slope(),
            "intercept": self.intercept(),
            "bend": self.slope_ratio(),
        }


@dataclass
class Scalar:
    """One measured value that does not depend on a size."""

    name: str
    unit: str
    value: float

    def to_json_fields(self) -> dict[str, Any]:
        """Return the fields for the JSON file."""
        return asdict(self)


Result = Series | Scalar


def time_us(call: Callable[[], Any], count: int = 1) -> float:
    """Return the minimum CPU microseconds of a call, divided by ``count``.

    The minimum CPU time of several calls is used because other processes on a shared
    machine can change the median elapsed time by a factor of two.
    """
    durations = []
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        durations.append(time.process_time() - started)
    return min(durations) * 1e6 / count


def traced_bytes(call: Callable[[], Any]) -> tuple[Any, float]:
    """Return the result of a call and the bytes that stay allocated for it."""
    gc.collect()
    tracemalloc.start()
    result = call()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, used


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process from ``/proc/PID/status``."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1])


def cpu_ticks(pid: int) -> int:
    """Return the user and system CPU ticks of a process from ``/proc/PID/stat``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def format_results(results: list[Result]) -> str:
    """Return the results as text, one or two lines each."""
    lines = []
    for one in results:
        if isinstance(one, Scalar):
            lines.append(f"  {one.name}: {one.value:.6g} {one.unit}")
            continue
        points = "  ".join(f"{size:g}: {value:.4g}" for size, value in one.points)
        slope_ratio = one.slope_ratio()
        lines.append(f"  {one.name} [{one.unit}] by {one.per}: {points}")
        lines.append(
            f"    slope {one.slope():.4g}, intercept {one.intercept():.4g}, "
            f"slope ratio {'-' if slope_ratio is None else f'{slope_ratio:.2f}'}"
        )
    return "\n".join(lines)
