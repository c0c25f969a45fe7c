"""Order in which the stand-in engine sends the pieces of one stream."""

from collections.abc import Iterator

from mustardtrack.testing.switches import EngineFaults


class PieceSchedule:
    """Yields the numbers of the pieces to send, with the faults applied.

    Args:
        first: First piece of the answer.
        faults: Switches that apply to this answer.

    Examples:
        >>> list(PieceSchedule(0, EngineFaults(swap_piece=0)).due(3, True))
        [1, 0, 2]
    """

    def __init__(self, first: int, faults: EngineFaults):
        self._next = first
        self._faults = faults

    def due(self, produced: int, done: bool) -> Iterator[int]:
        """Yield the pieces to send now.

        Args:
            produced: Number of the next piece that the engine will generate.
            done: Whether the stream has ended.
        """
        while self._next < produced:
            piece = self._next
            if piece != self._faults.swap_piece:
                yield from self._send(piece)
                self._next += 1
            elif piece + 1 < produced:
                yield from (piece + 1, piece)
                self._next += 2
            elif done:
                yield piece
                self._next += 1
            else:
                return

    def _send(self, piece: int) -> Iterator[int]:
        if piece == self._faults.drop_piece:
            return
        yield piece
        if piece == self._faults.duplicate_piece:
            yield piece
