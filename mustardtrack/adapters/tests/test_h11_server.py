"""Guards against a server whose idle connections hold the bodies of old requests."""


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
