"""Whether an engine still answers prompts, and in which order.

Load pattern: a backlog in which prompts wait for seconds before their first token.
The wait of one of them looks like the silence of an engine that has failed, and a
prompt sent to another engine is read twice and waits again. The engine is at work if
it has answered something lately; a prompt has its turn still ahead as long as the
engine has not answered later prompts of the same or a lower urgency.
"""

from dataclasses import dataclass, field

# Time without a first token of any prompt after which a busy engine counts as silent.
# Reading the longest prompts of the sheets (40,000 tokens) takes 1,200 ms.
SILENT_MS = 1500
# Lead of a later prompt after which an earlier one counts as passed over; an engine
# reads a short prompt along with a long one that came some hundred ms earlier.
PASSED_OVER_MS = 800


@dataclass
class EnginePace:
    """What the first tokens of an engine say about its queue.

    Times are monotonic milliseconds.

    Attributes:
        answered_ms: Time of the newest first token, None before the first.
        placed_ms: Latest placement of an answered prompt, by its urgency.
    """

    answered_ms: int | None = None
    placed_ms: dict[int, int] = field(default_factory=dict)

    def record_answer(self, urgency: int, placed_ms: int, now_ms: int) -> None:
        """Count the first token of a prompt."""
        self.answered_ms = now_ms
        self.placed_ms[urgency] = max(placed_ms, self.placed_ms.get(urgency, placed_ms))

    def has_turn_ahead(self, urgency: int, placed_ms: int, now_ms: int) -> bool:
        """Return whether a prompt without a first token is still in the queue.

        Args:
            urgency: Urgency of the prompt.
            placed_ms: Time of its placement.
            now_ms: Monotonic time.
        """
        if self.answered_ms is None or now_ms - self.answered_ms > SILENT_MS:
            return False
        return not any(
            answered_urgency >= urgency and latest_ms > placed_ms + PASSED_OVER_MS
            for answered_urgency, latest_ms in self.placed_ms.items()
        )
