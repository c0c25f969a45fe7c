"""Service statistics by class and client account."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_MS = 600_000
PERCENTILES = (50.0, 95.0, 99.0)


def create_histogram() -> HdrHistogram:
    """Return a histogram of milliseconds with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_MS, 2)


@dataclass
class ServiceStats:
    """Statistics of the requests of one class or client account."""

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


class ServiceStatsTable:
    """Service statistics of one router since its start, by class and by account.

    Examples:
        >>> service_stats = ServiceStatsTable()
        >>> service_stats.record_first_token("urgent", "hotel", 120)
        >>> service_stats.record_completed("urgent", "hotel", 1000, 750, 20)
        >>> service_stats.summarize()["classes"]["urgent"]["hit_rate"]
        0.75
    """

    def __init__(self) -> None:
        self._classes: dict[str, ServiceStats] = defaultdict(ServiceStats)
        self._accounts: dict[str, ServiceStats] = defaultdict(ServiceStats)

    def record_first_token(
        self, class_name: str, account: str, elapsed_ms: int
    ) -> None:
        """Record the time from arrival to the first token."""
        for stats in self._select(class_name, account):
            stats.first_token_ms.record_value(min(max(1, elapsed_ms), MAX_LATENCY_MS))

    def record_completed(
        self,
        class_name: str,
        account: str,
        prompt_tokens: int,
        cached_tokens: int,
        output_tokens: int,
    ) -> None:
        """Record a completed answer."""
        for stats in self._select(class_name, account):
            stats.completed += 1
            stats.prompt_tokens += prompt_tokens
            stats.cached_tokens += min(cached_tokens, prompt_tokens)
            stats.output_tokens += output_tokens

    def record_refused(self, class_name: str, account: str, may_have_run: bool) -> None:
        """Record a refusal, or a failure if the request may have run."""
        for stats in self._select(class_name, account):
            if may_have_run:
                stats.failed += 1
            else:
                stats.refused += 1

    def summarize(self) -> dict[str, dict[str, dict[str, Any]]]:
        """Return the statistics by class and by account."""
        return {
            "classes": {
                name: stats.summarize() for name, stats in sorted(self._classes.items())
            },
            "accounts": {
                name: stats.summarize()
                for name, stats in sorted(self._accounts.items())
            },
        }

    def _select(self, class_name: str, account: str) -> tuple[ServiceStats, ...]:
        return self._classes[class_name], self._accounts[account]
