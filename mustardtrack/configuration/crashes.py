"""Crash counts of request fingerprints."""

from collections import OrderedDict
from typing import Any

MAX_SUSPECTS = 10_000
CRASHES_TO_QUARANTINE = 2


class CrashCounts:
    """Counts endpoint crashes by fingerprint, each incarnation once.

    Quarantined fingerprints are kept until they are released. Of the suspects,
    which are fingerprints with fewer crashes, the 10,000 most recent are kept.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, list[str]] = OrderedDict()
        self._quarantined: dict[str, list[str]] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint is quarantined."""
        return fingerprint in self._quarantined

    def count(self, fingerprint: str, endpoint: str, incarnation: str) -> int:
        """Count a crash and return the number of distinct crashes."""
        crash = f"{endpoint}#{incarnation}"
        if fingerprint in self._quarantined:
            crashes = self._quarantined[fingerprint]
        else:
            crashes = self._suspects.pop(fingerprint, [])
            self._suspects[fingerprint] = crashes
        if crash not in crashes:
            crashes.append(crash)
        if fingerprint in self._suspects and len(crashes) >= CRASHES_TO_QUARANTINE:
            self._quarantined[fingerprint] = self._suspects.pop(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return len(crashes)

    def clear(self, fingerprint: str) -> bool:
        """Remove a suspect; return False if there was none."""
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
