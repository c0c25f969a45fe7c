"""Measures of service that the users judge the system by."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

HIGHEST_MS = 600_000
PERCENTILES = (50.0, 95.0, 99.0)


def create_histogram() -> HdrHistogram:
    """Return a histogram of milliseconds with two significant digits."""
    return HdrHistogram(1, HIGHEST_MS, 2)


@dataclass
class ServiceMeasure:
    """Service that one class or one client account received."""

    first_token_ms: HdrHistogram = field(default_factory=create_histogram)
    completed: int = 0
    refused: int = 0
    failed: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    def summarize(self) -> dict[str, Any]:
        """Return counts, prefix hit rate and percentiles of time to first token."""
        times = {
            f"first_token_p{percentile:.0f}_ms": (
                self.first_token_ms.get_value_at_percentile(percentile)
            )
            for percentile in PERCENTILES
        }
        hit_rate = self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0
        return {
            "completed": self.completed,
            "refused": self.refused,
            "failed": self.failed,
            "prompt_tokens": self.prompt_tokens,
            "output_tokens": self.output_tokens,
            "hit_rate": round(hit_rate, 4),
            **times,
        }


class Measures:
    """Measures of one router since its start, by class and by client account.

    Examples:
        >>> measures = Measures()
        >>> measures.note_first_token("urgent", "hotel", 120)
        >>> measures.note_completed("urgent", "hotel", 1000, 750, 20)
        >>> measures.summarize()["classes"]["urgent"]["hit_rate"]
        0.75
    """

    def __init__(self) -> None:
        self._classes: dict[str, ServiceMeasure] = defaultdict(ServiceMeasure)
        self._accounts: dict[str, ServiceMeasure] = defaultdict(ServiceMeasure)

    def note_first_token(self, class_name: str, account: str, elapsed_ms: int) -> None:
        """Record the time from arrival to the first token."""
        for measure in self._of(class_name, account):
            measure.first_token_ms.record_value(min(max(1, elapsed_ms), HIGHEST_MS))

    def note_completed(
        self,
        class_name: str,
        account: str,
        prompt_tokens: int,
        cached_tokens: int,
        output_tokens: int,
    ) -> None:
        """Record a whole answer."""
        for measure in self._of(class_name, account):
            measure.completed += 1
            measure.prompt_tokens += prompt_tokens
            measure.cached_tokens += min(cached_tokens, prompt_tokens)
            measure.output_tokens += output_tokens

    def note_refused(self, class_name: str, account: str, ran: bool) -> None:
        """Record a refusal, or a failure if the request may have run."""
        for measure in self._of(class_name, account):
            if ran:
                measure.failed += 1
            else:
                measure.refused += 1

    def summarize(self) -> dict[str, dict[str, dict[str, Any]]]:
        """Return the measures by class and by account."""
        return {
            "classes": {
                name: one.summarize() for name, one in sorted(self._classes.items())
            },
            "accounts": {
                name: one.summarize() for name, one in sorted(self._accounts.items())
            },
        }

    def _of(self, class_name: str, account: str) -> tuple[ServiceMeasure, ...]:
        return self._classes[class_name], self._accounts[account]
