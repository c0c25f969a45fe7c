"""Progress of an engine through its prefill queue, derived from first tokens.

Load pattern: a backlog in which prompts wait for seconds before their first token.
A long wait then looks like an engine that has failed, but a prompt that is sent to
another engine is prefilled twice and queues again. An engine counts as working if it
has recently produced a first token. A prompt counts as still queued as long as the
engine has not answered later prompts of the same or a lower urgency.
"""

from dataclasses import dataclass, field

# Time without any first token after which a busy engine counts as stalled. Prefill of
# the longest specified prompts (40,000 tokens) takes 1,200 ms.
STALL_TIMEOUT_MS = 1500
# A prompt counts as overtaken when the engine has answered a prompt that was placed
# later by more than this margin. An engine prefills a short prompt in one batch with a
# long one that arrived some hundred milliseconds earlier.
OVERTAKEN_MARGIN_MS = 800


@dataclass
class EngineProgress:
    """Queue progress of an engine, derived from its first tokens.

    Times are monotonic milliseconds.

    Attributes:
        last_first_token_ms: Time of the newest first token, None before the first.
        latest_placed_ms: Latest placement time of an answered prompt, by urgency.
    """

    last_first_token_ms: int | None = None
    latest_placed_ms: dict[int, int] = field(default_factory=dict)

    def record_first_token(self, urgency: int, placed_ms: int, now_ms: int) -> None:
        """Record the first token of a prompt."""
        self.last_first_token_ms = now_ms
        self.latest_placed_ms[urgency] = max(
            placed_ms, self.latest_placed_ms.get(urgency, placed_ms)
        )

    def is_waiting_in_queue(self, urgency: int, placed_ms: int, now_ms: int) -> bool:
        """Return whether a prompt without a first token is still queued.

        The result is False if the engine has stalled or the prompt was overtaken.

        Args:
            urgency: Urgency of the prompt.
            placed_ms: Time of its placement.
            now_ms: Monotonic time.
        """
        if (
            self.last_first_token_ms is None
            or now_ms - self.last_first_token_ms > STALL_TIMEOUT_MS
        ):
            return False
        return not any(
            answered_urgency >= urgency and latest_ms > placed_ms + OVERTAKEN_MARGIN_MS
            for answered_urgency, latest_ms in self.latest_placed_ms.items()
        )
