"""Splitting of server-sent event streams at event boundaries.

Forwarding only complete events allows an interrupted stream to be resumed after the
last event that the caller received.
"""

_EVENT_DELIMITER = b"\n\n"
_ID_FIELD = b"id:"


class EventStreamSplitter:
    r"""Buffers the bytes of an event stream and returns complete events.

    Attributes:
        last_event_id: Id of the last complete event, None before the first.
        rest: Bytes of the incomplete event at the end.

    Examples:
        >>> splitter = EventStreamSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_event_id
        b'1'
        >>> splitter.rest
        b'id: 2\nda'
    """

    def __init__(self, last_event_id: bytes | None = None) -> None:
        self.last_event_id = last_event_id
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Append data and return the events that it completes, possibly none."""
        self.rest += data
        end = self.rest.rfind(_EVENT_DELIMITER)
        if end < 0:
            return b""
        end += len(_EVENT_DELIMITER)
        events, self.rest = self.rest[:end], self.rest[end:]
        self._update_last_id(events)
        return events

    def reset(self) -> None:
        """Discard an incomplete event after the connection is lost."""
        self.rest = b""

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip()
                return
