"""Whole events of a stream, so that a broken stream can go on where it stopped."""

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    r"""Collects the bytes of an event stream and hands out whole events.

    Attributes:
        last_id: Identity of the last whole event, None before the first.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_id
        b'1'
        >>> splitter.rest
        b'id: 2\nda'
    """

    def __init__(self, last_id: bytes | None = None) -> None:
        self.last_id = last_id
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, empty if there are none."""
        self.rest += data
        end = self.rest.rfind(_END)
        if end < 0:
            return b""
        end += len(_END)
        whole, self.rest = self.rest[:end], self.rest[end:]
        self._find_id(whole)
        return whole

    def reset(self) -> None:
        """Drop an incomplete event after a break."""
        self.rest = b""

    def _find_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip()
                return
