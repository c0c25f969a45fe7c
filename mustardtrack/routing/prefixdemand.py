"""Number of recent prompts for each shared prefix.

Load pattern: new weights every few seconds, for which no engine holds any prefix. A
prompt alone is cheaper on an engine with old weights that holds its prefix, so that all
prompts of a prefix stay on old weights although one prefill would serve all of them.
"""

from collections import OrderedDict
from collections.abc import Iterable

from mustardtrack.routing.placementmessages import PlacementRequest

# Half-life of a prompt in the count, and the number of prefixes that are counted.
DEMAND_HALF_LIFE_MS = 1000.0
MAX_PREFIXES = 20_000


class PrefixDemand:
    """Decayed counts of prompts by the digest of their shared prefix.

    Times are monotonic milliseconds.
    """

    def __init__(self) -> None:
        self._counts: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def record(self, request: PlacementRequest, now_ms: int) -> None:
        """Count a prompt that has a shared prefix."""
        digest = _shared_digest(request)
        if not digest:
            return
        self._counts[digest] = self._recent(digest, now_ms) + 1.0, now_ms
        self._counts.move_to_end(digest)
        if len(self._counts) > MAX_PREFIXES:
            self._counts.popitem(last=False)

    def share_of_copy(
        self, request: PlacementRequest, held: Iterable[int], now_ms: int
    ) -> float:
        """Return the part of the prefill of a prefix that one prompt is charged for.

        The first copy serves all prompts of the prefix; each further one is charged to
        the prompt that makes it.

        Args:
            request: Prompt with the prefix.
            held: Tokens of the prefix that each engine holds.
            now_ms: Monotonic time.
        """
        digest = _shared_digest(request)
        if not digest or any(held):
            return 1.0
        return 1.0 / (1.0 + self._recent(digest, now_ms))

    def _recent(self, digest: str, now_ms: int) -> float:
        count, counted_ms = self._counts.get(digest, (0.0, now_ms))
        age = max(0, now_ms - counted_ms) / DEMAND_HALF_LIFE_MS
        return float(count * 0.5**age)


def _shared_digest(request: PlacementRequest) -> str:
    """Return the digest of the longest part that other prompts share, empty if none."""
    return request.parts[-2][0] if len(request.parts) > 1 else ""
