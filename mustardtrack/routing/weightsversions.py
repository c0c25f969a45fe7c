"""Times at which weights versions were superseded."""

from collections.abc import Mapping

# Versions retained for a model; no engine lags that many versions behind.
MAX_VERSIONS = 50

# An age is a difference of times that are rounded to milliseconds, and may be too long
# by up to this much. Hosts that return ages to each other would add it up.
ROUNDING_MS = 1

# Milliseconds since each version of each model was named.
VersionAges = dict[str, dict[int, int]]


class WeightsVersionHistory:
    """Times at which each version was named as the newest.

    A process that starts does not know when versions were named, so processes exchange
    the ages that they know. An age that is adopted is too short by the time that the
    message takes, never too long, so the longest one counts.

    Examples:
        >>> history = WeightsVersionHistory()
        >>> history.update({"m": 2}, 100)
        >>> history.update({"m": 3}, 400)
        >>> [history.superseded_for_ms("m", version, 500) for version in (1, 2)]
        [400, 100]
        >>> history.superseded_for_ms("m", 3, 500) is None
        True
        >>> history.adopt({"m": {2: 900, 3: 50}}, 500)
        >>> [history.superseded_for_ms("m", version, 500) for version in (1, 2)]
        [899, 100]
    """

    def __init__(self) -> None:
        self._times: dict[str, dict[int, int]] = {}

    def update(self, newest_versions: Mapping[str, int], now_ms: int) -> None:
        """Record the time of versions that are new."""
        for model, version in newest_versions.items():
            if version not in self._times.get(model, {}):
                self._record(model, version, now_ms)

    def adopt(self, ages: Mapping[str, Mapping[int, int]], now_ms: int) -> None:
        """Adopt the ages that another process knows, where they are longer."""
        for model, by_version in ages.items():
            for version, age_ms in by_version.items():
                known_ms = self._times.get(model, {}).get(version)
                named_ms = now_ms - max(0, age_ms - ROUNDING_MS)
                if known_ms is None or named_ms < known_ms:
                    self._record(model, version, named_ms)

    def ages(self, horizon_ms: int, now_ms: int) -> VersionAges:
        """Return the ages of the versions that were named within a time.

        The newest version named before that time is included: all older ones have been
        superseded for longer than the horizon.
        """
        ages: VersionAges = {}
        for model, times in self._times.items():
            ages[model] = {}
            for version in sorted(times, reverse=True):
                ages[model][version] = now_ms - times[version]
                if ages[model][version] > horizon_ms:
                    break
        return ages

    def superseded_for_ms(self, model: str, version: int, now_ms: int) -> int | None:
        """Return the time since a newer version was named, None if there is none."""
        times = self._times.get(model, {})
        later = [time_ms for number, time_ms in times.items() if number > version]
        return now_ms - min(later) if later else None

    def naming_times(self, model: str) -> list[int]:
        """Return the times at which versions of a model were named, ascending."""
        return sorted(self._times.get(model, {}).values())

    def _record(self, model: str, version: int, time_ms: int) -> None:
        times = self._times.setdefault(model, {})
        times[version] = time_ms
        if len(times) > MAX_VERSIONS:
            del times[min(times)]
