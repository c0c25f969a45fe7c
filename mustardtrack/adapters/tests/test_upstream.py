"""Guards against misdelivered responses and truncated ones taken as complete."""

import asyncio

import pytest

from mustardtrack.adapters import upstream
from mustardtrack.adapters.upstream import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ResponseInterrupted,
    UpstreamConnection,
)


class FakeSocket:
    """Socket that accepts every option."""

    def setsockopt(self, *arguments):
        """Ignore the option."""


class FakeTransport:
    """Transport that records the written bytes and how it was closed."""

    def __init__(self):
        self.written = b""
        self.closed = ""
        self.is_paused = False

    def getHandle(self):  # noqa: N802
        """Return the socket."""
        return FakeSocket()

    def write(self, data):
        """Record the data."""
        self.written += data

    def pauseProducing(self):  # noqa: N802
        """Record that reading is paused."""
        self.is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Record that reading is resumed."""
        self.is_paused = False

    def loseConnection(self):  # noqa: N802
        """Record a normal close."""
        self.closed = "closed"

    def abortConnection(self):  # noqa: N802
        """Record an abort."""
        self.closed = "aborted"


class ConnectionLostReason:
    """Reason for a lost connection."""

    def __init__(self, clean):
        self._clean = clean

    def check(self, *kinds):
        """Return whether the connection was closed cleanly."""
        return self._clean

    def getErrorMessage(self):  # noqa: N802
        """Return the error message."""
        return "closed" if self._clean else "reset"


def connect():
    connection = UpstreamConnection()
    connection.makeConnection(FakeTransport())
    return connection


def send(connection, name=b"r1"):
    headers = [(b"host", b"e"), (b"x-id", name)]
    connection.send(b"POST", b"/x", headers, b"", b"x-id", name)


def encode_response(name, body=b"ok", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (name, len(body), extra) + body


async def read_all(connection):
    events = []
    while not events or not isinstance(events[-1], ResponseEnd | ResponseInterrupted):
        events.append(await connection.next_event(0.2))
        assert events[-1] is not None
    return events


def run_scenario(scenario):
    return asyncio.run(scenario())


def test_complete_response_leaves_the_connection_reusable():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_response(b"r1"))
        events = await read_all(connection)
        assert [type(event) for event in events] == [
            ResponseHead,
            ResponseData,
            ResponseEnd,
        ]
        assert connection.is_reusable

    run_scenario(scenario)


def test_late_response_to_an_earlier_request_is_discarded():
    async def scenario():
        connection = connect()
        send(connection, b"r2")
        connection.dataReceived(
            encode_response(b"r1", b"wrong") + encode_response(b"r2", b"right")
        )
        events = await read_all(connection)
        assert [event.data for event in events if isinstance(event, ResponseData)] == [
            b"right"
        ]

    run_scenario(scenario)


def test_bytes_after_a_response_abort_the_connection():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_response(b"r1"))
        await read_all(connection)
        connection.dataReceived(encode_response(b"r1", b"again"))
        assert connection.transport.closed == "aborted"
        assert not connection.is_reusable

    run_scenario(scenario)


def test_bytes_in_the_same_segment_as_the_end_prevent_reuse():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_response(b"r1") + b"HTTP/1.1 200")
        assert isinstance((await read_all(connection))[-1], ResponseEnd)
        assert not connection.is_reusable

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("clean", "last"),
    [(True, ResponseEnd), (False, ResponseInterrupted)],
    ids=["closed", "reset"],
)
def test_response_without_length_is_complete_only_after_a_clean_close(clean, last):
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\npart")
        connection.connectionLost(ConnectionLostReason(clean))
        assert isinstance((await read_all(connection))[-1], last)

    run_scenario(scenario)


def test_truncated_response_is_interrupted():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_response(b"r1")[:-1])
        connection.connectionLost(ConnectionLostReason(True))
        assert isinstance((await read_all(connection))[-1], ResponseInterrupted)

    run_scenario(scenario)


def test_bytes_that_are_not_http_interrupt_the_response():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert isinstance((await read_all(connection))[-1], ResponseInterrupted)

    run_scenario(scenario)


def test_pool_returns_no_idle_connection_above_the_idle_limit():
    async def scenario():
        pool = ConnectionPool(None)
        connection = connect()
        send(connection)
        connection.dataReceived(encode_response(b"r1"))
        await read_all(connection)
        pool.put("e", connection)
        assert pool.take("e", max_idle_s=0.0) is None
        assert pool.take("e") is connection
        assert pool.take("e") is None

    run_scenario(scenario)


def test_pool_counts_connections_until_they_are_lost(monkeypatch):
    """Guards against exceeding the connection limit, above which endpoints reset."""

    async def fake_open_connection(reactor, host, port, timeout_s):
        connection = connect()
        if port == 2:
            raise ConnectError("refused")
        return connection

    monkeypatch.setattr(upstream, "open_connection", fake_open_connection)

    async def scenario():
        pool = ConnectionPool(None)
        first = await pool.open("10.0.0.1:1", 1.0)
        await pool.open("10.0.0.1:1", 1.0)
        assert pool.open_count("10.0.0.1:1") == 2
        first.connectionLost(ConnectionLostReason(True))
        assert pool.open_count("10.0.0.1:1") == 1
        with pytest.raises(ConnectError):
            await pool.open("10.0.0.1:2", 1.0)
        assert pool.open_count("10.0.0.1:2") == 0

    run_scenario(scenario)


def test_pool_closes_the_longest_idle_connection():
    """Guards against idle connections that prevent a new one from being opened."""

    async def scenario():
        pool = ConnectionPool(None)
        connections = []
        for _ in range(2):
            connection = connect()
            send(connection)
            connection.dataReceived(encode_response(b"r1"))
            await read_all(connection)
            connections.append(connection)
        for connection in connections:
            pool.put("e", connection)
        pool.close_longest_idle("e")
        assert connections[0].transport.closed == "closed"
        assert pool.take("e") is connections[1]

    run_scenario(scenario)


def encode_chunks(parts):
    head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return head + b"".join(chunks) + b"0\r\n\r\n"


LARGEST_BODY = b"x" * upstream.MAX_RESPONSE_BODY_BYTES
EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(800)]
WHOLE_RESPONSES = {
    "largest body with a length": (encode_response(b"r1", LARGEST_BODY), LARGEST_BODY),
    "largest body in chunks": (
        encode_chunks([LARGEST_BODY[:65_536]] * 64),
        LARGEST_BODY,
    ),
    "service answer in chunks of one byte": (
        encode_chunks([b"x"] * 5000),
        b"x" * 5000,
    ),
    "stream of events": (encode_chunks(EVENTS), b"".join(EVENTS)),
    "after informational responses": (
        b"HTTP/1.1 102 Processing\r\n\r\n" * upstream.MAX_INFORMATIONAL_RESPONSES
        + encode_response(b"r1"),
        b"ok",
    ),
    "after the largest response to another request": (
        encode_response(b"r0", LARGEST_BODY) + encode_response(b"r1"),
        b"ok",
    ),
}


@pytest.mark.parametrize("kind", WHOLE_RESPONSES)
@pytest.mark.parametrize("segment_bytes", [1460, 65_536])
def test_proper_response_within_the_limits_is_whole(kind, segment_bytes):
    """Guards against limits that cut proper responses."""
    response, body = WHOLE_RESPONSES[kind]

    async def scenario():
        connection = connect()
        send(connection)
        received = []
        for start in range(0, len(response), segment_bytes):
            connection.dataReceived(response[start : start + segment_bytes])
        while not isinstance(event := await connection.next_event(0.2), ResponseEnd):
            assert isinstance(event, ResponseHead | ResponseData), event
            if isinstance(event, ResponseData):
                received.append(event.data)
        assert b"".join(received) == body
        assert connection.is_reusable

    run_scenario(scenario)


def test_limits_start_anew_with_each_request():
    """Guards against kept connections that are aborted for earlier responses."""

    async def scenario():
        connection = connect()
        for _ in range(3):
            send(connection)
            connection.dataReceived(encode_response(b"r1", LARGEST_BODY))
            assert isinstance((await read_all(connection))[-1], ResponseEnd)

    run_scenario(scenario)


def encode_event_stream(length):
    head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n"
    return head + b"content-length: %d\r\n\r\n" % length


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_event_without_an_end_interrupts_the_stream(line_end):
    """Guards against a router that keeps an event in memory until it ends."""

    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_event_stream(10**9))
        line = b"data: " + b"x" * 1000 + line_end
        for _ in range(upstream.MAX_EVENT_BYTES // len(line) + 1):
            connection.dataReceived(line)
        assert connection.transport.closed == "aborted"
        last = (await read_all(connection))[-1]
        assert last == ResponseInterrupted("response aborted: event too large")

    run_scenario(scenario)


@pytest.mark.parametrize("segment_bytes", [7, 1460, 65_536])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_events_within_the_limit_are_whole(line_end, segment_bytes):
    """Guards against event limits that cut long streams of proper events."""
    largest = b"data: " + b"x" * (upstream.MAX_EVENT_BYTES - 20) + line_end * 2
    small = b"data: x" + line_end * 2
    body = largest + small * 20 + largest

    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(encode_event_stream(len(body)))
        for start in range(0, len(body), segment_bytes):
            connection.dataReceived(body[start : start + segment_bytes])
        assert isinstance((await read_all(connection))[-1], ResponseEnd)

    run_scenario(scenario)


def test_reading_pauses_while_much_of_a_response_is_unread():
    """Guards against memory filled by an endpoint faster than its caller."""

    async def scenario():
        connection = connect()
        send(connection)
        segment = b"x" * 16_384
        length = 3 * upstream.MAX_UNREAD_BYTES
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: %d\r\n\r\n"
        connection.dataReceived(head % length)
        sent = received = 0
        while received < length:
            while sent < length and not connection.transport.is_paused:
                connection.dataReceived(segment)
                sent += len(segment)
            assert sent - received <= upstream.MAX_UNREAD_BYTES + len(segment)
            event = await connection.next_event(0.2)
            assert event is not None, "reading was not resumed"
            received += len(event.data) if isinstance(event, ResponseData) else 0
        assert (await read_all(connection)) == [ResponseEnd()]
        assert connection.is_reusable
        assert not connection.transport.is_paused

    run_scenario(scenario)


def test_reading_resumes_for_the_next_request():
    """Guards against a kept connection that is never read again."""

    async def scenario():
        connection = connect()
        send(connection)
        body = b"x" * 2 * upstream.MAX_UNREAD_BYTES
        connection.dataReceived(encode_response(b"r1", body))
        assert connection.transport.is_paused
        send(connection, b"r2")
        assert not connection.transport.is_paused
        connection.dataReceived(encode_response(b"r2"))
        assert isinstance((await read_all(connection))[-1], ResponseEnd)

    run_scenario(scenario)


async def start_call(pool, connection, read_timeout_s=0.5, **limits):
    """Start a call on an idle connection and wait until it is sent."""
    send(connection)
    connection.dataReceived(encode_response(b"r1"))
    await read_all(connection)
    pool.put("e", connection)
    arguments = ("e", b"GET", b"/", [], b"", 0.5, read_timeout_s)
    call = asyncio.ensure_future(pool.call(*arguments, **limits))
    await asyncio.sleep(0)
    return call


def test_call_ends_although_its_answer_goes_on():
    """Guards against a task that waits forever for one endpoint."""

    async def scenario():
        pool, connection = ConnectionPool(None), connect()
        call = await start_call(pool, connection, total_timeout_s=0.3)
        connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
        for _ in range(50):
            connection.dataReceived(b"x")
            await asyncio.sleep(0.02)
        assert call.done()
        with pytest.raises(ConnectionBrokenError, match="timed out"):
            await call
        assert connection.transport.closed == "aborted"

    run_scenario(scenario)


def test_call_ends_when_its_answer_exceeds_its_limit():
    """Guards against memory filled by the answer to a call."""

    async def scenario():
        pool, connection = ConnectionPool(None), connect()
        call = await start_call(pool, connection, max_body_bytes=100)
        connection.dataReceived(encode_response(b"r1", b"x" * 101))
        with pytest.raises(ConnectionBrokenError, match="too large"):
            await call
        assert connection.transport.closed == "aborted"
        call = await start_call(pool, second := connect(), max_body_bytes=101)
        second.dataReceived(encode_response(b"r1", b"x" * 101))
        assert await call == (200, b"x" * 101)

    run_scenario(scenario)


def test_cancelled_call_aborts_its_connection():
    """Guards against connections that nobody reads, counts or closes."""

    async def scenario():
        pool, connection = ConnectionPool(None), connect()
        call = await start_call(pool, connection)
        call.cancel()
        await asyncio.wait([call])
        assert connection.transport.closed == "aborted"

    run_scenario(scenario)


def test_call_is_not_sent_after_its_permission_has_ended(monkeypatch):
    """Guards against an order of a process that was paused while it connected."""

    async def scenario():
        connection = connect()

        async def open_connection(*arguments):
            return connection

        monkeypatch.setattr(upstream, "open_connection", open_connection)
        pool = ConnectionPool(None)
        arguments = ("10.0.0.1:1", b"POST", b"/x", [], b"{}", 0.5, 0.5)
        with pytest.raises(ConnectError, match="permission"):
            await pool.call(*arguments, may_send=lambda: False)
        assert connection.transport.written == b""
        assert pool.has_idle("10.0.0.1:1")

    run_scenario(scenario)


@pytest.mark.parametrize("is_lost", [False, True])
def test_connection_with_bytes_before_the_request_is_not_used(monkeypatch, is_lost):
    """Guards against requests counted as sent on a connection that is closed."""
    opened = []

    async def fake_open_connection(reactor, host, port, timeout_s):
        connection = connect()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        if is_lost:
            connection.connectionLost(ConnectionLostReason(False))
        opened.append(connection)
        return connection

    monkeypatch.setattr(upstream, "open_connection", fake_open_connection)

    async def scenario():
        pool = ConnectionPool(None)
        with pytest.raises(ConnectError):
            await pool.open("10.0.0.1:1", 1.0)
        assert opened[0].transport.closed == "aborted"
        if not is_lost:
            opened[0].connectionLost(ConnectionLostReason(False))
        assert pool.open_count("10.0.0.1:1") == 0

    run_scenario(scenario)


@pytest.mark.parametrize("address", ["10.0.0.1:x", "10.0.0.1:", "10.0.0.1:99999999"])
def test_malformed_address_is_a_failed_connection(address):
    """Guards against tasks that end at a malformed entry of the endpoint list."""

    async def scenario():
        pool = ConnectionPool(None)
        with pytest.raises(ConnectError):
            await pool.open(address, 1.0)
        assert pool.open_count(address) == 0

    run_scenario(scenario)


def test_cancelled_opening_is_not_counted(monkeypatch):
    """Guards against an endpoint that seems to have no connections left."""

    async def never_open(reactor, host, port, timeout_s):
        await asyncio.sleep(60)

    monkeypatch.setattr(upstream, "open_connection", never_open)

    async def scenario():
        pool = ConnectionPool(None)
        opening = asyncio.ensure_future(pool.open("10.0.0.1:1", 1.0))
        await asyncio.sleep(0)
        assert pool.open_count("10.0.0.1:1") == 1
        opening.cancel()
        await asyncio.wait([opening])
        assert pool.open_count("10.0.0.1:1") == 0

    run_scenario(scenario)


def test_unfinished_bodies_of_a_pool_are_bounded_together(monkeypatch):
    """Guards against memory filled by many responses that are each within limits."""

    async def fake_open_connection(reactor, host, port, timeout_s):
        return connect()

    monkeypatch.setattr(upstream, "open_connection", fake_open_connection)
    segment = b"x" * 65_536
    head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: %d\r\n\r\n"

    async def scenario():
        pool = ConnectionPool(None)
        connections = [await pool.open("10.0.0.1:1", 1.0) for _ in range(41)]
        small = connections.pop()
        for connection in connections:
            send(connection)
            connection.dataReceived(head % upstream.MAX_RESPONSE_BODY_BYTES)
        for count in range(1, upstream.MAX_RESPONSE_BODY_BYTES // len(segment)):
            for connection in connections:
                if not connection.transport.closed:
                    connection.dataReceived(segment)
            held = [one for one in connections if not one.transport.closed]
            held_bytes = len(held) * count * len(segment)
            assert held_bytes <= upstream.MAX_UNFINISHED_BYTES
        # A response of common size is whole meanwhile.
        send(small)
        small.dataReceived(encode_response(b"r1", b"x" * 100_000))
        assert isinstance((await read_all(small))[-1], ResponseEnd)
        for connection in connections:
            connection.connectionLost(ConnectionLostReason(False))
        assert pool._unfinished.total_bytes == 0
        # So is the largest response, once the others are gone.
        send(small)
        small.dataReceived(encode_response(b"r1", LARGEST_BODY))
        assert isinstance((await read_all(small))[-1], ResponseEnd)
        assert pool._unfinished.total_bytes == 0

    run_scenario(scenario)


def test_relayed_stream_counts_only_unread_bytes(monkeypatch):
    """Guards against long streams that are aborted for bytes that nobody keeps."""

    async def fake_open_connection(reactor, host, port, timeout_s):
        return connect()

    monkeypatch.setattr(upstream, "open_connection", fake_open_connection)

    async def scenario():
        pool = ConnectionPool(None)
        connection = await pool.open("10.0.0.1:1", 1.0)
        send(connection)
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 1000000\r\n\r\n"
        )
        await connection.next_event(0.1)
        head_bytes = pool._unfinished.total_bytes
        connection.is_relayed = True
        for _ in range(10):
            connection.dataReceived(b"data: " + b"x" * 50_000 + b"\n\n")
            assert pool._unfinished.total_bytes >= 50_000
            await connection.next_event(0.1)
            assert pool._unfinished.total_bytes == head_bytes

    run_scenario(scenario)


def test_lines_of_a_body_are_not_those_of_a_head():
    """Guards against sound responses aborted for lines that arrive with the head."""

    async def scenario():
        body = b"\n" * (2 * upstream.MAX_HEAD_LINES)
        response = encode_response(b"r1", body)
        split = response.index(b"\r\n\r\n")
        for first in range(split - 1, split + 5):
            connection = connect()
            send(connection)
            connection.dataReceived(response[:first])
            connection.dataReceived(response[first:])
            assert isinstance((await read_all(connection))[-1], ResponseEnd)

    run_scenario(scenario)
