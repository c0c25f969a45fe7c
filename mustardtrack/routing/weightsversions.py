"""Times at which weights versions were superseded."""

from collections.abc import Mapping

# Versions retained for a model; no engine lags that many versions behind.
MAX_VERSIONS = 50


class WeightsVersionHistory:
    """Times at which this process first saw each version named as the newest.

    Examples:
        >>> history = WeightsVersionHistory()
        >>> history.update({"m": 2}, 100)
        >>> history.update({"m": 3}, 400)
        >>> [history.superseded_for_ms("m", version, 500) for version in (1, 2)]
        [400, 100]
        >>> history.superseded_for_ms("m", 3, 500) is None
        True
    """

    def __init__(self) -> None:
        self._times: dict[str, dict[int, int]] = {}

    def update(self, newest_versions: Mapping[str, int], now_ms: int) -> None:
        """Record the time of versions that are new."""
        for model, version in newest_versions.items():
            times = self._times.setdefault(model, {})
            if version not in times:
                times[version] = now_ms
                if len(times) > MAX_VERSIONS:
                    del times[min(times)]

    def superseded_for_ms(self, model: str, version: int, now_ms: int) -> int | None:
        """Return the time since a newer version was named, None if there is none."""
        times = self._times.get(model, {})
        later = [time_ms for number, time_ms in times.items() if number > version]
        return now_ms - min(later) if later else None
