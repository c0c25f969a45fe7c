"""Guards against answers that reach the wrong request and cut answers called whole."""

import asyncio

import pytest

from mustardtrack.adapters import upstream
from mustardtrack.adapters.upstream import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    Broken,
    ConnectError,
    ConnectionPool,
    UpstreamConnection,
)


class Handle:
    """Socket of a transport."""

    def setsockopt(self, *arguments):
        """Accept every option."""


class Transport:
    """Transport that remembers what was written and whether it was closed."""

    def __init__(self):
        self.written = b""
        self.closed = ""

    def getHandle(self):  # noqa: N802
        """Return the socket."""
        return Handle()

    def write(self, data):
        """Remember the data."""
        self.written += data

    def loseConnection(self):  # noqa: N802
        """Remember the close."""
        self.closed = "closed"

    def abortConnection(self):  # noqa: N802
        """Remember the reset."""
        self.closed = "aborted"


class Reason:
    """Reason of a lost connection."""

    def __init__(self, clean):
        self._clean = clean

    def check(self, *kinds):
        """Return whether the end was clean."""
        return self._clean

    def getErrorMessage(self):  # noqa: N802
        """Return the text of the reason."""
        return "closed" if self._clean else "reset"


def connect():
    connection = UpstreamConnection()
    connection.makeConnection(Transport())
    return connection


def send(connection, name=b"r1"):
    headers = [(b"host", b"e"), (b"x-id", name)]
    connection.send(b"POST", b"/x", headers, b"", b"x-id", name)


def answer(name, body=b"ok", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (name, len(body), extra) + body


async def read_all(connection):
    events = []
    while not events or not isinstance(events[-1], AnswerEnd | Broken):
        events.append(await connection.next_event(0.2))
        assert events[-1] is not None
    return events


def play(scenario):
    return asyncio.run(scenario())


def test_whole_answer_leaves_the_connection_reusable():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(answer(b"r1"))
        events = await read_all(connection)
        assert [type(event) for event in events] == [AnswerHead, AnswerData, AnswerEnd]
        assert connection.is_reusable

    play(scenario)


def test_late_answer_to_an_earlier_request_is_dropped():
    async def scenario():
        connection = connect()
        send(connection, b"r2")
        connection.dataReceived(answer(b"r1", b"wrong") + answer(b"r2", b"right"))
        events = await read_all(connection)
        assert [one.data for one in events if isinstance(one, AnswerData)] == [b"right"]

    play(scenario)


def test_bytes_after_an_answer_end_the_connection():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(answer(b"r1"))
        await read_all(connection)
        connection.dataReceived(answer(b"r1", b"again"))
        assert connection.transport.closed == "aborted"
        assert not connection.is_reusable

    play(scenario)


def test_bytes_in_the_same_segment_as_the_end_prevent_reuse():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(answer(b"r1") + b"HTTP/1.1 200")
        assert isinstance((await read_all(connection))[-1], AnswerEnd)
        assert not connection.is_reusable

    play(scenario)


@pytest.mark.parametrize(
    ("clean", "last"), [(True, AnswerEnd), (False, Broken)], ids=["closed", "reset"]
)
def test_answer_without_a_length_is_whole_only_after_a_clean_end(clean, last):
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\npart")
        connection.connectionLost(Reason(clean))
        assert isinstance((await read_all(connection))[-1], last)

    play(scenario)


def test_answer_that_is_cut_is_broken():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(answer(b"r1")[:-1])
        connection.connectionLost(Reason(True))
        assert isinstance((await read_all(connection))[-1], Broken)

    play(scenario)


def test_bytes_that_are_no_answer_are_broken():
    async def scenario():
        connection = connect()
        send(connection)
        connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert isinstance((await read_all(connection))[-1], Broken)

    play(scenario)


def test_pool_keeps_an_idle_connection_from_requests_that_must_not_repeat():
    async def scenario():
        pool = ConnectionPool(None)
        connection = connect()
        send(connection)
        connection.dataReceived(answer(b"r1"))
        await read_all(connection)
        pool.put("e", connection)
        assert pool.take("e", longest_idle_s=0.0) is None
        assert pool.take("e") is connection
        assert pool.take("e") is None

    play(scenario)


def test_pool_counts_connections_until_they_are_lost(monkeypatch):
    """Guards against more connections than an endpoint accepts, which it resets."""

    async def open_one(reactor, host, port, timeout_s):
        connection = connect()
        if port == 2:
            raise ConnectError("refused")
        return connection

    monkeypatch.setattr(upstream, "open_connection", open_one)

    async def scenario():
        pool = ConnectionPool(None)
        first = await pool.open("10.0.0.1:1", 1.0)
        await pool.open("10.0.0.1:1", 1.0)
        assert pool.open_count("10.0.0.1:1") == 2
        first.connectionLost(Reason(True))
        assert pool.open_count("10.0.0.1:1") == 1
        with pytest.raises(ConnectError):
            await pool.open("10.0.0.1:2", 1.0)
        assert pool.open_count("10.0.0.1:2") == 0

    play(scenario)


def test_pool_closes_the_connection_that_was_idle_for_longest():
    """Guards against idle connections that keep a fresh one from being opened."""

    async def scenario():
        pool = ConnectionPool(None)
        connections = []
        for _ in range(2):
            connection = connect()
            send(connection)
            connection.dataReceived(answer(b"r1"))
            await read_all(connection)
            connections.append(connection)
        for connection in connections:
            pool.put("e", connection)
        pool.close_oldest("e")
        assert connections[0].transport.closed == "closed"
        assert pool.take("e") is connections[1]

    play(scenario)
