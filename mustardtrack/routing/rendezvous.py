"""Stateless placement by weighted rendezvous hashing."""

import heapq
import math
from collections.abc import Mapping, Sequence

from xxhash import xxh3_64_intdigest

GROUP_SIZE = 32
_SCALE = 1.0 / (1 << 64)


def rank_endpoints(
    digest: int, endpoints: Sequence[str] | Mapping[str, float]
) -> list[str]:
    """Rank endpoints for a digest, the preferred one first.

    The result depends only on the arguments, so all routers compute the same
    ranking. Removing an endpoint moves only the digests that preferred it.

    Args:
        digest: Digest of a prefix.
        endpoints: Names, or names with positive weights.

    Examples:
        >>> full = rank_endpoints(5, ["a", "b", "c"])
        >>> rank_endpoints(5, [name for name in "abc" if name != full[0]]) == full[1:]
        True
    """
    return sorted(endpoints, key=_Scorer(digest, endpoints), reverse=True)


class GroupedRendezvous:
    """Two-level rendezvous hashing, which does not scan all endpoints.

    A digest is hashed first to a group, then to an endpoint of the group. The
    number of groups is a power of two that changes when the number of endpoints
    doubles; up to ``GROUP_SIZE`` endpoints the result equals
    :func:`rank_endpoints`.
    """

    def __init__(self, endpoints: Sequence[str]):
        count = max(1, len(endpoints) // GROUP_SIZE)
        self._mask = (1 << (count.bit_length() - 1)) - 1
        groups: dict[str, list[str]] = {}
        for name in endpoints:
            group = xxh3_64_intdigest(name.encode()) & self._mask
            groups.setdefault(str(group), []).append(name)
        self._groups = groups
        self._sizes = {group: float(len(names)) for group, names in groups.items()}

    def top(self, digest: int, count: int) -> list[str]:
        """Return the ``count`` preferred endpoints in order of preference."""
        if len(self._groups) == 1:
            return _highest_scored(digest, next(iter(self._groups.values())), count)
        found: list[str] = []
        for group in _highest_scored(digest, self._sizes, 2):
            found += _highest_scored(digest, self._groups[group], count - len(found))
        return found


def _highest_scored(
    digest: int, names: Sequence[str] | Mapping[str, float], count: int
) -> list[str]:
    if count <= 0:
        return []
    return heapq.nlargest(count, names, key=_Scorer(digest, names))


class _Scorer:
    """Rendezvous score function of one digest."""

    def __init__(self, digest: int, names: Sequence[str] | Mapping[str, float]):
        self._seed = digest & ((1 << 64) - 1)
        self._weights = names if isinstance(names, Mapping) else None

    def __call__(self, name: str) -> float:
        value = (xxh3_64_intdigest(name.encode(), self._seed) + 0.5) * _SCALE
        if self._weights is None:
            return value
        # -w / log(u) is the weighted rendezvous score; u is in (0, 1).
        return -self._weights[name] / math.log(min(value, 1.0 - 1e-16))
