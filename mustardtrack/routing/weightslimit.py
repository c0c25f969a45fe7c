"""Time limit for requests that begin on superseded weights.

Load pattern: new weights are named while prompts wait in the queues of engines that
have older ones. No request may begin on weights longer than a stated time after newer
ones were named. A prompt is therefore sent only to engines that begin it in time, and
one that still waits at the limit is withdrawn.
"""

import math
from collections.abc import Mapping

from mustardtrack.routing.weightsversions import VersionAges, WeightsVersionHistory

# A prompt is not sent if it would begin later than this before the limit, since
# estimates are rough.
SEND_MARGIN_MS = 500
# Longest margin as a fraction of the time limit.
SEND_MARGIN_FRACTION = 0.1
# A prompt that waits is withdrawn this long before the limit, which covers the way to
# the engine.
WITHDRAW_MARGIN_MS = 150
# Messages hold the versions up to this age, as a multiple of the limit. Engines lack
# versions for longer than the limit only after a failure.
SHARED_AGE_LIMITS = 2


class WeightsLimit:
    """Time that is left to begin requests on a weights version.

    Attributes:
        limit_ms: Time after a version was named as the newest after which no request
            may begin on an older one.

    Examples:
        >>> limit = WeightsLimit(6000)
        >>> limit.update({"m": 2}, 0)
        >>> limit.left_to_begin_ms("m", 1, 1000), limit.left_to_begin_ms("m", 2, 1000)
        (5000, inf)
    """

    def __init__(self, limit_ms: int) -> None:
        self.limit_ms = limit_ms
        self._send_margin_ms = min(SEND_MARGIN_MS, SEND_MARGIN_FRACTION * limit_ms)
        self._history = WeightsVersionHistory()

    @property
    def longest_wait_ms(self) -> float:
        """Time that a request may wait on weights that are superseded right now."""
        return max(1.0, self.limit_ms - WITHDRAW_MARGIN_MS)

    def update(self, newest_versions: Mapping[str, int], now_ms: int) -> None:
        """Record the newest version of each model."""
        self._history.update(newest_versions, now_ms)

    def ages(self, now_ms: int) -> VersionAges:
        """Return the ages of versions that other processes need."""
        return self._history.ages(SHARED_AGE_LIMITS * self.limit_ms, now_ms)

    def adopt(self, ages: Mapping[str, Mapping[int, int]], now_ms: int) -> None:
        """Adopt the ages of versions that another process knows."""
        self._history.adopt(ages, now_ms)

    def superseded_for_ms(self, model: str, version: int, now_ms: int) -> int | None:
        """Return the time since a newer version was named, None if there is none."""
        return self._history.superseded_for_ms(model, version, now_ms)

    def naming_times(self, model: str) -> list[int]:
        """Return the times at which versions of a model were named, ascending."""
        return self._history.naming_times(model)

    def left_to_begin_ms(self, model: str, version: int, now_ms: int) -> float:
        """Return the time in which requests may begin, infinite without a limit."""
        superseded_for_ms = self.superseded_for_ms(model, version, now_ms)
        if superseded_for_ms is None:
            return math.inf
        return self.limit_ms - superseded_for_ms

    def left_to_send_ms(self, model: str, version: int, now_ms: int) -> float:
        """Return the time in which a request that is sent must begin, 0 if none."""
        left_ms = self.left_to_begin_ms(model, version, now_ms)
        return max(0.0, left_ms - self._send_margin_ms)

    def left_to_wait_ms(self, model: str, version: int, now_ms: int) -> float:
        """Return the time after which a request that waits is withdrawn."""
        left_ms = self.left_to_begin_ms(model, version, now_ms)
        return max(0.0, left_ms - WITHDRAW_MARGIN_MS)
