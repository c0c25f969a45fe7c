"""Since when each weights version has been replaced."""

from collections.abc import Mapping

# Versions that are remembered for a model; engines are never that far behind.
MAX_VERSIONS = 50


class NamedWeights:
    """Times at which this process learned of the named versions.

    Examples:
        >>> named = NamedWeights()
        >>> named.update({"m": 2}, 100)
        >>> named.update({"m": 3}, 400)
        >>> named.replaced_ms("m", 1, 500), named.replaced_ms("m", 2, 500)
        (400, 100)
        >>> named.replaced_ms("m", 3, 500) is None
        True
    """

    def __init__(self) -> None:
        self._times: dict[str, dict[int, int]] = {}

    def update(self, named: Mapping[str, int], now_ms: int) -> None:
        """Record versions that are new."""
        for model, version in named.items():
            times = self._times.setdefault(model, {})
            if version not in times:
                times[version] = now_ms
                if len(times) > MAX_VERSIONS:
                    del times[min(times)]

    def replaced_ms(self, model: str, version: int, now_ms: int) -> int | None:
        """Return for how long a version has been replaced, None if it is not."""
        times = self._times.get(model, {})
        later = [time_ms for number, time_ms in times.items() if number > version]
        return now_ms - min(later) if later else None
