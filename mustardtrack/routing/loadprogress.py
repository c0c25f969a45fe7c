"""Progress of one weight load as an engine reports it.

Load pattern: an engine carries out an order when its running requests have ended, which
takes seconds while it decodes long answers. Another engine crashes with its order, and
an order may be lost. The first must be waited for; the others hold a place among the
concurrent loads that another engine needs.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

# Reports in a row without an answer after which an engine counts as unreachable.
MAX_MISSING_REPORTS = 2
# Reports in a row that show neither the order nor its effect, after which it is lost.
MAX_IDLE_REPORTS = 3
# Reports are some hundred milliseconds old, so that earlier ones may not show an order.
MIN_IDLE_MS = 1000


class LoadStep(Enum):
    """What a report shows of an order."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    UNCLEAR = "unclear"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@dataclass
class LoadProgress:
    """Reports of an engine since it was ordered to load weights.

    Examples:
        >>> progress = LoadProgress("m", 2)
        >>> progress.record_report({"m": 1}, True, 300).name
        'IN_PROGRESS'
        >>> progress.record_report({"m": 2}, False, 900).name
        'COMPLETED'
    """

    model: str
    version: int
    missing_reports: int = 0
    idle_reports: int = 0

    def record_report(
        self,
        weights: Mapping[str, int] | None,
        is_busy: bool | None,
        elapsed_ms: float,
    ) -> LoadStep:
        """Return what a report shows.

        Args:
            weights: Reported versions, None if the engine did not answer.
            is_busy: Whether the engine reports that it carries out an order, None if
                it does not say.
            elapsed_ms: Time since the order.
        """
        if weights is None:
            self.missing_reports += 1
            is_missing = self.missing_reports >= MAX_MISSING_REPORTS
            return LoadStep.UNREACHABLE if is_missing else LoadStep.UNCLEAR
        self.missing_reports = 0
        if weights.get(self.model, 0) >= self.version:
            return LoadStep.COMPLETED
        if is_busy:
            self.idle_reports = 0
            return LoadStep.IN_PROGRESS
        if is_busy is False and elapsed_ms >= MIN_IDLE_MS:
            self.idle_reports += 1
        is_lost = self.idle_reports >= MAX_IDLE_REPORTS
        return LoadStep.LOST if is_lost else LoadStep.UNCLEAR
