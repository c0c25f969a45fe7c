"""Order in which the stand-in engine sends the chunks of one stream."""

from collections.abc import Iterator

from mustardtrack.testing.fault_injection import EngineFaults


class ChunkSchedule:
    """Yields the indexes of the chunks to send, with injected faults applied.

    Args:
        first: Index of the first chunk of the response.
        faults: Faults injected into this response.

    Examples:
        >>> list(ChunkSchedule(0, EngineFaults(swap_piece=0)).due(3, True))
        [1, 0, 2]
    """

    def __init__(self, first: int, faults: EngineFaults):
        self._next = first
        self._faults = faults

    def due(self, next_index: int, done: bool) -> Iterator[int]:
        """Yield the indexes of the chunks that can be sent now.

        Args:
            next_index: Index of the next token that the engine will generate.
            done: Whether generation is complete.
        """
        while self._next < next_index:
            index = self._next
            if index != self._faults.swap_piece:
                yield from self._apply_faults(index)
                self._next += 1
            elif index + 1 < next_index:
                yield from (index + 1, index)
                self._next += 2
            elif done:  # The last chunk has no successor to swap with.
                yield index
                self._next += 1
            else:
                return

    def _apply_faults(self, index: int) -> Iterator[int]:
        if index == self._faults.drop_piece:
            return
        yield index
        if index == self._faults.duplicate_piece:
            yield index
