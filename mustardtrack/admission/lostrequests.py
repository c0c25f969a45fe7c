"""Requests that one router lost with their endpoints, as reported to the leader."""

from collections import deque
from dataclasses import dataclass

import msgspec

from mustardtrack.admission.crashcounts import CRASH_RETENTION_MS, LostRequest

MAX_KEPT_LOSSES = 512


@dataclass(frozen=True)
class KeptLoss:
    """Loss whose age is counted from ``seen_ms``."""

    loss: LostRequest
    seen_ms: int

    def aged(self, now_ms: int) -> LostRequest:
        """Return the loss with its present age."""
        age_ms = self.loss.age_ms + now_ms - self.seen_ms
        return msgspec.structs.replace(self.loss, age_ms=age_ms)


class LostRequestReports:
    """Losses that the leader may not know of.

    Reported losses are kept, since a leader that ends may not have recorded them.

    Examples:
        >>> reports = LostRequestReports()
        >>> reports.record(LostRequest("f", "1"), 0)
        >>> [len(reports.take_report(leader, 10)) for leader in ("a", "a", "b")]
        [1, 0, 1]
    """

    def __init__(self) -> None:
        self._kept: deque[KeptLoss] = deque(maxlen=MAX_KEPT_LOSSES)
        self._unsent: deque[KeptLoss] = deque(maxlen=MAX_KEPT_LOSSES)
        self._leader = ""

    def record(self, loss: LostRequest, now_ms: int) -> None:
        """Record a loss that this router observed."""
        kept = KeptLoss(loss, now_ms)
        self._kept.append(kept)
        self._unsent.append(kept)

    def take_report(self, leader: str, now_ms: int) -> list[LostRequest]:
        """Return the losses since the last report; a new leader gets all of them."""
        unsent = list(self._unsent)
        if leader != self._leader:
            self._leader = leader
            unsent = list(self._kept)
        self._unsent.clear()
        aged = [item.aged(now_ms) for item in unsent]
        return [loss for loss in aged if loss.age_ms < CRASH_RETENTION_MS]
