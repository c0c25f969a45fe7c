"""Times that engines take to generate answers, learned from ended requests.

Load pattern: engines load new weights only when their running answers have ended, and
refuse all other work until then. Answers of some callers last for seconds while those
of others end at once, and a burst makes all of them slower.
"""

from dataclasses import dataclass

# Time of an output token assumed until answers have ended.
PRIOR_TOKEN_MS = 20.0
MIN_TOKEN_MS = 0.1
MAX_TOKEN_MS = 2000.0
# Weight of an answer in the moving average.
ANSWER_EWMA_WEIGHT = 0.05
PRIOR_ANSWERS = 5


@dataclass
class _ServiceTimes:
    token_ms: float = PRIOR_TOKEN_MS
    count: int = 0


class AnswerTimes:
    """Learned time per output token by service.

    The output limit of a request stands for its length, so that the average includes
    how much of their limits answers use.

    Examples:
        >>> times = AnswerTimes()
        >>> for _ in range(100):
        ...     times.record("s", 50, 500.0)
        >>> 10 <= times.token_ms("s") < 11
        True
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceTimes] = {}

    def record(self, service: str, output_tokens: int, duration_ms: float) -> None:
        """Record the time from the first token of an answer to its end."""
        if output_tokens < 2 or duration_ms < 0:
            return
        known = self._services.setdefault(service, _ServiceTimes())
        measured = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, duration_ms / output_tokens))
        weight = max(ANSWER_EWMA_WEIGHT, 1 / (known.count + 1 + PRIOR_ANSWERS))
        known.token_ms += weight * (measured - known.token_ms)
        known.count += 1

    def token_ms(self, service: str) -> float:
        """Return the expected time of an output token."""
        known = self._services.get(service)
        return known.token_ms if known is not None else PRIOR_TOKEN_MS
