"""Times at which refused callers return, spread over the capacity that is available.

Load pattern: demand of two to three times the capacity for seconds. Refused callers
return once. With a fixed time, those that were refused together return together, most
are refused again, and a caller that does not wait takes the place of one that does.

Each refused caller gets the next free turn behind all callers of its rank and of more
urgent ones that were refused before. A caller that returns early gives up its turn and
gets one behind the others. Callers wait at most a third of the time that they have left
(see docs/heavy-load.md); those whose turn is later are not promised one, so that turns
are not used up by callers that can't wait for them.
"""

# Part of its time left that a caller waits at most.
MAX_WAIT_PART = 1 / 3


class ReturnSchedule:
    """Turns of the refused callers of one service.

    Examples:
        >>> turns = ReturnSchedule()
        >>> [turns.next_ms(0, 100, 50.0, 3000, now_ms=0) for _ in range(3)]
        [100, 150, 200]
    """

    def __init__(self) -> None:
        self._next_ms: dict[int, float] = {}

    def next_ms(
        self,
        rank: int,
        first_ms: float,
        interval_ms: float,
        time_left_ms: float,
        now_ms: int,
    ) -> int:
        """Return the time in ms after which a refused caller may return.

        Args:
            rank: Rank of the request, 0 most urgent.
            first_ms: Time until there is room for a first request.
            interval_ms: Time in which one more request can be served.
            time_left_ms: Time that the caller has left.
            now_ms: Monotonic time.
        """
        before = [at_ms for other, at_ms in self._next_ms.items() if other <= rank]
        turn_ms = max([now_ms + first_ms, *before])
        longest_ms = MAX_WAIT_PART * time_left_ms
        if turn_ms - now_ms <= longest_ms:
            self._next_ms[rank] = turn_ms + interval_ms
        return max(1, round(min(turn_ms - now_ms, longest_ms)))
