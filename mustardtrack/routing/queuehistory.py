"""What the answers of an endpoint show about its queue.

Load pattern: as many requests as an endpoint can hold, of several ranks, of which the
more urgent ones pass the others. By Little's law, the time of an answer divided by the
requests at the endpoint is the time in which the endpoint serves one. For a rank that
is passed by others, this time is longer.
"""

from dataclasses import dataclass, field

# Weight of the newest answer in the moving average. A router gets about one answer of
# an endpoint in a few seconds, and prompts differ in length by a factor of forty.
ANSWER_WEIGHT = 0.3


@dataclass
class QueueHistory:
    """Speed and size of the queue of one endpoint, as one router sees it.

    Attributes:
        places: Places of its queue, None before it has turned a request away with
            others waiting.

    Examples:
        >>> history = QueueHistory()
        >>> history.record_answer(rank=0, elapsed_ms=480, held=48, slots=12)
        >>> history.place_ms(0)
        10.0
    """

    places: int | None = None
    _place_ms: dict[int, float] = field(default_factory=dict)

    def record_answer(
        self, rank: int, elapsed_ms: float, held: int, slots: int
    ) -> None:
        """Record a whole answer.

        Args:
            rank: Rank of the request, 0 most urgent.
            elapsed_ms: Time since it was sent.
            held: Requests at the endpoint, running or waiting.
            slots: Requests that the endpoint runs at the same time.
        """
        sample = elapsed_ms / max(1, held, slots)
        before = self._place_ms.get(rank, sample)
        self._place_ms[rank] = before + ANSWER_WEIGHT * (sample - before)

    def record_accepted(self, waiting: int) -> None:
        """Record an answer; a queue with this many requests has further places."""
        if self.places is not None and waiting >= self.places:
            self.places = waiting + 1

    def record_refusal(self, waiting: int) -> None:
        """Record that a request was turned away with so many others waiting."""
        if waiting > 0:
            self.places = waiting

    def place_ms(self, rank: int) -> float:
        """Return the time in which the queue moves on by one place, 0 if not known.

        A request never counts as served sooner than a more urgent one. Without an
        answer of its rank or a more urgent one, the fastest less urgent one counts.
        """
        known = [ms for other, ms in self._place_ms.items() if other <= rank]
        return max(known) if known else min(self._place_ms.values(), default=0.0)
