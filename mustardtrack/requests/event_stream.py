"""Splitting of server-sent event streams at event boundaries.

Forwarding only complete events allows an interrupted stream to be resumed after the
last event that the caller received.
"""

import re

# A line ends with CRLF, LF or CR, and an empty line ends an event. The CR of a CRLF
# need not match, since the LF does.
_EVENT_END = re.compile(rb"(?:\n|\r(?!\n))(?:\r\n|\r|\n)")
# An end of an event may begin this many bytes before the data that completes it.
MAX_SPLIT_END_BYTES = 2
_LINE_END = re.compile(rb"\r\n|\r|\n")
_ID_FIELD = b"id:"


def find_last_event_end(data: bytes, start: int = 0) -> int:
    r"""Return the position after the last event that ends after ``start``, or 0.

    Examples:
        >>> find_last_event_end(b"data: a\r\n\r\ndata")
        11
    """
    end = 0
    for match in _EVENT_END.finditer(data, start):
        end = match.end()
    return end


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
        start = max(0, len(self.rest) - MAX_SPLIT_END_BYTES)
        self.rest += data
        end = find_last_event_end(self.rest, start)
        if not end:
            return b""
        events, self.rest = self.rest[:end], self.rest[end:]
        self._update_last_id(events)
        return events

    def reset(self) -> None:
        """Discard an incomplete event after the connection is lost."""
        self.rest = b""

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(_LINE_END.split(events)):
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip()
                return
