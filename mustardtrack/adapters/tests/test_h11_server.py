"""Guards against requests without an answer, and bodies kept after their answer."""

import asyncio

import pytest

from mustardtrack.adapters.h11_server import LAST_REQUEST_WAIT_MS, HttpServer
from mustardtrack.testing.virtualtime import play


class StandInTransport:
    """Transport that keeps what is written to it."""

    def __init__(self):
        self.written = b""
        self.is_closed = False

    def getHandle(self):  # noqa: N802
        """Return an object that accepts socket options."""
        return self

    def setsockopt(self, *arguments):
        """Ignore a socket option."""

    def registerProducer(self, producer, is_streaming):  # noqa: N802
        """Ignore the producer; this transport sends at once."""

    def unregisterProducer(self):  # noqa: N802
        """Ignore the producer."""

    def write(self, data):
        """Keep the data."""
        self.written += data

    def loseConnection(self):  # noqa: N802
        """Record the close."""
        self.is_closed = True

    abortConnection = loseConnection  # noqa: N815


def exchange_with(handler, request):
    """Return the transport of a connection on which one request was received."""

    async def run():
        server = HttpServer(handler)
        connection = server.buildProtocol(None)
        transport = connection.transport = StandInTransport()
        connection.connectionMade()
        connection.dataReceived(request)
        for _ in range(5):
            await asyncio.sleep(0)
            for task in list(server._tasks):
                if handler is wait_forever:
                    task.cancel()
        connection._stop_timer()
        return transport

    return asyncio.run(run())


async def wait_forever(exchange):
    await asyncio.sleep(60)


def refuse(exchange):
    exchange.respond(503, [], b"reason")


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_refusal_is_answered_for_each_method(method):
    """Guards against HEAD requests whose refusal resets the connection."""
    request = method + b" / HTTP/1.1\r\nhost: h\r\n\r\n"
    transport = exchange_with(refuse, request)
    head, _, body = transport.written.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503") and b"content-length: 6" in head
    assert body == (b"reason" if method == b"GET" else b"")
    assert not transport.is_closed


def test_request_whose_handler_is_cancelled_is_answered():
    """Guards against a caller that waits for the answer of a cancelled handler."""
    transport = exchange_with(wait_forever, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 500")


def test_ended_exchange_keeps_its_headers_but_not_its_body(run_on_reactor):
    """Guards against memory that grows with the bodies of answered requests."""
    source = """
    from mustardtrack.adapters.h11_server import HttpServer

    async def main():
        bodies = []
        def handle(exchange):
            bodies.append(len(exchange.body))
            exchange.respond(200, [], b"")
        server = HttpServer(handle)
        server.listen(reactor, "127.0.0.1", 0)
        port = server._port.getHost().port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /x HTTP/1.1\\r\\nhost: a\\r\\nrequest-id: q\\r\\n"
                     b"content-length: 5\\r\\n\\r\\nhello")
        await reader.readuntil(b"\\r\\n\\r\\n")
        (connection,) = server.connections
        last = connection.last_exchange
        kept = [last.header(b"request-id").decode(), len(last.body)]
        server.stop_listening()
        server.close_connections()
        unsent = await server.wait_closed(5.0)
        return [bodies, kept, len(unsent), len(server.connections)]
    run(main)
    """
    assert run_on_reactor(source) == [[5], ["q", 0], 0, 0]


def connect(server, received):
    """Return a new connection on which some bytes have arrived."""
    connection = server.buildProtocol(None)
    connection.transport = StandInTransport()
    connection.connectionMade()
    if received:
        connection.dataReceived(received)
    return connection


HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n"


@pytest.mark.parametrize("before", [b"", HEAD[:9], HEAD, HEAD + b"a"])
def test_request_that_arrives_while_the_server_closes_is_answered(before):
    """Guards against a request cut because its connection was unused until then."""

    async def scenario():
        server = HttpServer(refuse)
        connection = connect(server, before)
        server.close_connections()
        await asyncio.sleep(LAST_REQUEST_WAIT_MS / 1000 - 0.01)
        assert not connection.transport.is_closed
        connection.dataReceived((HEAD + b"ab")[len(before) :])
        return connection.transport

    transport = play(scenario)
    assert transport.written.startswith(b"HTTP/1.1 503")
    assert transport.is_closed


@pytest.mark.parametrize("before", [b"", HEAD[:9], HEAD + b"a"])
def test_connection_without_a_whole_request_is_closed_in_time(before):
    """Guards against a stop that waits for a caller which sends nothing."""

    async def scenario():
        server = HttpServer(refuse)
        connection = connect(server, before)
        server.close_connections()
        if not before:
            connection.dataReceived(HEAD)
        await asyncio.sleep(LAST_REQUEST_WAIT_MS / 1000 + 0.01)
        return connection.transport

    assert play(scenario).is_closed


def test_connection_that_was_answered_is_closed_at_once():
    async def scenario():
        server = HttpServer(refuse)
        connection = connect(server, HEAD + b"ab")
        assert not connection.transport.is_closed
        server.close_connections()
        return connection.transport

    assert play(scenario).is_closed


def test_waiting_connections_are_accepted_before_the_port_closes():
    """Guards against requests on connections that the kernel has accepted."""
    calls = []

    class Port:
        def doRead(self):  # noqa: N802
            calls.append("accept")

        def stopListening(self):  # noqa: N802
            calls.append("close")

    server = HttpServer(refuse)
    server._port = Port()
    server.stop_listening()
    assert calls == ["accept", "close"]
