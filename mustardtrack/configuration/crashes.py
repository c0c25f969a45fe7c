"""Crash counts of request fingerprints."""

from collections import OrderedDict
from typing import Any

KEPT_SUSPECTS = 10_000
DEATHS_TO_QUARANTINE = 2


class CrashCounts:
    """Counts the endpoint deaths of each fingerprint, each incarnation once.

    Quarantined fingerprints are kept until they are released; of the others the
    10,000 most recent are kept.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, list[str]] = OrderedDict()
        self._quarantined: dict[str, list[str]] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint is quarantined."""
        return fingerprint in self._quarantined

    def count(self, fingerprint: str, endpoint: str, incarnation: str) -> int:
        """Count a death and return the number of distinct deaths."""
        death = f"{endpoint}#{incarnation}"
        if fingerprint in self._quarantined:
            deaths = self._quarantined[fingerprint]
        else:
            deaths = self._suspects.pop(fingerprint, [])
            self._suspects[fingerprint] = deaths
        if death not in deaths:
            deaths.append(death)
        if fingerprint in self._suspects and len(deaths) >= DEATHS_TO_QUARANTINE:
            self._quarantined[fingerprint] = self._suspects.pop(fingerprint)
        if len(self._suspects) > KEPT_SUSPECTS:
            self._suspects.popitem(last=False)
        return len(deaths)

    def clear(self, fingerprint: str) -> bool:
        """Forget a suspect that is not quarantined."""
        return self._suspects.pop(fingerprint, None) is not None

    def release(self, fingerprint: str) -> bool:
        """End a quarantine; return False if there was none."""
        return self._quarantined.pop(fingerprint, None) is not None

    def dump(self) -> list[Any]:
        """Return the counts as values that msgspec can encode."""
        return [list(self._suspects.items()), list(self._quarantined.items())]

    @classmethod
    def load(cls, data: list[Any]) -> "CrashCounts":
        """Rebuild counts from decoded values of :meth:`dump`."""
        counts = cls()
        counts._suspects = OrderedDict(data[0])
        counts._quarantined = dict(data[1])
        return counts
