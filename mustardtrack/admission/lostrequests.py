"""Requests that one router lost with their endpoints, until they are recorded."""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from mustardtrack.admission.crashcounts import CRASH_RETENTION_MS, LostRequest

MAX_KEPT_LOSSES = 512
# Losses of one report, which the leader commits with one command.
MAX_REPORTED = 256


@dataclass(frozen=True)
class KeptLoss:
    """Loss whose age is counted from ``seen_ms``."""

    loss: LostRequest
    seen_ms: int

    def aged(self, now_ms: int) -> LostRequest:
        """Return the loss with its present age."""
        age_ms = self.loss.age_ms + now_ms - self.seen_ms
        return msgspec.structs.replace(self.loss, age_ms=age_ms)


class UnconfirmedLosses:
    """Losses that are not known to be in the replicated state.

    A report that a leader has received is not enough, since it may end before it has
    recorded it.

    Examples:
        >>> losses = UnconfirmedLosses()
        >>> losses.record(LostRequest("f", "1"), 0)
        >>> [loss.age_ms for loss in losses.report(10)]
        [10]
        >>> losses.confirm(losses.report(10))
        >>> losses.report(10)
        []
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[str, KeptLoss] = OrderedDict()

    def record(self, loss: LostRequest, now_ms: int) -> None:
        """Record a loss that this router observed."""
        self._kept[loss.attempt] = KeptLoss(loss, now_ms)
        if len(self._kept) > MAX_KEPT_LOSSES:
            self._kept.popitem(last=False)

    def report(self, now_ms: int) -> list[LostRequest]:
        """Return the oldest losses that are not confirmed, and forget outdated ones."""
        aged = [item.aged(now_ms) for item in self._kept.values()]
        for loss in aged:
            if loss.age_ms >= CRASH_RETENTION_MS:
                del self._kept[loss.attempt]
        return [loss for loss in aged if loss.attempt in self._kept][:MAX_REPORTED]

    def confirm(self, losses: list[LostRequest]) -> None:
        """Forget losses that a leader has recorded."""
        for loss in losses:
            self._kept.pop(loss.attempt, None)
