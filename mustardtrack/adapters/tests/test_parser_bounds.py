"""Guards against a caller whose bytes cost more than the bound of one connection."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.adapters.h11_server import MAX_BYTES_AHEAD, HttpServer
from mustardtrack.admission.memoryaccount import (
    CONNECTION_BYTES,
    HEADER_BYTES,
    MemoryAccount,
)
from mustardtrack.configuration.routes import CallerLimits

LIMITS = CallerLimits(header_bytes=1024, body_bytes=4096)
# The transport reads at most this much at once.
READ_BYTES = 65_536
# One parsed head with the shortest headers, a body as bytes received and as a request,
# and what is sent ahead before reading pauses.
MAX_HELD_BYTES = (
    CONNECTION_BYTES
    + LIMITS.header_bytes * 2 * (HEADER_BYTES + 4) // 4
    + LIMITS.body_bytes
    + MAX_BYTES_AHEAD
    + READ_BYTES
)


class StandInTransport:
    """Transport that keeps what is written and reports a full buffer."""

    class Peer:
        """Address of the caller."""

        host, port = "127.0.0.1", 1

    def __init__(self):
        self.written = b""
        self.is_paused = self.is_closed = False
        self.producer = None

    def getHandle(self):  # noqa: N802
        """Return this stand-in as the socket."""
        return self

    def setsockopt(self, *arguments):
        """Accept socket options."""

    def getPeer(self):  # noqa: N802
        """Return the address of the caller."""
        return self.Peer

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Keep the producer."""
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        """Forget the producer."""
        self.producer = None

    def write(self, data):
        """Keep the data; nothing of it is read."""
        self.written += data
        if len(self.written) > READ_BYTES and self.producer is not None:
            self.producer.pauseProducing()

    def pauseProducing(self):  # noqa: N802
        """Pause reading."""
        self.is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Resume reading."""
        self.is_paused = False

    def loseConnection(self):  # noqa: N802
        """Close the connection."""
        self.is_closed = True

    abortConnection = loseConnection  # noqa: N815


def connect(handler):
    account = MemoryAccount(limit_bytes=100_000_000)
    connection = HttpServer(handler, LIMITS, account).buildProtocol(None)
    transport = StandInTransport()
    connection.makeConnection(transport)
    return account, connection, transport


PIECES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * 200 + b"\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4096\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 500,
        b"0\r\n\r\n",
        b"x" * 1024,
        b"x: " + b"y" * 900 + b"\r\n",
        b"\r\n\r\n",
    ]
)


@given(
    st.lists(st.one_of(PIECES, st.binary(max_size=200)), max_size=30),
    st.integers(1, 300),
    st.booleans(),
)
def test_one_connection_costs_a_bounded_amount(pieces, repeats, answers):
    """Guards against requests, headers and chunks whose number is not bounded."""

    async def play():
        def handle(exchange):
            if answers:
                exchange.respond(200, [], exchange.body + b"answer")

        account, connection, transport = connect(handle)
        data = b"".join(pieces) * repeats
        for start in range(0, min(len(data), 1_000_000), READ_BYTES):
            if transport.is_paused or transport.is_closed:
                break
            connection.dataReceived(data[start : start + READ_BYTES])
        held = account.total_bytes
        # Answers are written until the buffer of the transport is full, and one more.
        unread = account.unread_bytes
        assert held - unread <= MAX_HELD_BYTES
        assert unread <= READ_BYTES + 2 * LIMITS.body_bytes
        connection.connectionLost()
        assert account.total_bytes == 0

    asyncio.run(play())


def test_requests_ahead_begin_once_the_answers_are_read():
    """Guards against answers to requests ahead that pile up unread or are lost."""

    async def play():
        targets = []

        def handle(exchange):
            targets.append(exchange.target)
            exchange.respond(200, [], b"x" * 30_000)

        _, connection, transport = connect(handle)
        requests = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % n for n in range(9)]
        connection.dataReceived(b"".join(requests))
        assert len(targets) == 3
        while len(targets) < 9:
            transport.written = b""
            connection.resumeProducing()
        assert targets == [b"/%d" % number for number in range(9)]

    asyncio.run(play())


def test_body_in_chunks_of_one_byte_arrives_whole():
    """Guards against pieces that are lost or reordered where they are joined."""

    async def play():
        bodies = []
        _, connection, _ = connect(lambda exchange: bodies.append(exchange.body))
        body = bytes(range(256)) * 16
        head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        chunks = b"".join(b"1\r\n%b\r\n" % body[n : n + 1] for n in range(len(body)))
        connection.dataReceived(head + chunks + b"0\r\n\r\n")
        assert bodies == [body]

    asyncio.run(play())
